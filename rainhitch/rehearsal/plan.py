"""Draws a whole day ahead: arrivals, keys, work, what each client would do next, and when each fault acts.

Every matter has a random stream of its own, named after it, so that one more fault shifts no other draw.
Times are whole microseconds from the first scored instant; what comes before has negative ones. Rounding to
them also keeps the digest the same on machines whose logarithms differ in the last place.
"""

import hashlib
import math
from bisect import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import accumulate
from random import Random
from typing import Any

import orjson

from rainhitch.rehearsal.faults import Fault
from rainhitch.rehearsal.scenario import NodeClass, Scenario, WorkClass

MICROSECONDS_PER_SECOND = 1_000_000
RETIRED_S = 2.0  # s from the drain of a node that was retired to its end
LONGEST_WORK = 8  # times the mean; beyond it is cut
Json = dict[str, Any]


@dataclass(slots=True)
class PlannedTry:
    """One try of a request: its id, how long the client waits, and how long before it comes."""

    id: str
    wait_ms: int
    backoff_us: int
    leaves_us: int  # 0: stays until it gives up


@dataclass(slots=True)
class PlannedRequest:
    """One request as a client means it."""

    at: int
    room: int
    cls: int
    customer: int
    key: str
    work_us: int
    over: bool  # beyond its customer's share
    honours: bool  # heeds `-BUSY MS`
    order: str  # the order key of a keyed write
    router: int  # -1: whichever the front gives
    tries: list[PlannedTry]
    origin: int = 0  # 0 for the ordinary load, else the number of the fault that adds it, from 1
    fresh: bool = False  # it comes on a new connection


@dataclass(slots=True)
class EndpointChange:
    """What the list says of a node from a time on, for one router."""

    at: int
    router: int
    node: str
    state: str
    boot: int  # when the node started, in the plan's time; 0: long ago


@dataclass(slots=True)
class Plan:
    """All that will happen, but for what the routers do about it."""

    seed: int
    scenario: str
    rooms: list[str]
    nodes: list[Json]
    routers: list[Json]
    warm: list[str]  # the prelude's keys, least wanted first
    asks: list[PlannedRequest] = field(default_factory=list)
    changes: list[EndpointChange] = field(default_factory=list)
    cues: list[Json] = field(
        default_factory=list
    )  # at, who (node, link, database, list, messages, router), what

    def rows(self) -> Json:
        """The plan as JSON takes it."""
        told: Json = orjson.loads(orjson.dumps(self))
        return told

    def digest(self) -> str:
        """SHA-256 over the plan in one canonical form."""
        return hashlib.sha256(orjson.dumps(self, option=orjson.OPT_SORT_KEYS)).hexdigest()


def random_stream(seed: int, *names: object) -> Random:
    """The random stream of one matter."""
    return Random("/".join(map(str, (seed, *names))))


def to_microseconds(seconds: float) -> int:
    return round(seconds * MICROSECONDS_PER_SECOND)


def draw_plan(scenario: Scenario, name: str, seed: int) -> Plan:
    """The day of a scenario that a seed gives."""
    plan = Plan(
        seed,
        name,
        list(scenario.fleet.rooms),
        [_node(scenario, seed, *one) for one in scenario.nodes()],
        [{"room": scenario.router_room(n)} for n in range(scenario.fleet.routers)],
        [],
    )
    keys = Keys(scenario, seed)
    three = scenario.fleet.resp3
    for node in plan.nodes[: round(len(plan.nodes) * three)] if three else []:
        node["resp3"] = True
    joins = {one.node: to_microseconds(one.at_s) for one in scenario.faults if one.kind == "node-join"}
    for node in plan.nodes:
        if node["uid"] in joins:
            node["joins"] = joins[node["uid"]]  # until then it is not there
    pooled = min(scenario.fleet.memory_keys * (len(plan.nodes) - len(joins)), scenario.traffic.keys)
    plan.warm = [keys.name(rank) for rank in reversed(range(pooled))]
    plan.asks = _prelude(scenario, seed, plan.warm) + _asks(scenario, seed, keys)
    for number, fault in enumerate(scenario.faults):
        plan.cues += _cues(
            scenario, fault, random_stream(seed, "fault", fault.kind, fault.place, fault.at_s), number
        )
    plan.cues.sort(key=lambda cue: (cue["at"], cue["fault"]))
    plan.changes = _changes(scenario, plan, seed)
    return plan


def _node(scenario: Scenario, seed: int, uid: str, kind: NodeClass, room: str) -> Json:
    random, fleet = random_stream(seed, "node", uid), scenario.fleet
    return {
        "uid": uid,
        "class": kind.name,
        "room": room,
        "cores": kind.cores,
        "speed": round(random.uniform(*kind.speed), 4),
        "slots": kind.cores * kind.slots_per_core,
        "queue": round(kind.cores * kind.queue_per_core),
        "table": round(kind.cores * kind.table_per_core),
        "connection_us": round(1000 * random.uniform(*fleet.connection_ms)),
        "probe_us": round(1000 * random.uniform(*fleet.probe_ms)),
    }


class Keys:
    """Which keys are wanted, and how much: by Zipf's law over ranks, which change hands by and by."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        traffic = scenario.traffic
        self.seed, self.drift = seed, random_stream(seed, "drift")
        weights = ((rank + 1 + traffic.offset) ** -traffic.zipf for rank in range(traffic.keys))
        self.upto = list(accumulate(weights))
        self.order = list(range(traffic.keys))
        self.swaps = traffic.drift * traffic.keys
        self.drifted = 0

    def name(self, number: int | str) -> str:
        return hashlib.sha256(f"{self.seed}/key/{number}".encode()).hexdigest()[:16]

    def pick(self, at: int, share: float) -> str:
        """The key at this share of all wants."""
        while at >= (self.drifted + 1) * MICROSECONDS_PER_SECOND:
            self.drifted += 1
            for _ in range(int(self.swaps)):
                one, two = (self.drift.randrange(len(self.order)) for _ in range(2))
                self.order[one], self.order[two] = self.order[two], self.order[one]
        rank = min(bisect(self.upto, share * self.upto[-1]), len(self.upto) - 1)
        return self.name(self.order[rank])


def _prelude(scenario: Scenario, seed: int, warm: list[str]) -> list[PlannedRequest]:
    """One read of each warm key, evenly, so that the day begins with caches that hold what was asked
    lately.
    """
    random, reads = (
        random_stream(seed, "prelude"),
        [n for n, one in enumerate(scenario.classes) if not one.write],
    )
    asks, begin = [], -to_microseconds(scenario.day.prelude_s + 0.5)
    for number, key in enumerate(warm if reads else []):
        at = begin + to_microseconds(scenario.day.prelude_s) * number // len(warm)
        room = number % len(scenario.fleet.rooms)
        customer = random.randrange(len(scenario.customers))
        wait = int(scenario.classes[reads[0]].deadline_ms)
        tries = [PlannedTry(f"{random.getrandbits(64):016x}", wait, 0, 0)]
        asks.append(PlannedRequest(at, room, reads[0], customer, key, 100, False, True, "", -1, tries))
    return asks


def _instants(scenario: Scenario, seed: int) -> Iterator[int]:
    """Arrivals: Poisson, its rate shaped over the day, by thinning."""
    random, shape, traffic = random_stream(seed, "arrivals"), random_stream(seed, "shape"), scenario.traffic
    levels = [1 + traffic.swing * shape.uniform(-1, 1) for _ in range(int(scenario.day.length_s) + 2)]
    turn, at = shape.random(), 0.0
    while True:
        at -= math.log(1 - random.random()) / (traffic.rate * (1 + traffic.swing))
        if at >= scenario.day.length_s:
            return
        level = 1.0
        if traffic.shape == "bursty":
            level = levels[int(at)]
        elif traffic.shape == "wave":
            level = 1 + traffic.swing * math.sin(2 * math.pi * (at / scenario.day.length_s + turn))
        if random.random() * (1 + traffic.swing) < level:
            yield to_microseconds(at)


class Shares:
    """Tells what is beyond a customer's share: a bucket filled at its quota, a second deep."""

    def __init__(self, scenario: Scenario) -> None:
        whole = sum(one.share for one in scenario.customers) or 1.0
        self.quota = [scenario.traffic.quota_rps * one.share / whole for one in scenario.customers]
        self.left = [max(1.0, quota) for quota in self.quota]
        self.at = [0] * len(self.quota)

    def over(self, customer: int, at: int) -> bool:
        quota = self.quota[customer]
        filled = self.left[customer] + quota * (at - self.at[customer]) / MICROSECONDS_PER_SECOND
        self.left[customer], self.at[customer] = min(filled, max(1.0, quota)), at
        if self.left[customer] < 1:
            return True
        self.left[customer] -= 1
        return False


def _asks(scenario: Scenario, seed: int, keys: Keys) -> list[PlannedRequest]:
    """What clients send in the scored day: the ordinary arrivals, the surges, then what faults make of
    them.
    """
    random, shares = random_stream(seed, "asks"), Shares(scenario)
    asks = [_ask(scenario, random, keys, at) for at in _instants(scenario, seed)]
    for number, fault in enumerate(scenario.faults):
        asks += _extra(scenario, seed, fault, number + 1)
    asks.sort(key=lambda ask: (ask.at, ask.tries[0].id))
    for one in scenario.faults:
        if one.kind in ("hot-keys", "key-flood"):
            _bend(scenario, seed, keys, one, asks)
    for ask in asks:
        ask.over = shares.over(ask.customer, ask.at)
    return asks


def _extra(scenario: Scenario, seed: int, fault: Fault, origin: int) -> list[PlannedRequest]:
    """What a surge or a storm of reconnects adds; from a stream of its own, so that it shifts nothing."""
    if fault.kind not in ("surge", "reconnect-storm"):
        return []
    random, keys = random_stream(seed, fault.kind, fault.at_s, fault.router), Keys(scenario, seed)
    times, at = [], fault.at_s
    if fault.kind == "surge":
        while (
            at := at - math.log(1 - random.random()) / (fault.share * scenario.traffic.rate)
        ) < fault.until_s:
            times.append(to_microseconds(at))
    else:
        times = sorted(
            to_microseconds(random.uniform(fault.at_s, fault.until_s)) for _ in range(fault.clients)
        )
    asks = [_ask(scenario, random, keys, at) for at in times]
    for ask in asks:
        ask.origin, ask.router, ask.fresh = origin, fault.router, fault.kind == "reconnect-storm"
    return asks


def _pick(random: Random, weights: list[float]) -> int:
    return random.choices(range(len(weights)), weights)[0]


def _ask(scenario: Scenario, random: Random, keys: Keys, at: int) -> PlannedRequest:
    classes, customers, clients = scenario.classes, scenario.customers, scenario.clients
    cls = _pick(random, [one.share for one in classes])
    customer = _pick(random, [one.share * one.usage for one in customers])
    skew = scenario.traffic.room_skew
    room = _pick(random, [1 + skew] + [1.0] * (len(scenario.fleet.rooms) - 1))
    spec = classes[cls]
    work = min(-math.log(1 - random.random()), LONGEST_WORK) * spec.work_ms
    key = keys.pick(at, random.random())
    tries = [_try(scenario, random, spec, number) for number in range(1 + clients.retries)]
    order = f"{random.getrandbits(64):016x}"
    honours = random.random() < clients.honour
    keyed = order if spec.repeats == "keyed" else ""
    return PlannedRequest(
        at, room, cls, customer, key, max(1, round(work * 1000)), False, honours, keyed, -1, tries
    )


def _try(scenario: Scenario, random: Random, spec: WorkClass, number: int) -> PlannedTry:
    clients = scenario.clients
    wait = random.uniform(*clients.give_up) * spec.deadline_ms
    backoff = random.uniform(*clients.backoff_ms) * 2 ** max(0, number - 1) if number else 0.0
    leaves = random.uniform(0.1, 1.0) * wait if random.random() < clients.impatient else 0.0
    return PlannedTry(
        f"{random.getrandbits(64):016x}", max(1, round(wait)), round(backoff * 1000), round(leaves * 1000)
    )


def _bend(scenario: Scenario, seed: int, keys: Keys, fault: Fault, asks: list[PlannedRequest]) -> None:
    """Hot keys and floods: part of the requests of the time ask for other keys."""
    ordinary, added = (random_stream(seed, fault.kind, fault.at_s, which) for which in ("", "added"))
    begin, end = to_microseconds(fault.at_s), to_microseconds(fault.until_s)
    hot = [keys.name(f"{fault.kind}/{fault.at_s}/{n}") for n in range(fault.keys)]
    for ask in asks:
        if not begin <= ask.at < end:
            continue
        random = ordinary if not ask.origin else added
        chosen, which = random.random() < fault.share, random.randrange(fault.keys)
        if chosen and fault.kind == "hot-keys":
            ask.key = hot[which]
        elif chosen and not scenario.classes[ask.cls].write:
            ask.key = keys.name(f"{fault.kind}/{fault.at_s}/once/{ask.tries[0].id}")


def _cues(scenario: Scenario, fault: Fault, random: Random, number: int) -> list[Json]:
    """When a fault acts on which part of the world."""
    begin, end = to_microseconds(fault.at_s), to_microseconds(fault.until_s)

    def both(who: str, name: object, on: str, off: str, **more: Any) -> list[Json]:
        return [
            {"at": begin, "who": who, "name": name, "what": on, "fault": number, **more},
            {"at": end, "who": who, "name": name, "what": off, "fault": number, **more},
        ]

    def once(who: str, name: object, what: str, **more: Any) -> list[Json]:
        return both(who, name, what, what, **more)[:1]

    kind, fleet = fault.kind, scenario.fleet
    rooms = {uid: room for uid, _, room in scenario.nodes()}
    there = [uid for uid, room in rooms.items() if room == fault.room]
    routers = [n for n in range(fleet.routers) if scenario.router_room(n) == fault.room]
    notice = to_microseconds(random.uniform(*scenario.front.notice_s))
    if kind == "room-loss":
        cues = [cue for uid in there for cue in both("node", uid, "kill", "start")]
        for router in routers if fault.routers else []:
            cues += both("router", router, "kill", "start", notice=notice)
        return cues
    if kind == "partition":
        pairs = [(r, uid) for r in range(fleet.routers) for uid in rooms]
        apart = [(r, uid) for r, uid in pairs if (r in routers) != (rooms[uid] == fault.room)]
        cues = [cue for pair in apart for cue in both("link", list(pair), "silent", "heal")]
        return cues + both("messages", routers, "cut", "heal") + both("list", routers, "hold", "release")
    if kind == "routers-apart":
        return both("messages", sorted(set(fault.group)), "cut", "heal", oneway=fault.oneway)
    if kind in ("node-drain", "node-upgrade"):
        cues = once("node", fault.node, "drain")
        cues += [{**cue, "at": end} for cue in once("node", fault.node, "kill")]
        back = end + to_microseconds(fault.away_s)
        if kind == "node-upgrade":  # it speaks RESP3 from its next start on
            cues += [{**cue, "at": end} for cue in once("node", fault.node, "upgrade")]
        return cues + [{**cue, "at": back} for cue in once("node", fault.node, "start")] * (fault.away_s > 0)
    if kind == "node-retire":
        gone = end + to_microseconds(RETIRED_S)
        return (
            once("node", fault.node, "retire")
            + [{**cue, "at": end} for cue in once("node", fault.node, "drain")]
            + [{**cue, "at": gone} for cue in once("node", fault.node, "kill")]
        )
    if kind == "node-silent":
        links = [[r, fault.node] for r in range(fleet.routers)]
        return [cue for link in links for cue in both("link", link, "silent", "heal")]
    if kind == "router-restart":
        return once("router", fault.router, "restart", accept=to_microseconds(random.uniform(0.2, 0.4)))
    link = [fault.router, fault.node]
    simple: dict[str, list[Json]] = {
        "clients-upgrade": once("clients", "", "upgrade", share=fault.share),
        "list-late": both("list", [], "late", "timely", delay=to_microseconds(fault.delay_s)),
        "list-silent": both("list", [], "silent", "speak"),
        "messages-lost": both("messages", [], "lose", "keep", share=fault.share),
        "messages-late": both("messages", [], "delay", "undelay", delay=to_microseconds(fault.delay_s)),
        "messages-doubled": both("messages", [], "double", "single", share=fault.share),
        "messages-shuffled": both("messages", [], "shuffle", "order", delay=to_microseconds(fault.delay_s)),
        "database-slow": both("database", "", "slow", "quick", factor=fault.factor),
        "database-stop": both("database", "", "stop", "go"),
        "node-kill": both("node", fault.node, "kill", "start"),
        "node-join": once("node", fault.node, "start"),
        "node-spoil": both("node", fault.node, "spoil", "unspoil", share=fault.share),
        "link-delay": both("link", link, "delay", "undelay", delay=to_microseconds(fault.delay_s)),
        "link-silent": both("link", link, "silent", "heal"),
        "link-reset": once("link", link, "reset"),
        "router-kill": both("router", fault.router, "kill", "start", notice=notice),
        "router-pause": both("router", fault.router, "pause", "wake"),
        "router-reload": once("router", fault.router, "reload"),
        "etcd-drop": once("etcd", "", "drop"),
        "etcd-compact": once("etcd", "", "compact"),
        "etcd-silent": both("etcd", "", "silent", "speak"),
        "etcd-outage": both("etcd", "", "away", "back"),
        "etcd-delay": both("etcd", "", "delay", "timely", delay=to_microseconds(fault.delay_s)),
    }
    return simple.get(kind, [])  # hot keys, floods and surges are in what clients ask


def _changes(scenario: Scenario, plan: Plan, seed: int) -> list[EndpointChange]:
    """What the list will say when, to each router: the nodes' cues, later by what the scenario tells."""
    told = {"kill": "Gone", "drain": "Terminating", "retire": "Retiring", "start": "Ready"}
    found, lags = [], scenario.discovery
    lag = {"kill": lags.notice_s, "drain": lags.drain_s, "retire": lags.drain_s, "start": lags.add_s}
    late = [
        (to_microseconds(f.at_s), to_microseconds(f.until_s), to_microseconds(f.delay_s))
        for f in scenario.faults
        if f.kind == "list-late"
    ]
    held: list[tuple[int, int, str]] = []
    for fault in scenario.faults:
        if fault.kind == "partition":
            held.append((to_microseconds(fault.at_s), to_microseconds(fault.until_s), fault.room))
    for cue in plan.cues:
        if cue["who"] != "node" or cue["what"] not in told:
            continue
        random = random_stream(seed, "list", cue["name"], cue["what"], cue["at"])
        noticed = cue["at"] + to_microseconds(random.uniform(*lag[cue["what"]]))
        boot = cue["at"] if cue["what"] == "start" else 0
        for router in range(scenario.fleet.routers):
            at = noticed + to_microseconds(random.uniform(*lags.spread_ms) / 1000)
            at += max((delay for begin, end, delay in late if begin <= at < end), default=0)
            for begin, end, room in held:
                if begin <= at < end and scenario.router_room(router) == room:
                    at = end + to_microseconds(0.1)  # who is cut off hears nothing until then
            found.append(EndpointChange(at, router, cue["name"], told[cue["what"]], boot))
    return sorted(found, key=lambda one: (one.at, one.router, one.node))
