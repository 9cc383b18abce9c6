"""Fault actions on routers during a run, and when the front end notices that a router is down or up."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from rainhitch.rehearsal.plan_model import MICROSECONDS_PER_SECOND, Command, FaultAction
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
        if await router.ready():
            # A turn of the loop, as every notice takes: virtual runs promise the same order of callbacks.
            await asyncio.sleep(0)
            self._tell_clients(router.number, is_up=True)

    def _tell_clients(self, number: int, is_up: bool) -> None:
        """Tells all clients' processes that a router is up or down."""
        for worker in self.workers:
            if worker.role.startswith("clients"):
                worker.send({"router": number, "up": is_up})
