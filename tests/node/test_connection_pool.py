"""The choice, reuse and release of server connections, over loopback sockets."""

import asyncio
import socket
from typing import Any

import pytest
from peers import MISS, Bench, Cache, HttpPeer, entry, hit, router, wait_until

from rainhitch.node import connection_pool
from rainhitch.system import REAL_SYSTEM

NON_IDEMPOTENT_INFO = b"c=once,t=acme,d=9000"


async def second_response(bench: Bench, trailing: bytes) -> Any:
    """Answers a request with unread bytes behind the response; returns the response to a second request."""
    caller = await bench.caller()
    caller.get(name=b"i1")
    assert await caller.answer() == b"i1"
    (idle,) = bench.pools.pools["c0"].idle
    assert idle.transport is not None
    idle.transport.pause_reading()  # as if the bytes arrived between two polls of the sockets
    bench.cache.lines[0].write(trailing)
    await wait_until(lambda: REAL_SYSTEM.readable(idle.transport))  # type: ignore[arg-type]
    caller.get(name=b"i2")
    return await caller.answer()


@pytest.mark.parametrize("trailing", [hit(b"i1"), b"\xff"])
async def test_a_second_copy_behind_an_answer_is_not_the_next_answer(
    monkeypatch: pytest.MonkeyPatch, trailing: bytes
) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)
    async with router(lambda asked, line: hit(asked[2])) as bench:
        assert await second_response(bench, trailing) == b"i2"
        assert len(bench.cache.lines) == 2


async def test_a_connection_is_not_reused_right_after_an_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """A duplicate of a response may follow shortly after it, so a connection is not reused at once."""
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 1000.0)
    async with router(lambda asked, line: hit(asked[2])) as bench:
        caller = await bench.caller()
        for n in range(2):
            caller.get(name=b"i%d" % n)
            assert await caller.answer() == b"i%d" % n
        assert len(bench.cache.lines) == 2


async def test_a_shortage_of_own_descriptors_is_not_counted_against_the_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a connect that fails for lack of descriptors and counts as a failure of the server."""
    async with router() as bench:

        async def none_left(*_: Any, **__: Any) -> None:
            raise OSError(24, "Too many open files")

        caller = await bench.caller()
        monkeypatch.setattr(asyncio.get_running_loop(), "create_connection", none_left)
        caller.get(info=NON_IDEMPOTENT_INFO)
        assert str(await caller.answer()).startswith("BUSY")
        assert bench.driver.balancer.servers.servers["c0"].connection.consecutive_failures == 0
        assert not bench.pools.pools["c0"].connections


async def test_a_new_server_at_an_old_address_inherits_no_failures(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)
    async with router(lambda asked, line: None if asked[2] == b"i1" else hit()) as bench:
        caller = await bench.caller()
        caller.get(name=b"i1")
        await wait_until(lambda: bench.cache.received)
        new = entry("c9", bench.cache.address, boot_ms=1)
        origin = entry("o", bench.origin.address, model="origin")
        bench.directory.apply({"rev": 9, "all": True, "targets": [new, origin]})
        bench.cache.lines[0].transport.abort()
        other = await bench.caller()
        other.get(name=b"i2")
        assert await other.answer() == b"v"
        servers, pools = bench.driver.balancer.servers.servers, bench.pools
        await wait_until(lambda: not bench.driver.requests)
        assert set(servers) == {"c9", "o"} and set(pools.pools) == {"c9", "o"}
        assert servers["c9"].connection.consecutive_failures == 0 and servers["c9"].in_flight == 0
        assert not any(pool.connections for pool in pools.draining_pools)


async def test_nothing_is_in_flight_once_all_is_answered() -> None:
    """However attempts end, no connection, request or counter is leaked."""
    replies = [hit(), MISS, b"-BUSY\r\n", b"-ERR failed\r\n", b"noise", None]

    def answer(asked: list[bytes], line: asyncio.StreamWriter) -> bytes | None:
        reply = replies[int(asked[2]) % len(replies)]
        if reply is None:
            line.transport.abort()
        return reply

    async with router(answer) as bench:
        caller = await bench.caller()
        for n in range(60):
            caller.get(b"k%d" % n, b"%d" % n)
            await caller.answer()
        await wait_until(lambda: not bench.driver.requests)
        balancer = bench.driver.balancer
        assert (
            not balancer.requests
            and not balancer.coalesced_reads
            and not balancer.origin_admission.reads_in_flight
        )
        await wait_until(
            lambda: all(len(pool.connections) == len(pool.idle) for pool in bench.pools.pools.values())
        )
        assert not any(server.in_flight for server in balancer.servers.servers.values())
        assert bench.driver.request_bytes == 0


def test_a_socket_that_is_closed_by_its_peer_is_readable() -> None:
    class FakeTransport:
        def __init__(self, sock: socket.socket) -> None:
            self.sock = sock

        def get_extra_info(self, _: str) -> socket.socket:
            return self.sock

    sock, peer = socket.socketpair()
    with sock, peer:
        assert not REAL_SYSTEM.readable(FakeTransport(sock))  # type: ignore[arg-type]
        peer.shutdown(socket.SHUT_RDWR)
        assert REAL_SYSTEM.readable(FakeTransport(sock))  # type: ignore[arg-type]


async def test_a_silent_connection_costs_one_attempt_and_not_the_request() -> None:
    """Guards against a request that waits on a silent connection until its deadline.

    The attempt times out earlier, and another server gets the next one.
    """
    other = Cache(lambda asked, line: hit(b"other"))
    await other.start()

    def entries(cache: Cache, origin: HttpPeer) -> list[dict[str, Any]]:
        return [
            entry("c0", cache.address),
            entry("c1", other.address),
            entry("o", origin.address, model="origin"),
        ]

    async with router(lambda asked, line: None, entries=entries) as bench:
        for server in bench.driver.balancer.servers.servers.values():
            server.latency.average_ns = server.latency.unloaded_ns = 1e7
        caller = await bench.caller()
        names = [b"k%d" % n for n in range(40)]
        key_of_c0 = next(
            key for key in names if bench.driver.balancer.placement.ranges.owner(key.decode()) == "c0"
        )
        caller.get(key_of_c0)
        assert await caller.answer() == b"other"
        assert len(bench.cache.received) == len(other.received) == 1
        await wait_until(lambda: bench.cache.ended == 1)
    await other.stop()
