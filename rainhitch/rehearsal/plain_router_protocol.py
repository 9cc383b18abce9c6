"""What the plain router reads and writes: clients' requests, nodes' commands, and HTTP with the database.

It shares no code with the router's own codecs, nor with the servers of `fakes`: a mistake of either would
hide itself in the yardstick, which would then agree with it.
"""

import asyncio
import time
from dataclasses import dataclass
from typing import NamedTuple
from urllib.parse import quote

ANSWER_SLACK_S = 0.02  # of a client's wait, for the answer's way
GET_WORDS = 4  # of a read: command, key, id, info
SET_WORDS = 5  # of a write: these, and the value


class UpstreamConnection(NamedTuple):
    """A connection to a node or the database; one request at a time."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def is_open(self) -> bool:
        """Whether another request may be sent on it."""
        return not self.writer.is_closing() and not self.reader.at_eof()

    def close(self) -> None:
        """Closes it at once."""
        self.writer.transport.abort()


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request as a client sent it."""

    words: list[bytes]
    class_name: str
    until_s: float  # by the monotonic clock: the answer is due

    @classmethod
    def parse(cls, words: list[bytes]) -> "ClientRequest":
        """The request of a command's words, which came now."""
        info = dict(one.split(b"=") for one in words[3].split(b","))
        wait_s = int(info[b"d"]) / 1000
        return cls(words, info[b"c"].decode(), time.monotonic() + wait_s - ANSWER_SLACK_S)

    @property
    def is_write(self) -> bool:
        """Whether it goes to the database alone."""
        return len(self.words) == SET_WORDS

    def left_s(self) -> float:
        """The time until the answer is due."""
        return self.until_s - time.monotonic()

    def encode_for_node(self) -> bytes:
        """The command for a node, with the wait that is left."""
        left_ms = max(1, int(self.left_s() * 1000))
        fields = [b"d=%d" % left_ms if one.startswith(b"d=") else one for one in self.words[3].split(b",")]
        words = [*self.words[:3], b",".join(fields)]
        return b"*%d\r\n" % GET_WORDS + b"".join(b"$%d\r\n%b\r\n" % (len(one), one) for one in words)

    def encode_for_database(self) -> bytes:
        """The HTTP request for the database."""
        _, key, request_id, info = self.words[:GET_WORDS]
        body = self.words[4] if self.is_write else b""
        lines = [
            f"{'PUT' if self.is_write else 'GET'} /{quote(key, safe='')} HTTP/1.1",
            "Host: x",
            f"X-Call-Id: {request_id.decode()}",
            f"X-Call-Info: {info.decode()}",
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode() + body


def encode_value(value: bytes) -> bytes:
    """The answer to a client that has this value."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


async def read_http(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """The status and the body of an HTTP response."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower().split("\r\n")
    length = next(int(line.split(":")[1]) for line in head if line.startswith("content-length:"))
    status = int(head[0].split(" ")[1])
    return status, await reader.readexactly(length)
