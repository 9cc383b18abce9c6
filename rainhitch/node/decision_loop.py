"""Runs the Balancer: passes it events in order, carries out its actions, and defers both after a pause.

During a pause this process did not run: it was stopped, swapped out, or did not get a CPU core. After a pause
timers fire before the sockets are read, so that the Balancer would start attempts for clients that have
already disconnected. So events are deferred for PAUSE_SETTLE_NS, during which the sockets are read.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable

from rainhitch import interface as api
from rainhitch.fleet.pause_detector import SETTLE_NS as PAUSE_SETTLE_NS
from rainhitch.fleet.pause_detector import PauseDetector
from rainhitch.policy.balancer import Balancer
from rainhitch.system import Clock
from rainhitch.telemetry.counts import Counts

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
# Events handled first after a pause: disconnected clients, finished attempts, endpoint list changes.
FIRST_AFTER_PAUSE = (api.ClientGone, api.AttemptFinished, api.EndpointUpdate)
log = logging.getLogger("rainhitch")


def without_withdrawn(events: Iterable[api.Event]) -> list[api.Event]:
    """Returns the events without each request that is withdrawn behind it, and without its withdrawal.

    The Balancer has not heard of such a request. Were the withdrawal handled first, it would be ignored, and
    an attempt would start for a request that is over, whose end nobody reports.
    """
    kept: list[api.Event | None] = list(events)
    place_of: dict[str, int] = {}  # of the latest request of an id
    for place, event in enumerate(list(kept)):
        if isinstance(event, api.Request):
            place_of[event.id] = place
        elif isinstance(event, api.ClientGone) and event.id in place_of:
            kept[place_of.pop(event.id)] = None
            kept[place] = None
    return [event for event in kept if event is not None]


class DecisionLoop:
    """The event queue of one Balancer.

    `carry_out` is called with each action. `fail_request` is called with the id of a request whose event or
    action raised an exception, so that its client still gets a response.
    """

    def __init__(
        self,
        balancer: Balancer,
        clock: Clock,
        counts: Counts,
        carry_out: Callable[[api.Action], None],
        fail_request: Callable[[str], None],
    ) -> None:
        self.balancer = balancer
        self.clock = clock
        self.counts = counts
        self.carry_out = carry_out
        self.fail_request = fail_request
        self.pause_detector = PauseDetector(clock.now())
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._settling = False  # whether events are deferred after a pause, until the sockets have been read

    def handle(self, event: api.Event) -> None:
        """Handles an event and then, in order, the events that its actions cause."""
        self.detect_pause()
        self._events.append(event)
        if self._handling or self._settling:
            return
        self._handle_all()

    def detect_pause(self) -> None:
        """Checks whether a pause has just ended, and if so defers events.

        Called for each event, heartbeat, attempt result and read from a client: if the process was stopped
        while it waited for its sockets, these are read before any timer fires.
        """
        pause_ns = self.pause_detector.record_heartbeat(self.clock.now())
        if not pause_ns:
            return
        log.warning("router resumed after a pause pause_ms=%d", pause_ns // NS_PER_MS)
        self.counts.add("away", "times")
        self.counts.add("away", "ms", pause_ns // NS_PER_MS)
        if not self._handling and not self._settling:
            self._settling = True
            asyncio.get_running_loop().call_later(PAUSE_SETTLE_NS / NS_PER_S, self._settle)

    def _settle(self) -> None:
        self._settling = False
        events = without_withdrawn(self._events)
        # The sort is stable: within each group, events are handled in the order of arrival.
        self._events = deque(sorted(events, key=lambda event: not isinstance(event, FIRST_AFTER_PAUSE)))
        self._handle_all()

    def _handle_all(self) -> None:
        self._handling = True
        try:
            while self._events:
                self._handle_one(self._events.popleft())
        finally:
            self._handling = False

    def _handle_one(self, event: api.Event) -> None:
        try:
            actions = self.balancer.handle(self.clock.now(), event)
        except Exception:
            # The outermost frame of a decision: a fault in one request's decision must not affect the others.
            log.exception("event not decided event=%s", type(event).__name__)
            self.fail_request(getattr(event, "id", ""))
            return
        for action in actions:
            try:
                self.carry_out(action)
            except Exception:
                # The outermost frame of an action: the decision's other actions are still carried out.
                log.exception("action not carried out action=%s", type(action).__name__)
                self.fail_request(getattr(action, "id", ""))
