"""Every shipped scenario over several seeds, rainhitch beside the kit's plain router, in one run.

    python -m benchmarks rehearsals [--seeds 5] [--at-once 2] [--only NAME,NAME] [--json FILE]

Prints a table of means over the seeds: service, score, rules broken, and the plain router's. A run that the
kit's own lateness made void is repeated, at most three times, and counted.
"""

import argparse
import asyncio
import os
import sys
from pathlib import Path

import orjson

from benchmarks.rig import Json, comma_list, parser_for, print_row, print_table_header
from rainhitch.rehearsal import runner, verdict
from rainhitch.rehearsal.scenario import read_scenario, shipped

RAINHITCH = "rainhitch"
ROUTERS = {RAINHITCH: runner.rainhitch_command(), "plain": runner.plain_router_command()}
MAX_RUNS = 3  # of a scenario and seed that is void
MAX_BREACHES_KEPT = 5  # in a row of the JSON file
KEPT_FIGURES = ("service", "score", "net_score", "rules", "unmet", "database_stops")
COLUMNS = (
    "scenario",
    "service",
    "score",
    "least score",
    "rules broken",
    "stops",
    "plain: service",
    "score",
    "rules broken",
)


class Rehearsals:
    """All runs of the benchmark, so many at once."""

    def __init__(self, at_once: int) -> None:
        self.free = asyncio.Semaphore(at_once)
        self.void_runs = 0

    async def run(self, name: str, seed: int, router: str) -> Json:
        """One run, repeated while it is void; gives what is kept of it."""
        async with self.free:
            for _ in range(MAX_RUNS):
                scenario = read_scenario(shipped()[name])
                report_rows = await runner.run_scenario(scenario, name, seed, ROUTERS[router])
                if report_rows["exit"] != verdict.VOID:
                    break
                self.void_runs += 1
        broken = {rule: count for rule, count in report_rows["rules"].items() if count}
        print(
            f"{name} {seed} {router}: {report_rows['service']:.4f} {report_rows['score']:.4f} {broken or ''}",
            flush=True,
        )
        return {
            **{key: report_rows[key] for key in KEPT_FIGURES},
            "scenario": name,
            "seed": seed,
            "router": router,
            "exit": report_rows["exit"],
            "rig_late": report_rows["rig_late"],
            "breaches": [
                f"{one['at_s']} {one['rule']} {one['request']} {one['node']} {one['what']}"
                for one in report_rows["breaches"][:MAX_BREACHES_KEPT]
            ],
        }


def mean(rows: list[Json], key: str) -> str:
    """Of a figure over the rows."""
    return f"{sum(row[key] for row in rows) / len(rows):.3f}"


def broken_rules(rows: list[Json]) -> str:
    """How often each rule was broken; 0 for none."""
    counts = {rule: sum(row["rules"][rule] for row in rows) for rule in rows[0]["rules"]}
    return ", ".join(f"{rule} {count}" for rule, count in counts.items() if count) or "0"


def table_row(name: str, rows: list[Json]) -> list[str]:
    """The row of a scenario, from its runs over the seeds by both routers."""
    own = [row for row in rows if row["router"] == RAINHITCH]
    plain = [row for row in rows if row["router"] != RAINHITCH]
    return [
        name,
        mean(own, "service"),
        mean(own, "score"),
        f"{min(row['score'] for row in own):.3f}",
        broken_rules(own),
        str(sum(row["database_stops"] for row in own)),
        mean(plain, "service"),
        mean(plain, "score"),
        broken_rules(plain),
    ]


async def measure(options: argparse.Namespace) -> list[Json]:
    """Runs all and prints the table; gives the rows."""
    names = comma_list(options.only) or list(shipped())
    seeds = range(1, options.seeds + 1)
    rehearsals = Rehearsals(options.at_once)
    runs = [(name, seed, router) for name in names for seed in seeds for router in ROUTERS]
    rows = list(await asyncio.gather(*(rehearsals.run(*run) for run in runs)))
    machine = f"{os.cpu_count()} cores, {options.at_once} days at once"
    print(f"\n{machine}, {options.seeds} seeds, {rehearsals.void_runs} void plays\n")
    print_table_header(COLUMNS)
    for name in names:
        print_row(table_row(name, [row for row in rows if row["scenario"] == name]))
    return rows


def main(arguments: list[str]) -> int:
    """Runs the benchmark; gives the exit code."""
    parser = parser_for(__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--at-once", type=int, default=2)
    parser.add_argument("--only", default="")
    parser.add_argument("--json", type=Path)
    options = parser.parse_args(arguments)
    rows = asyncio.run(measure(options))
    if options.json:
        options.json.write_bytes(orjson.dumps(rows, option=orjson.OPT_INDENT_2))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
