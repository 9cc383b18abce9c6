"""For how long what is read from a client may have been lying unread in the system. No decisions."""

import asyncio

from rainhitch.node.loop_lag import LoopLag
from rainhitch.system import System

NS_PER_MS = 1_000_000
# What is read within this time after an accept, and is the first, had come with its connection.
CAME_WITH_CONNECTION_NS = 20 * NS_PER_MS


class UnreadAge:
    """The age of the unread bytes of one client's connection.

    Guards deadlines against the time in which the process was delayed or a newcomer waited in the backlog,
    which is its client's time too. The system does not report the age everywhere; there the delays of the
    event loop count.
    """

    __slots__ = ("accepted_at_ns", "loop_lag", "reading_resumed_at_ns", "system", "waited_for_accept_ns")

    def __init__(self, system: System, loop_lag: LoopLag) -> None:
        self.system = system
        self.loop_lag = loop_lag
        self.reading_resumed_at_ns = 0
        self.accepted_at_ns = 0
        self.waited_for_accept_ns = 0

    def accepted(self, now: int, waited_ns: int) -> None:
        """The connection was accepted, and may have waited for that in the backlog for so long."""
        self.accepted_at_ns = now
        self.waited_for_accept_ns = waited_ns

    def reading_resumed(self) -> None:
        """Reading goes on after a pause: what lay meanwhile waited for the client's own earlier commands."""
        self.reading_resumed_at_ns = self.system.now()

    def age_ns(self, transport: asyncio.Transport, is_first: bool) -> int:
        """For how long what has just been read may have been unread, ns; `is_first`: nothing came before."""
        now = self.system.now()
        reported_ns = self.system.unread_ms(transport) * NS_PER_MS
        since_resumed_ns = now - self.reading_resumed_at_ns
        age_ns = max(min(reported_ns, since_resumed_ns), self.loop_lag.age_ns())
        since_accept_ns = now - self.accepted_at_ns
        if is_first and since_accept_ns < CAME_WITH_CONNECTION_NS:
            return max(age_ns, since_accept_ns + self.waited_for_accept_ns)
        return age_ns
