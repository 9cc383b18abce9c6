"""Nodes that join and leave: what the order database is sent meanwhile, paced, at once, and as it was before.

    python -m benchmarks.growth [--seeds 5] [--before DIR] [--only NAME,NAME] [--json FILE] [--virtual]

Plays each scenario once for each seed and router. DIR is a checkout of an earlier state, whose router is
played too. With --virtual, days are played in virtual time, as many at once as there are cores. Prints means
over the seeds, the worst in brackets:

steady     requests a second at the database before anything changes
most       in any second from the first change on, as a multiple of steady
over       seconds of the day in which it was over twice the steady rate
hits       part of the reads that a cache answered, from the first change on
moved      seconds from the first change until half the reads of the nodes that joined, or took over, are hits
falls      nodes pushed over
"""

import argparse
import asyncio
import os
import sys
import tempfile
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import orjson

from rainhitch.rehearsal import report, runner
from rainhitch.rehearsal.checker.evidence import Evidence
from rainhitch.rehearsal.checker.records import SECOND
from rainhitch.rehearsal.environment import Environment
from rainhitch.rehearsal.plan import Plan, draw_plan
from rainhitch.rehearsal.scenario import Scenario, read_scenario, shipped
from rainhitch.rehearsal.virtual.environment import run_day

Json = dict[str, Any]
NAMES = ("grow-third", "shrink-third", "grow-while-cold", "leave-in-transition", "grow-while-database-slow")
STEP = 10  # windows of a second begin so many times a second


def figures(evidence: Evidence) -> Json:
    """What the table shows of one day."""
    faults, length = evidence.scenario["faults"], int(evidence.scenario["day"]["length_s"])
    first = min(one["at_s"] for one in faults)
    joined = {one["node"] for one in faults if one["kind"] == "node-join"}
    sent: Counter[int] = Counter()
    reads = hits = 0
    at_new: dict[int, list[bool]] = {}
    for sends in evidence.attempts_by_id.values():
        for send in sends:
            at = send.last_byte_ns - evidence.zero_ns
            if at < 0:
                continue
            if send.is_at_database:
                sent[at * STEP // SECOND] += 1
            if at >= first * SECOND and send.outcome in ("served", "miss") and not send.is_write:
                if send.server in joined:
                    at_new.setdefault(at // SECOND, []).append(send.outcome == "served")
                if not send.is_at_database:
                    reads += send is sends[0]
                    hits += send is sends[0] and send.outcome == "served"
    steady = sum(sent[n] for n in range(STEP, int(first * STEP))) / (first - 1)
    windows = [
        sum(sent[n] for n in range(begin, begin + STEP)) for begin in range(int(first * STEP), length * STEP)
    ]
    share = {second: sum(found) / len(found) for second, found in at_new.items() if len(found) > 4}
    half = next((second for second in sorted(share) if share[second] >= 0.5), None)
    return {
        "steady": steady,
        "most": max(windows) / steady,
        "over": sum(one > 2 * steady for one in windows) / STEP,
        "hits": hits / max(1, reads),
        "moved": None if half is None else half - first,
        "new_reads": sum(len(found) for found in at_new.values()) / max(1, reads),
        "falls": sum(len(node.overloads_ns) for node in evidence.nodes.values()),
    }


AT_ONCE = "[growth]\npaced = false\n"


def virtual_day(job: tuple[str, str, int]) -> Json:
    """A day in virtual time, in a process of a pool."""
    name, router, seed = job
    day = read_scenario(shipped()[name])
    plan = draw_plan(day, name, seed)
    ledgers = run_day(day, plan, operator=AT_ONCE if router == "at once" else "")
    return {"router": router, **row_of(day, plan, name, seed, ledgers)}


def virtual(names: list[str], seeds: int) -> list[Json]:
    jobs = [
        (n, router, seed) for n in names for router in ("paced", "at once") for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor() as pool:
        return list(pool.map(virtual_day, jobs))


async def one_day(day: Scenario, name: str, seed: int, words: list[str]) -> Json:
    plan = draw_plan(day, name, seed)
    ledgers = await Environment(day, plan, words, lambda at, row: None).play()
    return row_of(day, plan, name, seed, ledgers)


def row_of(day: Scenario, plan: Plan, name: str, seed: int, ledgers: Json) -> Json:
    ledgers["plan_digest"] = plan.digest()
    told, rows = orjson.loads(orjson.dumps(day)), plan.rows()
    made = report.build(name, told, rows, ledgers)
    kept = {key: made[key] for key in ("service", "rules", "exit", "database_stops", "rig_late")}
    return {"scenario": name, "seed": seed, **kept, **figures(Evidence(told, rows, ledgers))}


def cell(rows: list[Json], key: str, worst: bool = False) -> str:
    values = [row[key] for row in rows if row[key] is not None]
    if not values:
        return "-"
    mean = f"{sum(values) / len(values):.2f}"
    return f"{mean} ({max(values):.2f})" if worst else mean


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--before", type=Path)
    parser.add_argument("--only", default="", help="scenarios, with commas between")
    parser.add_argument("--routers", default="", help="with commas between")
    parser.add_argument("--json", type=Path)
    parser.add_argument("--virtual", action="store_true")
    told = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        at_once = Path(folder) / "operator.toml"
        at_once.write_text(AT_ONCE)
        routers = {"paced": runner.rainhitch_command()}
        routers["at once"] = ["env", f"RAINHITCH_OPERATOR={at_once}", *runner.rainhitch_command()]
        if told.before is not None:
            path = f"PYTHONPATH={told.before.resolve()}"
            routers["before"] = ["env", path, sys.executable, "-P", "-m", "rainhitch"]
        rows: list[Json] = []
        names = told.only.split(",") if told.only else list(NAMES)
        played = virtual(names, told.seeds) if told.virtual else []
        way = "virtual time" if told.virtual else "one day at a time"
        print(f"{os.cpu_count()} cores, {way}, {told.seeds} seeds\n")
        columns = "steady | most | over, s | hits | at new | moved, s | service | falls | rules broken | void"
        print(f"| scenario | router | {columns} |\n| {' | '.join(['---'] * 12)} |")
        for name in names:
            day = read_scenario(shipped()[name])
            for router, words in routers.items():
                if told.routers and router not in told.routers.split(","):
                    continue
                if told.virtual:
                    made = [one for one in played if (one["scenario"], one["router"]) == (name, router)]
                else:
                    made = [await one_day(day, name, seed, words) for seed in range(1, told.seeds + 1)]
                rows += [{"router": router, **one} for one in made]
                cells = [cell(made, "steady"), cell(made, "most", True), cell(made, "over", True)]
                cells += [cell(made, key) for key in ("hits", "new_reads", "moved", "service", "falls")]
                cells.append(str(sum(sum(one["rules"].values()) for one in made)))
                cells.append(str(sum(one["exit"] == report.VOID for one in made)))
                print(f"| {name} | {router} | {' | '.join(cells)} |", flush=True)
        if told.json:
            told.json.write_bytes(orjson.dumps(rows, option=orjson.OPT_INDENT_2))


if __name__ == "__main__":
    asyncio.run(main())
