"""The machine under a router: its clocks, its listening sockets, and what a loop hides of connections.

Nothing above this module asks the machine itself. A loop that stands for another machine (the rehearsal's
virtual one) carries that machine as its attribute `system`; all others run on the real one.
"""

import asyncio
import contextlib
import os
import select
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

TCP_INFO_BYTES = 56  # of struct tcp_info, up to and with the field read here
TCP_INFO_LAST_DATA = slice(52, 56)  # tcpi_last_data_recv: ms since data came last
ProtocolFactory = Callable[[], asyncio.Protocol]


class ListeningSocket(Protocol):
    """A listening socket."""

    address: tuple[str, int]

    async def accept(
        self, make_protocol: ProtocolFactory, max_per_turn: int, backlog: int
    ) -> asyncio.AbstractServer:
        """Accepts until the server is closed; who comes after that waits in the backlog."""

    def waits(self) -> bool:
        """Whether somebody waits in the backlog."""

    def close(self) -> None:
        """Listens no more."""


class System(Protocol):
    """One machine."""

    def now(self) -> int:
        """Monotonic nanoseconds: the loop's time."""

    def unix(self) -> int:
        """Unix nanoseconds, which may jump."""

    def cpu(self) -> float:
        """Seconds of CPU that this program has had."""

    def open_listener(self, host: str, port: int, inherited: int | None) -> ListeningSocket:
        """Listens at an address, or on a listening socket that is there already; raises OSError."""

    def readable(self, transport: asyncio.Transport) -> bool:
        """Whether something has come on a connection, or its end, that was not read yet."""

    def hung_up(self, transport: asyncio.Transport) -> bool:
        """Whether the peer has ended or reset a connection, also behind bytes that were not read yet."""

    def shut(self, transport: asyncio.Transport) -> None:
        """Ends a connection at once, in both directions."""

    def unread_ms(self, transport: asyncio.Transport) -> int:
        """For how many ms what has come last had been lying unread; 0 where that is not known."""

    def take_unread(self, transport: asyncio.Transport, max_bytes: int) -> bytes:
        """Reads what has come past the loop, for a connection that is closed next."""

    def bound_reads(self, transport: asyncio.Transport, size_bytes: int) -> None:
        """Bounds what the machine holds for a connection that is not read."""


@dataclass(slots=True)
class Clock:
    """The clocks of a machine, as they are passed in to what needs the time."""

    now: Callable[[], int]  # monotonic ns: the loop's time
    unix: Callable[[], int]  # Unix ns, which may jump


def has_event(which: socket.socket, event: int) -> bool:
    """Whether poll(2) reports an event of a socket now."""
    poller = select.poll()
    poller.register(which.fileno(), event)
    return bool(poller.poll(0))


class SystemListeningSocket:
    """A listening socket of this machine."""

    def __init__(self, host: str, port: int, inherited: int | None) -> None:
        # An inherited one outlives this process: who waits in its backlog is another process's to accept.
        if inherited is None:
            self.socket = socket.create_server((host, port))
        else:
            self.socket = socket.socket(fileno=os.dup(inherited))
        self.socket.setblocking(False)
        self.address: tuple[str, int] = self.socket.getsockname()[:2]

    async def accept(
        self, make_protocol: ProtocolFactory, max_per_turn: int, backlog: int
    ) -> asyncio.AbstractServer:
        """Accepts until the server is closed; who comes after that waits in the backlog."""
        loop = asyncio.get_running_loop()
        # A duplicate, since the loop closes what it listens on: the connections that wait stay.
        duplicate = self.socket.dup()
        # The loop accepts as many in a turn as its backlog is; the system's own backlog is set again below.
        server = await loop.create_server(make_protocol, sock=duplicate, backlog=max_per_turn)
        self.socket.listen(backlog)
        return server

    def waits(self) -> bool:
        """Whether somebody waits in the backlog."""
        # Asked for each connection that the loop has accepted, also after the socket was closed.
        return self.socket.fileno() >= 0 and has_event(self.socket, select.POLLIN)

    def close(self) -> None:
        """Listens no more."""
        self.socket.close()


class RealSystem:
    """The machine that this runs on."""

    now = staticmethod(time.monotonic_ns)
    unix = staticmethod(time.time_ns)
    cpu = staticmethod(time.process_time)

    def open_listener(self, host: str, port: int, inherited: int | None) -> ListeningSocket:
        """Listens at an address, or on a listening socket that is there already; raises OSError."""
        return SystemListeningSocket(host, port, inherited)

    def readable(self, transport: asyncio.Transport) -> bool:
        """Whether something has come on a connection, or its end, that was not read yet."""
        return has_event(transport.get_extra_info("socket"), select.POLLIN)

    def hung_up(self, transport: asyncio.Transport) -> bool:
        """Whether the peer has ended or reset a connection, also behind bytes that were not read yet."""
        return has_event(transport.get_extra_info("socket"), select.POLLRDHUP)

    def shut(self, transport: asyncio.Transport) -> None:
        """Ends a connection at once, in both directions."""
        with contextlib.suppress(OSError):
            descriptor = os.dup(transport.get_extra_info("socket").fileno())
            with socket.socket(fileno=descriptor) as duplicate:
                duplicate.shutdown(socket.SHUT_RDWR)

    def unread_ms(self, transport: asyncio.Transport) -> int:
        """For how many ms what has come last had been lying unread; 0 where that is not known."""
        connection = transport.get_extra_info("socket")
        try:
            info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        except OSError:
            return 0
        if len(info) != TCP_INFO_BYTES:
            return 0
        return int.from_bytes(info[TCP_INFO_LAST_DATA], sys.byteorder)

    def take_unread(self, transport: asyncio.Transport, max_bytes: int) -> bytes:
        """Reads what has come past the loop, for a connection that is closed next."""
        try:
            return os.read(transport.get_extra_info("socket").fileno(), max_bytes)
        except OSError:
            return b""

    def bound_reads(self, transport: asyncio.Transport, size_bytes: int) -> None:
        """Bounds what the machine holds for a connection that is not read."""
        connection = transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)


REAL_SYSTEM: System = RealSystem()


def of(loop: asyncio.AbstractEventLoop) -> System:
    """The machine that a loop runs on."""
    found: Any = getattr(loop, "system", REAL_SYSTEM)
    return found  # type: ignore[no-any-return]


def clock_of(loop: asyncio.AbstractEventLoop) -> Clock:
    """The clocks of the machine that a loop runs on."""
    system = of(loop)
    return Clock(system.now, system.unix)


def running() -> System:
    """The machine of the loop that runs now; the real one where none does."""
    try:
        return of(asyncio.get_running_loop())
    except RuntimeError:
        return REAL_SYSTEM


def now() -> int:
    """Monotonic nanoseconds of the loop that runs now."""
    return running().now()
