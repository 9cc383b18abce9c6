"""What the parts of one router's decisions share: the time, random numbers, the actions taken, the timers."""

import heapq
import random
from collections.abc import Callable

from rainhitch import interface as api
from rainhitch.policy.pending_request import PendingRequest

# A step on a request: what sends it on or ends it, and what a timer calls, with None where it concerns none.
RequestStep = Callable[[PendingRequest | None], None]


class DecisionContext:
    """The event that is being decided on: its time, and the actions so far; and what is due later.

    All timers share one alarm of the host: the earliest is asked for with `SetTimer`, whose token is the time
    it is due.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.shortest_objective_ns = min(spec.latency_objective_ns for spec in settings.classes)
        self.now_ns = 0  # monotonic
        self.actions: list[api.Action] = []
        # A heap of: due at (ns), order of scheduling, callback, its request.
        self.timers: list[tuple[int, int, RequestStep, PendingRequest | None]] = []
        self.timers_scheduled = 0  # so far; it keeps timers that are due together in order
        self.alarm_at_ns = 0  # when the host's alarm is due; 0: none was asked for

    def begin_event(self, now_ns: int) -> None:
        """Starts the decisions on one event, with no actions yet."""
        self.now_ns = now_ns
        self.actions = []

    def schedule(self, delay_ns: int, callback: RequestStep, pending: PendingRequest | None = None) -> None:
        """Calls back after a delay. No timer is taken back: the callback checks whether it still applies."""
        self.timers_scheduled += 1
        heapq.heappush(self.timers, (self.now_ns + delay_ns, self.timers_scheduled, callback, pending))

    def alarm_fired(self, token: str) -> int:
        """Returns how late the host's alarm came, ns; -1 where this is not the alarm that was asked for last.

        Guards against coarse timers of the host: the alarm is known by its token, since it may come a little
        before its time. Its lateness is 0 then.
        """
        if token != str(self.alarm_at_ns):
            return -1
        late_ns = max(0, self.now_ns - self.alarm_at_ns)
        self.alarm_at_ns = 0
        return late_ns

    def finish_event(self) -> list[api.Action]:
        """Calls back all timers that are due, in order, and asks for an alarm for the next.

        Returns all actions of the event.
        """
        while self.timers and self.timers[0][0] <= self.now_ns:
            _, _, callback, pending = heapq.heappop(self.timers)
            callback(pending)
        # Guards against an alarm that never comes: one overdue, or none yet, is asked for anew.
        if self.timers and (self.alarm_at_ns <= self.now_ns or self.timers[0][0] < self.alarm_at_ns):
            self.alarm_at_ns = self.timers[0][0]
            self.actions.append(api.SetTimer(self.alarm_at_ns - self.now_ns, str(self.alarm_at_ns)))
        return self.actions
