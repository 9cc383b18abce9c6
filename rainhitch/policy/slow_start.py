"""Slow start: a server that started recently has a fraction of its capacity, which grows to all of it.

Enforces rule 4: no server in slow start gets more load than it can handle.

The load of all routers together must not exceed that fraction. Since no router knows the load of the others,
each takes the rate at which a warm server of the same kind serves this router as its own part of a server's
capacity.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from rainhitch import interface as api
from rainhitch.policy.decision_context import DecisionContext
from rainhitch.policy.rates import SECOND, DecayingRate, TokenBucket

# Limit of a starting server's request rate: this multiple of a warm server's rate times the fraction of its
# capacity that the starting server has.
WARM_RATE_FACTOR = 3 / 2
# Multiple of a warm server's rate up to which all arrivals pass. Of a higher arrival rate, a random sample of
# this size passes.
MAX_UNSAMPLED_RATE_FACTOR = 2
# Lifetimes of a computed warm rate in a slow-start window.
WARM_RATE_LIFETIMES_PER_WINDOW = 8
BUDGET_CAPACITIES_PER_WINDOW = 4  # budget capacities that the tokens of one slow-start window fill


@dataclass(slots=True)
class SlowStart:
    """Slow-start state of one server, as observed by this router."""

    started_at_ns: int = 0  # 0: long ago
    served: DecayingRate = field(default_factory=lambda: DecayingRate(SECOND))  # hits served to this router
    budget: TokenBucket = field(default_factory=TokenBucket)  # requests allowed during slow start

    def slow_start_fraction(self, now_ns: int, settings: api.Settings) -> float:
        """Returns the fraction of its capacity, 0 to 1, that the server has now; 1 after its slow start."""
        if self.started_at_ns <= max(0, now_ns - settings.slow_start_ns):
            return 1.0
        elapsed_fraction = max(0, now_ns - self.started_at_ns) / settings.slow_start_ns
        initial_fraction = settings.slow_start_initial_fraction
        return initial_fraction + (1 - initial_fraction) * elapsed_fraction


def passes_sampling(
    random_value: float,
    arrivals_per_s: float,
    fair_shares: float,
    capacity_fraction: float,
    warm_rate_per_s: float,
) -> bool:
    """Returns whether a request may take a token of a starting server's budget.

    Of an arrival rate far above a server's capacity, only a random sample passes. Otherwise many routers,
    each with an unused first token, could send requests to a starting server at the same time.

    `random_value` is a random number from 0 to 1, `arrivals_per_s` the rate at which this router receives
    requests for a server's range, `fair_shares` the key's part of the requests as a multiple of a server's
    fair share, `capacity_fraction` the fraction of its capacity that the server has, and `warm_rate_per_s`
    the rate at which a warm server of its kind serves this router.
    """
    return (
        random_value * arrivals_per_s * max(1.0, fair_shares / capacity_fraction)
        < MAX_UNSAMPLED_RATE_FACTOR * warm_rate_per_s
    )


@dataclass(frozen=True, slots=True)
class WarmRate:
    """Rate at which a warm server of one kind serves this router."""

    rate_per_s: float  # requests per second
    valid_until_ns: int


class SlowStartAdmission:
    """Admission of this router's requests to servers in slow start."""

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        self.warm_rates: dict[int, WarmRate] = {}  # warm rates by `Endpoint.kind`

    def admits_in_slow_start(
        self,
        server: SlowStart,
        kind: int,
        same_kind: Iterable[SlowStart],
        *,
        capacity_fraction: float,
        fair_shares: float,
        arrivals_per_s: float,
    ) -> bool:
        """Returns whether a starting server admits one more request; if so, takes a token of its budget.

        `same_kind` are all servers of its kind. The other arguments are those of `passes_sampling`.
        """
        now_ns = self.context.now_ns
        warm_rate_per_s = self._warm_rate_per_s(kind, same_kind)
        random_value = self.context.random.random()
        if not passes_sampling(random_value, arrivals_per_s, fair_shares, capacity_fraction, warm_rate_per_s):
            return False
        rate_per_s = WARM_RATE_FACTOR * warm_rate_per_s * capacity_fraction
        window_ns = self.context.settings.slow_start_window_ns
        return server.budget.take(
            now_ns, rate_per_s, rate_per_s * window_ns / SECOND / BUDGET_CAPACITIES_PER_WINDOW
        )

    def _warm_rate_per_s(self, kind: int, same_kind: Iterable[SlowStart]) -> float:
        """Returns the mean rate at which warm servers of this kind serve this router, requests per second."""
        now_ns = self.context.now_ns
        settings = self.context.settings
        known = self.warm_rates.get(kind)
        if known is not None and now_ns < known.valid_until_ns:
            return known.rate_per_s
        rates = [
            server.served.per_second(now_ns)
            for server in same_kind
            if server.slow_start_fraction(now_ns, settings) == 1
        ]
        # In a fleet that starts as a whole there is no warm server to measure. One request per second, from
        # all routers together, is enough to find out what a server can handle.
        warm_rate_per_s = max(sum(rates) / max(1, len(rates)), 1 / settings.router_count)
        valid_until_ns = now_ns + settings.slow_start_window_ns // WARM_RATE_LIFETIMES_PER_WINDOW
        self.warm_rates[kind] = WarmRate(warm_rate_per_s, valid_until_ns)
        return warm_rate_per_s
