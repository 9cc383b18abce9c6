"""One rehearsal in virtual time, from a scenario to its report."""

from pathlib import Path
from typing import Any

import orjson

from rainhitch.rehearsal import report, verdict
from rainhitch.rehearsal.environment import ProgressCallback
from rainhitch.rehearsal.plan import draw_plan
from rainhitch.rehearsal.run_records import write_records
from rainhitch.rehearsal.scenario import Scenario
from rainhitch.rehearsal.virtual.environment import run_in_virtual_time
from rainhitch.rehearsal.virtual.trace import TraceWriter

Json = dict[str, Any]


def run_virtual_scenario(
    scenario: Scenario,
    name: str,
    seed: int,
    on_progress: ProgressCallback = lambda at_s, row: None,
    *,
    records_folder: Path | None = None,
    trace: Path | None = None,
    logs: Path | None = None,
) -> Json:
    """Runs a scenario and gives its report: the same bytes for the same arguments, wherever it is run.

    The report's `problems` are exceptions that callbacks ended with and should not have.

    The run's records go to `records_folder`, its trace to the file `trace`, the routers' logs to the
    folder `logs`. Raises as `run_in_virtual_time` does, and OSError for a file that can't be written.
    """
    plan = draw_plan(scenario, name, seed)
    if trace is None:
        run_records = run_in_virtual_time(scenario, plan, on_progress)
    else:
        with trace.open("w", encoding="utf-8") as file:
            run_records = run_in_virtual_time(
                scenario, plan, on_progress, observer=TraceWriter(file, name, seed, plan.digest())
            )
    if logs is not None:
        _write_logs(logs, run_records["logs"])
    run_records["plan_digest"] = plan.digest()
    scenario_row = orjson.loads(orjson.dumps(scenario))
    plan_rows = plan.rows()
    if records_folder is not None:
        write_records(records_folder, name, scenario_row, plan_rows, run_records)
    made = report.build(name, scenario_row, plan_rows, run_records)
    made["problems"] = run_records["problems"]
    made["work"] = run_records["work"]
    if made["problems"] and made["exit"] == verdict.HELD:
        made["exit"] = verdict.BROKEN
    made["unmet"] += [f"unhandled: {line}" for line in made["problems"]]
    return made


def _write_logs(folder: Path, lines_by_router: dict[str, list[str]]) -> None:
    folder.mkdir(exist_ok=True)
    for router, lines in lines_by_router.items():
        (folder / f"{router.replace(':', '-')}.log").write_text("\n".join(lines) + "\n", encoding="utf-8")
