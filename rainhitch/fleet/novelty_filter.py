"""Selects the observations that a router publishes. No sockets, no clock.

A datagram costs CPU at every router that receives it, and several routers observe the same server within one
interval. Once another router has published an observation of that server, all routers have it, and a second
one adds nothing. So the number of observations received per server hardly grows with the number of routers.
"""

from collections.abc import Iterable

from rainhitch.interface import LatencyObservation


class NoveltyFilter:
    """Servers that other routers have published since this one last did; bounded by the endpoint list."""

    def __init__(self) -> None:
        self.published: set[str] = set()

    def record_published(self, observations: Iterable[LatencyObservation]) -> None:
        """Records the observations that another router has published."""
        self.published.update(observation.server for observation in observations)

    def select_new(self, observations: Iterable[LatencyObservation]) -> list[LatencyObservation]:
        """Returns the observations of an interval that are to be published, and begins the next interval."""
        new = [observation for observation in observations if observation.server not in self.published]
        self.published.clear()
        return new
