"""One client connection over loopback sockets: fairness, memory limits, and data after the last response."""

import asyncio
import os
import socket
from functools import partial

import pytest
from peers import Bench, Caller, hit, router, wait_until

from rainhitch.node import client_connections, client_socket
from rainhitch.node.client_commands import ClientCommands
from rainhitch.node.client_connection import ClientConnection
from rainhitch.node.client_events import ClientEvent
from rainhitch.node.close_reason import CloseReason
from rainhitch.node.response_queue import MAX_WRITE_BYTES
from rainhitch.node.turn_budget import MAX_COMMANDS_PER_TURN, TURN_SHARE_COMMANDS
from rainhitch.protocol import resp

INCOMPLETE_WRITE = b"*5\r\n$5\r\nC.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$5\r\nc=put\r\n$65536\r\n" + bytes(65_500)
TOO_LARGE_COMMAND = resp.command(*[bytes(64 << 10)] * 5)  # each part may be so large, the whole may not
HANDLED = {"b'v'", "BUSY"}  # responses to a read that was handled: served, or rejected by a decision


async def test_what_is_read_after_the_last_answer_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client that kept sending after its last response must not be read without limit.

    The router read it at full speed for a second.
    """
    monkeypatch.setattr(client_socket, "MAX_LINGER_BYTES", 1 << 16)
    async with router() as bench:
        caller = await bench.caller()
        caller.writer.write(b"*5\r\n$5\r\nC.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$5\r\nc=put\r\n$62914560\r\n")
        (client,) = await wait_until(lambda: list(bench.clients.connections))
        caller.writer.write(bytes(16 << 20))
        assert str(await caller.answer()) == "ERR Protocol error: invalid or oversized length"
        await wait_until(lambda: client not in bench.clients.connections)
        assert client.lingered_bytes <= (1 << 16) + (256 << 10)
        assert not bench.clients.activity.lingering and bench.clients.buffered_bytes == 0


async def test_hundreds_of_commands_at_once_do_not_starve_other_clients() -> None:
    """A client sends 1000 commands at once: only a few of them may be handled in each event loop turn."""
    async with router() as bench:
        greedy, usual = await bench.caller(), await bench.caller()
        usual.send(b"PING")
        assert await usual.answer() == b"PONG"
        turns: list[int] = []
        handle_commands = ClientConnection._handle_commands

        def counted(self: ClientConnection, max_commands: int) -> int:
            turns.append(handle_commands(self, max_commands))
            return turns[-1]

        ClientConnection._handle_commands = counted  # type: ignore[method-assign]
        try:
            greedy.writer.write(resp.command(b"PING") * 1000)
            for _ in range(1000):
                assert await greedy.answer() == b"PONG"
        finally:
            ClientConnection._handle_commands = handle_commands  # type: ignore[method-assign]
        assert max(turns) <= MAX_COMMANDS_PER_TURN and sum(turns) == 1000


async def test_bursts_of_many_clients_do_not_make_a_turn_long() -> None:
    """Hundreds of clients send bursts at once: every other client waited for turns with 16 commands of each.

    A turn handles its share, and one command of each further connection.
    """
    async with router() as bench:
        client_count = 3 * TURN_SHARE_COMMANDS // MAX_COMMANDS_PER_TURN
        callers = [await bench.caller() for _ in range(client_count)]
        await wait_until(lambda: len(bench.clients.connections) == client_count)
        loop = asyncio.get_running_loop()
        handled = 0
        turns: list[int] = []

        def next_turn() -> None:
            nonlocal handled
            turns.append(handled)
            handled = 0
            loop.call_soon(next_turn)

        handle = ClientCommands.handle

        def counted(self: ClientCommands, parts: list[bytes], unread_ms: int) -> bool:
            nonlocal handled
            handled += 1
            return handle(self, parts, unread_ms)

        loop.call_soon(next_turn)
        ClientCommands.handle = counted  # type: ignore[method-assign]
        try:
            for caller in callers:
                # Sent past the event loop, so that all are read in the same turn.
                with socket.socket(fileno=os.dup(caller.writer.get_extra_info("socket").fileno())) as raw:
                    raw.send(resp.command(b"PING") * 64)
            for caller in callers:
                for _ in range(64):
                    assert await caller.answer() == b"PONG"
        finally:
            ClientCommands.handle = handle  # type: ignore[method-assign]
        assert sum(turns) + handled == 64 * client_count
        assert max(turns) <= TURN_SHARE_COMMANDS + MAX_COMMANDS_PER_TURN + client_count


async def test_what_a_slow_reader_has_not_read_is_written_in_bounded_pieces() -> None:
    """Memory grew past what was counted, to over the limit of a process with 240 clients that read slowly.

    The transport keeps all that is written at once until its last byte is sent, and counts only the rest.
    """
    slow: list[asyncio.StreamWriter] = []

    def script(asked: list[bytes], line: asyncio.StreamWriter) -> bytes | None:
        if asked[2] == b"slow":
            slow.append(line)
            return None
        return hit(bytes(60_000))

    async with router(script) as bench:
        caller = await bench.caller()
        for name in (b"slow", *(b"i%d" % n for n in range(7))):
            caller.get(name=name)
        (client,) = await wait_until(lambda: list(bench.clients.connections))
        metrics = bench.driver.metrics
        await wait_until(lambda: metrics.served[0] + metrics.rejected[0] == 7)
        assert metrics.served[0] >= 3
        transport = client.responses.transport
        assert transport is not None
        written: list[int] = []

        class CountingTransport:
            def write(self, data: bytes) -> None:
                written.append(len(data))
                transport.write(data)

        client.responses.transport = CountingTransport()
        slow[0].write(hit(bytes(60_000)))
        answers = [await caller.answer() for _ in range(8)]
        assert (
            answers.count(bytes(60_000))
            == metrics.served[0]
            == 1 + sum(size > 60_000 for size in written[1:])
        )
        assert max(written) <= MAX_WRITE_BYTES


async def test_what_a_slow_reader_has_read_by_now_is_counted_no_longer() -> None:
    """Bytes that had been sent meanwhile stayed counted until the client's next command.

    Hundreds of clients that had read their answers slowly kept the memory of all clients used up.
    """
    async with router(lambda asked, line: hit(bytes(40_000))) as bench:
        with socket.socket() as raw:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            raw.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(raw, ("127.0.0.1", bench.port))
            (client,) = await wait_until(lambda: list(bench.clients.connections))
            assert client.transport is not None
            connection = client.transport.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            await loop.sock_sendall(raw, reads(1))
            await wait_until(lambda: bench.clients.buffered_bytes)
            received = 0
            while received < len(b"$40000\r\n") + 40_000 + len(b"\r\n"):
                received += len(await loop.sock_recv(raw, 65_536))
            assert (
                not client.responses.write_buffer_full
            )  # it never was: the rest is under the high-water mark
            await wait_until(lambda: not bench.clients.buffered_bytes)


async def test_answers_whose_turn_has_not_come_are_counted_and_bounded() -> None:
    """Responses held behind a slow one must count against the memory limit.

    Uncounted, they could use any amount of memory. Responses beyond the limit fail.
    """
    value = bytes(60_000)

    async with router(
        lambda asked, line: None if asked[2] == b"slow" else hit(value), memory=200_000
    ) as bench:
        caller = await bench.caller()
        caller.get(name=b"slow")
        seen = ["slow"]
        for n in range(8):
            seen.append(f"i{n}")
            caller.get(name=b"i%d" % n)
            await wait_until(
                lambda: len(bench.cache.received) == len(seen) and len(bench.driver.requests) == 1
            )
        assert bench.clients.buffered_bytes <= 200_000
        bench.cache.lines[0].write(hit(b"at last"))
        answers = [await caller.answer() for _ in range(9)]
        assert answers[0] == b"at last" and answers.count(value) == 3
        assert [str(answer) for answer in answers[1:] if answer != value] == ["ERR failed"] * 5
        await wait_until(lambda: bench.clients.buffered_bytes == 0)


async def test_a_command_without_parts_gets_an_error() -> None:
    async with router() as bench:
        caller = await bench.caller()
        caller.writer.write(b"*0\r\n")
        assert str(await caller.answer()).startswith("ERR ")


def reads(count: int, name_bytes: int = 0) -> bytes:
    """Encodes reads with ids of their own, each id of `name_bytes` at least."""
    ids = [(b"%d" % number).rjust(name_bytes, b"i") for number in range(count)]
    return b"".join(resp.command(b"C.GET", b"k", one, b"c=read,t=acme,d=9000") for one in ids)


def holds(bench: Bench, size_bytes: int) -> bool:
    """Returns whether the router counts this many bytes as buffered for clients."""
    return bench.clients.buffered_bytes == size_bytes


async def read_all(caller: Caller) -> list[str]:
    """Returns the answers up to the close of the connection, as text."""
    answers = []
    while (answer := await caller.answer()) is not None:
        answers.append(str(answer))
    return answers


async def test_commands_sent_at_once_are_served_while_stopped_clients_hold_the_memory() -> None:
    """Whole commands sent at once were dropped with no response while others used up the buffer memory.

    Clients that stopped within a large command held the memory. The client that was read next lost what it
    had sent behind its first 16 commands, and its connection. Clients that have stopped must be ended.
    """
    async with router(memory=200_000) as bench:
        stopped = [await bench.caller() for _ in range(3)]
        for number, caller in enumerate(stopped, 1):
            caller.writer.write(INCOMPLETE_WRITE)
            held_bytes = number * len(INCOMPLETE_WRITE)
            await wait_until(partial(holds, bench, held_bytes))
        usual = await bench.caller()
        usual.writer.write(reads(200))
        assert {str(await usual.answer()) for _ in range(200)} <= HANDLED
        assert not bench.clients.events.counts[ClientEvent.REJECTED_COMMAND]
        await usual.answer_to_ping()
        assert await read_all(stopped[0]) == ["ERR out of memory"]
        await wait_until(partial(holds, bench, 2 * len(INCOMPLETE_WRITE)))
        stopped[0].writer.close()
        await wait_until(lambda: bench.driver.counts.counters.get("closed") == {CloseReason.OUT_OF_MEMORY: 1})


async def fill_memory(bench: Bench, large_responses: int) -> None:
    """Makes the router hold large responses behind one that does not come, so that no client can be ended."""
    caller = await bench.caller()
    caller.get(name=b"slow")
    for number in range(large_responses):
        caller.get(name=b"large%d" % number)
    await wait_until(lambda: len(bench.cache.received) == 1 + large_responses)
    await wait_until(lambda: len(bench.driver.requests) == 1)


def answer_by_name(asked: list[bytes], line: asyncio.StreamWriter) -> bytes | None:
    """Answers a read by the name of its id."""
    if asked[2] == b"slow":
        return None
    return hit(bytes(60_000) if asked[2].startswith(b"large") else b"v")


@pytest.mark.parametrize(("tail", "ending"), [(b"", []), (INCOMPLETE_WRITE, ["ERR out of memory"])])
async def test_whole_commands_are_rejected_one_by_one_if_no_memory_can_be_freed(
    tail: bytes, ending: list[str]
) -> None:
    """Whole commands sent at once were dropped with no response if memory was used up by responses.

    Each must be rejected, and the connection stays open unless an incomplete command takes memory too.
    """
    async with router(answer_by_name, memory=200_000) as bench:
        await fill_memory(bench, 3)
        usual = await bench.caller()
        usual.writer.write(reads(200, 250) + tail)
        started = MAX_COMMANDS_PER_TURN
        for _ in range(started):
            assert str(await usual.answer()) in HANDLED
        for _ in range(200 - started):
            assert str(await usual.answer()) == "BUSY"
        if ending:
            assert await read_all(usual) == ending
        else:
            await usual.answer_to_ping()
        assert bench.clients.events.counts[ClientEvent.REJECTED_COMMAND] == 200 - started


@pytest.mark.parametrize(
    ("tail", "ending"),
    [
        (TOO_LARGE_COMMAND, ["ERR Protocol error: too large"]),
        (b"noise\r\n", ["ERR Protocol error: expected an array of bulk strings"]),
        (INCOMPLETE_WRITE, ["ERR no whole command in time"]),
        (resp.command(b"QUIT") + reads(3), ["b'OK'", "BUSY", "BUSY", "BUSY"]),
    ],
    ids=["too large", "framing error", "time-out", "quit"],
)
async def test_each_command_has_one_response_whatever_ends_the_connection(
    monkeypatch: pytest.MonkeyPatch, tail: bytes, ending: list[str]
) -> None:
    """A close must neither drop whole commands that were received nor answer one of them twice."""
    monkeypatch.setattr(client_connections, "UNFINISHED_COMMAND_LIMIT_S", 0.3)
    async with router() as bench:
        caller = await bench.caller()
        caller.writer.write(reads(100) + tail)
        answers = await read_all(caller)
        assert set(answers[:100]) <= HANDLED
        assert answers[100:] == ending
