"""How much is admitted at once: a limit on what is in work at the cache servers that follows what they do
in time.

AIMD on lateness. In each period the answers that came within their aim are weighed against those that
came later, not at all, or found a full server. A bad part beyond TOLERATED cuts the limit, once for what was
admitted before the last cut; a good period in which somebody was turned from it raises it.
docs/design/storms.md tells why not by gradient, by CoDel or by a queue's age alone.

Lanes share the limit as DAGOR's priorities do, by how far each may fill it: work beyond a customer's
share stops first, then reads, then who kept an appointment, then orders. Floors stand beside the lanes: while
first tries and retries both come, neither fills more than what leaves the other FLOOR of the limit.
"""

from collections import deque
from enum import IntEnum

SECOND = 1_000_000_000
TOLERATED = 0.1  # part of a period's ends that may be bad
LEAST_ENDS = 4  # in a period, to judge by
RISE = 1 / 8  # of the limit, in a good period that used it
PROBE = 1 / 2  # the same from a storm's begin to its first cut: the fleet may take far more than was asked
ROOM = 4.0  # times what was in work at most in calm, that a storm begins with
WANTED = SECOND  # ns for which a kind that came is held to come still


class Lane(IntEnum):
    """Who goes first when not all can; the number is the order in which they stop."""

    SHED = 0  # beyond its customer's share, or back before its time
    READ = 1
    KEPT = 2  # a read that came back when it was told to
    ORDER = 3


FILLS = {Lane.SHED: 0.5, Lane.READ: 0.85, Lane.KEPT: 0.95, Lane.ORDER: 1.0}


class AdaptiveConcurrencyLimit:
    """The limit, and what is in work under it. `least` is the limit's own floor, in requests; `floor` the
    part that first tries and retries each keep; `period` in ns."""

    def __init__(self, period: int, least: int, floor: float) -> None:
        self.period, self.least, self.floor = period, float(least), floor
        self.limit = float(least)
        self.work = [0, 0]  # in work: first tries, retries
        self.wanted = [-WANTED, -WANTED]  # when each last came
        self.peak = 0  # most in work in this period
        self.peaks: deque[int] = deque(maxlen=32)  # of calm periods
        self.good = self.bad = 0
        self.cut_at = self.stepped = 0
        self.turned = 0  # not admitted in this period: the limit is in use
        self.probing = True

    @property
    def in_work(self) -> int:
        return self.work[0] + self.work[1]

    def admits(self, now: int, lane: Lane, retry: bool) -> bool:
        """Whether one more may be taken into work."""
        admitted = self._admits(now, lane, retry)
        self.turned += not admitted
        return admitted

    def _admits(self, now: int, lane: Lane, retry: bool) -> bool:
        self.wanted[retry] = now
        most = self.limit * FILLS[lane]
        if now - self.wanted[not retry] < WANTED:
            # Guards first tries against a flood of retries, and the other way round.
            if self.work[retry] + 1 > self.limit * (1 - self.floor):
                return False
            if self.work[retry] + 1 <= self.limit * self.floor and lane is not Lane.SHED:
                return self.in_work < self.limit * (1 + self.floor)
        return self.in_work + 1 <= most

    def began(self, retry: bool) -> None:
        self.work[retry] += 1
        self.peak = max(self.peak, self.in_work)

    def ended(self, retry: bool) -> None:
        self.work[retry] -= 1

    def note(self, good: bool, began: int) -> None:
        """How one that was in work since then came out; what began before the last cut tells nothing new."""
        if began >= self.cut_at:
            if good:
                self.good += 1
            else:
                self.bad += 1

    def step(self, now: int, binding: bool) -> None:
        """Once a period. While it does not bind, the limit is what has lately been in work and fared well."""
        if now - self.stepped < self.period:
            return
        self.stepped = now
        ends = self.good + self.bad
        if not binding:
            if self.bad <= TOLERATED * max(ends, LEAST_ENDS):
                self.peaks.append(self.peak)
            self.limit = max(self.least, ROOM * max(self.peaks, default=0))
            self.good = self.bad = 0
            self.probing = True
        elif ends >= LEAST_ENDS:
            share = self.bad / ends
            if share > TOLERATED:
                self.limit = max(self.least, min(self.limit, float(self.peak)) * (1 - share / 2))
                self.cut_at, self.probing = now, False
            elif self.turned:
                self.limit += max(1.0, self.limit * (PROBE if self.probing else RISE))
            self.good = self.bad = self.turned = 0
        self.peak = self.in_work
