"""A router's connection to a fake cache node: commands in, answers out in the commands' order."""

import asyncio
from collections import deque
from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import Protocol

import hiredis

from rainhitch import system
from rainhitch.rehearsal.fakes.cache_node_protocol import SYNTAX_ERROR, command_words, wire_length
from rainhitch.rehearsal.fakes.link import Link, LinkConnection
from rainhitch.rehearsal.fakes.received_request import ReceivedRequest


class AttemptOutcome(StrEnum):
    """How a cache node ended a request; the values are the record's."""

    PENDING = ""
    SERVED = "served"
    HIT = "hit"  # in work, and will be served unless a fault is on
    MISS = "miss"
    BUSY = "busy"
    ERROR = "error"
    CORRUPT = "spoilt"
    RESET = "reset"


@dataclass(slots=True, eq=False)
class ReceivedAttempt(ReceivedRequest):
    """One request as the node received it; the fields are the record's columns.

    Times are monotonic ns: `first` and `last` of when the router sent its first and last byte, `ended` of
    when the answer was written, `closed` of when the router closed the connection; 0 for never. `work` is
    microseconds on a core of speed 1. `cold`: the node was warming up.
    """

    node: str
    router: int
    connection: int
    id: str
    key: str
    name: str
    info: str
    first: int
    last: int
    work: float = 0.0
    outcome: AttemptOutcome = AttemptOutcome.PENDING
    ended: int = 0
    closed: int = 0
    cold: bool = False
    received_on: "CacheNodeConnection | None" = None

    @property
    def work_id(self) -> str:
        """The name under which the node's model has the request's work."""
        return f"{self.id}/{self.router}/{self.connection}/{self.last}"


@dataclass(slots=True, eq=False)
class PendingAnswer:
    """An answer's place in its connection's order; `attempt` is None for a command that is no request."""

    attempt: ReceivedAttempt | None = None
    answer: bytes | None = None


@dataclass(slots=True)
class ReceivedCommand:
    """A whole command; none of its words where it is not of the form that a client sends.

    Its bytes were sent from `first_byte_ns` to `last_byte_ns` (monotonic).
    """

    words: list[bytes]
    first_byte_ns: int
    last_byte_ns: int


class Admission(Enum):
    """Whether a node has room for a connection."""

    ADMITTED = "admitted"
    OVER_LIMIT = "over limit"  # each request on it is rejected, then it is closed


class CommandHandler(Protocol):
    """What a connection needs of its node."""

    @property
    def up(self) -> bool:
        """Whether the node's process runs."""

    @property
    def keepalive_s(self) -> float:
        """After how many idle seconds the node closes a connection."""

    def next_connection_number(self) -> int:
        """A number for a new connection."""

    def admit(self, connection: "CacheNodeConnection") -> Admission:
        """Takes a new connection, or says that it is over the node's limit."""

    def disconnected(self, connection: "CacheNodeConnection") -> None:
        """The router has closed a connection, or it was reset."""

    def note_syntax_error(self) -> None:
        """Counts what is no command of the protocol."""

    def command(
        self, connection: "CacheNodeConnection", pending: PendingAnswer, command: ReceivedCommand
    ) -> None:
        """Takes a whole command."""


class CacheNodeConnection(LinkConnection):
    """A router's connection to a node. Commands are begun at once and answered in their order.

    Attributes:
        over_limit: the node had as many connections as it takes: it rejects the requests, then closes.
        resp_version: 3 after a greeting that the node accepts, 2 before.
    """

    def __init__(self, link: Link, node: CommandHandler) -> None:
        super().__init__(link)
        self._node = node
        self.number = node.next_connection_number()
        self.resp_version = 2
        self.over_limit = False
        self.pending: deque[PendingAnswer] = deque()
        self._reader = hiredis.Reader()
        # When the first byte of a command that is not whole yet was sent; 0: there is none.
        self._first_byte_ns = 0
        self._partial_bytes = 0  # of such a command
        self._idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        super().connection_made(transport)
        self.over_limit = self._node.admit(self) is Admission.OVER_LIMIT
        self._restart_idle_timer()

    def _restart_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._idle_timer = self.link.loop.call_later(self._node.keepalive_s, self._close_idle)

    def _close_idle(self) -> None:
        if not self.pending and not self.link.silent:
            self.close()

    def received(self, data: bytes, sent_at_ns: int) -> None:
        """Reads commands; what is no RESP is answered with a syntax error and ends the connection."""
        if not self._first_byte_ns:
            self._first_byte_ns = sent_at_ns
        self._restart_idle_timer()
        self._reader.feed(data)
        self._partial_bytes += len(data)
        try:
            while self._node.up and (command := self._reader.gets()) is not False:
                self._partial_bytes -= wire_length(command)
                pending = PendingAnswer()
                self.pending.append(pending)
                received = ReceivedCommand(command_words(command), self._first_byte_ns, sent_at_ns)
                self._node.command(self, pending, received)
                self._first_byte_ns = sent_at_ns
            if not self._partial_bytes:
                self._first_byte_ns = 0
        except hiredis.ProtocolError:
            self._node.note_syntax_error()
            self.send(SYNTAX_ERROR)
            self.close()
        self.flush()

    def flush(self) -> None:
        """Writes the answers that are ready and have none before them that is not."""
        while self.pending and self.pending[0].answer is not None:
            written = self.pending.popleft()
            if written.answer is not None:
                self.send(written.answer)
            if written.attempt is not None:
                written.attempt.ended = system.now()
        if self.over_limit and not self.pending:
            self.close()

    def ended(self) -> None:
        """The router's close came through, or the connection was reset."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._node.disconnected(self)
