"""Starts, times and ends the attempts of the requests in flight; which attempts is the Balancer's to choose.

Life cycle of an attempt:

    not started --> in flight --the connection reports a result--> ended
                        |--------its time is over----------------> ended: its connection is closed first
                        |--------cancelled, before its last byte is written: it never began--> ended
                        '--------a long value begins-------------> ended: its relay goes on alone
"""

import asyncio
import logging
from typing import Protocol

from rainhitch import interface as api
from rainhitch.node.connection_pool import ConnectionPools
from rainhitch.node.decision_loop import DecisionLoop
from rainhitch.node.exchange import AttemptResult, Exchange
from rainhitch.node.in_flight_request import REQUEST_OPEN, Attempt, FinishedAttempt, InFlightRequest
from rainhitch.node.relay import Relay, RelaySource
from rainhitch.telemetry.counts import Counts

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
UNREAD_ANSWER_GRACE_S = 0.005  # in which the loop reads what waits in the sockets
log = logging.getLogger("rainhitch")


class RequestOwner(Protocol):
    """What an attempt's end means for its request."""

    def served(self, request: InFlightRequest, value: object) -> None:
        """Answers the client with the value."""

    def relay_started(self, request: InFlightRequest, source: RelaySource, size_bytes: int) -> Relay:
        """Passes a long value on to the client as it arrives."""

    def withdraw(self, request: InFlightRequest) -> None:
        """The client has left."""

    def deadline_passed(self, request: InFlightRequest) -> None:
        """The request's time is over."""

    def forget_if_over(self, request: InFlightRequest) -> None:
        """Drops the request if it is over and nothing of it is in flight."""


class AttemptRunner:
    """The attempts in flight of one router."""

    def __init__(
        self,
        owner: RequestOwner,
        decisions: DecisionLoop,
        pools: ConnectionPools,
        counts: Counts,
    ) -> None:
        self.owner = owner
        self.decisions = decisions
        self.clock = decisions.clock
        self.pools = pools
        self.counts = counts
        self.loop = asyncio.get_running_loop()

    def start(self, request: InFlightRequest, action: api.StartAttempt) -> None:
        """Starts an attempt; one that can't begin any more ends at once as ABANDONED."""
        now = self.clock.now()
        number = request.attempts_started
        request.attempts_started += 1
        attempt = Attempt(request, number, action.server, now)
        left_ns = request.deadline_ns - now
        timeout_ns = min(action.timeout_ns, left_ns) if action.timeout_ns else left_ns
        pool = self.pools.pools.get(action.server)
        max_attempts = self.decisions.balancer.settings.max_attempts
        is_allowed = request.state is REQUEST_OPEN and request.attempt is None and number < max_attempts
        if pool is None or pool.draining or not is_allowed or timeout_ns <= 0:
            self._report(attempt, AttemptResult(api.AttemptStatus.ABANDONED))
            return
        request.attempt = attempt
        self.counts.add("sent", action.server)
        if request.finished_attempts:
            self.counts.add("again", request.finished_attempts[-1].status.value)
        attempt.timeout_timer = self.loop.call_later(timeout_ns / NS_PER_S, self.time_out, attempt)
        if 0 < action.write_within_ns < timeout_ns:
            # Guards against a retry that begins within its window and is written whole after it: it might run
            # a second time.
            self.loop.call_later(action.write_within_ns / NS_PER_S, self.take_back, attempt)
        write_by_ns = now + (action.write_within_ns or timeout_ns)
        exchange = Exchange(
            request.client_request,
            now + timeout_ns,
            lambda result: self.ended(attempt, result),
            lambda source, size_bytes: self._long_value_began(attempt, source, size_bytes),
            lambda: self._may_write(attempt, write_by_ns),
        )
        attempt.connection = pool.start(exchange)
        if attempt.connection is None:
            self.ended(attempt, AttemptResult(api.AttemptStatus.NO_LOCAL_CONNECTION))

    def take_back(self, attempt: Attempt) -> None:
        """Ends an attempt that is not written whole: it begins at its server with its last byte only."""
        if (
            attempt.is_in_flight()
            and attempt.connection is not None
            and attempt.connection.take_back_unwritten()
        ):
            self.ended(attempt, AttemptResult(api.AttemptStatus.ABANDONED))

    def time_out(self, attempt: Attempt) -> None:
        """Ends an attempt whose time is over.

        Its connection is closed before the decisions know, so that no second copy is ever in flight.
        """
        if not attempt.is_in_flight() or self.give_grace(attempt):
            return
        if attempt.connection is not None:
            may_have_run = attempt.connection.close_attempt()
            status = api.AttemptStatus.TIMEOUT if may_have_run else api.AttemptStatus.ABANDONED
            self.ended(attempt, AttemptResult(status))

    def give_grace(self, attempt: Attempt) -> bool:
        """Whether an attempt whose time is over has its answer unread; it gets a moment more, once.

        Guards answers that arrived in time against a late loop, whose timers fire before its sockets are
        read.
        """
        if attempt.grace_given or attempt.connection is None or not attempt.connection.has_unread_answer():
            return False
        attempt.grace_given = True
        request = attempt.request
        for timer in (attempt.timeout_timer, request.deadline_timer):
            if timer is not None:
                timer.cancel()
        attempt.timeout_timer = self.loop.call_later(UNREAD_ANSWER_GRACE_S, self.time_out, attempt)
        request.deadline_timer = self.loop.call_later(
            2 * UNREAD_ANSWER_GRACE_S, self.owner.deadline_passed, request
        )
        return True

    def ended(self, attempt: Attempt, result: AttemptResult) -> None:
        """Takes in an attempt's result; nothing where it has ended already."""
        request = attempt.request
        if not attempt.is_in_flight():
            return
        request.attempt = None
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        if result.status is api.AttemptStatus.OK and request.state is REQUEST_OPEN:
            self.owner.served(request, result.value)
        self._report(attempt, result)
        self.owner.forget_if_over(request)

    def _may_write(self, attempt: Attempt, write_by_ns: int) -> bool:
        """Whether the first byte may be written.

        Guards against a retry that is written after its window, and servers against work for clients that
        left while the attempt waited for a connection.
        """
        request = attempt.request
        in_time = self.clock.now() < write_by_ns
        # Asked last: the clock's reading may be old by a delay of this process, the client's end is not.
        if request.state is REQUEST_OPEN and request.sink.has_disconnected():
            self.owner.withdraw(request)
        return in_time and request.state is REQUEST_OPEN and attempt.is_in_flight()

    def _long_value_began(self, attempt: Attempt, source: RelaySource, size_bytes: int) -> Relay | None:
        """A long value begins to arrive; None where nobody wants it.

        From here on there is no other attempt, and no time limit but the relay's.
        """
        request = attempt.request
        if not attempt.is_in_flight() or request.state is not REQUEST_OPEN:
            return None
        request.attempt = None
        for timer in (request.deadline_timer, attempt.timeout_timer):
            if timer is not None:
                timer.cancel()
        relay = self.owner.relay_started(request, source, size_bytes)
        self._report(attempt, AttemptResult(api.AttemptStatus.OK))
        return None if relay.is_finished() else relay

    def _report(self, attempt: Attempt, result: AttemptResult) -> None:
        """Counts an ended attempt and reports it to the decisions."""
        # Guards servers against this router's own pause taken for their latency: it is looked for first.
        self.decisions.detect_pause()
        request = attempt.request
        elapsed_ns = self.decisions.pause_detector.running_time_ns(self.clock.now(), attempt.started_at_ns)
        status = result.status
        request.finished_attempts.append(FinishedAttempt(attempt.server, status, elapsed_ns))
        origin = self.decisions.balancer.servers.origin
        is_origin = origin is not None and origin.endpoint.server == attempt.server
        outcome = f"origin {status.value}" if is_origin else status.value
        self.counts.add("tried", outcome)
        self.counts.add("took", outcome, elapsed_ns // NS_PER_MS)
        if status not in (api.AttemptStatus.OK, api.AttemptStatus.MISS):
            self.counts.add("poor", attempt.server)
        reused = attempt.connection is not None and attempt.connection.reused
        self.decisions.handle(
            api.AttemptFinished(
                request.id,
                attempt.number,
                attempt.server,
                status,
                request.state is not REQUEST_OPEN,
                elapsed_ns,
                result.answer_note,
                connection_reused=reused,
            )
        )
