"""An asyncio event loop on virtual time.

The clock. Nothing waits for real time. The loop has a clock in ns and a heap of timers. It runs all
callbacks that are ready; when none is, `_advance_clock` sets the clock to the next timer's instant, and
nothing else ever sets it. At one instant the callbacks that are ready run first, in order; then the timers
that are due, by time and then in the order in which they were set. What these make runs in the next turn. So
a run is a function of its input, to the byte, on every machine.

CPU time. While a callback runs the clock stands still, and what it sends leaves at its begin. A callback of a
`SimulatedProcess` then keeps that process's one core busy for as long as `costs.py` says. `_execute` decides:

    no process, or one without costs      it runs now
    a process whose core is free          it runs now, and the core is busy for its cost
    a process that is busy or paused      it waits in the process's run queue, in order
    a process that is dead                it is dropped
"""

import asyncio
import heapq
from collections import deque
from collections.abc import Callable
from contextvars import Context
from typing import TYPE_CHECKING, Any

from rainhitch.errors import RainhitchError
from rainhitch.rehearsal.virtual.conditions import INTERNAL_PORT
from rainhitch.rehearsal.virtual.process import (
    CURRENT_PROCESS,
    DEAD,
    NS_PER_S,
    PAUSED,
    RUNNING,
    START_NS,
    SimulatedProcess,
)

if TYPE_CHECKING:
    from rainhitch.rehearsal.virtual.network import Network
    from rainhitch.rehearsal.virtual.system import VirtualSystem

MAX_CANCELLED_TIMERS = 4096  # that may lie in the heap before it is rebuilt
MAX_CALLBACKS_PER_INSTANT = 200_000
DEFAULT_BACKLOG = 100  # asyncio's own

CallbackObserver = Callable[[int, asyncio.Handle], None]


class StuckError(RainhitchError, RuntimeError):
    """Nothing is left to happen and the run is not over, or one instant does not end."""


class NoThreadsError(RainhitchError, RuntimeError):
    """Something asked the virtual loop for a thread; it has none."""


def _make_task(loop: Any, coroutine: Any, context: Context | None = None) -> "asyncio.Task[Any]":
    """A task that its process knows of, so that it can die with it."""
    task: asyncio.Task[Any] = asyncio.Task(coroutine, loop=loop, context=context)
    process = CURRENT_PROCESS.get() if context is None else context.get(CURRENT_PROCESS)
    if process is not None:
        process.tasks.add(task)
    return task


class VirtualClockLoop(asyncio.BaseEventLoop):
    """The clock, the timers and the running of callbacks.

    `observer` is called with the clock (ns) and the handle before each callback. `max_callbacks` bounds a
    run; 0 for no bound.
    """

    max_callbacks = 0

    def __init__(self) -> None:
        super().__init__()
        self.clock_ns = START_NS
        self.timers: list[tuple[int, int, asyncio.Handle]] = []  # a heap: due (ns), order, callback
        self.timers_scheduled = 0  # in all: the order among timers of one instant
        self.cancelled_timers = 0  # that are still in the heap
        self.callbacks_run = 0
        self.callbacks_this_instant = 0
        self.set_task_factory(_make_task)
        self.observer: CallbackObserver | None = None

    # time and timers

    def time(self) -> float:
        """Seconds by the clock of the process that asks; the loop's own clock where none does."""
        return self._local_s(CURRENT_PROCESS.get())

    def _local_s(self, process: SimulatedProcess | None) -> float:
        if process is None:
            return self.clock_ns / NS_PER_S
        return process.local_ns(self.clock_ns) / NS_PER_S

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Calls back at `when` seconds by the clock of the process that the context belongs to."""
        self._check_closed()  # type: ignore[attr-defined]
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        process = handle._context.get(CURRENT_PROCESS)  # type: ignore[attr-defined]
        due_ns = round(when * NS_PER_S) if process is None else process.loop_ns(when)
        self._add_timer(max(self.clock_ns, due_ns), handle)
        handle._scheduled = True  # type: ignore[attr-defined]
        return handle

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Calls back after `delay` seconds by the clock of the process that the context belongs to."""
        process = CURRENT_PROCESS.get() if context is None else context.get(CURRENT_PROCESS)
        return self.call_at(self._local_s(process) + delay, callback, *args, context=context)

    def call_at_ns(self, due_ns: int, callback: Any, *args: Any) -> None:
        """Calls back at an instant of the loop's clock, for no process and at no cost."""
        handle = asyncio.Handle(callback, args, self, Context())
        self._add_timer(max(self.clock_ns, due_ns), handle)

    def _add_timer(self, due_ns: int, handle: asyncio.Handle) -> None:
        self.timers_scheduled += 1
        heapq.heappush(self.timers, (due_ns, self.timers_scheduled, handle))

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Called by a timer's handle. Rebuilds the heap once most of it is cancelled."""
        self.cancelled_timers += 1
        if self.cancelled_timers > MAX_CANCELLED_TIMERS and self.cancelled_timers * 2 > len(self.timers):
            self.timers = [timer for timer in self.timers if not timer[2].cancelled()]
            heapq.heapify(self.timers)
            self.cancelled_timers = 0

    # running

    def _run_once(self) -> None:
        """One turn: all callbacks that are due, at this instant or else at the next that has any."""
        ready: deque[asyncio.Handle] = self._ready  # type: ignore[attr-defined]
        if not ready:
            self._advance_clock()
        while self.timers and self.timers[0][0] <= self.clock_ns:
            ready.append(heapq.heappop(self.timers)[2])
        self.callbacks_this_instant += len(ready)
        self._check_progress()
        for _ in range(len(ready)):
            handle = ready.popleft()
            if not handle.cancelled():
                self._execute(handle)

    def _advance_clock(self) -> None:
        """Sets the clock to the instant of the next timer; raises StuckError where there is none."""
        while self.timers and self.timers[0][2].cancelled():
            heapq.heappop(self.timers)
            self.cancelled_timers = max(0, self.cancelled_timers - 1)
        if not self.timers:
            raise StuckError("nothing is left to happen")
        next_ns = self.timers[0][0]
        if next_ns > self.clock_ns:
            self.clock_ns = next_ns
            self.callbacks_this_instant = 0

    def _check_progress(self) -> None:
        """Raises StuckError for a run, or an instant, that does not end."""
        if self.max_callbacks and self.callbacks_run > self.max_callbacks:
            raise StuckError(f"{self.callbacks_run} callbacks, and the day is not over")
        if self.callbacks_this_instant > MAX_CALLBACKS_PER_INSTANT:
            second = (self.clock_ns - START_NS) / NS_PER_S
            raise StuckError(f"the instant {second:.6f} s does not end")

    def _execute(self, handle: asyncio.Handle) -> None:
        """Runs a callback that is due, queues it for its process's core, or drops it."""
        process = handle._context.get(CURRENT_PROCESS)  # type: ignore[attr-defined]
        if process is None:
            self._run_callback(handle)
        elif process.state is DEAD:
            return
        elif process.state is PAUSED or process.run_queue:
            process.run_queue.append(handle)
            self._schedule_run_queue(process)
        elif process.costs is None:
            self._run_callback(handle)
        elif process.busy_until_ns > self.clock_ns:
            process.run_queue.append(handle)
            self._schedule_run_queue(process)
        else:
            self._run_on_core(process, handle)

    def _run_callback(self, handle: asyncio.Handle) -> None:
        self.callbacks_run += 1
        if self.observer is not None:
            self.observer(self.clock_ns, handle)
        handle._run()

    def _run_on_core(self, process: SimulatedProcess, handle: asyncio.Handle) -> None:
        """Runs a callback of a process and keeps its core busy for the cost."""
        cost_ns = 0 if process.costs is None else process.costs.draw_ns(handle, process.random)
        process.busy_until_ns = self.clock_ns + cost_ns
        process.cpu_ns += cost_ns
        process.callback_count += 1
        self._run_callback(handle)

    def pause_process(self, process: SimulatedProcess) -> None:
        """SIGSTOP: the callbacks of a process wait in its run queue."""
        process.pause()

    def resume_process(self, process: SimulatedProcess) -> None:
        """SIGCONT: the run queue goes on."""
        if process.state is PAUSED:
            process.resume()
            self._schedule_run_queue(process)

    def _schedule_run_queue(self, process: SimulatedProcess) -> None:
        """The run queue goes on as soon as the core is free."""
        if not process.run_queue_scheduled and process.state is not PAUSED and process.run_queue:
            process.run_queue_scheduled = True
            self.call_at_ns(process.busy_until_ns, self._run_queue, process)

    def _run_queue(self, process: SimulatedProcess) -> None:
        """Runs what waits in a process's run queue, until the core is busy again."""
        process.run_queue_scheduled = False
        while process.run_queue and process.state is RUNNING and process.busy_until_ns <= self.clock_ns:
            handle = process.run_queue.popleft()
            if not handle.cancelled():
                self._run_on_core(process, handle)
        if process.run_queue and process.state is not DEAD:
            self._schedule_run_queue(process)


class VirtualLoop(VirtualClockLoop):
    """The loop with its network. Whoever makes it sets `network` and `system`."""

    system: "VirtualSystem"
    network: "Network"

    # what a loop has for threads and a selector

    def call_soon_threadsafe(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Context | None = None
    ) -> Any:
        """Raises NoThreadsError."""
        raise NoThreadsError("there are no threads in a virtual day")

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> Any:  # type: ignore[override]
        """Raises NoThreadsError."""
        raise NoThreadsError("there are no threads in a virtual day")

    def _write_to_self(self) -> None:
        """Wakes a selector; there is none."""

    def _process_events(self, event_list: Any) -> None:
        """Handles a selector's events; there are none."""

    # the network, as asyncio's loops have it

    def make_listen_point(self, make: Callable[[], Any]) -> Any:
        """A `ListenPoint` for a fake: see `LoopWithNetwork` in `rehearsal/fakes/loop_with_network.py`."""
        return self.network.open_listen_point(make)

    def make_datagram_socket(self) -> Any:
        """A bound datagram socket for a fake: see `LoopWithNetwork`."""
        return self.network.datagrams.open_socket()

    async def create_datagram_endpoint(
        self, protocol_factory: Any, local_addr: Any = None, remote_addr: Any = None, **unused: Any
    ) -> Any:
        """As asyncio's, for a local address; raises OSError for one that is taken."""
        return self.network.datagrams.open_endpoint(protocol_factory, local_addr)

    def add_reader(self, fd: Any, callback: Any, *args: Any) -> None:  # type: ignore[override]
        """Calls back when a datagram waits in a `DatagramSocket`; nothing else here has a descriptor."""
        fd.reader = asyncio.Handle(callback, args, self, None)

    def remove_reader(self, fd: Any) -> bool:
        """Calls back no more; whether it did."""
        had_reader = fd.reader is not None
        fd.reader = None
        return had_reader

    async def create_unix_connection(self, protocol_factory: Any, path: Any = None, **unused: Any) -> Any:
        """As asyncio's."""
        return await self.network.connect(protocol_factory, (str(path), INTERNAL_PORT))

    async def create_unix_server(self, protocol_factory: Any, path: Any = None, **unused: Any) -> Any:
        """As asyncio's."""
        return await self.create_server(protocol_factory, str(path), INTERNAL_PORT)

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **unused: Any
    ) -> Any:
        """As asyncio's."""
        return await self.network.connect(protocol_factory, (host, port))

    async def create_server(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        """As asyncio's; of its options, `backlog` is heeded."""
        listener = self.network.open_listener(host, port)
        backlog = options.get("backlog", DEFAULT_BACKLOG)
        server = await listener.accept(protocol_factory, max_per_turn=backlog, backlog=backlog)
        server.owns_listener = True
        return server
