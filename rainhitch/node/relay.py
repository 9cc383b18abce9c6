"""Relays a long value from a server connection to a client connection, piece by piece.

Theory of operation. A value of up to MAX_VALUE_BYTES is read whole before any of it is forwarded, so that
a malformed one costs only an attempt. A longer value is not stored: it is forwarded as it arrives, and there
can be no other attempt once its first byte is forwarded. The last byte is held back until the data after the
value is known to be valid; until then the client can tell that the value is incomplete.

    RECEIVING --data after the value is valid--> COMPLETE --all forwarded--> FORWARDED
       |                                            |
       |--the source fails or stalls--> BROKEN      |  the client's connection is closed within the value
       |                                            |
       '--the client disconnects--------------------'--> CLIENT_DISCONNECTED   the source is closed

Memory: reading from the source is paused while data is waiting for the client, so that at most one piece, as
large as the system delivers at once, is held for each relay.
"""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Protocol

STALL_LIMIT_S = 10.0  # time for which a source may send nothing while the client would read


class RelayState(Enum):
    """The state of a relay; the module's docstring has the transitions."""

    RECEIVING = "receiving"
    COMPLETE = "complete"
    FORWARDED = "passed"
    BROKEN = "broken"
    CLIENT_DISCONNECTED = "client left"


UNFINISHED_STATES = (RelayState.RECEIVING, RelayState.COMPLETE)


class RelaySource(Protocol):
    """The server's side of a relay."""

    def pause_reading(self) -> None:
        """Pauses reading from the server."""

    def resume_reading(self) -> None:
        """Resumes reading from the server."""

    def close(self) -> None:
        """Closes the connection to the server."""


class Relay:
    """Relays one value of `size_bytes`; calls `on_end` once, with whether all of it was forwarded."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        source: RelaySource,
        size_bytes: int,
        on_end: Callable[[bool], None],
    ) -> None:
        self.loop = loop
        self.source = source
        self.size_bytes = size_bytes
        self.on_end = on_end
        self.notify_client: Callable[[], None] = lambda: None  # set by the client's side
        self.state = RelayState.RECEIVING
        self.pending = bytearray()
        self.taken_bytes = 0  # bytes that the client's side has taken
        self.source_paused = False
        self.head_written = False  # whether the client's side has started to write
        self.received_at_s = loop.time()  # time of the last data, or of the last known pause of the source
        self.stall_timer = loop.call_later(STALL_LIMIT_S, self._check_stall)

    def feed(self, data: bytes) -> None:
        """Accepts a part of the value from the source."""
        if self.is_finished():
            return
        self.received_at_s = self.loop.time()
        self.pending += data
        self.notify_client()
        # The last byte may have to be held back, so a single byte does not pause the source.
        if len(self.pending) > 1 and not self.is_finished():
            self.source_paused = True
            self.source.pause_reading()

    def finish(self) -> None:
        """Records that the value is complete and that the data after it is valid."""
        if self.state is RelayState.RECEIVING:
            self.state = RelayState.COMPLETE
        self.notify_client()

    def fail(self) -> None:
        """Ends the relay because the source is closed or its data is malformed."""
        if self.state is RelayState.RECEIVING:
            self._end(RelayState.BROKEN)
            self.notify_client()

    def take(self) -> bytes:
        """Returns the data that may be forwarded to the client now, and removes it."""
        all_arrived = self.taken_bytes + len(self.pending) == self.size_bytes
        is_last_byte_held = all_arrived and self.state is not RelayState.COMPLETE
        data = bytes(self.pending[:-1] if is_last_byte_held else self.pending)
        del self.pending[: len(data)]
        self.taken_bytes += len(data)
        if self.source_paused and not self.is_broken():
            self.source_paused = False
            self.received_at_s = self.loop.time()
            self.source.resume_reading()
        return data

    def is_broken(self) -> bool:
        """Returns whether the rest of the value will never arrive."""
        return self.state is RelayState.BROKEN

    def is_finished(self) -> bool:
        """Returns whether nothing more will be forwarded."""
        return self.state not in UNFINISHED_STATES

    def is_fully_taken(self) -> bool:
        """Returns whether the client's side has taken the complete value."""
        return self.state is RelayState.COMPLETE and self.taken_bytes == self.size_bytes

    def mark_forwarded(self) -> None:
        """Records that the client's connection has the complete value."""
        if not self.is_finished():
            self._end(RelayState.FORWARDED)

    def client_disconnected(self) -> None:
        """Ends the relay because the client has disconnected or cannot be served."""
        if not self.is_finished():
            self._end(RelayState.CLIENT_DISCONNECTED)
            self.source.close()

    def _end(self, state: RelayState) -> None:
        self.state = state
        self.stall_timer.cancel()
        if state is not RelayState.BROKEN:
            self.notify_client = lambda: None
        self.on_end(state is RelayState.FORWARDED)

    def _check_stall(self) -> None:
        """Ends the relay if the source stalls, which frees the client and the descriptors."""
        if self.source_paused:
            # The source waits for the client, which has a time limit of its own.
            self.received_at_s = self.loop.time()
        left_s = self.received_at_s + STALL_LIMIT_S - self.loop.time()
        if left_s > 0:
            self.stall_timer = self.loop.call_later(left_s, self._check_stall)
        else:
            self.fail()
            self.source.close()
