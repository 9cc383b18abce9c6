"""The server's side of HTTP/1.1 on a link: whole requests in, responses out. For the database and discovery.

It reads with httptools directly, and not with `rainhitch.protocol.http1`, so that a mistake of the router in
what it writes is not read with the same mistake. httptools itself is common to both.
"""

from dataclasses import dataclass, field

import httptools

from rainhitch.rehearsal.fakes.link import Link, LinkConnection

REASON = "X"  # the phrase after the status; routers must not read it


@dataclass(slots=True)
class HttpRequest:
    """One whole request; header names in lower case; times are when its bytes were sent (monotonic ns)."""

    method: str = ""
    target: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    first_byte_ns: int = 0
    last_byte_ns: int = 0


class HttpServerConnection(LinkConnection):
    """A connection that speaks HTTP/1.1. Subclasses answer in `request_received`.

    Methods whose names begin with on_ are called by the parser.
    """

    def __init__(self, link: Link) -> None:
        super().__init__(link)
        self._parser = httptools.HttpRequestParser(self)
        self._request = HttpRequest()
        self._sent_at_ns = 0  # when the data that is read now was sent

    def request_received(self, request: HttpRequest) -> None:
        """A whole request has come."""
        raise NotImplementedError

    def respond(self, status: int, body: bytes = b"", *headers: str) -> None:
        """Writes a response; `headers` are whole lines."""
        lines = [f"HTTP/1.1 {status} {REASON}", f"Content-Length: {len(body)}", *headers, "", ""]
        self.send("\r\n".join(lines).encode() + body)

    def received(self, data: bytes, sent_at_ns: int) -> None:
        """Reads data; what is no HTTP/1.1 request ends the connection."""
        self._sent_at_ns = sent_at_ns
        if not self._request.first_byte_ns:
            self._request.first_byte_ns = sent_at_ns
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()

    def on_url(self, url: bytes) -> None:
        """A part of the request's target."""
        self._request.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        self._request.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """A part of the body."""
        self._request.body += body

    def on_message_complete(self) -> None:
        """The request is whole."""
        request = self._request
        request.method = self._parser.get_method().decode()
        request.last_byte_ns = self._sent_at_ns
        self._request = HttpRequest()
        self.request_received(request)
