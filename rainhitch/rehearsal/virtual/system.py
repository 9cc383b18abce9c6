"""The machine under a simulated router (`rainhitch/system.py` `System`), on a virtual loop."""

import asyncio
from typing import cast

from rainhitch.rehearsal.virtual.connection_socket import VirtualSocket
from rainhitch.rehearsal.virtual.listener import VirtualListeningSocket
from rainhitch.rehearsal.virtual.loop import VirtualLoop
from rainhitch.rehearsal.virtual.process import CURRENT_PROCESS, NS_PER_S, START_NS
from rainhitch.rehearsal.virtual.transport import VirtualTransport

START_UNIX_NS = 1_700_000_000 * NS_PER_S  # the wall clock at the start of a run
NS_PER_MS = 1_000_000


class VirtualSystem:
    """The machines of all processes; each has clocks of its own."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop

    def now(self) -> int:
        """Monotonic ns by the clock of the process that asks."""
        process = CURRENT_PROCESS.get()
        return self.loop.clock_ns if process is None else process.local_ns(self.loop.clock_ns)

    def unix_ns(self) -> int:
        """Unix ns by the wall clock of the process that asks."""
        process = CURRENT_PROCESS.get()
        offset_ns = 0 if process is None else process.unix_offset_ns
        return START_UNIX_NS + self.now() - START_NS + offset_ns

    def cpu_s(self) -> float:
        """CPU seconds of the process that asks."""
        process = CURRENT_PROCESS.get()
        return 0.0 if process is None else process.cpu_ns / 1e9

    def open_listener(self, host: str, port: int, inherited: int | None) -> VirtualListeningSocket:
        """Listens at an address; raises OSError where somebody does. Nothing is ever inherited here."""
        return self.loop.network.open_listener(host, port)

    def readable(self, transport: asyncio.Transport) -> bool:
        """Whether something has come on a connection, or its end, that was not read yet."""
        return _socket_of(transport).is_readable()

    def peer_closed(self, transport: asyncio.Transport) -> bool:
        """Whether the peer has ended or reset a connection, also behind bytes that were not read yet."""
        return _socket_of(transport).is_hung_up()

    def shut_down(self, transport: asyncio.Transport) -> None:
        """Does nothing: the abort that follows does all."""

    def unread_ms(self, transport: asyncio.Transport) -> int:
        """For how many ms what has come last had been lying unread."""
        return (self.loop.clock_ns - _socket_of(transport).last_received_ns) // NS_PER_MS

    def read_unread(self, transport: asyncio.Transport, max_bytes: int) -> bytes:
        """Reads what has come past the loop, for a connection that is closed next."""
        return _socket_of(transport).take_unread(max_bytes)

    def limit_receive_buffer(self, transport: asyncio.Transport, size_bytes: int) -> None:
        """Bounds what is held for a connection that is not read; a kernel grants twice what is asked for."""
        sock = _socket_of(transport)
        sock.receive_window_bytes = min(sock.receive_window_bytes, 2 * size_bytes)


def _socket_of(transport: asyncio.Transport) -> VirtualSocket:
    return cast(VirtualTransport, transport).socket
