"""Each fault does what it says, seen from a raw socket at the stand-in."""

import asyncio
import contextlib
import functools
import socket
import time
from collections.abc import AsyncIterator
from typing import Any

import orjson
import pytest
from peers import PATIENCE, soon

from rainhitch.rehearsal.fakes.cache_node import CacheNode
from rainhitch.rehearsal.fakes.cache_node_work import CacheNodeSpec
from rainhitch.rehearsal.fakes.database import Database, DatabaseSpec
from rainhitch.rehearsal.fakes.datagrams import DatagramRelay
from rainhitch.rehearsal.fakes.discovery import DiscoveryAgent
from rainhitch.rehearsal.router_process import hold_port

BRIEF = 0.3  # s in which nothing may come


class Raw:
    """A raw socket to a stand-in."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def get(self, key: str = "k", id: str = "i1") -> None:
        words = ["C.GET", key, id, "c=read,t=a,d=900"]
        self.send(f"*{len(words)}\r\n" + "".join(f"${len(word)}\r\n{word}\r\n" for word in words))

    def send(self, text: str) -> None:
        self.writer.write(text.encode())

    async def read(self, size: int = 4096) -> bytes:
        """What comes next; b"" for an end, b"RESET" for a reset."""
        async with asyncio.timeout(PATIENCE):
            try:
                return await self.reader.read(size)
            except ConnectionResetError:
                return b"RESET"

    async def silent(self) -> bool:
        """Nothing comes for a while, not even an end."""
        try:
            async with asyncio.timeout(BRIEF):
                await self.reader.read(1)
        except TimeoutError:
            return True
        return False


async def dial(endpoint: str) -> Raw:
    host, _, port = endpoint.rpartition(":")
    async with asyncio.timeout(PATIENCE):
        return Raw(*await asyncio.open_connection(host, int(port)))


@contextlib.asynccontextmanager
async def node(works: float = 1000.0, routers: int = 2, **changes: Any) -> AsyncIterator[CacheNode]:
    one = CacheNode("n0", CacheNodeSpec(**{"memory_keys": 4, **changes}), routers, lambda id: works)
    try:
        yield one
    finally:
        one.close()


@contextlib.asynccontextmanager
async def database(**changes: Any) -> AsyncIterator[Database]:
    one = Database(DatabaseSpec(**{"workers": 2, "time_ms": 5.0, **changes}), 2)
    try:
        yield one
    finally:
        one.close()


def fetch(id: str = "i1", key: str = "k", write: str = "") -> str:
    head = (
        f"{'PUT' if write else 'GET'} /{key} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {id}\r\nX-Call-Info: c=r,d=9"
    )
    return head + (f",k={write}\r\nContent-Length: 1\r\n\r\nv" if write else "\r\n\r\n")


async def test_a_node_misses_what_it_lacks_and_serves_what_was_stored_for_the_request_that_asks() -> None:
    async with node() as one:
        line = await dial(one.endpoints[0])
        line.get()
        assert await line.read() == b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
        one.store("k")
        line.get(id="i2")
        got = await line.read()
        assert got.startswith(b"*3\r\n$64\r\ni2:k:n0:") and got.endswith(b"$3\r\nhit\r\n$-1\r\n")
        one.invalidate("k")
        line.get(id="i3")
        assert b"miss" in await line.read()
        assert [row.to_row()["outcome"] for row in one.attempts] == ["miss", "served", "miss"]
        assert all(row.ended >= row.last >= row.first > 0 for row in one.attempts)


async def test_commands_behind_one_another_are_answered_in_their_order() -> None:
    async with node() as one:
        one.store("k")
        line = await dial(one.endpoints[0])
        for n in range(3):
            line.get(id=f"p{n}")
        got = b""
        while got.count(b"hit") < 3:
            got += await line.read()
        assert got.index(b"p0:") < got.index(b"p1:") < got.index(b"p2:")


async def test_a_command_in_two_parts_is_timed_from_its_first_byte_to_its_last() -> None:
    async with node() as one:
        line = await dial(one.endpoints[0])
        line.send("*4\r\n$5\r\nC.GET\r\n$1\r\nk\r\n")
        await asyncio.sleep(0.1)
        line.send("$2\r\ni1\r\n$4\r\nd=90\r\n")
        assert b"miss" in await line.read()
        assert one.attempts[0].last - one.attempts[0].first > 80_000_000


async def test_what_no_client_sent_in_this_form_is_answered_syntax_and_counted() -> None:
    async with node() as one:
        line = await dial(one.endpoints[0])
        line.send("*1\r\n$5\r\nC.GET\r\n")
        assert await line.read() == b"-SYNTAX\r\n" and one.statistics.syntax_errors == 1
        line.send("*1\r\n$4\r\nPING\r\n")
        assert await line.read() == b"+PONG\r\n" and one.statistics.probes == 1


async def test_a_killed_node_resets_what_is_open_and_refuses_what_is_new() -> None:
    async with node(works=10e6) as one:
        one.store("k")
        line = await dial(one.endpoints[0])
        line.get()
        await soon(lambda: one.attempts)
        one.kill()
        assert await line.read() == b"RESET"
        with pytest.raises(ConnectionRefusedError):
            await dial(one.endpoints[0])
        assert one.attempts[0].outcome == "reset" and one.attempts[0].ended


async def test_a_node_that_starts_again_has_its_address_no_memory_and_part_of_its_capacity() -> None:
    async with node() as one:
        one.store("k")
        before = one.endpoints
        one.kill()
        one.start()
        line = await dial(one.endpoints[0])
        line.get()
        assert b"miss" in await line.read() and one.endpoints == before
        assert one.work.model.capacity_fraction(time.monotonic_ns()) < 0.5 and one.attempts[-1].cold


async def test_a_draining_node_finishes_its_work_and_turns_away_what_is_new() -> None:
    async with node(works=200_000.0) as one:
        one.store("k")
        first, second = await dial(one.endpoints[0]), await dial(one.endpoints[0])
        first.get(id="old")
        await soon(lambda: one.attempts)
        one.drain()
        second.get(id="new")
        assert await second.read() == b"-BUSY\r\n"
        assert b"old:k" in await first.read()


async def test_a_silent_link_answers_nothing_resets_nothing_and_no_connection_comes_up() -> None:
    async with node() as one:
        one.store("k")
        line, other = await dial(one.endpoints[0]), await dial(one.endpoints[1])
        one.links[0].set_silent(True)
        line.get(id="held")
        assert await line.silent() and not one.attempts
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(BRIEF):
                await asyncio.open_connection(*one.links[0].listener.address)
        other.get(id="free")  # the other router's link is whole
        assert b"free:k" in await other.read()
        one.links[0].set_silent(False)
        assert b"held:k" in await line.read()
        (await dial(one.endpoints[0])).get(id="after")
        await soon(lambda: {row.id for row in one.attempts} == {"held", "free", "after"})
        assert one.attempts[-1].last > one.attempts[1].first


async def test_an_answer_on_its_way_into_a_cut_comes_when_it_heals() -> None:
    async with node(works=50_000.0) as one:
        one.store("k")
        line = await dial(one.endpoints[0])
        line.get()
        await soon(lambda: one.attempts)
        one.links[0].set_silent(True)
        assert await line.silent() and one.attempts[0].outcome == "served"
        one.links[0].set_silent(False)
        assert b"i1:k" in await line.read()


async def test_what_was_given_up_in_a_cut_never_reaches_the_node() -> None:
    async with node() as one:
        line = await dial(one.endpoints[0])
        one.links[0].set_silent(True)
        line.get()
        assert await line.silent()
        line.writer.transport.abort()
        await soon(lambda: not one.links[0].connections)
        one.links[0].set_silent(False)
        (await dial(one.endpoints[0])).get(id="after")
        await soon(lambda: [row.id for row in one.attempts] == ["after"])


async def test_a_delayed_link_delays_both_ways_and_the_ledger_knows_when_it_was_sent() -> None:
    async with node() as one:
        line = await dial(one.endpoints[0])
        one.links[0].set_delay(0.2)
        begun = time.monotonic_ns()
        line.get()
        assert b"miss" in await line.read()
        assert time.monotonic_ns() - begun >= 390_000_000  # a loop's timers may be a millisecond early
        assert one.attempts[0].last - begun < 150_000_000


async def test_a_link_reset_breaks_its_connections_and_no_others() -> None:
    async with node() as one:
        line, other = await dial(one.endpoints[0]), await dial(one.endpoints[1])
        one.links[0].reset()
        assert await line.read() == b"RESET"
        other.get()
        assert b"miss" in await other.read()


async def test_a_full_table_turns_away_and_closes() -> None:
    async with node(connection_limit=2) as one:
        kept = [await dial(one.endpoints[0]) for _ in range(2)]
        await soon(lambda: len(one.connections) == 2)
        third = await dial(one.endpoints[1])
        third.get()
        assert await third.read() == b"-BUSY\r\n" and await third.read() == b""
        kept[0].writer.close()
        await soon(lambda: len(one.connections) == 1)
        fourth = await dial(one.endpoints[1])
        fourth.get()
        assert b"miss" in await fourth.read() and one.statistics.rejected_connections == 1


async def test_a_new_connection_and_a_probe_cost_work() -> None:
    async with node(cores=1, connection_work_us=200_000.0, probe_work_us=100_000.0) as one:
        line = await dial(one.endpoints[0])
        line.get()
        assert b"miss" in await line.read()
        assert one.work.overhead_us == 200_000.0
        line.send("*1\r\n$4\r\nPING\r\n")
        assert await line.read() == b"+PONG\r\n" and one.work.overhead_us == 300_000.0


async def test_an_idle_connection_is_closed_at_the_keepalive() -> None:
    async with node(keepalive_s=0.2) as one:
        line = await dial(one.endpoints[0])
        assert await line.read() == b""


async def test_spoilt_answers_are_none_that_the_protocol_knows() -> None:
    async with node() as one:
        one.work.corrupt_fraction = 1.0
        seen = set()
        for n in range(12):
            line = await dial(one.endpoints[0])
            line.get(id=f"i{n}")
            seen.add(await line.read())
        assert len(seen) > 2 and not any(one.endswith(b"$4\r\nmiss\r\n$-1\r\n") for one in seen)
        assert {row.outcome for row in one.attempts} == {"spoilt"}


async def test_a_cold_node_that_is_pushed_falls_over_and_a_warm_one_does_not() -> None:
    async with node(works=400_000.0, cores=1, collapse_factor=2.0) as one:
        fallen: list[str] = []
        one.on_collapse = lambda node: fallen.append(node.uid)
        for name in "abcd":
            one.store(name)
        line = await dial(one.endpoints[0])
        for n in range(12):
            line.get("abcd"[n % 4], f"warm{n}")
        await soon(lambda: len(one.attempts) == 12)
        assert not fallen
        one.kill()
        one.start()
        for name in "abcd":
            one.store(name)
        line = await dial(one.endpoints[0])
        for n in range(12):
            line.get("abcd"[n % 4], f"cold{n}")
        await soon(lambda: fallen)
        assert fallen == ["n0"] and not one.up and len(one.statistics.collapsed_at_ns) == 1
        with pytest.raises(ConnectionRefusedError):
            await dial(one.endpoints[0])


async def test_the_database_serves_turns_away_and_drops_repeats_of_an_order() -> None:
    async with database(workers=1, queue=0, time_ms=60.0) as one:
        stored: list[tuple[str, str]] = []
        voided: list[str] = []
        one.on_stored = lambda key, id: stored.append((key, id))
        one.on_written = voided.append
        line, other = await dial(one.endpoints[0]), await dial(one.endpoints[1])
        line.send(fetch("i1", "a%2Fb"))
        await soon(lambda: one.requests)
        other.send(fetch("i2"))
        busy = await other.read()
        assert busy.startswith(b"HTTP/1.1 503") and b"X-Rejected: 1" in busy
        got = await line.read()
        assert got.startswith(b"HTTP/1.1 200") and b"i1:a/b:database:" in got and stored == [("a/b", "i1")]
        for id in ("w1", "w2"):
            line.send(fetch(id, "m", write="order"))
            assert (await line.read()).startswith(b"HTTP/1.1 200")
        assert [row.executed for row in one.requests] == [False, False, True, False] and voided == ["m"]


async def test_what_nobody_waits_for_is_not_stored() -> None:
    async with database(time_ms=100.0) as one:
        stored: list[str] = []
        one.on_stored = lambda key, id: stored.append(id)
        line = await dial(one.endpoints[0])
        line.send(fetch("gone"))
        await soon(lambda: one.requests)
        line.writer.close()
        await soon(lambda: one.requests[0].outcome == "served")
        assert not stored


async def test_a_slow_database_takes_so_many_times_longer() -> None:
    async with database(time_ms=20.0) as one:
        line = await dial(one.endpoints[0])
        took = []
        for factor in (1.0, 10.0):
            one.slow(factor)
            begun = time.monotonic()
            line.send(fetch("soup"))  # whose work is 2.3 times the mean, far over noise
            await line.read()
            took.append(time.monotonic() - begun)
        assert took[1] > 3 * took[0] and one.reads_per_s == 10.0


async def test_a_stopped_database_resets_and_refuses_and_is_itself_again() -> None:
    async with database(time_ms=500.0) as one:
        line = await dial(one.endpoints[0])
        line.send(fetch())
        await soon(lambda: one.requests)
        one.stop()
        assert await line.read() == b"RESET"
        with pytest.raises(ConnectionRefusedError):
            await dial(one.endpoints[0])
        one.start()
        line = await dial(one.endpoints[0])
        one.slow(0.001)
        line.send(fetch("again"))
        assert b"200" in await line.read()


async def test_a_database_that_is_pressed_stops_by_itself() -> None:
    async with database(workers=1, time_ms=200.0, stop_after_s=0.5, stop_s=0.3, queue=1000) as one:
        line = await dial(one.endpoints[0])
        async with asyncio.timeout(PATIENCE):
            n = 0
            while not one.stops:
                line.send(fetch(f"i{n}"))
                n += 1
                await asyncio.sleep(0.01)
        assert one.stops[0][1] and n > 10
        await soon(lambda: not one.stopped)


def entry(uid: str, state: str = "Ready") -> dict[str, Any]:
    return {"uid": uid, "endpoint": "127.0.0.1:1", "state": state, "boot_ms": 0}


async def listed(line: Raw) -> Any:
    head, _, body = (await line.read()).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    return orjson.loads(body)


async def test_the_agent_gives_the_list_holds_a_watch_and_tells_what_changes() -> None:
    agent = DiscoveryAgent(0, [entry("a"), entry("b")])
    line = await dial(agent.endpoint)
    line.send("GET /api/targets HTTP/1.1\r\nHost: x\r\n\r\n")
    whole = await listed(line)
    assert whole["all"] and [one["uid"] for one in whole["targets"]] == ["a", "b"]
    line.send(f"GET /api/targets?from={whole['rev']}&hold_ms=60000 HTTP/1.1\r\nHost: x\r\n\r\n")
    assert await line.silent()
    agent.push(entry("b", "Terminating"))
    change = await listed(line)
    assert not change["all"] and [one["state"] for one in change["targets"]] == ["Terminating"]
    line.send(f"GET /api/targets?from={change['rev']}&hold_ms=50 HTTP/1.1\r\nHost: x\r\n\r\n")
    assert (await listed(line))["targets"] == []
    states = [(row["node"], row["state"]) for row in agent.rows if row["node"]]
    assert states == [("a", "Ready"), ("b", "Ready"), ("b", "Terminating")]
    agent.close()


async def test_a_silent_agent_answers_nothing_and_tells_nothing() -> None:
    agent = DiscoveryAgent(0, [entry("a")])
    line = await dial(agent.endpoint)
    line.send("GET /api/targets?from=1&hold_ms=60000 HTTP/1.1\r\nHost: x\r\n\r\n")
    await soon(lambda: agent.watches)
    agent.set_silent(True)
    agent.push(entry("a", "Gone"))
    other = await dial(agent.endpoint)
    other.send("GET /api/targets HTTP/1.1\r\nHost: x\r\n\r\n")
    assert await line.silent() and await other.silent() and not agent.rows
    agent.set_silent(False)
    again = await dial(agent.endpoint)
    again.send("GET /api/targets HTTP/1.1\r\nHost: x\r\n\r\n")
    assert (await listed(again))["targets"] == []  # who is gone is not on a whole list
    agent.close()


class Ear:
    """A router's end of the datagrams."""

    def __init__(self) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.setblocking(False)
        self.heard: list[tuple[bytes, Any]] = []
        asyncio.get_running_loop().add_reader(
            self.socket, lambda: self.heard.append(self.socket.recvfrom(512))
        )

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.close()


@contextlib.asynccontextmanager
async def ears() -> AsyncIterator[tuple[DatagramRelay, list[Ear]]]:
    carried, ends = DatagramRelay(3, 1, (0.0, 0.001), 0.0), [Ear() for _ in range(3)]
    carried.targets = {n: ear.socket.getsockname() for n, ear in enumerate(ends)}
    try:
        yield carried, ends
    finally:
        carried.close()
        for ear in ends:
            ear.close()


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


async def test_datagrams_arrive_from_the_senders_address_and_go_to_all_where_meant() -> None:
    async with ears() as (carried, ends):
        ends[0].socket.sendto(b"one", address(carried.addresses(0)[2]))
        await soon(lambda: ends[2].heard)
        assert ends[2].heard[0] == (b"one", address(carried.addresses(2)[0]))
        ends[1].socket.sendto(b"all", address(carried.addresses(1)[-1]))
        await soon(lambda: ends[0].heard and len(ends[2].heard) == 2)
        assert not ends[1].heard and carried.delivered == 3


def dropped(carried: DatagramRelay, count: int) -> bool:
    return carried.dropped == count


async def test_datagrams_are_lost_cut_off_late_or_too_long_on_cue() -> None:
    async with ears() as (carried, ends):
        to = address(carried.addresses(0)[1])
        for set_up in ("lost", "apart", "long"):
            carried.faults.loss_fraction = 1.0 if set_up == "lost" else 0.0
            carried.faults.isolated = {0} if set_up == "apart" else set()
            ends[0].socket.sendto(b"x" * (257 if set_up == "long" else 8), to)
            await soon(functools.partial(dropped, carried, 1 + ["lost", "apart", "long"].index(set_up)))
        carried.faults.extra_delay_s = 0.3
        begun = time.monotonic()
        ends[0].socket.sendto(b"late", to)
        await soon(lambda: ends[1].heard)
        assert time.monotonic() - begun >= 0.29 and len(ends[1].heard) == 1


def test_a_held_port_is_given_to_nobody_and_can_be_listened_on_again_and_again() -> None:
    """A router that starts seconds later found its port taken by a connection of another day."""
    held = [hold_port() for _ in range(200)]
    assert len({one.getsockname() for one in held}) == len(held)
    address = held[0].getsockname()
    for _ in range(2):
        with socket.create_server(address), socket.create_connection(address):
            pass
    with socket.socket() as plain, pytest.raises(OSError, match="in use"):
        plain.bind(address)
    for one in held:
        one.close()
