"""What each customer may send of its share, cut to this router's part of the traffic."""

from rainhitch import interface as api
from rainhitch.policy.decision_context import DecisionContext
from rainhitch.policy.rates import DecayingRate, TokenBucket
from rainhitch.policy.throttle import LEAST_TOTAL

PART_KEPT = 10_000_000  # ns for which this router's part of the traffic, where it was reckoned here, is kept


class TenantQuotas:
    """Marks what exceeds a customer's quota."""

    def __init__(self, turn: DecisionContext) -> None:
        self.context = turn
        tenants = turn.settings.tenants
        self.arrival_rates = [DecayingRate(4 * turn.shortest_objective_ns) for _ in tenants]
        self.buckets = [TokenBucket() for _ in tenants]
        self.traffic_fractions, self.fractions_valid_until_ns = (
            [0.0],
            0,
        )  # this router's part of each one's traffic, and until when it holds

    def apply_fractions(self, event: api.TrafficFractions) -> None:
        """The routers' counts tell this one's part of each customer's traffic, or of all of it."""
        self.traffic_fractions, self.fractions_valid_until_ns = (
            event.by_tenant,
            self.context.now_ns + event.valid_for_ns,
        )

    def is_over_quota(self, event: api.Request) -> bool:
        """Whether this request is beyond its customer's quota."""
        quotas = self.context.settings.tenants
        if event.tenant >= len(quotas) or len(quotas) < 2 or not quotas[event.tenant].quota_per_s:
            return False
        if not event.is_client_retry:
            self.arrival_rates[event.tenant].add(self.context.now_ns)
        if self.context.now_ns >= self.fractions_valid_until_ns:
            both = zip(self.arrival_rates, quotas, strict=True)
            used = sorted(
                rate.per_second(self.context.now_ns) / one.quota_per_s
                for rate, one in both
                if one.quota_per_s
            )
            # Guards against a surge of all customers taken for this router's part: it is no more than all.
            self.traffic_fractions, self.fractions_valid_until_ns = (
                [min(1, used[(len(used) - 1) // 2])],
                self.context.now_ns + PART_KEPT,
            )
        part = self.traffic_fractions[event.tenant % len(self.traffic_fractions)]
        rate = quotas[event.tenant].quota_per_s * max(1 / self.context.settings.router_count, part)
        return not self.buckets[event.tenant].take(self.context.now_ns, rate, max(LEAST_TOTAL, rate))
