"""Thousands of clients, a fleet and one balancer in virtual time: whether the closed loop of refusals,
retries and returns comes to rest.

It knows of a router only its public face (`handle(now, event) -> actions`). Servers share their cores among
what they hold, turn away what is beyond their table, and go on with what nobody waits for any more, which
is what makes a jam last. Times are ns from 0.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

from rainhitch import interface as api

SECOND = 1_000_000_000
MILLI = 1_000_000
WAY_BACK = 8 * MILLI  # of a client's time that a host keeps for the answer's way


@dataclass(slots=True)
class ClientLoad:
    """Who asks, and how they take a refusal."""

    rate: float  # first tries a second, the ordinary load
    storm: int  # clients that come within a second
    storm_at: float  # s
    retries: int = 1  # further tries of each request
    honour: float = 1.0  # part of the clients that come back when told
    backoff_s: float = 0.0  # before a further try, where nothing is told or heeded
    length_s: float = 20.0
    orders: float = 0.08  # part that are keyed writes


@dataclass(slots=True)
class Backend:
    """One server: processor sharing over its cores."""

    cores: int
    table: int
    work: dict[tuple[str, int], float] = field(default_factory=dict)  # what is left, core seconds
    at: int = 0
    version: int = 0
    spent: float = 0.0  # core seconds

    def run(self, now: int) -> None:
        if self.work:
            each = min(1.0, self.cores / len(self.work)) * (now - self.at) / SECOND
            for name in self.work:
                self.work[name] -= each
            self.spent += each * len(self.work)
        self.at = now

    def next_end(self) -> int:
        least = max(0.0, min(self.work.values()))
        return self.at + int(least * SECOND / min(1.0, self.cores / len(self.work))) + 1


@dataclass
class SimulationResult:
    """What became of it all."""

    asked: Counter[int] = field(default_factory=Counter)  # first tries, by second
    in_time: Counter[int] = field(default_factory=Counter)  # of these, served within the aim
    ended: Counter[str] = field(default_factory=Counter)
    sends: Counter[int] = field(default_factory=Counter)  # attempts, by second
    useful: float = 0.0  # core seconds of answers that their clients got, in the 3 s from the storm on
    spent: float = 0.0  # core seconds that servers worked in that time
    late: int = 0  # answers after the client's time
    outcomes: Counter[str] = field(default_factory=Counter)  # of attempts
    twice: int = 0  # orders with two attempts out at once
    answers: Counter[str] = field(default_factory=Counter)  # by request id
    waits: list[int] = field(default_factory=list)  # ms that were told

    def service(self, begin: int, end: int) -> float:
        """Part of the first tries of these seconds that was served within the aim, at whichever try."""
        asked = sum(self.asked[s] for s in range(begin, end))
        return sum(self.in_time[s] for s in range(begin, end)) / asked if asked else 1.0

    def recovered(self, after: int, before: float, end: int, within: float = 0.01) -> int:
        """Seconds from `after` until service stays within this of what it was before; -1 for never."""
        bad = [s for s in range(after, end) if self.service(s, s + 1) < before - within]
        return -1 if bad and bad[-1] == end - 1 else (bad[-1] + 1 - after if bad else 0)


class ClosedLoopSimulation:
    """Plays a crowd against a balancer; `make` gives one for the settings."""

    def __init__(
        self,
        crowd: ClientLoad,
        settings: api.Settings,
        make: Callable[[api.Settings], Any],
        seed: int,
        connected: Callable[[Any, int, int], object] = lambda balancer, now, open_now: None,
    ) -> None:
        self.crowd, self.settings, self.random = crowd, settings, Random(f"{seed}/population")
        self.balancer, self.connected = make(settings), connected
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.count = itertools.count()
        self.now = 0
        self.backends = {f"n{n}": Backend(6, 60) for n in range(4)}
        self.course = SimulationResult()
        self.open: dict[str, tuple[int, int, int, api.Request, float]] = {}
        self.out: dict[tuple[str, int], tuple[str, int]] = {}
        self.made: Counter[str] = Counter()
        self.orders: dict[str, str] = {}
        members = [api.Endpoint(name) for name in self.backends]
        self.tell(api.EndpointUpdate(api.EndpointUpdateKind.CACHED, members))

    def at(self, when: int, what: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (max(when, self.now), next(self.count), what))

    def play(self) -> SimulationResult:
        crowd, at = self.crowd, 0.0
        while (at := at + self.random.expovariate(crowd.rate)) < crowd.length_s:
            self.at(int(at * SECOND), self._first)
        for _ in range(crowd.storm):
            self.at(int((crowd.storm_at + self.random.random()) * SECOND), self._anew)
        for second in (0, 3):
            self.at(int((crowd.storm_at + second) * SECOND), self._note_spent)
        end = int((crowd.length_s + 6) * SECOND)
        while self.queue and self.queue[0][0] < end:
            self.now, _, what = heapq.heappop(self.queue)
            what()
        return self.course

    def _anew(self) -> None:
        """A client of the storm: it connects first."""
        self.connected(self.balancer, self.now, len(self.open))
        self._first()

    def _storming(self, now: int) -> bool:
        begin = int(self.crowd.storm_at * SECOND)
        return begin <= now < begin + 3 * SECOND

    def _note_spent(self) -> None:
        for backend in self.backends.values():
            backend.run(self.now)
        whole = sum(backend.spent for backend in self.backends.values())
        self.course.spent = whole - self.course.spent

    def _first(self) -> None:
        write = self.random.random() < self.crowd.orders
        number = next(self.count)
        key = f"k{int(self.random.paretovariate(1.0)) % 500}"
        self.course.asked[self.now // SECOND] += 1
        self._try(number, self.now, 0, key, int(write), f"o{number}" if write else "")

    def _try(self, number: int, begun: int, tries: int, key: str, cls: int, order: str) -> None:
        spec = self.settings.classes[cls]
        wait = min(spec.deadline_ns, begun + spec.deadline_ns - self.now) if tries else spec.deadline_ns
        if wait <= 0:
            return
        name = f"r{number}.{tries}"
        request = api.Request(name, cls, self.now + wait - WAY_BACK, key, bool(order), 0, tries > 0, order)
        self.open[name] = (number, begun, tries, request, self.random.expovariate(1 / 0.08))
        if order:
            self.orders[name] = order
        self.tell(request)
        self.at(self.now + wait - WAY_BACK // 2, lambda: self._overdue(name))
        self.at(self.now + wait, lambda: self._leaves(name))

    def _overdue(self, name: str) -> None:
        """What a host does with a request that has no answer just before its client leaves."""
        if name in self.open:
            self._over(name, "failed", 0)
            self.tell(api.ClientGone(name))

    def _leaves(self, name: str) -> None:
        """The client gives up; there should have been an answer by now."""
        if name in self.open:
            self.course.late += 1
            self._over(name, "gave up", 0)
            self.tell(api.ClientGone(name))

    def tell(self, event: api.Event) -> None:
        for action in self.balancer.handle(self.now, event):
            if isinstance(action, api.SetTimer):
                self.at(self.now + action.delay_ns, partial(self.tell, api.TimerFired(action.token)))
            elif isinstance(action, api.StartAttempt):
                self._send(action)
            elif isinstance(action, api.Reject):
                self._over(action.id, "refused", action.retry_after_ns)
            elif isinstance(action, api.Fail):
                self._over(action.id, "failed", 0)

    def _send(self, action: api.StartAttempt) -> None:
        number = self.made[action.id]
        self.made[action.id] += 1
        self.course.sends[self.now // SECOND] += 1
        attempt, backend = (action.id, number), self.backends[action.server]
        order = self.orders.get(action.id, "")
        if order and any(self.orders.get(name) == order for name, _ in self.out):
            self.course.twice += 1
        self.out[attempt] = (action.server, self.now)
        backend.run(self.now)
        if len(backend.work) >= backend.table:
            self.at(self.now + MILLI, lambda: self._ended(attempt, api.AttemptStatus.FULL))
            return
        backend.work[attempt] = self.open[action.id][4]
        self._plan(backend)
        if action.timeout_ns:
            self.at(self.now + action.timeout_ns, lambda: self._ended(attempt, api.AttemptStatus.TIMEOUT))

    def _plan(self, backend: Backend) -> None:
        backend.version += 1
        if backend.work:
            version = backend.version
            self.at(backend.next_end(), lambda: self._finish(backend, version))

    def _finish(self, backend: Backend, version: int) -> None:
        if version != backend.version:
            return
        backend.run(self.now)
        done = [name for name, left in backend.work.items() if left <= 1e-9]
        for name in done:
            del backend.work[name]
        self._plan(backend)
        for name in done:
            self._ended(name, api.AttemptStatus.OK)

    def _ended(self, attempt: tuple[str, int], status: api.AttemptStatus) -> None:
        """An attempt is over for the router; a server goes on with what was given up."""
        if attempt not in self.out:
            return
        server, sent = self.out.pop(attempt)
        self.course.outcomes[status] += 1
        if status is api.AttemptStatus.OK and attempt[0] in self.open:
            self._over(attempt[0], "served", 0)
        closed = attempt[0] not in self.open
        self.tell(api.AttemptFinished(attempt[0], attempt[1], server, status, closed, self.now - sent))

    def _over(self, name: str, how: str, told: int) -> None:
        """A request has its answer; a refused or failed one may be tried again by its client."""
        if name not in self.open:
            self.course.answers[name] += 1
            return
        number, begun, tries, request, work = self.open.pop(name)
        self.course.answers[name] += 1
        self.course.ended[how] += 1
        spec = self.settings.classes[request.class_index]
        if how == "served":
            self.course.in_time[begun // SECOND] += self.now - begun <= spec.latency_objective_ns
            self.course.useful += work * self._storming(self.now)
            return
        if how == "refused" and told:
            self.course.waits.append(told // MILLI)
        if tries >= self.crowd.retries:
            return
        back = int(self.crowd.backoff_s * SECOND)
        if told and self.random.random() < self.crowd.honour:
            back = told
        again = (number, begun, tries + 1, request.key or "", request.class_index, request.idempotency_key)
        self.at(self.now + back + MILLI, lambda: self._try(*again))

    @property
    def cores(self) -> int:
        return sum(backend.cores for backend in self.backends.values())
