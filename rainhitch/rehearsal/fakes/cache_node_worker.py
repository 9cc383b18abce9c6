"""The cache nodes of one room, as a part of a day."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import orjson

from rainhitch.rehearsal.fakes.cache_node import CacheNode, CacheNodeSpec
from rainhitch.rehearsal.fakes.worker import Json, Worker

KEPT_MISSES = 1 << 14


class CacheNodeWorker(Worker):
    """The cache nodes of one room."""

    def __init__(self, folder: Path, told: Json, room: int) -> None:
        super().__init__(folder, told)
        fleet, traffic = self.scenario["fleet"], self.scenario["traffic"]
        self.work = {one["id"]: float(ask["work_us"]) for ask in self.plan["asks"] for one in ask["tries"]}
        self.misses: dict[str, list[CacheNode]] = {}
        self.nodes: dict[str, CacheNode] = {}
        for one in self.plan["nodes"]:
            if one["room"] != self.plan["rooms"][room]:
                continue
            spec = CacheNodeSpec(
                one["cores"],
                one["speed"],
                one["slots"],
                one["queue"],
                one["table"],
                fleet["memory_keys"],
                one["connection_us"],
                one["probe_us"],
                fleet["keepalive_s"],
                fleet["cold_from"],
                fleet["warm_s"],
                fleet["tip_multiple"],
                fleet["tip_s"],
                fleet["error_rate"],
                traffic["value_bytes"],
            )
            self.nodes[one["uid"]] = CacheNode(
                one["uid"], spec, len(self.plan["routers"]), self.work_of, self.missed, self.fell
            )
            self.nodes[one["uid"]].resp3 = "resp3" in one
            if "joins" in one:
                self.nodes[one["uid"]].kill()  # until it joins

    def work_of(self, id: str) -> float:
        return self.work.get(id, 0.0)

    def missed(self, id: str, node: CacheNode) -> None:
        self.misses.setdefault(id, []).append(node)
        if len(self.misses) > KEPT_MISSES:
            del self.misses[next(iter(self.misses))]

    def fell(self, node: CacheNode) -> None:
        self.tell({"fell": node.uid})

    def ready(self) -> Json:
        return {"nodes": {uid: node.endpoints for uid, node in self.nodes.items()}}

    def heed(self, message: Json) -> None:
        if "bus" in message:
            self.spawn(self.listen(message["bus"]))

    async def listen(self, path: str) -> None:
        reader, self.bus = await asyncio.open_unix_connection(path)
        while line := await reader.readline():
            message = orjson.loads(line)
            for node in self.misses.get(message["id"], []) if "store" in message else []:
                node.store(message["store"])
            for node in self.nodes.values() if "void" in message else []:
                node.void(message["void"])

    def cue(self, cue: Json) -> None:
        if cue["who"] == "node" and cue["name"] in self.nodes:
            node = self.nodes[cue["name"]]
            if cue["what"] in ("spoil", "unspoil"):
                node.spoils = cue["share"] if cue["what"] == "spoil" else 0.0
            elif cue["what"] != "start" or not node.falls:  # one that was pushed over stays down
                acts = {"kill": node.kill, "start": node.start, "drain": node.drain}
                acts |= {"retire": node.retire, "upgrade": node.upgrade}
                acts[cue["what"]]()
        elif cue["who"] == "link" and cue["name"][1] in self.nodes:
            link = self.nodes[cue["name"][1]].links[cue["name"][0]]
            of_link: dict[str, Callable[[], None]] = {
                "silent": lambda: link.set_silent(True),
                "heal": lambda: link.set_silent(False),
                "reset": link.reset,
                "delay": lambda: setattr(link, "delay", cue.get("delay", 0) / 1e6),
                "undelay": lambda: setattr(link, "delay", 0.0),
            }
            of_link[cue["what"]]()

    def ledger(self) -> Json:
        nodes = self.nodes.values()
        return {
            "attempts": [row.row() for node in nodes for row in node.rows],
            "nodes": [
                {
                    "uid": node.uid,
                    "falls": node.falls,
                    "starts": node.starts,
                    "connections": node.connections,
                    "turned_away": node.turned_away,
                    "probes": node.probes,
                    "syntax": node.syntax,
                    "burdens": node.burdens,
                    "tables": node.tables,
                }
                for node in nodes
            ],
        }
