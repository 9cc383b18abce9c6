"""The second address: a listener whose connections carry one call each."""

import asyncio
import contextlib
import logging
from typing import cast

from rainhitch.admin.commands import MOST_LINE, AdminCommands, answer

PATIENCE = 6.0  # s that a caller may take over its line
READS = (b"health", b"counters", b"routers")  # calls that change nothing, and are not logged
MOST = 32  # callers at once; beyond it the one that has said nothing for longest goes
log = logging.getLogger("rainhitch")


class _Caller(asyncio.Protocol):
    """One connection."""

    def __init__(self, desk: "AdminServer") -> None:
        self.desk = desk
        self.line = bytearray()
        self.answered = False
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.timer = asyncio.get_running_loop().call_later(PATIENCE, self.transport.abort)
        self.desk.came(self)

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return
        self.line += data
        end = self.line.find(b"\n")
        if end < 0 and len(self.line) <= MOST_LINE:
            return
        self._say(b"ERR line too long\n" if end < 0 or end > MOST_LINE else self.desk.answer(self.line[:end]))

    def eof_received(self) -> bool:
        if not self.answered and self.line:
            self._say(self.desk.answer(self.line))  # a last line may go without its end
        return False

    def _say(self, answer: bytes) -> None:
        assert self.transport is not None
        self.answered = True
        self.transport.write(answer)
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.desk.callers.pop(self, None)


class AdminServer:
    """The listener of the second address."""

    def __init__(self, hands: AdminCommands) -> None:
        self.hands = hands
        self.callers: dict[_Caller, None] = {}
        self.server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> tuple[str, int]:
        """Begins to listen; gives the address."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: _Caller(self), host, port, backlog=128)
        address: tuple[str, int] = self.server.sockets[0].getsockname()[:2]
        return address

    def came(self, caller: _Caller) -> None:
        """Guards callers against those that hold their connections: the one that came first goes."""
        self.callers[caller] = None
        if len(self.callers) > MOST:
            first = next(iter(self.callers))
            del self.callers[first]
            if first.transport is not None:
                first.transport.abort()

    def answer(self, line: bytes | bytearray) -> bytes:
        try:
            told = answer(bytes(line), self.hands)
            if told.startswith(b"ERR") or line.split()[0] not in READS:
                log.info("asked for %r: %s", bytes(line[:80]).decode("latin-1"), told.decode().strip())
            return told
        except Exception:
            log.exception("a call could not be answered")
            return b"ERR internal error\n"

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for caller in list(self.callers):
            if caller.transport is not None:
                with contextlib.suppress(RuntimeError):
                    caller.transport.abort()
