"""What a second's record costs beside the decisions on a request: `python -m benchmarks.telemetry`.

Side by side in one run, in turns: decisions on a request that is hit, what is counted of one, and one record
cut and written out, with 9, 60 and 200 servers in it. Prints microseconds and the ratio to a request.
"""

import statistics

import orjson

from benchmarks.gossip import ROUNDS, Bench, cost
from rainhitch.telemetry.counts import Counts


class Counting:
    """The counts of a router that meets so many servers in a second."""

    def __init__(self, servers: int) -> None:
        self.counts, self.names = Counts(), [f"s-{n:08x}" for n in range(servers)]
        self.number = 0

    def request(self) -> None:
        """What the driver counts of a request with one attempt."""
        add, server = self.counts.add, self.names[self.number % len(self.names)]
        self.number += 1
        self.counts.taken += 1
        add("sent", server)
        add("tried", "ok")
        add("took", "ok", 120)
        add("customers", "nangang-chip served")
        add("ended", "served")

    def record(self) -> None:
        for _ in self.names:
            self.request()
        orjson.dumps(self.counts.cut(0.0, 0.0))


def main() -> None:
    print("| servers | a request's decisions, us | its counts | ratio | a record with its counts, us |")
    print("| --- | --- | --- | --- | --- |")
    for servers in (9, 60, 200):
        bench, counting = Bench(servers), Counting(servers)
        rows = [(cost(bench.request), cost(counting.request), cost(counting.record)) for _ in range(ROUNDS)]
        decided, counted, record = (statistics.median(column) for column in zip(*rows, strict=True))
        print(f"| {servers} | {decided:.1f} | {counted:.2f} | {counted / decided:.3f} | {record:.0f} |")


if __name__ == "__main__":
    main()
