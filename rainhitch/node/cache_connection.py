"""Connections to cache servers: RESP2, one command active at a time, since answers come in order."""

import re

from rainhitch.interface import NOTE_HIT, NOTE_MISS, NOTE_MISS_PENDING, NOTE_NONE, AttemptStatus
from rainhitch.node.client_request import ClientRequest
from rainhitch.node.exchange import AttemptResult
from rainhitch.node.relay import Relay
from rainhitch.node.upstream_connection import OwningPool, UpstreamConnection
from rainhitch.protocol import resp
from rainhitch.protocol.resp2_reader import Resp2Reader

NOTES = {b"hit": NOTE_HIT, b"miss": NOTE_MISS, b"pending": NOTE_MISS_PENDING}

# The error lines of a cache server, each with a load report or nothing behind it. A report that can't be read
# spoils nothing but itself, as long as it is text in one piece.
BUSY_LINE = re.compile(rb"BUSY(?: [!-~]+)?")
FAILED_LINE = re.compile(rb"ERR failed(?: [!-~]+)?")


def result_of_error(text: bytes) -> AttemptResult | None:
    """What an error line says; None for one that is none of a cache server's."""
    if BUSY_LINE.fullmatch(text):
        return AttemptResult(AttemptStatus.FULL)
    return AttemptResult(AttemptStatus.ERROR) if FAILED_LINE.fullmatch(text) else None


def result_of_answer(answer: object) -> AttemptResult | None:
    """What a cache server's answer says; None for one that no command of ours can have.

    Guards against noise: only the exact words prove that a request never ran.
    """
    if isinstance(answer, bytes):
        return result_of_error(answer)
    if not isinstance(answer, list):
        return None
    value, note, _ = answer
    number = NOTE_NONE if note is None else NOTES.get(note)
    if number is None or (value is None and number == NOTE_HIT):
        return None
    if value is None:
        return AttemptResult(AttemptStatus.MISS, answer_note=number)
    return AttemptResult(AttemptStatus.OK, value, number)


class CacheConnection(UpstreamConnection):
    """A connection to a cache server."""

    def __init__(self, pool: OwningPool) -> None:
        super().__init__(pool)
        self.reader: resp.ReplyReader = Resp2Reader(reads_replies=True)

    def encode(self, client_request: ClientRequest, info: bytes) -> bytes:
        """The command as the client sent it, with another info list."""
        parts = [client_request.command, client_request.key, client_request.id, info]
        if client_request.value is not None:
            parts.append(client_request.value)
        return resp.command(*parts)

    def read(self, data: bytes) -> None:
        """Takes in what came while an attempt is active."""
        self.reader.feed(data)
        try:
            answer = self.next_answer()
        except resp.FramingError:
            self.fail_protocol()
            return
        if answer is not resp.NEED_DATA:
            self._end(answer)

    def next_answer(self) -> object:
        """The active attempt's answer, once it is whole; what there is of a long value goes on."""
        answer = self.reader.next() if self.relay is None else self._pass_on(self.relay)
        if isinstance(answer, resp.LongValue):
            self.start_relay(answer.size_bytes)
            answer = resp.NEED_DATA if self.relay is None else self._pass_on(self.relay)
        return answer

    def _pass_on(self, relay: Relay) -> object:
        """Passes on what has come of a long value; gives what stands behind it, once that is here."""
        piece = self.reader.read_long_value()
        if piece:
            relay.feed(piece)
        # Guards against a client that has left meanwhile: then this connection is closed.
        return (
            resp.NEED_DATA if self.reader.long_value_bytes_left or self.relay is None else self.reader.next()
        )

    def _end(self, answer: object) -> None:
        if self.relay is not None and isinstance(answer, list):
            answer[0] = b""  # its value has been passed on
        result = self.result_of(answer)
        if result is None:
            self.fail_protocol()
        else:
            self.finish(result, reusable=self.is_sound())

    def result_of(self, answer: object) -> AttemptResult | None:
        """What an answer says; None for one that no command of ours can have."""
        return result_of_answer(answer)

    def is_sound(self) -> bool:
        """Whether nothing stands behind the answer that can't."""
        return not self.reader.buffer
