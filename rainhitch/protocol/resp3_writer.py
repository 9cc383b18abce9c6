"""Encodes RESP3 values in either version of the protocol.

The rehearsal kit's fakes share nothing of this module.
"""

import math
from collections.abc import Sequence

from rainhitch.protocol.resp import bulk_string
from rainhitch.protocol.resp3_types import (
    BigNumber,
    ErrorReply,
    Map,
    Push,
    Set,
    SimpleString,
    VerbatimString,
)


def encode(value: object, version: int) -> bytes:
    """Encodes a `Resp3Value` in RESP version 2 or 3.

    Any object is taken, since the router passes on values of servers without looking at their types.

    In version 2 the types that it lacks have the forms that the specification gives for its clients: null is
    $-1, booleans are :0 and :1, doubles, big numbers and verbatim strings are bulk strings, maps, sets and
    pushes are arrays, blob errors are error lines.

    Raises:
        TypeError: It is no such value.
    """
    is_resp3 = version >= 3
    if value is None:
        return b"_\r\n" if is_resp3 else b"$-1\r\n"
    if isinstance(value, bool):
        if is_resp3:
            return b"#t\r\n" if value else b"#f\r\n"
        return b":%d\r\n" % value
    if isinstance(value, bytes):
        return bulk_string(value)
    if isinstance(value, int):
        return b":%d\r\n" % value
    if isinstance(value, float):
        text = double_text(value)
        return b",%b\r\n" % text if is_resp3 else bulk_string(text)
    return _encode_resp3(value) if is_resp3 else _encode_resp2(value)


def double_text(value: float) -> bytes:
    """Returns a double as it stands on the wire."""
    if math.isnan(value):
        return b"nan"
    if math.isinf(value):
        return b"inf" if value > 0 else b"-inf"
    return repr(value).encode()


def _aggregate(kind: bytes, items: Sequence[object], version: int) -> bytes:
    return b"%b%d\r\n%b" % (kind, len(items), b"".join(encode(item, version) for item in items))


def _encode_resp3(value: object) -> bytes:
    """Encodes what is no plain value of Python's, in version 3."""
    match value:
        case SimpleString(text):
            return b"+%b\r\n" % text
        case ErrorReply(text):
            is_line = b"\r" not in text and b"\n" not in text
            return b"-%b\r\n" % text if is_line else b"!%d\r\n%b\r\n" % (len(text), text)
        case VerbatimString(format_name, text):
            return b"=%d\r\n%b:%b\r\n" % (len(text) + 4, format_name, text)
        case BigNumber(number):
            return b"(%d\r\n" % number
        case Map(pairs):
            items = b"".join(encode(item, 3) for pair in pairs for item in pair)
            return b"%%%d\r\n%b" % (len(pairs), items)
        case Set(items):
            return _aggregate(b"~", items, 3)
        case Push(items):
            return _aggregate(b">", items, 3)
        case list():
            return _aggregate(b"*", value, 3)
    raise TypeError(f"no RESP3 value: {type(value).__name__}")


def _encode_resp2(value: object) -> bytes:
    """Encodes what is no plain value of Python's, in version 2."""
    match value:
        case SimpleString(text):
            return b"+%b\r\n" % text
        case ErrorReply(text):
            return b"-%b\r\n" % text.replace(b"\r", b" ").replace(b"\n", b" ")
        case VerbatimString(_, text):
            return bulk_string(text)
        case BigNumber(number):
            return bulk_string(b"%d" % number)
        case Map(pairs):
            return _aggregate(b"*", [item for pair in pairs for item in pair], 2)
        case Set(items) | Push(items):
            return _aggregate(b"*", items, 2)
        case list():
            return _aggregate(b"*", value, 2)
    raise TypeError(f"no RESP2 value: {type(value).__name__}")
