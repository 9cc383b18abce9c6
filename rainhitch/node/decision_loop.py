"""Hosts the Balancer: hands it events in order, carries out its actions, and holds both back after a pause.

A pause is a time in which this process did not run: stopped, swapped out, or on a core that others held.
When it is over, timers fire before the sockets are read, so that a timer would act for clients that have left
meanwhile. So events wait for PAUSE_SETTLE_NS, in which the sockets are read.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Callable

from rainhitch import interface as api
from rainhitch.fleet.pause_detector import SETTLE_NS as PAUSE_SETTLE_NS
from rainhitch.fleet.pause_detector import PauseDetector
from rainhitch.policy.balancer import Balancer
from rainhitch.system import Clock
from rainhitch.telemetry.counts import Counts

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
# Handled first after a pause: who has left, what has been answered, and which servers there are.
FIRST_AFTER_PAUSE = (api.ClientGone, api.AttemptFinished, api.EndpointUpdate)
log = logging.getLogger("rainhitch")


class DecisionLoop:
    """The queue of events before one Balancer.

    `carry_out` is called with each action; `give_up` with the id of a request whose event or action failed,
    so that its client is answered all the same.
    """

    def __init__(
        self,
        balancer: Balancer,
        clock: Clock,
        counts: Counts,
        carry_out: Callable[[api.Action], None],
        give_up: Callable[[str], None],
    ) -> None:
        self.balancer = balancer
        self.clock = clock
        self.counts = counts
        self.carry_out = carry_out
        self.give_up = give_up
        self.pause_detector = PauseDetector(clock.now())
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._settling = False  # back from a pause, and the sockets have not been read yet

    def handle(self, event: api.Event) -> None:
        """Handles an event, and then those that its actions bring about, in order."""
        self.detect_pause()
        self._events.append(event)
        if self._handling or self._settling:
            return
        self._handle_all()

    def detect_pause(self) -> None:
        """Looks whether there was a pause until now, and holds the events back after one.

        Called with each event, heartbeat, result and read of a client: where the router was stopped as it
        waited for its sockets, these are read before any timer fires.
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
        # The sort is stable: of equal events the first that arrived is handled first.
        self._events = deque(sorted(self._events, key=lambda one: not isinstance(one, FIRST_AFTER_PAUSE)))
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
            # The outermost frame of a decision: a fault in one request's decision must not end the others.
            log.exception("event not decided event=%s", type(event).__name__)
            self.give_up(getattr(event, "id", ""))
            return
        for action in actions:
            try:
                self.carry_out(action)
            except Exception:
                # The outermost frame of an action: the decision's other actions are carried out all the same.
                log.exception("action not carried out action=%s", type(action).__name__)
                self.give_up(getattr(action, "id", ""))
