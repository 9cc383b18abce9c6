"""How soon a drain is heeded: through etcd's watch, and through pushed discovery with its lag; at what cost.

    python -m benchmarks.membership [--drains 500] [--members 10000]

One router process and 20 nodes of the kit under load. Nodes are drained and restored in turn; every tenth
time the watch is dropped, every 25th the history is compacted under it, every 40th all answers are late by
100 ms. Counted at the nodes: the first byte of anything new, against the commit. Then the list grows, and
changes a thousand times a second.
"""

import argparse
import asyncio
import os
import resource
import statistics
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

import orjson

from benchmarks.refusals import command, cpu
from rainhitch.rehearsal.fakes.cache_node import CacheNode
from rainhitch.rehearsal.fakes.cache_node_work import CacheNodeSpec
from rainhitch.rehearsal.fakes.discovery import DiscoveryAgent
from rainhitch.rehearsal.fakes.etcd_cluster import EtcdCluster
from rainhitch.rehearsal.router_process import hold_port, resident_memory
from rainhitch.rehearsal.router_settings import router_settings
from rainhitch.rehearsal.scenario import read_scenario, shipped

Json = dict[str, Any]
NODES, CONNECTIONS, PACE = 20, 8, 0.02  # s between two requests of a connection
PREFIX = b"/rainhitch/members/"


class Fleet:
    """A router, its nodes, and clients that ask without end."""

    def __init__(self, folder: Path, etcd: EtcdCluster | None) -> None:
        self.folder, self.etcd, self.held = folder, etcd, hold_port()
        self.port = self.held.getsockname()[1]
        self.day = read_scenario(shipped()["quiet"])
        self.day.fleet.warm_s, self.day.traffic.quota_rps = 0.1, 1e9
        spec = CacheNodeSpec(
            cores=64,
            slots=10_000,
            connection_limit=10_000,
            memory_keys=10_000,
            warm_up_s=0.1,
            cold_capacity_fraction=1.0,
        )
        self.nodes = {f"n{n}": CacheNode(f"n{n}", spec, 1, lambda id: 100.0) for n in range(NODES)}
        self.keys = [f"key{n}" for n in range(400)]
        for node in self.nodes.values():
            for key in self.keys:
                node.store(key)
        self.agent = DiscoveryAgent(0, [self.entry(uid, "Ready") for uid in self.nodes])
        self.asked, self.waits = 0, list[float]()
        self.asking = True

    def entry(self, uid: str, state: str) -> Json:
        node = self.nodes.get(uid)
        endpoint = node.endpoints[0] if node is not None else "127.0.0.1:1"
        kind = {"az": self.day.fleet.rooms[0], "model": self.day.fleet.nodes[0].name, "pod_group": 0}
        return {
            "uid": uid,
            "endpoint": endpoint,
            **kind,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    async def start(self) -> None:
        config = {
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.agent.endpoint,
            "seed": "1",
            "limits": {"memory_mb": 2048, "sockets": 4096},
            "known": self.agent.whole_list(),
            "settings": router_settings(self.day, 0),
        }
        path, operator = self.folder / "config.json", self.folder / "operator.toml"
        path.write_bytes(orjson.dumps(config))
        table = ""
        if self.etcd is not None:
            table = (
                f'[membership]\nsource = "etcd"\nendpoints = {orjson.dumps(self.etcd.endpoints).decode()}\n'
            )
            for uid in self.nodes:
                self.etcd.store.put(PREFIX + uid.encode(), orjson.dumps(self.entry(uid, "Ready")))
        operator.write_text(table)
        env = {**os.environ, "BALANCER_CONFIG": str(path), "RAINHITCH_OPERATOR": str(operator)}
        self.router = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "rainhitch", env=env, stderr=asyncio.subprocess.PIPE
        )
        assert self.router.stderr is not None
        while b"listening" not in await self.router.stderr.readline():
            pass
        self.silent = asyncio.create_task(self.router.stderr.read())
        self.clients = [asyncio.create_task(self.ask(n)) for n in range(CONNECTIONS)]
        await asyncio.sleep(1.0)

    async def ask(self, number: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        customer, random = self.day.customers[0].name, Random(number)
        while self.asking:
            self.asked += 1
            begun = time.monotonic()
            writer.write(command(random.choice(self.keys), f"{number}.{self.asked}", customer))
            line = await reader.readline()
            if line[:1] == b"$":
                await reader.readexactly(int(line[1:]) + 2)
            self.waits.append(time.monotonic() - begun)
            await asyncio.sleep(PACE)
        writer.close()

    def last_byte(self, uid: str, since: int) -> int:
        """When the first byte of the last new request came to a node after an instant; 0 for never."""
        return max((row.first for row in self.nodes[uid].attempts if row.first > since), default=0)

    async def stop(self) -> None:
        self.asking = False
        await asyncio.gather(*self.clients)
        self.router.terminate()
        await self.router.wait()
        await self.silent
        for node in self.nodes.values():
            node.close()

    def p99(self) -> float:
        """Of the answers since the last call, ms."""
        waits, self.waits = sorted(self.waits), []
        return waits[int(0.99 * (len(waits) - 1))] * 1000


def shown(times: list[float]) -> str:
    p99 = sorted(times)[int(0.99 * (len(times) - 1))]
    return f"median {statistics.median(times):.1f} ms, p99 {p99:.1f}, most {max(times):.1f}"


async def drains(fleet: Fleet, count: int, lag: tuple[float, float]) -> tuple[list[float], int]:
    """Drains and restores; gives the ms from each commit to the last new byte, and how many took over 1 s."""
    random, times = Random(1), []
    for number in range(count):
        uid = f"n{number % NODES}"
        etcd = fleet.etcd
        if etcd is not None:
            etcd.delay_s = 0.1 if number % 40 == 39 else 0.0
            if number % 25 == 24:
                etcd.store.compact(etcd.store.revision)
            if number % 10 == 9:
                etcd.drop()
        committed = time.monotonic_ns()
        if etcd is not None:
            etcd.store.put(PREFIX + uid.encode(), orjson.dumps(fleet.entry(uid, "Terminating")))
            await asyncio.sleep(0.6)
        else:
            await asyncio.sleep(random.uniform(*lag))
            fleet.agent.push(fleet.entry(uid, "Terminating"))
            await asyncio.sleep(0.4)
        last = fleet.last_byte(uid, committed)
        times.append(max(0, last - committed) / 1e6)
        if etcd is not None:
            etcd.store.put(PREFIX + uid.encode(), orjson.dumps(fleet.entry(uid, "Ready")))
        else:
            fleet.agent.push(fleet.entry(uid, "Ready"))
        for node in fleet.nodes.values():
            node.attempts.clear()
        await asyncio.sleep(0.25)
    return times, sum(one > 1000 for one in times)


async def growth(fleet: Fleet, etcd: EtcdCluster, members: int) -> None:
    """Takes up many members, then a thousand changes a second."""
    fleet.p99()
    await asyncio.sleep(3.0)
    calm, before = fleet.p99(), resident_memory(fleet.router.pid)
    rows = [
        (PREFIX + b"m%d" % n, orjson.dumps(fleet.entry(f"m{n}", "Terminating")), 0) for n in range(members)
    ]
    used, begun = cpu(fleet.router.pid), time.monotonic()
    etcd.store.commit(rows)
    await asyncio.sleep(0.2)
    while cpu(fleet.router.pid) - used > 0.25 * (time.monotonic() - begun) and time.monotonic() - begun < 60:
        used, begun = cpu(fleet.router.pid), time.monotonic()
        await asyncio.sleep(0.5)
    whole, took = resident_memory(fleet.router.pid) - before, fleet.p99()
    random, until, count = Random(2), time.monotonic() + 10, 0
    used, begun = cpu(fleet.router.pid), time.monotonic()
    while time.monotonic() < until:
        for _ in range(10):
            uid = f"m{random.randrange(members)}"
            row = fleet.entry(uid, "Terminating") | {"pod_group": count}
            etcd.store.put(PREFIX + uid.encode(), orjson.dumps(row))
            count += 1
        await asyncio.sleep(max(0.0, begun + count / 1000 - time.monotonic()))
    spent = (cpu(fleet.router.pid) - used) / (time.monotonic() - begun)
    pace = count / (time.monotonic() - begun)
    print(f"{members} members: {whole / 1024 / members:.2f} KiB each; ", end="")
    print(f"requests' p99 {calm:.1f} ms before, {took:.1f} ms while they came in one commit, ", end="")
    print(f"{fleet.p99():.1f} ms under {pace:.0f} changes a second ({spent:.0%} of a core)")


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--drains", type=int, default=500)
    parser.add_argument("--members", type=int, default=10_000)
    told = parser.parse_args()
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    lag = read_scenario(shipped()["quiet"]).discovery.drain_s
    for name in ("discovery", "etcd"):
        with tempfile.TemporaryDirectory() as folder:
            etcd = EtcdCluster() if name == "etcd" else None
            if etcd is not None:
                await etcd.start()
            fleet = Fleet(Path(folder), etcd)
            await fleet.start()
            print(f"{name}: resident {resident_memory(fleet.router.pid) / 2**20:.1f} MB", flush=True)
            count = told.drains if etcd is not None else max(20, told.drains // 5)
            times, over = await drains(fleet, count, lag)
            print(
                f"{name}: {count} drains, commit to last new byte: {shown(times)}; {over} over 1 s",
                flush=True,
            )
            if etcd is not None:
                await growth(fleet, etcd, told.members)
            await fleet.stop()
            if etcd is not None:
                await etcd.close()
    print(f"{os.cpu_count()} cores; {NODES} nodes, {CONNECTIONS / PACE:.0f} requests a second at most")


if __name__ == "__main__":
    asyncio.run(main())
