"""An event loop on simulated time.

Theory. Nothing waits: when nothing is left to do at an instant, the clock is set to the next timer's.
Events at the same instant happen in the order in which they were asked for. So a run is a function of what
was put in, to the byte, on every machine.

CPU. A callback belongs to whoever's context it was made in (OWNER). A router is an owner with one core: while
a callback of its own is at work, for as long as costs.py says, the next one waits, in order. Time within a
callback stands still; what it sends leaves at its begin. The world's own callbacks cost nothing.

    due -> the owner is free: run, and busy for its cost
        -> busy: in the owner's line, whose head runs when it is free
        -> dead: dropped
"""

import asyncio
import heapq
import weakref
from collections import deque
from collections.abc import Callable
from contextvars import Context, ContextVar
from random import Random
from typing import Any

from rainhitch.rehearsal.virtual.costs import Costs

SECOND = 1_000_000_000
BEGIN = 1000 * SECOND  # the clock at the start
UNIX = 1_700_000_000 * SECOND  # the wall clock then
SWEEP = 4096  # cancelled timers that may lie in the heap


class Owner:
    """One machine with one core; `costs` None: it works at no cost."""

    def __init__(self, name: str, seed: str, costs: Costs | None = None) -> None:
        self.name, self.costs = name, costs
        self.random = Random(f"{seed}/{name}")
        self.line: deque[asyncio.Handle] = deque()
        self.busy_until = 0
        self.waking = self.dead = self.stopped = False
        self.worked = 0  # ns of CPU since the start
        self.callbacks = 0
        self.unix_jump = 0  # ns by which its wall clock is off
        self.rate = 1.0  # of its clock
        self.log: list[str] = []
        self.tasks: weakref.WeakSet[asyncio.Task[Any]] = weakref.WeakSet()
        self.remains: list[asyncio.Task[Any]] = []  # of a dead one, kept so that nothing of it runs on

    def time(self, clock: int) -> int:
        """What its own clock shows at an instant of the loop's, ns."""
        return clock if self.rate == 1.0 else BEGIN + round((clock - BEGIN) * self.rate)

    def clock(self, when: float) -> int:
        """The loop's instant (ns) at which its own clock shows so many seconds."""
        at = round(when * SECOND)
        if self.rate == 1.0:
            return at
        instant = BEGIN + int((at - BEGIN) / self.rate)
        while self.time(instant) < at:  # a timer never comes before its time by its own clock
            instant += 1
        return instant


OWNER: ContextVar[Owner | None] = ContextVar("owner", default=None)


class StuckError(RuntimeError):
    """Nothing is left to happen, and the day is not over; or one instant does not end."""


def _make_task(loop: Any, coro: Any, context: Context | None = None) -> "asyncio.Task[Any]":
    """A task that its owner knows, so that it can die with it."""
    task: asyncio.Task[Any] = asyncio.Task(coro, loop=loop, context=context)
    owner = OWNER.get() if context is None else context.get(OWNER)
    if owner is not None:
        owner.tasks.add(task)
    return task


class VirtualLoop(asyncio.BaseEventLoop):
    """The loop. `network` and `system` are set by whoever makes it."""

    system: Any
    network: Any
    most_at_once = 200_000  # callbacks at one instant, beyond which the day is stuck
    most = 0  # callbacks in all; 0: no bound

    def __init__(self) -> None:
        super().__init__()
        self.clock = BEGIN
        self.heap: list[tuple[int, int, asyncio.Handle]] = []
        self.order = self.ran = self.at_once = 0
        self.cancelled = 0
        self.set_task_factory(_make_task)
        self.watch: Callable[[int, asyncio.Handle], None] | None = None  # told of each callback

    def time(self) -> float:
        owner = OWNER.get()
        return self.clock / SECOND if owner is None else owner.time(self.clock) / SECOND

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        self._check_closed()  # type: ignore[attr-defined]
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        owner = handle._context.get(OWNER)  # type: ignore[attr-defined]
        at = round(when * SECOND) if owner is None else owner.clock(when)
        self._put(max(self.clock, at), handle)
        handle._scheduled = True  # type: ignore[attr-defined]
        return handle

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        owner = OWNER.get() if context is None else context.get(OWNER)
        now = self.clock / SECOND if owner is None else owner.time(self.clock) / SECOND
        return self.call_at(now + delay, callback, *args, context=context)

    def at(self, when: int, callback: Any, *args: Any) -> None:
        """What happens at an instant (ns) by itself, at nobody's cost."""
        self._put(max(self.clock, when), asyncio.Handle(callback, args, self, Context()))

    def _put(self, when: int, handle: asyncio.Handle) -> None:
        self.order += 1
        heapq.heappush(self.heap, (when, self.order, handle))

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        self.cancelled += 1
        if self.cancelled > SWEEP and self.cancelled * 2 > len(self.heap):
            self.heap = [one for one in self.heap if not one[2].cancelled()]
            heapq.heapify(self.heap)
            self.cancelled = 0

    def call_soon_threadsafe(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Context | None = None
    ) -> Any:
        raise RuntimeError("there are no threads in a virtual day")

    def run_in_executor(self, executor: Any, func: Any, *args: Any) -> Any:  # type: ignore[override]
        raise RuntimeError("there are no threads in a virtual day")

    def _write_to_self(self) -> None:
        """There is nobody to be woken."""

    def _process_events(self, event_list: Any) -> None:
        """There is no selector."""

    def _run_once(self) -> None:
        """All that is due at an instant that has something to do."""
        ready: deque[asyncio.Handle] = self._ready  # type: ignore[attr-defined]
        if not ready:
            while self.heap and self.heap[0][2].cancelled():
                heapq.heappop(self.heap)
                self.cancelled = max(0, self.cancelled - 1)
            if not self.heap:
                raise StuckError("nothing is left to happen")
            if self.heap[0][0] > self.clock:
                self.clock, self.at_once = self.heap[0][0], 0
        while self.heap and self.heap[0][0] <= self.clock:
            ready.append(heapq.heappop(self.heap)[2])
        self.at_once += len(ready)
        if self.most and self.ran > self.most:
            raise StuckError(f"{self.ran} callbacks, and the day is not over")
        if self.at_once > self.most_at_once:
            raise StuckError(f"the instant {(self.clock - BEGIN) / SECOND:.6f} s does not end")
        for _ in range(len(ready)):
            handle = ready.popleft()
            if not handle.cancelled():
                self._execute(handle)

    def _execute(self, handle: asyncio.Handle) -> None:
        owner = handle._context.get(OWNER)  # type: ignore[attr-defined]
        if owner is None or (owner.costs is None and not owner.stopped and not owner.line):
            if owner is None or not owner.dead:
                self._run(handle)
        elif not owner.dead:
            if owner.busy_until > self.clock or owner.line or owner.stopped:
                owner.line.append(handle)
                self._wake(owner)
            else:
                self._charge(owner, handle)

    def _run(self, handle: asyncio.Handle) -> None:
        self.ran += 1
        if self.watch is not None:
            self.watch(self.clock, handle)
        handle._run()

    def _charge(self, owner: Owner, handle: asyncio.Handle) -> None:
        cost = 0 if owner.costs is None else owner.costs.of(handle, owner.random)
        owner.busy_until = self.clock + cost
        owner.worked += cost
        owner.callbacks += 1
        self._run(handle)

    def hold(self, owner: Owner, stopped: bool) -> None:
        """Stops an owner as it stands, or lets it go on: timers that came due meanwhile run before what came
        on its sockets, as in a loop that was stopped."""
        if owner.stopped == stopped:
            return
        owner.stopped = stopped
        if not stopped:
            timers = [one for one in owner.line if isinstance(one, asyncio.TimerHandle)]
            owner.line = deque(
                timers + [one for one in owner.line if not isinstance(one, asyncio.TimerHandle)]
            )
            self._wake(owner)

    def _wake(self, owner: Owner) -> None:
        if not owner.waking and not owner.stopped and owner.line:
            owner.waking = True
            self.at(owner.busy_until, self._go_on, owner)

    def _go_on(self, owner: Owner) -> None:
        owner.waking = False
        while owner.line and not owner.dead and not owner.stopped and owner.busy_until <= self.clock:
            handle = owner.line.popleft()
            if not handle.cancelled():
                self._charge(owner, handle)
        if owner.line and not owner.dead:
            self._wake(owner)

    def place(self, make: Callable[[], Any]) -> Any:
        """A listening address of a stand-in."""
        return self.network.place(make)

    def datagram_socket(self) -> Any:
        return self.network.datagrams.socket()

    async def create_datagram_endpoint(
        self, protocol_factory: Any, local_addr: Any = None, remote_addr: Any = None, **more: Any
    ) -> Any:
        return self.network.datagrams.endpoint(protocol_factory, local_addr)

    def add_reader(self, fd: Any, callback: Any, *args: Any) -> None:  # type: ignore[override]
        """Calls when a datagram waits; nothing else here has a descriptor."""
        fd.reader = asyncio.Handle(callback, args, self, None)

    def remove_reader(self, fd: Any) -> bool:
        there, fd.reader = fd.reader is not None, None
        return there

    async def create_unix_connection(self, protocol_factory: Any, path: Any = None, **more: Any) -> Any:
        return await self.network.connect(protocol_factory, (str(path), 1))

    async def create_unix_server(self, protocol_factory: Any, path: Any = None, **more: Any) -> Any:
        return await self.create_server(protocol_factory, str(path), 1)

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any
    ) -> Any:
        return await self.network.connect(protocol_factory, (host, port))

    async def create_server(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any
    ) -> Any:
        door = self.network.door(host, port)
        server = await door.accept(protocol_factory, more.get("backlog", 100), more.get("backlog", 100))
        server.owns = door
        return server
