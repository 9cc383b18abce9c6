"""The order database on sockets: HTTP/1.1, few workers, a queue, repeats dropped by order key, a stop
when pressed.

database = Database(DatabaseSpec(workers=2, time_ms=5), routers=1)
database.endpoints[0]; database.slow(4.0); database.stop(); database.go()
database.rows               # the ledger: one Fetch for each request whose last byte came
"""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import unquote
from zlib import crc32

from rainhitch import system
from rainhitch.rehearsal.fakes.cache_node_model import Overload, Repeats
from rainhitch.rehearsal.fakes.http_server import HttpRequest, HttpServerConnection
from rainhitch.rehearsal.fakes.link import LedgerRow, Link

WRITE_TIMES = 1.5  # a write takes so many times a read
LONGEST = 5  # times the mean that one may take


@dataclass(slots=True)
class DatabaseSpec:
    workers: int = 9
    time_ms: float = 120.0
    queue: int = 60
    stop_multiple: float = 2.5
    stop_after_s: float = 3.0
    stop_s: float = 5.0
    value_bytes: int = 64


@dataclass(slots=True, eq=False)
class Fetch(LedgerRow):
    """One request as the database saw it; times are monotonic ns, of when the router sent it."""

    router: int
    connection: int
    id: str
    key: str
    write: bool
    info: str
    first: int
    last: int
    outcome: str = ""  # served, busy, reset; "" while none was given
    ended: int = 0
    closed: int = 0
    order: str = ""
    executed: bool = False  # a write that was carried out, not dropped as a repeat
    wire: "DatabaseConnection | None" = None


class DatabaseConnection(HttpServerConnection):
    """A router's connection to the database."""

    def __init__(self, link: Link, database: "Database") -> None:
        super().__init__(link)
        self.database = database
        database.connections += 1
        self.number = database.connections

    def asked(self, request: HttpRequest) -> None:
        told = request.headers
        fetch = Fetch(
            self.link.router,
            self.number,
            told.get("x-call-id", ""),
            unquote(request.target[1:], encoding="latin-1"),
            request.method == "PUT",
            told.get("x-call-info", ""),
            request.first,
            request.last,
            wire=self,
        )
        fields = dict(one.partition("=")[::2] for one in fetch.info.split(","))
        fetch.order = fields.get("k", "") if fetch.write else ""
        self.database.take(fetch)


@dataclass(eq=False)
class Database:
    """The one store that all share."""

    spec: DatabaseSpec
    routers: int
    stored: Callable[[str, str], None] = lambda key, id: None  # a read was answered to who still waits
    voided: Callable[[str], None] = lambda key: None  # a write was carried out
    rows: list[Fetch] = field(default_factory=list)
    links: list[Link] = field(init=False)

    def __post_init__(self) -> None:
        self.links = [Link(n, lambda link: DatabaseConnection(link, self)) for n in range(self.routers)]
        self.overload = Overload(self.spec.stop_multiple, int(self.spec.stop_after_s * 1e9))
        self.repeats = Repeats()
        self.waiting: deque[Fetch] = deque()
        self.working = self.connections = 0
        self.factor, self.stopped, self.life = 1.0, False, 0
        self.free = False  # it answers at once and at no cost, as in a prelude
        self.stops: list[tuple[int, bool]] = []  # when, and whether it was pressed
        self.factors: list[tuple[int, float]] = [(system.now(), 1.0)]

    @property
    def endpoints(self) -> list[str]:
        return [link.endpoint for link in self.links]

    @property
    def per_second(self) -> float:
        """Reads a second that it can do now."""
        return self.spec.workers / (self.spec.time_ms / 1000) / self.factor

    def take(self, fetch: Fetch) -> None:
        self.rows.append(fetch)
        if self.stopped:
            self._reset(fetch)
            return
        if self.free:
            self._finish(fetch, self.life)
            return
        if self.overload.stops(system.now(), self.per_second):
            self._reset(fetch)
            self.stop(pressed=True)
            asyncio.get_running_loop().call_later(self.spec.stop_s, self.go)
        elif self.working < self.spec.workers:
            self._begin(fetch)
        elif len(self.waiting) < self.spec.queue:
            self.waiting.append(fetch)
        else:
            self._end(fetch, "busy")
            if fetch.wire is not None:
                fetch.wire.answer(503, b"", "X-Rejected: 1")

    def _reset(self, fetch: Fetch) -> None:
        self._end(fetch, "reset")
        if fetch.wire is not None:
            fetch.wire.reset()

    def _end(self, fetch: Fetch, outcome: str) -> None:
        fetch.outcome, fetch.ended = outcome, system.now()

    def _begin(self, fetch: Fetch) -> None:
        self.working += 1
        chance = (crc32(fetch.id.encode()) + 1) / (2**32 + 1)
        took = min(-math.log(chance), LONGEST) * self.spec.time_ms / 1000 * self.factor
        took *= WRITE_TIMES if fetch.write else 1.0
        asyncio.get_running_loop().call_later(took, self._finish, fetch, self.life)

    def _finish(self, fetch: Fetch, life: int) -> None:
        if life != self.life:
            return  # it stopped meanwhile
        self.working -= not self.free
        now = system.now()
        if fetch.write:
            fetch.executed = not fetch.order or self.repeats.first(now, fetch.order)
            if fetch.executed:
                self.voided(fetch.key)
        elif fetch.wire is not None and not fetch.wire.closed_at:
            self.stored(fetch.key, fetch.id)
        self._end(fetch, "served")
        if fetch.wire is not None:
            value = f"{fetch.id}:{fetch.key}:database:".encode().ljust(self.spec.value_bytes, b".")
            fetch.wire.answer(200, value)
        if self.waiting:
            self._begin(self.waiting.popleft())

    def slow(self, factor: float) -> None:
        """So many times slower than usual; 1 for as usual."""
        self.factor = factor
        self.factors.append((system.now(), factor))

    def stop(self, pressed: bool = False) -> None:
        """Stops: what is in work is lost, connections are reset, and so is all that comes."""
        self.stops.append((system.now(), pressed))
        self.stopped, self.life, self.working = True, self.life + 1, 0
        self.waiting.clear()
        self.overload.reset()
        for link in self.links:
            link.set_up(False)

    def go(self) -> None:
        self.stopped = False
        for link in self.links:
            link.set_up(True)

    def close(self) -> None:
        self.life += 1
        for link in self.links:
            link.close()
