"""`rainhitch rehearse --virtual`: a scenario in virtual time, and the comparison of two of its traces."""

from pathlib import Path
from typing import TYPE_CHECKING, Any

from rainhitch.cli.errors import InputError
from rainhitch.cli.exit_codes import FAILURE, INTERRUPTED, SUCCESS
from rainhitch.cli.output import print_error
from rainhitch.cli.rehearse_arguments import RehearseArguments
from rainhitch.cli.rehearse_output import erase_progress, progress_callback, show_report

if TYPE_CHECKING:
    from rainhitch.rehearsal.scenario import Scenario

Json = dict[str, Any]


def compare_traces(first: Path, second: Path) -> int:
    """Prints the first line at which two traces differ; returns FAILURE where they do."""
    from rainhitch.rehearsal.virtual.trace import TraceError, first_difference

    try:
        difference = first_difference(first, second)
    except TraceError as problem:
        raise InputError(str(problem)) from None
    if difference is None:
        print("the same")
        return SUCCESS
    number, left, right = difference
    print(f"line {number} differs:\n  {left or '(at its end)'}\n  {right or '(at its end)'}")
    return FAILURE


def run_scenario_in_virtual_time(arguments: RehearseArguments) -> int:
    """Runs the scenario as often as wanted, and shows its report; returns the report's exit code.

    FAILURE where two runs differ.
    """
    from rainhitch.rehearsal import report
    from rainhitch.rehearsal.errors import RehearsalError
    from rainhitch.rehearsal.virtual.loop import StuckError
    from rainhitch.rehearsal.virtual.runner import run_virtual_scenario

    name, day = _read_scenario(arguments)
    show_progress = progress_callback(day)
    reports: list[Json] = []
    try:
        for _ in range(arguments.repeat_count):
            reports.append(
                run_virtual_scenario(
                    day,
                    name,
                    arguments.seed,
                    show_progress,
                    records_folder=arguments.records_folder,
                    trace=arguments.virtual.trace_file,
                    logs=arguments.virtual.logs_folder,
                )
            )
    except (RehearsalError, StuckError) as problem:
        raise InputError(str(problem)) from None
    except KeyboardInterrupt:
        print_error("interrupted")
        return INTERRUPTED
    erase_progress()
    if any(report.as_json(other) != report.as_json(reports[0]) for other in reports):
        print_error("two plays of this day differ; --trace and `compare` tell where")
        return FAILURE
    show_report(reports[0], arguments.report_file)
    return int(reports[0]["exit"])


def _read_scenario(arguments: RehearseArguments) -> "tuple[str, Scenario]":
    """Returns the scenario's name, and the scenario with what the options change of it."""
    from rainhitch.rehearsal import scenario

    path = scenario.find(arguments.targets[0])
    changes: dict[str, object] = {
        "virtual.core": arguments.virtual.core_slowdown_factor,
        "virtual.chop": arguments.virtual.split_write_fraction,
        "fleet.routers": arguments.router_count,
    }
    given = {key: value for key, value in changes.items() if value is not None}
    return path.stem, scenario.read_scenario(path, given)
