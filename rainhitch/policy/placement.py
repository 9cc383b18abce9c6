"""Where a key lives: ranges of the hash space over the sorted list, and who stands in for an owner."""

from zlib import crc32

from rainhitch import interface as api
from rainhitch.policy.jobs import Job
from rainhitch.policy.rates import SECOND, SMOOTHING, Rate
from rainhitch.policy.servers import Fleet, Server
from rainhitch.policy.turn import Turn

KEYS_KEPT = 1 << 14  # keys remembered; the oldest are forgotten first
SLOW = 3 / 4  # part of a request's aim past which an answer is slow and its server swamped
SLOW_IF_MARKED = 1 / 4  # the same for marked work, which is shed first: a mean there leaves e^-4 late
CROWD, CROWD_IF_MARKED = 4, 2  # times its uncrowded answer time at which a server is swamped
DEALS_KEPT = 32  # lists remembered while keys move from one to the next
SAMPLES = 8  # requests counted for each server before old ones count half
UNKNOWN = 63  # the age of keys that are not remembered


class KeyRanges:
    """The hash space in equal ranges, dealt to the sorted ids of a list. Guards against a remap flood: once
    a turn each key takes up the list, at an instant its hash gives; so too a cold server's part grows."""

    def __init__(self, turn: int) -> None:
        self.turn = max(1, turn)
        self.deals: list[tuple[int, list[str]]] = [(0, [])]
        self.chains: dict[tuple[str, int], list[str]] = {}  # by owner and place in the newest deal

    def deal(self, now: int, names: list[str]) -> None:
        """Notes a new list; deals that every key has left behind are forgotten."""
        if names == self.deals[-1][1]:
            return
        self.deals.append((now, names))
        self.chains = {}
        done = max(n for n, (since, _) in enumerate(self.deals) if n < 1 or since <= now - self.turn)
        self.deals = self.deals[max(done, not self.deals[0][1]) :][-DEALS_KEPT:]

    def locate(self, key: str, now: int) -> tuple[float, int, list[str]]:
        """How deep in its range a key lies, when it last took up a list, and where to look for it: with the
        owner of its range in that list, with its owner by now, then with the next in range order."""
        code, order = crc32(key.encode()), self.deals[-1][1]
        at = now - (now - ((code & 0xFFFF) * self.turn >> 16)) % self.turn
        held = next((names for since, names in reversed(self.deals) if since <= at), self.deals[0][1])
        start, depth = divmod(code * len(order), 1 << 32)
        owner = held[code * len(held) >> 32] if held else ""
        chain = self.chains.get((owner, start))
        if chain is None:
            whole = [owner] * bool(held) + order[start:] + order[:start]
            chain = self.chains[owner, start] = list(dict.fromkeys(whole))
        return depth / 2**32, at, chain


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
        before = self.seen.get(key, 0) * servers
        self.seen[key] = self.seen.get(key, 0) + 1
        return 2 * before // self.total if before >= self.total else 0  # a server bears about two


class KeyMemory:
    """Which keys were lately seen hit, and up to which age that made another hit likely."""

    def __init__(self) -> None:
        self.seen: dict[str, int] = {}
        # By the logarithm of the age; the last is for keys not remembered, taken as misses until seen to hit.
        self.hit_share = [1.0] * UNKNOWN + [0.0]

    def _age(self, key: str, now: int) -> int:
        return (now - self.seen[key] >> 26).bit_length() if key in self.seen else UNKNOWN

    def likely_miss(self, key: str, now: int) -> bool:
        return self.hit_share[self._age(key, now)] < 0.5

    def learn(self, key: str, now: int, hit: bool) -> None:
        age = self._age(key, now)
        self.hit_share[age] += (hit - self.hit_share[age]) * SMOOTHING
        self.seen.pop(key, None)
        if hit:
            self.put(key, now)

    def put(self, key: str, now: int) -> None:
        self.seen.pop(key, None)
        self.seen[key] = now
        if len(self.seen) > KEYS_KEPT:
            del self.seen[next(iter(self.seen))]


class Placement:
    """Chooses the cache server for a request."""

    def __init__(self, turn: Turn, fleet: Fleet) -> None:
        self.turn, self.fleet = turn, fleet
        self.ranges, self.popularity = KeyRanges(turn.settings.ramp_time), Popularity()
        self.flow = Rate(4 * turn.shortest_aim)

    def arrived(self, request: api.Request) -> int:
        """Counts a request; gives how many owners of a hot key's ranges it passes by."""
        self.flow.add(self.turn.now)
        if request.key is None:
            return 0
        # Guards against a hot key that swamps its one cache: it takes as many ranges as it fills.
        servers = len(self.ranges.deals[-1][1])
        return self.turn.random.randrange(1 + min(servers, self.popularity.fills(request.key, servers)))

    def choose(self, job: Job) -> Server | None:
        """The owner of the key's range, or the next in range order where a departure acts."""
        limit, crowd = job.spec.aim * SLOW, CROWD
        if job.marked:
            limit, crowd = job.spec.aim * SLOW_IF_MARKED, CROWD_IF_MARKED
        hops = passed = 0
        depth, taken_up, names = self.ranges.locate(job.request.key or job.request.id, self.turn.now)
        near = [self.fleet.servers[name] for name in names if name in self.fleet.servers]
        owner = names[0] if names else ""
        if job.skip:
            near = near[job.skip :] + near[: job.skip]
        if self.fleet.crowded > 1 / 2:
            # Guards against full connection tables: while most connects are refused, those there are do.
            near.sort(key=lambda server: not server.linked)
        for server in near:
            name = server.member.server
            # Rule 4: a server that warms up bears of its own range what was taken up since it started.
            warm = taken_up if name == owner else self.turn.now - self.turn.settings.ramp_time
            if name in job.tried or server.cold_since > max(0, warm):
                continue
            if 0 < server.cold_since > self.turn.now - self.turn.settings.ramp_time:
                # Guards against hot keys that a warming server takes up: it gets half the mean flow at most.
                rate = self.flow.per_second(self.turn.now) / len(near) / 2
                if not server.budget.take(
                    self.turn.now, rate, rate * self.turn.settings.fall_time / SECOND / 4
                ):
                    continue
            # Guards against a range that is more than its server bears: the far end passes to the next.
            if not server.open(self.turn.now) or (passed < 2 and depth >= server.share * server.size):
                passed += server.fails == 0
                continue
            # Guards against a storm of full answers: work spills once, to a calm server, or is refused.
            if server.calm(self.turn.now, limit, crowd, self.turn.settings.balancers):
                return server
            # Guards against neighbours that fail together: who is slow with nothing of ours out is passed by.
            hops += server.latency <= limit * server.held
            if job.marked or hops == 2:
                break
        return None
