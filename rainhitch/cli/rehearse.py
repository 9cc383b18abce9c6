"""`rainhitch rehearse`: runs scenarios, proves the checker, makes reports anew from records."""

import argparse
import asyncio
import contextlib
import signal
from collections.abc import Coroutine
from pathlib import Path
from typing import TYPE_CHECKING, Any

from rainhitch.cli.errors import InputError, requires_rehearsal_extra
from rainhitch.cli.exit_codes import INTERRUPTED, SUCCESS
from rainhitch.cli.output import print_error
from rainhitch.cli.rehearse_arguments import (
    RehearseArguments,
    RehearseMode,
    parse_arguments,
)
from rainhitch.cli.rehearse_arguments import add_arguments as add_arguments
from rainhitch.cli.rehearse_output import erase_progress, progress_callback, show_report
from rainhitch.cli.rehearse_virtual import compare_traces, run_scenario_in_virtual_time
from rainhitch.toml_schema import TableError

if TYPE_CHECKING:
    from rainhitch.rehearsal.scenario import Scenario

Json = dict[str, Any]

MAX_ROUTER_PROCESSES = 64
"""Their datagrams take a socket for each pair of them; more run in virtual time only."""

PLAIN_ROUTER = "plain"
"""Word for the kit's simple router, in place of a command that starts one."""


def run(namespace: argparse.Namespace) -> int:
    """Does what the arguments say; returns the report's exit code where a scenario is run."""
    try:
        with requires_rehearsal_extra():
            return _run(parse_arguments(namespace))
    except TableError as problem:
        raise InputError(*problem.lines) from None


def _run(arguments: RehearseArguments) -> int:
    match arguments.mode:
        case RehearseMode.LIST_SCENARIOS:
            return _list_scenarios()
        case RehearseMode.PROVE_CHECKER:
            return _run_interruptible(_prove_checker(arguments.seed))
        case RehearseMode.REPORT:
            return _report(Path(arguments.targets[0]), arguments.report_file)
        case RehearseMode.COMPARE_TRACES:
            return compare_traces(Path(arguments.targets[0]), Path(arguments.targets[1]))
        case RehearseMode.RUN_VIRTUAL:
            return run_scenario_in_virtual_time(arguments)
        case RehearseMode.RUN:
            return _run_scenario(arguments)


def _list_scenarios() -> int:
    from rainhitch.rehearsal import scenario

    for name, path in scenario.shipped().items():
        print(f"{name:28} {scenario.read_scenario(path).about}")
    return SUCCESS


def _report(records_folder: Path, report_file: Path | None) -> int:
    from rainhitch.rehearsal import run_records

    try:
        made = run_records.from_records(records_folder)
    except run_records.RecordsError as problem:
        raise InputError(str(problem)) from None
    show_report(made, report_file)
    return int(made["exit"])


def _run_scenario(arguments: RehearseArguments) -> int:
    from rainhitch.rehearsal import runner, scenario
    from rainhitch.rehearsal.errors import RehearsalError
    from rainhitch.rehearsal.router_process import parse_command

    path = scenario.find(arguments.targets[0])
    changes: dict[str, object] = {}
    if arguments.router_count is not None:
        changes["fleet.routers"] = arguments.router_count
    day = scenario.read_scenario(path, changes)
    for written in (arguments.report_file, arguments.records_folder):
        if written is not None and not written.absolute().parent.is_dir():
            raise InputError(f"{written}: its folder does not exist")
    if day.fleet.routers > MAX_ROUTER_PROCESSES:
        raise InputError(
            f"fleet.routers = {day.fleet.routers}: more than {MAX_ROUTER_PROCESSES} play with --virtual"
        )
    try:
        command = runner.rainhitch_command()
        if arguments.router_command == PLAIN_ROUTER:
            command = runner.plain_router_command()
        elif arguments.router_command is not None:
            command = parse_command(arguments.router_command)
        return _run_interruptible(_run_repeatedly(arguments, day, path.stem, command))
    except RehearsalError as problem:
        raise InputError(str(problem)) from None


def _run_interruptible(exit_code: Coroutine[Any, Any, int]) -> int:
    """Runs it; Ctrl-C and SIGTERM end it in good order, with all that it started."""

    async def run_until_signal() -> int:
        """Cancels it with the first signal."""
        task = asyncio.ensure_future(exit_code)
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        with contextlib.suppress(asyncio.CancelledError):
            return await task
        print_error("interrupted; all that was started has ended")
        return INTERRUPTED

    return asyncio.run(run_until_signal())


async def _run_repeatedly(
    arguments: RehearseArguments, day: "Scenario", name: str, command: list[str]
) -> int:
    from rainhitch.rehearsal import report, runner

    is_repeated = arguments.repeat_count > 1
    reports: list[Json] = []
    for number in range(1, arguments.repeat_count + 1):
        records_folder = arguments.records_folder
        if records_folder is not None and is_repeated:
            records_folder = records_folder / str(number)
        made = await runner.run_scenario(
            day, name, arguments.seed, command, progress_callback(day), records_folder=records_folder
        )
        reports.append(made)
        erase_progress()
        if is_repeated:
            print(f"{number}: service {made['service']:.4f} score {made['score']:.4f} rules {made['rules']}")
    if is_repeated:
        services = [made["service"] for made in reports]
        spread = max(services) - min(services)
        print(f"spread of service over {arguments.repeat_count} plays: {spread:.4f}")
        if arguments.report_file is not None:
            rows = b",".join(report.as_json(made) for made in reports)
            arguments.report_file.write_bytes(b"[" + rows + b"]\n")
    else:
        show_report(reports[0], arguments.report_file)
    return max(int(made["exit"]) for made in reports)


async def _prove_checker(seed: int) -> int:
    from rainhitch.rehearsal import runner, verdict
    from rainhitch.rehearsal.plain_router import MODES

    def print_mode(mode: str, wrong: str, made: Json) -> None:
        """Prints what the checker made of one faulty router; `wrong` says where it erred."""
        seen = next((breach["what"] for breach in made["breaches"]), "no breach")
        late = " (void: the rig ran late)" if made["exit"] == verdict.VOID else ""
        print(f"{'WRONG' if wrong else 'ok':6}{mode:18}{wrong or seen}{late}", flush=True)

    exit_code = await runner.prove_checker(list(MODES), print_mode, seed)
    summaries = {
        verdict.HELD: "each is caught by its own rule, and no good one is accused",
        verdict.BROKEN: "the judge is wrong",
        verdict.VOID: "void",
    }
    print(summaries[exit_code])
    return exit_code
