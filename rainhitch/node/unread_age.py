"""Estimates for how long data read from a client may have been unread in the system. Makes no decisions."""

import asyncio

from rainhitch.node.loop_lag import LoopLag
from rainhitch.system import System

NS_PER_MS = 1_000_000
# First data that is read within this time after the accept counts as having arrived with the connection.
MAX_FIRST_READ_DELAY_NS = 20 * NS_PER_MS


class UnreadAge:
    """The age of the unread bytes of one client connection.

    Time in which the process was delayed or a new connection waited in the backlog is part of the client's
    wait and must count against its deadline. Not every system reports the age of unread bytes, so the delays
    of the event loop are the minimum.
    """

    __slots__ = ("accepted_at_ns", "loop_lag", "reading_resumed_at_ns", "system", "waited_for_accept_ns")

    def __init__(self, system: System, loop_lag: LoopLag) -> None:
        self.system = system
        self.loop_lag = loop_lag
        self.reading_resumed_at_ns = 0
        self.accepted_at_ns = 0
        self.waited_for_accept_ns = 0

    def accepted(self, now: int, waited_ns: int) -> None:
        """Records that the connection was accepted after up to `waited_ns` in the backlog."""
        self.accepted_at_ns = now
        self.waited_for_accept_ns = waited_ns

    def reading_resumed(self) -> None:
        """Records that reading resumed: until then, data waited for the client's own earlier commands."""
        self.reading_resumed_at_ns = self.system.now()

    def age_ns(self, transport: asyncio.Transport, is_first: bool) -> int:
        """Returns how long in ns data just read may have been unread; `is_first`: whether it is the first."""
        now = self.system.now()
        reported_ns = self.system.unread_ms(transport) * NS_PER_MS
        since_resumed_ns = now - self.reading_resumed_at_ns
        age_ns = max(min(reported_ns, since_resumed_ns), self.loop_lag.age_ns())
        since_accept_ns = now - self.accepted_at_ns
        if is_first and since_accept_ns < MAX_FIRST_READ_DELAY_NS:
            return max(age_ns, since_accept_ns + self.waited_for_accept_ns)
        return age_ns
