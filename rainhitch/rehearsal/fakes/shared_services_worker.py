"""The worker of what all zones share: the order database, discovery or etcd, datagrams between routers."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from rainhitch import system
from rainhitch.rehearsal.fakes import fault_parameters
from rainhitch.rehearsal.fakes import worker_messages as messages
from rainhitch.rehearsal.fakes.database import NORMAL_TIME_FACTOR, Database, DatabaseSpec
from rainhitch.rehearsal.fakes.datagrams import DatagramRelay
from rainhitch.rehearsal.fakes.endpoint_lists import EndpointLists
from rainhitch.rehearsal.fakes.worker import Worker, seconds_until
from rainhitch.rehearsal.fakes.worker_messages import Json
from rainhitch.rehearsal.plan_model import Command, Component, FaultAction

FREE_UNTIL_S = 0.1  # before the plan's time 0: until then the database answers at once and at no cost
NANOSECONDS_PER_MILLISECOND = 1_000_000
MILLISECONDS_PER_SECOND = 1000


class SharedServicesWorker(Worker):
    """Hosts the database, discovery (or etcd in its place) and the relay of datagrams; listens on the bus."""

    def __init__(self, folder: Path, inputs: Json) -> None:
        super().__init__(folder, inputs)
        scenario = self.scenario
        routers = len(self.plan["routers"])
        database = DatabaseSpec(**scenario["database"], value_bytes=scenario["traffic"]["value_bytes"])
        self._database = Database(database, routers, self._key_stored, self._key_written)
        first_ms, last_ms = scenario["messages"]["delay_ms"]
        self._datagrams = DatagramRelay(
            routers,
            self.plan["seed"],
            (first_ms / MILLISECONDS_PER_SECOND, last_ms / MILLISECONDS_PER_SECOND),
            scenario["messages"]["loss"],
        )
        self._lists = EndpointLists(self.plan, scenario)
        self._bus_writers: list[asyncio.StreamWriter] = []
        self._bus_server: asyncio.AbstractServer | None = None  # kept: it is closed with its last reference

    # messages

    def handle(self, message: messages.EnvironmentMessage) -> None:
        """The nodes listen, or the routers."""
        if isinstance(message, messages.NodesListening):
            self._lists.open(message.endpoints, self._database.endpoints)
            self.spawn(self._serve(message.bus_path))
        elif isinstance(message, messages.RoutersListening):
            self._datagrams.targets = message.addresses

    async def _serve(self, bus_path: str) -> None:
        """Listens on the bus, starts the sources of the list, and sends the environment their addresses."""
        self._bus_server = await asyncio.start_unix_server(self._follow_bus, bus_path)
        agents = self._lists.agents
        known = [agent.whole_list() for agent in agents]
        etcd = await self._lists.start_etcd()
        sources = [
            messages.RouterSources(
                agent.endpoint, known[router], etcd[router], self._datagrams.addresses(router)
            )
            for router, agent in enumerate(agents)
        ]
        self.send(messages.sources_row(sources))

    async def _follow_bus(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Notices after a while that a node has collapsed."""
        self._bus_writers.append(writer)
        while line := await reader.readline():
            message = messages.bus_message(messages.from_line(line))
            if isinstance(message, messages.NodeCollapsed):
                earliest_s, latest_s = self.scenario["discovery"]["notice_s"]
                self.loop.call_later((earliest_s + latest_s) / 2, self._lists.push_gone, message.uid)

    def _send_to_nodes(self, row: Json) -> None:
        line = messages.to_line(row)
        for writer in self._bus_writers:
            writer.write(line)

    def _key_stored(self, key: str, request_id: str) -> None:
        self._send_to_nodes(messages.KeyStored(key, request_id).to_row())

    def _key_written(self, key: str) -> None:
        self._send_to_nodes(messages.KeyInvalidated(key).to_row())

    def start_run(self, zero_ns: int) -> None:
        """Begins the run: the database is free until shortly before it, and the list changes as planned."""
        super().start_run(zero_ns)
        now_ns = system.now()
        unix_now_ms = system.running().unix_ns() // NANOSECONDS_PER_MILLISECOND
        self._lists.unix_zero_ms = unix_now_ms + (zero_ns - now_ns) // NANOSECONDS_PER_MILLISECOND
        self._database.is_free = True
        free_for_s = max(0.0, (zero_ns - now_ns) / 1e9 - FREE_UNTIL_S)
        self.loop.call_later(free_for_s, self._end_free_answers)
        for row in self.plan["changes"]:
            self.loop.call_later(
                seconds_until(self.plan_time_ns(row["at"]), now_ns), self._lists.push_planned, row
            )

    def _end_free_answers(self) -> None:
        self._database.is_free = False

    # faults

    def act(self, action: FaultAction) -> None:
        """A fault acts on the database, on etcd, on discovery or on the datagrams."""
        match action.component:
            case Component.DATABASE:
                self._act_on_database(action)
            case Component.ETCD if self._lists.etcd is not None:
                self._lists.etcd.act(action)
            case Component.ENDPOINT_LIST if action.command in (Command.SILENCE, Command.SPEAK):
                # The other actions on discovery are in the plan's changes.
                self._lists.set_discovery_silent(action.command is Command.SILENCE)
            case Component.GOSSIP:
                self._act_on_datagrams(action)

    def _act_on_database(self, action: FaultAction) -> None:
        database = self._database
        acts: dict[Command, Callable[[], None]] = {
            Command.SLOW: lambda: database.slow(fault_parameters.factor(action)),
            Command.SLOW_NO_MORE: lambda: database.slow(NORMAL_TIME_FACTOR),
            Command.STOP: database.stop,
            Command.STOP_NO_MORE: database.start,
        }
        acts[action.command]()

    def _act_on_datagrams(self, action: FaultAction) -> None:
        faults = self._datagrams.faults
        match action.command:
            case Command.PARTITION:
                faults.isolated = fault_parameters.routers(action)
                faults.one_way = fault_parameters.is_one_way(action)
            case Command.HEAL:
                faults.isolated = set()
                faults.one_way = False
            case Command.LOSE:
                faults.loss_fraction = fault_parameters.fraction(action)
            case Command.LOSE_NO_MORE:
                faults.loss_fraction = 0.0
            case Command.DUPLICATE:
                faults.duplicate_fraction = fault_parameters.fraction(action)
            case Command.DUPLICATE_NO_MORE:
                faults.duplicate_fraction = 0.0
            case Command.REORDER:
                faults.reorder_delay_s = fault_parameters.delay_s(action)
            case Command.REORDER_NO_MORE:
                faults.reorder_delay_s = 0.0
            case Command.DELAY:
                faults.extra_delay_s = fault_parameters.delay_s(action)
            case Command.DELAY_NO_MORE:
                faults.extra_delay_s = 0.0

    def record(self) -> Json:
        """The record of the database, of what routers were sent of the list, and of the datagrams."""
        return {
            "fetches": [request.to_row() for request in self._database.requests],
            "told": self._lists.rows(),
            "stops": self._database.stops,
            "factors": self._database.time_factors,
            "messages": self._datagrams.to_row(),
        }
