"""A simulated network between any number of routers, with faults. No sockets.

Datagrams are lost, late, doubled and out of order, and the routers are paused, killed and restarted; each
router has a clock with a drift of its own.
"""

import heapq
from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from rainhitch.fleet.datagram import Datagram

SECOND = 1_000_000_000


class LossyNetwork:
    """The routers and what is on its way between them.

    `make(router, generation, now)` returns what runs in a router: it has `receive` and `step`. `drift` is the
    most by which two clocks' rates differ, as a fraction; `every` is the time between two steps, ns.
    `loss` and `doubled` are fractions of the datagrams, `late` is the longest delay, ns; `cut` says whether
    datagrams from one router to another are dropped. `sent` counts datagrams, `bytes` is the longest of them.
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
        """A router's own time, ns."""
        return round(self.now * self.rates[router])

    def carry(self, source: int, sent: Iterable[Datagram]) -> None:
        """Puts a router's datagrams on their way, each as the faults have it."""
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
        """Whether a router's process is up and not paused."""
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
        """Ends a router's process; what it held is lost."""
        self.up[router] = False

    def start(self, router: int) -> None:
        """Starts a router anew, as a later generation."""
        self.generations[router] += 1
        self.up[router] = True
        self.stopped[router] = False
        self.parts[router] = self.make(router, self.generations[router], self.clock(router))

    def any_fault(self) -> None:
        """Draws one fault, or the end of one."""
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
        """Ends all faults; what was on its way may still come."""
        self.loss = self.doubled = 0.0
        self.late = SECOND // 100
        self.cut = lambda source, to: False
        for router, up in enumerate(self.up):
            self.stopped[router] = False
            if not up:
                self.start(router)
