"""Connections to the origin: HTTP/1.1."""

from urllib.parse import quote_from_bytes

from rainhitch.interface import Status
from rainhitch.node.call import Call, Ending
from rainhitch.node.pool import Connection, Pool
from rainhitch.protocol.http1 import Answer, Http, HttpError
from rainhitch.protocol.resp import MOST_LONG, MOST_VALUE


def ending_of(answer: Answer) -> Ending | None:
    """What the origin's answer says; none for one that it does not give. A 503 or 504 proves nothing unless
    the origin itself says so."""
    if answer.status == 200:
        return Ending(Status.OK, bytes(answer.body))
    if answer.status in (503, 504) and answer.headers.get(b"x-rejected") == b"1":
        return Ending(Status.FULL)
    return Ending(Status.ERROR) if answer.status == 500 else None


class OriginConnection(Connection):
    """A connection to the origin."""

    def __init__(self, pool: Pool) -> None:
        super().__init__(pool)
        self.http = Http(f"{pool.endpoint[0]}:{pool.endpoint[1]}", MOST_VALUE, MOST_LONG)

    def encode(self, call: Call, info: bytes) -> bytes:
        headers = [(b"X-Call-Id", call.id), (b"X-Call-Info", info)]
        target = f"/{quote_from_bytes(call.key, safe='')}".encode()
        return self.http.request(b"GET" if call.value is None else b"PUT", target, headers, call.value)

    def read(self, data: bytes) -> None:
        try:
            answer = self.http.receive(data)
        except HttpError:
            self.spoil()
            return
        if self.http.answer.long:
            self._pass_on(self.http.answer.long)
            if self.relay is None:
                return  # nobody wants it, or its client has gone over it: this connection is closed
        if answer is not None:
            ending = ending_of(answer)
            if ending is None:
                self.spoil()
            else:
                self.finish(ending, self.http.next_cycle())

    def _pass_on(self, size: int) -> None:
        if self.relay is None:
            self.start_relay(size)
        piece = self.http.piece()
        if piece and self.relay is not None:
            self.relay.feed(piece)

    def eof_received(self) -> None:
        if self.exchange is not None:
            self.spoil()  # an answer tells its length, so that it is not whole
