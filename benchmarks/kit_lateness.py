"""How late the kit itself runs, how much one seed's service spreads, and what a calm day gives.

    python -m benchmarks.rig [--repeats 5]

Three measurements in one run: the rig's lateness at 480 and at 2,000 requests a second, the spread of
`service` over repeats of one seed of `lunch` and of `quiet`, and the plain router beside it.
"""

import argparse
import asyncio
import os
from dataclasses import replace
from typing import Any

from rainhitch.rehearsal import runner
from rainhitch.rehearsal.scenario import Scenario, read_scenario, shipped

Json = dict[str, Any]


def at_rate(rate: float, times: int) -> Scenario:
    """The calm fleet, so many times as large, at this rate."""
    day = read_scenario(shipped()["quiet"])
    nodes = [replace(one, count=one.count * times) for one in day.fleet.nodes]
    database = replace(day.database, workers=day.database.workers * times, queue=day.database.queue * times)
    traffic = replace(day.traffic, rate=rate, quota_rps=rate * 0.617)
    fleet = replace(day.fleet, nodes=nodes, routers=min(3 * times, 9))
    return replace(day, fleet=fleet, traffic=traffic, database=database, day=replace(day.day, length_s=12.0))


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--repeats", type=int, default=5)
    repeats = parser.parse_args().repeats
    print(f"{os.cpu_count()} cores; one day at a time\n")
    print("| requests/s | nodes | routers | arrivals late p99 | max | longest stall | stalled | service |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for rate, times in ((480.0, 2), (2000.0, 6)):
        day = at_rate(rate, times)
        made = await runner.run_scenario(day, "rig", 1, runner.rainhitch_command())
        late, size = made["rig_late"], sum(one.count for one in day.fleet.nodes)
        figures = (
            f"{late['arrivals_p99_ms']} ms | {late['arrivals_max_ms']} ms | {late['longest_stall_ms']} ms"
        )
        share = f"{late['stalled_share']:.2%} | {made['service']:.4f} {'void' if late['void'] else ''}"
        print(f"| {rate:g} | {size} | {day.fleet.routers} | {figures} | {share} |", flush=True)
    for name in ("lunch", "quiet"):
        day = read_scenario(shipped()[name])
        plain = await runner.run_scenario(day, name, 1, runner.plain_router_command())
        plays = [await runner.run_scenario(day, name, 1, runner.rainhitch_command()) for _ in range(repeats)]
        services = [float(one["service"]) for one in plays]
        shown = ", ".join(f"{one:.4f}" for one in services)
        spread = max(services) - min(services)
        told = f"{repeats} plays of seed 1: {shown}; spread {spread:.4f}; plain {plain['service']:.4f}"
        print(f"\n{name}, {told}", flush=True)


if __name__ == "__main__":
    asyncio.run(main())
