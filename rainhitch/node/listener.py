"""Accepting clients. It can pause: newcomers wait in the system's backlog meanwhile."""

import asyncio

from rainhitch import system
from rainhitch.system import ProtocolFactory

MAX_ACCEPTS_PER_TURN = 16  # so that the cap on connections is looked at between them
BACKLOG = 1024  # newcomers that the system holds


class Listener:
    """Accepts connections on an address until it is closed; `make_protocol` gives each its protocol."""

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
        self.server: asyncio.AbstractServer | None = None  # None while it is paused
        self.resuming: asyncio.Task[None] | None = None
        self.draining = False
        self.pauses = 0
        # When the last pause began, while somebody may still wait in the backlog since; 0: nobody.
        self.backlog_since_ns = 0

    async def open(self) -> tuple[str, int]:
        """Begins to accept; gives the address."""
        await self._accept()
        return self.socket.address

    async def _accept(self) -> None:
        self.server = await self.socket.accept(self.make_protocol, MAX_ACCEPTS_PER_TURN, BACKLOG)

    def pause(self, seconds: float) -> None:
        """Accepts nobody for so long; does nothing while a pause is on, nor once the listener drains."""
        if self.resuming is None and self.server is not None and not self.draining:
            self.pauses += 1
            self.backlog_since_ns = system.of(self.loop).now()
            self.resuming = self.loop.create_task(self._resume(seconds))

    def age(self, now: int) -> int:
        """For how long a client that is accepted now may have waited in the backlog behind a pause, ns."""
        if not self.backlog_since_ns:
            return 0
        age_ns = now - self.backlog_since_ns
        if self.server is not None and not self.socket.has_pending_connection():
            self.backlog_since_ns = 0
        return age_ns

    async def _resume(self, seconds: float) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        await asyncio.sleep(seconds)
        self.resuming = None
        await self._accept()

    async def accept_backlog(self) -> None:
        """Accepts all who wait in the backlog.

        Guards newcomers against a late loop, whose timers fire before its sockets are read, and against a
        pause: for a client to whom the system has connected, a close is a reset.
        """
        self.draining = True
        if self.resuming is not None:
            self.resuming.cancel()
            self.resuming = None
            if self.server is None:
                await self._accept()
        for _ in range(BACKLOG):
            if not self.socket.has_pending_connection():
                break
            await asyncio.sleep(0)

    def close(self) -> None:
        """Accepts nobody any more; the system resets who waits, unless others hold the socket."""
        if self.resuming is not None:
            self.resuming.cancel()
        if self.server is not None:
            self.server.close()
        self.socket.close()
