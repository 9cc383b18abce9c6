"""`rainhitch explore`: draws days, plays them in virtual time, and keeps those that break something."""

import argparse
import os
import sys
from pathlib import Path
from typing import Any

from rainhitch.cli import bad


def fill(parser: argparse.ArgumentParser) -> None:
    parser.description = (
        "Draws whole scenarios, plays them in virtual time in many processes at once, and keeps each day "
        "that breaks a rule, crashes, does not end or does not come back, as the smallest scenario file "
        "that does so. "
        "Exit codes: 0 nothing was found, 1 something was, 2 bad input."
    )
    parser.add_argument("--days", type=int, default=0, help="so many days (0: no bound)")
    parser.add_argument("--minutes", type=float, default=0.0, help="for so long (0: no bound)")
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1, help="processes at once (all cores)")
    parser.add_argument("--seed", type=int, default=1, help="what the days are drawn from (1)")
    parser.add_argument("--from", dest="corpus", metavar="DIR", type=Path, help="begin with these cases")
    parser.add_argument(
        "--keep", metavar="DIR", type=Path, default=Path("found"), help="where findings go (found)"
    )
    parser.add_argument("--as-drawn", action="store_true", help="keep findings without making them small")
    parser.add_argument("--play", metavar="FILE", type=Path, help="play one kept case, and say what is wrong")


def run(told: argparse.Namespace) -> int:
    try:
        return _run(told)
    except ModuleNotFoundError as problem:
        return bad(f"{problem.name} is missing: install rainhitch[rehearsal]")


def _run(told: argparse.Namespace) -> int:
    from rainhitch.rehearsal.explore import corpus
    from rainhitch.rehearsal.explore.case_runner import FuzzCase

    cases: list[FuzzCase] = []
    try:
        if told.play is not None:
            return _play(corpus.read(told.play))
        if told.corpus is not None:
            cases = corpus.read_all(told.corpus)
    except corpus.CorpusError as problem:
        return bad(str(problem))
    for name, least in (("days", 0), ("minutes", 0), ("jobs", 1)):
        if getattr(told, name) < least:
            return bad(f"--{name} {getattr(told, name):g}: allowed is {least} or more")
    if not told.days and not told.minutes:
        return bad("--days or --minutes: how long is it to explore?")
    if told.keep.exists() and not told.keep.is_dir():
        return bad(f"--keep {told.keep}: not a folder")
    return _explore(told, cases)


def _play(one: Any) -> int:
    from rainhitch.rehearsal.explore.case_runner import run_case

    result = run_case(one)
    print(f"service {result.service:.4f}")
    for line in result.details:
        print(line)
    return 1 if result.failure_kinds else 0


def _explore(told: argparse.Namespace, cases: list[Any]) -> int:
    from rainhitch.rehearsal.explore import corpus
    from rainhitch.rehearsal.explore.case_runner import CaseResult
    from rainhitch.rehearsal.explore.explorer import Explorer, Progress, on_interrupt

    shown = sys.stderr.isatty()

    def found(result: CaseResult) -> None:
        path = corpus.keep(told.keep, result)
        print(f"{path}: {result.details[0]}", flush=True)

    def tell(tally: Progress) -> None:
        if shown:
            rate = tally.runs / max(tally.elapsed_s, 1e-9) * 3600
            line = f"{tally.runs} days, {rate:.0f} an hour, {len(tally.coverage)} states, "
            line += f"{len(tally.failure_counts)} kinds"
            print(f"\r\x1b[K{line}", end="", file=sys.stderr, flush=True)

    explorer = Explorer(told.seed, told.jobs, cases, found, on_progress=tell, shrinks=not told.as_drawn)
    with on_interrupt(explorer.stop):
        tally = explorer.run(told.days, told.minutes * 60)
    if shown:
        print("\r\x1b[K", end="", file=sys.stderr)
    hours = tally.elapsed_s / 3600
    print(
        f"{tally.runs} days in {tally.elapsed_s:.0f} s ({tally.runs / hours:.0f} an hour, "
        f"{tally.virtual_s / tally.elapsed_s:.1f} virtual seconds a second), "
        f"{len(tally.coverage)} states reached, "
        f"{len(tally.failure_counts)} kinds of findings, {tally.died} processes died"
    )
    for kind, count in sorted(tally.failure_counts.items(), key=lambda one: -one[1]):
        print(f"{count:6}  {kind}")
    return 1 if tally.failure_counts else 0
