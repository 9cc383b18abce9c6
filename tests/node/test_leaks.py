"""Leaks of objects, connections, timers and descriptors after long use."""

import asyncio
import gc
import os
import resource
import signal
import socket
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from peers import MISS, PATIENCE, Bench, Cache, Caller, HttpPeer, entry, hit, router, wait_until
from program import ROOT, configuration, listing, started

from rainhitch.node import connection_pool
from rainhitch.node.client_connection import ClientConnection
from rainhitch.node.client_request import ClientRequest
from rainhitch.node.connection_pool import ConnectionPool
from rainhitch.node.exchange import Exchange
from rainhitch.node.in_flight_request import Attempt, InFlightRequest
from rainhitch.node.response_slot import ResponseSlot
from rainhitch.node.upstream_connection import UpstreamConnection
from rainhitch.policy.pending_request import PendingRequest
from rainhitch.policy.server import Server
from rainhitch.protocol.resp import command

KINDS = (
    ClientConnection,
    ResponseSlot,
    InFlightRequest,
    Attempt,
    ClientRequest,
    Exchange,
    UpstreamConnection,
    ConnectionPool,
    PendingRequest,
    Server,
    asyncio.Task,
)


def count_live_objects() -> Counter[str]:
    """Returns the number of live objects of each class in KINDS."""
    gc.collect()
    return Counter(kind.__name__ for obj in gc.get_objects() for kind in KINDS if isinstance(obj, kind))


async def play_churn(bench: Bench, rounds: range) -> None:
    """Plays rounds in which a server is replaced at the same address and attempts end in every way.

    Each round has new ids, keys and clients.
    """
    for n in rounds:
        new = entry(f"c{n}", bench.cache.address, boot_ms=1)
        origin = entry("o", bench.origin.address, model="origin")
        bench.directory.apply({"rev": 10 + n, "all": True, "targets": [new, origin]})
        caller = await bench.caller()
        for m in range(6):
            caller.get(b"key-%d-%d" % (n, m), b"id-%d-%d" % (n, m))
            await caller.answer()
        caller.get(b"left", b"left-%d" % n)
        caller.writer.transport.abort()
        bench.callers.remove(caller)
        other = await bench.caller()
        other.writer.write(b"nonsense\r\n")
        assert str(await other.answer()).startswith("ERR ")
        other.writer.close()
        bench.callers.remove(other)
        await wait_until(lambda: not bench.clients.connections and not bench.driver.requests)


async def test_long_churn_leaves_no_objects_behind(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)
    replies = [hit(), MISS, b"-BUSY\r\n", b"-ERR failed\r\n", b"noise", None]

    def answer(asked: list[bytes], line: asyncio.StreamWriter) -> bytes | None:
        reply = replies[int(asked[2].rpartition(b"-")[2]) % len(replies)]
        if reply is None:
            line.transport.abort()
        return reply

    async with router(answer) as bench:
        await play_churn(bench, range(10))
        before = count_live_objects()
        await play_churn(bench, range(10, 70))
        await wait_until(lambda: all(not pool.connections for pool in bench.pools.draining_pools))
        balancer, clients = bench.driver.balancer, bench.clients
        assert len(balancer.servers.servers) == len(bench.pools.pools) == len(bench.directory.targets) == 2
        assert (
            not balancer.requests
            and not balancer.origin_admission.reads_in_flight
            and not balancer.coalesced_reads
        )
        assert len(balancer.placement.ranges.preference_lists) <= 2
        assert len(bench.pools.draining_pools) <= 1 and bench.driver.request_bytes == 0
        assert (
            not clients.activity.awaiting_command
            and not clients.activity.idle
            and not clients.activity.lingering
            and clients.buffered_bytes == 0
        )
        grown = {
            name: (before[name], many)
            for name, many in count_live_objects().items()
            if many > before[name] + 8
        }
        # Timers hold PendingRequests until the latency objective expires, so their number is limited by time
        # and not checked here.
        assert grown.keys() <= {"PendingRequest"}


async def test_a_connect_that_never_comes_up_leaves_no_descriptor() -> None:
    """The server's backlog is full and the system drops connects: no descriptor may be leaked."""
    with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
        address = full.getsockname()
        queued = [socket.socket() for _ in range(4)]
        for client in queued:
            client.setblocking(False)
            client.connect_ex(address)

        def entries(_: Cache, origin: HttpPeer) -> list[dict[str, Any]]:
            return [entry("c0", f"127.0.0.1:{address[1]}"), entry("o", origin.address, model="origin")]

        async with router(entries=entries) as bench:
            caller = await bench.caller()
            caller.send(b"PING")
            await caller.answer()
            before = len(os.listdir("/proc/self/fd"))
            for n in range(3):
                caller.get(name=b"i%d" % n, info=b"c=once,t=acme,d=9000")
                assert str(await caller.answer()).startswith("BUSY")
            await wait_until(lambda: len(os.listdir("/proc/self/fd")) == before)
            assert (
                not bench.pools.pools["c0"].connections
                and bench.driver.balancer.servers.servers["c0"].in_flight == 0
            )
        for client in queued:
            client.close()


async def test_the_router_recovers_from_a_full_descriptor_table(tmp_path: Path) -> None:
    def limit_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (30, 30))

    cache = Cache(lambda asked, line: hit())
    await cache.start()
    env = configuration(tmp_path, known=listing(3, entry("c0", cache.address)))
    running = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "rainhitch",
        env=env,
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=limit_descriptors,
    )
    address = await started(running)
    assert running.stderr is not None
    drain = asyncio.create_task(running.stderr.read())
    many = [await asyncio.open_connection(*address) for _ in range(60)]
    await asyncio.sleep(0.1)
    for _, writer in many:
        writer.transport.abort()
    async with asyncio.timeout(PATIENCE):
        answer = None
        while answer != b"v":
            try:
                caller = Caller(*await asyncio.open_connection(*address))
                caller.get(name=os.urandom(8).hex().encode())
                answer = await caller.answer()
            except OSError:
                await asyncio.sleep(0.05)
    running.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(running.wait(), PATIENCE) == 0
    assert (await drain).count(b"\n") < 40
    await cache.stop()


async def test_each_client_of_a_burst_is_answered_though_descriptors_are_short(tmp_path: Path) -> None:
    """Without a free descriptor a listener accepts and closes connections, and their requests were lost.

    Each client of a burst must get a response.
    """

    def limit_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))

    operator = tmp_path / "operator.toml"  # so that the first clients stay, however slow the machine
    operator.write_text("[clients]\nidle_s = 3600\nat_need_s = 3600\n")
    env = {**configuration(tmp_path, limits={"sockets": 64}), "RAINHITCH_OPERATOR": str(operator)}
    running = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "rainhitch",
        env=env,
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=limit_descriptors,
    )
    address = await started(running)
    assert running.stderr is not None
    drain = asyncio.create_task(running.stderr.read())
    kept = [await asyncio.open_connection(*address) for _ in range(32)]
    for reader, writer in kept:
        writer.write(command(b"PING"))
        assert (await asyncio.wait_for(reader.readline(), PATIENCE)).startswith((b"+PONG", b"-LOADING"))
    late = [socket.create_connection(address) for _ in range(150)]  # a burst of clients that send nothing yet
    for client in late:
        client.settimeout(PATIENCE)
    answers = [await asyncio.to_thread(client.recv, 64) for client in late]
    assert set(answers) == {b"-BUSY\r\n"}
    for client in late:
        client.close()
    for _, writer in kept:
        writer.close()
    running.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(running.wait(), PATIENCE) == 0
    await drain
