"""How often something happens, and how often it may."""

import math

SECOND = 1_000_000_000  # ns
SMOOTHING = 1 / 8  # weight of the newest sample in a moving average


class DecayingRate:
    """How often something happened lately: an event counter that decays exponentially.

    `span_ns` is the time after which an event counts e^-1.
    """

    __slots__ = ("decayed_events", "span_ns", "updated_at_ns")

    def __init__(self, span_ns: int, now_ns: int = 0) -> None:
        self.span_ns = span_ns
        self.decayed_events = 0.0
        self.updated_at_ns = now_ns

    def add(self, now_ns: int, events: float = 1.0) -> None:
        """Counts so many events; 0 brings the decay up to date."""
        decay = math.exp((self.updated_at_ns - now_ns) / self.span_ns)
        self.decayed_events = self.decayed_events * decay + events
        self.updated_at_ns = now_ns

    def per_second(self, now_ns: int) -> float:
        """The rate by now, in events a second."""
        decay = math.exp((self.updated_at_ns - now_ns) / self.span_ns)
        return self.decayed_events * decay * SECOND / self.span_ns


class TokenBucket:
    """Tokens that are refilled evenly, at a rate and up to a capacity given with each use.

    A bucket starts with one token.
    """

    __slots__ = ("refilled_at_ns", "tokens")

    def __init__(self) -> None:
        self.tokens = 1.0
        self.refilled_at_ns = 0

    def take(self, now_ns: int, rate_per_s: float, capacity: float) -> bool:
        """Refills the bucket and takes one token; whether there was one.

        The capacity is one token at least.
        """
        refill = rate_per_s * (now_ns - self.refilled_at_ns) / SECOND
        self.tokens = min(self.tokens + refill, max(1.0, capacity))
        self.refilled_at_ns = now_ns
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
