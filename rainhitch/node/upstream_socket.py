"""The socket of a server connection: whether it is connected, whether it has unread data, and its close."""

import asyncio
from enum import Enum

from rainhitch.system import System


class IdleState(Enum):
    """Whether an idle connection can carry an attempt."""

    REUSABLE = "reusable"
    BUSY = "busy"  # the connection is kept but not used now: its unread data may be a push
    UNUSABLE = "unusable"  # the connection must be closed


# Python 3.11 looks up enum members slowly through their class: code that runs per request uses these names.
REUSABLE = IdleState.REUSABLE
BUSY = IdleState.BUSY
UNUSABLE = IdleState.UNUSABLE


class UpstreamSocket(asyncio.Protocol):
    """The socket of a connection; the subclass defines the protocol spoken over it."""

    def __init__(self, system: System) -> None:
        self.system = system
        self.transport: asyncio.Transport | None = None  # None until connected
        self.connecting: asyncio.Task[None] | None = None
        self.is_closed = False  # closed, or cancelled while connecting, even if the connect still completes

    def pause_reading(self) -> None:
        """Pauses reading, for a relay whose client is slower than the server."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Resumes reading."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def has_unread_bytes(self) -> bool:
        """Returns whether received data is still unread; False if the socket is not connected."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        return self.system.readable(transport)

    def idle_state(self) -> IdleState:
        """Returns whether this idle connection can carry an attempt."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return UNUSABLE
        return UNUSABLE if self.system.readable(transport) else REUSABLE

    def shut(self) -> None:
        """Closes the socket at once, in both directions, or cancels the connect."""
        self.is_closed = True
        if self.transport is None:
            if self.connecting is not None:
                self.connecting.cancel()
            return
        self.system.shut_down(self.transport)
        self.transport.abort()
