"""The operators' endpoint over loopback sockets: commands, cordons, draining clients, and an upgrade."""

import asyncio
import contextlib
import json
import signal
import socket
import sys
from collections.abc import AsyncIterator, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from peers import PATIENCE, Bench, Cache, Caller, HttpPeer, entry, hit, http, router, wait_until
from program import ROOT, configuration, listing, started

from rainhitch.admin import server as admin_server
from rainhitch.admin.router_control import RouterControl
from rainhitch.admin.server import AdminServer
from rainhitch.protocol.resp import command


async def call(address: tuple[str, int], line: bytes) -> list[str]:
    """One call; the lines of its answer."""
    async with asyncio.timeout(PATIENCE):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(line + b"\n")
        reply = await reader.read()
        writer.close()
    return reply.decode().splitlines()


@contextlib.asynccontextmanager
async def attended(bench: Bench, folder: Path | None = None) -> AsyncIterator[tuple[str, int]]:
    """Opens an operators' endpoint on a bench; gives its address."""
    control = RouterControl(
        bench.driver, bench.clients, bench.directory, str(folder) if folder else None, "r"
    )
    server = AdminServer(control)
    try:
        yield await server.open("127.0.0.1", 0)
    finally:
        server.close()


async def served(bench: Bench, caller: Caller, name: bytes) -> object:
    """The answer to a request with this id."""
    caller.get(name=name)
    return await caller.answer()


async def test_metrics_count_served_rejected_and_failed_requests() -> None:
    refusing = iter([hit(), b"-BUSY\r\n", b"-BUSY\r\n", b"-BUSY\r\n", b"-BUSY\r\n", hit()])
    async with router(lambda asked, line: next(refusing)) as bench, attended(bench) as address:
        caller = await bench.caller()
        assert await served(bench, caller, b"i1") == b"v"
        caller.get(name=b"i2")
        await caller.answer()
        metrics = dict(line.split(":") for line in (await call(address, b"counters"))[:-1])
        assert metrics["app.responses.0.ok"] == "1|c" and metrics["app.responses.0.shed"] == "1|c"
        assert metrics["app.active"] == "0|g" and metrics["app.pool_size"] == "1|g"
        assert int(metrics["app.tries"].split("|")[0]) == len(bench.cache.received) + len(
            bench.origin.received
        )


async def test_silent_callers_delay_no_other(monkeypatch: pytest.MonkeyPatch) -> None:
    """Callers that connect and send nothing must not keep an operator from the endpoint."""
    monkeypatch.setattr(admin_server, "MAX_CALLERS", 4)
    async with router() as bench, attended(bench) as address:
        mute = [await asyncio.open_connection(*address) for _ in range(9)]
        mute[8][1].write(b"hea")
        assert await call(address, b"health") == ["OK ready"]
        async with asyncio.timeout(PATIENCE):
            assert await mute[0][0].read() == b""  # the first of them had to go
        mute[8][1].write_eof()
        async with asyncio.timeout(PATIENCE):
            assert (await mute[8][0].read()).startswith(b"ERR")
        for _, writer in mute:
            writer.transport.abort()


async def test_a_cordoned_server_gets_no_request_whatever_the_list_says(tmp_path: Path) -> None:
    async with router() as bench, attended(bench, tmp_path) as address:
        caller = await bench.caller()
        assert await served(bench, caller, b"i1") == b"v"
        assert (await call(address, b"cordon nobody"))[0].startswith("ERR")
        assert (await call(address, b"cordon o"))[0].startswith("ERR")  # the origin
        assert (await call(address, b"cordon c0"))[0].startswith("OK")
        before = len(bench.cache.received)
        listed = [entry("c0", bench.cache.address), entry("o", bench.origin.address, model="origin")]
        bench.directory.apply({"rev": 9, "all": True, "targets": listed})
        assert (await call(address, b"health"))[0].startswith("ERR")  # no other is there
        assert await served(bench, caller, b"i2") != b"v" and len(bench.cache.received) == before
        figures = await call(address, b"counters")
        assert "app.pool_ejected:1|g" in figures and "app.pool_size:1|g" in figures
        bench.directory.apply({"rev": 10, "all": True, "targets": listed[1:]})  # it is started anew
        assert (await call(address, b"cordon c0"))[0].startswith("OK")
        bench.directory.apply({"rev": 11, "all": True, "targets": listed})
        assert await served(bench, caller, b"i4") != b"v"
        assert (await call(address, b"uncordon c0"))[0].startswith("OK")
        restarted = bench.driver.balancer.servers.servers["c0"]
        assert restarted.slow_start.started_at_ns > 0  # it may have been started anew meanwhile
        restarted.slow_start.started_at_ns = 0
        assert await served(bench, caller, b"i3") == b"v"


async def test_a_draining_connection_is_closed_after_its_answer_and_none_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    waiting: list[asyncio.StreamWriter] = []

    def slow(asked: list[bytes], line: asyncio.StreamWriter) -> bytes | None:
        if asked[2] != b"slow":
            return hit()
        waiting.append(line)
        return None

    async with router(slow) as bench, attended(bench) as address:
        idle, busy, asking = [await bench.caller() for _ in range(3)]
        for one in (idle, asking):
            assert await served(bench, one, b"i") == b"v"
        busy.get(name=b"slow")
        await wait_until(lambda: waiting)
        assert await call(address, b"quiesce") == ["OK clients are sent away"]
        asking.send(b"PING")
        assert isinstance(await asking.answer(), Exception)  # no yes any more
        assert await asking.answer() is None  # gone right behind an answer
        late = await bench.caller()
        assert await served(bench, late, b"late") == b"v"  # a newcomer is served all the same
        assert await late.answer() is None
        assert await idle.answer() is None  # closed, though it asked nothing
        assert bench.clients.connections and not busy.reader.at_eof()
        waiting[0].write(hit(b"at last"))
        assert await busy.answer() == b"at last" and await busy.answer() is None
        await wait_until(lambda: not bench.clients.connections)
        assert await call(address, b"resume") == ["OK clients are taken"]
        back = await bench.caller()
        await back.answer_to_ping()
        assert await served(bench, back, b"i9") == b"v"
        back.get(name=b"i10")
        assert await back.answer() == b"v"  # its connection is kept again


async def test_a_client_that_pipelines_without_end_is_drained_in_time() -> None:
    async with router() as bench, attended(bench) as address:
        drain = bench.clients.client_drain
        drain.schedule = replace(drain.schedule, close_idle_s=0.1, stop_reading_s=0.2)
        caller = await bench.caller()
        assert (await call(address, b"quiesce"))[0].startswith("OK")

        async def flood() -> None:
            with contextlib.suppress(OSError):
                for n in range(1_000_000):
                    caller.get(name=b"f%d" % n)
                    await caller.writer.drain()
                    await asyncio.sleep(0)

        flooding = asyncio.create_task(flood())
        await wait_until(lambda: bench.clients.connections)
        await wait_until(lambda: not bench.clients.connections)
        flooding.cancel()


@contextlib.contextmanager
def shared_listener() -> Iterator[socket.socket]:
    """A listening socket for two processes."""
    with socket.create_server(("127.0.0.1", 0), backlog=64) as held:
        held.set_inheritable(True)
        yield held


async def second_address(running: asyncio.subprocess.Process) -> tuple[str, int]:
    """The admin address that a process logs."""
    assert running.stderr is not None
    async with asyncio.timeout(PATIENCE):
        while b"admin endpoint opened address=" not in (line := await running.stderr.readline()):
            assert line
    host, _, port = line.decode().strip().rsplit("=", 1)[1].rpartition(":")
    return host, int(port)


async def start_beside(environment: dict[str, str], held: socket.socket) -> asyncio.subprocess.Process:
    """Starts a process of a router whose listening socket is held by the platform."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "rainhitch",
        cwd=ROOT,
        env=environment,
        pass_fds=[held.fileno()],
        stderr=asyncio.subprocess.PIPE,
    )


def upgrade_environment(folder: Path, held: socket.socket, discovery: str, *known: Any) -> dict[str, str]:
    """The environment of both processes, which share the socket and the folder."""
    environment = configuration(
        folder,
        listen="127.0.0.1:1",
        admin_addr="127.0.0.1:0",
        discovery=discovery,
        known=listing(1, *known),
    )
    return environment | {"TMPDIR": str(folder), "BALANCER_SOCKET_FD": str(held.fileno())}


async def test_an_upgrade_loses_no_request_and_keeps_the_cordons(tmp_path: Path) -> None:
    """Two processes share one inherited socket and one folder, while a client asks all the time.

    The first is stopped once the second is ready.
    """
    cache = HttpPeer(lambda asked, line: http(500))
    agent = HttpPeer(lambda asked, line: http(200, json.dumps(listing(2, *entries)).encode()))
    for peer in (cache, agent):
        await peer.start()
    entries = [entry("c0", cache.address), entry("c1", cache.address)]
    with shared_listener() as held:
        environment = upgrade_environment(tmp_path, held, agent.address, *entries)

        async def ping() -> bool:
            reader, writer = await asyncio.open_connection(*held.getsockname())
            writer.write(command(b"PING"))
            received = await reader.read(64)
            writer.close()
            return received == b"+PONG\r\n"

        old = await start_beside(environment, held)
        try:
            await started(old)
            first = await second_address(old)
            assert (await call(first, b"cordon c1"))[0].startswith("OK")
            new = await start_beside(environment, held)
            try:
                await started(new)
                second = await second_address(new)
                assert await call(second, b"health") == ["OK ready"]
                assert "app.pool_ejected:1|g" in await call(second, b"counters")
                answers = [await ping() for _ in range(20)]
                old.send_signal(signal.SIGTERM)
                ended = asyncio.create_task(old.wait())
                while not ended.done():
                    answers.append(await ping())
                answers += [await ping() for _ in range(20)]
                assert all(answers) and await ended == 0
                assert (await call(second, b"uncordon c1"))[0].startswith("OK")
            finally:
                new.send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(new.wait(), PATIENCE) == 0
        finally:
            if old.returncode is None:
                old.kill()
            for peer in (cache, agent):
                await peer.stop()


@pytest.mark.parametrize("fields", [b"c=read,t=acme,d=9000", b"c=once,t=acme,d=9000"], ids=["read", "once"])
async def test_an_id_that_comes_again_at_the_other_process_of_an_upgrade_is_not_executed_again(
    tmp_path: Path, fields: bytes
) -> None:
    """An id ran twice, at both processes, when its client left the one and sent it again at the other."""
    held_lines: list[asyncio.StreamWriter] = []

    def hold(asked: object, line: asyncio.StreamWriter) -> None:
        held_lines.append(line)

    cache = Cache(hold)
    agent = HttpPeer(lambda asked, line: http(200, json.dumps(listing(2, *entries)).encode()))
    for peer in (cache, agent):
        await peer.start()
    entries = [entry("c0", cache.address)]
    with shared_listener() as held:
        environment = upgrade_environment(tmp_path, held, agent.address, *entries)
        processes: list[asyncio.subprocess.Process] = []

        async def start() -> asyncio.subprocess.Process:
            process = await start_beside(environment, held)
            processes.append(process)
            await started(process)
            await second_address(process)
            return process

        async def connect() -> Caller:
            return Caller(*await asyncio.open_connection(*held.getsockname()))

        try:
            old = await start()
            first = await connect()
            await first.answer_to_ping()
            await start()
            first.get(name=b"i1", info=fields)
            (line,) = await wait_until(lambda: held_lines)
            old.send_signal(signal.SIGTERM)
            assert old.stderr is not None
            while b"router stopping" not in await old.stderr.readline():
                pass
            second = await connect()
            second.get(name=b"i1", info=fields)  # while the first attempt runs
            assert str(await second.answer()) == "ERR this id has been used"
            first.writer.transport.abort()
            line.write(hit())
            assert await asyncio.wait_for(old.wait(), PATIENCE) == 0
            second.get(name=b"i1", info=fields)  # after the first process has ended
            assert str(await second.answer()) == "ERR this id has been used"
            second.get(name=b"i2", info=fields)
            await wait_until(lambda: len(cache.received) == 2)
            assert [parts[2] for parts in cache.received] == [b"i1", b"i2"]
            held_lines[-1].write(hit())
            assert await second.answer() == b"v"
            second.writer.transport.abort()
        finally:
            for process in processes:
                if process.returncode is None:
                    process.send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(process.wait(), PATIENCE) == 0
            for peer in (cache, agent):
                await peer.stop()
    assert not list(tmp_path.glob("*.ids.*"))


@pytest.mark.parametrize("named", ["none", "63", "1.5"])
async def test_a_descriptor_that_is_no_listening_socket_ends_with_one_plain_line(
    tmp_path: Path, named: str
) -> None:
    environment = {**configuration(tmp_path), "BALANCER_SOCKET_FD": named}
    running = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "rainhitch", cwd=ROOT, env=environment, stderr=asyncio.subprocess.PIPE
    )
    _, received = await asyncio.wait_for(running.communicate(), PATIENCE)
    assert (
        running.returncode == 2
        and received.decode().count("\n") == 1
        and "BALANCER_SOCKET_FD" in received.decode()
    )


async def test_a_request_right_behind_a_greeting_is_served_by_a_draining_router() -> None:
    async with router() as bench, attended(bench) as address:
        one = await bench.caller()
        await one.answer_to_ping()
        assert (await call(address, b"quiesce"))[0].startswith("OK")
        late = await bench.caller()
        late.send(b"HELLO", b"2")
        assert isinstance(await late.answer(), list)
        assert await served(bench, late, b"behind") == b"v"  # its first answer; now it goes
        assert await late.answer() is None
