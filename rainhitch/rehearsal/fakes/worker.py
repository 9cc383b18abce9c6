"""A worker hosts some of the fakes: it follows the environment, acts on faults, and keeps a record."""

import asyncio
import os
import sys
import traceback
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, Protocol

import orjson

from rainhitch import system
from rainhitch.rehearsal.fakes import worker_messages as messages
from rainhitch.rehearsal.fakes.worker_messages import Json
from rainhitch.rehearsal.plan_model import FaultAction

STALL_CHECK_INTERVAL_S = 0.02
SHORTEST_STALL_S = 0.01  # that is noted
LONGEST_LINE_BYTES = 1 << 24  # of the environment's messages
NANOSECONDS_PER_SECOND = 1e9
NANOSECONDS_PER_MICROSECOND = 1000


class Writer(Protocol):
    """What takes bytes for the other workers."""

    def write(self, data: bytes) -> None:
        """Sends them."""


def write_to_environment(row: Json) -> None:
    """Sends a message to the environment where that runs in another process."""
    sys.stdout.buffer.write(messages.to_line(row))
    sys.stdout.buffer.flush()


def end_process(problem: BaseException) -> None:
    """Ends this process with the problem's traceback, which the environment reports."""
    traceback.print_exception(problem)
    sys.stderr.flush()
    os._exit(1)


def seconds_until(at_ns: int, now_ns: int) -> float:
    """How long it is until a time; 0 for one that is over."""
    return max(0.0, (at_ns - now_ns) / NANOSECONDS_PER_SECOND)


class Worker:
    """What all workers do. Subclasses host fakes and override what they need.

    Attributes:
        plan: the plan of the run, as plan.json has it.
        scenario: the scenario, as plan.json has it.
        zero_ns: the monotonic time of the plan's time 0, once the run has begun.
        bus: where messages to the other workers go.
        send: takes messages to the environment.
        on_failure: takes the exception that a task of the worker has ended with.
    """

    def __init__(self, folder: Path, inputs: Json) -> None:
        self.folder = folder
        self.plan: Json = inputs["plan"]
        self.scenario: Json = inputs["scenario"]
        self.loop = asyncio.get_running_loop()
        self.zero_ns = 0
        self.bus: Writer | None = None
        self.send: Callable[[Json], None] = write_to_environment
        self.on_failure: Callable[[BaseException], None] = end_process
        self._stalls: list[tuple[int, int]] = []  # monotonic ns: from when until when the loop stood still
        self._tasks: set[asyncio.Task[None]] = set()

    # for subclasses

    def ready(self) -> Json:
        """What the environment needs to know once this worker is ready."""
        return {}

    def handle(self, message: messages.EnvironmentMessage) -> None:
        """A message of the environment that is not for all workers."""

    def act(self, action: FaultAction) -> None:
        """A fault acts; on something of this worker, or on something else."""

    def record(self) -> Json:
        """What this worker's fakes have recorded, as the record's file has it."""
        return {}

    def start_run(self, zero_ns: int) -> None:
        """Begins the run; `zero_ns` is the monotonic time of the plan's time 0."""
        self.zero_ns = zero_ns
        now_ns = system.now()
        for row in self.plan["cues"]:
            action = FaultAction.from_row(row)
            self.loop.call_later(seconds_until(self.plan_time_ns(action.at_us), now_ns), self.act, action)

    # for all

    def plan_time_ns(self, at_us: int) -> int:
        """A time of the plan as monotonic ns."""
        return self.zero_ns + at_us * NANOSECONDS_PER_MICROSECOND

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a task of this worker.

        Guards the run against going on without a piece of its fakes: a task's exception ends it.
        """
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        problem = None if task.cancelled() else task.exception()
        if problem is not None:
            self.on_failure(problem)

    async def run(self) -> None:
        """Follows the environment's messages on standard input until the run is over or the input ends."""
        reader = asyncio.StreamReader(limit=LONGEST_LINE_BYTES)
        await self.loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        stall_check = self.loop.create_task(self._note_stalls())
        self.send(messages.ready_row(self.ready()))
        while line := await reader.readline():
            if self.handle_row(messages.from_line(line)):
                break
        stall_check.cancel()

    async def _note_stalls(self) -> None:
        interval_ns = int(STALL_CHECK_INTERVAL_S * NANOSECONDS_PER_SECOND)
        while True:
            before_ns = system.now()
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
            late_ns = system.now() - before_ns - interval_ns
            if late_ns > SHORTEST_STALL_S * NANOSECONDS_PER_SECOND:
                self._stalls.append((before_ns, before_ns + interval_ns + late_ns))

    def handle_row(self, row: Json) -> bool:
        """Follows a message of the environment; whether the run is over for this worker."""
        message = messages.environment_message(row)
        match message:
            case messages.StartRun(zero_ns):
                self.start_run(zero_ns)
            case messages.EndRun(record_file):
                self._write_record(record_file)
                self.send(messages.ended_row())
                return True
            case _:
                self.handle(message)
        return False

    def _write_record(self, file: str) -> None:
        rows = {**self.record(), "stalls": self._stalls}
        (self.folder / file).write_bytes(orjson.dumps(rows))

    def send_to_workers(self, row: Json) -> None:
        """Sends a message over the bus."""
        if self.bus is not None:
            self.bus.write(messages.to_line(row))
