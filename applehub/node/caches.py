"""Connections to cache servers: RESP2, one command out at a time, since answers come in order."""

import time

import hiredis

from applehub.interface import Status
from applehub.node import resp
from applehub.node.call import Ending, Exchange
from applehub.node.pool import Connection, Pool

NOTES = {b"hit": 1, b"miss": 2, b"pending": 3}


def ending_of(answer: object) -> Ending | None:
    """What a cache server's answer says; none for one that no command of ours can have."""
    if isinstance(answer, hiredis.ReplyError):
        return Ending(Status.FULL if str(answer).split(" ")[0] == "BUSY" else Status.ERROR)
    if not isinstance(answer, list) or not answer:
        return None
    value, note = answer[0], answer[1] if len(answer) > 1 else None
    number = NOTES.get(note, 0) if isinstance(note, bytes) else 0
    if value is None:
        return Ending(Status.MISS, note=number)
    return Ending(Status.OK, value, number) if isinstance(value, bytes) else None


class CacheConnection(Connection):
    """A connection to a cache server."""

    def __init__(self, pool: Pool) -> None:
        super().__init__(pool)
        self.frames = resp.Frames()

    def encode(self, exchange: Exchange) -> bytes:
        call = exchange.call
        # Guards against a dial's time told as time to work in: what is left counts from here.
        left = max(1, (exchange.until - time.monotonic_ns()) // 1_000_000)
        parts = [call.name, call.key, call.id, call.info_for(left)]
        return resp.command(*parts, *([] if call.value is None else [call.value]))

    def read(self, data: bytes) -> None:
        self.frames.feed(data)
        try:
            answer = self.frames.next()
        except resp.FramingError:
            self.spoil()
            return
        if answer is resp.WAITING:
            return
        ending = ending_of(answer)
        if ending is None:
            self.spoil()
        else:
            self.finish(ending, reusable=not self.frames.buffer)
