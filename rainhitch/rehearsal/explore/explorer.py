"""Plays drawn days in many processes at once, keeps what reaches something new, shrinks what is wrong.

A process that hangs is stopped by its own alarm, one that eats memory by its own limit; one that dies all the
same costs its day, which is told, and is replaced.
"""

import contextlib
import multiprocessing
import resource
import signal
import time
from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from concurrent.futures.process import BrokenProcessPool
from dataclasses import dataclass, field
from random import Random
from types import FrameType
from typing import Any

from rainhitch.rehearsal.explore.findings import Case, EndlessError, Result, case, examine
from rainhitch.rehearsal.explore.grammar import draw_scenario, mutate, valid
from rainhitch.rehearsal.explore.shrink import shrink

Json = dict[str, Any]
LONGEST = 60.0  # s of real time that a day may take
MEMORY = 3 << 30  # bytes of address space of a process
MUTANTS = 0.7  # part of the days that are changed from one that reached something new
KEPT = 400  # such days that are remembered, the newest
SHRINKS = 120  # plays that making a case smaller may take
OF_A_KIND = 3  # cases of the same kind that are looked at; more tell nothing new


def prepare() -> None:
    """In each process: limits, and no part in the terminal's Ctrl-C."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    _, hard = resource.getrlimit(resource.RLIMIT_AS)
    resource.setrlimit(resource.RLIMIT_AS, (MEMORY, hard))
    signal.signal(signal.SIGALRM, _too_long)


def _too_long(number: int, frame: FrameType | None) -> None:
    raise EndlessError


def bounded(one: Case, cover: bool = True) -> Result:
    """Plays a case within its time; run in a process of the pool."""
    signal.setitimer(signal.ITIMER_REAL, LONGEST)
    try:
        return examine(one, cover)
    except EndlessError:
        result = Result(one)
        result.add("endless", f"not over after {LONGEST:g} s")
        return result
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)


def smaller(found: Result) -> Result:
    """The smallest case that does what this one did; run in a process of the pool."""
    kind, last = found.kinds[0], [found]

    def still(source: Json) -> bool:
        if valid(source) is None:
            return False
        result = bounded(case(source, found.case.seed), cover=False)
        if kind in result.kinds:
            last.append(result)
            return True
        return False

    shrink(found.case.tables, still, SHRINKS)
    return last[-1]


@dataclass
class Tally:
    """How far an exploration is."""

    days: int = 0
    virtual_s: float = 0.0
    words: set[str] = field(default_factory=set)
    kinds: dict[str, int] = field(default_factory=dict)
    died: int = 0
    begun: float = field(default_factory=time.monotonic)

    @property
    def seconds(self) -> float:
        return time.monotonic() - self.begun


def end(pool: ProcessPoolExecutor) -> None:
    """Ends a pool and its processes, whatever they are at."""
    processes = list((pool._processes or {}).values())
    pool.shutdown(wait=False, cancel_futures=True)
    for process in processes:
        process.kill()


class Explorer:
    """One exploration. `found` is told of each finding, made small, `tell` of the progress."""

    def __init__(
        self,
        seed: int,
        jobs: int,
        corpus: list[Case],
        found: Callable[[Result], None],
        tell: Callable[[Tally], None] = lambda tally: None,
        shrinks: bool = True,
    ) -> None:
        self.shrinks = shrinks
        self.random, self.jobs = Random(f"{seed}/explore"), jobs
        self.found, self.tell, self.tally = found, tell, Tally()
        self.fresh: list[Case] = list(corpus)  # days to be changed a little
        self.first = list(corpus)  # those are played as they are, to begin with
        self.stopped = False
        self.playing: dict[Future[Result], Case] = {}

    def next(self) -> Case:
        if self.first:
            return self.first.pop()
        seed = self.random.randrange(1 << 31)
        if self.fresh and self.random.random() < MUTANTS:
            # The newest have been changed least often.
            place = int(len(self.fresh) * self.random.random() ** 0.5)
            return case(mutate(self.random, self.fresh[place].tables), seed)
        return case(draw_scenario(self.random), seed)

    def heard(self, result: Result) -> bool:
        """Takes a day's result; whether it is worth making small."""
        tally = self.tally
        tally.days += 1
        tally.virtual_s += result.seconds
        if result.words - tally.words:
            tally.words |= result.words
            self.fresh = [*self.fresh, result.case][-KEPT:]
        news = False
        for kind in result.kinds:
            tally.kinds[kind] = tally.kinds.get(kind, 0) + 1
            news = news or tally.kinds[kind] <= OF_A_KIND
        return news

    def run(self, days: int, seconds: float) -> Tally:
        """Explores until so many days are played or the time is up; 0 for no such bound."""
        context = multiprocessing.get_context("forkserver")
        context.set_forkserver_preload([__name__])
        while not self._over(days, seconds):
            pool = ProcessPoolExecutor(self.jobs, context, prepare, max_tasks_per_child=100)
            try:
                self._with(pool, days, seconds)
            except BrokenProcessPool:
                self.tally.died += 1
            finally:
                end(pool)
            for one in self.playing.values():
                self._alone(context, one)
            self.playing = {}
        return self.tally

    def _alone(self, context: Any, one: Case) -> None:
        """Plays a case that was out when a process died, to see whether it was the one."""
        pool = ProcessPoolExecutor(1, context, prepare)
        try:
            result = pool.submit(bounded, one).result()
        except BrokenProcessPool:
            result = Result(one)
            result.add("died", "the process that played it died")
        finally:
            end(pool)
        if self.heard(result):
            self.found(result)

    def _over(self, days: int, seconds: float) -> bool:
        late = bool(seconds) and self.tally.seconds >= seconds
        return self.stopped or late or (bool(days) and self.tally.days >= days)

    def _with(self, pool: ProcessPoolExecutor, days: int, seconds: float) -> None:
        playing = self.playing
        shrinking: set[Future[Result]] = set()
        planned = self.tally.days
        while True:
            over = self._over(days, seconds)
            while not over and len(playing) < 2 * self.jobs and (not days or planned < days):
                one = self.next()
                playing[pool.submit(bounded, one)] = one
                planned += 1
            if (over or not playing) and not shrinking:
                return
            done, _ = wait({*playing, *shrinking}, timeout=0.5, return_when=FIRST_COMPLETED)
            for future in done:
                result = future.result()
                if future in shrinking:
                    self.found(result)
                elif self.heard(result) and self.shrinks:
                    shrinking.add(pool.submit(smaller, result))
                elif result.kinds and not self.shrinks:
                    self.found(result)
                playing.pop(future, None)
                shrinking.discard(future)
            self.tell(self.tally)

    def stop(self) -> None:
        """Ends in good order: what is being made small is finished."""
        self.stopped = True


@contextlib.contextmanager
def on_interrupt(act: Callable[[], None]) -> Any:
    """Ctrl-C acts once, and ends the program the second time."""

    def heed(number: int, frame: FrameType | None) -> None:
        act()
        signal.signal(signal.SIGINT, before)

    before = signal.signal(signal.SIGINT, heed)
    try:
        yield
    finally:
        signal.signal(signal.SIGINT, before)
