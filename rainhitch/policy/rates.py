"""How often something happens, and how often it may."""

import math

SECOND = 1_000_000_000
SMOOTHING = 1 / 8  # weight of the newest sample in a moving average


class DecayingRate:
    """How often something happened lately, in events a second, with exponential forgetting."""

    __slots__ = ("mass", "span_ns", "updated_at_ns")

    def __init__(self, span: int, now: int = 0) -> None:
        self.span_ns, self.mass, self.updated_at_ns = span, 0.0, now

    def add(self, now: int, amount: float = 1.0) -> None:
        self.mass = self.mass * math.exp((self.updated_at_ns - now) / self.span_ns) + amount
        self.updated_at_ns = now

    def per_second(self, now: int) -> float:
        return self.mass * math.exp((self.updated_at_ns - now) / self.span_ns) * SECOND / self.span_ns


class TokenBucket:
    """Tokens refilled evenly at a rate given with each use; those that reach a full bank are lost."""

    __slots__ = ("refilled_at_ns", "tokens")

    def __init__(self) -> None:
        self.tokens, self.refilled_at_ns = 1.0, 0

    def take(self, now: int, rate: float, most: float) -> bool:
        self.tokens = min(self.tokens + rate * (now - self.refilled_at_ns) / SECOND, max(1.0, most))
        self.refilled_at_ns = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
