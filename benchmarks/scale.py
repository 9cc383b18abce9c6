"""What grows with the fleet, in virtual time: the same work a router, with 9, 50, 150 and 500 cache servers.

    python -m benchmarks scale [--nodes 9,50,150,500] [--routers 6]

Printed for each size, from routers that run the code in service on the virtual network:

a request   us of this machine's CPU in a router's callbacks, for each request it took
a decision  us in the decision module, for each event
list        ms to take up the whole list, and us for one change of it
memory      KiB that a router's decisions hold for each server on the list
open        connections that a server holds, all routers together, at the end of the run
"""

import asyncio
import sys
import time
import tracemalloc

from benchmarks.rig import NS_PER_S, Json, comma_list, parser_for, print_row, print_table_header
from rainhitch import interface as api
from rainhitch.policy.balancer import Balancer
from rainhitch.rehearsal.plan import draw_plan
from rainhitch.rehearsal.scenario import Scenario, scenario_of
from rainhitch.rehearsal.virtual.environment import run_in_virtual_time
from rainhitch.rehearsal.virtual.loop import VirtualLoop
from rainhitch.rehearsal.virtual.process import CURRENT_PROCESS

KEYS = 2000
MAX_ENTRIES_OF_A_CHANGE = 2  # in an update of the endpoint list; one with more is a whole list
COLUMNS = (
    "nodes",
    "a request, us",
    "a decision, us",
    "list, ms",
    "a change, us",
    "KiB a server",
    "open",
    "served",
    "virtual s a s",
)


def make_scenario(nodes: int, routers: int) -> Scenario:
    """A run in which each router has the same work whatever the size; the fleet is as busy as usual."""
    return scenario_of(
        {
            "about": "a fleet of one size",
            "must": "no rule broken",
            "day": {"length_s": 6.0, "prelude_s": 1.0},
            "traffic": {"rate": 100.0 * routers, "quota_rps": 1000.0 * routers, "keys": KEYS},
            "fleet": {
                "routers": routers,
                "memory_keys": max(2, KEYS // nodes),
                "nodes": [{"name": "full-node", "count": nodes, "cores": 28}],
            },
            "database": {"workers": 200},
            "faults": [{"kind": "node-drain", "node": "neihu-1", "at_s": 2.0, "for_s": 1.0, "away_s": 1.0}],
        },
        "scale",
    )


class CpuMeter:
    """Real CPU time in routers' callbacks and in their decisions, while it is entered."""

    def __init__(self) -> None:
        self.callbacks_ns = 0
        self.decisions_ns = 0  # on events other than updates of the endpoint list
        self.decision_count = 0
        self.largest_list_ns = 0  # the slowest update with a whole list
        self.changes_ns = 0  # updates with one change of the list
        self.change_count = 0
        self._run_callback = VirtualLoop._run_callback
        self._handle = Balancer.handle

    def __enter__(self) -> "CpuMeter":
        meter = self
        run_callback = self._run_callback
        handle = self._handle

        def run_timed(loop: VirtualLoop, callback: asyncio.Handle) -> None:
            """In the place of VirtualLoop._run_callback."""
            begun_ns = time.thread_time_ns()
            run_callback(loop, callback)
            if callback._context.get(CURRENT_PROCESS) is not None:  # type: ignore[attr-defined]
                meter.callbacks_ns += time.thread_time_ns() - begun_ns

        def handle_timed(balancer: Balancer, now: int, event: api.Event) -> list[api.Action]:
            """In the place of Balancer.handle."""
            begun_ns = time.thread_time_ns()
            actions = handle(balancer, now, event)
            meter.add_decision(event, time.thread_time_ns() - begun_ns)
            return actions

        VirtualLoop._run_callback = run_timed  # type: ignore[method-assign,assignment]
        Balancer.handle = handle_timed  # type: ignore[method-assign,assignment]
        return self

    def add_decision(self, event: api.Event, took_ns: int) -> None:
        """Counts what the decisions took for an event."""
        if not isinstance(event, api.EndpointUpdate):
            self.decisions_ns += took_ns
            self.decision_count += 1
        elif len(event.entries) > MAX_ENTRIES_OF_A_CHANGE:
            self.largest_list_ns = max(self.largest_list_ns, took_ns)
        else:
            self.changes_ns += took_ns
            self.change_count += 1

    def __exit__(self, *exception: object) -> None:
        VirtualLoop._run_callback = self._run_callback  # type: ignore[method-assign]
        Balancer.handle = self._handle  # type: ignore[method-assign]


def kib_per_server(nodes: int) -> float:
    """Memory of a router's decisions for each server on its list, in KiB."""
    settings = api.Settings([api.RequestClass(NS_PER_S, 2 * NS_PER_S)])
    tracemalloc.start()
    balancer = Balancer(settings, 1)
    before_bytes, _ = tracemalloc.get_traced_memory()
    endpoints = [api.Endpoint(f"s-{number:04}") for number in range(nodes)]
    balancer.handle(NS_PER_S, api.EndpointUpdate(api.EndpointUpdateKind.FULL, endpoints))
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after_bytes - before_bytes) / 1024 / nodes


def served_fraction(sent: list[Json]) -> float:
    """Of the clients' requests."""
    served: int = sum(row["kind"] == "served" for row in sent)
    return served / len(sent)


def open_connections(records: Json) -> int:
    """Connections that all servers together held last."""
    nodes = [node for part in records["parts"].values() for node in part.get("nodes", [])]
    return sum(count for node in nodes for _, count in node["tables"][-1:])


def measure(nodes: int, routers: int) -> list[str]:
    """The row of a fleet's size, from one run."""
    scenario = make_scenario(nodes, routers)
    plan = draw_plan(scenario, "scale", 1)
    begun_s = time.monotonic()
    with CpuMeter() as meter:
        records = run_in_virtual_time(scenario, plan)
    took_s = time.monotonic() - begun_s
    clients = [part for role, part in records["parts"].items() if role.startswith("clients")]
    sent = [row for part in clients for row in part["sent"]]
    return [
        str(nodes),
        f"{meter.callbacks_ns / 1000 / len(sent):.0f}",
        f"{meter.decisions_ns / 1000 / max(1, meter.decision_count):.1f}",
        f"{meter.largest_list_ns / 1e6:.2f}",
        f"{meter.changes_ns / 1000 / max(1, meter.change_count):.0f}",
        f"{kib_per_server(nodes):.2f}",
        f"{open_connections(records) / nodes:.1f}",
        f"{served_fraction(sent):.3f}",
        f"{(scenario.day.length_s + scenario.day.prelude_s) / took_s:.2f}",
    ]


def main(arguments: list[str]) -> int:
    """Runs the benchmark; gives the exit code."""
    parser = parser_for(__doc__)
    parser.add_argument("--nodes", default="9,50,150,500")
    parser.add_argument("--routers", type=int, default=6)
    options = parser.parse_args(arguments)
    print_table_header(COLUMNS)
    for nodes in map(int, comma_list(options.nodes)):
        print_row(measure(nodes, options.routers))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
