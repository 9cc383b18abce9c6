"""A router's decisions driven step by step, with settings and servers for it. No sockets, no real time."""

from rainhitch import interface as api
from rainhitch.policy.balancer import Balancer
from rainhitch.policy.server import Server

SECOND = 1_000_000_000  # ns
MILLI = 1_000_000  # ns
ORIGIN_KIND = 9
START = 100 * SECOND  # a router's clock at its start, ns
SEED = 7
FAILED_READS_TO_THROTTLE = 6  # in one second


def settings(**changes: object) -> api.Settings:
    """Settings with a class of each kind of idempotency and dedup scope, with the given fields changed."""
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
    """So many cache servers, c0 and up, over two zones and three cells; and the origin, if wanted."""
    servers = [api.Endpoint(f"c{number}", zone=number % 2, cell=number % 3) for number in range(count)]
    return servers + ([api.Endpoint("origin", kind=ORIGIN_KIND)] if origin else [])


class Router:
    """A balancer with a clock of its own, `now` in ns; its timers fire when they are due."""

    def __init__(
        self,
        options: api.Settings | None = None,
        endpoints: list[api.Endpoint] | None = None,
        overload_control: api.OverloadControl | None = None,
    ) -> None:
        self.balancer = Balancer(options or settings(), SEED, overload_control)
        self.now = START
        self.timers: list[tuple[int, str]] = []  # when, ns; token
        self.gossip_due_at = START + self.balancer.settings.gossip_interval_ns
        self.log: list[str] = []
        self.request_count = 0
        listed = fleet() if endpoints is None else endpoints
        self.handle(api.EndpointUpdate(api.EndpointUpdateKind.CACHED, listed))

    def handle(self, event: api.Event) -> list[api.Action]:
        """Handles an event now; gives the actions on requests and the list. Timers and log lines are kept."""
        return self._carry_out(self.balancer.handle(self.now, event))

    def advance(self) -> list[api.Action]:
        """Runs what is due by now, with no event."""
        return self._carry_out(self.balancer.advance(self.now))

    def _carry_out(self, taken: list[api.Action]) -> list[api.Action]:
        actions: list[api.Action] = []
        for action in taken:
            if isinstance(action, api.SetTimer):
                self.timers.append((self.now + action.delay_ns, action.token))
            elif isinstance(action, api.LogLine):
                self.log.append(action.text)
            else:
                actions.append(action)
        return actions

    def wait(self, delay_ns: int) -> list[api.Action]:
        """Lets time pass; timers fire on the way, and gossip intervals end where there is gossip."""
        end = self.now + delay_ns
        actions: list[api.Action] = []
        gossip_interval_ns = self.balancer.settings.gossip_interval_ns
        while True:
            due = [(at, token) for at, token in self.timers if at <= end]
            if gossip_interval_ns and self.gossip_due_at <= end:
                due.append((self.gossip_due_at, ""))
            if not due:
                break
            timer = min(due)
            at, token = timer
            self.now = max(self.now, at)
            if token:
                self.timers.remove(timer)
                actions += self.handle(api.TimerFired(token))
            else:
                self.gossip_due_at += gossip_interval_ns
                actions += self.handle(api.GossipIntervalElapsed())
        self.now = end
        return actions

    def request(
        self, key: str | None = "k", class_index: int = 0, write: bool = False, tenant: int = 0
    ) -> tuple[str, list[api.Action]]:
        """Receives a request with the longest deadline of its class; gives its id and the actions."""
        self.request_count += 1
        request_id = f"r{self.request_count}"
        deadline_ns = self.now + self.balancer.settings.classes[class_index].deadline_ns
        event = api.Request(request_id, class_index, deadline_ns, key, write, tenant)
        return request_id, self.handle(event)

    def end_attempt(
        self,
        started: api.Action,
        status: api.AttemptStatus,
        attempt: int = 0,
        elapsed: int = 10 * MILLI,
        *,
        load: api.LoadReport | None = None,
        reused: bool | None = None,
    ) -> list[api.Action]:
        """Ends the attempt that this StartAttempt began, after `elapsed` ns; gives the actions.

        `attempt` is its number in the request, `load` the server's report, `reused` whether its connection
        had carried others.
        """
        assert isinstance(started, api.StartAttempt)
        is_answered = status is api.AttemptStatus.OK
        event = api.AttemptFinished(
            started.id,
            attempt,
            started.server,
            status,
            is_answered,
            elapsed,
            load=load,
            connection_reused=reused,
        )
        return self.handle(event)

    def candidates(self, key: str) -> list[Server]:
        """The servers of a key's range: its owner, and who stands in for it, in their order."""
        balancer = self.balancer
        return [balancer.servers.servers[name] for name in balancer.placement.ranges.locate(key)[2]]

    def fetch_and_store(self, key: str) -> str:
        """Lets a key be read from the origin and stored; gives the server that holds it now."""
        _, (first,) = self.request(key)
        (second,) = self.end_attempt(first, api.AttemptStatus.MISS)
        self.end_attempt(second, api.AttemptStatus.OK, 1)
        assert isinstance(first, api.StartAttempt)
        return first.server

    def throttle_on(self) -> None:
        """Makes the origin fail until its throttle is on."""
        for number in range(FAILED_READS_TO_THROTTLE):
            _, (first,) = self.request(f"on{number}")
            (second,) = self.end_attempt(first, api.AttemptStatus.MISS)
            self.end_attempt(second, api.AttemptStatus.FULL, 1)
        self.wait(SECOND)
        assert self.balancer.origin_admission.monitor.throttle is not None
