"""What follows an attempt that brought no answer: another attempt now or later, or the end of the request."""

from rainhitch import interface as api
from rainhitch.policy import retry_policy
from rainhitch.policy.decision_context import DecisionContext, TimerCallback
from rainhitch.policy.pending_request import PendingRequest
from rainhitch.policy.read_tracking import ReadTracking
from rainhitch.policy.server_registry import ServerRegistry


class RetryPlanner:
    """Carries out what `retry_policy` says for a miss, a failure at a cache server, one at the origin."""

    def __init__(
        self,
        context: DecisionContext,
        servers: ServerRegistry,
        reads: ReadTracking,
        proceed: TimerCallback,
        finish_unserved: TimerCallback,
    ) -> None:
        """Takes what sends a request on, and what ends one."""
        self.context = context
        self.settings = context.settings
        self.servers = servers
        self.reads = reads
        self.coalesced_reads = reads.coalesced_reads
        self.proceed = proceed
        self.finish_unserved = finish_unserved

    def attempt_failed(self, job: PendingRequest, event: api.AttemptFinished) -> None:
        """Decides on a request whose attempt has ended without an answer."""
        if event.status in api.NEVER_EXECUTED:
            job.possibly_executed.pop(event.attempt, None)
        if job.at_origin:
            self._after_origin_failure(job, event)
        elif event.status is api.AttemptStatus.MISS and self.settings.cache_aside:
            self._after_miss(job, event)
        else:
            self._after_cache_failure(job, event)

    def _after_miss(self, job: PendingRequest, event: api.AttemptFinished) -> None:
        """Reads the origin; in a migration asks the key's owner first, if that leaves an attempt for it."""
        self.reads.missed(job, event)
        leaves_origin_attempt = job.attempts_started + 1 < self.settings.max_attempts
        is_timely = self.context.now_ns < job.objective_at_ns
        if job.at_previous_owner and leaves_origin_attempt and is_timely:
            self.proceed(job)  # its owner may have it by now, from another router
            return
        job.at_origin = True
        self.coalesced_reads.join_or_read(job)

    def _after_cache_failure(self, job: PendingRequest, event: api.AttemptFinished) -> None:
        """Tries another cache server at once, unless the retry policy has a reason not to."""
        reason = retry_policy.reason_not_to_retry(job, event, self.settings.cache_aside, self.context.now_ns)
        if reason is None:
            self.proceed(job)
        else:
            job.reason = reason
            self.finish_unserved(job)

    def _after_origin_failure(self, job: PendingRequest, event: api.AttemptFinished) -> None:
        """Retries a write within its objective, after a backoff; ends a read, to protect the origin."""
        wait_ns = retry_policy.origin_retry_delay_ns(job, self.context.random)
        if self._may_retry_at_origin(job, wait_ns):
            job.schedule_retry()
            self.context.schedule(wait_ns, self.proceed, job)
        else:
            job.reason = api.RejectReason.ORIGIN_UNAVAILABLE
            if event.status is api.AttemptStatus.NO_LOCAL_CONNECTION:
                job.reason = api.RejectReason.NO_LOCAL_CONNECTION
            self.finish_unserved(job)
        if job.request.key is not None and not job.request.is_write:
            self.coalesced_reads.read_finished(job.request.key, False)

    def _may_retry_at_origin(self, job: PendingRequest, wait_ns: int) -> bool:
        now_ns = self.context.now_ns
        origin = self.servers.origin
        if not job.request.is_write or now_ns + wait_ns >= job.objective_at_ns or origin is None:
            return False
        return retry_policy.may_start_attempt(job, origin, now_ns, self.settings.max_attempts)
