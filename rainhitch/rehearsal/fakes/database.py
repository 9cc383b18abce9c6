"""The fake order database: HTTP/1.1, few workers, a queue, one write per idempotency key, overload stops.

database = Database(DatabaseSpec(workers=2, time_ms=5), routers=1)
database.endpoints[0]; database.slow(4.0); database.stop(); database.start()
database.requests           # the record: one DatabaseRequest for each request whose last byte came
"""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from urllib.parse import unquote
from zlib import crc32

from rainhitch import system
from rainhitch.rehearsal.fakes.database_model import IdempotencyWindow, OverloadDetector
from rainhitch.rehearsal.fakes.http_server import HttpRequest, HttpServerConnection
from rainhitch.rehearsal.fakes.link import Link
from rainhitch.rehearsal.fakes.received_request import ReceivedRequest

WRITE_TIME_FACTOR = 1.5  # how much longer than a read a write takes
LONGEST_TIME_FACTOR = 5  # of the mean time, over which none takes
MILLISECONDS_PER_SECOND = 1000
NANOSECONDS_PER_SECOND = 1e9
CHECKSUM_VALUES = 2**32
NORMAL_TIME_FACTOR = 1.0


@dataclass(slots=True)
class DatabaseSpec:
    """What the database is like; the fields are the scenario's table `database`, and the size of a value."""

    workers: int = 9
    time_ms: float = 120.0  # mean of a read
    queue: int = 60
    stop_multiple: float = 2.5  # it stops under this multiple of what it can do
    stop_after_s: float = 3.0  # for this long
    stop_s: float = 5.0  # and is down for this long
    value_bytes: int = 64


class DatabaseOutcome(StrEnum):
    """How the database ended a request; the values are the record's."""

    PENDING = ""
    SERVED = "served"
    BUSY = "busy"
    RESET = "reset"


@dataclass(slots=True, eq=False)
class DatabaseRequest(ReceivedRequest):
    """One request as the database received it; the fields are the record's columns.

    Times are monotonic ns: `first` and `last` of when the router sent its first and last byte, `ended` of
    when the answer was written, `closed` of when the router closed the connection; 0 for never. `order` is
    the idempotency key. `executed`: a write that was carried out, not dropped as a repeat.
    """

    router: int
    connection: int
    id: str
    key: str
    write: bool
    info: str
    first: int
    last: int
    outcome: DatabaseOutcome = DatabaseOutcome.PENDING
    ended: int = 0
    closed: int = 0
    order: str = ""
    executed: bool = False
    received_on: "DatabaseConnection | None" = None

    @property
    def still_wanted(self) -> bool:
        """Whether the connection that it came on is open."""
        return self.received_on is not None and not self.received_on.closed_at_ns


class DatabaseConnection(HttpServerConnection):
    """A router's connection to the database."""

    def __init__(self, link: Link, number: int, take: Callable[[DatabaseRequest], None]) -> None:
        super().__init__(link)
        self.number = number
        self._take = take

    def request_received(self, request: HttpRequest) -> None:
        """Notes a request and passes it on."""
        info = request.headers.get("x-call-info", "")
        fields = dict(field.partition("=")[::2] for field in info.split(","))
        is_write = request.method == "PUT"
        self._take(
            DatabaseRequest(
                router=self.link.router,
                connection=self.number,
                id=request.headers.get("x-call-id", ""),
                key=unquote(request.target[1:], encoding="latin-1"),
                write=is_write,
                info=info,
                first=request.first_byte_ns,
                last=request.last_byte_ns,
                order=fields.get("k", "") if is_write else "",
                received_on=self,
            )
        )


class Database:
    """The one store behind all cache nodes.

    Attributes:
        requests: the record of the requests.
        on_stored: called with (key, request id) for a read that was answered to a router that still waits.
        on_written: called with the key of a write that was carried out.
        is_free: it answers at once and at no cost, as before a run begins.
        stops: when it stopped (monotonic ns), and whether because of overload.
        time_factors: since when (monotonic ns) a read takes so many times the usual.
    """

    def __init__(
        self,
        spec: DatabaseSpec,
        routers: int,
        on_stored: Callable[[str, str], None] = lambda key, request_id: None,
        on_written: Callable[[str], None] = lambda key: None,
    ) -> None:
        """Listens at once, for each of so many routers at an address of its own."""
        self.spec = spec
        self.on_stored = on_stored
        self.on_written = on_written
        self.requests: list[DatabaseRequest] = []
        self.is_free = False
        self.stopped = False
        self.time_factor = NORMAL_TIME_FACTOR
        self.stops: list[tuple[int, bool]] = []
        self.time_factors: list[tuple[int, float]] = []
        self._connection_count = 0
        self._working = 0
        self._queue: deque[DatabaseRequest] = deque()
        self._run = 0  # counts the stops: what an earlier run had in work is lost
        self._overload = OverloadDetector(spec.stop_multiple, int(spec.stop_after_s * NANOSECONDS_PER_SECOND))
        self._idempotency = IdempotencyWindow()
        self.links = [Link(n, self._connect) for n in range(routers)]
        self.time_factors.append((system.now(), self.time_factor))

    def _connect(self, link: Link) -> DatabaseConnection:
        self._connection_count += 1
        return DatabaseConnection(link, self._connection_count, self.take)

    @property
    def endpoints(self) -> list[str]:
        """The addresses for the routers, as HOST:PORT."""
        return [link.endpoint for link in self.links]

    @property
    def reads_per_s(self) -> float:
        """How many reads a second it can do now."""
        return self.spec.workers / (self.spec.time_ms / MILLISECONDS_PER_SECOND) / self.time_factor

    def take(self, request: DatabaseRequest) -> None:
        """Takes a request into work or the queue, rejects it, or stops under it."""
        self.requests.append(request)
        if self.stopped:
            self._reset(request)
        elif self.is_free:
            self._finish(request, self._run)
        elif self._overload.count_request(system.now(), self.reads_per_s):
            self._reset(request)
            self.stop(overloaded=True)
            asyncio.get_running_loop().call_later(self.spec.stop_s, self.start)
        elif self._working < self.spec.workers:
            self._begin(request)
        elif len(self._queue) < self.spec.queue:
            self._queue.append(request)
        else:
            self._end(request, DatabaseOutcome.BUSY)
            if request.received_on is not None:
                request.received_on.respond(503, b"", "X-Rejected: 1")

    def _reset(self, request: DatabaseRequest) -> None:
        self._end(request, DatabaseOutcome.RESET)
        if request.received_on is not None:
            request.received_on.reset()

    def _end(self, request: DatabaseRequest, outcome: DatabaseOutcome) -> None:
        request.outcome = outcome
        request.ended = system.now()

    def _begin(self, request: DatabaseRequest) -> None:
        self._working += 1
        # Exponential times, drawn from the request's id: the same in each run of a plan.
        chance = (crc32(request.id.encode()) + 1) / (CHECKSUM_VALUES + 1)
        mean_s = min(-math.log(chance), LONGEST_TIME_FACTOR) * self.spec.time_ms / MILLISECONDS_PER_SECOND
        took_s = mean_s * self.time_factor
        if request.write:
            took_s *= WRITE_TIME_FACTOR
        asyncio.get_running_loop().call_later(took_s, self._finish, request, self._run)

    def _finish(self, request: DatabaseRequest, run: int) -> None:
        """Carries out and answers a request that was begun in the run with this number."""
        if run != self._run:
            return  # it stopped meanwhile
        if not self.is_free:
            self._working -= 1
        if request.write:
            request.executed = not request.order or self._idempotency.register(system.now(), request.order)
            if request.executed:
                self.on_written(request.key)
        elif request.still_wanted:
            self.on_stored(request.key, request.id)
        self._end(request, DatabaseOutcome.SERVED)
        if request.received_on is not None:
            value = f"{request.id}:{request.key}:database:".encode().ljust(self.spec.value_bytes, b".")
            request.received_on.respond(200, value)
        if self._queue:
            self._begin(self._queue.popleft())

    def slow(self, time_factor: float) -> None:
        """Takes so many times as long as usual from now on; 1 for as usual."""
        self.time_factor = time_factor
        self.time_factors.append((system.now(), time_factor))

    def stop(self, overloaded: bool = False) -> None:
        """Stops: what is in work is lost, connections are reset, and so is all that comes."""
        self.stops.append((system.now(), overloaded))
        self.stopped = True
        self._run += 1
        self._working = 0
        self._queue.clear()
        self._overload.reset()
        for link in self.links:
            link.set_up(False)

    def start(self) -> None:
        """Serves again after a stop."""
        self.stopped = False
        for link in self.links:
            link.set_up(True)

    def close(self) -> None:
        """Ends the database and gives its addresses back."""
        self._run += 1
        for link in self.links:
            link.close()
