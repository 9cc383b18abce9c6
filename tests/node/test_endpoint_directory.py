"""The router's endpoint list: versions, entries, and the effect on the connection pools."""

import time
from typing import Any

import pytest
from peers import PATIENCE, Cache, entry, hit, info, router, wait_until
from program import listing

from rainhitch import interface as api
from rainhitch.node import connection_pool
from rainhitch.node.connection_pool import ConnectionPools
from rainhitch.node.endpoint_directory import EndpointDirectory
from rainhitch.node.endpoint_list import EndpointListError
from rainhitch.settings import read_names


def make_directory() -> tuple[EndpointDirectory, list[api.EndpointUpdate]]:
    """Returns a directory and the list of the updates that it publishes."""
    updates: list[api.EndpointUpdate] = []
    return EndpointDirectory(read_names(info()), 1, ConnectionPools(64, 0.25, 60.0), updates.append), updates


@pytest.mark.parametrize("is_whole", [True, False])
async def test_a_server_whose_address_a_newer_one_has_taken_over_is_gone(is_whole: bool) -> None:
    """A new process at the address of one that had gone got the full load of that one, still listed.

    It needs its slow start, and holds other keys.
    """
    directory, updates = make_directory()
    boot = time.time_ns() // 1_000_000
    old, other = entry("c0", "127.0.0.1:1"), entry("c1", "127.0.0.1:2", boot_ms=boot - 5000)
    directory.apply(listing(1, old, other), cached=True)
    new = entry("c9", "127.0.0.1:1", boot_ms=boot)
    directory.apply(listing(2, old, other, new) if is_whole else listing(2, new, whole=False))
    assert sorted(directory.targets) == sorted(directory.pools.pools) == ["c1", "c9"]
    states = {endpoint.server: endpoint.state for endpoint in updates[-1].entries}
    assert states.pop("c0", api.EndpointState.GONE) is api.EndpointState.GONE
    assert states["c9"] is api.EndpointState.READY
    directory.apply(listing(3, old, whole=False))  # told late, or again
    assert sorted(directory.targets) == ["c1", "c9"]
    directory.apply(listing(4, old, other))  # the newer one has gone
    assert sorted(directory.targets) == ["c0", "c1"]


async def test_servers_that_started_at_the_same_time_may_share_an_address() -> None:
    directory, _ = make_directory()
    shared = [entry(name, "127.0.0.1:1") for name in ("c0", "c1")]
    directory.apply(listing(1, *shared), cached=True)
    assert sorted(directory.targets) == ["c0", "c1"]


async def test_a_list_becomes_an_update_with_names_as_indexes_and_start_times_on_the_clock() -> None:
    directory, updates = make_directory()
    boot = time.time_ns() // 1_000_000 - 1000
    entries = (
        entry("c0", "127.0.0.1:1", az="b", pod_group=3, capacity_hint=1.5, boot_ms=boot),
        entry("o", "h:2"),
    )
    directory.apply(listing(1, *entries), cached=True)
    directory.apply(listing(2, *entries))
    member = updates[0].entries[0]
    assert (member.server, member.zone, member.cell, member.weight) == ("c0", 1, 3, 1.5)
    assert abs(time.monotonic_ns() - 1_000_000_000 - member.started_at_ns) < PATIENCE * 1e9
    assert updates[0].entries[1].started_at_ns == 0
    assert [event.kind for event in updates] == [api.EndpointUpdateKind.CACHED, api.EndpointUpdateKind.FULL]
    assert updates[1].entries[0].started_at_ns == member.started_at_ns  # the same start, not a restart


async def test_an_older_version_changes_nothing() -> None:
    """A delayed response may hold an older list, which must not restore endpoints that are gone."""
    directory, updates = make_directory()
    directory.apply(listing(5, entry("c0", "127.0.0.1:1")))
    directory.apply(listing(4))
    directory.apply(listing(5, entry("c0", "127.0.0.1:1", state="Gone"), whole=False))
    assert len(updates) == 1 and directory.version == 5 and directory.can_serve


@pytest.mark.parametrize("is_whole", [True, False])
async def test_what_is_known_of_a_server_stays_while_its_entry_is_unreadable(is_whole: bool) -> None:
    """One unreadable entry must neither remove a server that is in use nor change it."""
    directory, updates = make_directory()
    known = [entry("c0", "127.0.0.1:1"), entry("c1", "127.0.0.1:2")]
    directory.apply(listing(1, *known))
    changed = [entry("c0", "127.0.0.1:1", state="Dreaming"), entry("c1", "127.0.0.1:2", state="Terminating")]
    directory.apply(listing(2, *changed, whole=is_whole))
    assert directory.unreadable_count == 1
    states = {name: listed.endpoint.state for name, listed in directory.targets.items()}
    assert states == {"c0": api.EndpointState.READY, "c1": api.EndpointState.DRAINING}
    assert {endpoint.server for endpoint in updates[-1].entries} >= {"c1"}
    directory.apply(listing(3, *known))
    assert directory.unreadable_count == 0


async def test_an_unreadable_entry_is_skipped_and_logged_and_the_others_stand(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """One invalid entry must not invalidate the list, and the log must name the entry for the operator."""
    directory, updates = make_directory()
    odd: list[Any] = [
        entry("x1", "127.0.0.1:1", model="m99"),
        entry("x2", "127.0.0.1:1", az="z"),
        entry("x3", "127.0.0.1:1", state="Dreaming"),
        entry("x4", "nowhere"),
        entry("x5", "127.0.0.1:1", boot_ms="then"),
        {"uid": "x6"},
        "x7",
    ]
    directory.apply(listing(1, *odd, entry("c0", "127.0.0.1:1")))
    assert [member.server for member in updates[0].entries] == ["c0"]
    assert caplog.text.count("endpoint list entry skipped") == len(odd)
    answers: list[Any] = [None, [], {"targets": []}, {"rev": "1", "targets": []}, {"rev": 2}]
    for bad in answers:
        with pytest.raises(EndpointListError):
            directory.apply(bad)


async def test_a_changed_address_or_start_time_drops_the_old_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A server that restarted has lost its requests, whose clients must get a response at once."""
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)
    async with router(lambda asked, line: hit() if asked[2] != b"hang" else None) as bench:
        caller = await bench.caller()
        caller.get()
        await caller.answer()
        caller.get(name=b"hang", info=b"c=once,t=acme,d=9000")
        await wait_until(lambda: len(bench.cache.received) == 2)
        boot = time.time_ns() // 1_000_000 + 1
        change = entry("c0", bench.cache.address, boot_ms=boot)
        bench.directory.apply(listing(6, change, whole=False))
        # The old process is gone with its requests, which may have run.
        assert str(await caller.answer()) == "ERR failed"
        await wait_until(lambda: bench.cache.ended == 1)
        second = Cache(lambda asked, line: hit(b"second"))
        await second.start()
        first = bench.pools.pools["c0"]
        bench.directory.apply(listing(7, {**change, "endpoint": second.address}, whole=False))
        assert bench.pools.pools["c0"] is not first and first.draining
        await second.stop()


async def test_a_draining_server_gets_no_request_and_those_in_flight_are_answered() -> None:
    async with router(lambda asked, line: None if asked[2] == b"i1" else hit()) as bench:
        caller = await bench.caller()
        caller.get(name=b"i1")
        await wait_until(lambda: bench.cache.received)
        gone = entry("c0", bench.cache.address, state="Terminating")
        bench.directory.apply(listing(6, gone, whole=False))
        other = await bench.caller()
        other.get(name=b"i2")
        assert str(await other.answer()).startswith("BUSY")
        bench.cache.lines[0].write(hit(b"late"))
        assert await caller.answer() == b"late"
        await wait_until(lambda: bench.cache.ended == 1)
        assert len(bench.cache.received) == 1 and not bench.directory.can_serve
        other.send(b"PING")
        assert str(await other.answer()).startswith("LOADING")
