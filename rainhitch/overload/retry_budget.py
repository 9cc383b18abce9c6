"""Retry budget: limits the router's own retries to a fraction of its first attempts.

Without a budget, the retries of its clients multiply the load of an overloaded server. In any span of time
the number of retries is at most `retry_fraction` of the first attempts in the span and in the
`DEPOSIT_LIFETIME_NS` before it, plus `min_retries_per_s` for each second of both. It is a token bucket that
first attempts and time fill; its capacity is what they add in `DEPOSIT_LIFETIME_NS`.

Sources: Finagle's RetryBudget, whose TTL of 10 s is the bucket's bound here; Envoy's retry budgets, which
limit the retries in flight and not the retries sent.
"""

from collections import deque
from dataclasses import dataclass

NS_PER_S = 1_000_000_000
DEPOSIT_LIFETIME_NS = 10 * NS_PER_S  # older first attempts no longer allow retries
INITIAL_FILL_S = 1.0  # a new bucket holds the tokens that `min_retries_per_s` adds in this time


@dataclass(slots=True)
class FirstAttempts:
    """Number of first attempts in one second of the clock."""

    second: int
    count: int


class RetryBudget:
    """Budget of `retry_fraction` retries per first attempt, plus `min_retries_per_s` in any case."""

    def __init__(self, retry_fraction: float, min_retries_per_s: float) -> None:
        self.retry_fraction = retry_fraction
        self.min_retries_per_s = min_retries_per_s
        self.tokens = min_retries_per_s * INITIAL_FILL_S  # retries that may be sent now
        self.filled_at_ns = -1  # below 0 if the bucket was never filled
        self.first_attempts: deque[FirstAttempts] = deque()  # one entry per second, in order
        self.recent_first_attempts = 0  # sum of the counts in `first_attempts`
        self.denied = 0  # retries denied since the start

    def record_first_attempt(self, now_ns: int) -> None:
        """Counts a first attempt, which adds `retry_fraction` tokens."""
        self._fill(now_ns)
        second = now_ns // NS_PER_S
        self.recent_first_attempts += 1
        if self.first_attempts and self.first_attempts[-1].second == second:
            self.first_attempts[-1].count += 1
        else:
            self.first_attempts.append(FirstAttempts(second, 1))
        self.tokens = min(self.tokens + self.retry_fraction, self._capacity())

    def try_spend(self, now_ns: int) -> bool:
        """Returns whether one more retry may be sent now, and takes a token for it if so."""
        self._fill(now_ns)
        if self.tokens < 1:
            self.denied += 1
            return False
        self.tokens -= 1
        return True

    def _fill(self, now_ns: int) -> None:
        if self.filled_at_ns >= 0:
            self.tokens += max(0, now_ns - self.filled_at_ns) * self.min_retries_per_s / NS_PER_S
        self.filled_at_ns = max(now_ns, self.filled_at_ns)
        self.tokens = min(self.tokens, self._capacity())

    def _capacity(self) -> float:
        """Returns the maximum number of tokens in the bucket."""
        self._expire_first_attempts()
        from_time = self.min_retries_per_s * DEPOSIT_LIFETIME_NS / NS_PER_S
        return from_time + self.recent_first_attempts * self.retry_fraction

    def _expire_first_attempts(self) -> None:
        """Removes the first attempts older than `DEPOSIT_LIFETIME_NS`, to the second."""
        last_expired = self.filled_at_ns // NS_PER_S - DEPOSIT_LIFETIME_NS // NS_PER_S
        while self.first_attempts and self.first_attempts[0].second <= last_expired:
            self.recent_first_attempts -= self.first_attempts.popleft().count
