"""Detects storms of retries and reconnects and distinguishes them from ordinary peaks of load.

In a peak normal traffic grows: there are more first attempts on the existing connections. A storm sustains
itself: clients that were connected reconnect, rejected requests are retried, and requests arrive with little
time left. For each sign of a storm the observed value is divided by its typical value in a storm, and the
quotient is capped at the sign's weight. The sum of the signs decides, so that no single sign makes a storm:

    connects   connections a second, relative to the open connections and to the rate of the baseline
    retries    fraction of the requests that are retries
    hurried    fraction of the requests with little time left until their deadline
    arrivals   requests a second, relative to the rate of the baseline; also high in a peak
    lateness   delay of the router's own timers

    normal --sum >= STORM_START_THRESHOLD--> storm
    storm --sum < STORM_END_THRESHOLD for CALM_PERIODS in a row--> normal

The baseline is learned in normal periods. A router that has just started has no baseline of the request rate
yet, so arrivals do not count as a sign and the sum of the other signs decides.
"""

from dataclasses import dataclass

NS_PER_S = 1_000_000_000
NS_PER_MS = 1_000_000
PERIOD_NS = NS_PER_S // 4  # length of the period over which the signs are computed

STORM_START_THRESHOLD = 2.25  # sum of the signs at which a storm begins
STORM_END_THRESHOLD = 1.0  # sum of the signs below which a period of a storm is calm
CALM_PERIODS = 4  # consecutive calm periods that end a storm

# Maximum value of each sign: none makes a storm alone, and the one that is also high in a peak has the least.
MAX_CONNECTS_SIGN = 2.0
MAX_RETRIES_SIGN = 1.5
MAX_HURRIED_SIGN = 1.0
MAX_ARRIVALS_SIGN = 0.5
MAX_LATENESS_SIGN = 1.0

# Typical values in a storm, at which a sign is 1. Of several values for one sign the largest is used.
STORM_CONNECTS_PER_S = 50.0  # lower bound for a router with few connections
STORM_CONNECTS_FRACTION_PER_S = 0.25  # connects a second as a fraction of the baseline of open connections
STORM_CONNECTS_FACTOR = 3.0  # multiple of the baseline of connects a second
STORM_RETRIES_FRACTION = 0.5  # fraction of the requests that are retries
STORM_HURRIED_FRACTION = 0.3  # fraction of the requests that are hurried
STORM_ARRIVALS_PER_S = 40.0  # lower bound for a router with few requests
STORM_ARRIVALS_FACTOR = 3.0  # multiple of the baseline of requests a second
STORM_TIMER_DELAY_NS = NS_PER_S // 20  # delay of the router's timers

MIN_ARRIVALS_FOR_FRACTIONS = 5  # in a period with fewer requests their fractions are not significant
BASELINE_WEIGHT = 1 / 40  # weight of one normal period in the baseline: a time constant of 10 s
MIN_BASELINE_PERIODS = 8  # normal periods after which the baseline of the request rate is known


@dataclass(slots=True)
class TrafficCounts:
    """Counts of connects, requests and answers in a span of time, and the largest timer delay in it."""

    connects: int = 0
    arrivals: int = 0  # requests
    retries: int = 0  # arrivals that are retries
    hurried: int = 0  # arrivals with little time left until their deadline
    rejected: int = 0
    served: int = 0
    connections_rejected: int = 0
    max_timer_delay_ns: int = 0

    def add_arrival(self, is_retry: bool, is_hurried: bool) -> None:
        """Counts an arriving request; one with little time left until its deadline is hurried."""
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
    """Signs of a storm in one period; each is 1 at its typical value in a storm."""

    connects: float = 0.0
    retries: float = 0.0
    hurried: float = 0.0
    arrivals: float = 0.0
    lateness: float = 0.0

    def total(self) -> float:
        """Returns the sum of the signs, which decides whether there is a storm."""
        return sum((self.connects, self.retries, self.hurried, self.arrivals, self.lateness))

    def log_fields(self) -> str:
        """Returns the signs as fields of a log line."""
        return (
            f"connects_sign={self.connects:.1f} retries_sign={self.retries:.1f} "
            f"hurried_sign={self.hurried:.1f} arrivals_sign={self.arrivals:.1f} "
            f"lateness_sign={self.lateness:.1f}"
        )


class RetryStormDetector:
    """Detector that decides by each period's counts; its owner adds to `current` and calls `step`."""

    def __init__(self) -> None:
        self.storm_active = False
        self.current = TrafficCounts()  # counts of the current period
        self.open_connections = 0
        self.signs = StormSigns()  # signs of the last complete period
        self.period_began_at_ns = 0  # 0 before the first step
        self.storm_began_at_ns = 0
        self.storm_counts = TrafficCounts()  # counts since the storm began
        self.calm_periods = 0  # latest consecutive calm periods in the storm
        self.baseline_periods = 0
        self.baseline_open_connections = 0.0
        self.baseline_connects_per_s = 0.0
        self.baseline_arrivals_per_s = 0.0
        self.upgrade_until_ns = 0  # connects and lateness do not count as signs before this time

    def step(self, now_ns: int) -> str:
        """Evaluates the period that ends now; returns a log line if a storm begins or ends, else "".

        Does nothing until `PERIOD_NS` have passed since the last evaluation.
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
            return self._check_end(now_ns, counts)
        if self.signs.total() < STORM_START_THRESHOLD:
            self._update_baseline(counts, span_s)
            return ""
        self.storm_active = True
        self.storm_began_at_ns = now_ns
        self.calm_periods = 0
        self.storm_counts = counts
        return f"storm began {self.signs.log_fields()} {counts.log_fields()}"

    def _check_end(self, now_ns: int, counts: TrafficCounts) -> str:
        self.storm_counts.add(counts)
        if self.signs.total() < STORM_END_THRESHOLD:
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
                self.baseline_open_connections * STORM_CONNECTS_FRACTION_PER_S,
                self.baseline_connects_per_s * STORM_CONNECTS_FACTOR,
            )
            signs.connects = min(MAX_CONNECTS_SIGN, counts.connects / span_s / storm_connects_per_s)
            signs.lateness = min(MAX_LATENESS_SIGN, counts.max_timer_delay_ns / STORM_TIMER_DELAY_NS)
        if counts.arrivals >= MIN_ARRIVALS_FOR_FRACTIONS:
            retries_fraction = counts.retries / counts.arrivals
            hurried_fraction = counts.hurried / counts.arrivals
            signs.retries = min(MAX_RETRIES_SIGN, retries_fraction / STORM_RETRIES_FRACTION)
            signs.hurried = min(MAX_HURRIED_SIGN, hurried_fraction / STORM_HURRIED_FRACTION)
        if self.baseline_periods >= MIN_BASELINE_PERIODS:
            storm_arrivals_per_s = max(
                STORM_ARRIVALS_PER_S, self.baseline_arrivals_per_s * STORM_ARRIVALS_FACTOR
            )
            signs.arrivals = min(MAX_ARRIVALS_SIGN, counts.arrivals / span_s / storm_arrivals_per_s)
        return signs

    def _update_baseline(self, counts: TrafficCounts, span_s: float) -> None:
        """Updates the moving averages of the baseline; the first periods have equal weights."""
        self.baseline_periods += 1
        weight = max(BASELINE_WEIGHT, 1 / self.baseline_periods)
        self.baseline_open_connections += (self.open_connections - self.baseline_open_connections) * weight
        self.baseline_connects_per_s += (counts.connects / span_s - self.baseline_connects_per_s) * weight
        self.baseline_arrivals_per_s += (counts.arrivals / span_s - self.baseline_arrivals_per_s) * weight
