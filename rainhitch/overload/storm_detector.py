"""Tells a storm from an ordinary peak, by what it is made of, and sees its end.

Theory. A peak is more of the usual: more first tries on the connections that are there. A storm feeds on
itself: connections that were just there come anew, tries that were just refused come again, and what comes
has little time left. Each sign is a ratio of what is seen to what would be a storm's by itself, cut at
MOST, and their sum decides, so that no sign alone makes a storm:

    connects   a second, against a quarter of the connections usually open, and 3 times the usual pace
    retries    part of the arrivals that are marked, known again, or bring an order seen before
    hurried    part of the arrivals with little of their time left
    arrivals   a second, against 3 times the usual: this one a peak has too
    lateness   of the router's own alarms

    calm --sum >= BEGINS--> storm --sum < ENDS for CALM periods in a row--> calm

What is usual is learned while calm, slowly. A router that has just started knows nothing usual: how many
come is no sign to it, and a sum of the others is a storm all the same.
"""

from dataclasses import dataclass

SECOND = 1_000_000_000
PERIOD = SECOND // 4  # ns
# What each sign counts for at most: none makes a storm alone, and a peak's own the least.
MOST = {"connects": 2.0, "retries": 1.5, "hurried": 1.0, "arrivals": 0.5, "lateness": 1.0}
BEGINS, ENDS = 2.25, 1.0
CALM = 4  # periods
FEW = 5  # arrivals in a period, below which parts of them tell nothing
CONNECTS, CONNECTS_PART, CONNECTS_TIMES = 50.0, 0.25, 3.0
RETRIES, HURRIED = 0.5, 0.3
ARRIVALS, ARRIVALS_TIMES = 40.0, 3.0
LATENESS = SECOND // 20
SLOWLY = 1 / 40  # weight of a calm period in what is usual: 10 s
KNOWN = 8  # calm periods after which it is known what number of arrivals is usual


@dataclass(slots=True)
class Counts:
    """What came in a span of time."""

    connects: int = 0
    arrivals: int = 0
    retries: int = 0
    hurried: int = 0
    refused: int = 0
    served: int = 0
    turned_away: int = 0
    late: int = 0  # ns, the most

    def add(self, other: "Counts") -> None:
        for name in ("connects", "arrivals", "retries", "hurried", "refused", "served", "turned_away"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.late = max(self.late, other.late)


class RetryStormDetector:
    """Counts what comes; `step` once a period says whether a storm has begun or ended, in a line."""

    def __init__(self) -> None:
        self.now_counts, self.storm = Counts(), False
        self.whole = Counts()  # of the storm
        self.open = 0  # connections
        self.usual_open = self.usual_connects = self.usual_arrivals = 0.0
        self.since = self.stepped = 0
        self.calm = self.learned = 0  # calm periods: in a row within a storm; learned from
        self.signs: dict[str, float] = {}
        self.excused = 0  # until then connects and lateness are no signs, ns

    @property
    def level(self) -> float:
        """The sum of the signs in the last period."""
        return sum(self.signs.values())

    def step(self, now: int) -> str:
        """Judges the period that ends now; gives a line for the operators where a storm begins or ends."""
        if not self.stepped:
            self.stepped = now
        span = now - self.stepped
        if span < PERIOD:
            return ""
        self.stepped = now
        seen, self.now_counts = self.now_counts, Counts()
        self.signs = self._signs(seen, span / SECOND)
        if now < self.excused:
            self.signs |= {"connects": 0.0, "lateness": 0.0}
        if self.storm:
            self.whole.add(seen)
            self.calm = self.calm + 1 if self.level < ENDS else 0
            if self.calm < CALM:
                return ""
            self.storm = False
            return f"storm over after {(now - self.since) / SECOND:.1f} s: {self._figures(self.whole)}"
        if self.level < BEGINS:
            self._learn(seen, span / SECOND)
            return ""
        self.storm, self.since, self.calm, self.whole = True, now, 0, seen
        told = ", ".join(f"{name} {value:.1f}" for name, value in self.signs.items() if value >= 0.1)
        return f"storm seen: {told}; {self._figures(seen)}"

    def _signs(self, seen: Counts, span: float) -> dict[str, float]:
        bound = max(CONNECTS, self.usual_open * CONNECTS_PART, self.usual_connects * CONNECTS_TIMES)
        many = max(ARRIVALS, self.usual_arrivals * ARRIVALS_TIMES)
        arrivals, enough = max(1, seen.arrivals), seen.arrivals >= FEW
        signs = {
            "connects": seen.connects / span / bound,
            "retries": seen.retries / arrivals / RETRIES * enough,
            "hurried": seen.hurried / arrivals / HURRIED * enough,
            "arrivals": seen.arrivals / span / many if self.learned >= KNOWN else 0.0,
            "lateness": seen.late / LATENESS,
        }
        return {name: min(MOST[name], value) for name, value in signs.items()}

    def _learn(self, seen: Counts, span: float) -> None:
        self.learned += 1
        weight = max(SLOWLY, 1 / self.learned)
        self.usual_open += (self.open - self.usual_open) * weight
        self.usual_connects += (seen.connects / span - self.usual_connects) * weight
        self.usual_arrivals += (seen.arrivals / span - self.usual_arrivals) * weight

    @staticmethod
    def _figures(seen: Counts) -> str:
        return (
            f"{seen.connects} connects, {seen.arrivals} requests, {seen.retries} of them retries, "
            f"{seen.hurried} hurried, {seen.served} served, {seen.refused} refused, "
            f"{seen.turned_away} turned away, {seen.late / 1e6:.0f} ms late"
        )
