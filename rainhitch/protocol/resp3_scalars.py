"""The values of RESP3 that are one line: numbers, doubles, booleans, nulls, simple strings and errors."""

import math

from rainhitch.protocol.errors import FramingError
from rainhitch.protocol.resp3_types import BigNumber, ErrorReply, Resp3Value, SimpleString

MAX_LENGTH_DIGITS = 10
MAX_INTEGER_DIGITS = 19
MAX_BIG_NUMBER_DIGITS = 4000

_DIGITS = frozenset(b"0123456789")
_DOUBLE_CHARACTERS = frozenset(b"0123456789+-.eE")
_SPECIAL_DOUBLES = {b"inf": math.inf, b"-inf": -math.inf, b"nan": math.nan}


def read_length(digits: bytes, max_value: int) -> int:
    """Reads an announced length or count.

    RESP2 has its own `_length`: clients see its error text, which is one for both faults.

    Raises:
        FramingError: It is no plain decimal number, or over `max_value`.
    """
    has_leading_zero = digits[:1] == b"0" and digits != b"0"
    is_decimal = bool(digits) and _DIGITS.issuperset(digits)
    if not is_decimal or has_leading_zero or len(digits) > MAX_LENGTH_DIGITS:
        raise FramingError("invalid length")
    value = int(digits)
    if value > max_value:
        raise FramingError("oversized length")
    return value


def read_scalar(kind: bytes, text: bytes) -> Resp3Value:
    """Reads the rest of a line of this type.

    Raises:
        FramingError: There is no such type, or no such value of it.
    """
    if kind == b"+":
        return SimpleString(text)
    if kind == b"-":
        return ErrorReply(text)
    if kind == b":":
        return _integer(text, MAX_INTEGER_DIGITS)
    if kind == b",":
        return _double(text)
    if kind == b"(":
        return BigNumber(_integer(text, MAX_BIG_NUMBER_DIGITS))
    if kind == b"#" and text in (b"t", b"f"):
        return text == b"t"
    is_null = kind == b"_" and not text
    is_resp2_null = kind in (b"$", b"*") and text == b"-1"
    if is_null or is_resp2_null:
        return None
    raise FramingError("no kind of value")


def _integer(text: bytes, max_digits: int) -> int:
    digits = text[1:] if text[:1] in (b"-", b"+") else text
    if not digits or len(digits) > max_digits or not _DIGITS.issuperset(digits):
        raise FramingError("invalid number")
    return int(text)


def _double(text: bytes) -> float:
    if text in _SPECIAL_DOUBLES:
        return _SPECIAL_DOUBLES[text]
    if not text or not _DOUBLE_CHARACTERS.issuperset(text) or text[:1] == b".":
        raise FramingError("invalid double")
    try:
        return float(text)
    except ValueError:
        raise FramingError("invalid double") from None
