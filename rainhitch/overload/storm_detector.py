"""Detection of storms of retries and reconnects, as distinct from ordinary peaks of load.

A peak is more of the usual: more first attempts on the connections that are there. A storm feeds on itself:
clients that were just connected connect anew, requests that were just rejected come again, and what arrives
has little time left. Each sign is the ratio of what was seen to what a storm shows in that sign alone, cut at
a weight, and the sum of the signs decides, so that no sign alone makes a storm:

    connects   connections a second, against a fraction of those usually open and a multiple of the usual rate
    retries    fraction of the requests that are retries
    hurried    fraction of the requests with little of their time left
    arrivals   requests a second, against a multiple of the usual rate: a peak shows this one too
    lateness   delay of the router's own timers

    normal --sum >= STORM_BEGINS_AT--> storm --sum < STORM_ENDS_BELOW for CALM_PERIODS in a row--> normal

What is usual is learned in normal periods. A router that has just started knows no usual rate of requests:
then the arrivals are no sign, and the sum of the others decides.
"""

from dataclasses import dataclass

NS_PER_S = 1_000_000_000
NS_PER_MS = 1_000_000
PERIOD_NS = NS_PER_S // 4  # between two judgements

STORM_BEGINS_AT = 2.25  # sum of the signs
STORM_ENDS_BELOW = 1.0  # sum of the signs
CALM_PERIODS = 4  # in a row below it, until a storm is over

# What each sign counts for at most: none makes a storm alone, and the one that a peak shows too counts least.
MAX_CONNECTS_SIGN = 2.0
MAX_RETRIES_SIGN = 1.5
MAX_HURRIED_SIGN = 1.0
MAX_ARRIVALS_SIGN = 0.5
MAX_LATENESS_SIGN = 1.0

# What a storm shows in each sign: the sign is 1 there.
STORM_CONNECTS_PER_S = 50.0  # at least
STORM_CONNECTS_FRACTION_PER_S = 0.25  # of the connections usually open
STORM_CONNECTS_FACTOR = 3.0  # of the usual connects a second
STORM_RETRIES_FRACTION = 0.5  # of the requests
STORM_HURRIED_FRACTION = 0.3  # of the requests
STORM_ARRIVALS_PER_S = 40.0  # at least
STORM_ARRIVALS_FACTOR = 3.0  # of the usual requests a second
STORM_TIMER_DELAY_NS = NS_PER_S // 20

MIN_ARRIVALS_TO_JUDGE = 5  # in a period; fractions of fewer requests tell nothing
LEARNING_WEIGHT = 1 / 40  # of a normal period in what is usual: a time constant of 10 s
MIN_LEARNED_PERIODS = 8  # normal periods, after which the usual rate of requests is known


@dataclass(slots=True)
class TrafficCounts:
    """What arrived and was answered in a span of time."""

    connects: int = 0
    arrivals: int = 0  # requests
    retries: int = 0  # of the arrivals
    hurried: int = 0  # of the arrivals, those with little time left
    rejected: int = 0
    served: int = 0
    connections_rejected: int = 0
    max_timer_delay_ns: int = 0

    def add_arrival(self, is_retry: bool, is_hurried: bool) -> None:
        """Counts a request; `is_hurried`: little of its time is left."""
        self.arrivals += 1
        if is_retry:
            self.retries += 1
        if is_hurried:
            self.hurried += 1

    def add(self, other: "TrafficCounts") -> None:
        """Adds the counts of a later span."""
        self.connects += other.connects
        self.arrivals += other.arrivals
        self.retries += other.retries
        self.hurried += other.hurried
        self.rejected += other.rejected
        self.served += other.served
        self.connections_rejected += other.connections_rejected
        self.max_timer_delay_ns = max(self.max_timer_delay_ns, other.max_timer_delay_ns)

    def log_fields(self) -> str:
        """Returns the counts as fields of a log line."""
        return (
            f"connects={self.connects} requests={self.arrivals} retries={self.retries} "
            f"hurried={self.hurried} served={self.served} rejected={self.rejected} "
            f"connections_rejected={self.connections_rejected} "
            f"timer_delay_ms={self.max_timer_delay_ns / NS_PER_MS:.0f}"
        )


@dataclass(slots=True)
class StormSigns:
    """The signs of one period; 1 is what a storm shows in one alone."""

    connects: float = 0.0
    retries: float = 0.0
    hurried: float = 0.0
    arrivals: float = 0.0
    lateness: float = 0.0

    def total(self) -> float:
        """Returns the sum that decides."""
        return sum((self.connects, self.retries, self.hurried, self.arrivals, self.lateness))

    def log_fields(self) -> str:
        """Returns the signs as fields of a log line."""
        return (
            f"connects_sign={self.connects:.1f} retries_sign={self.retries:.1f} "
            f"hurried_sign={self.hurried:.1f} arrivals_sign={self.arrivals:.1f} "
            f"lateness_sign={self.lateness:.1f}"
        )


class RetryStormDetector:
    """Judges each period's counts; its host adds to `current` and calls `step`."""

    def __init__(self) -> None:
        self.storm_active = False
        self.current = TrafficCounts()  # of the period that runs
        self.open_connections = 0
        self.signs = StormSigns()  # of the last period
        self.period_began_at_ns = 0  # 0: no step yet
        self.storm_began_at_ns = 0
        self.storm_counts = TrafficCounts()  # of the whole storm
        self.calm_periods = 0  # in a row within a storm
        self.learned_periods = 0
        self.usual_open_connections = 0.0
        self.usual_connects_per_s = 0.0
        self.usual_arrivals_per_s = 0.0
        self.upgrade_until_ns = 0  # until then connects and lateness are no signs

    def step(self, now_ns: int) -> str:
        """Judges the period that ends now; returns a log line where a storm begins or ends, else "".

        Nothing is judged before `PERIOD_NS` are over.
        """
        if not self.period_began_at_ns:
            self.period_began_at_ns = now_ns
        span_ns = now_ns - self.period_began_at_ns
        if span_ns < PERIOD_NS:
            return ""
        self.period_began_at_ns = now_ns
        counts = self.current
        self.current = TrafficCounts()
        span_s = span_ns / NS_PER_S
        self.signs = self._signs_of(now_ns, counts, span_s)
        if self.storm_active:
            return self._judge_end(now_ns, counts)
        if self.signs.total() < STORM_BEGINS_AT:
            self._learn_usual(counts, span_s)
            return ""
        self.storm_active = True
        self.storm_began_at_ns = now_ns
        self.calm_periods = 0
        self.storm_counts = counts
        return f"storm began {self.signs.log_fields()} {counts.log_fields()}"

    def _judge_end(self, now_ns: int, counts: TrafficCounts) -> str:
        self.storm_counts.add(counts)
        if self.signs.total() < STORM_ENDS_BELOW:
            self.calm_periods += 1
        else:
            self.calm_periods = 0
        if self.calm_periods < CALM_PERIODS:
            return ""
        self.storm_active = False
        duration_s = (now_ns - self.storm_began_at_ns) / NS_PER_S
        return f"storm ended duration_s={duration_s:.1f} {self.storm_counts.log_fields()}"

    def _signs_of(self, now_ns: int, counts: TrafficCounts, span_s: float) -> StormSigns:
        """Returns the signs of a period of `span_s` seconds."""
        signs = StormSigns()
        if now_ns >= self.upgrade_until_ns:
            storm_connects_per_s = max(
                STORM_CONNECTS_PER_S,
                self.usual_open_connections * STORM_CONNECTS_FRACTION_PER_S,
                self.usual_connects_per_s * STORM_CONNECTS_FACTOR,
            )
            signs.connects = min(MAX_CONNECTS_SIGN, counts.connects / span_s / storm_connects_per_s)
            signs.lateness = min(MAX_LATENESS_SIGN, counts.max_timer_delay_ns / STORM_TIMER_DELAY_NS)
        if counts.arrivals >= MIN_ARRIVALS_TO_JUDGE:
            retries_fraction = counts.retries / counts.arrivals
            hurried_fraction = counts.hurried / counts.arrivals
            signs.retries = min(MAX_RETRIES_SIGN, retries_fraction / STORM_RETRIES_FRACTION)
            signs.hurried = min(MAX_HURRIED_SIGN, hurried_fraction / STORM_HURRIED_FRACTION)
        if self.learned_periods >= MIN_LEARNED_PERIODS:
            storm_arrivals_per_s = max(
                STORM_ARRIVALS_PER_S, self.usual_arrivals_per_s * STORM_ARRIVALS_FACTOR
            )
            signs.arrivals = min(MAX_ARRIVALS_SIGN, counts.arrivals / span_s / storm_arrivals_per_s)
        return signs

    def _learn_usual(self, counts: TrafficCounts, span_s: float) -> None:
        """Moves what is usual towards a normal period's counts; the first periods count evenly."""
        self.learned_periods += 1
        weight = max(LEARNING_WEIGHT, 1 / self.learned_periods)
        self.usual_open_connections += (self.open_connections - self.usual_open_connections) * weight
        self.usual_connects_per_s += (counts.connects / span_s - self.usual_connects_per_s) * weight
        self.usual_arrivals_per_s += (counts.arrivals / span_s - self.usual_arrivals_per_s) * weight
