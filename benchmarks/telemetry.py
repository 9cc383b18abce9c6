"""What a second's record costs beside the decisions on a request.

    python -m benchmarks telemetry

Side by side in one run, in turns: decisions on a request that is a hit, what is counted of one, and one
record made and serialised, with 9, 60 and 200 servers in it. Prints microseconds of CPU and the ratio to a
request.
"""

import sys

import orjson

from benchmarks.rig import (
    SERVER_COUNTS,
    DecisionBench,
    median_cpu_us,
    parser_for,
    print_row,
    print_table_header,
)
from rainhitch.telemetry.counts import Counts


class CountingBench:
    """The counts of a router that has attempts at so many servers in a second."""

    def __init__(self, servers: int) -> None:
        self.counts = Counts()
        self.servers = [f"s-{number:08x}" for number in range(servers)]
        self.requests = 0

    def request(self) -> None:
        """Counts what the driver counts of a request with one attempt."""
        add = self.counts.add
        server = self.servers[self.requests % len(self.servers)]
        self.requests += 1
        self.counts.taken += 1
        add("sent", server)
        add("tried", "ok")
        add("took", "ok", 120)
        add("customers", "nangang-chip served")
        add("ended", "served")

    def record(self) -> None:
        """Counts one request for each server, and makes the record of them."""
        for _ in self.servers:
            self.request()
        orjson.dumps(self.counts.take_record(0.0, 0.0))


def main(arguments: list[str]) -> int:
    """Runs the benchmark; gives the exit code."""
    parser_for(__doc__).parse_args(arguments)
    print_table_header(
        ["servers", "a request's decisions, us", "its counts", "ratio", "a record with its counts, us"]
    )
    for servers in SERVER_COUNTS:
        bench = DecisionBench(servers)
        counting = CountingBench(servers)
        decided_us, counted_us, record_us = median_cpu_us(bench.request, counting.request, counting.record)
        ratio = counted_us / decided_us
        print_row(
            [str(servers), f"{decided_us:.1f}", f"{counted_us:.2f}", f"{ratio:.3f}", f"{record_us:.0f}"]
        )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
