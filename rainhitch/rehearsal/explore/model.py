"""A model checker: all interleavings of events around a few requests, to a depth, over the real decisions.

Events are arrivals, ends of attempts, clients that leave, changes of the endpoint list and the passing of
time. Every action of the decisions is held against the invariants: an `InvariantViolationError` names the
rule.

States are told apart by all that the model and the decisions hold (`fingerprint`), but for the state of their
random numbers; a state that was reached before is not expanded again. The search is by breadth, so that a
counterexample is a shortest list of events.
"""

import hashlib
import types
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Any, NamedTuple

from rainhitch import interface as api
from rainhitch.errors import RainhitchError
from rainhitch.overload.controller import OverloadController
from rainhitch.policy.balancer import Balancer

NS_PER_S = 1_000_000_000
TIME_STEP_NS = NS_PER_S  # how far time goes at once, where nothing is due sooner
START_NS = 100 * NS_PER_S
ORIGIN = "origin"
CACHE_SERVERS = ("s0", "s1")
MAX_ATTEMPTS = 3
NO_BOUND = 1 << 30  # on the events that are played
MAY_HAVE_RUN = frozenset(
    (api.AttemptStatus.OK, api.AttemptStatus.ERROR, api.AttemptStatus.TIMEOUT, api.AttemptStatus.RESET)
)
CACHE_ENDS = (
    api.AttemptStatus.OK,
    api.AttemptStatus.RESET,
    api.AttemptStatus.CONNECT_FAILED,
    api.AttemptStatus.FULL,
)
# An event's name and its arguments:
#   arrive REQUEST, end REQUEST STATUS, leave REQUEST, list SERVER STATE, wait
Event = tuple[str, ...]


@dataclass(frozen=True)
class RequestSpec:
    """One request of a model."""

    class_index: int
    key: str
    write: bool = False
    idempotency_key: str = ""


CLASSES = [
    api.RequestClass(NS_PER_S, 2 * NS_PER_S, late_weight=0.5),
    api.RequestClass(NS_PER_S, 2 * NS_PER_S, api.Idempotency.IDEMPOTENCY_KEY, dedup_window_ns=NS_PER_S),
    api.RequestClass(NS_PER_S, 2 * NS_PER_S, api.Idempotency.NOT_IDEMPOTENT),
]
LONGEST_DEADLINE_NS = max(one.deadline_ns for one in CLASSES)
MODELS: dict[str, list[RequestSpec]] = {
    "two reads of a key": [RequestSpec(0, "k"), RequestSpec(0, "k")],
    "an order and its retry": [RequestSpec(1, "k", True, "o"), RequestSpec(1, "k", True, "o")],
    "a read, an order": [RequestSpec(0, "k"), RequestSpec(1, "k", True, "o")],
    "what may run once only, a read": [RequestSpec(2, "k"), RequestSpec(0, "j")],
}


class InvariantViolationError(RainhitchError):
    """The decisions break a rule; the text begins with the rule's number."""


class AttemptInFlight(NamedTuple):
    """The attempt of a request that has not ended."""

    number: int  # of the request's attempts, from 0
    server: str
    sent_ns: int
    timeout_ns: int  # when it ends by itself


class Timer(NamedTuple):
    """A timer that the decisions have set; ordered by time."""

    due_ns: int
    token: str


@dataclass
class Model:
    """The decisions and all that is around them, changed event by event. Requests are named r0, r1, ..."""

    specs: list[RequestSpec]
    now_ns: int = START_NS
    in_flight: dict[str, AttemptInFlight] = field(default_factory=dict)
    attempt_counts: dict[str, int] = field(default_factory=dict)
    may_have_run_ns: dict[str, list[int]] = field(default_factory=dict)  # when such attempts were sent
    final_answers: dict[str, str] = field(default_factory=dict)
    deadlines_ns: dict[str, int] = field(default_factory=dict)
    timers: list[Timer] = field(default_factory=list)
    server_states: dict[str, api.EndpointState] = field(default_factory=dict)

    def __post_init__(self) -> None:
        settings = api.Settings(
            CLASSES, cache_aside=True, origin_kind=1, max_attempts=MAX_ATTEMPTS, retry_after_allowed=True
        )
        settings.max_retry_after_ns = NS_PER_S
        self.balancer = Balancer(settings, 1, OverloadController(settings, 1))
        self.server_states = dict.fromkeys(CACHE_SERVERS, api.EndpointState.READY)
        endpoints = [api.Endpoint(name) for name in CACHE_SERVERS] + [api.Endpoint(ORIGIN, kind=1)]
        self._handle(api.EndpointUpdate(api.EndpointUpdateKind.CACHED, endpoints))

    # events

    def enabled_events(self) -> Iterator[Event]:
        """What may happen next."""
        for number in range(len(self.specs)):
            name = f"r{number}"
            if name not in self.deadlines_ns:
                yield "arrive", name
                break  # they come in their order: each other order is the same but for names
        for name, attempt in self.in_flight.items():
            for status in CACHE_ENDS:
                yield "end", name, status
            from_origin = attempt.server == ORIGIN
            yield "end", name, api.AttemptStatus.ERROR if from_origin else api.AttemptStatus.MISS
        for name in self.deadlines_ns:
            if name not in self.final_answers:
                yield "leave", name
        for server, state in self.server_states.items():
            is_gone = state is api.EndpointState.GONE
            yield "list", server, api.EndpointState.READY if is_gone else api.EndpointState.GONE
            if state is api.EndpointState.READY:
                yield "list", server, api.EndpointState.DRAINING
        yield ("wait",)

    def apply(self, event: Event) -> None:
        """Plays an event; raises InvariantViolationError."""
        match event:
            case ("arrive", name):
                self._arrive(name)
            case ("end", name, status):
                self._end_attempt(name, api.AttemptStatus(status))
            case ("leave", name):
                self.final_answers[name] = "left"
                self._handle(api.ClientGone(name))
            case ("list", server, state):
                self.server_states[server] = api.EndpointState(state)
                endpoint = api.Endpoint(server, api.EndpointState(state))
                self._handle(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, [endpoint]))
            case _:
                self._wait()

    def _arrive(self, name: str) -> None:
        spec = self._spec_of(name)
        deadline_ns = self.now_ns + CLASSES[spec.class_index].deadline_ns
        self.deadlines_ns[name] = deadline_ns
        is_client_retry = bool(spec.idempotency_key) and name != "r0"
        self._handle(
            api.Request(
                name,
                spec.class_index,
                deadline_ns,
                spec.key,
                spec.write,
                0,
                is_client_retry,
                spec.idempotency_key,
            )
        )

    def _wait(self) -> None:
        """Time goes on to the next time-out or deadline, or by a step; timers fire on the way."""
        due_ns = [attempt.timeout_ns for attempt in self.in_flight.values()]
        due_ns += [at_ns for name, at_ns in self.deadlines_ns.items() if name not in self.final_answers]
        until_ns = min([self.now_ns + TIME_STEP_NS, *(at_ns for at_ns in due_ns if at_ns > self.now_ns)])
        while self.timers and min(self.timers).due_ns <= until_ns:
            timer = min(self.timers)
            self.timers.remove(timer)
            self.now_ns = max(self.now_ns, timer.due_ns)
            self._handle(api.TimerFired(timer.token))
        self.now_ns = until_ns
        for name, attempt in list(self.in_flight.items()):
            if attempt.timeout_ns <= self.now_ns:
                self._end_attempt(name, api.AttemptStatus.TIMEOUT)
        for name, deadline_ns in self.deadlines_ns.items():
            if deadline_ns <= self.now_ns and name not in self.final_answers:
                raise InvariantViolationError(f"rule 1: {name} has no answer at its deadline")

    def _end_attempt(self, name: str, status: api.AttemptStatus) -> None:
        attempt = self.in_flight.pop(name)
        if status not in MAY_HAVE_RUN and attempt.sent_ns in self.may_have_run_ns.get(name, []):
            self.may_have_run_ns[name].remove(attempt.sent_ns)  # it is known not to have run
        if status is api.AttemptStatus.OK and name not in self.final_answers:
            self.final_answers[name] = "served"
        answered = name in self.final_answers
        took_ns = max(1, self.now_ns - attempt.sent_ns)
        self._handle(api.AttemptFinished(name, attempt.number, attempt.server, status, answered, took_ns))

    def _handle(self, event: api.Event) -> None:
        """Gives the decisions an event, and checks and takes their actions."""
        for action in self.balancer.handle(self.now_ns, event):
            match action:
                case api.StartAttempt():
                    self._check_attempt(action)
                    self._start_attempt(action)
                case api.Reject() | api.Fail():
                    self._check_answer(action)
                    self.final_answers[action.id] = type(action).__name__
                case api.SetTimer():
                    self.timers.append(Timer(self.now_ns + action.delay_ns, action.token))

    def _start_attempt(self, action: api.StartAttempt) -> None:
        name = action.id
        number = self.attempt_counts.get(name, 0)
        self.attempt_counts[name] = number + 1
        timeout_ns = self.deadlines_ns[name]
        if action.timeout_ns:
            timeout_ns = min(timeout_ns, self.now_ns + action.timeout_ns)
        self.in_flight[name] = AttemptInFlight(number, action.server, self.now_ns, timeout_ns)
        self.may_have_run_ns.setdefault(name, []).append(self.now_ns)

    def _spec_of(self, name: str) -> RequestSpec:
        return self.specs[int(name[1:])]

    # invariants

    def _check_attempt(self, action: api.StartAttempt) -> None:
        """Rules 1 to 3 on a new attempt: an open request, no other attempt, a server that takes it."""
        name = action.id
        if name in self.final_answers:
            raise InvariantViolationError(f"rule 1: {name} is sent to {action.server} after its end")
        if name in self.in_flight:
            raise InvariantViolationError(f"rule 2: two attempts of {name} at once")
        if self.attempt_counts.get(name, 0) >= MAX_ATTEMPTS:
            raise InvariantViolationError(f"rule 2: a fourth attempt of {name}")
        state = self.server_states.get(action.server, api.EndpointState.READY)
        if state is not api.EndpointState.READY:
            raise InvariantViolationError(
                f"rule 3: {name} is sent to {action.server}, which drains or is gone"
            )
        self._check_repeat(name)

    def _check_repeat(self, name: str) -> None:
        """Rule 2 on a new attempt of what may have run already, also by another request of the same order."""
        spec = self._spec_of(name)
        request_class = CLASSES[spec.class_index]
        same_order = [
            other
            for other in self.deadlines_ns
            if spec.idempotency_key and self._spec_of(other).idempotency_key == spec.idempotency_key
        ]
        if any(other in self.in_flight for other in same_order):
            raise InvariantViolationError(f"rule 2: two attempts of order {spec.idempotency_key} at once")
        # Other requests for an order are remembered for its window and the longest deadline, and no longer.
        remembered_ns = self.now_ns - request_class.dedup_window_ns - LONGEST_DEADLINE_NS
        earlier_ns = self.may_have_run_ns.get(name, []) + [
            at_ns
            for other in same_order
            if other != name
            for at_ns in self.may_have_run_ns.get(other, [])
            if at_ns > remembered_ns
        ]
        if not earlier_ns:
            return
        if request_class.idempotency is api.Idempotency.NOT_IDEMPOTENT:
            raise InvariantViolationError(f"rule 2: {name} may have run, and is sent again")
        window_is_over = self.now_ns >= min(earlier_ns) + request_class.dedup_window_ns
        if request_class.idempotency is api.Idempotency.IDEMPOTENCY_KEY and window_is_over:
            raise InvariantViolationError(f"rule 2: {name} is sent again after its window")

    def _check_answer(self, action: api.Reject | api.Fail) -> None:
        """Rules 1 and 2 on a final answer: one only, and none that denies what may have run."""
        name = action.id
        if name in self.final_answers:
            raise InvariantViolationError(f"rule 1: a second answer to {name}")
        if name in self.in_flight:
            raise InvariantViolationError(f"rule 1: {name} is answered while its attempt is out")
        may_have_run_ns = self.may_have_run_ns.get(name, [])
        if not isinstance(action, api.Reject) or not may_have_run_ns:
            return
        request_class = CLASSES[self._spec_of(name).class_index]
        # Within the window a client's retry is dropped where the first one has run.
        in_window = (
            request_class.idempotency is api.Idempotency.IDEMPOTENCY_KEY
            and self.now_ns < min(may_have_run_ns) + request_class.dedup_window_ns
        )
        if request_class.idempotency is not api.Idempotency.IDEMPOTENT and not in_window:
            raise InvariantViolationError(f"rule 2: {name} may have run, and is refused")


@dataclass
class SearchResult:
    """What a search came to."""

    states: int = 0  # that differ
    steps: int = 0  # events played
    depth: int = 0
    violation: str = ""
    counterexample: tuple[Event, ...] = ()


def search(specs: list[RequestSpec], depth: int, max_steps: int = NO_BOUND) -> SearchResult:
    """Plays every interleaving to a depth, or as many steps as allowed; stops at the first violation."""
    result = SearchResult()
    reached: set[bytes] = set()
    frontier: list[tuple[Event, ...]] = [()]
    for result.depth in range(1, depth + 1):
        next_frontier: list[tuple[Event, ...]] = []
        for path in frontier:
            for event in list(_replay(specs, path).enabled_events()):
                if result.steps >= max_steps:
                    return result
                result.steps += 1
                model = _replay(specs, path)
                try:
                    model.apply(event)
                except InvariantViolationError as problem:
                    result.violation = str(problem)
                    result.counterexample = (*path, event)
                    return result
                state = fingerprint(model)
                if state not in reached:
                    reached.add(state)
                    result.states = len(reached)
                    next_frontier.append((*path, event))
        frontier = next_frontier
    return result


def _replay(specs: list[RequestSpec], path: tuple[Event, ...]) -> Model:
    """The model after some events: the decisions can't be copied."""
    model = Model(specs)
    for event in path:
        model.apply(event)
    return model


def fingerprint(model: Model) -> bytes:
    """A hash of all that the model and its decisions hold."""
    digest = hashlib.blake2b(digest_size=16)
    order_of_object: dict[int, int] = {}
    waiting: list[Any] = [model]
    while waiting:
        value = waiting.pop()
        if value is None or isinstance(value, int | float | str | bytes | Enum):
            digest.update(repr(value).encode())
            continue
        if id(value) in order_of_object:
            digest.update(b"@%d" % order_of_object[id(value)])
            continue
        order_of_object[id(value)] = len(order_of_object)
        digest.update(type(value).__name__.encode())
        waiting += _contents(value)
    return digest.digest()


def _contents(value: Any) -> list[Any]:
    """What an object holds, in an order that does not hang on where it lies in memory."""
    if isinstance(value, Random | type | types.ModuleType):
        return []
    if isinstance(value, types.MethodType):
        return [value.__func__.__qualname__, value.__self__]
    if isinstance(value, types.FunctionType):
        return [value.__qualname__, *(cell.cell_contents for cell in value.__closure__ or ())]
    if isinstance(value, dict):
        return [part for item in value.items() for part in item]
    if isinstance(value, set | frozenset):
        return sorted(value, key=repr)
    if isinstance(value, list | tuple) or hasattr(value, "__iter__"):
        return list(value)
    slots = [name for kind in type(value).__mro__ for name in getattr(kind, "__slots__", ())]
    return [*(getattr(value, name, None) for name in slots), *getattr(value, "__dict__", {}).values()]
