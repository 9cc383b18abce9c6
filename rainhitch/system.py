"""The operating system under a router: clocks, listening sockets, and socket state that asyncio hides.

Modules above this one do not call the operating system for these. An event loop that simulates another host
(the virtual loop of the rehearsal kit) carries its own `System` in its attribute `system`; any other loop
uses the real one.
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

TCP_INFO_BYTES = 56  # length of struct tcp_info up to and including tcpi_last_data_recv
TCP_INFO_LAST_DATA = slice(52, 56)  # tcpi_last_data_recv: ms since data last arrived
ProtocolFactory = Callable[[], asyncio.Protocol]


class ListeningSocket(Protocol):
    """A listening socket."""

    address: tuple[str, int]

    async def accept(
        self, make_protocol: ProtocolFactory, max_per_turn: int, backlog: int
    ) -> asyncio.AbstractServer:
        """Accepts connections until the server is closed; later connections wait in the backlog."""

    def has_pending_connection(self) -> bool:
        """Returns whether a connection waits in the backlog."""

    def close(self) -> None:
        """Stops listening."""


class System(Protocol):
    """The clocks, CPU time and sockets of one host."""

    def now(self) -> int:
        """Returns monotonic nanoseconds, the time of the event loop."""

    def unix_ns(self) -> int:
        """Returns Unix nanoseconds, which may jump."""

    def cpu_s(self) -> float:
        """Returns the CPU seconds that this process has used."""

    def open_listener(self, host: str, port: int, inherited: int | None) -> ListeningSocket:
        """Listens at an address, or on an inherited listening socket; raises OSError."""

    def readable(self, transport: asyncio.Transport) -> bool:
        """Returns whether a connection has unread data, or an unread end of the stream."""

    def peer_closed(self, transport: asyncio.Transport) -> bool:
        """Returns whether the peer has closed or reset a connection, even with data unread before that."""

    def shut_down(self, transport: asyncio.Transport) -> None:
        """Shuts a connection down at once, in both directions."""

    def unread_ms(self, transport: asyncio.Transport) -> int:
        """Returns for how many ms the data that arrived last has been unread; 0 where that is unknown."""

    def read_unread(self, transport: asyncio.Transport, max_bytes: int) -> bytes:
        """Reads from the socket directly, bypassing the loop; for a connection that is about to be closed."""

    def limit_receive_buffer(self, transport: asyncio.Transport, size_bytes: int) -> None:
        """Limits the receive buffer of a connection that is not read."""


@dataclass(slots=True)
class Clock:
    """The clocks of a host, for code that is passed the time source."""

    now: Callable[[], int]  # monotonic ns, the time of the event loop
    unix_ns: Callable[[], int]  # Unix ns, which may jump


def has_event(which: socket.socket, event: int) -> bool:
    """Returns whether poll(2) reports an event of a socket now."""
    poller = select.poll()
    poller.register(which.fileno(), event)
    return bool(poller.poll(0))


class SystemListeningSocket:
    """A listening socket of the real operating system."""

    def __init__(self, host: str, port: int, inherited: int | None) -> None:
        # An inherited socket outlives this process: the connections in its backlog stay for another process.
        if inherited is None:
            self.socket = socket.create_server((host, port))
        else:
            self.socket = socket.socket(fileno=os.dup(inherited))
        self.socket.setblocking(False)
        self.address: tuple[str, int] = self.socket.getsockname()[:2]

    async def accept(
        self, make_protocol: ProtocolFactory, max_per_turn: int, backlog: int
    ) -> asyncio.AbstractServer:
        """Accepts connections until the server is closed; later connections wait in the backlog."""
        loop = asyncio.get_running_loop()
        # The loop closes the socket that it listens on; a duplicate keeps the connections in the backlog.
        duplicate = self.socket.dup()
        # The loop accepts up to `backlog` connections in one iteration; the real backlog is set again below.
        server = await loop.create_server(make_protocol, sock=duplicate, backlog=max_per_turn)
        self.socket.listen(backlog)
        return server

    def has_pending_connection(self) -> bool:
        """Returns whether a connection waits in the backlog."""
        # Called for each connection that the loop has accepted, also after the socket was closed.
        return self.socket.fileno() >= 0 and has_event(self.socket, select.POLLIN)

    def close(self) -> None:
        """Stops listening."""
        self.socket.close()


class RealSystem:
    """The real operating system."""

    now = staticmethod(time.monotonic_ns)
    unix_ns = staticmethod(time.time_ns)
    cpu_s = staticmethod(time.process_time)

    def open_listener(self, host: str, port: int, inherited: int | None) -> ListeningSocket:
        """Listens at an address, or on an inherited listening socket; raises OSError."""
        return SystemListeningSocket(host, port, inherited)

    def readable(self, transport: asyncio.Transport) -> bool:
        """Returns whether a connection has unread data, or an unread end of the stream."""
        return has_event(transport.get_extra_info("socket"), select.POLLIN)

    def peer_closed(self, transport: asyncio.Transport) -> bool:
        """Returns whether the peer has closed or reset a connection, even with data unread before that."""
        return has_event(transport.get_extra_info("socket"), select.POLLRDHUP)

    def shut_down(self, transport: asyncio.Transport) -> None:
        """Shuts a connection down at once, in both directions."""
        with contextlib.suppress(OSError):
            descriptor = os.dup(transport.get_extra_info("socket").fileno())
            with socket.socket(fileno=descriptor) as duplicate:
                duplicate.shutdown(socket.SHUT_RDWR)

    def unread_ms(self, transport: asyncio.Transport) -> int:
        """Returns for how many ms the data that arrived last has been unread; 0 where that is unknown."""
        connection = transport.get_extra_info("socket")
        try:
            info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        except OSError:
            return 0
        if len(info) != TCP_INFO_BYTES:
            return 0
        return int.from_bytes(info[TCP_INFO_LAST_DATA], sys.byteorder)

    def read_unread(self, transport: asyncio.Transport, max_bytes: int) -> bytes:
        """Reads from the socket directly, bypassing the loop; for a connection that is about to be closed."""
        try:
            return os.read(transport.get_extra_info("socket").fileno(), max_bytes)
        except OSError:
            return b""

    def limit_receive_buffer(self, transport: asyncio.Transport, size_bytes: int) -> None:
        """Limits the receive buffer of a connection that is not read."""
        connection = transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)


REAL_SYSTEM: System = RealSystem()


def of(loop: asyncio.AbstractEventLoop) -> System:
    """Returns the system that a loop runs on."""
    found: Any = getattr(loop, "system", REAL_SYSTEM)
    return found  # type: ignore[no-any-return]


def clock_of(loop: asyncio.AbstractEventLoop) -> Clock:
    """Returns the clocks of the system that a loop runs on."""
    system = of(loop)
    return Clock(system.now, system.unix_ns)


def running() -> System:
    """Returns the system of the running loop; the real one where no loop runs."""
    try:
        return of(asyncio.get_running_loop())
    except RuntimeError:
        return REAL_SYSTEM


def now() -> int:
    """Returns monotonic nanoseconds of the running loop."""
    return running().now()
