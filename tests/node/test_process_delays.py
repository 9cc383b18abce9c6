"""Router processes that are delayed, either stopped by a signal or between the poll and a callback.

During a delay, data in their sockets ages and the clients' waits go on. Each delay lasts DELAY_S, each wait
WAIT_S. A response is in time up to IN_TIME_S, with a wide margin both to a router that counts the delay and
to one that does not.
"""

import asyncio
import contextlib
import signal
import sys
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest
from faulty import LATE, LATE_S
from peers import PATIENCE, Cache, Caller, entry, hit, wait_until
from program import ROOT, configuration, listing, started

DELAY_S, WAIT_S = LATE_S, 0.7
IN_TIME_S = WAIT_S + DELAY_S / 2
INFO = b"c=read,t=acme,d=%d" % (WAIT_S * 1000)


@dataclass
class Router:
    """A running router process."""

    running: asyncio.subprocess.Process
    address: tuple[str, int]

    async def caller(self) -> Caller:
        """Connects a client."""
        return Caller(*await asyncio.open_connection(*self.address))

    async def stop_for(self, seconds: float = DELAY_S) -> None:
        """Stops the process for `seconds`."""
        self.running.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self.running.send_signal(signal.SIGCONT)


@contextlib.asynccontextmanager
async def routers(tmp_path: Path, cache: Cache, number: int, faults: str = "") -> AsyncIterator[list[Router]]:
    """Runs `number` router processes with the same cache server."""
    await cache.start()
    made: list[Router] = []
    drains: list[asyncio.Task[Any]] = []
    try:
        for index in range(number):
            folder = tmp_path / str(index)
            folder.mkdir()
            env = configuration(folder, known=listing(1, entry("c0", cache.address)))
            env |= {"FAULTS": faults, "PYTHONPATH": str(ROOT)}
            program = [sys.executable, str(ROOT / "tests" / "faulty.py")]
            running = await asyncio.create_subprocess_exec(
                *program, env=env, cwd=ROOT, stderr=asyncio.subprocess.PIPE
            )
            made.append(Router(running, await started(running)))
            assert running.stderr is not None
            drains.append(asyncio.create_task(running.stderr.read()))
        yield made
    finally:
        for router in made:
            router.running.kill()
            await router.running.wait()
        for drain in drains:
            await drain
        await cache.stop()


def cache_that_answers_one_key() -> Cache:
    """Returns a cache server that answers requests for one key only."""
    return Cache(lambda asked, line: hit() if asked[1] == b"warm" else None)


async def warm(router: Router) -> Caller:
    """Returns a connection that has already carried a request."""
    caller = await router.caller()
    caller.get(b"warm", b"first")
    assert await caller.answer() == b"v"
    return caller


async def seconds_to_answer(caller: Caller, key: bytes, name: bytes) -> float:
    """Returns how long a client waits for the final response to a request that no server answers."""
    sent = time.monotonic()
    caller.get(key, name, INFO)
    assert await asyncio.wait_for(caller.answer(), PATIENCE) is not None
    return time.monotonic() - sent


@pytest.mark.parametrize("faults", ["", "blind"])
async def test_processes_a_stopped_router_answers_what_lay_unread_within_its_clients_wait(
    tmp_path: Path, faults: str
) -> None:
    """A router that had been stopped for DELAY_S answered after its clients had disconnected.

    It measured the age of unread requests from when it read them. One of two routers is stopped, too briefly
    for a pause to be detected: each client must be answered within its wait.
    """
    async with routers(tmp_path, cache_that_answers_one_key(), 2, faults) as (stopped, other):
        callers = [await warm(router) for router in (stopped, other)]
        new_caller = await stopped.caller()
        stop = asyncio.create_task(stopped.stop_for())
        await asyncio.sleep(0.02)  # until the process has stopped
        times = await asyncio.gather(
            seconds_to_answer(callers[0], b"k", b"kept"),
            seconds_to_answer(new_caller, b"k", b"new"),
            seconds_to_answer(callers[1], b"k", b"beside"),
        )
        await stop
        assert max(times) < IN_TIME_S


async def test_processes_a_router_delayed_after_its_poll_answers_within_its_clients_wait(
    tmp_path: Path,
) -> None:
    """Neither the request being read nor one that arrived during the delay may be answered late."""
    async with routers(tmp_path, cache_that_answers_one_key(), 1, "blind late") as (router,):
        first, second = await warm(router), await warm(router)
        delayed = asyncio.create_task(seconds_to_answer(first, LATE, b"held"))
        await asyncio.sleep(0.02)
        behind = await seconds_to_answer(second, b"k", b"behind")
        assert max(await delayed, behind) < IN_TIME_S


async def test_processes_an_answer_that_came_in_time_is_used_though_its_timeout_fires_first(
    tmp_path: Path,
) -> None:
    """Responses that had arrived in time were discarded, and their servers counted as silent.

    A late event loop runs timers before it reads sockets.
    """
    asked_first: list[asyncio.StreamWriter] = []

    def answer(asked: list[bytes], line: asyncio.StreamWriter) -> bytes | None:
        if asked[2] == b"in-time":
            asked_first.append(line)
        return hit() if asked[1] == b"warm" else None

    async with routers(tmp_path, Cache(answer), 1, "blind late") as (router,):
        first, second = await warm(router), await warm(router)
        sent = time.monotonic()
        first.get(b"k", b"in-time", INFO)
        await wait_until(lambda: asked_first)
        await asyncio.sleep(sent + DELAY_S - 0.1 - time.monotonic())
        second.get(LATE, b"second", INFO)  # keeps the router busy until the first request's timeout
        await asyncio.sleep(0.05)
        asked_first[0].write(hit(b"in time"))
        assert await asyncio.wait_for(first.answer(), PATIENCE) == b"in time"
