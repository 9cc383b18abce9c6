"""Berger's rate-control throttle, and the monitor that turns it on and sets its rate."""

import math

from rainhitch.policy.pending_request import PendingRequest
from rainhitch.policy.rates import SECOND, DecayingRate

LEAST_TOTAL = 10  # Berger: from C_J + C_T = 10 on, output hardly feels arrival rates above r
FEW_TOKENS = 2  # what a throttle turned on starts with, so that it acts at once
RISE = 1 / 4  # part of its first r that r rises by in a healthy period
CALM_PERIODS = 8  # healthy periods with a full bank before the throttle goes off
ENOUGH = 4  # likely misses whose fate tells a healthy origin
TAIL = 1 / 16  # part of its likely misses that even a healthy origin may answer slowly


class Throttle:
    """Berger's bank and buffer as one signed level: tokens above 0, waiting jobs below."""

    __slots__ = ("bank", "buffer", "last", "level", "queue", "rate")

    def __init__(self, now: int, rate: float, total: int) -> None:
        self.rate, self.last = rate, now
        self.bank = self.level = FEW_TOKENS
        self.buffer = max(total, LEAST_TOTAL) - FEW_TOKENS
        self.queue: dict[str, PendingRequest] = {}

    def refill(self, now: int) -> list[PendingRequest]:
        """Takes the tokens due by now; gives the waiting jobs they free, first come first."""
        tokens = int((now - self.last) * self.rate / SECOND)
        if tokens < 1:
            return []
        self.last += math.ceil(tokens * SECOND / self.rate)
        freed = list(self.queue)[:tokens] if self.level < 0 else []
        self.level = min(self.level + tokens, self.bank)  # a full bank loses the rest
        return [self.queue.pop(name) for name in freed]

    def offer(self, job: PendingRequest) -> bool | None:
        """True: the job spent a token. None: it waits. False: it is refused."""
        if self.level > 0:
            self.level -= 1
            return True
        if -self.level >= self.buffer:
            return False
        self.level -= 1
        self.queue[job.request.id] = job
        return None

    def leave(self, job: PendingRequest) -> bool:
        """Takes a waiting job out of the buffer."""
        if self.queue.pop(job.request.id, None) is None:
            return False
        self.level += 1
        return True

    def wait_for(self, place: int) -> int:
        """How long until the job at this place in the buffer gets its token."""
        return max(0, math.ceil(place * SECOND / self.rate))

    def shift(self, places: int) -> None:
        """Buffer places become bank places; whoever waits keeps its place."""
        self.bank, self.buffer = self.bank + min(places, self.buffer), max(0, self.buffer - places)


class OriginMonitor:
    """Turns the throttle on and off and sets r by how likely misses fare."""

    def __init__(self, period: int) -> None:
        self.period = period
        self.spent = DecayingRate(8 * period)
        self.throttle: Throttle | None = None
        self.good = self.bad = self.calm = 0
        self.cut_at, self.born = 0, -1

    def recent(self, now: int) -> float:
        """The recent likely-miss rate. Guards against a restart: a short past is no sign of a low rate."""
        return self.spent.per_second(now) / -math.expm1((self.born - now) / self.spent.span_ns)

    def note(self, healthy: bool, sent: int) -> None:
        """Counts a likely miss's fate, unless sent before the last cut: one jam is not cut for twice."""
        self.good += healthy and sent >= self.cut_at
        self.bad += not healthy and sent >= self.cut_at

    def step(self, now: int, pending: bool) -> str:
        """Once a period: a bad share of half or more halves r, none raises it. Gives a line to log."""
        seen, silent = self.good + self.bad, pending and not self.good
        # Guards against false alarms: more are bad than the slow tail of a healthy origin gives by chance.
        sick = self.bad > max(1.0, seen * TAIL + 2 * math.sqrt(seen * TAIL))
        share = self.bad / max(1, seen)
        # Guards against a router that sees few misses: evidence is kept until there is enough.
        if sick or seen >= ENOUGH:
            self.good = self.bad = 0
        throttle = self.throttle
        if sick:
            self.calm, self.cut_at = 0, now
        elif throttle is None:
            return ""
        if throttle is None:
            rate = max(self.recent(now), SECOND / self.spent.span_ns)
            self.throttle = Throttle(now, rate, int(rate * self.period / SECOND))
            return f"throttle on: {rate:.0f} likely misses/s"
        if sick:
            rate = min(throttle.rate, self.recent(now))  # an r nobody used is no start for a cut
            throttle.rate = max(rate * (1 - share / 2), SECOND / self.spent.span_ns / 2)
            throttle.shift(max(1, (throttle.bank + throttle.buffer) // 4))
            return ""
        # Guards against a jam that feeds itself, while reads hang, and against an r that is no limit.
        if not silent and throttle.rate < 2 * self.recent(now):
            throttle.rate += throttle.rate * RISE
        self.calm = self.calm + 1 if throttle.level >= throttle.bank else 0
        if self.calm < CALM_PERIODS:
            return ""
        self.throttle = None
        return "throttle off"
