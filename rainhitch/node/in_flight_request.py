"""A request that the router holds, its attempts, and where its one answer goes. No decisions, no sockets.

Life cycle of a request:

    OPEN --final answer given, or its client has left--> FINISHED
     |
     '--a long value begins to arrive--> RELAYING --relay over--> FINISHED

A request stays in the router's table until it is FINISHED and none of its attempts is in flight: an attempt
whose client has left runs on, so that its connection can be used again.
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
    """Where a request stands with its client; see the module's docstring.

    What it waits for is the decisions' to know: `policy/pending_request.py` `RequestState`.
    """

    OPEN = "open"
    RELAYING = "relaying"
    FINISHED = "finished"


# Python 3.11 reads an enum's member through its class slowly: what runs for each request uses these names.
REQUEST_OPEN = InFlightState.OPEN
REQUEST_FINISHED = InFlightState.FINISHED


class ResponseSink(Protocol):
    """Where a request's one answer goes: `set_response` or `start_relay` is called once."""

    def set_response(self, answer: bytes) -> None:
        """Takes the answer as it goes to the client."""

    def start_relay(self, relay: Relay) -> None:
        """Takes a long value, which is passed on piece by piece as it arrives."""

    def encode(self, value: object) -> bytes:
        """Encodes a RESP3 value in the client's protocol version."""

    def has_disconnected(self) -> bool:
        """Whether the client has left, also where its end has not been read yet."""


@dataclass(frozen=True, slots=True)
class FinishedAttempt:
    """An attempt that has ended, as a `bad` record reports it."""

    server: str
    status: AttemptStatus
    elapsed_ns: int

    def __str__(self) -> str:
        return f"{self.server} {self.status.value} after {self.elapsed_ns // NS_PER_MS} ms"


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt in flight: it is its request's `attempt` until it has ended."""

    request: "InFlightRequest"
    number: int  # from 0, within its request
    server: str
    started_at_ns: int
    connection: UpstreamConnection | None = None
    timeout_timer: asyncio.TimerHandle | None = None
    grace_given: bool = False  # it timed out with an answer unread, and got the time to read it

    def is_in_flight(self) -> bool:
        """Whether this attempt has not ended yet."""
        return self.request.attempt is self


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request and what is known of it."""

    id: str
    client_request: ClientRequest
    sink: ResponseSink
    deadline_ns: int  # by when the router answers
    client_deadline_ns: int  # when its client stops waiting
    state: InFlightState = REQUEST_OPEN
    attempts_started: int = 0
    attempt: Attempt | None = None
    deadline_timer: asyncio.TimerHandle | None = None
    relay: Relay | None = None  # its long value, while RELAYING
    finished_attempts: list[FinishedAttempt] = field(default_factory=list)

    def is_open(self) -> bool:
        """Whether it still needs its final answer."""
        return self.state is REQUEST_OPEN

    def may_be_forgotten(self) -> bool:
        """Whether it is over and nothing of it is in flight."""
        return self.state is REQUEST_FINISHED and self.attempt is None
