"""One HTTP/1.1 exchange after another on a connection, without the sockets."""

from dataclasses import dataclass, field

import h11


class HttpError(ValueError):
    """What came is no answer of HTTP/1.1, or larger than wanted."""


@dataclass(slots=True)
class Answer:
    """A whole answer; header names are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytearray = field(default_factory=bytearray)


class Http:
    """The client's side of one connection."""

    __slots__ = ("answer", "connection", "host", "most")

    def __init__(self, host: str, most: int) -> None:
        self.connection = h11.Connection(h11.CLIENT)
        self.host, self.most = host.encode(), most
        self.answer: Answer | None = None

    def request(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]] | None = None,
        body: bytes | None = None,
    ) -> bytes:
        """The bytes of a request."""
        all_headers = [(b"Host", self.host), *(headers or [])]
        if body is not None:
            all_headers.append((b"Content-Length", b"%d" % len(body)))
        send = self.connection.send
        parts = [send(h11.Request(method=method, target=target, headers=all_headers))]
        if body:
            parts.append(send(h11.Data(data=body)))
        parts.append(send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    def receive(self, data: bytes) -> Answer | None:
        """Takes in what came, nothing at the end of the stream; gives the answer once it is whole."""
        try:
            self.connection.receive_data(data)
            while True:
                event = self.connection.next_event()
                if isinstance(event, h11.Response):
                    self.answer = Answer(event.status_code, dict(event.headers))
                    self._check_length(self.answer.headers)
                elif isinstance(event, h11.Data) and self.answer is not None:
                    self.answer.body += event.data
                    if len(self.answer.body) > self.most:
                        raise HttpError("answer too large")
                elif isinstance(event, h11.EndOfMessage):
                    return self.answer
                elif not isinstance(event, h11.InformationalResponse):
                    return None  # more is needed, or the stream has ended
        except h11.RemoteProtocolError as problem:
            raise HttpError(str(problem)) from None

    def _check_length(self, headers: dict[bytes, bytes]) -> None:
        """Guards against an answer cut short, which would pass for whole if only a close ended it, and
        against a length that is huge: it is known before any of it has come."""
        length = headers.get(b"content-length")
        if length is None and b"transfer-encoding" not in headers:
            raise HttpError("answer of no told length")
        if length is not None and int(length) > self.most:
            raise HttpError("answer too large")

    def next_cycle(self) -> bool:
        """Makes ready for another request; whether the connection can carry one."""
        self.answer = None
        if self.connection.trailing_data[0]:
            return False
        try:
            self.connection.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True
