"""Slow start of a server under the load of all routers together.

For any number of routers, any distribution of traffic over them and any restarts of routers, no window
contains more requests than its budget plus the random variation.
"""

import heapq
import math
from dataclasses import dataclass, field
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support import MILLI, ORIGIN_KIND, SECOND, START

from rainhitch import interface as api
from rainhitch.policy.balancer import Balancer

CORES, SERVICE_NS = 2, SECOND // 10  # concurrent requests of a server, and service time of each, ns
CAPACITY = CORES * SECOND / SERVICE_NS  # capacity of a warm server, requests per second
WINDOW_NS = SECOND
COLD = "c0"
SMALL_MACHINE_SPEEDS = {COLD: 0.5, "c1": 0.5}  # relative speed, which the listed weight does not show


@dataclass
class SimulatedServer:
    """A server that caches keys, serves CORES requests at once and rejects requests if its queue is full."""

    cold_since: int = 0
    held: set[str] = field(default_factory=set)
    core_free_at: list[int] = field(default_factory=list)  # time from which on each core is free

    def accept(self, now: int, capacity_fraction: float) -> int:
        """Accepts a request; returns the time at which it is done, or 0 if it is rejected."""
        self.core_free_at = sorted(max(now, at) for at in self.core_free_at) or [now] * CORES
        if self.core_free_at[0] - now > 10 * SERVICE_NS:
            return 0
        self.core_free_at[0] += round(SERVICE_NS / capacity_fraction)
        return self.core_free_at[0]


class StartingFleet:
    """Simulation, event by event, of routers over one fleet in which a server starts cold."""

    def __init__(
        self,
        seed: int,
        routers: int,
        load: float,
        hot: float = 0.0,
        cold: tuple[float, float] = (0.3, 8.7),
        *,
        restarted: float = 0.0,
        small: bool = False,
    ) -> None:
        self.random = Random(seed)
        cold_from, ramp = cold[0], int(cold[1] * SECOND)
        self.small = SMALL_MACHINE_SPEEDS if small else {}
        self.cold_from, self.ramp = cold_from, ramp
        self.options = api.Settings(
            [api.RequestClass(SECOND, 4 * SECOND, late_weight=0.5)],
            router_count=routers,
            cache_aside=True,
            origin_kind=ORIGIN_KIND,
            max_attempts=4,
            slow_start_initial_fraction=cold_from,
            slow_start_ns=ramp,
            slow_start_overload_factor=3.0,
            slow_start_window_ns=WINDOW_NS,
        )
        self.servers = {f"c{n}": SimulatedServer() for n in range(8)}
        self.load, self.hot = load, hot
        self.balancers = [self.start_router(n, cold=False) for n in range(routers)]
        self.weights = [
            self.random.paretovariate(1.2) for _ in range(routers)
        ]  # traffic of each router; some get many times the mean
        self.restarted = restarted
        self.events: list[tuple[int, int, int, api.Event]] = []
        self.count = 0
        self.sent: list[int] = []  # times of attempts at the cold server

    def members(self, cold: bool) -> list[api.Endpoint]:
        """Returns the endpoint list, with or without the starting server."""
        since = self.servers[COLD].cold_since
        starting = [api.Endpoint(COLD, kind=COLD in self.small, started_at_ns=since)] if cold else []
        rest = [api.Endpoint(name, kind=name in self.small) for name in self.servers if name != COLD]
        return [*starting, *rest, api.Endpoint("origin", kind=ORIGIN_KIND)]

    def start_router(self, number: int, cold: bool) -> Balancer:
        """Starts or restarts a router."""
        balancer = Balancer(self.options, number)
        balancer.handle(START, api.EndpointUpdate(api.EndpointUpdateKind.CACHED, self.members(cold)))
        return balancer

    def schedule(self, at: int, router: int, event: api.Event) -> None:
        """Schedules an event."""
        self.count += 1
        heapq.heappush(self.events, (at, self.count, router, event))

    def run(self, seconds: float, joins: float) -> None:
        """Simulates `seconds` of traffic; the cold server is on every list after `joins` seconds."""
        now, number = START, 0
        end, join = START + int(seconds * SECOND), START + int(joins * SECOND)
        rate = self.load * CAPACITY * len(self.servers)
        next_request = START
        while now < end:
            now = min(next_request, self.events[0][0] if self.events else next_request)
            if not self.servers[COLD].cold_since and now >= join:
                self.servers[COLD].cold_since = now
                for router in range(len(self.balancers)):
                    if self.random.random() < self.restarted:
                        self.balancers[router] = self.start_router(router, cold=True)
                    self.schedule(
                        now, router, api.EndpointUpdate(api.EndpointUpdateKind.FULL, self.members(True))
                    )
            if self.events and self.events[0][0] <= now:
                _, _, router, event = heapq.heappop(self.events)
            else:
                next_request = now + int(self.random.expovariate(rate) * SECOND)
                number += 1
                [router] = self.random.choices(range(len(self.balancers)), self.weights)
                hot = self.random.random() < self.hot
                key = "hot" if hot else f"k{int(self.random.paretovariate(1.0)) % 2000}"
                event = api.Request(f"r{number}", 0, now + 4 * SECOND, key)
            self.handle(now, router, event)

    def handle(self, now: int, router: int, event: api.Event) -> None:
        """Passes an event to a router, and carries out its actions."""
        balancer = self.balancers[router]
        for action in balancer.handle(now, event):
            if isinstance(action, api.SetTimer):
                self.schedule(now + action.delay_ns, router, api.TimerFired(action.token))
            elif isinstance(action, api.StartAttempt):
                pending = balancer.requests[action.id]
                self.attempt(now, router, action, pending.attempts_started - 1, pending.request.key or "")

    def attempt(self, now: int, router: int, send: api.StartAttempt, number: int, key: str) -> None:
        """Simulates an attempt; its outcome depends on the state of its server."""
        if send.server == "origin":
            self.outcome(now, router, send, number, status=api.AttemptStatus.OK, at=now + 20 * MILLI)
            self.servers[self.balancers[router].requests[send.id].missed_server or "c1"].held.add(key)
            return
        if send.server == COLD:
            self.sent.append(now)
        server = self.servers[send.server]
        done = server.accept(now, self.capacity_fraction(send.server, now) * self.small.get(send.server, 1.0))
        if not done:
            self.outcome(now, router, send, number, status=api.AttemptStatus.FULL, at=now + MILLI)
        elif key not in server.held and server.cold_since:
            self.outcome(now, router, send, number, status=api.AttemptStatus.MISS, at=now + 2 * MILLI)
        else:
            self.outcome(now, router, send, number, status=api.AttemptStatus.OK, at=done)

    def outcome(
        self,
        now: int,
        router: int,
        send: api.StartAttempt,
        number: int,
        *,
        status: api.AttemptStatus,
        at: int,
    ) -> None:
        """Schedules the end of an attempt."""
        closed = status is api.AttemptStatus.OK
        event = api.AttemptFinished(
            send.id, number, send.server, status, closed, at - now, connection_reused=True
        )
        self.schedule(at, router, event)

    def capacity_fraction(self, name: str, now: int) -> float:
        """Returns the fraction of its capacity, 0 to 1, that a server has at this time."""
        since = self.servers[name].cold_since
        if not since:
            return 1.0
        return min(1.0, self.cold_from + (1 - self.cold_from) * (now - since) / self.ramp)

    def max_relative_load(self) -> float:
        """Returns the highest load of any window, relative to its budget plus the random variation."""
        worst, first = 0.0, 0
        warm = self.servers[COLD].cold_since + self.ramp
        for last, at in enumerate(at for at in self.sent if at < warm):
            while self.sent[first] <= at - WINDOW_NS:
                first += 1
            budget = (
                self.options.slow_start_overload_factor
                * self.capacity_fraction(COLD, max(self.sent[first], at - WINDOW_NS))
                * CAPACITY
            )
            budget *= WINDOW_NS / SECOND * self.small.get(COLD, 1.0)
            worst = max(worst, (last - first + 1) / (budget + 2 * math.sqrt(budget) + 2))
        return worst


@settings(max_examples=25)
@given(
    seed=st.integers(0, 1 << 20),
    routers=st.integers(3, 30),
    load=st.sampled_from([0.4, 0.8, 1.6, 2.4]),
    hot=st.sampled_from([0.0, 0.1, 0.3, 0.6]),
    cold=st.sampled_from([(0.1, 20.0), (0.3, 8.7), (0.6, 3.6)]),
    restarted=st.sampled_from([0.0, 0.7]),
    small=st.booleans(),
)
def test_all_routers_together_keep_a_starting_servers_budget(
    seed: int,
    routers: int,
    load: float,
    hot: float,
    cold: tuple[float, float],
    *,
    restarted: float,
    small: bool,
) -> None:
    fleet = StartingFleet(seed, routers, load, hot, cold, restarted=restarted, small=small)
    fleet.run(7.0, 3.0)
    assert fleet.max_relative_load() <= 1


def test_hundreds_of_routers_do_not_send_a_hot_key_to_a_starting_server_at_once() -> None:
    """Guards against a starting server that gets a hot key from many routers at once.

    The server got 1.59 times the allowed load: each of 200 routers had one unused token when the server was
    listed. Of load far above the budget only a random sample may pass.
    """
    fleet = StartingFleet(1, 200, 1.6, 0.6, restarted=0.7)
    fleet.run(7.0, 3.0)
    assert fleet.max_relative_load() <= 1


def test_a_starting_small_machine_is_measured_by_warm_ones_of_its_kind() -> None:
    """Guards against a small machine that is measured by the mean of all servers.

    It got 1.09 times the allowed load from thirty routers. Only warm servers of its kind may count.
    """
    fleet = StartingFleet(1, 30, 2.4, 0.6, (0.6, 3.6), restarted=0.7, small=True)
    fleet.run(7.0, 3.0)
    assert fleet.max_relative_load() <= 1


@pytest.mark.parametrize("routers", [3, 30])
def test_a_server_in_slow_start_is_used(routers: int) -> None:
    fleet = StartingFleet(4, routers, 0.8, cold=(0.6, 3.6))
    fleet.run(7.0, 3.0)
    assert len(fleet.sent) >= 5
