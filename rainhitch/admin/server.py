"""The operators' endpoint on its socket: a listener whose connections carry one command each."""

import asyncio
import contextlib
import logging
from typing import cast

from rainhitch.admin.commands import MAX_LINE_BYTES, AdminCommands, answer, changes_nothing
from rainhitch.interface import Address

LINE_TIMEOUT_S = 6.0  # for a caller to send its line
MAX_CALLERS = 32  # at once; with one more the oldest is closed
BACKLOG = 128  # connections that wait to be accepted
MAX_LOGGED_BYTES = 80  # of a command
log = logging.getLogger("rainhitch")


class _Caller(asyncio.Protocol):
    """One connection."""

    def __init__(self, server: "AdminServer") -> None:
        self.server = server
        self.line = bytearray()
        self.answered = False
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open; it ends unless a line comes in time."""
        self.transport = cast(asyncio.Transport, transport)
        self.timer = asyncio.get_running_loop().call_later(LINE_TIMEOUT_S, self.transport.abort)
        self.server.add_caller(self)

    def data_received(self, data: bytes) -> None:
        """Answers once the line is whole, or too long."""
        if self.answered:
            return
        self.line += data
        end = self.line.find(b"\n")
        is_whole = end >= 0
        if not is_whole and len(self.line) <= MAX_LINE_BYTES:
            return
        if not is_whole or end > MAX_LINE_BYTES:
            self._reply(b"ERR line too long\n")
        else:
            self._reply(self.server.answer(self.line[:end]))

    def eof_received(self) -> bool:
        """Answers a last line that came without its end; returns False, so that the connection is closed."""
        if not self.answered and self.line:
            self._reply(self.server.answer(self.line))
        return False

    def _reply(self, reply: bytes) -> None:
        assert self.transport is not None
        self.answered = True
        self.transport.write(reply)
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        if self.timer is not None:
            self.timer.cancel()
        self.server.callers.pop(self, None)


class AdminServer:
    """The listener of the operators' endpoint."""

    def __init__(self, commands: AdminCommands) -> None:
        self.commands = commands
        self.callers: dict[_Caller, None] = {}  # in the order in which they came
        self.listener: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> Address:
        """Begins to listen, and returns the address; raises OSError."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: _Caller(self), host, port, backlog=BACKLOG)
        address: Address = self.listener.sockets[0].getsockname()[:2]
        return address

    def add_caller(self, caller: _Caller) -> None:
        """Takes in a connection; beyond `MAX_CALLERS` the oldest is closed.

        Guards operators against callers that hold their connections and send nothing.
        """
        self.callers[caller] = None
        if len(self.callers) > MAX_CALLERS:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            if oldest.transport is not None:
                oldest.transport.abort()

    def answer(self, line: bytes | bytearray) -> bytes:
        """The reply to a command; each that changes something or is rejected is logged."""
        command = bytes(line)
        try:
            reply = answer(command, self.commands)
        except Exception:
            # The outermost frame of a command: a fault of one must not leave its operator without a reply.
            log.exception("admin command failed reason=internal_error")
            return b"ERR internal error\n"
        if reply.startswith(b"ERR") or not changes_nothing(command):
            shown = command[:MAX_LOGGED_BYTES].decode("latin-1")
            log.info("admin command command=%r reply=%r", shown, reply.decode().strip())
        return reply

    def close(self) -> None:
        """Stops listening, and ends all connections."""
        if self.listener is not None:
            self.listener.close()
        for caller in list(self.callers):
            if caller.transport is not None:
                with contextlib.suppress(RuntimeError):
                    caller.transport.abort()
