"""Updates the state of servers and zones from the outcomes of this router's own attempts."""

from rainhitch import interface as api
from rainhitch.policy.connection_health import CONNECTION_FAILURES, PROCESS_ANSWERED
from rainhitch.policy.decision_context import DecisionContext
from rainhitch.policy.gossip_observations import RANGE_CUT_LATENCIES_PER_OBJECTIVE, GossipObservations
from rainhitch.policy.rates import SECOND, SMOOTHING
from rainhitch.policy.server import INITIAL_LATENCIES_PER_OBJECTIVE, Server, ServerList
from rainhitch.policy.zone_reachability import ZoneReachability

MAX_REFUSED_CONNECTS_FRACTION = 1 / 2  # above this fraction of recent connects, connection tables are full
MIN_RESTART_DOWN_NS = SECOND  # a server that was down for a shorter time is not taken for restarted

ANSWERED = (api.AttemptStatus.OK, api.AttemptStatus.MISS)
ZONE_ANSWERED = (api.AttemptStatus.OK, api.AttemptStatus.MISS, api.AttemptStatus.ERROR)
ZONE_FAILED = (api.AttemptStatus.CONNECT_FAILED, api.AttemptStatus.TIMEOUT)


class AttemptObservations:
    """Records the outcome of each attempt in the state of its server and of that server's zone."""

    def __init__(
        self,
        context: DecisionContext,
        server_list: ServerList,
        zones: ZoneReachability,
        gossip: GossipObservations,
        span_ns: int,
    ) -> None:
        """Initializes the averages; `span_ns` is the averaging window of latencies."""
        self.context = context
        self.server_list = server_list
        self.zones = zones
        self.gossip = gossip
        self.span_ns = span_ns
        # Moving average of latencies over all cache servers.
        self.mean_cache_latency_ns = context.shortest_objective_ns / INITIAL_LATENCIES_PER_OBJECTIVE
        self.refused_connects_fraction = 0.0  # moving average of the fraction of new connects refused at once

    def are_connection_tables_full(self) -> bool:
        """Returns whether most new connects are refused at once, as with full connection tables."""
        return self.refused_connects_fraction > MAX_REFUSED_CONNECTS_FRACTION

    def attempt_finished(self, event: api.AttemptFinished) -> None:
        """Records the outcome of an attempt."""
        self.gossip.in_flight.pop((event.id, event.attempt), None)
        server = self.server_list.servers.get(event.server)
        if server is None:
            return
        server.in_flight = max(0, server.in_flight - 1)
        if event.status is api.AttemptStatus.NO_LOCAL_CONNECTION:
            return  # the attempt never reached the server
        is_reachable = server is self.server_list.origin or self._record_zone(server, event)
        server.load.record_report(self.context.now_ns, event.load)
        # A rejection on a connection that was just opened may come from a full connection table, so it says
        # nothing about the server's load. Otherwise the server's queue is full.
        is_full = event.status is api.AttemptStatus.FULL
        is_table_full = is_full and event.connection_reused is False
        self._record_connection(server, event, is_table_full)
        self._record_latency(server, event, is_full and not is_table_full, is_reachable)

    def _record_zone(self, server: Server, event: api.AttemptFinished) -> bool:
        """Updates the reachability of the server's zone; returns whether the zone is reachable."""
        zone = server.endpoint.zone
        status = event.status
        if status in ZONE_ANSWERED:
            since_ns = self.zones.record_answer(zone)
            if since_ns:
                now_ns = self.context.now_ns
                self._log(f"zone answers again zone={zone} after_ms={(now_ns - since_ns) // 1_000_000}")
                # If a connection survived, the zone was only cut off from the network and its servers kept
                # running, so they count as down since now and not since the zone became unreachable.
                self._readmit_zone(zone, now_ns if event.connection_reused else since_ns)
        elif status in ZONE_FAILED and self.zones.record_failure(zone, event.server, self.context.now_ns):
            self._log(f"zone unreachable zone={zone}")
        return not self.zones.is_unreachable(zone)

    def _readmit_zone(self, zone: int, down_since_ns: int) -> None:
        """Ends the backoff of all servers in a zone that answers again, as down since `down_since_ns`."""
        now_ns = self.context.now_ns
        for server in self.server_list.servers.values():
            if server.endpoint.zone == zone and server is not self.server_list.origin:
                server.connection.end_backoff(now_ns, down_since_ns)

    def _record_connection(self, server: Server, event: api.AttemptFinished, is_table_full: bool) -> None:
        """Updates the connection health of the attempt's server."""
        health = server.connection
        has_failed = event.status in CONNECTION_FAILURES
        connect_timeout_ns = self.context.settings.connect_timeout_ns
        is_new_connect = not health.accepts_connections and not health.consecutive_failures
        if is_new_connect and event.elapsed_ns < connect_timeout_ns:
            refused = 1.0 if has_failed or is_table_full else 0.0
            self.refused_connects_fraction += (refused - self.refused_connects_fraction) * SMOOTHING
        health.accepts_connections = not has_failed and not is_table_full
        answered_recently = self.context.now_ns - server.answered_at_ns < connect_timeout_ns
        is_tolerated = has_failed and health.is_tolerated(answered_recently)
        health.last_attempt_broke = has_failed
        if has_failed and not is_tolerated:
            self._eject(server, event)
        elif health.consecutive_failures and event.status in PROCESS_ANSWERED:
            self._readmit(server, event)

    def _eject(self, server: Server, event: api.AttemptFinished) -> None:
        """Ejects a server after a failed connection, or extends the backoff of an ejected one."""
        health = server.connection
        is_first = not health.consecutive_failures
        settings = self.context.settings
        backoff_ns = health.eject(self.context.now_ns, settings.connect_timeout_ns, self.context.random)
        if is_first:
            self._log(
                f"server ejected server={event.server} reason={event.status.value} "
                f"backoff_ms={backoff_ns // 1_000_000}"
            )

    def _readmit(self, server: Server, event: api.AttemptFinished) -> None:
        """Readmits an ejected server that has answered."""
        down_ns = self.context.now_ns - server.connection.down_since_ns
        server.connection.readmit()
        self._log(f"server answers again server={event.server} after_ms={down_ns // 1_000_000}")
        # A restarted process has a cold cache, and no connection survives its restart; the endpoint list
        # reports the restart only later. While most connects are refused, the failure was more likely a full
        # connection table than a restart.
        is_restart = down_ns > MIN_RESTART_DOWN_NS and not event.connection_reused
        if is_restart and not self.are_connection_tables_full():
            server.slow_start.started_at_ns = self.context.now_ns

    def _record_latency(
        self, server: Server, event: api.AttemptFinished, is_queue_full: bool, is_reachable: bool
    ) -> None:
        """Updates the server's latency and its share of its key range."""
        now_ns = self.context.now_ns
        status = event.status
        is_hit = status is api.AttemptStatus.OK
        is_answered = status in ANSWERED
        if is_answered:
            server.slow_start.served.add(now_ns, 1.0 if is_hit else 0.0)
            if server is not self.server_list.origin:
                self.mean_cache_latency_ns += (event.elapsed_ns - self.mean_cache_latency_ns) * SMOOTHING
            server.record_answered_attempt(now_ns, now_ns - event.elapsed_ns)
        is_overloaded = is_queue_full or (is_reachable and self._is_overload_timeout(server, event))
        objective_ns = self.context.shortest_objective_ns
        # A rejection from a full queue is fast, but does not mean that the server is fast.
        elapsed_ns = objective_ns if is_queue_full else event.elapsed_ns
        # A probe that misses counts too: the keys of an overloaded server have moved elsewhere, so its probes
        # mostly miss, and it would never be seen to recover.
        is_probe_miss = status is api.AttemptStatus.MISS and server.is_probing
        if is_overloaded or is_hit or is_probe_miss:
            in_flight = server.in_flight + 1
            routers_to_account_for = self.gossip.routers_to_account_for()
            server.record_answer(now_ns, self.span_ns, elapsed_ns, in_flight, routers_to_account_for)
            self.gossip.observe(server, elapsed_ns)
        if is_overloaded or is_answered:
            is_slow = elapsed_ns > objective_ns // RANGE_CUT_LATENCIES_PER_OBJECTIVE
            server.adjust_range_share(now_ns, event.elapsed_ns, is_slow)

    def _is_overload_timeout(self, server: Server, event: api.AttemptFinished) -> bool:
        """Returns whether the attempt timed out because its server is overloaded.

        If the server has answered an attempt that was sent later, only this connection went silent, and the
        server is not overloaded. A timeout shorter than the average latency proves no overload either.
        """
        if event.status is not api.AttemptStatus.TIMEOUT:
            return False
        sent_at_ns = self.context.now_ns - event.elapsed_ns
        has_answered_later = server.last_answered_sent_at_ns > sent_at_ns
        return not has_answered_later and event.elapsed_ns >= server.latency.average_ns

    def _log(self, text: str) -> None:
        self.context.actions.append(api.LogLine(text))
