"""The servers as this router has seen them: what to expect of each, and the list of them all."""

import math
from dataclasses import dataclass, field

from rainhitch import interface as api
from rainhitch.policy.jobs import Job
from rainhitch.policy.rates import SECOND, SMOOTHING, Bank, Rate
from rainhitch.policy.turn import Turn
from rainhitch.policy.zones import Zones

LATE = 2  # times its expected answer time after which an attempt that is out tells of its server
PATIENCE = 8  # expected answer times that an attempt waits; a mean there leaves e^-8 without its answer
FILL = 3 / 2  # times what warm servers serve that a cold one may be sent, for so much of its capacity
ASK_AGAIN = 2 * SECOND  # at most, after a list that was not to be had
HEARD_FOR = 8  # periods without a word after which the others are taken as unheard


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
    answered_at: int = -SECOND  # when it last answered
    broken: bool = False  # the latest attempt's connection failed or broke
    fails: int = 0  # connections failed or broken in a row
    down_since: int = 0
    down_until: int = 0
    served: Rate = field(default_factory=lambda: Rate(SECOND))  # how often it serves this router
    budget: Bank = field(default_factory=Bank)  # of what it may be sent while it warms up
    share: float = 1.0  # the part of its range that it bears
    cut_at: int = 0
    linked: bool = False  # it took this router's last connect
    size: float = 1.0  # its listed weight by the fleet's mean
    cold_since: int = 0  # 0: warm since long ago
    trial: bool = False  # what is out was sent to see whether it has recovered
    load: api.Load | None = None
    load_at: int = 0

    def usual(self, now: int, routers: int) -> float:
        """The answer time to expect by what was last learned. Guards against a crowd that left long ago: it
        is done after that time, unless others send more, of whom so many are not heard of."""
        crowd = self.latency - self.base
        if not self.base or crowd <= 0:
            return self.latency
        return self.base + crowd * math.exp(min(0, self.learned_at - now) / (self.latency * routers))

    def predict(self, now: int, routers: int) -> float:
        """The answer time to expect of one more request, if it grows with what this router has out."""
        return self.usual(now, routers) * (self.out + 1) / self.held

    def warmth(self, now: int, settings: api.Settings) -> float:
        """The part of its capacity that it has by now at least, if it started lately."""
        if self.cold_since <= max(0, now - settings.ramp_time):
            return 1.0
        part = max(0, now - self.cold_since) / settings.ramp_time
        return settings.cold_from + (1 - settings.cold_from) * part

    def reported(self, now: int) -> float:
        """The same by the server's last report, while that is fresh: it tells what other routers send."""
        load = self.load
        if load is None or now - self.load_at > SECOND:
            return 0.0
        busy = max(1.0, load.qps * load.latency_ms / 1000)  # cores at work, by Little's law
        return load.latency_ms * 1e6 * (load.inflight + 1) / busy

    def calm(self, now: int, limit: float, crowd: int, unheard: int, routers: int) -> bool:
        """Whether one more request is answered within the limit, and crowd times its uncrowded answer time.
        A swamped server gets one trial an answer time, to recover: from all routers, heard of or not, what
        a core serves. `unheard`: how many send without this one's hearing of it, with itself."""
        own, reported = self.predict(now, unheard), self.reported(now)
        # Guards quick servers: a few times next to nothing is no crowd.
        if own <= min(limit, crowd * max(self.base or limit, limit / 16)) and reported <= limit * crowd / 2:
            return True
        pace = (self.load.latency_ms * 1e6 if self.load is not None else self.base) * routers
        if self.out or now - self.sent_at < max(own, reported, pace):
            return False
        self.trial = True
        return True

    def learn(self, now: int, span: int, elapsed: int, out: int, routers: int) -> None:
        self.held += (out - self.held) * SMOOTHING
        self.take_up(now, span, elapsed, routers, 1 / 2 if self.trial else SMOOTHING)
        self.trial = False

    def take_up(self, now: int, span: int, elapsed: int, routers: int, least: float = SMOOTHING) -> None:
        """An answer time, whoever saw it. Guards against answers that come seldom: each counts for the time
        since the last; only a silence longer than an answer time tells that a crowd has gone."""
        weight = min(max((now - self.learned_at) / span, least), 1 / 2)
        if now - self.learned_at > self.latency * routers:
            self.latency = self.usual(now, routers)
        self.learned_at = now
        self.latency += (elapsed - self.latency) * weight
        self.base = min(self.base * (1 + SMOOTHING / 16) or self.latency, self.latency)

    def bear(self, now: int, elapsed: int, slow: bool) -> None:
        """A slow answer cuts the share of its range by a quarter, once a jam; a quick one adds a part."""
        if not slow:
            self.share = min(self.share + SMOOTHING / 2, 1.0)
        elif now - elapsed >= self.cut_at:
            self.share, self.cut_at = max(self.share * 3 / 4, SMOOTHING), now

    def open(self, now: int) -> bool:
        """Whether it may be tried: one at a time after a failure, until it answers."""
        used = self.member.state in (api.State.READY, api.State.RETIRING)
        return used and (not self.fails or (now >= self.down_until and not self.out))


class Fleet:
    """All servers on the list, and the origin among them."""

    def __init__(self, turn: Turn) -> None:
        self.turn = turn
        self.servers: dict[str, Server] = {}
        self.origin: Server | None = None
        self.paces: dict[
            int, tuple[int, float]
        ] = {}  # by kind: what a warm one serves this router, until when
        self.usual = turn.shortest_aim / 8  # moving average of answer times, ns, over all cache servers
        self.crowded = 0.0  # part of the latest new connects that were refused at once
        self.heard_at = -(1 << 62)  # when another router's word last came
        self.zones = Zones(turn.settings.connect_timeout)
        self.seen: list[api.Seen] = []  # since the other routers were last told
        # Attempts that are out: where, since when, and whether they are safe to repeat.
        self.waits: dict[tuple[str, int], tuple[Server, int, bool]] = {}
        self.span = 2 * turn.shortest_aim  # ns that an average of answer times holds

    def take(self, event: api.Members) -> list[str] | None:
        """Takes up news of the list; gives the sorted ids of the ready cache servers, None if it failed."""
        if event.kind is api.ListKind.FAILED:
            # Guards against news that counts as told while this router waits to ask again.
            wait = min(ASK_AGAIN, self.turn.settings.ask_within) * self.turn.random.uniform(0.5, 1)
            self.turn.actions.append(api.Log(f"list unavailable, asked again in {wait / 1e6:.0f} ms"))
            self.turn.later(int(wait), self._ask)
            return None
        if event.kind is api.ListKind.CACHED and self.turn.settings.must_ask:
            self._ask(None)
        if event.kind is not api.ListKind.DELTA:
            named = {entry.server for entry in event.entries}
            for name in [name for name in self.servers if name not in named]:
                self._member(api.Member(name, api.State.GONE), True)
        for entry in event.entries:
            self._member(entry, event.kind is api.ListKind.CACHED)
        origin_kind = self.turn.settings.origin_kind if self.turn.settings.aside else -1
        ready = [server for server in self.servers.values() if server.member.state is api.State.READY]
        caches = [server for server in ready if server.member.kind != origin_kind]
        self.zones.listed({server.member.zone for server in caches})
        mean = sum(server.member.weight for server in caches) / max(1, len(caches)) or 1.0
        for server in caches:  # guards against an equal range for an unequal machine: the small bear less
            server.size = server.member.weight / mean
        self.origin = next((server for server in ready if server.member.kind == origin_kind), None)
        return sorted(server.member.server for server in caches)

    def _count(self, server: Server, elapsed: int, out: bool = False) -> None:
        """Keeps an answer time for the other routers, or how long an attempt has been out."""
        if self.turn.settings.tell_every and server is not self.origin:
            self.seen.append(api.Seen(server.member.server, elapsed, out))

    def tell(self, _: api.Round) -> None:
        """Guards against a fleet in which each router sees a server seldom, and all of them learn late."""
        if self.unheard() == 1:
            self._overdue()
        self.turn.actions.append(api.Tell(self.seen))
        self.seen = []

    def _overdue(self) -> None:
        """Guards against a jam of which all learn last: an attempt that is out for far longer than expected
        tells that much now. And against silence taken for a jam. Where its server has answered, to anybody,
        what was sent much later, the answer is lost: that attempt is ended, to be sent elsewhere."""
        for attempt, (server, sent, safe) in self.waits.items():
            age, usual = self.turn.now - sent, server.usual(self.turn.now, 1)
            if age < self.turn.shortest_aim // 8:
                break  # the others were sent later
            if server.answered_at > sent > server.proved_at and age > LATE * usual:
                server.take_up(self.turn.now, self.span, age, 1)
                self._count(server, age, True)
            elif safe and server.proved_at - sent > PATIENCE * usual:
                self.turn.actions.append(api.Stop(*attempt))

    def heard(self, event: api.Heard) -> None:
        """Takes up what another router has seen."""
        self.heard_at = self.turn.now
        for one in event.seen:
            server = self.servers.get(one.server)
            if server is not None and server is not self.origin:
                if not one.out:
                    sent = self.turn.now - one.elapsed - self.turn.settings.tell_every
                    server.proved_at, server.answered_at = max(server.proved_at, sent), self.turn.now
                server.take_up(self.turn.now, self.span, one.elapsed, 1)
                server.bear(self.turn.now, one.elapsed, one.elapsed > self.turn.shortest_aim // 2)

    def unheard(self) -> int:
        """How many routers send without this one's hearing of it, with itself: all of them, or, while words
        come, itself alone."""
        settings = self.turn.settings
        silent = self.turn.now - self.heard_at > HEARD_FOR * settings.tell_every
        return settings.balancers if silent else 1

    def sent(self, server: Server, attempt: tuple[str, int], safe: bool) -> None:
        """An attempt goes there, by its request's id and its number."""
        server.out += 1
        server.sent_at = self.turn.now
        if server is not self.origin:
            self.waits[attempt] = server, self.turn.now, safe
            self.zones.sent(server.member.zone, self.turn.now)

    def open(self, server: Server) -> bool:
        """Whether it may be tried, by what is known of it and of its zone."""
        return server.open(self.turn.now) and self.zones.open(server.member.zone, self.turn.now)

    def _reached(self, server: Server, event: api.Outcome) -> bool:
        """Takes an attempt's end as a word on the way to a server's zone; whether that is open."""
        zone, log = server.member.zone, self.turn.actions
        if event.status in (api.Status.OK, api.Status.MISS, api.Status.ERROR):
            since = self.zones.answer(zone)
            if since:
                log.append(api.Log(f"zone {zone} answers again"))
                self._returns(zone, since if not event.reused else self.turn.now)
        elif event.status not in (api.Status.CONNECT_FAILED, api.Status.TIMEOUT):
            return not self.zones.cut(zone)
        elif self.zones.failure(zone, event.server, self.turn.now):
            log.append(api.Log(f"zone {zone} is out of reach"))
        return not self.zones.cut(zone)

    def _returns(self, zone: int, since: int) -> None:
        """Guards a room that comes back cold: each of its servers is tried once, as one that was down since
        then. Where a connection has outlived it, the room was cut off: down since just now."""
        for server in self.servers.values():
            if server.member.zone == zone and server is not self.origin:
                server.down_until = self.turn.now
                server.down_since = since
                if since < self.turn.now:
                    server.fails = server.fails or 1

    def avoided(self) -> set[str]:
        """Who is tried with one attempt at a time at most, since connections there or to its zone fail."""
        cut = self.zones.cut
        return {name for name, server in self.servers.items() if server.fails or cut(server.member.zone)}

    def _member(self, entry: api.Member, old: bool) -> None:
        if entry.state is api.State.GONE:
            gone = self.servers.pop(entry.server, None)
            if gone is not None:
                gone.member = entry
            return
        server = self.servers.get(entry.server)
        if server is None:
            aim, now = self.turn.shortest_aim, self.turn.now
            server = Server(entry, aim / 8, learned_at=now, cold_since=entry.since, served=Rate(4 * aim, now))
            self.servers[entry.server] = server
            if not old and not entry.since:
                server.cold_since = self.turn.now  # new to the list, with no start time told: taken as cold
        elif entry.since > server.member.since:
            server.cold_since = max(server.cold_since, entry.since)
            server.fails = 0
        server.member = entry

    def warms(self, server: Server, part: float, heat: float, flow: float) -> bool:
        """Rule 4: whether one more may go to a server that has so much of its capacity by now; counts it.
        What warm ones of its kind serve this router is its part of what it can. What is far beyond, by the
        `flow` to a warm one and a key's `heat`, is left to chance: each router has a first one saved up."""
        now, settings, kind = self.turn.now, self.turn.settings, server.member.kind
        until, each = self.paces.get(kind, (0, 0.0))
        if now >= until:
            alike = [one for one in self.servers.values() if one.member.kind == kind]
            rates = [one.served.per_second(now) for one in alike if one.warmth(now, settings) == 1]
            # Guards a fleet that is cold as a whole: one a second, of all routers, shows what it bears.
            each = max(sum(rates) / max(1, len(rates)), 1 / settings.balancers)
            self.paces[kind] = now + settings.fall_time // 8, each
        if self.turn.random.random() * flow * max(1.0, heat / part) >= 2 * each:
            return False
        rate = FILL * each * part
        return server.budget.take(now, rate, rate * settings.fall_time / SECOND / 4)

    def _ask(self, _: Job | None) -> None:
        self.turn.actions.append(api.Watch())

    def observe(self, event: api.Outcome) -> None:
        """Learns from how an attempt ended."""
        self.waits.pop((event.id, event.attempt), None)
        server = self.servers.get(event.server)
        if server is None:
            return
        server.out = max(0, server.out - 1)
        status, load = event.status, event.load
        if status is api.Status.NO_ROOM:
            return  # it tells nothing of the server
        reached = server is self.origin or self._reached(server, event)
        if load is not None and load.inflight >= 0 and load.latency_ms > 0:
            server.load, server.load_at = load, self.turn.now
        failed = status in (api.Status.CONNECT_FAILED, api.Status.RESET)
        # Guards against a full connection table taken for a full queue: who is turned away on a connection
        # just opened has learned nothing of the server's load.
        table = status is api.Status.FULL and event.reused is False
        if not server.linked and not server.fails and event.elapsed < self.turn.settings.connect_timeout:
            self.crowded += ((failed or table) - self.crowded) * SMOOTHING
        server.linked = not failed and not table
        # Guards against one broken connection taken for a dead server, which has not answered just now.
        recent = self.turn.now - server.answered_at < self.turn.settings.connect_timeout
        slip, server.broken = failed and not server.broken and not server.fails and recent, failed
        if failed and not slip:
            if not server.fails:
                server.down_since = self.turn.now
                self.turn.actions.append(api.Log(f"server {event.server} unreachable"))
            server.fails += 1
            wait = self.turn.settings.connect_timeout << min(server.fails, 4)
            server.down_until = self.turn.now + int(wait * self.turn.random.uniform(0.5, 1))
        elif server.fails and status in (api.Status.OK, api.Status.MISS, api.Status.FULL, api.Status.ERROR):
            server.fails = 0
            self.turn.actions.append(api.Log(f"server {event.server} answers again"))
            if self.turn.now - server.down_since > SECOND and self.crowded <= 1 / 2 and not event.reused:
                # A process that died comes back cold, before the list tells; no connection outlives it.
                server.cold_since = self.turn.now
        # Guards against a swamped server whose keys went elsewhere: a trial that misses tells as well.
        full, missed = status is api.Status.FULL and not table, status is api.Status.MISS
        elapsed = self.turn.shortest_aim if full else event.elapsed  # a quick "full" proves no quick server
        answered, sent = status in (api.Status.OK, api.Status.MISS), self.turn.now - event.elapsed
        if answered:
            server.served.add(self.turn.now, status is api.Status.OK)
            self.usual += (event.elapsed - self.usual) * SMOOTHING * (server is not self.origin)
            server.proved_at, server.answered_at = max(server.proved_at, sent), self.turn.now
        # Guards against one silent connection taken for a swamped server: who has answered what was sent
        # later is none. Nor does a time-out tell of an answer time below what was waited.
        lone = server.proved_at > sent or event.elapsed < server.latency
        # Nor does a server that is out of reach tell how crowded it is.
        silent = status is api.Status.TIMEOUT and not lone and reached
        if full or silent or status is api.Status.OK or (missed and server.trial):
            server.learn(self.turn.now, self.span, elapsed, server.out + 1, self.unheard())
            self._count(server, elapsed)
        if full or silent or answered:
            server.bear(self.turn.now, event.elapsed, elapsed > self.turn.shortest_aim // 2)
