"""Codec of the answer times of cache servers, without sockets or clocks.

In a large fleet one router meets one server every ten seconds, and what all routers observe in one second
would tell how that server does. So each publishes, once an interval, what it has observed since and no other
router has published meanwhile: an answer time each, or how long an overdue attempt has been in flight. A
datagram holds `MAX_DATAGRAM_BYTES` and may be lost or late; nothing is repeated, since what is lost was
advice. Every byte is paid for at every router that receives it, so a server is named by two bytes of a hash
of its name, and a time by seven bits, in steps of a tenth. Two servers of a list that share a hash (one list
of two hundred in three) are left out.

    kind (1 byte) | for each server: upper half of the crc32 of its name (2 bytes),
                    in flight (1 bit) and time code (7 bits)
"""

import math
import struct
from collections import Counter
from collections.abc import Iterable
from zlib import crc32

from rainhitch.fleet.datagram import FleetError
from rainhitch.interface import LatencyObservation

LATENCY_KIND = 0xA2  # first byte of these datagrams; it counts as the version of the format too
MAX_DATAGRAM_BYTES = 256
ENTRY = struct.Struct(">HB")
MAX_ENTRIES = (MAX_DATAGRAM_BYTES - 1) // ENTRY.size

TIME_CODE_MASK = 0x7F
IN_FLIGHT_BIT = 0x80
MIN_TIME_NS = 1_000_000  # of code 0
LOG_STEP = math.log(1.1)  # between two codes
TIMES_NS = [int(MIN_TIME_NS * math.exp(code * LOG_STEP)) for code in range(128)]  # by code, to three minutes


class GossipCodecError(FleetError):
    """A datagram of answer times that can't be read."""


def encode(observations: Iterable[LatencyObservation]) -> bytes:
    """Returns one datagram; observations beyond `MAX_ENTRIES` are left out."""
    entries = [_encode_entry(one) for one in list(observations)[:MAX_ENTRIES]]
    return bytes([LATENCY_KIND]) + b"".join(entries)


def _encode_entry(observation: LatencyObservation) -> bytes:
    in_flight_bit = IN_FLIGHT_BIT if observation.is_in_flight else 0
    return ENTRY.pack(server_hash(observation.server), in_flight_bit | time_code(observation.elapsed_ns))


def time_code(elapsed_ns: int) -> int:
    """Returns the code of a time: the nearest of `TIMES_NS`."""
    return min(len(TIMES_NS) - 1, round(math.log(max(1.0, elapsed_ns / MIN_TIME_NS)) / LOG_STEP))


def decode(data: bytes, names: dict[int, str]) -> list[LatencyObservation]:
    """Returns what a datagram tells of the servers in `names`, which is by hash; others are left out.

    Raises GossipCodecError where the kind or the length is wrong.
    """
    if not data or data[0] != LATENCY_KIND:
        raise GossipCodecError(f"expected kind {LATENCY_KIND:#x}, got {data[:1].hex() or 'nothing'}")
    if len(data) % ENTRY.size != 1 or len(data) > MAX_DATAGRAM_BYTES:
        raise GossipCodecError(f"no whole number of entries in {len(data)} bytes")
    return [
        LatencyObservation(names[code], TIMES_NS[time & TIME_CODE_MASK], time >= IN_FLIGHT_BIT)
        for code, time in ENTRY.iter_unpack(data[1:])
        if code in names
    ]


def server_hash(name: str) -> int:
    """Returns the hash of a server's name, two bytes."""
    return crc32(name.encode()) >> 16


def names_by_hash(names: Iterable[str]) -> dict[int, str]:
    """Returns the listed names by their hash, without those that share one.

    Guards against one server's answer times taken for another's.
    """
    hashes = {name: server_hash(name) for name in names}
    uses = Counter(hashes.values())
    return {code: name for name, code in hashes.items() if uses[code] == 1}
