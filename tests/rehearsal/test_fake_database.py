"""The fake order database: what it serves and records, and its faults, seen from a raw socket."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from typing import Any

import pytest
from peers import PATIENCE, wait_until
from raw_connection import connect

from rainhitch.rehearsal.fakes.database import Database, DatabaseSpec


@contextlib.asynccontextmanager
async def database(**changes: Any) -> AsyncIterator[Database]:
    """A database of two quick workers for two routers; `changes` are its spec's."""
    store = Database(DatabaseSpec(**{"workers": 2, "time_ms": 5.0, **changes}), 2)
    try:
        yield store
    finally:
        store.close()


def http_request(request_id: str = "i1", key: str = "k", idempotency_key: str = "") -> str:
    """A read as a router writes it, or a write where there is an idempotency key."""
    method = "PUT" if idempotency_key else "GET"
    head = f"{method} /{key} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {request_id}\r\nX-Call-Info: c=r,d=9"
    if idempotency_key:
        return head + f",k={idempotency_key}\r\nContent-Length: 1\r\n\r\nv"
    return head + "\r\n\r\n"


async def test_the_database_serves_rejects_and_drops_writes_with_an_idempotency_key_that_it_knows() -> None:
    async with database(workers=1, queue=0, time_ms=60.0) as store:
        stored: list[tuple[str, str]] = []
        written: list[str] = []
        store.on_stored = lambda key, request_id: stored.append((key, request_id))
        store.on_written = written.append
        connection = await connect(store.endpoints[0])
        other = await connect(store.endpoints[1])
        connection.send(http_request("i1", "a%2Fb"))
        await wait_until(lambda: store.requests)
        other.send(http_request("i2"))
        busy = await other.read()
        assert busy.startswith(b"HTTP/1.1 503") and b"X-Rejected: 1" in busy
        got = await connection.read()
        assert got.startswith(b"HTTP/1.1 200") and b"i1:a/b:database:" in got and stored == [("a/b", "i1")]
        for request_id in ("w1", "w2"):
            connection.send(http_request(request_id, "m", idempotency_key="order"))
            assert (await connection.read()).startswith(b"HTTP/1.1 200")
        assert [row.executed for row in store.requests] == [False, False, True, False] and written == ["m"]


async def test_a_read_that_nobody_waits_for_stores_no_copy() -> None:
    async with database(time_ms=100.0) as store:
        stored: list[str] = []
        store.on_stored = lambda key, request_id: stored.append(request_id)
        connection = await connect(store.endpoints[0])
        connection.send(http_request("gone"))
        await wait_until(lambda: store.requests)
        connection.writer.close()
        await wait_until(lambda: store.requests[0].outcome == "served")
        assert not stored


async def test_a_slow_database_takes_so_many_times_longer() -> None:
    """The database becomes slow: each request takes as many times longer as the fault says."""
    async with database(time_ms=20.0) as store:
        connection = await connect(store.endpoints[0])
        took = []
        for factor in (1.0, 10.0):
            store.slow(factor)
            begun = time.monotonic()
            connection.send(http_request("soup"))  # whose work is 2.3 times the mean, far over noise
            await connection.read()
            took.append(time.monotonic() - begun)
        assert took[1] > 3 * took[0] and store.reads_per_s == 10.0


async def test_a_stopped_database_resets_and_refuses_connections_until_it_starts() -> None:
    """The database's process dies and is back: open connections are reset and new ones refused until then."""
    async with database(time_ms=500.0) as store:
        connection = await connect(store.endpoints[0])
        connection.send(http_request())
        await wait_until(lambda: store.requests)
        store.stop()
        assert await connection.read() == b"RESET"
        with pytest.raises(ConnectionRefusedError):
            await connect(store.endpoints[0])
        store.start()
        connection = await connect(store.endpoints[0])
        store.slow(0.001)
        connection.send(http_request("again"))
        assert b"200" in await connection.read()


async def test_a_database_that_is_overloaded_for_long_enough_stops_and_comes_back() -> None:
    """Routers send more to the database than it bears, for long enough.

    It stops by itself, and is back after a time.
    """
    async with database(workers=1, time_ms=200.0, stop_after_s=0.5, stop_s=0.3, queue=1000) as store:
        connection = await connect(store.endpoints[0])
        async with asyncio.timeout(PATIENCE):
            sent = 0
            while not store.stops:
                connection.send(http_request(f"i{sent}"))
                sent += 1
                await asyncio.sleep(0.01)
        assert store.stops[0][1] and sent > 10
        await wait_until(lambda: not store.stopped)
