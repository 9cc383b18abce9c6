"""The watch over loopback sockets, and the program from start to SIGTERM."""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from peers import PATIENCE, Cache, Caller, Web, entry, hit, http, info, router, soon
from program import ROOT, configuration, listing, started

from rainhitch import interface as api
from rainhitch.node import connection_pool
from rainhitch.node.connection_pool import ConnectionPools
from rainhitch.node.discovery import DiscoveryWatch, EndpointDirectory, ListError
from rainhitch.node.polling import PollTimes
from rainhitch.settings import read_names


def directory() -> tuple[EndpointDirectory, list[api.EndpointUpdate]]:
    told: list[api.EndpointUpdate] = []
    return EndpointDirectory(read_names(info()), 1, ConnectionPools(64, 0.25, 60.0), told.append), told


async def test_a_list_is_told_with_names_as_indexes_and_start_times_on_the_clock() -> None:
    one, told = directory()
    boot = time.time_ns() // 1_000_000 - 1000
    entries = (
        entry("c0", "127.0.0.1:1", az="b", pod_group=3, capacity_hint=1.5, boot_ms=boot),
        entry("o", "h:2"),
    )
    one.apply(listing(1, *entries), cached=True)
    one.apply(listing(2, *entries))
    member = told[0].entries[0]
    assert (member.server, member.zone, member.cell, member.weight) == ("c0", 1, 3, 1.5)
    assert abs(time.monotonic_ns() - 1_000_000_000 - member.started_at_ns) < PATIENCE * 1e9
    assert told[0].entries[1].started_at_ns == 0
    assert [event.kind for event in told] == [api.EndpointUpdateKind.CACHED, api.EndpointUpdateKind.FULL]
    assert told[1].entries[0].started_at_ns == member.started_at_ns  # the same start, not a restart


async def test_an_older_version_changes_nothing() -> None:
    one, told = directory()
    one.apply(listing(5, entry("c0", "127.0.0.1:1")))
    one.apply(listing(4))
    one.apply(listing(5, entry("c0", "127.0.0.1:1", state="Gone"), whole=False))
    assert len(told) == 1 and one.version == 5 and one.can_serve


async def test_an_entry_that_makes_no_sense_is_skipped_with_a_line(caplog: pytest.LogCaptureFixture) -> None:
    one, told = directory()
    odd: list[Any] = [
        entry("x1", "127.0.0.1:1", model="m99"),
        entry("x2", "127.0.0.1:1", az="z"),
        entry("x3", "127.0.0.1:1", state="Dreaming"),
        entry("x4", "nowhere"),
        entry("x5", "127.0.0.1:1", boot_ms="then"),
        {"uid": "x6"},
        "x7",
    ]
    one.apply(listing(1, *odd, entry("c0", "127.0.0.1:1")))
    assert [member.server for member in told[0].entries] == ["c0"]
    assert caplog.text.count("is skipped") == len(odd)
    answers: list[Any] = [None, [], {"targets": []}, {"rev": "1", "targets": []}, {"rev": 2}]
    for bad in answers:
        with pytest.raises(ListError):
            one.apply(bad)


async def test_a_changed_endpoint_or_start_drops_the_old_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)
    async with router(lambda asked, line: hit() if asked[2] != b"hang" else None) as bench:
        caller = await bench.caller()
        caller.get()
        await caller.answer()
        caller.get(name=b"hang", info=b"c=once,t=acme,d=9000")
        await soon(lambda: len(bench.cache.got) == 2)
        boot = time.time_ns() // 1_000_000 + 1
        change = entry("c0", bench.cache.address, boot_ms=boot)
        bench.directory.apply(listing(6, change, whole=False))
        # The old process is gone with what it held, which may have run.
        assert str(await caller.answer()) == "ERR failed"
        await soon(lambda: bench.cache.ended == 1)
        second = Cache(lambda asked, line: hit(b"second"))
        await second.start()
        first = bench.pools.pools["c0"]
        bench.directory.apply(listing(7, {**change, "endpoint": second.address}, whole=False))
        assert bench.pools.pools["c0"] is not first and first.retired
        await second.stop()


async def test_nothing_goes_to_a_server_that_drains_and_what_is_out_is_answered() -> None:
    async with router(lambda asked, line: None if asked[2] == b"i1" else hit()) as bench:
        caller = await bench.caller()
        caller.get(name=b"i1")
        await soon(lambda: bench.cache.got)
        gone = entry("c0", bench.cache.address, state="Terminating")
        bench.directory.apply(listing(6, gone, whole=False))
        other = await bench.caller()
        other.get(name=b"i2")
        assert str(await other.answer()).startswith("BUSY")
        bench.cache.lines[0].write(hit(b"late"))
        assert await caller.answer() == b"late"
        await soon(lambda: bench.cache.ended == 1)
        assert len(bench.cache.got) == 1 and not bench.directory.can_serve
        other.send(b"PING")
        assert str(await other.answer()).startswith("LOADING")


def whole_list(rev: int, *entries: Any, whole: bool = True) -> bytes:
    return http(200, json.dumps(listing(rev, *entries, whole=whole)).encode())


async def test_the_watch_goes_on_and_after_a_failure_asks_for_the_whole_list() -> None:
    c0, c1 = entry("c0", "127.0.0.1:1"), entry("c1", "127.0.0.1:1")
    script: list[bytes | None] = [
        whole_list(7, c0),
        whole_list(8, c1, whole=False),
        http(503),  # down
        whole_list(9, c0, c1),
        None,  # silent
        b"garbage\r\n\r\n",
        http(200, b"{not JSON"),
        whole_list(10, c0),
    ]
    web = Web(lambda asked, line: script.pop(0) if script else None)
    await web.start()
    one, told = directory()
    host, _, port = web.address.partition(":")
    watch = DiscoveryWatch((host, int(port)), one, 1, must_ask=False)
    watch.times = PollTimes(hold=0.1, late=0.3, patience=0.3, first_pause=0.05, most_pause=1.0)
    watch.start()
    await soon(lambda: one.version == 10 and len(web.got) > 8)
    targets = [asked[1] for asked in web.got[:9]]
    full, after = b"/api/targets", b"/api/targets?from=%d&hold_ms=100"
    assert targets == [full, after % 7, after % 8, full, after % 9, full, full, full, after % 10]
    assert [event.kind for event in told] == [
        api.EndpointUpdateKind.FULL,
        api.EndpointUpdateKind.DELTA,
        api.EndpointUpdateKind.FULL,
        api.EndpointUpdateKind.FULL,
    ]
    watch.stop()
    await web.stop()


async def test_where_lists_are_asked_for_a_failure_is_told_to_the_decisions() -> None:
    web = Web(lambda asked, line: http(503))
    await web.start()
    one, told = directory()
    host, _, port = web.address.partition(":")
    watch = DiscoveryWatch((host, int(port)), one, 1, must_ask=True)
    watch.start()
    await soon(lambda: told)
    assert told[0].kind is api.EndpointUpdateKind.FAILED and len(web.got) == 1
    await soon(lambda: watch.task is not None and watch.task.done())
    watch.start()
    await soon(lambda: len(told) == 2)
    watch.stop()
    await web.stop()


async def program(env: dict[str, str]) -> asyncio.subprocess.Process:
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


async def test_a_port_in_use_ends_with_one_plain_line(tmp_path: Path) -> None:
    taken = Web(lambda asked, line: None)
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


async def test_the_program_serves_and_on_sigterm_answers_what_it_holds(tmp_path: Path) -> None:
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
    await soon(lambda: cache.got)
    begun = time.monotonic()
    running.send_signal(signal.SIGTERM)
    late = Caller(*await asyncio.open_connection(*address))
    late.get(name=b"late")
    assert await late.answer() == b"v"
    caller.get(name=b"i1")
    assert await caller.answer() == b"v"
    assert str(await slow.answer()) == "ERR failed"
    assert [await one.answer() for one in (caller, slow, late)] == [None] * 3
    assert await asyncio.wait_for(running.wait(), PATIENCE) == 0
    assert time.monotonic() - begun >= 0.5
    await drain
    await cache.stop()


async def test_sighup_moves_the_watch_and_nothing_else(tmp_path: Path) -> None:
    """The program ended on SIGHUP, with all that it held. The new address counts its versions anew."""
    cache = Cache(lambda asked, line: None if asked[2] == b"slow" else hit())
    second = Cache(lambda asked, line: hit(b"second"))
    await cache.start()
    await second.start()
    c0, c1 = (entry(f"c{n}", one.address, boot_ms=1) for n, one in enumerate((cache, second)))
    told = [whole_list(50, c0)], [whole_list(3, {**c0, "state": "Terminating"}, c1)]
    old = Web(lambda asked, line: told[0].pop() if told[0] else None)
    new = Web(lambda asked, line: told[1].pop() if told[1] else None)
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
    await soon(lambda: cache.got)
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
    await soon(lambda: len(new.got) == 2)
    assert [asked[1].split(b"&")[0] for asked in new.got] == [b"/api/targets", b"/api/targets?from=3"]
    await soon(lambda: old.ended == len(old.lines))
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
    caller.send(b"PING")
    return await caller.answer()
