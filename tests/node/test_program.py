"""The program as a process: its configuration, its service, SIGHUP and SIGTERM."""

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
import tomllib
from pathlib import Path
from typing import Any

import pytest
from peers import PATIENCE, Cache, Caller, HttpPeer, entry, hit, http, wait_until
from program import ROOT, configuration, listing, started


def whole_list(rev: int, *entries: Any, whole: bool = True) -> bytes:
    """Returns discovery's HTTP response; `whole` says that it has all entries."""
    return http(200, json.dumps(listing(rev, *entries, whole=whole)).encode())


async def program(env: dict[str, str]) -> asyncio.subprocess.Process:
    """Starts the program with an environment."""
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "rainhitch", env=env, cwd=ROOT, stderr=asyncio.subprocess.PIPE
    )


@pytest.mark.parametrize(
    "changes",
    [
        {"listen": "nowhere"},
        {"discovery": None},
        {"seed": "xyz"},
        {"settings": None},
        {"settings": {"classes": []}},
        {"limits": {"sockets": "many"}},
        {"listen": "127.0.0.1:99999"},
    ],
)
async def test_a_bad_configuration_ends_with_one_plain_line(tmp_path: Path, changes: Any) -> None:
    running = await program(configuration(tmp_path, **changes))
    _, lines = await asyncio.wait_for(running.communicate(), PATIENCE)
    assert running.returncode == 2
    assert lines.startswith(b"rainhitch: ") and lines.count(b"\n") == 1


async def test_a_reload_signal_at_any_time_does_not_end_the_program(tmp_path: Path) -> None:
    """SIGHUP ended a router that had just been started: until its handler is set, that is the default.

    The signal is sent again and again, from the moment at which the deploy file's line runs Python until the
    program listens, and through its shutdown.
    """
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    running = await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        run.replace(".venv/bin/python", sys.executable),
        env=configuration(tmp_path),
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
    )
    command_line = Path(f"/proc/{running.pid}/cmdline")
    await wait_until(lambda: command_line.read_bytes().startswith(sys.executable.encode()))
    listening = asyncio.ensure_future(started(running))
    assert await reload_until_done(running, listening) > 1
    running.send_signal(signal.SIGTERM)
    ended = asyncio.ensure_future(running.wait())
    assert await reload_until_done(running, ended) > 1
    assert ended.result() == 0


async def reload_until_done(running: asyncio.subprocess.Process, what: asyncio.Future[Any]) -> int:
    """Sends SIGHUP again and again until something is done; returns how often."""
    count = 0
    async with asyncio.timeout(PATIENCE):
        while not what.done():
            with contextlib.suppress(ProcessLookupError):
                running.send_signal(signal.SIGHUP)
            count += 1
            await asyncio.sleep(0.002)
    return count


async def test_a_port_in_use_ends_with_one_plain_line(tmp_path: Path) -> None:
    taken = HttpPeer(lambda asked, line: None)
    await taken.start()
    running = await program(configuration(tmp_path, listen=taken.address))
    _, lines = await asyncio.wait_for(running.communicate(), PATIENCE)
    assert running.returncode == 2
    assert lines.startswith(b"rainhitch: can't listen") and lines.count(b"\n") == 1
    await taken.stop()


async def test_no_configuration_ends_with_one_plain_line(tmp_path: Path) -> None:
    for env in ({"BALANCER_CONFIG": ""}, {"BALANCER_CONFIG": str(tmp_path / "none")}):
        running = await program({**os.environ, **env})
        _, lines = await asyncio.wait_for(running.communicate(), PATIENCE)
        assert running.returncode == 2
        assert lines.startswith(b"rainhitch: ") and lines.count(b"\n") == 1


async def test_the_program_serves_and_on_sigterm_answers_requests_in_flight(tmp_path: Path) -> None:
    cache = Cache(lambda asked, line: None if asked[2] == b"slow" else hit())
    await cache.start()
    known = listing(3, entry("c0", cache.address))
    running = await program(configuration(tmp_path, known=known))
    address = await started(running)
    assert running.stderr is not None
    drain = asyncio.create_task(running.stderr.read())
    caller = Caller(*await asyncio.open_connection(*address))
    slow = Caller(*await asyncio.open_connection(*address))
    caller.send(b"PING")
    assert await caller.answer() == b"PONG"
    slow.get(name=b"slow")
    await wait_until(lambda: cache.received)
    begun = time.monotonic()
    running.send_signal(signal.SIGTERM)
    late = Caller(*await asyncio.open_connection(*address))
    late.get(name=b"late")
    assert await late.answer() == b"v"
    caller.get(name=b"i1")
    assert await caller.answer() == b"v"
    assert str(await slow.answer()) == "ERR failed"
    assert [await client.answer() for client in (caller, slow, late)] == [None] * 3
    assert await asyncio.wait_for(running.wait(), PATIENCE) == 0
    assert time.monotonic() - begun >= 0.5
    await drain
    await cache.stop()


async def test_sighup_moves_the_discovery_watch_and_nothing_else(tmp_path: Path) -> None:
    """Guards against SIGHUP ending the program, which loses all requests in flight.

    The watch moves to the new discovery, whose versions are its own; an invalid file changes nothing.
    """
    cache = Cache(lambda asked, line: None if asked[2] == b"slow" else hit())
    second = Cache(lambda asked, line: hit(b"second"))
    await cache.start()
    await second.start()
    c0, c1 = (entry(f"c{n}", server.address, boot_ms=1) for n, server in enumerate((cache, second)))
    lists = [whole_list(50, c0)], [whole_list(3, {**c0, "state": "Terminating"}, c1)]
    old = HttpPeer(lambda asked, line: lists[0].pop() if lists[0] else None)
    new = HttpPeer(lambda asked, line: lists[1].pop() if lists[1] else None)
    await old.start()
    await new.start()
    running = await program(configuration(tmp_path, discovery=old.address))
    address = await started(running)
    assert running.stderr is not None
    caller = Caller(*await asyncio.open_connection(*address))
    slow = Caller(*await asyncio.open_connection(*address))
    while await pong(caller) != b"PONG":
        await asyncio.sleep(0.01)
    slow.get(name=b"slow")
    await wait_until(lambda: cache.received)
    path = tmp_path / "config.json"
    good = json.loads(path.read_text())
    path.write_text("{half a fi")
    running.send_signal(signal.SIGHUP)
    async with asyncio.timeout(PATIENCE):
        while b"configuration rejected" not in await running.stderr.readline():
            pass
    path.write_text(json.dumps({**good, "discovery": new.address}))
    for _ in range(3):
        running.send_signal(signal.SIGHUP)
    await wait_until(lambda: len(new.received) == 2)
    assert [asked[1].split(b"&")[0] for asked in new.received] == [b"/api/targets", b"/api/targets?from=3"]
    await wait_until(lambda: old.ended == len(old.lines))
    caller.get(name=b"i1")
    assert await caller.answer() == b"second"
    cache.lines[0].write(hit(b"held all the while"))
    assert await slow.answer() == b"held all the while"
    running.send_signal(signal.SIGTERM)
    running.send_signal(signal.SIGHUP)
    assert await asyncio.wait_for(running.wait(), PATIENCE) == 0
    for peer in (cache, second, old, new):
        await peer.stop()


async def pong(caller: Caller) -> Any:
    """Returns the response to a PING."""
    caller.send(b"PING")
    return await caller.answer()
