"""The clients' side: the listener, its connections, and which of them are closed to make room.

Drain: each connection is half closed behind its next answer, idle ones after DRAIN_IDLE_S, all the others by
the shutdown's schedule. Newcomers are admitted all the same until the router closes its listener.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import TYPE_CHECKING

from rainhitch import system
from rainhitch.node.client_activity import ClientActivity
from rainhitch.node.client_connection import ClientConnection, ConnectionState
from rainhitch.node.client_events import ClientEvent, ClientEvents
from rainhitch.node.client_request import ClientRequestError, parse_client_request
from rainhitch.node.close_reason import CloseReason
from rainhitch.node.listener import Listener
from rainhitch.node.rejected_connection import RejectedConnections
from rainhitch.node.request_driver import RequestDriver
from rainhitch.node.session import NO_PASSWORD_NEEDED
from rainhitch.node.shutdown import MAX_DEADLINE_WAIT_S, shutdown_schedule
from rainhitch.settings import Names

if TYPE_CHECKING:
    from rainhitch.overload.controller import OverloadController

UNREAD_ANSWERS_LIMIT_S = 10.0  # for which a client may leave answers unread
UNFINISHED_COMMAND_LIMIT_S = 2.6  # for which a command may be incomplete, the first from the connect on
IDLE_GRACE_S = 2.0  # for which the sweep leaves an idle connection alone
IDLE_GRACE_NEAR_CAP_S = 0.025  # for which it is left alone when a newcomer finds little room
DRAIN_IDLE_S = 0.05  # without a request, after which a connection counts as idle in a drain
SWEEP_INTERVAL_S = 0.2
DRAIN_INTERVAL_S = SWEEP_INTERVAL_S / 2
NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000


class ClientConnections:
    """The listener and its connections, `max_open` at least; `can_serve` says how PING is answered."""

    def __init__(
        self,
        driver: RequestDriver,
        names: Names,
        max_open: int,
        max_buffered_bytes: int,
        *,
        can_serve: Callable[[], bool],
        overload: "OverloadController | None" = None,
    ) -> None:
        self.driver = driver
        self.can_serve = can_serve
        self.descriptors = driver.pools.descriptors
        self.names = names
        self.max_open = max_open
        self.max_buffered_bytes = max_buffered_bytes
        self.overload = overload
        self.loop: asyncio.AbstractEventLoop = asyncio.get_running_loop()
        self.system = system.of(self.loop)
        self.connections: dict[ClientConnection, None] = {}  # in the order in which they came
        self.activity = ClientActivity(self.loop)
        self.idle_grace_s = IDLE_GRACE_S
        self.idle_grace_near_cap_s = IDLE_GRACE_NEAR_CAP_S
        self.unfinished_command_limit_s = UNFINISHED_COMMAND_LIMIT_S
        self.unread_answers_limit_s = UNREAD_ANSWERS_LIMIT_S
        self.authenticator = NO_PASSWORD_NEEDED  # who may come in
        self.last_connection_id = 0
        self.buffered_bytes = 0  # that clients have not finished sending or reading
        self.closing = False
        self.draining = False
        self.sweep_planned = False
        # Of a drain; where the router ends, the settings' own.
        self.schedule = shutdown_schedule(MAX_DEADLINE_WAIT_S)
        self.drain_started_at_s = 0.0
        self.events = ClientEvents(self.loop)
        self.rejected = RejectedConnections(
            self.loop, self.system, self.events, self._retry_after_ns, self.count_rejected_command
        )
        self._all_closed = asyncio.Event()
        self.listener: Listener | None = None

    async def listen(self, host: str, port: int, inherited: int | None = None) -> tuple[str, int]:
        """Begins to accept on an address, or on an inherited socket; gives the address. Raises OSError."""
        self.listener = Listener(self.loop, lambda: ClientConnection(self), host, port, inherited)
        return await self.listener.open()

    def admit(self, client: ClientConnection) -> bool:
        """Takes in a new connection; at the cap only where another can be closed."""
        self._pace_accepts()
        if len(self.connections) >= self.descriptors.max_clients(self.max_open):
            if not self._make_room():
                return False
        elif len(self.connections) > self.max_open // 2:
            # Guards clients that keep what they opened against a lack of connections of their own, long
            # before the cap: the protocol lets a router close between requests, and one is closed for each
            # new one.
            closed = self._close_idle(min(self.idle_grace_s, self.idle_grace_near_cap_s))
            if closed is not None and closed.command_count == 1:
                # Guards against clients that ask once and stay: with one for one they would never be fewer.
                self._close_idle(min(self.idle_grace_s, self.idle_grace_near_cap_s))
        self.connections[client] = None
        self.descriptors.clients_open = len(self.connections)
        self.activity.connected(client)
        if not self.sweep_planned:
            self.sweep_planned = True
            self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        return True

    def _pace_accepts(self) -> None:
        """Pauses accepting for as long as the overload control says."""
        if self.overload is None or self.listener is None:
            return
        pause_ns = self.overload.connection_accepted(self.system.now(), len(self.connections))
        if pause_ns:
            self.listener.pause(pause_ns / NS_PER_S)
            self.driver.counts.add("accepts", "pauses")
            self.driver.counts.add("accepts", "ms", pause_ns // NS_PER_MS)

    def next_connection_id(self) -> int:
        """A number of its own for a new connection."""
        self.last_connection_id += 1
        return self.last_connection_id

    def _retry_after_ns(self) -> int:
        """After what time a client for which there is no room now should come back, ns."""
        return 0 if self.overload is None else self.overload.connection_rejected(self.system.now())

    def count_rejected_command(self, parts: list[bytes]) -> None:
        """Counts a command answered -BUSY before any decision: no room, or its connection ends."""
        with contextlib.suppress(ClientRequestError, IndexError):
            class_index = parse_client_request(parts, self.names).class_index
            self.driver.metrics.rejected[class_index] += 1

    def accept_age(self, now: int) -> int:
        """For how long a connection that is accepted now may have waited for that, ns."""
        waited_ns = 0 if self.listener is None else self.listener.age(now)
        return max(waited_ns, self.driver.loop_lag.age_ns())

    def _make_room(self) -> bool:
        """Closes who lingers longest, or has been silent or idle longest; False where nobody can be closed.

        Guards newcomers against connections that asked once and stay, and requests against a close: no
        connection is closed with a request in work or bytes unread.
        """
        for client in self.activity.lingering:
            client.abort(CloseReason.LINGERED)
            self.connection_lost(client)
            return True
        if self._close_unused(self.activity.awaited, self.idle_grace_s) is not None:
            return True
        if self._close_idle(min(self.idle_grace_s, self.idle_grace_near_cap_s)) is not None:
            return True
        return self.descriptors.shared is not None and self.driver.pools.close_surplus()

    def _close_idle(self, for_s: float) -> ClientConnection | None:
        return self._close_unused(self.activity.idle, for_s)

    def _close_unused(self, group: dict[ClientConnection, float], for_s: float) -> ClientConnection | None:
        client = next(self.activity.unused(group, for_s), None)
        if client is not None:
            self._retire(client)
        return client

    def _retire(self, client: ClientConnection) -> None:
        self.events.count(ClientEvent.CLOSED_IDLE)
        client.half_close(CloseReason.IDLE)

    def _sweep(self) -> None:
        """Guards against clients that connect and say nothing, stop half-way or send a byte now and then."""
        for client in self.activity.incomplete(self.unfinished_command_limit_s):
            client.end_unfinished()
        if len(self.connections) > self.max_open // 2:
            # Guards clients against a lack of connections of their own, long before the cap is reached.
            for client in list(self.activity.unused(self.activity.idle, self.idle_grace_s)):
                self._retire(client)
        self.sweep_planned = bool(self.connections)
        if self.sweep_planned:
            self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def connection_lost(self, client: ClientConnection) -> None:
        """A connection is closed, or is being aborted."""
        if client in self.connections and client.close_reason is not None:
            self.driver.counts.add("closed", client.close_reason.value)
        self.connections.pop(client, None)
        self.descriptors.clients_open = len(self.connections)
        self.activity.forget(client)
        self.buffered_bytes -= client.flow.buffered_bytes
        client.flow.buffered_bytes = 0
        if self.closing and not self.connections:
            self._all_closed.set()

    def drain(self) -> None:
        """Has each connection end after its next answer, and idle ones in a while; newcomers are admitted.

        Guards clients against a close that crosses their request: it comes right behind an answer, when a
        client has nothing in flight, for as long as there is time for that.
        """
        if not self.draining:
            self.draining = True
            self.drain_started_at_s = self.loop.time()
            self.loop.call_later(DRAIN_INTERVAL_S, self._drain_step, self.drain_started_at_s)

    def cancel_drain(self) -> None:
        """Goes on serving: connections stay open again."""
        self.draining = False

    def _drain_step(self, started_at_s: float) -> None:
        if not self.draining or self.drain_started_at_s != started_at_s:
            return
        elapsed_s = self.loop.time() - started_at_s
        if elapsed_s >= self.schedule.close_idle_s:
            for group in (self.activity.awaited, self.activity.idle):
                for client in list(self.activity.unused(group, DRAIN_IDLE_S)):
                    self._retire(client)
        if elapsed_s >= self.schedule.stop_reading_s:
            # Who has half a command on its way has a little longer to send the rest.
            is_late = elapsed_s >= self.schedule.all_answered_s
            still_open = [one for one in self.connections if one.state is ConnectionState.OPEN]
            for client in [one for one in still_open if one.responses.slots or is_late]:
                client.finish()
        self.loop.call_later(DRAIN_INTERVAL_S, self._drain_step, started_at_s)

    def close(self) -> None:
        """Stops listening, and drains the connections."""
        self.closing = True
        self.drain()
        if self.listener is not None:
            self.listener.close()
        if not self.connections:
            self._all_closed.set()

    async def emptied(self, max_wait_s: float) -> None:
        """Waits until every connection is closed, or for so many seconds."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._all_closed.wait(), max_wait_s)
