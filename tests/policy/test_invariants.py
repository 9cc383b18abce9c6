"""Rules 1 to 3 over random legal event sequences, checked by a model that shares no code with the policy."""

import random
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st
from support import MILLI, ORIGIN_KIND, SECOND, fleet
from support import settings as router_settings

from rainhitch import interface as api
from rainhitch.policy.balancer import Balancer

DRAIN_GRACE_NS = SECOND // 4
MICROSECOND = 1000
NEVER_EXECUTED = {"full", "connect_failed", "moot", "miss"}
ENDS = ["ok", "error", "full", "timeout", "connect_failed", "reset", "miss"]


@dataclass
class RequestModel:
    """A request in the model."""

    cls: int
    deadline: int
    attempts: list[tuple[str, int, str]] = field(default_factory=list)  # server, time sent, outcome or ""
    ended: bool = False


class RandomSimulation:
    """Simulates clients, endpoint list and servers with random legal events, and checks every action."""

    def __init__(self, seed: int, mode: str) -> None:
        self.random = random.Random(seed)
        self.coarse_timers = self.random.random() < 0.5
        self.options = router_settings(
            cache_aside=mode != "through",
            endpoints_polled=mode == "asked",
            tenants=[api.Tenant(5.0), api.Tenant(5.0)] if mode == "tenants" else [],
        )
        self.now = 100 * SECOND
        self.timers: list[tuple[int, str]] = []
        self.due: list[tuple[int, str, int]] = []  # end time, request id and attempt number
        self.start()

    def start(self) -> None:
        """Starts a router with a cached endpoint list; the requests of the previous router are dropped."""
        self.router = Balancer(self.options, self.random.getrandbits(64))
        self.held: dict[str, RequestModel] = {}
        self.due.clear()
        self.timers.clear()
        self.left: dict[str, int] = {}  # servers told as draining or gone, and when
        self.known = {
            endpoint.server: endpoint
            for endpoint in fleet(self.random.choice([0, 1, 4, 7]), self.random.random() < 0.9)
        }
        self.handle(api.EndpointUpdate(api.EndpointUpdateKind.CACHED, list(self.known.values())))

    def handle(self, event: api.Event) -> None:
        """Passes an event to the router, and checks each action."""
        for action in self.router.handle(self.now, event):
            if isinstance(action, api.StartAttempt):
                self.check_attempt(action)
            elif isinstance(action, api.Reject | api.Fail):
                self.check_answer(action)
            elif isinstance(action, api.SetTimer):
                assert action.delay_ns >= 0
                # Coarse timers may fire slightly early, but never at once.
                delay = (
                    action.delay_ns // MICROSECOND * MICROSECOND if self.coarse_timers else action.delay_ns
                )
                self.timers.append((self.now + max(1, delay), action.token))

    def check_attempt(self, action: api.StartAttempt) -> None:
        """Checks an attempt against rules 1 to 3, and schedules its end."""
        request = self.held[action.id]
        assert not request.ended, "rule 1: attempt for an ended request"
        assert action.server in self.known, "attempt at a server that no list named"
        assert self.now <= self.left.get(action.server, self.now) + DRAIN_GRACE_NS, (
            "rule 3: attempt at a draining server"
        )
        assert len(request.attempts) < self.options.max_attempts
        assert all(outcome for _, _, outcome in request.attempts), "rule 1: two attempts at once"
        ran = [(server, sent) for server, sent, outcome in request.attempts if outcome not in NEVER_EXECUTED]
        spec = self.options.classes[request.cls]
        if ran and spec.idempotency is api.Idempotency.NOT_IDEMPOTENT:
            raise AssertionError("rule 2: repeat of a non-idempotent request that may have been executed")
        if ran and spec.idempotency is api.Idempotency.IDEMPOTENCY_KEY:
            assert self.now < ran[0][1] + spec.dedup_window_ns, "rule 2: repeat after the dedup window"
            for server, _ in ran:
                for place in ("zone", "cell"):
                    if spec.dedup_scope == place:
                        first, then = self.known[server], self.known[action.server]
                        assert getattr(first, place) == getattr(then, place), (
                            "rule 2: repeat outside the dedup scope"
                        )
        request.attempts.append((action.server, self.now, ""))
        limit = (
            request.deadline
            if action.timeout_ns == 0
            else min(request.deadline, self.now + action.timeout_ns)
        )
        spread = self.random.choice([MILLI, 100 * MILLI, 3 * SECOND])
        when = min(limit, self.now + self.random.randrange(1, spread))
        self.due.append((when, action.id, len(request.attempts) - 1))

    def check_answer(self, action: api.Reject | api.Fail) -> None:
        """Checks a final answer against rules 1 and 2."""
        request = self.held[action.id]
        assert not request.ended, "rule 1: a second final answer"
        assert self.now <= request.deadline + 20 * MILLI, "rule 1: late"
        spec = self.options.classes[request.cls]
        ran = any(outcome not in NEVER_EXECUTED for _, _, outcome in request.attempts)
        if isinstance(action, api.Reject) and ran and spec.idempotency is not api.Idempotency.IDEMPOTENT:
            assert spec.idempotency is api.Idempotency.IDEMPOTENCY_KEY and spec.dedup_scope == "all", (
                "rule 2: rejection of a request that may have been executed"
            )
        request.ended = True

    def arrive(self) -> None:
        """Sends a client's request."""
        cls = self.random.randrange(len(self.options.classes))
        spec = self.options.classes[cls]
        name = f"r{len(self.held)}"
        deadline = self.now + int(spec.deadline_ns * self.random.uniform(0.05, 1))
        self.held[name] = RequestModel(cls, deadline)
        key = self.random.choice([None, "hot", f"k{self.random.randrange(60)}"])
        write = spec.idempotency is not api.Idempotency.IDEMPOTENT and self.options.cache_aside
        self.handle(
            api.Request(name, cls, deadline, key, write, self.random.randrange(2), self.random.random() < 0.2)
        )

    def change_list(self) -> None:
        """Changes the endpoint list, or fails to read it."""
        if self.options.endpoints_polled and self.random.random() < 0.3:
            self.handle(api.EndpointUpdate(api.EndpointUpdateKind.FAILED, []))
            return
        entries = []
        for name in (
            self.random.sample(sorted(self.known), self.random.randrange(1, 4)) if len(self.known) > 3 else []
        ):
            old = self.known[name]
            state = self.random.choice(
                [api.EndpointState.READY, api.EndpointState.DRAINING, api.EndpointState.GONE]
            )
            since = self.random.choice([old.started_at_ns, self.now])
            entries.append(api.Endpoint(name, state, old.kind, old.zone, old.cell, since))
        if self.random.random() < 0.4:
            name = f"n{self.random.randrange(8)}"
            entries.append(
                api.Endpoint(
                    name, zone=self.random.randrange(2), cell=self.random.randrange(3), started_at_ns=self.now
                )
            )
        for entry in entries:
            self.known[entry.server] = entry
            if entry.state is api.EndpointState.READY:
                self.left.pop(entry.server, None)
            else:
                self.left.setdefault(entry.server, self.now)
        kind = api.EndpointUpdateKind.DELTA
        if self.random.random() < 0.2:
            kind = api.EndpointUpdateKind.FULL
            entries = [endpoint for endpoint in self.known.values() if endpoint.server not in self.left]
            for name in self.known:
                if name not in {endpoint.server for endpoint in entries}:
                    self.left.setdefault(name, self.now)
        self.handle(api.EndpointUpdate(kind, entries))

    def finish(self, when: int, name: str, attempt: int) -> None:
        """Ends an attempt with a random outcome."""
        request = self.held[name]
        server, sent, _ = request.attempts[attempt]
        may_fail = self.random.random() < self.failure_probability
        outcome = self.random.choice(ENDS) if may_fail else "ok"
        if when >= request.deadline:
            outcome = "timeout"
        if outcome == "ok" and server != "origin" and self.random.random() < 0.4:
            outcome = "miss"
        request.attempts[attempt] = (server, sent, outcome)
        closed = request.ended or outcome == "ok"
        request.ended = closed
        load = (
            api.LoadReport(in_flight=self.random.randrange(30), latency_ms=50, served_per_s=20)
            if may_fail
            else None
        )
        self.handle(
            api.AttemptFinished(
                name, attempt, server, api.AttemptStatus(outcome), closed, self.now - sent, load=load
            )
        )

    def run(self, steps: int) -> None:
        """Runs `steps` random steps, and then until all requests have an answer."""
        self.failure_probability = self.random.choice([0.02, 0.3, 0.95])
        for _ in range(steps):
            self.advance(self.now + self.random.choice([0, MILLI, 20 * MILLI, 300 * MILLI]))
            self.random.choices(
                [self.arrive, self.change_list, self.disconnect_client, self.restart], [40, 4, 2, 0.3]
            )[0]()
        self.advance(self.now + 10 * SECOND)
        assert all(request.ended for request in self.held.values()), "rule 1: no answer"

    def advance(self, end: int) -> None:
        """Runs outcomes and timers until `end` in order of time, and checks that no answer is late."""
        while True:
            when, name, attempt = min(self.due, default=(end + 1, "", 0))
            timer, token = min(self.timers, default=(end + 1, ""))
            if min(when, timer) > end:
                break
            self.now = min(when, timer)
            if timer <= when:
                self.timers.remove((timer, token))
                self.handle(api.TimerFired(token))
            else:
                self.due.remove((when, name, attempt))
                self.finish(when, name, attempt)
            for request in self.held.values():
                assert request.ended or self.now <= request.deadline + 20 * MILLI, "rule 1: no answer in time"
        self.now = end

    def disconnect_client(self) -> None:
        """Disconnects a random client."""
        open_requests = [name for name, request in self.held.items() if not request.ended]
        if open_requests:
            name = self.random.choice(open_requests)
            self.held[name].ended = True
            self.handle(api.ClientGone(name))

    def restart(self) -> None:
        """Restarts the router."""
        self.start()


@settings(derandomize=True, max_examples=120, deadline=None)
@given(seed=st.integers(0, 2**32), mode=st.sampled_from(["aside", "through", "asked", "tenants"]))
def test_invariants_hold_over_random_legal_event_sequences(seed: int, mode: str) -> None:
    RandomSimulation(seed, mode).run(150)


def test_invariants_hold_when_the_origin_and_every_server_fail_at_once() -> None:
    simulation = RandomSimulation(5, "aside")
    simulation.failure_probability = 1.0
    simulation.known = {endpoint.server: endpoint for endpoint in fleet(6)}
    simulation.handle(api.EndpointUpdate(api.EndpointUpdateKind.FULL, list(simulation.known.values())))
    for _ in range(300):
        simulation.advance(simulation.now + 5 * MILLI)
        simulation.arrive()
    simulation.handle(api.EndpointUpdate(api.EndpointUpdateKind.FULL, []))
    simulation.left.update(dict.fromkeys(simulation.known, simulation.now))
    for _ in range(50):
        simulation.advance(simulation.now + 5 * MILLI)
        simulation.arrive()
    simulation.advance(simulation.now + 10 * SECOND)
    assert all(request.ended for request in simulation.held.values())
    assert simulation.router.requests == {} and simulation.options.origin_kind == ORIGIN_KIND
