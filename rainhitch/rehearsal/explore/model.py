"""All interleavings of a small world to a depth, over the real decisions: arrivals, ends of attempts, clients
that leave, news of the list, the passing of time. Every action is held against the rules.

States are told apart by all that the decisions hold, but for the state of their random numbers; a state
that was met before is not gone into again. What is found is the shortest list of events that does it.
"""

import hashlib
import types
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Any

from rainhitch import interface as api
from rainhitch.overload.controller import OverloadController
from rainhitch.policy.balancer import Balancer

MILLI = 1_000_000
SECOND = 1_000_000_000
STEP = 1000 * MILLI  # how far time goes at once, where nothing wakes up sooner
BEGIN = 100 * SECOND
ORIGIN = "origin"
RAN = frozenset(
    (api.AttemptStatus.OK, api.AttemptStatus.ERROR, api.AttemptStatus.TIMEOUT, api.AttemptStatus.RESET)
)
Event = tuple[str, ...]


@dataclass(frozen=True)
class Spec:
    """One request of the small world."""

    cls: int
    key: str
    write: bool = False
    order: str = ""


CLASSES = [
    api.RequestClass(SECOND, 2 * SECOND, late_weight=0.5),
    api.RequestClass(SECOND, 2 * SECOND, api.Idempotency.IDEMPOTENCY_KEY, dedup_window_ns=SECOND),
    api.RequestClass(SECOND, 2 * SECOND, api.Idempotency.NOT_IDEMPOTENT),
]
WORLDS: dict[str, list[Spec]] = {
    "two reads of a key": [Spec(0, "k"), Spec(0, "k")],
    "an order and its retry": [Spec(1, "k", True, "o"), Spec(1, "k", True, "o")],
    "a read, an order": [Spec(0, "k"), Spec(1, "k", True, "o")],
    "what may run once only, a read": [Spec(2, "k"), Spec(0, "j")],
}
SERVERS = ("s0", "s1")


class BreachError(Exception):
    """A rule is broken."""


@dataclass
class World:
    """The decisions and what they can see, played event by event."""

    specs: list[Spec]
    now: int = BEGIN
    out: dict[str, tuple[int, str, int, int]] = field(default_factory=dict)  # number, server, sent, until
    made: dict[str, int] = field(default_factory=dict)
    ran: dict[str, list[int]] = field(default_factory=dict)  # when what may have run was sent
    final: dict[str, str] = field(default_factory=dict)
    due: dict[str, int] = field(default_factory=dict)
    wakes: list[tuple[int, str]] = field(default_factory=list)
    lists: dict[str, api.EndpointState] = field(default_factory=dict)

    def __post_init__(self) -> None:
        settings = api.Settings(
            CLASSES, cache_aside=True, origin_kind=1, max_attempts=3, retry_after_allowed=True
        )
        settings.max_retry_after_ns = SECOND
        self.balancer = Balancer(settings, 1, OverloadController(settings, 1))
        self.lists = dict.fromkeys(SERVERS, api.EndpointState.READY)
        rows = [api.Endpoint(name) for name in SERVERS] + [api.Endpoint(ORIGIN, kind=1)]
        self._tell(api.EndpointUpdate(api.EndpointUpdateKind.CACHED, rows))

    def events(self) -> Iterator[Event]:
        """What may happen next."""
        for number in range(len(self.specs)):
            name = f"r{number}"
            if name not in self.due:
                yield "arrive", name
                break  # they come in their order: each other order is the same but for names
        for name, (_, server, _, _) in self.out.items():
            for status in (
                api.AttemptStatus.OK,
                api.AttemptStatus.RESET,
                api.AttemptStatus.CONNECT_FAILED,
                api.AttemptStatus.FULL,
            ):
                yield "end", name, status
            yield "end", name, api.AttemptStatus.ERROR if server == ORIGIN else api.AttemptStatus.MISS
        for name in self.due:
            if name not in self.final:
                yield "leave", name
        for server, state in self.lists.items():
            yield (
                "list",
                server,
                api.EndpointState.READY if state is api.EndpointState.GONE else api.EndpointState.GONE,
            )
            if state is api.EndpointState.READY:
                yield "list", server, api.EndpointState.DRAINING
        yield ("wait",)

    def play(self, event: Event) -> None:
        """Plays an event; raises BreachError."""
        match event:
            case ("arrive", name):
                spec = self.specs[int(name[1:])]
                self.due[name] = self.now + CLASSES[spec.cls].deadline_ns
                repeat = bool(spec.order) and name != "r0"
                told = (name, spec.cls, self.due[name], spec.key, spec.write, 0, repeat, spec.order)
                self._tell(api.Request(*told))
            case ("end", name, status):
                self._end(name, api.AttemptStatus(status))
            case ("leave", name):
                self.final[name] = "left"
                self._tell(api.ClientGone(name))
            case ("list", server, state):
                self.lists[server] = api.EndpointState(state)
                self._tell(
                    api.EndpointUpdate(
                        api.EndpointUpdateKind.DELTA, [api.Endpoint(server, api.EndpointState(state))]
                    )
                )
            case _:
                self._wait()

    def _wait(self) -> None:
        """Time goes on to what is next, an attempt's time, a deadline or a step; alarms come on the way."""
        marks = [until for _, _, _, until in self.out.values()]
        marks += [at for name, at in self.due.items() if name not in self.final]
        until = min([self.now + STEP, *(at for at in marks if at > self.now)])
        while self.wakes and min(self.wakes)[0] <= until:
            alarm = min(self.wakes)
            self.wakes.remove(alarm)
            self.now = max(self.now, alarm[0])
            self._tell(api.TimerFired(alarm[1]))
        self.now = until
        for name, (_, _, _, end) in list(self.out.items()):
            if end <= self.now:
                self._end(name, api.AttemptStatus.TIMEOUT)
        for name, at in self.due.items():
            if at <= self.now and name not in self.final:
                raise BreachError(f"rule 1: {name} has no answer at its deadline")

    def _end(self, name: str, status: api.AttemptStatus) -> None:
        number, server, sent, _ = self.out.pop(name)
        if status not in RAN and sent in self.ran.get(name, []):
            self.ran[name].remove(sent)  # it is known not to have run
        answered = status is api.AttemptStatus.OK and name not in self.final
        if answered:
            self.final[name] = "served"
        closed = name in self.final
        self._tell(api.AttemptFinished(name, number, server, status, closed, max(1, self.now - sent)))

    def _tell(self, event: api.Event) -> None:
        for action in self.balancer.handle(self.now, event):
            match action:
                case api.StartAttempt():
                    self._sent(action)
                case api.Reject() | api.Fail():
                    self._answered(action)
                case api.SetTimer():
                    self.wakes.append((self.now + action.delay_ns, action.token))

    def _sent(self, action: api.StartAttempt) -> None:
        name, spec = action.id, self.specs[int(action.id[1:])]
        kind = CLASSES[spec.cls]
        if name in self.final:
            raise BreachError(f"rule 1: {name} is sent to {action.server} after its end")
        if name in self.out:
            raise BreachError(f"rule 2: two attempts of {name} at once")
        if self.made.get(name, 0) >= 3:
            raise BreachError(f"rule 2: a fourth attempt of {name}")
        if self.lists.get(action.server, api.EndpointState.READY) is not api.EndpointState.READY:
            raise BreachError(f"rule 3: {name} is sent to {action.server}, which drains or is gone")
        same = [one for one in self.due if spec.order and self.specs[int(one[1:])].order == spec.order]
        if any(one in self.out for one in same):
            raise BreachError(f"rule 2: two attempts of order {spec.order} at once")
        # Other requests for an order are remembered for its window and the longest deadline, and no longer.
        kept = self.now - kind.dedup_window_ns - max(one.deadline_ns for one in CLASSES)
        before = self.ran.get(name, []) + [
            at for one in same if one != name for at in self.ran.get(one, []) if at > kept
        ]
        if before and kind.idempotency is api.Idempotency.NOT_IDEMPOTENT:
            raise BreachError(f"rule 2: {name} may have run, and is sent again")
        if (
            before
            and kind.idempotency is api.Idempotency.IDEMPOTENCY_KEY
            and self.now >= min(before) + kind.dedup_window_ns
        ):
            raise BreachError(f"rule 2: {name} is sent again after its window")
        number, self.made[name] = self.made.get(name, 0), self.made.get(name, 0) + 1
        until = min(self.due[name], self.now + action.timeout_ns) if action.timeout_ns else self.due[name]
        self.out[name] = number, action.server, self.now, until
        self.ran.setdefault(name, []).append(self.now)

    def _answered(self, action: api.Reject | api.Fail) -> None:
        name, spec = action.id, self.specs[int(action.id[1:])]
        kind = CLASSES[spec.cls]
        if name in self.final:
            raise BreachError(f"rule 1: a second answer to {name}")
        if name in self.out:
            raise BreachError(f"rule 1: {name} is answered while its attempt is out")
        if isinstance(action, api.Reject):
            ran = self.ran.get(name, [])
            kept = (
                kind.idempotency is api.Idempotency.IDEMPOTENCY_KEY
                and ran
                and self.now < min(ran) + kind.dedup_window_ns
            )
            if ran and kind.idempotency is not api.Idempotency.IDEMPOTENT and not kept:
                raise BreachError(f"rule 2: {name} may have run, and is refused")
        self.final[name] = type(action).__name__


@dataclass
class Found:
    """What a search came to."""

    states: int = 0
    steps: int = 0
    depth: int = 0
    breach: str = ""
    events: tuple[Event, ...] = ()


def search(specs: list[Spec], depth: int, most: int = 1 << 30) -> Found:
    """Plays every interleaving to a depth, or as many steps as allowed; stops at the first breach."""
    found, met = Found(), set()
    level: list[tuple[Event, ...]] = [()]
    for found.depth in range(1, depth + 1):
        after: list[tuple[Event, ...]] = []
        for path in level:
            for event in list(_replayed(specs, path).events()):
                if found.steps >= most:
                    return found
                found.steps += 1
                world = _replayed(specs, path)
                try:
                    world.play(event)
                except BreachError as problem:
                    found.breach, found.events = str(problem), (*path, event)
                    return found
                mark = fingerprint(world)
                if mark not in met:
                    met.add(mark)
                    found.states = len(met)
                    after.append((*path, event))
        level = after
    return found


def _replayed(specs: list[Spec], path: tuple[Event, ...]) -> World:
    world = World(specs)
    for event in path:
        world.play(event)
    return world


def fingerprint(world: World) -> bytes:
    """A hash of all that the world and its decisions hold."""
    digest = hashlib.blake2b(digest_size=16)
    seen: dict[int, int] = {}
    waiting: list[Any] = [world]
    while waiting:
        one = waiting.pop()
        if one is None or isinstance(one, int | float | str | bytes | Enum):
            digest.update(repr(one).encode())
            continue
        if id(one) in seen:
            digest.update(b"@%d" % seen[id(one)])
            continue
        seen[id(one)] = len(seen)
        digest.update(type(one).__name__.encode())
        waiting += _inside(one)
    return digest.digest()


def _inside(one: Any) -> list[Any]:
    if isinstance(one, Random | type | types.ModuleType):
        return []
    if isinstance(one, types.MethodType):
        return [one.__func__.__qualname__, one.__self__]
    if isinstance(one, types.FunctionType):
        return [one.__qualname__, *(cell.cell_contents for cell in one.__closure__ or ())]
    if isinstance(one, dict):
        return [part for row in one.items() for part in row]
    if isinstance(one, set | frozenset):
        return sorted(one, key=repr)
    if isinstance(one, list | tuple) or hasattr(one, "__iter__"):
        return list(one)
    names = [name for kind in type(one).__mro__ for name in getattr(kind, "__slots__", ())]
    return [*(getattr(one, name, None) for name in names), *getattr(one, "__dict__", {}).values()]
