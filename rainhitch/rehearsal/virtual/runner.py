"""One rehearsal in virtual time, from a scenario to its report."""

from pathlib import Path
from typing import Any

import orjson

from rainhitch.rehearsal import report
from rainhitch.rehearsal.environment import ProgressCallback
from rainhitch.rehearsal.plan import draw_plan
from rainhitch.rehearsal.scenario import Scenario
from rainhitch.rehearsal.virtual.environment import run_day
from rainhitch.rehearsal.virtual.trace import Trace

Json = dict[str, Any]


def run_virtual_scenario(
    scenario: Scenario,
    name: str,
    seed: int,
    tell: ProgressCallback = lambda at, row: None,
    records: Path | None = None,
    trace: Path | None = None,
    logs: Path | None = None,
) -> Json:
    """Plays a day and gives its report, with `problems`: what callbacks ended with that should not have;
    the same bytes for the same arguments, wherever it is played. Raises as play_day does."""
    plan = draw_plan(scenario, name, seed)
    if trace is None:
        ledgers = run_day(scenario, plan, tell)
    else:
        with trace.open("w", encoding="utf-8") as file:
            watch = Trace(file, name, seed, plan.digest())
            ledgers = run_day(scenario, plan, tell, watch)
    if logs is not None:
        logs.mkdir(exist_ok=True)
        for router, lines in ledgers["logs"].items():
            (logs / f"{router.replace(':', '-')}.log").write_text("\n".join(lines) + "\n", encoding="utf-8")
    ledgers["plan_digest"] = plan.digest()
    told, rows = orjson.loads(orjson.dumps(scenario)), plan.rows()
    if records is not None:
        report.keep(records, name, told, rows, ledgers)
    made = report.build(name, told, rows, ledgers)
    made["problems"], made["work"] = ledgers["problems"], ledgers["work"]
    if made["problems"] and made["exit"] == report.HELD:
        made["exit"] = report.BROKEN
    made["unmet"] += [f"unhandled: {line}" for line in made["problems"]]
    return made
