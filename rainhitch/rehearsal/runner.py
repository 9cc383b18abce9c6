"""One rehearsal from a scenario to its report, several of them, and the proof of the judge."""

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from rainhitch.rehearsal import report
from rainhitch.rehearsal.environment import Environment, ProgressCallback, check_descriptors, check_ports
from rainhitch.rehearsal.plain_router import MODES
from rainhitch.rehearsal.plan import draw_plan
from rainhitch.rehearsal.scenario import Scenario, read_scenario

Json = dict[str, Any]
AT_ONCE = 3  # proofs side by side
TRIES = 3  # of a proof that the rig spoilt by being late


def rainhitch_command() -> list[str]:
    """The words that start this installation's router."""
    return [sys.executable, "-m", "rainhitch"]


def plain_router_command(mode: str = "good") -> list[str]:
    """The words that start the yardstick, or one that breaks a rule."""
    return [sys.executable, "-m", "rainhitch.rehearsal.plain_router", mode]


async def run_scenario(
    scenario: Scenario,
    name: str,
    seed: int,
    words: list[str],
    tell: ProgressCallback = lambda at, row: None,
    records: Path | None = None,
) -> Json:
    """Plays a day and gives its report; raises StageError for one that can't be played."""
    check_descriptors(scenario)
    check_ports(scenario)
    plan = draw_plan(scenario, name, seed)
    ledgers = await Environment(scenario, plan, words, tell).play()
    ledgers["plan_digest"] = plan.digest()
    told, rows = orjson.loads(orjson.dumps(scenario)), plan.rows()
    if records is not None:
        report.keep(records, name, told, rows, ledgers)
    return report.build(name, told, rows, ledgers)


def judged(mode: str, told: Json) -> str:
    """What is wrong with the judge's word on a router of this mode; "" for nothing."""
    found = {rule for rule, count in told["rules"].items() if count}
    wanted = {MODES[mode]} - {""}
    if found == wanted:
        return ""
    return f"found {', '.join(sorted(found)) or 'nothing'}, expected {', '.join(wanted) or 'nothing'}"


async def prove_checker(modes: list[str], say: Callable[[str, str, Json], None], seed: int = 1) -> int:
    """Plays each router of the list; `say` gets its mode, what is wrong, its report. Gives an exit code."""
    scenario = read_scenario(Path(__file__).with_name("prove.toml"))
    free = asyncio.Semaphore(AT_ONCE)
    codes = []

    async def one(mode: str) -> None:
        for _ in range(TRIES):
            async with free:
                told = await run_scenario(scenario, "prove", seed, plain_router_command(mode))
            if told["exit"] != report.VOID:
                break
        wrong = judged(mode, told)
        codes.append(report.VOID if told["exit"] == report.VOID else report.BROKEN if wrong else report.HELD)
        say(mode, wrong, told)

    await asyncio.gather(*(one(mode) for mode in modes))
    return max(codes, default=report.HELD)
