"""Every shipped scenario over several seeds, rainhitch beside the kit's plain router, in one run.

    python -m benchmarks.rehearsals [--seeds 5] [--at-once 2] [--only NAME,NAME] [--json FILE]

Prints a table of means over the seeds: service, score, rules broken, and the plain router's. A day that the
rig made void is played again, at most three times, and counted.
"""

import argparse
import asyncio
import os
from pathlib import Path
from typing import Any

import orjson

from rainhitch.rehearsal import report, runner
from rainhitch.rehearsal.scenario import read_scenario, shipped

Json = dict[str, Any]
ROUTERS = {"rainhitch": runner.rainhitch_command(), "plain": runner.plain_router_command()}


async def one(name: str, seed: int, router: str, free: asyncio.Semaphore, voids: list[str]) -> Json:
    async with free:
        for _ in range(3):
            made = await runner.run_scenario(read_scenario(shipped()[name]), name, seed, ROUTERS[router])
            if made["exit"] != report.VOID:
                break
            voids.append(f"{name} {seed} {router}")
    row: Json = {
        key: made[key] for key in ("service", "score", "net_score", "rules", "unmet", "database_stops")
    }
    row |= {
        "scenario": name,
        "seed": seed,
        "router": router,
        "exit": made["exit"],
        "rig_late": made["rig_late"],
    }
    row["breaches"] = [
        f"{b['at_s']} {b['rule']} {b['request']} {b['node']} {b['what']}" for b in made["breaches"][:5]
    ]
    broken = {rule: count for rule, count in made["rules"].items() if count}
    print(f"{name} {seed} {router}: {made['service']:.4f} {made['score']:.4f} {broken or ''}", flush=True)
    return row


def table(rows: list[Json], names: list[str]) -> list[str]:
    lines = [
        "| scenario | service | score | least score | rules broken | stops "
        "| plain: service | score | rules broken |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for name in names:
        cells = [name]
        for router in ROUTERS:
            mine = [row for row in rows if row["scenario"] == name and row["router"] == router]
            broken = [f"{rule} {sum(row['rules'][rule] for row in mine)}" for rule in mine[0]["rules"]]
            told = ", ".join(one for one in broken if not one.endswith(" 0")) or "0"
            mean = [sum(row[key] for row in mine) / len(mine) for key in ("service", "score")]
            cells += [f"{mean[0]:.3f}", f"{mean[1]:.3f}"]
            if router == "rainhitch":
                cells.append(f"{min(row['score'] for row in mine):.3f}")
            cells.append(told)
            if router == "rainhitch":
                cells.append(str(sum(row["database_stops"] for row in mine)))
        lines.append("| " + " | ".join(cells) + " |")
    return lines


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--at-once", type=int, default=2)
    parser.add_argument("--only", default="")
    parser.add_argument("--json", type=Path)
    told = parser.parse_args()
    names = told.only.split(",") if told.only else list(shipped())
    free = asyncio.Semaphore(told.at_once)
    voids: list[str] = []
    seeds = range(1, told.seeds + 1)
    days = [(name, seed, router) for name in names for seed in seeds for router in ROUTERS]
    rows = await asyncio.gather(*(one(*day, free, voids) for day in days))
    machine = f"{os.cpu_count()} cores, {told.at_once} days at once"
    print(f"\n{machine}, {told.seeds} seeds, {len(voids)} void plays\n")
    print("\n".join(table(list(rows), names)))
    if told.json:
        told.json.write_bytes(orjson.dumps(rows, option=orjson.OPT_INDENT_2))


if __name__ == "__main__":
    asyncio.run(main())
