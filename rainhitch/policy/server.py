"""One server as this router has observed it, and the list of them all."""

from dataclasses import dataclass, field

from rainhitch import interface as api
from rainhitch.policy.connection_health import ConnectionHealth
from rainhitch.policy.latency_estimator import LatencyEstimator
from rainhitch.policy.load_reports import NS_PER_MS, ReportedLoad
from rainhitch.policy.rates import SECOND, SMOOTHING
from rainhitch.policy.slow_start import SlowStart

INITIAL_LATENCY_DIVISOR = 8  # the shortest latency objective by it is expected of a server not seen yet
MIN_UNCROWDED_DIVISOR = 16  # the uncrowded answer time is never taken as less than the limit by it
PROBE_SAMPLE_WEIGHT = 1 / 2  # of a probe's answer time in the moving average


@dataclass(slots=True, eq=False)
class Server:
    """What this router has observed of one server, by concern."""

    endpoint: api.Endpoint
    latency: LatencyEstimator
    connection: ConnectionHealth = field(default_factory=ConnectionHealth)
    slow_start: SlowStart = field(default_factory=SlowStart)
    load: ReportedLoad = field(default_factory=ReportedLoad)
    # This router's attempts.
    in_flight: int = 0
    last_sent_at_ns: int = 0
    is_probing: bool = False  # what is in flight was sent to see whether an overloaded server has recovered
    # Its answers, also those that other routers tell of.
    proven_sent_at_ns: int = 0  # when the latest attempt was sent that it has answered
    answered_at_ns: int = -SECOND  # when it last answered
    # Its key range.
    range_share: float = 1.0  # the part of it that it bears; the rest passes to the next server
    share_cut_at_ns: int = 0
    relative_weight: float = 1.0  # its listed weight by the mean of all cache servers

    def is_usable(self, now_ns: int) -> bool:
        """Whether it may be tried, by its state on the list and by how connections to it fare."""
        is_in_use = self.endpoint.state in (api.EndpointState.READY, api.EndpointState.RETIRING)
        return is_in_use and self.connection.may_be_tried(now_ns, self.in_flight)

    def bears(self, range_depth: float) -> bool:
        """Whether it bears the part of its key range in which a key lies; the far end is 1."""
        return range_depth < self.range_share * self.relative_weight

    def expected_latency_ns(self, now_ns: int, routers: int) -> float:
        """The answer time to expect of one more request; see `LatencyEstimator.expected_ns`."""
        return self.latency.expected_ns(now_ns, self.in_flight, routers)

    def has_capacity(
        self, expected_ns: float, reported_ns: float, limit_ns: float, crowd_factor: int
    ) -> bool:
        """Whether one more request is answered in time: within a limit and so many uncrowded answer times.

        `expected_ns` and `reported_ns` are the answer times to expect by this router's estimate and by the
        server's own report (0: none). The report is late and noisy, so it has a wider limit. Guards against
        quick servers taken for crowded ones: a few times next to nothing is no crowd.
        """
        uncrowded_ns = self.latency.uncrowded_ns
        if uncrowded_ns == 0:
            uncrowded_ns = limit_ns
        crowded_ns = crowd_factor * max(uncrowded_ns, limit_ns / MIN_UNCROWDED_DIVISOR)
        return expected_ns <= min(limit_ns, crowded_ns) and reported_ns <= limit_ns * crowd_factor / 2

    def may_probe(self, now_ns: int, expected_ns: float, reported_ns: float, routers: int) -> bool:
        """Whether a request may go to this overloaded server all the same, to see whether it has recovered.

        One at a time, and from all `routers` together one in an answer time, which is what one core serves:
        guards against probes that keep a server overloaded.
        """
        report = self.load.report
        service_ns = self.latency.uncrowded_ns if report is None else report.latency_ms * NS_PER_MS
        interval_ns = max(expected_ns, reported_ns, service_ns * routers)
        return not self.in_flight and now_ns - self.last_sent_at_ns >= interval_ns

    def admits_or_starts_probe(
        self, now_ns: int, limit_ns: float, crowd_factor: int, routers_to_account_for: int, routers: int
    ) -> bool:
        """Whether one more request may go there: it has capacity, or a probe is due, which begins with it.

        `limit_ns` and `crowd_factor`: see `has_capacity`. `routers_to_account_for`: how many routers send
        without being heard of, with this one; `routers`: how many there are.
        """
        expected_ns = self.latency.expected_ns(now_ns, self.in_flight, routers_to_account_for)
        reported_ns = self.load.expected_ns(now_ns)
        if self.has_capacity(expected_ns, reported_ns, limit_ns, crowd_factor):
            return True
        if not self.may_probe(now_ns, expected_ns, reported_ns, routers):
            return False
        self.is_probing = True
        return True

    def record_answer(self, now_ns: int, span_ns: int, elapsed_ns: int, in_flight: int, routers: int) -> None:
        """Takes the answer time of an attempt of this router, which had `in_flight` there with it.

        The other arguments are those of `LatencyEstimator.record_latency`.
        """
        latency = self.latency
        latency.mean_in_flight += (in_flight - latency.mean_in_flight) * SMOOTHING
        min_weight = PROBE_SAMPLE_WEIGHT if self.is_probing else SMOOTHING
        latency.record_latency(now_ns, span_ns, elapsed_ns, routers, min_weight)
        self.is_probing = False

    def record_proof(self, now_ns: int, sent_at_ns: int) -> None:
        """It has answered, to any router, an attempt that was sent at that time."""
        self.proven_sent_at_ns = max(self.proven_sent_at_ns, sent_at_ns)
        self.answered_at_ns = now_ns

    def adjust_range_share(self, now_ns: int, elapsed_ns: int, slow: bool) -> None:
        """A slow answer cuts the part of its range that it bears by a quarter, a quick one adds a little.

        Guards against several cuts for one jam: an answer to what was sent before the last cut cuts nothing.
        """
        if not slow:
            self.range_share = min(self.range_share + SMOOTHING / 2, 1.0)
        elif now_ns - elapsed_ns >= self.share_cut_at_ns:
            self.range_share = max(self.range_share * 3 / 4, SMOOTHING)
            self.share_cut_at_ns = now_ns


@dataclass(slots=True)
class ServerList:
    """All servers on the endpoint list by id, and the origin among them if it is ready."""

    servers: dict[str, Server] = field(default_factory=dict)
    origin: Server | None = None
