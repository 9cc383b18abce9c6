"""How late the event loop is, and so how old what it reads may be.

Theory of operation. A router reads its clock when it handles what it reads, and that may be long after the
bytes came: the process was delayed (stopped, without its core, in a system call that took long), or its own
callbacks took long. The kernel reports the age of unread bytes (TCP_INFO), but not on every host. Two bounds
hold without it:

    poll -- callbacks of turn k -- poll -- callbacks of turn k+1 -- poll ...

What is read in turn k+1, behind a callback of turn k that took long, may have come when that callback began.
And where the heartbeat is overdue, the process was delayed since it was last known to run: the poll would
have returned for it. What is read then, and in the next turn, may have come at any time since.

The event loop in service reads its time anew with each call, so that it can't be asked when its poll
returned. A delay in the poll that ends before the next heartbeat is due is not seen.
"""

import asyncio
from collections.abc import Callable

NS_PER_S = 1_000_000_000
SLOW_CALLBACK_NS = 2_000_000  # from which a callback has kept what came meanwhile waiting
HEARTBEAT_NS = NS_PER_S // 40
HEARTBEAT_TOLERANCE_NS = NS_PER_S // 100  # by which the heartbeat of a loop that is not delayed may come late


class LoopLag:
    """The lag of one event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, now: Callable[[], int]) -> None:
        self.loop = loop
        self.now = now
        self._on_delay: Callable[[int], None] = lambda delay_ns: None
        self.ran_at_ns = now()  # when the process was last known to run, and nothing older to be unread
        self.heartbeat_due_at_ns = self.ran_at_ns + HEARTBEAT_NS
        self._delayed_since_ns: int | None = None  # begin of the delay found in this turn
        self._delayed_before_ns: int | None = None  # and in the one before it
        self._watches_turns = False

    def report_to(self, on_delay: Callable[[int], None]) -> None:
        """Has each delay reported from now on, in ns; to one place."""
        self._on_delay = on_delay

    def heartbeat(self) -> None:
        """To be called every HEARTBEAT_NS, by a timer."""
        self.callback_begins()
        self.heartbeat_due_at_ns = self.ran_at_ns + HEARTBEAT_NS

    def callback_begins(self) -> None:
        """To be called as a callback begins."""
        now = self.now()
        if now > self.heartbeat_due_at_ns + HEARTBEAT_TOLERANCE_NS:
            self._delayed(now, self.ran_at_ns)
        self.ran_at_ns = now

    def callback_ends(self) -> None:
        """To be called as a callback ends."""
        now = self.now()
        if now - self.ran_at_ns > SLOW_CALLBACK_NS:
            self._delayed(now, self.ran_at_ns)
        self.ran_at_ns = now

    def age_ns(self) -> int:
        """For how long what is read now may have been there, ns; 0 where the loop is in time."""
        since_ns = self._delayed_since_ns if self._delayed_before_ns is None else self._delayed_before_ns
        return 0 if since_ns is None else self.now() - since_ns

    def _delayed(self, now: int, since_ns: int) -> None:
        self._on_delay(now - since_ns)
        if self._delayed_since_ns is None:
            self._delayed_since_ns = since_ns
        else:
            self._delayed_since_ns = min(self._delayed_since_ns, since_ns)
        # A heartbeat that is overdue reports one delay.
        self.heartbeat_due_at_ns = max(self.heartbeat_due_at_ns, now)
        if not self._watches_turns:
            self._watches_turns = True
            self.loop.call_soon(self._next_turn)

    def _next_turn(self) -> None:
        """Runs between two turns: before the sockets are looked at again."""
        self._delayed_before_ns = self._delayed_since_ns
        self._delayed_since_ns = None
        self._watches_turns = self._delayed_before_ns is not None
        if self._watches_turns:
            self.loop.call_soon(self._next_turn)
