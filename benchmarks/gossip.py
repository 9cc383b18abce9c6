"""What a gossip datagram from another router costs beside a request.

    python -m benchmarks gossip

Side by side in one run, in turns: decisions on a request that is a hit, one datagram encoded, and one decoded
and taken into the decisions, with 9, 60 and 200 servers listed. Prints microseconds of CPU and the ratio to a
request.
"""

import sys

from benchmarks.rig import (
    ATTEMPT_NS,
    SERVER_COUNTS,
    SERVERS_PER_DATAGRAM,
    TIMED_ROUNDS,
    DecisionBench,
    median_cpu_us,
    parser_for,
)
from rainhitch import interface as api
from rainhitch.fleet.gossip_codec import decode, encode, names_by_hash


class GossipBench(DecisionBench):
    """One router's decisions, and datagrams on so many of its servers."""

    def __init__(self, servers: int) -> None:
        super().__init__(servers)
        self.known_names = names_by_hash(self.servers)
        named = self.servers[:SERVERS_PER_DATAGRAM]
        self.observations = [api.LatencyObservation(name, ATTEMPT_NS) for name in named]
        self.datagram = encode(self.observations)

    def send(self) -> None:
        """Encodes a datagram."""
        encode(self.observations)

    def receive(self) -> None:
        """Decodes a datagram, and gives it to the decisions."""
        received = api.GossipReceived(decode(self.datagram, self.known_names))
        self.balancer.handle(self.now_ns, received)


def main(arguments: list[str]) -> int:
    """Runs the benchmark; gives the exit code."""
    parser_for(__doc__).parse_args(arguments)
    print(
        f"microseconds, median of {TIMED_ROUNDS} rounds; {SERVERS_PER_DATAGRAM} servers a datagram, "
        "or all there are"
    )
    for servers in SERVER_COUNTS:
        bench = GossipBench(servers)
        request_us, send_us, receive_us = median_cpu_us(bench.request, bench.send, bench.receive)
        print(
            f"{servers:4} servers: request {request_us:6.1f}, "
            f"written {send_us:6.1f} ({send_us / request_us:.2f}), "
            f"heard {receive_us:6.1f} ({receive_us / request_us:.2f})"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
