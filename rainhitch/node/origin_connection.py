"""Connections to the origin: HTTP/1.1."""

from urllib.parse import quote_from_bytes

from rainhitch.interface import AttemptStatus
from rainhitch.node.client_request import AttemptResult, ClientRequest
from rainhitch.node.connection_pool import ConnectionPool, UpstreamConnection
from rainhitch.protocol.http1 import Answer, Http, HttpError
from rainhitch.protocol.resp import MOST_LONG, MOST_VALUE


def ending_of(answer: Answer) -> AttemptResult | None:
    """What the origin's answer says; none for one that it does not give. A 503 or 504 proves nothing unless
    the origin itself says so."""
    if answer.status == 200:
        return AttemptResult(AttemptStatus.OK, bytes(answer.body))
    if answer.status in (503, 504) and answer.headers.get(b"x-rejected") == b"1":
        return AttemptResult(AttemptStatus.FULL)
    return AttemptResult(AttemptStatus.ERROR) if answer.status == 500 else None


class OriginConnection(UpstreamConnection):
    """A connection to the origin."""

    def __init__(self, pool: ConnectionPool) -> None:
        super().__init__(pool)
        self.http = Http(f"{pool.address[0]}:{pool.address[1]}", MOST_VALUE, MOST_LONG)

    def encode(self, call: ClientRequest, info: bytes) -> bytes:
        headers = [(b"X-Call-Id", call.id), (b"X-Call-Info", info)]
        target = f"/{quote_from_bytes(call.key, safe='')}".encode()
        return self.http.request(b"GET" if call.value is None else b"PUT", target, headers, call.value)

    def read(self, data: bytes) -> None:
        try:
            answer = self.http.receive(data)
        except HttpError:
            self.fail_protocol()
            return
        if self.http.answer.long:
            self._pass_on(self.http.answer.long)
            if self.relay is None:
                return  # nobody wants it, or its client has gone over it: this connection is closed
        if answer is not None:
            ending = ending_of(answer)
            if ending is None:
                self.fail_protocol()
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
            self.fail_protocol()  # an answer tells its length, so that it is not whole
