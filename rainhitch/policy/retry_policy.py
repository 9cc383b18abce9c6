"""Rules on repeating and rejecting a request.

Two of the four rules in `interface.py` are enforced here. Rule 1: each request gets exactly one final answer
by its deadline, with one attempt in flight at a time. Rule 2: an attempt that may have been executed is
repeated only where a second execution does no harm. A rejection tells the client that sending the request
again does no harm, so rule 2 applies to it as well.

All times are monotonic, ns.
"""

import random

from rainhitch import interface as api
from rainhitch.policy.pending_request import PendingRequest
from rainhitch.policy.server import Server

# Part at the end of a dedup window in which no repeat is started, because the router may be paused between
# the decision and the write: 0.15 s, less the protocol's slack of 0.05 s. For a short window it is at most
# the window divided by MIN_RESERVES_PER_DEDUP_WINDOW.
WINDOW_RESERVE_NS = 100_000_000
MIN_RESERVES_PER_DEDUP_WINDOW = 4
ORIGIN_BACKOFF_UNITS_PER_OBJECTIVE = 32  # a write's first backoff is up to 2 / 32 of its objective


def may_start_attempt(pending: PendingRequest, server: Server, now_ns: int, max_attempts: int) -> bool:
    """Returns whether an attempt is allowed by its number, the time left and the earlier attempts."""
    if pending.attempts_started >= max_attempts:
        return False
    # An attempt that no server could answer in time would be useless, and its timeout would not say anything
    # about the server.
    if now_ns + server.latency.unloaded_ns / 2 >= pending.request.deadline_ns:
        return False
    return may_retry_at(pending, server.endpoint, now_ns)


def may_retry_at(pending: PendingRequest, endpoint: api.Endpoint, now_ns: int) -> bool:
    """Returns whether one more attempt may go to this endpoint by rule 2 (no harmful repeat).

    An idempotent request may always be repeated, and so may any request without possibly executed attempts.
    One with an idempotency key may be repeated within its dedup window, at an endpoint in the same dedup
    scope as every possibly executed attempt.
    """
    spec = pending.request_class
    if spec.idempotency is api.Idempotency.IDEMPOTENT or not pending.possibly_executed:
        return True
    if spec.idempotency is api.Idempotency.NOT_IDEMPOTENT or not is_in_dedup_window(pending, now_ns):
        return False
    if spec.dedup_scope == "all":
        return True
    earlier_endpoints = [sent_to for sent_to, _ in pending.possibly_executed.values()]
    if spec.dedup_scope == "zone":
        return all(earlier.zone == endpoint.zone for earlier in earlier_endpoints)
    return all(earlier.cell == endpoint.cell for earlier in earlier_endpoints)


def may_reject(pending: PendingRequest, now_ns: int) -> bool:
    """Returns whether the request may be rejected by rule 2 (no harmful repeat); otherwise it fails.

    A rejection says that sending the request again does no harm. The client's next try may reach any server,
    so a possibly executed request may be rejected only if all servers recognize a repeat, and within its
    dedup window.
    """
    spec = pending.request_class
    if spec.idempotency is api.Idempotency.IDEMPOTENT or not pending.possibly_executed:
        return True
    recognized_everywhere = spec.idempotency is api.Idempotency.IDEMPOTENCY_KEY and spec.dedup_scope == "all"
    return recognized_everywhere and is_in_dedup_window(pending, now_ns)


def is_in_dedup_window(pending: PendingRequest, now_ns: int) -> bool:
    """Returns whether servers would still recognize a repeat that starts now."""
    return now_ns < retry_deadline_ns(pending)


def retry_deadline_ns(pending: PendingRequest) -> int:
    """Returns the time until which a repeat may start; the reserve covers a pause before its write.

    Requires at least one possibly executed attempt.
    """
    window_ns = pending.request_class.dedup_window_ns
    reserve_ns = min(WINDOW_RESERVE_NS, window_ns // MIN_RESERVES_PER_DEDUP_WINDOW)
    first_sent_ns = min(sent_ns for _, sent_ns in pending.possibly_executed.values())
    return first_sent_ns + window_ns - reserve_ns


def may_cancel(pending: PendingRequest) -> bool:
    """Returns whether an attempt in flight may be cancelled and sent to another server without harm."""
    spec = pending.request_class
    return spec.idempotency is api.Idempotency.IDEMPOTENT and not spec.is_relayed


def write_within_ns(pending: PendingRequest, now_ns: int) -> int:
    """Returns for how long from now the attempt may be written; 0: no limit.

    Only the repeat of a request with an idempotency key has a limit.
    """
    is_repeat = bool(pending.possibly_executed)
    if is_repeat and pending.request_class.idempotency is api.Idempotency.IDEMPOTENCY_KEY:
        return retry_deadline_ns(pending) - now_ns
    return 0


def take_from_retry_budget(pending: PendingRequest, control: api.OverloadControl, now_ns: int) -> bool:
    """Takes an attempt from the retry budget; returns whether the budget allows it.

    An attempt after a miss, or after an attempt that never left this router, counts neither as a first
    attempt nor as a retry.
    """
    if pending.attempts_started and not pending.attempts_failed:
        return True
    return control.take_retry_budget(now_ns, pending.attempts_failed > 0)


def reason_not_to_try_another_cache(
    pending: PendingRequest, event: api.AttemptFinished, cache_aside: bool, now_ns: int
) -> api.RejectReason | None:
    """Returns why a request that failed at a cache server is not sent to another one; None: it may be sent.

    Rule 2 (no harmful repeat) is not checked here but by `may_retry_at`, after the next server is chosen.
    """
    status = event.status
    if now_ns >= pending.objective_at_ns and not pending.request_class.late_weight:
        return api.RejectReason.OBJECTIVE_PASSED
    # A read that one cache could not get from the origin is not tried at another, to protect a slow origin.
    if status is api.AttemptStatus.ERROR and not cache_aside and not pending.request.is_write:
        return api.RejectReason.CACHE_FAILED
    # Without a local connection, retries at other servers would only use up the retry budget.
    if status is api.AttemptStatus.NO_LOCAL_CONNECTION:
        return api.RejectReason.NO_LOCAL_CONNECTION
    # On a connection that was just opened, the rejection may come from a full connection table, not a queue.
    is_queue_full = status is api.AttemptStatus.FULL and event.connection_reused is not False
    if is_queue_full and (pending.over_quota or pending.attempts_started > 1):
        return api.RejectReason.SERVER_FULL
    return None


def origin_retry_delay_ns(pending: PendingRequest, source: random.Random) -> int:
    """Returns the backoff before a write's next attempt at the origin: exponential, with jitter."""
    max_ns = pending.request_class.latency_objective_ns << pending.attempts_started
    return int(max_ns * source.uniform(0.5, 1)) // ORIGIN_BACKOFF_UNITS_PER_OBJECTIVE
