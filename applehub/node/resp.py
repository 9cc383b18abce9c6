"""RESP2 as the router reads and writes it."""

from typing import Any

import hiredis

MOST_VALUE = 64 * 1024  # bytes of a key, an id, a list or a value
MOST_LINE = 1024
MOST_ITEMS = 8
MOST_FRAME = 5 * MOST_VALUE  # a write has four large parts at the most
WAITING = object()  # no whole value has come yet
FAILED = b"-ERR failed\r\n"


class FramingError(ValueError):
    """What came is no RESP2, or larger than the router takes: the stream is of no further use."""


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def command(*parts: bytes) -> bytes:
    return b"*%d\r\n%b" % (len(parts), b"".join(map(bulk, parts)))


def error(text: str) -> bytes:
    return f"-ERR {text}\r\n".encode()


def refused(milliseconds: int) -> bytes:
    return b"-BUSY %d\r\n" % milliseconds if milliseconds > 0 else b"-BUSY\r\n"


def _length(line: bytes, most: int) -> int:
    if line == b"-1":
        return -1
    if not line.isdigit() or len(line) > 10 or int(line) > most:
        raise FramingError("invalid or oversized length")
    return int(line)


class Frames:
    """Cuts a stream into whole values. Guards against lengths that lie: hiredis makes room for what a
    header announces and does not look at what ends a string, so it gets whole, measured values only."""

    __slots__ = ("at", "buffer", "missing", "reader")

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.at, self.missing = 0, 1  # how far it is measured, and how many values that lacks
        self.reader = hiredis.Reader()

    def feed(self, data: bytes) -> None:
        self.buffer += data

    def next(self) -> Any:
        """The next whole value, or WAITING."""
        while self.missing:
            if not self._measure():
                return WAITING
            # Guards against arrays in arrays without end: each part is small, and the whole never comes.
            if self.at > MOST_FRAME or self.missing > MOST_ITEMS:
                raise FramingError("too large")
        self.reader.feed(bytes(self.buffer[: self.at]))
        del self.buffer[: self.at]
        self.at, self.missing = 0, 1
        try:
            return self.reader.gets()
        except hiredis.ProtocolError as problem:
            raise FramingError(str(problem)) from None

    def _measure(self) -> bool:
        """Steps over one value, or the head of an array; whether it was there."""
        buffer, at = self.buffer, self.at
        if at >= len(buffer):
            return False
        if buffer[at] not in b"+-:$*":
            raise FramingError("invalid first byte")
        end = buffer.find(b"\r\n", at, at + MOST_LINE)
        if end < 0:
            if len(buffer) - at >= MOST_LINE:
                raise FramingError("line too long")
            return False
        line, kind = bytes(buffer[at + 1 : end]), buffer[at : at + 1]
        end += 2
        if kind == b"*":
            self.missing += max(0, _length(line, MOST_ITEMS))
        elif kind == b"$":
            size = _length(line, MOST_VALUE)
            if size >= 0:
                if len(buffer) < end + size + 2:
                    return False
                if buffer[end + size : end + size + 2] != b"\r\n":
                    raise FramingError("string longer than announced")
                end += size + 2
        self.at, self.missing = end, self.missing - 1
        return True
