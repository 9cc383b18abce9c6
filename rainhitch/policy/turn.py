"""What the parts of one router's decisions share: the time, chance, what is said now, what is due later."""

import heapq
import random
from collections.abc import Callable

from rainhitch import interface as api
from rainhitch.policy.jobs import Job

Call = Callable[[Job | None], None]


class Turn:
    """The event that is being played: its time, and the actions that it brings about."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.shortest_aim = min(spec.aim for spec in settings.classes)
        self.now = 0
        self.actions: list[api.Action] = []
        self.agenda: list[tuple[int, int, Call, Job | None]] = []
        self.entries = self.wake_at = 0

    def later(self, delay: int, call: Call, job: Job | None = None) -> None:
        self.entries += 1
        heapq.heappush(self.agenda, (self.now + delay, self.entries, call, job))

    def run_agenda(self) -> None:
        while self.agenda and self.agenda[0][0] <= self.now:
            _, _, call, job = heapq.heappop(self.agenda)
            call(job)
        # Guards against an alarm that never comes: one overdue, or none yet, is asked for anew.
        if self.agenda and (self.wake_at <= self.now or self.agenda[0][0] < self.wake_at):
            self.wake_at = self.agenda[0][0]
            self.actions.append(api.Wake(self.wake_at - self.now, str(self.wake_at)))
