"""The fuzzer: runs test cases in many processes, mutates those with new coverage, shrinks failures.

What is drawn depends on the seed alone: results are recorded in the order in which their cases were drawn,
and a case is drawn once all results up to RESULT_LAG cases before it are recorded, and none after these.

A worker process that hangs is stopped by its own alarm, one that leaks memory by its own limit. One that
dies all the same breaks the whole pool: the cases that were running are run again one by one, and the one
that kills its process once more is a failure.
"""

import contextlib
import multiprocessing
import resource
import signal
import time
from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from concurrent.futures.process import BrokenProcessPool
from dataclasses import dataclass, field
from random import Random
from types import FrameType
from typing import Any, NamedTuple

from rainhitch.rehearsal.explore.case_runner import (
    CaseResult,
    CaseTimeoutError,
    FuzzCase,
    fuzz_case,
    run_case,
)
from rainhitch.rehearsal.explore.grammar import generate_scenario, mutate_scenario, parse_scenario
from rainhitch.rehearsal.explore.shrink import shrink

Json = dict[str, Any]
MAX_RUN_S = 60.0  # of real time
MAX_WORKER_BYTES = 3 << 30  # of address space
MAX_WORKER_RUNS = 100  # until a worker process is replaced
MUTATION_FRACTION = 0.7  # of the cases, made from one with new coverage
MAX_CASES_TO_MUTATE = 400  # cases with new coverage that are remembered, the newest
MAX_SHRINK_RUNS = 120
MAX_SHRUNK_PER_KIND = 3  # failures of a kind that are shrunk; more tell nothing new
QUEUED_CASES_PER_JOB = 2
RESULT_LAG = (
    32  # cases drawn without knowing a result; bounds how many run at once, however many jobs there are
)
POLL_S = 0.5
MAX_SEED = 1 << 31


def prepare_worker() -> None:
    """Run first in each worker process: its limits; Ctrl-C is the parent's alone."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    _, hard = resource.getrlimit(resource.RLIMIT_AS)
    resource.setrlimit(resource.RLIMIT_AS, (MAX_WORKER_BYTES, hard))
    signal.signal(signal.SIGALRM, _raise_timeout)


def _raise_timeout(number: int, frame: FrameType | None) -> None:
    raise CaseTimeoutError


def run_case_in_time(case: FuzzCase, with_coverage: bool = True) -> CaseResult:
    """Runs a case for no longer than `MAX_RUN_S`; run in a worker process."""
    signal.setitimer(signal.ITIMER_REAL, MAX_RUN_S)
    try:
        return run_case(case, with_coverage)
    except CaseTimeoutError:
        result = CaseResult(case)
        result.add_failure("endless", f"not over after {MAX_RUN_S:g} s")
        return result
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)


def shrink_failure(failed: CaseResult) -> CaseResult:
    """The result of the smallest case that fails in the same way; run in a worker process."""
    kind = failed.failure_kinds[0]
    smallest = failed

    def still_fails(tables: Json) -> bool:
        """Whether it fails in the same way; keeps the result."""
        nonlocal smallest
        if parse_scenario(tables) is None:
            return False
        result = run_case_in_time(fuzz_case(tables, failed.case.seed), with_coverage=False)
        if kind not in result.failure_kinds:
            return False
        smallest = result
        return True

    shrink(failed.case.tables, still_fails, MAX_SHRINK_RUNS)
    return smallest


@dataclass
class Progress:
    """How far a search is."""

    runs: int = 0
    virtual_s: float = 0.0
    coverage: set[str] = field(default_factory=set)
    failure_counts: dict[str, int] = field(default_factory=dict)  # by kind
    died: int = 0  # times that a worker process died
    started_at_s: float = field(default_factory=time.monotonic)

    @property
    def elapsed_s(self) -> float:
        """Real time since the begin."""
        return time.monotonic() - self.started_at_s


def kill_pool(pool: ProcessPoolExecutor) -> None:
    """Ends a pool and its processes, whatever they do."""
    processes = list((pool._processes or {}).values())
    pool.shutdown(wait=False, cancel_futures=True)
    for process in processes:
        process.kill()


class NumberedCase(NamedTuple):
    """A case and its place in the order of drawing, from 0."""

    number: int
    case: FuzzCase


class Explorer:
    """One search.

    Args:
        seed: that cases are generated and mutated with.
        jobs: worker processes at once.
        initial_cases: run first, as they are, and then mutated.
        on_failure: called with each failure that was shrunk, or is given as it is: where nothing is to be
            shrunk, and for a case that ran alone after a process had died.
        on_progress: called again and again while it lasts.
        shrinks: whether failures are shrunk, `MAX_SHRUNK_PER_KIND` of a kind; further ones are counted only.
            Else all of them are given as they are.
    """

    def __init__(
        self,
        seed: int,
        jobs: int,
        initial_cases: list[FuzzCase],
        on_failure: Callable[[CaseResult], None],
        *,
        on_progress: Callable[[Progress], None] = lambda progress: None,
        shrinks: bool = True,
    ) -> None:
        self.random = Random(f"{seed}/explore")
        self.jobs = jobs
        self.on_failure = on_failure
        self.on_progress = on_progress
        self.shrinks = shrinks
        self.progress = Progress()
        self.cases_to_mutate = list(initial_cases)  # the initial ones, and those with new coverage
        self.not_yet_run = list(initial_cases)
        self.stopped = False
        self.drawn = 0  # cases drawn so far; their order numbers them
        self.running: dict[Future[CaseResult], NumberedCase] = {}
        self.finished: dict[int, CaseResult] = {}  # results that are not recorded yet, by number
        self.unshrinkable: set[int] = set()  # numbers of cases that ran alone after a process had died

    def next_case(self) -> FuzzCase:
        """An initial case, a mutation of a case with new coverage, or a new case."""
        if self.not_yet_run:
            return self.not_yet_run.pop()
        seed = self.random.randrange(MAX_SEED)
        if self.cases_to_mutate and self.random.random() < MUTATION_FRACTION:
            # The square root prefers the newest: they have been mutated least often.
            index = int(len(self.cases_to_mutate) * self.random.random() ** 0.5)
            return fuzz_case(mutate_scenario(self.random, self.cases_to_mutate[index].tables), seed)
        return fuzz_case(generate_scenario(self.random), seed)

    def record(self, result: CaseResult) -> bool:
        """Counts a result and keeps its case for mutation where it has new coverage.

        Gives whether it is a failure worth shrinking.
        """
        progress = self.progress
        progress.runs += 1
        progress.virtual_s += result.virtual_s
        if result.coverage - progress.coverage:
            progress.coverage |= result.coverage
            self.cases_to_mutate = [*self.cases_to_mutate, result.case][-MAX_CASES_TO_MUTATE:]
        worth_shrinking = False
        for kind in result.failure_kinds:
            progress.failure_counts[kind] = progress.failure_counts.get(kind, 0) + 1
            if progress.failure_counts[kind] <= MAX_SHRUNK_PER_KIND:
                worth_shrinking = True
        return worth_shrinking

    def run(self, max_runs: int, max_s: float) -> Progress:
        """Searches until so many cases have run or the time is up; 0 for no such bound."""
        context = multiprocessing.get_context("forkserver")
        context.set_forkserver_preload([__name__])
        while not self._is_over(max_runs, max_s):
            pool = ProcessPoolExecutor(
                self.jobs, context, prepare_worker, max_tasks_per_child=MAX_WORKER_RUNS
            )
            try:
                self._run_pool(pool, max_runs, max_s)
            except BrokenProcessPool:
                self.progress.died += 1
                kill_pool(pool)
                for numbered in self.running.values():
                    self._run_alone(context, numbered)
                self.running = {}
            finally:
                kill_pool(pool)
        return self.progress

    def _run_alone(self, context: Any, numbered: NumberedCase) -> None:
        """Runs a case that was running when a process died, to see whether it was the cause.

        A failure of it is given unshrunk: each run of a shrinking could kill a process again.
        """
        pool = ProcessPoolExecutor(1, context, prepare_worker)
        try:
            result = pool.submit(run_case_in_time, numbered.case).result()
        except BrokenProcessPool:
            result = CaseResult(numbered.case)
            result.add_failure("died", "the process that played it died")
        finally:
            kill_pool(pool)
        self.finished[numbered.number] = result
        self.unshrinkable.add(numbered.number)

    def _is_over(self, max_runs: int, max_s: float) -> bool:
        time_is_up = bool(max_s) and self.progress.elapsed_s >= max_s
        all_run = bool(max_runs) and self.progress.runs >= max_runs
        return self.stopped or time_is_up or all_run

    def _run_pool(self, pool: ProcessPoolExecutor, max_runs: int, max_s: float) -> None:
        """Keeps a pool busy until the search is over and what is being shrunk is done."""
        shrinking: set[Future[CaseResult]] = set()
        while True:
            over = self._is_over(max_runs, max_s)
            while not over and self._has_room() and (not max_runs or self.drawn < max_runs):
                self._record_finished(pool, shrinking, self.drawn - RESULT_LAG + 1)
                if self.drawn - self.progress.runs >= RESULT_LAG:
                    break
                numbered = NumberedCase(self.drawn, self.next_case())
                self.drawn += 1
                self.running[pool.submit(run_case_in_time, numbered.case)] = numbered
            if over or not self.running:
                self._record_finished(pool, shrinking, self.drawn)
                if not shrinking:
                    return
            done, _ = wait({*self.running, *shrinking}, timeout=POLL_S, return_when=FIRST_COMPLETED)
            for future in done:
                self._handle_result(future, shrinking)
            self.on_progress(self.progress)

    def _has_room(self) -> bool:
        return len(self.running) < QUEUED_CASES_PER_JOB * self.jobs

    def _handle_result(self, future: "Future[CaseResult]", shrinking: "set[Future[CaseResult]]") -> None:
        """Takes the result of a run or of a shrinking; a dead worker raises BrokenProcessPool."""
        result = future.result()
        if future in shrinking:
            shrinking.discard(future)
            self.on_failure(result)
        else:
            self.finished[self.running.pop(future).number] = result

    def _record_finished(
        self, pool: ProcessPoolExecutor, shrinking: "set[Future[CaseResult]]", end: int
    ) -> None:
        """Records results in the order of drawing, of numbers below `end`, up to one that is not finished."""
        while self.progress.runs < end and self.progress.runs in self.finished:
            number = self.progress.runs
            result = self.finished.pop(number)
            worth_shrinking = self.record(result)
            if number in self.unshrinkable:
                if worth_shrinking:
                    self.on_failure(result)
            elif worth_shrinking and self.shrinks:
                shrinking.add(pool.submit(shrink_failure, result))
            elif result.failure_kinds and not self.shrinks:
                self.on_failure(result)

    def stop(self) -> None:
        """Ends the search in good order: what is being shrunk is finished."""
        self.stopped = True


@contextlib.contextmanager
def on_interrupt(act: Callable[[], None]) -> Iterator[None]:
    """Ctrl-C calls `act` once, and ends the program the second time."""

    def handle_interrupt(number: int, frame: FrameType | None) -> None:
        """Acts, and has the next Ctrl-C do what it did before."""
        act()
        signal.signal(signal.SIGINT, before)

    before = signal.signal(signal.SIGINT, handle_interrupt)
    try:
        yield
    finally:
        signal.signal(signal.SIGINT, before)
