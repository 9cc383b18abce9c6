"""Plays a plan: starts the world and the routers, sets them going at one instant, keeps their ledgers.

Every process that is started is ended again, whatever happens, and the folder they worked in goes with them.
"""

import asyncio
import contextlib
import os
import resource
import shutil
import signal
import socket
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from rainhitch import system
from rainhitch.rehearsal.plan import Plan
from rainhitch.rehearsal.router_process import RehearsalError, RouterProcess, hold_port, router_settings
from rainhitch.rehearsal.scenario import Scenario

Json = dict[str, Any]
LEAD = 0.6  # s between all being ready and the prelude
SPARE = 200  # descriptors of a part beside its connections
PART_READY = 60.0  # s
ProgressCallback = Callable[[float, Json], None]  # how far the day is, in its seconds, and the stage's word


class WorkerProcess:
    """One part of the world in its process."""

    def __init__(self, role: str, folder: Path) -> None:
        self.role, self.folder = role, folder
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        words = [sys.executable, "-m", "rainhitch.rehearsal.fakes", self.role, str(self.folder)]
        with (self.folder / f"{self.name}.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                limit=1 << 24,
                start_new_session=True,
            )

    @property
    def name(self) -> str:
        return self.role.replace(":", "-")

    def send(self, message: Json) -> None:
        assert self.process is not None and self.process.stdin is not None
        self.process.stdin.write(orjson.dumps(message) + b"\n")

    async def receive(self, key: str, within: float = PART_READY) -> Any:
        """The next word with this key."""
        assert self.process is not None and self.process.stdout is not None
        try:
            async with asyncio.timeout(within):
                while line := await self.process.stdout.readline():
                    message = orjson.loads(line)
                    if key in message:
                        return message[key]
        except TimeoutError:
            pass
        log = (self.folder / f"{self.name}.log").read_text(errors="replace").strip().splitlines()
        raise RehearsalError(f"the stand-in {self.role} failed: {log[-1] if log else 'no word'}")

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)
            await self.process.wait()


def check_descriptors(scenario: Scenario) -> None:
    """Raises StageError where this process's limit is too low for the fleet; raises the soft limit as
    needed.
    """
    fleet = scenario.fleet
    listeners = sum(one.count for one in fleet.nodes) * fleet.routers
    tables = sum(round(one.cores * one.table_per_core) * one.count for one in fleet.nodes)
    need = max(scenario.clients.most, listeners + 2 * tables, scenario.day.sockets) + SPARE
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and need > hard:
        raise RehearsalError(
            f"too few descriptors: this fleet needs {need} in a process, the limit is {hard}"
        )
    if soft != resource.RLIM_INFINITY and soft < need:
        resource.setrlimit(resource.RLIMIT_NOFILE, (need, hard))


def check_ports(scenario: Scenario) -> None:
    """Raises StageError for a port that is wanted and can't be had."""
    first = scenario.fleet.first_port
    for port in range(first, first + scenario.fleet.routers) if first else []:
        with socket.socket() as one:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                one.bind(("127.0.0.1", port))
            except OSError as problem:
                raise RehearsalError(f"port {port} can't be had for a router: {problem.strerror}") from None


class Environment:
    """One day."""

    def __init__(
        self,
        scenario: Scenario,
        plan: Plan,
        command: list[str],
        on_progress: ProgressCallback = lambda at, row: None,
        operator_config: str = "",
    ) -> None:
        self.operator_config = operator_config  # the text of an operator's file that all routers have
        self.scenario, self.plan, self.command, self.on_progress = scenario, plan, command, on_progress
        self.folder = Path(tempfile.mkdtemp(prefix="rainhitch-"))
        self.workers: list[WorkerProcess] = []
        self.routers: list[RouterProcess] = []
        self.acting: set[asyncio.Task[None]] = set()
        self.held: list[socket.socket] = []
        self.zero = 0

    # what a stage on another machine than this one has of its own

    def make_worker(self, role: str) -> WorkerProcess:
        return WorkerProcess(role, self.folder)

    def make_router(self, number: int, config: Json) -> RouterProcess:
        day = self.scenario.day
        memory = int(day.memory_mb * (1 << 20))
        made = RouterProcess(number, self.command, self.folder, config, memory, day.sockets)
        made.operator_config = self.operator_config
        return made

    def free_port(self) -> int:
        """A port that nobody listens on, kept for this day."""
        self.held.append(hold_port())
        return int(self.held[-1].getsockname()[1])

    async def play(self) -> Json:
        """Plays the day; gives all its ledgers."""
        try:
            return await self._play()
        finally:
            for task in self.acting:
                task.cancel()
            for router in self.routers:
                router.end_now()
            for part in self.workers:
                await part.end()
            for router in self.routers:
                if router.process is not None:
                    await router.process.wait()
            for held in self.held:
                held.close()
            shutil.rmtree(self.folder, ignore_errors=True)

    async def _play(self) -> Json:
        scenario, plan = self.scenario, self.plan
        told = {"plan": plan.rows(), "scenario": orjson.loads(orjson.dumps(scenario))}
        (self.folder / "plan.json").write_bytes(orjson.dumps(told))
        centre = self.make_worker("centre")
        nodes = [self.make_worker(f"nodes:{n}") for n in range(len(plan.rooms))]
        clients = [self.make_worker(f"clients:{n}") for n in range(len(plan.rooms))]
        self.workers = [centre, *nodes]
        for part in self.workers:
            await part.start()
        await centre.receive("ready")
        endpoints: Json = {}
        for part in nodes:
            endpoints |= (await part.receive("ready"))["nodes"]
        bus = str(self.folder / "bus")
        centre.send({"nodes": endpoints, "bus": bus})
        told_lists = await centre.receive("lists")
        lists, peers = told_lists["agents"], told_lists["peers"]
        for part in nodes:
            part.send({"bus": bus})
        await self._start_routers(lists, peers)
        centre.send(
            {"listens": {str(n): one.config["peer_listen"].split(":") for n, one in enumerate(self.routers)}}
        )
        (self.folder / "addresses.json").write_bytes(orjson.dumps([one.address for one in self.routers]))
        self.workers += clients
        for part in clients:
            await part.start()
        for part in clients:
            await part.receive("ready")
        first = min((ask.at for ask in plan.asks), default=0)
        self.zero = system.now() + int(LEAD * 1e9) - min(first, 0) * 1000
        for part in self.workers:
            part.send({"zero": self.zero})
        await self._run_timeline(clients)
        for router in self.routers:
            self._do(router.stop())
        await asyncio.gather(*self.acting)
        return await self._collect_records()

    async def _start_routers(self, lists: list[Json], peers: list[list[str]]) -> None:
        day, first = self.scenario.day, self.scenario.fleet.first_port
        for number in range(self.scenario.fleet.routers):
            config = {
                "name": f"router-{number}",
                "listen": f"127.0.0.1:{first + number if first else self.free_port()}",
                "discovery": lists[number]["agent"],
                "seed": f"{self.plan.seed * 1000 + number & (1 << 63) - 1:016x}",
                "limits": {"cores": 1.0, "memory_mb": day.memory_mb, "sockets": day.sockets},
                "peer_listen": f"127.0.0.1:{self.free_port()}",
                "peers": peers[number][:-1],
                "peers_all": peers[number][-1],
                "known": lists[number]["known"],
                "settings": router_settings(self.scenario, number),
            }
            router = self.make_router(number, config)
            if "etcd" in lists[number]:
                router.operator_config += (
                    f'[membership]\nsource = "etcd"\nendpoints = ["{lists[number]["etcd"]}"]\n'
                    f'prefix = "/rainhitch/members/{number}/"\n'
                )
            if self.scenario.fleet.resp3 or any(one.kind == "node-upgrade" for one in self.scenario.faults):
                router.operator_config += "[servers]\nresp3 = true\n"
            self.routers.append(router)
            await router.start()
        for router in self.routers:
            if not await router.ready():
                lines = router.last_lines()
                what = router.crash["why"] if router.crash else "did not answer PING"
                raise RehearsalError(
                    f"the router's command failed: {what}: {lines[-1] if lines else 'no word'}"
                )

    def _do(self, what: Any) -> None:
        task = asyncio.get_running_loop().create_task(what)
        self.acting.add(task)
        task.add_done_callback(self.acting.discard)

    async def _run_timeline(self, clients: list[WorkerProcess]) -> None:
        """Acts on the routers' cues until the clients are done."""
        loop = asyncio.get_running_loop()
        for cue in self.plan.cues:
            if cue["who"] == "router":
                after = max(0.0, (self.zero + cue["at"] * 1000 - system.now()) / 1e9)
                loop.call_later(after, self._act, cue)
        longest = max(one.deadline_ms for one in self.scenario.classes) / 1000
        whole = self.scenario.day.length_s + 2 * longest + 10
        over = [loop.create_task(part.receive("over", whole + PART_READY)) for part in clients]
        crashed: set[int] = set()
        while True:
            done, _ = await asyncio.wait(over, timeout=0.25)
            at = (system.now() - self.zero) / 1e9
            self.on_progress(at, {"crashes": sum(one.crash is not None for one in self.routers)})
            for number, router in enumerate(self.routers):
                if router.crash is not None and number not in crashed:
                    crashed.add(number)
                    self._do(self._front(number, False, self.scenario.front.notice_s[0]))
            if len(done) == len(over):
                for task in over:
                    task.result()
                return
            last = max((cue["at"] for cue in self.plan.cues), default=0) / 1e6
            if at > max(whole, last + whole):
                raise RehearsalError("the clients did not come to an end")

    def _act(self, cue: Json) -> None:
        self._do(self._cue(cue))

    async def _cue(self, cue: Json) -> None:
        router = self.routers[cue["name"]]
        if cue["what"] == "kill":
            self._do(self._front(cue["name"], False, cue["notice"] / 1e6))
            await router.kill()
        elif cue["what"] == "start":
            await router.ended.wait()
            await self._up(router)
        elif cue["what"] == "reload":
            router.reload()
        elif cue["what"] in ("pause", "wake"):
            router.pause(cue["what"] == "pause")
        elif cue["what"] == "restart":
            self._do(self._front(cue["name"], False, cue["accept"] / 1e6))
            await router.stop()
            await self._up(router)

    async def _up(self, router: RouterProcess) -> None:
        if router.crash is None:
            await router.start()
            if await router.ready():
                await self._front(router.number, True, 0.0)

    async def _front(self, router: int, up: bool, after: float) -> None:
        """The front notices that a router is down or up."""
        begun = len(self.routers[router].events)
        await asyncio.sleep(after)
        back = any(what == "ready" for what, _ in self.routers[router].events[begun:])
        if up or not back:  # who is back before the front noticed was never missed
            for part in self.workers:
                if part.role.startswith("clients"):
                    part.send({"router": router, "up": up})

    async def _collect_records(self) -> Json:
        rows: Json = {"parts": {}}
        for part in self.workers:
            part.send({"end": f"{part.name}.json"})
        for part in self.workers:
            await part.receive("ended")
            rows["parts"][part.role] = orjson.loads((self.folder / f"{part.name}.json").read_bytes())
        rows["zero"] = self.zero
        rows["routers"] = [
            {"number": one.number, "events": one.events, "crash": one.crash, "peak": one.peak_memory_bytes}
            for one in self.routers
        ]
        return rows
