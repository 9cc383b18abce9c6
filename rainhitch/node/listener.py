"""Accepts client connections. Accepting can be paused; new connections then wait in the system's backlog."""

import asyncio
import weakref

from rainhitch import system
from rainhitch.system import ProtocolFactory

MAX_ACCEPTS_PER_TURN = 16  # low, so that the cap on connections is checked in between
BACKLOG = 1024  # maximum connections that wait to be accepted


class Listener:
    """Accepts connections on an address until closed; `make_protocol` creates the protocol of each."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        make_protocol: ProtocolFactory,
        host: str,
        port: int,
        inherited: int | None = None,
    ) -> None:
        self.loop = loop
        self.make_protocol = make_protocol
        self.socket = system.of(loop).open_listener(host, port, inherited)
        self.server: asyncio.AbstractServer | None = None  # None while accepting is paused
        # The protocols of accepted connections whose connection_made is not called yet: the event loop calls
        # it one turn later. Weak references, as it is never called if the accept fails within the loop.
        self.starting: weakref.WeakSet[asyncio.BaseProtocol] = weakref.WeakSet()
        self.resume_task: asyncio.Task[None] | None = None
        self.draining = False
        self.pauses = 0
        # Start of the last pause, as long as connections may have been waiting since then; 0 if none are.
        self.backlog_since_ns = 0

    async def open(self) -> tuple[str, int]:
        """Starts accepting; returns the address."""
        await self._accept()
        return self.socket.address

    async def _accept(self) -> None:
        self.server = await self.socket.accept(self._make_starting, MAX_ACCEPTS_PER_TURN, BACKLOG)

    def _make_starting(self) -> asyncio.Protocol:
        """Creates the protocol of a connection that is being accepted."""
        protocol = self.make_protocol()
        self.starting.add(protocol)
        return protocol

    def connection_started(self, protocol: asyncio.BaseProtocol) -> None:
        """Records that an accepted connection has started; its protocol must call this in connection_made."""
        self.starting.discard(protocol)

    def has_starting_connection(self) -> bool:
        """Returns whether an accepted connection has not started yet."""
        return bool(self.starting)

    def pause(self, seconds: float) -> None:
        """Pauses accepting for `seconds`; does nothing if already paused or if the listener is draining."""
        if self.resume_task is None and self.server is not None and not self.draining:
            self.pauses += 1
            self.backlog_since_ns = system.of(self.loop).now()
            self.resume_task = self.loop.create_task(self._resume(seconds))

    def backlog_wait_ns(self, now: int) -> int:
        """Returns for how long a connection accepted now may have waited because of a pause, in ns."""
        if not self.backlog_since_ns:
            return 0
        wait_ns = now - self.backlog_since_ns
        if self.server is not None and not self.socket.has_pending_connection():
            self.backlog_since_ns = 0
        return wait_ns

    async def _resume(self, seconds: float) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        await asyncio.sleep(seconds)
        self.resume_task = None
        await self._accept()

    async def accept_backlog(self) -> None:
        """Accepts all connections that wait in the backlog.

        When the listener is closed, the system resets connections that the router has not accepted. There are
        some after a pause, and when the event loop is late, as it runs timers before it reads sockets.
        """
        self.draining = True
        if self.resume_task is not None:
            self.resume_task.cancel()
            self.resume_task = None
            if self.server is None:
                await self._accept()
        for _ in range(BACKLOG):
            if not self.socket.has_pending_connection():
                break
            await asyncio.sleep(0)

    def close(self) -> None:
        """Stops accepting; the system resets the backlog unless another process has the socket open."""
        if self.resume_task is not None:
            self.resume_task.cancel()
        if self.server is not None:
            self.server.close()
        self.socket.close()
