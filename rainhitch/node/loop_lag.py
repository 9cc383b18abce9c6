"""How late the event loop is, and so how old what it reads may be.

Theory of operation. A router reads its clock when it takes up what it reads, and that may be long after the
bytes came: the process was held up (stopped, without its core, in a system call that took long), or its own
callbacks took long. The kernel tells the age of unread bytes (TCP_INFO), but not on every host. Two bounds
hold without it:

    poll -- callbacks of turn k -- poll -- callbacks of turn k+1 -- poll ...

What is read in turn k+1, behind a callback of turn k that took long, may have come when that callback began.
And where the heartbeat is overdue, the process was held up since it was last known to run: the poll would
have returned for it. What is read then, and in the next turn, may have come at any time since.

The event loop in service tells its time anew with each call, so that it can't be asked when its poll
returned. A delay in the poll that ends before the next heartbeat is due is not seen.
"""

import asyncio
from collections.abc import Callable

SECOND = 1_000_000_000
SLOW = 2_000_000  # ns of a callback from which it has kept what came meanwhile waiting
HEARTBEAT = SECOND // 40  # ns
OVERDUE = SECOND // 100  # ns by which the heartbeat of a loop that is not held up may come late


class LoopLag:
    """The lag of one event loop. `found` is told of each delay, in ns."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        now: Callable[[], int],
        found: Callable[[int], None] = lambda delay: None,
    ) -> None:
        self.loop, self.now, self.found = loop, now, found
        self.ran = now()  # when the process was last known to run, and nothing older to be unread
        self.due = self.ran + HEARTBEAT  # when the next heartbeat is due
        self._since: int | None = None  # begin of the delay found in this turn
        self._before: int | None = None  # and in the one before it
        self._watching = False

    def heartbeat(self) -> None:
        """To be called every HEARTBEAT, by a timer."""
        self.begins()
        self.due = self.ran + HEARTBEAT

    def begins(self) -> None:
        """A callback begins."""
        now = self.now()
        if now > self.due + OVERDUE:
            self._delayed(now, self.ran)
        self.ran = now

    def ends(self) -> None:
        """It ends."""
        now = self.now()
        if now - self.ran > SLOW:
            self._delayed(now, self.ran)
        self.ran = now

    def age(self) -> int:
        """For how long what is read now may have been there, ns; 0 where the loop is in time."""
        since = self._since if self._before is None else self._before
        return 0 if since is None else self.now() - since

    def _delayed(self, now: int, since: int) -> None:
        self.found(now - since)
        self._since = since if self._since is None else min(self._since, since)
        self.due = max(self.due, now)  # a heartbeat that is overdue tells of one delay
        if not self._watching:
            self._watching = True
            self.loop.call_soon(self._next_turn)

    def _next_turn(self) -> None:
        """Runs between two turns: before the sockets are looked at again."""
        self._before, self._since = self._since, None
        self._watching = self._before is not None
        if self._watching:
            self.loop.call_soon(self._next_turn)
