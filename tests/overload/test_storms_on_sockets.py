"""Storms over loopback sockets, from the clients' side."""

import asyncio
import socket
import time

import pytest
from peers import FETCHED, http, router, wait_until

from rainhitch.node import client_connections
from rainhitch.protocol import resp

PUT = b"c=put,t=acme,d=9000,k=order-1"


async def test_a_retry_over_another_connection_waits_for_the_first_attempt() -> None:
    """Guards against two concurrent writes with one key that arrive on two connections with two ids."""
    async with router(origin=lambda asked, line: None) as bench:
        first, second = await bench.caller(), await bench.caller()
        first.send(b"C.SET", b"k", b"i1", PUT, b"v")
        await wait_until(lambda: bench.origin.received)
        first.writer.transport.abort()
        second.send(b"C.SET", b"k", b"i2", PUT + b",r=1", b"v")
        await wait_until(lambda: "i2" in bench.driver.requests)
        assert len(bench.origin.received) == 1
        bench.origin.lines[0].write(FETCHED)
        await wait_until(lambda: len(bench.origin.received) == 2)
        assert bench.origin.received[1][2][b"x-call-id"] == b"i2"
        await wait_until(lambda: bench.origin.lines)
        bench.origin.lines[-1].write(http(200, b"receipt"))
        assert await second.answer() == b"receipt"


async def test_a_rejected_connection_is_given_a_retry_after_time() -> None:
    async with router(sockets=2, retryAfter=True, maxRetryAfter=2_000_000_000) as bench:
        for _ in range(2):
            await (await bench.caller()).answer_to_ping()
        answers = []
        for _ in range(3):
            caller = await bench.caller()
            answers.append(str(await caller.answer()))
        times = [int(answer.split(" ")[1]) for answer in answers]
        assert all(answer.startswith("BUSY ") for answer in answers) and all(
            0 < wait_ms <= 2000 for wait_ms in times
        )
        assert len(set(times)) > 1


async def test_a_new_client_is_charged_with_its_time_in_the_backlog() -> None:
    """Guards against an answer after the client has left: time in the backlog must count as waiting time."""
    async with router(lambda asked, line: None) as bench:
        assert bench.clients.listener is not None
        bench.clients.listener.pause(0.5)
        await asyncio.sleep(0)
        await wait_until(lambda: bench.clients.listener is not None and bench.clients.listener.server is None)
        with socket.create_connection(("127.0.0.1", bench.port)) as late:
            late.sendall(resp.command(b"C.GET", b"k", b"i1", b"c=read,t=acme,d=1500"))
            sent = time.monotonic()
            held = await wait_until(lambda: bench.driver.requests.get("i1"))
            assert held.client_request.wait_ms <= 1500 - 400
            assert held.deadline_ns / 1e9 < sent + 1.5
            second_sent = time.monotonic()
            late.sendall(resp.command(b"C.GET", b"k", b"i2", b"c=read,t=acme,d=1500"))
            again = await wait_until(lambda: bench.driver.requests.get("i2"))
            # Only the first command was in the backlog. The second is charged with at most the time since it
            # was sent, which is some milliseconds on a busy machine.
            since_sent_ms = (time.monotonic() - second_sent) * 1000
            assert again.client_request.unread_ms <= since_sent_ms + 1
            assert again.client_request.wait_ms == 1500 - again.client_request.unread_ms


async def test_connections_wait_in_the_backlog_through_a_pause_and_are_all_answered() -> None:
    async with router() as bench:
        listener = bench.clients.listener
        assert listener is not None
        listener.pause(0.2)
        await wait_until(lambda: listener.server is None)
        callers = await asyncio.gather(*(bench.caller() for _ in range(30)))
        for n, caller in enumerate(callers):
            caller.get(name=b"i%d" % n)
        assert [await caller.answer() for caller in callers] == [b"v"] * 30
        assert listener.pauses == 1


@pytest.mark.parametrize(("asked", "go"), [(1, 2), (2, 1)])
async def test_a_new_client_past_half_of_the_cap_closes_the_longest_idle_connection(
    monkeypatch: pytest.MonkeyPatch, asked: int, go: int
) -> None:
    """Guards against clients that keep all connections open and run out of them long before the cap.

    With only one closed per new connection, connections that had sent a single request would never get fewer.
    """
    monkeypatch.setattr(client_connections, "IDLE_GRACE_NEAR_CAP_S", 0.05)
    async with router(sockets=8) as bench:
        old = [await bench.caller() for _ in range(5)]
        for n, caller in enumerate(old):
            for m in range(asked):
                caller.get(name=b"i%d-%d" % (n, m))
                assert await caller.answer() == b"v"
        await asyncio.sleep(0.1)
        await (await bench.caller()).answer_to_ping()
        for caller in old[:go]:
            assert await caller.answer() is None
        old[go].get(name=b"again")
        assert await old[go].answer() == b"v"


async def test_connects_are_counted_and_paced_by_lateness() -> None:
    async with router() as bench:
        assert bench.clients.overload is not None
        pacer = bench.clients.overload.accept_pacer
        pacer.rate_per_s = pacer.min_per_s
        pacer.tokens = 0.0
        pacer.adjusted_at_ns = time.monotonic_ns() + 60_000_000_000  # keeps the rate from being adjusted
        for _ in range(12):
            await (await bench.caller()).answer_to_ping()
        assert bench.clients.listener is not None and bench.clients.listener.pauses > 0
