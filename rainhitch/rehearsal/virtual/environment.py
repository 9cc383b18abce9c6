"""A day on the virtual loop: the stage, the world's parts and the routers as they are, all in this process.

What differs from a real day stands here and nowhere else: a part is told by a call in place of a pipe, a
router is a `Service` of an owner of its own in place of a process, and nobody is ever late but a router
whose core is busy.
"""

import asyncio
import contextlib
import contextvars
import logging
import signal
from collections.abc import Iterator
from typing import Any

import orjson

from rainhitch.node.configuration import load_operator_config, parse_configuration
from rainhitch.node.router import Router as NodeRouter
from rainhitch.rehearsal.environment import Environment, ProgressCallback, WorkerProcess
from rainhitch.rehearsal.fakes.cache_node_worker import CacheNodeWorker
from rainhitch.rehearsal.fakes.client_worker import ClientWorker
from rainhitch.rehearsal.fakes.shared_services_worker import SharedServicesWorker
from rainhitch.rehearsal.fakes.worker import Worker
from rainhitch.rehearsal.plan import Plan, random_stream
from rainhitch.rehearsal.router_process import Json, LastCommand, RehearsalError, RouterProcess
from rainhitch.rehearsal.scenario import Scenario
from rainhitch.rehearsal.virtual.costs import Costs
from rainhitch.rehearsal.virtual.loop import OWNER, Owner, StuckError, VirtualLoop
from rainhitch.rehearsal.virtual.network import Network
from rainhitch.rehearsal.virtual.system import VirtualSystem

SWEPT = 5.0  # virtual s in which what a day has left is to end
STARTS = 0.3  # s from a router's start until its program runs: what imports take


class VirtualWorker(WorkerProcess):
    """A part of the world on the stage's own loop."""

    def __init__(self, role: str, stage: "VirtualEnvironment") -> None:
        super().__init__(role, stage.folder)
        self.stage = stage
        self.words: asyncio.Queue[Json] = asyncio.Queue()
        self.part: Worker | None = None

    async def start(self) -> None:
        told: Json = orjson.loads((self.folder / "plan.json").read_bytes())
        name, _, number = self.role.partition(":")
        if name == "nodes":
            self.part = CacheNodeWorker(self.folder, told, int(number))
        elif name == "clients":
            told["addresses"] = orjson.loads((self.folder / "addresses.json").read_bytes())
            self.part = ClientWorker(self.folder, told, int(number))
        else:
            self.part = SharedServicesWorker(self.folder, told)
        self.part.say, self.part.failed = self.words.put_nowait, self.stage.failed
        self.words.put_nowait({"ready": self.part.ready()})

    def send(self, message: Json) -> None:
        assert self.part is not None
        self.part.told(message)

    async def receive(self, key: str, within: float = 60.0) -> Any:
        try:
            async with asyncio.timeout(within):
                while key not in (message := await self.words.get()):
                    pass
        except TimeoutError:
            raise RehearsalError(f"the stand-in {self.role} failed: no word of {key}") from None
        return message[key]

    async def end(self) -> None:
        """The day's loop ends with it."""


class VirtualRouterProcess(RouterProcess):
    """A router as an owner on the stage's loop, through its starts and ends."""

    stage: "VirtualEnvironment"
    owner: Owner | None = None
    service: NodeRouter | None = None
    stopping: asyncio.Event | None = None

    async def start(self) -> None:
        self.start_count += 1
        self.path = str(self.write_configuration())
        self.last_command = LastCommand.START
        self.ended.clear()
        self._record_event("start")
        seed = f"{self.config['seed']}/{self.start_count}"
        owner = self.owner = Owner(f"router-{self.number}", seed, self.stage.costs)
        owner.rate, owner.unix_jump = self.stage.rates[self.number], self.stage.jumps[self.number]
        self.stage.owners.append(owner)
        self.stage.network.limits[owner] = self.max_sockets
        context = contextvars.copy_context()
        context.run(OWNER.set, owner)
        self.stopping, self.service = asyncio.Event(), None
        task = asyncio.get_running_loop().create_task(self._serve(self.stopping), context=context)
        task.add_done_callback(lambda one: self._over(owner, one), context=contextvars.Context())

    async def _serve(self, stopping: asyncio.Event) -> None:
        await asyncio.sleep(STARTS)
        operator = None
        if self.operator_config:
            path = self.folder / f"router-{self.number}.toml"
            path.write_text(self.operator_config)
            operator = load_operator_config(str(path))
        service = self.service = NodeRouter(parse_configuration(self.config, self.path), operator)
        await service.start()
        await stopping.wait()
        await service.stop()

    def _over(self, owner: Owner, task: "asyncio.Task[None]") -> None:
        """Its program has come to an end, as it was told to or not."""
        if owner.dead:
            return
        problem = None if task.cancelled() else task.exception()
        self._down(owner)
        if self.last_command is LastCommand.START or problem is not None:
            self._record_crash(f"ended with {problem!r}")

    def _down(self, owner: Owner) -> None:
        self.stage.network.kill(owner)
        self._record_event("ended")
        self.ended.set()

    def _send_signal(self, number: signal.Signals) -> None:
        owner = self.owner
        if owner is None or owner.dead:
            return
        if number is signal.SIGKILL:
            self._down(owner)
        elif number in (signal.SIGSTOP, signal.SIGCONT):
            self.stage.loop.hold(owner, number is signal.SIGSTOP)
        else:
            context = contextvars.Context()
            context.run(OWNER.set, owner)
            self.stage.loop.call_soon(self._heed, number, context=context)

    def _heed(self, number: signal.Signals) -> None:
        """In the router's own turn. One that does not serve yet ends at once, as a process does."""
        if self.service is None and number is signal.SIGTERM and self.owner is not None:
            self._down(self.owner)
        elif number is signal.SIGTERM and self.stopping is not None:
            self.stopping.set()
        elif number is signal.SIGHUP and self.service is not None:
            self.service.reload_configuration(self.path)

    def last_lines(self) -> list[str]:
        return [] if self.owner is None else self.owner.log[-5:]


class Notes(logging.Handler):
    """What routers log goes to each one's own log, at its virtual time."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__(logging.INFO)
        self.loop = loop

    def emit(self, record: logging.LogRecord) -> None:
        owner = OWNER.get()
        if owner is not None:
            owner.log.append(f"{self.loop.time():.6f} {record.levelname} {record.getMessage()}")


class VirtualEnvironment(Environment):
    """One day in virtual time."""

    def __init__(
        self,
        scenario: Scenario,
        plan: Plan,
        loop: VirtualLoop,
        tell: ProgressCallback = lambda at, row: None,
        operator: str = "",
    ) -> None:
        super().__init__(scenario, plan, [], tell, operator)
        told = scenario.virtual
        self.loop, self.costs = loop, Costs(told.core) if told.core else None
        first, last = (round(one * 1e6) for one in told.way_ms)
        self.network = loop.network = Network(
            loop, plan.seed, told.chop, (first, last), int(told.window_kb * 1024), round(1e6 / told.mb_s)
        )
        random = random_stream(plan.seed, "clocks")
        routers = range(scenario.fleet.routers)
        self.rates = [1.0 + random.uniform(-1, 1) * told.drift for _ in routers]
        self.jumps = [int(random.uniform(-1, 1) * told.wall_s * 1e9) for _ in routers]
        loop.system = VirtualSystem(loop)
        self.owners: list[Owner] = []
        self.problems: list[str] = []  # what no callback may end with
        loop.set_exception_handler(self._problem)

    def make_worker(self, role: str) -> WorkerProcess:
        return VirtualWorker(role, self)

    def make_router(self, number: int, config: Json) -> RouterProcess:
        made = VirtualRouterProcess(number, [], self.folder, config, 0, self.scenario.day.sockets)
        made.stage, made.operator_config = self, self.operator_config
        return made

    def free_port(self) -> int:
        return self.network.port()

    def failed(self, problem: BaseException) -> None:
        """A part of the world has failed: the day is of no use."""
        self.problems.append(f"the world: {problem!r}")

    def _problem(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        owner = OWNER.get()
        who = "the world" if owner is None else owner.name
        problem, task = context.get("exception"), context.get("task")
        what = "" if task is None else getattr(task.get_coro(), "__qualname__", "")
        self.problems.append(f"{who}: {context.get('message')}: {problem!r} {what}")

    async def _collect_records(self) -> Json:
        rows = await super()._collect_records()
        rows["problems"] = list(self.problems)
        work: dict[str, dict[str, int]] = {}
        for one in self.owners:  # each life of a router is one
            sums = work.setdefault(one.name, {"busy_ns": 0, "callbacks": 0})
            sums["busy_ns"] += one.worked
            sums["callbacks"] += one.callbacks
        rows["work"] = work
        rows["logs"] = {f"{n}:{one.name}": one.log for n, one in enumerate(self.owners)}
        kept: Json = orjson.loads(orjson.dumps(rows))  # what ends after the day is not in them
        return kept


@contextlib.contextmanager
def noted(loop: VirtualLoop) -> Iterator[None]:
    """Takes routers' logs into their owners' while a day is played."""
    notes, log, other = Notes(loop), logging.getLogger("rainhitch"), logging.getLogger("asyncio")
    before, level, propagates = log.handlers[:], log.level, log.propagate
    log.handlers, log.propagate = [notes], False
    log.setLevel(logging.INFO)
    quiet, other.disabled = other.disabled, True
    try:
        yield
    finally:
        log.handlers, log.propagate = before, propagates
        log.setLevel(level)
        other.disabled = quiet


def run_day(
    scenario: Scenario,
    plan: Plan,
    tell: ProgressCallback = lambda at, row: None,
    watch: Any = None,
    most_callbacks: int = 0,
    operator: str = "",
) -> Json:
    """Plays a day in virtual time; gives its ledgers. `watch` is told of each callback before it runs,
    `operator` is the text of an operator's file that all routers have.
    Raises StuckError for a day that does not end, StageError for one that can't be played."""
    loop = VirtualLoop()
    loop.watch, loop.most = watch, most_callbacks
    try:
        with noted(loop):
            stage = VirtualEnvironment(scenario, plan, loop, tell, operator)
            try:
                return loop.run_until_complete(stage.play())
            finally:
                sweep(loop, stage.owners)
    finally:
        loop.close()


def sweep(loop: VirtualLoop, owners: list[Owner]) -> None:
    """Ends what the day has left: the world goes on waiting, and a killed router's tasks stand still."""
    loop.watch, loop.most, loop.at_once = None, 0, 0
    loop.set_exception_handler(lambda loop, context: None)
    for owner in owners:
        owner.dead, owner.costs = False, None
        owner.line.clear()
    left = asyncio.all_tasks(loop)
    for task in left:
        task.cancel()
    with contextlib.suppress(StuckError):
        if left:
            loop.run_until_complete(asyncio.wait(left, timeout=SWEPT))
    for task in asyncio.all_tasks(loop):
        # What it waits for has come while its owner was dead; nobody will wake it.
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        with contextlib.suppress(Exception):
            task.get_coro().close()
