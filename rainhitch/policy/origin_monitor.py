"""Health of the origin by the outcomes of likely misses: turns the throttle on and off and sets its rate."""

import math

from rainhitch.policy.rates import SECOND, DecayingRate
from rainhitch.policy.throttle import Throttle

RATE_SPAN_PERIODS = 8  # averaging window of the rate of admitted likely misses, in periods
RATE_RISE_FRACTION = 1 / 4  # increase of the throttle's rate r in a healthy period, as a fraction of r
HEALTHY_PERIODS_TO_TURN_OFF = 8  # consecutive healthy periods with a full token bank
MIN_OUTCOMES = 4  # ended likely misses from which on an origin can be judged healthy
SLOW_TAIL_FRACTION = 1 / 16  # fraction of likely misses that even a healthy origin may answer slowly


class OriginMonitor:
    """Counts healthy and unhealthy outcomes of likely misses, and adjusts the throttle once per period.

    An outcome is healthy if the answer came in time, by a limit that the caller applies.
    """

    def __init__(self, period_ns: int) -> None:
        self.period_ns = period_ns
        # Rate of likely misses sent to the origin.
        self.admitted_rate = DecayingRate(RATE_SPAN_PERIODS * period_ns)
        self.throttle: Throttle | None = None  # None: off, all likely misses are admitted
        self.healthy = 0  # outcomes since the counts were last reset
        self.unhealthy = 0
        self.full_bank_periods = 0  # consecutive healthy periods with a full token bank
        self.last_cut_at_ns = 0  # when r was last reduced or the throttle was turned on
        self.started_at_ns = -1  # time of the router's first event; -1: none yet

    def recent_rate_per_s(self, now_ns: int) -> float:
        """Returns the recent rate of admitted likely misses.

        The rate is corrected for the time since the start: soon after a restart, the average over a window
        that is not filled yet would be too low.
        """
        filled_fraction = -math.expm1((self.started_at_ns - now_ns) / self.admitted_rate.span_ns)
        return self.admitted_rate.per_second(now_ns) / filled_fraction

    def record_outcome(self, is_healthy: bool, sent_at_ns: int) -> None:
        """Counts the outcome of a likely miss, unless it was sent before the last rate reduction.

        Otherwise one congestion would reduce the rate twice.
        """
        if sent_at_ns < self.last_cut_at_ns:
            return
        if is_healthy:
            self.healthy += 1
        else:
            self.unhealthy += 1

    def step(self, now_ns: int, has_reads_in_flight: bool) -> str:
        """Adjusts the throttle at the end of a period; returns a line to log, or "".

        Too many unhealthy outcomes turn the throttle on, or reduce its rate r by half of their fraction. A
        healthy period raises r, and HEALTHY_PERIODS_TO_TURN_OFF of them with a full token bank turn the
        throttle off.
        """
        ended = self.healthy + self.unhealthy
        unhealthy_fraction = self.unhealthy / max(1, ended)
        is_silent = has_reads_in_flight and not self.healthy
        is_overloaded = self._is_overloaded(ended)
        # The counts are kept until there are enough, for routers that see few misses.
        if is_overloaded or ended >= MIN_OUTCOMES:
            self.healthy = 0
            self.unhealthy = 0
        if is_overloaded:
            self.full_bank_periods = 0
            self.last_cut_at_ns = now_ns
            if self.throttle is None:
                return self._turn_on(now_ns)
            self._cut_rate(self.throttle, now_ns, unhealthy_fraction)
            return ""
        if self.throttle is None:
            return ""
        return self._after_healthy_period(self.throttle, now_ns, is_silent)

    def _is_overloaded(self, ended: int) -> bool:
        """Returns whether there are more unhealthy outcomes than the slow tail of a healthy origin explains.

        The limit is two standard deviations above the expected number, and at least 1, to avoid false alarms.
        """
        expected = ended * SLOW_TAIL_FRACTION
        return self.unhealthy > max(1.0, expected + 2 * math.sqrt(expected))

    def _turn_on(self, now_ns: int) -> str:
        span_ns = self.admitted_rate.span_ns
        rate_per_s = max(self.recent_rate_per_s(now_ns), SECOND / span_ns)
        self.throttle = Throttle(now_ns, rate_per_s, int(rate_per_s * self.period_ns / SECOND))
        return f"throttle on likely_misses_per_s={rate_per_s:.0f}"

    def _cut_rate(self, throttle: Throttle, now_ns: int, unhealthy_fraction: float) -> None:
        # The reduction starts from the rate in use, since reducing an unused rate would limit nothing.
        used_per_s = min(throttle.rate_per_s, self.recent_rate_per_s(now_ns))
        min_per_s = SECOND / self.admitted_rate.span_ns / 2
        throttle.rate_per_s = max(used_per_s * (1 - unhealthy_fraction / 2), min_per_s)
        throttle.move_to_bank(max(1, (throttle.bank + throttle.buffer) // 4))

    def _after_healthy_period(self, throttle: Throttle, now_ns: int, is_silent: bool) -> str:
        # r does not rise while reads hang, which would add to the congestion, nor beyond twice the rate in
        # use, where it would limit nothing.
        if not is_silent and throttle.rate_per_s < 2 * self.recent_rate_per_s(now_ns):
            throttle.rate_per_s += throttle.rate_per_s * RATE_RISE_FRACTION
        if throttle.level >= throttle.bank:
            self.full_bank_periods += 1
        else:
            self.full_bank_periods = 0
        if self.full_bank_periods < HEALTHY_PERIODS_TO_TURN_OFF:
            return ""
        self.throttle = None
        return "throttle off"
