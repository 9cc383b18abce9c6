"""A rehearsal on the virtual loop: the environment, its fakes and the routers unchanged, all in this process.

What differs from a real run is in this module only: a fake gets its messages by calls in place of a pipe, a
router is a `node.router.Router` in a `SimulatedProcess` of its own, and nothing is ever late but a router
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
from rainhitch.rehearsal.errors import RehearsalError
from rainhitch.rehearsal.fakes.worker import Worker
from rainhitch.rehearsal.fakes.worker_roles import make_worker
from rainhitch.rehearsal.plan import Plan, random_stream
from rainhitch.rehearsal.router_events import RouterEventKind
from rainhitch.rehearsal.router_process import Json, LastCommand, RouterProcess
from rainhitch.rehearsal.scenario import Scenario
from rainhitch.rehearsal.virtual.costs import CallbackCosts
from rainhitch.rehearsal.virtual.loop import CallbackObserver, StuckError, VirtualLoop
from rainhitch.rehearsal.virtual.network import Network
from rainhitch.rehearsal.virtual.process import CURRENT_PROCESS, DEAD, SimulatedProcess
from rainhitch.rehearsal.virtual.system import VirtualSystem

CLEANUP_S = 5.0  # virtual time in which the tasks that a run has left are to end
ROUTER_START_S = 0.3  # from a router's start until its program runs: what imports take
MESSAGE_TIMEOUT_S = 60.0
CRASH_LOG_LINES = 5
NS_PER_MS = 1e6
PICOSECONDS_PER_MICROSECOND = 1e6


class VirtualWorker(WorkerProcess):
    """A process of fakes, on the environment's own loop."""

    def __init__(self, role: str, environment: "VirtualEnvironment") -> None:
        super().__init__(role, environment.folder)
        self.environment = environment
        self.messages: asyncio.Queue[Json] = asyncio.Queue()  # from the worker
        self.worker: Worker | None = None

    async def start(self) -> None:
        """Makes the worker for its role, from the files that a process would read."""
        self.worker = make_worker(self.role, self.folder)
        self.worker.send = self.messages.put_nowait
        self.worker.on_failure = self.environment.failed
        self.messages.put_nowait({"ready": self.worker.ready()})

    def send(self, message: Json) -> None:
        """Hands the worker a message."""
        assert self.worker is not None
        self.worker.handle_row(message)

    async def receive(self, key: str, within: float = MESSAGE_TIMEOUT_S) -> Any:
        """The value of the worker's next message with this key; raises RehearsalError after `within` s."""
        try:
            async with asyncio.timeout(within):
                while key not in (message := await self.messages.get()):
                    pass
        except TimeoutError:
            raise RehearsalError(f"the stand-in {self.role} failed: no word of {key}") from None
        return message[key]

    async def end(self) -> None:
        """Nothing to do: the loop of the run ends with it."""


class VirtualRouterProcess(RouterProcess):
    """A router through its starts and ends; each life is a `SimulatedProcess` of its own."""

    environment: "VirtualEnvironment"
    simulated: SimulatedProcess | None = None
    node_router: NodeRouter | None = None  # none until its program runs
    stop_requested: asyncio.Event | None = None

    async def start(self) -> None:
        """Starts the router's program in a new process."""
        self.start_count += 1
        self.path = str(self.write_configuration())
        self.last_command = LastCommand.START
        self.ended.clear()
        self._record_event(RouterEventKind.START)
        environment = self.environment
        process_seed = f"{self.config['seed']}/{self.start_count}"
        process = SimulatedProcess(f"router-{self.number}", process_seed, environment.costs)
        process.clock_rate = environment.clock_rates[self.number]
        process.unix_offset_ns = environment.unix_offsets_ns[self.number]
        self.simulated = process
        environment.processes.append(process)
        environment.network.descriptors.set_limit(process, self.max_sockets)
        context = contextvars.copy_context()
        context.run(CURRENT_PROCESS.set, process)
        self.stop_requested = asyncio.Event()
        self.node_router = None
        program = self._run_program(self.stop_requested)
        task = asyncio.get_running_loop().create_task(program, context=context)
        task.add_done_callback(
            lambda ended: self._program_ended(process, ended), context=contextvars.Context()
        )

    async def _run_program(self, stop_requested: asyncio.Event) -> None:
        """What `rainhitch/program.py` does: starts a router and stops it in good order."""
        await asyncio.sleep(ROUTER_START_S)
        operator_config = None
        if self.operator_config:
            path = self.folder / f"router-{self.number}.toml"
            path.write_text(self.operator_config)
            operator_config = load_operator_config(str(path))
        self.node_router = NodeRouter(parse_configuration(self.config, self.path), operator_config)
        node_router = self.node_router
        await node_router.start()
        await stop_requested.wait()
        await node_router.stop()

    def _program_ended(self, process: SimulatedProcess, task: "asyncio.Task[None]") -> None:
        """The program has ended, as it was asked to or not."""
        if process.state is DEAD:
            return
        problem = None if task.cancelled() else task.exception()
        self._process_ended(process)
        if self.last_command is LastCommand.START or problem is not None:
            self._record_crash(f"ended with {problem!r}")

    def _process_ended(self, process: SimulatedProcess) -> None:
        self.environment.network.kill(process)
        self._record_event(RouterEventKind.ENDED)
        self.ended.set()

    def _send_signal(self, number: signal.Signals) -> None:
        process = self.simulated
        if process is None or process.state is DEAD:
            return
        loop = self.environment.loop
        match number:
            case signal.SIGKILL:
                self._process_ended(process)
            case signal.SIGSTOP:
                loop.pause_process(process)
            case signal.SIGCONT:
                loop.resume_process(process)
            case _:
                context = contextvars.Context()
                context.run(CURRENT_PROCESS.set, process)
                loop.call_soon(self._handle_signal, number, context=context)

    def _handle_signal(self, number: signal.Signals) -> None:
        """In the router's own turn. One that does not serve yet ends at once, as a process does."""
        if self.node_router is None and number is signal.SIGTERM and self.simulated is not None:
            self._process_ended(self.simulated)
        elif number is signal.SIGTERM and self.stop_requested is not None:
            self.stop_requested.set()
        elif number is signal.SIGHUP and self.node_router is not None:
            self.node_router.reload_configuration(self.path)

    def last_lines(self) -> list[str]:
        """The newest lines of its log."""
        return [] if self.simulated is None else self.simulated.log[-CRASH_LOG_LINES:]


class ProcessLogHandler(logging.Handler):
    """Writes what a router logs to its process's own log, at its own virtual time."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__(logging.INFO)
        self.loop = loop

    def emit(self, record: logging.LogRecord) -> None:
        """Keeps a line; one of no process is dropped."""
        process = CURRENT_PROCESS.get()
        if process is not None:
            process.log.append(f"{self.loop.time():.6f} {record.levelname} {record.getMessage()}")


class VirtualEnvironment(Environment):
    """The environment of one run in virtual time."""

    def __init__(
        self,
        scenario: Scenario,
        plan: Plan,
        loop: VirtualLoop,
        on_progress: ProgressCallback = lambda at_s, row: None,
        operator_config: str = "",
    ) -> None:
        super().__init__(scenario, plan, [], on_progress, operator_config)
        options = scenario.virtual
        self.loop = loop
        self.costs = CallbackCosts(options.core) if options.core else None
        least_way_ms, largest_way_ms = options.way_ms
        self.network = Network(
            loop,
            plan.seed,
            chop_fraction=options.chop,
            one_way_range_ns=(round(least_way_ms * NS_PER_MS), round(largest_way_ms * NS_PER_MS)),
            receive_window_bytes=int(options.window_kb * 1024),
            picoseconds_per_byte=round(PICOSECONDS_PER_MICROSECOND / options.mb_s),  # 1 MB/s is 1 byte/us
        )
        loop.network = self.network
        loop.system = VirtualSystem(loop)
        random = random_stream(plan.seed, "clocks")
        routers = range(scenario.fleet.routers)
        self.clock_rates = [1.0 + random.uniform(-1, 1) * options.drift for _ in routers]
        self.unix_offsets_ns = [int(random.uniform(-1, 1) * options.wall_s * 1e9) for _ in routers]
        self.processes: list[SimulatedProcess] = []  # each life of a router is one
        self.problems: list[str] = []  # exceptions that no callback may end with
        loop.set_exception_handler(self._unhandled)

    def make_worker(self, role: str) -> WorkerProcess:
        """A process of fakes."""
        return VirtualWorker(role, self)

    def make_router(self, number: int, config: Json) -> RouterProcess:
        """A router's process."""
        router = VirtualRouterProcess(number, [], self.folder, config, 0, self.scenario.day.sockets)
        router.environment = self
        router.operator_config = self.operator_config
        return router

    def free_port(self) -> int:
        """A free port."""
        return self.network.allocate_port()

    def failed(self, problem: BaseException) -> None:
        """A fake has failed: the run is of no use."""
        self.problems.append(f"the world: {problem!r}")

    def _unhandled(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """The loop's exception handler."""
        process = CURRENT_PROCESS.get()
        who = "the world" if process is None else process.name
        problem = context.get("exception")
        task = context.get("task")
        coroutine = "" if task is None else getattr(task.get_coro(), "__qualname__", "")
        self.problems.append(f"{who}: {context.get('message')}: {problem!r} {coroutine}")

    async def _collect_records(self) -> Json:
        rows = await super()._collect_records()
        rows["problems"] = list(self.problems)
        rows["work"] = self._cpu_rows()
        rows["logs"] = {f"{number}:{one.name}": one.log for number, one in enumerate(self.processes)}
        copied: Json = orjson.loads(orjson.dumps(rows))  # what is logged after the run is not in them
        return copied

    def _cpu_rows(self) -> dict[str, dict[str, int]]:
        """CPU time and callbacks by router, over all its lives."""
        rows: dict[str, dict[str, int]] = {}
        for process in self.processes:
            row = rows.setdefault(process.name, {"busy_ns": 0, "callbacks": 0})
            row["busy_ns"] += process.cpu_ns
            row["callbacks"] += process.callback_count
        return rows


@contextlib.contextmanager
def capture_router_logs(loop: VirtualLoop) -> Iterator[None]:
    """Writes routers' log lines to their processes' logs, and mutes asyncio's, for as long as a run lasts."""
    router_log = logging.getLogger("rainhitch")
    asyncio_log = logging.getLogger("asyncio")
    handlers_before = router_log.handlers[:]
    level_before = router_log.level
    propagate_before = router_log.propagate
    disabled_before = asyncio_log.disabled
    router_log.handlers = [ProcessLogHandler(loop)]
    router_log.propagate = False
    router_log.setLevel(logging.INFO)
    asyncio_log.disabled = True
    try:
        yield
    finally:
        router_log.handlers = handlers_before
        router_log.propagate = propagate_before
        router_log.setLevel(level_before)
        asyncio_log.disabled = disabled_before


def run_in_virtual_time(
    scenario: Scenario,
    plan: Plan,
    on_progress: ProgressCallback = lambda at_s, row: None,
    *,
    observer: CallbackObserver | None = None,
    max_callbacks: int = 0,
    operator_config: str = "",
) -> Json:
    """Runs a scenario in virtual time; gives its records.

    Args:
        scenario: what is run.
        plan: its requests and faults.
        on_progress: called with how far the run is.
        observer: called before each callback.
        max_callbacks: bound of the run; 0 for none.
        operator_config: the text of an operator's file that all routers have.

    Raises:
        StuckError: the run does not end.
        RehearsalError: it can't be run.
    """
    loop = VirtualLoop()
    loop.observer = observer
    loop.max_callbacks = max_callbacks
    try:
        with capture_router_logs(loop):
            environment = VirtualEnvironment(scenario, plan, loop, on_progress, operator_config)
            try:
                return loop.run_until_complete(environment.play())
            finally:
                end_remaining_tasks(loop, environment.processes)
    finally:
        loop.close()


def end_remaining_tasks(loop: VirtualLoop, processes: list[SimulatedProcess]) -> None:
    """Ends what a run has left: fakes that go on waiting, and tasks of routers that were killed."""
    loop.observer = None
    loop.max_callbacks = 0
    loop.callbacks_this_instant = 0
    loop.set_exception_handler(lambda loop, context: None)
    for process in processes:
        process.revive_for_cleanup()
    remaining = asyncio.all_tasks(loop)
    for task in remaining:
        task.cancel()
    with contextlib.suppress(StuckError):
        if remaining:
            loop.run_until_complete(asyncio.wait(remaining, timeout=CLEANUP_S))
    for task in asyncio.all_tasks(loop):
        # What it waits for came while its process was dead: nothing will wake it. Guards against asyncio's
        # message on a pending task that is destroyed.
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        with contextlib.suppress(Exception):
            task.get_coro().close()
