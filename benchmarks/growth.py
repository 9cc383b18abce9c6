"""Load on the database while cache servers join and leave: paced, at once, and with an earlier router.

    python -m benchmarks growth [--seeds 5] [--before DIR] [--only NAME,NAME] [--json FILE] [--virtual]

Runs each scenario once for each seed and router. DIR is a checkout of an earlier state, whose router is run
too. With --virtual, scenarios are run in virtual time, as many at once as there are cores. Prints means over
the seeds, the worst in brackets:

steady     requests a second at the database before anything changes
most       in any second from the first change on, as a multiple of steady
over       seconds of the run in which it was over twice the steady rate
hits       fraction of the reads that a cache answered, from the first change on
at new     reads at the nodes that joined, as a fraction of all
moved      seconds from the first change until half the reads of the nodes that joined are hits
falls      nodes that were overloaded until they fell
"""

import asyncio
import os
import sys
import tempfile
from collections import Counter, defaultdict
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

import orjson

from benchmarks.rig import (
    Json,
    comma_list,
    evidence_of,
    parser_for,
    print_row,
    print_table_header,
    report_figures,
    router_commands,
    run_real,
)
from rainhitch.rehearsal import verdict
from rainhitch.rehearsal.checker.evidence import Evidence
from rainhitch.rehearsal.checker.records import SECOND
from rainhitch.rehearsal.plan import draw_plan
from rainhitch.rehearsal.scenario import read_scenario, shipped
from rainhitch.rehearsal.virtual.environment import run_in_virtual_time

SCENARIOS = (
    "grow-third",
    "shrink-third",
    "grow-while-cold",
    "leave-in-transition",
    "grow-while-database-slow",
)
PACED = "paced"
AT_ONCE = "at once"
AT_ONCE_OPERATOR = "[growth]\npaced = false\n"
WINDOWS_PER_S = 10  # windows of a second that begin in a second
OVERLOAD_FACTOR = 2  # of the steady rate
MIN_READS_PER_S = 5  # at new nodes, for the hits among them to say anything
MOVED_HIT_FRACTION = 0.5
COLUMNS = (
    "scenario",
    "router",
    "steady",
    "most",
    "over, s",
    "hits",
    "at new",
    "moved, s",
    "service",
    "falls",
    "rules broken",
    "void",
)


class Run(NamedTuple):
    """One run of the benchmark."""

    scenario: str
    router: str
    seed: int


def database_load(evidence: Evidence) -> Json:
    """The figures of the table from one run's records, but for those of the report."""
    faults = evidence.scenario["faults"]
    length_s = int(evidence.scenario["day"]["length_s"])
    first_s = min(one["at_s"] for one in faults)
    joined = {one["node"] for one in faults if one["kind"] == "node-join"}
    database_requests: Counter[int] = Counter()  # by tenth of a second
    reads = 0
    hits = 0
    hits_at_new: dict[int, list[bool]] = defaultdict(list)  # by second
    for attempts in evidence.attempts_by_id.values():
        for attempt in attempts:
            at_ns = attempt.last_byte_ns - evidence.zero_ns
            if at_ns < 0:
                continue
            if attempt.is_at_database:
                database_requests[at_ns * WINDOWS_PER_S // SECOND] += 1
            is_read = attempt.outcome in ("served", "miss") and not attempt.is_write
            if at_ns < first_s * SECOND or not is_read:
                continue
            is_hit = attempt.outcome == "served"
            if attempt.server in joined:
                hits_at_new[at_ns // SECOND].append(is_hit)
            if not attempt.is_at_database and attempt is attempts[0]:
                reads += 1
                hits += int(is_hit)
    moved_s = _moved_s(hits_at_new)
    return {
        **_request_rates(database_requests, first_s, length_s),
        "hits": hits / max(1, reads),
        "moved": None if moved_s is None else moved_s - first_s,
        "new_reads": sum(map(len, hits_at_new.values())) / max(1, reads),
        "falls": sum(len(node.overloads_ns) for node in evidence.nodes.values()),
    }


def _request_rates(requests: Counter[int], first_s: float, length_s: int) -> Json:
    """The rates at the database before and after the first change, from its requests by tenth of a second.

    The first second of the run is left out.
    """
    first_window = int(first_s * WINDOWS_PER_S)
    before = sum(requests[window] for window in range(WINDOWS_PER_S, first_window))
    steady_per_s = before / (first_s - 1)
    per_s = [
        sum(requests[window] for window in range(begin, begin + WINDOWS_PER_S))
        for begin in range(first_window, length_s * WINDOWS_PER_S)
    ]
    return {
        "steady": steady_per_s,
        "most": max(per_s) / steady_per_s,
        "over": sum(one > OVERLOAD_FACTOR * steady_per_s for one in per_s) / WINDOWS_PER_S,
    }


def _moved_s(hits_at_new: dict[int, list[bool]]) -> int | None:
    """The first second in which half the reads at new nodes were hits."""
    for second in sorted(hits_at_new):
        hits = hits_at_new[second]
        if len(hits) >= MIN_READS_PER_S and sum(hits) / len(hits) >= MOVED_HIT_FRACTION:
            return second
    return None


def run_row(run: Run, evidence: Evidence) -> Json:
    """What is kept of one run."""
    kept = report_figures(run.scenario, evidence)
    return {
        "router": run.router,
        "scenario": run.scenario,
        "seed": run.seed,
        **kept,
        **database_load(evidence),
    }


def run_virtual(run: Run) -> Json:
    """A run in virtual time, in a process of a pool."""
    scenario = read_scenario(shipped()[run.scenario])
    plan = draw_plan(scenario, run.scenario, run.seed)
    operator = AT_ONCE_OPERATOR if run.router == AT_ONCE else ""
    records = run_in_virtual_time(scenario, plan, operator_config=operator)
    return run_row(run, evidence_of(scenario, plan, records))


def format_mean(rows: list[Json], key: str, with_largest: bool = False) -> str:
    """The mean over the rows that have a figure, and the largest in brackets."""
    values = [row[key] for row in rows if row[key] is not None]
    if not values:
        return "-"
    mean = f"{sum(values) / len(values):.2f}"
    return f"{mean} ({max(values):.2f})" if with_largest else mean


def table_row(scenario: str, router: str, rows: list[Json]) -> list[str]:
    """The row of a scenario and router, from its runs over the seeds."""
    return [
        scenario,
        router,
        format_mean(rows, "steady"),
        format_mean(rows, "most", with_largest=True),
        format_mean(rows, "over", with_largest=True),
        *(format_mean(rows, key) for key in ("hits", "new_reads", "moved", "service", "falls")),
        str(sum(sum(row["rules"].values()) for row in rows)),
        str(sum(row["exit"] == verdict.VOID for row in rows)),
    ]


async def run_all(
    scenarios: list[str], routers: dict[str, list[str]], seeds: int, virtual_rows: list[Json] | None
) -> list[Json]:
    """Prints the table; gives all rows. Runs one after the other, or takes those in virtual time."""
    all_rows: list[Json] = []
    for scenario in scenarios:
        for router, command in routers.items():
            if virtual_rows is not None:
                rows = [one for one in virtual_rows if (one["scenario"], one["router"]) == (scenario, router)]
            else:
                rows = []
                for seed in range(1, seeds + 1):
                    evidence = await run_real(read_scenario(shipped()[scenario]), scenario, seed, command)
                    rows.append(run_row(Run(scenario, router, seed), evidence))
            all_rows += rows
            print_row(table_row(scenario, router, rows))
    return all_rows


def main(arguments: list[str]) -> int:
    """Runs the benchmark; gives the exit code."""
    parser = parser_for(__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--before", type=Path)
    parser.add_argument("--only", default="", help="scenarios, with commas between")
    parser.add_argument("--routers", default="", help="with commas between")
    parser.add_argument("--json", type=Path)
    parser.add_argument("--virtual", action="store_true")
    parser.add_argument("--jobs", type=int, help="processes at once in virtual time (all cores)")
    options = parser.parse_args(arguments)
    scenarios = comma_list(options.only) or list(SCENARIOS)
    virtual_rows: list[Json] | None = None
    if options.virtual:
        seeds = range(1, options.seeds + 1)
        runs = [
            Run(name, router, seed) for name in scenarios for router in (PACED, AT_ONCE) for seed in seeds
        ]
        with ProcessPoolExecutor(options.jobs) as pool:
            virtual_rows = list(pool.map(run_virtual, runs))
    with tempfile.TemporaryDirectory() as folder:
        routers = router_commands(Path(folder), PACED, AT_ONCE, AT_ONCE_OPERATOR, options.before)
        wanted = comma_list(options.routers) or list(routers)
        routers = {name: command for name, command in routers.items() if name in wanted}
        way = "virtual time" if options.virtual else "one day at a time"
        print(f"{os.cpu_count()} cores, {way}, {options.seeds} seeds\n")
        print_table_header(COLUMNS)
        rows = asyncio.run(run_all(scenarios, routers, options.seeds, virtual_rows))
    if options.json:
        options.json.write_bytes(orjson.dumps(rows, option=orjson.OPT_INDENT_2))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
