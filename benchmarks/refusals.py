"""What a request costs a router that serves it, and one that refuses it; and what an idle connection costs.

    python -m benchmarks.refusals [--requests 20000] [--rounds 5] [--idle 10000]

One router process, one cache node of the kit, 4 connections; served and refused rounds take turns. Refused is
what meets a list with no ready server: the whole way through sockets and decisions, as for any refusal.
CPU is the router process's own, user and system. Then so many clients connect, say PING and stay.
"""

import argparse
import asyncio
import os
import resource
import statistics
import sys
import tempfile
from pathlib import Path

import orjson

from rainhitch.rehearsal.fakes.cache_node import CacheNode
from rainhitch.rehearsal.fakes.cache_node_work import CacheNodeSpec
from rainhitch.rehearsal.fakes.discovery import DiscoveryAgent
from rainhitch.rehearsal.router_process import hold_port, resident_memory
from rainhitch.rehearsal.router_settings import router_settings
from rainhitch.rehearsal.scenario import read_scenario, shipped

CONNECTIONS, KEYS = 4, 64
TICK = os.sysconf("SC_CLK_TCK")


def cpu(pid: int) -> float:
    """Seconds of CPU that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def command(key: str, name: str, customer: str) -> bytes:
    words = [b"C.GET", key.encode(), name.encode(), f"c=menu-read,t={customer},d=5000".encode()]
    return b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


async def ask(port: int, count: int, label: str, customers: list[str]) -> dict[bytes, int]:
    """So many requests over the connections, one at a time on each; what kinds of answer came."""
    kinds: dict[bytes, int] = {}

    async def one(number: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for n in range(count // CONNECTIONS):
            which = n * CONNECTIONS + number
            writer.write(command(f"key{which % KEYS}", f"{label}{which}", customers[which % len(customers)]))
            line = await reader.readline()
            if line[:1] == b"$":
                await reader.readexactly(int(line[1:]) + 2)
            kinds[line[:1]] = kinds.get(line[:1], 0) + 1
        writer.close()

    await asyncio.gather(*(one(number) for number in range(CONNECTIONS)))
    return kinds


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--idle", type=int, default=10_000)
    told = parser.parse_args()
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    day = read_scenario(shipped()["quiet"])
    customers = [one.name for one in day.customers]
    big = 10**9  # nothing is beyond a share
    day.traffic.quota_rps = float(big)
    node = CacheNode(
        "n0",
        CacheNodeSpec(cores=256, slots=10_000, connection_limit=10_000, memory_keys=KEYS),
        1,
        lambda id: 100.0,
    )
    for number in range(KEYS):
        node.store(f"key{number}")
    entry = {
        "uid": "n0",
        "endpoint": node.endpoints[0],
        "az": day.fleet.rooms[0],
        "model": day.fleet.nodes[0].name,
        "pod_group": 0,
        "state": "Ready",
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }
    agent, held = DiscoveryAgent(0, [entry]), hold_port()
    port = held.getsockname()[1]
    config = {
        "name": "r0",
        "listen": f"127.0.0.1:{port}",
        "discovery": agent.endpoint,
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": min(hard, 4 * told.idle + 1024)},
        "known": agent.whole_list(),
        "settings": router_settings(day, 0),
    }
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_bytes(orjson.dumps(config))
        router = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "rainhitch",
            env={**os.environ, "BALANCER_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        assert router.stderr is not None
        while b"listening" not in await router.stderr.readline():
            pass
        silent = asyncio.create_task(router.stderr.read())
        costs: dict[str, list[float]] = {"served": [], "refused": []}
        for number in range(told.rounds + 1):
            for state, kind in (("Ready", "served"), ("Terminating", "refused")):
                agent.push({**entry, "state": state})
                await asyncio.sleep(1.5 if kind == "served" else 0.3)
                before = cpu(router.pid)
                kinds = await ask(port, told.requests, f"{kind}{number}.", customers)
                wanted = b"$" if kind == "served" else b"-"
                if set(kinds) != {wanted}:
                    print(f"round {number}, {kind}: answers {kinds}")
                if number:  # the first warms up
                    costs[kind].append((cpu(router.pid) - before) / sum(kinds.values()) * 1e6)
        served, refused = (statistics.median(costs[kind]) for kind in ("served", "refused"))
        print(
            f"CPU a request, median of {told.rounds}: served {served:.0f} us, refused {refused:.0f} us, ",
            end="",
        )
        print(f"ratio {refused / served:.2f}; a core refuses {1e6 / refused:,.0f} a second")
        before, lines = resident_memory(router.pid), []
        for _ in range(told.idle):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            await reader.readline()
            lines.append(writer)
        each = (resident_memory(router.pid) - before) / told.idle
        used = cpu(router.pid)
        await asyncio.sleep(5.0)
        print(f"{told.idle} idle connections: {each / 1024:.1f} KiB each; ", end="")
        print(f"{(cpu(router.pid) - used) / 5:.1%} of a core while they idle")
        router.terminate()
        await router.wait()
        await silent
    print(f"{os.cpu_count()} cores, {hard} descriptors allowed")


if __name__ == "__main__":
    asyncio.run(main())
