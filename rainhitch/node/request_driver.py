"""Drives the requests in flight, from the client's command to its single response.

The driver makes no decisions: it passes events to the Balancer (node/decision_loop.py), whose actions are
carried out here and in node/attempt_runner.py.
"""

import asyncio
import logging
from typing import Protocol

from rainhitch import interface as api
from rainhitch import system
from rainhitch.node.attempt_runner import AttemptRunner
from rainhitch.node.client_request import ClientRequest
from rainhitch.node.connection_pool import ConnectionPools
from rainhitch.node.deadlines import RESPONSE_DELIVERY_NS, DelayReserve, client_wait_ns
from rainhitch.node.decision_loop import DecisionLoop
from rainhitch.node.executed_ids import ExecutedIds
from rainhitch.node.in_flight_request import REQUEST_FINISHED, InFlightRequest, InFlightState, ResponseSink
from rainhitch.node.loop_lag import HEARTBEAT_NS
from rainhitch.node.relay import Relay, RelaySource
from rainhitch.node.request_accounting import RequestAccounting
from rainhitch.node.stored_value import EncodedValue
from rainhitch.policy.balancer import Balancer
from rainhitch.protocol import resp
from rainhitch.telemetry.records import FAILED_PREFIX, OVERDUE, REJECTED_PREFIX, SERVED

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
log = logging.getLogger("rainhitch")


class DriverHost(Protocol):
    """The owner of a driver, which handles what concerns the whole router."""

    def count_request(self, tenant: int) -> None:
        """Counts an accepted request of a tenant."""

    def publish_gossip(self, observations: list[api.LatencyObservation]) -> None:
        """Publishes observations to the other routers, if there are any."""

    def watch_endpoints(self) -> None:
        """Starts the source of the endpoint list."""


class StandaloneHost:
    """The host of a driver that has neither other routers nor a source of the endpoint list."""

    def count_request(self, tenant: int) -> None:
        """Does nothing."""

    def publish_gossip(self, observations: list[api.LatencyObservation]) -> None:
        """Does nothing."""

    def watch_endpoints(self) -> None:
        """Does nothing."""


class RequestDriver:
    """The requests in flight of one router: at most `max_requests`, with `max_request_bytes` in total."""

    def __init__(
        self,
        balancer: Balancer,
        pools: ConnectionPools,
        max_requests: int,
        max_request_bytes: int,
        *,
        class_names: list[str] | None = None,  # metric labels in the settings' order; None: indexes
        host: DriverHost | None = None,
    ) -> None:
        self.host = host or StandaloneHost()
        self.balancer = balancer
        self.pools = pools
        self.max_requests = max_requests
        self.max_request_bytes = max_request_bytes
        self.loop = asyncio.get_running_loop()
        self.clock = system.clock_of(self.loop)
        if class_names is None:
            class_names = [str(number) for number in range(len(balancer.settings.classes))]
        self.accounting = RequestAccounting(self.clock, class_names, pools.counts)
        self.metrics = self.accounting.metrics
        self.counts = pools.counts
        self.requests: dict[str, InFlightRequest] = {}
        self.request_bytes = 0
        self.executed_ids = ExecutedIds()
        self.reserve = DelayReserve()
        self.loop_lag = pools.loop_lag
        self.loop_lag.report_to(self._loop_delayed)
        self.decision_loop = DecisionLoop(
            balancer, self.clock, self.counts, self._carry_out, self._fail_request_by_id
        )
        self.attempts = AttemptRunner(self, self.decision_loop, pools, self.counts)
        pools.key_invalidations.report_to(self.decision_loop.handle)
        self.loop.call_later(HEARTBEAT_NS / NS_PER_S, self._heartbeat)

    def accept(self, client_request: ClientRequest, sink: ResponseSink) -> InFlightRequest | None:
        """Accepts a client's command and returns its request; None if it was answered at once."""
        request_id = client_request.id.decode()
        if request_id in self.requests:
            self.accounting.failed_duplicate_id(client_request)
            sink.set_response(resp.error_reply("this id is in use"))
            return None
        if self._may_have_been_executed(client_request):
            self.accounting.failed_duplicate_id(client_request)
            sink.set_response(resp.error_reply("this id has been used"))
            return None
        size_bytes = client_request.size_bytes()
        no_bytes_left = self.request_bytes + size_bytes > self.max_request_bytes
        if len(self.requests) >= self.max_requests or no_bytes_left:
            self.accounting.rejected_at_capacity(client_request)
            sink.set_response(resp.busy_reply(0))  # the request has not started, so that a retry is safe
            return None
        now = self.clock.now()
        class_deadline_ns = self.balancer.settings.classes[client_request.class_index].deadline_ns
        wait_ns = client_wait_ns(client_request.wait_ms, client_request.unread_ms, class_deadline_ns)
        deadline_ns = self.reserve.deadline_ns(now, wait_ns)
        request = InFlightRequest(request_id, client_request, sink, deadline_ns, now + wait_ns)
        self.requests[request_id] = request
        self.request_bytes += size_bytes
        self.accounting.accepted(client_request)
        self.host.count_request(client_request.tenant)
        # Calls `deadline_passed` unless the attempt's own timer ends the request first.
        delay_ns = max(0, deadline_ns + RESPONSE_DELIVERY_NS // 2 - now)
        request.deadline_timer = self.loop.call_later(delay_ns / NS_PER_S, self.deadline_passed, request)
        self.decision_loop.handle(_request_event(request))
        return request

    def _may_have_been_executed(self, client_request: ClientRequest) -> bool:
        """Returns whether a server may have executed, or may be executing, a request with the same id.

        An idempotent one may be executed again, but not while the other process of an upgrade may have it in
        flight, which this process can't tell from an earlier one.
        """
        now = self.clock.now()
        request_class = self.balancer.settings.classes[client_request.class_index]
        if request_class.idempotency is api.Idempotency.IDEMPOTENT:
            return self.executed_ids.is_in_other_process(now, client_request.id)
        return self.executed_ids.contains(now, client_request.id)

    def withdraw(self, request: InFlightRequest) -> None:
        """Withdraws a disconnected client's request.

        A fully written attempt runs on for connection reuse, unless its response is a long value.
        """
        if not request.is_open():
            return
        self._mark_finished(request)
        self.accounting.client_disconnected(request)
        self.decision_loop.handle(api.ClientGone(request.id))
        if request.attempt is not None:
            self.attempts.abandon_if_unwritten(request.attempt)
        if request.attempt is not None and request.attempt.has_stored_value():
            self.attempts.stop_storing(request.attempt)
        self.remove_if_finished(request)

    def endpoints_updated(self, event: api.EndpointUpdate) -> None:
        """Passes a change of the endpoint list to the Balancer."""
        self.decision_loop.handle(event)

    def stop(self, within_s: float) -> None:
        """Answers every request in flight, and every later one, within `within_s` seconds from now."""
        self.reserve.respond_by_ns = self.clock.now() + int(within_s * NS_PER_S)
        self.loop.call_later(within_s - RESPONSE_DELIVERY_NS / NS_PER_S, self._fail_all)

    def _fail_all(self) -> None:
        for request in list(self.requests.values()):
            self.deadline_passed(request)

    def deadline_passed(self, request: InFlightRequest) -> None:
        """Fails a request whose deadline has passed, unless its attempt has a response to be read.

        Its attempt has timed out too: a delay between a reading of the clock and the start of the attempt's
        timer makes that one late. The Balancer is told in the usual order.
        """
        attempt = request.attempt
        if request.is_open() and attempt is not None:
            if self.attempts.extend_timeout(attempt):
                return
            if self.clock.now() >= request.deadline_ns:
                self.attempts.time_out(attempt)
        self._fail_request(request)

    def _fail_request(self, request: InFlightRequest) -> None:
        """Fails a request that the Balancer lost, could not decide on, or left open at the end of a shutdown.

        The Balancer is told that the client has disconnected, so that it takes no further action.
        """
        if request.is_open():
            self._respond(request, resp.FAILED_REPLY, self.metrics.failed, OVERDUE)
            self.decision_loop.handle(api.ClientGone(request.id))
            self.remove_if_finished(request)

    def _fail_request_by_id(self, request_id: str) -> None:
        request = self.requests.get(request_id)
        if request is not None:
            self._fail_request(request)

    def _loop_delayed(self, delay_ns: int) -> None:
        self.counts.add_lag(delay_ns)
        self.reserve.record_delay(self.clock.now(), delay_ns)

    def _heartbeat(self) -> None:
        self.loop_lag.heartbeat()
        self.decision_loop.detect_pause()
        self.loop.call_later(HEARTBEAT_NS / NS_PER_S, self._heartbeat)

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.StartAttempt():
                request = self.requests.get(action.id)
                if request is None:
                    self._end_unknown_attempt(action)
                else:
                    self.attempts.start(request, action)
            case api.CancelAttempt():
                request = self.requests.get(action.id)
                attempt = None if request is None else request.attempt
                if attempt is not None and attempt.number == action.attempt:
                    self.attempts.time_out(attempt)
            case api.Reject() | api.Fail():
                self._reject_or_fail(action)
            case api.SetTimer():
                fired = api.TimerFired(action.token)
                self.loop.call_later(action.delay_ns / NS_PER_S, self.decision_loop.handle, fired)
            case api.PublishGossip():
                self.host.publish_gossip(action.observations)
            case api.WatchEndpoints():
                self.host.watch_endpoints()
            case api.LogLine():
                log.info("%s", action.text)

    def _end_unknown_attempt(self, action: api.StartAttempt) -> None:
        """Reports the end of an attempt whose request is over, which else counts as in flight for good."""
        log.error("attempt for an unknown request id=%s", action.id)
        pending = self.balancer.requests.get(action.id)
        number = 0 if pending is None else pending.attempts_started - 1
        status = api.AttemptStatus.ABANDONED
        self.decision_loop.handle(api.AttemptFinished(action.id, number, action.server, status, True, 0))

    def _reject_or_fail(self, action: api.Reject | api.Fail) -> None:
        request = self.requests.get(action.id)
        if request is None or not request.is_open():
            return
        if isinstance(action, api.Reject):
            retry_after_ms = -(-action.retry_after_ns // NS_PER_MS)  # rounded up
            response = resp.busy_reply(retry_after_ms)
            self._respond(request, response, self.metrics.rejected, REJECTED_PREFIX + action.reason)
        else:
            self._respond(request, resp.FAILED_REPLY, self.metrics.failed, FAILED_PREFIX + action.reason)
        self.remove_if_finished(request)

    def send_value(self, request: InFlightRequest, value: object) -> None:
        """Sends the value of a successful attempt to the client."""
        if isinstance(value, EncodedValue):
            response = value.encoded
        elif isinstance(value, bytes):
            response = resp.bulk_string(value)
        else:
            response = request.sink.encode(value)
        self._respond(request, response, self.metrics.served, SERVED)

    def start_relay(self, request: InFlightRequest, source: RelaySource, size_bytes: int) -> Relay:
        """Starts to relay a long value to the client as it arrives."""
        request.state = InFlightState.RELAYING
        relay = Relay(self.loop, source, size_bytes, lambda whole: self._relay_ended(request, whole))
        request.relay = relay
        request.sink.start_relay(relay)
        return relay

    def _relay_ended(self, request: InFlightRequest, whole: bool) -> None:
        request.state = REQUEST_FINISHED
        request.relay = None
        self.accounting.relay_ended(request, whole)
        self.remove_if_finished(request)

    def _respond(self, request: InFlightRequest, response: bytes, metric: list[int], outcome: str) -> None:
        """Sends the final response; counts it in `metric` by request class and in the records by outcome."""
        self._mark_finished(request)
        pending = self.balancer.requests.get(request.id)
        is_over_quota = outcome.endswith("+") or (pending is not None and pending.over_quota)
        self.accounting.answered(request, metric, outcome, is_over_quota)
        request.sink.set_response(response)

    def _mark_finished(self, request: InFlightRequest) -> None:
        request.state = REQUEST_FINISHED
        self.metrics.in_flight -= 1
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()

    def remove_if_finished(self, request: InFlightRequest) -> None:
        """Removes a request that is finished and has no attempt in flight."""
        if not request.is_removable():
            return
        if self.requests.pop(request.id, None) is not None:
            self.request_bytes -= request.client_request.size_bytes()


def _request_event(request: InFlightRequest) -> api.Request:
    """Returns the event that announces a request to the Balancer."""
    client_request = request.client_request
    return api.Request(
        request.id,
        client_request.class_index,
        request.deadline_ns,
        client_request.key.decode("latin-1"),
        client_request.value is not None,
        client_request.tenant,
        client_request.is_client_retry,
        client_request.idempotency_key,
    )
