"""Which of what a router has seen is worth a datagram. No sockets, no clock.

Theory. A word is paid for at every router that hears it, and in one period several routers see the same
server. Of whom another has told since this router last told, all know: to tell the same again brings nothing.
So what all hear of a server hardly grows with the number of routers.
"""

from collections.abc import Iterable

from rainhitch.interface import LatencyObservation


class NoveltyFilter:
    """What the others have told since this router last did; bounded by the list of servers."""

    def __init__(self) -> None:
        self.known: set[str] = set()

    def record_published(self, seen: Iterable[LatencyObservation]) -> None:
        """Another router has told this."""
        self.known.update(one.server for one in seen)

    def select_new(self, seen: Iterable[LatencyObservation]) -> list[LatencyObservation]:
        """What of a period's sights is to be told; begins the next period."""
        news = [one for one in seen if one.server not in self.known]
        self.known.clear()
        return news
