"""The watch on the list of servers: what it says goes to the pools, then to the decisions."""

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any, cast

import orjson

from rainhitch import interface as api
from rainhitch.interface import Address
from rainhitch.node.cache_connection import CacheConnection
from rainhitch.node.connection_pool import ConnectionPools
from rainhitch.node.origin_connection import OriginConnection
from rainhitch.node.polling import ASKED, PUSHED, PollCall, PollSchedule
from rainhitch.protocol.http1 import Answer, Http, HttpError
from rainhitch.settings import Json, Names
from rainhitch.telemetry.counts import Counts

A_TURN = 0.001  # s after which the loop has read its sockets once more
MOST_LIST = 1 << 20  # bytes; memory is small, and an entry has some 150
STATES = {
    "Ready": api.EndpointState.READY,
    "Retiring": api.EndpointState.RETIRING,
    "Terminating": api.EndpointState.DRAINING,
    "Gone": api.EndpointState.GONE,
}
IN_USE = (api.EndpointState.READY, api.EndpointState.RETIRING)
log = logging.getLogger("rainhitch")


class ListError(ValueError):
    """A list, or an entry of it, that can't be read."""


@dataclass(slots=True)
class ListedEndpoint:
    """One entry of the list, and where this router dials it."""

    endpoint: api.Endpoint
    address: Address
    boot: float  # the time of its latest start on the loop's clock, 0 for long ago
    listed: api.EndpointState = api.EndpointState.READY  # what the list says, whatever an operator does


def read_endpoint(text: object) -> Address:
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not colon or not port.isdecimal() or not int(port) < 65_536:
        raise ListError(f"no address: {text!r}")
    return host.strip("[]"), int(port)


class EndpointDirectory:
    """The list as this router holds it: versions, pools, and the event for the decisions."""

    def __init__(
        self,
        names: Names,
        origin_kind: int,
        pools: ConnectionPools,
        tell: Callable[[api.EndpointUpdate], None],
    ) -> None:
        self.names, self.origin_kind, self.pools, self.on_update = names, origin_kind, pools, tell
        self.version = -1
        self.cache_connection_class: type[CacheConnection] = (
            CacheConnection  # how cache servers are spoken to
        )
        self.moved = False  # the next list comes from another address, whose versions need not compare
        self.targets: dict[str, ListedEndpoint] = {}
        self.cordoned: set[str] = set()  # left out by hand: taken as draining, whatever the list says
        self.origin_of_time = pools.system.unix() - pools.system.now()  # once, so that a start keeps its time

    @property
    def can_serve(self) -> bool:
        return any(
            one.endpoint.state is api.EndpointState.READY and one.endpoint.kind != self.origin_kind
            for one in self.targets.values()
        )

    def apply(self, answer: Any, cached: bool = False) -> bool:
        """Takes up a list or changes of it; whether it was of use. An older version changes nothing."""
        if not isinstance(answer, dict) or not isinstance(answer.get("targets"), list):
            raise ListError("no list of servers")
        rev, whole = answer.get("rev"), answer.get("all") is True or cached
        if type(rev) is not int:
            raise ListError(f"no version: {rev!r}")
        if not (self.moved and whole) and (rev < self.version or (rev == self.version and not whole)):
            return rev == self.version
        self.version, self.moved = rev, False
        entries = [target for one in answer["targets"] if (target := self._read(one)) is not None]
        if whole:
            named = {target.endpoint.server for target in entries}
            for name in [name for name in self.targets if name not in named]:
                self._drop(name)
        elif not entries:
            return True
        for target in entries:
            self._place(target)
        kind = api.EndpointUpdateKind.FULL if whole else api.EndpointUpdateKind.DELTA
        self.on_update(
            api.EndpointUpdate(
                api.EndpointUpdateKind.CACHED if cached else kind, [one.endpoint for one in entries]
            )
        )
        return True

    def _read(self, entry: Any) -> ListedEndpoint | None:
        """Reads an entry; one that makes no sense is skipped, and the others stand."""
        try:
            return self._target(entry)
        except (ListError, KeyError, TypeError, ValueError, AttributeError) as problem:
            log.warning("an entry of the list is skipped: %s: %s", type(problem).__name__, problem)
            return None

    def _target(self, entry: Json) -> ListedEndpoint:
        name, boot, weight = entry["uid"], entry.get("boot_ms") or 0, entry.get("capacity_hint", 1.0)
        if not isinstance(name, str) or not name:
            raise ListError("no uid")
        since = 0 if boot <= 0 else max(1, int(boot) * 1_000_000 - self.origin_of_time)
        listed = STATES[entry["state"]]
        member = api.Endpoint(
            name,
            self._state(name, listed),
            self.names.kinds[entry["model"]],
            self.names.zones[entry["az"]],
            int(entry.get("pod_group") or 0),
            since,
            1.0 if weight is None else float(weight),
        )
        return ListedEndpoint(member, read_endpoint(entry["endpoint"]), since / 1e9, listed)

    def _state(self, name: str, listed: api.EndpointState) -> api.EndpointState:
        return api.EndpointState.DRAINING if listed in IN_USE and name in self.cordoned else listed

    def is_cache(self, name: str) -> bool:
        """Whether a cache server of that name is on the list."""
        return name in self.targets and self.targets[name].endpoint.kind != self.origin_kind

    def cordon(self, out: set[str], back: set[str]) -> None:
        """Leaves servers out, and uses others again."""
        self.cordoned = (self.cordoned | out) - back
        changed = []
        for name in sorted(out | back):
            target = self.targets.get(name)
            if target is None:
                continue
            # Guards a server against being pushed over: while it was out it may have started anew, which
            # the list may not tell for seconds. So it counts as started when it is used again.
            since = self.pools.system.now() if name in back else target.endpoint.started_at_ns
            member = replace(target.endpoint, state=self._state(name, target.listed), started_at_ns=since)
            target = replace(target, endpoint=member)
            self._place(target)
            changed.append(member)
        if changed:
            self.on_update(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, changed))

    def _place(self, target: ListedEndpoint) -> None:
        name = target.endpoint.server
        if target.endpoint.state is api.EndpointState.GONE:
            self._drop(name)
            return
        make = OriginConnection if target.endpoint.kind == self.origin_kind else self.cache_connection_class
        pool = self.pools.add(name, target.address, make)
        known = self.targets.get(name)
        if known is not None and known.boot != target.boot:
            pool.forget_before(target.boot)
        if target.endpoint.state not in IN_USE:
            pool.retire()
        self.targets[name] = target

    def _drop(self, name: str) -> None:
        self.targets.pop(name, None)
        self.pools.remove(name)


class _Line(asyncio.Protocol):
    """A connection to discovery."""

    def __init__(self, host: str) -> None:
        self.http = Http(host, MOST_LIST)
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[Answer] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self.answer is None or self.answer.done():
            self.close()
            return
        try:
            answer = self.http.receive(data)
        except HttpError as problem:
            self.answer.set_exception(problem)
            return
        if answer is not None:
            self.answer.set_result(answer)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(ConnectionResetError("discovery closed the connection"))

    async def get(self, target: str) -> Answer:
        if self.transport is None:
            raise ConnectionResetError("discovery closed the connection")
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(self.http.request(b"GET", target.encode()))
        answer = await self.answer
        if not self.http.next_cycle():
            self.close()
        return answer

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()
            self.transport = None


async def within(patience: float, asking: Coroutine[Any, Any, Answer]) -> Answer:
    """What is asked for, or TimeoutError after so many seconds. Guards against a late loop, whose timers run
    before its sockets are read: what has come by then is taken."""
    task = asyncio.get_running_loop().create_task(asking)
    try:
        if not (await asyncio.wait({task}, timeout=patience))[0]:
            await asyncio.wait({task}, timeout=A_TURN)
        if not task.done():
            raise TimeoutError("no answer in time")
        return task.result()
    finally:
        task.cancel()


class DiscoveryWatch:
    """Asks discovery for the list and then for what changes, one call right after the other."""

    def __init__(self, endpoint: Address, directory: EndpointDirectory, seed: int, must_ask: bool) -> None:
        self.endpoint, self.directory, self.must_ask = endpoint, directory, must_ask
        self.times, self.random = ASKED if must_ask else PUSHED, random.Random(seed)
        self.line: _Line | None = None
        self.task: asyncio.Task[None] | None = None
        self.stopped = False
        self.counts = Counts()
        self.answered_at = 0.0  # when it last did, by the loop's clock; 0: never

    def start(self) -> None:
        """Begins to watch; while a watch is on, it goes on."""
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self._run())

    def move(self, endpoint: Address) -> None:
        """Goes on at another address, from a whole list: what is known serves until that has come."""
        if endpoint == self.endpoint or self.stopped:
            return
        running = self.task is not None and not self.task.done()
        self._end()
        self.endpoint, self.line, self.directory.moved = endpoint, None, True
        if running or self.must_ask:
            self.task = None
            self.start()

    def stop(self) -> None:
        self.stopped = True
        self._end()

    def _end(self) -> None:
        if self.task is not None:
            self.task.cancel()
        if self.line is not None:
            self.line.close()

    async def _run(self) -> None:
        polling = PollSchedule(self.times, self.must_ask, lambda: self.random.uniform(0.5, 1.0))
        while True:
            try:
                await self._call(polling.call())
                self.counts.add("calls", "ok")
                self.answered_at = asyncio.get_running_loop().time()
                polling.answered()
                continue
            except (OSError, TimeoutError, HttpError, ListError, orjson.JSONDecodeError) as problem:
                log.warning("discovery did not answer: %s: %s", type(problem).__name__, problem)
                self.counts.add("calls", type(problem).__name__)
            except Exception:
                log.exception("an answer of discovery could not be taken up")
            if self.line is not None:
                self.line.close()
            pause = polling.failed()
            if pause is None:
                # Here the decisions say when to ask again; told once this watch has ended.
                failed = api.EndpointUpdate(api.EndpointUpdateKind.FAILED, [])
                asyncio.get_running_loop().call_soon(self.directory.on_update, failed)
                return
            await asyncio.sleep(pause)

    async def _call(self, call: PollCall) -> None:
        target = "/api/targets"
        if call.hold:
            target += f"?from={self.directory.version}&hold_ms={int(call.hold * 1000)}"
        answer = await within(call.patience, self._get(target))
        if answer.status != 200:
            raise HttpError(f"status {answer.status}")
        self.directory.apply(orjson.loads(bytes(answer.body)))

    async def _get(self, target: str) -> Answer:
        return await (await self._connected()).get(target)

    async def _connected(self) -> _Line:
        if self.line is None or self.line.transport is None:
            host, port = endpoint = self.endpoint
            loop = asyncio.get_running_loop()
            _, line = await loop.create_connection(lambda: _Line(f"{host}:{port}"), host, port)
            if endpoint != self.endpoint or self.stopped:
                # Guards the new address against a connection to the old one that came up as the watch moved.
                line.close()
                raise ConnectionResetError("the watch has moved")
            self.line = line
        return self.line
