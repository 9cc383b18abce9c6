"""Registry of all servers, through which the other decision modules query and update their state.

The state of a server is in latency_estimator.py, connection_health.py, slow_start.py and load_reports.py,
that of zones in zone_reachability.py. It is updated by attempt_observations.py and gossip_observations.py.
"""

from rainhitch import interface as api
from rainhitch.policy.attempt_observations import AttemptObservations
from rainhitch.policy.decision_context import DecisionContext
from rainhitch.policy.gossip_observations import GossipObservations, ObservedAttempt
from rainhitch.policy.latency_estimator import LatencyEstimator
from rainhitch.policy.pending_request import PendingRequest
from rainhitch.policy.rates import SECOND, DecayingRate
from rainhitch.policy.server import INITIAL_LATENCIES_PER_OBJECTIVE, Server, ServerList
from rainhitch.policy.slow_start import SlowStart, SlowStartAdmission
from rainhitch.policy.zone_reachability import ZoneReachability

# Longest wait before an unavailable endpoint list is polled again.
MAX_POLL_RETRY_NS = 9 * SECOND // 10
AVERAGING_SPAN_OBJECTIVES = 2  # averaging window of latencies, in shortest latency objectives
SERVED_RATE_SPAN_OBJECTIVES = 4  # averaging window of the served rate, in shortest latency objectives
NO_ORIGIN_KIND = -1  # replaces the origin's kind where the cache servers read the origin themselves


class ServerRegistry:
    """All servers on the endpoint list, including the origin."""

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        self.server_list = ServerList()
        self.servers = self.server_list.servers
        self.zones = ZoneReachability(context.settings.connect_timeout_ns)
        span_ns = AVERAGING_SPAN_OBJECTIVES * context.shortest_objective_ns
        self.gossip = GossipObservations(context, self.server_list, span_ns)
        self.attempts = AttemptObservations(context, self.server_list, self.zones, self.gossip, span_ns)
        self.slow_start = SlowStartAdmission(context)

    @property
    def origin(self) -> Server | None:
        """The origin, if it is listed and ready; None also where this router sends it no requests."""
        return self.server_list.origin

    # The endpoint list.

    def apply_update(self, event: api.EndpointUpdate) -> list[str] | None:
        """Applies a change of the endpoint list; returns the sorted ids of the ready cache servers.

        Returns None if the list was unavailable.
        """
        if event.kind is api.EndpointUpdateKind.FAILED:
            self._retry_poll()
            return None
        is_cached = event.kind is api.EndpointUpdateKind.CACHED
        if is_cached and self.context.settings.endpoints_polled:
            self._poll(None)
        if event.kind is not api.EndpointUpdateKind.DELTA:
            named = {entry.server for entry in event.entries}
            for name in [name for name in self.servers if name not in named]:
                self._remove(api.Endpoint(name, api.EndpointState.GONE))
        for entry in event.entries:
            if entry.state is api.EndpointState.GONE:
                self._remove(entry)
            else:
                self._add_or_update(entry, is_cached)
        return self._select_ready()

    def _select_ready(self) -> list[str]:
        """Updates zones, relative weights and origin; returns the sorted ids of the ready cache servers."""
        settings = self.context.settings
        origin_kind = settings.origin_kind if settings.cache_aside else NO_ORIGIN_KIND
        ready = [
            server for server in self.servers.values() if server.endpoint.state is api.EndpointState.READY
        ]
        caches = [server for server in ready if server.endpoint.kind != origin_kind]
        self.zones.set_zones({server.endpoint.zone for server in caches})
        mean_weight = sum(server.endpoint.weight for server in caches) / max(1, len(caches))
        if mean_weight == 0:
            mean_weight = 1.0
        # Key ranges are equal but machines are not, so a small machine serves less of its range.
        for server in caches:
            server.relative_weight = server.endpoint.weight / mean_weight
        self.server_list.origin = next(
            (server for server in ready if server.endpoint.kind == origin_kind), None
        )
        return sorted(server.endpoint.server for server in caches)

    def _remove(self, entry: api.Endpoint) -> None:
        removed = self.servers.pop(entry.server, None)
        if removed is not None:
            removed.endpoint = entry  # requests possibly executed there still refer to the server

    def _add_or_update(self, entry: api.Endpoint, is_cached: bool) -> None:
        """Applies a list entry; with `is_cached` (initial list), unknown servers do not count as new."""
        server = self.servers.get(entry.server)
        if server is None:
            self.servers[entry.server] = self._new_server(entry, is_cached)
            return
        if entry.started_at_ns > server.endpoint.started_at_ns:
            server.slow_start.started_at_ns = max(server.slow_start.started_at_ns, entry.started_at_ns)
            server.connection.readmit()
        server.endpoint = entry

    def _new_server(self, entry: api.Endpoint, is_cached: bool) -> Server:
        objective_ns = self.context.shortest_objective_ns
        now_ns = self.context.now_ns
        started_at_ns = entry.started_at_ns
        if not is_cached and not started_at_ns:
            started_at_ns = now_ns  # new on the list and without a start time: counts as started now
        served = DecayingRate(SERVED_RATE_SPAN_OBJECTIVES * objective_ns, now_ns)
        return Server(
            entry,
            LatencyEstimator(objective_ns / INITIAL_LATENCIES_PER_OBJECTIVE, updated_at_ns=now_ns),
            slow_start=SlowStart(started_at_ns, served),
        )

    def _retry_poll(self) -> None:
        """Schedules another poll of an unavailable list, after a random wait of at least half the maximum."""
        # The wait is short because a change of the list counts as delivered while this router waits.
        max_wait_ns = min(MAX_POLL_RETRY_NS, self.context.settings.max_poll_retry_ns)
        wait_ns = max_wait_ns * self.context.random.uniform(0.5, 1)
        line = f"endpoint list unavailable retry_ms={wait_ns / 1e6:.0f}"
        self.context.actions.append(api.LogLine(line))
        self.context.schedule(int(wait_ns), self._poll)

    def _poll(self, _: PendingRequest | None) -> None:
        self.context.actions.append(api.WatchEndpoints())

    # Queries.

    def is_usable(self, server: Server) -> bool:
        """Returns whether a server may be tried, by its own state and that of its zone."""
        now_ns = self.context.now_ns
        return server.is_usable(now_ns) and self.zones.may_be_tried(server.endpoint.zone, now_ns)

    def ejected_servers(self) -> set[str]:
        """Returns the ids of servers that get at most one attempt at a time.

        Connections to these servers, or to their zones, have failed.
        """
        return {
            name
            for name, server in self.servers.items()
            if server.connection.consecutive_failures or self.zones.is_unreachable(server.endpoint.zone)
        }

    def admits_in_slow_start(
        self, server: Server, capacity_fraction: float, fair_shares: float, arrivals_per_s: float
    ) -> bool:
        """Returns whether a server in slow start admits one more request; if so, takes a token of its budget.

        The arguments are those of `slow_start.passes_sampling`.
        """
        kind = server.endpoint.kind
        same_kind = (other.slow_start for other in self.servers.values() if other.endpoint.kind == kind)
        return self.slow_start.admits_in_slow_start(
            server.slow_start,
            kind,
            same_kind,
            capacity_fraction=capacity_fraction,
            fair_shares=fair_shares,
            arrivals_per_s=arrivals_per_s,
        )

    def routers_to_account_for(self) -> int:
        """See `GossipObservations.routers_to_account_for`."""
        return self.gossip.routers_to_account_for()

    # Gossip.

    def publish_gossip(self, event: api.GossipIntervalElapsed) -> None:
        """See `GossipObservations.publish`."""
        self.gossip.publish(event)

    def apply_gossip(self, event: api.GossipReceived) -> None:
        """See `GossipObservations.apply`."""
        self.gossip.apply(event)

    # Attempts.

    def attempt_started(self, server: Server, attempt: tuple[str, int], is_idempotent: bool) -> None:
        """Records the start of an attempt, given by request id and attempt number, at a server."""
        now_ns = self.context.now_ns
        server.in_flight += 1
        server.last_sent_at_ns = now_ns
        if server is not self.server_list.origin:
            self.gossip.in_flight[attempt] = ObservedAttempt(server, now_ns, is_idempotent)
            self.zones.attempt_started(server.endpoint.zone, now_ns)

    def attempt_finished(self, event: api.AttemptFinished) -> None:
        """See `AttemptObservations.attempt_finished`."""
        self.attempts.attempt_finished(event)
