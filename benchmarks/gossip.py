"""What a word from another router costs beside a request: `python -m benchmarks.advice`.

Side by side in one run, in turns: decisions on a request that is hit, one datagram written, and one read and
taken up, with 9, 60 and 200 servers listed. Prints microseconds and the ratio to a request.
"""

import statistics
import time
from collections.abc import Callable

from rainhitch import interface as api
from rainhitch.fleet.gossip_codec import decode, encode, names_by_hash
from rainhitch.policy.balancer import Balancer

SECOND = 1_000_000_000
ROUNDS, TURNS = 15, 400
SEEN = 20  # servers that a datagram tells of


class Bench:
    """One router's decisions, with so many servers."""

    def __init__(self, servers: int) -> None:
        classes = [api.RequestClass(latency_objective_ns=SECOND, deadline_ns=2 * SECOND)]
        told = api.Settings(classes, router_count=40, max_attempts=4, gossip_interval_ns=SECOND)
        self.balancer = Balancer(told, 1)
        self.names = [f"s-{n:08x}" for n in range(servers)]
        self.now, self.count = 100 * SECOND, 0
        self.balancer.handle(
            self.now, api.EndpointUpdate(api.EndpointUpdateKind.CACHED, [api.Endpoint(n) for n in self.names])
        )
        self.known = names_by_hash(self.names)
        self.seen = [api.LatencyObservation(name, SECOND // 20) for name in self.names[:SEEN]]
        self.word = encode(self.seen)

    def request(self) -> None:
        self.count += 1
        self.now += SECOND // 25
        name = f"r{self.count}"
        actions = self.balancer.handle(
            self.now, api.Request(name, 0, self.now + SECOND, f"k{self.count % 500}")
        )
        for action in actions:
            if isinstance(action, api.StartAttempt):
                answer = api.AttemptFinished(name, 0, action.server, api.AttemptStatus.OK, True, SECOND // 20)
                self.balancer.handle(self.now, answer)

    def write(self) -> None:
        encode(self.seen)

    def hear(self) -> None:
        self.balancer.handle(self.now, api.GossipReceived(decode(self.word, self.known)))


def cost(work: Callable[[], None]) -> float:
    begun = time.process_time_ns()
    for _ in range(TURNS):
        work()
    return (time.process_time_ns() - begun) / TURNS / 1000


def main() -> None:
    print(f"microseconds, median of {ROUNDS} rounds; {SEEN} servers a datagram, or all there are")
    for servers in (9, 60, 200):
        bench = Bench(servers)
        rounds = [(cost(bench.request), cost(bench.write), cost(bench.hear)) for _ in range(ROUNDS)]
        request, write, hear = (statistics.median(column) for column in zip(*rounds, strict=True))
        print(
            f"{servers:4} servers: request {request:6.1f}, written {write:6.1f} ({write / request:.2f}), "
            f"heard {hear:6.1f} ({hear / request:.2f})"
        )


if __name__ == "__main__":
    main()
