"""The server's side of HTTP/1.1 on a link: whole requests in, answers out. For the database and discovery."""

from dataclasses import dataclass, field

import httptools

from rainhitch.rehearsal.fakes.link import Link, LinkConnection


@dataclass(slots=True)
class HttpRequest:
    """One whole request; header names in lower case; `first` and `last` are when its bytes were sent."""

    method: str = ""
    target: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    first: int = 0
    last: int = 0


class HttpServerConnection(LinkConnection):
    """A connection that speaks HTTP/1.1. Subclasses answer `asked`; methods that begin with on_ are the
    parser's.
    """

    def __init__(self, link: Link) -> None:
        super().__init__(link)
        self.parser = httptools.HttpRequestParser(self)
        self.request = HttpRequest()
        self.at = 0

    def asked(self, request: HttpRequest) -> None:
        """A whole request has come."""
        raise NotImplementedError

    def answer(self, status: int, body: bytes = b"", *headers: str) -> None:
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
        self.send("\r\n".join(lines).encode() + body)

    def arrived(self, data: bytes, at: int) -> None:
        self.at = at
        if not self.request.first:
            self.request.first = at
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()

    def on_url(self, url: bytes) -> None:
        self.request.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        self.request.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.request.body += body

    def on_message_complete(self) -> None:
        self.request.method = self.parser.get_method().decode()
        self.request.last = self.at
        done, self.request = self.request, HttpRequest()
        self.asked(done)
