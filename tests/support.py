"""Small helpers of the tests: settings, events and a router driven step by step."""

from rainhitch import interface as api
from rainhitch.policy.balancer import Balancer
from rainhitch.policy.server_registry import Server

SECOND = 1_000_000_000
MILLI = 1_000_000
ORIGIN_KIND = 9
START = 100 * SECOND


def settings(**changes: object) -> api.Settings:
    values: dict[str, object] = {
        "classes": [
            api.RequestClass(latency_objective_ns=SECOND, deadline_ns=2 * SECOND, late_weight=0.5),
            api.RequestClass(SECOND, 2 * SECOND, api.Idempotency.IDEMPOTENCY_KEY, "all", 3 * SECOND // 2),
            api.RequestClass(SECOND, 2 * SECOND, api.Idempotency.NOT_IDEMPOTENT),
            api.RequestClass(SECOND, 2 * SECOND, api.Idempotency.IDEMPOTENCY_KEY, "zone", SECOND),
            api.RequestClass(SECOND, 2 * SECOND, api.Idempotency.IDEMPOTENCY_KEY, "cell", SECOND),
        ],
        "router_count": 3,
        "cache_aside": True,
        "origin_kind": ORIGIN_KIND,
        "max_attempts": 4,
        "slow_start_initial_fraction": 0.2,
        "slow_start_ns": 10 * SECOND,
        "slow_start_overload_factor": 3.0,
    }
    values.update(changes)
    return api.Settings(**values)  # type: ignore[arg-type]


def fleet(count: int = 4, origin: bool = True) -> list[api.Endpoint]:
    members = [api.Endpoint(f"c{n}", zone=n % 2, cell=n % 3) for n in range(count)]
    return members + ([api.Endpoint("origin", kind=ORIGIN_KIND)] if origin else [])


class Router:
    """A balancer with its own clock; alarms come when they are due."""

    def __init__(
        self,
        options: api.Settings | None = None,
        members: list[api.Endpoint] | None = None,
        damper: api.OverloadControl | None = None,
    ) -> None:
        self.balancer = Balancer(options or settings(), 7, damper)
        self.now = START
        self.alarms: list[tuple[int, str]] = []
        self.round_at = START + self.balancer.settings.gossip_interval_ns  # when the next period is over
        self.log: list[str] = []
        self.count = 0
        listed = fleet() if members is None else members
        self.tell(api.EndpointUpdate(api.EndpointUpdateKind.CACHED, listed))

    def tell(self, event: api.Event) -> list[api.Action]:
        """Plays an event; gives the actions that concern requests or the list."""
        return self._carry_out(self.balancer.handle(self.now, event))

    def advance(self) -> list[api.Action]:
        """Runs what is due by now, with no event."""
        return self._carry_out(self.balancer.advance(self.now))

    def _carry_out(self, taken: list[api.Action]) -> list[api.Action]:
        actions: list[api.Action] = []
        for action in taken:
            if isinstance(action, api.SetTimer):
                self.alarms.append((self.now + action.delay_ns, action.token))
            elif isinstance(action, api.LogLine):
                self.log.append(action.text)
            else:
                actions.append(action)
        return actions

    def wait(self, delay: int) -> list[api.Action]:
        """Lets time pass, with every alarm on the way, and each period between routers where they tell."""
        end, actions = self.now + delay, []
        every = self.balancer.settings.gossip_interval_ns
        while True:
            due = [(at, token) for at, token in self.alarms if at <= end]
            if every and self.round_at <= end:
                due.append((self.round_at, ""))
            if not due:
                break
            alarm = min(due)
            self.now = max(self.now, alarm[0])
            if alarm[1]:
                self.alarms.remove(alarm)
                actions += self.tell(api.TimerFired(alarm[1]))
            else:
                self.round_at += every
                actions += self.tell(api.GossipIntervalElapsed())
        self.now = end
        return actions

    def ask(
        self, key: str | None = "k", cls: int = 0, write: bool = False, tenant: int = 0
    ) -> tuple[str, list[api.Action]]:
        self.count += 1
        name = f"r{self.count}"
        deadline = self.now + self.balancer.settings.classes[cls].deadline_ns
        return name, self.tell(api.Request(name, cls, deadline, key, write, tenant))

    def end(
        self,
        send: api.Action,
        status: api.AttemptStatus,
        attempt: int = 0,
        elapsed: int = 10 * MILLI,
        load: api.LoadReport | None = None,
        reused: bool | None = None,
    ) -> list[api.Action]:
        """Ends the attempt that this Send began."""
        assert isinstance(send, api.StartAttempt)
        closed = status is api.AttemptStatus.OK
        told = api.AttemptFinished(
            send.id, attempt, send.server, status, closed, elapsed, load=load, connection_reused=reused
        )
        return self.tell(told)

    def candidates(self, key: str) -> list[Server]:
        balancer = self.balancer
        return [balancer.servers.servers[name] for name in balancer.placement.ranges.locate(key)[2]]

    def serve(self, key: str) -> str:
        """Lets a key be fetched and stored; gives the server that holds it."""
        _, (first,) = self.ask(key)
        (second,) = self.end(first, api.AttemptStatus.MISS)
        self.end(second, api.AttemptStatus.OK, 1)
        assert isinstance(first, api.StartAttempt)
        return first.server

    def throttle_on(self) -> None:
        """Makes the origin fail until the monitor acts."""
        for n in range(6):
            _, (first,) = self.ask(f"on{n}")
            (second,) = self.end(first, api.AttemptStatus.MISS)
            self.end(second, api.AttemptStatus.FULL, 1)
        self.wait(SECOND)
        assert self.balancer.origin_admission.monitor.throttle is not None
