"""Deadlines when the process may be delayed after any reading of its clock; partly over loopback sockets."""

import asyncio
import socket
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st
from peers import Bench, hit, router, wait_until

from rainhitch.node.client_connection import ClientConnection
from rainhitch.node.deadlines import (
    DELAY_RETENTION_NS,
    HOST_DELAY_NS,
    MAX_RESERVE_DIVISOR,
    MAX_RESERVE_NS,
    MIN_RECORDED_DELAY_NS,
    MIN_RESERVE_NS,
    NS_PER_MS,
    PROTOCOL_SLACK_NS,
    RESPONSE_DELIVERY_NS,
    DelayReserve,
)
from rainhitch.node.loop_lag import HEARTBEAT_NS, HEARTBEAT_TOLERANCE_NS
from rainhitch.node.read_flow import MAX_PIPELINED_COMMANDS
from rainhitch.protocol.resp import command

INFO = b"c=read,t=acme,d=%d"


NOW = 10**12
MAX_UNDETECTED_NS = HEARTBEAT_NS + HEARTBEAT_TOLERANCE_NS  # the longest delay that heartbeats miss


def reserve_after(*delays: int) -> DelayReserve:
    """Returns the reserve after delays of these lengths in ns, all recorded at NOW."""
    made = DelayReserve()
    for delay in delays:
        made.record_delay(NOW, delay)
    return made


@given(
    wait=st.integers(2 * MAX_UNDETECTED_NS, 10_000 * NS_PER_MS),
    undetected=st.integers(0, MAX_UNDETECTED_NS),
    calm=st.booleans(),
)
def test_an_undetected_delay_before_a_read_is_covered_by_the_protocols_slack(
    wait: int, undetected: int, calm: bool
) -> None:
    reserve = (DelayReserve() if calm else reserve_after(HOST_DELAY_NS)).reserve_ns(NOW + 1, wait)
    assert undetected + wait - reserve + RESPONSE_DELIVERY_NS <= wait + PROTOCOL_SLACK_NS


@given(
    wait=st.integers(MIN_RESERVE_NS * MAX_RESERVE_DIVISOR, 10_000 * NS_PER_MS),
    late=st.integers(0, HOST_DELAY_NS),
)
def test_a_delay_after_the_deadline_is_covered_by_the_reserve_once_one_was_detected(
    wait: int, late: int
) -> None:
    assert (
        wait - reserve_after(MIN_RECORDED_DELAY_NS).reserve_ns(NOW + 1, wait) + late + RESPONSE_DELIVERY_NS
        <= wait + PROTOCOL_SLACK_NS
    )


@given(
    longest=st.integers(HOST_DELAY_NS, MAX_RESERVE_NS),
    wait=st.integers(4 * MAX_RESERVE_NS, 10_000 * NS_PER_MS),
)
def test_longer_delays_get_a_longer_reserve(longest: int, wait: int) -> None:
    reserve = reserve_after(MIN_RECORDED_DELAY_NS, longest, MIN_RECORDED_DELAY_NS).reserve_ns(NOW + 1, wait)
    assert wait - reserve + longest + RESPONSE_DELIVERY_NS <= wait + PROTOCOL_SLACK_NS


@given(wait=st.integers(1, 10_000 * NS_PER_MS), delay=st.integers(0, 10_000 * NS_PER_MS))
def test_the_reserve_leaves_most_of_a_short_wait(wait: int, delay: int) -> None:
    assert reserve_after(delay).reserve_ns(NOW + 1, wait) <= max(
        RESPONSE_DELIVERY_NS, wait // MAX_RESERVE_DIVISOR
    )


def test_without_delays_only_the_answers_delivery_is_reserved() -> None:
    assert (
        DelayReserve().reserve_ns(NOW, 500 * NS_PER_MS)
        == reserve_after(MIN_RECORDED_DELAY_NS - 1).reserve_ns(NOW, 500 * NS_PER_MS)
        == RESPONSE_DELIVERY_NS
    )
    made = reserve_after(HOST_DELAY_NS)
    assert made.reserve_ns(NOW + DELAY_RETENTION_NS - 1, 500 * NS_PER_MS) == MIN_RESERVE_NS
    assert made.reserve_ns(NOW + DELAY_RETENTION_NS, 500 * NS_PER_MS) == RESPONSE_DELIVERY_NS
    made.record_delay(NOW + DELAY_RETENTION_NS, MIN_RECORDED_DELAY_NS)  # the longer delay has expired
    assert made.longest_delay_ns == MIN_RECORDED_DELAY_NS


class ClockReadings:
    """Counts the readings of a router's clock and calls `act` directly after reading number `at`."""

    def __init__(self, bench: Bench, monkeypatch: pytest.MonkeyPatch) -> None:
        self.count = 0
        self.at = 0  # 0: `act` is never called
        self.act: Callable[[], None] = lambda: None
        self.now = bench.driver.clock.now
        monkeypatch.setattr(bench.driver.clock, "now", self.read)
        monkeypatch.setattr(bench.pools.system, "now", self.read)

    def read(self) -> int:
        """Returns the time in ns."""
        now_ns = self.now()
        self.count += 1
        if self.count == self.at:
            self.act()
        return now_ns


async def connect_client(bench: Bench) -> tuple[socket.socket, ClientConnection]:
    """Connects a client; returns its socket and its connection at the router."""
    before = set(bench.clients.connections)
    raw = socket.create_connection(("127.0.0.1", bench.port))
    await wait_until(lambda: len(bench.clients.connections) > len(before))
    [client] = set(bench.clients.connections) - before
    return raw, client


async def test_no_attempt_starts_for_a_client_that_leaves_after_any_reading_of_the_clock(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The process may be delayed after any reading of the clock; checks made before it are then outdated."""
    async with router() as bench:
        warm = await bench.caller()
        warm.get(name=b"warm")
        assert await warm.answer() == b"v"
        left_before = 0
        for at in range(1, 40):
            await asyncio.sleep(0.01)  # until the connection to the cache server may be reused
            raw, client = await connect_client(bench)
            written = bench.pools.attempts_written
            seen: list[int] = []

            def leave(raw: socket.socket = raw, seen: list[int] = seen) -> None:
                raw.close()
                seen.append(bench.pools.attempts_written)

            with monkeypatch.context() as patched:
                readings = ClockReadings(bench, patched)
                readings.at, readings.act = at, leave
                client.data_received(command(b"C.GET", b"k", b"leaves%d" % at, INFO % 900))
            raw.close()
            if seen == [written]:  # it disconnected before anything was written
                left_before += 1
                assert bench.pools.attempts_written == written, f"reading {at}"
            await wait_until(lambda: not bench.driver.requests)
        assert left_before >= 4


async def test_a_new_client_is_charged_with_an_accept_pause_where_the_system_reports_no_age(
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
            await wait_until(lambda: bench.driver.requests)
            [request] = bench.driver.requests.values()
            assert (
                request.client_request.unread_ms >= 190 and request.client_request.wait_ms <= 900 - 190
            )  # a timer may fire early by its rounding
            assert request.deadline_ns <= bench.driver.clock.now() + 710 * NS_PER_MS - RESPONSE_DELIVERY_NS
        with socket.create_connection(("127.0.0.1", bench.port)) as raw:
            await asyncio.sleep(0.05)  # the backlog is empty: data sent later has no age
            raw.sendall(command(b"C.GET", b"k", b"comes", INFO % 900))
            request = await wait_until(lambda: bench.driver.requests.get("comes"))
            assert request.client_request.wait_ms > 900 - 100


async def test_an_idle_connection_is_retired_before_its_server_may_close_it_during_a_delay() -> None:
    async with router(keepalive=300 * NS_PER_MS) as bench:
        bench.pools.set_max_idle(10.0)
        assert bench.pools.max_idle_s == pytest.approx(0.3 - HOST_DELAY_NS / 1e9)


async def test_a_command_left_unread_by_flow_control_is_not_charged_with_that_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A client sends more commands at once than may be in progress.

    The time for which a command is unread because of the client's own earlier commands must not count as age.
    """
    async with router(lambda asked, line: None if asked[2] == b"first" else hit()) as bench:
        raw, client = await connect_client(bench)
        raw.sendall(command(b"C.GET", b"k", b"first", INFO % 900))
        await wait_until(lambda: bench.driver.requests)
        raw.sendall(b"".join(command(b"PING") for _ in range(MAX_PIPELINED_COMMANDS)))
        await wait_until(lambda: client.flow.paused)
        raw.sendall(command(b"C.GET", b"k", b"behind", INFO % 900))
        await asyncio.sleep(0.1)  # the command stays unread
        [line] = bench.cache.lines
        monkeypatch.setattr(bench.clients.system, "unread_ms", lambda transport: 700)
        line.write(hit())
        request = await wait_until(
            lambda: bench.driver.requests.get("behind") or bench.cache.received[-1][2] == b"behind"
        )
        info_list = (
            bench.cache.received[-1][3]
            if request is True
            else request.client_request.info_for(request.client_request.wait_ms * NS_PER_MS)
        )
        assert int(info_list.rpartition(b"d=")[2]) > 900 - 100
        raw.close()
