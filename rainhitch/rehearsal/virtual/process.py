"""One simulated process: its core, its clocks, its log and its life.

A callback belongs to the process in whose context it was made (`CURRENT_PROCESS`); a callback of no process
is the kit's own and costs nothing. `loop.py` says how the loop runs the callbacks of a
process.

    RUNNING --pause()--> PAUSED --resume()--> RUNNING     SIGSTOP, SIGCONT: callbacks that come due wait
    RUNNING, PAUSED --kill()--> DEAD                      SIGKILL, or its end: nothing of it runs any more
    DEAD --revive_for_cleanup()--> RUNNING                after the run, so that its tasks can be cancelled
"""

import asyncio
import enum
import weakref
from collections import deque
from contextvars import ContextVar
from random import Random
from typing import Any

from rainhitch.rehearsal.virtual.costs import CallbackCosts

NS_PER_S = 1_000_000_000
START_NS = 1000 * NS_PER_S  # the loop's clock at the start of a run


class ProcessState(enum.Enum):
    """Whether the callbacks of a process run."""

    RUNNING = "running"
    PAUSED = "paused"
    DEAD = "dead"


RUNNING = ProcessState.RUNNING
PAUSED = ProcessState.PAUSED
DEAD = ProcessState.DEAD


class SimulatedProcess:
    """A process on a machine with one core.

    Args:
        name: as it stands in traces and logs.
        seed: of the random numbers that its callbacks' costs are drawn with.
        costs: what its callbacks cost; None where they cost nothing.
    """

    def __init__(self, name: str, seed: str, costs: CallbackCosts | None = None) -> None:
        self.name = name
        self.costs = costs
        self.random = Random(f"{seed}/{name}")
        self.state = RUNNING
        # its core
        self.run_queue: deque[asyncio.Handle] = deque()  # callbacks that are due and wait for the core
        self.busy_until_ns = 0  # by the loop's clock
        self.run_queue_scheduled = False  # the loop has a timer at which the run queue goes on
        self.cpu_ns = 0  # of CPU time since the start
        self.callback_count = 0
        # its clocks
        self.unix_offset_ns = 0  # by which its wall clock is off
        self.clock_rate = 1.0  # of its monotonic clock, to the loop's
        # what belongs to it
        self.log: list[str] = []
        self.tasks: weakref.WeakSet[asyncio.Task[Any]] = weakref.WeakSet()
        self.tasks_at_death: list[asyncio.Task[Any]] = []

    def local_ns(self, loop_ns: int) -> int:
        """What its own monotonic clock shows at an instant of the loop's clock, in ns."""
        if self.clock_rate == 1.0:
            return loop_ns
        return START_NS + round((loop_ns - START_NS) * self.clock_rate)

    def loop_ns(self, local_s: float) -> int:
        """The instant of the loop's clock, in ns, at which its own clock shows so many seconds."""
        at_ns = round(local_s * NS_PER_S)
        if self.clock_rate == 1.0:
            return at_ns
        instant_ns = START_NS + int((at_ns - START_NS) / self.clock_rate)
        # Guards against rounding: a timer never fires before its time by the process's own clock.
        while self.local_ns(instant_ns) < at_ns:
            instant_ns += 1
        return instant_ns

    def pause(self) -> None:
        """SIGSTOP: what comes due waits."""
        if self.state is RUNNING:
            self.state = PAUSED

    def resume(self) -> None:
        """SIGCONT: timers that came due meanwhile run before what came on its sockets.

        So it is in an event loop that was paused.
        """
        if self.state is not PAUSED:
            return
        self.state = RUNNING
        timers = [handle for handle in self.run_queue if isinstance(handle, asyncio.TimerHandle)]
        others = [handle for handle in self.run_queue if not isinstance(handle, asyncio.TimerHandle)]
        self.run_queue = deque(timers + others)

    def kill(self) -> None:
        """Nothing of it runs from now on."""
        self.state = DEAD
        self.run_queue.clear()
        # Guards against the garbage collector: it closes a task to which nothing refers, which runs the
        # `finally` blocks of the dead process at an instant that differs from run to run.
        self.tasks_at_death = list(self.tasks)

    def revive_for_cleanup(self) -> None:
        """After the run: its tasks can be cancelled, at no cost."""
        if self.state is DEAD:
            self.state = RUNNING
        self.costs = None
        self.run_queue.clear()


CURRENT_PROCESS: ContextVar[SimulatedProcess | None] = ContextVar("process", default=None)
