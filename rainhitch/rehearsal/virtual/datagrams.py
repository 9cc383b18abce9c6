"""Datagrams on the virtual network: sockets of fakes, and the routers' endpoints.

A router's endpoint belongs to its process: what comes is read in that process's turn, at its cost, and what
comes for a dead one is lost. Delay and loss on the way are up to `rehearsal/fakes/datagrams.py`.
"""

import asyncio
import contextvars
import errno
from collections import deque
from collections.abc import Callable
from typing import Any, cast

from rainhitch.rehearsal.virtual.conditions import Address
from rainhitch.rehearsal.virtual.loop import VirtualLoop
from rainhitch.rehearsal.virtual.process import CURRENT_PROCESS, SimulatedProcess

MAX_UNREAD_DATAGRAMS = 256  # of one socket; of more, a fake loses the oldest and a router the newest


class DatagramSocket:
    """A bound socket of a fake, as much of it as fakes use; what comes waits until it is read."""

    def __init__(self, network: "DatagramNetwork") -> None:
        self.network = network
        self.address: Address = ("127.0.0.1", network.allocate_port())
        self.unread: deque[tuple[bytes, Address]] = deque(maxlen=MAX_UNREAD_DATAGRAMS)
        self.reader: asyncio.Handle | None = None  # set by the loop's `add_reader`
        network.bound[self.address] = self

    def getsockname(self) -> Address:
        """The address that it is bound to."""
        return self.address

    def sendto(self, data: bytes, address: Address) -> None:
        """Sends a datagram."""
        self.network.send(data, self.address, address)

    def receive(self, data: bytes, source: Address) -> None:
        """A datagram has come."""
        self.unread.append((data, source))
        if self.reader is not None:
            self.reader._run()

    def recvfrom(self, max_bytes: int) -> tuple[bytes, Address]:
        """The next datagram and its source; raises BlockingIOError where none waits."""
        if not self.unread:
            raise BlockingIOError
        data, source = self.unread.popleft()
        return data[:max_bytes], source

    def close(self) -> None:
        """Nothing more is received."""
        self.network.bound.pop(self.address, None)


class VirtualDatagramTransport(asyncio.DatagramTransport):
    """A router's endpoint, of the process in whose context it is made."""

    def __init__(
        self, network: "DatagramNetwork", address: Address, protocol: asyncio.DatagramProtocol
    ) -> None:
        super().__init__()
        self.network = network
        self.address = address
        self.protocol = protocol
        self.process = CURRENT_PROCESS.get()
        self.context = contextvars.copy_context()
        self.unread_count = 0
        self.closed = False
        network.bound[address] = self

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Has `sockname`."""
        return self.address if name == "sockname" else default

    def is_closing(self) -> bool:
        """Whether it is closed."""
        return self.closed

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Sends a datagram."""
        self.network.send(bytes(data), self.address, addr)

    def receive(self, data: bytes, source: Address) -> None:
        """A datagram has come; it is read in the process's turn."""
        if self.unread_count < MAX_UNREAD_DATAGRAMS:
            self.unread_count += 1
            self.network.loop.call_soon(self._read_datagram, data, source, context=self.context)

    def _read_datagram(self, data: bytes, source: Address) -> None:
        """Hands a datagram to the protocol.

        `costs.callback_kind` goes by this method's name: renaming it changes its cost.
        """
        self.unread_count -= 1
        if not self.closed:
            self.protocol.datagram_received(data, source)

    def close(self) -> None:
        """Nothing more is received."""
        self.abort()

    def abort(self) -> None:
        """Nothing more is received."""
        if not self.closed:
            self.closed = True
            self.network.bound.pop(self.address, None)
            self.network.loop.call_soon(self.protocol.connection_lost, None, context=self.context)


class DatagramNetwork:
    """All that is bound for datagrams.

    Args:
        loop: that datagrams travel on.
        allocate_port: gives a free port.
        one_way_ns: latency of one way.
    """

    def __init__(self, loop: VirtualLoop, allocate_port: Callable[[], int], one_way_ns: int) -> None:
        self.loop = loop
        self.allocate_port = allocate_port
        self.one_way_ns = one_way_ns
        self.bound: dict[Address, DatagramSocket | VirtualDatagramTransport] = {}

    def open_socket(self) -> DatagramSocket:
        """A bound socket for a fake."""
        return DatagramSocket(self)

    def open_endpoint(
        self, make_protocol: Callable[[], Any], address: Any
    ) -> tuple[VirtualDatagramTransport, Any]:
        """As the event loop's `create_datagram_endpoint`; raises OSError for an address that is taken."""
        host = str(address[0])
        port = int(address[1] or self.allocate_port())
        if (host, port) in self.bound:
            raise OSError(errno.EADDRINUSE, "Address already in use")
        protocol = make_protocol()
        transport = VirtualDatagramTransport(self, (host, port), cast(asyncio.DatagramProtocol, protocol))
        protocol.connection_made(transport)
        return transport, protocol

    def send(self, data: bytes, source: Address, to: Any) -> None:
        """Puts a datagram on its way."""
        self.loop.call_at_ns(self.loop.clock_ns + self.one_way_ns, self._arrive, data, source, tuple(to))

    def _arrive(self, data: bytes, source: Address, to: Address) -> None:
        receiver = self.bound.get(to)
        if receiver is not None:
            receiver.receive(data, source)

    def kill(self, process: SimulatedProcess) -> None:
        """A process has died: its endpoints are gone."""
        for address, endpoint in list(self.bound.items()):
            if isinstance(endpoint, VirtualDatagramTransport) and endpoint.process is process:
                endpoint.closed = True
                del self.bound[address]
