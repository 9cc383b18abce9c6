"""Cuts a stream of RESP3 into values; no socket, no clock. The whole of the published protocol is read.

Theory. A value is a line that tells its type, and for some types what follows that line. The reader keeps a
stack of the aggregates that are not full yet. Each line is looked at once: its end is searched on from where
the last search stopped, so that a value that comes byte by byte costs linear time. What a line announces is
bounded before any of it has come: bytes of one value and of a whole message, its elements, its depth.

    a line -> a value                + - : $ = ! ( , # _     and $-1, *-1 of RESP2
           -> an aggregate           * ~ > %, and | (an attribute), whose pairs are read and dropped
           -> a streamed string      $?, then ;N and its bytes, until ;0
           -> a streamed aggregate   *? ~? %?, until .

The rehearsal kit's fakes share nothing of this module.

Source: the RESP3 specification (github.com/redis/redis-specifications, protocol/RESP3.md).
"""

from collections.abc import Iterator

from rainhitch.protocol.errors import FramingError
from rainhitch.protocol.resp import (
    MAX_RELAYED_VALUE_BYTES,
    MAX_VALUE_BYTES,
    NEED_DATA,
    LongValue,
    ReadState,
)
from rainhitch.protocol.resp3_aggregates import CONTINUE, AggregateStack, Step
from rainhitch.protocol.resp3_scalars import read_length, read_scalar
from rainhitch.protocol.resp3_types import (
    ErrorReply,
    Map,
    Resp3Value,
    SimpleString,
    VerbatimString,
)

MAX_RESP3_MESSAGE_BYTES = 8 * MAX_VALUE_BYTES
MAX_LINE_BYTES = 4096

FAST_PATH_MAX_BYTES = 4096
"""Longest message that is tried by `_read_simple_array` first."""

_MAP_HEADS = {b"%%%d" % pair_count: pair_count for pair_count in range(9)}
"""Heads of the maps that `_read_simple_array` reads, and the pairs of each."""


class Resp3Reader:
    """Cuts a stream into values.

    With `relays_long_values`, an array whose first item is a string of more than MAX_VALUE_BYTES gives
    LongValue, then read_long_value() its pieces, then the rest of the array with None in place of the string.
    """

    def __init__(
        self, relays_long_values: bool = False, max_message_bytes: int = MAX_RESP3_MESSAGE_BYTES
    ) -> None:
        self.buffer = bytearray()
        self.relays_long_values = relays_long_values
        self.max_message_bytes = max_message_bytes
        self.long_value_bytes_left = 0  # of a long value, still to come
        self._line_start = 0  # where in the buffer the next line begins
        self._searched_to = 0  # up to where no line end was found
        self._aggregates = AggregateStack()
        self._dropped_bytes = 0  # of this message, cut off the buffer already
        self._string_chunks: list[bytes] | None = None  # of a streamed string
        self._body_end_missing = False  # the line end of a long value is still to come

    def feed(self, data: bytes) -> None:
        """Takes in what came."""
        self.buffer += data

    def idle(self) -> bool:
        """Returns whether nothing has come that was not returned."""
        has_begun = (
            self._aggregates.unfinished
            or self._string_chunks is not None
            or self.long_value_bytes_left
            or self._body_end_missing
        )
        return not self.buffer and not has_begun

    def in_push(self) -> bool:
        """Returns whether what has come and was not returned may begin a push, or an attribute to one."""
        if self._aggregates.unfinished:
            return self._aggregates.unfinished[0].kind in b">|"
        if self._string_chunks is not None or self._body_end_missing:
            return False
        return bytes(self.buffer[:1]) in (b">", b"|")  # a message begins where the buffer does

    def next(self) -> Resp3Value | LongValue | ReadState:
        """Returns the next value, NEED_DATA, or LongValue.

        Raises:
            FramingError: What came is no RESP3, or over a bound; the stream is of no further use.
        """
        if self._body_end_missing:
            if len(self.buffer) < 2:
                return NEED_DATA
            if self.buffer[:2] != b"\r\n":
                raise FramingError("string longer than announced")
            del self.buffer[:2]
            self._body_end_missing = False
        is_at_start = not self._line_start and not self._aggregates.unfinished and self._string_chunks is None
        if is_at_start and 0 < len(self.buffer) < FAST_PATH_MAX_BYTES:
            items = _read_simple_array(self.buffer)
            if items is not None:
                self.buffer.clear()
                return items
        while True:
            if self._dropped_bytes + self._line_start > self.max_message_bytes:
                raise FramingError("too large")
            value = self._read_line()
            if value is CONTINUE:
                continue
            if value is NEED_DATA or isinstance(value, LongValue):
                return value
            self._drop_read_bytes()
            self._aggregates.element_count = 0
            self._dropped_bytes = 0
            return value

    def read_long_value(self) -> bytes:
        """Returns what has come of a long value and was not returned yet."""
        piece = bytes(self.buffer[: self.long_value_bytes_left])
        del self.buffer[: len(piece)]
        self.long_value_bytes_left -= len(piece)
        if piece and not self.long_value_bytes_left:
            self._body_end_missing = True
        return piece

    def _drop_read_bytes(self) -> None:
        """Cuts off what has been read; the bytes count towards the message."""
        self._dropped_bytes += self._line_start
        del self.buffer[: self._line_start]
        self._line_start = 0
        self._searched_to = 0

    def _advance(self, position: int) -> None:
        self._line_start = position
        self._searched_to = position

    def _whole_line(self) -> bytes | None:
        """Returns the next line with its type byte; None if it has not come whole."""
        line_end = self.buffer.find(b"\r\n", max(self._line_start, self._searched_to - 1))
        if line_end < 0:
            self._searched_to = len(self.buffer)
            if len(self.buffer) - self._line_start > MAX_LINE_BYTES:
                raise FramingError("line too long")
            return None
        if line_end - self._line_start > MAX_LINE_BYTES:
            raise FramingError("line too long")
        return bytes(self.buffer[self._line_start : line_end])

    def _read_line(self) -> Resp3Value | LongValue | ReadState | Step:
        """Reads one line and what belongs to it.

        Returns a whole value of the outermost level, LongValue, NEED_DATA, or CONTINUE.
        """
        line = self._whole_line()
        if line is None:
            return NEED_DATA
        kind = line[:1]
        announced = line[1:]
        after = self._line_start + len(line) + 2
        if self._string_chunks is not None:
            return self._read_chunk(self._string_chunks, kind, announced, after)
        if kind in b"$=!" and kind and announced not in (b"?", b"-1"):
            return self._read_blob(kind, announced, after)
        if kind == b"$" and announced == b"?":
            self._aggregates.count_element()
            self._string_chunks = []
            self._advance(after)
            return CONTINUE
        if kind in b"*~>%|" and kind and announced != b"-1":
            self._advance(after)
            return self._aggregates.open(kind, announced)
        if kind == b"." and not announced:
            self._advance(after)
            return self._aggregates.end_streamed()
        value = read_scalar(kind, announced)
        self._advance(after)
        self._aggregates.count_element()
        return self._aggregates.place(value)

    def _read_blob(
        self, kind: bytes, announced: bytes, after: int
    ) -> Resp3Value | LongValue | ReadState | Step:
        may_be_long = self.relays_long_values and kind == b"$" and self._aggregates.is_at_first_item()
        size_bytes = read_length(announced, MAX_RELAYED_VALUE_BYTES if may_be_long else MAX_VALUE_BYTES)
        if size_bytes > MAX_VALUE_BYTES:
            self._advance(after)
            self._aggregates.count_element()
            self._aggregates.place(None)
            self._drop_read_bytes()
            self.long_value_bytes_left = size_bytes
            return LongValue(size_bytes)
        end = after + size_bytes
        if len(self.buffer) < end + 2:
            if self._dropped_bytes + end > self.max_message_bytes:
                raise FramingError("too large")
            return NEED_DATA
        text = self._text_between(after, end)
        self._advance(end + 2)
        self._aggregates.count_element()
        if kind == b"$":
            return self._aggregates.place(text)
        if kind == b"!":
            return self._aggregates.place(ErrorReply(text))
        if text[3:4] != b":":
            raise FramingError("verbatim string without a format")
        return self._aggregates.place(VerbatimString(text[:3], text[4:]))

    def _text_between(self, start: int, end: int) -> bytes:
        """Returns a string that has come; its line end must stand behind it."""
        if self.buffer[end : end + 2] != b"\r\n":
            raise FramingError("string longer than announced")
        return bytes(self.buffer[start:end])

    def _read_chunk(
        self, chunks: list[bytes], kind: bytes, announced: bytes, after: int
    ) -> Resp3Value | ReadState | Step:
        if kind != b";":
            raise FramingError("expected a piece of a streamed string")
        size_bytes = read_length(announced, MAX_VALUE_BYTES)
        if not size_bytes:
            self._string_chunks = None
            self._advance(after)
            return self._aggregates.place(b"".join(chunks))
        if sum(map(len, chunks)) + size_bytes > MAX_VALUE_BYTES:
            raise FramingError("streamed string too long")
        end = after + size_bytes
        if len(self.buffer) < end + 2:
            return NEED_DATA
        chunks.append(self._text_between(after, end))
        self._aggregates.count_element()
        self._advance(end + 2)
        return CONTINUE


def _read_simple_array(buffer: bytearray) -> list[Resp3Value] | None:
    """Returns the one array in the buffer, if it is whole, with nothing behind it, and simple.

    Most replies are: strings, nulls, and maps of these. Each length must be that of the line behind it, so
    that any parser would read it so. None where it is not so: then the array is read line by line.
    """
    lines = bytes(buffer).split(b"\r\n")
    if lines.pop() != b"" or lines[0][:1] != b"*":
        return None
    rest = iter(lines[1:])
    items: list[Resp3Value] = []
    try:
        for head in rest:
            if head[:1] == b"%":
                flat = [_simple_value(next(rest), rest) for _ in range(2 * _MAP_HEADS[head])]
                items.append(Map(tuple(zip(flat[::2], flat[1::2], strict=True))))
            else:
                items.append(_simple_value(head, rest))
    except (StopIteration, KeyError):
        return None
    if lines[0] != b"*%d" % len(items) or not items:
        return None
    return items


def _simple_value(head: bytes, rest: Iterator[bytes]) -> bytes | SimpleString | None:
    """Returns the string or null that begins with this line; raises KeyError for all else."""
    kind = head[:1]
    if kind == b"$":
        text = next(rest)
        if head == b"$%d" % len(text):
            return text
    elif kind == b"+":
        return SimpleString(head[1:])
    elif head == b"_":
        return None
    raise KeyError(head)
