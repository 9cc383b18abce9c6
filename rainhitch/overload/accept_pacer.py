"""Paces accepted connections so that new connections leave CPU time to requests in flight.

A token bucket limits accepts. Its fill rate follows the delay of the router's own timers: an interval with a
delayed timer multiplies the rate by `CUT_FACTOR`, an interval without one by `RAISE_FACTOR`. A connection
that is not accepted waits in the kernel's backlog until the bucket has refilled. The rate never falls below
its minimum, so the backlog is never starved. Without timer delays it is at its maximum: no accept waits.
"""

NS_PER_S = 1_000_000_000
DELAY_LIMIT_NS = NS_PER_S // 50  # a timer delay above this cuts the rate
ADJUST_INTERVAL_NS = NS_PER_S // 20  # least time between two changes of the rate
CUT_FACTOR = 0.6
RAISE_FACTOR = 1.15
BURST_S = 0.05  # the bucket holds the tokens of this time, and at least one


class AcceptPacer:
    """Paces accepts between `min_per_s` and `max_per_s` connections a second."""

    def __init__(self, min_per_s: float, max_per_s: float) -> None:
        self.min_per_s = min_per_s
        self.max_per_s = max_per_s
        self.rate_per_s = max_per_s
        self.tokens = max_per_s * BURST_S  # connections that may be accepted now
        self.filled_at_ns = 0
        self.adjusted_at_ns = 0
        self.max_delay_ns = 0  # largest timer delay since the last adjustment

    def record_delay(self, delay_ns: int) -> None:
        """Records by how many ns a timer of the router fired late."""
        self.max_delay_ns = max(self.max_delay_ns, delay_ns)

    def pause_after_accept_ns(self, now_ns: int) -> int:
        """Counts one accepted connection and returns the pause before the next accept, ns."""
        self._adjust_rate(now_ns)
        gained = (now_ns - self.filled_at_ns) * self.rate_per_s / NS_PER_S
        capacity = max(1.0, self.rate_per_s * BURST_S)
        self.tokens = min(self.tokens + gained, capacity) - 1
        self.filled_at_ns = now_ns
        if self.tokens >= 0:
            return 0
        return int((1 - self.tokens) * NS_PER_S / self.rate_per_s)

    def _adjust_rate(self, now_ns: int) -> None:
        if now_ns - self.adjusted_at_ns < ADJUST_INTERVAL_NS:
            return
        if self.max_delay_ns > DELAY_LIMIT_NS:
            self.rate_per_s = max(self.min_per_s, self.rate_per_s * CUT_FACTOR)
        else:
            self.rate_per_s = min(self.max_per_s, self.rate_per_s * RAISE_FACTOR)
        self.adjusted_at_ns = now_ns
        self.max_delay_ns = 0
