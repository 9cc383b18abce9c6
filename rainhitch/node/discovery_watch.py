"""The watch on discovery: HTTP long polls for the endpoint list, and then for what changes in it.

    GET /api/targets                        the whole list, answered at once
    GET /api/targets?from=7&hold_ms=1500    what changed after version 7, held while that is nothing

`PollSchedule` says which call is due; `EndpointDirectory` takes what it brings.
"""

import asyncio
import logging
import random
from collections.abc import Coroutine
from enum import Enum
from typing import Any, cast

import orjson

from rainhitch.interface import Address, EndpointUpdate, EndpointUpdateKind
from rainhitch.node.endpoint_directory import EndpointDirectory
from rainhitch.node.endpoint_list import EndpointListError
from rainhitch.node.polling import POLLED_TIMES, PUSHED_TIMES, PollCall, PollSchedule
from rainhitch.protocol.http1 import HttpClientCodec, HttpError, HttpResponse

LIST_PATH = "/api/targets"
HTTP_OK = 200
MAX_LIST_BYTES = 1 << 20  # of a list; an entry has some 150 bytes, and the router's memory is small
LOOP_TURN_S = 0.001  # after it the loop has read its sockets once more
MIN_JITTER_FRACTION = 0.5  # of a pause, which is spread so that routers do not ask in step
MAX_JITTER_FRACTION = 1.0
# The labels under which `second` records count failures: programs read them, so that they outlast the
# classes' names.
FAILURE_LABELS = (
    (EndpointListError, "ListError"),
    (HttpError, "HttpError"),
    (orjson.JSONDecodeError, "JSONDecodeError"),
)
log = logging.getLogger("rainhitch")


def failure_label(problem: Exception) -> str:
    """The label of a failed call in `second` records; an OSError goes by the name of its class."""
    for kind, label in FAILURE_LABELS:
        if isinstance(problem, kind):
            return label
    return type(problem).__name__


async def answer_within(patience_s: float, asking: Coroutine[Any, Any, HttpResponse]) -> HttpResponse:
    """The answer of `asking`; raises TimeoutError where none has come after `patience_s`.

    Guards against a late event loop, whose timers run before its sockets are read: a call would fail though
    its answer has come. So the loop reads its sockets once more before the call counts as failed.
    """
    task = asyncio.get_running_loop().create_task(asking)
    try:
        finished, _ = await asyncio.wait({task}, timeout=patience_s)
        if not finished:
            await asyncio.wait({task}, timeout=LOOP_TURN_S)
        if not task.done():
            raise TimeoutError("no answer in time")
        return task.result()
    finally:
        task.cancel()


class _DiscoveryConnection(asyncio.Protocol):
    """One connection to discovery, which carries one call at a time."""

    def __init__(self, host: str) -> None:
        self.http = HttpClientCodec(host, MAX_LIST_BYTES)
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[HttpResponse] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Takes what came; bytes that no call waits for end the connection."""
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
        """The connection has ended; a call that waits fails."""
        self.transport = None
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(ConnectionResetError("discovery closed the connection"))

    async def get(self, target: str) -> HttpResponse:
        """The answer to a GET; raises HttpError, or ConnectionResetError where the connection is closed."""
        if self.transport is None:
            raise ConnectionResetError("discovery closed the connection")
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(self.http.request(b"GET", target.encode()))
        answer = await self.answer
        if not self.http.reset_for_next_request():
            self.close()
        return answer

    def close(self) -> None:
        """Ends the connection."""
        if self.transport is not None:
            self.transport.abort()
            self.transport = None


class WatchState(Enum):
    """The watch's life, told by its task and by `DiscoveryWatch.stopped`.

    IDLE     --start--> POLLING
    POLLING  --a call for the whole list failed, and the decisions say when to ask again--> IDLE
    POLLING  --move--> POLLING    at the new address
    IDLE     --move--> POLLING    where the list is polled, else it stays IDLE
    any      --stop--> STOPPED
    """

    IDLE = "idle"
    POLLING = "polling"
    STOPPED = "stopped"


class DiscoveryWatch:
    """Asks discovery for the list and then for what changes, one call right after the other.

    `polled`: after a failure the decisions say when to ask again, by calling `start`.
    """

    def __init__(self, address: Address, directory: EndpointDirectory, seed: int, polled: bool) -> None:
        self.address = address
        self.directory = directory
        self.polled = polled
        self.times = POLLED_TIMES if polled else PUSHED_TIMES
        self.random = random.Random(seed)
        self.connection: _DiscoveryConnection | None = None
        self.task: asyncio.Task[None] | None = None
        self.stopped = False
        self.counts = directory.pools.counts
        self.answered_at = 0.0  # when discovery last did, in seconds of the loop's clock; 0: never

    @property
    def state(self) -> WatchState:
        """Where the watch is in its life."""
        if self.task is not None and not self.task.done():
            return WatchState.POLLING
        return WatchState.STOPPED if self.stopped else WatchState.IDLE

    def start(self) -> None:
        """Begins to poll; no effect while it polls already."""
        if self.state is not WatchState.POLLING:
            self.task = asyncio.get_running_loop().create_task(self._run())

    def move(self, address: Address) -> None:
        """Continues at another address with a whole list; until that has come, the list in use stays."""
        if address == self.address or self.stopped:
            return
        was_polling = self.state is WatchState.POLLING
        self._end()
        self.address = address
        self.connection = None
        self.directory.source_changed = True
        if was_polling or self.polled:
            self.task = None
            self.start()

    def stop(self) -> None:
        """Ends the watch for good."""
        self.stopped = True
        self._end()

    def _end(self) -> None:
        if self.task is not None:
            self.task.cancel()
        if self.connection is not None:
            self.connection.close()

    def _jitter(self) -> float:
        return self.random.uniform(MIN_JITTER_FRACTION, MAX_JITTER_FRACTION)

    async def _run(self) -> None:
        """Polls until a failure after which the decisions say when to ask again, or until it is cancelled."""
        schedule = PollSchedule(self.times, self.polled, self._jitter)
        while True:
            if await self._succeeds(schedule.call()):
                schedule.succeeded()
                continue
            if self.connection is not None:
                self.connection.close()
            pause_s = schedule.failed()
            if pause_s is None:
                # The decisions may call `start` as they hear of it: so they hear once this task has ended.
                failed = EndpointUpdate(EndpointUpdateKind.FAILED, [])
                asyncio.get_running_loop().call_soon(self.directory.on_update, failed)
                return
            await asyncio.sleep(pause_s)

    async def _succeeds(self, call: PollCall) -> bool:
        """Makes a call and applies its answer; a failure is logged and counted."""
        try:
            await self._call(call)
        except (OSError, TimeoutError, HttpError, EndpointListError, orjson.JSONDecodeError) as problem:
            label = failure_label(problem)
            log.warning("discovery call failed reason=%s detail=%s", label, problem)
            self.counts.add("calls", label)
            return False
        except Exception:
            # The outermost frame of what the pools and the decisions do with a list: a fault there must not
            # end the watch, after which no change would ever be known.
            log.exception("endpoint list not applied reason=internal_error")
            return False
        self.counts.add("calls", "ok")
        self.answered_at = asyncio.get_running_loop().time()
        return True

    async def _call(self, call: PollCall) -> None:
        target = LIST_PATH
        if call.is_watch:
            target += f"?from={self.directory.version}&hold_ms={int(call.hold_s * 1000)}"
        answer = await answer_within(call.patience_s, self._get(target))
        if answer.status != HTTP_OK:
            raise HttpError(f"status {answer.status}")
        self.directory.apply(orjson.loads(bytes(answer.body)))

    async def _get(self, target: str) -> HttpResponse:
        connection = await self._connected()
        return await connection.get(target)

    async def _connected(self) -> _DiscoveryConnection:
        """The open connection, or a new one; raises OSError where it can't be opened."""
        if self.connection is None or self.connection.transport is None:
            address = self.address
            host, port = address
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(
                lambda: _DiscoveryConnection(f"{host}:{port}"), host, port
            )
            if address != self.address or self.stopped:
                # Guards the new address against a connection to the old one that came up as the watch moved.
                connection.close()
                raise ConnectionResetError("the watch has moved")
            self.connection = connection
        return self.connection
