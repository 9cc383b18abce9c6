"""The clients' side: the listener, its connections, and who goes when there is no room."""

import asyncio
import contextlib
import logging
from collections import Counter
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from rainhitch import system
from rainhitch.node.client_connection import MOST_PIPELINED, ClientConnection
from rainhitch.node.client_request import ClientRequestError, parse_client_request
from rainhitch.node.close_reason import CloseReason
from rainhitch.node.listener import Listener
from rainhitch.node.request_driver import RequestDriver
from rainhitch.node.session import OPEN
from rainhitch.node.shutdown import MAX_DEADLINE_WAIT_S, shutdown_schedule
from rainhitch.protocol import resp
from rainhitch.settings import Names

if TYPE_CHECKING:
    from rainhitch.overload.controller import OverloadController

STUCK = 10.0  # s for which a client may leave answers unread
UNFINISHED = 2.6  # s for which a command may be on its way, the first from when the client connected
SPARED = 2.0  # s for which the sweep leaves a connection with no request open alone
AT_NEED = 0.025  # s for which it is left alone when a newcomer finds little room
MOST_TURNED = 8  # connections that were turned away and are still heard out
SWEEP = 0.2
REST = 0.05  # s without a request by which one counts as idle, and is closed in between
TOLD_EVERY = 10.0  # s between lines on what clients did wrong
log = logging.getLogger("rainhitch")


class ClientConnections:
    """The listener and its connections."""

    def __init__(
        self,
        driver: RequestDriver,
        names: Names,
        most: int,
        most_buffered: int,
        damper: "OverloadController | None" = None,
    ) -> None:
        self.driver, self.names, self.max_open, self.max_buffered_bytes = driver, names, most, most_buffered
        self.overload = damper
        self.loop = asyncio.get_running_loop()
        self.system = system.of(self.loop)
        self.open: dict[ClientConnection, None] = {}  # in the order in which they came
        # Since when each has a command on its way or has been idle, and who lingers; longest first.
        self.awaited: dict[ClientConnection, float] = {}
        self.idle: dict[ClientConnection, float] = {}
        self.lingering: dict[ClientConnection, float] = {}
        self.turned: dict[ClientConnection, None] = {}
        self.idle_s, self.unfinished_s, self.unread_s = SPARED, UNFINISHED, STUCK  # the operator's to change
        self.at_need_s = AT_NEED
        self.authenticator, self.numbers = OPEN, 0  # who may come in, and the last connection's number
        self.buffered_bytes = 0  # bytes that clients have not finished sending or reading
        self.can_serve: Callable[[], bool] = lambda: False
        self.extra_capacity: Callable[[], int] = lambda: (
            most
        )  # the cap while the servers' side leaves its part unused
        self.release_upstream: Callable[[], bool] = lambda: (
            False
        )  # has the servers' side close one that it does not use
        self.closing = self.sweeping = self.draining = False
        self.schedule = shutdown_schedule(
            MAX_DEADLINE_WAIT_S
        )  # of a drain; where the router ends, the settings' own
        self.left_at = 0.0
        self.told: Counter[str] = Counter()
        self._empty = asyncio.Event()
        self.listener: Listener | None = None

    async def listen(self, host: str, port: int, inherited: int | None = None) -> tuple[str, int]:
        self.listener = Listener(self.loop, lambda: ClientConnection(self), host, port, inherited)
        return await self.listener.open()

    def admit(self, client: ClientConnection) -> bool:
        """Takes in a new connection; at the cap only where another can go."""
        if self.overload is not None and self.listener is not None:
            wait = self.overload.connection_accepted(self.system.now(), len(self.open))
            if wait:
                self.listener.pause(wait / 1e9)
                self.driver.counts.add("accepts", "pauses")
                self.driver.counts.add("accepts", "ms", wait // 1_000_000)
        if len(self.open) >= max(self.max_open, self.extra_capacity()):
            if not self._make_room():
                return False
        elif len(self.open) > self.max_open // 2:
            # Guards clients that keep what they opened against a lack of connections of their own, long
            # before the cap: the protocol lets a router close between requests, and one goes for each new
            # one.
            gone = self._retire_one(self.idle, min(self.idle_s, self.at_need_s))
            if gone is not None and gone.asked == 1:
                # Guards against those that ask once and stay: with one for one they would never grow fewer.
                self._retire_one(self.idle, min(self.idle_s, self.at_need_s))
        self.open[client] = None
        self.awaited[client] = self.loop.time()
        if not self.sweeping:
            self.sweeping = True
            self.loop.call_later(SWEEP, self._sweep)
        return True

    def number(self) -> int:
        """A new connection's own number."""
        self.numbers += 1
        return self.numbers

    def rejection(self) -> bytes:
        """What a newcomer is told for whom there is no room. Nothing of it was taken, so that to come again
        is harmless."""
        wait = 0 if self.overload is None else self.overload.connection_rejected(self.system.now())
        return resp.refused(-(-wait // 1_000_000))

    def count_rejected_command(self, parts: list[bytes]) -> None:
        """Counts the command of one that had no room."""
        with contextlib.suppress(ClientRequestError, IndexError):
            self.driver.metrics.rejected[parse_client_request(parts, self.names).cls] += 1

    def accept_age(self, now: int) -> int:
        """For how long a connection that is accepted now may have waited for that, ns."""
        waited = 0 if self.listener is None else self.listener.age(now)
        return max(waited, self.driver.loop_lag.age())

    def track_rejected(self, client: ClientConnection) -> None:
        """Counts one that had no room; a few are heard out at a time, out of the spare descriptors."""
        self.count("turned away")
        self.turned[client] = None
        if len(self.turned) > MOST_TURNED:
            next(iter(self.turned)).drain_now()

    def _make_room(self) -> bool:
        """Closes who lingers longest, has been mute or idle longest. Guards newcomers against connections
        that asked once and stay, and requests against a close: none goes with one open or bytes unread."""
        for client in self.lingering:
            client.abort()
            self.connection_lost(client)
            return True
        gone = self._retire_one(self.awaited, self.idle_s)
        return (
            gone or self._retire_one(self.idle, min(self.idle_s, self.at_need_s))
        ) is not None or self.release_upstream()

    def _retire_one(self, group: dict[ClientConnection, float], spared: float) -> ClientConnection | None:
        client = next(self._spent(group, spared), None)
        if client is not None:
            self._retire(client)
        return client

    def _spent(self, group: dict[ClientConnection, float], spared: float) -> Iterator[ClientConnection]:
        """Who was spared for so many seconds and has nothing open, on its way or unread; longest first."""
        before = self.loop.time() - spared
        for client, since in group.items():
            if since > before:
                break
            if not client.slots and not client.frames.buffer and not client.unread():
                yield client

    def _retire(self, client: ClientConnection) -> None:
        self.count("closed idle")
        client.half_close(CloseReason.IDLE)

    def command_received(self, client: ClientConnection) -> None:
        """A whole command has come: what it waits for next counts from then."""
        self.awaited.pop(client, None)
        self.idle.pop(client, None)

    def classify(self, client: ClientConnection) -> None:
        """Notes what a connection waits for."""
        waits = not (client.last or client.blocked or client.yielding)
        if waits and len(client.slots) < MOST_PIPELINED and (client.frames.buffer or not client.asked):
            self.idle.pop(client, None)
            self.awaited.setdefault(client, self.loop.time())
        elif waits and not client.slots:
            self.awaited.pop(client, None)
            self.idle.setdefault(client, self.loop.time())
        else:
            self.awaited.pop(client, None)
            self.idle.pop(client, None)
            if client.lingering:
                self.lingering[client] = self.loop.time()

    def _sweep(self) -> None:
        """Guards against clients that connect and say nothing, stop half-way or dribble."""
        now = self.loop.time()
        for client in [one for one, since in self.awaited.items() if since < now - self.unfinished_s]:
            client.overdue()
        if len(self.open) > self.max_open // 2:
            # Guards clients against a lack of connections of their own, long before the cap is reached.
            for client in list(self._spent(self.idle, self.idle_s)):
                self._retire(client)
        self.sweeping = bool(self.open)
        if self.sweeping:
            self.loop.call_later(SWEEP, self._sweep)

    def count(self, what: str) -> None:
        """Counts what clients did wrong: one line now and then, however many they are."""
        if not self.told:
            self.loop.call_later(TOLD_EVERY, self._tell)
        self.told[what] += 1

    def _tell(self) -> None:
        log.info("clients: %s", ", ".join(f"{number} {what}" for what, number in sorted(self.told.items())))
        self.told.clear()

    def connection_lost(self, client: ClientConnection) -> None:
        if client in self.open and client.reason is not None:
            self.driver.counts.add("closed", client.reason.value)
        self.open.pop(client, None)
        self.turned.pop(client, None)
        for group in (self.awaited, self.idle, self.lingering):
            group.pop(client, None)
        self.buffered_bytes -= client.buffered
        client.buffered = 0
        if self.closing and not self.open:
            self._empty.set()

    def drain(self) -> None:
        """Each connection ends after its next answer, those that ask nothing in a while; newcomers are heard
        all the same. Guards clients against a close that crosses their request: it comes right behind an
        answer, when a client has nothing under way, for as long as there is time for that."""
        if not self.draining:
            self.draining, self.left_at = True, self.loop.time()
            self.loop.call_later(SWEEP / 2, self._usher, self.left_at)

    def cancel_drain(self) -> None:
        self.draining = False

    def _usher(self, begun: float) -> None:
        if not self.draining or self.left_at != begun:
            return
        gone = self.loop.time() - begun
        if gone >= self.schedule.close_idle_s:
            for group in (self.awaited, self.idle):
                for client in list(self._spent(group, REST)):
                    self._retire(client)
        if gone >= self.schedule.stop_reading_s:
            # Who has half a command on its way has a little longer to send the rest.
            late = gone >= self.schedule.all_answered_s
            for client in [one for one in self.open if not one.last and (one.slots or late)]:
                client.finish()
        self.loop.call_later(SWEEP / 2, self._usher, begun)

    def close(self) -> None:
        """Stops listening, and sends away who is there."""
        self.closing = True
        self.drain()
        if self.listener is not None:
            self.listener.close()
        if not self.open:
            self._empty.set()

    async def emptied(self, patience: float) -> None:
        """Waits until every connection has ended, or for so many seconds."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._empty.wait(), patience)
