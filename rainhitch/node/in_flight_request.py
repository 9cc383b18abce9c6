"""The state of a request in flight: its attempts, and the sink of its response. No decisions, no sockets.

Life cycle of a request:

    OPEN --final response sent, or its client has disconnected--> FINISHED
     |
     '--a long value begins to arrive--> RELAYING --relay over--> FINISHED

A request stays in the driver's table until it is FINISHED and has no attempt in flight: an attempt whose
client has disconnected runs on, so that its connection can be reused.
"""

import asyncio
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from rainhitch.interface import AttemptStatus
from rainhitch.node.client_request import ClientRequest
from rainhitch.node.relay import Relay
from rainhitch.node.upstream_connection import UpstreamConnection

NS_PER_MS = 1_000_000


class InFlightState(Enum):
    """The state of a request towards its client; see the module's docstring.

    The Balancer tracks what the request is waiting for, as `RequestState` in `policy/pending_request.py`.
    """

    OPEN = "open"
    RELAYING = "relaying"
    FINISHED = "finished"


# Python 3.11 looks up enum members slowly through their class: code that runs per request uses these names.
REQUEST_OPEN = InFlightState.OPEN
REQUEST_FINISHED = InFlightState.FINISHED


class ResponseSink(Protocol):
    """The destination of a request's single response: `set_response` or `start_relay` is called once."""

    def set_response(self, response: bytes) -> None:
        """Takes the encoded response to send to the client."""

    def start_relay(self, relay: Relay) -> None:
        """Takes the relay of a long value, which is sent to the client in pieces as it arrives."""

    def is_followed(self) -> bool:
        """Returns whether further data has been read from the client's connection."""

    def may_store(self, size_bytes: int) -> bool:
        """Returns whether a value of `size_bytes` may be stored, now or once other values are sent."""

    def reserve_value(self, size_bytes: int) -> bool:
        """Returns whether there is memory to store a value of `size_bytes`; if so, reserves it."""

    def encode(self, value: object) -> bytes:
        """Encodes a RESP3 value in the client's protocol version."""

    def has_disconnected(self) -> bool:
        """Returns whether the client has disconnected, even if the end of its stream is not read yet."""


@dataclass(frozen=True, slots=True)
class FinishedAttempt:
    """An attempt that has ended, as reported in a `bad` record."""

    server: str
    status: AttemptStatus
    elapsed_ns: int

    def __str__(self) -> str:
        return f"{self.server} {self.status.value} after {self.elapsed_ns // NS_PER_MS} ms"


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt, which is its request's `attempt` until it has ended."""

    request: "InFlightRequest"
    number: int  # index within its request, from 0
    server: str
    started_at_ns: int
    connection: UpstreamConnection | None = None
    timeout_timer: asyncio.TimerHandle | None = None
    value_began_at_ns: int = 0  # time at which the long value that is stored for it began; 0 if there is none
    timeout_extended: bool = False  # whether it timed out with a response unread and got more time to read it

    def has_stored_value(self) -> bool:
        """Returns whether a long value is or was stored for this attempt."""
        return self.value_began_at_ns != 0

    def is_in_flight(self) -> bool:
        """Returns whether this attempt has not ended yet."""
        return self.request.attempt is self


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request in flight, with its response sink, its deadlines and its attempts."""

    id: str
    client_request: ClientRequest
    sink: ResponseSink
    deadline_ns: int  # time by which the router responds
    client_deadline_ns: int  # time at which the client stops waiting
    state: InFlightState = REQUEST_OPEN
    attempts_started: int = 0
    attempt: Attempt | None = None
    deadline_timer: asyncio.TimerHandle | None = None
    relay: Relay | None = None  # the relay of its long value, while RELAYING
    finished_attempts: list[FinishedAttempt] = field(default_factory=list)

    def is_open(self) -> bool:
        """Returns whether the request still needs its final response."""
        return self.state is REQUEST_OPEN

    def is_removable(self) -> bool:
        """Returns whether the request is finished and has no attempt in flight."""
        return self.state is REQUEST_FINISHED and self.attempt is None
