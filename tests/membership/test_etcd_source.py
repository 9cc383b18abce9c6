"""The etcd source against the fake etcd over sockets: each fault, the router's list, and the log."""

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import orjson
import pytest
from peers import PATIENCE, entry, info, wait_until

from rainhitch import interface as api
from rainhitch.membership import watch_state_machine
from rainhitch.membership.endpoint_list_builder import EndpointListBuilder
from rainhitch.membership.etcd_client import EtcdOptions
from rainhitch.membership.etcd_source import EtcdSource
from rainhitch.node.connection_pool import ConnectionPools
from rainhitch.node.endpoint_directory import EndpointDirectory
from rainhitch.rehearsal.fakes.etcd_cluster import EtcdCluster
from rainhitch.settings import read_names

PREFIX = "/rainhitch/members/"


def stored_entry(name: str, state: str = "Ready", **changes: Any) -> bytes:
    """Returns an entry as etcd stores it."""
    return orjson.dumps(entry(name, "127.0.0.1:1", state=state, **changes))


@dataclass
class EtcdSetup:
    """A fake etcd, and a router's source and directory that follow it; `updates` are those published."""

    etcd: EtcdCluster
    source: EtcdSource
    directory: EndpointDirectory
    updates: list[api.EndpointUpdate]

    def put(self, name: str, state: str = "Ready", **changes: Any) -> None:
        """Stores an entry."""
        self.etcd.store.put(PREFIX.encode() + name.encode(), stored_entry(name, state, **changes))

    def states(self) -> dict[str, str]:
        """Returns the state of each server that the router knows."""
        return {uid: target.endpoint.state.value for uid, target in self.directory.targets.items()}

    async def wait_for_states(self, **states: str) -> None:
        """Waits until the router knows exactly these servers, in these states."""
        await wait_until(lambda: self.states() == states)


@contextlib.asynccontextmanager
async def etcd_setup(
    members: int = 1, known: list[str] | None = None, start: bool = True, **options: Any
) -> AsyncIterator[EtcdSetup]:
    """Starts a source that follows an etcd of `members` members with three entries, c0 to c2."""
    etcd = EtcdCluster(members)
    await etcd.start()
    updates: list[api.EndpointUpdate] = []
    directory = EndpointDirectory(read_names(info()), 1, ConnectionPools(64, 0.25, 60.0), updates.append)
    builder = EndpointListBuilder(directory.apply, lambda: directory.version)
    endpoints = [("127.0.0.1", member.port) for member in etcd.members]
    source = EtcdSource(EtcdOptions(endpoints, PREFIX, **options), builder.publish, 1, known)
    setup = EtcdSetup(etcd, source, directory, updates)
    for name in ("c0", "c1", "c2"):
        setup.put(name)
    try:
        if start:
            source.start()
            await setup.wait_for_states(c0="ready", c1="ready", c2="ready")
        yield setup
    finally:
        source.stop()
        etcd.silent = False
        await etcd.close()


def count_log_lines(caplog: pytest.LogCaptureFixture, part: str) -> int:
    """Returns how many log lines contain this text."""
    return sum(part in record.getMessage() for record in caplog.records)


async def test_a_drain_reaches_the_router_and_a_deletion_or_an_ended_lease_is_gone() -> None:
    async with etcd_setup() as setup:
        setup.put("c0", "Terminating")
        await setup.wait_for_states(c0="draining", c1="ready", c2="ready")
        setup.etcd.store.delete(PREFIX.encode() + b"c1")
        await setup.wait_for_states(c0="draining", c2="ready")
        now = [0.0]
        setup.etcd.store.clock = lambda: now[0]
        setup.etcd.store.put(PREFIX.encode() + b"c3", stored_entry("c3"), setup.etcd.store.grant_lease(2))
        await setup.wait_for_states(c0="draining", c2="ready", c3="ready")
        now[0] = 3.0
        await setup.wait_for_states(c0="draining", c2="ready")


async def test_two_changes_of_one_transaction_come_together() -> None:
    async with etcd_setup() as setup:
        before = len(setup.updates)
        key = PREFIX.encode()
        setup.etcd.store.commit(
            [(key + b"c0", stored_entry("c0", "Terminating"), 0), (key + b"c9", stored_entry("c9"), 0)]
        )
        await setup.wait_for_states(c0="draining", c1="ready", c2="ready", c9="ready")
        assert len(setup.updates) == before + 1


async def test_a_dropped_stream_resumes_and_no_change_is_published_twice() -> None:
    async with etcd_setup() as setup:
        for n in range(4):
            setup.etcd.drop()
            setup.put("c0", "Terminating" if n % 2 == 0 else "Ready")
            await setup.wait_for_states(c0="ready" if n % 2 else "draining", c1="ready", c2="ready")
        assert [event.kind for event in setup.updates] == [api.EndpointUpdateKind.FULL] + [
            api.EndpointUpdateKind.DELTA
        ] * 4


async def test_after_a_compaction_the_list_is_read_whole_and_compared(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A watch that was interrupted for longer than etcd's history must miss no drain and no deletion."""
    async with etcd_setup() as setup:
        await setup.etcd.kill(0)
        setup.put("c0", "Terminating")
        setup.etcd.store.delete(PREFIX.encode() + b"c1")
        setup.put("c7")
        setup.etcd.store.compact(setup.etcd.store.revision)
        await setup.etcd.revive(0)
        await setup.wait_for_states(c0="draining", c2="ready", c7="ready")
        assert count_log_lines(caplog, "revision compacted") == 1


async def test_a_silent_stream_is_given_up_within_the_stated_time(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(watch_state_machine, "SILENCE_LIMIT_NS", 600_000_000)
    monkeypatch.setattr(watch_state_machine, "PROGRESS_INTERVAL_NS", 200_000_000)
    async with etcd_setup(members=2) as setup:
        await wait_until(lambda: setup.source.machine.mode is watch_state_machine.Mode.WATCHING)
        setup.etcd.silent = True
        await wait_until(lambda: count_log_lines(caplog, "silent for"))
        setup.etcd.silent = False
        setup.put("c0", "Terminating")
        await setup.wait_for_states(c0="draining", c1="ready", c2="ready")
        assert count_log_lines(caplog, "available again") == 1


async def test_a_quiet_watch_is_asked_for_progress_and_kept() -> None:
    async with etcd_setup() as setup:
        await wait_until(lambda: setup.source.machine.mode is watch_state_machine.Mode.WATCHING)
        last_response_at_ns = setup.source.machine.last_response_at_ns
        await wait_until(lambda: setup.source.machine.last_response_at_ns > last_response_at_ns)
        assert not setup.source.machine.is_failing and setup.source.endpoint_switches == 0


async def test_progress_reported_ahead_of_its_events_loses_no_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    """A progress report arrived before its events; a drain with a lower revision was ignored for good."""
    monkeypatch.setattr(watch_state_machine, "PROGRESS_INTERVAL_NS", 100_000_000)
    async with etcd_setup() as setup:
        await wait_until(lambda: setup.source.machine.mode is watch_state_machine.Mode.WATCHING)
        setup.etcd.progress_before_events, setup.etcd.silent = True, True
        await asyncio.sleep(0.5)  # progress is requested meanwhile
        setup.put("c0", "Terminating")
        setup.etcd.silent = False
        await setup.wait_for_states(c0="draining", c1="ready", c2="ready")


async def test_a_member_that_lags_does_not_undo_a_drain(caplog: pytest.LogCaptureFixture) -> None:
    """A fail-over to a lagging member must not undo a drain."""
    async with etcd_setup(members=2) as setup:
        setup.put("c0", "Terminating")
        await setup.wait_for_states(c0="draining", c1="ready", c2="ready")
        setup.etcd.lag(1, behind=1)
        await setup.etcd.kill(0)
        await wait_until(lambda: setup.source.endpoint_switches >= 3)
        assert setup.states()["c0"] == "draining"
        setup.etcd.lag(-1)
        setup.put("c1", "Terminating")
        await setup.wait_for_states(c0="draining", c1="draining", c2="ready")


async def test_it_fails_over_between_endpoints_and_the_list_stays(caplog: pytest.LogCaptureFixture) -> None:
    async with etcd_setup(members=2) as setup:
        await setup.etcd.kill(0)
        setup.put("c0", "Terminating")
        await setup.wait_for_states(c0="draining", c1="ready", c2="ready")
        await setup.etcd.kill(1)
        await wait_until(lambda: setup.source.machine.failures > 2)
        assert (
            setup.states() == {"c0": "draining", "c1": "ready", "c2": "ready"} and setup.directory.can_serve
        )
        await setup.etcd.revive(0)
        setup.put("c1", "Terminating")
        await setup.wait_for_states(c0="draining", c1="draining", c2="ready")


async def test_without_a_leader_the_list_stays_in_use_and_continues_with_the_next_leader(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """While etcd elects a leader it answers nothing: the router must serve from its current list."""
    async with etcd_setup() as setup:
        setup.etcd.set_leader(False)
        await wait_until(lambda: count_log_lines(caplog, "no leader"))
        assert len(setup.states()) == 3
        setup.put("c0", "Terminating")
        setup.etcd.set_leader(True)
        await setup.wait_for_states(c0="draining", c1="ready", c2="ready")


async def test_a_restored_backup_is_logged_and_read_again(caplog: pytest.LogCaptureFixture) -> None:
    async with etcd_setup() as setup:
        backup = setup.etcd.store.revision
        setup.put("c0", "Terminating")
        setup.put("c5")
        await setup.wait_for_states(c0="draining", c1="ready", c2="ready", c5="ready")
        setup.etcd.restore(backup)
        await setup.wait_for_states(c0="ready", c1="ready", c2="ready")
        assert count_log_lines(caplog, "cluster id changed") == 1
        setup.put("c2", "Terminating")
        await setup.wait_for_states(c0="ready", c1="ready", c2="draining")


async def test_an_unreadable_entry_is_logged_once_and_the_others_stay_in_use(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async with etcd_setup() as setup:
        for value in (b"{", b"[]", b'{"uid": "other"}'):
            setup.etcd.store.put(PREFIX.encode() + b"c0", value)
            setup.etcd.store.put(PREFIX.encode() + b"bad", value)
        setup.put("c1", "Terminating")
        await setup.wait_for_states(c0="ready", c1="draining", c2="ready")
        await asyncio.sleep(0.2)
        assert (
            count_log_lines(caplog, "entry unreadable uid=bad") == 1
            and count_log_lines(caplog, "entry unreadable uid=c0") == 1
        )


async def test_a_password_is_checked_and_an_expired_token_is_fetched_again(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async with etcd_setup(start=False, user="router", password="secret") as setup:
        setup.etcd.users["router"] = "secret"
        setup.source.start()
        await setup.wait_for_states(c0="ready", c1="ready", c2="ready")
        setup.etcd.expire_tokens()
        setup.etcd.drop()
        setup.put("c0", "Terminating")
        await setup.wait_for_states(c0="draining", c1="ready", c2="ready")
    async with etcd_setup(start=False, user="router", password="wrong") as setup:
        setup.etcd.users["router"] = "secret"
        setup.source.start()
        await wait_until(lambda: count_log_lines(caplog, "authentication failed"))
        assert not setup.directory.can_serve


async def test_a_wrong_prefix_does_not_drop_all_endpoints_at_once(caplog: pytest.LogCaptureFixture) -> None:
    async with etcd_setup(start=False, known=[f"k{n}" for n in range(9)]) as setup:
        setup.source.options.prefix = "/nobody/"
        setup.source.start()
        await wait_until(lambda: count_log_lines(caplog, "read drops too many dropped=9 known=9"))


async def test_a_list_of_many_pages_and_a_response_of_10_mb_are_applied() -> None:
    async with etcd_setup() as setup:
        keys = [(PREFIX.encode() + b"m%d" % n, stored_entry(f"m{n}"), 0) for n in range(2500)]
        setup.etcd.store.commit(keys)
        await wait_until(lambda: len(setup.directory.targets) == 2503)
        large_entry = stored_entry("c0", "Terminating", note="x" * (10 << 20))
        setup.etcd.store.put(PREFIX.encode() + b"c0", large_entry)
        await wait_until(lambda: setup.states()["c0"] == "draining")
    async with etcd_setup(start=False) as setup:
        setup.etcd.store.commit(keys)
        setup.source.start()
        await wait_until(lambda: len(setup.directory.targets) == 2503)


async def test_a_slow_etcd_delays_a_change_and_loses_none() -> None:
    async with etcd_setup() as setup:
        setup.etcd.delay_s = 0.3
        setup.put("c0", "Terminating")
        await setup.wait_for_states(c0="draining", c1="ready", c2="ready")


async def test_a_server_that_is_not_etcd_is_logged_and_publishes_nothing(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A wrong address in the operator's file must show in the log, and must not empty the list."""

    async def send_http_error(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 400 Bad Request\r\n\r\n")
        writer.close()

    server = await asyncio.start_server(send_http_error, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    updates: list[bool] = []
    source = EtcdSource(
        EtcdOptions([("127.0.0.1", port)], PREFIX, timeout_s=0.5), lambda a, b: updates.append(b), 1
    )
    source.start()
    async with asyncio.timeout(PATIENCE):
        await wait_until(lambda: count_log_lines(caplog, "etcd unavailable"))
    source.stop()
    server.close()
    assert not updates


logging.getLogger("rainhitch").setLevel(logging.INFO)
