"""Accepts client connections and closes idle ones to make room for new ones."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import TYPE_CHECKING

from rainhitch import system
from rainhitch.node.client_activity import ClientActivity
from rainhitch.node.client_connection import ClientConnection
from rainhitch.node.client_drain import ClientDrain
from rainhitch.node.client_events import ClientEvent, ClientEvents
from rainhitch.node.client_request import ClientRequestError, parse_client_request
from rainhitch.node.close_reason import CloseReason
from rainhitch.node.input_memory import InputMemory
from rainhitch.node.listener import Listener
from rainhitch.node.rejected_connection import RejectedConnections
from rainhitch.node.request_driver import RequestDriver
from rainhitch.node.session import NO_PASSWORD_NEEDED
from rainhitch.node.turn_budget import TurnBudget
from rainhitch.settings import Names

if TYPE_CHECKING:
    from rainhitch.overload.controller import OverloadController

UNREAD_RESPONSES_LIMIT_S = 10.0  # time for which a client may leave responses unread
UNFINISHED_COMMAND_LIMIT_S = 2.6  # time limit on an incomplete command; the first is timed from connect
IDLE_GRACE_S = 2.0  # minimum idle time before the sweep closes a connection
IDLE_GRACE_NEAR_CAP_S = 0.025  # minimum idle time before a connection is closed for a new one
SWEEP_INTERVAL_S = 0.2
NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000


class ClientConnections:
    """The listener and its connections, room for at least `max_open`; `can_serve` decides on PING."""

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
        self.connections: dict[ClientConnection, None] = {}  # in the order in which they were accepted
        self.activity = ClientActivity(self.loop)
        self.input_memory = InputMemory(self, self.activity)
        self.client_drain = ClientDrain(self.loop, self.connections, self.activity, self._half_close_idle)
        self.idle_grace_s = IDLE_GRACE_S
        self.idle_grace_near_cap_s = IDLE_GRACE_NEAR_CAP_S
        self.unfinished_command_limit_s = UNFINISHED_COMMAND_LIMIT_S
        self.unread_responses_limit_s = UNREAD_RESPONSES_LIMIT_S
        self.authenticator = NO_PASSWORD_NEEDED  # checks the clients' user and password
        self.last_connection_id = 0
        self.buffered_bytes = 0  # total bytes that clients have not finished sending or reading
        self.turn_budget = TurnBudget(self.loop)
        self.closing = False
        self.sweep_scheduled = False
        self.events = ClientEvents(self.loop)
        self.rejected = RejectedConnections(
            self.loop, self.system, self.events, self._retry_after_ns, self.count_rejected_command
        )
        self._all_closed = asyncio.Event()
        self.listener: Listener | None = None

    async def listen(self, host: str, port: int, inherited: int | None = None) -> tuple[str, int]:
        """Starts accepting on an address or on an inherited socket; returns the address. Raises OSError."""
        self.listener = Listener(self.loop, lambda: ClientConnection(self), host, port, inherited)
        return await self.listener.open()

    def admit(self, client: ClientConnection) -> bool:
        """Admits a new connection; at the cap only if another one can be closed."""
        if self.listener is not None:
            self.listener.connection_started(client)
        self._pace_accepts()
        if len(self.connections) >= self.descriptors.max_clients(self.max_open):
            if not self._evict_connection():
                return False
        elif len(self.connections) > self.max_open // 2:
            # Clients that keep all their connections may run out of their own long before the router's cap is
            # reached. The protocol allows closing between requests: one idle one is closed per new one.
            closed = self._close_longest_idle()
            if closed is not None and closed.command_count == 1:
                # Clients that stay after one request reconnect when closed: closing two reduces their number.
                self._close_longest_idle()
        self.connections[client] = None
        self.descriptors.clients_open = len(self.connections)
        self.activity.connected(client)
        if not self.sweep_scheduled:
            self.sweep_scheduled = True
            self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        return True

    def _pace_accepts(self) -> None:
        """Pauses accepting for as long as the overload controller requests."""
        if self.overload is None or self.listener is None:
            return
        pause_ns = self.overload.connection_accepted(self.system.now(), len(self.connections))
        if pause_ns:
            self.listener.pause(pause_ns / NS_PER_S)
            self.driver.counts.add("accepts", "pauses")
            self.driver.counts.add("accepts", "ms", pause_ns // NS_PER_MS)

    def next_connection_id(self) -> int:
        """Returns a unique id for a new connection."""
        self.last_connection_id += 1
        return self.last_connection_id

    def _retry_after_ns(self) -> int:
        """Returns the retry delay for a client that is rejected for lack of room, in ns."""
        return 0 if self.overload is None else self.overload.connection_rejected(self.system.now())

    def count_rejected_command(self, parts: list[bytes]) -> None:
        """Counts a command answered -BUSY without a routing decision: no room, or connection closing."""
        with contextlib.suppress(ClientRequestError, IndexError):
            class_index = parse_client_request(parts, self.names).class_index
            self.driver.metrics.rejected[class_index] += 1

    def accept_wait_ns(self, now: int) -> int:
        """Returns for how long a connection accepted now may have waited to be accepted, in ns."""
        waited_ns = 0 if self.listener is None else self.listener.backlog_wait_ns(now)
        return max(waited_ns, self.driver.loop_lag.age_ns())

    def _evict_connection(self) -> bool:
        """Makes room for a new client by closing one connection; returns False if none can be closed.

        Closes the longest lingering one, else the one that has sent no command or been idle longest, else an
        idle server connection. Clients that stay connected after one request do not keep others out. No
        request is lost: no client connection with a request in progress, unread bytes or a response that is
        not sent is closed.
        """
        lingering = self.activity.longest_lingering()
        if lingering is not None:
            lingering.abort(CloseReason.LINGERED)
            self.connection_lost(lingering)
            return True
        if self._close_longest_unused(self.activity.awaiting_command, self.idle_grace_s) is not None:
            return True
        if self._close_longest_idle() is not None:
            return True
        return self.descriptors.shared is not None and self.driver.pools.close_surplus()

    def _close_longest_idle(self) -> ClientConnection | None:
        idle_s = min(self.idle_grace_s, self.idle_grace_near_cap_s)
        return self._close_longest_unused(self.activity.idle, idle_s)

    def _close_longest_unused(
        self, group: dict[ClientConnection, float], for_s: float
    ) -> ClientConnection | None:
        client = next(self.activity.iter_unused(group, for_s), None)
        if client is not None:
            self._half_close_idle(client)
        return client

    def _half_close_idle(self, client: ClientConnection) -> None:
        self.events.count(ClientEvent.CLOSED_IDLE)
        client.half_close(CloseReason.IDLE)

    def _sweep(self) -> None:
        """Ends connections with an overdue command; above half the cap, also closes idle ones: see `admit`.

        Limits the time of clients that send nothing, half a command, or a byte now and then, and closes the
        connections of those that have left within a long value. Counts buffered bytes anew, as the transport
        does not tell when it has sent its last ones.
        """
        for client in self.activity.overdue(self.unfinished_command_limit_s):
            client.end_unfinished_command()
        for client in self.connections:
            if client.flow.buffered_bytes:
                client.update_buffered_bytes()
        for client in list(self.activity.relaying):
            client.has_disconnected()  # closes it then: the loop reports no end while nothing is read
        if len(self.connections) > self.max_open // 2:
            for client in list(self.activity.iter_unused(self.activity.idle, self.idle_grace_s)):
                self._half_close_idle(client)
        self.sweep_scheduled = bool(self.connections)
        if self.sweep_scheduled:
            self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def connection_lost(self, client: ClientConnection) -> None:
        """Removes a connection that is closed or being aborted."""
        if client in self.connections and client.close_reason is not None:
            self.driver.counts.add("closed", client.close_reason.value)
        self.connections.pop(client, None)
        self.descriptors.clients_open = len(self.connections)
        self.activity.remove(client)
        self.buffered_bytes -= client.flow.buffered_bytes
        client.flow.buffered_bytes = 0
        self._update_all_closed()

    def _update_all_closed(self) -> None:
        """Ends `wait_until_closed` once no client is owed a response any more.

        Besides the admitted connections these are the accepted ones that have not started yet, and the
        rejected ones, whose response is written but may be lost with the process.
        """
        is_starting = self.listener is not None and self.listener.has_starting_connection()
        if self.closing and not self.connections and not self.rejected.connections and not is_starting:
            self._all_closed.set()

    @property
    def draining(self) -> bool:
        """Whether the connections are being drained."""
        return self.client_drain.is_active

    def drain(self) -> None:
        """Drains the connections; new ones are admitted until the router closes its listener."""
        self.client_drain.start()

    def cancel_drain(self) -> None:
        """Cancels a drain: connections stay open again."""
        self.client_drain.cancel()

    def close(self) -> None:
        """Stops listening and drains the connections."""
        self.closing = True
        self.drain()
        if self.listener is not None:
            self.listener.close()
        self._update_all_closed()

    async def wait_until_closed(self, max_wait_s: float) -> None:
        """Waits until all connections are closed, for at most `max_wait_s`."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._all_closed.wait(), max_wait_s)
