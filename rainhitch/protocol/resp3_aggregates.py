"""The aggregates of a RESP3 message that are not full yet, and the bounds on depth and elements."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from rainhitch.protocol.errors import FramingError
from rainhitch.protocol.resp3_scalars import read_length
from rainhitch.protocol.resp3_types import Map, Push, Resp3Value, Set, text_of

MAX_DEPTH = 16
MAX_ELEMENTS = 4096
"""Elements of one message, those of attributes among them."""

UNTIL_END_MARKER = -1
"""Missing elements of a streamed aggregate: it is full at its end marker."""


class Step(Enum):
    """What reading one line amounts to, if neither to a whole value nor to waiting."""

    CONTINUE = "continue"


CONTINUE: Final = Step.CONTINUE
"""The message is not whole; the next line is to be read."""


@dataclass(slots=True)
class _Aggregate:
    """An aggregate that is not full; `missing` elements are to come, or UNTIL_END_MARKER."""

    kind: bytes
    missing: int
    items: list[Resp3Value] = field(default_factory=list)

    def value(self) -> Resp3Value:
        """Returns what it is now that it is full, an attribute excepted."""
        if self.kind == b"%":
            return Map(tuple(zip(self.items[::2], self.items[1::2], strict=True)))
        if self.kind == b"~":
            return Set(tuple(self.items))
        if self.kind == b">":
            if not self.items or text_of(self.items[0]) is None:
                raise FramingError("a push that does not say what it is")
            return Push(tuple(self.items))
        return self.items


class AggregateStack:
    """Puts the values of one message together; the innermost aggregate is the last of `unfinished`."""

    __slots__ = ("element_count", "unfinished")

    def __init__(self) -> None:
        self.unfinished: list[_Aggregate] = []
        self.element_count = 0  # of this message; the reader sets it back with each message

    def is_at_first_item(self) -> bool:
        """Returns whether the first item of an outermost array of several comes next."""
        if len(self.unfinished) != 1:
            return False
        array = self.unfinished[0]
        return array.kind == b"*" and not array.items and array.missing > 1

    def count_element(self) -> None:
        """Counts an element of the message.

        Raises:
            FramingError: It has too many.
        """
        self.element_count += 1
        if self.element_count > MAX_ELEMENTS:
            raise FramingError("too many elements")

    def open(self, kind: bytes, announced: bytes) -> Resp3Value | Step:
        """An aggregate begins, with an announced length or `?`; returns what `place` does.

        Raises:
            FramingError: It may not stand here, or is over a bound.
        """
        if kind == b">" and self.unfinished:
            raise FramingError("a push within a value")
        missing = UNTIL_END_MARKER
        if announced != b"?":
            missing = read_length(announced, MAX_ELEMENTS) * (2 if kind in b"%|" else 1)
            if self.element_count + missing > MAX_ELEMENTS:
                raise FramingError("too many elements")
        elif kind in b">|":
            raise FramingError("no streamed push or attribute")
        self.count_element()
        if len(self.unfinished) >= MAX_DEPTH:
            raise FramingError("too deep")
        self.unfinished.append(_Aggregate(kind, missing))
        return CONTINUE if missing else self._close()

    def end_streamed(self) -> Resp3Value | Step:
        """The end marker of a streamed aggregate has come; returns what `place` does.

        Raises:
            FramingError: None is open, or it is a map whose last key has no value.
        """
        if not self.unfinished or self.unfinished[-1].missing >= 0:
            raise FramingError("an end of nothing")
        if self.unfinished[-1].kind == b"%" and len(self.unfinished[-1].items) % 2:
            raise FramingError("a map with an odd count")
        return self._close()

    def _close(self) -> Resp3Value | Step:
        """The innermost aggregate is full."""
        aggregate = self.unfinished.pop()
        if aggregate.kind == b"|":
            return CONTINUE  # an attribute: what it belongs to comes behind it
        return self.place(aggregate.value())

    def place(self, value: Resp3Value) -> Resp3Value | Step:
        """A value is whole: it is the message, or goes into the innermost aggregate.

        Returns the message if it is whole with this, else CONTINUE.
        """
        if not self.unfinished:
            return value
        aggregate = self.unfinished[-1]
        aggregate.items.append(value)
        if aggregate.missing > 0:
            aggregate.missing -= 1
            if not aggregate.missing:
                return self._close()
        return CONTINUE
