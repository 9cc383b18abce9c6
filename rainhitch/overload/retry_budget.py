"""Retry budget: the router's own retries are limited to a fraction of its first attempts.

Without a budget, servers in trouble see their load multiplied by the retries of those that use them. In any
span of time the retries are at most `retry_fraction` of the first attempts in it and in the
`DEPOSIT_LIFETIME_NS` before it, and `min_retries_per_s` a second. It is a token bucket that first attempts
and time fill; its capacity is what `DEPOSIT_LIFETIME_NS` fills.

Sources: Finagle's RetryBudget, whose TTL of 10 s is the bucket's bound here; Envoy's retry budgets, which
limit retries in flight, not retries sent.
"""

from collections import deque
from dataclasses import dataclass

NS_PER_S = 1_000_000_000
DEPOSIT_LIFETIME_NS = 10 * NS_PER_S  # older first attempts pay for no retry
INITIAL_FILL_S = 1.0  # a new bucket holds what `min_retries_per_s` gives in this time


@dataclass(slots=True)
class FirstAttempts:
    """First attempts of one second of the clock."""

    second: int
    count: int


class RetryBudget:
    """Budget of retries: `retry_fraction` for each first attempt, and `min_retries_per_s` in any case."""

    def __init__(self, retry_fraction: float, min_retries_per_s: float) -> None:
        self.retry_fraction = retry_fraction
        self.min_retries_per_s = min_retries_per_s
        self.tokens = min_retries_per_s * INITIAL_FILL_S  # retries that may be sent now
        self.filled_at_ns = -1  # below 0: never filled
        self.first_attempts: deque[FirstAttempts] = deque()  # the earliest second first
        self.recent_first_attempts = 0  # their sum
        self.denied = 0  # retries that were not allowed, since the start

    def record_first_attempt(self, now_ns: int) -> None:
        """Counts a first attempt, which pays for `retry_fraction` of a retry."""
        self._fill(now_ns)
        second = now_ns // NS_PER_S
        self.recent_first_attempts += 1
        if self.first_attempts and self.first_attempts[-1].second == second:
            self.first_attempts[-1].count += 1
        else:
            self.first_attempts.append(FirstAttempts(second, 1))
        self.tokens = min(self.tokens + self.retry_fraction, self._capacity())

    def try_spend(self, now_ns: int) -> bool:
        """Returns whether one more retry may be sent now; it is counted if so."""
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
        """Returns how many tokens the bucket holds at most."""
        self._expire_first_attempts()
        from_time = self.min_retries_per_s * DEPOSIT_LIFETIME_NS / NS_PER_S
        return from_time + self.recent_first_attempts * self.retry_fraction

    def _expire_first_attempts(self) -> None:
        """Forgets the first attempts older than `DEPOSIT_LIFETIME_NS`, counted by the second."""
        last_expired = self.filled_at_ns // NS_PER_S - DEPOSIT_LIFETIME_NS // NS_PER_S
        while self.first_attempts and self.first_attempts[0].second <= last_expired:
            self.recent_first_attempts -= self.first_attempts.popleft().count
