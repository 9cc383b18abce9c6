"""Admission of attempts: the last checks before an attempt starts at the chosen server."""

from collections.abc import Callable

from rainhitch import interface as api
from rainhitch.policy import retry_policy
from rainhitch.policy.decision_context import DecisionContext
from rainhitch.policy.pending_request import PendingRequest
from rainhitch.policy.placement import SLOW_ANSWER_FRACTION
from rainhitch.policy.server import Server

UNLIMITED_OVERLOAD_FACTOR = 1 << 20  # a multiple of the unloaded latency that no server reaches


class AttemptAdmission:
    """Checks the limits that apply to an attempt, in a fixed order."""

    def __init__(self, context: DecisionContext, overload_control: api.OverloadControl) -> None:
        """Initializes the checks; `overload_control` keeps the retry budget."""
        self.context = context
        self.overload_control = overload_control
        # Called with the time (ns); takes one read from the allowance that all routers share for the origin,
        # and returns whether there was one. None: no limit.
        self.fleet_read_allowance: Callable[[int], bool] | None = None

    def admit_or_reason(self, pending: PendingRequest, server: Server | None) -> api.RejectReason | None:
        """Returns None if the attempt may start at this server, else the reason why it may not.

        The last two checks consume from an allowance, so they come after all others.
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
        """Returns whether the origin is not overloaded for this request, or a probe of it is due.

        The rule is that for cache servers, without the limit relative to the unloaded latency. Without this
        check, new requests would keep an overloaded origin overloaded.
        """
        limit_ns = pending.request_class.latency_objective_ns * SLOW_ANSWER_FRACTION
        router_count = self.context.settings.router_count
        return origin.admits_or_starts_probe(
            self.context.now_ns, limit_ns, UNLIMITED_OVERLOAD_FACTOR, router_count, router_count
        )
