"""Fault actions on routers during a run, and when the front end notices that a router is down or up."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Sequence
from typing import Any

from rainhitch import system
from rainhitch.rehearsal.fakes.worker_messages import RouterSeen
from rainhitch.rehearsal.plan_model import (
    MICROSECONDS_PER_SECOND,
    NANOSECONDS_PER_MICROSECOND,
    NANOSECONDS_PER_SECOND,
    Command,
    Component,
    FaultAction,
)
from rainhitch.rehearsal.router_events import RouterEventKind
from rainhitch.rehearsal.router_process import RouterProcess
from rainhitch.rehearsal.worker_process import WorkerProcess

# Runs a coroutine as a task that the run waits for at its end.
Spawn = Callable[[Coroutine[Any, Any, None]], None]


class RouterFaults:
    """Applies fault actions to routers, and has the clients' front end notice what became of them.

    The lists of routers and workers belong to the environment, which fills them.
    """

    def __init__(
        self, routers: Sequence[RouterProcess], workers: Sequence[WorkerProcess], spawn: Spawn
    ) -> None:
        self.routers = routers
        self.workers = workers
        self.spawn = spawn
        self.noticed_crashes: set[int] = set()

    def schedule(self, actions: Iterable[FaultAction], zero_ns: int) -> None:
        """Has each action on a router happen at its time; other actions are the fakes' own.

        `zero_ns` is the plan's instant 0, in monotonic ns.
        """
        loop = asyncio.get_running_loop()
        for action in actions:
            if action.component is Component.ROUTER:
                at_ns = zero_ns + action.at_us * NANOSECONDS_PER_MICROSECOND
                delay_s = max(0.0, (at_ns - system.now()) / NANOSECONDS_PER_SECOND)
                loop.call_later(delay_s, self._spawn_action, action)

    def _spawn_action(self, action: FaultAction) -> None:
        """A fault acts now."""
        self.spawn(self.apply(action))

    async def apply(self, action: FaultAction) -> None:
        """Does to a router what an action says; returns when that is done."""
        assert isinstance(action.name, int)
        number = action.name
        router = self.routers[number]
        if action.command is Command.KILL:
            self.notice_down(number, action.parameters["notice"] / MICROSECONDS_PER_SECOND)
            await router.kill()
        elif action.command is Command.START:
            await router.ended.wait()
            await self._start(router)
        elif action.command is Command.RELOAD:
            router.reload()
        elif action.command is Command.PAUSE:
            router.pause()
        elif action.command is Command.RESUME:
            router.resume()
        elif action.command is Command.RESTART:
            self.notice_down(number, action.parameters["accept"] / MICROSECONDS_PER_SECOND)
            await router.stop()
            await self._start(router)

    def notice_crashes(self, after_s: float) -> None:
        """The front end will notice after this time each crash that it has not noticed before."""
        for number, router in enumerate(self.routers):
            if router.crash is not None and number not in self.noticed_crashes:
                self.noticed_crashes.add(number)
                self.notice_down(number, after_s)

    def notice_down(self, number: int, after_s: float) -> None:
        """The front end will notice after this time that a router is down."""
        self.spawn(self._notice_down(number, after_s))

    async def _notice_down(self, number: int, after_s: float) -> None:
        """Tells clients that a router is down, unless it came back before the front end noticed."""
        events_before = len(self.routers[number].events)
        await asyncio.sleep(after_s)
        events_since = self.routers[number].events[events_before:]
        if not any(kind == RouterEventKind.READY for kind, _ in events_since):
            self._tell_clients(number, is_up=False)

    async def _start(self, router: RouterProcess) -> None:
        """Starts a router again, unless it has crashed, and tells clients when it is ready."""
        if router.crash is not None:
            return
        await router.start()
        if await router.wait_until_ready():
            # A turn of the loop, as every notice takes: virtual runs promise the same order of callbacks.
            await asyncio.sleep(0)
            self._tell_clients(router.number, is_up=True)

    def _tell_clients(self, number: int, is_up: bool) -> None:
        """Tells all clients' processes that the front end takes a router to be up or down."""
        for worker in self.workers:
            if worker.role.startswith("clients"):
                worker.send(RouterSeen(number, is_up).to_row())
