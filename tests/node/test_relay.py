"""Values too long to be stored are relayed as they arrive, over loopback sockets with scripted peers."""

import asyncio
import itertools
import socket
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from peers import MISS, PATIENCE, Bench, Caller, hit, http, router, wait_until

from rainhitch.node import connection_pool
from rainhitch.node import relay as relay_module
from rainhitch.protocol import resp
from rainhitch.protocol.resp2_reader import Resp2Reader

SIZE = 300_000
VALUE = bytes(range(251)) * (SIZE // 251 + 1)
VALUE = VALUE[:SIZE]
HEAD = b"*3\r\n$%d\r\n" % SIZE
TAIL = b"\r\n$3\r\nhit\r\n$-1\r\n"
Script = Any


def silent_script() -> tuple[list[asyncio.StreamWriter], Script]:
    """Returns a script that sends nothing and the list of connections on which it received a request."""
    asked: list[asyncio.StreamWriter] = []

    def answer(parts: object, line: asyncio.StreamWriter) -> None:
        asked.append(line)

    return asked, answer


async def read_exactly(caller: Caller, size: int) -> bytes:
    """Returns the next `size` bytes received."""
    async with asyncio.timeout(PATIENCE):
        return await caller.reader.readexactly(size)


async def read_to_end(caller: Caller) -> bytes:
    """Returns everything received until the router closes the connection."""
    got = b""
    async with asyncio.timeout(PATIENCE):
        try:
            while data := await caller.reader.read(65_536):
                got += data
        except ConnectionError:
            pass
    return got


async def test_a_long_value_is_relayed_while_it_arrives(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)
    asked, script = silent_script()
    async with router(script) as bench:
        caller = await bench.caller()
        caller.get()
        (line,) = await wait_until(lambda: asked)
        line.write(HEAD + VALUE[:70_000])
        head = b"$%d\r\n" % SIZE
        assert await read_exactly(caller, len(head) + 70_000) == head + VALUE[:70_000]
        assert bench.driver.metrics.in_flight == 1 and bench.driver.metrics.served == [0, 0, 0]
        line.write(VALUE[70_000:] + TAIL)
        assert await read_exactly(caller, SIZE - 70_000 + 2) == VALUE[70_000:] + b"\r\n"
        caller.get(name=b"i2")  # on the same connections
        (_, again) = await wait_until(lambda: asked[1:] and asked)
        assert again is line
        again.write(hit(b"short"))
        assert await caller.answer() == b"short"
        assert bench.driver.metrics.served[0] == 2 and not bench.driver.requests


async def test_a_long_value_of_the_origin_is_relayed_too(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)
    async with router(lambda asked, line: MISS, lambda asked, line: http(200, VALUE)) as bench:
        caller = await bench.caller()
        for name in (b"i1", b"i2"):
            caller.get(name=name)
            assert await caller.answer() == VALUE
        assert len(bench.origin.lines) == 1  # the connection was reused


@pytest.mark.parametrize(
    "sent",
    [
        HEAD + VALUE + b"x" + TAIL,  # longer than its length says
        HEAD + VALUE[:-1] + TAIL,  # shorter than its length says
        HEAD + VALUE + b"\r\n$3\r\nhut\r\n$-1\r\n",
        HEAD + VALUE + b"\r\n-ERR failed\r\n",
        HEAD + VALUE + b"\r\n$70000\r\n",
    ],
)
async def test_a_malformed_long_value_never_looks_whole_to_its_client(sent: bytes) -> None:
    async with router(lambda asked, line: sent) as bench:
        caller = await bench.caller()
        caller.get()
        assert len(await read_to_end(caller)) < len(b"$%d\r\n" % SIZE) + SIZE  # without the last byte
        await wait_until(lambda: not bench.driver.requests and not bench.pools.open_count())
        assert bench.driver.metrics.failed[0] == 1 and not bench.driver.metrics.served[0]


async def test_a_server_that_closes_in_the_middle_of_a_value_ends_its_clients_connection() -> None:
    asked, script = silent_script()
    async with router(script) as bench:
        caller = await bench.caller()
        caller.get()
        (line,) = await wait_until(lambda: asked)
        line.write(HEAD + VALUE[:1000])
        await read_exactly(caller, 500)
        line.transport.abort()
        assert len(await read_to_end(caller)) < SIZE
        await wait_until(lambda: not bench.driver.requests and not bench.clients.connections)


async def test_a_server_that_stalls_in_the_middle_of_a_value_is_waited_for_a_limited_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(relay_module, "STALL_LIMIT_S", 0.1)
    asked, script = silent_script()
    async with router(script) as bench:
        caller = await bench.caller()
        caller.get()
        (line,) = await wait_until(lambda: asked)
        line.write(HEAD + VALUE[:1000])
        assert len(await read_to_end(caller)) < SIZE
        await wait_until(lambda: not bench.pools.open_count() and not bench.driver.requests)


async def test_a_client_that_leaves_in_the_middle_of_a_value_frees_the_servers_connection() -> None:
    asked, script = silent_script()
    async with router(script) as bench:
        caller = await bench.caller()
        caller.get()
        (line,) = await wait_until(lambda: asked)
        line.write(HEAD + VALUE[:1000])
        await read_exactly(caller, 500)
        caller.writer.transport.abort()
        await wait_until(lambda: not bench.driver.requests and not bench.pools.open_count())
        assert bench.driver.metrics.failed[0] == 1 and bench.driver.metrics.in_flight == 0


async def test_a_long_value_for_a_client_that_has_left_is_dropped() -> None:
    asked, script = silent_script()
    async with router(script) as bench:
        caller = await bench.caller()
        caller.get()
        (line,) = await wait_until(lambda: asked)
        caller.writer.transport.abort()
        await wait_until(lambda: not bench.clients.connections)
        line.write(HEAD + VALUE + TAIL)
        await wait_until(lambda: not bench.driver.requests and not bench.pools.open_count())


async def slow_caller(bench: Bench) -> tuple[Caller, socket.socket]:
    """Connects a client with very small receive buffers; returns it and its socket."""
    small = socket.socket()
    small.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    small.setblocking(False)
    await asyncio.get_running_loop().sock_connect(small, ("127.0.0.1", bench.port))
    reader, writer = await asyncio.open_connection(sock=small, limit=2048)
    bench.callers.append(Caller(reader, writer))
    return bench.callers[-1], small


async def test_memory_for_a_slow_reader_is_bounded_by_a_piece_of_the_value() -> None:
    long = VALUE * 13  # almost 4 MiB
    sent = b"*3\r\n$%d\r\n%b%b" % (len(long), long, TAIL)
    async with router(lambda asked, line: sent) as bench:
        callers = [(await slow_caller(bench))[0] for _ in range(4)]
        for n, caller in enumerate(callers):
            caller.get(name=b"i%d" % n)
        await wait_until(
            lambda: sum(client.responses.write_buffer_full for client in bench.clients.connections) == 4
        )
        await asyncio.sleep(0.2)  # time for all data to arrive that is not held back
        relays = [request.relay for request in bench.driver.requests.values() if request.relay is not None]
        assert len(relays) == 4 and all(relay.source_paused for relay in relays)
        held_bytes = bench.clients.buffered_bytes + sum(len(relay.pending) for relay in relays)
        assert held_bytes < len(long)  # less than one value, for four clients
        for caller in callers:
            assert await caller.answer() == long


async def test_answers_keep_their_order_around_a_long_value() -> None:
    first: list[asyncio.StreamWriter] = []

    def script(asked: Any, line: asyncio.StreamWriter) -> bytes | None:
        if asked[2] == b"i1":
            first.append(line)
            return None
        return HEAD + VALUE + TAIL if asked[2] == b"i2" else hit(b"third")

    async with router(script) as bench:
        caller = await bench.caller()
        for name in (b"i1", b"i2", b"i3"):
            caller.get(name=name)
        await wait_until(lambda: any(request.relay is not None for request in bench.driver.requests.values()))
        first[0].write(hit(b"first"))
        assert [await caller.answer() for _ in range(3)] == [b"first", VALUE, b"third"]


async def test_a_long_value_for_which_there_is_no_memory_fails() -> None:
    first: list[asyncio.StreamWriter] = []

    def script(asked: Any, line: asyncio.StreamWriter) -> bytes | None:
        if asked[2] == b"i1":
            first.append(line)
            return None
        return HEAD + VALUE + TAIL

    async with router(script, memory=100_000) as bench:
        caller = await bench.caller()
        for name in (b"i1", b"i2", b"i3"):
            caller.get(name=name)
        await wait_until(lambda: bench.driver.metrics.failed[0] == 1)
        first[0].write(hit(b"first"))
        answers = [await caller.answer() for _ in range(3)]
        assert answers[0] == b"first" and VALUE in answers
        assert sum(isinstance(answer, Exception) for answer in answers) == 1


@pytest.mark.parametrize("size", [resp.MAX_RELAYED_VALUE_BYTES + 1, 3 << 30])
async def test_a_value_with_an_oversized_length_fails(size: int) -> None:
    async with router(lambda asked, line: b"*3\r\n$%d\r\n" % size + VALUE) as bench:
        caller = await bench.caller()
        caller.get()
        assert isinstance(await caller.answer(), Exception)


@given(st.lists(st.integers(0, 70_300), max_size=8), st.sampled_from([b"hit", b"miss"]))
def test_any_chunking_gives_the_same_value(cuts: list[int], note: bytes) -> None:
    value = VALUE[:70_000]
    text = b"*3\r\n$70000\r\n%b\r\n$%d\r\n%b\r\n$-1\r\n" % (value, len(note), note)
    reader = Resp2Reader(reads_replies=True)
    received = b""
    rest = None
    edges = [0, *sorted(cut for cut in cuts if cut < len(text)), len(text)]
    begun = False
    for start, end in itertools.pairwise(edges):
        reader.feed(text[start:end])
        if not begun:
            begun = isinstance(reader.next(), resp.LongValue)
        if begun:
            received += reader.read_long_value()
            if not reader.long_value_bytes_left:
                rest = reader.next()
    assert received == value and rest == [None, note, None] and not reader.buffer
