"""The router's own retries: a share of first tries, so that a fleet in trouble never sees its load
multiplied.

In any span of time the retries are at most `share` times the first tries in it and in the `KEPT` before, and
`least` a second: a bank that first tries and time fill, and that holds what KEPT fills. As Finagle's
RetryBudget (its TTL of 10 s is the bank's bound) and Envoy's retry budgets, which count what is out rather
than what is sent.
"""

SECOND = 1_000_000_000
KEPT = 10 * SECOND  # ns of deposits that the bank holds
START = 1.0  # s of the least that a new bank holds


class RetryBudget:
    """`share` is retries for each first try; `least` is retries a second that are always allowed."""

    def __init__(self, share: float, least: float) -> None:
        self.share, self.least = share, least
        self.tokens = least * START
        self.at = -1
        self.firsts: list[int] = []
        self.refused = 0  # retries that were not allowed, since the start

    def _fill(self, now: int) -> None:
        if self.at >= 0:
            self.tokens += max(0, now - self.at) * self.least / SECOND
        self.at = max(now, self.at)
        self.tokens = min(self.tokens, self.most)

    @property
    def most(self) -> float:
        """Tokens that the bank holds at most."""
        return self.least * KEPT / SECOND + self._lately() * self.share

    def _lately(self) -> float:
        """First tries within KEPT, counted by the second."""
        first = self.at // SECOND - KEPT // SECOND
        while self.firsts and self.firsts[0] <= first:
            del self.firsts[:2]
        return float(sum(self.firsts[1::2]))

    def first(self, now: int) -> None:
        """A first try."""
        self._fill(now)
        second = now // SECOND
        if self.firsts and self.firsts[-2] == second:
            self.firsts[-1] += 1
        else:
            self.firsts += [second, 1]
        self.tokens = min(self.tokens + self.share, self.most)

    def spend(self, now: int) -> bool:
        """Whether one more retry may go; it is counted if it may."""
        self._fill(now)
        if self.tokens < 1:
            self.refused += 1
            return False
        self.tokens -= 1
        return True
