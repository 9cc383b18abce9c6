"""RESP3 without sockets: any value, cut anywhere; hiredis beside it; malformed messages; the bounds."""

import contextlib
import math
import time
from typing import Any

import hiredis
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainhitch.protocol.resp import NEED_DATA, FramingError, LongValue
from rainhitch.protocol.resp3_reader import Resp3Reader
from rainhitch.protocol.resp3_types import (
    BigNumber,
    ErrorReply,
    Map,
    Push,
    Set,
    SimpleString,
    VerbatimString,
)
from rainhitch.protocol.resp3_writer import encode

LINES = st.binary(max_size=12).filter(lambda one: b"\r" not in one and b"\n" not in one)
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.binary(max_size=40),
    st.integers(-(2**63), 2**63 - 1),
    st.floats(),
    LINES.map(SimpleString),
    st.binary(max_size=20).map(ErrorReply),
    st.builds(VerbatimString, st.sampled_from([b"txt", b"mkd"]), st.binary(max_size=20)),
    st.integers(-(10**40), 10**40).map(BigNumber),
)


def aggregates(inner: st.SearchStrategy[Any]) -> st.SearchStrategy[Any]:
    """Arrays, maps and sets of the inner values."""
    pairs = st.lists(st.tuples(inner, inner), max_size=3)
    items = st.lists(inner, max_size=4)
    return st.one_of(items, pairs.map(lambda one: Map(tuple(one))), items.map(lambda one: Set(tuple(one))))


VALUES = st.recursive(SCALARS, aggregates, max_leaves=12)
FRAMES = st.one_of(VALUES, st.lists(VALUES, max_size=3).map(lambda one: Push((b"kind", *one))))


def read(text: bytes, **more: Any) -> list[object]:
    """All values of a text that comes at once."""
    reader = Resp3Reader(**more)
    reader.feed(text)
    found: list[object] = []
    while (value := reader.next()) is not NEED_DATA:
        found.append(value)
    return found


def same(one: Any, two: Any) -> bool:
    """Equal, with nan equal to itself, and True not to 1."""
    return repr(one) == repr(two)


@given(st.lists(FRAMES, max_size=3), st.lists(st.integers(0, 400), max_size=6))
def test_reading_returns_the_written_values_however_the_stream_is_cut(
    values: list[Any], cuts: list[int]
) -> None:
    """A message may come in any pieces."""
    text = b"".join(encode(one, 3) for one in values)
    reader = Resp3Reader()
    found: list[object] = []
    edges = [0, *sorted(cut for cut in cuts if cut < len(text)), len(text)]
    for begin, end in zip(edges, edges[1:], strict=False):  # noqa: RUF007
        reader.feed(text[begin:end])
        while (value := reader.next()) is not NEED_DATA:
            found.append(value)
    assert len(found) == len(values) and all(map(same, found, values))
    assert reader.idle()


def plain(value: Any) -> Any:
    """A value as hiredis has it."""
    match value:
        case ErrorReply(text):
            return f"error {text!r}"
        case SimpleString(text) | VerbatimString(_, text):
            return text
        case BigNumber(number):
            return b"%d" % number
        case Set(items) | Push(items):
            return [plain(one) for one in items]
        case Map(pairs):
            return [[plain(key), plain(value)] for key, value in pairs]
        case list():
            return [plain(one) for one in value]
    return value


def from_hiredis(value: Any) -> Any:
    """What hiredis read, in the form of `plain`."""
    if isinstance(value, hiredis.HiredisError):
        return f"error {str(value).encode('latin-1')!r}"
    if isinstance(value, dict):
        return [[from_hiredis(key), from_hiredis(one)] for key, one in value.items()]
    if isinstance(value, list | tuple | set):
        return [from_hiredis(one) for one in value]
    return value


@settings(max_examples=300)
@given(VALUES)
def test_hiredis_reads_the_same_values(value: Any) -> None:
    """An independent reader takes what is written for the same values."""
    text = encode(value, 3)
    reader = hiredis.Reader()
    try:
        reader.feed(text)
        read_back = reader.gets()
    except (hiredis.ProtocolError, TypeError, UnicodeDecodeError):
        return  # deeper than it goes, a map whose key is a list, a blob error, which it does not know
    if "ErrorReply(" in repr(value) or "Map(" in repr(value):
        return  # errors come in a class of its own, and a key that a map has twice but once
    assert same(from_hiredis(read_back), plain(value))


@pytest.mark.parametrize(
    ("text", "value"),
    [
        (b"$?\r\n;4\r\nHell\r\n;5\r\no wor\r\n;1\r\nd\r\n;0\r\n", b"Hello word"),
        (b"$?\r\n;0\r\n", b""),
        (b"*?\r\n:1\r\n:2\r\n.\r\n", [1, 2]),
        (b"~?\r\n+a\r\n.\r\n", Set((SimpleString(b"a"),))),
        (b"%?\r\n+a\r\n:1\r\n.\r\n", Map(((SimpleString(b"a"), 1),))),
        (b"*2\r\n*?\r\n.\r\n_\r\n", [[], None]),
        (b"|1\r\n+ttl\r\n:3600\r\n*1\r\n:1\r\n", [1]),
        (b"*2\r\n:1\r\n|1\r\n+a\r\n*1\r\n:9\r\n:2\r\n", [1, 2]),
        (b",inf\r\n", math.inf),
        (b",-inf\r\n", -math.inf),
        (b",10\r\n", 10.0),
        (b"$-1\r\n", None),
        (b"*-1\r\n", None),
        (b"=15\r\ntxt:Some string\r\n", VerbatimString(b"txt", b"Some string")),
        (b"!21\r\nSYNTAX invalid syntax\r\n", ErrorReply(b"SYNTAX invalid syntax")),
        (
            b"(3492890328409238509324850943850943825024385\r\n",
            BigNumber(3492890328409238509324850943850943825024385),
        ),
    ],
)
def test_every_form_of_the_specification_is_read(text: bytes, value: object) -> None:
    """At once, and byte by byte, where nothing is returned before the last byte."""
    assert read(text) == [value]
    reader = Resp3Reader()
    for n in range(len(text) - 1):
        reader.feed(text[n : n + 1])
        assert reader.next() is NEED_DATA
    reader.feed(text[-1:])
    assert reader.next() == value and reader.idle()


@pytest.mark.parametrize(
    "text",
    [
        b"\r\n",
        b"#x\r\n",
        b":\r\n",
        b":1a\r\n",
        b",1..2\r\n",
        b",nano\r\n",
        b"(\r\n",
        b"_0\r\n",
        b".\r\n",
        b"*1\r\n.\r\n",
        b"$5\r\nabcdefg",
        b"$05\r\n",
        b"$-2\r\n",
        b"=3\r\nabc\r\n",
        b"=5\r\nabcde\r\n",
        b"%?\r\n+a\r\n.\r\n",
        b"$?\r\n:1\r\n",
        b"*1\r\n>1\r\n+x\r\n",
        b">0\r\n",
        b">1\r\n:1\r\n",
        b">?\r\n",
        b"|?\r\n",
        b"@1\r\n",
        b"*5000\r\n",
        b"%3000\r\n",
        b"$99999999999\r\n",
        b"(" + b"1" * 4096 + b"\r\n",
        b"+" + b"x" * 5000,
        b"*1\r\n" * 20,
        b"$?\r\n" + b";60000\r\n" + b"x" * 60000 + b"\r\n;60000\r\n",
        b"|1\r\n+a\r\n+b\r\n" * 3000,
    ],
)
def test_malformed_or_oversized_input_raises_at_once(text: bytes) -> None:
    """Not only when what was announced has come."""
    with pytest.raises(FramingError):
        read(text)


def test_nesting_beyond_the_bound_is_rejected() -> None:
    """Ten thousand levels would exhaust the stack of a recursive reader."""
    reader = Resp3Reader()
    reader.feed(b"*1\r\n" * 10_000)
    with pytest.raises(FramingError, match="deep"):
        reader.next()


def test_announced_sizes_take_no_memory_before_the_bytes_come() -> None:
    """A short header must not make the router reserve what it announces."""
    reader = Resp3Reader()
    reader.feed(b"*4000\r\n")
    assert reader.next() is NEED_DATA and len(reader.buffer) < 16
    with pytest.raises(FramingError):
        read(
            b"*8\r\n"
            + b"$65536\r\n"
            + b"x" * 65536
            + b"\r\n"
            + b"*8\r\n"
            + (b"$65536\r\n" + b"x" * 65536 + b"\r\n") * 8
        )


def test_input_byte_by_byte_costs_linear_time() -> None:
    """A line searched from its beginning at each byte costs the square of its length."""

    def cost(size: int) -> float:
        """CPU seconds to read a message of this size byte by byte, the best of three."""
        text = b"*%d\r\n" % size + b":1\r\n" * size + b"$%d\r\n" % (16 * size) + b"x" * (16 * size) + b"\r\n"
        best = math.inf
        for _ in range(3):
            reader = Resp3Reader()
            begun = time.process_time()
            for n in range(len(text)):
                reader.feed(text[n : n + 1])
                reader.next()
            best = min(best, time.process_time() - begun)
        return best

    assert cost(1600) < 4 * 4 * cost(400)  # four times the text; its square would be 16 and more


@given(st.integers(0, 2**32))
@settings(max_examples=20)
def test_mutated_messages_neither_crash_nor_hang_nor_exceed_the_bounds(seed: int) -> None:
    """A fixed, seeded share of what benchmarks/resp3.py runs: 200 frames for each example."""
    assert resp3_fuzz(seed, 200) == 200


def resp3_fuzz(seed: int, count: int) -> int:
    """How many mutated messages ended in values, in waiting, or in a FramingError."""
    from benchmarks.resp3 import fuzz

    return fuzz(seed, count)


def test_a_long_value_is_read_in_pieces_where_that_was_asked_for() -> None:
    """Elsewhere it is over the bound."""
    size = 70_000
    text = b"*3\r\n$%d\r\n" % size + b"v" * size + b"\r\n+hit\r\n_\r\n"
    for step in (1 << 20, 1000, 17):
        reader = Resp3Reader(relays_long_values=True)
        got = b""
        begun = False
        rest: object = None
        for n in range(0, len(text), step):
            reader.feed(text[n : n + step])
            if not begun:
                begun = isinstance(reader.next(), LongValue)
            if begun:
                got += reader.read_long_value()
                if not reader.long_value_bytes_left:
                    rest = reader.next()
        assert got == b"v" * size and rest == [None, SimpleString(b"hit"), None] and reader.idle()
    with pytest.raises(FramingError):
        read(text)  # where nobody asked for it


@given(VALUES)
def test_version_2_holds_no_types_of_version_3(value: Any) -> None:
    """A client of version 2 can read every value."""
    reader = hiredis.Reader()
    text = encode(value, 2)
    assert not set(b"_#,(=%~>!|") & {line[0] for line in _heads(text)}
    reader.feed(text)
    with contextlib.suppress(hiredis.ProtocolError, UnicodeDecodeError):
        assert reader.gets() is not False  # it does not go as deep, and errors are text to it


def _heads(text: bytes) -> list[bytes]:
    """The lines of a text in protocol 2 that say what comes, without the bytes of strings."""
    heads: list[bytes] = []
    at = 0
    while at < len(text):
        end = text.index(b"\r\n", at)
        heads.append(text[at:end])
        at = end + 2
        if heads[-1][:1] == b"$" and heads[-1] != b"$-1":
            at += int(heads[-1][1:]) + 2
    return heads
