"""Drains client connections so that no close collides with a request.

Each connection is half closed after its next response, idle ones after DRAIN_IDLE_S, and all others according
to the shutdown schedule.
"""

import asyncio
from collections.abc import Callable, Iterable

from rainhitch.node.client_activity import ClientActivity
from rainhitch.node.client_connection import CONNECTION_OPEN, ClientConnection
from rainhitch.node.shutdown import MAX_DEADLINE_WAIT_S, shutdown_schedule

DRAIN_IDLE_S = 0.05  # time without a request after which a draining connection counts as idle
DRAIN_INTERVAL_S = 0.1


class ClientDrain:
    """The drain of one router's client connections; `half_close_idle` closes an unused one."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connections: Iterable[ClientConnection],
        activity: ClientActivity,
        half_close_idle: Callable[[ClientConnection], None],
    ) -> None:
        self.loop = loop
        self.connections = connections
        self.activity = activity
        self.half_close_idle = half_close_idle
        self.is_active = False
        self.schedule = shutdown_schedule(MAX_DEADLINE_WAIT_S)  # a shutdown replaces it from the settings
        self.started_at_s = 0.0

    def start(self) -> None:
        """Starts the drain, unless it is under way.

        While the schedule allows, closes directly after a response, when the client has no request in flight.
        """
        if not self.is_active:
            self.is_active = True
            self.started_at_s = self.loop.time()
            self.loop.call_later(DRAIN_INTERVAL_S, self._step, self.started_at_s)

    def cancel(self) -> None:
        """Cancels the drain: connections stay open again."""
        self.is_active = False

    def _step(self, started_at_s: float) -> None:
        if not self.is_active or self.started_at_s != started_at_s:
            return
        elapsed_s = self.loop.time() - started_at_s
        if elapsed_s >= self.schedule.close_idle_s:
            self._close_idle()
        if elapsed_s >= self.schedule.stop_reading_s:
            is_late = elapsed_s >= self.schedule.all_answered_s  # until then, commands may be completed
            self._stop_reading(is_late)
        self.loop.call_later(DRAIN_INTERVAL_S, self._step, started_at_s)

    def _close_idle(self) -> None:
        for group in (self.activity.awaiting_command, self.activity.idle):
            for client in list(self.activity.iter_unused(group, DRAIN_IDLE_S)):
                self.half_close_idle(client)

    def _stop_reading(self, is_late: bool) -> None:
        still_open = [client for client in self.connections if client.state is CONNECTION_OPEN]
        for client in [client for client in still_open if client.responses.slots or is_late]:
            client.close_when_answered()
