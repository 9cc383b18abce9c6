"""The socket of a client connection: its state as the system reports it, and how it is closed.

Closing a socket that has unread bytes sends a reset, which can reach a client that is still sending before
the last response does. A connection is therefore half closed first and lingers: what arrives is discarded.
"""

import asyncio
from typing import Protocol

from rainhitch.node.close_reason import CloseReason
from rainhitch.node.close_timer import CloseTimer, CloseTimerHost
from rainhitch.node.rejected_connection import MAX_LINGER_BYTES
from rainhitch.system import System


class SocketHost(CloseTimerHost, Protocol):
    """The parts of the router that a client socket uses."""

    system: System


class ClientSocket(asyncio.Protocol):
    """A client's socket and the reason for its close; subclasses handle reading and writing."""

    def __init__(self, host: SocketHost) -> None:
        self.system = host.system
        self.transport: asyncio.Transport | None = None  # None once the connection is closed
        self.close_reason: CloseReason | None = None
        self.close_timer = CloseTimer(host, self.abort)
        self.lingered_bytes = 0  # bytes read since the half close

    def record_close_reason(self, reason: CloseReason) -> None:
        """Records why the connection is closed; only the first reason is kept."""
        if self.close_reason is None:
            self.close_reason = reason

    def abort(self, reason: CloseReason = CloseReason.LINGERED) -> None:
        """Closes the connection at once; unsent data is lost."""
        self.record_close_reason(reason)
        if self.transport is not None:
            self.transport.abort()

    def has_disconnected(self) -> bool:
        """Returns whether the client has closed or reset its side, even with unread bytes before that.

        The event loop does not report the end while reading is paused. If the client has closed its side, the
        connection is closed here too.
        """
        if self.transport is None or self.transport.is_closing():
            return True
        if self.system.peer_closed(self.transport):
            self.transport.close()
            return True
        return False

    def has_unread_bytes(self) -> bool:
        """Returns whether bytes, or the end of the stream, are waiting in the socket."""
        return self.transport is not None and self.system.readable(self.transport)

    def has_unsent_bytes(self) -> bool:
        """Returns whether written bytes wait for the client to read; an abort would lose them."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def start_lingering(self) -> None:
        """Half closes the connection and allows the client a limited time to close its side."""
        assert self.transport is not None
        if self.transport.can_write_eof() and not self.transport.is_closing():
            self.transport.write_eof()
        self.close_timer.start_for_lingering(self.transport)

    def discard(self, data: bytes) -> None:
        """Counts and discards data that arrives while the connection lingers.

        Limits memory and CPU use if the client keeps sending at full speed: beyond MAX_LINGER_BYTES, data
        stays unread.
        """
        self.lingered_bytes += len(data)
        if self.lingered_bytes > MAX_LINGER_BYTES and self.transport is not None:
            self.transport.pause_reading()
