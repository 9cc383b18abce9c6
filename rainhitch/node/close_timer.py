"""The timer that ends a client's connection by force: its answers stay unread, or it lingers half closed."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from rainhitch.node.close_reason import CloseReason
from rainhitch.node.rejected_connection import LINGER_S


class CloseTimerHost(Protocol):
    """What the timer needs of the router."""

    loop: asyncio.AbstractEventLoop
    unread_answers_limit_s: float  # for which a client may leave answers unread


def _do_nothing(reason: CloseReason) -> None:
    """In place of the abort of a connection that is gone."""


class CloseTimer:
    """One timer of a connection; `abort` ends the connection."""

    __slots__ = ("abort", "host", "is_lost", "timer")

    def __init__(self, host: CloseTimerHost, abort: Callable[[CloseReason], None]) -> None:
        self.host = host
        self.abort = abort
        self.timer: asyncio.TimerHandle | None = None
        self.is_lost = False  # the connection is

    def start_for_unread_answers(self) -> None:
        """The client reads too slowly: it has `unread_answers_limit_s` to read what was written."""
        self.timer = self.host.loop.call_later(
            self.host.unread_answers_limit_s, self.abort, CloseReason.UNREAD_ANSWERS
        )

    def start_for_lingering(self, transport: asyncio.Transport) -> None:
        """The connection is half closed: the client has LINGER_S to close its side."""
        self.cancel()
        loop = self.host.loop
        self.timer = loop.call_later(LINGER_S, self._linger_over, transport, loop.time())

    def cancel(self) -> None:
        """The client has read its answers."""
        if self.timer is not None:
            self.timer.cancel()

    def connection_lost(self) -> None:
        """The connection is gone; it is let go of, so that the two are no cycle for the garbage collector."""
        self.is_lost = True
        self.abort = _do_nothing
        self.cancel()

    def _linger_over(self, transport: asyncio.Transport, since_s: float) -> None:
        """Guards a client that reads slowly: what is left to send has the time that answers have."""
        if self.is_lost:
            return
        loop = self.host.loop
        left_s = since_s + self.host.unread_answers_limit_s - loop.time()
        if transport.get_write_buffer_size() and left_s > 0:
            self.timer = loop.call_later(min(LINGER_S, left_s), self._linger_over, transport, since_s)
        else:
            self.abort(CloseReason.LINGERED)
