"""How far other routers' latencies of the cache servers are believed. No sockets, no clock.

A router with a bad link, a slow core or a fault sees all servers slow, and what it publishes is used by all.
So no router alone may shut a server for the others: a latency from one author counts for at most `MAX_FACTOR`
times what a second, independent author has lately published or observed of that server; where there is none,
of what is usual in the fleet. Two authors that agree are believed in full, a quorum of two: one faulty router
costs at most a doubled estimate, which the next latency from another ends. What this router has observed
itself counts as one of the authors. Each judgement expires after `EXPIRY_NS`, so that nobody's silence keeps
one alive. What is kept is bounded by the endpoint list, with `MAX_AUTHORS` a server.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from rainhitch.interface import LatencyObservation

MAX_FACTOR = 2  # of a second author's latency, for which a latency counts at most
EXPIRY_NS = 4_000_000_000  # at 200 routers one server is published about twice in it
MAX_AUTHORS = 4  # kept of a server, the latest
USUAL_WEIGHT = 1 / 64  # of a latency in the moving average of all


@dataclass(slots=True)
class Judgement:
    """The latest latency that one author gave of one server."""

    at_ns: int
    elapsed_ns: int


class PeerJudgements:
    """The latest latencies of each server, by author; `me` is the number of this router."""

    def __init__(self, me: int) -> None:
        self.me = me
        self.judgements: dict[str, dict[int, Judgement]] = {}  # by server and author, the latest author last
        self.usual_ns = 0.0  # moving average of all latencies, published or observed
        self.bounded = 0  # latencies that were not believed in full, since the start

    def set_servers(self, names: Iterable[str]) -> None:
        """Forgets the servers that are not on the endpoint list any more."""
        kept = set(names)
        self.judgements = {name: authors for name, authors in self.judgements.items() if name in kept}

    def record_own(self, now_ns: int, observations: Iterable[LatencyObservation]) -> None:
        """Records what this router has observed itself."""
        for one in observations:
            self._record(now_ns, self.me, one.server, one.elapsed_ns)
            self._update_usual(one.elapsed_ns)

    def bound(
        self, now_ns: int, author: int, observations: Iterable[LatencyObservation]
    ) -> list[LatencyObservation]:
        """Returns another router's observations with the latencies that are believed, and records them."""
        believed = []
        for one in observations:
            elapsed_ns = one.elapsed_ns
            max_ns = self._max_believed_ns(now_ns, author, one.server)
            if max_ns and elapsed_ns > int(max_ns):
                elapsed_ns = int(max_ns)
                self.bounded += 1
            believed.append(LatencyObservation(one.server, elapsed_ns, one.is_in_flight))
            # What was published is recorded, not what was believed: a second author confirms the published
            # latency. What is usual follows what was believed.
            self._record(now_ns, author, one.server, one.elapsed_ns)
            self._update_usual(elapsed_ns)
        return believed

    def _max_believed_ns(self, now_ns: int, author: int, server: str) -> float:
        """Returns for how much an author's latency counts at most; 0: nothing is known that bounds it."""
        slowest_ns = -1  # below 0: no second author
        for other, judgement in self.judgements.get(server, {}).items():
            is_fresh = now_ns - judgement.at_ns <= EXPIRY_NS
            if is_fresh and other != author and judgement.elapsed_ns > slowest_ns:
                slowest_ns = judgement.elapsed_ns
        if slowest_ns < 0:
            return MAX_FACTOR * self.usual_ns
        return MAX_FACTOR * slowest_ns

    def _record(self, now_ns: int, author: int, server: str, elapsed_ns: int) -> None:
        authors = self.judgements.setdefault(server, {})
        judgement = authors.pop(author, None)
        if judgement is None:
            judgement = Judgement(now_ns, elapsed_ns)
        else:
            judgement.at_ns = now_ns
            judgement.elapsed_ns = elapsed_ns
        authors[author] = judgement
        if len(authors) > MAX_AUTHORS:
            del authors[next(iter(authors))]

    def _update_usual(self, elapsed_ns: int) -> None:
        weight = USUAL_WEIGHT if self.usual_ns else 1
        self.usual_ns += (elapsed_ns - self.usual_ns) * weight
