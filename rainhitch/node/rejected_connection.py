"""A client's connection for which there was no room: it gets one answer, and is closed without a reset.

Guards that one answer: a close with the client's first command unread is a reset, which can reach the client
before the answer does.
"""

import asyncio
from typing import Protocol

from rainhitch.protocol import resp
from rainhitch.system import System

LINGER_S = 1.0  # for which a client that has its last answer may go on sending
MAX_LINGER_BYTES = 256 << 10  # of what it sends meanwhile that are read


class RejectingHost(Protocol):
    """What a rejected connection needs of the router."""

    loop: asyncio.AbstractEventLoop
    system: System

    def rejection(self) -> bytes:
        """The one answer."""

    def track_rejected(self, connection: "RejectedConnection") -> None:
        """Counts the connection, and keeps track of it until it is closed."""

    def untrack_rejected(self, connection: "RejectedConnection") -> None:
        """The connection is closed, or is being closed."""

    def count_rejected_command(self, parts: list[bytes]) -> None:
        """Counts a command that was rejected unread by the decisions."""


class RejectedConnection:
    """What is left to do for a connection that was not admitted."""

    def __init__(self, host: RejectingHost, transport: asyncio.Transport) -> None:
        self.host = host
        self.transport = transport
        self.frames = resp.Resp2Reader()
        transport.write(host.rejection())
        transport.write_eof()
        self.linger_timer = host.loop.call_later(LINGER_S, transport.abort)
        host.track_rejected(self)

    def data_received(self, data: bytes) -> None:
        """Once its one command has been read, nothing is left that would make of the close a reset."""
        self.frames.feed(data)
        try:
            parts = self.frames.next()
        except resp.FramingError:
            parts = None
        if isinstance(parts, list) and not self.transport.is_closing():
            self.host.count_rejected_command(parts)
        if parts is not resp.NEED_DATA:
            self.transport.close()

    def drain_now(self) -> None:
        """Others wait for its place: what has come is read past the event loop, then all is closed.

        An abort would throw away what was not sent yet, and be a reset.
        """
        self.host.untrack_rejected(self)
        if not self.transport.is_closing():
            self.data_received(self.host.system.take_unread(self.transport, MAX_LINGER_BYTES))
            self.transport.close()

    def connection_lost(self) -> None:
        """The connection is closed."""
        self.host.untrack_rejected(self)
        self.linger_timer.cancel()
