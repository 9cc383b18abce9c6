"""Connections to cache servers that may speak RESP3; imported only where the operator's file asks for it.

A connection begins with HELLO 3, and nothing else is sent before that is answered: a server that answers
with neither a greeting nor an error has never been asked for anything. One that answers with an error
speaks RESP2, and is not greeted again until its process has started anew.

Pushes come at any time and are never an answer. Between requests nothing but pushes may come.
"""

import asyncio

from rainhitch.interface import NOTE_HIT, NOTE_NONE, AttemptStatus
from rainhitch.node.cache_connection import NOTES, CacheConnection, result_of_error
from rainhitch.node.exchange import AttemptResult
from rainhitch.node.upstream_connection import OwningPool
from rainhitch.node.upstream_socket import BUSY, REUSABLE, UNUSABLE, IdleState
from rainhitch.protocol import resp
from rainhitch.protocol.resp3_reader import Resp3Reader
from rainhitch.protocol.resp3_types import ErrorReply, Map, Push, text_of
from rainhitch.protocol.resp3_writer import encode

HELLO = resp.command(b"HELLO", b"3")


def result_of_answer(answer: object) -> AttemptResult | None:
    """What a server's answer says: the value, how the read went, and the load report.

    The last two come as strings or in a map. None for an answer that no command of ours can have, or whose
    value has no form that a client of RESP2 takes for served.
    """
    if isinstance(answer, ErrorReply):
        return result_of_error(answer.text)
    if not isinstance(answer, list) or len(answer) not in (2, 3):
        return None
    value = answer[0]
    note = answer[1]
    if len(answer) == 2 and not isinstance(note, Map):
        return None
    if isinstance(note, Map):
        note = note.get(b"note")
    number = NOTE_NONE if note is None else NOTES.get(text_of(note) or b"")
    if number is None or (value is None and number == NOTE_HIT):
        return None
    if value is None:
        return AttemptResult(AttemptStatus.MISS, answer_note=number)
    if isinstance(value, bytes) or _is_served(encode(value, 2)):
        return AttemptResult(AttemptStatus.OK, value, number)
    return None


def _is_served(text: bytes) -> bool:
    """Whether a client of RESP2 takes this for a value: a string, or an array that begins with one."""
    if text[:1] == b"*":
        text = text.partition(b"\r\n")[2]
    return text[:1] == b"$" and text[1:2] != b"-"


class Resp3CacheConnection(CacheConnection):
    """A connection to a cache server, in whichever protocol it speaks."""

    def __init__(self, pool: OwningPool) -> None:
        super().__init__(pool)
        self.version = 2
        # Reads the answer to HELLO, in either version; it becomes `reader` where the server speaks RESP3.
        self.resp3_reader = Resp3Reader(relays_long_values=True)
        self.greeting_timer: asyncio.TimerHandle | None = None  # while HELLO is not answered

    def connected(self) -> None:
        """The connection is up: it begins with HELLO 3, unless the server is known to speak RESP2."""
        if self.pool.known_protocol == 2:
            super().connected()
            return
        assert self.transport is not None
        loop = asyncio.get_running_loop()
        self.greeting_timer = loop.call_later(
            self.host.connect_timeout_s, self._fail_greeting, AttemptStatus.CONNECT_FAILED
        )
        self.transport.write(HELLO)

    def pause_writing(self) -> None:
        """Some of what was written is not with the system yet; HELLO is no part of an attempt."""
        if self.greeting_timer is None:
            super().pause_writing()

    def resume_writing(self) -> None:
        """All of what was written is with the system."""
        if self.greeting_timer is None:
            super().resume_writing()

    def data_received(self, data: bytes) -> None:
        """Something has come: the answer to HELLO, a push, or an answer."""
        if self.greeting_timer is not None:
            self._greeted(data)
        elif self.version == 3 and self.exchange is None:
            self.resp3_reader.feed(data)
            if not self._only_pushes():
                self.close()
        else:
            super().data_received(data)

    def _greeted(self, data: bytes) -> None:
        self.resp3_reader.feed(data)
        try:
            while isinstance(answer := self.resp3_reader.next(), Push):
                pass
        except resp.FramingError:
            self._fail_greeting(AttemptStatus.CONNECT_FAILED)
            return
        if answer is resp.NEED_DATA:
            return
        error = result_of_error(answer.text) if isinstance(answer, ErrorReply) else None
        if isinstance(answer, Map) and answer.get(b"proto") == 3:
            self.version = 3
            self.reader = self.resp3_reader
        elif error is not None and error.status is AttemptStatus.FULL:
            self._fail_greeting(AttemptStatus.FULL)
            return
        elif isinstance(answer, ErrorReply) and self.resp3_reader.idle():
            self.pool.known_protocol = 2
        else:
            self._fail_greeting(AttemptStatus.CONNECT_FAILED)
            return
        if self.greeting_timer is not None:
            self.greeting_timer.cancel()
        self.greeting_timer = None
        if self.version == 3 and not self._only_pushes():
            self._fail_greeting(AttemptStatus.CONNECT_FAILED)
        else:
            super().connected()

    def _fail_greeting(self, status: AttemptStatus) -> None:
        """The connection never came to a request: its attempt ends with this status."""
        exchange = self.exchange
        self.exchange = None
        self.close()
        if exchange is not None:
            exchange.on_finished(AttemptResult(status))

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone."""
        if self.greeting_timer is not None:
            self.greeting_timer.cancel()
        super().connection_lost(exc)

    def close(self) -> None:
        """Closes at once, in both directions."""
        if self.greeting_timer is not None:
            self.greeting_timer.cancel()
        super().close()

    def next_answer(self) -> object:
        """The active attempt's answer, once it is whole; pushes before it are taken in."""
        while isinstance(answer := super().next_answer(), Push):
            self._pushed(answer)
        return answer

    def result_of(self, answer: object) -> AttemptResult | None:
        """What an answer says; None for one that no command of ours can have."""
        return result_of_answer(answer) if self.version == 3 else super().result_of(answer)

    def is_sound(self) -> bool:
        """Whether nothing but pushes stands behind the answer."""
        return self._only_pushes() if self.version == 3 else super().is_sound()

    def _only_pushes(self) -> bool:
        """Whether what has come between answers is pushes, and perhaps the beginning of another.

        Guards against a second copy of an answer, or noise, that would pass for the next answer.
        """
        if not self.resp3_reader.buffer:
            return self.resp3_reader.idle()
        try:
            while isinstance(more := self.resp3_reader.next(), Push):
                self._pushed(more)
        except resp.FramingError:
            return False
        return more is resp.NEED_DATA and (self.resp3_reader.idle() or self.resp3_reader.in_push())

    def _pushed(self, push: Push) -> None:
        keys = push.items[1] if len(push.items) == 2 else 0
        if text_of(push.items[0]) != b"invalidate" or not (keys is None or isinstance(keys, list)):
            self.host.unknown_pushes += 1
            return
        names = None if keys is None else [text for one in keys if (text := text_of(one)) is not None]
        self.host.key_invalidations.add(self.pool.name, names)

    def idle_state(self) -> IdleState:
        """Whether this connection, which is idle, can carry an attempt."""
        if self.version == 2:
            return super().idle_state()
        if self.transport is None or self.transport.is_closing():
            return UNUSABLE
        # What waits to be read may be a push: the loop reads it soon, and closes on all else.
        waits = self.host.system.readable(self.transport) or not self.resp3_reader.idle()
        return BUSY if waits else REUSABLE
