"""A long value on its way from a server's connection to a client's, a piece at a time.

Theory. An answer up to MAX_VALUE_BYTES is read whole before any of it goes on, so that one that is spoilt
costs an attempt and no more. A longer one is not kept: it goes on as it arrives, and from its first byte on
there is no other attempt. So the last byte is held back until what stands behind the value has been found
good, and until then a client can tell that it has not got the whole.

    RECEIVING --what stands behind it is good--> COMPLETE --all passed on--> PASSED
       |                                            |
       |--the source breaks, or stalls--> BROKEN    |  the client's connection ends in the middle of the value
       |                                            |
       '--the client leaves-------------------------'--> CLIENT_LEFT   the source is closed

Memory: what a client has not read pauses the reading from the source, so that one piece, as large as the
system hands over at a time, is held for each.
"""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Protocol

STALL_LIMIT_S = 10.0  # for which a source may send nothing while its client would read


class RelayState(Enum):
    """Where a relay stands; see the module's docstring."""

    RECEIVING = "receiving"
    COMPLETE = "complete"
    PASSED = "passed"
    BROKEN = "broken"
    CLIENT_LEFT = "client left"


UNFINISHED_STATES = (RelayState.RECEIVING, RelayState.COMPLETE)


class Source(Protocol):
    """The server's side."""

    def pause_reading(self) -> None:
        """Reads no more for now."""

    def resume_reading(self) -> None:
        """Reads on."""

    def close(self) -> None:
        """Ends the connection."""


class Relay:
    """One long value of `size_bytes`; `on_end` is called once with whether all of it was passed on."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        source: Source,
        size_bytes: int,
        on_end: Callable[[bool], None],
    ) -> None:
        self.loop = loop
        self.source = source
        self.size_bytes = size_bytes
        self.on_end = on_end
        self.wake: Callable[[], None] = lambda: None  # tells the client's side that there is something to do
        self.state = RelayState.RECEIVING
        self.pending = bytearray()
        self.taken_bytes = 0  # that the client's side has
        self.source_paused = False
        self.head_written = False  # the client's side has begun to write
        self.received_at_s = loop.time()  # when something last came, or could not
        self.stall_timer = loop.call_later(STALL_LIMIT_S, self._check_stall)

    def feed(self, data: bytes) -> None:
        """Some of the value has come."""
        if self.is_over():
            return
        self.received_at_s = self.loop.time()
        self.pending += data
        self.wake()
        # The last byte may have to wait: one byte pauses nothing.
        if len(self.pending) > 1 and not self.is_over():
            self.source_paused = True
            self.source.pause_reading()

    def finish(self) -> None:
        """The value is whole, and what stands behind it is good."""
        if self.state is RelayState.RECEIVING:
            self.state = RelayState.COMPLETE
        self.wake()

    def break_off(self) -> None:
        """The source is gone, or what it sent is spoilt."""
        if self.state is RelayState.RECEIVING:
            self._end(RelayState.BROKEN)
            self.wake()

    def take(self) -> bytes:
        """What may go on to the client now."""
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
        """Whether the rest will never come."""
        return self.state is RelayState.BROKEN

    def is_over(self) -> bool:
        """Whether nothing more is passed on."""
        return self.state not in UNFINISHED_STATES

    def is_taken_whole(self) -> bool:
        """Whether the client's side has all of it."""
        return self.state is RelayState.COMPLETE and self.taken_bytes == self.size_bytes

    def passed(self) -> None:
        """All of it is with the client's connection."""
        if not self.is_over():
            self._end(RelayState.PASSED)

    def client_left(self) -> None:
        """The client has gone, or can't be served."""
        if not self.is_over():
            self._end(RelayState.CLIENT_LEFT)
            self.source.close()

    def _end(self, state: RelayState) -> None:
        self.state = state
        self.stall_timer.cancel()
        if state is not RelayState.BROKEN:
            self.wake = lambda: None
        self.on_end(state is RelayState.PASSED)

    def _check_stall(self) -> None:
        """Guards a client, and the descriptors, against a server that stops in the middle of a value."""
        if self.source_paused:
            self.received_at_s = (
                self.loop.time()
            )  # it waits for the client, which has a time limit of its own
        left_s = self.received_at_s + STALL_LIMIT_S - self.loop.time()
        if left_s > 0:
            self.stall_timer = self.loop.call_later(left_s, self._check_stall)
        else:
            self.break_off()
            self.source.close()
