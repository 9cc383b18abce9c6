"""The pace at which connections are accepted, so that newcomers leave time for requests in work.

A bucket of accepts, filled at a rate that follows the router's own lateness: a late turn cuts it by CUT,
each period in time raises it. What is not accepted stays in the system's backlog, and is taken up when the
bucket has filled again: the rate never falls below `least`, so that the backlog is not starved. In calm the
rate stands at `most`, and nothing waits.
"""

SECOND = 1_000_000_000
LATE = SECOND // 50  # ns of lateness from which newcomers have to wait
PERIOD = SECOND // 20  # ns between two changes of the rate
CUT, RISE = 0.6, 1.15
BURST = 0.05  # s of the rate that may be accepted at once


class AcceptPacer:
    """Accepts a second, between `least` and `most`."""

    def __init__(self, least: float, most: float) -> None:
        self.least, self.most = least, most
        self.rate = most
        self.tokens = most * BURST
        self.at = self.changed = 0
        self.late = 0

    def noted(self, late: int) -> None:
        """How late an alarm of the router was, ns."""
        self.late = max(self.late, late)

    def accepted(self, now: int) -> int:
        """One more was accepted; gives for how long to accept no further ones, ns."""
        self._change(now)
        self.tokens = min(self.tokens + (now - self.at) * self.rate / SECOND, max(1.0, self.rate * BURST)) - 1
        self.at = now
        return 0 if self.tokens >= 0 else int((1 - self.tokens) * SECOND / self.rate)

    def _change(self, now: int) -> None:
        if now - self.changed >= PERIOD:
            cut = self.late > LATE
            self.rate = max(self.least, self.rate * CUT) if cut else min(self.most, self.rate * RISE)
            self.changed, self.late = now, 0
