"""Runs a plan: starts the fakes and the routers, sets them going at one instant, and collects their records.

Every process that is started is ended again, whatever happens, and the folder they worked in goes with them.
"""

import asyncio
import shutil
import socket
import tempfile
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import orjson

from rainhitch import system
from rainhitch.rehearsal.errors import RehearsalError
from rainhitch.rehearsal.fakes import worker_messages as messages
from rainhitch.rehearsal.plan_model import (
    MICROSECONDS_PER_SECOND,
    NANOSECONDS_PER_MICROSECOND,
    NANOSECONDS_PER_SECOND,
    FaultAction,
    Plan,
)
from rainhitch.rehearsal.ports import hold_port
from rainhitch.rehearsal.router_configuration import (
    RouterIdentity,
    operator_config_of_scenario,
    router_configuration,
)
from rainhitch.rehearsal.router_faults import RouterFaults
from rainhitch.rehearsal.router_process import RouterProcess
from rainhitch.rehearsal.scenario import Scenario
from rainhitch.rehearsal.worker_process import READY_WITHIN_S, WorkerProcess

__all__ = ["Environment", "ProgressCallback", "WorkerProcess"]

Json = dict[str, Any]
# Is called with the time in seconds from the first scored instant, and `{"crashes": count}`.
ProgressCallback = Callable[[float, Json], None]
LEAD_S = 0.6  # between all being ready and the prelude
PROGRESS_INTERVAL_S = 0.25
LONGEST_AFTER_END_S = 10  # beside two of the longest deadlines, that clients may take after the last arrival
BYTES_PER_MB = 1 << 20


class Environment:
    """One run: the fakes, the routers, and what happens to them."""

    def __init__(
        self,
        scenario: Scenario,
        plan: Plan,
        command: list[str],
        on_progress: ProgressCallback = lambda at_s, row: None,
        operator_config: str = "",
    ) -> None:
        self.scenario = scenario
        self.plan = plan
        self.command = command  # that starts a router
        self.on_progress = on_progress
        self.operator_config = operator_config  # the text of an operator's file that all routers have
        self.folder = Path(tempfile.mkdtemp(prefix="rainhitch-"))
        self.workers: list[WorkerProcess] = []
        self.routers: list[RouterProcess] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.held_ports: list[socket.socket] = []
        self.zero_ns = 0  # the first scored instant
        self.router_faults = RouterFaults(self.routers, self.workers, self._spawn)

    # What an environment of another kind, as the virtual one, has of its own.

    def make_worker(self, role: str) -> WorkerProcess:
        """One part of the fakes, not yet started."""
        return WorkerProcess(role, self.folder)

    def make_router(self, number: int, config: Json) -> RouterProcess:
        """A router with this configuration, not yet started."""
        day = self.scenario.day
        memory_limit_bytes = int(day.memory_mb * BYTES_PER_MB)
        router = RouterProcess(number, self.command, self.folder, config, memory_limit_bytes, day.sockets)
        router.operator_config = self.operator_config
        return router

    def free_port(self) -> int:
        """A port that nobody listens on, held for this run."""
        held = hold_port()
        self.held_ports.append(held)
        return int(held.getsockname()[1])

    async def play(self) -> Json:
        """Runs the plan; gives all records.

        Raises:
            RehearsalError: a process did not come up or failed, or the clients did not come to an end.
        """
        try:
            return await self._play()
        finally:
            await self._end_all()

    async def _end_all(self) -> None:
        """Ends every process that still runs, and removes the folder."""
        for task in self.tasks:
            task.cancel()
        for router in self.routers:
            router.end_now()
        for worker in self.workers:
            await worker.end()
        for router in self.routers:
            if router.process is not None:
                await router.process.wait()
        for held in self.held_ports:
            held.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def _play(self) -> Json:
        """The run, from the first process to the records."""
        plan_and_scenario = {"plan": self.plan.rows(), "scenario": orjson.loads(orjson.dumps(self.scenario))}
        self._write_json("plan.json", plan_and_scenario)
        await self._start_fakes_and_routers()
        clients = await self._start_clients()
        first_at_us = min((request.at for request in self.plan.asks), default=0)
        self.zero_ns = system.now() + int(LEAD_S * NANOSECONDS_PER_SECOND)
        self.zero_ns -= min(first_at_us, 0) * NANOSECONDS_PER_MICROSECOND
        for worker in self.workers:
            worker.send(messages.StartRun(self.zero_ns).to_row())
        await self._run_timeline(clients)
        for router in self.routers:
            self._spawn(router.stop())
        await asyncio.gather(*self.tasks)
        return await self._collect_records()

    def _write_json(self, name: str, rows: object) -> None:
        """Writes a file for the fakes' processes."""
        (self.folder / name).write_bytes(orjson.dumps(rows))

    # The start: each part needs the addresses of those before it.

    async def _start_fakes_and_routers(self) -> None:
        """Starts the shared services and the nodes, then the routers, and tells each where the others are."""
        shared_services = self.make_worker("centre")
        nodes = [self.make_worker(f"nodes:{room}") for room in range(len(self.plan.rooms))]
        self.workers += [shared_services, *nodes]
        for worker in self.workers:
            await worker.start()
        await shared_services.receive(messages.READY)
        node_endpoints: dict[str, list[str]] = {}
        for worker in nodes:
            node_endpoints |= messages.endpoints_of_ready(await worker.receive(messages.READY))
        bus_path = str(self.folder / "bus")
        shared_services.send(messages.NodesListening(node_endpoints, bus_path).to_row())
        sources = await shared_services.receive(messages.SOURCES)
        for worker in nodes:
            worker.send(messages.JoinBus(bus_path).to_row())
        await self._start_routers(sources["agents"], sources["peers"])
        shared_services.send(_routers_listening(self.routers).to_row())
        self._write_json("addresses.json", [router.address for router in self.routers])

    async def _start_routers(self, agents: list[Json], peers: list[list[str]]) -> None:
        """Starts all routers, and waits until they are ready."""
        for number in range(self.scenario.fleet.routers):
            agent = agents[number]
            first_port = self.scenario.fleet.first_port
            listen_port = first_port + number if first_port else self.free_port()
            config = router_configuration(
                self.scenario,
                RouterIdentity(number, self.plan.seed, listen_port, self.free_port()),
                agent,
                peers[number],
            )
            router = self.make_router(number, config)
            router.operator_config += operator_config_of_scenario(self.scenario, number, agent)
            self.routers.append(router)
            await router.start()
        for router in self.routers:
            if not await router.wait_until_ready():
                lines = router.last_lines()
                reason = router.crash["why"] if router.crash else "did not answer PING"
                last_line = lines[-1] if lines else "no word"
                raise RehearsalError(f"the router's command failed: {reason}: {last_line}")

    async def _start_clients(self) -> list[WorkerProcess]:
        """Starts the clients of each room, and waits until they are ready."""
        clients = [self.make_worker(f"clients:{room}") for room in range(len(self.plan.rooms))]
        self.workers += clients
        for worker in clients:
            await worker.start()
        for worker in clients:
            await worker.receive(messages.READY)
        return clients

    # The run

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine as a task, for which the run waits at its end."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run_timeline(self, clients: list[WorkerProcess]) -> None:
        """Applies the faults on routers, and notices crashes, until the clients are done."""
        loop = asyncio.get_running_loop()
        actions = [FaultAction.from_row(row) for row in self.plan.cues]
        self.router_faults.schedule(actions, self.zero_ns)
        longest_deadline_s = max(work_class.deadline_ms for work_class in self.scenario.classes) / 1000
        longest_s = self.scenario.day.length_s + 2 * longest_deadline_s + LONGEST_AFTER_END_S
        last_action_s = max((action.at_us for action in actions), default=0) / MICROSECONDS_PER_SECOND
        ends = [
            loop.create_task(worker.receive(messages.CLIENTS_DONE, longest_s + READY_WITHIN_S))
            for worker in clients
        ]
        while True:
            done, _ = await asyncio.wait(ends, timeout=PROGRESS_INTERVAL_S)
            at_s = (system.now() - self.zero_ns) / NANOSECONDS_PER_SECOND
            crashes = sum(1 for router in self.routers if router.crash is not None)
            self.on_progress(at_s, {"crashes": crashes})
            self.router_faults.notice_crashes(self.scenario.front.notice_s[0])
            if len(done) == len(ends):
                for end in ends:
                    end.result()  # raises what a client's process failed with
                return
            if at_s > max(longest_s, last_action_s + longest_s):
                raise RehearsalError("the clients did not come to an end")

    async def _collect_records(self) -> Json:
        """Ends the fakes, and collects what they and the routers' processes recorded."""
        records: Json = {"parts": {}}
        for worker in self.workers:
            worker.send(messages.EndRun(f"{worker.name}.json").to_row())
        for worker in self.workers:
            await worker.receive(messages.ENDED)
            rows = orjson.loads((self.folder / f"{worker.name}.json").read_bytes())
            records["parts"][worker.role] = rows
        records["zero"] = self.zero_ns
        records["routers"] = [
            {
                "number": router.number,
                "events": router.events,
                "crash": router.crash,
                "peak": router.peak_memory_bytes,
            }
            for router in self.routers
        ]
        return records


def _routers_listening(routers: list[RouterProcess]) -> messages.RoutersListening:
    """Where the routers listen for datagrams, by their configuration."""
    addresses = {}
    for number, router in enumerate(routers):
        host, _, port = router.config["peer_listen"].rpartition(":")
        addresses[number] = (host, int(port))
    return messages.RoutersListening(addresses)
