"""A request that is held, and what rules 1 and 2 allow for it by what its attempts have proved."""

from dataclasses import dataclass, field

from rainhitch import interface as api

S = api.AttemptStatus
# Kept of a window for a router that is held up (0.15 s, less the protocol's slack of 0.05 s), ns; and of a
# short window one part in so many at most.
WINDOW_RESERVE, WINDOW_RESERVE_PART = 100_000_000, 4
NEVER_RAN = frozenset((S.FULL, S.CONNECT_FAILED, S.ABANDONED, S.MISS, S.NO_LOCAL_CONNECTION))


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request this router holds, with what its attempts have proved so far."""

    request: api.Request
    request_class: api.RequestClass
    objective_at_ns: (
        int  # until when it is worth its full: the end of its aim, or its deadline if that is sooner
    )
    over_quota: bool = False  # over its tenant's share
    likely_miss: bool = False  # its key was not lately seen hit; in through mode, not lately sent
    skipped_owners: int = 0  # owners of a hot key's ranges that this request passes by
    at_origin: bool = False  # a write, or a read that missed
    is_migrating: bool = False  # its key is asked for at its owner for the first time
    at_previous_owner: bool = False  # or where it was
    is_queued: bool = False  # for the end of an earlier request for its order
    attempts_started: int = 0  # attempts so far
    attempts_failed: int = 0  # of these, but for misses
    # May have run: where, when sent. Those of earlier requests for the same order have negative numbers.
    possibly_executed: dict[int, tuple[api.Endpoint, int]] = field(default_factory=dict)
    in_flight_attempts: set[int] = field(default_factory=set)
    tried_servers: set[str] = field(default_factory=set)
    missed_at: str = ""  # the last server that lacked its key
    reason: str = "late"  # what it waits for, or which decision gave it up

    def reason_text(self) -> str:
        """Which decision gave it up, as the log has it."""
        return self.reason + "+" * self.over_quota

    def may_retry_at(self, to: api.Endpoint, now: int) -> bool:
        """Rule 2: whether one more attempt may go there, by what the earlier ones proved."""
        if self.request_class.idempotency is api.Idempotency.IDEMPOTENT or not self.possibly_executed:
            return True
        if self.request_class.idempotency is api.Idempotency.NOT_IDEMPOTENT or not self.in_dedup_window(now):
            return False
        group = self.request_class.dedup_scope
        ran = [at for at, _ in self.possibly_executed.values()]
        same = [one.zone == to.zone if group == "zone" else one.cell == to.cell for one in ran]
        return group == "all" or all(same)

    def may_reject(self, now: int) -> bool:
        """Rule 2: whether trying again is harmless, which is what a refusal says."""
        dropped = (
            self.request_class.idempotency is api.Idempotency.IDEMPOTENCY_KEY
            and self.request_class.dedup_scope == "all"
        )
        return (
            self.request_class.idempotency is api.Idempotency.IDEMPOTENT
            or not self.possibly_executed
            or (dropped and self.in_dedup_window(now))
        )

    def in_dedup_window(self, now: int) -> bool:
        return now < self.retry_deadline_ns()

    def retry_deadline_ns(self) -> int:
        """Until when a repeat may be begun: the router may be held up between this and its write."""
        reserve = min(WINDOW_RESERVE, self.request_class.dedup_window_ns // WINDOW_RESERVE_PART)
        return (
            min(sent for _, sent in self.possibly_executed.values())
            + self.request_class.dedup_window_ns
            - reserve
        )
