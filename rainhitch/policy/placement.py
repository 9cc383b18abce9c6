"""Where a request for a key goes: to the key's previous holder, its owner, or a stand-in for the owner.

Keys belong to servers by equal ranges of the hash space (key_ranges.py). While a change of the list moves
them (key_migration.py), a key is read where it is held.
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

# Of a request's latency objective: an answer that takes longer is slow, and its server overloaded.
SLOW_ANSWER_FRACTION = 3 / 4
# The same for requests over their tenant's quota, which are shed first: with this mean, e^-4 of them are
# late.
SLOW_ANSWER_FRACTION_OVER_QUOTA = 1 / 4
CROWD_FACTOR = 4  # times its uncrowded answer time at which a server is overloaded
CROWD_FACTOR_OVER_QUOTA = 2  # the same for requests over their tenant's quota
MAX_RANGE_SPILLS = 2  # servers whose ranges' far ends a key passes on its way to who bears it
MAX_OVERLOADED_TRIED = 2  # overloaded servers found on a request's way before it is rejected
ARRIVAL_RATE_SPAN_OBJECTIVES = 4  # shortest latency objectives over which arrivals are counted


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
        """Takes the sorted ids of the ready cache servers."""
        before = self.ranges.names
        if self.ranges.set_servers(names) and before:
            self.migration.begin(before, names)

    def count_arrival(self, request: api.Request) -> int:
        """Counts a request; gives how many owners of a hot key's ranges it skips, drawn evenly.

        Guards against a hot key that overloads its one cache server: it is spread over as many as it fills.
        """
        self.arrival_rate.add(self.context.now_ns)
        if request.key is None:
            return 0
        servers = len(self.ranges.names)
        spread = min(servers, self.popularity.count_and_spread(request.key, servers))
        return self.context.random.randrange(1 + spread)

    def choose(self, pending: PendingRequest) -> Server | None:
        """The server that a request goes to, None if it is to be rejected.

        1. A key that this router has seen elsewhere moves to its owner now, if the pace of moves allows it.
        2. Else it is read at its previous holder, if that has capacity.
        3. Else it goes to the owner of its range, or who stands in for that.
        """
        pending.is_migrating = False
        pending.at_previous_holder = False
        path = self._owners_of_key(pending)
        holder = None
        if path and not pending.skipped_owners and self.context.settings.migration_fraction >= 0:
            holder, is_seen = self._previous_holder(pending, path)
            if holder is not None and is_seen and self.migration.take_move_token():
                owner = self._owner_or_next(pending)
                # Guards against two moves in place of one: a key does not move to a server that stands in.
                if owner is not None and owner.endpoint.server in path:
                    pending.is_migrating = True
                    return owner
                self.migration.return_token()
        if holder is not None and self._admits(holder, pending):
            pending.at_previous_holder = True
            return holder
        return self._owner_or_next(pending)

    def _owners_of_key(self, pending: PendingRequest) -> list[str]:
        """The owner of a key's range, and the next servers up to who bears the part in which the key lies."""
        if pending.request.key is None:
            return []
        depth, _, names = self.ranges.locate(pending.request.key)
        servers = self.servers.servers
        spills = 0
        while spills < min(MAX_RANGE_SPILLS, len(names)) and not servers[names[spills]].bears(depth):
            spills += 1
        return names[: 1 + spills]

    def _previous_holder(self, pending: PendingRequest, path: list[str]) -> tuple[Server | None, bool]:
        """The server that holds a key until it moves, and whether the key was seen.

        That is the server at which the key was last seen hit. A key that was not seen was held, if at all, by
        its owner before the list changed. None if there is no such server to ask: one on the key's `path` of
        owners does not count, nor one that holds nothing now.
        """
        key = pending.request.key or ""
        seen = self.key_memory.seen.get(key)
        if seen is not None and not pending.likely_miss:
            held_since_ns, name = seen
        elif self.migration.began_at_ns >= 0 and seen is None and not pending.missed_at:
            held_since_ns = self.migration.began_at_ns
            name = self.migration.previous_ranges.owner(key)
        else:
            return None, False
        holder = self.servers.servers.get(name)
        if holder is None or name in path or name in pending.tried_servers:
            return None, False
        if not self.servers.is_usable(holder) or holder.slow_start.started_at_ns > held_since_ns:
            return None, False
        # Rule 4 (no server in slow start gets more than it can take): it gets requests for its own range
        # alone.
        if holder.slow_start.slow_start_fraction(self.context.now_ns, self.context.settings) < 1:
            holder = None
        return holder, seen is not None

    def _latency_limit_ns(self, pending: PendingRequest) -> float:
        """The answer time past which a server is overloaded for this request."""
        fraction = SLOW_ANSWER_FRACTION_OVER_QUOTA if pending.over_quota else SLOW_ANSWER_FRACTION
        return pending.request_class.latency_objective_ns * fraction

    def _admits(self, server: Server, pending: PendingRequest) -> bool:
        """Whether a server is not overloaded for this request, or a probe is due, which begins with it."""
        return server.admits_or_starts_probe(
            self.context.now_ns,
            self._latency_limit_ns(pending),
            CROWD_FACTOR_OVER_QUOTA if pending.over_quota else CROWD_FACTOR,
            self.servers.gossip.routers_to_account_for(),
            self.context.settings.router_count,
        )

    def _owner_or_next(self, pending: PendingRequest) -> Server | None:
        """The owner of a request's range, or the next in range order where that may not be used.

        The request passes a server in slow start that does not admit it, one that is ejected, and up to two
        that don't bear the far end of their range. It spills once from an overloaded server to the next. None
        if there is nobody left: it is to be rejected. A request without a key goes by its id.
        """
        depth, slow_start_from, names = self.ranges.locate(pending.request.key or pending.request.id)
        candidates = self._candidates(pending, names)
        range_spills = 0
        overloaded = 0
        for server in candidates:
            if server.endpoint.server in pending.tried_servers:
                continue
            # The owner takes a key at an instant of its slow start that the key's hash gives, others none
            # until their slow start is over.
            min_fraction = slow_start_from if server.endpoint.server == names[0] else 1
            if not self._admits_in_slow_start(server, pending, min_fraction, len(candidates)):
                continue
            # Guards against a range that is more than its server bears: the far end passes to the next.
            is_spilled = range_spills < MAX_RANGE_SPILLS and not server.bears(depth)
            if is_spilled or not self.servers.is_usable(server):
                if not server.connection.consecutive_failures:
                    range_spills += 1
                continue
            if self._admits(server, pending):
                return server
            # Guards against a storm of rejections by full servers: work spills once, or is rejected here. And
            # against neighbours that fail together: one that is slow with nothing of ours there does not
            # count.
            latency = server.latency
            if latency.average_ns <= self._latency_limit_ns(pending) * latency.mean_in_flight:
                overloaded += 1
            if pending.over_quota or overloaded == MAX_OVERLOADED_TRIED:
                break
        return None

    def _candidates(self, pending: PendingRequest, names: list[str]) -> list[Server]:
        """All servers in the order in which they are asked for this request."""
        known = self.servers.servers
        candidates = [known[name] for name in names if name in known]
        if pending.skipped_owners:
            candidates = candidates[pending.skipped_owners :] + candidates[: pending.skipped_owners]
        if self.servers.attempts.are_connection_tables_full():
            # While most new connects are refused, servers that this router is connected to go first.
            candidates.sort(key=lambda server: not server.connection.accepts_connections)
        return candidates

    def _admits_in_slow_start(
        self, server: Server, pending: PendingRequest, min_fraction: float, servers: int
    ) -> bool:
        """Whether a server that may be in slow start gets this request.

        Keeps rule 4: no server in slow start gets more than it can take.

        Takes a token of its budget if it is in slow start and gets the request. `min_fraction`: the part of
        its capacity from which on it gets the key; `servers`: how many there are.
        """
        now_ns = self.context.now_ns
        fraction = server.slow_start.slow_start_fraction(now_ns, self.context.settings)
        if fraction < min_fraction:
            return False
        if fraction >= 1:
            return True
        # Guards against a hot key that a starting server takes up, from all routers at once.
        heat = self.popularity.heat(pending.request.key or "", servers)
        arrivals_per_s = self.arrival_rate.per_second(now_ns) / servers
        return self.servers.admits_in_slow_start(server, fraction, heat, arrivals_per_s)
