"""The fake cache node: what it answers and records, and its faults, seen from a raw socket."""

import asyncio
import time

import pytest
from peers import wait_until
from raw_connection import cache_node, connect


async def test_a_node_misses_what_it_lacks_and_serves_what_was_stored_to_the_request_that_reads_it() -> None:
    async with cache_node() as node:
        connection = await connect(node.endpoints[0])
        connection.get()
        assert await connection.read() == b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
        node.store("k")
        connection.get(request_id="i2")
        got = await connection.read()
        assert got.startswith(b"*3\r\n$64\r\ni2:k:n0:") and got.endswith(b"$3\r\nhit\r\n$-1\r\n")
        node.invalidate("k")
        connection.get(request_id="i3")
        assert b"miss" in await connection.read()
        assert [row.to_row()["outcome"] for row in node.attempts] == ["miss", "served", "miss"]
        assert all(row.ended >= row.last >= row.first > 0 for row in node.attempts)


async def test_pipelined_commands_are_answered_in_their_order() -> None:
    async with cache_node() as node:
        node.store("k")
        connection = await connect(node.endpoints[0])
        for n in range(3):
            connection.get(request_id=f"p{n}")
        got = b""
        while got.count(b"hit") < 3:
            got += await connection.read()
        assert got.index(b"p0:") < got.index(b"p1:") < got.index(b"p2:")


async def test_a_command_in_two_parts_is_timed_from_its_first_byte_to_its_last() -> None:
    async with cache_node() as node:
        connection = await connect(node.endpoints[0])
        connection.send("*4\r\n$5\r\nC.GET\r\n$1\r\nk\r\n")
        await asyncio.sleep(0.1)
        connection.send("$2\r\ni1\r\n$4\r\nd=90\r\n")
        assert b"miss" in await connection.read()
        assert node.attempts[0].last - node.attempts[0].first > 80_000_000


async def test_a_command_in_a_form_that_no_client_sends_gets_a_syntax_error_and_is_counted() -> None:
    """A router writes a command in a form that no client sends.

    The node answers with a syntax error and counts it for the report. The connection goes on.
    """
    async with cache_node() as node:
        connection = await connect(node.endpoints[0])
        connection.send("*1\r\n$5\r\nC.GET\r\n")
        assert await connection.read() == b"-SYNTAX\r\n" and node.statistics.syntax_errors == 1
        connection.send("*1\r\n$4\r\nPING\r\n")
        assert await connection.read() == b"+PONG\r\n" and node.statistics.probes == 1


async def test_a_killed_node_resets_what_is_open_and_refuses_what_is_new() -> None:
    """A node's process dies with requests in work.

    Routers see a reset at once, as from a real process, and the record has the request as reset.
    """
    async with cache_node(work_us=10e6) as node:
        node.store("k")
        connection = await connect(node.endpoints[0])
        connection.get()
        await wait_until(lambda: node.attempts)
        node.kill()
        assert await connection.read() == b"RESET"
        with pytest.raises(ConnectionRefusedError):
            await connect(node.endpoints[0])
        assert node.attempts[0].outcome == "reset" and node.attempts[0].ended


async def test_a_node_that_starts_again_has_its_address_no_memory_and_part_of_its_capacity() -> None:
    """A node is back after its process died: at the same address, but empty and slow at first."""
    async with cache_node() as node:
        node.store("k")
        before = node.endpoints
        node.kill()
        node.start()
        connection = await connect(node.endpoints[0])
        connection.get()
        assert b"miss" in await connection.read() and node.endpoints == before
        assert node.work.model.capacity_fraction(time.monotonic_ns()) < 0.5 and node.attempts[-1].cold


async def test_a_draining_node_finishes_its_work_and_rejects_new_requests() -> None:
    """A node is shut down in order: what it has accepted is served, new requests are rejected."""
    async with cache_node(work_us=200_000.0) as node:
        node.store("k")
        first = await connect(node.endpoints[0])
        second = await connect(node.endpoints[0])
        first.get(request_id="old")
        await wait_until(lambda: node.attempts)
        node.drain()
        second.get(request_id="new")
        assert await second.read() == b"-BUSY\r\n"
        assert b"old:k" in await first.read()


async def test_a_connection_over_the_limit_gets_busy_and_is_closed() -> None:
    """More connections come than a node takes.

    The one too many gets BUSY and is closed, and one that comes after another has closed is served.
    """
    async with cache_node(connection_limit=2) as node:
        kept = [await connect(node.endpoints[0]) for _ in range(2)]
        await wait_until(lambda: len(node.connections) == 2)
        third = await connect(node.endpoints[1])
        third.get()
        assert await third.read() == b"-BUSY\r\n" and await third.read() == b""
        kept[0].writer.close()
        await wait_until(lambda: len(node.connections) == 1)
        fourth = await connect(node.endpoints[1])
        fourth.get()
        assert b"miss" in await fourth.read() and node.statistics.rejected_connections == 1


async def test_a_new_connection_and_a_health_check_cost_work() -> None:
    async with cache_node(cores=1, connection_work_us=200_000.0, probe_work_us=100_000.0) as node:
        connection = await connect(node.endpoints[0])
        connection.get()
        assert b"miss" in await connection.read()
        assert node.work.overhead_us == 200_000.0
        connection.send("*1\r\n$4\r\nPING\r\n")
        assert await connection.read() == b"+PONG\r\n" and node.work.overhead_us == 300_000.0


async def test_an_idle_connection_is_closed_after_the_keepalive_time() -> None:
    async with cache_node(keepalive_s=0.2) as node:
        connection = await connect(node.endpoints[0])
        assert await connection.read() == b""


async def test_corrupt_answers_are_none_that_the_protocol_allows() -> None:
    """A node's program is broken and writes what is no answer of the protocol, in several forms.

    None of them may look like a miss.
    """
    async with cache_node() as node:
        node.work.corrupt_fraction = 1.0
        seen = set()
        for n in range(12):
            connection = await connect(node.endpoints[0])
            connection.get(request_id=f"i{n}")
            seen.add(await connection.read())
        assert len(seen) > 2 and not any(answer.endswith(b"$4\r\nmiss\r\n$-1\r\n") for answer in seen)
        assert {row.outcome for row in node.attempts} == {"spoilt"}


async def test_a_cold_node_collapses_under_load_and_a_warm_one_does_not() -> None:
    """A node that has just started is sent a warm node's share of requests.

    It goes down and stays down. The same requests do a warm node no harm.
    """
    async with cache_node(work_us=400_000.0, cores=1, collapse_factor=2.0) as node:
        collapsed_uids: list[str] = []
        node.on_collapse = lambda collapsed: collapsed_uids.append(collapsed.uid)
        for name in "abcd":
            node.store(name)
        connection = await connect(node.endpoints[0])
        for n in range(12):
            connection.get("abcd"[n % 4], f"warm{n}")
        await wait_until(lambda: len(node.attempts) == 12)
        assert not collapsed_uids
        node.kill()
        node.start()
        for name in "abcd":
            node.store(name)
        connection = await connect(node.endpoints[0])
        for n in range(12):
            connection.get("abcd"[n % 4], f"cold{n}")
        await wait_until(lambda: collapsed_uids)
        assert collapsed_uids == ["n0"] and not node.up and len(node.statistics.collapsed_at_ns) == 1
        with pytest.raises(ConnectionRefusedError):
            await connect(node.endpoints[0])
