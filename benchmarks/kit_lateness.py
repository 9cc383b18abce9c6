"""How late the kit itself runs, how much one seed's service spreads, and what a run without faults gives.

    python -m benchmarks kit_lateness [--repeats 5]

Three measurements in one run: the kit's lateness at 480 and at 2,000 requests a second, the spread of
`service` over repeats of one seed of `lunch` and of `quiet`, and the plain router beside it.
"""

import asyncio
import os
import sys
from dataclasses import replace

from benchmarks.rig import Json, parser_for, print_row, print_table_header
from rainhitch.rehearsal import runner
from rainhitch.rehearsal.scenario import Scenario, read_scenario, shipped

RATES_AND_SIZES = ((480.0, 2), (2000.0, 6))  # requests a second; the fleet, as a multiple of the usual one
QUOTA_FRACTION = 0.617  # of the rate, that customers together may send
LENGTH_S = 12.0
MAX_ROUTERS = 9
SPREAD_SCENARIOS = ("lunch", "quiet")


def scaled_scenario(rate_per_s: float, multiple: int) -> Scenario:
    """`quiet` with a larger fleet and database, at this rate."""
    quiet = read_scenario(shipped()["quiet"])
    nodes = [replace(one, count=one.count * multiple) for one in quiet.fleet.nodes]
    database = replace(
        quiet.database, workers=quiet.database.workers * multiple, queue=quiet.database.queue * multiple
    )
    traffic = replace(quiet.traffic, rate=rate_per_s, quota_rps=rate_per_s * QUOTA_FRACTION)
    fleet = replace(quiet.fleet, nodes=nodes, routers=min(3 * multiple, MAX_ROUTERS))
    day = replace(quiet.day, length_s=LENGTH_S)
    return replace(quiet, fleet=fleet, traffic=traffic, database=database, day=day)


def lateness_cells(rate_per_s: float, scenario: Scenario, report_rows: Json) -> list[str]:
    """A row of the table on lateness, from a run's report."""
    late = report_rows["rig_late"]
    return [
        f"{rate_per_s:g}",
        str(sum(one.count for one in scenario.fleet.nodes)),
        str(scenario.fleet.routers),
        f"{late['arrivals_p99_ms']} ms",
        f"{late['arrivals_max_ms']} ms",
        f"{late['longest_stall_ms']} ms",
        f"{late['stalled_share']:.2%}",
        f"{report_rows['service']:.4f} {'void' if late['void'] else ''}",
    ]


async def measure(repeats: int) -> None:
    """Runs and prints all three measurements."""
    print(f"{os.cpu_count()} cores; one day at a time\n")
    print_table_header(
        [
            "requests/s",
            "nodes",
            "routers",
            "arrivals late p99",
            "max",
            "longest stall",
            "stalled",
            "service",
        ]
    )
    for rate_per_s, multiple in RATES_AND_SIZES:
        scenario = scaled_scenario(rate_per_s, multiple)
        report_rows = await runner.run_scenario(scenario, "rig", 1, runner.rainhitch_command())
        print_row(lateness_cells(rate_per_s, scenario, report_rows))
    for name in SPREAD_SCENARIOS:
        scenario = read_scenario(shipped()[name])
        plain = await runner.run_scenario(scenario, name, 1, runner.plain_router_command())
        services = []
        for _ in range(repeats):
            report_rows = await runner.run_scenario(scenario, name, 1, runner.rainhitch_command())
            services.append(float(report_rows["service"]))
        shown = ", ".join(f"{one:.4f}" for one in services)
        spread = max(services) - min(services)
        begin = f"{name}, {repeats} plays of seed 1: {shown}; spread {spread:.4f}"
        print(f"\n{begin}; plain {plain['service']:.4f}", flush=True)


def main(arguments: list[str]) -> int:
    """Runs the benchmark; gives the exit code."""
    parser = parser_for(__doc__)
    parser.add_argument("--repeats", type=int, default=5)
    asyncio.run(measure(parser.parse_args(arguments).repeats))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
