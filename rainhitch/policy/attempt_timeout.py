"""Timeouts of attempts."""

from rainhitch import interface as api
from rainhitch.policy.latency_estimator import LOST_ANSWER_FACTOR
from rainhitch.policy.pending_request import PendingRequest
from rainhitch.policy.server import Server
from rainhitch.policy.server_registry import ServerRegistry

MIN_TIMEOUTS_PER_OBJECTIVE = 4  # shortest timeouts of a first attempt in the latency objective


def attempt_timeout_ns(pending: PendingRequest, server: Server, servers: ServerRegistry, now_ns: int) -> int:
    """Returns the timeout (ns) of the attempt that is about to start; 0: until the client gives up.

    A request that must not be repeated, or whose answer is relayed, runs until its client gives up.
    """
    spec = pending.request_class
    if spec.idempotency is api.Idempotency.NOT_IDEMPOTENT or spec.is_relayed:
        return 0
    is_origin_read = pending.at_origin and not pending.request.is_write
    timeout_ns = pending.request.deadline_ns - now_ns
    # An origin read that times out would fill no cache, and repeating an attempt whose late answer still has
    # value would add load to an overloaded server. Both may run until the deadline.
    if not is_origin_read and not spec.late_weight:
        timeout_ns = min(timeout_ns, pending.objective_at_ns - now_ns)
    is_first_at_cache = not pending.attempts_started and not pending.at_origin
    if is_first_at_cache and server.range_share >= 1:
        # A short timeout limits the cost of a connection that went silent. It is a multiple of the usual
        # latency, of this server or of all cache servers, whichever is higher. It does not apply to a slow
        # server, whose range share is reduced.
        expected_ns = server.expected_latency_ns(now_ns, servers.routers_to_account_for())
        typical_ns = max(expected_ns, servers.attempts.mean_cache_latency_ns)
        min_ns = spec.latency_objective_ns // MIN_TIMEOUTS_PER_OBJECTIVE
        timeout_ns = min(timeout_ns, max(min_ns, int(LOST_ANSWER_FACTOR * typical_ns)))
    return max(timeout_ns, 0)
