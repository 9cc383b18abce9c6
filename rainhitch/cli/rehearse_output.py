"""What `rainhitch rehearse` shows while a scenario runs, and of its report."""

import shutil
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

from rainhitch.cli.output import draw_progress, shows_progress

if TYPE_CHECKING:
    from rainhitch.rehearsal.scenario import Scenario

Json = dict[str, Any]

MAX_WIDTH = 120
DEFAULT_TERMINAL_SIZE = (100, 24)


def progress_callback(scenario: "Scenario") -> Callable[[float, Json], None]:
    """Returns what draws the progress on a terminal: the scenario's time, and the faults that are active.

    It is called with the seconds since the scenario's start, below 0 in its prelude, and a row of the run's
    state.
    """
    has_progress = shows_progress()

    def show(at_s: float, row: Json) -> None:
        """Draws one line."""
        if not has_progress:
            return
        active = ", ".join(fault.kind for fault in scenario.faults if fault.at_s <= at_s <= fault.until_s)
        crashes = f"  crashed: {row['crashes']}" if row["crashes"] else ""
        position = f"{max(at_s, 0):4.1f} of {scenario.day.length_s:g} s" if at_s >= 0 else "prelude"
        draw_progress(f"{position}  {active}{crashes}")

    return show


def erase_progress() -> None:
    """Erases the line of progress, where one is drawn."""
    if shows_progress():
        draw_progress("")


def show_report(report: Json, report_file: Path | None) -> None:
    """Prints a report as tables; writes the whole of it to the file, where one is given."""
    from rainhitch.rehearsal.report import as_json
    from rainhitch.rehearsal.report_text import as_text

    width = min(MAX_WIDTH, shutil.get_terminal_size(DEFAULT_TERMINAL_SIZE).columns)
    print(as_text(report, width, sys.stdout.isatty()), end="")
    if report_file is not None:
        report_file.write_bytes(as_json(report))
