"""The socket of a connection to a server: whether it is up, what the system says of it, and its close."""

import asyncio
from enum import Enum

from rainhitch.system import System


class IdleState(Enum):
    """Whether an idle connection can carry an attempt."""

    REUSABLE = "reusable"
    BUSY = "busy"  # not now, and it is to stay: what waits to be read may be a push
    UNUSABLE = "unusable"  # it is to be closed


# Python 3.11 reads an enum's member through its class slowly: what runs for each request uses these names.
REUSABLE = IdleState.REUSABLE
BUSY = IdleState.BUSY
UNUSABLE = IdleState.UNUSABLE


class UpstreamSocket(asyncio.Protocol):
    """A connection's socket; what it carries is the subclass's."""

    def __init__(self, system: System) -> None:
        self.system = system
        self.transport: asyncio.Transport | None = None  # None: it is not up
        self.connecting: asyncio.Task[None] | None = None
        self.is_closed = False  # closed or given up, also where it comes up later

    def pause_reading(self) -> None:
        """Pauses reading: the relay's client is slower than the server."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Resumes reading."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def has_unread_bytes(self) -> bool:
        """Whether something has come that was not read yet; False where the connection is not up."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        return self.system.readable(transport)

    def idle_state(self) -> IdleState:
        """Whether this connection, which is idle, can carry an attempt."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return UNUSABLE
        return UNUSABLE if self.system.readable(transport) else REUSABLE

    def shut(self) -> None:
        """Closes at once, in both directions, or gives up the connect."""
        self.is_closed = True
        if self.transport is None:
            if self.connecting is not None:
                self.connecting.cancel()
            return
        self.system.shut_down(self.transport)
        self.transport.abort()
