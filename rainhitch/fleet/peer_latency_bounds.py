"""Bounds the latencies of cache servers that other routers publish. No sockets, no clock.

To a router with a bad link, a slow core or a fault all servers look slow, and all routers use the latencies
that it publishes. No single router may stop the others from using a server by that. So a latency from one
author counts for at most `MAX_FACTOR` times the highest latency that another author has recently published or
observed for that server; without another author, at most `MAX_FACTOR` times the fleet's mean latency. Two
authors that agree form a quorum and count in full. One faulty router thus at most doubles an estimate, until
the next latency from another author. This router's own observations count as those of one author. A
latency expires after `EXPIRY_NS`, so that an author that falls silent has no lasting effect. The memory is
bounded by the endpoint list and `MAX_AUTHORS` authors per server.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from rainhitch.interface import LatencyObservation

MAX_FACTOR = 2  # a latency counts for at most this multiple of a second author's
EXPIRY_NS = 4_000_000_000  # in this time 200 routers publish each server about twice
MAX_AUTHORS = 4  # number of authors kept per server, the latest ones
MEAN_WEIGHT = 1 / 64  # weight of one latency in the moving average of all


@dataclass(slots=True)
class RecordedLatency:
    """Latest latency of one server according to one author."""

    at_ns: int
    elapsed_ns: int


class PeerLatencyBounds:
    """Latest latencies of each server by author; `own_index` is the number of this router."""

    def __init__(self, own_index: int) -> None:
        self.own_index = own_index
        self.latencies: dict[str, dict[int, RecordedLatency]] = {}  # by server and author, latest last
        self.mean_latency_ns = 0.0  # moving average of all latencies that were accepted or observed
        self.bounded_count = 0  # latencies that were reduced to their bound, since the start

    def set_servers(self, names: Iterable[str]) -> None:
        """Forgets the servers that are no longer on the endpoint list."""
        listed = set(names)
        self.latencies = {name: authors for name, authors in self.latencies.items() if name in listed}

    def record_own(self, now_ns: int, observations: Iterable[LatencyObservation]) -> None:
        """Records this router's own observations."""
        for observation in observations:
            self._record(now_ns, self.own_index, observation.server, observation.elapsed_ns)
            self._update_mean(observation.elapsed_ns)

    def bound(
        self, now_ns: int, author: int, observations: Iterable[LatencyObservation]
    ) -> list[LatencyObservation]:
        """Records another router's observations and returns them with bounded latencies."""
        bounded = []
        for observation in observations:
            elapsed_ns = observation.elapsed_ns
            bound_ns = self._latency_bound_ns(now_ns, author, observation.server)
            if bound_ns and elapsed_ns > int(bound_ns):
                elapsed_ns = int(bound_ns)
                self.bounded_count += 1
            bounded.append(LatencyObservation(observation.server, elapsed_ns, observation.is_in_flight))
            # The published latency is recorded, not the bounded one, so that a second author can confirm it.
            # The moving average uses the bounded one.
            self._record(now_ns, author, observation.server, observation.elapsed_ns)
            self._update_mean(elapsed_ns)
        return bounded

    def _latency_bound_ns(self, now_ns: int, author: int, server: str) -> float:
        """Returns the bound of an author's latency of a server, or 0 if no latency bounds it."""
        slowest_ns = -1  # below 0 without a second author
        for other, latency in self.latencies.get(server, {}).items():
            is_fresh = now_ns - latency.at_ns <= EXPIRY_NS
            if is_fresh and other != author and latency.elapsed_ns > slowest_ns:
                slowest_ns = latency.elapsed_ns
        if slowest_ns < 0:
            return MAX_FACTOR * self.mean_latency_ns
        return MAX_FACTOR * slowest_ns

    def _record(self, now_ns: int, author: int, server: str, elapsed_ns: int) -> None:
        authors = self.latencies.setdefault(server, {})
        latency = authors.pop(author, None)
        if latency is None:
            latency = RecordedLatency(now_ns, elapsed_ns)
        else:
            latency.at_ns = now_ns
            latency.elapsed_ns = elapsed_ns
        authors[author] = latency
        if len(authors) > MAX_AUTHORS:
            del authors[next(iter(authors))]

    def _update_mean(self, elapsed_ns: int) -> None:
        weight = MEAN_WEIGHT if self.mean_latency_ns else 1
        self.mean_latency_ns += (elapsed_ns - self.mean_latency_ns) * weight
