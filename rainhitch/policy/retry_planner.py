"""The step after an attempt without an answer: another attempt, now or later, or the end of the request."""

from rainhitch import interface as api
from rainhitch.policy import retry_policy
from rainhitch.policy.decision_context import DecisionContext, RequestStep
from rainhitch.policy.pending_request import PendingRequest
from rainhitch.policy.read_tracking import ReadTracking
from rainhitch.policy.server_registry import ServerRegistry


class RetryPlanner:
    """Applies `retry_policy` after a miss, a failure at a cache server or a failure at the origin."""

    def __init__(
        self,
        context: DecisionContext,
        servers: ServerRegistry,
        reads: ReadTracking,
        proceed: RequestStep,
        finish_unserved: RequestStep,
    ) -> None:
        """Initializes the planner; `proceed` continues a request, `finish_unserved` ends it."""
        self.context = context
        self.settings = context.settings
        self.servers = servers
        self.reads = reads
        self.coalesced_reads = reads.coalesced_reads
        self.proceed = proceed
        self.finish_unserved = finish_unserved

    def attempt_failed(self, pending: PendingRequest, event: api.AttemptFinished) -> None:
        """Decides the next step of a request whose attempt ended without an answer."""
        if event.status in api.NEVER_EXECUTED:
            pending.possibly_executed.pop(event.attempt, None)
        if pending.at_origin:
            self._after_origin_failure(pending, event)
        elif event.status is api.AttemptStatus.MISS and self.settings.cache_aside:
            self._after_miss(pending, event)
        else:
            self._after_cache_failure(pending, event)

    def _after_miss(self, pending: PendingRequest, event: api.AttemptFinished) -> None:
        """Reads the origin; during a migration, tries the key's owner first if attempts and time allow it."""
        self.reads.missed(pending, event)
        leaves_origin_attempt = pending.attempts_started + 1 < self.settings.max_attempts
        is_timely = self.context.now_ns < pending.objective_at_ns
        if pending.at_previous_holder and leaves_origin_attempt and is_timely:
            self.proceed(pending)  # another router may have migrated the key to its owner by now
            return
        pending.at_origin = True
        self.coalesced_reads.join_or_read(pending)

    def _after_cache_failure(self, pending: PendingRequest, event: api.AttemptFinished) -> None:
        """Tries another cache server at once, unless the retry policy gives a reason against it."""
        reason = retry_policy.reason_not_to_try_another_cache(
            pending, event, self.settings.cache_aside, self.context.now_ns
        )
        if reason is None:
            self.proceed(pending)
        else:
            pending.reason = reason
            self.finish_unserved(pending)

    def _after_origin_failure(self, pending: PendingRequest, event: api.AttemptFinished) -> None:
        """Retries a write after a backoff, within its latency objective; ends a read to spare the origin."""
        wait_ns = retry_policy.origin_retry_delay_ns(pending, self.context.random)
        if self._may_retry_at_origin(pending, wait_ns):
            pending.schedule_retry()
            self.context.schedule(wait_ns, self.proceed, pending)
        else:
            pending.reason = api.RejectReason.ORIGIN_UNAVAILABLE
            if event.status is api.AttemptStatus.NO_LOCAL_CONNECTION:
                pending.reason = api.RejectReason.NO_LOCAL_CONNECTION
            self.finish_unserved(pending)
        if pending.request.key is not None and not pending.request.is_write:
            self.coalesced_reads.read_finished(pending.request.key, False)

    def _may_retry_at_origin(self, pending: PendingRequest, wait_ns: int) -> bool:
        now_ns = self.context.now_ns
        origin = self.servers.origin
        if not pending.request.is_write or now_ns + wait_ns >= pending.objective_at_ns or origin is None:
            return False
        return retry_policy.may_start_attempt(pending, origin, now_ns, self.settings.max_attempts)
