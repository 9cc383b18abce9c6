"""What the router writes in RESP2, and what the readers of both versions share.

The rehearsal kit's fakes and clients share nothing of this module.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Final, Protocol

from rainhitch.protocol.errors import FramingError as FramingError

MAX_VALUE_BYTES = 64 * 1024
"""Longest key, id, info list or value that is read whole."""

MAX_RELAYED_VALUE_BYTES = 4 << 20
"""Longest value that is passed on piece by piece, as it comes."""

REPLY_ITEMS = 3
"""Items of a cache server's reply: the value, how the read went, the load report."""

FAILED_REPLY = b"-ERR failed\r\n"


class ReadState(Enum):
    """What a reader gives in place of a message."""

    NEED_DATA = "need data"


NEED_DATA: Final = ReadState.NEED_DATA
"""No whole message has come yet. A module constant, since a read through the class is slow in Python 3.11."""


@dataclass(slots=True)
class LongValue:
    """A reply has begun whose value has more than MAX_VALUE_BYTES: it is read piece by piece."""

    size_bytes: int


class ReplyReader(Protocol):
    """What cuts a server's stream into replies, in either version of the protocol."""

    buffer: bytearray
    long_value_bytes_left: int

    def feed(self, data: bytes) -> None:
        """Takes in what came."""

    def next(self) -> object:
        """Returns the next reply, NEED_DATA, or LongValue.

        Raises:
            FramingError: What came is no reply; the stream is of no further use.
        """

    def read_long_value(self) -> bytes:
        """Returns what has come of a long value and was not returned yet."""


def bulk_string(value: bytes) -> bytes:
    """Encodes a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def command(*parts: bytes) -> bytes:
    """Encodes a command: an array of bulk strings."""
    return b"*%d\r\n%b" % (len(parts), b"".join(map(bulk_string, parts)))


def error_reply(text: str) -> bytes:
    """Encodes an error that says nothing of whether the request was executed."""
    return f"-ERR {text}\r\n".encode()


def busy_reply(retry_after_ms: int) -> bytes:
    """Encodes the rejection of a request that was not executed; with a positive time, when to come again."""
    return b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms > 0 else b"-BUSY\r\n"
