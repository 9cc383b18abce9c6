"""What grows with the fleet, in virtual time: the same work a router, with 9, 50, 150 and 500 cache servers.

    python -m benchmarks.scale [--nodes 9,50,150,500] [--routers 6]

Printed for each size, from routers that run the code in service on the virtual network:

a request   us of this machine's CPU in a router's callbacks, for each request it took
a decision  us in the decision module, for each event
list        ms to take up the whole list, and us for one change of it
memory      KiB that a router's decisions and pools hold after the day, for each server
open        connections that a server holds, all routers together, mean over the day
"""

import argparse
import asyncio
import time
import tracemalloc
from typing import Any

from rainhitch import interface as api
from rainhitch.policy.balancer import Balancer
from rainhitch.rehearsal.plan import draw_plan
from rainhitch.rehearsal.scenario import Scenario, scenario_of
from rainhitch.rehearsal.virtual.environment import run_day
from rainhitch.rehearsal.virtual.loop import VirtualLoop
from rainhitch.rehearsal.virtual.process import CURRENT_PROCESS

Json = dict[str, Any]
SECOND = 1_000_000_000


def scenario(nodes: int, routers: int) -> Scenario:
    """A day on which each router has the same work whatever the size; the fleet is as busy as usual."""
    return scenario_of(
        {
            "about": "a fleet of one size",
            "must": "no rule broken",
            "day": {"length_s": 6.0, "prelude_s": 1.0},
            "traffic": {"rate": 100.0 * routers, "quota_rps": 1000.0 * routers, "keys": 2000},
            "fleet": {
                "routers": routers,
                "memory_keys": max(2, 2000 // nodes),
                "nodes": [{"name": "full-node", "count": nodes, "cores": 28}],
            },
            "database": {"workers": 200},
            "faults": [{"kind": "node-drain", "node": "neihu-1", "at_s": 2.0, "for_s": 1.0, "away_s": 1.0}],
        },
        "scale",
    )


class Meter:
    """Real CPU in routers' callbacks and in decisions."""

    def __init__(self) -> None:
        self.callbacks = self.decisions = self.events = 0
        self.largest = 0  # members in a list taken up, and what it took
        self.list_ns = self.change_ns = self.changes = 0
        self.run, self.handle = VirtualLoop._run_callback, Balancer.handle

    def __enter__(self) -> "Meter":
        meter, run, handle = self, self.run, self.handle

        def timed_run(loop: VirtualLoop, callback: asyncio.Handle) -> None:
            begun = time.thread_time_ns()
            run(loop, callback)
            if callback._context.get(CURRENT_PROCESS) is not None:  # type: ignore[attr-defined]
                meter.callbacks += time.thread_time_ns() - begun

        def timed_handle(balancer: Balancer, now: int, event: api.Event) -> list[api.Action]:
            begun = time.thread_time_ns()
            made = handle(balancer, now, event)
            took = time.thread_time_ns() - begun
            if isinstance(event, api.EndpointUpdate):
                meter.note(len(event.entries), took)
            else:
                meter.decisions += took
                meter.events += 1
            return made

        VirtualLoop._run_callback = timed_run  # type: ignore[method-assign,assignment]
        Balancer.handle = timed_handle  # type: ignore[method-assign,assignment]
        return self

    def note(self, entries: int, took: int) -> None:
        if entries > 2:
            self.largest, self.list_ns = entries, max(self.list_ns, took)
        else:
            self.change_ns += took
            self.changes += 1

    def __exit__(self, *told: object) -> None:
        VirtualLoop._run_callback, Balancer.handle = self.run, self.handle  # type: ignore[method-assign]


def held(nodes: int) -> float:
    """KiB of a router's decisions for each server on its list."""
    settings = api.Settings([api.RequestClass(SECOND, 2 * SECOND)])
    tracemalloc.start()
    balancer = Balancer(settings, 1)
    before = tracemalloc.get_traced_memory()[0]
    balancer.handle(
        SECOND,
        api.EndpointUpdate(api.EndpointUpdateKind.FULL, [api.Endpoint(f"s-{n:04}") for n in range(nodes)]),
    )
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / 1024 / nodes


def row(nodes: int, routers: int) -> str:
    day = scenario(nodes, routers)
    plan = draw_plan(day, "scale", 1)
    begun = time.monotonic()
    with Meter() as meter:
        ledgers = run_day(day, plan)
    took = time.monotonic() - begun
    rows = [
        one
        for name, part in ledgers["parts"].items()
        if name[0] == "c" and "sent" in part
        for one in part["sent"]
    ]
    served = sum(one["kind"] == "served" for one in rows) / len(rows)
    counts = [
        count
        for n, part in ledgers["parts"].items()
        if "nodes" in part
        for one in part["nodes"]
        for _, count in one["tables"][-1:]
    ]
    cells = [
        str(nodes),
        f"{meter.callbacks / 1000 / len(rows):.0f}",
        f"{meter.decisions / 1000 / max(1, meter.events):.1f}",
        f"{meter.list_ns / 1e6:.2f}",
        f"{meter.change_ns / 1000 / max(1, meter.changes):.0f}",
        f"{held(nodes):.2f}",
        f"{sum(counts) / nodes:.1f}",
        f"{served:.3f}",
        f"{(day.day.length_s + day.day.prelude_s) / took:.2f}",
    ]
    return f"| {' | '.join(cells)} |"


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--nodes", default="9,50,150,500")
    parser.add_argument("--routers", type=int, default=6)
    told = parser.parse_args()
    columns = "a request, us | a decision, us | list, ms | a change, us | KiB a server | open | served"
    print(f"| nodes | {columns} | virtual s a s |")
    print(f"| {' | '.join(['---'] * 9)} |")
    for nodes in map(int, told.nodes.split(",")):
        print(row(nodes, told.routers), flush=True)


if __name__ == "__main__":
    main()
