"""What is believed of what routers say of the cache servers: a judgement has an author and an end, and a
bound on what it may change. No sockets, no clock.

Theory. A router with a bad link, a slow core or a bad word sees all servers slow, and what it tells is taken
by all. So no router's word alone may shut a server for the others: a time that one author tells counts for
at most BOUND times what a second, independent author has lately told or seen of that server; where there is
none, of what is usual in the fleet. Two who agree are believed in full (a quorum of evidence of two: one
wrong router costs at most a doubled estimate, which the next word of another ends). What this router itself
has lately seen is one of the authors. Every word ends after END, whoever told it, so that nobody's silence
keeps a judgement alive; what is kept is bounded by the list, with AUTHORS a server.
"""

from collections.abc import Iterable

from rainhitch.interface import LatencyObservation

BOUND = 2
END = 4_000_000_000  # ns for which a word is evidence: at 200 routers one server is told of about twice in it
AUTHORS = 4  # the latest that are kept of a server
SMOOTHING = 1 / 64  # of what is usual


class PeerJudgements:
    """The latest words on each server, by author. `me` stands for what this router saw itself."""

    def __init__(self, me: int) -> None:
        self.me = me
        self.said: dict[str, dict[int, tuple[int, int]]] = {}  # by server and author: when, and the time told
        self.usual = 0.0  # moving average of all answer times told or seen, ns
        self.bounded = 0  # words that were cut since the start

    def set_servers(self, names: Iterable[str]) -> None:
        """The list has changed: what is not on it is forgotten."""
        kept = set(names)
        self.said = {name: words for name, words in self.said.items() if name in kept}

    def record_own(self, now: int, seen: Iterable[LatencyObservation]) -> None:
        """What this router has seen itself."""
        for one in seen:
            self._note(now, self.me, one.server, one.elapsed_ns)

    def bound(self, now: int, author: int, seen: Iterable[LatencyObservation]) -> list[LatencyObservation]:
        """Another router's words as far as they are believed."""
        made = []
        for one in seen:
            words = self.said.get(one.server, {})
            others = [time for by, (at, time) in words.items() if by != author and now - at <= END]
            most = BOUND * max(others, default=self.usual)
            believed = one.elapsed_ns if not most else min(one.elapsed_ns, int(most))
            self.bounded += believed < one.elapsed_ns
            made.append(LatencyObservation(one.server, believed, one.is_in_flight))
            # What was said is kept, not what was believed: a second author confirms the word itself. What is
            # usual follows what was believed.
            self._note(now, author, one.server, one.elapsed_ns, believed)
        return made

    def _note(self, now: int, author: int, server: str, time: int, believed: int = -1) -> None:
        words = self.said.setdefault(server, {})
        words.pop(author, None)
        words[author] = now, time  # the latest last
        if len(words) > AUTHORS:
            del words[next(iter(words))]
        time = time if believed < 0 else believed
        self.usual += (time - self.usual) * (SMOOTHING if self.usual else 1)
