"""What being many costs, in virtual time: the same load and servers behind 3 to 300 routers.

    python -m benchmarks.fleet [--routers 3,12,30,60] [--days calm,over,cut] [--lost 0,1] [--seeds 5]
    [--apart]

calm   sixty servers with capacity to spare, and connection tables smaller than the number of routers
over   the same with half as much load again as they can do
cut    calm, and a room is cut off from the others for most of the day
wide   72 full and 48 small servers, 1,200 requests a second, 40,000 keys: thin uneven traffic
slow   the same, and the database is four times slower for four seconds

`--apart` cuts words between two halves of the routers all day.

Printed for each, with `lost` of the words between routers: service as the operators count it (mean, least and
most over the seeds), and by try: refused within a customer's share, and connects that failed.
"""

import argparse
import statistics
import tempfile
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from pathlib import Path

from rainhitch.rehearsal.faults import Fault
from rainhitch.rehearsal.scenario import Scenario, scenario_of
from rainhitch.rehearsal.virtual.runner import run_virtual_scenario
from rainhitch.telemetry.sums import RecordSum, sum_folder

Row = tuple[float, int, RecordSum]  # service, breaches of rules, what the routers wrote down


def day(routers: int, kind: str, lost: float = 0.0, length_s: float = 8.0) -> Scenario:
    """A day of a kind, with so many routers."""
    if kind in ("wide", "slow"):
        return wide(routers, kind, lost)
    cores = 1 if kind == "over" else 2
    cut = {"kind": "partition", "room": "taoyuan", "at_s": length_s / 8, "for_s": length_s * 3 / 4}
    return scenario_of(
        {
            "about": "many routers",
            "must": "no rule broken",
            "day": {"length_s": length_s, "prelude_s": 2.0},
            "fleet": {
                "routers": routers,
                "memory_keys": 80,
                "nodes": [
                    {
                        "name": "full-node",
                        "count": 36,
                        "cores": cores,
                        "table_per_core": 20,
                    },
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
            "messages": {"loss": lost},
            "faults": [cut] if kind == "cut" else [],
        },
        kind,
    )


def wide(routers: int, kind: str, lost: float) -> Scenario:
    """A larger fleet, at rest or with a slow database."""
    slow = {"kind": "database-slow", "at_s": 3.0, "for_s": 4.0, "factor": 4.0}
    return scenario_of(
        {
            "about": "a wide fleet",
            "must": "no rule broken",
            "day": {"length_s": 14.0},
            "fleet": {
                "routers": routers,
                "nodes": [
                    {"name": "full-node", "count": 72, "cores": 3},
                    {"name": "small-node", "count": 48, "cores": 2, "speed": [0.51, 0.69]},
                ],
            },
            "database": {"workers": 60},
            "traffic": {"rate": 1200.0, "quota_rps": 700.0, "keys": 40000},
            "messages": {"loss": lost},
            "faults": [slow] if kind == "slow" else [],
        },
        kind,
    )


def played(
    routers: int, kind: str, lost: float, seed: int, length_s: float = 8.0, apart: bool = False
) -> Row:
    told = day(routers, kind, lost, length_s)
    if apart:
        half = list(range(routers // 2))
        told.faults.append(Fault("routers-apart", 0.0, told.day.length_s + 60, group=half))
    with tempfile.TemporaryDirectory() as folder:
        made = run_virtual_scenario(told, kind, seed, logs=Path(folder))
        return made["service"], sum(made["rules"].values()), sum_folder(Path(folder)).whole


def in_share(whole: RecordSum) -> int:
    """Tries refused though they were within their customer's share."""
    ended = whole.counts["ended"].items()
    return sum(many for how, many in ended if how.startswith("refused:") and how[-1] != "+")


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--routers", default="3,12,30,60")
    parser.add_argument("--days", default="calm,over,cut")
    parser.add_argument("--lost", default="0,1")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--apart", action="store_true", help="two halves hear nothing of each other")
    told = parser.parse_args()
    sizes, losses = map(int, told.routers.split(",")), map(float, told.lost.split(","))
    cases = list(product(told.days.split(","), losses, sizes))
    print(
        "| day | words lost | routers | service | least, most | refused in share | failed connects | rules |"
    )
    print(f"| {' | '.join(['---'] * 8)} |")
    with ProcessPoolExecutor(told.jobs) as pool:
        runs = {
            case: [
                pool.submit(played, case[2], case[0], case[1], told.first + seed, apart=told.apart)
                for seed in range(told.seeds)
            ]
            for case in cases
        }
        for (kind, lost, routers), futures in runs.items():
            rows = [one.result() for one in futures]
            service = [one[0] for one in rows]
            taken = sum(one[2].taken for one in rows)
            refused = sum(in_share(one[2]) for one in rows) / taken
            failed = sum(one[2].counts["tried"]["connect_failed"] for one in rows) / taken
            print(
                f"| {kind} | {lost:g} | {routers} | {statistics.mean(service):.3f} "
                f"| {min(service):.3f}, {max(service):.3f} | {refused:.4f} | {failed:.4f} "
                f"| {sum(one[1] for one in rows)} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
