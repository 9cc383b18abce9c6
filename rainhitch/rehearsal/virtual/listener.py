"""Listening sockets, and who accepts at them: a process's server, or a fake's listen point.

A connection is up once it is in the accept queue. It waits there until a server accepts it. The queue holds
connections beyond its backlog by one, as a kernel's does; a connect that finds it full is tried again.
"""

import asyncio
import contextvars
import enum
from collections import deque
from collections.abc import Callable
from typing import Any

from rainhitch.rehearsal.virtual.conditions import Address
from rainhitch.rehearsal.virtual.connection_socket import VirtualSocket
from rainhitch.rehearsal.virtual.descriptors import DescriptorTable
from rainhitch.rehearsal.virtual.loop import VirtualLoop
from rainhitch.rehearsal.virtual.process import CURRENT_PROCESS
from rainhitch.rehearsal.virtual.transport import VirtualTransport

DEFAULT_BACKLOG = 1024
FAKE_ACCEPTS_PER_TURN = 1024
NO_DESCRIPTOR_PAUSE_S = 1.0  # until a server that is out of descriptors accepts again, as in asyncio's loop


class ListenState(enum.Enum):
    """What a listening socket does with connects."""

    ACCEPTING = "accepting"
    REFUSING = "refusing"
    HANGING = "hanging"


class VirtualServer(asyncio.AbstractServer):
    """What accepts at a listening socket, in the process in whose context it is made."""

    def __init__(
        self, listener: "VirtualListeningSocket", make_protocol: Callable[[], Any], max_per_turn: int
    ) -> None:
        self.listener = listener
        self.loop = listener.loop
        self.descriptors = listener.descriptors
        self.make_protocol = make_protocol
        self.max_per_turn = max_per_turn
        self.context = contextvars.copy_context()
        self.process = CURRENT_PROCESS.get()
        self.open = True
        self.turn_scheduled = False
        self.owns_listener = False  # the listening socket closes with it
        self.sockets: tuple[Any, ...] = (_BoundAddress(listener.address),)

    def schedule_accept(self) -> None:
        """Plans one turn of accepting, where somebody waits."""
        waits = self.listener.has_pending_connection() and self.listener.state is not ListenState.HANGING
        if self.open and not self.turn_scheduled and waits:
            self.turn_scheduled = True
            self.loop.call_soon(self._accept_turn, context=self.context)

    def _accept_turn(self) -> None:
        """Accepts up to `max_per_turn` connections.

        `costs.callback_kind` goes by this method's name: renaming it changes its cost.
        """
        self.turn_scheduled = False
        queue = self.listener.accept_queue
        for _ in range(self.max_per_turn):
            if not self.open or not queue:
                return
            if not self.descriptors.has_free(self.process):
                self.loop.call_later(NO_DESCRIPTOR_PAUSE_S, self.schedule_accept, context=self.context)
                return
            accepted = queue.popleft()
            if not accepted.closed:
                VirtualTransport(accepted, self.make_protocol(), self.descriptors).start()
        self.schedule_accept()

    def close(self) -> None:
        """Accepts no more."""
        self.open = False
        if self.listener.server is self:
            self.listener.server = None
        if self.owns_listener:
            self.listener.close()

    def is_serving(self) -> bool:
        """Whether it accepts."""
        return self.open

    def get_loop(self) -> asyncio.AbstractEventLoop:
        """The loop that it runs on."""
        return self.loop

    async def start_serving(self) -> None:
        """Accepts who waits; it does so by itself from its making on."""
        self.schedule_accept()

    async def serve_forever(self) -> None:
        """Waits until it is cancelled."""
        await self.loop.create_future()

    async def wait_closed(self) -> None:
        """Nothing more has to happen."""


class _BoundAddress:
    """As much of a socket as tells its address."""

    def __init__(self, address: Address) -> None:
        self.address = address

    def getsockname(self) -> Address:
        """The address that it is bound to."""
        return self.address


class VirtualListeningSocket:
    """A listening socket and its accept queue (`rainhitch/system.py` `ListeningSocket`).

    Args:
        loop: that it listens on.
        address: that it listens at.
        listeners: all listening sockets of the network by address; a closed one leaves them.
        descriptors: of the processes that accept.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        address: Address,
        listeners: "dict[Address, VirtualListeningSocket]",
        descriptors: DescriptorTable,
    ) -> None:
        self.loop = loop
        self.address = address
        self.listeners = listeners
        self.descriptors = descriptors
        self.accept_queue: deque[VirtualSocket] = deque()
        self.backlog = DEFAULT_BACKLOG
        self.server: VirtualServer | None = None
        self.state = ListenState.ACCEPTING
        self.process = CURRENT_PROCESS.get()

    async def accept(
        self, make_protocol: Callable[[], Any], max_per_turn: int, backlog: int
    ) -> VirtualServer:
        """Accepts until the server is closed; who comes after that waits in the queue."""
        self.backlog = backlog
        self.server = VirtualServer(self, make_protocol, max_per_turn)
        self.server.schedule_accept()
        return self.server

    def has_pending_connection(self) -> bool:
        """Whether somebody waits in the queue."""
        return bool(self.accept_queue)

    def is_full(self) -> bool:
        """Whether a connect finds no place in the queue."""
        return len(self.accept_queue) > self.backlog

    def enqueue(self, accepted: VirtualSocket) -> None:
        """A connection has come up."""
        self.accept_queue.append(accepted)
        if self.server is not None:
            self.server.schedule_accept()

    def close(self) -> None:
        """Listens no more; who waits is reset."""
        self.listeners.pop(self.address, None)
        self.reset_queue()

    def reset_queue(self) -> None:
        """Who waits in the queue is reset."""
        for waiting in self.accept_queue:
            waiting.destroy()
        self.accept_queue.clear()


class VirtualListenPoint:
    """A fake's listening address that can refuse, hang, and accept again (`fakes/loop_with_network.py`)."""

    def __init__(self, listener: VirtualListeningSocket, make_protocol: Callable[[], Any]) -> None:
        self.listener = listener
        self.address = listener.address
        listener.server = VirtualServer(listener, make_protocol, FAKE_ACCEPTS_PER_TURN)

    def open(self) -> None:
        """Connections come up."""
        self.listener.state = ListenState.ACCEPTING
        if self.listener.server is not None:
            self.listener.server.schedule_accept()

    def refuse(self) -> None:
        """Connections are refused, as by a machine whose process has gone; who waits is reset."""
        self.listener.state = ListenState.REFUSING
        self.listener.reset_queue()

    def hang(self) -> None:
        """Connections never come up."""
        self.listener.state = ListenState.HANGING

    def close(self) -> None:
        """Is gone."""
        self.listener.close()
