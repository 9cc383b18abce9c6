"""Answer times of cache servers as datagrams between routers, without sockets or clocks.

Theory. Forty routers share sixty servers, so that one router hears of a server every few seconds, and what
all of them hear in one second would tell how it fares. So each tells the others, once a period, what it has
seen since: for each server how many answers, and their mean time. A datagram holds 256 bytes and may be lost
or late; nothing is repeated, and what is lost was advice. Servers go by a hash of their name: two that share
one would be told as one, which happens once in some 2 million lists of sixty.

    "RA" | version 1 | entries (1 byte) | each: crc32 of the name, answers (1 byte), mean in 4 ms (2)
"""

import struct
from collections.abc import Iterable
from zlib import crc32

from rainhitch.interface import Seen

MOST_BYTES = 256
HEAD, ENTRY = struct.Struct(">2sBB"), struct.Struct(">IBH")
MAGIC, VERSION = b"RA", 1
MOST_ENTRIES = (MOST_BYTES - HEAD.size) // ENTRY.size
UNIT = 4_000_000  # ns


class AdviceError(ValueError):
    """A datagram that can't be read."""


def encode(seen: Iterable[Seen]) -> bytes:
    """One datagram; where there is more than it holds, what was seen most often."""
    told = sorted(seen, key=lambda one: -one.answers)[:MOST_ENTRIES]
    rows = [
        ENTRY.pack(crc32(one.server.encode()), min(one.answers, 255), min(one.elapsed // UNIT, 65_535))
        for one in told
    ]
    return HEAD.pack(MAGIC, VERSION, len(rows)) + b"".join(rows)


def decode(data: bytes, names: dict[int, str]) -> list[Seen]:
    """What a datagram tells of the servers that are known here, by the hash of their name."""
    if len(data) < HEAD.size:
        raise AdviceError("too short")
    magic, version, count = HEAD.unpack_from(data)
    if magic != MAGIC or version != VERSION:
        raise AdviceError("not of this kind")
    if len(data) != HEAD.size + count * ENTRY.size or count > MOST_ENTRIES:
        raise AdviceError("its length does not fit")
    rows = ENTRY.iter_unpack(data[HEAD.size :])
    return [
        Seen(names[code], answers, elapsed * UNIT)
        for code, answers, elapsed in rows
        if code in names and answers
    ]


def hashes(names: Iterable[str]) -> dict[int, str]:
    """The names of the list, by the hash that stands for them."""
    return {crc32(name.encode()): name for name in names}
