"""Watches how likely misses fare at the origin, turns the throttle on and off, and sets its rate."""

import math

from rainhitch.policy.rates import SECOND, DecayingRate
from rainhitch.policy.throttle import Throttle

RATE_SPAN_PERIODS = 8  # periods over which the rate of admitted likely misses is averaged
RATE_RISE_FRACTION = 1 / 4  # of r, by which it rises in a healthy period
HEALTHY_PERIODS_TO_TURN_OFF = 8  # in a row, each with a full bank
MIN_EVIDENCE = 4  # ended likely misses that are enough to tell a healthy origin
SLOW_TAIL_FRACTION = 1 / 16  # of its likely misses that even a healthy origin may answer slowly


class OriginMonitor:
    """Counts healthy and unhealthy ends of likely misses; decides once a period.

    An end is healthy if the answer came in time; the caller says what in time is.
    """

    def __init__(self, period_ns: int) -> None:
        self.period_ns = period_ns
        self.admitted_rate = DecayingRate(
            RATE_SPAN_PERIODS * period_ns
        )  # of likely misses sent to the origin
        self.throttle: Throttle | None = None  # None: off, all likely misses are admitted
        self.healthy = 0  # ends since the evidence was last judged
        self.unhealthy = 0
        self.full_bank_periods = 0  # healthy ones in a row
        self.last_cut_at_ns = 0  # when r was last cut, or the throttle turned on
        self.started_at_ns = -1  # the router's first event; -1: none yet

    def recent_rate_per_s(self, now_ns: int) -> float:
        """The recent rate of admitted likely misses.

        Guards against a restart: the average over a past shorter than its span would read too low.
        """
        known_fraction = -math.expm1((self.started_at_ns - now_ns) / self.admitted_rate.span_ns)
        return self.admitted_rate.per_second(now_ns) / known_fraction

    def record_end(self, is_healthy: bool, sent_at_ns: int) -> None:
        """Counts a likely miss's end, unless it was sent before the last cut: no jam is cut for twice."""
        if sent_at_ns < self.last_cut_at_ns:
            return
        if is_healthy:
            self.healthy += 1
        else:
            self.unhealthy += 1

    def step(self, now_ns: int, has_reads_in_flight: bool) -> str:
        """Decides once a period; returns a line to log, or "".

        An origin with too many unhealthy ends turns the throttle on, or cuts r by half of their fraction. A
        healthy one raises r, and after HEALTHY_PERIODS_TO_TURN_OFF with a full bank turns the throttle off.
        """
        ended = self.healthy + self.unhealthy
        unhealthy_fraction = self.unhealthy / max(1, ended)
        is_silent = has_reads_in_flight and not self.healthy
        is_overloaded = self._is_overloaded(ended)
        # Guards against a router that sees few misses: evidence is kept until there is enough.
        if is_overloaded or ended >= MIN_EVIDENCE:
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
        """Guards against false alarms: more are unhealthy than a healthy origin's tail gives by chance."""
        expected = ended * SLOW_TAIL_FRACTION
        return self.unhealthy > max(1.0, expected + 2 * math.sqrt(expected))

    def _turn_on(self, now_ns: int) -> str:
        span_ns = self.admitted_rate.span_ns
        rate_per_s = max(self.recent_rate_per_s(now_ns), SECOND / span_ns)
        self.throttle = Throttle(now_ns, rate_per_s, int(rate_per_s * self.period_ns / SECOND))
        return f"throttle on likely_misses_per_s={rate_per_s:.0f}"

    def _cut_rate(self, throttle: Throttle, now_ns: int, unhealthy_fraction: float) -> None:
        # A rate that nobody used is no start for a cut.
        used_per_s = min(throttle.rate_per_s, self.recent_rate_per_s(now_ns))
        least_per_s = SECOND / self.admitted_rate.span_ns / 2
        throttle.rate_per_s = max(used_per_s * (1 - unhealthy_fraction / 2), least_per_s)
        throttle.shift(max(1, (throttle.bank + throttle.buffer) // 4))

    def _after_healthy_period(self, throttle: Throttle, now_ns: int, is_silent: bool) -> str:
        # Guards against a jam that feeds itself while reads hang, and against an r far above what is used,
        # which limits nothing.
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
