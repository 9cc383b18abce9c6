"""Adaptive concurrency limit: the number of requests in flight at the cache servers at once during a storm.

The limit is adjusted by the outcomes of attempts: it is cut by a multiplicative decrease, and raised by a
fraction of itself. An answer in time is a good outcome; a late answer, a time-out or a full server is a bad
one. A period whose fraction of bad outcomes exceeds `TOLERATED_BAD_FRACTION` cuts the limit. Attempts that
started before the last cut are not counted, so that one overload causes one cut. A good period in which a
request was rejected raises the limit. docs/design/storms.md explains why neither a gradient, nor CoDel, nor
the age of a queue alone is used.

Priorities share the limit as in DAGOR (Zhou et al., "Overload Control for Scaling WeChat Microservices",
2018): each priority may fill a fraction of the limit, so the lowest is rejected first. Independently of
priorities, `reserved_fraction` of the limit is reserved for first attempts, and as much for retries, while
both arrive.
"""

from collections import deque
from dataclasses import dataclass
from enum import IntEnum

NS_PER_S = 1_000_000_000
TOLERATED_BAD_FRACTION = 0.1  # fraction of a period's outcomes that may be bad without a cut
MIN_OUTCOMES_TO_ADJUST = 4  # a period with fewer outcomes does not change the limit
RAISE_FRACTION = 1 / 8  # increase of the limit, as a fraction of it, after a good period that used it up
# RAISE_FRACTION from a storm's start to its first cut, while the capacity is unknown and searched for.
SEARCH_FRACTION = 1 / 2
INITIAL_FACTOR = 4.0  # a storm starts with a limit of this times the normal peak of requests in flight
NORMAL_PERIODS_REMEMBERED = 32  # number of normal periods whose peaks set the limit at a storm's start
DEMAND_WINDOW_NS = NS_PER_S  # a kind of attempt counts as arriving for this time after its last arrival


class Priority(IntEnum):
    """Priority of a request under the limit; the lowest number is rejected first."""

    LOW = 0  # a request over its tenant's quota, or a read retried before its Retry-After time
    READ = 1
    ON_TIME_RETRY = 2  # a read that is retried at its Retry-After time
    WRITE = 3


LIMIT_FRACTION = {
    Priority.LOW: 0.5,
    Priority.READ: 0.85,
    Priority.ON_TIME_RETRY: 0.95,
    Priority.WRITE: 1.0,
}


@dataclass(slots=True)
class AttemptKind:
    """State of one kind of attempt under the limit: first attempts or retries."""

    in_flight: int = 0
    last_arrival_ns: int = -DEMAND_WINDOW_NS


class AdaptiveConcurrencyLimit:
    """The concurrency limit and the number of requests in flight under it.

    `period_ns` is the time between two adjustments, `min_limit` the lower bound of the limit, and
    `reserved_fraction` the fraction of the limit that is reserved for first attempts and for retries each.
    """

    def __init__(self, period_ns: int, min_limit: int, reserved_fraction: float) -> None:
        self.period_ns = period_ns
        self.min_limit = float(min_limit)
        self.reserved_fraction = reserved_fraction
        self.limit = float(min_limit)
        self.first_attempts = AttemptKind()
        self.retries = AttemptKind()
        self.peak_in_flight = 0  # most requests in flight in the current period
        self.normal_peaks: deque[int] = deque(maxlen=NORMAL_PERIODS_REMEMBERED)
        self.good_outcomes = 0  # good outcomes in the current period
        self.bad_outcomes = 0  # bad outcomes in the current period
        self.rejected = 0  # rejections since the last judged period; above 0, the limit was used up
        self.cut_at_ns = 0
        self.adjusted_at_ns = 0
        self.is_searching = True  # there was no cut yet in this storm

    @property
    def in_flight(self) -> int:
        """Number of requests in flight, first attempts and retries together."""
        return self.first_attempts.in_flight + self.retries.in_flight

    def try_admit(self, now_ns: int, priority: Priority, is_retry: bool) -> bool:
        """Returns whether one more request of this priority and kind of attempt fits under the limit.

        Records the arrival of the kind of attempt, and counts a rejection if the request does not fit.
        """
        admitted = self._fits(now_ns, priority, is_retry)
        if not admitted:
            self.rejected += 1
        return admitted

    def _fits(self, now_ns: int, priority: Priority, is_retry: bool) -> bool:
        kind = self._kind(is_retry)
        other = self._kind(not is_retry)
        kind.last_arrival_ns = now_ns
        if now_ns - other.last_arrival_ns < DEMAND_WINDOW_NS:
            # Guards first attempts against a flood of retries, and retries against a flood of first attempts.
            # Without it the kind that arrives first in large numbers fills the limit and the other starves.
            in_flight_of_kind = kind.in_flight + 1
            if in_flight_of_kind > self.limit * (1 - self.reserved_fraction):
                return False
            if in_flight_of_kind <= self.limit * self.reserved_fraction and priority is not Priority.LOW:
                return self.in_flight < self.limit * (1 + self.reserved_fraction)
        return self.in_flight + 1 <= self.limit * LIMIT_FRACTION[priority]

    def _kind(self, is_retry: bool) -> AttemptKind:
        return self.retries if is_retry else self.first_attempts

    def attempt_started(self, is_retry: bool) -> None:
        """Counts an attempt that is now in flight."""
        self._kind(is_retry).in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)

    def attempt_ended(self, is_retry: bool) -> None:
        """Removes an attempt that has ended from the number in flight."""
        self._kind(is_retry).in_flight -= 1

    def record_outcome(self, is_good: bool, started_at_ns: int) -> None:
        """Records the outcome of an attempt.

        An attempt that started before the last cut is ignored: its outcome does not show the cut's effect.
        """
        if started_at_ns < self.cut_at_ns:
            return
        if is_good:
            self.good_outcomes += 1
        else:
            self.bad_outcomes += 1

    def step(self, now_ns: int, is_limiting: bool) -> None:
        """Adjusts the limit once per period.

        `is_limiting` is true during a storm in which requests that do not fit under the limit are rejected.
        """
        if now_ns - self.adjusted_at_ns < self.period_ns:
            return
        self.adjusted_at_ns = now_ns
        if is_limiting:
            self._adjust_in_storm(now_ns)
        else:
            self._follow_normal_load()
        self.peak_in_flight = self.in_flight

    def _follow_normal_load(self) -> None:
        """Sets the limit that a storm would start with from the peaks of normal periods without overload."""
        outcomes = self.good_outcomes + self.bad_outcomes
        if self.bad_outcomes <= TOLERATED_BAD_FRACTION * max(outcomes, MIN_OUTCOMES_TO_ADJUST):
            self.normal_peaks.append(self.peak_in_flight)
        self.limit = max(self.min_limit, INITIAL_FACTOR * max(self.normal_peaks, default=0))
        self.good_outcomes = 0
        self.bad_outcomes = 0
        self.is_searching = True

    def _adjust_in_storm(self, now_ns: int) -> None:
        """Cuts the limit by half the fraction of bad outcomes, or raises it if it was used up."""
        outcomes = self.good_outcomes + self.bad_outcomes
        if outcomes < MIN_OUTCOMES_TO_ADJUST:
            return
        bad_fraction = self.bad_outcomes / outcomes
        if bad_fraction > TOLERATED_BAD_FRACTION:
            in_use = min(self.limit, float(self.peak_in_flight))
            self.limit = max(self.min_limit, in_use * (1 - bad_fraction / 2))
            self.cut_at_ns = now_ns
            self.is_searching = False
        elif self.rejected:
            fraction = SEARCH_FRACTION if self.is_searching else RAISE_FRACTION
            self.limit += max(1.0, self.limit * fraction)
        self.good_outcomes = 0
        self.bad_outcomes = 0
        self.rejected = 0
