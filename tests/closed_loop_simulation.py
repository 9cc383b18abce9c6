"""Thousands of clients, a fleet and one router in virtual time: does the load come to rest after a storm?

Rejections, retries and returns make a closed loop: what is rejected comes again. The simulation knows of a
router only its public face (`handle(now, event) -> actions`). Servers share their cores among what they hold,
reject what is beyond their table, and go on with what nobody waits for any more, which is what makes an
overload last. Times are ns from 0.

Its clients and servers are not the rehearsal kit's (`rehearsal/fakes`): they have no sockets, no records and
no other fault than load, so that thousands of clients play in a second or two.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import NamedTuple, Protocol

from rainhitch import interface as api

SECOND = 1_000_000_000  # ns
MILLI = 1_000_000  # ns
ANSWER_WAY_NS = 8 * MILLI  # of a client's time that a host keeps for the answer's way
SERVERS = 4
CORES = 6  # of a server
TABLE_SIZE = 60  # requests that a server holds
MEAN_WORK_CORE_S = 0.08  # of a request
KEYS = 500
STORM_S = 3  # from a storm's begin, in which work counts as useful or not
AFTER_END_S = 6  # that the simulation goes on after the last arrival
DONE_CORE_S = 1e-9  # work that is left and counts as done
READ_CLASS = 0
WRITE_CLASS = 1


class RouterFace(Protocol):
    """What the simulation knows of a router."""

    def handle(self, now: int, event: api.Event) -> Iterable[api.Action]:
        """The actions that follow from an event."""


MakeRouter = Callable[[api.Settings], RouterFace]


@dataclass(slots=True)
class ClientLoad:
    """How many clients there are, and what they do after a rejection."""

    rate_per_s: float  # first tries, the ordinary load
    storm_clients: int  # that come within a second
    storm_at_s: float
    retries: int = 1  # further tries of each request
    honour_fraction: float = 1.0  # of the clients, that come back when Retry-After says
    backoff_s: float = 0.0  # before a further try, where there is no Retry-After or it is not honoured
    length_s: float = 20.0
    write_fraction: float = 0.08  # of the requests, that are writes with an idempotency key


class AttemptKey(NamedTuple):
    """Which attempt of which request."""

    request_id: str
    number: int


class AttemptOut(NamedTuple):
    """Where an attempt is, and since when."""

    server: str
    sent_ns: int


@dataclass(slots=True)
class ClientIntent:
    """What a client wants, over all its tries."""

    number: int
    begun_ns: int
    key: str
    class_index: int
    idempotency_key: str  # "" for a read


@dataclass(slots=True)
class OpenRequest:
    """A try that has no answer yet."""

    intent: ClientIntent
    tries_before: int
    work_core_s: float


@dataclass(slots=True)
class Backend:
    """One server: its cores are shared by all that it holds."""

    cores: int
    table_size: int
    work_left: dict[AttemptKey, float] = field(default_factory=dict)  # core seconds
    at_ns: int = 0  # up to when `work_left` is worked out
    version: int = 0  # goes up with each change: an end that was planned before is void
    spent_core_s: float = 0.0

    def advance(self, now_ns: int) -> None:
        """Works until now."""
        if self.work_left:
            each = self._cores_each() * (now_ns - self.at_ns) / SECOND
            for attempt in self.work_left:
                self.work_left[attempt] -= each
            self.spent_core_s += each * len(self.work_left)
        self.at_ns = now_ns

    def next_end_ns(self) -> int:
        """When the first of what it holds will be done."""
        least = max(0.0, min(self.work_left.values()))
        return self.at_ns + int(least * SECOND / self._cores_each()) + 1

    def _cores_each(self) -> float:
        """The cores that work on each attempt."""
        return min(1.0, self.cores / len(self.work_left))


@dataclass
class SimulationResult:
    """What became of it all."""

    first_tries: Counter[int] = field(default_factory=Counter)  # by second
    in_time: Counter[int] = field(default_factory=Counter)  # of these, served within the objective
    tries_by_end: Counter[str] = field(default_factory=Counter)
    attempts: Counter[int] = field(default_factory=Counter)  # by second
    useful_core_s: float = 0.0  # of answers that their clients got, in the time of the storm
    spent_core_s: float = 0.0  # that servers worked in that time
    late_answers: int = 0  # requests whose client left without an answer
    attempt_outcomes: Counter[str] = field(default_factory=Counter)
    simultaneous_writes: int = 0  # idempotency keys with two attempts out at once
    answers: Counter[str] = field(default_factory=Counter)  # by request id
    retry_after_ms: list[int] = field(default_factory=list)  # of rejections that had one

    def service(self, begin_s: int, end_s: int) -> float:
        """Part of the first tries of these seconds that was served within the objective, at any try."""
        seconds = range(begin_s, end_s)
        first_tries = sum(self.first_tries[second] for second in seconds)
        if first_tries == 0:
            return 1.0
        return sum(self.in_time[second] for second in seconds) / first_tries

    def recovery_s(self, after_s: int, before: float, end_s: int, within: float = 0.01) -> int:
        """Seconds from `after_s` until service stays `within` of what it was before; -1 for never."""
        bad = [
            second for second in range(after_s, end_s) if self.service(second, second + 1) < before - within
        ]
        if not bad:
            return 0
        if bad[-1] == end_s - 1:
            return -1
        return bad[-1] + 1 - after_s


class EventQueue:
    """Virtual time, and the callbacks that are to run at some time."""

    def __init__(self) -> None:
        self.now_ns = 0
        self.numbers = itertools.count()  # of events; the simulation numbers clients' intents by it too
        self._events: list[tuple[int, int, Callable[[], None]]] = []  # a heap by time, then by number

    def schedule(self, at_ns: int, callback: Callable[[], None]) -> None:
        """Has a callback run at this time, or now where that is over."""
        heapq.heappush(self._events, (max(at_ns, self.now_ns), next(self.numbers), callback))

    def run_until(self, end_ns: int) -> None:
        """Runs all callbacks of before this time, those too that are added meanwhile."""
        while self._events and self._events[0][0] < end_ns:
            self.now_ns, _, callback = heapq.heappop(self._events)
            callback()


class ClosedLoopSimulation:
    """Plays clients against a router; `make_router` gives one for the settings."""

    def __init__(self, load: ClientLoad, settings: api.Settings, make_router: MakeRouter, seed: int) -> None:
        self.load = load
        self.settings = settings
        self.random = Random(f"{seed}/population")
        self.router = make_router(settings)
        self.queue = EventQueue()
        self.backends = {f"n{number}": Backend(CORES, TABLE_SIZE) for number in range(SERVERS)}
        self.result = SimulationResult()
        self.open: dict[str, OpenRequest] = {}  # by request id
        self.out: dict[AttemptKey, AttemptOut] = {}
        self.attempts_made: Counter[str] = Counter()  # by request id
        self.idempotency_keys: dict[str, str] = {}  # by request id
        endpoints = [api.Endpoint(name) for name in self.backends]
        self._send_event(api.EndpointUpdate(api.EndpointUpdateKind.CACHED, endpoints))

    def play(self) -> SimulationResult:
        """Runs the simulation to its end."""
        load = self.load
        at_s = self.random.expovariate(load.rate_per_s)
        while at_s < load.length_s:
            self.queue.schedule(int(at_s * SECOND), self._arrive)
            at_s += self.random.expovariate(load.rate_per_s)
        for _ in range(load.storm_clients):
            self.queue.schedule(int((load.storm_at_s + self.random.random()) * SECOND), self._arrive)
        for after_s in (0, STORM_S):
            self.queue.schedule(int((load.storm_at_s + after_s) * SECOND), self._measure_spent)
        self.queue.run_until(int((load.length_s + AFTER_END_S) * SECOND))
        return self.result

    def _measure_spent(self) -> None:
        """At the storm's begin and end: the work of servers between the two."""
        for backend in self.backends.values():
            backend.advance(self.queue.now_ns)
        spent_core_s = sum(backend.spent_core_s for backend in self.backends.values())
        self.result.spent_core_s = spent_core_s - self.result.spent_core_s

    # Clients

    def _arrive(self) -> None:
        """A client comes with a new request."""
        is_write = self.random.random() < self.load.write_fraction
        number = next(self.queue.numbers)
        intent = ClientIntent(
            number=number,
            begun_ns=self.queue.now_ns,
            key=f"k{int(self.random.paretovariate(1.0)) % KEYS}",
            class_index=WRITE_CLASS if is_write else READ_CLASS,
            idempotency_key=f"o{number}" if is_write else "",
        )
        self.result.first_tries[self.queue.now_ns // SECOND] += 1
        self._try(intent, 0)

    def _try(self, intent: ClientIntent, tries_before: int) -> None:
        """A client sends a request; a retry has what is left of its first try's time."""
        deadline_ns = self.settings.classes[intent.class_index].deadline_ns
        wait_ns = deadline_ns
        if tries_before:
            wait_ns = min(deadline_ns, intent.begun_ns + deadline_ns - self.queue.now_ns)
        if wait_ns <= 0:
            return
        id = f"r{intent.number}.{tries_before}"
        is_write = bool(intent.idempotency_key)
        answer_by_ns = self.queue.now_ns + wait_ns - ANSWER_WAY_NS
        work_core_s = self.random.expovariate(1 / MEAN_WORK_CORE_S)
        self.open[id] = OpenRequest(intent, tries_before, work_core_s)
        if is_write:
            self.idempotency_keys[id] = intent.idempotency_key
        is_retry = tries_before > 0
        self._send_event(
            api.Request(
                id,
                intent.class_index,
                answer_by_ns,
                intent.key,
                is_write,
                0,
                is_retry,
                intent.idempotency_key,
            )
        )
        self.queue.schedule(self.queue.now_ns + wait_ns - ANSWER_WAY_NS // 2, partial(self._expire, id))
        self.queue.schedule(self.queue.now_ns + wait_ns, partial(self._give_up_waiting, id))

    def _expire(self, id: str) -> None:
        """What a host does with a request that has no answer just before its client leaves."""
        if id in self.open:
            self._finish_try(id, "failed", 0)
            self._send_event(api.ClientGone(id))

    def _give_up_waiting(self, id: str) -> None:
        """The client leaves; there should have been an answer by now."""
        if id in self.open:
            self.result.late_answers += 1
            self._finish_try(id, "gave up", 0)
            self._send_event(api.ClientGone(id))

    def _finish_try(self, id: str, end: str, retry_after_ns: int) -> None:
        """A try has its answer; its client may send one that was rejected or failed again."""
        self.result.answers[id] += 1
        request = self.open.pop(id, None)
        if request is None:
            return
        self.result.tries_by_end[end] += 1
        if end == "served":
            self._count_served(request)
            return
        if end == "refused" and retry_after_ns:
            self.result.retry_after_ms.append(retry_after_ns // MILLI)
        if request.tries_before >= self.load.retries:
            return
        delay_ns = int(self.load.backoff_s * SECOND)
        if retry_after_ns and self.random.random() < self.load.honour_fraction:
            delay_ns = retry_after_ns
        retry = partial(self._try, request.intent, request.tries_before + 1)
        self.queue.schedule(self.queue.now_ns + delay_ns + MILLI, retry)

    def _count_served(self, request: OpenRequest) -> None:
        """Counts a request that was served now."""
        begun_ns = request.intent.begun_ns
        objective_ns = self.settings.classes[request.intent.class_index].latency_objective_ns
        if self.queue.now_ns - begun_ns <= objective_ns:
            self.result.in_time[begun_ns // SECOND] += 1
        storm_begin_ns = int(self.load.storm_at_s * SECOND)
        if storm_begin_ns <= self.queue.now_ns < storm_begin_ns + STORM_S * SECOND:
            self.result.useful_core_s += request.work_core_s

    # The router and the servers

    def _send_event(self, event: api.Event) -> None:
        """Gives the router an event, and does what it says."""
        for action in self.router.handle(self.queue.now_ns, event):
            if isinstance(action, api.SetTimer):
                fired = partial(self._send_event, api.TimerFired(action.token))
                self.queue.schedule(self.queue.now_ns + action.delay_ns, fired)
            elif isinstance(action, api.StartAttempt):
                self._start_attempt(action)
            elif isinstance(action, api.Reject):
                self._finish_try(action.id, "refused", action.retry_after_ns)
            elif isinstance(action, api.Fail):
                self._finish_try(action.id, "failed", 0)

    def _start_attempt(self, action: api.StartAttempt) -> None:
        """An attempt goes to a server, which takes it or has no place for it."""
        attempt = AttemptKey(action.id, self.attempts_made[action.id])
        self.attempts_made[action.id] += 1
        self.result.attempts[self.queue.now_ns // SECOND] += 1
        key = self.idempotency_keys.get(action.id, "")
        if key and any(self.idempotency_keys.get(out.request_id) == key for out in self.out):
            self.result.simultaneous_writes += 1
        self.out[attempt] = AttemptOut(action.server, self.queue.now_ns)
        backend = self.backends[action.server]
        backend.advance(self.queue.now_ns)
        if len(backend.work_left) >= backend.table_size:
            full = partial(self._finish_attempt, attempt, api.AttemptStatus.FULL)
            self.queue.schedule(self.queue.now_ns + MILLI, full)
            return
        backend.work_left[attempt] = self.open[action.id].work_core_s
        self._plan_next_end(backend)
        if action.timeout_ns:
            timeout = partial(self._finish_attempt, attempt, api.AttemptStatus.TIMEOUT)
            self.queue.schedule(self.queue.now_ns + action.timeout_ns, timeout)

    def _plan_next_end(self, backend: Backend) -> None:
        """Plans the end of what the server will have done first; an end that was planned before is void."""
        backend.version += 1
        if backend.work_left:
            self.queue.schedule(backend.next_end_ns(), partial(self._finish_work, backend, backend.version))

    def _finish_work(self, backend: Backend, version: int) -> None:
        """A server has done an attempt, or several."""
        if version != backend.version:
            return
        backend.advance(self.queue.now_ns)
        done = [attempt for attempt, left in backend.work_left.items() if left <= DONE_CORE_S]
        for attempt in done:
            del backend.work_left[attempt]
        self._plan_next_end(backend)
        for attempt in done:
            self._finish_attempt(attempt, api.AttemptStatus.OK)

    def _finish_attempt(self, attempt: AttemptKey, status: api.AttemptStatus) -> None:
        """An attempt is over for the router; a server goes on with what was given up."""
        out = self.out.pop(attempt, None)
        if out is None:
            return
        self.result.attempt_outcomes[status] += 1
        if status is api.AttemptStatus.OK and attempt.request_id in self.open:
            self._finish_try(attempt.request_id, "served", 0)
        is_closed = attempt.request_id not in self.open
        took_ns = self.queue.now_ns - out.sent_ns
        self._send_event(
            api.AttemptFinished(attempt.request_id, attempt.number, out.server, status, is_closed, took_ns)
        )
