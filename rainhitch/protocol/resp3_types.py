"""The values of RESP3, as the specification names them.

A blob string is `bytes`, a number `int`, a double `float`, a boolean `bool`, null `None`, an array `list`;
the other types are the classes below. An attribute is no value: `resp3_reader` reads and drops it. Streamed
strings and aggregates are read as what they amount to.

Source: the RESP3 specification (github.com/redis/redis-specifications, protocol/RESP3.md).
"""

from dataclasses import dataclass
from typing import Union


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """A simple error or a blob error."""

    text: bytes


@dataclass(frozen=True, slots=True)
class SimpleString:
    """A simple string: a line of text."""

    text: bytes


@dataclass(frozen=True, slots=True)
class VerbatimString:
    """A text and its format, three bytes such as `txt`."""

    format: bytes
    text: bytes


@dataclass(frozen=True, slots=True)
class BigNumber:
    """An integer of any size."""

    value: int


@dataclass(frozen=True, slots=True)
class Map:
    """Pairs of key and value in their order; a key may be of any type, and come twice."""

    pairs: "tuple[tuple[Resp3Value, Resp3Value], ...]"

    def get(self, name: bytes) -> "Resp3Value":
        """Returns the value of the first key that is a string of this text; None if there is none."""
        return next((value for key, value in self.pairs if text_of(key) == name), None)


@dataclass(frozen=True, slots=True)
class Set:
    """A set, in the order in which it came."""

    items: "tuple[Resp3Value, ...]"


@dataclass(frozen=True, slots=True)
class Push:
    """A message out of band; the first item is a string, its kind."""

    items: "tuple[Resp3Value, ...]"


Resp3Value = Union[  # a reference to itself, in quotes, has no `|` in Python 3.11
    None,
    bool,
    int,
    float,
    bytes,
    SimpleString,
    ErrorReply,
    VerbatimString,
    BigNumber,
    Map,
    Set,
    Push,
    "list[Resp3Value]",
]


def text_of(value: object) -> bytes | None:
    """Returns the text of a value that is a string of any type; None for other values."""
    if isinstance(value, bytes):
        return value
    return value.text if isinstance(value, SimpleString | VerbatimString) else None
