"""Slow start: a server that started lately has a part of its capacity, which grows to the whole.

Keeps rule 4: no server in slow start gets more than it can take.

It is sent what that part bears by all routers together. None of them knows what the others send: each takes
what warm servers of the same kind serve it for its part of such a server's capacity.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from rainhitch import interface as api
from rainhitch.policy.decision_context import DecisionContext
from rainhitch.policy.rates import SECOND, DecayingRate, TokenBucket

# Times what warm servers serve that a starting one may be sent, for its part of capacity.
WARM_RATE_FACTOR = 3 / 2
# Times what a warm server serves: of an arrival rate beyond that, chance admits so much.
MAX_SURE_RATE_FACTOR = 2
# The settings' window by it: how long the rate of warm servers holds once worked out.
WARM_RATE_LIFETIME_DIVISOR = 8
BUDGET_CAPACITY_DIVISOR = 4  # the tokens of the settings' window by it: so many may be saved up


@dataclass(slots=True)
class SlowStart:
    """One server's slow start, as far as this router sees it."""

    started_at_ns: int = 0  # 0: long ago
    served: DecayingRate = field(default_factory=lambda: DecayingRate(SECOND))  # hits it served this router
    budget: TokenBucket = field(default_factory=TokenBucket)  # of what it may be sent meanwhile

    def slow_start_fraction(self, now_ns: int, settings: api.Settings) -> float:
        """The part of its capacity, 0 to 1, that the server has by now; 1 after its slow start."""
        if self.started_at_ns <= max(0, now_ns - settings.slow_start_ns):
            return 1.0
        elapsed_fraction = max(0, now_ns - self.started_at_ns) / settings.slow_start_ns
        initial_fraction = settings.slow_start_initial_fraction
        return initial_fraction + (1 - initial_fraction) * elapsed_fraction


def passes_by_chance(
    draw: float, arrivals_per_s: float, heat: float, capacity_fraction: float, warm_rate_per_s: float
) -> bool:
    """Whether a request may ask for a token of a starting server's budget.

    What is far beyond what a server bears is left to chance. Guards against a surge to a starting server from
    many routers at once, of which each has a first token saved up.

    `draw`: a random number from 0 to 1; `arrivals_per_s`: what this router receives for a server's range;
    `heat`: the key's part of the requests, in servers' fair shares; `capacity_fraction`: the part of its
    capacity that the server has; `warm_rate_per_s`: what a warm server of its kind serves this router.
    """
    return draw * arrivals_per_s * max(1.0, heat / capacity_fraction) < MAX_SURE_RATE_FACTOR * warm_rate_per_s


@dataclass(frozen=True, slots=True)
class WarmRate:
    """What a warm server of one kind serves this router."""

    rate_per_s: float  # requests
    valid_until_ns: int


class SlowStartAdmission:
    """Decides what this router sends to servers in slow start."""

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        self.warm_rates: dict[int, WarmRate] = {}  # by kind of server

    def admits_in_slow_start(
        self,
        server: SlowStart,
        kind: int,
        same_kind: Iterable[SlowStart],
        *,
        capacity_fraction: float,
        heat: float,
        arrivals_per_s: float,
    ) -> bool:
        """Whether one more request may go to a starting server; takes a token of its budget if so.

        `same_kind`: all servers of its kind. The other arguments are those of `passes_by_chance`.
        """
        now_ns = self.context.now_ns
        warm_rate_per_s = self._warm_rate_per_s(kind, same_kind)
        draw = self.context.random.random()
        if not passes_by_chance(draw, arrivals_per_s, heat, capacity_fraction, warm_rate_per_s):
            return False
        rate_per_s = WARM_RATE_FACTOR * warm_rate_per_s * capacity_fraction
        window_ns = self.context.settings.slow_start_window_ns
        return server.budget.take(
            now_ns, rate_per_s, rate_per_s * window_ns / SECOND / BUDGET_CAPACITY_DIVISOR
        )

    def _warm_rate_per_s(self, kind: int, same_kind: Iterable[SlowStart]) -> float:
        """What a warm server of this kind serves this router, in requests a second, on average."""
        now_ns = self.context.now_ns
        settings = self.context.settings
        known = self.warm_rates.get(kind)
        if known is not None and now_ns < known.valid_until_ns:
            return known.rate_per_s
        rates = [
            one.served.per_second(now_ns)
            for one in same_kind
            if one.slow_start_fraction(now_ns, settings) == 1
        ]
        # Guards against a fleet that starts as a whole and has no warm server to go by: one request a second,
        # of all routers together, shows what a server bears.
        warm_rate_per_s = max(sum(rates) / max(1, len(rates)), 1 / settings.router_count)
        valid_until_ns = now_ns + settings.slow_start_window_ns // WARM_RATE_LIFETIME_DIVISOR
        self.warm_rates[kind] = WarmRate(warm_rate_per_s, valid_until_ns)
        return warm_rate_per_s
