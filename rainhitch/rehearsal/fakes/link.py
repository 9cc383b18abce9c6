"""The way from one router to one stand-in: a listener of its own, and what may happen to what crosses it.

A cut does what a cut does: nothing is reset, what is on the way stays there, and new connections never
come up, since the listener's queue is kept full. What a router sends into it is timed when it comes off its
socket.
"""

import asyncio
import contextlib
import dataclasses
import socket
import struct
from collections.abc import Callable
from typing import Any, Protocol, cast

from rainhitch import system

BACKLOG = 1024
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets


class ListenPoint(Protocol):
    """A listening address that can refuse, or hang, and be itself again."""

    address: tuple[str, int]

    def open(self) -> None:
        """Connections come up."""

    def refuse(self) -> None:
        """Connections are refused, as by a machine whose process has gone."""

    def hang(self) -> None:
        """Connections never come up."""

    def close(self) -> None:
        """Is gone."""


def listen(make: Callable[[], asyncio.Protocol]) -> ListenPoint:
    """Listens on a free address of the machine that the running loop stands for."""
    place: Any = getattr(asyncio.get_running_loop(), "place", Listener)
    return place(make)  # type: ignore[no-any-return]


class Listener:
    """A listening socket of this machine."""

    def __init__(self, make: Callable[[], asyncio.Protocol]) -> None:
        self.make = make
        self.loop = asyncio.get_running_loop()
        self.opening: set[asyncio.Task[None]] = set()
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.address: tuple[str, int] = free.getsockname()
        # Bound to a port it names, the socket keeps that port while it does not listen.
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(self.address)
        self.fillers: list[socket.socket] = []
        self.listening = False
        self.open()

    def open(self) -> None:
        for one in self.fillers:
            one.close()
        self.fillers = []
        self.socket.listen(BACKLOG)
        if not self.listening:
            self.listening = True
            self.loop.add_reader(self.socket, self._accept)

    def refuse(self) -> None:
        self._stop()
        with contextlib.suppress(OSError):  # it refuses already
            self.socket.shutdown(socket.SHUT_RD)

    def hang(self) -> None:
        self._stop()
        self.socket.listen(0)
        for _ in range(2):
            one = socket.socket()
            one.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                one.connect(self.address)
            self.fillers.append(one)

    def close(self) -> None:
        self._stop()
        for one in self.fillers:
            one.close()
        self.socket.close()

    def _stop(self) -> None:
        if self.listening:
            self.listening = False
            self.loop.remove_reader(self.socket)

    def _accept(self) -> None:
        for _ in range(BACKLOG):
            try:
                one, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:
                return  # out of descriptors: the stage has looked at that before
            one.setblocking(False)
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = self.loop.create_task(self._take(one))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)

    async def _take(self, one: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.make, one)
        except OSError:
            one.close()


class Link:
    """What connects one router with one stand-in: connections, and the faults on them."""

    def __init__(self, router: int, make: "Callable[[Link], LinkConnection]") -> None:
        self.router, self.make = router, make
        self.loop = asyncio.get_running_loop()
        self.delay = 0.0  # s, each way
        self.silent = False
        self.up = True  # whether what stands at its end runs
        self.wires: dict[LinkConnection, None] = {}  # in the order in which they came
        self.listener = listen(lambda: self.make(self))

    @property
    def endpoint(self) -> str:
        host, port = self.listener.address
        return f"{host}:{port}"

    def _steer(self) -> None:
        if self.silent:
            self.listener.hang()
        elif self.up:
            self.listener.open()
        else:
            self.listener.refuse()

    def set_silent(self, silent: bool) -> None:
        """Cuts the link, or heals it: then what waited on the way arrives, if its sender still waits."""
        self.silent = silent
        self._steer()
        if not silent:
            for wire in list(self.wires):
                wire.heal()

    def set_up(self, up: bool) -> None:
        """The process at the end dies, which resets its connections, or is back."""
        self.up = up
        if not up:
            self.reset()
        self._steer()

    def reset(self) -> None:
        for wire in list(self.wires):
            wire.reset()

    def close(self) -> None:
        self.reset()
        self.listener.close()


class LedgerRow:
    """A row of a stand-in's ledger: a dataclass with slots, one of which is the `wire` it came on."""

    __slots__ = ()

    def row(self) -> dict[str, Any]:
        """The row as JSON takes it; a wire that has closed meanwhile tells when."""
        names = [one.name for one in dataclasses.fields(self)]  # type: ignore[arg-type]
        told = {name: getattr(self, name) for name in names if name != "wire"}
        wire = getattr(self, "wire", None)
        if not told["closed"] and wire is not None:
            told["closed"] = wire.closed_at
        return told


class LinkConnection(asyncio.Protocol):
    """One connection of a router, at the stand-in's end. Subclasses read `arrived` and write with `send`."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.transport: asyncio.Transport | None = None
        self.inbound: list[tuple[bytes, int]] = []  # held by a cut
        self.outbound: list[bytes] = []
        self.closed_at = 0  # monotonic ns at which the router closed, whether or not that came through

    def arrived(self, data: bytes, at: int) -> None:
        """Data came through; `at` is when the router sent it, monotonic ns."""
        raise NotImplementedError

    def ended(self) -> None:
        """The router's close came through, or the connection was reset."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.link.wires[self] = None
        if not self.link.up:
            self.reset()

    def data_received(self, data: bytes) -> None:
        now = system.now()
        if self.link.silent:
            self.inbound.append((data, now))
        elif self.link.delay or self.inbound:
            self.inbound.append((data, now))
            self.link.loop.call_later(self.link.delay, self._deliver)
        else:
            self.arrived(data, now)

    def _deliver(self) -> None:
        if self.inbound and not self.link.silent and not self.closed_at:
            self.arrived(*self.inbound.pop(0))

    def heal(self) -> None:
        while self.inbound and not self.closed_at:
            self.arrived(*self.inbound.pop(0))
        for data in self.outbound:
            self._write(data)
        self.outbound = []

    def send(self, data: bytes) -> None:
        if self.link.silent:
            self.outbound.append(data)
        elif self.link.delay:
            self.link.loop.call_later(self.link.delay, self._write, data)
        else:
            self._write(data)

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        if self.transport is not None:
            raw = self.transport.get_extra_info("socket")
            if raw is not None:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.transport.abort()

    def eof_received(self) -> bool:
        self.closed_at = self.closed_at or system.now()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed_at = self.closed_at or system.now()
        self.transport = None
        self.link.wires.pop(self, None)
        self.ended()
