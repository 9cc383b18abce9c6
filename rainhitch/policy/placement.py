"""Where a key is looked for: by hash ranges over the sorted list, where it was seen, who stands in."""

from rainhitch import interface as api
from rainhitch.policy.decision_context import DecisionContext
from rainhitch.policy.key_migration import KeyMigration
from rainhitch.policy.key_ranges import KeyRanges
from rainhitch.policy.pending_request import PendingRequest
from rainhitch.policy.rates import SMOOTHING, DecayingRate
from rainhitch.policy.server_registry import Server, ServerRegistry

KEYS_KEPT = 1 << 14  # keys remembered; the oldest are forgotten first
SLOW = 3 / 4  # part of a request's aim past which an answer is slow and its server swamped
SLOW_IF_MARKED = 1 / 4  # the same for marked work, which is shed first: a mean there leaves e^-4 late
CROWD, CROWD_IF_MARKED = 4, 2  # times its uncrowded answer time at which a server is swamped
SAMPLES = 8  # requests counted for each server before old ones count half
UNKNOWN = 63  # the age of keys that are not remembered


class Popularity:
    """How often each key was asked for among this router's latest requests."""

    def __init__(self) -> None:
        self.seen: dict[str, int] = {}
        self.total = 0

    def fills(self, key: str, servers: int) -> int:
        """Counts a request; tells how many servers' fair shares of all requests its key makes up."""
        if self.total >= SAMPLES * max(1, servers):
            self.seen = {name: count // 2 for name, count in self.seen.items() if count > 1}
            self.total //= 2
        self.total += 1
        # Guards against a router that sees few: among a handful of requests each that comes twice looks hot.
        heat = self.heat(key, servers) * self.total / max(self.total, SAMPLES * servers // 2)
        self.seen[key] = self.seen.get(key, 0) + 1
        return int(2 * heat) if heat >= 1 else 0  # a server bears about two

    def heat(self, key: str, servers: int) -> float:
        """How many servers' fair shares of the requests so far a key makes up."""
        return self.seen.get(key, 0) * servers / max(1, self.total)


class KeyMemory:
    """Which keys were lately seen hit, where, and up to which age that made another hit likely."""

    def __init__(self) -> None:
        self.seen: dict[str, tuple[int, str]] = {}  # when and where
        # By the logarithm of the age; the last is for keys not remembered, taken as misses until seen to hit.
        self.hit_share = [1.0] * UNKNOWN + [0.0]

    def _age(self, key: str, now: int) -> int:
        return (now - self.seen[key][0] >> 26).bit_length() if key in self.seen else UNKNOWN

    def likely_miss(self, key: str, now: int) -> bool:
        return self.hit_share[self._age(key, now)] < 0.5

    def record_read(self, key: str, now: int, server: str, hit: bool) -> None:
        age = self._age(key, now)
        self.hit_share[age] += (hit - self.hit_share[age]) * SMOOTHING
        if hit:
            self.remember(key, now, server)
        else:
            self.seen.pop(key, None)

    def forget_keys(self, event: api.KeysInvalidated) -> None:
        """A server holds these keys no more, or none at all: another read of them is a likely miss."""
        for key in list(self.seen) if event.keys is None else event.keys:
            if key in self.seen and self.seen[key][1] == event.server:
                del self.seen[key]

    def remember(self, key: str, now: int, server: str) -> None:
        """Notes where a key is held from now on; no server: where it was."""
        _, before = self.seen.pop(key, (0, ""))
        self.seen[key] = now, server or before
        if len(self.seen) > KEYS_KEPT:
            del self.seen[next(iter(self.seen))]


class Placement:
    """Chooses the cache server for a request."""

    def __init__(
        self, turn: DecisionContext, fleet: ServerRegistry, memory: KeyMemory, moves: KeyMigration
    ) -> None:
        self.context, self.servers, self.key_memory, self.migration = turn, fleet, memory, moves
        self.ranges, self.popularity = KeyRanges(), Popularity()
        self.arrival_rate = DecayingRate(4 * turn.shortest_objective_ns)

    def set_servers(self, names: list[str]) -> None:
        """Takes up the sorted ids of the ready cache servers."""
        before = self.ranges.names
        if self.ranges.set_servers(names) and before:
            self.migration.begin(before, names)

    def count_arrival(self, request: api.Request) -> int:
        """Counts a request; gives how many owners of a hot key's ranges it passes by."""
        self.arrival_rate.add(self.context.now_ns)
        if request.key is None:
            return 0
        # Guards against a hot key that swamps its one cache: it takes as many ranges as it fills.
        servers = len(self.ranges.names)
        return self.context.random.randrange(1 + min(servers, self.popularity.fills(request.key, servers)))

    def choose(self, job: PendingRequest) -> Server | None:
        """Where the key is held while it may not move yet, else its owner or who stands in."""
        path, holder = self._path(job), None
        job.is_migrating = job.at_previous_owner = False
        if path and not job.skipped_owners and self.context.settings.migration_fraction >= 0:
            holder, known = self._holder(job, path)
            if holder is not None and known and self.migration.may_move():
                owner = self._owner(job)
                # Guards against two moves in place of one: a key does not move to who stands in.
                if owner is not None and owner.endpoint.server in path:
                    job.is_migrating = True
                    return owner
                self.migration.return_token()
        if holder is not None and holder.has_capacity(self.context.now_ns, *self._limits(job)):
            job.at_previous_owner = True
            return holder
        return self._owner(job)

    def _path(self, job: PendingRequest) -> list[str]:
        """The owner of a key's range, and who bears the far end where it lies there."""
        if job.request.key is None:
            return []
        depth, _, names = self.ranges.locate(job.request.key)
        servers, far = self.servers.servers, 0
        while (
            far < 2
            and far < len(names)
            and depth >= servers[names[far]].range_share * servers[names[far]].relative_weight
        ):
            far += 1
        return names[: 1 + far]

    def _holder(self, job: PendingRequest, path: list[str]) -> tuple[Server | None, bool]:
        """The server that a key was last seen at, or would have been before the transition, if that is not
        on its path and may be asked; and whether the key was seen."""
        key = job.request.key or ""
        seen = self.key_memory.seen.get(key)
        if seen is not None and not job.likely_miss:
            at, name = seen
        elif self.migration.began_at_ns >= 0 and seen is None and not job.missed_at:
            at, name = self.migration.began_at_ns, self.migration.previous_ranges.locate(key)[2][0]
        else:
            return None, False
        holder = self.servers.servers.get(name)
        usable = holder is not None and name not in path and name not in job.tried_servers
        if holder is None or not usable or not self.servers.is_usable(holder) or holder.slow_start_at_ns > at:
            return None, False
        cold = (
            holder.slow_start_fraction(self.context.now_ns, self.context.settings) < 1
        )  # rule 4: it gets its own range alone
        return None if cold else holder, seen is not None

    def _limits(self, job: PendingRequest) -> tuple[float, int, int, int]:
        """What makes a server swamped for this request: answer time, crowd; routers unheard, and all."""
        slow, crowd = (SLOW_IF_MARKED, CROWD_IF_MARKED) if job.over_quota else (SLOW, CROWD)
        return (
            job.request_class.latency_objective_ns * slow,
            crowd,
            self.servers.silent_routers(),
            self.context.settings.router_count,
        )

    def _owner(self, job: PendingRequest) -> Server | None:
        """The owner of the key's range, or the next in range order where a departure acts."""
        limits = limit, *_ = self._limits(job)
        hops = passed = 0
        depth, instant, names = self.ranges.locate(job.request.key or job.request.id)
        near = [self.servers.servers[name] for name in names if name in self.servers.servers]
        owner = names[0] if names else ""
        if job.skipped_owners:
            near = near[job.skipped_owners :] + near[: job.skipped_owners]
        if self.servers.refused_connects > 1 / 2:
            # Guards against full connection tables: while most connects are refused, those there are do.
            near.sort(key=lambda server: not server.accepts_connections)
        for server in near:
            name = server.endpoint.server
            # Rule 4: a server that warms up takes up its own range key by key, at an instant its hash gives,
            # as its capacity grows from the part that it is said to start with.
            part = server.slow_start_fraction(self.context.now_ns, self.context.settings)
            if name in job.tried_servers or part < (instant if name == owner else 1):
                continue
            if part < 1:
                # Guards against a hot key that a warming server takes up, from all routers at once.
                heat = self.popularity.heat(job.request.key or "", len(near))
                if not self.servers.admits_in_slow_start(
                    server, part, heat, self.arrival_rate.per_second(self.context.now_ns) / len(near)
                ):
                    continue
            # Guards against a range that is more than its server bears: the far end passes to the next.
            if not self.servers.is_usable(server) or (
                passed < 2 and depth >= server.range_share * server.relative_weight
            ):
                passed += server.consecutive_failures == 0
                continue
            # Guards against a storm of full answers: work spills once, to a calm server, or is refused.
            if server.has_capacity(self.context.now_ns, *limits):
                return server
            # Guards against neighbours that fail together: who is slow with nothing of ours out is passed by.
            hops += server.latency_ns <= limit * server.mean_in_flight
            if job.over_quota or hops == 2:
                break
        return None
