"""The network link from one router to one fake: a listener of its own, and the faults on what crosses it.

A cut link behaves as a cut network does: nothing is reset, what is on the way stays there, and new
connections never come up, since the listener's queue is kept full. What a router sends into a cut is timed
when it comes off its socket.
"""

import asyncio
import contextlib
import dataclasses
import socket
import struct
from collections.abc import Callable
from typing import Any, Protocol, cast

from rainhitch import system

HOST = "127.0.0.1"
BACKLOG = 1024  # connections that wait to be accepted
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # the value of SO_LINGER with which a close resets
NEVER_NS = 0  # as a time: it has not happened


class ListenPoint(Protocol):
    """A listening address that can refuse connections, or never complete them, and accept them again."""

    address: tuple[str, int]

    def open(self) -> None:
        """Accepts connections."""

    def refuse(self) -> None:
        """Refuses connections, as a machine does whose process has ended."""

    def hang(self) -> None:
        """Never completes connections, as behind a cut network."""

    def close(self) -> None:
        """Gives the address back."""


def listen(make: Callable[[], asyncio.Protocol]) -> ListenPoint:
    """Listens on a free address of the machine that the running loop stands for: real, or virtual."""
    place: Any = getattr(asyncio.get_running_loop(), "place", Listener)
    return place(make)  # type: ignore[no-any-return]


class Listener:
    """A listening socket of this machine, see `ListenPoint`."""

    def __init__(self, make: Callable[[], asyncio.Protocol]) -> None:
        self._make = make
        self._loop = asyncio.get_running_loop()
        self._opening: set[asyncio.Task[None]] = set()
        with socket.socket() as free:
            free.bind((HOST, 0))
            self.address: tuple[str, int] = free.getsockname()
        # Bound to a port it names, the socket keeps that port while it does not listen.
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(self.address)
        self._queue_fillers: list[socket.socket] = []
        self._accepting = False
        self.open()

    def open(self) -> None:
        """Accepts connections."""
        self._close_queue_fillers()
        self._socket.listen(BACKLOG)
        if not self._accepting:
            self._accepting = True
            self._loop.add_reader(self._socket, self._accept)

    def refuse(self) -> None:
        """Refuses connections."""
        self._stop_accepting()
        with contextlib.suppress(OSError):  # it refuses already
            self._socket.shutdown(socket.SHUT_RD)

    def hang(self) -> None:
        """Never completes connections: the queue of the socket is as short as can be, and filled."""
        self._stop_accepting()
        self._socket.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self.address)
            self._queue_fillers.append(filler)

    def close(self) -> None:
        """Closes the socket."""
        self._stop_accepting()
        self._close_queue_fillers()
        self._socket.close()

    def _close_queue_fillers(self) -> None:
        for filler in self._queue_fillers:
            filler.close()
        self._queue_fillers = []

    def _stop_accepting(self) -> None:
        if self._accepting:
            self._accepting = False
            self._loop.remove_reader(self._socket)

    def _accept(self) -> None:
        for _ in range(BACKLOG):
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:
                return  # out of descriptors: the environment has checked their limit before the run
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = self._loop.create_task(self._connect(accepted))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)

    async def _connect(self, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._make, accepted)
        except OSError:
            accepted.close()


class Link:
    """What connects one router with one fake: its connections, and the faults on them.

    Attributes:
        delay_s: how long data takes, each way, in seconds.
        silent: the link is cut; see `set_silent`.
        up: the process at its end runs; see `set_up`.
        connections: those that are open, in the order in which they came.
    """

    def __init__(self, router: int, make: "Callable[[Link], LinkConnection]") -> None:
        self.router = router
        self.loop = asyncio.get_running_loop()
        self.delay_s = 0.0
        self.silent = False
        self.up = True
        self.connections: dict[LinkConnection, None] = {}
        self.listener = listen(lambda: make(self))

    @property
    def endpoint(self) -> str:
        """The address that the router connects to, as HOST:PORT."""
        host, port = self.listener.address
        return f"{host}:{port}"

    def _set_listener(self) -> None:
        if self.silent:
            self.listener.hang()
        elif self.up:
            self.listener.open()
        else:
            self.listener.refuse()

    def set_silent(self, silent: bool) -> None:
        """Cuts the link, or heals it: then what was held on the way arrives, if its sender still waits."""
        self.silent = silent
        self._set_listener()
        if not silent:
            for connection in list(self.connections):
                connection.deliver_held()

    def set_up(self, up: bool) -> None:
        """The process at the end dies, which resets its connections, or is back."""
        self.up = up
        if not up:
            self.reset()
        self._set_listener()

    def set_delay(self, delay_s: float) -> None:
        """Makes data take this long each way; 0 for no delay."""
        self.delay_s = delay_s

    def reset(self) -> None:
        """Resets all connections."""
        for connection in list(self.connections):
            connection.reset()

    def close(self) -> None:
        """Resets all connections and gives the address back."""
        self.reset()
        self.listener.close()


class LinkConnection(asyncio.Protocol):
    """One connection of a router, at the fake's end. Subclasses read in `received` and write with `send`.

    Attributes:
        closed_at_ns: when the router closed (monotonic), whether or not that came through; 0: it has not.
    """

    def __init__(self, link: Link) -> None:
        self.link = link
        self.transport: asyncio.Transport | None = None
        self._held_in: list[tuple[bytes, int]] = []  # data and when the router sent it; delayed, or in a cut
        self._held_out: list[bytes] = []  # written into a cut
        self.closed_at_ns = NEVER_NS

    def received(self, data: bytes, sent_at_ns: int) -> None:
        """Data came through that the router sent at `sent_at_ns` (monotonic)."""
        raise NotImplementedError

    def ended(self) -> None:
        """The router's close came through, or the connection was reset."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up; it is reset at once where the process at the link's end does not run."""
        self.transport = cast(asyncio.Transport, transport)
        self.link.connections[self] = None
        if not self.link.up:
            self.reset()

    def data_received(self, data: bytes) -> None:
        """The router's data leaves its socket: it is passed on, delayed, or held by a cut."""
        now_ns = system.now()
        if self.link.silent:
            self._held_in.append((data, now_ns))
        elif self.link.delay_s or self._held_in:
            self._held_in.append((data, now_ns))
            self.link.loop.call_later(self.link.delay_s, self._deliver_next)
        else:
            self.received(data, now_ns)

    def _deliver_next(self) -> None:
        if self._held_in and not self.link.silent and not self.closed_at_ns:
            self.received(*self._held_in.pop(0))

    def deliver_held(self) -> None:
        """The cut is healed: what it held goes on, in its order."""
        while self._held_in and not self.closed_at_ns:
            self.received(*self._held_in.pop(0))
        for data in self._held_out:
            self._write(data)
        self._held_out = []

    def send(self, data: bytes) -> None:
        """Writes to the router through the link: at once, delayed, or once a cut is healed."""
        if self.link.silent:
            self._held_out.append(data)
        elif self.link.delay_s:
            self.link.loop.call_later(self.link.delay_s, self._write, data)
        else:
            self._write(data)

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        """Closes the connection in order."""
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Resets the connection."""
        if self.transport is not None:
            raw = self.transport.get_extra_info("socket")
            if raw is not None:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.transport.abort()

    def _note_close(self) -> None:
        if not self.closed_at_ns:
            self.closed_at_ns = system.now()

    def eof_received(self) -> bool:
        """The router has closed its side."""
        self._note_close()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone."""
        self._note_close()
        self.transport = None
        self.link.connections.pop(self, None)
        self.ended()


class ReceivedRequest:
    """Base of the records of requests: dataclasses with slots, whose fields are the record's columns.

    The field `received_on`, the connection, is no column. The field `closed` is when the router closed that
    connection, as far as it had when the request ended.
    """

    __slots__ = ()

    def to_row(self) -> dict[str, Any]:
        """The record as JSON takes it; a connection that has closed since gives `closed`."""
        names = [one.name for one in dataclasses.fields(self)]  # type: ignore[arg-type]
        row = {name: getattr(self, name) for name in names if name != "received_on"}
        connection = getattr(self, "received_on", None)
        if not row["closed"] and connection is not None:
            row["closed"] = connection.closed_at_ns
        return row
