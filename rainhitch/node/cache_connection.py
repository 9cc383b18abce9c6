"""Connections to cache servers: RESP2, one command out at a time, since answers come in order."""

import re

from rainhitch.interface import AttemptStatus
from rainhitch.node.client_request import AttemptResult, ClientRequest
from rainhitch.node.connection_pool import ConnectionPool, UpstreamConnection
from rainhitch.node.relay import Relay
from rainhitch.protocol import resp

NOTES = {b"hit": 1, b"miss": 2, b"pending": 3}


# The error lines that an answer can be, each with a load report or nothing behind it. One that can't be read
# spoils nothing but itself, as long as it is text in one piece.
TURNED_AWAY, FAILED = (re.compile(word + rb"(?: [!-~]+)?") for word in (rb"BUSY", rb"ERR failed"))


def error_ending(text: bytes) -> AttemptResult | None:
    """What an error says; none for one that is none of a cache server's."""
    if TURNED_AWAY.fullmatch(text):
        return AttemptResult(AttemptStatus.FULL)
    return AttemptResult(AttemptStatus.ERROR) if FAILED.fullmatch(text) else None


def ending_of(answer: object) -> AttemptResult | None:
    """What a cache server's answer says; none for one that no command of ours can have. Guards against
    noise: only the exact words prove that a request never ran."""
    if isinstance(answer, bytes):
        return error_ending(answer)
    if not isinstance(answer, list):
        return None
    value, note, _ = answer
    number = 0 if note is None else NOTES.get(note)
    if number is None or (value is None and number == NOTES[b"hit"]):
        return None
    return (
        AttemptResult(AttemptStatus.MISS, note=number)
        if value is None
        else AttemptResult(AttemptStatus.OK, value, number)
    )


class CacheConnection(UpstreamConnection):
    """A connection to a cache server."""

    def __init__(self, pool: ConnectionPool) -> None:
        super().__init__(pool)
        self.frames: resp.Stream = resp.Frames(answers=True)

    def encode(self, call: ClientRequest, info: bytes) -> bytes:
        parts = [call.name, call.key, call.id, info]
        return resp.command(*parts, *([] if call.value is None else [call.value]))

    def read(self, data: bytes) -> None:
        self.frames.feed(data)
        try:
            answer = self.next_answer()
        except resp.FramingError:
            self.fail_protocol()
            return
        if answer is not resp.WAITING:
            self._end(answer)

    def next_answer(self) -> object:
        """The answer that is out, once it is whole; what there is of a long value goes on."""
        answer = self.frames.next() if self.relay is None else self._pass_on(self.relay)
        if isinstance(answer, resp.Long):
            self.start_relay(answer.size)
            answer = resp.WAITING if self.relay is None else self._pass_on(self.relay)
        return answer

    def _pass_on(self, relay: Relay) -> object:
        """Passes on what has come of a long value; gives what stands behind it, once that is here."""
        piece = self.frames.body()
        if piece:
            relay.feed(piece)
        # Guards against a client that has gone over it: then this connection is closed.
        return resp.WAITING if self.frames.body_left or self.relay is None else self.frames.next()

    def _end(self, answer: object) -> None:
        if self.relay is not None and isinstance(answer, list):
            answer[0] = b""  # its value has been passed on
        ending = self.ending_of(answer)
        if ending is None:
            self.fail_protocol()
        else:
            self.finish(ending, reusable=self.is_sound())

    def ending_of(self, answer: object) -> AttemptResult | None:
        return ending_of(answer)

    def is_sound(self) -> bool:
        """Whether nothing stands behind the answer that can't."""
        return not self.frames.buffer
