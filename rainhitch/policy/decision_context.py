"""State shared by all decision modules of a router: time, random numbers, actions and timers."""

import heapq
import random
from collections.abc import Callable

from rainhitch import interface as api
from rainhitch.policy.pending_request import PendingRequest

# Callback that continues or ends a request. A timer that concerns no request calls it with None.
RequestStep = Callable[[PendingRequest | None], None]


class DecisionContext:
    """The event being handled, with its time and the actions so far, and the timers of the router.

    All timers share one timer of the host, which is set with `SetTimer` to the earliest of them. Its token is
    the time at which it is due.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.shortest_objective_ns = min(spec.latency_objective_ns for spec in settings.classes)
        self.now_ns = 0  # monotonic
        self.actions: list[api.Action] = []
        # Heap of: due time (ns), sequence number, callback, request of the callback.
        self.timers: list[tuple[int, int, RequestStep, PendingRequest | None]] = []
        self.timers_scheduled = 0  # last sequence number; it orders timers with equal due times
        self.host_timer_at_ns = 0  # due time of the host's timer; 0: not set

    def begin_event(self, now_ns: int) -> None:
        """Starts the handling of one event, with an empty list of actions."""
        self.now_ns = now_ns
        self.actions = []

    def schedule(self, delay_ns: int, callback: RequestStep, pending: PendingRequest | None = None) -> None:
        """Schedules a callback; it cannot be cancelled, so the callback checks whether it still applies."""
        self.timers_scheduled += 1
        heapq.heappush(self.timers, (self.now_ns + delay_ns, self.timers_scheduled, callback, pending))

    def host_timer_fired(self, token: str) -> int:
        """Returns by how much (ns) the host's timer fired late; -1 if it is not the timer that was set last.

        The timer is identified by its token and not by the time, because a host with coarse timers may fire
        it slightly early. The result is 0 in that case.
        """
        if token != str(self.host_timer_at_ns):
            return -1
        late_ns = max(0, self.now_ns - self.host_timer_at_ns)
        self.host_timer_at_ns = 0
        return late_ns

    def finish_event(self) -> list[api.Action]:
        """Runs the callbacks of all due timers in order, and sets the host's timer for the next one.

        Returns all actions of the event.
        """
        while self.timers and self.timers[0][0] <= self.now_ns:
            _, _, callback, pending = heapq.heappop(self.timers)
            callback(pending)
        # The host's timer is set if it is unset, later than the next callback, or overdue: an overdue timer
        # may never fire.
        if self.timers and (
            self.host_timer_at_ns <= self.now_ns or self.timers[0][0] < self.host_timer_at_ns
        ):
            self.host_timer_at_ns = self.timers[0][0]
            self.actions.append(api.SetTimer(self.host_timer_at_ns - self.now_ns, str(self.host_timer_at_ns)))
        return self.actions
