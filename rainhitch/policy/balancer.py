"""The decisions of one router: takes the time and an event, and returns the actions.

A request passes these steps, in the order of this file:

1. `_on_request`: the request arrives; overload control admits, queues or rejects it.
2. `_begin`: a likely miss has to pass the origin's throttle first; every other request proceeds at once.
3. `_proceed`: a server is chosen, and an attempt starts there if all limits allow it.
4. `_on_attempt_finished`: an answer ends the request; after a miss or a failure `RetryPlanner` decides.
5. `_finish_unserved` and `_finish`: the request gets its only final answer.

`api.RejectReason` lists the reasons for which a request is rejected or not retried. Most of these decisions
are in `attempt_admission.py` (before an attempt) and `retry_policy.py` (after an attempt).
"""

from collections.abc import Callable

from rainhitch import interface as api
from rainhitch.policy import retry_policy
from rainhitch.policy.attempt_admission import AttemptAdmission
from rainhitch.policy.attempt_timeout import attempt_timeout_ns
from rainhitch.policy.decision_context import DecisionContext
from rainhitch.policy.key_memory import KeyMemory
from rainhitch.policy.key_migration import KeyMigration
from rainhitch.policy.no_overload_control import NoOverloadControl
from rainhitch.policy.origin_admission import OriginAdmission
from rainhitch.policy.pending_request import IN_FLIGHT, QUEUED, PendingRequest
from rainhitch.policy.placement import Placement
from rainhitch.policy.read_tracking import ReadTracking
from rainhitch.policy.request_coalescing import RequestCoalescing
from rainhitch.policy.retry_planner import RetryPlanner
from rainhitch.policy.server import Server
from rainhitch.policy.server_registry import ServerRegistry
from rainhitch.policy.tenant_quotas import TenantQuotas


class Balancer:
    """Owns the decision modules, and takes each request from its arrival to its final answer."""

    def __init__(
        self, settings: api.Settings, seed: int, overload_control: api.OverloadControl | None = None
    ) -> None:
        """Seeds all random numbers with `seed`; without `overload_control` every request is admitted."""
        self.settings = settings
        self.overload_control = overload_control or NoOverloadControl(settings)
        self.requests: dict[str, PendingRequest] = {}  # requests without a final answer yet, by id
        self.context = DecisionContext(settings, seed)
        self.servers = ServerRegistry(self.context)
        self.tenant_quotas = TenantQuotas(self.context)
        self.key_memory = KeyMemory()
        self.origin_admission = OriginAdmission(self.context, self._proceed, self._finish_unserved)
        self.coalesced_reads = RequestCoalescing(
            self.origin_admission, self.requests, self._proceed, self._finish_unserved
        )
        self.migration = KeyMigration(self.context, self.origin_admission)
        self.placement = Placement(self.context, self.servers, self.key_memory, self.migration)
        self.attempt_admission = AttemptAdmission(self.context, self.overload_control)
        self.reads = ReadTracking(
            self.key_memory, self.migration, self.origin_admission, self.coalesced_reads
        )
        self.retry_planner = RetryPlanner(
            self.context, self.servers, self.reads, self._proceed, self._finish_unserved
        )
        self.handlers: dict[type, Callable[..., None]] = {
            api.Request: self._on_request,
            api.AttemptFinished: self._on_attempt_finished,
            api.EndpointUpdate: self._on_endpoint_update,
            api.ClientGone: self._on_client_gone,
            api.TimerFired: self._on_timer_fired,
            api.KeysInvalidated: self.key_memory.forget_keys,
            api.GossipReceived: self.servers.apply_gossip,
            api.TrafficFractions: self.tenant_quotas.apply_fractions,
            api.GossipIntervalElapsed: self.servers.publish_gossip,
        }

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Handles one event; `now` is its time (ns, monotonic). Returns the actions."""
        self._begin_event(now)
        self.handlers[type(event)](event)
        return self.context.finish_event()

    def advance(self, now: int) -> list[api.Action]:
        """Runs the timers due by `now` (ns, monotonic), without an event. Returns the actions."""
        self._begin_event(now)
        return self.context.finish_event()

    def _begin_event(self, now_ns: int) -> None:
        self.context.begin_event(now_ns)
        if self.origin_admission.monitor.started_at_ns < 0:
            self.origin_admission.start()
            if self.overload_control.period_ns:
                self.context.schedule(self.overload_control.period_ns, self._step_overload_control)

    # 1. Arrival of a request.
    def _on_request(self, event: api.Request) -> None:
        now_ns = self.context.now_ns
        request_class = self.settings.classes[event.class_index]
        objective_at_ns = min(event.deadline_ns, now_ns + request_class.latency_objective_ns)
        pending = PendingRequest(event, request_class, objective_at_ns)
        self.requests[event.id] = pending
        pending.over_quota = self.tenant_quotas.count_and_check_quota(event)
        pending.skipped_owners = self.placement.count_arrival(event)
        admission = self.overload_control.admit(now_ns, event, pending.over_quota)
        pending.inherit_attempts(self.overload_control)
        if admission is api.AdmissionDecision.REJECT:
            self._finish_unserved(pending, api.RejectReason.OVERLOAD_CONTROL)
        elif admission is api.AdmissionDecision.QUEUE:
            pending.queue()
            self.context.schedule(event.deadline_ns - now_ns, self._finish_unserved, pending)
        else:
            self._begin(pending)

    def _begin_queued(self, request_id: str) -> None:
        """Begins a queued request once the earlier one with its idempotency key has ended; "": none."""
        pending = self.requests.get(request_id)
        if pending is not None and pending.state is QUEUED:
            pending.inherit_attempts(self.overload_control)
            pending.leave_queue()
            self._begin(pending)

    # 2. Admission to the origin for likely misses.
    def _begin(self, pending: PendingRequest) -> None:
        event = pending.request
        if pending.possibly_executed and not retry_policy.may_reject(pending, self.context.now_ns):
            # The dedup window of an earlier attempt is over, so a repeat could be executed a second time.
            self._finish_unserved(pending, api.RejectReason.IDEMPOTENCY_KEY)
        elif event.is_write and self.settings.cache_aside:
            pending.at_origin = True
            self._proceed(pending)
        elif event.key is not None and self.key_memory.likely_miss(event.key, self.context.now_ns):
            pending.likely_miss = True
            self.coalesced_reads.join_or_read(pending)
        else:
            self._proceed(pending)

    # 3. Start of an attempt, the first or a later one.
    def _proceed(self, pending: PendingRequest | None) -> None:
        if pending is None or pending.request.id not in self.requests:
            return  # the request has ended in the meantime
        if pending.state is IN_FLIGHT or pending.state is QUEUED:
            return  # rule 1: one final answer, one attempt at a time
        server = self.servers.origin if pending.at_origin else self.placement.choose(pending)
        reason = self.attempt_admission.admit_or_reason(pending, server)
        if server is None or reason is not None:
            self._finish_unserved(pending, reason)
        else:
            self._start_attempt(pending, server)

    def _start_attempt(self, pending: PendingRequest, server: Server) -> None:
        now_ns = self.context.now_ns
        request_id = pending.request.id
        window_ns = pending.request_class.dedup_window_ns
        timeout_ns = attempt_timeout_ns(pending, server, self.servers, now_ns)
        write_within_ns = retry_policy.write_within_ns(pending, now_ns)
        number = pending.start_attempt(server.endpoint, now_ns)
        self.servers.attempt_started(server, (request_id, number), retry_policy.may_cancel(pending))
        self.overload_control.attempt_started(now_ns, request_id, number, server.endpoint, window_ns)
        self.reads.attempt_started(pending, server.endpoint.server, number)
        self.context.actions.append(
            api.StartAttempt(request_id, server.endpoint.server, timeout_ns, write_within_ns)
        )

    # 4. End of an attempt.
    def _on_attempt_finished(self, event: api.AttemptFinished) -> None:
        pending = self.requests.get(event.id)
        is_answered = event.status is api.AttemptStatus.OK
        self.servers.attempt_finished(event)
        self.origin_admission.read_finished((event.id, event.attempt), is_answered, event.elapsed_ns)
        self._begin_queued(self.overload_control.attempt_finished(self.context.now_ns, event))
        if pending is None:
            return
        pending.attempt_ended(event.attempt, event.status)
        if event.request_finished:
            self._finish(pending, is_served=is_answered)
            self.reads.request_finished(pending, event)
        else:
            self.retry_planner.attempt_failed(pending, event)

    # 5. Final answer.
    def _finish_unserved(
        self, pending: PendingRequest | None, reason: api.RejectReason | None = None
    ) -> None:
        """Rejects a request if sending it again does no harm, else fails it; no `reason`: out of time."""
        if (
            pending is None
            or self.requests.get(pending.request.id) is not pending
            or pending.state is IN_FLIGHT
        ):
            return  # the request has ended in the meantime, or the end of its attempt will decide
        if reason is not None:  # else the answer names what the request was waiting for
            pending.reason = reason
        if pending.state is QUEUED:
            pending.inherit_attempts(self.overload_control)
        is_rejected = retry_policy.may_reject(pending, self.context.now_ns)
        if is_rejected:
            retry_after_ns = self.overload_control.retry_after_ns(self.context.now_ns, pending.request)
            self.context.actions.append(api.Reject(pending.request.id, retry_after_ns, pending.reason_text()))
        else:
            self.context.actions.append(api.Fail(pending.request.id, pending.reason_text()))
        self._finish(pending, is_rejected=is_rejected)

    def _finish(self, pending: PendingRequest, is_served: bool = False, is_rejected: bool = False) -> None:
        request_id = pending.request.id
        self.requests.pop(request_id, None)
        pending.finish()
        self.origin_admission.withdraw(pending)
        control = self.overload_control
        self._begin_queued(control.request_finished(self.context.now_ns, request_id, is_served, is_rejected))

    # Other events.
    def _on_client_gone(self, event: api.ClientGone) -> None:
        pending = self.requests.get(event.id)
        if pending is not None:
            was_in_flight = pending.state is IN_FLIGHT
            self._finish(pending)
            if was_in_flight:
                self.reads.client_gone(pending)

    def _on_endpoint_update(self, event: api.EndpointUpdate) -> None:
        ready = self.servers.apply_update(event)
        if ready is not None:
            self.placement.set_servers(ready)

    def _on_timer_fired(self, event: api.TimerFired) -> None:
        late_ns = self.context.host_timer_fired(event.token)
        if late_ns >= 0:
            self.overload_control.timer_delayed(late_ns)

    def _step_overload_control(self, _: PendingRequest | None) -> None:
        line = self.overload_control.step(self.context.now_ns)
        if line:
            self.context.actions.append(api.LogLine(line))
        self.context.schedule(self.overload_control.period_ns, self._step_overload_control)
