"""Connections to cache servers that may speak RESP3; imported only where the operator's file asks for it.

A connection begins with HELLO 3, and nothing else is sent before that is answered: a server that answers
with neither a greeting nor an error has never been asked for anything. One that answers with an error
speaks RESP2, and is not greeted again until its process has started anew.

Pushes come at any time and are never an answer. Between requests nothing but pushes may come.
"""

import asyncio

from rainhitch.interface import AttemptStatus
from rainhitch.node.cache_connection import NOTES, CacheConnection, error_ending
from rainhitch.node.client_request import AttemptResult
from rainhitch.node.connection_pool import ConnectionPool
from rainhitch.protocol import resp
from rainhitch.protocol.resp3 import Error, Map, Push, Reader, encode, text_of

HELLO = resp.command(b"HELLO", b"3")


def ending_of(answer: object) -> AttemptResult | None:
    """What a server's answer says: the value, how the read went, and the load report, the last two as
    strings or in a map. None for one that no command of ours can have, or whose value has no form that a
    client of RESP2 takes for served."""
    if isinstance(answer, Error):
        return error_ending(answer.text)
    if not isinstance(answer, list) or len(answer) not in (2, 3):
        return None
    value, note = answer[0], answer[1]
    if len(answer) == 2 and not isinstance(note, Map):
        return None
    if isinstance(note, Map):
        note = note.get(b"note")
    number = 0 if note is None else NOTES.get(text_of(note) or b"")
    if number is None or (value is None and number == NOTES[b"hit"]):
        return None
    if value is None:
        return AttemptResult(AttemptStatus.MISS, note=number)
    if isinstance(value, bytes) or _is_served(encode(value, 2)):
        return AttemptResult(AttemptStatus.OK, value, number)
    return None


def _is_served(text: bytes) -> bool:
    """Whether a client of RESP2 takes this for a value: a string, or an array that begins with one."""
    if text[:1] == b"*":
        text = text.partition(b"\r\n")[2]
    return text[:1] == b"$" and text[1:2] != b"-"


class Resp3Connection(CacheConnection):
    """A connection to a cache server, in whichever protocol it speaks."""

    def __init__(self, pool: ConnectionPool) -> None:
        super().__init__(pool)
        self.version = 2
        self.reader = Reader(long=True)
        self.greeting: asyncio.TimerHandle | None = None

    def connected(self) -> None:
        if self.pool.speaks == 2:
            super().connected()
            return
        assert self.transport is not None
        loop = asyncio.get_running_loop()
        self.greeting = loop.call_later(
            self.pool.pools.dial_timeout, self._turned_down, AttemptStatus.CONNECT_FAILED
        )
        self.transport.write(HELLO)

    def pause_writing(self) -> None:
        if self.greeting is None:
            super().pause_writing()

    def resume_writing(self) -> None:
        if self.greeting is None:
            super().resume_writing()

    def data_received(self, data: bytes) -> None:
        if self.greeting is not None:
            self._greeted(data)
        elif self.version == 3 and self.exchange is None:
            self.reader.feed(data)
            if not self._only_pushes():
                self.close()
        else:
            super().data_received(data)

    def _greeted(self, data: bytes) -> None:
        self.reader.feed(data)
        try:
            while isinstance(answer := self.reader.next(), Push):
                pass
        except resp.FramingError:
            self._turned_down(AttemptStatus.CONNECT_FAILED)
            return
        if answer is resp.WAITING:
            return
        full = isinstance(answer, Error) and error_ending(answer.text)
        if isinstance(answer, Map) and answer.get(b"proto") == 3:
            self.version, self.frames = 3, self.reader
        elif full and full.status is AttemptStatus.FULL:
            self._turned_down(AttemptStatus.FULL)
            return
        elif isinstance(answer, Error) and self.reader.idle():
            self.pool.speaks = 2
        else:
            self._turned_down(AttemptStatus.CONNECT_FAILED)
            return
        if self.greeting is not None:
            self.greeting.cancel()
        self.greeting = None
        if self.version == 3 and not self._only_pushes():
            self._turned_down(AttemptStatus.CONNECT_FAILED)
        else:
            super().connected()

    def _turned_down(self, status: AttemptStatus) -> None:
        """The connection never came to a request."""
        exchange, self.exchange = self.exchange, None
        self.close()
        if exchange is not None:
            exchange.done(AttemptResult(status))

    def connection_lost(self, exc: Exception | None) -> None:
        if self.greeting is not None:
            self.greeting.cancel()
        super().connection_lost(exc)

    def close(self) -> None:
        if self.greeting is not None:
            self.greeting.cancel()
        super().close()

    def next_answer(self) -> object:
        while isinstance(answer := super().next_answer(), Push):
            self._pushed(answer)
        return answer

    def ending_of(self, answer: object) -> AttemptResult | None:
        return ending_of(answer) if self.version == 3 else super().ending_of(answer)

    def is_sound(self) -> bool:
        return self._only_pushes() if self.version == 3 else super().is_sound()

    def _only_pushes(self) -> bool:
        """Whether what has come beside answers is pushes, and perhaps the beginning of another. Guards
        against a second copy of an answer, or noise, that would pass for the next answer."""
        if not self.reader.buffer:
            return self.reader.idle()
        try:
            while isinstance(more := self.reader.next(), Push):
                self._pushed(more)
        except resp.FramingError:
            return False
        return more is resp.WAITING and (self.reader.idle() or self.reader.in_push())

    def _pushed(self, push: Push) -> None:
        keys = push.items[1] if len(push.items) == 2 else 0
        if text_of(push.items[0]) != b"invalidate" or not (keys is None or isinstance(keys, list)):
            self.pool.pools.unknown_pushes += 1
            return
        names = None if keys is None else [text for one in keys if (text := text_of(one)) is not None]
        self.pool.pools.keys_invalidated(self.pool, names)

    def is_reusable(self) -> bool | None:
        if self.version == 2:
            return super().is_reusable()
        if self.transport is None or self.transport.is_closing():
            return False
        # What waits to be read may be a push: the loop reads it soon, and closes on all else.
        waits = self.pool.pools.system.readable(self.transport) or not self.reader.idle()
        return None if waits else True
