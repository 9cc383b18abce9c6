"""Accepting clients. It can pause: who comes meanwhile waits in the system's backlog."""

import asyncio

from rainhitch import system
from rainhitch.system import Make

MOST_ACCEPTED = 16  # connections accepted in a turn, so that the cap is looked at between them
BACKLOG = 1024  # newcomers whom the system holds


class Listener:
    """Accepts connections on an address until it is closed; `make` gives each its protocol."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        make: Make,
        host: str,
        port: int,
        inherited: int | None = None,
    ) -> None:
        self.loop, self.make = loop, make
        self.door = system.of(loop).door(host, port, inherited)
        self.server: asyncio.AbstractServer | None = None
        self.resuming: asyncio.Task[None] | None = None
        self.draining = False
        self.pauses = 0
        self.behind_since = 0  # when the last pause began behind which newcomers may still wait, ns; 0: none

    async def open(self) -> tuple[str, int]:
        """Begins to accept; gives the address."""
        await self._accept()
        return self.door.address

    async def _accept(self) -> None:
        self.server = await self.door.accept(self.make, MOST_ACCEPTED, BACKLOG)

    def pause(self, seconds: float) -> None:
        """Accepts nobody for so long; does nothing while a pause is on, nor for the last ones to come."""
        if self.resuming is None and self.server is not None and not self.draining:
            self.pauses += 1
            self.behind_since = system.of(self.loop).now()
            self.resuming = self.loop.create_task(self._resume(seconds))

    def age(self, now: int) -> int:
        """For how long who is accepted now may have waited in the backlog, since the last pause began; ns."""
        if not self.behind_since:
            return 0
        age = now - self.behind_since
        if self.server is not None and not self.door.waits():
            self.behind_since = 0
        return age

    async def _resume(self, seconds: float) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        await asyncio.sleep(seconds)
        self.resuming = None
        await self._accept()

    async def drain(self) -> None:
        """Takes in who waits in the backlog. Guards newcomers against a late loop, whose timers run before
        its sockets are read, and against a pause: to whom the system has connected, a close is a reset."""
        self.draining = True
        if self.resuming is not None:
            self.resuming.cancel()
            self.resuming = None
            if self.server is None:
                await self._accept()
        for _ in range(BACKLOG):
            if not self.door.waits():
                break
            await asyncio.sleep(0)

    def close(self) -> None:
        """Accepts nobody any more; who waits is reset by the system, unless others hold the socket."""
        if self.resuming is not None:
            self.resuming.cancel()
        if self.server is not None:
            self.server.close()
        self.door.close()
