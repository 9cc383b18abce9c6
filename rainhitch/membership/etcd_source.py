"""Follows etcd's v3 gRPC API: hosts the machine, and decides nothing.

One connection to one endpoint at a time. What a read or a watch brings goes to the machine as events; what
the machine says is done. The library is grpclib, imported only with this module.
"""

import asyncio
import logging
import ssl
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

from grpclib import GRPCError, Status
from grpclib.client import Channel, StreamStreamMethod, UnaryUnaryMethod
from grpclib.config import Configuration
from grpclib.exceptions import ProtocolError, StreamTerminatedError

from rainhitch import system
from rainhitch.membership import watch_state_machine as m
from rainhitch.protocol import etcd

PAGE = 1000  # entries of one answer to a read
SOON = 2.0  # s for an answer that need not wait
FAULTS = (OSError, TimeoutError, GRPCError, ProtocolError, StreamTerminatedError)
log = logging.getLogger("rainhitch")


@dataclass(slots=True)
class EtcdOptions:
    """How etcd is reached; times in seconds."""

    endpoints: list[tuple[str, int]]
    prefix: str = "/rainhitch/members/"
    user: str = ""
    password: str = ""
    tls: ssl.SSLContext | None = None
    timeout: float = SOON


def tls_context(ca: str, certificate: str = "", key: str = "") -> ssl.SSLContext:
    """What a connection is secured with; raises OSError (ssl.SSLError) for files that are of no use."""
    context = ssl.create_default_context(cafile=ca)
    if certificate:
        context.load_cert_chain(certificate, key or None)
    context.set_alpn_protocols(["h2"])
    return context


def reason(problem: BaseException) -> str:
    """A fault in a few words."""
    if isinstance(problem, GRPCError):
        return f"{problem.status.name}: {problem.message}"
    return f"{type(problem).__name__}: {problem}" if str(problem) else type(problem).__name__


@dataclass
class EtcdClient:
    """Calls to one endpoint; a token is asked for once and kept."""

    options: EtcdOptions
    endpoint: tuple[str, int]
    token: str = ""
    channel: Channel = field(init=False)

    def __post_init__(self) -> None:
        host, port = self.endpoint
        told = Configuration(_keepalive_time=10.0, _keepalive_timeout=5.0)
        self.channel = Channel(host, port, ssl=self.options.tls, config=told)

    async def metadata(self) -> dict[str, str]:
        """What goes with each call; asks for a token where there is a user and none yet."""
        if self.options.user and not self.token:
            login = etcd.message(
                "AuthenticateRequest", name=self.options.user, password=self.options.password
            )
            self.token = (await self._unary("Auth/Authenticate", login, {})).token
        return {"token": self.token} if self.token else {}

    async def call(self, method: str, request: Any) -> Any:
        """The answer to a unary call; raises one of FAULTS. A token that is no longer good is asked for
        anew."""
        try:
            return await self._unary(method, request, await self.metadata())
        except GRPCError as problem:
            if problem.status is not Status.UNAUTHENTICATED or not self.token:
                raise
            self.token = ""
            return await self._unary(method, request, await self.metadata())

    async def _unary(self, method: str, request: Any, metadata: dict[str, str]) -> Any:
        asked, answered, _ = etcd.METHODS[method]
        call: Any = UnaryUnaryMethod(
            self.channel, etcd.path(method), etcd.MESSAGES[asked], etcd.MESSAGES[answered]
        )
        return await call(request, timeout=self.options.timeout, metadata=metadata)

    def stream(self, method: str, metadata: dict[str, str]) -> Any:
        """An open stream, to be used as a context."""
        asked, answered, _ = etcd.METHODS[method]
        call: Any = StreamStreamMethod(
            self.channel, etcd.path(method), etcd.MESSAGES[asked], etcd.MESSAGES[answered]
        )
        return call.open(metadata=metadata)

    async def read_all(self, prefix: str) -> tuple[int, int, dict[str, tuple[int, bytes]]]:
        """Cluster, revision, and the entries by uid as of it, page by page."""
        key, end = prefix.encode(), etcd.prefix_end(prefix.encode())
        revision, cluster, entries = 0, 0, dict[str, tuple[int, bytes]]()
        while True:
            request = etcd.message("RangeRequest", key=key, range_end=end, limit=PAGE, revision=revision)
            page = await self.call("KV/Range", request)
            cluster, revision = page.header.cluster_id, revision or page.header.revision
            for one in page.kvs:
                entries[uid_of(one.key, prefix)] = (one.mod_revision, one.value)
            if not page.more or not page.kvs:
                return cluster, revision, entries
            key = page.kvs[-1].key + b"\0"

    def close(self) -> None:
        self.channel.close()


def uid_of(key: bytes, prefix: str) -> str:
    return key[len(prefix.encode()) :].decode("utf-8", "replace")


class EtcdSource:
    """Follows the list until it is stopped; `publish(entries, whole)` gets what it tells."""

    def __init__(
        self,
        options: EtcdOptions,
        publish: Callable[[dict[str, bytes | None], bool], None],
        seed: int,
        known: list[str] | None = None,
        clock: Callable[[], int] = system.now,
    ) -> None:
        self.options, self.publish, self.clock = options, publish, clock
        self.machine = m.WatchStateMachine(Random(f"{seed}/membership"))
        # Guards the fleet against a first read that is empty: what the configuration knew counts in its
        # doubt.
        self.machine.known = dict.fromkeys(known or (), (0, b""))
        self.turn = 0
        self.client: EtcdClient | None = None
        self.job: asyncio.Task[None] | None = None
        self.watching: Any = None
        self.timer: asyncio.TimerHandle | None = None
        self.stopped = False

    def start(self) -> None:
        """Begins to follow; does nothing while it does."""
        if self.timer is None and not self.stopped:
            self._act(self.machine.start(self.clock()))

    def stop(self) -> None:
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        self._leave()

    def _tell(self, event: m.Event) -> None:
        if not self.stopped:
            self._act(self.machine.handle(self.clock(), event))

    def _act(self, actions: list[m.Action]) -> None:
        for action in actions:
            match action:
                case m.Read():
                    self._begin(self._read)
                case m.WatchFrom():
                    self._begin(partial(self._watch, action.revision))
                case m.AskProgress():
                    self._ask_progress()
                case m.Leave():
                    self._leave()
                    self.turn += 1
                case m.Publish():
                    try:
                        self.publish(action.entries, action.whole)
                    except Exception:
                        log.exception("a list of etcd's could not be taken up")
                case m.LogWarning():
                    log.warning("%s", action.text)
        if self.timer is not None:
            self.timer.cancel()
        wait = max(0.0, (self.machine.wake_at - self.clock()) / 1e9)
        self.timer = asyncio.get_running_loop().call_later(wait, self._tell, m.Time())

    def _leave(self) -> None:
        if self.job is not None:
            self.job.cancel()
        if self.client is not None:
            self.client.close()
        self.job = self.client = self.watching = None

    def _begin(self, job: Callable[[], Awaitable[None]]) -> None:
        if self.job is not None:
            self.job.cancel()
        self.watching = None
        self.job = asyncio.ensure_future(self._guarded(job))

    async def _guarded(self, job: Callable[[], Awaitable[None]]) -> None:
        mine = asyncio.current_task()
        try:
            await job()
        except FAULTS as problem:
            ended = reason(problem)
        except Exception as problem:
            log.exception("a call to etcd could not be followed")
            ended = reason(problem)
        else:
            return
        if self.job is mine:
            self._tell(m.Ended(ended))

    def _at_endpoint(self) -> EtcdClient:
        if self.client is None:
            endpoints = self.options.endpoints
            self.client = EtcdClient(self.options, endpoints[self.turn % len(endpoints)])
        return self.client

    async def _read(self) -> None:
        cluster, revision, entries = await self._at_endpoint().read_all(self.options.prefix)
        self._tell(m.Snapshot(cluster, revision, entries))

    async def _watch(self, revision: int) -> None:
        client, key = self._at_endpoint(), self.options.prefix.encode()
        async with client.stream("Watch/Watch", await client.metadata()) as stream:
            create = etcd.message(
                "WatchCreateRequest",
                key=key,
                range_end=etcd.prefix_end(key),
                start_revision=revision,
                progress_notify=True,
                fragment=True,
            )
            await stream.send_message(etcd.message("WatchRequest", create_request=create))
            self.watching = stream
            parts: list[Any] = []
            while (told := await stream.recv_message()) is not None:
                if told.canceled:
                    if told.compact_revision:
                        await stream.cancel()
                        self._tell(m.Compacted())
                        return
                    raise StreamTerminatedError(told.cancel_reason or "the watch was cancelled")
                parts.append(told)
                if not told.fragment:
                    self._heard(parts)
                    parts = []
            await stream.recv_trailing_metadata()  # raises what the other side gave as its reason
            raise StreamTerminatedError("the watch ended")

    def _heard(self, parts: list[Any]) -> None:
        head = parts[-1].header
        changes = [
            (
                uid_of(event.kv.key, self.options.prefix),
                event.kv.mod_revision,
                None if event.type == etcd.DELETE else event.kv.value,
            )
            for part in parts
            for event in part.events
        ]
        if changes:
            self._tell(m.Changes(head.cluster_id, changes))
        else:
            # What creates a watch tells the store's revision, not how far this watch is.
            created = parts[-1].created
            self._tell(m.Progress(head.cluster_id, self.machine.revision if created else head.revision))

    def _ask_progress(self) -> None:
        stream = self.watching
        if stream is not None:
            asked = etcd.message("WatchRequest", progress_request=etcd.message("WatchProgressRequest"))

            async def ask() -> None:
                try:
                    await asyncio.wait_for(stream.send_message(asked), SOON)
                except FAULTS as problem:
                    if self.watching is stream:
                        self._tell(m.Ended(reason(problem)))

            self.asking = asyncio.ensure_future(ask())
