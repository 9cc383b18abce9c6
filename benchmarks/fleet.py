"""What being many costs, in virtual time: the same load and servers behind 3 to 300 routers.

    python -m benchmarks fleet [--routers 3,12,30,60] [--days calm,over,cut] [--lost 0,1] [--seeds 5]
    [--apart]

calm   sixty servers with capacity to spare, and connection tables smaller than the number of routers
over   the same with half as much load again as they can do
cut    calm, and a zone is cut off from the others for most of the run
wide   72 full and 48 small servers, 1,200 requests a second, 40,000 keys: thin uneven traffic
slow   the same, and the database is four times slower for four seconds

`--apart` cuts datagrams between two halves of the routers for the whole run.

Printed for each, with `--lost` of the datagrams between routers: service as the operators count it (mean,
least and most over the seeds), and by request taken: rejected within a customer's quota, and connects that
failed.
"""

import statistics
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from pathlib import Path
from typing import NamedTuple

from benchmarks.rig import comma_list, parser_for, print_row, print_table_header
from rainhitch.rehearsal.faults import Fault
from rainhitch.rehearsal.scenario import Scenario, scenario_of
from rainhitch.rehearsal.virtual.runner import run_virtual_scenario
from rainhitch.telemetry.sums import RecordSum, sum_folder

LENGTH_S = 8.0
APART_AFTER_S = 60  # for which `--apart` lasts beyond the run's length


class RunResult(NamedTuple):
    """What is shown of one run."""

    service: float
    broken_rules: int
    records: RecordSum  # of all routers


class Case(NamedTuple):
    """A row of the table: a kind of run, the fraction of datagrams that are lost, how many routers."""

    kind: str
    loss: float
    routers: int


def make_scenario(case: Case, length_s: float) -> Scenario:
    """The scenario of a case; `wide` and `slow` have a length of their own."""
    if case.kind in ("wide", "slow"):
        return wide_scenario(case)
    cores = 1 if case.kind == "over" else 2
    cut = {"kind": "partition", "room": "taoyuan", "at_s": length_s / 8, "for_s": length_s * 3 / 4}
    return scenario_of(
        {
            "about": "many routers",
            "must": "no rule broken",
            "day": {"length_s": length_s, "prelude_s": 2.0},
            "fleet": {
                "routers": case.routers,
                "memory_keys": 80,
                "nodes": [
                    {"name": "full-node", "count": 36, "cores": cores, "table_per_core": 20},
                    {
                        "name": "small-node",
                        "count": 24,
                        "cores": 1,
                        "speed": [0.51, 0.69],
                        "table_per_core": 20,
                    },
                ],
            },
            "database": {"workers": 60, "queue": 400},
            "traffic": {"rate": 600.0, "quota_rps": 368.0, "keys": 10000},
            "messages": {"loss": case.loss},
            "faults": [cut] if case.kind == "cut" else [],
        },
        case.kind,
    )


def wide_scenario(case: Case) -> Scenario:
    """A larger fleet, at rest or with a slow database."""
    slow = {"kind": "database-slow", "at_s": 3.0, "for_s": 4.0, "factor": 4.0}
    return scenario_of(
        {
            "about": "a wide fleet",
            "must": "no rule broken",
            "day": {"length_s": 14.0},
            "fleet": {
                "routers": case.routers,
                "nodes": [
                    {"name": "full-node", "count": 72, "cores": 3},
                    {"name": "small-node", "count": 48, "cores": 2, "speed": [0.51, 0.69]},
                ],
            },
            "database": {"workers": 60},
            "traffic": {"rate": 1200.0, "quota_rps": 700.0, "keys": 40000},
            "messages": {"loss": case.loss},
            "faults": [slow] if case.kind == "slow" else [],
        },
        case.kind,
    )


def run_case(case: Case, seed: int, length_s: float = LENGTH_S, apart: bool = False) -> RunResult:
    """Runs a case in virtual time; with `apart`, two halves of the routers get no datagrams of each other."""
    scenario = make_scenario(case, length_s)
    if apart:
        half = list(range(case.routers // 2))
        apart_s = scenario.day.length_s + APART_AFTER_S
        scenario.faults.append(Fault("routers-apart", 0.0, apart_s, group=half))
    with tempfile.TemporaryDirectory() as folder:
        report_rows = run_virtual_scenario(scenario, case.kind, seed, logs=Path(folder))
        broken_rules = sum(report_rows["rules"].values())
        return RunResult(report_rows["service"], broken_rules, sum_folder(Path(folder)).whole)


def rejected_within_quota(records: RecordSum) -> int:
    """Requests that were rejected though they were within their customer's quota."""
    ended = records.counts["ended"].items()
    return sum(count for how, count in ended if how.startswith("refused:") and how[-1] != "+")


def case_row(case: Case, results: list[RunResult]) -> list[str]:
    """The row of a case, from its runs over the seeds."""
    services = [one.service for one in results]
    taken = sum(one.records.taken for one in results)
    rejected = sum(rejected_within_quota(one.records) for one in results) / taken
    failed = sum(one.records.counts["tried"]["connect_failed"] for one in results) / taken
    return [
        case.kind,
        f"{case.loss:g}",
        str(case.routers),
        f"{statistics.mean(services):.3f}",
        f"{min(services):.3f}, {max(services):.3f}",
        f"{rejected:.4f}",
        f"{failed:.4f}",
        str(sum(one.broken_rules for one in results)),
    ]


def main(arguments: list[str]) -> int:
    """Runs the benchmark; gives the exit code."""
    parser = parser_for(__doc__)
    parser.add_argument("--routers", default="3,12,30,60")
    parser.add_argument("--days", default="calm,over,cut")
    parser.add_argument("--lost", default="0,1")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--apart", action="store_true", help="two halves hear nothing of each other")
    options = parser.parse_args(arguments)
    losses = map(float, comma_list(options.lost))
    sizes = map(int, comma_list(options.routers))
    cases = [Case(*one) for one in product(comma_list(options.days), losses, sizes)]
    seeds = range(options.first, options.first + options.seeds)
    print_table_header(
        [
            "day",
            "words lost",
            "routers",
            "service",
            "least, most",
            "refused in share",
            "failed connects",
            "rules",
        ]
    )
    with ProcessPoolExecutor(options.jobs) as pool:
        futures = {
            case: [pool.submit(run_case, case, seed, apart=options.apart) for seed in seeds] for case in cases
        }
        for case in cases:
            print_row(case_row(case, [future.result() for future in futures[case]]))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
