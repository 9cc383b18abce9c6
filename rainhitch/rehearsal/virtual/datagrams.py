"""Datagrams on the virtual network, as a kernel gives them: the world's sockets, and the routers' endpoints.

A router's endpoint belongs to its owner: what comes is read in the owner's turn, at its cost, and what comes
for a dead one is gone. What is late or lost on the way is the world's part: fakes/datagrams.py.
"""

import asyncio
import contextvars
from collections import deque
from collections.abc import Callable
from typing import Any, cast

from rainhitch.rehearsal.virtual.loop import OWNER, Owner, VirtualLoop

Address = tuple[str, int]
MOST_WAITING = 256  # datagrams that an end holds unread; those after them are lost


class DatagramSocket:
    """A bound socket of the world's own; what comes waits until it is read."""

    def __init__(self, datagrams: "Datagrams") -> None:
        self.datagrams = datagrams
        self.address = "127.0.0.1", datagrams.port()
        self.waits: deque[tuple[bytes, Address]] = deque(maxlen=MOST_WAITING)
        self.reader: asyncio.Handle | None = None
        datagrams.bound[self.address] = self

    def getsockname(self) -> Address:
        return self.address

    def sendto(self, data: bytes, address: Address) -> None:
        self.datagrams.send(data, self.address, address)

    def arrive(self, data: bytes, source: Address) -> None:
        self.waits.append((data, source))
        if self.reader is not None:
            self.reader._run()

    def recvfrom(self, most: int) -> tuple[bytes, Address]:
        if not self.waits:
            raise BlockingIOError
        data, source = self.waits.popleft()
        return data[:most], source

    def close(self) -> None:
        self.datagrams.bound.pop(self.address, None)


class DatagramEnd(asyncio.DatagramTransport):
    """A router's endpoint."""

    def __init__(self, datagrams: "Datagrams", address: Address, protocol: asyncio.DatagramProtocol) -> None:
        super().__init__()
        self.datagrams, self.address, self.protocol = datagrams, address, protocol
        self.owner = OWNER.get()
        self.context = contextvars.copy_context()
        self.waiting = 0
        self.closed = False
        datagrams.bound[address] = self

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.address if name == "sockname" else default

    def is_closing(self) -> bool:
        return self.closed

    def sendto(self, data: Any, addr: Any = None) -> None:
        self.datagrams.send(bytes(data), self.address, addr)

    def arrive(self, data: bytes, source: Address) -> None:
        if self.waiting < MOST_WAITING:
            self.waiting += 1
            self.datagrams.loop.call_soon(self._read_word, data, source, context=self.context)

    def _read_word(self, data: bytes, source: Address) -> None:
        self.waiting -= 1
        if not self.closed:
            self.protocol.datagram_received(data, source)

    def close(self) -> None:
        self.abort()

    def abort(self) -> None:
        if not self.closed:
            self.closed = True
            self.datagrams.bound.pop(self.address, None)
            self.datagrams.loop.call_soon(self.protocol.connection_lost, None, context=self.context)


class Datagrams:
    """All that is bound for datagrams. `port` gives a free port, `way` is ns of one way."""

    def __init__(self, loop: VirtualLoop, port: Callable[[], int], way: int) -> None:
        self.loop, self.port, self.way = loop, port, way
        self.bound: dict[Address, DatagramSocket | DatagramEnd] = {}

    def socket(self) -> DatagramSocket:
        return DatagramSocket(self)

    def endpoint(self, factory: Callable[[], Any], address: Any) -> tuple[DatagramEnd, Any]:
        """As loop.create_datagram_endpoint with a local address; raises OSError for one that is taken."""
        host, port = str(address[0]), int(address[1] or self.port())
        if (host, port) in self.bound:
            raise OSError(98, "Address already in use")
        protocol = factory()
        end = DatagramEnd(self, (host, port), cast(asyncio.DatagramProtocol, protocol))
        protocol.connection_made(end)
        return end, protocol

    def send(self, data: bytes, source: Address, to: Any) -> None:
        self.loop.at(self.loop.clock + self.way, self._arrive, data, source, tuple(to))

    def _arrive(self, data: bytes, source: Address, to: Address) -> None:
        there = self.bound.get(to)
        if there is not None:
            there.arrive(data, source)

    def kill(self, owner: Owner) -> None:
        """The owner's process dies."""
        for address, one in list(self.bound.items()):
            if isinstance(one, DatagramEnd) and one.owner is owner:
                one.closed = True
                del self.bound[address]
