"""Whether an attempt may start, at a server that was chosen for it."""

from collections.abc import Callable

from rainhitch import interface as api
from rainhitch.policy import retry_policy
from rainhitch.policy.decision_context import DecisionContext
from rainhitch.policy.pending_request import PendingRequest
from rainhitch.policy.placement import SLOW_ANSWER_FRACTION
from rainhitch.policy.server import Server

NO_CROWD_LIMIT = 1 << 20  # times its uncrowded answer time: more than any server reaches


class AttemptAdmission:
    """Asks each limit that an attempt is under."""

    def __init__(self, context: DecisionContext, overload_control: api.OverloadControl) -> None:
        """Takes overload control, which holds the retry budget."""
        self.context = context
        self.overload_control = overload_control
        # Takes one read, at a time (ns), from what all routers together may send the origin; None: no limit.
        self.fleet_read_allowance: Callable[[int], bool] | None = None

    def admit_or_reason(self, pending: PendingRequest, server: Server | None) -> api.RejectReason | None:
        """Admits an attempt at this server: None, or the reason why it may not start.

        The limits are asked in this order, and the last two take from an allowance only if they allow it.
        """
        now_ns = self.context.now_ns
        settings = self.context.settings
        if server is None:
            if pending.at_origin:
                return api.RejectReason.ORIGIN_UNAVAILABLE
            return api.RejectReason.NO_SERVER_WITH_CAPACITY
        if pending.at_origin and not self._origin_has_capacity(pending, server):
            return api.RejectReason.ORIGIN_UNAVAILABLE
        if not retry_policy.may_start_attempt(pending, server, now_ns, settings.max_attempts):
            return api.RejectReason.NO_MORE_ATTEMPTS
        is_origin_read = pending.at_origin and not pending.request.is_write
        if is_origin_read and self.fleet_read_allowance and not self.fleet_read_allowance(now_ns):
            return api.RejectReason.FLEET_READ_ALLOWANCE
        if not retry_policy.take_from_retry_budget(pending, self.overload_control, now_ns):
            return api.RejectReason.RETRY_BUDGET
        return None

    def _origin_has_capacity(self, pending: PendingRequest, origin: Server) -> bool:
        """Guards against work that keeps a crowded origin crowded, by the rule for cache servers."""
        limit_ns = pending.request_class.latency_objective_ns * SLOW_ANSWER_FRACTION
        routers = self.context.settings.router_count
        return origin.admits_or_starts_probe(self.context.now_ns, limit_ns, NO_CROWD_LIMIT, routers, routers)
