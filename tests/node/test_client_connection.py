"""One client connection over loopback sockets: fairness, memory limits, and data after the last response."""

import pytest
from peers import hit, router, wait_until

from rainhitch.node import client_connection as client_module
from rainhitch.node import client_socket
from rainhitch.node.client_connection import ClientConnection
from rainhitch.protocol import resp


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
        assert max(turns) <= client_module.MAX_COMMANDS_PER_TURN and sum(turns) == 1000


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
