"""One client's connection to a router, and the record of what was sent and came back on it."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Protocol, cast

import hiredis

from rainhitch import system

Json = dict[str, Any]
RESP3_GREETING = b"*2\r\n$5\r\nHELLO\r\n$1\r\n3\r\n"
BUSY = "BUSY"  # the first word of an error that rejects a request
DETAIL_LENGTH = 80  # characters of an answer that the record keeps
EXTRA_DETAIL_LENGTH = 60
RETRY_COLUMNS = ("router", "connection", "sent", "ended")  # of a sending that was repeated


class TryKind(StrEnum):
    """How a try ended; the values are the record's."""

    PENDING = ""
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    UNREACHABLE = "unreachable"  # no router took it
    ENDED = "ended"  # the router closed the connection without a whole answer


@dataclass(slots=True, eq=False)
class SentTry:
    """One try as its client saw it; the fields are the record's columns.

    Times are monotonic ns, 0 for never: `due`, when it was to be sent; `sent`, when its last byte was
    written; `answered`; `left`, when the client went away before its patience was over; `ended`, when the
    router closed the connection without an answer. `wait` is the client's patience in ns. `ask` is the
    request's number in the plan and `number` the try's in the request. `earlier` has sendings of this
    try that ended without an answer on a connection that was closed between requests. `own`: the value
    was made for this request.
    """

    ask: int
    number: int
    id: str
    router: int = -1
    connection: int = -1
    reused: bool = False
    earlier: list[Json] = field(default_factory=list)
    due: int = 0
    sent: int = 0
    wait: int = 0
    answered: int = 0
    kind: TryKind = TryKind.PENDING
    detail: str = ""
    own: bool = False
    left: int = 0
    ended: int = 0

    def to_row(self) -> Json:
        """The record's row."""
        return {name: getattr(self, name) for name in self.__slots__}

    @property
    def crossed_a_close(self) -> bool:
        """Whether it met a connection that its router had closed between requests: no fault of either."""
        return self.kind is TryKind.ENDED and self.reused and not self.detail

    def repeat_sending(self) -> None:
        """Notes that the sending until now came to nothing; the same try is sent once more."""
        self.earlier.append({name: getattr(self, name) for name in RETRY_COLUMNS})
        self.kind = TryKind.PENDING
        self.ended = 0
        self.sent = 0

    def note_unreachable(self) -> None:
        """No router took it."""
        self.kind = TryKind.UNREACHABLE
        self.ended = system.now()


class ConnectionOwner(Protocol):
    """What a connection needs of the clients that it belongs to."""

    connections: "dict[ClientConnection, None]"

    def next_connection_number(self) -> int:
        """A number for a new connection."""

    def speaks_resp3(self, number: int) -> bool:
        """Whether the connection of this number speaks RESP3."""

    def note_extra_answer(
        self, connection: "ClientConnection", request_id: str, kind: str, now_ns: int
    ) -> None:
        """An answer came that belongs to no request that waits for one."""


class ClientConnection(asyncio.Protocol):
    """A client's connection: one command at a time.

    Attributes:
        sent_try: the one that waits for its answer.
        idle_since_s: since when none does, on the loop's clock.
    """

    def __init__(self, owner: ConnectionOwner, router: int) -> None:
        self.router = router
        self.number = owner.next_connection_number()
        self.transport: asyncio.Transport | None = None
        self.sent_try: SentTry | None = None
        self.idle_since_s = 0.0
        self._owner = owner
        self._reader = hiredis.Reader()
        self._done: Callable[[], None] | None = None
        self._last_answered_id = ""
        self._request_count = 0
        self._received_bytes = 0  # since the last request
        self._early_answers: list[object] = []  # that came before any request: they answer the first ones
        self._speaks_resp3 = owner.speaks_resp3(self.number)
        self._awaits_greeting = self._speaks_resp3

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up; one that speaks RESP3 greets the router."""
        self.transport = cast(asyncio.Transport, transport)
        self._owner.connections[self] = None
        if self._awaits_greeting:
            self.transport.write(RESP3_GREETING)

    @property
    def usable(self) -> bool:
        """Whether a request can be written."""
        return self.transport is not None and not self.transport.is_closing()

    def send(self, sent_try: SentTry, data: bytes, done: Callable[[], None]) -> None:
        """Sends a try; `done` is called once it has an answer, or can have none."""
        self.sent_try = sent_try
        self._done = done
        sent_try.router = self.router
        sent_try.connection = self.number
        # One that was greeted is between requests too: its router may close it as our request crosses.
        sent_try.reused = self._request_count > 0 or (self._speaks_resp3 and not self._awaits_greeting)
        self._request_count += 1
        self._received_bytes = 0
        if self.transport is None and not self._early_answers:
            self.forget()
            sent_try.note_unreachable()  # closed before anything was written
            done()
            return
        if self.usable and self.transport is not None:
            self.transport.write(data)
        sent_try.sent = system.now()
        if self._early_answers:
            self._take_answer(self._early_answers.pop(0), sent_try.sent)

    def forget(self) -> None:
        """No longer waits for an answer."""
        self.sent_try = None
        self._done = None

    def data_received(self, data: bytes) -> None:
        """Reads answers; what is no RESP fails the try and ends the connection."""
        now_ns = system.now()
        self._received_bytes += len(data)
        self._reader.feed(data)
        try:
            while (answer := self._reader.gets()) is not False:
                self._take_answer(answer, now_ns)
        except hiredis.ProtocolError:
            self._finish(now_ns, TryKind.FAILED, "no RESP", own=False)
            self.close()

    def _take_answer(self, answer: object, now_ns: int) -> None:
        if self._awaits_greeting and isinstance(answer, dict):
            self._awaits_greeting = False
            self._received_bytes = 0
            return
        if isinstance(answer, list) and answer:
            answer = answer[0]
        value = answer.decode("latin-1") if isinstance(answer, bytes) else ""
        made_for_id = value.partition(":")[0]
        sent_try = self.sent_try
        if sent_try is None and not self._request_count:
            self._early_answers.append(answer)
            return
        if sent_try is None or self._answers_last_request_again(made_for_id, sent_try):
            kind = TryKind.SERVED if value else str(answer)[:EXTRA_DETAIL_LENGTH]
            self._owner.note_extra_answer(self, self._last_answered_id, kind, now_ns)
            return
        if isinstance(answer, bytes):
            own = made_for_id == sent_try.id
            self._finish(now_ns, TryKind.SERVED, value[:DETAIL_LENGTH], own)
        elif isinstance(answer, hiredis.ReplyError):
            text = str(answer)
            kind = TryKind.REFUSED if text.split(" ")[0] == BUSY else TryKind.FAILED
            self._finish(now_ns, kind, text[:DETAIL_LENGTH], own=False)
        else:
            self._finish(now_ns, TryKind.FAILED, repr(answer)[:DETAIL_LENGTH], own=False)

    def _answers_last_request_again(self, made_for_id: str, sent_try: SentTry) -> bool:
        """Whether a value was made for the request before the one that waits: a second answer to it."""
        return bool(made_for_id) and made_for_id == self._last_answered_id and made_for_id != sent_try.id

    def _finish(self, now_ns: int, kind: TryKind, detail: str, own: bool) -> None:
        sent_try = self.sent_try
        done = self._done
        self.forget()
        if sent_try is None or done is None:
            return
        sent_try.answered = now_ns
        sent_try.kind = kind
        sent_try.detail = detail
        sent_try.own = own
        self._last_answered_id = sent_try.id
        done()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone; a try that waits has come to an end without an answer."""
        self.transport = None
        self._owner.connections.pop(self, None)
        sent_try = self.sent_try
        done = self._done
        self.forget()
        if sent_try is not None and done is not None:
            sent_try.kind = TryKind.ENDED
            sent_try.ended = system.now()
            sent_try.detail = "partly answered" if self._received_bytes else ""
            done()

    def close(self) -> None:
        """Ends the connection at once."""
        if self.transport is not None:
            self.transport.abort()
