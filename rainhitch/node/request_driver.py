"""The requests that the router holds, from the client's command to its one answer.

Nothing is chosen here: events go to the Balancer (node/decision_loop.py), whose actions are carried out here
and in node/attempt_runner.py.
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
from rainhitch.node.in_flight_request import REQUEST_FINISHED, InFlightRequest, InFlightState, ResponseSink
from rainhitch.node.loop_lag import HEARTBEAT_NS
from rainhitch.node.relay import Relay, RelaySource
from rainhitch.node.request_accounting import RequestAccounting
from rainhitch.policy.balancer import Balancer
from rainhitch.protocol import resp
from rainhitch.telemetry.records import FAILED_PREFIX, OVERDUE, REJECTED_PREFIX, SERVED

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
log = logging.getLogger("rainhitch")


class DriverHost(Protocol):
    """Where the driver passes on what does not concern its requests alone."""

    def request_taken(self, tenant: int) -> None:
        """A tenant's request was taken in."""

    def publish_gossip(self, observations: list[api.LatencyObservation]) -> None:
        """Tells the other routers, where there are some."""

    def watch_endpoints(self) -> None:
        """Asks for the endpoint list."""


class NoHost:
    """A driver alone, without other routers and without a source of the list."""

    def request_taken(self, tenant: int) -> None:
        """Does nothing."""

    def publish_gossip(self, observations: list[api.LatencyObservation]) -> None:
        """Does nothing."""

    def watch_endpoints(self) -> None:
        """Does nothing."""


class RequestDriver:
    """The requests in flight of one router, at most `max_requests` of `max_request_bytes` in all.

    `class_names` name the classes in the metrics, in the settings' order; None: by their numbers.
    """

    def __init__(
        self,
        balancer: Balancer,
        pools: ConnectionPools,
        max_requests: int,
        max_request_bytes: int,
        *,
        class_names: list[str] | None = None,
        host: DriverHost | None = None,
    ) -> None:
        self.host = host or NoHost()
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
        self.reserve = DelayReserve()
        self.loop_lag = pools.loop_lag
        self.loop_lag.report_to(self._loop_delayed)
        self.decisions = DecisionLoop(balancer, self.clock, self.counts, self._carry_out, self._give_up_by_id)
        self.attempts = AttemptRunner(self, self.decisions, pools, self.counts)
        pools.key_invalidations.report_to(self.decisions.handle)
        self.loop.call_later(HEARTBEAT_NS / NS_PER_S, self._heartbeat)

    def accept(self, client_request: ClientRequest, sink: ResponseSink) -> InFlightRequest | None:
        """Takes in a client's command; None where it is answered already."""
        request_id = client_request.id.decode()
        if request_id in self.requests:
            self.accounting.failed_duplicate_id(client_request)
            sink.set_response(resp.error_reply("this id is in use"))
            return None
        size_bytes = client_request.size_bytes()
        no_bytes_left = self.request_bytes + size_bytes > self.max_request_bytes
        if len(self.requests) >= self.max_requests or no_bytes_left:
            self.accounting.rejected_at_capacity(client_request)
            sink.set_response(resp.busy_reply(0))  # it has not begun, so that a retry is harmless
            return None
        now = self.clock.now()
        class_deadline_ns = self.balancer.settings.classes[client_request.class_index].deadline_ns
        wait_ns = client_wait_ns(client_request.wait_ms, client_request.unread_ms, class_deadline_ns)
        deadline_ns = self.reserve.deadline_ns(now, wait_ns)
        request = InFlightRequest(request_id, client_request, sink, deadline_ns, now + wait_ns)
        self.requests[request_id] = request
        self.request_bytes += size_bytes
        self.accounting.accepted(client_request)
        self.host.request_taken(client_request.tenant)
        # So long until `deadline_passed` is called, unless the attempt's own timer ends it before.
        passed_in_ns = max(0, deadline_ns + RESPONSE_DELIVERY_NS // 2 - now)
        request.deadline_timer = self.loop.call_later(passed_in_ns / NS_PER_S, self.deadline_passed, request)
        self.decisions.handle(_request_event(request))
        return request

    def withdraw(self, request: InFlightRequest) -> None:
        """The client has left. An attempt that is written whole runs on: its connection stays usable."""
        if not request.is_open():
            return
        self._mark_finished(request)
        self.accounting.client_disconnected(request)
        self.decisions.handle(api.ClientGone(request.id))
        if request.attempt is not None:
            self.attempts.take_back(request.attempt)
        self.forget_if_over(request)

    def endpoints_updated(self, event: api.EndpointUpdate) -> None:
        """The endpoint list has changed."""
        self.decisions.handle(event)

    def stop(self, within_s: float) -> None:
        """Answers all that is held, and all that comes, within so many seconds from now."""
        self.reserve.respond_by_ns = self.clock.now() + int(within_s * NS_PER_S)
        self.loop.call_later(within_s - RESPONSE_DELIVERY_NS / NS_PER_S, self._end_all)

    def _end_all(self) -> None:
        for request in list(self.requests.values()):
            self.deadline_passed(request)

    def deadline_passed(self, request: InFlightRequest) -> None:
        """Its time is over, and its attempt's timer has not ended it."""
        if request.is_open() and request.attempt is not None and self.attempts.give_grace(request.attempt):
            return
        self._give_up(request)

    def _give_up(self, request: InFlightRequest) -> None:
        """Fails a request that the decisions have not ended.

        Guards clients against a request that the decisions have lost or could not decide on, and against the
        end of a graceful shutdown. The decisions are told as if its client had left: nothing more is owed.
        """
        if request.is_open():
            self._answer(request, resp.FAILED_REPLY, self.metrics.failed, OVERDUE)
            self.decisions.handle(api.ClientGone(request.id))
            self.forget_if_over(request)

    def _give_up_by_id(self, request_id: str) -> None:
        request = self.requests.get(request_id)
        if request is not None:
            self._give_up(request)

    def _loop_delayed(self, delay_ns: int) -> None:
        self.counts.add_lag(delay_ns)
        self.reserve.record_delay(self.clock.now(), delay_ns)

    def _heartbeat(self) -> None:
        self.loop_lag.heartbeat()
        self.decisions.detect_pause()
        self.loop.call_later(HEARTBEAT_NS / NS_PER_S, self._heartbeat)

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.StartAttempt():
                request = self.requests.get(action.id)
                if request is None:
                    log.error("attempt for an unknown request id=%s", action.id)
                else:
                    self.attempts.start(request, action)
            case api.CancelAttempt():
                request = self.requests.get(action.id)
                attempt = None if request is None else request.attempt
                if attempt is not None and attempt.number == action.attempt:
                    self.attempts.time_out(attempt)
            case api.Reject() | api.Fail():
                self._end_unserved(action)
            case api.SetTimer():
                fired = api.TimerFired(action.token)
                self.loop.call_later(action.delay_ns / NS_PER_S, self.decisions.handle, fired)
            case api.PublishGossip():
                self.host.publish_gossip(action.observations)
            case api.WatchEndpoints():
                self.host.watch_endpoints()
            case api.LogLine():
                log.info("%s", action.text)

    def _end_unserved(self, action: api.Reject | api.Fail) -> None:
        request = self.requests.get(action.id)
        if request is None or not request.is_open():
            return
        if isinstance(action, api.Reject):
            retry_after_ms = -(-action.retry_after_ns // NS_PER_MS)  # rounded up
            answer = resp.busy_reply(retry_after_ms)
            self._answer(request, answer, self.metrics.rejected, REJECTED_PREFIX + action.reason)
        else:
            self._answer(request, resp.FAILED_REPLY, self.metrics.failed, FAILED_PREFIX + action.reason)
        self.forget_if_over(request)

    def served(self, request: InFlightRequest, value: object) -> None:
        """Answers the client with the value of an attempt."""
        answer = resp.bulk_string(value) if isinstance(value, bytes) else request.sink.encode(value)
        self._answer(request, answer, self.metrics.served, SERVED)

    def relay_started(self, request: InFlightRequest, source: RelaySource, size_bytes: int) -> Relay:
        """Passes a long value on to the client as it arrives."""
        request.state = InFlightState.RELAYING
        relay = Relay(self.loop, source, size_bytes, lambda whole: self._relay_ended(request, whole))
        request.relay = relay
        request.sink.start_relay(relay)
        return relay

    def _relay_ended(self, request: InFlightRequest, whole: bool) -> None:
        request.state = REQUEST_FINISHED
        request.relay = None
        self.accounting.relay_ended(request, whole)
        self.forget_if_over(request)

    def _answer(self, request: InFlightRequest, answer: bytes, metric: list[int], outcome: str) -> None:
        """Gives the final answer, and counts it in a metric by class and by its outcome."""
        self._mark_finished(request)
        pending = self.balancer.requests.get(request.id)
        is_over_quota = outcome.endswith("+") or (pending is not None and pending.over_quota)
        self.accounting.answered(request, metric, outcome, is_over_quota)
        request.sink.set_response(answer)

    def _mark_finished(self, request: InFlightRequest) -> None:
        request.state = REQUEST_FINISHED
        self.metrics.in_flight -= 1
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()

    def forget_if_over(self, request: InFlightRequest) -> None:
        """Drops a request that is over and has nothing in flight."""
        if not request.may_be_forgotten():
            return
        if self.requests.pop(request.id, None) is not None:
            self.request_bytes -= request.client_request.size_bytes()


def _request_event(request: InFlightRequest) -> api.Request:
    """The request as the decisions see it."""
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
