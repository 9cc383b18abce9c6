"""What routers tell one another of the cache servers: a codec without sockets or clocks.

Theory. Two hundred routers share as many servers, so that one router hears of a server every ten seconds,
and what all of them hear in one second would tell how it fares. So each tells the others, once a period, what
it has seen since and nobody else has told meanwhile: an answer's time each, or how long an attempt has been
out that is overdue. A datagram holds 256 bytes and may be lost or late; nothing is repeated, and what is lost
was advice. Every byte is paid for at every router that hears it, so a server goes by two bytes of a hash of
its name, and a time by seven bits, in steps of a tenth. Two servers on a list that share a hash, once in
three lists of two hundred, are not told of.

    version 2 (1 byte) | each: half of the crc32 of the name (2 bytes), whether it is out and logarithm (1)
"""

import math
import struct
from collections import Counter
from collections.abc import Iterable
from zlib import crc32

from rainhitch.interface import LatencyObservation

MOST_BYTES = 256
ENTRY = struct.Struct(">HB")
VERSION = 0xA2
MOST_ENTRIES = (MOST_BYTES - 1) // ENTRY.size
UNIT = 1_000_000  # ns
STEP = math.log(1.1)
TIMES = [int(UNIT * math.exp(code * STEP)) for code in range(128)]  # up to three minutes


class GossipCodecError(ValueError):
    """A datagram that can't be read."""


def encode(seen: Iterable[LatencyObservation]) -> bytes:
    """One datagram; what is more than it holds is left out."""
    rows = [
        ENTRY.pack(short(one.server), step(one.elapsed_ns) | one.is_in_flight << 7)
        for one in list(seen)[:MOST_ENTRIES]
    ]
    return bytes([VERSION]) + b"".join(rows)


def step(elapsed: int) -> int:
    """The code of a time in ns: the nearest of TIMES."""
    return min(len(TIMES) - 1, round(math.log(max(1.0, elapsed / UNIT)) / STEP))


def decode(data: bytes, names: dict[int, str]) -> list[LatencyObservation]:
    """What a datagram tells of the servers that are known here, by the hash of their name."""
    if not data or data[0] != VERSION:
        raise GossipCodecError("not of this kind")
    if len(data) % ENTRY.size != 1 or len(data) > MOST_BYTES:
        raise GossipCodecError("its length does not fit")
    rows = ENTRY.iter_unpack(data[1:])
    return [LatencyObservation(names[code], TIMES[at & 127], at > 127) for code, at in rows if code in names]


def short(name: str) -> int:
    """The hash that stands for a server's name."""
    return crc32(name.encode()) >> 16


def hashes(names: Iterable[str]) -> dict[int, str]:
    """The names of the list, by the hash that stands for them; those that share one are left out."""
    listed = {name: short(name) for name in names}
    many = Counter(listed.values())
    return {code: name for name, code in listed.items() if many[code] == 1}
