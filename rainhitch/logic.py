"""Every decision of one router. Its settings, events and actions: rainhitch/interface.py.

Requests likely to miss spend tokens of Berger's rate-control throttle, which shields the shared
origin; keys follow equal hash ranges over the sorted server list. docs/design.md tells the rest.
"""

import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from zlib import crc32

from rainhitch import interface as api

SECOND = 1_000_000_000
LEAST_TOTAL = 10  # Berger: from C_J + C_T = 10 on, output hardly feels arrival rates above r
FEW_TOKENS = 2  # what a throttle turned on starts with, so that it acts at once
KEYS_KEPT = 1 << 14  # keys remembered; the oldest are forgotten first
NEVER_RAN = frozenset((api.Status.FULL, api.Status.CONNECT_FAILED, api.Status.MOOT, api.Status.MISS))
SLOW = 3 / 4  # part of a request's aim past which an answer is slow and its server swamped
SLOW_IF_MARKED = 1 / 4  # the same for marked work, which is shed first: a mean there leaves e^-4 late
CROWD, CROWD_IF_MARKED = 4, 2  # times its uncrowded answer time at which a server is swamped
NO_CROWD = 1 << 20  # no limit by it
RISE = 1 / 4  # part of its first r that r rises by in a healthy period
CALM_PERIODS = 8  # healthy periods with a full bank before the throttle goes off
DEALS_KEPT = 32  # lists remembered while keys move from one to the next
SAMPLES = 8  # requests counted for each server before old ones count half
UNKNOWN = 63  # the age of keys that are not remembered
ENOUGH = 4  # likely misses whose fate tells a healthy origin
TAIL = 1 / 16  # part of its likely misses that even a healthy origin may answer slowly
PATIENCE = 8  # expected answer times that a first attempt waits; a mean there leaves e^-8 without its answer
PART_KEPT = 10_000_000  # ns for which this router's part of the traffic is taken as known
SMOOTHING = 1 / 8  # weight of the newest sample in a moving average


class Rate:
    """How often something happened lately, in events a second, with exponential forgetting."""

    __slots__ = ("at", "mass", "span")

    def __init__(self, span: int, now: int = 0) -> None:
        self.span, self.mass, self.at = span, 0.0, now

    def add(self, now: int, amount: float = 1.0) -> None:
        self.mass = self.mass * math.exp((self.at - now) / self.span) + amount
        self.at = now

    def per_second(self, now: int) -> float:
        return self.mass * math.exp((self.at - now) / self.span) * SECOND / self.span


class Bank:
    """Tokens refilled evenly at a rate given with each use; those that reach a full bank are lost."""

    __slots__ = ("at", "tokens")

    def __init__(self) -> None:
        self.tokens, self.at = 1.0, 0

    def take(self, now: int, rate: float, most: float) -> bool:
        self.tokens = min(self.tokens + rate * (now - self.at) / SECOND, max(1.0, most))
        self.at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True, eq=False)
class Job:
    """A request this router holds, with what its attempts have proved so far."""

    request: api.Request
    spec: api.RequestClass
    due: int  # until when it is worth its full: the end of its aim, or its deadline if that is sooner
    marked: bool = False  # over its tenant's share
    likely_miss: bool = False  # its key was not lately seen hit; in through mode, not lately sent
    skip: int = 0  # owners of a hot key's ranges that this request passes by
    at_origin: bool = False  # a write, or a read that missed
    made: int = 0  # attempts so far
    live: dict[int, "tuple[Server, int]"] = field(default_factory=dict)  # may have run: where, when sent
    out: set[int] = field(default_factory=set)
    tried: set[str] = field(default_factory=set)


class Throttle:
    """Berger's bank and buffer as one signed level: tokens above 0, waiting jobs below."""

    __slots__ = ("bank", "buffer", "last", "level", "queue", "rate")

    def __init__(self, now: int, rate: float, total: int) -> None:
        self.rate, self.last = rate, now
        self.bank = self.level = FEW_TOKENS
        self.buffer = max(total, LEAST_TOTAL) - FEW_TOKENS
        self.queue: dict[str, Job] = {}

    def refill(self, now: int) -> list[Job]:
        """Takes the tokens due by now; gives the waiting jobs they free, first come first."""
        tokens = int((now - self.last) * self.rate / SECOND)
        if tokens < 1:
            return []
        self.last += math.ceil(tokens * SECOND / self.rate)
        freed = list(self.queue)[:tokens] if self.level < 0 else []
        self.level = min(self.level + tokens, self.bank)  # a full bank loses the rest
        return [self.queue.pop(name) for name in freed]

    def offer(self, job: Job) -> bool | None:
        """True: the job spent a token. None: it waits. False: it is refused."""
        if self.level > 0:
            self.level -= 1
            return True
        if -self.level >= self.buffer:
            return False
        self.level -= 1
        self.queue[job.request.id] = job
        return None

    def leave(self, job: Job) -> bool:
        """Takes a waiting job out of the buffer."""
        if self.queue.pop(job.request.id, None) is None:
            return False
        self.level += 1
        return True

    def wait_for(self, place: int) -> int:
        """How long until the job at this place in the buffer gets its token."""
        return max(0, math.ceil(place * SECOND / self.rate))

    def shift(self, places: int) -> None:
        """Buffer places become bank places; whoever waits keeps its place."""
        self.bank, self.buffer = self.bank + min(places, self.buffer), max(0, self.buffer - places)


class Monitor:
    """Turns the throttle on and off and sets r by how likely misses fare."""

    def __init__(self, period: int) -> None:
        self.period = period
        self.spent = Rate(8 * period)
        self.throttle: Throttle | None = None
        self.good = self.bad = self.calm = 0
        self.cut_at, self.born = 0, -1

    def recent(self, now: int) -> float:
        """The recent likely-miss rate. Guards against a restart: a short past is no sign of a low rate."""
        return self.spent.per_second(now) / -math.expm1((self.born - now) / self.spent.span)

    def note(self, healthy: bool, sent: int) -> None:
        """Counts a likely miss's fate, unless sent before the last cut: one jam is not cut for twice."""
        self.good += healthy and sent >= self.cut_at
        self.bad += not healthy and sent >= self.cut_at

    def step(self, now: int, pending: bool) -> str:
        """Once a period: a bad share of half or more halves r, none raises it. Gives a line to log."""
        seen, silent = self.good + self.bad, pending and not self.good
        # Guards against false alarms: more are bad than the slow tail of a healthy origin gives by chance.
        sick = self.bad > max(1.0, seen * TAIL + 2 * math.sqrt(seen * TAIL))
        share = self.bad / max(1, seen)
        # Guards against a router that sees few misses: evidence is kept until there is enough to judge by.
        if sick or seen >= ENOUGH:
            self.good = self.bad = 0
        throttle = self.throttle
        if sick:
            self.calm, self.cut_at = 0, now
        elif throttle is None:
            return ""
        if throttle is None:
            rate = max(self.recent(now), SECOND / self.spent.span)
            self.throttle = Throttle(now, rate, int(rate * self.period / SECOND))
            return f"throttle on: {rate:.0f} likely misses/s"
        if sick:
            rate = min(throttle.rate, self.recent(now))  # an r nobody used is no start for a cut
            throttle.rate = max(rate * (1 - share / 2), SECOND / self.spent.span / 2)
            throttle.shift(max(1, (throttle.bank + throttle.buffer) // 4))
            return ""
        # Guards against a jam that feeds itself: between two cuts r does not rise while reads hang,
        # nor past twice what is spent: that leaves room for a burst, and more would be no limit at all.
        if not silent and throttle.rate < 2 * self.recent(now):
            throttle.rate += throttle.rate * RISE
        self.calm = self.calm + 1 if throttle.level >= throttle.bank else 0
        if self.calm < CALM_PERIODS:
            return ""
        self.throttle = None
        return "throttle off"


@dataclass(slots=True, eq=False)
class Server:
    """What this router has seen of one server."""

    member: api.Member
    latency: float  # moving average of answer times, ns
    base: float = 0.0  # its answer time when uncrowded: the least average seen, slowly forgotten
    learned_at: int = 0
    held: float = 1.0  # moving average of the attempts this router had out meanwhile
    out: int = 0
    sent_at: int = 0
    proved_at: int = 0  # when the latest attempt was sent that it has answered
    fails: int = 0  # connections failed or broken in a row
    down_since: int = 0
    down_until: int = 0
    budget: Bank = field(default_factory=Bank)  # of what it may be sent while it warms up
    share: float = 1.0  # the part of its range that it bears
    cut_at: int = 0
    linked: bool = False  # it took this router's last connect
    size: float = 1.0  # its listed weight by the fleet's mean
    cold_since: int = 0  # 0: warm since long ago
    trial: bool = False  # what is out was sent to see whether it has recovered
    load: api.Load | None = None
    load_at: int = 0

    def predict(self) -> float:
        """The answer time to expect of one more request, if it grows with what this router has out."""
        return self.latency * (self.out + 1) / self.held

    def reported(self, now: int) -> float:
        """The same by the server's last report, while that is fresh: it tells what other routers send."""
        load = self.load
        if load is None or now - self.load_at > SECOND:
            return 0.0
        busy = max(1.0, load.qps * load.latency_ms / 1000)  # cores at work, by Little's law
        return load.latency_ms * 1e6 * (load.inflight + 1) / busy

    def calm(self, now: int, limit: float, crowd: int, routers: int) -> bool:
        """Whether one more request is answered within the limit, and crowd times its uncrowded answer time.
        A swamped server gets one trial an answer time, to recover: from all routers what a core serves."""
        own, reported = self.predict(), self.reported(now)
        if own <= min(limit, crowd * (self.base or limit)) and reported <= limit * crowd / 2:
            return True
        pace = self.load.latency_ms * 1e6 * routers if self.load is not None else 0.0
        if self.out or now - self.sent_at < max(own, reported, pace):
            return False
        self.trial = True
        return True

    def learn(self, now: int, span: int, elapsed: int, out: int) -> None:
        # Guards against a fleet so wide that answers come seldom: each counts for the time since the last.
        weight = 1 / 2 if self.trial else min(max((now - self.learned_at) / span, SMOOTHING), 1 / 2)
        self.learned_at = now
        self.latency += (elapsed - self.latency) * weight
        self.held += (out - self.held) * SMOOTHING
        self.base = min(self.base * (1 + SMOOTHING / 16) or self.latency, self.latency)
        self.trial = False

    def bear(self, now: int, elapsed: int, slow: bool) -> None:
        """A slow answer cuts the share of its range by a quarter, once a jam; a quick one adds a part."""
        if not slow:
            self.share = min(self.share + SMOOTHING / 2, 1.0)
        elif now - elapsed >= self.cut_at:
            self.share, self.cut_at = max(self.share * 3 / 4, SMOOTHING), now

    def open(self, now: int) -> bool:
        """Whether it may be tried: one at a time after a failure, until it answers."""
        return self.member.state is api.State.READY and (
            not self.fails or (now >= self.down_until and not self.out)
        )


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


class Balancer:
    """One router's decisions: takes the time and an event, gives the actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = 0
        self.actions: list[api.Action] = []
        self.jobs: dict[str, Job] = {}
        self.servers: dict[str, Server] = {}
        self.origin: Server | None = None
        self.ranges = KeyRanges(settings.ramp_time)
        self.memory, self.popularity = KeyMemory(), Popularity()
        self.shortest_aim = min(spec.aim for spec in settings.classes)
        self.monitor = Monitor(self.shortest_aim // 2)
        self.flow = Rate(4 * self.shortest_aim)
        self.shares = [Rate(4 * self.shortest_aim) for _ in settings.tenants]
        self.banks = [Bank() for _ in settings.tenants]
        self.part, self.part_until = 0.0, 0  # this router's part of the traffic, and until when it holds
        self.reads: dict[tuple[str, int], tuple[int, int]] = {}  # likely misses out: sent, slow from
        self.fetches: dict[str, list[Job]] = {}  # keys being read from the origin, and who waits for them
        self.agenda: list[tuple[int, int, Callable[[Job | None], None], Job | None]] = []
        self.crowded = 0.0  # part of the latest new connects that were refused at once
        self.entries = self.asks = self.wake_at = self.release_at = 0
        self.handlers: dict[type, Callable[..., None]] = {
            api.Request: self._on_request,
            api.Outcome: self._on_outcome,
            api.Members: self._on_members,
            api.Withdrawn: self._on_withdrawn,
        }

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Plays one event at its time."""
        self.now, self.actions = now, []
        if self.monitor.born < 0:
            self.monitor.born = now
            self._later(self.monitor.period, self._step)
        handler = self.handlers.get(type(event))
        if handler is not None:
            handler(event)
        elif type(event) is api.Alarm and event.token == str(self.wake_at):
            # Guards against coarse timers: known by its token, since it may come a little before its time.
            self.wake_at = 0
        self._run_agenda()
        return self.actions

    def _later(self, delay: int, call: Callable[[Job | None], None], job: Job | None = None) -> None:
        self.entries += 1
        heapq.heappush(self.agenda, (self.now + delay, self.entries, call, job))

    def _run_agenda(self) -> None:
        while self.agenda and self.agenda[0][0] <= self.now:
            _, _, call, job = heapq.heappop(self.agenda)
            call(job)
        # Guards against an alarm that never comes: one overdue, or none yet, is asked for anew.
        if self.agenda and (self.wake_at <= self.now or self.agenda[0][0] < self.wake_at):
            self.wake_at = self.agenda[0][0]
            self.actions.append(api.Wake(self.wake_at - self.now, str(self.wake_at)))

    def _step(self, _: Job | None) -> None:
        # Guards against an origin that hangs: a slow read counts as bad before it ends.
        for read, (sent, slow) in list(self.reads.items()):
            if slow > self.now:
                break
            del self.reads[read]
            self.monitor.note(False, sent)
        self._release(None)  # so that the level counts the tokens due by now
        before = self.monitor.throttle
        line = self.monitor.step(self.now, bool(self.reads))
        if line:
            self.actions.append(api.Log(line))
        if before is not None and self.monitor.throttle is None:
            for job in list(before.queue.values()):
                self._proceed(job)
        self._later(self.monitor.period, self._step)

    def _on_members(self, event: api.Members) -> None:
        if event.kind is api.ListKind.FAILED:
            self.asks = min(self.asks + 1, 8)
            wait = min(SECOND << self.asks, self.settings.ask_within) * self.random.uniform(0.5, 1)
            self.actions.append(api.Log(f"list unavailable, asked again in {wait / 1e6:.0f} ms"))
            self._later(int(wait), self._ask)
            return
        if event.kind is not api.ListKind.CACHED:
            self.asks = 0
        elif self.settings.must_ask:
            self._ask(None)
        if event.kind is not api.ListKind.DELTA:
            named = {entry.server for entry in event.entries}
            for name in [name for name in self.servers if name not in named]:
                self._member(api.Member(name, api.State.GONE), True)
        for entry in event.entries:
            self._member(entry, event.kind is api.ListKind.CACHED)
        origin_kind = self.settings.origin_kind if self.settings.aside else -1
        ready = [server for server in self.servers.values() if server.member.state is api.State.READY]
        caches = [server for server in ready if server.member.kind != origin_kind]
        self.ranges.deal(self.now, sorted(server.member.server for server in caches))
        mean = sum(server.member.weight for server in caches) / max(1, len(caches)) or 1.0
        for server in caches:  # guards against an equal range for an unequal machine: the small bear less
            server.size = server.member.weight / mean
        self.origin = next((server for server in ready if server.member.kind == origin_kind), None)

    def _member(self, entry: api.Member, old: bool) -> None:
        if entry.state is api.State.GONE:
            gone = self.servers.pop(entry.server, None)
            if gone is not None:
                gone.member = entry
            return
        server = self.servers.get(entry.server)
        if server is None:
            server = Server(entry, self.shortest_aim / 8, learned_at=self.now, cold_since=entry.since)
            self.servers[entry.server] = server
            if not old and not entry.since:
                server.cold_since = self.now  # new to the list, with no start time told: taken as cold
        elif entry.since > server.member.since:
            server.cold_since = max(server.cold_since, entry.since)
            server.fails = 0
        server.member = entry

    def _ask(self, _: Job | None) -> None:
        self.actions.append(api.Watch())

    def _on_request(self, event: api.Request) -> None:
        spec = self.settings.classes[event.cls]
        job = self.jobs[event.id] = Job(event, spec, min(event.deadline, self.now + spec.aim))
        job.marked = self._over_share(event)
        self.flow.add(self.now)
        if event.key is not None:
            # Guards against a hot key that swamps its one cache: it takes as many ranges as it fills.
            servers = len(self.ranges.deals[-1][1])
            job.skip = self.random.randrange(1 + min(servers, self.popularity.fills(event.key, servers)))
        if event.write and self.settings.aside:
            job.at_origin = True
            self._proceed(job)
        elif event.key is not None and self.memory.likely_miss(event.key, self.now):
            job.likely_miss = True
            if not self._join(job):
                self._spend(job)
        else:
            self._proceed(job)

    def _over_share(self, event: api.Request) -> bool:
        """Marks what exceeds the tenant's quota, cut to this router's part of the traffic."""
        quotas = self.settings.tenants
        if event.tenant >= len(quotas) or len(quotas) < 2 or not quotas[event.tenant].quota:
            return False
        if not event.repeat:
            self.shares[event.tenant].add(self.now)
        if self.now >= self.part_until:
            both = zip(self.shares, quotas, strict=True)
            used = sorted(rate.per_second(self.now) / one.quota for rate, one in both if one.quota)
            self.part, self.part_until = used[(len(used) - 1) // 2], self.now + PART_KEPT
        rate = quotas[event.tenant].quota * max(1 / self.settings.balancers, self.part)
        return not self.banks[event.tenant].take(self.now, rate, max(LEAST_TOTAL, rate))

    def _join(self, job: Job) -> bool:
        """Guards against a flood of reads for one key: who lacks it waits for the read that is out."""
        waiting = self.fetches.get(job.request.key or "")
        if waiting is None or self.now >= job.due:
            return False
        waiting.append(job)
        self._later(job.due - self.now, self._give_up, job)
        return True

    def _fetched(self, key: str, stored: bool) -> None:
        """An origin read has ended: who waited for it finds the key in the cache, or takes its own turn."""
        throttle = self.monitor.throttle
        waiting = self.fetches.pop(key, [])
        if stored and throttle is not None:
            waiting += [job for job in throttle.queue.values() if job.request.key == key]
        for job in waiting:
            if self.jobs.get(job.request.id) is not job or job.out:
                continue
            if throttle is not None:
                throttle.leave(job)
            if stored:
                job.at_origin = False
                job.tried.clear()
                self._proceed(job)
            elif not self._join(job):
                self._spend(job)

    def _spend(self, job: Job) -> None:
        """The throttle's gate: a likely miss, and each origin read, takes a token here."""
        throttle = self.monitor.throttle
        if throttle is None:
            self.monitor.spent.add(self.now)
            self._proceed(job)
            return
        self._release(None)
        wait = throttle.wait_for(1 - throttle.level)
        verdict = None if job.marked or self.now + wait > job.due else throttle.offer(job)
        if verdict:
            self.monitor.spent.add(self.now)
            self._proceed(job)
        elif job.request.id in throttle.queue:
            self._plan_release(throttle)
            self._later(job.due - self.now, self._give_up, job)
        else:
            self._give_up(job)

    def _plan_release(self, throttle: Throttle) -> None:
        if throttle.queue and self.release_at <= self.now:
            self.release_at = max(self.now + 1, throttle.last + throttle.wait_for(1))
            self._later(self.release_at - self.now, self._release)

    def _release(self, _: Job | None) -> None:
        throttle = self.monitor.throttle
        if throttle is None:
            return
        for job in throttle.refill(self.now):
            self.monitor.spent.add(self.now)
            self._proceed(job)
        self._plan_release(throttle)

    def _proceed(self, job: Job | None) -> None:
        if job is None or job.request.id not in self.jobs or job.out:
            return  # ended meanwhile; and never are two attempts out
        server = self.origin if job.at_origin else self._place(job)
        # Guards against work that keeps a jammed origin jammed: the rule for swamped servers holds here too.
        limit, routers = job.spec.aim * SLOW, self.settings.balancers
        jammed = job.at_origin and server and not server.calm(self.now, limit, NO_CROWD, routers)
        if server is None or jammed or not self._may_send(job, server):
            self._give_up(job)
        else:
            self._send(job, server)

    def _place(self, job: Job) -> Server | None:
        """The owner of the key's range, or the next in range order where a departure acts."""
        limit, crowd = job.spec.aim * SLOW, CROWD
        if job.marked:
            limit, crowd = job.spec.aim * SLOW_IF_MARKED, CROWD_IF_MARKED
        hops = passed = 0
        depth, taken_up, names = self.ranges.locate(job.request.key or job.request.id, self.now)
        near = [self.servers[name] for name in names if name in self.servers]
        owner = names[0] if names else ""
        if job.skip:
            near = near[job.skip :] + near[: job.skip]
        if self.crowded > 1 / 2:
            # Guards against full connection tables: while most connects are refused, those there are do.
            near.sort(key=lambda server: not server.linked)
        for server in near:
            name = server.member.server
            # Rule 4: a server that warms up bears of its own range what was taken up since it started.
            warm = taken_up if name == owner else self.now - self.settings.ramp_time
            if name in job.tried or server.cold_since > max(0, warm):
                continue
            if 0 < server.cold_since > self.now - self.settings.ramp_time:
                # Guards against hot keys that a warming server takes up: it gets half the mean flow at most.
                rate = self.flow.per_second(self.now) / len(near) / 2
                if not server.budget.take(self.now, rate, rate * self.settings.fall_time / SECOND / 4):
                    continue
            # Guards against a range that is more than its server bears: the far end passes to the next.
            if not server.open(self.now) or (passed < 2 and depth >= server.share * server.size):
                passed += server.fails == 0
                continue
            # Guards against a storm of full answers: work spills once, to a calm server, or is refused.
            if server.calm(self.now, limit, crowd, self.settings.balancers):
                return server
            # Guards against neighbours that fail together: who is slow with nothing of ours out is passed by.
            hops += server.latency <= limit * server.held
            if job.marked or hops == 2:
                break
        return None

    def _send(self, job: Job, server: Server) -> None:
        key, read = job.request.key, job.at_origin and not job.request.write
        left = job.request.deadline - self.now
        timeout = 0
        if job.spec.effect is not api.Effect.UNSAFE and not job.spec.stream:
            # Guards against an origin slower than an aim: a read given up fills no cache for those after it.
            # Guards against a jam fed by second tries: what still earns something late is waited for.
            timeout = left if read or job.spec.late_worth else min(left, job.due - self.now)
            if not job.made and not job.at_origin and server.share >= 1:
                # Guards against a connection that fell silent: an answer far later than is usual here is not
                # waited for. The wait grows with the server's answer times, and at one that was slow lately
                # it is the whole, so that a jam is not fed.
                timeout = min(timeout, max(job.spec.aim // 4, int(PATIENCE * server.predict())))
        server.out += 1
        server.sent_at = self.now
        job.live[job.made] = (server, self.now)
        job.out.add(job.made)
        job.made += 1
        job.tried.add(server.member.server)
        if read or (job.likely_miss and not self.settings.aside):
            self.reads[job.request.id, job.made - 1] = (self.now, self.now + int(job.spec.aim * SLOW))
        if key is not None and not self.settings.aside:
            self.memory.put(key, self.now)
        elif key is not None and read:
            self.fetches.setdefault(key, [])
        self.actions.append(api.Send(job.request.id, server.member.server, max(timeout, 0)))

    def _may_send(self, job: Job, server: Server) -> bool:
        """Rules 1 and 2: whether this attempt is allowed, by what the earlier ones proved."""
        # Guards against a last attempt that no server could answer in time, and whose end would tell nothing.
        if job.made >= self.settings.max_attempts or self.now + server.base / 2 >= job.request.deadline:
            return False
        if job.spec.effect is api.Effect.SAFE or not job.live:
            return True
        if job.spec.effect is api.Effect.UNSAFE or not self._in_window(job):
            return False
        group, to = job.spec.group, server.member
        ran = [at.member for at, _ in job.live.values()]
        same = [one.zone == to.zone if group == "zone" else one.cell == to.cell for one in ran]
        return group == "all" or all(same)

    def _in_window(self, job: Job) -> bool:
        return self.now < min(sent for _, sent in job.live.values()) + job.spec.window

    def _give_up(self, job: Job | None) -> None:
        """The final answer of this router: a refusal where that is true, else a failure."""
        if job is None or job.out or self.jobs.get(job.request.id) is not job:
            return
        effect, name = job.spec.effect, job.request.id
        dropped = effect is api.Effect.KEYED and job.spec.group == "all"
        if effect is api.Effect.SAFE or not job.live or (dropped and self._in_window(job)):
            later = min(self.shortest_aim, self.settings.max_retry_after) if self.settings.retry_after else 0
            self.actions.append(api.Refuse(name, later))
        else:
            self.actions.append(api.Fail(name))
        self._end(job)

    def _end(self, job: Job) -> None:
        self.jobs.pop(job.request.id, None)
        if self.monitor.throttle is not None:
            self.monitor.throttle.leave(job)

    def _on_withdrawn(self, event: api.Withdrawn) -> None:
        job = self.jobs.get(event.id)
        if job is not None:
            self._end(job)
            if job.at_origin and job.out and job.request.key is not None and not job.request.write:
                self._fetched(job.request.key, False)  # what nobody waits for is not stored

    def _on_outcome(self, event: api.Outcome) -> None:
        job = self.jobs.get(event.id)
        server = self.servers.get(event.server)
        if server is not None:
            self._observe(server, event)
        read = self.reads.pop((event.id, event.attempt), None)
        if read is not None:
            self.monitor.note(event.status is api.Status.OK and self.now < read[1], read[0])
        if job is None:
            return
        job.out.discard(event.attempt)
        (self._closed if event.closed else self._unanswered)(job, event)

    def _closed(self, job: Job, event: api.Outcome) -> None:
        self._end(job)
        key, answered = job.request.key, event.status is api.Status.OK
        if key is None or job.request.write:
            return
        if job.at_origin:
            if answered:
                self.memory.put(key, self.now)
            self._fetched(key, answered)
        elif answered:
            self.memory.learn(key, self.now, True)

    def _unanswered(self, job: Job, event: api.Outcome) -> None:
        key, status = job.request.key, event.status
        if status in NEVER_RAN:
            job.live.pop(event.attempt, None)
        # Guards against a slow origin behind the caches: what one could not fetch, no other should try.
        late = self.now >= job.due and not job.spec.late_worth
        unfetched = status is api.Status.ERROR and not self.settings.aside and not job.request.write
        if status is api.Status.MISS and self.settings.aside and not job.at_origin:
            job.at_origin = True
            if key is not None:
                self.memory.learn(key, self.now, False)
            if not self._join(job):
                self._spend(job)
        elif job.at_origin:
            self._after_origin(job)
            if key is not None and not job.request.write:
                self._fetched(key, False)
        elif unfetched or late or (status is api.Status.FULL and (job.marked or job.made > 1)):
            self._give_up(job)
        else:
            self._proceed(job)

    def _after_origin(self, job: Job) -> None:
        """A read the origin failed is refused, to shield it; a write tries again while its aim lasts."""
        wait = int((job.spec.aim << job.made) * self.random.uniform(0.5, 1)) // 32
        timely = job.request.write and self.now + wait < job.due
        if timely and self.origin and self._may_send(job, self.origin):
            self._later(wait, self._proceed, job)
        else:
            self._give_up(job)

    def _observe(self, server: Server, event: api.Outcome) -> None:
        server.out = max(0, server.out - 1)
        status, load = event.status, event.load
        if load is not None and load.inflight >= 0 and load.latency_ms > 0:
            server.load, server.load_at = load, self.now
        failed = status in (api.Status.CONNECT_FAILED, api.Status.RESET)
        if not server.linked and not server.fails and event.elapsed < self.settings.connect_timeout:
            self.crowded += (failed - self.crowded) * SMOOTHING
        server.linked = not failed
        if failed:
            if not server.fails:
                server.down_since = self.now
                self.actions.append(api.Log(f"server {event.server} unreachable"))
            server.fails += 1
            wait = self.settings.connect_timeout << min(server.fails, 4)
            server.down_until = self.now + int(wait * self.random.uniform(0.5, 1))
        elif server.fails and status in (api.Status.OK, api.Status.MISS, api.Status.FULL, api.Status.ERROR):
            server.fails = 0
            self.actions.append(api.Log(f"server {event.server} answers again"))
            if self.now - server.down_since > SECOND and self.crowded <= 1 / 2:
                server.cold_since = self.now  # a process that died comes back cold, before the list tells
        # Guards against a swamped server whose keys went elsewhere: a trial that misses tells as well.
        full, missed = status is api.Status.FULL, status is api.Status.MISS
        elapsed = self.shortest_aim if full else event.elapsed  # a quick "full" proves no quick server
        answered, sent = status in (api.Status.OK, api.Status.MISS), self.now - event.elapsed
        if answered:
            server.proved_at = max(server.proved_at, sent)
        # Guards against one connection that fell silent taken for a swamped server: who has answered what
        # was sent later is none. Nor does a time-out tell of an answer time below what was waited.
        lone = server.proved_at > sent or event.elapsed < server.latency
        silent = status is api.Status.TIMEOUT and not lone
        if full or silent or status is api.Status.OK or (missed and server.trial):
            server.learn(self.now, 2 * self.shortest_aim, elapsed, server.out + 1)
        if full or silent or answered:
            server.bear(self.now, event.elapsed, elapsed > self.shortest_aim // 2)
