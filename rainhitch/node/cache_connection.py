"""Connections to cache servers over RESP2, with one command at a time, since responses come in order."""

import re

from rainhitch.interface import NOTE_HIT, NOTE_MISS, NOTE_MISS_PENDING, NOTE_NONE, AttemptStatus
from rainhitch.node.client_request import ClientRequest
from rainhitch.node.exchange import AttemptResult, LongValueReceiver
from rainhitch.node.upstream_connection import OwningPool, UpstreamConnection
from rainhitch.protocol import resp
from rainhitch.protocol.resp2_reader import Resp2Reader

NOTES = {b"hit": NOTE_HIT, b"miss": NOTE_MISS, b"pending": NOTE_MISS_PENDING}

# The error lines of a cache server, each optionally followed by a load report. An unreadable report is
# ignored, as long as it is printable ASCII without spaces.
BUSY_LINE = re.compile(rb"BUSY(?: [!-~]+)?")
FAILED_LINE = re.compile(rb"ERR failed(?: [!-~]+)?")


def result_of_error(text: bytes) -> AttemptResult | None:
    """Returns the result that an error line means; None if it is not an error line of a cache server."""
    if BUSY_LINE.fullmatch(text):
        return AttemptResult(AttemptStatus.FULL)
    return AttemptResult(AttemptStatus.ERROR) if FAILED_LINE.fullmatch(text) else None


def result_of_response(response: object) -> AttemptResult | None:
    """Returns the result that a cache server's response means; None if it fits none of the router's commands.

    Only the exact error texts prove that a request never ran; corrupted data must not pass for them.
    """
    if isinstance(response, bytes):
        return result_of_error(response)
    if not isinstance(response, list):
        return None
    value, note, _ = response
    note_code = NOTE_NONE if note is None else NOTES.get(note)
    if note_code is None or (value is None and note_code == NOTE_HIT):
        return None
    if value is None:
        return AttemptResult(AttemptStatus.MISS, answer_note=note_code)
    return AttemptResult(AttemptStatus.OK, value, note_code)


class CacheConnection(UpstreamConnection):
    """A connection to a cache server."""

    def __init__(self, pool: OwningPool) -> None:
        super().__init__(pool)
        self.reader: resp.ReplyReader = Resp2Reader(reads_replies=True)

    def encode(self, client_request: ClientRequest, info: bytes) -> bytes:
        """Returns the client's command with the info list replaced."""
        parts = [client_request.command, client_request.key, client_request.id, info]
        if client_request.value is not None:
            parts.append(client_request.value)
        return resp.command(*parts)

    def read(self, data: bytes) -> None:
        """Handles data received for the active attempt."""
        self.reader.feed(data)
        try:
            response = self.next_response()
        except resp.FramingError:
            self.fail_protocol()
            return
        if response is not resp.NEED_DATA:
            self._end(response)

    def next_response(self) -> object:
        """Returns the active attempt's response once it is complete, or NEED_DATA; passes on a long value."""
        response = self.reader.next() if self.receiver is None else self._feed(self.receiver)
        if isinstance(response, resp.LongValue):
            self.begin_long_value(response.size_bytes)
            response = resp.NEED_DATA if self.receiver is None else self._feed(self.receiver)
        return response

    def _feed(self, receiver: LongValueReceiver) -> object:
        """Passes on what has arrived of a long value; returns the response once all of it is here."""
        piece = self.reader.read_long_value()
        if piece:
            receiver.feed(piece)
        # If the client disconnected during `feed`, this connection is closed and has no receiver.
        is_incomplete = bool(self.reader.long_value_bytes_left) or self.receiver is None
        return resp.NEED_DATA if is_incomplete else self.reader.next()

    def _end(self, response: object) -> None:
        if self.receiver is not None and isinstance(response, list):
            response[0] = b""  # the receiver has the value
        result = self.result_of(response)
        if result is None:
            self.fail_protocol()
        else:
            self.finish(result, reusable=self.is_reusable())

    def result_of(self, response: object) -> AttemptResult | None:
        """Returns the result that a response means; None if it fits none of the router's commands."""
        return result_of_response(response)

    def is_reusable(self) -> bool:
        """Returns whether the connection can be reused: no data may follow the response."""
        return not self.reader.buffer
