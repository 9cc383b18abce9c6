"""A stand-in for etcd: the published v3 gRPC API over a multi-version store, with faults on cue.

etcd = Etcd(); await etcd.start(); etcd.endpoints      # one for each member
etcd.store.put(b"/rainhitch/members/n0", b"{...}")
etcd.drop(); etcd.silent = True; etcd.delay_s = 0.5; etcd.store.compact(7); etcd.lag(1)
etcd.lead(False); etcd.expire_tokens(); etcd.restore(revision=3); etcd.refuse = True

Written from the API's published description: revisions begin at 1, each commit adds one, all of a
transaction share theirs; a watch from a compacted revision is cancelled with compact_revision; progress is
told with watch id -1.
"""

import asyncio
import itertools
import ssl
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from grpclib import GRPCError, Status
from grpclib.const import Cardinality, Handler
from grpclib.server import Server

from rainhitch import system
from rainhitch.protocol import etcd

FRAGMENT = 64 << 10  # bytes of events beyond which a response is cut, where a watch allows it
NOTIFY = 10.0  # s between progress notifications that nobody asked for


@dataclass(slots=True)
class Version:
    """A key as one commit left it; value None: deleted."""

    revision: int
    create: int
    version: int
    value: bytes | None
    lease: int = 0


class StoreError(ValueError):
    """What a store does not allow, in etcd's own words."""


@dataclass
class Store:
    """Keys under revisions. Pure but for the clock that leases end by, in seconds."""

    clock: Callable[[], float] = field(default=lambda: system.now() / 1e9)
    cluster: int = 0x1F00D
    revision: int = 1
    compacted: int = 0
    keys: dict[bytes, list[Version]] = field(default_factory=dict)
    commits: dict[int, list[bytes]] = field(default_factory=dict)  # the keys that each revision touched
    leases: dict[int, tuple[float, int]] = field(default_factory=dict)  # when it ends, its time to live
    changed: list[Callable[[], None]] = field(default_factory=list)

    def at(self, key: bytes, revision: int) -> Version | None:
        """A key as of a revision; None where it was not there."""
        for one in reversed(self.keys.get(key, [])):
            if one.revision <= revision:
                return one if one.value is not None else None
        return None

    def range(self, key: bytes, end: bytes, revision: int = 0) -> list[tuple[bytes, Version]]:
        """The keys in a range as of a revision, sorted; 0: as of now."""
        if revision > self.revision:
            raise StoreError(etcd.FUTURE)
        if revision and revision < self.compacted:
            raise StoreError(etcd.COMPACTED)
        inside = sorted(one for one in self.keys if within(one, key, end))
        pairs = ((one, self.at(one, revision or self.revision)) for one in inside)
        return [(one, version) for one, version in pairs if version is not None]

    def commit(self, writes: Sequence[tuple[bytes, bytes | None, int]]) -> int:
        """Carries out puts and deletions (value None) as one commit; gives its revision. A key is written
        once."""
        writes = [one for one in writes if one[1] is not None or self.at(one[0], self.revision)]
        if not writes:
            return self.revision
        if len({key for key, _, _ in writes}) < len(writes):
            raise StoreError("etcdserver: duplicate key given in txn request")
        if any(lease and lease not in self.leases for _, _, lease in writes):
            raise StoreError(etcd.NO_LEASE)
        revision = self.revision + 1
        for key, value, lease in writes:
            before = self.at(key, self.revision)
            create, count = (before.create, before.version + 1) if before else (revision, 1)
            self.keys.setdefault(key, []).append(
                Version(revision, 0 if value is None else create, 0 if value is None else count, value, lease)
            )
        self.revision = revision
        self.commits[revision] = [key for key, _, _ in writes]
        for tell in list(self.changed):
            tell()
        return revision

    def put(self, key: bytes, value: bytes, lease: int = 0) -> int:
        return self.commit([(key, value, lease)])

    def delete(self, key: bytes, end: bytes = b"") -> int:
        return self.commit([(one, None, 0) for one, _ in self.range(key, end)])

    def compact(self, revision: int) -> None:
        """Forgets what was before a revision."""
        if revision <= self.compacted:
            raise StoreError(etcd.COMPACTED)
        if revision > self.revision:
            raise StoreError(etcd.FUTURE)
        self.compacted = revision
        for key, versions in list(self.keys.items()):
            kept = [one for one in versions if one.revision > revision]
            last = next((one for one in reversed(versions) if one.revision <= revision), None)
            self.keys[key] = ([last] if last is not None and last.value is not None else []) + kept
            if not self.keys[key]:
                del self.keys[key]
        for old in [one for one in self.commits if one <= revision]:
            del self.commits[old]

    def grant(self, ttl: int, number: int = 0) -> int:
        number = number or len(self.leases) + 0x1EA5E
        self.leases[number] = (self.clock() + ttl, ttl)
        return number

    def keep(self, number: int) -> int:
        """Renews a lease; gives its time to live, 0 for one that is not there."""
        if number not in self.leases:
            return 0
        ttl = self.leases[number][1]
        self.leases[number] = (self.clock() + ttl, ttl)
        return ttl

    def revoke(self, number: int) -> None:
        if self.leases.pop(number, None) is None:
            raise StoreError(etcd.NO_LEASE)
        held = [key for key, one in self.range(b"\0", b"\0") if one.lease == number]
        self.commit([(key, None, 0) for key in held])

    def expire(self) -> None:
        """Ends the leases whose time is over."""
        for number in [one for one, (until, _) in self.leases.items() if until <= self.clock()]:
            self.revoke(number)

    def restore(self, revision: int) -> None:
        """Becomes what it was at a revision, as another cluster: what a backup gives."""
        for key in list(self.keys):
            self.keys[key] = [one for one in self.keys[key] if one.revision <= revision]
        self.commits = {one: keys for one, keys in self.commits.items() if one <= revision}
        self.revision, self.cluster = revision, self.cluster + 1


def within(key: bytes, begin: bytes, end: bytes) -> bool:
    """Whether a key lies in a range, as etcd writes ranges."""
    if not end:
        return key == begin
    return key >= begin and (end == b"\0" or key < end)


def key_value(key: bytes, one: Version) -> Any:
    return etcd.message(
        "KeyValue",
        key=key,
        value=one.value or b"",
        create_revision=one.create,
        mod_revision=one.revision,
        version=one.version,
        lease=one.lease,
    )


@dataclass(eq=False)
class Watcher:
    """One watch on a stream: where it stands in the history."""

    id: int
    key: bytes
    end: bytes
    next: int
    prev: bool
    fragment: bool
    notify: bool


class Member:
    """One endpoint. `seen` is the last revision that it has heard of: less than the store's while it lags."""

    def __init__(self, world: "Etcd", number: int) -> None:
        self.world, self.number = world, number
        self.frozen = 0  # a revision that it stays at
        self.down = False
        self.server: Server | None = None
        self.port = 0

    @property
    def seen(self) -> int:
        return self.frozen or self.world.store.revision

    def header(self) -> Any:
        store = self.world.store
        return etcd.message(
            "ResponseHeader",
            cluster_id=store.cluster,
            member_id=self.number + 1,
            revision=self.seen,
            raft_term=2,
        )

    def __mapping__(self) -> dict[str, Handler]:
        found = {}
        for method, (asked, answered, streams) in etcd.METHODS.items():
            kind = Cardinality.STREAM_STREAM if streams else Cardinality.UNARY_UNARY
            run = {
                "Watch/Watch": self._watch,
                "Lease/LeaseKeepAlive": self._keep_alive,
            }.get(method) or self._unary(method)
            found[etcd.path(method)] = Handler(run, kind, etcd.MESSAGES[asked], etcd.MESSAGES[answered])
        return found

    def _unary(self, method: str) -> Callable[[Any], Any]:
        async def run(stream: Any) -> None:
            request = await stream.recv_message()
            await self.world.weather()
            self._allowed(method, stream)
            name = method.partition("/")[2]
            try:
                answer = getattr(self, f"_{name.lower()}")(request)
            except StoreError as problem:
                known = {etcd.COMPACTED: Status.OUT_OF_RANGE, etcd.FUTURE: Status.OUT_OF_RANGE}
                status = Status.NOT_FOUND if str(problem) == etcd.NO_LEASE else Status.INVALID_ARGUMENT
                raise GRPCError(known.get(str(problem), status), str(problem)) from None
            await stream.send_message(answer)

        return run

    def _allowed(self, method: str, stream: Any) -> None:
        world = self.world
        if world.refuse or self.down:
            raise GRPCError(Status.UNAVAILABLE, "connection refused")
        if world.leaderless:
            raise GRPCError(Status.UNAVAILABLE, etcd.NO_LEADER)
        if world.users and method != "Auth/Authenticate":
            token = (stream.metadata or {}).get("token", "")
            if not token:
                raise GRPCError(Status.INVALID_ARGUMENT, "etcdserver: user name is empty")
            if token not in world.tokens:
                raise GRPCError(Status.UNAUTHENTICATED, etcd.BAD_TOKEN)

    def _authenticate(self, request: Any) -> Any:
        if self.world.users.get(request.name) != request.password:
            raise StoreError(etcd.BAD_LOGIN)
        token = f"{request.name}.{next(self.world.count)}"
        self.world.tokens.add(token)
        return etcd.message("AuthenticateResponse", header=self.header(), token=token)

    def _range(self, request: Any) -> Any:
        revision = request.revision or self.seen
        pairs = self.world.store.range(request.key, request.range_end, revision)
        page = pairs[: request.limit] if request.limit else pairs
        kvs = [] if request.count_only else [key_value(*one) for one in page]
        if request.range_end and not request.count_only and len(page) == len(pairs):
            self.world.read(self.number, request.key, [key for key, _ in page])
        return etcd.message(
            "RangeResponse", header=self.header(), kvs=kvs, more=len(page) < len(pairs), count=len(pairs)
        )

    def _put(self, request: Any) -> Any:
        before = self.world.store.at(request.key, self.world.store.revision)
        self.world.store.put(request.key, request.value, request.lease)
        answer = etcd.message("PutResponse", header=self.header())
        if request.prev_kv and before is not None:
            answer.prev_kv.CopyFrom(key_value(request.key, before))
        return answer

    def _deleterange(self, request: Any) -> Any:
        gone = self.world.store.range(request.key, request.range_end)
        self.world.store.delete(request.key, request.range_end)
        kvs = [key_value(*one) for one in gone] if request.prev_kv else []
        return etcd.message("DeleteRangeResponse", header=self.header(), deleted=len(gone), prev_kvs=kvs)

    def _compact(self, request: Any) -> Any:
        self.world.store.compact(request.revision)
        return etcd.message("CompactionResponse", header=self.header())

    def _leasegrant(self, request: Any) -> Any:
        number = self.world.store.grant(request.TTL, request.ID)
        return etcd.message("LeaseGrantResponse", header=self.header(), ID=number, TTL=request.TTL)

    def _leaserevoke(self, request: Any) -> Any:
        self.world.store.revoke(request.ID)
        return etcd.message("LeaseRevokeResponse", header=self.header())

    def _txn(self, request: Any) -> Any:
        store = self.world.store
        held = all(self._compares(one) for one in request.compare)
        writes: list[tuple[bytes, bytes | None, int]] = []
        answers = []
        for operation in request.success if held else request.failure:
            which = operation.WhichOneof("request")
            told = getattr(operation, which)
            if which == "request_put":
                writes.append((told.key, told.value, told.lease))
                answers.append({"response_put": etcd.message("PutResponse", header=self.header())})
            elif which == "request_delete_range":
                gone = store.range(told.key, told.range_end)
                writes += [(key, None, 0) for key, _ in gone]
                deleted = etcd.message("DeleteRangeResponse", header=self.header(), deleted=len(gone))
                answers.append({"response_delete_range": deleted})
            elif which == "request_range":
                answers.append({"response_range": self._range(told)})
            else:
                raise StoreError("etcdserver: nested transactions are not played")
        store.commit(writes)
        responses = [etcd.message("ResponseOp", **one) for one in answers]
        return etcd.message("TxnResponse", header=self.header(), succeeded=held, responses=responses)

    def _compares(self, one: Any) -> bool:
        store = self.world.store
        now = store.at(one.key, store.revision) or Version(0, 0, 0, None)
        values: list[tuple[Any, Any]] = [
            (now.version, one.version),
            (now.create, one.create_revision),
            (now.revision, one.mod_revision),
            (now.value, one.value),
            (now.lease, one.lease),
        ]
        mine, other = values[one.target]
        if mine is None:
            return False  # a value of a key that is not there equals none
        results = (mine == other, mine > other, mine < other, mine != other)
        return bool(results[one.result])

    async def _keep_alive(self, stream: Any) -> None:
        while (request := await stream.recv_message()) is not None:
            await self.world.weather()
            ttl = self.world.store.keep(request.ID)
            answer = etcd.message("LeaseKeepAliveResponse", header=self.header(), ID=request.ID, TTL=ttl)
            await stream.send_message(answer)

    async def _watch(self, stream: Any) -> None:
        """All watches of one stream: what is asked and what changed wake the same loop."""
        self._allowed("Watch/Watch", stream)
        watchers: dict[int, Watcher] = {}
        wake, asked = asyncio.Event(), asyncio.Queue[Any]()
        life = self.world.life
        self.world.store.changed.append(wake.set)
        self.world.wakes.append(wake)

        async def hear() -> None:
            while (request := await stream.recv_message()) is not None:
                asked.put_nowait(request)
                wake.set()

        hearing = asyncio.ensure_future(hear())
        notified = asyncio.get_running_loop().time()
        try:
            while not hearing.done() or not asked.empty():
                wake.clear()
                await self.world.weather()
                if self.world.leaderless:
                    raise GRPCError(Status.UNAVAILABLE, etcd.NO_LEADER)
                if life != self.world.life or self.down:
                    raise GRPCError(Status.UNAVAILABLE, "etcdserver: server stopped")
                await self._serve(stream, watchers, asked)
                if asyncio.get_running_loop().time() - notified > NOTIFY:
                    notified = asyncio.get_running_loop().time()
                    for one in watchers.values():
                        if one.notify:
                            await stream.send_message(
                                etcd.message("WatchResponse", header=self.header(), watch_id=one.id)
                            )
                waiting = asyncio.ensure_future(wake.wait())
                try:
                    await asyncio.wait([waiting, hearing], timeout=1.0, return_when=asyncio.FIRST_COMPLETED)
                finally:
                    waiting.cancel()
        finally:
            hearing.cancel()
            self.world.store.changed.remove(wake.set)
            self.world.wakes.remove(wake)

    async def _serve(self, stream: Any, watchers: dict[int, Watcher], asked: "asyncio.Queue[Any]") -> None:
        """Takes what was asked and has every watch catch up; then tells progress, where that was asked
        for."""
        progress = False
        while not asked.empty():
            progress |= await self._asked(stream, watchers, asked.get_nowait())
        if progress and self.world.hasty:
            await self._progress(stream)
        for one in list(watchers.values()):
            await self._catch_up(stream, watchers, one)
        if progress and not self.world.hasty:
            await self._progress(stream)

    async def _progress(self, stream: Any) -> None:
        await stream.send_message(etcd.message("WatchResponse", header=self.header(), watch_id=-1))

    async def _asked(self, stream: Any, watchers: dict[int, Watcher], request: Any) -> bool:
        """Takes a request of a watch stream; whether it asks for progress."""
        which = request.WhichOneof("request_union")
        if which == "create_request":
            told = request.create_request
            number = told.watch_id or len(watchers)
            first = told.start_revision or self.seen + 1
            watchers[number] = Watcher(
                number, told.key, told.range_end, first, told.prev_kv, told.fragment, told.progress_notify
            )
            await stream.send_message(
                etcd.message("WatchResponse", header=self.header(), watch_id=number, created=True)
            )
        elif which == "cancel_request" and watchers.pop(request.cancel_request.watch_id, None) is not None:
            number = request.cancel_request.watch_id
            await stream.send_message(
                etcd.message("WatchResponse", header=self.header(), watch_id=number, canceled=True)
            )
        return bool(which == "progress_request")

    async def _catch_up(self, stream: Any, watchers: dict[int, Watcher], one: Watcher) -> None:
        store = self.world.store
        if one.next <= store.compacted and one.next <= self.seen:
            del watchers[one.id]
            await stream.send_message(
                etcd.message(
                    "WatchResponse",
                    header=self.header(),
                    watch_id=one.id,
                    canceled=True,
                    compact_revision=store.compacted,
                )
            )
            return
        events: list[Any] = []
        last = self.seen
        for revision in range(one.next, last + 1):
            for key in store.commits.get(revision, ()):
                if within(key, one.key, one.end):
                    events.append(self._event(key, revision, one.prev))
        one.next = max(one.next, last + 1)
        while events:
            size = part = 0
            while part < len(events) and (not one.fragment or size < FRAGMENT):
                size += events[part].ByteSize()
                part += 1
            await stream.send_message(
                etcd.message(
                    "WatchResponse",
                    header=self.header(),
                    watch_id=one.id,
                    events=events[:part],
                    fragment=part < len(events),
                )
            )
            events = events[part:]

    def _event(self, key: bytes, revision: int, prev: bool) -> Any:
        version = next(one for one in self.world.store.keys[key] if one.revision == revision)
        kind = etcd.PUT if version.value is not None else etcd.DELETE
        event = etcd.message("Event", type=kind, kv=key_value(key, version))
        self.world.sent(self.number, key, version.value is not None)
        before = self.world.store.at(key, revision - 1) if prev else None
        if before is not None:
            event.prev_kv.CopyFrom(key_value(key, before))
        return event


class Etcd:
    """A cluster of members over one store."""

    def __init__(self, members: int = 1, tls: ssl.SSLContext | None = None) -> None:
        self.store, self.tls = Store(), tls
        self.members = [Member(self, number) for number in range(members)]
        self.users: dict[str, str] = {}
        self.tokens: set[str] = set()
        self.count = itertools.count(1)
        self.wakes: list[asyncio.Event] = []
        self.refuse = self.leaderless = self.silent = False
        self.delay_s = 0.0
        self.hasty = False  # progress is told before the events that it counts, as some released versions did
        # Told of each entry that goes to a member's clients, and of each whole list.
        self.sent: Callable[[int, bytes, bool], None] = lambda member, key, there: None
        self.read: Callable[[int, bytes, list[bytes]], None] = lambda member, begin, keys: None
        self.life = 0  # of the streams: with another number those that are open end
        self.expiring: asyncio.Task[None] | None = None

    @property
    def endpoints(self) -> list[str]:
        return [f"127.0.0.1:{one.port}" for one in self.members]

    async def start(self) -> None:
        for one in self.members:
            await self._listen(one)
        self.expiring = asyncio.ensure_future(self._expire())

    async def _listen(self, one: Member) -> None:
        one.server = Server([one])
        await one.server.start("127.0.0.1", one.port, ssl=self.tls)
        listening: Any = one.server._server
        one.port = listening.sockets[0].getsockname()[1]

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            self.store.expire()

    async def weather(self) -> None:
        """What delays an answer, or withholds it."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        while self.silent:
            await asyncio.sleep(0.02)

    def drop(self) -> None:
        """Ends every watch stream, as a member that restarts does."""
        self.life += 1
        self.wake()

    def lag(self, number: int, behind: int = 0) -> None:
        """This member stays at the revision that it has, or so many before; 0 and `number` -1: none lags."""
        for one in self.members:
            one.frozen = 0
        if number >= 0:
            self.members[number].frozen = max(1, self.store.revision - behind)

    def lead(self, there: bool) -> None:
        self.leaderless = not there
        self.wake()

    def wake(self) -> None:
        """Has every watch look at how things stand."""
        for one in self.wakes:
            one.set()

    def expire_tokens(self) -> None:
        self.tokens.clear()

    def restore(self, revision: int) -> None:
        """Comes back from a backup as of a revision; every stream ends."""
        self.store.restore(revision)
        self.drop()

    async def kill(self, number: int) -> None:
        """A member that goes away; `revive` brings it back at its address."""
        member, server = self.members[number], self.members[number].server
        member.down = True  # connections that are open outlive the listener
        self.wake()
        if server is not None:
            server.close()
            await server.wait_closed()
            member.server = None

    async def revive(self, number: int) -> None:
        self.members[number].down = False
        await self._listen(self.members[number])

    async def close(self) -> None:
        if self.expiring is not None:
            self.expiring.cancel()
        for number in range(len(self.members)):
            await self.kill(number)
