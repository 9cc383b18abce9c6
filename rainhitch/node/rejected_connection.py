"""Client connections that were not admitted: each command read gets a response, and the close is no reset.

Closing a socket with unread data sends a reset, which can reach the client before the responses do.
"""

import asyncio
from collections.abc import Callable

from rainhitch.node.client_events import ClientEvent, ClientEvents
from rainhitch.protocol import resp
from rainhitch.protocol.resp2_reader import Resp2Reader
from rainhitch.system import System

LINGER_S = 1.0  # time for which a client may keep sending after its last response
MAX_LINGER_BYTES = 256 << 10  # limit on the bytes read after the last response
MAX_REJECTED_COMMANDS = 8192  # answered on one connection; more than one read holds requests
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
        """Returns the response to a rejected command: nothing has been started, so a retry is safe."""
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
    """A connection that was not admitted: answers the commands that have arrived, then closes.

    The response to the first command is sent at once, before that command is read.
    """

    def __init__(self, owner: RejectedConnections, transport: asyncio.Transport) -> None:
        self.owner = owner
        self.transport = transport
        self.reader = Resp2Reader()
        self.response = owner.response()
        self.command_count = 0  # whole commands read
        self.response_count = 1  # responses written; the first one is written before a command is read
        self.is_ended = False  # no more responses are sent; data that arrives is discarded
        self.lingered_bytes = 0  # bytes read since then
        transport.write(self.response)
        self.linger_timer = owner.loop.call_later(LINGER_S, transport.abort)
        owner.add(self)

    def data_received(self, data: bytes) -> None:
        """Answers the commands read; closes the connection once there is nothing more to read."""
        if self.is_ended:
            self._discard(data)
            return
        self.reader.feed(data)
        try:
            self._answer_commands()
        except resp.FramingError:
            self._end()
            return
        is_all_read = not self.reader.buffer and not self.owner.system.readable(self.transport)
        if self.command_count >= MAX_REJECTED_COMMANDS:
            self._end()
        elif self.command_count and is_all_read:
            self.transport.close()

    def _answer_commands(self) -> None:
        """Answers the whole commands received; raises FramingError for data that is no command."""
        try:
            while self.command_count < MAX_REJECTED_COMMANDS and isinstance(
                parts := self.reader.next(), list
            ):
                self.owner.count_command(parts)
                self.command_count += 1
        finally:
            self.transport.write(self.response * (self.command_count - self.response_count))
            self.response_count = max(self.response_count, self.command_count)

    def _end(self) -> None:
        """Ends the sending side; what the client still sends is discarded until it closes its side."""
        self.is_ended = True
        self.reader.buffer.clear()
        self.transport.write_eof()

    def _discard(self, data: bytes) -> None:
        """Discards data; beyond MAX_LINGER_BYTES, data stays unread."""
        self.lingered_bytes += len(data)
        if self.lingered_bytes > MAX_LINGER_BYTES:
            self.transport.pause_reading()

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
