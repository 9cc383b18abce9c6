"""Watch streams of the fake etcd: creation, cancellation, events since a revision, progress notifications.

A watch that starts from a compacted revision is cancelled with `compact_revision`; progress that a client
asked for is reported under the watch id -1.
"""

import asyncio
from dataclasses import dataclass
from typing import Any, Protocol

from grpclib import GRPCError, Status

from rainhitch.protocol import etcd
from rainhitch.rehearsal.fakes.etcd_cluster_state import EtcdClusterState
from rainhitch.rehearsal.fakes.etcd_store import KeyVersion, range_contains

FRAGMENT_BYTES = 64 << 10  # of events, beyond which a response is cut where its watch allows that
PROGRESS_INTERVAL_S = 10.0  # between progress notifications that nobody asked for
WAKE_INTERVAL_S = 1.0  # between looks at the faults where nothing wakes the stream
EVERY_WATCH = -1  # the watch id of progress that was asked for


def key_value_message(key: bytes, version: KeyVersion) -> Any:
    """A key's version as the API's KeyValue; a deleted one has an empty value."""
    return etcd.message(
        "KeyValue",
        key=key,
        value=b"" if version.value is None else version.value,
        create_revision=version.create_revision,
        mod_revision=version.revision,
        version=version.version,
        lease=version.lease_id,
    )


class WatchedMember(Protocol):
    """What a watch stream needs of the member that serves it."""

    cluster: EtcdClusterState
    number: int
    down: bool

    @property
    def seen_revision(self) -> int:
        """The last revision that the member knows of."""

    def header(self) -> Any:
        """The header of a response."""


@dataclass(eq=False)
class Watch:
    """One watch on a stream, and up to where in the history its events are sent."""

    watch_id: int
    begin: bytes
    end: bytes
    next_revision: int
    with_previous: bool
    may_fragment: bool
    notifies_progress: bool


class WatchStream:
    """All watches of one gRPC stream. A request, a commit and a fault wake the same loop."""

    def __init__(self, member: WatchedMember, stream: Any) -> None:
        self._member = member
        self._cluster = member.cluster
        self._stream = stream
        self._generation = self._cluster.stream_generation
        self._watches: dict[int, Watch] = {}
        self._wake_up = asyncio.Event()
        self._requests: asyncio.Queue[Any] = asyncio.Queue()

    async def run(self) -> None:
        """Serves the stream until its client ends it.

        Raises:
            GRPCError: a fault ends it.
        """
        cluster = self._cluster
        loop = asyncio.get_running_loop()
        cluster.store.change_listeners.append(self._wake_up.set)
        cluster.watch_wake_ups.append(self._wake_up)
        reading = asyncio.ensure_future(self._read_requests())
        notified_at_s = loop.time()
        try:
            while not reading.done() or not self._requests.empty():
                self._wake_up.clear()
                await cluster.hold_answer()
                self._check_available()
                await self._serve()
                if loop.time() - notified_at_s > PROGRESS_INTERVAL_S:
                    notified_at_s = loop.time()
                    await self._notify_progress()
                waking = asyncio.ensure_future(self._wake_up.wait())
                try:
                    await asyncio.wait(
                        [waking, reading], timeout=WAKE_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED
                    )
                finally:
                    waking.cancel()
        finally:
            reading.cancel()
            cluster.store.change_listeners.remove(self._wake_up.set)
            cluster.watch_wake_ups.remove(self._wake_up)

    async def _read_requests(self) -> None:
        while (request := await self._stream.recv_message()) is not None:
            self._requests.put_nowait(request)
            self._wake_up.set()

    def _check_available(self) -> None:
        """Raises GRPCError where a fault is to end the stream."""
        if self._cluster.leaderless:
            raise GRPCError(Status.UNAVAILABLE, etcd.NO_LEADER)
        if self._generation != self._cluster.stream_generation or self._member.down:
            raise GRPCError(Status.UNAVAILABLE, "etcdserver: server stopped")

    async def _respond(self, watch_id: int, **fields: Any) -> None:
        await self._stream.send_message(
            etcd.message("WatchResponse", header=self._member.header(), watch_id=watch_id, **fields)
        )

    async def _serve(self) -> None:
        """Takes the requests, sends each watch its events, then the progress that was asked for."""
        progress_asked = False
        while not self._requests.empty():
            progress_asked |= await self._take_request(self._requests.get_nowait())
        if progress_asked and self._cluster.progress_before_events:
            await self._respond(EVERY_WATCH)
        for watch in list(self._watches.values()):
            await self._send_events(watch)
        if progress_asked and not self._cluster.progress_before_events:
            await self._respond(EVERY_WATCH)

    async def _notify_progress(self) -> None:
        for watch in self._watches.values():
            if watch.notifies_progress:
                await self._respond(watch.watch_id)

    async def _take_request(self, request: Any) -> bool:
        """Carries out one request; returns whether it asks for progress."""
        kind = request.WhichOneof("request_union")
        if kind == "create_request":
            asked = request.create_request
            watch_id = asked.watch_id if asked.watch_id else len(self._watches)
            first = asked.start_revision if asked.start_revision else self._member.seen_revision + 1
            self._watches[watch_id] = Watch(
                watch_id,
                asked.key,
                asked.range_end,
                first,
                asked.prev_kv,
                asked.fragment,
                asked.progress_notify,
            )
            await self._respond(watch_id, created=True)
        elif kind == "cancel_request":
            watch_id = request.cancel_request.watch_id
            if self._watches.pop(watch_id, None) is not None:
                await self._respond(watch_id, canceled=True)
        return bool(kind == "progress_request")

    async def _send_events(self, watch: Watch) -> None:
        """Sends what was committed since the watch's last event, or cancels it where that is compacted."""
        store = self._cluster.store
        last_revision = self._member.seen_revision
        if watch.next_revision <= store.compacted_revision and watch.next_revision <= last_revision:
            del self._watches[watch.watch_id]
            await self._respond(watch.watch_id, canceled=True, compact_revision=store.compacted_revision)
            return
        events: list[Any] = []
        for revision in range(watch.next_revision, last_revision + 1):
            for key in store.keys_by_revision.get(revision, ()):
                if range_contains(key, watch.begin, watch.end):
                    events.append(self._event(key, revision, watch.with_previous))
        watch.next_revision = max(watch.next_revision, last_revision + 1)
        while events:
            count = _response_length(events, watch.may_fragment)
            await self._respond(watch.watch_id, events=events[:count], fragment=count < len(events))
            events = events[count:]

    def _event(self, key: bytes, revision: int, with_previous: bool) -> Any:
        store = self._cluster.store
        version = next(one for one in store.versions[key] if one.revision == revision)
        kind = etcd.PUT if version.value is not None else etcd.DELETE
        event = etcd.message("Event", type=kind, kv=key_value_message(key, version))
        self._cluster.entry_sent(self._member.number, key, version.value is not None)
        previous = store.at(key, revision - 1) if with_previous else None
        if previous is not None:
            event.prev_kv.CopyFrom(key_value_message(key, previous))
        return event


def _response_length(events: list[Any], may_fragment: bool) -> int:
    """How many of the events go into one response."""
    if not may_fragment:
        return len(events)
    size_bytes = 0
    for count, event in enumerate(events):
        if size_bytes >= FRAGMENT_BYTES:
            return count
        size_bytes += event.ByteSize()
    return len(events)
