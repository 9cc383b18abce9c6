"""Small helpers of the tests: settings, events and a router driven step by step."""

from rainhitch import interface as api
from rainhitch.policy.balancer import Balancer
from rainhitch.policy.servers import Server

SECOND = 1_000_000_000
MILLI = 1_000_000
ORIGIN_KIND = 9
START = 100 * SECOND


def settings(**changes: object) -> api.Settings:
    values: dict[str, object] = {
        "classes": [
            api.RequestClass(aim=SECOND, deadline=2 * SECOND, late_worth=0.5),
            api.RequestClass(SECOND, 2 * SECOND, api.Effect.KEYED, "all", 3 * SECOND // 2),
            api.RequestClass(SECOND, 2 * SECOND, api.Effect.UNSAFE),
            api.RequestClass(SECOND, 2 * SECOND, api.Effect.KEYED, "zone", SECOND),
            api.RequestClass(SECOND, 2 * SECOND, api.Effect.KEYED, "cell", SECOND),
        ],
        "balancers": 3,
        "aside": True,
        "origin_kind": ORIGIN_KIND,
        "max_attempts": 4,
        "cold_from": 0.2,
        "ramp_time": 10 * SECOND,
        "tip_multiple": 3.0,
    }
    values.update(changes)
    return api.Settings(**values)  # type: ignore[arg-type]


def fleet(count: int = 4, origin: bool = True) -> list[api.Member]:
    members = [api.Member(f"c{n}", zone=n % 2, cell=n % 3) for n in range(count)]
    return members + ([api.Member("origin", kind=ORIGIN_KIND)] if origin else [])


class Router:
    """A balancer with its own clock; alarms come when they are due."""

    def __init__(
        self,
        options: api.Settings | None = None,
        members: list[api.Member] | None = None,
        damper: api.Damper | None = None,
    ) -> None:
        self.balancer = Balancer(options or settings(), 7, damper)
        self.now = START
        self.alarms: list[tuple[int, str]] = []
        self.round_at = START + self.balancer.settings.tell_every  # when the next period is over
        self.log: list[str] = []
        self.count = 0
        listed = fleet() if members is None else members
        self.tell(api.Members(api.ListKind.CACHED, listed))

    def tell(self, event: api.Event) -> list[api.Action]:
        """Plays an event; gives the actions that concern requests or the list."""
        actions: list[api.Action] = []
        for action in self.balancer.handle(self.now, event):
            if isinstance(action, api.Wake):
                self.alarms.append((self.now + action.delay, action.token))
            elif isinstance(action, api.Log):
                self.log.append(action.text)
            else:
                actions.append(action)
        return actions

    def wait(self, delay: int) -> list[api.Action]:
        """Lets time pass, with every alarm on the way, and each period between routers where they tell."""
        end, actions = self.now + delay, []
        every = self.balancer.settings.tell_every
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
                actions += self.tell(api.Alarm(alarm[1]))
            else:
                self.round_at += every
                actions += self.tell(api.Round())
        self.now = end
        return actions

    def ask(
        self, key: str | None = "k", cls: int = 0, write: bool = False, tenant: int = 0
    ) -> tuple[str, list[api.Action]]:
        self.count += 1
        name = f"r{self.count}"
        deadline = self.now + self.balancer.settings.classes[cls].deadline
        return name, self.tell(api.Request(name, cls, deadline, key, write, tenant))

    def end(
        self,
        send: api.Action,
        status: api.Status,
        attempt: int = 0,
        elapsed: int = 10 * MILLI,
        load: api.Load | None = None,
        reused: bool | None = None,
    ) -> list[api.Action]:
        """Ends the attempt that this Send began."""
        assert isinstance(send, api.Send)
        closed = status is api.Status.OK
        told = api.Outcome(send.id, attempt, send.server, status, closed, elapsed, load=load, reused=reused)
        return self.tell(told)

    def candidates(self, key: str) -> list[Server]:
        balancer = self.balancer
        return [balancer.fleet.servers[name] for name in balancer.placement.ranges.locate(key)[2]]

    def serve(self, key: str) -> str:
        """Lets a key be fetched and stored; gives the server that holds it."""
        _, (first,) = self.ask(key)
        (second,) = self.end(first, api.Status.MISS)
        self.end(second, api.Status.OK, 1)
        assert isinstance(first, api.Send)
        return first.server

    def throttle_on(self) -> None:
        """Makes the origin fail until the monitor acts."""
        for n in range(6):
            _, (first,) = self.ask(f"on{n}")
            (second,) = self.end(first, api.Status.MISS)
            self.end(second, api.Status.FULL, 1)
        self.wait(SECOND)
        assert self.balancer.gate.monitor.throttle is not None
