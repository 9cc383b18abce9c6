"""Client connections that were not admitted: each gets one response and is closed without a reset.

Closing a socket with the client's first command unread sends a reset, which can reach the client before the
response does.
"""

import asyncio
from collections.abc import Callable

from rainhitch.node.client_events import ClientEvent, ClientEvents
from rainhitch.protocol import resp
from rainhitch.protocol.resp2_reader import Resp2Reader
from rainhitch.system import System

LINGER_S = 1.0  # time for which a client may keep sending after its last response
MAX_LINGER_BYTES = 256 << 10  # limit on the bytes read after the last response
MAX_REJECTED_CONNECTIONS = 8  # limit on rejected connections that wait for the client to read
NS_PER_MS = 1_000_000


class RejectedConnections:
    """The rejected connections that are still open.

    `retry_after_ns` returns the retry delay for a client rejected now, in ns; `count_command` is called with
    each command received from a rejected client.
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
        self.connections: dict[RejectedConnection, None] = {}  # in the order of arrival

    def response(self) -> bytes:
        """Returns the response to a rejected client: nothing has been started, so a retry is safe."""
        return resp.busy_reply(-(-self.retry_after_ns() // NS_PER_MS))  # rounded up

    def add(self, connection: "RejectedConnection") -> None:
        """Adds a connection; closes the oldest if too many are open, as few descriptors are spare."""
        self.events.count(ClientEvent.REJECTED)
        self.connections[connection] = None
        if len(self.connections) > MAX_REJECTED_CONNECTIONS:
            next(iter(self.connections)).close_now()

    def remove(self, connection: "RejectedConnection") -> None:
        """Removes a connection that is closed or being closed."""
        self.connections.pop(connection, None)


class RejectedConnection:
    """A connection that was not admitted: sends its response, then closes."""

    def __init__(self, owner: RejectedConnections, transport: asyncio.Transport) -> None:
        self.owner = owner
        self.transport = transport
        self.reader = Resp2Reader()
        transport.write(owner.response())
        transport.write_eof()
        self.linger_timer = owner.loop.call_later(LINGER_S, transport.abort)
        owner.add(self)

    def data_received(self, data: bytes) -> None:
        """Closes the connection once one command has been read: it then closes without a reset."""
        self.reader.feed(data)
        try:
            parts = self.reader.next()
        except resp.FramingError:
            parts = None
        if isinstance(parts, list) and not self.transport.is_closing():
            self.owner.count_command(parts)
        if parts is not resp.NEED_DATA:
            self.transport.close()

    def close_now(self) -> None:
        """Closes at once to make room for another connection, after a direct read of the received data.

        An abort would lose unsent data and send a reset.
        """
        self.owner.remove(self)
        if not self.transport.is_closing():
            self.data_received(self.owner.system.read_unread(self.transport, MAX_LINGER_BYTES))
            self.transport.close()

    def connection_lost(self) -> None:
        """Releases a closed connection."""
        self.owner.remove(self)
        self.linger_timer.cancel()
