"""The servers as this router has seen them: what to expect of each, and the list of them all."""

import math
from dataclasses import dataclass, field

from rainhitch import interface as api
from rainhitch.policy.decision_context import DecisionContext
from rainhitch.policy.pending_request import PendingRequest
from rainhitch.policy.rates import SECOND, SMOOTHING, DecayingRate, TokenBucket
from rainhitch.policy.zone_reachability import ZoneReachability

LATE = 2  # times its expected answer time after which an attempt that is out tells of its server
PATIENCE = 8  # expected answer times that an attempt waits; a mean there leaves e^-8 without its answer
FILL = 3 / 2  # times what warm servers serve that a cold one may be sent, for so much of its capacity
ASK_AGAIN = 2 * SECOND  # at most, after a list that was not to be had
HEARD_FOR = 8  # periods without a word after which the others are taken as unheard


@dataclass(slots=True, eq=False)
class Server:
    """What this router has seen of one server."""

    endpoint: api.Endpoint
    latency_ns: float  # moving average of answer times, ns
    uncrowded_latency_ns: float = (
        0.0  # its answer time when uncrowded: the least average seen, slowly forgotten
    )
    latency_at_ns: int = 0
    mean_in_flight: float = 1.0  # moving average of the attempts this router had out meanwhile
    in_flight: int = 0
    last_sent_at_ns: int = 0
    proven_sent_at_ns: int = 0  # when the latest attempt was sent that it has answered
    answered_at_ns: int = -SECOND  # when it last answered
    connection_broke: bool = False  # the latest attempt's connection failed or broke
    consecutive_failures: int = 0  # connections failed or broken in a row
    down_since_ns: int = 0
    retry_at_ns: int = 0
    served: DecayingRate = field(
        default_factory=lambda: DecayingRate(SECOND)
    )  # how often it serves this router
    budget: TokenBucket = field(default_factory=TokenBucket)  # of what it may be sent while it warms up
    range_share: float = 1.0  # the part of its range that it bears
    share_cut_at_ns: int = 0
    accepts_connections: bool = False  # it took this router's last connect
    relative_weight: float = 1.0  # its listed weight by the fleet's mean
    slow_start_at_ns: int = 0  # 0: warm since long ago
    is_probing: bool = False  # what is out was sent to see whether it has recovered
    load_report: api.LoadReport | None = None
    load_report_at_ns: int = 0

    def idle_adjusted_latency_ns(self, now: int, routers: int) -> float:
        """The answer time to expect by what was last learned. Guards against a crowd that left long ago: it
        is done after that time, unless others send more, of whom so many are not heard of."""
        crowd = self.latency_ns - self.uncrowded_latency_ns
        if not self.uncrowded_latency_ns or crowd <= 0:
            return self.latency_ns
        return self.uncrowded_latency_ns + crowd * math.exp(
            min(0, self.latency_at_ns - now) / (self.latency_ns * routers)
        )

    def expected_latency_ns(self, now: int, routers: int) -> float:
        """The answer time to expect of one more request, if it grows with what this router has out."""
        return self.idle_adjusted_latency_ns(now, routers) * (self.in_flight + 1) / self.mean_in_flight

    def slow_start_fraction(self, now: int, settings: api.Settings) -> float:
        """The part of its capacity that it has by now at least, if it started lately."""
        if self.slow_start_at_ns <= max(0, now - settings.slow_start_ns):
            return 1.0
        part = max(0, now - self.slow_start_at_ns) / settings.slow_start_ns
        return settings.slow_start_initial_fraction + (1 - settings.slow_start_initial_fraction) * part

    def reported_latency_ns(self, now: int) -> float:
        """The same by the server's last report, while that is fresh: it tells what other routers send."""
        load = self.load_report
        if load is None or now - self.load_report_at_ns > SECOND:
            return 0.0
        busy = max(1.0, load.served_per_s * load.latency_ms / 1000)  # cores at work, by Little's law
        return load.latency_ms * 1e6 * (load.in_flight + 1) / busy

    def has_capacity(self, now: int, limit: float, crowd: int, unheard: int, routers: int) -> bool:
        """Whether one more request is answered within the limit, and crowd times its uncrowded answer time.
        A swamped server gets one trial an answer time, to recover: from all routers, heard of or not, what
        a core serves. `unheard`: how many send without this one's hearing of it, with itself."""
        own, reported = self.expected_latency_ns(now, unheard), self.reported_latency_ns(now)
        # Guards quick servers: a few times next to nothing is no crowd.
        if (
            own <= min(limit, crowd * max(self.uncrowded_latency_ns or limit, limit / 16))
            and reported <= limit * crowd / 2
        ):
            return True
        pace = (
            self.load_report.latency_ms * 1e6 if self.load_report is not None else self.uncrowded_latency_ns
        ) * routers
        if self.in_flight or now - self.last_sent_at_ns < max(own, reported, pace):
            return False
        self.is_probing = True
        return True

    def record_answer(self, now: int, span: int, elapsed: int, out: int, routers: int) -> None:
        self.mean_in_flight += (out - self.mean_in_flight) * SMOOTHING
        self.record_latency(now, span, elapsed, routers, 1 / 2 if self.is_probing else SMOOTHING)
        self.is_probing = False

    def record_latency(
        self, now: int, span: int, elapsed: int, routers: int, least: float = SMOOTHING
    ) -> None:
        """An answer time, whoever saw it. Guards against answers that come seldom: each counts for the time
        since the last; only a silence longer than an answer time tells that a crowd has gone."""
        weight = min(max((now - self.latency_at_ns) / span, least), 1 / 2)
        if now - self.latency_at_ns > self.latency_ns * routers:
            self.latency_ns = self.idle_adjusted_latency_ns(now, routers)
        self.latency_at_ns = now
        self.latency_ns += (elapsed - self.latency_ns) * weight
        self.uncrowded_latency_ns = min(
            self.uncrowded_latency_ns * (1 + SMOOTHING / 16) or self.latency_ns, self.latency_ns
        )

    def adjust_range_share(self, now: int, elapsed: int, slow: bool) -> None:
        """A slow answer cuts the share of its range by a quarter, once a jam; a quick one adds a part."""
        if not slow:
            self.range_share = min(self.range_share + SMOOTHING / 2, 1.0)
        elif now - elapsed >= self.share_cut_at_ns:
            self.range_share, self.share_cut_at_ns = max(self.range_share * 3 / 4, SMOOTHING), now

    def is_usable(self, now: int) -> bool:
        """Whether it may be tried: one at a time after a failure, until it answers."""
        used = self.endpoint.state in (api.EndpointState.READY, api.EndpointState.RETIRING)
        return used and (not self.consecutive_failures or (now >= self.retry_at_ns and not self.in_flight))


class ServerRegistry:
    """All servers on the list, and the origin among them."""

    def __init__(self, turn: DecisionContext) -> None:
        self.context = turn
        self.servers: dict[str, Server] = {}
        self.origin: Server | None = None
        self.warm_rates: dict[
            int, tuple[int, float]
        ] = {}  # by kind: what a warm one serves this router, until when
        self.fleet_latency_ns = (
            turn.shortest_objective_ns / 8
        )  # moving average of answer times, ns, over all cache servers
        self.refused_connects = 0.0  # part of the latest new connects that were refused at once
        self.gossip_at_ns = -(1 << 62)  # when another router's word last came
        self.zones = ZoneReachability(turn.settings.connect_timeout_ns)
        self.observations: list[api.LatencyObservation] = []  # since the other routers were last told
        # Attempts that are out: where, since when, and whether they are safe to repeat.
        self.in_flight: dict[tuple[str, int], tuple[Server, int, bool]] = {}
        self.averaging_span_ns = 2 * turn.shortest_objective_ns  # ns that an average of answer times holds

    def apply_update(self, event: api.EndpointUpdate) -> list[str] | None:
        """Takes up news of the list; gives the sorted ids of the ready cache servers, None if it failed."""
        if event.kind is api.EndpointUpdateKind.FAILED:
            # Guards against news that counts as told while this router waits to ask again.
            wait = min(ASK_AGAIN, self.context.settings.poll_within_ns) * self.context.random.uniform(0.5, 1)
            self.context.actions.append(api.LogLine(f"list unavailable, asked again in {wait / 1e6:.0f} ms"))
            self.context.schedule(int(wait), self._ask)
            return None
        if event.kind is api.EndpointUpdateKind.CACHED and self.context.settings.endpoints_polled:
            self._ask(None)
        if event.kind is not api.EndpointUpdateKind.DELTA:
            named = {entry.server for entry in event.entries}
            for name in [name for name in self.servers if name not in named]:
                self._member(api.Endpoint(name, api.EndpointState.GONE), True)
        for entry in event.entries:
            self._member(entry, event.kind is api.EndpointUpdateKind.CACHED)
        origin_kind = self.context.settings.origin_kind if self.context.settings.cache_aside else -1
        ready = [
            server for server in self.servers.values() if server.endpoint.state is api.EndpointState.READY
        ]
        caches = [server for server in ready if server.endpoint.kind != origin_kind]
        self.zones.listed({server.endpoint.zone for server in caches})
        mean = sum(server.endpoint.weight for server in caches) / max(1, len(caches)) or 1.0
        for server in caches:  # guards against an equal range for an unequal machine: the small bear less
            server.relative_weight = server.endpoint.weight / mean
        self.origin = next((server for server in ready if server.endpoint.kind == origin_kind), None)
        return sorted(server.endpoint.server for server in caches)

    def _count(self, server: Server, elapsed: int, out: bool = False) -> None:
        """Keeps an answer time for the other routers, or how long an attempt has been out."""
        if self.context.settings.gossip_interval_ns and server is not self.origin:
            self.observations.append(api.LatencyObservation(server.endpoint.server, elapsed, out))

    def publish_gossip(self, _: api.GossipIntervalElapsed) -> None:
        """Guards against a fleet in which each router sees a server seldom, and all of them learn late."""
        if self.silent_routers() == 1:
            self._overdue()
        self.context.actions.append(api.PublishGossip(self.observations))
        self.observations = []

    def _overdue(self) -> None:
        """Guards against a jam of which all learn last: an attempt that is out for far longer than expected
        tells that much now. And against silence taken for a jam. Where its server has answered, to anybody,
        what was sent much later, the answer is lost: that attempt is ended, to be sent elsewhere."""
        for attempt, (server, sent, safe) in self.in_flight.items():
            age, usual = self.context.now_ns - sent, server.idle_adjusted_latency_ns(self.context.now_ns, 1)
            if age < self.context.shortest_objective_ns // 8:
                break  # the others were sent later
            if server.answered_at_ns > sent > server.proven_sent_at_ns and age > LATE * usual:
                server.record_latency(self.context.now_ns, self.averaging_span_ns, age, 1)
                self._count(server, age, True)
            elif safe and server.proven_sent_at_ns - sent > PATIENCE * usual:
                self.context.actions.append(api.CancelAttempt(*attempt))

    def apply_gossip(self, event: api.GossipReceived) -> None:
        """Takes up what another router has seen."""
        self.gossip_at_ns = self.context.now_ns
        for one in event.observations:
            server = self.servers.get(one.server)
            if server is not None and server is not self.origin:
                if not one.is_in_flight:
                    sent = self.context.now_ns - one.elapsed_ns - self.context.settings.gossip_interval_ns
                    server.proven_sent_at_ns, server.answered_at_ns = (
                        max(server.proven_sent_at_ns, sent),
                        self.context.now_ns,
                    )
                server.record_latency(self.context.now_ns, self.averaging_span_ns, one.elapsed_ns, 1)
                server.adjust_range_share(
                    self.context.now_ns,
                    one.elapsed_ns,
                    one.elapsed_ns > self.context.shortest_objective_ns // 2,
                )

    def silent_routers(self) -> int:
        """How many routers send without this one's hearing of it, with itself: all of them, or, while words
        come, itself alone."""
        settings = self.context.settings
        silent = self.context.now_ns - self.gossip_at_ns > HEARD_FOR * settings.gossip_interval_ns
        return settings.router_count if silent else 1

    def attempt_started(self, server: Server, attempt: tuple[str, int], safe: bool) -> None:
        """An attempt goes there, by its request's id and its number."""
        server.in_flight += 1
        server.last_sent_at_ns = self.context.now_ns
        if server is not self.origin:
            self.in_flight[attempt] = server, self.context.now_ns, safe
            self.zones.sent(server.endpoint.zone, self.context.now_ns)

    def is_usable(self, server: Server) -> bool:
        """Whether it may be tried, by what is known of it and of its zone."""
        return server.is_usable(self.context.now_ns) and self.zones.open(
            server.endpoint.zone, self.context.now_ns
        )

    def _reached(self, server: Server, event: api.AttemptFinished) -> bool:
        """Takes an attempt's end as a word on the way to a server's zone; whether that is open."""
        zone, log = server.endpoint.zone, self.context.actions
        if event.status in (api.AttemptStatus.OK, api.AttemptStatus.MISS, api.AttemptStatus.ERROR):
            since = self.zones.answer(zone)
            if since:
                log.append(api.LogLine(f"zone {zone} answers again"))
                self._returns(zone, since if not event.connection_reused else self.context.now_ns)
        elif event.status not in (api.AttemptStatus.CONNECT_FAILED, api.AttemptStatus.TIMEOUT):
            return not self.zones.cut(zone)
        elif self.zones.failure(zone, event.server, self.context.now_ns):
            log.append(api.LogLine(f"zone {zone} is out of reach"))
        return not self.zones.cut(zone)

    def _returns(self, zone: int, since: int) -> None:
        """Guards a room that comes back cold: each of its servers is tried once, as one that was down since
        then. Where a connection has outlived it, the room was cut off: down since just now."""
        for server in self.servers.values():
            if server.endpoint.zone == zone and server is not self.origin:
                server.retry_at_ns = self.context.now_ns
                server.down_since_ns = since
                if since < self.context.now_ns:
                    server.consecutive_failures = server.consecutive_failures or 1

    def ejected_servers(self) -> set[str]:
        """Who is tried with one attempt at a time at most, since connections there or to its zone fail."""
        cut = self.zones.cut
        return {
            name
            for name, server in self.servers.items()
            if server.consecutive_failures or cut(server.endpoint.zone)
        }

    def _member(self, entry: api.Endpoint, old: bool) -> None:
        if entry.state is api.EndpointState.GONE:
            gone = self.servers.pop(entry.server, None)
            if gone is not None:
                gone.endpoint = entry
            return
        server = self.servers.get(entry.server)
        if server is None:
            aim, now = self.context.shortest_objective_ns, self.context.now_ns
            server = Server(
                entry,
                aim / 8,
                latency_at_ns=now,
                slow_start_at_ns=entry.started_at_ns,
                served=DecayingRate(4 * aim, now),
            )
            self.servers[entry.server] = server
            if not old and not entry.started_at_ns:
                server.slow_start_at_ns = (
                    self.context.now_ns
                )  # new to the list, with no start time told: taken as cold
        elif entry.started_at_ns > server.endpoint.started_at_ns:
            server.slow_start_at_ns = max(server.slow_start_at_ns, entry.started_at_ns)
            server.consecutive_failures = 0
        server.endpoint = entry

    def admits_in_slow_start(self, server: Server, part: float, heat: float, flow: float) -> bool:
        """Rule 4: whether one more may go to a server that has so much of its capacity by now; counts it.
        What warm ones of its kind serve this router is its part of what it can. What is far beyond, by the
        `flow` to a warm one and a key's `heat`, is left to chance: each router has a first one saved up."""
        now, settings, kind = self.context.now_ns, self.context.settings, server.endpoint.kind
        until, each = self.warm_rates.get(kind, (0, 0.0))
        if now >= until:
            alike = [one for one in self.servers.values() if one.endpoint.kind == kind]
            rates = [
                one.served.per_second(now) for one in alike if one.slow_start_fraction(now, settings) == 1
            ]
            # Guards a fleet that is cold as a whole: one a second, of all routers, shows what it bears.
            each = max(sum(rates) / max(1, len(rates)), 1 / settings.router_count)
            self.warm_rates[kind] = now + settings.slow_start_window_ns // 8, each
        if self.context.random.random() * flow * max(1.0, heat / part) >= 2 * each:
            return False
        rate = FILL * each * part
        return server.budget.take(now, rate, rate * settings.slow_start_window_ns / SECOND / 4)

    def _ask(self, _: PendingRequest | None) -> None:
        self.context.actions.append(api.WatchEndpoints())

    def attempt_finished(self, event: api.AttemptFinished) -> None:
        """Learns from how an attempt ended."""
        self.in_flight.pop((event.id, event.attempt), None)
        server = self.servers.get(event.server)
        if server is None:
            return
        server.in_flight = max(0, server.in_flight - 1)
        status, load = event.status, event.load
        if status is api.AttemptStatus.NO_LOCAL_CONNECTION:
            return  # it tells nothing of the server
        reached = server is self.origin or self._reached(server, event)
        if load is not None and load.in_flight >= 0 and load.latency_ms > 0:
            server.load_report, server.load_report_at_ns = load, self.context.now_ns
        failed = status in (api.AttemptStatus.CONNECT_FAILED, api.AttemptStatus.RESET)
        # Guards against a full connection table taken for a full queue: who is turned away on a connection
        # just opened has learned nothing of the server's load.
        table = status is api.AttemptStatus.FULL and event.connection_reused is False
        if (
            not server.accepts_connections
            and not server.consecutive_failures
            and event.elapsed_ns < self.context.settings.connect_timeout_ns
        ):
            self.refused_connects += ((failed or table) - self.refused_connects) * SMOOTHING
        server.accepts_connections = not failed and not table
        # Guards against one broken connection taken for a dead server, which has not answered just now.
        recent = self.context.now_ns - server.answered_at_ns < self.context.settings.connect_timeout_ns
        slip, server.connection_broke = (
            failed and not server.connection_broke and not server.consecutive_failures and recent,
            failed,
        )
        if failed and not slip:
            if not server.consecutive_failures:
                server.down_since_ns = self.context.now_ns
                self.context.actions.append(api.LogLine(f"server {event.server} unreachable"))
            server.consecutive_failures += 1
            wait = self.context.settings.connect_timeout_ns << min(server.consecutive_failures, 4)
            server.retry_at_ns = self.context.now_ns + int(wait * self.context.random.uniform(0.5, 1))
        elif server.consecutive_failures and status in (
            api.AttemptStatus.OK,
            api.AttemptStatus.MISS,
            api.AttemptStatus.FULL,
            api.AttemptStatus.ERROR,
        ):
            server.consecutive_failures = 0
            self.context.actions.append(api.LogLine(f"server {event.server} answers again"))
            if (
                self.context.now_ns - server.down_since_ns > SECOND
                and self.refused_connects <= 1 / 2
                and not event.connection_reused
            ):
                # A process that died comes back cold, before the list tells; no connection outlives it.
                server.slow_start_at_ns = self.context.now_ns
        # Guards against a swamped server whose keys went elsewhere: a trial that misses tells as well.
        full, missed = status is api.AttemptStatus.FULL and not table, status is api.AttemptStatus.MISS
        elapsed = (
            self.context.shortest_objective_ns if full else event.elapsed_ns
        )  # a quick "full" proves no quick server
        answered, sent = (
            status in (api.AttemptStatus.OK, api.AttemptStatus.MISS),
            self.context.now_ns - event.elapsed_ns,
        )
        if answered:
            server.served.add(self.context.now_ns, status is api.AttemptStatus.OK)
            self.fleet_latency_ns += (
                (event.elapsed_ns - self.fleet_latency_ns) * SMOOTHING * (server is not self.origin)
            )
            server.proven_sent_at_ns, server.answered_at_ns = (
                max(server.proven_sent_at_ns, sent),
                self.context.now_ns,
            )
        # Guards against one silent connection taken for a swamped server: who has answered what was sent
        # later is none. Nor does a time-out tell of an answer time below what was waited.
        lone = server.proven_sent_at_ns > sent or event.elapsed_ns < server.latency_ns
        # Nor does a server that is out of reach tell how crowded it is.
        silent = status is api.AttemptStatus.TIMEOUT and not lone and reached
        if full or silent or status is api.AttemptStatus.OK or (missed and server.is_probing):
            server.record_answer(
                self.context.now_ns,
                self.averaging_span_ns,
                elapsed,
                server.in_flight + 1,
                self.silent_routers(),
            )
            self._count(server, elapsed)
        if full or silent or answered:
            server.adjust_range_share(
                self.context.now_ns, event.elapsed_ns, elapsed > self.context.shortest_objective_ns // 2
            )
