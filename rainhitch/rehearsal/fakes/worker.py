"""What every part of a day's world does in its process: heed the stage, act on cues, keep a ledger."""

import asyncio
import os
import sys
import traceback
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, Protocol

import orjson

from rainhitch import system

Json = dict[str, Any]
TICK = 0.02  # s between looks at the loop's own lateness
STALL = 0.01  # s beyond which one is noted


class Writer(Protocol):
    """What takes bytes for the other parts."""

    def write(self, data: bytes) -> None: ...


def to_stage(message: Json) -> None:
    """A word to the stage, where it runs in another process."""
    sys.stdout.buffer.write(orjson.dumps(message) + b"\n")
    sys.stdout.buffer.flush()


def end_process(problem: BaseException) -> None:
    """Ends this process, which the stage reports."""
    traceback.print_exception(problem)
    sys.stderr.flush()
    os._exit(1)


class Worker:
    """What all parts do: heed the stage, act on cues, note their own lateness, keep a ledger."""

    def __init__(self, folder: Path, told: Json) -> None:
        self.folder, self.plan, self.scenario = folder, told["plan"], told["scenario"]
        self.loop = asyncio.get_running_loop()
        self.stalls: list[tuple[int, int]] = []  # monotonic ns: since when, until when
        self.done = asyncio.Event()
        self.zero = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.bus: Writer | None = None
        self.say: Callable[[Json], None] = to_stage
        self.failed: Callable[[BaseException], None] = end_process

    def spawn(self, what: Coroutine[Any, Any, None]) -> None:
        """Runs beside the rest. Guards the day against a part that goes on without a piece of itself: an
        exception ends the day."""
        task = self.loop.create_task(what)
        self.tasks.add(task)
        task.add_done_callback(self._spawned)

    def _spawned(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        problem = None if task.cancelled() else task.exception()
        if problem is not None:
            self.failed(problem)

    def ready(self) -> Json:
        """What the stage is told once this part stands."""
        return {}

    def heed(self, message: Json) -> None:
        """A line of the stage that is not for all parts."""

    def cue(self, cue: Json) -> None:
        """A fault acts."""

    def ledger(self) -> Json:
        return {}

    def begin(self, zero: int) -> None:
        """The plan's instant 0, in monotonic ns."""
        self.zero = zero
        now = system.now()
        for cue in self.plan["cues"]:
            after = max(0.0, (zero + cue["at"] * 1000 - now) / 1e9)
            self.loop.call_later(after, self.cue, cue)

    async def tick(self) -> None:
        while True:
            before = system.now()
            await asyncio.sleep(TICK)
            late = system.now() - before - int(TICK * 1e9)
            if late > STALL * 1e9:
                self.stalls.append((before, before + int(TICK * 1e9) + late))

    async def run(self) -> None:
        reader = asyncio.StreamReader(limit=1 << 24)
        await self.loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        ticker = self.loop.create_task(self.tick())
        self.say({"ready": self.ready()})
        while line := await reader.readline():
            if self.told(orjson.loads(line)):
                break
        ticker.cancel()

    def told(self, message: Json) -> bool:
        """Does as the stage says; True: this part's day is over."""
        if "zero" in message:
            self.begin(message["zero"])
        elif "end" in message:
            rows = {**self.ledger(), "stalls": self.stalls}
            (self.folder / message["end"]).write_bytes(orjson.dumps(rows))
            self.say({"ended": True})
            return True
        else:
            self.heed(message)
        return False

    def tell(self, message: Json) -> None:
        """To the other parts, over the bus."""
        if self.bus is not None:
            self.bus.write(orjson.dumps(message) + b"\n")
