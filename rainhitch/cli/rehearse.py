"""`rainhitch rehearse`: plays scenarios, proves the judge, makes reports anew from records."""

import argparse
import asyncio
import contextlib
import shutil
import signal
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from rainhitch.cli import BAD_INPUT, INTERRUPTED, bad, virtual
from rainhitch.toml_schema import TableError

MOST_REAL = 64  # routers as processes: their datagrams take a socket for each pair of them
Json = dict[str, Any]


def fill(parser: argparse.ArgumentParser) -> None:
    parser.description = (
        "Plays a day on this machine: real router processes, stand-ins for the world around them, "
        "faults on cue, and a judge. "
        "Exit codes: 0 all held, 1 a rule was broken or an expectation failed, 2 bad input, 3 void."
    )
    parser.add_argument("target", nargs="*", metavar="NAME|FILE.toml|report DIR|compare TRACE TRACE")
    parser.add_argument("--list", action="store_true", help="the shipped scenarios")
    parser.add_argument("--prove", action="store_true", help="show that the judge sees each broken rule")
    parser.add_argument("--seed", type=int, default=1, help="what the day is drawn from (1)")
    parser.add_argument("--routers", type=int, help="how many routers, in place of the scenario's")
    parser.add_argument(
        "--router", metavar="COMMAND", help="what starts a router; `plain` is the kit's yardstick"
    )
    parser.add_argument("--json", metavar="FILE", type=Path, help="write the whole report there")
    parser.add_argument("--records", metavar="DIR", type=Path, help="keep the ledgers there")
    parser.add_argument(
        "--repeat", metavar="K", type=int, default=1, help="play it K times, and tell the spread"
    )
    virtual.fill(parser)


def run(told: argparse.Namespace) -> int:
    try:
        return _run(told)
    except TableError as problem:
        for line in problem.lines:
            print(f"rainhitch: {line}", file=sys.stderr)
        return BAD_INPUT
    except ModuleNotFoundError as problem:
        print(f"rainhitch: {problem.name} is missing: install rainhitch[rehearsal]", file=sys.stderr)
        return BAD_INPUT


def _run(told: argparse.Namespace) -> int:
    from rainhitch.rehearsal import scenario

    if told.list:
        for name, path in scenario.shipped().items():
            print(f"{name:28} {scenario.read_scenario(path).about}")
        return 0
    if told.prove:
        return _interruptible(_prove(told.seed))
    if told.target[:1] == ["report"] and len(told.target) == 2:
        return _report(told)
    if told.target[:1] == ["compare"] and len(told.target) == 3:
        return virtual.compare(*map(Path, told.target[1:]))
    if len(told.target) != 1:
        return bad("one scenario is wanted: NAME, FILE.toml, or `report DIR`; --list names the shipped ones")
    if told.repeat < 1:
        return bad(f"--repeat {told.repeat}: allowed is 1 or more")
    if told.virtual or virtual.asked(told):
        return virtual.play_day(told, _progress, _show)
    return _play(told)


def _report(told: argparse.Namespace) -> int:
    from rainhitch.rehearsal import report

    try:
        made = report.from_records(Path(told.target[1]))
    except report.RecordsError as problem:
        return bad(str(problem))
    _show(made, told.json)
    return int(made["exit"])


def _play(told: argparse.Namespace) -> int:
    from rainhitch.rehearsal import runner, scenario
    from rainhitch.rehearsal.router_process import RehearsalError, parse_command

    path = scenario.find(told.target[0])
    changes = {} if told.routers is None else {"fleet.routers": told.routers}
    day = scenario.read_scenario(path, changes)
    try:
        for file in [told.json, told.records]:
            if file is not None:
                _writable(file)
        if day.fleet.routers > MOST_REAL:
            many = f"fleet.routers = {day.fleet.routers}"
            raise RehearsalError(f"{many}: more than {MOST_REAL} play with --virtual")
        words = runner.rainhitch_command()
        if told.router is not None:
            words = runner.plain_router_command() if told.router == "plain" else parse_command(told.router)
        return _interruptible(_repeat(told, day, path.stem, words))
    except RehearsalError as problem:
        return bad(str(problem))


def _writable(file: Path) -> None:
    from rainhitch.rehearsal.router_process import RehearsalError

    if not file.absolute().parent.is_dir():
        raise RehearsalError(f"{file}: its folder does not exist")


def _interruptible(what: Coroutine[Any, Any, int]) -> int:
    """Runs it; Ctrl-C and SIGTERM end it in good order, with all that it started."""

    async def whole() -> int:
        task = asyncio.ensure_future(what)
        for one in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(one, task.cancel)
        with contextlib.suppress(asyncio.CancelledError):
            return await task
        print("rainhitch: interrupted; all that was started has ended", file=sys.stderr)
        return INTERRUPTED

    return asyncio.run(whole())


async def _repeat(told: argparse.Namespace, day: Any, name: str, words: list[str]) -> int:
    from rainhitch.rehearsal import report, runner

    made: list[Json] = []
    for number in range(told.repeat):
        records = told.records
        if records is not None and told.repeat > 1:
            records = records / str(number + 1)
        made.append(
            await runner.run_scenario(day, name, told.seed, words, _progress(day), records_folder=records)
        )
        if sys.stderr.isatty():
            print("\r\x1b[K", end="", file=sys.stderr)
        if told.repeat > 1:
            one = made[-1]
            print(f"{number + 1}: service {one['service']:.4f} score {one['score']:.4f} rules {one['rules']}")
    if told.repeat == 1:
        _show(made[0], told.json)
    else:
        services = [one["service"] for one in made]
        print(f"spread of service over {told.repeat} plays: {max(services) - min(services):.4f}")
        if told.json is not None:
            told.json.write_bytes(b"[" + b",".join(report.as_json(one) for one in made) + b"]\n")
    return max(int(one["exit"]) for one in made)


def _progress(day: Any) -> Any:
    """A line that tells how far the day is and what acts, on a terminal."""
    shown = sys.stderr.isatty()

    def tell(at: float, row: Json) -> None:
        if shown:
            acting = ", ".join(one.kind for one in day.faults if one.at_s <= at <= one.until_s)
            crashes = f"  crashed: {row['crashes']}" if row["crashes"] else ""
            when = f"{max(at, 0):4.1f} of {day.day.length_s:g} s" if at >= 0 else "prelude"
            print(f"\r\x1b[K{when}  {acting}{crashes}", end="", file=sys.stderr, flush=True)

    return tell


def _show(made: Json, file: Path | None) -> None:
    from rainhitch.rehearsal import report

    width = min(120, shutil.get_terminal_size((100, 24)).columns)
    print(report.as_text(made, width, sys.stdout.isatty()), end="")
    if file is not None:
        file.write_bytes(report.as_json(made))


async def _prove(seed: int) -> int:
    from rainhitch.rehearsal import runner
    from rainhitch.rehearsal.plain_router import MODES

    def say(mode: str, wrong: str, made: Json) -> None:
        seen = next((one["what"] for one in made["breaches"]), "no breach")
        late = " (void: the rig ran late)" if made["exit"] == 3 else ""
        print(f"{'WRONG' if wrong else 'ok':6}{mode:18}{wrong or seen}{late}", flush=True)

    code = await runner.prove_checker(list(MODES), say, seed)
    held = {
        0: "each is caught by its own rule, and no good one is accused",
        1: "the judge is wrong",
        3: "void",
    }
    print(held[code])
    return code
