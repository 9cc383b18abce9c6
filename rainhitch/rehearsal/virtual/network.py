"""The network of one run: which addresses are listened at, how a connect ends, what dies with a process.

A connect takes one way there and one back. It is refused where nobody listens. It hangs where the listening
socket says so or its accept queue is full, and is tried again after 1, 3 and 7 s, as a kernel does. What has
become of a connection once it is up is in `connection_socket.py` and `transport.py`.
"""

import asyncio
import errno
from collections.abc import Callable
from typing import Any

from rainhitch.rehearsal.virtual.conditions import (
    DEFAULT_PICOSECONDS_PER_BYTE,
    ONE_WAY_NS,
    RECEIVE_WINDOW_BYTES,
    Address,
    NetworkConditions,
)
from rainhitch.rehearsal.virtual.connection_socket import VirtualSocket
from rainhitch.rehearsal.virtual.datagrams import DatagramNetwork
from rainhitch.rehearsal.virtual.descriptors import DescriptorTable
from rainhitch.rehearsal.virtual.listener import ListenState, VirtualListeningSocket, VirtualListenPoint
from rainhitch.rehearsal.virtual.loop import VirtualLoop
from rainhitch.rehearsal.virtual.process import CURRENT_PROCESS, NS_PER_S, SimulatedProcess
from rainhitch.rehearsal.virtual.transport import VirtualTransport

LOCALHOST = "127.0.0.1"
FIRST_FREE_PORT = 20_001
CONNECT_RETRY_S = (1.0, 2.0, 4.0)  # between tries of a connect that is not answered; the last from then on


class Network:
    """All addresses and connections of one run.

    Args:
        loop: that all of it runs on.
        seed: of the run.
        chop_fraction: fraction of the writes that are split at random places.
        one_way_range_ns: the least and the largest latency of one way on a connection.
        receive_window_bytes: what an end holds unread, with what is on its way there.
        picoseconds_per_byte: the inverse of the bandwidth.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        seed: int,
        chop_fraction: float = 0.0,
        *,
        one_way_range_ns: tuple[int, int] = (ONE_WAY_NS, ONE_WAY_NS),
        receive_window_bytes: int = RECEIVE_WINDOW_BYTES,
        picoseconds_per_byte: int = DEFAULT_PICOSECONDS_PER_BYTE,
    ) -> None:
        self.loop = loop
        self.conditions = NetworkConditions(
            seed, chop_fraction, one_way_range_ns, receive_window_bytes, picoseconds_per_byte
        )
        self.listeners: dict[Address, VirtualListeningSocket] = {}
        self.descriptors = DescriptorTable()
        self.datagrams = DatagramNetwork(loop, self.allocate_port, ONE_WAY_NS)
        self.next_port = FIRST_FREE_PORT

    def allocate_port(self) -> int:
        """A port that nobody has had in this run."""
        port = self.next_port
        self.next_port += 1
        return port

    def open_listener(self, host: Any, port: Any) -> VirtualListeningSocket:
        """Listens at an address, with port 0 or None at a free one; raises OSError where somebody does."""
        address = (str(host), int(port or self.allocate_port()))
        if address in self.listeners:
            raise OSError(errno.EADDRINUSE, "Address already in use")
        listener = VirtualListeningSocket(self.loop, address, self.listeners, self.descriptors)
        self.listeners[address] = listener
        return listener

    def open_listen_point(self, make_protocol: Callable[[], Any]) -> VirtualListenPoint:
        """Listens at a free address for a fake."""
        return VirtualListenPoint(self.open_listener(LOCALHOST, 0), make_protocol)

    def kill(self, process: SimulatedProcess) -> None:
        """A process dies: its connections are reset, its listening sockets and endpoints are gone."""
        process.kill()
        for sock in self.descriptors.release_all(process):
            sock.destroy()
        own_listeners = [one for one in self.listeners.values() if one.process is process]
        for listener in own_listeners:
            listener.close()
        self.datagrams.kill(process)

    async def connect(self, make_protocol: Callable[[], Any], address: Any) -> tuple[VirtualTransport, Any]:
        """As the event loop's `create_connection`; raises OSError."""
        to: Address = (str(address[0]), int(address[1]))
        if not self.descriptors.has_free(CURRENT_PROCESS.get()):
            raise OSError(errno.EMFILE, "Too many open files")
        near = VirtualSocket(self.loop, self.conditions, (LOCALHOST, self.allocate_port()), to)
        near.one_way_ns = self.conditions.draw_one_way_ns(to)
        waiter: asyncio.Future[None] = self.loop.create_future()
        self._after_one_way(near, self._receive_connect, near, to, waiter, 0)
        try:
            await waiter
        except asyncio.CancelledError:
            near.destroy()
            raise
        protocol = make_protocol()
        transport = VirtualTransport(near, protocol, self.descriptors)
        transport.start()
        return transport, protocol

    def _receive_connect(
        self, near: VirtualSocket, to: Address, waiter: "asyncio.Future[None]", tries: int
    ) -> None:
        """A connect has come to its address, for the first time with `tries` 0."""
        if waiter.done():
            return
        listener = self.listeners.get(to)
        if listener is None or listener.state is ListenState.REFUSING:
            refused = ConnectionRefusedError(errno.ECONNREFUSED, f"Connect call failed {to}")
            self._after_one_way(near, self._finish_connect, waiter, refused)
        elif listener.state is ListenState.HANGING or listener.is_full():
            pause_s = CONNECT_RETRY_S[min(tries, len(CONNECT_RETRY_S) - 1)]
            again_ns = self.loop.clock_ns + int(pause_s * NS_PER_S)
            self.loop.call_at_ns(again_ns, self._receive_connect, near, to, waiter, tries + 1)
        else:
            far = VirtualSocket(self.loop, self.conditions, to, near.address)
            far.one_way_ns = near.one_way_ns
            near.peer = far
            far.peer = near
            listener.enqueue(far)
            self._after_one_way(near, self._finish_connect, waiter, None)

    def _after_one_way(self, near: VirtualSocket, callback: Callable[..., None], *args: Any) -> None:
        self.loop.call_at_ns(self.loop.clock_ns + near.one_way_ns, callback, *args)

    @staticmethod
    def _finish_connect(waiter: "asyncio.Future[None]", error: Exception | None) -> None:
        """The answer has come back; one that nobody waits for any more is ignored."""
        if waiter.done():
            return
        if error is None:
            waiter.set_result(None)
        else:
            waiter.set_exception(error)
