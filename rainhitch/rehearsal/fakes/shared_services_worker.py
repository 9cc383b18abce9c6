"""The order database, discovery, and the datagrams between routers, as a part of a day."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import orjson

from rainhitch import system
from rainhitch.rehearsal.fakes.database import Database, DatabaseSpec
from rainhitch.rehearsal.fakes.datagrams import DatagramRelay
from rainhitch.rehearsal.fakes.discovery import DiscoveryAgent
from rainhitch.rehearsal.fakes.etcd_cluster import EtcdCluster
from rainhitch.rehearsal.fakes.worker import Json, Worker

PREFIX = "/rainhitch/members/"


class EtcdList:
    """The list in a stand-in for etcd. Each router has a member of its own, so that it is known what was
    told to whom, and a prefix of its own, since endpoints differ from router to router."""

    def __init__(self, routers: int) -> None:
        self.world = EtcdCluster(routers)
        self.world.entry_sent, self.world.list_read = self._sent, self._read
        self.rows: list[Json] = []

    async def start(self, agents: list[DiscoveryAgent]) -> list[str]:
        await self.world.start()
        for agent in agents:
            for entry in agent.entries.values():
                self.push(agent.router, entry)
        return self.world.endpoints

    @staticmethod
    def key(router: int, uid: str) -> bytes:
        return f"{PREFIX}{router}/{uid}".encode()

    def push(self, router: int, entry: Json) -> None:
        key = self.key(router, entry["uid"])
        if entry["state"] == "Gone":
            self.world.store.delete(key)
        else:
            self.world.store.put(key, orjson.dumps(entry))

    def _sent(self, member: int, key: bytes, there: bool) -> None:
        number, _, uid = key.decode().removeprefix(PREFIX).partition("/")
        if not uid or int(number) != member:
            return
        version = self.world.store.at(key, self.world.store.revision)
        state = orjson.loads(version.value)["state"] if there and version and version.value else "Gone"
        row = {"router": member, "at": system.now(), "node": uid, "state": state, "whole": False}
        self.rows.append(row)

    def _read(self, member: int, begin: bytes, keys: list[bytes]) -> None:
        if begin != self.key(member, ""):
            return
        for key in keys:
            self._sent(member, key, True)
        named = [key.decode().rpartition("/")[2] for key in keys]
        row = {"router": member, "at": system.now(), "node": "", "state": "whole", "whole": True}
        self.rows.append({**row, "named": named})

    def cue(self, cue: Json) -> None:
        """A fault acts."""
        world, what = self.world, cue["what"]
        if what == "drop":
            world.drop()
        elif what == "compact":
            if (
                world.store.compacted_revision < world.store.revision
            ):  # else nothing has changed since the last time
                world.store.compact(world.store.revision)
            world.drop()
        elif what in ("silent", "speak"):
            world.silent = what == "silent"
        elif what in ("away", "back"):
            world.refuse = what == "away"
            world.drop()
        else:
            world.delay_s = cue.get("delay", 0) / 1e6 if what == "delay" else 0.0


class SharedServicesWorker(Worker):
    """The order database, discovery, and the datagrams between routers."""

    def __init__(self, folder: Path, told: Json) -> None:
        super().__init__(folder, told)
        routers, scenario = len(self.plan["routers"]), self.scenario
        spec = DatabaseSpec(**scenario["database"], value_bytes=scenario["traffic"]["value_bytes"])
        self.database = Database(spec, routers, self.stored, self.voided)
        delay = tuple(one / 1000 for one in scenario["messages"]["delay_ms"])
        seed = self.plan["seed"]
        self.datagrams = DatagramRelay(routers, seed, (delay[0], delay[1]), scenario["messages"]["loss"])
        self.agents: list[DiscoveryAgent] = []
        self.etcd = EtcdList(routers) if scenario["discovery"]["source"] == "etcd" else None
        self.endpoints: dict[str, list[str]] = {}
        self.rooms: list[asyncio.StreamWriter] = []
        self.unix = 0  # ms: the wall clock at the plan's 0

    def entry(self, router: int, uid: str, state: str, boot_us: int) -> Json:
        node = next(one for one in self.plan["nodes"] if one["uid"] == uid)
        return {
            "uid": uid,
            "endpoint": self.endpoints[uid][router],
            "az": node["room"],
            "model": node["class"],
            "pod_group": 0,
            "state": state,
            "capacity_hint": self.weights[uid],
            "boot_ms": self.unix + boot_us // 1000 if boot_us else 0,
        }

    def heed(self, message: Json) -> None:
        if "nodes" in message:
            self.endpoints = message["nodes"]
            size = {one["uid"]: one["cores"] * self.nominal(one["class"]) for one in self.plan["nodes"]}
            mean = sum(size.values()) / len(size)
            self.weights = {uid: round(one / mean, 3) for uid, one in size.items()}
            for router in range(len(self.plan["routers"])):
                self.agents.append(DiscoveryAgent(router, self.listed(router)))
            self.spawn(self.host(message["bus"]))
        elif "listens" in message:
            listens = message["listens"].items()
            self.datagrams.targets = {int(n): (host, int(port)) for n, (host, port) in listens}

    def nominal(self, name: str) -> float:
        """The speed of a core that the list's hint goes by: the middle of the class's range."""
        low, high = next(one["speed"] for one in self.scenario["fleet"]["nodes"] if one["name"] == name)
        return float(low + high) / 2

    def listed(self, router: int) -> list[Json]:
        there = [one["uid"] for one in self.plan["nodes"] if "joins" not in one]
        rows = [self.entry(router, uid, "Ready", 0) for uid in there]
        base = {"az": self.plan["rooms"][0], "model": "database", "pod_group": 0, "state": "Ready"}
        endpoint = self.database.endpoints[router]
        row = {"uid": "database", "endpoint": endpoint, **base, "capacity_hint": 1.0, "boot_ms": 0}
        return [*rows, row]

    async def host(self, path: str) -> None:
        self.server = await asyncio.start_unix_server(self.joined, path)  # closed with the last reference
        lists = [{"agent": agent.endpoint, "known": agent.whole()} for agent in self.agents]
        if self.etcd is not None:
            for one in lists:
                one["etcd"] = ""
            for number, endpoint in enumerate(await self.etcd.start(self.agents)):
                lists[number]["etcd"] = endpoint
        peers = [self.datagrams.addresses(agent.router) for agent in self.agents]
        self.say({"lists": {"agents": lists, "peers": peers}})

    async def joined(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.rooms.append(writer)
        while line := await reader.readline():
            message = orjson.loads(line)
            if "fell" in message:
                low, high = self.scenario["discovery"]["notice_s"]
                self.loop.call_later((low + high) / 2, self.gone, message["fell"])

    def gone(self, uid: str) -> None:
        for agent in self.agents:
            self.push(agent.router, self.entry(agent.router, uid, "Gone", 0))

    def push(self, router: int, entry: Json) -> None:
        """A change reaches a router's source."""
        if self.etcd is not None:
            self.etcd.push(router, entry)
        else:
            self.agents[router].push(entry)

    def all_rooms(self, message: Json) -> None:
        line = orjson.dumps(message) + b"\n"
        for writer in self.rooms:
            writer.write(line)

    def stored(self, key: str, id: str) -> None:
        self.all_rooms({"store": key, "id": id})

    def voided(self, key: str) -> None:
        self.all_rooms({"void": key, "id": ""})

    def begin(self, zero: int) -> None:
        super().begin(zero)
        now = system.now()
        self.unix = system.running().unix() // 1_000_000 + (zero - now) // 1_000_000
        self.database.free = True
        self.loop.call_later(max(0.0, (zero - now) / 1e9 - 0.1), setattr, self.database, "free", False)
        for one in self.plan["changes"]:
            self.loop.call_later(max(0.0, (zero + one["at"] * 1000 - now) / 1e9), self.change, one)

    def change(self, one: Json) -> None:
        entry = self.entry(one["router"], one["node"], one["state"], one["boot"])
        self.push(one["router"], entry)

    def cue(self, cue: Json) -> None:
        datagrams, what = self.datagrams, cue["what"]
        if cue["who"] == "database":
            database = self.database
            acts: dict[str, Callable[[], None]] = {
                "slow": lambda: database.slow(cue["factor"]),
                "quick": lambda: database.slow(1.0),
                "stop": database.stop,
                "go": database.go,
            }
            acts[what]()
        elif cue["who"] == "etcd" and self.etcd is not None:
            self.etcd.cue(cue)
        elif cue["who"] == "list" and what in ("silent", "speak"):
            for agent in self.agents:
                agent.silence(what == "silent")
        elif cue["who"] == "messages":
            if what in ("cut", "heal"):
                datagrams.apart = set(cue["name"]) if what == "cut" else set()
                datagrams.oneway = what == "cut" and cue.get("oneway", False)
            elif what in ("lose", "keep"):
                datagrams.lost = cue["share"] if what == "lose" else 0.0
            elif what in ("double", "single"):
                datagrams.doubled = cue["share"] if what == "double" else 0.0
            elif what in ("shuffle", "order"):
                datagrams.shuffled = cue["delay"] / 1e6 if what == "shuffle" else 0.0
            else:
                datagrams.more = cue["delay"] / 1e6 if what == "delay" else 0.0

    def ledger(self) -> Json:
        grams = self.datagrams
        return {
            "fetches": [row.row() for row in self.database.rows],
            "told": [row for agent in self.agents for row in agent.rows]
            + ([] if self.etcd is None else self.etcd.rows),
            "stops": self.database.stops,
            "factors": self.database.factors,
            "messages": {"sent": grams.sent, "delivered": grams.delivered, "bytes": grams.bytes},
        }
