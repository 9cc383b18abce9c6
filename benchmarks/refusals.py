"""What a request costs a router that serves it, and one that rejects it; and what an idle connection costs.

    python -m benchmarks refusals [--requests 20000] [--rounds 5] [--idle 10000]

One router process, one cache node of the kit, 4 connections; served and rejected rounds take turns.
Rejected is what meets a list with no ready server: the whole way through sockets and decisions, as for any
rejection. CPU is the router process's own, user and system. Then so many clients connect, send PING and
stay.
"""

import argparse
import asyncio
import os
import statistics
import sys
import tempfile
from collections import Counter
from pathlib import Path

from benchmarks.rig import (
    RunningRouter,
    endpoint_row,
    parser_for,
    process_cpu_s,
    raise_descriptor_limit,
    read_answer,
    read_command,
    start_router,
)
from rainhitch.rehearsal.fakes.cache_node import CacheNode
from rainhitch.rehearsal.fakes.cache_node_work import CacheNodeSpec
from rainhitch.rehearsal.fakes.discovery import DiscoveryAgent
from rainhitch.rehearsal.ports import hold_port
from rainhitch.rehearsal.router_process import resident_memory
from rainhitch.rehearsal.router_settings import router_settings
from rainhitch.rehearsal.scenario import Scenario, read_scenario, shipped

CONNECTIONS = 4
KEYS = 64
UNBOUNDED_PER_S = 1e9  # quota: nothing is beyond it
SPARE_SOCKETS = 1024
SERVED = "served"
REFUSED = "refused"
STATES = {SERVED: "Ready", REFUSED: "Terminating"}  # of the one server on the list
ANSWER_BEGINS = {SERVED: b"$", REFUSED: b"-"}
SETTLE_S = {SERVED: 1.5, REFUSED: 0.3}  # from a change of the list until the router heeds it
IDLE_S = 5.0


async def ask(port: int, count: int, label: str, customers: list[str]) -> Counter[bytes]:
    """Sends so many requests over the connections, one at a time on each; counts answers by first byte."""
    answers: Counter[bytes] = Counter()

    async def ask_on_one(connection: int) -> None:
        """Sends one connection's part of them."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for turn in range(count // CONNECTIONS):
            number = turn * CONNECTIONS + connection
            customer = customers[number % len(customers)]
            writer.write(read_command(f"key{number % KEYS}", f"{label}{number}", customer))
            answers[(await read_answer(reader))[:1]] += 1
        writer.close()

    await asyncio.gather(*(ask_on_one(connection) for connection in range(CONNECTIONS)))
    return answers


async def measure_requests(
    router: RunningRouter, port: int, agent: DiscoveryAgent, scenario: Scenario, options: argparse.Namespace
) -> None:
    """Prints the CPU time of a served and of a rejected request."""
    customers = [one.name for one in scenario.customers]
    entry = agent.whole_list()["targets"][0]
    costs_us: dict[str, list[float]] = {SERVED: [], REFUSED: []}
    for number in range(options.rounds + 1):
        for kind, state in STATES.items():
            agent.push({**entry, "state": state})
            await asyncio.sleep(SETTLE_S[kind])
            before_s = process_cpu_s(router.pid)
            answers = await ask(port, options.requests, f"{kind}{number}.", customers)
            if set(answers) != {ANSWER_BEGINS[kind]}:
                print(f"round {number}, {kind}: answers {dict(answers)}")
            if number:  # the first warms up
                used_s = process_cpu_s(router.pid) - before_s
                costs_us[kind].append(used_s / answers.total() * 1e6)
    served_us = statistics.median(costs_us[SERVED])
    refused_us = statistics.median(costs_us[REFUSED])
    print(
        f"CPU a request, median of {options.rounds}: served {served_us:.0f} us, refused {refused_us:.0f} us, "
        f"ratio {refused_us / served_us:.2f}; a core refuses {1e6 / refused_us:,.0f} a second"
    )


async def measure_idle(router: RunningRouter, port: int, count: int) -> None:
    """Prints the memory and the CPU time that idle connections take."""
    before_bytes = resident_memory(router.pid)
    writers = []
    for _ in range(count):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        await reader.readline()
        writers.append(writer)  # kept, so that it stays open
    each_kib = (resident_memory(router.pid) - before_bytes) / count / 1024
    before_s = process_cpu_s(router.pid)
    await asyncio.sleep(IDLE_S)
    cores = (process_cpu_s(router.pid) - before_s) / IDLE_S
    print(f"{count} idle connections: {each_kib:.1f} KiB each; {cores:.1%} of a core while they idle")


async def measure(options: argparse.Namespace) -> None:
    """Runs and prints both measurements."""
    descriptors = raise_descriptor_limit()
    scenario = read_scenario(shipped()["quiet"])
    scenario.traffic.quota_rps = UNBOUNDED_PER_S
    spec = CacheNodeSpec(cores=256, slots=10_000, connection_limit=10_000, memory_keys=KEYS)
    node = CacheNode("n0", spec, 1, lambda id: 100.0)
    for number in range(KEYS):
        node.store(f"key{number}")
    agent = DiscoveryAgent(0, [endpoint_row(scenario, "n0", node.endpoints[0], STATES[SERVED])])
    held = hold_port()
    port = held.getsockname()[1]
    sockets = min(descriptors, 4 * options.idle + SPARE_SOCKETS)
    config = {
        "name": "r0",
        "listen": f"127.0.0.1:{port}",
        "discovery": agent.endpoint,
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": sockets},
        "known": agent.whole_list(),
        "settings": router_settings(scenario, 0),
    }
    with tempfile.TemporaryDirectory() as folder:
        router = await start_router(Path(folder), config)
        await measure_requests(router, port, agent, scenario, options)
        await measure_idle(router, port, options.idle)
        await router.stop()
    print(f"{os.cpu_count()} cores, {descriptors} descriptors allowed")


def main(arguments: list[str]) -> int:
    """Runs the benchmark; gives the exit code."""
    parser = parser_for(__doc__)
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--idle", type=int, default=10_000)
    asyncio.run(measure(parser.parse_args(arguments)))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
