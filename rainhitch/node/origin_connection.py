"""Connections to the origin over HTTP/1.1."""

from urllib.parse import quote_from_bytes

from rainhitch.interface import AttemptStatus
from rainhitch.node.client_request import ClientRequest
from rainhitch.node.exchange import AttemptResult
from rainhitch.node.upstream_connection import OwningPool, UpstreamConnection
from rainhitch.protocol.http1 import HttpClientCodec, HttpError, HttpResponse
from rainhitch.protocol.resp import MAX_RELAYED_VALUE_BYTES, MAX_VALUE_BYTES


def result_of_response(response: HttpResponse) -> AttemptResult | None:
    """Returns the result that a response of the origin means; None for an unexpected status.

    A 503 or 504 proves that the request never ran only if the origin itself marks it as rejected.
    """
    if response.status == 200:
        return AttemptResult(AttemptStatus.OK, bytes(response.body))
    if response.status in (503, 504) and response.headers.get(b"x-rejected") == b"1":
        return AttemptResult(AttemptStatus.FULL)
    return AttemptResult(AttemptStatus.ERROR) if response.status == 500 else None


class OriginConnection(UpstreamConnection):
    """A connection to the origin."""

    def __init__(self, pool: OwningPool) -> None:
        super().__init__(pool)
        self.http = HttpClientCodec(
            f"{pool.address[0]}:{pool.address[1]}", MAX_VALUE_BYTES, MAX_RELAYED_VALUE_BYTES
        )

    def encode(self, client_request: ClientRequest, info: bytes) -> bytes:
        """Returns a GET for a read or a PUT for a write, with the id and the info list as headers."""
        headers = [(b"X-Call-Id", client_request.id), (b"X-Call-Info", info)]
        target = f"/{quote_from_bytes(client_request.key, safe='')}".encode()
        method = b"GET" if client_request.value is None else b"PUT"
        return self.http.request(method, target, headers, client_request.value)

    def read(self, data: bytes) -> None:
        """Handles data received for the active attempt."""
        try:
            response = self.http.receive(data)
        except HttpError:
            self.fail_protocol()
            return
        if self.http.response.long_body_bytes:
            self._feed(self.http.response.long_body_bytes)
            if self.receiver is None:
                return  # value not needed, or its client has disconnected: the connection is closed
        if response is not None:
            result = result_of_response(response)
            if result is None:
                self.fail_protocol()
            else:
                self.finish(result, self.http.reset_for_next_request())

    def _feed(self, size_bytes: int) -> None:
        if self.receiver is None:
            self.begin_long_value(size_bytes)
        piece = self.http.read_body()
        if piece and self.receiver is not None:
            self.receiver.feed(piece)

    def eof_received(self) -> None:
        """Handles the end of the origin's stream."""
        if self.exchange is not None:
            self.fail_protocol()  # responses state their length, so this one is incomplete
