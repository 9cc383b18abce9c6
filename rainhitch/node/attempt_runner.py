"""Starts, times out and ends the attempts of the requests in flight, as the Balancer decides.

Life cycle of an attempt:

    not started --> in flight --the connection reports a result--> ended
                        |--------it times out--------------------> ended: its connection is closed first
                        |--------abandoned before its last byte is written: it never ran--> ended
                        '--------a long value is relayed---------> ended: its relay continues on its own

An attempt whose long value is stored (node/stored_value.py) stays in flight until the value is whole.
"""

import asyncio
import logging
from functools import partial
from typing import Protocol

from rainhitch import interface as api
from rainhitch.node.connection_pool import ConnectionPools
from rainhitch.node.decision_loop import DecisionLoop
from rainhitch.node.exchange import AttemptResult, Exchange, LongValueReceiver
from rainhitch.node.executed_ids import ExecutedIds
from rainhitch.node.in_flight_request import REQUEST_OPEN, Attempt, FinishedAttempt, InFlightRequest
from rainhitch.node.relay import Relay, RelaySource
from rainhitch.node.stored_value import StoredValue
from rainhitch.telemetry.counts import Counts

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
UNREAD_RESPONSE_GRACE_S = 0.005  # time for the event loop to read what is pending in the sockets
log = logging.getLogger("rainhitch")


class RequestOwner(Protocol):
    """The owner of the requests, which is told how their attempts proceed."""

    executed_ids: ExecutedIds

    def send_value(self, request: InFlightRequest, value: object) -> None:
        """Sends the value to the client."""

    def start_relay(self, request: InFlightRequest, source: RelaySource, size_bytes: int) -> Relay:
        """Starts to relay a long value to the client as it arrives."""

    def withdraw(self, request: InFlightRequest) -> None:
        """Withdraws a request whose client has disconnected."""

    def deadline_passed(self, request: InFlightRequest) -> None:
        """Fails a request whose deadline has passed."""

    def remove_if_finished(self, request: InFlightRequest) -> None:
        """Removes the request if it is finished and has no attempt in flight."""


class AttemptRunner:
    """The attempts in flight of one router."""

    def __init__(
        self,
        owner: RequestOwner,
        decision_loop: DecisionLoop,
        pools: ConnectionPools,
        counts: Counts,
    ) -> None:
        self.owner = owner
        self.decision_loop = decision_loop
        self.clock = decision_loop.clock
        self.pools = pools
        self.counts = counts
        self.loop = asyncio.get_running_loop()

    def start(self, request: InFlightRequest, action: api.StartAttempt) -> None:
        """Starts an attempt; if it is too late for that, the attempt ends at once as ABANDONED."""
        now = self.clock.now()
        number = request.attempts_started
        request.attempts_started += 1
        attempt = Attempt(request, number, action.server, now)
        remaining_ns = request.deadline_ns - now
        timeout_ns = min(action.timeout_ns, remaining_ns) if action.timeout_ns else remaining_ns
        pool = self.pools.pools.get(action.server)
        max_attempts = self.decision_loop.balancer.settings.max_attempts
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
            # A retry is safe only within its window: one that starts in the window but is written in full
            # after it might run a second time.
            self.loop.call_later(action.write_within_ns / NS_PER_S, self.abandon_if_unwritten, attempt)
        write_by_ns = now + (action.write_within_ns or timeout_ns)
        exchange = Exchange(
            request.client_request,
            now + timeout_ns,
            lambda result: self.ended(attempt, result),
            lambda source, size_bytes: self._begin_long_value(attempt, source, size_bytes),
            lambda: self._may_write(attempt, write_by_ns),
        )
        attempt.connection = pool.start(exchange)
        if attempt.connection is None:
            self.ended(attempt, AttemptResult(api.AttemptStatus.NO_LOCAL_CONNECTION))

    def abandon_if_unwritten(self, attempt: Attempt) -> None:
        """Ends an attempt that is not yet written in full: a server runs a request on its last byte only."""
        if (
            attempt.is_in_flight()
            and attempt.connection is not None
            and attempt.connection.abandon_if_unwritten()
        ):
            self.ended(attempt, AttemptResult(api.AttemptStatus.ABANDONED))

    def time_out(self, attempt: Attempt) -> None:
        """Ends an attempt that has timed out.

        Its connection is closed before the Balancer is told, so that two copies are never in flight.
        """
        if not attempt.is_in_flight() or self.extend_timeout(attempt):
            return
        if attempt.connection is not None:
            may_have_run = attempt.connection.close_attempt()
            status = api.AttemptStatus.TIMEOUT if may_have_run else api.AttemptStatus.ABANDONED
            self.ended(attempt, AttemptResult(status))

    def extend_timeout(self, attempt: Attempt) -> bool:
        """Gives an attempt that timed out with a response still unread time to read it, once.

        Returns whether the time was extended. When the event loop is late, its timers fire before its sockets
        are read, so that a response that arrived in time would be lost.
        """
        if (
            attempt.timeout_extended
            or attempt.connection is None
            or not attempt.connection.has_unread_response()
        ):
            return False
        attempt.timeout_extended = True
        request = attempt.request
        for timer in (attempt.timeout_timer, request.deadline_timer):
            if timer is not None:
                timer.cancel()
        attempt.timeout_timer = self.loop.call_later(UNREAD_RESPONSE_GRACE_S, self.time_out, attempt)
        request.deadline_timer = self.loop.call_later(
            2 * UNREAD_RESPONSE_GRACE_S, self.owner.deadline_passed, request
        )
        return True

    def ended(self, attempt: Attempt, result: AttemptResult) -> None:
        """Handles an attempt's result; does nothing if the attempt has already ended."""
        request = attempt.request
        if not attempt.is_in_flight():
            return
        request.attempt = None
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        if result.status is api.AttemptStatus.OK and request.state is REQUEST_OPEN:
            self.owner.send_value(request, result.value)
        self._report(attempt, result)
        self.owner.remove_if_finished(request)

    def _may_write(self, attempt: Attempt, write_by_ns: int) -> bool:
        """Returns whether the attempt's first byte may be written.

        False for a retry whose window is over, and for a client that disconnected while the attempt waited
        for a connection, so that the server does no work for it.
        """
        request = attempt.request
        in_time = self.clock.now() < write_by_ns
        # Checked last: after a delay of this process the clock reading above is out of date, whereas the
        # state of the client's stream is current.
        if request.state is REQUEST_OPEN and request.sink.has_disconnected():
            self.owner.withdraw(request)
        may_write = in_time and request.state is REQUEST_OPEN and attempt.is_in_flight()
        if may_write:
            self._record_id(request)
        return may_write

    def _record_id(self, request: InFlightRequest) -> None:
        """Records the id of a request that a server may execute from now on.

        That of an idempotent request only matters to another process of this router.
        """
        executed_ids = self.owner.executed_ids
        request_class = self.decision_loop.balancer.settings.classes[request.client_request.class_index]
        is_idempotent = request_class.idempotency is api.Idempotency.IDEMPOTENT
        if executed_ids.is_shared or not is_idempotent:
            executed_ids.add(self.clock.now(), request.client_request.id)

    def _begin_long_value(
        self, attempt: Attempt, source: RelaySource, size_bytes: int
    ) -> LongValueReceiver | None:
        """Returns the receiver of a long value, or None if the request no longer needs the value.

        The value is stored if its client has sent further commands, which a relay that breaks off would leave
        unanswered; otherwise it is relayed.
        """
        request = attempt.request
        if not attempt.is_in_flight() or request.state is not REQUEST_OPEN:
            return None
        if request.sink.is_followed() and request.sink.may_store(size_bytes):
            return self._start_storing(attempt, source, size_bytes)
        return self._start_relay(attempt, source, size_bytes)

    def _start_storing(self, attempt: Attempt, source: RelaySource, size_bytes: int) -> StoredValue:
        """Starts to store a long value, for as long as its request may wait."""
        request = attempt.request
        attempt.value_began_at_ns = self.clock.now()
        # Like a relayed value, one that arrives slowly is not cut off by the timeout of its attempt, which
        # guards against a server that does not answer at all.
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        left_s = (request.deadline_ns - attempt.value_began_at_ns) / NS_PER_S
        attempt.timeout_timer = self.loop.call_later(max(0.0, left_s), self.time_out, attempt)
        return StoredValue(self.loop, source, size_bytes, partial(_reserve_value, request, size_bytes))

    def stop_storing(self, attempt: Attempt) -> None:
        """Ends an attempt whose value was being stored for a client that has disconnected."""
        if attempt.connection is not None:
            attempt.connection.close_attempt()
        self.ended(attempt, AttemptResult(api.AttemptStatus.OK))

    def _start_relay(self, attempt: Attempt, source: RelaySource, size_bytes: int) -> Relay | None:
        """Starts the relay of a long value; returns None if its client can't be served.

        Once the relay has started, the request has no further attempts, and no time limit except the relay's.
        """
        request = attempt.request
        request.attempt = None
        for timer in (request.deadline_timer, attempt.timeout_timer):
            if timer is not None:
                timer.cancel()
        relay = self.owner.start_relay(request, source, size_bytes)
        self._report(attempt, AttemptResult(api.AttemptStatus.OK))
        return None if relay.is_finished() else relay

    def _report(self, attempt: Attempt, result: AttemptResult) -> None:
        """Counts an ended attempt and reports it to the Balancer."""
        # A pause of this router is detected first, so that it does not count as the server's latency.
        self.decision_loop.detect_pause()
        request = attempt.request
        status = result.status
        answered_at_ns = self.clock.now()
        if attempt.has_stored_value() and status is api.AttemptStatus.OK:
            # As for a relayed value: its size says nothing about the server's load.
            answered_at_ns = attempt.value_began_at_ns
        elapsed_ns = self.decision_loop.pause_detector.running_time_ns(answered_at_ns, attempt.started_at_ns)
        request.finished_attempts.append(FinishedAttempt(attempt.server, status, elapsed_ns))
        origin = self.decision_loop.balancer.servers.origin
        is_origin = origin is not None and origin.endpoint.server == attempt.server
        outcome = f"origin {status.value}" if is_origin else status.value
        self.counts.add("tried", outcome)
        self.counts.add("took", outcome, elapsed_ns // NS_PER_MS)
        if status not in (api.AttemptStatus.OK, api.AttemptStatus.MISS):
            self.counts.add("poor", attempt.server)
        reused = attempt.connection is not None and attempt.connection.reused
        self.decision_loop.handle(
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


def _reserve_value(request: InFlightRequest, size_bytes: int) -> bool:
    """Returns whether there is memory for a request's value of `size_bytes`; if so, reserves it."""
    return request.state is REQUEST_OPEN and request.sink.reserve_value(size_bytes)
