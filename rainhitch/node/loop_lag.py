"""Measures how late the event loop is, and from that how old the data it reads may be.

Theory of operation. A router reads its clock when it handles data, which may be long after the data arrived:
the process was delayed (stopped, without a core, in a slow system call), or its own callbacks were slow. The
kernel reports the age of unread bytes (TCP_INFO), but not on every host. Two bounds hold without it:

    poll -- callbacks of turn k -- poll -- callbacks of turn k+1 -- poll ...

Data read in turn k+1, after a slow callback in turn k, may have arrived when that callback began. And if the
heartbeat is overdue, the process has been delayed since it was last known to run, as otherwise the poll would
have returned for the heartbeat. Data read then, or in the next turn, may have arrived at any time since.

The event loop in use (uvloop) reads its time anew on each call, so the time at which the poll returned is not
available. A delay during the poll that ends before the next heartbeat is due is not detected.
"""

import asyncio
from collections.abc import Callable

NS_PER_S = 1_000_000_000
SLOW_CALLBACK_NS = 2_000_000  # data that arrives during a longer callback counts as delayed
HEARTBEAT_NS = NS_PER_S // 40
HEARTBEAT_TOLERANCE_NS = NS_PER_S // 100  # lateness of the heartbeat that does not count as a delay


class LoopLag:
    """Detects the delays of one event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, now: Callable[[], int]) -> None:
        self.loop = loop
        self.now = now
        self._on_delay: Callable[[int], None] = lambda delay_ns: None
        self.ran_at_ns = now()  # time at which the process was last known to run with no older data unread
        self.heartbeat_due_at_ns = self.ran_at_ns + HEARTBEAT_NS
        self._delay_start_ns: int | None = None  # start of the delay detected in this turn
        self._prior_delay_start_ns: int | None = None  # start of the delay detected in the previous turn
        self._watches_turns = False

    def report_to(self, on_delay: Callable[[int], None]) -> None:
        """Sets the one function that is called with each detected delay, in ns."""
        self._on_delay = on_delay

    def heartbeat(self) -> None:
        """Records a heartbeat; a timer must call this every HEARTBEAT_NS."""
        self.callback_begins()
        self.heartbeat_due_at_ns = self.ran_at_ns + HEARTBEAT_NS

    def callback_begins(self) -> None:
        """Records the start of a callback; each callback that reads data must call this first."""
        now = self.now()
        if now > self.heartbeat_due_at_ns + HEARTBEAT_TOLERANCE_NS:
            self._record_delay(now, self.ran_at_ns)
        self.ran_at_ns = now

    def callback_ends(self) -> None:
        """Records the end of a callback; each callback that reads data must call this last."""
        now = self.now()
        if now - self.ran_at_ns > SLOW_CALLBACK_NS:
            self._record_delay(now, self.ran_at_ns)
        self.ran_at_ns = now

    def age_ns(self) -> int:
        """Returns for how long data read now may have been unread, in ns; 0 if the loop is not late."""
        since_ns = self._delay_start_ns if self._prior_delay_start_ns is None else self._prior_delay_start_ns
        return 0 if since_ns is None else self.now() - since_ns

    def _record_delay(self, now: int, since_ns: int) -> None:
        self._on_delay(now - since_ns)
        if self._delay_start_ns is None:
            self._delay_start_ns = since_ns
        else:
            self._delay_start_ns = min(self._delay_start_ns, since_ns)
        # An overdue heartbeat must be reported as one delay only.
        self.heartbeat_due_at_ns = max(self.heartbeat_due_at_ns, now)
        if not self._watches_turns:
            self._watches_turns = True
            self.loop.call_soon(self._next_turn)

    def _next_turn(self) -> None:
        """Makes the delay of this turn that of the previous turn; runs before sockets are polled again."""
        self._prior_delay_start_ns = self._delay_start_ns
        self._delay_start_ns = None
        self._watches_turns = self._prior_delay_start_ns is not None
        if self._watches_turns:
            self.loop.call_soon(self._next_turn)
