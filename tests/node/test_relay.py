"""Values too long to be stored are relayed as they arrive, over loopback sockets with scripted peers."""

import asyncio
import itertools
import socket
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from peers import MISS, PATIENCE, Bench, Cache, Caller, HttpPeer, entry, hit, http, router, wait_until

from rainhitch.node import connection_pool
from rainhitch.node import relay as relay_module
from rainhitch.node.client_connection import ClientConnection
from rainhitch.protocol import resp
from rainhitch.protocol.resp2_reader import Resp2Reader

BRIEF_S = 0.1  # in which nothing may happen
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


def script_that_holds_the_first(short: dict[bytes, bytes]) -> tuple[list[asyncio.StreamWriter], Script]:
    """Returns a script that sends nothing for i1, and the list of the connections on which i1 came.

    It answers the ids in `short` as given there, and all others with a long value.
    """
    first: list[asyncio.StreamWriter] = []

    def answer(parts: Any, line: asyncio.StreamWriter) -> bytes | None:
        if parts[2] == b"i1":
            first.append(line)
            return None
        return short.get(parts[2], HEAD + VALUE + TAIL)

    return first, answer


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


def limit_send_buffer(client: ClientConnection) -> None:
    """Makes the system accept little for a client that does not read."""
    assert client.transport is not None
    client.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)


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
    first, script = script_that_holds_the_first({b"i3": hit(b"third")})
    async with router(script) as bench:
        caller = await bench.caller()
        for name in (b"i1", b"i2", b"i3"):
            caller.get(name=name)
        # The long value is whole before the first answer comes; it is stored, as a command is behind it.
        await wait_until(lambda: first and bench.driver.metrics.served[0] == 2)
        first[0].write(hit(b"first"))
        assert [await caller.answer() for _ in range(3)] == [b"first", VALUE, b"third"]


async def test_the_last_answer_keeps_its_order_though_it_is_a_long_value() -> None:
    first, script = script_that_holds_the_first({})
    async with router(script) as bench:
        caller = await bench.caller()
        for name in (b"i1", b"i2"):
            caller.get(name=name)
        await wait_until(lambda: any(request.relay is not None for request in bench.driver.requests.values()))
        first[0].write(hit(b"first"))
        assert [await caller.answer() for _ in range(2)] == [b"first", VALUE]


async def test_a_long_value_for_which_there_is_no_memory_fails() -> None:
    first, script = script_that_holds_the_first({})
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


# A connection carries further commands behind a long value


async def test_requests_behind_a_long_value_that_breaks_off_are_answered() -> None:
    """Guards against lost requests: a truncated value has to end its connection, with all that is behind it.

    A value with commands behind it is stored until it is whole; one that breaks off costs an attempt.
    """
    lines: list[asyncio.StreamWriter] = []

    def script(asked: Any, line: asyncio.StreamWriter) -> bytes | None:
        if asked[2] != b"i1":
            return hit(b"short")
        lines.append(line)
        return HEAD + VALUE[: SIZE // 2] if len(lines) == 1 else HEAD + VALUE + TAIL

    def two_servers(cache: Cache, origin: HttpPeer) -> list[dict[str, Any]]:
        return [
            entry("c0", cache.address),
            entry("c1", cache.address),
            entry("o", origin.address, model="origin"),
        ]

    async with router(script, entries=two_servers) as bench:
        caller = await bench.caller()
        for name in (b"i0", b"i1", b"i2", b"i3"):
            caller.get(name=name)
        await wait_until(lambda: lines and bench.clients.buffered_bytes > SIZE)
        await wait_until(lambda: bench.driver.metrics.served[0] == 3)
        lines[0].transport.abort()  # the read is sent again, to the other server
        assert [await caller.answer() for _ in range(4)] == [b"short", VALUE, b"short", b"short"]
        assert bench.driver.metrics.served[0] == 4 and not bench.driver.metrics.failed[0]
        await wait_until(lambda: not bench.driver.requests and not bench.clients.buffered_bytes)


@pytest.mark.parametrize("breaks_off", [False, True])
async def test_commands_that_come_during_a_long_value_are_read_once_it_is_whole(breaks_off: bool) -> None:
    """Guards against lost requests: an unread command may be sent again on another connection."""
    asked, script = silent_script()
    async with router(script) as bench:
        caller = await bench.caller()
        caller.get()
        (line,) = await wait_until(lambda: asked)
        line.write(HEAD + VALUE[:1000])
        await read_exactly(caller, 500)
        caller.get(name=b"i2")
        await asyncio.sleep(BRIEF_S)
        [client] = bench.clients.connections
        assert len(asked) == 1 and client.command_count == 1 and not client.reader.buffer
        if breaks_off:
            line.transport.abort()
            assert len(await read_to_end(caller)) < SIZE
            await wait_until(lambda: not bench.clients.connections)
            assert len(bench.cache.received) == 1
        else:
            line.write(VALUE[1000:] + TAIL)
            (_, again) = await wait_until(lambda: asked[1:] and asked)
            again.write(hit(b"second"))
            rest = VALUE[500 - len(b"$300000\r\n") :] + b"\r\n"
            assert await read_exactly(caller, len(rest)) == rest
            assert await caller.answer() == b"second"


async def test_a_command_of_which_half_is_read_counts_as_behind_a_long_value() -> None:
    asked, script = silent_script()
    async with router(script) as bench:
        caller = await bench.caller()
        whole = resp.command(b"C.GET", b"k", b"i2", b"c=read,t=acme,d=9000")
        caller.get()
        caller.writer.write(whole[:20])
        (line,) = await wait_until(lambda: asked)
        [client] = bench.clients.connections
        await wait_until(lambda: client.reader.buffer)
        line.write(HEAD + VALUE[:1000])
        await asyncio.sleep(BRIEF_S)
        caller.writer.write(whole[20:])
        (_, second) = await wait_until(lambda: asked[1:] and asked)
        second.write(hit(b"second"))
        line.write(VALUE[1000:] + TAIL)
        assert [await caller.answer(), await caller.answer()] == [VALUE, b"second"]


async def test_responses_before_a_value_that_breaks_off_reach_a_slow_reader() -> None:
    """Guards against lost responses: the abort of the connection dropped what was not sent yet."""
    first = b"x" * 40_000
    lines: list[asyncio.StreamWriter] = []

    def script(asked: Any, line: asyncio.StreamWriter) -> bytes | None:
        if asked[2] == b"i1":
            return hit(first)
        lines.append(line)
        return HEAD + VALUE[:20_000]

    async with router(script) as bench:
        caller, _ = await slow_caller(bench)
        await wait_until(lambda: bench.clients.connections)
        [client] = bench.clients.connections
        limit_send_buffer(client)
        caller.get(name=b"i1")
        caller.get(name=b"i2")
        await wait_until(lambda: client.responses.slots and client.responses.slots[0].relay is not None)
        await wait_until(lambda: client.responses.slots[0].relay.head_written)  # type: ignore[union-attr]
        assert client.has_unsent_bytes()
        lines[0].transport.abort()
        received = await read_to_end(caller)
        assert received == b"$40000\r\n%b\r\n$%d\r\n%b" % (first, SIZE, VALUE[:20_000])


async def test_a_stored_value_that_its_server_writes_slowly_is_not_cut_off() -> None:
    """Guards against a failed request: the first attempt's timeout is for a server that does not answer.

    Nor does the size of a value tell how loaded its server is: the next request is not rejected.
    """
    asked, silent = silent_script()

    def script(parts: Any, line: asyncio.StreamWriter) -> bytes | None:
        return hit(b"quick") if parts[1] == b"quick" else silent(parts, line)

    async with router(script) as bench:
        caller = await bench.caller()
        for number in range(20):  # after these the timeout of a first attempt is the shortest, 1.25 s
            caller.get(b"quick", b"quick%d" % number)
            assert await caller.answer() == b"quick"
        bench.cache.received.clear()
        caller.get()
        caller.get(name=b"i2")
        first, second = await wait_until(lambda: asked[1:] and asked)
        second.write(hit(b"short"))
        piece = SIZE // 8
        first.write(HEAD)
        for start in range(0, SIZE, piece):
            first.write(VALUE[start : start + piece])
            await asyncio.sleep(0.2)
        first.write(TAIL)
        assert [await caller.answer(), await caller.answer()] == [VALUE, b"short"]
        assert len(bench.cache.received) == 2
        caller.get(b"quick", b"next")
        assert await caller.answer() == b"quick"


async def test_a_stored_value_waits_for_memory_that_others_hold() -> None:
    asked, script = silent_script()
    async with router(script, memory=4 * SIZE) as bench:
        callers = [await bench.caller() for _ in range(3)]
        for number, caller in enumerate(callers):
            caller.get(name=b"long%d" % number)
            await wait_until(lambda number=number: len(asked) == 2 * number + 1)  # type: ignore[misc]
            caller.get(name=b"short%d" % number)
            await wait_until(lambda number=number: len(asked) == 2 * number + 2)  # type: ignore[misc]
        for line in asked[::2]:
            line.write(HEAD + VALUE[: SIZE // 2])
        await wait_until(lambda: bench.clients.buffered_bytes >= SIZE)
        await asyncio.sleep(BRIEF_S)
        assert bench.clients.buffered_bytes < 2 * SIZE  # half of the memory is kept for other responses
        for line in asked[::2]:
            line.write(VALUE[SIZE // 2 :] + TAIL)
        for line in asked[1::2]:
            line.write(hit(b"short"))
        for caller in callers:
            assert [await caller.answer(), await caller.answer()] == [VALUE, b"short"]
        await wait_until(lambda: not bench.clients.buffered_bytes and not bench.driver.requests)


async def test_a_client_that_leaves_while_its_value_is_stored_frees_the_memory() -> None:
    asked, script = silent_script()
    async with router(script) as bench:
        caller = await bench.caller()
        caller.get()
        caller.get(name=b"i2")
        first, second = await wait_until(lambda: asked[1:] and asked)
        first.write(HEAD + VALUE[:1000])
        await wait_until(lambda: bench.clients.buffered_bytes > SIZE)
        caller.writer.transport.abort()
        await wait_until(lambda: bench.cache.ended == 1)  # not read on for a client that has left
        assert not bench.clients.buffered_bytes
        second.write(hit())
        await wait_until(lambda: not bench.driver.requests and bench.pools.open_count() == 1)


async def test_a_slow_reader_gets_a_stored_value_in_pieces() -> None:
    """Guards against an abort of a client that reads steadily: the time limit is on each piece."""
    asked, script = silent_script()
    async with router(script) as bench:
        caller, _ = await slow_caller(bench)
        caller.get()
        caller.get(name=b"i2")
        first, second = await wait_until(lambda: asked[1:] and asked)
        [client] = bench.clients.connections
        limit_send_buffer(client)
        first.write(HEAD + VALUE + TAIL)
        await wait_until(lambda: client.responses.write_buffer_full)
        assert client.transport is not None and client.transport.get_write_buffer_size() < SIZE // 2
        assert bench.clients.buffered_bytes >= SIZE
        second.write(hit(b"short"))
        assert [await caller.answer(), await caller.answer()] == [VALUE, b"short"]
