"""Runs a scenario from its plan to its report, and proves that the checker finds what broken routers do."""

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from rainhitch.rehearsal import report, verdict
from rainhitch.rehearsal.environment import Environment, ProgressCallback
from rainhitch.rehearsal.machine_checks import check_descriptors, check_ports
from rainhitch.rehearsal.plain_router import MODES
from rainhitch.rehearsal.plan import draw_plan
from rainhitch.rehearsal.run_records import write_records
from rainhitch.rehearsal.scenario import Scenario, read_scenario

Json = dict[str, Any]
MAX_PARALLEL_PROOFS = 3
MAX_TRIES = 3  # of a proof that is void since the kit itself ran late


def rainhitch_command() -> list[str]:
    """The command that starts this installation's router."""
    return [sys.executable, "-m", "rainhitch"]


def plain_router_command(mode: str = "good") -> list[str]:
    """The command that starts the plain router, good or broken in one way (see `plain_router.MODES`)."""
    return [sys.executable, "-m", "rainhitch.rehearsal.plain_router", mode]


async def run_scenario(
    scenario: Scenario,
    name: str,
    seed: int,
    command: list[str],
    on_progress: ProgressCallback = lambda at_s, row: None,
    *,
    records_folder: Path | None = None,
) -> Json:
    """Runs a scenario with routers that `command` starts; gives its report, and keeps its records if asked.

    Raises:
        RehearsalError: the scenario can't be run on this machine, or a process failed.
    """
    check_descriptors(scenario)
    check_ports(scenario)
    plan = draw_plan(scenario, name, seed)
    records = await Environment(scenario, plan, command, on_progress).play()
    records["plan_digest"] = plan.digest()
    scenario_rows = orjson.loads(orjson.dumps(scenario))
    plan_rows = plan.rows()
    if records_folder is not None:
        write_records(records_folder, name, scenario_rows, plan_rows, records)
    return report.build(name, scenario_rows, plan_rows, records)


def proof_problem(mode: str, report_rows: Json) -> str:
    """What is wrong with the report on a plain router of this mode; "" for nothing."""
    found = {rule for rule, count in report_rows["rules"].items() if count}
    expected = {MODES[mode]} - {""}
    if found == expected:
        return ""
    return f"found {', '.join(sorted(found)) or 'nothing'}, expected {', '.join(expected) or 'nothing'}"


async def prove_checker(modes: list[str], on_result: Callable[[str, str, Json], None], seed: int = 1) -> int:
    """Runs a plain router of each mode; gives an exit code.

    `on_result` is called with each mode, what is wrong with its report ("" for nothing), and the report.
    """
    scenario = read_scenario(Path(__file__).with_name("prove.toml"))
    slots = asyncio.Semaphore(MAX_PARALLEL_PROOFS)

    async def prove(mode: str) -> int:
        """Runs one mode until its report is not void, and gives its exit code."""
        for _ in range(MAX_TRIES):
            async with slots:
                report_rows = await run_scenario(scenario, "prove", seed, plain_router_command(mode))
            if report_rows["exit"] != verdict.VOID:
                break
        problem = proof_problem(mode, report_rows)
        on_result(mode, problem, report_rows)
        if report_rows["exit"] == verdict.VOID:
            return verdict.VOID
        return verdict.BROKEN if problem else verdict.HELD

    codes = await asyncio.gather(*(prove(mode) for mode in modes))
    return max(codes, default=verdict.HELD)
