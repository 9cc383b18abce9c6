"""The watch on discovery: HTTP calls for the whole endpoint list and long polls for its changes.

    GET /api/targets                        returns the whole list at once
    GET /api/targets?from=7&hold_ms=1500    returns the changes after version 7, held while there are none

`PollSchedule` determines which call is due; `EndpointDirectory` applies the result.
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
MAX_LIST_BYTES = 1 << 20  # limit to protect the router's small memory; an entry has about 150 bytes
MAX_REREADS = 3  # calls in a row for the whole list because of unreadable entries
LOOP_ITERATION_S = 0.001  # time for the event loop to read its sockets once more
# Each pause is multiplied by a random fraction, so that routers do not call discovery in step.
MIN_JITTER_FRACTION = 0.5
MAX_JITTER_FRACTION = 1.0
# The labels under which `second` records count failures. Programs read them, so they stay the same when a
# class is renamed.
FAILURE_LABELS = (
    (EndpointListError, "ListError"),
    (HttpError, "HttpError"),
    (orjson.JSONDecodeError, "JSONDecodeError"),
)
log = logging.getLogger("rainhitch")


def failure_label(problem: Exception) -> str:
    """Returns the label of a failed call in `second` records; for an OSError, the name of its class."""
    for kind, label in FAILURE_LABELS:
        if isinstance(problem, kind):
            return label
    return type(problem).__name__


async def wait_for_response(timeout_s: float, call: Coroutine[Any, Any, HttpResponse]) -> HttpResponse:
    """Returns the response to `call`; raises TimeoutError if there is none after `timeout_s`.

    When the event loop is late, its timers run before its sockets are read, and a call would fail although
    its response has arrived. So the loop reads its sockets once more before the call counts as failed.
    """
    task = asyncio.get_running_loop().create_task(call)
    try:
        finished, _ = await asyncio.wait({task}, timeout=timeout_s)
        if not finished:
            await asyncio.wait({task}, timeout=LOOP_ITERATION_S)
        if not task.done():
            raise TimeoutError(f"no response within {timeout_s:g} s")
        return task.result()
    finally:
        task.cancel()


class _DiscoveryConnection(asyncio.Protocol):
    """One connection to discovery, which carries one call at a time."""

    def __init__(self, host: str) -> None:
        self.http = HttpClientCodec(host, MAX_LIST_BYTES)
        self.transport: asyncio.Transport | None = None
        self.response: asyncio.Future[HttpResponse] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the established connection."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Handles received data; closes the connection if no call is waiting for it."""
        if self.response is None or self.response.done():
            self.close()
            return
        try:
            response = self.http.receive(data)
        except HttpError as problem:
            self.response.set_exception(problem)
            return
        if response is not None:
            self.response.set_result(response)

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the end of the connection; a waiting call fails."""
        self.transport = None
        if self.response is not None and not self.response.done():
            self.response.set_exception(ConnectionResetError("discovery closed the connection"))

    async def get(self, target: str) -> HttpResponse:
        """Returns the response to a GET; raises HttpError, or ConnectionResetError if discovery closes."""
        if self.transport is None:
            raise ConnectionResetError("discovery closed the connection")
        self.response = asyncio.get_running_loop().create_future()
        self.transport.write(self.http.request(b"GET", target.encode()))
        response = await self.response
        if not self.http.reset_for_next_request():
            self.close()
        return response

    def close(self) -> None:
        """Closes the connection."""
        if self.transport is not None:
            self.transport.abort()
            self.transport = None


class WatchState(Enum):
    """The state of the watch, derived from its task and from `DiscoveryWatch.stopped`.

    IDLE     --start--> POLLING
    POLLING  --a call for the whole list failed, and the Balancer schedules the next--> IDLE
    POLLING  --move--> POLLING    at the new address
    IDLE     --move--> POLLING    if the list is polled; otherwise it stays IDLE
    any      --stop--> STOPPED
    """

    IDLE = "idle"
    POLLING = "polling"
    STOPPED = "stopped"


class DiscoveryWatch:
    """Requests the list from discovery and then its changes, one call right after the other.

    If `polled`, the Balancer schedules the next call after a failed call for the whole list, through `start`.
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
        self.reread_count = 0  # calls in a row whose response had unreadable entries
        self.counts = directory.pools.counts
        self.last_response_at_s = 0.0  # loop time of the last successful response; 0 if none

    @property
    def state(self) -> WatchState:
        """The current state."""
        if self.task is not None and not self.task.done():
            return WatchState.POLLING
        return WatchState.STOPPED if self.stopped else WatchState.IDLE

    def start(self) -> None:
        """Starts to poll; has no effect while the watch is polling."""
        if self.state is not WatchState.POLLING:
            self.task = asyncio.get_running_loop().create_task(self._run())

    def move(self, address: Address) -> None:
        """Continues at another address with a call for the whole list; keeps the current list until then."""
        if address == self.address or self.stopped:
            return
        was_polling = self.state is WatchState.POLLING
        self._stop_polling()
        self.address = address
        self.connection = None
        self.directory.source_changed = True
        if was_polling or self.polled:
            self.task = None
            self.start()

    def stop(self) -> None:
        """Stops the watch permanently."""
        self.stopped = True
        self._stop_polling()

    def _stop_polling(self) -> None:
        if self.task is not None:
            self.task.cancel()
        if self.connection is not None:
            self.connection.close()

    def _jitter(self) -> float:
        return self.random.uniform(MIN_JITTER_FRACTION, MAX_JITTER_FRACTION)

    async def _run(self) -> None:
        """Polls until cancelled, or until a failure after which the Balancer schedules the next call."""
        schedule = PollSchedule(self.times, self.polled, self._jitter)
        while True:
            if await self._succeeds(schedule.call()):
                schedule.succeeded()
                continue
            if self.connection is not None:
                self.connection.close()
            pause_s = schedule.failed()
            if pause_s is None:
                # The Balancer may call `start` as soon as it is told: it is told after this task has ended.
                failed = EndpointUpdate(EndpointUpdateKind.FAILED, [])
                asyncio.get_running_loop().call_soon(self.directory.on_update, failed)
                return
            await asyncio.sleep(pause_s)

    async def _succeeds(self, call: PollCall) -> bool:
        """Makes a call and applies its response; logs and counts a failure. Returns whether it succeeded."""
        try:
            await self._call(call)
        except (OSError, TimeoutError, HttpError, EndpointListError, orjson.JSONDecodeError) as problem:
            label = failure_label(problem)
            log.warning("discovery call failed reason=%s detail=%s", label, problem)
            self.counts.add("calls", label)
            return False
        except Exception:
            # The outermost frame of applying a list to the pools and the Balancer: a fault there must not end
            # the watch, because no further change would become known.
            log.exception("endpoint list not applied reason=internal_error")
            return False
        self.counts.add("calls", "ok")
        self.last_response_at_s = asyncio.get_running_loop().time()
        return True

    async def _call(self, call: PollCall) -> None:
        target = LIST_PATH
        if call.is_watch:
            target += f"?from={self.directory.version}&hold_ms={int(call.hold_s * 1000)}"
        response = await wait_for_response(call.timeout_s, self._get(target))
        if response.status != HTTP_OK:
            raise HttpError(f"expected status {HTTP_OK}, got {response.status}")
        self.directory.apply(orjson.loads(bytes(response.body)))
        self._check_readable()

    def _check_readable(self) -> None:
        """Raises EndpointListError if an entry could not be read, so that the whole list is asked for.

        Discovery tells a change once: without that, a drain in an unreadable entry would stay unknown. After
        MAX_REREADS calls in a row the list is accepted, as the entry may stay unreadable.
        """
        unreadable_count = self.directory.unreadable_count
        if unreadable_count and self.reread_count < MAX_REREADS:
            self.reread_count += 1
            raise EndpointListError(f"expected readable entries, got {unreadable_count} unreadable")
        self.reread_count = 0

    async def _get(self, target: str) -> HttpResponse:
        connection = await self._connected()
        return await connection.get(target)

    async def _connected(self) -> _DiscoveryConnection:
        """Returns the open connection, or a new one; raises OSError if it can't be opened."""
        if self.connection is None or self.connection.transport is None:
            address = self.address
            host, port = address
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(
                lambda: _DiscoveryConnection(f"{host}:{port}"), host, port
            )
            if address != self.address or self.stopped:
                # The watch moved while this connection to the old address was being established.
                connection.close()
                raise ConnectionResetError("the discovery address changed while connecting")
            self.connection = connection
        return self.connection
