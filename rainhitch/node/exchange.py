"""An attempt at a client's command as seen by a server connection, and the attempt's result."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from rainhitch.interface import NOTE_NONE, AttemptStatus
from rainhitch.node.client_request import ClientRequest

if TYPE_CHECKING:
    from rainhitch.node.relay import RelaySource
    from rainhitch.node.stored_value import EncodedValue


class LongValueReceiver(Protocol):
    """Takes a long value of a server as it arrives: its relay, or its store."""

    def feed(self, data: bytes) -> None:
        """Accepts a part of the value."""

    def finish(self) -> "EncodedValue | None":
        """Records that the value is whole and that the data after it is valid; returns it if it is stored."""

    def fail(self) -> None:
        """Records that the rest of the value will never arrive."""


@dataclass(slots=True)
class AttemptResult:
    """The result of an attempt; it has a value only if the status is OK."""

    status: AttemptStatus
    value: object = b""  # bytes, an EncodedValue, or a RESP3 value
    answer_note: int = NOTE_NONE  # hit, miss or pending miss, as the server reports it: interface.NOTE_...


@dataclass(slots=True, eq=False)
class Exchange:
    """An attempt as seen by its connection, with the callbacks that report its progress."""

    client_request: ClientRequest
    deadline_ns: int  # monotonic time until which the router waits
    on_finished: Callable[[AttemptResult], None]
    # Called with a long value's size in bytes; returns its receiver, or None if it is no longer needed.
    on_long_value: "Callable[[RelaySource, int], LongValueReceiver | None]"
    may_write: Callable[[], bool] = lambda: True  # called right before the first byte is written
