"""Rate measurement and rate limiting."""

import math

SECOND = 1_000_000_000  # ns
SMOOTHING = 1 / 8  # weight of the newest sample in a moving average


class DecayingRate:
    """Recent rate of events: a counter with exponential decay.

    `span_ns` is the time constant: an event of that age has a weight of e^-1.
    """

    __slots__ = ("decayed_events", "span_ns", "updated_at_ns")

    def __init__(self, span_ns: int, now_ns: int = 0) -> None:
        self.span_ns = span_ns
        self.decayed_events = 0.0
        self.updated_at_ns = now_ns

    def add(self, now_ns: int, events: float = 1.0) -> None:
        """Counts `events` events; 0 only applies the decay."""
        decay = math.exp((self.updated_at_ns - now_ns) / self.span_ns)
        self.decayed_events = self.decayed_events * decay + events
        self.updated_at_ns = now_ns

    def per_second(self, now_ns: int) -> float:
        """Returns the rate at this time, in events per second."""
        decay = math.exp((self.updated_at_ns - now_ns) / self.span_ns)
        return self.decayed_events * decay * SECOND / self.span_ns


class TokenBucket:
    """Token bucket whose refill rate and capacity are given with each use.

    It starts with one token.
    """

    __slots__ = ("refilled_at_ns", "tokens")

    def __init__(self) -> None:
        self.tokens = 1.0
        self.refilled_at_ns = 0

    def take(self, now_ns: int, rate_per_s: float, capacity: float) -> bool:
        """Refills the bucket and takes one token; returns whether there was one.

        The capacity is at least one token.
        """
        refill = rate_per_s * (now_ns - self.refilled_at_ns) / SECOND
        self.tokens = min(self.tokens + refill, max(1.0, capacity))
        self.refilled_at_ns = now_ns
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
