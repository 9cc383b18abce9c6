"""Whether a request may be sent once more, and whether it may be rejected.

Two of the four rules in `interface.py` are kept here. Rule 1: exactly one final answer, by its deadline, and
one attempt in flight at a time. Rule 2: an attempt that may have been executed is repeated only where a
second execution does no harm, and a rejection says just that: trying again does no harm.

All times are monotonic, ns.
"""

import random

from rainhitch import interface as api
from rainhitch.policy.pending_request import PendingRequest
from rainhitch.policy.server import Server

# The end of a dedup window in which no retry begins any more, so that the router may be held up between the
# decision and the write: 0.15 s, less the protocol's slack of 0.05 s. Of a short window one part in
# WINDOW_RESERVE_DIVISOR at most.
WINDOW_RESERVE_NS = 100_000_000
WINDOW_RESERVE_DIVISOR = 4
ORIGIN_BACKOFF_DIVISOR = 32  # the first wait before a write's retry is up to 2 / 32 of its latency objective


def may_start_attempt(pending: PendingRequest, server: Server, now_ns: int, max_attempts: int) -> bool:
    """Whether this attempt is allowed by its number, the time left, and what earlier ones have shown."""
    if pending.attempts_started >= max_attempts:
        return False
    # Guards against a last attempt that no server could answer in time, and whose end would tell nothing.
    if now_ns + server.latency.uncrowded_ns / 2 >= pending.request.deadline_ns:
        return False
    return may_retry_at(pending, server.endpoint, now_ns)


def may_retry_at(pending: PendingRequest, endpoint: api.Endpoint, now_ns: int) -> bool:
    """Rule 2 (no harmful repeat): whether one more attempt may go to this endpoint.

    An idempotent request may always be repeated, and any request of which nothing may have been executed. One
    with an idempotency key may be repeated within its dedup window, at an endpoint in the same dedup scope as
    each earlier attempt that may have been executed.
    """
    spec = pending.request_class
    if spec.idempotency is api.Idempotency.IDEMPOTENT or not pending.possibly_executed:
        return True
    if spec.idempotency is api.Idempotency.NOT_IDEMPOTENT or not is_in_dedup_window(pending, now_ns):
        return False
    if spec.dedup_scope == "all":
        return True
    earlier = [sent_to for sent_to, _ in pending.possibly_executed.values()]
    if spec.dedup_scope == "zone":
        return all(one.zone == endpoint.zone for one in earlier)
    return all(one.cell == endpoint.cell for one in earlier)


def may_reject(pending: PendingRequest, now_ns: int) -> bool:
    """Rule 2 (no harmful repeat): whether a rejection, which says that trying again does no harm, holds.

    Else the request fails. A client's next try may go anywhere, so of a request that may have been executed
    only one that every server recognizes is rejected, within its dedup window.
    """
    spec = pending.request_class
    if spec.idempotency is api.Idempotency.IDEMPOTENT or not pending.possibly_executed:
        return True
    recognized_everywhere = spec.idempotency is api.Idempotency.IDEMPOTENCY_KEY and spec.dedup_scope == "all"
    return recognized_everywhere and is_in_dedup_window(pending, now_ns)


def is_in_dedup_window(pending: PendingRequest, now_ns: int) -> bool:
    """Whether servers still recognize a repeat that is begun now."""
    return now_ns < retry_deadline_ns(pending)


def retry_deadline_ns(pending: PendingRequest) -> int:
    """Until when a repeat may be begun; the router may be held up between this and its write.

    Only for a request of which an attempt may have been executed.
    """
    window_ns = pending.request_class.dedup_window_ns
    reserve_ns = min(WINDOW_RESERVE_NS, window_ns // WINDOW_RESERVE_DIVISOR)
    first_sent_ns = min(sent_ns for _, sent_ns in pending.possibly_executed.values())
    return first_sent_ns + window_ns - reserve_ns


def may_cancel(pending: PendingRequest) -> bool:
    """Whether an attempt in flight may be cancelled, to be sent elsewhere without harm."""
    spec = pending.request_class
    return spec.idempotency is api.Idempotency.IDEMPOTENT and not spec.is_relayed


def write_within_ns(pending: PendingRequest, now_ns: int) -> int:
    """For how long from now this attempt may be written; 0: it is no repeat, so at any time."""
    is_repeat = bool(pending.possibly_executed)
    if is_repeat and pending.request_class.idempotency is api.Idempotency.IDEMPOTENCY_KEY:
        return retry_deadline_ns(pending) - now_ns
    return 0


def take_from_retry_budget(pending: PendingRequest, control: api.OverloadControl, now_ns: int) -> bool:
    """Takes an attempt from the retry budget; returns whether that allows it.

    An attempt after a miss, or after one that never left this router, is neither a first try nor a retry.
    """
    if pending.attempts_started and not pending.attempts_failed:
        return True
    return control.take_retry_budget(now_ns, pending.attempts_failed > 0)


def reason_not_to_try_another_cache(
    pending: PendingRequest, event: api.AttemptFinished, cache_aside: bool, now_ns: int
) -> api.RejectReason | None:
    """Why a request whose attempt at a cache server failed is not sent to another; None: it may be.

    Whether a repeat could do harm (rule 2, no harmful repeat) is asked by `may_retry_at`, once the next
    server is chosen.
    """
    status = event.status
    if now_ns >= pending.objective_at_ns and not pending.request_class.late_weight:
        return api.RejectReason.OBJECTIVE_PASSED
    # Guards a slow origin behind the caches: what one cache could not read there, no other should try.
    if status is api.AttemptStatus.ERROR and not cache_aside and not pending.request.is_write:
        return api.RejectReason.CACHE_FAILED
    # Guards the retry budget against work for which this router has no connection left anywhere.
    if status is api.AttemptStatus.NO_LOCAL_CONNECTION:
        return api.RejectReason.NO_LOCAL_CONNECTION
    # On a connection just opened it may be the connection table that is full, and not the queue.
    is_queue_full = status is api.AttemptStatus.FULL and event.connection_reused is not False
    if is_queue_full and (pending.over_quota or pending.attempts_started > 1):
        return api.RejectReason.SERVER_FULL
    return None


def origin_retry_delay_ns(pending: PendingRequest, source: random.Random) -> int:
    """Exponential backoff with jitter before a write's next attempt at the origin."""
    most_ns = pending.request_class.latency_objective_ns << pending.attempts_started
    return int(most_ns * source.uniform(0.5, 1)) // ORIGIN_BACKOFF_DIVISOR
