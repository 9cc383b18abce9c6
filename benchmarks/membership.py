"""Time from a drain to its effect, through etcd's watch and through pushed discovery with its lag; its cost.

    python -m benchmarks membership [--drains 500] [--members 10000]

One router process and 20 nodes of the kit under load. Nodes are drained and restored in turn; every tenth
time the watch is dropped, every 25th the history is compacted under it, every 40th all answers are late by
100 ms. Counted at the nodes: the first byte of anything new, against the commit. Then the list grows, and
changes a thousand times a second.
"""

import argparse
import asyncio
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path
from random import Random

import orjson

from benchmarks.rig import (
    Json,
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
from rainhitch.rehearsal.fakes.etcd_cluster import EtcdCluster
from rainhitch.rehearsal.ports import hold_port
from rainhitch.rehearsal.router_process import resident_memory
from rainhitch.rehearsal.router_settings import router_settings
from rainhitch.rehearsal.scenario import read_scenario, shipped

NODES = 20
KEYS = 400
CONNECTIONS = 8
REQUEST_INTERVAL_S = 0.02  # on one connection
UNBOUNDED_PER_S = 1e9  # quota: nothing is beyond it
WARM_S = 0.1
NO_SERVER = "127.0.0.1:1"  # address of members that no node stands for
ETCD_PREFIX = b"/rainhitch/members/"
MS = 1e6  # in ns

DROP_EVERY = 10  # drains, the watch
COMPACT_EVERY = 25  # drains, the history
DELAY_EVERY = 40  # drains, all answers
DELAY_S = 0.1
SLOW_DRAIN_MS = 1000
ETCD_EFFECT_S = 0.6  # from a commit until its effect is looked at
DISCOVERY_EFFECT_S = 0.4
RESTORED_S = 0.25
MIN_DISCOVERY_DRAINS = 20

CALM_S = 3.0
CALM_CORES = 0.25  # below which the router has handled what came
MAX_WAIT_FOR_CALM_S = 60
CHANGES_S = 10
CHANGES_PER_S = 1000
CHANGES_PER_BURST = 10


class FleetUnderLoad:
    """A router, its nodes, and clients that send requests without end.

    Args:
        folder: for the router's files.
        etcd: that the endpoint list is in; None for discovery.
    """

    def __init__(self, folder: Path, etcd: EtcdCluster | None) -> None:
        self.folder = folder
        self.etcd = etcd
        self.held_port = hold_port()
        self.port = self.held_port.getsockname()[1]
        self.scenario = read_scenario(shipped()["quiet"])
        self.scenario.fleet.warm_s = WARM_S
        self.scenario.traffic.quota_rps = UNBOUNDED_PER_S
        spec = CacheNodeSpec(
            cores=64,
            slots=10_000,
            connection_limit=10_000,
            memory_keys=10_000,
            warm_up_s=WARM_S,
            cold_capacity_fraction=1.0,
        )
        names = [f"n{number}" for number in range(NODES)]
        self.nodes = {name: CacheNode(name, spec, 1, lambda id: 100.0) for name in names}
        self.keys = [f"key{number}" for number in range(KEYS)]
        for node in self.nodes.values():
            for key in self.keys:
                node.store(key)
        self.agent = DiscoveryAgent(0, [self.entry(name, "Ready") for name in names])
        self.requests = 0
        self.waits_s: list[float] = []  # of requests since the last `p99_ms`
        self.asking = True

    def entry(self, uid: str, state: str) -> Json:
        """An entry of the endpoint list."""
        node = self.nodes.get(uid)
        address = node.endpoints[0] if node is not None else NO_SERVER
        return endpoint_row(self.scenario, uid, address, state)

    def set_state(self, uid: str, state: str) -> None:
        """Writes a node's state to etcd, or pushes it by the discovery agent."""
        entry = self.entry(uid, state)
        if self.etcd is not None:
            self.etcd.store.put(ETCD_PREFIX + uid.encode(), orjson.dumps(entry))
        else:
            self.agent.push(entry)

    async def start(self) -> None:
        """Starts the router and the clients."""
        config = {
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.agent.endpoint,
            "seed": "1",
            "limits": {"memory_mb": 2048, "sockets": 4096},
            "known": self.agent.whole_list(),
            "settings": router_settings(self.scenario, 0),
        }
        operator = ""
        if self.etcd is not None:
            endpoints = orjson.dumps(self.etcd.endpoints).decode()
            operator = f'[membership]\nsource = "etcd"\nendpoints = {endpoints}\n'
            for uid in self.nodes:
                self.set_state(uid, "Ready")
        self.router = await start_router(self.folder, config, operator)
        self.clients = [asyncio.create_task(self.ask(number)) for number in range(CONNECTIONS)]
        await asyncio.sleep(1.0)

    async def ask(self, connection: int) -> None:
        """Sends requests on one connection, until the end."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        customer = self.scenario.customers[0].name
        random = Random(connection)
        while self.asking:
            self.requests += 1
            begun_s = time.monotonic()
            request_id = f"{connection}.{self.requests}"
            writer.write(read_command(random.choice(self.keys), request_id, customer))
            await read_answer(reader)
            self.waits_s.append(time.monotonic() - begun_s)
            await asyncio.sleep(REQUEST_INTERVAL_S)
        writer.close()

    def last_new_request_ns(self, uid: str, since_ns: int) -> int:
        """When the first byte of the last new request came to a node after an instant; 0 for never."""
        return max((row.first for row in self.nodes[uid].attempts if row.first > since_ns), default=0)

    def p99_ms(self) -> float:
        """Of the answers since the last call."""
        waits_s = sorted(self.waits_s)
        self.waits_s = []
        return p99(waits_s) * 1000

    async def stop(self) -> None:
        """Ends the clients, the router and the nodes."""
        self.asking = False
        await asyncio.gather(*self.clients)
        await self.router.stop()
        for node in self.nodes.values():
            node.close()


def p99(values: list[float]) -> float:
    """The 99th percentile."""
    return sorted(values)[int(0.99 * (len(values) - 1))]


async def measure_drains(fleet: FleetUnderLoad, count: int, lag_s: tuple[float, float]) -> list[float]:
    """Drains and restores nodes; gives the ms from each commit to the last new byte at the node."""
    random = Random(1)
    times_ms = []
    for number in range(count):
        uid = f"n{number % NODES}"
        if fleet.etcd is not None:
            disturb_etcd(fleet.etcd, number)
        committed_ns = time.monotonic_ns()
        if fleet.etcd is not None:
            fleet.set_state(uid, "Terminating")
            await asyncio.sleep(ETCD_EFFECT_S)
        else:
            await asyncio.sleep(random.uniform(*lag_s))
            fleet.set_state(uid, "Terminating")
            await asyncio.sleep(DISCOVERY_EFFECT_S)
        last_ns = fleet.last_new_request_ns(uid, committed_ns)
        times_ms.append(max(0, last_ns - committed_ns) / MS)
        fleet.set_state(uid, "Ready")
        for node in fleet.nodes.values():
            node.attempts.clear()
        await asyncio.sleep(RESTORED_S)
    return times_ms


def disturb_etcd(etcd: EtcdCluster, number: int) -> None:
    """What etcd does to the watch before a drain, by the drain's number."""
    etcd.delay_s = DELAY_S if number % DELAY_EVERY == DELAY_EVERY - 1 else 0.0
    if number % COMPACT_EVERY == COMPACT_EVERY - 1:
        etcd.store.compact(etcd.store.revision)
    if number % DROP_EVERY == DROP_EVERY - 1:
        etcd.drop()


async def measure_growth(fleet: FleetUnderLoad, etcd: EtcdCluster, members: int) -> None:
    """Commits many members at once, then a thousand changes a second; prints what that costs."""
    pid = fleet.router.pid
    fleet.p99_ms()
    await asyncio.sleep(CALM_S)
    calm_ms = fleet.p99_ms()
    before_bytes = resident_memory(pid)
    names = [f"m{number}" for number in range(members)]
    rows = [
        (ETCD_PREFIX + name.encode(), orjson.dumps(fleet.entry(name, "Terminating")), 0) for name in names
    ]
    used_s = process_cpu_s(pid)
    begun_s = time.monotonic()
    etcd.store.commit(rows)
    await asyncio.sleep(0.2)
    await wait_until_calm(pid, used_s, begun_s)
    member_kib = (resident_memory(pid) - before_bytes) / 1024 / members
    commit_ms = fleet.p99_ms()
    changes_per_s, cores = await change_members(fleet, etcd, names)
    print(
        f"{members} members: {member_kib:.2f} KiB each; requests' p99 {calm_ms:.1f} ms before, "
        f"{commit_ms:.1f} ms while they came in one commit, {fleet.p99_ms():.1f} ms under "
        f"{changes_per_s:.0f} changes a second ({cores:.0%} of a core)"
    )


async def wait_until_calm(pid: int, used_s: float, begun_s: float) -> None:
    """Waits until the router has handled what came, by its CPU time since an instant."""
    while True:
        elapsed_s = time.monotonic() - begun_s
        is_busy = process_cpu_s(pid) - used_s > CALM_CORES * elapsed_s
        if not is_busy or elapsed_s >= MAX_WAIT_FOR_CALM_S:
            return
        used_s = process_cpu_s(pid)
        begun_s = time.monotonic()
        await asyncio.sleep(0.5)


async def change_members(fleet: FleetUnderLoad, etcd: EtcdCluster, names: list[str]) -> tuple[float, float]:
    """Changes members for a while; gives the changes a second, and the router's cores in use."""
    random = Random(2)
    used_s = process_cpu_s(fleet.router.pid)
    begun_s = time.monotonic()
    count = 0
    while time.monotonic() < begun_s + CHANGES_S:
        for _ in range(CHANGES_PER_BURST):
            name = random.choice(names)
            row = fleet.entry(name, "Terminating") | {"pod_group": count}
            etcd.store.put(ETCD_PREFIX + name.encode(), orjson.dumps(row))
            count += 1
        await asyncio.sleep(max(0.0, begun_s + count / CHANGES_PER_S - time.monotonic()))
    elapsed_s = time.monotonic() - begun_s
    return count / elapsed_s, (process_cpu_s(fleet.router.pid) - used_s) / elapsed_s


async def measure_source(name: str, options: argparse.Namespace, folder: Path) -> None:
    """Runs and prints all measurements of one source of the endpoint list."""
    etcd = EtcdCluster() if name == "etcd" else None
    if etcd is not None:
        await etcd.start()
    fleet = FleetUnderLoad(folder, etcd)
    await fleet.start()
    print(f"{name}: resident {resident_memory(fleet.router.pid) / 2**20:.1f} MB", flush=True)
    count = options.drains if etcd is not None else max(MIN_DISCOVERY_DRAINS, options.drains // 5)
    times_ms = await measure_drains(fleet, count, fleet.scenario.discovery.drain_s)
    shown = f"median {statistics.median(times_ms):.1f} ms, p99 {p99(times_ms):.1f}, most {max(times_ms):.1f}"
    slow = sum(one > SLOW_DRAIN_MS for one in times_ms)
    print(f"{name}: {count} drains, commit to last new byte: {shown}; {slow} over 1 s", flush=True)
    if etcd is not None:
        await measure_growth(fleet, etcd, options.members)
    await fleet.stop()
    if etcd is not None:
        await etcd.close()


def main(arguments: list[str]) -> int:
    """Runs the benchmark; gives the exit code."""
    parser = parser_for(__doc__)
    parser.add_argument("--drains", type=int, default=500)
    parser.add_argument("--members", type=int, default=10_000)
    options = parser.parse_args(arguments)
    raise_descriptor_limit()
    for name in ("discovery", "etcd"):
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(measure_source(name, options, Path(folder)))
    requests_per_s = CONNECTIONS / REQUEST_INTERVAL_S
    print(f"{os.cpu_count()} cores; {NODES} nodes, {requests_per_s:.0f} requests a second at most")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
