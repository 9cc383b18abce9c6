"""A simulated fleet of any number of routers' parts: their datagrams are lost, late, doubled and out of
order, and the routers are paused, killed and restarted. No sockets; each router has a clock with a drift of
its own.
"""

import heapq
from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from rainhitch.fleet.datagram import Datagram

SECOND = 1_000_000_000


class World:
    """The fleet. `make(me, generation, now)` returns a router's part, which has `receive` and `step`.

    `loss` and `doubled` are fractions of the datagrams, `late` is the longest delay, ns.
    """

    def __init__(
        self,
        routers: int,
        make: Callable[[int, int, int], Any],
        seed: int,
        drift: float = 0.0,
        every: int = SECOND // 10,
    ) -> None:
        self.random = Random(seed)
        self.make = make
        self.every = every
        self.now = 1000 * SECOND
        self.rates = [1 + self.random.uniform(-drift, drift) / 2 for _ in range(routers)]
        self.generations = [1] * routers
        self.parts: list[Any] = [make(n, 1, self.clock(n)) for n in range(routers)]
        self.up = [True] * routers
        self.stopped = [False] * routers
        self.loss = 0.0
        self.doubled = 0.0
        self.late = SECOND // 100
        self.cut: Callable[[int, int], bool] = lambda source, to: False
        self.queue: list[tuple[int, int, int, int, bytes]] = []
        self.order = self.sent = 0
        self.bytes = 0

    def clock(self, router: int) -> int:
        return round(self.now * self.rates[router])

    def carry(self, source: int, sent: Iterable[Datagram]) -> None:
        for to, data in sent:
            self.sent += 1
            self.bytes = max(self.bytes, len(data))
            if self.random.random() < self.loss or self.cut(source, to):
                continue
            for _ in range(1 + (self.random.random() < self.doubled)):
                self.order += 1
                at = self.now + self.random.randrange(1, self.late + 2)
                heapq.heappush(self.queue, (at, self.order, source, to, data))

    def runs(self, router: int) -> bool:
        return self.up[router] and not self.stopped[router]

    def go(self, span: int, each: Callable[[], None] = lambda: None) -> None:
        """Lets time pass; `each` is called once a step."""
        end = self.now + span
        while self.now < end:
            self.now += self.every
            while self.queue and self.queue[0][0] <= self.now:
                _, _, source, to, data = heapq.heappop(self.queue)
                if self.up[to] and not self.stopped[to]:
                    answer = self.parts[to].receive(self.clock(to), source, data)
                    self.carry(to, answer or [])
            for router, part in enumerate(self.parts):
                if self.runs(router):
                    self.carry(router, part.step(self.clock(router)))
            each()

    def kill(self, router: int) -> None:
        self.up[router] = False

    def start(self, router: int) -> None:
        self.generations[router] += 1
        self.up[router] = True
        self.stopped[router] = False
        self.parts[router] = self.make(router, self.generations[router], self.clock(router))

    def any_fault(self) -> None:
        """One fault of some kind, or the end of one."""
        router = self.random.randrange(len(self.parts))
        kind = self.random.randrange(8)
        if kind == 0:
            self.loss = self.random.choice([0.0, 0.3, 1.0])
        elif kind == 1:
            self.doubled = self.random.choice([0.0, 0.5])
        elif kind == 2:
            self.late = self.random.choice([SECOND // 100, SECOND, 8 * SECOND])
        elif kind == 3:
            group = {n for n in range(len(self.parts)) if self.random.random() < 0.5}
            oneway = self.random.random() < 0.5
            self.cut = lambda source, to: (
                (source in group) != (to in group) and (source in group or not oneway)
            )
        elif kind == 4:
            self.cut = lambda source, to: False
        elif kind == 5 and self.up[router]:
            self.stopped[router] = not self.stopped[router]
        elif kind == 6:
            self.kill(router)
        else:
            self.start(router)

    def heal(self) -> None:
        """The last fault is over; what was on its way may still come."""
        self.loss = self.doubled = 0.0
        self.late = SECOND // 100
        self.cut = lambda source, to: False
        for router, up in enumerate(self.up):
            self.stopped[router] = False
            if not up:
                self.start(router)
