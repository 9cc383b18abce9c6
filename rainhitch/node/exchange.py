"""An attempt at a client's command as seen by a server connection, and the attempt's result."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rainhitch.interface import NOTE_NONE, AttemptStatus
from rainhitch.node.client_request import ClientRequest

if TYPE_CHECKING:
    from rainhitch.node.relay import Relay, RelaySource


@dataclass(slots=True)
class AttemptResult:
    """The result of an attempt; it has a value only if the status is OK."""

    status: AttemptStatus
    value: object = b""  # bytes, or a RESP3 value
    answer_note: int = NOTE_NONE  # hit, miss or pending miss, as the server reports it: interface.NOTE_...


@dataclass(slots=True, eq=False)
class Exchange:
    """An attempt as seen by its connection, with the callbacks that report its progress."""

    client_request: ClientRequest
    deadline_ns: int  # monotonic time until which the router waits
    on_finished: Callable[[AttemptResult], None]
    # Called with a long value's size in bytes; returns its relay, or None if the value is no longer needed.
    on_long_value: "Callable[[RelaySource, int], Relay | None]"
    may_write: Callable[[], bool] = lambda: True  # called right before the first byte is written
