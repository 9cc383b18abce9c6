"""Clients' connections for which there was no room: each gets one answer, and is closed without a reset.

Guards that one answer: a close with the client's first command unread is a reset, which can reach the client
before the answer does.
"""

import asyncio
from collections.abc import Callable

from rainhitch.node.client_events import ClientEvent, ClientEvents
from rainhitch.protocol import resp
from rainhitch.protocol.resp2_reader import Resp2Reader
from rainhitch.system import System

LINGER_S = 1.0  # for which a client that has its last answer may go on sending
MAX_LINGER_BYTES = 256 << 10  # of what it sends meanwhile that are read
MAX_REJECTED_CONNECTIONS = 8  # that are kept until they have read their answer
NS_PER_MS = 1_000_000


class RejectedConnections:
    """The rejected connections that are not closed yet.

    `retry_after_ns` gives after what time a client that is rejected now should come back, ns;
    `count_command` is called with each command that such a client has sent.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        system: System,
        events: ClientEvents,
        retry_after_ns: Callable[[], int],
        count_command: Callable[[list[bytes]], None],
    ) -> None:
        self.loop = loop
        self.system = system
        self.events = events
        self.retry_after_ns = retry_after_ns
        self.count_command = count_command
        self.connections: dict[RejectedConnection, None] = {}  # the first to come first

    def answer(self) -> bytes:
        """The answer to a newcomer without room: nothing of it was begun, so that a retry is harmless."""
        return resp.busy_reply(-(-self.retry_after_ns() // NS_PER_MS))  # rounded up

    def add(self, connection: "RejectedConnection") -> None:
        """Counts a connection; only a few are kept, out of the spare descriptors."""
        self.events.count(ClientEvent.REJECTED)
        self.connections[connection] = None
        if len(self.connections) > MAX_REJECTED_CONNECTIONS:
            next(iter(self.connections)).drain_now()

    def remove(self, connection: "RejectedConnection") -> None:
        """A connection is closed, or is being closed."""
        self.connections.pop(connection, None)


class RejectedConnection:
    """What is left to do for a connection that was not admitted."""

    def __init__(self, owner: RejectedConnections, transport: asyncio.Transport) -> None:
        self.owner = owner
        self.transport = transport
        self.reader = Resp2Reader()
        transport.write(owner.answer())
        transport.write_eof()
        self.linger_timer = owner.loop.call_later(LINGER_S, transport.abort)
        owner.add(self)

    def data_received(self, data: bytes) -> None:
        """Once its one command has been read, nothing is left that would make of the close a reset."""
        self.reader.feed(data)
        try:
            parts = self.reader.next()
        except resp.FramingError:
            parts = None
        if isinstance(parts, list) and not self.transport.is_closing():
            self.owner.count_command(parts)
        if parts is not resp.NEED_DATA:
            self.transport.close()

    def drain_now(self) -> None:
        """Others wait for its place: what has come is read past the event loop, then all is closed.

        An abort would throw away what was not sent yet, and be a reset.
        """
        self.owner.remove(self)
        if not self.transport.is_closing():
            self.data_received(self.owner.system.read_unread(self.transport, MAX_LINGER_BYTES))
            self.transport.close()

    def connection_lost(self) -> None:
        """The connection is closed."""
        self.owner.remove(self)
        self.linger_timer.cancel()
