"""One request that the router holds: its state until its final answer, and what its attempts have shown."""

from dataclasses import dataclass, field
from enum import Enum

from rainhitch import interface as api

NO_ATTEMPT = -1  # in place of an attempt's number
# Ends of an attempt that do not count as failures: the next attempt needs nothing of the retry budget.
NOT_FAILURES = (api.AttemptStatus.MISS, api.AttemptStatus.ABANDONED, api.AttemptStatus.NO_LOCAL_CONNECTION)


class RequestState(Enum):
    """What a held request waits for. `PendingRequest`'s methods make all transitions."""

    DECIDING = "deciding"  # for nothing: its next step is decided while this event is handled
    QUEUED = "queued"  # for the end of an earlier request with the same idempotency key
    WAITING = "waiting"  # for another request's read of the same key, or for a token of the origin's throttle
    IN_FLIGHT = "in_flight"  # for the end of its one attempt
    RETRY_SCHEDULED = "retry_scheduled"  # for the time of its next attempt
    FINISHED = "finished"  # for nothing: it has its final answer, or its client has gone


# Reading a member off an Enum class is a Python call in 3.11; the request path reads these.
DECIDING = RequestState.DECIDING
QUEUED = RequestState.QUEUED
IN_FLIGHT = RequestState.IN_FLIGHT
FINISHED = RequestState.FINISHED


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request this router holds, with what its attempts have shown so far."""

    request: api.Request
    request_class: api.RequestClass
    objective_at_ns: int  # the end of its latency objective, or its deadline if that is sooner
    over_quota: bool = False  # beyond its tenant's quota
    likely_miss: bool = False  # its key was not hit lately; where caches read the origin: not sent lately
    skipped_owners: int = 0  # owners of a hot key's ranges that this request passes by
    at_origin: bool = False  # its next attempt goes to the origin: a write, or a read that missed
    is_migrating: bool = False  # a migration token lets it ask the new owner of its key first
    at_previous_holder: bool = False  # it asks the server that held its key before a migration
    state: RequestState = DECIDING
    attempts_started: int = 0
    attempts_failed: int = 0  # attempts that ended, but for those in NOT_FAILURES
    in_flight_attempt: int = NO_ATTEMPT  # the number of the attempt that is in flight
    # Attempts that may have been executed: endpoint, and when it was sent, ns. Those of earlier requests with
    # the same idempotency key have negative numbers.
    possibly_executed: dict[int, tuple[api.Endpoint, int]] = field(default_factory=dict)
    tried_servers: set[str] = field(default_factory=set)
    missed_at: str = ""  # the last server that lacked its key
    # What it waits for, or which decision ended it. It stands in the answer if time runs out, so it stays
    # until another decision sets it.
    reason: api.RejectReason = api.RejectReason.OBJECTIVE_PASSED

    def queue(self) -> None:
        """DECIDING to QUEUED, behind an earlier request with the same idempotency key."""
        self.state = QUEUED
        self.reason = api.RejectReason.IDEMPOTENCY_KEY

    def leave_queue(self) -> None:
        """QUEUED to DECIDING: the earlier request is over."""
        self.state = DECIDING

    def wait(self, reason: api.RejectReason) -> None:
        """DECIDING to WAITING; `reason` stands in the answer if the wait lasts too long.

        A late end of an attempt of an earlier request with the same id may lead here: an attempt in flight
        and a place in the queue are kept then.
        """
        self.reason = reason
        if self.state is DECIDING:
            self.state = RequestState.WAITING

    def schedule_retry(self) -> None:
        """DECIDING to RETRY_SCHEDULED; what else it waits for is kept, as in `wait`."""
        if self.state is DECIDING:
            self.state = RequestState.RETRY_SCHEDULED

    def inherit_attempts(self, overload_control: api.OverloadControl) -> None:
        """Takes over when and where attempts of earlier requests with its idempotency key may have run.

        Guards against a second execution: those attempts count as its own.
        """
        if not self.request.idempotency_key:
            return
        earlier = overload_control.earlier_attempts(self.request)
        own = {number: sent for number, sent in self.possibly_executed.items() if number >= 0}
        self.possibly_executed = own
        for number, (sent_ns, endpoint) in enumerate(earlier, start=1):
            self.possibly_executed[-number] = (endpoint, sent_ns)

    def start_attempt(self, endpoint: api.Endpoint, now_ns: int) -> int:
        """DECIDING, WAITING or RETRY_SCHEDULED to IN_FLIGHT; returns the attempt's number."""
        number = self.attempts_started
        self.attempts_started += 1
        self.state = IN_FLIGHT
        self.in_flight_attempt = number
        self.possibly_executed[number] = (endpoint, now_ns)
        self.tried_servers.add(endpoint.server)
        return number

    def attempt_ended(self, number: int, status: api.AttemptStatus) -> None:
        """IN_FLIGHT to DECIDING, if this attempt was in flight."""
        if number == self.in_flight_attempt:
            self.in_flight_attempt = NO_ATTEMPT
            self.state = DECIDING
        if status not in NOT_FAILURES:
            self.attempts_failed += 1

    def finish(self) -> None:
        """Any state to FINISHED."""
        self.state = FINISHED

    def reason_text(self) -> str:
        """Which decision ended it, as records have it: a "+" marks work beyond its tenant's quota."""
        return f"{self.reason.value}+" if self.over_quota else self.reason.value
