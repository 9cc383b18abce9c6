"""Placement: chooses the previous holder of a request's key, the key's owner or a replacement for the owner.

Each server owns an equal range of the hash space (key_ranges.py). While keys migrate after a change of the
server list (key_migration.py), a key is read from the server that holds it.
"""

from rainhitch import interface as api
from rainhitch.policy.decision_context import DecisionContext
from rainhitch.policy.key_memory import KeyMemory
from rainhitch.policy.key_migration import KeyMigration
from rainhitch.policy.key_popularity import KeyPopularity
from rainhitch.policy.key_ranges import KeyRanges
from rainhitch.policy.pending_request import PendingRequest
from rainhitch.policy.rates import DecayingRate
from rainhitch.policy.server import Server
from rainhitch.policy.server_registry import ServerRegistry

# Fraction of the latency objective above which an answer is slow and its server counts as overloaded.
SLOW_ANSWER_FRACTION = 3 / 4
# SLOW_ANSWER_FRACTION for requests over their tenant's quota, which are shed first. Of exponentially
# distributed latencies with this mean, a fraction of e^-4 exceeds the objective.
SLOW_ANSWER_FRACTION_OVER_QUOTA = 1 / 4
OVERLOAD_FACTOR = 4  # multiple of its unloaded latency above which a server is overloaded
OVERLOAD_FACTOR_OVER_QUOTA = 2  # OVERLOAD_FACTOR for requests over their tenant's quota
MAX_RANGE_SPILLS = 2  # servers that a key may skip because their reduced range share excludes it
MAX_OVERLOADED_TRIED = 2  # overloaded servers after which a request is rejected
ARRIVAL_RATE_SPAN_OBJECTIVES = 4  # averaging window of the arrival rate, in shortest latency objectives


class Placement:
    """Chooses the cache server for a request."""

    def __init__(
        self,
        context: DecisionContext,
        servers: ServerRegistry,
        key_memory: KeyMemory,
        migration: KeyMigration,
    ) -> None:
        self.context = context
        self.servers = servers
        self.key_memory = key_memory
        self.migration = migration
        self.ranges = KeyRanges()
        self.popularity = KeyPopularity()
        self.arrival_rate = DecayingRate(ARRIVAL_RATE_SPAN_OBJECTIVES * context.shortest_objective_ns)

    def set_servers(self, names: list[str]) -> None:
        """Sets the ready cache servers, given as sorted ids; a change begins a key migration."""
        before = self.ranges.names
        if self.ranges.set_servers(names) and before:
            self.migration.begin(before, names)

    def count_arrival(self, request: api.Request) -> int:
        """Counts a request; returns how many servers it skips if its key is hot, drawn uniformly.

        A hot key would overload a single cache server, so it is spread over as many as its load needs.
        """
        self.arrival_rate.add(self.context.now_ns)
        if request.key is None:
            return 0
        server_count = len(self.ranges.names)
        spread = min(server_count, self.popularity.count_and_spread(request.key, server_count))
        return self.context.random.randrange(1 + spread)

    def choose(self, pending: PendingRequest) -> Server | None:
        """Returns the server for a request, or None if the request has to be rejected.

        1. A key last seen at another server than its owner migrates to the owner if a migration token is
           available.
        2. Otherwise it is read from its previous holder, if that has capacity.
        3. Otherwise the request goes to the owner of its range, or to a replacement for the owner.
        """
        pending.is_migrating = False
        pending.at_previous_holder = False
        path = self._owners_of_key(pending)
        holder = None
        if path and not pending.skipped_owners and self.context.settings.migration_fraction >= 0:
            holder, is_seen = self._previous_holder(pending, path)
            if holder is not None and is_seen and self.migration.take_token():
                owner = self._owner_or_next(pending)
                # A key does not migrate to a replacement for its owner, or it would have to migrate twice.
                if owner is not None and owner.endpoint.server in path:
                    pending.is_migrating = True
                    return owner
                self.migration.return_token()
        if holder is not None and self._admits(holder, pending):
            pending.at_previous_holder = True
            return holder
        return self._owner_or_next(pending)

    def _owners_of_key(self, pending: PendingRequest) -> list[str]:
        """Returns the owner of a key's range and the next servers, up to the first that serves the key."""
        if pending.request.key is None:
            return []
        position, _, names = self.ranges.locate(pending.request.key)
        servers = self.servers.servers
        spills = 0
        while spills < min(MAX_RANGE_SPILLS, len(names)) and not servers[names[spills]].serves(position):
            spills += 1
        return names[: 1 + spills]

    def _previous_holder(self, pending: PendingRequest, path: list[str]) -> tuple[Server | None, bool]:
        """Returns the server that holds a key until it migrates, and whether this router has seen the key.

        That is the server last seen to hold the key. A key that was not seen can only be at its owner before
        the list changed. The server is None if it is on the key's `path` of owners, was tried already, cannot
        be used, is in slow start, or was restarted and lost the key.
        """
        key = pending.request.key or ""
        seen = self.key_memory.seen.get(key)
        if seen is not None and not pending.likely_miss:
            held_since_ns, name = seen
        elif self.migration.began_at_ns >= 0 and seen is None and not pending.missed_server:
            held_since_ns = self.migration.began_at_ns
            name = self.migration.previous_ranges.owner(key)
        else:
            return None, False
        holder = self.servers.servers.get(name)
        if holder is None or name in path or name in pending.tried_servers:
            return None, False
        if not self.servers.is_usable(holder) or holder.slow_start.started_at_ns > held_since_ns:
            return None, False
        # Rule 4 (no server in slow start gets more load than it can handle): it gets requests for its own
        # range only.
        if holder.slow_start.slow_start_fraction(self.context.now_ns, self.context.settings) < 1:
            holder = None
        return holder, seen is not None

    def _latency_limit_ns(self, pending: PendingRequest) -> float:
        """Returns the latency above which a server is overloaded for this request."""
        fraction = SLOW_ANSWER_FRACTION_OVER_QUOTA if pending.over_quota else SLOW_ANSWER_FRACTION
        return pending.request_class.latency_objective_ns * fraction

    def _admits(self, server: Server, pending: PendingRequest) -> bool:
        """Returns whether a server has capacity for this request, or a probe is due and starts with it."""
        return server.admits_or_starts_probe(
            self.context.now_ns,
            self._latency_limit_ns(pending),
            OVERLOAD_FACTOR_OVER_QUOTA if pending.over_quota else OVERLOAD_FACTOR,
            self.servers.gossip.routers_to_account_for(),
            self.context.settings.router_count,
        )

    def _owner_or_next(self, pending: PendingRequest) -> Server | None:
        """Returns the owner of a request's range, or the next usable server in range order.

        The request skips servers in slow start that do not admit it, ejected servers, and up to two servers
        whose reduced range share excludes it. It spills once from an overloaded server to the next. If no
        server is left, the result is None, and the request has to be rejected. A request without a key is
        placed by its id.
        """
        position, slow_start_from, names = self.ranges.locate(pending.request.key or pending.request.id)
        candidates = self._candidates(pending, names)
        range_spills = 0
        overloaded = 0
        for server in candidates:
            if server.endpoint.server in pending.tried_servers:
                continue
            # The owner takes a key from a point of its slow start on that the key's hash determines. Other
            # servers take it only after their slow start.
            min_fraction = slow_start_from if server.endpoint.server == names[0] else 1
            if not self._admits_in_slow_start(server, pending, min_fraction, len(candidates)):
                continue
            # The far end of a range passes to the next server if its owner cannot handle the whole range.
            is_spilled = range_spills < MAX_RANGE_SPILLS and not server.serves(position)
            if is_spilled or not self.servers.is_usable(server):
                if not server.connection.consecutive_failures:
                    range_spills += 1
                continue
            if self._admits(server, pending):
                return server
            # A request spills once and is then rejected here, because full servers would otherwise cause a
            # storm of rejections. A server that is slow without any load from this router does not count, so
            # that several adjacent servers that fail together are skipped.
            latency = server.latency
            if latency.average_ns <= self._latency_limit_ns(pending) * latency.mean_in_flight:
                overloaded += 1
            if pending.over_quota or overloaded == MAX_OVERLOADED_TRIED:
                break
        return None

    def _candidates(self, pending: PendingRequest, names: list[str]) -> list[Server]:
        """Returns all servers in the order in which this request tries them."""
        known = self.servers.servers
        candidates = [known[name] for name in names if name in known]
        if pending.skipped_owners:
            candidates = candidates[pending.skipped_owners :] + candidates[: pending.skipped_owners]
        if self.servers.attempts.are_connection_tables_full():
            # While most new connects are refused, servers that accepted this router's last one come first.
            candidates.sort(key=lambda server: not server.connection.accepts_connections)
        return candidates

    def _admits_in_slow_start(
        self, server: Server, pending: PendingRequest, min_fraction: float, server_count: int
    ) -> bool:
        """Returns whether a server, which may be in slow start, admits this request.

        Enforces rule 4: no server in slow start gets more load than it can handle.

        A server in slow start spends a token of its budget on the request. `min_fraction` is the fraction of
        its capacity from which on it takes the key; `server_count` is the number of servers.
        """
        now_ns = self.context.now_ns
        fraction = server.slow_start.slow_start_fraction(now_ns, self.context.settings)
        if fraction < min_fraction:
            return False
        if fraction >= 1:
            return True
        # Without this, all routers would send a hot key to a starting server at the same time.
        fair_shares = self.popularity.fair_shares(pending.request.key or "", server_count)
        arrivals_per_s = self.arrival_rate.per_second(now_ns) / server_count
        return self.servers.admits_in_slow_start(server, fraction, fair_shares, arrivals_per_s)
