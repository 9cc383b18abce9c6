"""Aborts client connections whose responses stay unread or that linger too long after a half close."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from rainhitch.node.close_reason import CloseReason
from rainhitch.node.rejected_connection import LINGER_S


class CloseTimerHost(Protocol):
    """The parts of the router that the timer uses."""

    loop: asyncio.AbstractEventLoop
    unread_responses_limit_s: float  # time for which a client may leave responses unread


def _do_nothing(reason: CloseReason) -> None:
    """Replaces the abort of a connection that is already closed."""


class CloseTimer:
    """The timer of one connection; `abort` closes the connection."""

    __slots__ = ("abort", "host", "is_closed", "timer")

    def __init__(self, host: CloseTimerHost, abort: Callable[[CloseReason], None]) -> None:
        self.host = host
        self.abort = abort
        self.timer: asyncio.TimerHandle | None = None
        self.is_closed = False  # whether the connection is closed

    def start_for_unread_responses(self) -> None:
        """Starts the time limit `unread_responses_limit_s` for a client that reads too slowly."""
        self.timer = self.host.loop.call_later(
            self.host.unread_responses_limit_s, self.abort, CloseReason.UNREAD_RESPONSES
        )

    def start_for_lingering(self, transport: asyncio.Transport) -> None:
        """Starts the time limit LINGER_S for the client to close its side after a half close."""
        self.cancel()
        loop = self.host.loop
        self.timer = loop.call_later(LINGER_S, self._linger_expired, transport, loop.time())

    def cancel(self) -> None:
        """Stops the timer, as when the client has read its responses."""
        if self.timer is not None:
            self.timer.cancel()

    def connection_lost(self) -> None:
        """Stops the timer and drops the reference to the connection, so that no reference cycle is left."""
        self.is_closed = True
        self.abort = _do_nothing
        self.cancel()

    def _linger_expired(self, transport: asyncio.Transport, since_s: float) -> None:
        """Aborts a lingering connection; a slow reader has `unread_responses_limit_s` for unsent data."""
        if self.is_closed:
            return
        loop = self.host.loop
        left_s = since_s + self.host.unread_responses_limit_s - loop.time()
        if transport.get_write_buffer_size() and left_s > 0:
            self.timer = loop.call_later(min(LINGER_S, left_s), self._linger_expired, transport, since_s)
        else:
            self.abort(CloseReason.LINGERED)
