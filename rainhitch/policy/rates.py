"""How often something happens, and how often it may."""

import math

SECOND = 1_000_000_000
SMOOTHING = 1 / 8  # weight of the newest sample in a moving average


class Rate:
    """How often something happened lately, in events a second, with exponential forgetting."""

    __slots__ = ("at", "mass", "span")

    def __init__(self, span: int, now: int = 0) -> None:
        self.span, self.mass, self.at = span, 0.0, now

    def add(self, now: int, amount: float = 1.0) -> None:
        self.mass = self.mass * math.exp((self.at - now) / self.span) + amount
        self.at = now

    def per_second(self, now: int) -> float:
        return self.mass * math.exp((self.at - now) / self.span) * SECOND / self.span


class Bank:
    """Tokens refilled evenly at a rate given with each use; those that reach a full bank are lost."""

    __slots__ = ("at", "tokens")

    def __init__(self) -> None:
        self.tokens, self.at = 1.0, 0

    def take(self, now: int, rate: float, most: float) -> bool:
        self.tokens = min(self.tokens + rate * (now - self.at) / SECOND, max(1.0, most))
        self.at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
