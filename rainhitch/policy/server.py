"""State of a server as observed by this router, and the list of all servers."""

from dataclasses import dataclass, field

from rainhitch import interface as api
from rainhitch.policy.connection_health import ConnectionHealth
from rainhitch.policy.latency_estimator import LatencyEstimator
from rainhitch.policy.load_reports import NS_PER_MS, ReportedLoad
from rainhitch.policy.rates import SECOND, SMOOTHING
from rainhitch.policy.slow_start import SlowStart

INITIAL_LATENCIES_PER_OBJECTIVE = 8  # initial latency estimates in the shortest latency objective
MIN_UNLOADED_LATENCIES_PER_LIMIT = 16  # lower bounds of the unloaded latency in the latency limit
PROBE_SAMPLE_WEIGHT = 1 / 2  # lowest weight of a probe's latency in the moving average


@dataclass(slots=True, eq=False)
class Server:
    """State of one server as observed by this router."""

    endpoint: api.Endpoint
    latency: LatencyEstimator
    connection: ConnectionHealth = field(default_factory=ConnectionHealth)
    slow_start: SlowStart = field(default_factory=SlowStart)
    load: ReportedLoad = field(default_factory=ReportedLoad)
    # This router's attempts.
    in_flight: int = 0
    last_sent_at_ns: int = 0
    is_probing: bool = False  # the attempt in flight probes whether an overloaded server has recovered
    # The server's answers, including those reported by other routers.
    last_answered_sent_at_ns: int = 0  # send time of the most recently sent attempt that was answered
    answered_at_ns: int = -SECOND  # time of the latest answer
    # The server's key range.
    range_share: float = 1.0  # fraction of the range that the server serves; the rest goes to the next server
    share_cut_at_ns: int = 0
    relative_weight: float = 1.0  # listed weight divided by the mean weight of all cache servers

    def is_usable(self, now_ns: int) -> bool:
        """Returns whether the server may be tried, by its state on the list and its connection health."""
        is_in_use = self.endpoint.state in (api.EndpointState.READY, api.EndpointState.RETIRING)
        return is_in_use and self.connection.may_be_tried(now_ns, self.in_flight)

    def serves(self, range_position: float) -> bool:
        """Returns whether the server serves a position in its key range, from 0 to 1 at the far end."""
        return range_position < self.range_share * self.relative_weight

    def expected_latency_ns(self, now_ns: int, routers_to_account_for: int) -> float:
        """Returns the expected latency of one more request; see `LatencyEstimator.expected_ns`."""
        return self.latency.expected_ns(now_ns, self.in_flight, routers_to_account_for)

    def has_capacity(
        self, expected_ns: float, reported_ns: float, limit_ns: float, overload_factor: int
    ) -> bool:
        """Returns whether one more request would be answered within the latency limits.

        The limits are `limit_ns` and `overload_factor` times the unloaded latency. `expected_ns` and
        `reported_ns` are the expected latencies by this router's estimate and by the server's own report (0:
        no report). The report is delayed and noisy, so its limit is wider. The unloaded latency has a lower
        bound, because a small multiple of a very low latency is no sign of overload.
        """
        unloaded_ns = self.latency.unloaded_ns
        if unloaded_ns == 0:
            unloaded_ns = limit_ns
        overloaded_ns = overload_factor * max(unloaded_ns, limit_ns / MIN_UNLOADED_LATENCIES_PER_LIMIT)
        return expected_ns <= min(limit_ns, overloaded_ns) and reported_ns <= limit_ns * overload_factor / 2

    def may_probe(self, now_ns: int, expected_ns: float, reported_ns: float, router_count: int) -> bool:
        """Returns whether a request may probe if this overloaded server has recovered.

        Each router sends one probe at a time, and all routers together one probe per latency, which is the
        load of one core. More probes would keep the server overloaded.
        """
        report = self.load.report
        service_ns = self.latency.unloaded_ns if report is None else report.latency_ms * NS_PER_MS
        interval_ns = max(expected_ns, reported_ns, service_ns * router_count)
        return not self.in_flight and now_ns - self.last_sent_at_ns >= interval_ns

    def admits_or_starts_probe(
        self,
        now_ns: int,
        limit_ns: float,
        overload_factor: int,
        routers_to_account_for: int,
        router_count: int,
    ) -> bool:
        """Returns whether the server has capacity for one more request, or a probe is due and starts with it.

        `limit_ns` and `overload_factor`: see `has_capacity`. `routers_to_account_for` is the number of
        routers whose load is unknown, plus one for this router; `router_count` is the number of all routers.
        """
        expected_ns = self.latency.expected_ns(now_ns, self.in_flight, routers_to_account_for)
        reported_ns = self.load.expected_ns(now_ns)
        if self.has_capacity(expected_ns, reported_ns, limit_ns, overload_factor):
            return True
        if not self.may_probe(now_ns, expected_ns, reported_ns, router_count):
            return False
        self.is_probing = True
        return True

    def record_answer(
        self, now_ns: int, span_ns: int, elapsed_ns: int, in_flight: int, routers_to_account_for: int
    ) -> None:
        """Records the latency of an attempt of this router.

        `in_flight` is the number of this router's attempts in flight at the server, including this one. The
        other arguments are those of `LatencyEstimator.record_latency`.
        """
        latency = self.latency
        latency.mean_in_flight += (in_flight - latency.mean_in_flight) * SMOOTHING
        min_weight = PROBE_SAMPLE_WEIGHT if self.is_probing else SMOOTHING
        latency.record_latency(now_ns, span_ns, elapsed_ns, routers_to_account_for, min_weight)
        self.is_probing = False

    def record_answered_attempt(self, now_ns: int, sent_at_ns: int) -> None:
        """Records that the server has answered an attempt of any router that was sent at `sent_at_ns`."""
        self.last_answered_sent_at_ns = max(self.last_answered_sent_at_ns, sent_at_ns)
        self.answered_at_ns = now_ns

    def adjust_range_share(self, now_ns: int, elapsed_ns: int, slow: bool) -> None:
        """Reduces the range share by a quarter after a slow answer, and raises it slightly after a fast one.

        Slow answers to attempts sent before the last reduction are ignored, so that one congestion reduces
        the share only once.
        """
        if not slow:
            self.range_share = min(self.range_share + SMOOTHING / 2, 1.0)
        elif now_ns - elapsed_ns >= self.share_cut_at_ns:
            self.range_share = max(self.range_share * 3 / 4, SMOOTHING)
            self.share_cut_at_ns = now_ns


@dataclass(slots=True)
class ServerList:
    """All servers on the endpoint list by id, and which of them is the origin, if it is ready."""

    servers: dict[str, Server] = field(default_factory=dict)
    origin: Server | None = None
