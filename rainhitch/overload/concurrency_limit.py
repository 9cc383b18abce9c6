"""Adaptive concurrency limit: how many requests are in flight at the cache servers at once during a storm.

AIMD on late answers. In each period the good ends (answers within their time) are compared with the bad ones
(later answers, time-outs, full servers). A bad fraction over `TOLERATED_BAD_FRACTION` cuts the limit, once
for all that started before the last cut; a good period in which a request was rejected raises it.
docs/design/storms.md tells why neither a gradient, nor CoDel, nor the age of a queue alone is used.

Priorities share the limit as in DAGOR (Zhou and others, "Overload Control for Scaling WeChat Microservices",
2018): each may fill a fraction of it, so that the lowest is rejected first. Apart from them, while both first
attempts and retries arrive, each kind keeps `reserved_fraction` of the limit that the other cannot fill.
"""

from collections import deque
from dataclasses import dataclass
from enum import IntEnum

NS_PER_S = 1_000_000_000
TOLERATED_BAD_FRACTION = 0.1  # of a period's ends
MIN_ENDS_TO_JUDGE = 4  # in a period; with fewer the limit stays
RAISE_FRACTION = 1 / 8  # of the limit, in a good period that used it
# The same between a storm's start and its first cut, when the capacity is not known yet and is searched for.
SEARCH_FRACTION = 1 / 2
INITIAL_FACTOR = 4.0  # a storm starts with this times the peak in flight of normal periods
NORMAL_PERIODS_REMEMBERED = 32  # peaks of these set the limit that a storm starts with
DEMAND_WINDOW_NS = NS_PER_S  # a kind of attempt counts as arriving for so long after its last arrival


class Priority(IntEnum):
    """Priority of a request under the limit; the lowest number is rejected first."""

    LOW = 0  # over its tenant's quota, or a retry before its Retry-After time
    READ = 1
    ON_TIME_RETRY = 2  # a read whose client came back at its Retry-After time
    WRITE = 3


LIMIT_FRACTION = {
    Priority.LOW: 0.5,
    Priority.READ: 0.85,
    Priority.ON_TIME_RETRY: 0.95,
    Priority.WRITE: 1.0,
}


@dataclass(slots=True)
class AttemptKind:
    """First attempts, or retries, under the limit."""

    in_flight: int = 0
    last_arrival_ns: int = -DEMAND_WINDOW_NS


class AdaptiveConcurrencyLimit:
    """The limit and what is in flight under it, in requests.

    `period_ns` is the time between two adjustments, `min_limit` the least limit, `reserved_fraction` the part
    of the limit that first attempts and retries each keep.
    """

    def __init__(self, period_ns: int, min_limit: int, reserved_fraction: float) -> None:
        self.period_ns = period_ns
        self.min_limit = float(min_limit)
        self.reserved_fraction = reserved_fraction
        self.limit = float(min_limit)
        self.first_attempts = AttemptKind()
        self.retries = AttemptKind()
        self.peak_in_flight = 0  # in this period
        self.normal_peaks: deque[int] = deque(maxlen=NORMAL_PERIODS_REMEMBERED)
        self.good_ends = 0  # in this period, as `bad_ends`
        self.bad_ends = 0
        self.rejected = 0  # since the last judged period: above 0, the limit is in use
        self.cut_at_ns = 0
        self.adjusted_at_ns = 0
        self.is_searching = True  # no cut yet in this storm

    @property
    def in_flight(self) -> int:
        """Requests in flight, first attempts and retries."""
        return self.first_attempts.in_flight + self.retries.in_flight

    def try_admit(self, now_ns: int, priority: Priority, is_retry: bool) -> bool:
        """Returns whether one more request of this priority fits under the limit.

        Counts the arrival of its kind, and the rejection where it does not fit.
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
            # Guards first attempts against a flood of retries, and retries against a flood of first attempts:
            # the kind that came first, and in numbers, filled the limit and the other was rejected
            # throughout.
            in_flight_of_kind = kind.in_flight + 1
            if in_flight_of_kind > self.limit * (1 - self.reserved_fraction):
                return False
            if in_flight_of_kind <= self.limit * self.reserved_fraction and priority is not Priority.LOW:
                return self.in_flight < self.limit * (1 + self.reserved_fraction)
        return self.in_flight + 1 <= self.limit * LIMIT_FRACTION[priority]

    def _kind(self, is_retry: bool) -> AttemptKind:
        return self.retries if is_retry else self.first_attempts

    def attempt_started(self, is_retry: bool) -> None:
        """Counts an attempt as in flight."""
        self._kind(is_retry).in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)

    def attempt_ended(self, is_retry: bool) -> None:
        """Counts an attempt as no longer in flight."""
        self._kind(is_retry).in_flight -= 1

    def record_end(self, is_good: bool, started_at_ns: int) -> None:
        """Records how an attempt ended.

        One that started before the last cut is left out: it does not show what the cut brought.
        """
        if started_at_ns < self.cut_at_ns:
            return
        if is_good:
            self.good_ends += 1
        else:
            self.bad_ends += 1

    def step(self, now_ns: int, is_limiting: bool) -> None:
        """Adjusts the limit once a period.

        `is_limiting`: a storm is on, and requests that do not fit under the limit are rejected.
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
        """Sets the limit that a storm would start with, from the peaks of periods without late answers."""
        ends = self.good_ends + self.bad_ends
        if self.bad_ends <= TOLERATED_BAD_FRACTION * max(ends, MIN_ENDS_TO_JUDGE):
            self.normal_peaks.append(self.peak_in_flight)
        self.limit = max(self.min_limit, INITIAL_FACTOR * max(self.normal_peaks, default=0))
        self.good_ends = 0
        self.bad_ends = 0
        self.is_searching = True

    def _adjust_in_storm(self, now_ns: int) -> None:
        """Cuts the limit by half the bad fraction (multiplicative decrease), or raises it."""
        ends = self.good_ends + self.bad_ends
        if ends < MIN_ENDS_TO_JUDGE:
            return
        bad_fraction = self.bad_ends / ends
        if bad_fraction > TOLERATED_BAD_FRACTION:
            in_use = min(self.limit, float(self.peak_in_flight))
            self.limit = max(self.min_limit, in_use * (1 - bad_fraction / 2))
            self.cut_at_ns = now_ns
            self.is_searching = False
        elif self.rejected:
            fraction = SEARCH_FRACTION if self.is_searching else RAISE_FRACTION
            self.limit += max(1.0, self.limit * fraction)
        self.good_ends = 0
        self.bad_ends = 0
        self.rejected = 0
