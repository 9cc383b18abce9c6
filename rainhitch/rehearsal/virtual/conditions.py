"""What the path between two machines does to a connection: latency, bandwidth, and where a write is split."""

from random import Random

Address = tuple[str, int]

RECEIVE_WINDOW_BYTES = 256 << 10  # of one end: unread there and on the way to it, together
ONE_WAY_NS = 40_000
INTERNAL_PORT = 1  # the port that stands for a Unix socket of the kit
DEFAULT_PICOSECONDS_PER_BYTE = 1000
SHORT_SEGMENT_BYTES = (1, 7, 100)  # upper bounds of a split segment, beside the whole write


class NetworkConditions:
    """Latency, bandwidth and segment sizes of one run, with the random numbers that they are drawn from.

    Args:
        seed: of the run.
        chop_fraction: fraction of the writes that are split at a random place.
        one_way_range_ns: the least and the largest latency of one way; each connection draws its own.
        receive_window_bytes: what an end holds unread, with what is on its way there.
        picoseconds_per_byte: the inverse of the bandwidth.
    """

    def __init__(
        self,
        seed: int,
        chop_fraction: float,
        one_way_range_ns: tuple[int, int],
        receive_window_bytes: int,
        picoseconds_per_byte: int,
    ) -> None:
        self.random = Random(f"{seed}/network")
        self.chop_fraction = chop_fraction
        self.one_way_range_ns = one_way_range_ns
        self.receive_window_bytes = receive_window_bytes
        self.picoseconds_per_byte = picoseconds_per_byte

    def draw_one_way_ns(self, address: Address) -> int:
        """Latency of one way on a new connection to an address, in ns.

        Connections within the kit all have the same; nothing is drawn for them.
        """
        least_ns, largest_ns = self.one_way_range_ns
        if address[1] == INTERNAL_PORT or least_ns == largest_ns:
            return ONE_WAY_NS
        return self.random.randint(least_ns, largest_ns)

    def draw_segment_bytes(self, size_bytes: int) -> int:
        """How many of `size_bytes` that could be sent now go in one segment; at least one."""
        if self.chop_fraction and size_bytes > 1 and self.random.random() < self.chop_fraction:
            bound_bytes = self.random.choice((*SHORT_SEGMENT_BYTES, size_bytes))
            return self.random.randint(1, min(size_bytes, bound_bytes))
        return size_bytes

    def transmission_ns(self, size_bytes: int) -> int:
        """Time that a segment occupies the path, in ns."""
        return size_bytes * self.picoseconds_per_byte // 1000
