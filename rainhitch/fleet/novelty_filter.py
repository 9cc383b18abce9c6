"""Which of a router's observations are worth publishing. No sockets, no clock.

A datagram costs CPU at every router that receives it, and in one interval several routers observe the same
server. Once another router has published that server, all know of it, and to publish it again brings nothing.
So what all receive of one server hardly grows with the number of routers.
"""

from collections.abc import Iterable

from rainhitch.interface import LatencyObservation


class NoveltyFilter:
    """Servers that other routers have published since this one last did; bounded by the endpoint list."""

    def __init__(self) -> None:
        self.published: set[str] = set()

    def record_published(self, observations: Iterable[LatencyObservation]) -> None:
        """Records what another router has published."""
        self.published.update(one.server for one in observations)

    def select_new(self, observations: Iterable[LatencyObservation]) -> list[LatencyObservation]:
        """Returns which of an interval's observations are to be published, and begins the next interval."""
        new = [one for one in observations if one.server not in self.published]
        self.published.clear()
        return new
