"""Encodes and decodes datagrams of latency observations of cache servers. No sockets, no clock.

In a large fleet a router sends a request to a given server about every ten seconds, while the observations of
all routers in one second would show that server's state. So each router publishes, once per interval, its
observations of servers that no other router has published in the meantime. An observation is the time to an
answer, or the time that an overdue attempt has been in flight. A datagram has at most `MAX_DATAGRAM_BYTES`
and may be lost or late; nothing is retransmitted, since the observations are only hints. Each byte costs CPU
at every router that receives it, so a server is identified by two bytes of a hash of its name, and a time is
encoded in seven bits, in steps of 10 %. Servers of a list that share a hash are left out, which one in three
lists of two hundred servers has.

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

LATENCY_KIND = 0xA2  # first byte of these datagrams, which also identifies the version of the format
MAX_DATAGRAM_BYTES = 256
ENTRY = struct.Struct(">HB")  # hash of the server's name, in-flight bit and time code
MAX_ENTRIES = (MAX_DATAGRAM_BYTES - 1) // ENTRY.size

TIME_CODE_MASK = 0x7F
IN_FLIGHT_BIT = 0x80
MIN_TIME_NS = 1_000_000  # time of code 0
LOG_STEP = math.log(1.1)  # difference of the logarithms of two successive times
TIMES_NS = [int(MIN_TIME_NS * math.exp(code * LOG_STEP)) for code in range(128)]  # by code, to three minutes


class GossipCodecError(FleetError):
    """Error for a datagram of latency observations that cannot be read."""


def encode(observations: Iterable[LatencyObservation]) -> bytes:
    """Returns one datagram of the first `MAX_ENTRIES` observations."""
    entries = [_encode_entry(observation) for observation in list(observations)[:MAX_ENTRIES]]
    return bytes([LATENCY_KIND]) + b"".join(entries)


def _encode_entry(observation: LatencyObservation) -> bytes:
    in_flight_bit = IN_FLIGHT_BIT if observation.is_in_flight else 0
    return ENTRY.pack(server_hash(observation.server), in_flight_bit | time_code(observation.elapsed_ns))


def time_code(elapsed_ns: int) -> int:
    """Returns the code whose time in `TIMES_NS` is nearest to a time."""
    return min(len(TIMES_NS) - 1, round(math.log(max(1.0, elapsed_ns / MIN_TIME_NS)) / LOG_STEP))


def decode(data: bytes, names: dict[int, str]) -> list[LatencyObservation]:
    """Returns a datagram's observations of the servers in `names`, which is by hash.

    Raises GossipCodecError if the kind or the length is wrong.
    """
    if not data or data[0] != LATENCY_KIND:
        raise GossipCodecError(f"expected kind {LATENCY_KIND:#x}, got {data[:1].hex() or 'nothing'}")
    if len(data) % ENTRY.size != 1 or len(data) > MAX_DATAGRAM_BYTES:
        raise GossipCodecError(
            f"expected 1 byte and {ENTRY.size} per entry, up to {MAX_DATAGRAM_BYTES}, got {len(data)} bytes"
        )
    return [
        LatencyObservation(names[code], TIMES_NS[time & TIME_CODE_MASK], time >= IN_FLIGHT_BIT)
        for code, time in ENTRY.iter_unpack(data[1:])
        if code in names
    ]


def server_hash(name: str) -> int:
    """Returns the two-byte hash of a server's name."""
    return crc32(name.encode()) >> 16


def names_by_hash(names: Iterable[str]) -> dict[int, str]:
    """Returns the names by their hash, without the names that share a hash with another.

    Leaving these out prevents one server's latencies from being attributed to another.
    """
    hashes = {name: server_hash(name) for name in names}
    uses = Counter(hashes.values())
    return {code: name for name, code in hashes.items() if uses[code] == 1}
