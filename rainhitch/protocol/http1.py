"""One HTTP/1.1 exchange after another on a connection: the client's side, without the sockets.

The rehearsal kit's fakes share nothing of this module.
"""

from dataclasses import dataclass, field

import httptools

from rainhitch.protocol.errors import HttpError as HttpError

MAX_HEAD_BYTES = 16 << 10
"""Header lines of an answer, those of all 1xx answers before it among them."""

MAX_LENGTH_DIGITS = 10
"""Digits of a Content-Length that is looked at; a longer one is oversized in any case."""


@dataclass(slots=True)
class HttpResponse:
    """An answer, whole or as far as it has come; header names are in lower case."""

    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    long_body_bytes: int = 0
    """Length of a body that is read piece by piece, 0 for others; `body` holds what was not taken yet."""


class HttpClientCodec:
    """The client's side of one connection. The methods that begin with on_ are called by httptools."""

    __slots__ = (
        "_complete",
        "_has_extra_bytes",
        "_host",
        "_keep_alive",
        "_max_body_bytes",
        "_max_long_body_bytes",
        "_parser",
        "_received_bytes",
        "response",
    )

    def __init__(self, host: str, max_body_bytes: int, max_long_body_bytes: int = 0) -> None:
        """Bodies up to `max_body_bytes` are read whole.

        One with status 200 and a Content-Length up to `max_long_body_bytes` is read piece by piece.
        """
        self._host = host.encode()
        self._max_body_bytes = max_body_bytes
        self._max_long_body_bytes = max_long_body_bytes
        self._has_extra_bytes = False  # more came than belongs to an answer
        self._begin()

    def _begin(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self.response = HttpResponse()
        self._complete = False
        self._keep_alive = False
        self._received_bytes = 0

    def request(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]] | None = None,
        body: bytes | None = None,
    ) -> bytes:
        """Encodes a request."""
        lines = [b"%b %b HTTP/1.1\r\nHost: %b\r\n" % (method, target, self._host)]
        if headers is not None:
            lines += [b"%b: %b\r\n" % header for header in headers]
        if body is None:
            return b"".join([*lines, b"\r\n"])
        lines.append(b"Content-Length: %d\r\n" % len(body))
        return b"".join([*lines, b"\r\n", body])

    def receive(self, data: bytes) -> HttpResponse | None:
        """Takes in what came; returns the answer once it is whole.

        Raises:
            HttpError: It is no answer, one of no announced length, or larger than wanted.
        """
        # Guards memory and time against an answer that has no end: of headers, of chunks or of 1xx answers.
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            if not self._complete:
                raise HttpError(f"{type(problem).__name__}: {problem.__context__ or problem}") from None
            self._has_extra_bytes = True  # the answer stands; what follows it is noise
        max_bytes = max(self._max_body_bytes, self.response.long_body_bytes) + 2 * MAX_HEAD_BYTES
        is_oversized = self._received_bytes > max_bytes
        if self._complete:
            self._has_extra_bytes = self._has_extra_bytes or is_oversized
            return self.response
        if is_oversized:
            raise HttpError("answer too large")
        return None

    def read_body(self) -> bytes:
        """Returns what has come of a long body and was not returned yet."""
        piece = bytes(self.response.body)
        self.response.body = bytearray()
        return piece

    def reset_for_next_request(self) -> bool:
        """Makes ready for another request; returns whether the connection can carry one."""
        is_reusable = self._complete and self._keep_alive and not self._has_extra_bytes
        self._begin()
        return is_reusable

    def on_message_begin(self) -> None:
        """An answer begins; one behind the whole answer is noise."""
        self._has_extra_bytes = self._has_extra_bytes or self._complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header line has come."""
        if not self._complete:
            self.response.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """All header lines have come.

        Guards against an answer cut short, which would pass for whole if only a close ended it, and against a
        length that is huge: it is known before any of it has come.

        Raises:
            HttpError: The answer has no announced length, or one that is larger than wanted.
        """
        if self._complete:
            return
        self.response.status = self._parser.get_status_code()
        if self.response.status < 200:
            return
        self._keep_alive = bool(self._parser.should_keep_alive())
        headers = self.response.headers
        announced = headers.get(b"content-length")
        if announced is None:
            if b"chunked" not in headers.get(b"transfer-encoding", b""):
                raise HttpError("answer of no told length")
            return
        is_number = announced.isdigit() and len(announced) <= MAX_LENGTH_DIGITS
        if is_number and int(announced) <= self._max_body_bytes:
            return
        is_relayable = is_number and int(announced) <= self._max_long_body_bytes
        if self.response.status != 200 or not is_relayable:
            raise HttpError("answer too large")
        self.response.long_body_bytes = int(announced)

    def on_body(self, body: bytes) -> None:
        """A piece of the body has come.

        Raises:
            HttpError: The body is larger than wanted.
        """
        if self._complete:
            return
        self.response.body += body
        if len(self.response.body) > self._max_body_bytes and not self.response.long_body_bytes:
            raise HttpError("answer too large")

    def on_message_complete(self) -> None:
        """An answer is whole; a 1xx answer is dropped."""
        if self.response.status < 200:
            self.response = HttpResponse()
        else:
            self._complete = True
