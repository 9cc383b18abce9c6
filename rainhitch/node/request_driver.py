"""The requests that the router holds, from the client's command to its one answer.

Nothing is chosen here: events go to the Balancer (node/decision_loop.py), whose actions are carried out here
and in node/attempt_runner.py.
"""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Callable

from rainhitch import interface as api
from rainhitch import system
from rainhitch.node.attempt_runner import AttemptRunner
from rainhitch.node.client_request import ClientRequest
from rainhitch.node.connection_pool import ConnectionPools
from rainhitch.node.deadlines import WAY_BACK, Reserve
from rainhitch.node.decision_loop import DecisionLoop
from rainhitch.node.in_flight_request import InFlightRequest, RequestState, ResponseSink
from rainhitch.node.loop_lag import HEARTBEAT, LoopLag
from rainhitch.node.relay import Relay, Source
from rainhitch.policy.balancer import Balancer
from rainhitch.protocol import resp
from rainhitch.telemetry.counts import Counts
from rainhitch.telemetry.records import Bad
from rainhitch.telemetry.router_metrics import RouterMetrics

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
# A client that leaves with less of its wait left than this seems to have given up waiting.
GAVE_UP_WAITING_NS = 150 * NS_PER_MS
log = logging.getLogger("rainhitch")


class RequestDriver:
    """The requests in flight of one router, at most `max_requests` of `max_request_bytes` in all."""

    def __init__(
        self, balancer: Balancer, pools: ConnectionPools, max_requests: int, max_request_bytes: int
    ) -> None:
        self.balancer = balancer
        self.pools = pools
        self.max_requests = max_requests
        self.max_request_bytes = max_request_bytes
        self.loop = asyncio.get_running_loop()
        self.clock = system.clock_of(self.loop)
        self.requests: dict[str, InFlightRequest] = {}
        self.request_bytes = 0
        self.metrics = RouterMetrics([str(n) for n in range(len(balancer.settings.classes))])
        self.counts = Counts()
        self.loop_lag = LoopLag(self.loop, self.clock.now, self._loop_delayed)
        self.reserve = Reserve()
        pools.callback_begins = self.loop_lag.begins
        pools.callback_ends = self.loop_lag.ends
        self.decisions = DecisionLoop(balancer, self.clock, self.counts, self._carry_out, self._give_up_by_id)
        self.attempts = AttemptRunner(self, self.decisions, pools, self.counts)
        self.tenant_names: dict[int, str] = defaultdict(str)  # by the tenant's number
        self.watch_endpoints: Callable[[], None] = lambda: None
        self.publish_gossip: Callable[[list[api.LatencyObservation]], None] = lambda observations: None
        self.on_request_taken: Callable[[int], None] = lambda tenant: None
        self.loop.call_later(HEARTBEAT / NS_PER_S, self._heartbeat)
        self.answer_by_ns = 0  # when all must be answered, once the router is told to stop; 0: not told
        self._invalidated: dict[str, list[str] | None] = {}  # keys by server; None: all of its keys

    def accept(self, client_request: ClientRequest, sink: ResponseSink) -> InFlightRequest | None:
        """Takes in a client's command; None where it is answered already."""
        request_id = client_request.id.decode()
        class_index = client_request.class_index
        if request_id in self.requests:
            self.metrics.failed[class_index] += 1
            sink.fill(resp.error("this id is in use"))
            return None
        size_bytes = client_request.size_bytes()
        no_bytes_left = self.request_bytes + size_bytes > self.max_request_bytes
        if len(self.requests) >= self.max_requests or no_bytes_left:
            self.metrics.rejected[class_index] += 1
            self.counts.taken += 1
            self.counts.add("ended", "refused:room")
            sink.fill(resp.refused(0))  # it has not begun, so that a retry is harmless
            return None
        now = self.clock.now()
        wait_ns = self._client_wait_ns(client_request)
        request = InFlightRequest(
            request_id, client_request, sink, self._deadline_ns(now, wait_ns), now + wait_ns
        )
        self.requests[request_id] = request
        self.request_bytes += size_bytes
        self.metrics.in_flight += 1
        self.counts.taken += 1
        self.counts.add_unread(client_request.unread_ms)
        self.on_request_taken(client_request.tenant)
        overdue_in_ns = max(0, request.deadline_ns + WAY_BACK // 2 - now)
        request.overdue_timer = self.loop.call_later(overdue_in_ns / NS_PER_S, self.overdue, request)
        self.decisions.handle(_request_event(request))
        return request

    def _client_wait_ns(self, client_request: ClientRequest) -> int:
        """For how long the client goes on waiting: no longer than its class may."""
        class_deadline_ns = self.balancer.settings.classes[client_request.class_index].deadline_ns
        left_of_class_ns = max(NS_PER_MS, class_deadline_ns - client_request.unread_ms * NS_PER_MS)
        return min(client_request.wait_ms * NS_PER_MS, left_of_class_ns)

    def _deadline_ns(self, now: int, wait_ns: int) -> int:
        """By when the router answers: with a reserve before the client's end, and before the router's own."""
        deadline_ns = now + wait_ns - self.reserve.of(now, wait_ns)
        if self.answer_by_ns:
            return min(deadline_ns, self.answer_by_ns - WAY_BACK)
        return deadline_ns

    def withdraw(self, request: InFlightRequest) -> None:
        """The client has left. An attempt that is written whole runs on: its connection stays usable."""
        if not request.is_open():
            return
        self._mark_finished(request)
        gave_up = request.client_deadline_ns - self.clock.now() < GAVE_UP_WAITING_NS
        outcome = "gone:unanswered" if gave_up else "gone"
        self.counts.add("ended", outcome)
        if gave_up:
            self._note_bad(request, outcome)
        self.decisions.handle(api.ClientGone(request.id))
        if request.attempt is not None:
            self.attempts.take_back(request.attempt)
        self.forget_if_over(request)

    def keys_invalidated(self, server: str, keys: list[bytes] | None) -> None:
        """A server holds these keys no more; None: it holds none at all.

        Guards answers against a flood of such notices: the decisions are told once a turn of the loop.
        """
        if not self._invalidated:
            self.loop.call_soon(self._report_invalidated)
        if keys is None:
            self._invalidated[server] = None
            return
        known = self._invalidated.setdefault(server, [])
        if known is not None:
            known += [key.decode("latin-1") for key in keys]

    def _report_invalidated(self) -> None:
        invalidated = self._invalidated
        self._invalidated = {}
        for server, keys in invalidated.items():
            self.decisions.handle(api.KeysInvalidated(server, keys))

    def endpoints_updated(self, event: api.EndpointUpdate) -> None:
        """The endpoint list has changed."""
        self.decisions.handle(event)

    def gossip_received(
        self, event: api.GossipReceived | api.TrafficFractions | api.GossipIntervalElapsed
    ) -> None:
        """Other routers have told something, or it is time to tell them."""
        self.decisions.handle(event)

    def just_resumed(self) -> bool:
        """Whether this router has just come back from a pause; called with each read."""
        return self.decisions.just_resumed()

    def stop(self, within_s: float) -> None:
        """Answers all that is held, and all that comes, within so many seconds from now."""
        self.answer_by_ns = self.clock.now() + int(within_s * NS_PER_S)
        self.loop.call_later(within_s - WAY_BACK / NS_PER_S, self._end_all)

    def _end_all(self) -> None:
        for request in list(self.requests.values()):
            self.overdue(request)

    def overdue(self, request: InFlightRequest) -> None:
        """Its time is over, and its attempt's timer has not ended it."""
        if request.is_open() and request.attempt is not None and self.attempts.give_grace(request.attempt):
            return
        self._give_up(request)

    def _give_up(self, request: InFlightRequest) -> None:
        """Guards clients against a request that the decisions have lost: it fails in time all the same."""
        if request.is_open():
            self._answer(request, resp.FAILED, self.metrics.failed, "failed:overdue")
            self.decisions.handle(api.ClientGone(request.id))
            self.forget_if_over(request)

    def _give_up_by_id(self, request_id: str) -> None:
        request = self.requests.get(request_id)
        if request is not None:
            self._give_up(request)

    def _loop_delayed(self, delay_ns: int) -> None:
        self.counts.add_lag(delay_ns)
        self.reserve.found(self.clock.now(), delay_ns)

    def _heartbeat(self) -> None:
        self.loop_lag.heartbeat()
        self.decisions.detect_pause()
        self.loop.call_later(HEARTBEAT / NS_PER_S, self._heartbeat)

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
                self.publish_gossip(action.observations)
            case api.WatchEndpoints():
                self.watch_endpoints()
            case api.LogLine():
                log.info("%s", action.text)

    def _end_unserved(self, action: api.Reject | api.Fail) -> None:
        request = self.requests.get(action.id)
        if request is None or not request.is_open():
            return
        if isinstance(action, api.Reject):
            retry_after_ms = -(-action.retry_after_ns // NS_PER_MS)  # rounded up
            answer = resp.refused(retry_after_ms)
            self._answer(request, answer, self.metrics.rejected, f"refused:{action.reason}")
        else:
            self._answer(request, resp.FAILED, self.metrics.failed, f"failed:{action.reason}")
        self.forget_if_over(request)

    def served(self, request: InFlightRequest, value: object) -> None:
        """Answers the client with the value of an attempt."""
        answer = resp.bulk(value) if isinstance(value, bytes) else request.sink.form(value)
        self._answer(request, answer, self.metrics.served, "served")

    def relay_started(self, request: InFlightRequest, source: Source, size_bytes: int) -> Relay:
        """Passes a long value on to the client as it arrives."""
        request.state = RequestState.RELAYING
        relay = Relay(self.loop, source, size_bytes, lambda whole: self._relay_ended(request, whole))
        request.relay = relay
        request.sink.stream(relay)
        return relay

    def _relay_ended(self, request: InFlightRequest, whole: bool) -> None:
        request.state = RequestState.FINISHED
        request.relay = None
        self.metrics.in_flight -= 1
        metric = self.metrics.served if whole else self.metrics.failed
        metric[request.client_request.class_index] += 1
        self.counts.add("ended", "served" if whole else "failed:cut off")
        self.forget_if_over(request)

    def _answer(self, request: InFlightRequest, answer: bytes, metric: list[int], outcome: str) -> None:
        """Gives the final answer, and counts it in a metric by class and by its outcome."""
        self._mark_finished(request)
        metric[request.client_request.class_index] += 1
        self.counts.add("ended", outcome)
        pending = self.balancer.requests.get(request.id)
        is_over_quota = outcome.endswith("+") or (pending is not None and pending.over_quota)
        tenant = self.tenant_names[request.client_request.tenant]
        mark = "+" if is_over_quota else ""
        self.counts.add("customers", f"{tenant}{mark} {outcome.partition(':')[0]}")
        if request.finished_attempts and outcome != "served":
            self._note_bad(request, outcome)
        request.sink.fill(answer)

    def _note_bad(self, request: InFlightRequest, outcome: str) -> None:
        now = self.clock.now()
        client_request = request.client_request
        tries = [str(one) for one in request.finished_attempts]
        attempt = request.attempt
        if attempt is not None:
            tries.append(f"{attempt.server} out for {(now - attempt.started_at_ns) // NS_PER_MS} ms")
        record = Bad(
            self.clock.unix() / NS_PER_S,
            request.id,
            outcome,
            tries,
            client_request.connection_id,
            client_request.unread_ms,
            (request.client_deadline_ns - now) // NS_PER_MS,
        )
        self.counts.add_bad(record)

    def _mark_finished(self, request: InFlightRequest) -> None:
        request.state = RequestState.FINISHED
        self.metrics.in_flight -= 1
        if request.overdue_timer is not None:
            request.overdue_timer.cancel()

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
