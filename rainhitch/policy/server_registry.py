"""The list of all servers, and the place where the other decisions ask about them.

What is known of one server, by concern: latency_estimator.py, connection_health.py, slow_start.py,
load_reports.py; of zones: zone_reachability.py. How it is learned: attempt_observations.py,
gossip_observations.py.
"""

from rainhitch import interface as api
from rainhitch.policy.attempt_observations import AttemptObservations
from rainhitch.policy.decision_context import DecisionContext
from rainhitch.policy.gossip_observations import GossipObservations, ObservedAttempt
from rainhitch.policy.latency_estimator import LatencyEstimator
from rainhitch.policy.pending_request import PendingRequest
from rainhitch.policy.rates import SECOND, DecayingRate
from rainhitch.policy.server import INITIAL_LATENCY_DIVISOR, Server, ServerList
from rainhitch.policy.slow_start import SlowStart, SlowStartAdmission
from rainhitch.policy.zone_reachability import ZoneReachability

# How long this router waits at most before it asks for the endpoint list again, after that was unavailable.
MAX_POLL_RETRY_NS = 2 * SECOND
AVERAGING_SPAN_OBJECTIVES = 2  # shortest latency objectives that an average of answer times covers
SERVED_RATE_SPAN_OBJECTIVES = 4  # shortest latency objectives over which served requests are counted
NO_ORIGIN_KIND = -1  # in place of the origin's kind where the servers fetch from it themselves


class ServerRegistry:
    """All servers on the list, and the origin among them."""

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
        """The origin, if it is on the list and ready; None where requests don't go there from this router."""
        return self.server_list.origin

    # The endpoint list.

    def apply_update(self, event: api.EndpointUpdate) -> list[str] | None:
        """Takes news of the endpoint list; gives the sorted ids of the ready cache servers.

        None if the list was unavailable.
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
        """Sets what depends on the list as a whole; gives the sorted ids of the ready cache servers."""
        settings = self.context.settings
        origin_kind = settings.origin_kind if settings.cache_aside else NO_ORIGIN_KIND
        ready = [one for one in self.servers.values() if one.endpoint.state is api.EndpointState.READY]
        caches = [server for server in ready if server.endpoint.kind != origin_kind]
        self.zones.set_zones({server.endpoint.zone for server in caches})
        mean_weight = sum(server.endpoint.weight for server in caches) / max(1, len(caches))
        if mean_weight == 0:
            mean_weight = 1.0
        # Guards against an equal key range for an unequal machine: a small one bears less of it.
        for server in caches:
            server.relative_weight = server.endpoint.weight / mean_weight
        self.server_list.origin = next(
            (server for server in ready if server.endpoint.kind == origin_kind), None
        )
        return sorted(server.endpoint.server for server in caches)

    def _remove(self, entry: api.Endpoint) -> None:
        removed = self.servers.pop(entry.server, None)
        if removed is not None:
            removed.endpoint = entry  # requests that may have run there refer to it

    def _add_or_update(self, entry: api.Endpoint, is_cached: bool) -> None:
        """Takes an entry of the list. `is_cached`: of the list as it was at first, so that nobody is new."""
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
            started_at_ns = now_ns  # new to the list, with no start time: taken as started just now
        served = DecayingRate(SERVED_RATE_SPAN_OBJECTIVES * objective_ns, now_ns)
        return Server(
            entry,
            LatencyEstimator(objective_ns / INITIAL_LATENCY_DIVISOR, updated_at_ns=now_ns),
            slow_start=SlowStart(started_at_ns, served),
        )

    def _retry_poll(self) -> None:
        """The list was unavailable: it is asked for again after a wait, of which half is left to chance."""
        # Guards against news that counts as delivered while this router waits to ask again.
        max_wait_ns = min(MAX_POLL_RETRY_NS, self.context.settings.max_poll_retry_ns)
        wait_ns = max_wait_ns * self.context.random.uniform(0.5, 1)
        line = f"endpoint list unavailable retry_ms={wait_ns / 1e6:.0f}"
        self.context.actions.append(api.LogLine(line))
        self.context.schedule(int(wait_ns), self._poll)

    def _poll(self, _: PendingRequest | None) -> None:
        self.context.actions.append(api.WatchEndpoints())

    # Questions of the other decisions.

    def is_usable(self, server: Server) -> bool:
        """Whether it may be tried, by what is known of it and of its zone."""
        now_ns = self.context.now_ns
        return server.is_usable(now_ns) and self.zones.may_be_tried(server.endpoint.zone, now_ns)

    def ejected_servers(self) -> set[str]:
        """Who is tried with one attempt at a time at most, since connections there or to its zone fail."""
        return {
            name
            for name, server in self.servers.items()
            if server.connection.consecutive_failures or self.zones.is_unreachable(server.endpoint.zone)
        }

    def admits_in_slow_start(
        self, server: Server, capacity_fraction: float, heat: float, arrivals_per_s: float
    ) -> bool:
        """Whether one more request may go to a server in slow start; takes a token of its budget if so.

        The arguments are those of `slow_start.passes_by_chance`.
        """
        kind = server.endpoint.kind
        same_kind = (one.slow_start for one in self.servers.values() if one.endpoint.kind == kind)
        return self.slow_start.admits_in_slow_start(
            server.slow_start,
            kind,
            same_kind,
            capacity_fraction=capacity_fraction,
            heat=heat,
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
        """An attempt, by its request's id and its number, goes to a server."""
        now_ns = self.context.now_ns
        server.in_flight += 1
        server.last_sent_at_ns = now_ns
        if server is not self.server_list.origin:
            self.gossip.in_flight[attempt] = ObservedAttempt(server, now_ns, is_idempotent)
            self.zones.attempt_started(server.endpoint.zone, now_ns)

    def attempt_finished(self, event: api.AttemptFinished) -> None:
        """See `AttemptObservations.attempt_finished`."""
        self.attempts.attempt_finished(event)
