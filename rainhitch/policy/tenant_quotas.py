"""Which requests are over their tenant's quota.

The quota holds for all routers: it is cut to this router's part of the tenant's traffic.
"""

from rainhitch import interface as api
from rainhitch.policy.decision_context import DecisionContext
from rainhitch.policy.rates import DecayingRate, TokenBucket

ESTIMATE_LIFETIME_NS = 10_000_000  # for which this router's own estimate of its part of the traffic is kept
MIN_QUOTA_BURST = 10  # requests at once that any part of a quota allows
ARRIVAL_RATE_SPAN_OBJECTIVES = 4  # shortest latency objectives over which arrivals are counted


class TenantQuotas:
    """Marks requests that exceed a tenant's quota."""

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        tenants = context.settings.tenants
        span_ns = ARRIVAL_RATE_SPAN_OBJECTIVES * context.shortest_objective_ns
        self.arrival_rates = [DecayingRate(span_ns) for _ in tenants]
        self.buckets = [TokenBucket() for _ in tenants]
        # This router's part of each tenant's traffic, 0 to 1, or one for all of them; and until when it
        # holds.
        self.traffic_fractions = [0.0]
        self.fractions_valid_until_ns = 0

    def apply_fractions(self, event: api.TrafficFractions) -> None:
        """Takes this router's part of the tenants' traffic as the routers' counts give it."""
        self.traffic_fractions = event.by_tenant
        self.fractions_valid_until_ns = self.context.now_ns + event.valid_for_ns

    def count_and_check_quota(self, event: api.Request) -> bool:
        """Counts a request; returns whether it is over its tenant's quota.

        Never where there is a single tenant, or none has a quota.
        """
        quotas = self.context.settings.tenants
        if event.tenant >= len(quotas) or len(quotas) < 2 or not quotas[event.tenant].quota_per_s:
            return False
        now_ns = self.context.now_ns
        if not event.is_client_retry:
            self.arrival_rates[event.tenant].add(now_ns)
        if now_ns >= self.fractions_valid_until_ns:
            self.traffic_fractions = [self._estimate_traffic_fraction()]
            self.fractions_valid_until_ns = now_ns + ESTIMATE_LIFETIME_NS
        fraction = self.traffic_fractions[event.tenant % len(self.traffic_fractions)]
        least_fraction = 1 / self.context.settings.router_count
        rate_per_s = quotas[event.tenant].quota_per_s * max(least_fraction, fraction)
        return not self.buckets[event.tenant].take(now_ns, rate_per_s, max(MIN_QUOTA_BURST, rate_per_s))

    def _estimate_traffic_fraction(self) -> float:
        """This router's part of all traffic: the median of the parts of their quotas that tenants use here.

        Guards against a surge of all tenants taken for a large part: it is no more than the whole.
        """
        rates = zip(self.arrival_rates, self.context.settings.tenants, strict=True)
        used_fractions = sorted(
            rate.per_second(self.context.now_ns) / tenant.quota_per_s
            for rate, tenant in rates
            if tenant.quota_per_s
        )
        return min(1, used_fractions[(len(used_fractions) - 1) // 2])
