"""`rainhitch explore`: draws scenarios, runs them in virtual time, and keeps those that break something."""

import argparse
import os
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from rainhitch.cli.errors import InputError, requires_rehearsal_extra
from rainhitch.cli.exit_codes import FAILURE, SUCCESS
from rainhitch.cli.output import draw_progress, shows_progress

if TYPE_CHECKING:
    from rainhitch.rehearsal.explore.case_runner import CaseResult, FuzzCase
    from rainhitch.rehearsal.explore.explorer import Progress

MIN_ELAPSED_S = 1e-9
"""Least time that a rate is taken over: guards against a division by zero at the start."""

S_PER_HOUR = 3600


@dataclass(frozen=True, slots=True)
class ExploreArguments:
    """The arguments of `rainhitch explore`."""

    max_days: int
    """0: no bound."""

    max_minutes: float
    """0: no bound."""

    process_count: int
    seed: int
    corpus_folder: Path | None
    findings_folder: Path
    makes_small: bool
    replayed_file: Path | None


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the subcommand's arguments."""
    parser.description = (
        "Draws whole scenarios, runs them in virtual time in many processes at once, and keeps each run "
        "that breaks a rule, crashes, does not end or does not recover, as the smallest scenario file "
        "that does so. "
        "Exit codes: 0 nothing was found, 1 something was, 2 bad input."
    )
    parser.add_argument("--days", type=int, default=0, help="run so many scenarios (0: no bound)")
    parser.add_argument("--minutes", type=float, default=0.0, help="for so long (0: no bound)")
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1, help="processes at once (all cores)")
    parser.add_argument("--seed", type=int, default=1, help="seed of the random numbers (1)")
    parser.add_argument("--from", dest="corpus", metavar="DIR", type=Path, help="begin with these cases")
    parser.add_argument(
        "--keep", metavar="DIR", type=Path, default=Path("found"), help="where findings go (found)"
    )
    parser.add_argument("--as-drawn", action="store_true", help="keep findings without making them small")
    parser.add_argument("--play", metavar="FILE", type=Path, help="run one kept case, and say what is wrong")


def parse_arguments(namespace: argparse.Namespace) -> ExploreArguments:
    """Reads the arguments."""
    return ExploreArguments(
        max_days=namespace.days,
        max_minutes=namespace.minutes,
        process_count=namespace.jobs,
        seed=namespace.seed,
        corpus_folder=namespace.corpus,
        findings_folder=namespace.keep,
        makes_small=not namespace.as_drawn,
        replayed_file=namespace.play,
    )


def run(namespace: argparse.Namespace) -> int:
    """Runs one kept case, or explores; returns FAILURE where something was found."""
    with requires_rehearsal_extra():
        return _run(parse_arguments(namespace))


def _run(arguments: ExploreArguments) -> int:
    from rainhitch.rehearsal.explore import corpus

    cases: list[FuzzCase] = []
    try:
        if arguments.replayed_file is not None:
            return _replay(corpus.read(arguments.replayed_file))
        if arguments.corpus_folder is not None:
            cases = corpus.read_all(arguments.corpus_folder)
    except corpus.CorpusError as problem:
        raise InputError(str(problem)) from None
    _check(arguments)
    return _explore(arguments, cases)


def _check(arguments: ExploreArguments) -> None:
    """Raises InputError for a value that is not allowed."""
    bounds = (
        ("--days", arguments.max_days, 0),
        ("--minutes", arguments.max_minutes, 0),
        ("--jobs", arguments.process_count, 1),
    )
    for option, value, min_value in bounds:
        if value < min_value:
            raise InputError(f"{option} {value:g}: allowed is {min_value} or more")
    if not arguments.max_days and not arguments.max_minutes:
        raise InputError("--days or --minutes: how long is it to explore?")
    if arguments.findings_folder.exists() and not arguments.findings_folder.is_dir():
        raise InputError(f"--keep {arguments.findings_folder}: not a folder")


def _replay(case: "FuzzCase") -> int:
    from rainhitch.rehearsal.explore.case_runner import run_case

    result = run_case(case)
    print(f"service {result.service:.4f}")
    for line in result.details:
        print(line)
    return FAILURE if result.failure_kinds else SUCCESS


def _explore(arguments: ExploreArguments, cases: "list[FuzzCase]") -> int:
    from rainhitch.rehearsal.explore import corpus
    from rainhitch.rehearsal.explore.explorer import Explorer, on_interrupt

    has_progress = shows_progress()

    def keep_finding(result: "CaseResult") -> None:
        """Writes a finding as a scenario file."""
        path = corpus.keep(arguments.findings_folder, result)
        print(f"{path}: {result.details[0]}", flush=True)

    def show_progress(tally: "Progress") -> None:
        """Draws the progress on a terminal."""
        if has_progress:
            days_per_hour = tally.runs / max(tally.elapsed_s, MIN_ELAPSED_S) * S_PER_HOUR
            draw_progress(
                f"{tally.runs} days, {days_per_hour:.0f} an hour, {len(tally.coverage)} states, "
                f"{len(tally.failure_counts)} kinds"
            )

    explorer = Explorer(
        arguments.seed,
        arguments.process_count,
        cases,
        keep_finding,
        on_progress=show_progress,
        shrinks=arguments.makes_small,
    )
    with on_interrupt(explorer.stop):
        tally = explorer.run(arguments.max_days, arguments.max_minutes * 60)
    if has_progress:
        draw_progress("")
    _print_summary(tally)
    return FAILURE if tally.failure_counts else SUCCESS


def _print_summary(tally: "Progress") -> None:
    hours = tally.elapsed_s / S_PER_HOUR
    print(
        f"{tally.runs} days in {tally.elapsed_s:.0f} s ({tally.runs / hours:.0f} an hour, "
        f"{tally.virtual_s / tally.elapsed_s:.1f} virtual seconds a second), "
        f"{len(tally.coverage)} states reached, "
        f"{len(tally.failure_counts)} kinds of findings, {tally.died} processes died"
    )
    for kind, count in sorted(tally.failure_counts.items(), key=lambda item: -item[1]):
        print(f"{count:6}  {kind}")
