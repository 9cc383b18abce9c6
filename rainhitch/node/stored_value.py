"""Stores a long value of a server until it is whole, for a client connection that has sent further commands.

Theory of operation. A relayed value that breaks off ends its client's connection, as RESP has no form for one
(node/relay.py). That would leave the commands behind it unanswered. So while there are any, the value is not
relayed but stored, like a short one: it is part of its attempt until its last byte, and one that breaks off
costs that attempt only.

    WAITING --memory is reserved--> STORING --last byte--> the attempt ends with the value
       |                               |
       '--the attempt ends, the client disconnects, or the server's connection is lost--> DROPPED

A value that is whole is DROPPED too, once the attempt has it.

WAITING bounds the memory that stored values use: the server is not read meanwhile, beyond what one read has
delivered. A value that waits holds no memory that another one waits for, so that they can't block each other.
The attempt's time limit applies in both states.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from rainhitch.node.relay import RelaySource
from rainhitch.protocol.resp import MAX_RELAYED_VALUE_BYTES

RESERVE_RETRY_INTERVAL_S = 0.01
LINE_END = b"\r\n"
MAX_FRAME_BYTES = len(b"$%d\r\n\r\n" % MAX_RELAYED_VALUE_BYTES)  # of a bulk string, besides its value


class StoredValueState(Enum):
    """The state of a stored value; the module's docstring has the transitions."""

    WAITING = "waiting for memory"
    STORING = "storing"
    DROPPED = "dropped"


@dataclass(frozen=True, slots=True)
class EncodedValue:
    """A value that is encoded as the client receives it: a bulk string, alike in RESP2 and RESP3."""

    encoded: bytes


class StoredValue:
    """Stores one value of `size_bytes`; `reserve` returns whether there is memory for it, and reserves it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        source: RelaySource,
        size_bytes: int,
        reserve: Callable[[], bool],
    ) -> None:
        self.loop = loop
        self.source = source
        self.size_bytes = size_bytes
        self.reserve = reserve
        self.state = StoredValueState.WAITING
        self.pending = bytearray()  # what arrived while waiting
        self.encoded = bytearray()
        self.end = 0  # where the next byte of the value belongs in `encoded`
        self.timer: asyncio.TimerHandle | None = None
        self._try_to_reserve()

    def _try_to_reserve(self) -> None:
        self.timer = None
        if not self.reserve():
            self.source.pause_reading()
            self.timer = self.loop.call_later(RESERVE_RETRY_INTERVAL_S, self._try_to_reserve)
            return
        self.state = StoredValueState.STORING
        head = b"$%d\r\n" % self.size_bytes
        # Made in its final size: one that grows would take up to twice the memory that is reserved.
        self.encoded = bytearray(len(head) + self.size_bytes + len(LINE_END))
        self.encoded[: len(head)] = head
        self.end = len(head)
        self._store(self.pending)
        self.pending = bytearray()
        self.source.resume_reading()

    def _store(self, data: bytes | bytearray) -> None:
        self.encoded[self.end : self.end + len(data)] = data
        self.end += len(data)

    def feed(self, data: bytes) -> None:
        """Accepts a part of the value from the server."""
        if self.state is StoredValueState.WAITING:
            self.pending += data
        elif self.state is StoredValueState.STORING:
            self._store(data)

    def finish(self) -> EncodedValue:
        """Returns the value, which is whole and followed by valid data."""
        self.encoded[self.end :] = LINE_END
        value = EncodedValue(bytes(self.encoded))
        self._drop()
        return value

    def fail(self) -> None:
        """Drops what has arrived: the attempt is over, or the rest of the value will never arrive."""
        self._drop()

    def _drop(self) -> None:
        self.state = StoredValueState.DROPPED
        self.pending = bytearray()
        self.encoded = bytearray()
        if self.timer is not None:
            self.timer.cancel()
