"""What the parts of one router's decisions share: the time, chance, what is said now, what is due later."""

import heapq
import random
from collections.abc import Callable

from rainhitch import interface as api
from rainhitch.policy.pending_request import PendingRequest

Call = Callable[[PendingRequest | None], None]


class DecisionContext:
    """The event that is being played: its time, and the actions that it brings about."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.shortest_objective_ns = min(spec.latency_objective_ns for spec in settings.classes)
        self.now_ns = 0
        self.actions: list[api.Action] = []
        self.timers: list[tuple[int, int, Call, PendingRequest | None]] = []
        self.entries = self.wake_at = 0

    def schedule(self, delay: int, call: Call, job: PendingRequest | None = None) -> None:
        self.entries += 1
        heapq.heappush(self.timers, (self.now_ns + delay, self.entries, call, job))

    def run_due_timers(self) -> None:
        while self.timers and self.timers[0][0] <= self.now_ns:
            _, _, call, job = heapq.heappop(self.timers)
            call(job)
        # Guards against an alarm that never comes: one overdue, or none yet, is asked for anew.
        if self.timers and (self.wake_at <= self.now_ns or self.timers[0][0] < self.wake_at):
            self.wake_at = self.timers[0][0]
            self.actions.append(api.SetTimer(self.wake_at - self.now_ns, str(self.wake_at)))
