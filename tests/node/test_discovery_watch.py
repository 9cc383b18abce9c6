"""The watch on discovery over loopback sockets."""

import json
from typing import Any

import orjson
import pytest
from peers import HttpPeer, entry, http, info, wait_until
from program import listing

from rainhitch import interface as api
from rainhitch.node.connection_pool import ConnectionPools
from rainhitch.node.discovery_watch import MAX_REREADS, DiscoveryWatch, failure_label
from rainhitch.node.endpoint_directory import EndpointDirectory
from rainhitch.node.endpoint_list import EndpointListError
from rainhitch.node.polling import PollTimes
from rainhitch.protocol.http1 import HttpError
from rainhitch.settings import read_names


def make_directory() -> tuple[EndpointDirectory, list[api.EndpointUpdate]]:
    """Returns a directory and the list of the updates that it publishes."""
    updates: list[api.EndpointUpdate] = []
    return EndpointDirectory(read_names(info()), 1, ConnectionPools(64, 0.25, 60.0), updates.append), updates


def whole_list(rev: int, *entries: Any, whole: bool = True) -> bytes:
    """Returns discovery's HTTP response; `whole` says that it has all entries."""
    return http(200, json.dumps(listing(rev, *entries, whole=whole)).encode())


def watch_of(discovery: HttpPeer, directory: EndpointDirectory, polled: bool) -> DiscoveryWatch:
    """Returns a watch on a discovery that listens."""
    host, _, port = discovery.address.partition(":")
    return DiscoveryWatch((host, int(port)), directory, 1, polled=polled)


async def test_the_watch_continues_and_after_a_failure_asks_for_the_whole_list() -> None:
    c0, c1 = entry("c0", "127.0.0.1:1"), entry("c1", "127.0.0.1:1")
    script: list[bytes | None] = [
        whole_list(7, c0),
        whole_list(8, c1, whole=False),
        http(503),  # down
        whole_list(9, c0, c1),
        None,  # no response
        b"garbage\r\n\r\n",
        http(200, b"{not JSON"),
        whole_list(10, c0),
    ]
    discovery = HttpPeer(lambda asked, line: script.pop(0) if script else None)
    await discovery.start()
    directory, updates = make_directory()
    watch = watch_of(discovery, directory, polled=False)
    watch.times = PollTimes(hold_s=0.1, hold_margin_s=0.3, timeout_s=0.3, first_pause_s=0.05, max_pause_s=1.0)
    watch.start()
    await wait_until(lambda: directory.version == 10 and len(discovery.received) > 8)
    targets = [asked[1] for asked in discovery.received[:9]]
    full, after = b"/api/targets", b"/api/targets?from=%d&hold_ms=100"
    assert targets == [full, after % 7, after % 8, full, after % 9, full, full, full, after % 10]
    assert [event.kind for event in updates] == [
        api.EndpointUpdateKind.FULL,
        api.EndpointUpdateKind.DELTA,
        api.EndpointUpdateKind.FULL,
        api.EndpointUpdateKind.FULL,
    ]
    watch.stop()
    await discovery.stop()


async def test_a_change_in_an_entry_that_could_not_be_read_is_asked_for_again() -> None:
    """A drain was missed for good: discovery tells a change once, and the answer with it counted as read."""
    spoilt = entry("c0", "127.0.0.1:1", state="Terminat?ng")
    drained = entry("c0", "127.0.0.1:1", state="Terminating")
    script = [
        whole_list(7, entry("c0", "127.0.0.1:1")),
        whole_list(8, spoilt, whole=False),
        whole_list(8, drained),
    ]
    discovery = HttpPeer(lambda asked, line: script.pop(0) if script else None)
    await discovery.start()
    directory, _ = make_directory()
    watch = watch_of(discovery, directory, polled=False)
    watch.start()
    await wait_until(lambda: directory.targets and not directory.can_serve)
    targets = [asked[1].partition(b"&")[0] for asked in discovery.received]
    assert targets[:3] == [b"/api/targets", b"/api/targets?from=7", b"/api/targets"]
    watch.stop()
    await discovery.stop()


async def test_an_entry_that_stays_unreadable_is_asked_for_a_few_times_only() -> None:
    """The changes of all other servers must stay known in time, at the cost of a watch."""
    answer = whole_list(7, entry("c0", "127.0.0.1:1"), entry("c1", "127.0.0.1:1", model="m99"))
    discovery = HttpPeer(lambda asked, line: None if b"from" in asked[1] else answer)
    await discovery.start()
    directory, _ = make_directory()
    watch = watch_of(discovery, directory, polled=False)
    watch.start()
    await wait_until(lambda: any(b"from=7" in asked[1] for asked in discovery.received))
    assert len(discovery.received) == 1 + MAX_REREADS + 1
    assert directory.can_serve and watch.reread_count == 0
    watch.stop()
    await discovery.stop()


async def test_where_lists_are_polled_a_failure_is_reported_to_the_decisions() -> None:
    discovery = HttpPeer(lambda asked, line: http(503))
    await discovery.start()
    directory, updates = make_directory()
    watch = watch_of(discovery, directory, polled=True)
    watch.start()
    await wait_until(lambda: updates)
    assert updates[0].kind is api.EndpointUpdateKind.FAILED and len(discovery.received) == 1
    await wait_until(lambda: watch.task is not None and watch.task.done())
    watch.start()
    await wait_until(lambda: len(updates) == 2)
    watch.stop()
    await discovery.stop()


@pytest.mark.parametrize(
    ("problem", "label"),
    [
        (EndpointListError("no list"), "ListError"),
        (HttpError("expected status 200, got 503"), "HttpError"),
        (orjson.JSONDecodeError("odd", "{", 0), "JSONDecodeError"),
        (TimeoutError("no response within 0.6 s"), "TimeoutError"),
        (ConnectionRefusedError(), "ConnectionRefusedError"),
        (ConnectionResetError(), "ConnectionResetError"),
    ],
)
def test_a_failed_call_is_counted_under_the_label_that_records_have_always_had(
    problem: Exception, label: str
) -> None:
    assert failure_label(problem) == label
