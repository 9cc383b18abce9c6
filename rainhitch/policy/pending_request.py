"""A request without a final answer yet: its state, and the results of its attempts."""

from dataclasses import dataclass, field
from enum import Enum

from rainhitch import interface as api

NO_ATTEMPT = -1  # value of `in_flight_attempt` while no attempt is in flight
# Outcomes that do not count as failures: the next attempt takes nothing from the retry budget.
NOT_FAILURES = (api.AttemptStatus.MISS, api.AttemptStatus.ABANDONED, api.AttemptStatus.NO_LOCAL_CONNECTION)


class RequestState(Enum):
    """State of a pending request. All transitions are methods of `PendingRequest`."""

    DECIDING = "deciding"  # the next step is decided while the present event is handled
    QUEUED = "queued"  # waits for the end of an earlier request with the same idempotency key
    WAITING = "waiting"  # waits for another request's read of the same key, or for a token of the throttle
    IN_FLIGHT = "in_flight"  # waits for the end of its attempt
    RETRY_SCHEDULED = "retry_scheduled"  # waits for the backoff before its next attempt
    FINISHED = "finished"  # has its final answer, or its client has disconnected


# The request path uses these constants because reading an Enum member is a Python call in Python 3.11.
DECIDING = RequestState.DECIDING
QUEUED = RequestState.QUEUED
IN_FLIGHT = RequestState.IN_FLIGHT
FINISHED = RequestState.FINISHED


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request without a final answer yet, with the results of its attempts so far."""

    request: api.Request
    request_class: api.RequestClass
    objective_at_ns: int  # end of the latency objective, or the deadline if that is earlier
    over_quota: bool = False  # exceeds its tenant's quota
    likely_miss: bool = False  # no recent hit of its key; where caches read the origin: no recent request
    skipped_owners: int = 0  # servers skipped, from the owner on, to spread a hot key
    at_origin: bool = False  # the next attempt goes to the origin: a write, or a read that missed
    is_migrating: bool = False  # holds a migration token, so the new owner of its key is tried first
    at_previous_holder: bool = False  # sent to the server that held its key before a migration
    state: RequestState = DECIDING
    attempts_started: int = 0
    attempts_failed: int = 0  # ended attempts with an outcome not in NOT_FAILURES
    in_flight_attempt: int = NO_ATTEMPT  # number of the attempt in flight
    # Attempts that may have been executed, by number: endpoint and send time (ns). Attempts of earlier
    # requests with the same idempotency key have negative numbers.
    possibly_executed: dict[int, tuple[api.Endpoint, int]] = field(default_factory=dict)
    tried_servers: set[str] = field(default_factory=set)
    missed_server: str = ""  # the last server that did not hold its key
    # What the request waits for, or the decision that ended it. If the request runs out of time, this is the
    # reason in its answer, so it is kept until another decision replaces it.
    reason: api.RejectReason = api.RejectReason.OBJECTIVE_PASSED

    def queue(self) -> None:
        """Changes DECIDING to QUEUED, behind an earlier request with the same idempotency key."""
        self.state = QUEUED
        self.reason = api.RejectReason.IDEMPOTENCY_KEY

    def leave_queue(self) -> None:
        """Changes QUEUED to DECIDING, after the earlier request has ended."""
        self.state = DECIDING

    def wait(self, reason: api.RejectReason) -> None:
        """Changes DECIDING to WAITING; `reason` is used in the answer if the request runs out of time.

        The late end of an attempt of an earlier request with the same id may lead to this call in another
        state. That state is kept, so that an attempt in flight or a place in the queue is not lost.
        """
        self.reason = reason
        if self.state is DECIDING:
            self.state = RequestState.WAITING

    def schedule_retry(self) -> None:
        """Changes DECIDING to RETRY_SCHEDULED; any other state is kept, as in `wait`."""
        if self.state is DECIDING:
            self.state = RequestState.RETRY_SCHEDULED

    def inherit_attempts(self, overload_control: api.OverloadControl) -> None:
        """Adopts the possibly executed attempts of earlier requests with the same idempotency key.

        They count as attempts of this request, so that it is not executed a second time.
        """
        if not self.request.idempotency_key:
            return
        earlier = overload_control.earlier_attempts(self.request)
        own = {number: sent for number, sent in self.possibly_executed.items() if number >= 0}
        self.possibly_executed = own
        for number, (sent_ns, endpoint) in enumerate(earlier, start=1):
            self.possibly_executed[-number] = (endpoint, sent_ns)

    def start_attempt(self, endpoint: api.Endpoint, now_ns: int) -> int:
        """Changes DECIDING, WAITING or RETRY_SCHEDULED to IN_FLIGHT; returns the attempt's number."""
        number = self.attempts_started
        self.attempts_started += 1
        self.state = IN_FLIGHT
        self.in_flight_attempt = number
        self.possibly_executed[number] = (endpoint, now_ns)
        self.tried_servers.add(endpoint.server)
        return number

    def attempt_ended(self, number: int, status: api.AttemptStatus) -> None:
        """Changes IN_FLIGHT to DECIDING, if this attempt was in flight."""
        if number == self.in_flight_attempt:
            self.in_flight_attempt = NO_ATTEMPT
            self.state = DECIDING
        if status not in NOT_FAILURES:
            self.attempts_failed += 1

    def finish(self) -> None:
        """Changes any state to FINISHED."""
        self.state = FINISHED

    def reason_text(self) -> str:
        """Returns the reason as written to records; a "+" marks a request over its tenant's quota."""
        return f"{self.reason.value}+" if self.over_quota else self.reason.value
