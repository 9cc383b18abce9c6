"""RESP2 as the router reads it: whole commands of clients, and replies of cache servers.

The rehearsal kit's fakes and clients share nothing of this module.
"""

import contextlib
from collections.abc import Iterator

import hiredis

from rainhitch.protocol.errors import FramingError
from rainhitch.protocol.resp import (
    MAX_RELAYED_VALUE_BYTES,
    MAX_VALUE_BYTES,
    NEED_DATA,
    REPLY_ITEMS,
    LongValue,
)

MAX_RESP2_MESSAGE_BYTES = 5 * MAX_VALUE_BYTES
"""Longest command or reply that is read whole: a write has four large parts at most."""

MAX_ERROR_LINE_BYTES = 1024
MAX_LENGTH_LINE_BYTES = 16
MAX_ARRAY_ITEMS = 8

FAST_PATH_MAX_BYTES = 4096
"""Longest message that is tried by `Resp2Reader._read_simple` first."""


def _length(digits: bytes, max_value: int) -> int:
    """Reads an announced length or count.

    Raises:
        FramingError: It is no plain decimal number, or over `max_value`.
    """
    if not digits.isdigit() or (digits[:1] == b"0" and digits != b"0") or int(digits) > max_value:
        raise FramingError("invalid or oversized length")
    return int(digits)


class Resp2Reader:
    """Cuts a stream into whole commands or, with `reads_replies`, a cache server's replies.

    A command is an array of bulk strings, a reply an array of REPLY_ITEMS of them or an error line.

    Guards against lengths that lie, on the line that announces them: hiredis makes room for what a header
    announces and does not look at what ends a string, so it gets whole, measured messages only.
    """

    __slots__ = (
        "_measured_bytes",
        "_missing_values",
        "_parser",
        "buffer",
        "long_value_bytes_left",
        "reads_replies",
    )

    def __init__(self, reads_replies: bool = False) -> None:
        self.buffer = bytearray()
        self.reads_replies = reads_replies
        self._measured_bytes = 0  # of the message at the buffer's start, how much was found well formed
        self._missing_values = 1  # how many values are to be measured behind that
        self.long_value_bytes_left = 0  # of a long value, still to come
        self._parser = hiredis.Reader()

    def feed(self, data: bytes) -> None:
        """Takes in what came."""
        self.buffer += data

    def next(self) -> object:
        """Returns the next message: a command or reply as a list, an error line as bytes.

        NEED_DATA if none is whole. LongValue if the value of a reply is long: then read_long_value() gives
        its pieces and, once it has given all, this gives the rest: a list with None for the value.

        Raises:
            FramingError: What came is no such message; the stream is of no further use.
        """
        if not self._measured_bytes and 0 < len(self.buffer) < FAST_PATH_MAX_BYTES:
            parts = self._read_simple()
            if parts:
                return parts
        while self._missing_values and self._measured_bytes <= MAX_RESP2_MESSAGE_BYTES:
            if not self._measure_value():
                return LongValue(self.long_value_bytes_left) if self.long_value_bytes_left else NEED_DATA
        if self._measured_bytes > MAX_RESP2_MESSAGE_BYTES:
            raise FramingError("too large")
        message = bytes(self.buffer[: self._measured_bytes])
        del self.buffer[: self._measured_bytes]
        self._measured_bytes = 0
        self._missing_values = 1
        if message[:1] == b"-":
            return message[1:-2]
        self._parser.feed(message)
        return self._parser.gets()

    def iter_commands(self) -> Iterator[list[bytes]]:
        """Yields the whole commands in the buffer up to an incomplete command or a framing error."""
        with contextlib.suppress(FramingError):
            while isinstance(parts := self.next(), list):
                yield parts

    def read_long_value(self) -> bytes:
        """Returns what has come of a long value and was not returned yet."""
        piece = bytes(self.buffer[: self.long_value_bytes_left])
        del self.buffer[: len(piece)]
        self.long_value_bytes_left -= len(piece)
        if piece and not self.long_value_bytes_left:
            # What stands behind the value is read as a reply without one; its line end is the value's.
            self.buffer[:0] = b"*%d\r\n$-1" % REPLY_ITEMS
        return piece

    def _read_simple(self) -> list[bytes | None] | None:
        """Returns the one message in the buffer, if it is whole, with nothing behind it, and simple.

        Most are. Each length must be that of the line behind it, so that any parser would read it so. None
        where it is not so: then the message is measured.
        """
        lines = bytes(self.buffer).split(b"\r\n")
        item_count = REPLY_ITEMS if self.reads_replies else (len(lines) - 2) // 2
        if lines.pop() != b"" or not 0 < item_count <= MAX_ARRAY_ITEMS or lines[0] != b"*%d" % item_count:
            return None
        parts: list[bytes | None] = []
        rest = iter(lines[1:])
        for length_line in rest:
            if length_line == b"$-1" and self.reads_replies:
                parts.append(None)
                continue
            part = next(rest, None)
            if part is None or length_line != b"$%d" % len(part):
                return None
            parts.append(part)
        if len(parts) != item_count:
            return None
        self.buffer.clear()
        return parts

    def _measure_value(self) -> bool:
        """Steps over the head of an array, a string in it, or an error line; returns whether it was there."""
        buffer = self.buffer
        start = self._measured_bytes
        if start >= len(buffer):
            return False
        kind = bytes(buffer[start : start + 1])
        is_error_line = kind == b"-" and self.reads_replies and not start
        if not is_error_line and kind != (b"$" if start else b"*"):
            raise FramingError("expected an array of bulk strings")
        max_line_bytes = MAX_ERROR_LINE_BYTES if is_error_line else MAX_LENGTH_LINE_BYTES
        line_end = buffer.find(b"\r\n", start, start + max_line_bytes)
        if line_end < 0:
            if len(buffer) - start >= max_line_bytes:
                raise FramingError("line too long")
            return False
        announced = bytes(buffer[start + 1 : line_end])
        end = line_end + 2
        if kind == b"*":
            item_count = _length(announced, MAX_ARRAY_ITEMS)
            if self.reads_replies and item_count != REPLY_ITEMS:
                raise FramingError("no answer has so many parts")
            self._missing_values += item_count
        elif not is_error_line and not (self.reads_replies and announced == b"-1"):
            is_reply_value = self.reads_replies and self._missing_values == REPLY_ITEMS
            size_bytes = _length(announced, MAX_RELAYED_VALUE_BYTES if is_reply_value else MAX_VALUE_BYTES)
            if size_bytes > MAX_VALUE_BYTES:
                self._begin_long_value(end, size_bytes)
                return False
            if len(buffer) < end + size_bytes + 2:
                return False
            if buffer[end + size_bytes : end + size_bytes + 2] != b"\r\n":
                raise FramingError("string longer than announced")
            end += size_bytes + 2
        self._measured_bytes = end
        self._missing_values -= 1
        return True

    def _begin_long_value(self, head_bytes: int, size_bytes: int) -> None:
        """Drops what stands before a long value; read_long_value() gives the value next."""
        del self.buffer[:head_bytes]
        self._measured_bytes = 0
        self._missing_values = 1
        self.long_value_bytes_left = size_bytes
