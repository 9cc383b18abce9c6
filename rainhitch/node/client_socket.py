"""The socket of a client's connection: what the system says of it, and how it is closed.

Guards the last answer: a close with bytes unread is a reset, which can reach a client that is still sending
before the answer does. So a connection is half closed first, and lingers: what comes is read and thrown away.
"""

import asyncio
from typing import Protocol

from rainhitch.node.close_reason import CloseReason
from rainhitch.node.close_timer import CloseTimer, CloseTimerHost
from rainhitch.node.rejected_connection import MAX_LINGER_BYTES
from rainhitch.system import System


class SocketHost(CloseTimerHost, Protocol):
    """What a client's socket needs of the router."""

    system: System


class ClientSocket(asyncio.Protocol):
    """A client's socket and the reason of its end; what is read and written is the subclass's."""

    def __init__(self, host: SocketHost) -> None:
        self.system = host.system
        self.transport: asyncio.Transport | None = None  # None: the connection is gone
        self.close_reason: CloseReason | None = None
        self.close_timer = CloseTimer(host, self.abort)
        self.lingered_bytes = 0  # read since it was half closed

    def note_close_reason(self, reason: CloseReason) -> None:
        """Notes why the connection ends; the first reason stands."""
        if self.close_reason is None:
            self.close_reason = reason

    def abort(self, reason: CloseReason = CloseReason.LINGERED) -> None:
        """Closes at once; what was not sent yet is lost."""
        self.note_close_reason(reason)
        if self.transport is not None:
            self.transport.abort()

    def gone(self) -> bool:
        """Whether the client's end has come, also behind what was not read.

        While reading is paused the event loop does not report it. Then the connection is closed here too.
        """
        if self.transport is None or self.transport.is_closing():
            return True
        if self.system.peer_closed(self.transport):
            self.transport.close()
            return True
        return False

    def has_unread_bytes(self) -> bool:
        """Whether something has come that was not read yet."""
        return self.transport is not None and self.system.readable(self.transport)

    def start_lingering(self) -> None:
        """Ends the sending, and gives the client a while to close its side."""
        assert self.transport is not None
        if self.transport.can_write_eof() and not self.transport.is_closing():
            self.transport.write_eof()
        self.close_timer.start_for_lingering(self.transport)

    def throw_away(self, data: bytes) -> None:
        """Counts what came while the connection lingers.

        Guards memory and CPU against a client that goes on at full speed: the rest stays unread.
        """
        self.lingered_bytes += len(data)
        if self.lingered_bytes > MAX_LINGER_BYTES and self.transport is not None:
            self.transport.pause_reading()
