"""Entry point of overload control for the decision module and for the side that serves clients.

The controller receives arrivals, connects, client retries, outcomes of attempts and the delay of the
router's timers. It decides whether a request is admitted, queued or rejected, when a rejected client should
retry, whether the router may send one more retry of its own, and for how long accepting pauses. The decision
module (`policy/`) chooses the server and produces each answer. Times are in ns.
"""

from dataclasses import dataclass
from enum import Enum

from rainhitch import interface as api
from rainhitch.overload.accept_pacer import AcceptPacer
from rainhitch.overload.concurrency_limit import AdaptiveConcurrencyLimit, Priority
from rainhitch.overload.idempotency_keys import IdempotencyKeyGuard, KeyAdmission
from rainhitch.overload.retry_after import RetryAfterScheduler, ReturnTiming, fingerprint_of
from rainhitch.overload.retry_budget import RetryBudget
from rainhitch.overload.service_estimate import ServiceEstimate
from rainhitch.overload.storm_detector import PERIOD_NS, RetryStormDetector

NS_PER_S = 1_000_000_000
HURRIED_FRACTION = 0.4  # a request with a smaller fraction of its latency objective left is hurried
GOOD_OUTCOME_FRACTION = 0.5  # an answer within this fraction of the latency objective is a good outcome
LIMIT_PERIODS_PER_OBJECTIVE = 8  # adjustments of the limit within the shortest latency objective
UPGRADE_GRACE_NS = 2 * NS_PER_S  # grace period after another process of this router was last seen


@dataclass
class OverloadOptions:
    """Options of overload control, under the names of the operator's file; see docs/operate/storms.md."""

    damping: bool = True  # false: storms are detected and logged, but not acted on
    retry_share: float = 0.2  # the router's own retries allowed per first attempt
    retries_least: float = 10.0  # the router's own retries a second that are always allowed
    least_in_work: int = 32  # lower bound of the concurrency limit, requests
    floor: float = 0.2  # fraction of the limit reserved for first attempts and for retries each
    accepts_least: float = 100.0  # lower bound of the accept rate, connections a second
    accepts_most: float = 4000.0  # upper bound of the accept rate, connections a second
    orders: int = 4096  # maximum number of idempotency keys remembered


class RejectionCause(Enum):
    """Reason for which overload control rejected a request or a retry."""

    CONCURRENCY_LIMIT = "concurrency_limit"
    TOO_LATE = "too_late"  # the request would not be answered by its deadline
    IDEMPOTENCY_KEY = "idempotency_key"  # no room for the key, or its queue is full
    RETRY_BUDGET = "retry_budget"  # no budget for a retry of the router's own


@dataclass(slots=True)
class TrackedRequest:
    """A request that has arrived and has no final answer yet."""

    arrived_at_ns: int
    latency_objective_ns: int
    is_retry: bool  # the request is a client's retry, as far as is known
    over_quota: bool  # the request exceeds its tenant's quota


def priority_of(request: api.Request, over_quota: bool, timing: ReturnTiming) -> Priority:
    """Returns a request's priority under the concurrency limit.

    Any request over its tenant's quota has low priority, and so has a read that returns before its
    Retry-After time. A write within the quota keeps its priority whenever it returns.
    """
    if over_quota:
        return Priority.LOW
    if request.is_write:
        return Priority.WRITE
    if timing is ReturnTiming.EARLY:
        return Priority.LOW
    return Priority.ON_TIME_RETRY if timing is ReturnTiming.ON_TIME else Priority.READ


class OverloadController:
    """Overload control of one router; `interface.OverloadControl` is the part that the decisions use."""

    period_ns = PERIOD_NS  # time between two calls of `step`

    def __init__(self, settings: api.Settings, seed: int, options: OverloadOptions | None = None) -> None:
        self.settings = settings
        self.options = OverloadOptions() if options is None else options
        longest_deadline_ns = max(spec.deadline_ns for spec in settings.classes)
        shortest_objective_ns = min(spec.latency_objective_ns for spec in settings.classes)
        self.idempotency_keys = IdempotencyKeyGuard(longest_deadline_ns, self.options.orders)
        self.retry_budget = RetryBudget(self.options.retry_share, self.options.retries_least)
        self.concurrency_limit = AdaptiveConcurrencyLimit(
            shortest_objective_ns // LIMIT_PERIODS_PER_OBJECTIVE,
            self.options.least_in_work,
            self.options.floor,
        )
        self.retry_after = RetryAfterScheduler(
            settings.max_retry_after_ns if settings.retry_after_allowed else 0, seed
        )
        self.detector = RetryStormDetector()
        self.accept_pacer = AcceptPacer(self.options.accepts_least, self.options.accepts_most)
        self.origin_kind = settings.origin_kind if settings.cache_aside else -1
        self.requests: dict[str, TrackedRequest] = {}  # unanswered requests by id
        # Attempts in flight at cache servers, by the request's id and the attempt's number.
        self.cache_attempts: dict[tuple[str, int], TrackedRequest] = {}
        self.service = ServiceEstimate(self.options.floor)
        self.rejections = dict.fromkeys(RejectionCause, 0)  # counted since the start or the last storm's end

    @property
    def storm_active(self) -> bool:
        """Whether a storm is in progress."""
        return self.detector.storm_active

    @property
    def is_limiting(self) -> bool:
        """Whether requests over the limit are rejected, which they are only during a storm."""
        return self.options.damping and self.detector.storm_active

    def connection_accepted(self, now_ns: int, open_connections: int) -> int:
        """Counts an accepted connection and returns the pause before the next accept, ns."""
        self.detector.current.connects += 1
        self.detector.open_connections = open_connections
        return self.accept_pacer.pause_after_accept_ns(now_ns) if self.options.damping else 0

    def connection_rejected(self, now_ns: int) -> int:
        """Counts a connection over the router's limit; returns its Retry-After time, ns, or 0 for none."""
        self.detector.current.connections_rejected += 1
        return self.retry_after.assign_ns(now_ns, self.service.returns_per_s()) if self.options.damping else 0

    def upgrade_peer_seen(self, now_ns: int) -> None:
        """Records that another process of this router is running, as during an upgrade.

        The other process's clients move to this one and the two share a core, so neither connects nor timer
        delay count as signs of a storm for `UPGRADE_GRACE_NS`.
        """
        self.detector.upgrade_until_ns = now_ns + UPGRADE_GRACE_NS

    def timer_delayed(self, delay_ns: int) -> None:
        """Records by how many ns a timer of the router fired late."""
        counts = self.detector.current
        counts.max_timer_delay_ns = max(counts.max_timer_delay_ns, delay_ns)
        self.accept_pacer.record_delay(delay_ns)

    def admit(self, now_ns: int, request: api.Request, over_quota: bool) -> api.AdmissionDecision:
        """Decides whether an arriving request is admitted, queued behind its idempotency key, or rejected.

        `over_quota` is true for a request that exceeds its tenant's quota. Outside a storm only the
        idempotency key may delay or reject a request. During a storm a request that is too late to be
        answered is rejected, and so is one that does not fit under the limit.
        """
        key = request.idempotency_key
        key_is_known = bool(key) and self.idempotency_keys.is_known(now_ns, key)
        timing = self.retry_after.classify_return(now_ns, fingerprint_of(request), request.is_client_retry)
        is_retry = request.is_client_retry or key_is_known or timing is not ReturnTiming.NEW
        objective_ns = self.settings.classes[request.class_index].latency_objective_ns
        is_hurried = request.deadline_ns - now_ns < objective_ns * HURRIED_FRACTION
        self.detector.current.add_arrival(is_retry, is_hurried)
        decision = api.AdmissionDecision.ADMIT
        cause = None
        if self.is_limiting:
            priority = priority_of(request, over_quota, timing)
            cause = self._storm_rejection(now_ns, request, priority, is_retry)
        if cause is None and key:
            key_admission = self.idempotency_keys.admit(now_ns, key, request.id)
            if key_admission is KeyAdmission.REJECTED:
                cause = RejectionCause.IDEMPOTENCY_KEY
            elif key_admission is KeyAdmission.QUEUED:
                decision = api.AdmissionDecision.QUEUE
        if cause is not None:
            self.rejections[cause] += 1
            decision = api.AdmissionDecision.REJECT
        self.requests[request.id] = TrackedRequest(now_ns, objective_ns, is_retry, over_quota)
        return decision

    def _storm_rejection(
        self, now_ns: int, request: api.Request, priority: Priority, is_retry: bool
    ) -> RejectionCause | None:
        """Returns the cause for which a request is rejected during a storm, or None if it is not rejected."""
        if request.deadline_ns - now_ns < self.service.answer_time_ns / 2:
            return RejectionCause.TOO_LATE
        if not self.concurrency_limit.try_admit(now_ns, priority, is_retry):
            return RejectionCause.CONCURRENCY_LIMIT
        return None

    def earlier_attempts(self, request: api.Request) -> list[tuple[int, api.Endpoint]]:
        """Returns start time and server of other requests' attempts with this key that may have executed."""
        return self.idempotency_keys.earlier_executions(request.idempotency_key, request.id)

    def take_retry_budget(self, now_ns: int, is_retry: bool) -> bool:
        """Returns whether an attempt may be sent, and counts the attempt if so.

        `is_retry` is true if an earlier attempt of the same request failed; then the retry budget decides.
        """
        if not is_retry:
            self.retry_budget.record_first_attempt(now_ns)
            return True
        if not self.options.damping or self.retry_budget.try_spend(now_ns):
            return True
        self.rejections[RejectionCause.RETRY_BUDGET] += 1
        return False

    def attempt_started(
        self, now_ns: int, request_id: str, number: int, endpoint: api.Endpoint, dedup_window_ns: int
    ) -> None:
        """Records that an attempt is now in flight.

        The endpoint drops repeats of the attempt for `dedup_window_ns`.
        """
        self.idempotency_keys.attempt_started(now_ns, request_id, number, endpoint, dedup_window_ns)
        tracked = self.requests.get(request_id)
        if tracked is not None and endpoint.kind != self.origin_kind:
            # Guards cache hits against a slow origin: if misses that wait for it counted, they would fill the
            # limit and hits would be rejected. The origin's own admission limits what waits for the origin.
            self.cache_attempts[request_id, number] = tracked
            self.concurrency_limit.attempt_started(tracked.is_retry)

    def attempt_finished(self, now_ns: int, event: api.AttemptFinished) -> str:
        """Records an attempt's end; returns the id of the request to which its key has passed, or ""."""
        tracked = self.cache_attempts.pop((event.id, event.attempt), None)
        if tracked is not None:
            self.concurrency_limit.attempt_ended(tracked.is_retry)
            started_at_ns = now_ns - event.elapsed_ns
            if event.status in (api.AttemptStatus.OK, api.AttemptStatus.MISS):
                is_good = event.elapsed_ns <= tracked.latency_objective_ns * GOOD_OUTCOME_FRACTION
                self.concurrency_limit.record_outcome(is_good, started_at_ns)
            elif event.status in (api.AttemptStatus.TIMEOUT, api.AttemptStatus.FULL):
                self.concurrency_limit.record_outcome(False, started_at_ns)
        return self.idempotency_keys.attempt_finished(event.id, event.attempt, event.status)

    def request_finished(self, now_ns: int, request_id: str, served: bool, rejected: bool) -> str:
        """Records a request's final answer, or that its client has disconnected.

        Returns the id of the request to which its idempotency key has passed, or "".
        """
        tracked = self.requests.pop(request_id, None)
        if tracked is not None:
            if rejected:
                self.detector.current.rejected += 1
            if served:
                self.detector.current.served += 1
                self.service.record_answer(now_ns - tracked.arrived_at_ns)
        return self.idempotency_keys.request_finished(request_id)

    def retry_after_ns(self, now_ns: int, request: api.Request) -> int:
        """Returns the Retry-After time of a rejected request, ns; 0 if none may be given.

        A first attempt within its tenant's quota is given a time after which it can still be answered within
        its latency objective, since a later answer has only its `late_weight` as value to the client. Any
        other request is given a time after which it can still be answered by its deadline.
        """
        tracked = self.requests.get(request.id)
        answer_by_ns = request.deadline_ns
        if tracked is not None and not tracked.over_quota and not tracked.is_retry:
            objective_ns = self.settings.classes[request.class_index].latency_objective_ns
            answer_by_ns = min(now_ns + objective_ns, request.deadline_ns)
        time_left_ns = answer_by_ns - now_ns - int(self.service.answer_time_ns)
        return self.retry_after.assign_ns(
            now_ns, self.service.returns_per_s(), fingerprint_of(request), time_left_ns
        )

    def step(self, now_ns: int) -> str:
        """Detects storms and adjusts the limit at the end of a period; returns a log line or ""."""
        counts = self.detector.current
        span_ns = now_ns - self.detector.period_began_at_ns
        line = self.detector.step(now_ns)
        period_is_over = self.detector.current is not counts
        if period_is_over:
            self.service.record_period(span_ns, counts.served, counts.arrivals - counts.retries)
        self.concurrency_limit.step(now_ns, self.is_limiting)
        if line and not self.detector.storm_active:
            rejections = " ".join(
                f"rejected_by_{cause.value}={count}" for cause, count in self.rejections.items()
            )
            line += f" limit={self.concurrency_limit.limit:.0f} {rejections}"
            self.rejections = dict.fromkeys(RejectionCause, 0)
        return line
