"""One attempt at a client's command as a connection to a server sees it, and that attempt's result."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rainhitch.interface import NOTE_NONE, AttemptStatus
from rainhitch.node.client_request import ClientRequest

if TYPE_CHECKING:
    from rainhitch.node.relay import Relay, RelaySource


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended; it has a value only where it was served."""

    status: AttemptStatus
    value: object = b""  # bytes, or a value of RESP3
    answer_note: int = NOTE_NONE  # how the server came by its answer: one of interface.NOTE_...


@dataclass(slots=True, eq=False)
class Exchange:
    """One attempt as a connection sees it."""

    client_request: ClientRequest
    deadline_ns: int  # monotonic, until when the router waits
    on_finished: Callable[[AttemptResult], None]
    # Called with the size in bytes of a long value: where to pass it on, or None where nobody wants it.
    on_long_value: "Callable[[RelaySource, int], Relay | None]"
    may_write: Callable[[], bool] = lambda: True  # called right before the first byte is written
