"""The worker of the cache nodes of one zone."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from rainhitch.rehearsal.fakes import fault_parameters
from rainhitch.rehearsal.fakes import worker_messages as messages
from rainhitch.rehearsal.fakes.cache_node import CacheNode
from rainhitch.rehearsal.fakes.cache_node_work import CacheNodeSpec
from rainhitch.rehearsal.fakes.link import Link
from rainhitch.rehearsal.fakes.worker import Worker
from rainhitch.rehearsal.fakes.worker_messages import Json
from rainhitch.rehearsal.plan_model import Command, Component, FaultAction

MOST_MISSES = 1 << 14  # request ids that are remembered until the database answers


class CacheNodeWorker(Worker):
    """Hosts the cache nodes of one zone."""

    def __init__(self, folder: Path, inputs: Json, zone: int) -> None:
        super().__init__(folder, inputs)
        self._work_us = {
            attempt["id"]: float(request["work_us"])
            for request in self.plan["asks"]
            for attempt in request["tries"]
        }
        self._missed_by_request: dict[str, list[CacheNode]] = {}  # oldest first
        self._nodes: dict[str, CacheNode] = {}
        for row in self.plan["nodes"]:
            if row["room"] == self.plan["rooms"][zone]:
                self._nodes[row["uid"]] = self._make_node(row)

    def _make_node(self, row: Json) -> CacheNode:
        """A node as the plan and the scenario have it."""
        fleet = self.scenario["fleet"]
        spec = CacheNodeSpec(
            cores=row["cores"],
            speed_factor=row["speed"],
            slots=row["slots"],
            queue_length=row["queue"],
            connection_limit=row["table"],
            memory_keys=fleet["memory_keys"],
            connection_work_us=row["connection_us"],
            probe_work_us=row["probe_us"],
            keepalive_s=fleet["keepalive_s"],
            cold_capacity_fraction=fleet["cold_from"],
            warm_up_s=fleet["warm_s"],
            collapse_factor=fleet["tip_multiple"],
            collapse_window_s=fleet["tip_s"],
            error_fraction=fleet["error_rate"],
            value_bytes=self.scenario["traffic"]["value_bytes"],
        )
        routers = len(self.plan["routers"])
        node = CacheNode(
            row["uid"], spec, routers, self._work_of, on_miss=self._missed, on_collapse=self._collapsed
        )
        node.speaks_resp3 = "resp3" in row
        if "joins" in row:
            node.kill()  # until it joins
        return node

    def _work_of(self, request_id: str) -> float:
        return self._work_us.get(request_id, 0.0)

    def _missed(self, request_id: str, node: CacheNode) -> None:
        self._missed_by_request.setdefault(request_id, []).append(node)
        if len(self._missed_by_request) > MOST_MISSES:
            del self._missed_by_request[next(iter(self._missed_by_request))]

    def _collapsed(self, node: CacheNode) -> None:
        self.send_to_workers(messages.NodeCollapsed(node.uid).to_row())

    def ready(self) -> Json:
        """The nodes' addresses."""
        return messages.node_addresses({uid: node.endpoints for uid, node in self._nodes.items()})

    def handle(self, message: messages.EnvironmentMessage) -> None:
        """The bus is there."""
        if isinstance(message, messages.JoinBus):
            self.spawn(self._follow_bus(message.bus_path))

    async def _follow_bus(self, path: str) -> None:
        """Keeps the nodes' copies as the database says."""
        reader, self.bus = await asyncio.open_unix_connection(path)
        while line := await reader.readline():
            match messages.bus_message(messages.from_line(line)):
                case messages.KeyStored(key, request_id):
                    for node in self._missed_by_request.get(request_id, []):
                        node.store(key)
                case messages.KeyInvalidated(key):
                    for node in self._nodes.values():
                        node.invalidate(key)

    def act(self, action: FaultAction) -> None:
        """A fault acts on a node, or on a link to one."""
        if action.component is Component.NODE:
            node = self._nodes.get(str(action.name))
            if node is not None:
                self._act_on_node(node, action)
        elif action.component is Component.LINK:
            router, uid = fault_parameters.link(action)
            if uid in self._nodes:
                self._act_on_link(self._nodes[uid].links[router], action)

    def _act_on_node(self, node: CacheNode, action: FaultAction) -> None:
        if action.command is Command.CORRUPT:
            node.work.corrupt_fraction = fault_parameters.fraction(action)
        elif action.command is Command.CORRUPT_NO_MORE:
            node.work.corrupt_fraction = 0.0
        # A node that has collapsed stays down.
        elif action.command is not Command.START or not node.statistics.collapsed_at_ns:
            acts: dict[Command, Callable[[], None]] = {
                Command.KILL: node.kill,
                Command.START: node.start,
                Command.DRAIN: node.drain,
                Command.RETIRE: lambda: None,  # the endpoint list says so, and nothing else changes yet
                Command.UPGRADE: node.upgrade,
            }
            acts[action.command]()

    def _act_on_link(self, link: Link, action: FaultAction) -> None:
        acts: dict[Command, Callable[[], None]] = {
            Command.SILENCE: lambda: link.set_silent(True),
            Command.HEAL: lambda: link.set_silent(False),
            Command.RESET: link.reset,
            Command.DELAY: lambda: link.set_delay(fault_parameters.delay_s(action)),
            Command.DELAY_NO_MORE: lambda: link.set_delay(0.0),
        }
        acts[action.command]()

    def record(self) -> Json:
        """The record of the nodes."""
        nodes = self._nodes.values()
        return {
            "attempts": [attempt.to_row() for node in nodes for attempt in node.attempts],
            "nodes": [node.statistics_row() for node in nodes],
        }
