"""The part of `rainhitch rehearse` that plays in virtual time."""

import argparse
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from rainhitch.cli import INTERRUPTED, bad

Json = dict[str, Any]
BOUNDS = {"core": (0.0, 1000.0), "chop": (0.0, 1.0)}  # least, most


def fill(parser: argparse.ArgumentParser) -> None:
    group = parser.add_argument_group("virtual time")
    group.add_argument(
        "--virtual", action="store_true", help="in one process, on simulated time: the same day each time"
    )
    group.add_argument("--trace", metavar="FILE", type=Path, help="write every event there")
    group.add_argument("--logs", metavar="DIR", type=Path, help="keep each router's log there")
    group.add_argument(
        "--core",
        metavar="X",
        type=float,
        help="routers' cores are X times as slow, in place of the scenario's",
    )
    group.add_argument(
        "--chop", metavar="P", type=float, help="part of the writes that is cut in pieces, in place of its"
    )


def asked(told: argparse.Namespace) -> bool:
    """Whether something was asked for that only a virtual day has."""
    return any(getattr(told, name) is not None for name in ("trace", "logs", *BOUNDS))


def compare(one: Path, other: Path) -> int:
    """Tells where two traces part."""
    from rainhitch.rehearsal.virtual.trace import TraceError, first_difference

    try:
        found = first_difference(one, other)
    except TraceError as problem:
        return bad(str(problem))
    if found is None:
        print("the same")
        return 0
    number, left, right = found
    print(f"line {number} differs:\n  {left or '(at its end)'}\n  {right or '(at its end)'}")
    return 1


def wrong(told: argparse.Namespace) -> str:
    """What is wrong with the options; "" for nothing."""
    if not told.virtual:
        return "--trace, --logs, --core and --chop go with --virtual"
    if told.router is not None:
        return "--router: a virtual day plays this installation's router only"
    for name, (least, most) in BOUNDS.items():
        value = getattr(told, name)
        if value is not None and not least <= value <= most:
            return f"--{name} {value:g}: allowed is a number from {least:g} to {most:g}"
    for file in [told.json, told.records, told.trace, told.logs]:
        if file is not None and not file.absolute().parent.is_dir():
            return f"{file}: its folder does not exist"
    return ""


def play_day(
    told: argparse.Namespace, progress: Callable[[Any], Any], show: Callable[[Json, Path | None], None]
) -> int:
    """Plays the day that the options name; gives the exit code."""
    from rainhitch.rehearsal import report, scenario
    from rainhitch.rehearsal.router_process import RehearsalError
    from rainhitch.rehearsal.virtual.loop import StuckError
    from rainhitch.rehearsal.virtual.runner import run_virtual_scenario

    if line := wrong(told):
        return bad(line)
    path = scenario.find(told.target[0])
    changes = {f"virtual.{name}": getattr(told, name) for name in BOUNDS} | {"fleet.routers": told.routers}
    day = scenario.read_scenario(path, {key: one for key, one in changes.items() if one is not None})
    tell, made = progress(day), []
    try:
        for _ in range(told.repeat):
            made.append(
                run_virtual_scenario(
                    day, path.stem, told.seed, tell, records=told.records, trace=told.trace, logs=told.logs
                )
            )
    except (RehearsalError, StuckError) as problem:
        return bad(str(problem))
    except KeyboardInterrupt:
        print("rainhitch: interrupted", file=sys.stderr)
        return INTERRUPTED
    if sys.stderr.isatty():
        print("\r\x1b[K", end="", file=sys.stderr)
    if any(report.as_json(one) != report.as_json(made[0]) for one in made):
        print("rainhitch: two plays of this day differ; --trace and `compare` tell where", file=sys.stderr)
        return 1
    show(made[0], told.json)
    return int(made[0]["exit"])
