"""Deadlines where the process is held up at any reading of its clock, over loopback sockets."""

import asyncio
import socket
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st
from peers import Bench, hit, router, soon

from rainhitch.node.client_connection import ClientConnection
from rainhitch.node.deadlines import (
    ANSWER_DELIVERY_NS,
    DELAY_MEMORY_NS,
    HOST_DELAY_NS,
    MAX_RESERVE_DIVISOR,
    MAX_RESERVE_NS,
    MIN_NOTICED_DELAY_NS,
    MIN_RESERVE_NS,
    NS_PER_MS,
    PROTOCOL_SLACK_NS,
    DelayReserve,
)
from rainhitch.node.loop_lag import HEARTBEAT_NS, HEARTBEAT_TOLERANCE_NS
from rainhitch.node.read_flow import MAX_PIPELINED_COMMANDS
from rainhitch.protocol.resp import command

INFO = b"c=read,t=acme,d=%d"


NOW = 10**12
UNSEEN = HEARTBEAT_NS + HEARTBEAT_TOLERANCE_NS  # the longest hold-up that no heartbeat tells


def held_up(*delays: int) -> DelayReserve:
    made = DelayReserve()
    for delay in delays:
        made.delay_found(NOW, delay)
    return made


@given(wait=st.integers(2 * UNSEEN, 10_000 * NS_PER_MS), unseen=st.integers(0, UNSEEN), calm=st.booleans())
def test_an_unseen_hold_up_before_a_request_is_read_is_borne_by_the_slack(
    wait: int, unseen: int, calm: bool
) -> None:
    kept = (DelayReserve() if calm else held_up(HOST_DELAY_NS)).reserve_ns(NOW + 1, wait)
    assert unseen + wait - kept + ANSWER_DELIVERY_NS <= wait + PROTOCOL_SLACK_NS


@given(
    wait=st.integers(MIN_RESERVE_NS * MAX_RESERVE_DIVISOR, 10_000 * NS_PER_MS),
    late=st.integers(0, HOST_DELAY_NS),
)
def test_a_hold_up_behind_the_deadline_is_borne_by_the_reserve_once_one_was_found(
    wait: int, late: int
) -> None:
    assert (
        wait - held_up(MIN_NOTICED_DELAY_NS).reserve_ns(NOW + 1, wait) + late + ANSWER_DELIVERY_NS
        <= wait + PROTOCOL_SLACK_NS
    )


@given(
    longest=st.integers(HOST_DELAY_NS, MAX_RESERVE_NS),
    wait=st.integers(4 * MAX_RESERVE_NS, 10_000 * NS_PER_MS),
)
def test_longer_hold_ups_want_a_longer_reserve(longest: int, wait: int) -> None:
    kept = held_up(MIN_NOTICED_DELAY_NS, longest, MIN_NOTICED_DELAY_NS).reserve_ns(NOW + 1, wait)
    assert wait - kept + longest + ANSWER_DELIVERY_NS <= wait + PROTOCOL_SLACK_NS


@given(wait=st.integers(1, 10_000 * NS_PER_MS), delay=st.integers(0, 10_000 * NS_PER_MS))
def test_the_reserve_leaves_a_short_wait_its_greater_part(wait: int, delay: int) -> None:
    assert held_up(delay).reserve_ns(NOW + 1, wait) <= max(ANSWER_DELIVERY_NS, wait // MAX_RESERVE_DIVISOR)


def test_without_hold_ups_nothing_is_kept_but_the_way_back() -> None:
    assert (
        DelayReserve().reserve_ns(NOW, 500 * NS_PER_MS)
        == held_up(MIN_NOTICED_DELAY_NS - 1).reserve_ns(NOW, 500 * NS_PER_MS)
        == ANSWER_DELIVERY_NS
    )
    made = held_up(HOST_DELAY_NS)
    assert made.reserve_ns(NOW + DELAY_MEMORY_NS - 1, 500 * NS_PER_MS) == MIN_RESERVE_NS
    assert made.reserve_ns(NOW + DELAY_MEMORY_NS, 500 * NS_PER_MS) == ANSWER_DELIVERY_NS
    made.delay_found(NOW + DELAY_MEMORY_NS, MIN_NOTICED_DELAY_NS)  # the longer one is forgotten
    assert made.longest_delay_ns == MIN_NOTICED_DELAY_NS


class Readings:
    """Counts the readings of a router's clock, and does something behind one of them."""

    def __init__(self, bench: Bench, monkeypatch: pytest.MonkeyPatch) -> None:
        self.count = 0
        self.at = 0  # 0: never
        self.act: Callable[[], None] = lambda: None
        self.now = bench.driver.clock.now
        monkeypatch.setattr(bench.driver.clock, "now", self.read)
        monkeypatch.setattr(bench.pools.system, "now", self.read)

    def read(self) -> int:
        told = self.now()
        self.count += 1
        if self.count == self.at:
            self.act()
        return told


async def newcomer(bench: Bench) -> tuple[socket.socket, ClientConnection]:
    """A client, and its connection at the router."""
    before = set(bench.clients.open)
    raw = socket.create_connection(("127.0.0.1", bench.port))
    await soon(lambda: len(bench.clients.open) > len(before))
    [client] = set(bench.clients.open) - before
    return raw, client


async def test_nothing_is_begun_for_a_client_that_leaves_behind_any_reading_of_the_clock(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The process may be held up behind each of them: what was asked before it is old."""
    async with router() as bench:
        warm = await bench.caller()
        warm.get(name=b"warm")
        assert await warm.answer() == b"v"
        left_before = 0
        for at in range(1, 40):
            await asyncio.sleep(0.01)  # the connection to the cache server may be used again
            raw, client = await newcomer(bench)
            written = bench.pools.attempts_written
            seen: list[int] = []

            def leave(raw: socket.socket = raw, seen: list[int] = seen) -> None:
                raw.close()
                seen.append(bench.pools.attempts_written)

            with monkeypatch.context() as patched:
                readings = Readings(bench, patched)
                readings.at, readings.act = at, leave
                client.data_received(command(b"C.GET", b"k", b"leaves%d" % at, INFO % 900))
            raw.close()
            if seen == [written]:  # it left before anything was written
                left_before += 1
                assert bench.pools.attempts_written == written, f"reading {at}"
            await soon(lambda: not bench.driver.requests)
        assert left_before >= 4


async def test_a_newcomer_is_timed_from_when_an_accept_pause_began_where_the_system_does_not_tell(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with router(lambda asked, line: None) as bench:
        monkeypatch.setattr(bench.pools.system, "unread_ms", lambda transport: 0)
        monkeypatch.setattr(bench.clients.system, "unread_ms", lambda transport: 0)
        assert bench.clients.listener is not None
        bench.clients.listener.pause(0.2)
        await asyncio.sleep(0)
        with socket.create_connection(("127.0.0.1", bench.port)) as raw:
            raw.sendall(command(b"C.GET", b"k", b"waits", INFO % 900))
            await soon(lambda: bench.driver.requests)
            [held] = bench.driver.requests.values()
            assert (
                held.client_request.unread_ms >= 190 and held.client_request.wait_ms <= 900 - 190
            )  # a timer may be early by its rounding
            assert held.deadline_ns <= bench.driver.clock.now() + 710 * NS_PER_MS - ANSWER_DELIVERY_NS
        with socket.create_connection(("127.0.0.1", bench.port)) as raw:
            await asyncio.sleep(0.05)  # nobody waits any more: what it says later is new
            raw.sendall(command(b"C.GET", b"k", b"comes", INFO % 900))
            held = await soon(lambda: bench.driver.requests.get("comes"))
            assert held.client_request.wait_ms > 900 - 100


async def test_a_connection_is_not_used_that_its_server_may_close_during_a_hold_up() -> None:
    async with router(keepalive=300 * NS_PER_MS) as bench:
        bench.pools.set_max_idle(10.0)
        assert bench.pools.max_idle_s == pytest.approx(0.3 - HOST_DELAY_NS / 1e9)


async def test_what_lay_unread_because_reading_was_paused_is_not_charged_with_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A client that sends more at once than may be in work: what comes behind waits for those before it."""
    async with router(lambda asked, line: None if asked[2] == b"first" else hit()) as bench:
        raw, client = await newcomer(bench)
        raw.sendall(command(b"C.GET", b"k", b"first", INFO % 900))
        await soon(lambda: bench.driver.requests)
        raw.sendall(b"".join(command(b"PING") for _ in range(MAX_PIPELINED_COMMANDS)))
        await soon(lambda: client.flow.paused)
        raw.sendall(command(b"C.GET", b"k", b"behind", INFO % 900))
        await asyncio.sleep(0.1)  # it lies unread
        [line] = bench.cache.lines
        monkeypatch.setattr(bench.clients.system, "unread_ms", lambda transport: 700)
        line.write(hit())
        held = await soon(lambda: bench.driver.requests.get("behind") or bench.cache.got[-1][2] == b"behind")
        told = (
            bench.cache.got[-1][3]
            if held is True
            else held.client_request.info_for(held.client_request.wait_ms * NS_PER_MS)
        )
        assert int(told.rpartition(b"d=")[2]) > 900 - 100
        raw.close()
