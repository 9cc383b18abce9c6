"""The clients' side: a RESP server that answers each connection's commands in their order."""

import asyncio
import contextlib
import logging
from collections import deque
from collections.abc import Callable
from typing import cast

from applehub.node import resp
from applehub.node.call import CallError, read_call
from applehub.node.driver import Driver, Held
from applehub.settings import Names

MOST_PIPELINED = 32  # commands of one connection in work; those behind wait unread
MOST_BUFFERED = 32 << 20  # bytes of all connections that clients have not finished sending or reading
STUCK = 10.0  # s for which a client may leave answers unread
LINGER = 1.0  # s for which a client that has its last answer may go on sending
log = logging.getLogger("applehub")


class Slot:
    """The place of one answer on its connection."""

    __slots__ = ("answer", "client", "held")

    def __init__(self, client: "Client") -> None:
        self.client = client
        self.answer: bytes | None = None
        self.held: Held | None = None

    def fill(self, answer: bytes) -> None:
        if self.answer is None:
            self.answer = answer
            self.held = None  # each holds the other: guards memory against waiting for the collector
            self.client.advance()


class Client(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, server: "Clients") -> None:
        self.server = server
        self.frames = resp.Frames()
        self.slots: deque[Slot] = deque()
        self.transport: asyncio.Transport | None = None
        self.last = False  # nothing more is read; closed once all is answered
        self.advancing = self.blocked = self.lingering = False
        self.buffered = 0
        self.stuck: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if len(self.server.open) >= self.server.most:
            self.transport.write(resp.error("max number of clients reached"))
            self.transport.close()
            return
        self.server.open.add(self)

    def data_received(self, data: bytes) -> None:
        if self.last:
            return
        self.frames.feed(data)
        self.advance()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.server.gone(self)
        if self.stuck is not None:
            self.stuck.cancel()
        slots, self.slots = self.slots, deque()
        for slot in slots:
            if slot.held is not None:
                self.server.driver.withdraw(slot.held)

    def pause_writing(self) -> None:
        self.blocked = True
        self.stuck = asyncio.get_running_loop().call_later(STUCK, self._abort)
        self._steer()

    def resume_writing(self) -> None:
        self.blocked = False
        if self.stuck is not None:
            self.stuck.cancel()
        self.advance()

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def advance(self) -> None:
        """Takes up commands and writes answers, in turn, as far as both go. Guards against recursion: an
        answer that is ready at once, or comes while this runs, is written by this loop."""
        if self.advancing or self.lingering or self.transport is None:
            return
        self.advancing = True
        try:
            self._take_up()
            while self._write() and self.frames.buffer:
                self._take_up()
        finally:
            self.advancing = False
        if not self.slots and self.last:
            self._linger()
        elif not self.slots and self.server.closing:
            self.transport.close()
        else:
            self._steer()

    def _linger(self) -> None:
        """Ends the sending and reads on for a while. Guards the last answer: a close with bytes unread is a
        reset, which can reach a client that is still sending before the answer does."""
        assert self.transport is not None
        self.lingering = True
        self.frames.buffer.clear()
        self._steer()
        if self.transport.can_write_eof() and not self.transport.is_closing():
            self.transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER, self._abort)

    def _take_up(self) -> None:
        """Takes up the commands that have come, as many as may be in work at once."""
        try:
            while not self.last and not self.blocked and len(self.slots) < MOST_PIPELINED:
                parts = self.frames.next()
                if parts is resp.WAITING:
                    break
                self._command(parts)
        except resp.FramingError as problem:
            # Where the next command begins is lost: what came before is answered, then this one, last.
            self.last = True
            self._put(resp.error(f"Protocol error: {problem}"))

    def _write(self) -> bool:
        """Writes the answers whose turn has come; whether there were any."""
        ready = []
        while self.slots and self.slots[0].answer is not None:
            ready.append(self.slots.popleft().answer or b"")
        if ready and self.transport is not None:
            self.transport.write(b"".join(ready))
        return bool(ready)

    def _command(self, parts: object) -> None:
        if not isinstance(parts, list) or not all(isinstance(part, bytes) for part in parts):
            raise resp.FramingError("expected an array of bulk strings")
        if not parts:
            return
        name = parts[0].upper()
        if name in (b"C.GET", b"C.SET"):
            self._call(parts)
        elif name == b"PING":
            self._put(b"+PONG\r\n" if self.server.can_serve() else b"-LOADING no server list yet\r\n")
        elif name == b"QUIT":
            self._put(b"+OK\r\n")
            self.last = True
        else:
            self._put(resp.error("unknown command"))

    def _call(self, parts: list[bytes]) -> None:
        try:
            call = read_call(parts, self.server.names)
        except CallError as problem:
            self._put(resp.error(str(problem)))
            return
        slot = Slot(self)
        self.slots.append(slot)
        try:
            held = self.server.driver.take(call, slot.fill)
            slot.held = held if slot.answer is None else None
        except Exception:
            log.exception("a call could not be taken")
            slot.fill(resp.FAILED)

    def _put(self, answer: bytes) -> None:
        slot = Slot(self)
        slot.answer = answer
        self.slots.append(slot)

    def _steer(self) -> None:
        """Reads on or stops reading. Guards memory against clients that send much or read nothing."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.blocked or (self.last and not self.lingering) or len(self.slots) >= MOST_PIPELINED:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
        held = len(self.frames.buffer) + self.transport.get_write_buffer_size()
        self.server.buffered += held - self.buffered
        self.buffered = held
        if self.server.buffered > MOST_BUFFERED and held > resp.MOST_VALUE:
            self.transport.abort()


class Clients:
    """The listener and its connections."""

    def __init__(self, driver: Driver, names: Names, most: int) -> None:
        self.driver, self.names, self.most = driver, names, most
        self.open: set[Client] = set()
        self.buffered = 0
        self.can_serve: Callable[[], bool] = lambda: False
        self.closing = False
        self._empty = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> tuple[str, int]:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Client(self), host, port, backlog=1024)
        address: tuple[str, int] = self._server.sockets[0].getsockname()[:2]
        return address

    def gone(self, client: Client) -> None:
        self.open.discard(client)
        self.buffered -= client.buffered
        if self.closing and not self.open:
            self._empty.set()

    def close(self) -> None:
        """Stops listening; each connection ends after its last answer, idle ones at once."""
        self.closing = True
        if self._server is not None:
            self._server.close()
        for client in list(self.open):
            client.advance()
        if not self.open:
            self._empty.set()

    async def emptied(self, patience: float) -> None:
        """Waits until every connection has ended, or for so many seconds."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._empty.wait(), patience)
