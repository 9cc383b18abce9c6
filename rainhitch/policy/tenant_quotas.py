"""Tenant quotas: marks the requests that exceed their tenant's quota.

A quota applies to all routers together. Each router enforces the part of it that corresponds to its fraction
of the tenant's traffic.
"""

from rainhitch import interface as api
from rainhitch.policy.decision_context import DecisionContext
from rainhitch.policy.rates import DecayingRate, TokenBucket

ESTIMATE_LIFETIME_NS = 10_000_000  # validity of this router's own estimate of its traffic fraction
MIN_QUOTA_BURST = 10  # minimum capacity of a tenant's token bucket, requests
ARRIVAL_RATE_SPAN_OBJECTIVES = 4  # averaging window of arrival rates, in shortest latency objectives


class TenantQuotas:
    """Checks requests against this router's part of each tenant's quota."""

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        tenants = context.settings.tenants
        span_ns = ARRIVAL_RATE_SPAN_OBJECTIVES * context.shortest_objective_ns
        self.arrival_rates = [DecayingRate(span_ns) for _ in tenants]
        self.buckets = [TokenBucket() for _ in tenants]
        # This router's fraction of each tenant's traffic, 0 to 1, or a single value for all tenants.
        self.traffic_fractions = [0.0]
        self.fractions_valid_until_ns = 0

    def apply_fractions(self, event: api.TrafficFractions) -> None:
        """Sets this router's fraction of the tenants' traffic, from the counts that the routers exchange."""
        self.traffic_fractions = event.by_tenant
        self.fractions_valid_until_ns = self.context.now_ns + event.valid_for_ns

    def count_and_check_quota(self, event: api.Request) -> bool:
        """Counts a request; returns whether it exceeds its tenant's quota.

        The result is always false with a single tenant, or for a tenant without a quota.
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
        min_fraction = 1 / self.context.settings.router_count
        rate_per_s = quotas[event.tenant].quota_per_s * max(min_fraction, fraction)
        return not self.buckets[event.tenant].take(now_ns, rate_per_s, max(MIN_QUOTA_BURST, rate_per_s))

    def _estimate_traffic_fraction(self) -> float:
        """Returns an estimate of this router's fraction of all traffic.

        It is the median, over the tenants, of their rate at this router divided by their quota. It is limited
        to 1, so that a surge of all tenants does not give a router more than the whole quota.
        """
        rates = zip(self.arrival_rates, self.context.settings.tenants, strict=True)
        used_fractions = sorted(
            rate.per_second(self.context.now_ns) / tenant.quota_per_s
            for rate, tenant in rates
            if tenant.quota_per_s
        )
        return min(1, used_fractions[(len(used_fractions) - 1) // 2])
