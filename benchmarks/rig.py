"""What several benchmarks share: tables, router processes, runs of scenarios, and one router's decisions.

`python -m benchmarks.rig` runs `benchmarks.kit_lateness`, under whose earlier name pages name it.
"""

import argparse
import asyncio
import os
import resource
import statistics
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import orjson

from rainhitch import interface as api
from rainhitch.policy.balancer import Balancer
from rainhitch.rehearsal import report, runner
from rainhitch.rehearsal.checker.evidence import Evidence
from rainhitch.rehearsal.environment import Environment
from rainhitch.rehearsal.plan import Plan, draw_plan
from rainhitch.rehearsal.scenario import Scenario

Json = dict[str, Any]
NS_PER_S = 1_000_000_000
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")

# options and tables


def parser_for(module_doc: str | None) -> argparse.ArgumentParser:
    """A parser whose --help shows a benchmark's module docstring."""
    return argparse.ArgumentParser(
        description=module_doc, formatter_class=argparse.RawDescriptionHelpFormatter
    )


def comma_list(text: str) -> list[str]:
    """The parts of a text with commas between; none of an empty one."""
    return text.split(",") if text else []


def print_row(cells: Sequence[str]) -> None:
    """Prints one row of a Markdown table."""
    print(f"| {' | '.join(cells)} |", flush=True)


def print_table_header(columns: Sequence[str]) -> None:
    """Prints the first two rows of a Markdown table."""
    print_row(columns)
    print_row(["---"] * len(columns))


# one router process


def raise_descriptor_limit() -> int:
    """Raises this process's limit of descriptors as far as it may; gives the limit."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


def process_cpu_s(pid: int) -> float:
    """Seconds of CPU, user and system, that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


class RunningRouter:
    """A router process that listens."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        self.process = process
        self.pid = process.pid
        # Guards against a full pipe, in which the router would wait with its next log line.
        self.log_reader = asyncio.create_task(process.stderr.read())

    async def stop(self) -> None:
        """Ends it by SIGTERM and waits for its end."""
        self.process.terminate()
        await self.process.wait()
        await self.log_reader


async def start_router(folder: Path, config: Json, operator: str = "") -> RunningRouter:
    """Starts a router and waits until it listens.

    Args:
        folder: for its configuration.
        config: its configuration.
        operator: text of its operator's file; none where it is empty.
    """
    config_path = folder / "config.json"
    config_path.write_bytes(orjson.dumps(config))
    environment = {**os.environ, "BALANCER_CONFIG": str(config_path)}
    if operator:
        operator_path = folder / "operator.toml"
        operator_path.write_text(operator)
        environment["RAINHITCH_OPERATOR"] = str(operator_path)
    process = await asyncio.create_subprocess_exec(
        *runner.rainhitch_command(), env=environment, stderr=asyncio.subprocess.PIPE
    )
    assert process.stderr is not None
    while b"listening" not in await process.stderr.readline():
        pass
    return RunningRouter(process)


def read_command(key: str, request_id: str, customer: str) -> bytes:
    """A client's command that reads a key, with five seconds to answer."""
    options = f"c=menu-read,t={customer},d=5000"
    words = [b"C.GET", key.encode(), request_id.encode(), options.encode()]
    return b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Reads an answer; gives the first line of it."""
    line = await reader.readline()
    if line[:1] == b"$":
        await reader.readexactly(int(line[1:]) + 2)
    return line


def endpoint_row(scenario: Scenario, uid: str, address: str, state: str) -> Json:
    """An entry of the endpoint list, of the scenario's first zone and kind of server."""
    return listed_server(uid, address, scenario.fleet.rooms[0], scenario.fleet.nodes[0].name, state)


def listed_server(uid: str, address: str, zone: str, kind: str, state: str = "Ready") -> Json:
    """An entry of the endpoint list."""
    return {
        "uid": uid,
        "endpoint": address,
        "az": zone,
        "model": kind,
        "pod_group": 0,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }


# runs of scenarios


def router_commands(
    folder: Path, usual: str, variant: str, operator: str, before: Path | None
) -> dict[str, list[str]]:
    """Commands of routers that are compared, by name.

    Args:
        folder: for the variant's operator's file.
        usual: name of this checkout's router.
        variant: name of the same with an operator's file.
        operator: text of that file.
        before: an earlier checkout, whose router is named "before"; none where it is None.
    """
    path = folder / "operator.toml"
    path.write_text(operator)
    command = runner.rainhitch_command()
    commands = {usual: command, variant: ["env", f"RAINHITCH_OPERATOR={path}", *command]}
    if before is not None:
        # -P: without it the current folder's package would come before the earlier one's.
        python_path = f"PYTHONPATH={before.resolve()}"
        commands["before"] = ["env", python_path, sys.executable, "-P", "-m", "rainhitch"]
    return commands


async def run_real(scenario: Scenario, name: str, seed: int, command: list[str]) -> Evidence:
    """Runs a scenario with real routers."""
    plan = draw_plan(scenario, name, seed)
    records = await Environment(scenario, plan, command, lambda at, row: None).play()
    return evidence_of(scenario, plan, records)


def evidence_of(scenario: Scenario, plan: Plan, records: Json) -> Evidence:
    """The records of a run as the checker has them."""
    records["plan_digest"] = plan.digest()
    return Evidence(orjson.loads(orjson.dumps(scenario)), plan.rows(), records)


def report_figures(name: str, evidence: Evidence) -> Json:
    """The figures of a run's report that benchmarks show or keep."""
    report_rows = report.build(name, evidence.scenario, evidence.plan, evidence.records)
    return {key: report_rows[key] for key in ("service", "rules", "exit", "database_stops", "rig_late")}


# one router's decisions

TIMED_ROUNDS = 15
CALLS_PER_ROUND = 400
SERVER_COUNTS = (9, 60, 200)
SERVERS_PER_DATAGRAM = 20
ATTEMPT_NS = NS_PER_S // 20
REQUEST_INTERVAL_NS = NS_PER_S // 25
KEYS = 500


class DecisionBench:
    """One router's decisions, with so many servers, and requests that are all hits."""

    def __init__(self, servers: int) -> None:
        classes = [api.RequestClass(latency_objective_ns=NS_PER_S, deadline_ns=2 * NS_PER_S)]
        settings = api.Settings(classes, router_count=40, max_attempts=4, gossip_interval_ns=NS_PER_S)
        self.balancer = Balancer(settings, 1)
        self.servers = [f"s-{number:08x}" for number in range(servers)]
        self.now_ns = 100 * NS_PER_S
        self.requests = 0
        endpoints = [api.Endpoint(name) for name in self.servers]
        update = api.EndpointUpdate(api.EndpointUpdateKind.CACHED, endpoints)
        self.balancer.handle(self.now_ns, update)

    def request(self) -> None:
        """Decides on one request, from its arrival to its answer."""
        self.requests += 1
        self.now_ns += REQUEST_INTERVAL_NS
        name = f"r{self.requests}"
        request = api.Request(name, 0, self.now_ns + NS_PER_S, f"k{self.requests % KEYS}")
        for action in self.balancer.handle(self.now_ns, request):
            if isinstance(action, api.StartAttempt):
                answer = api.AttemptFinished(name, 0, action.server, api.AttemptStatus.OK, True, ATTEMPT_NS)
                self.balancer.handle(self.now_ns, answer)


def cpu_us_per_call(work: Callable[[], None]) -> float:
    """CPU time of this process for one call, in us; mean of one round."""
    begun_ns = time.process_time_ns()
    for _ in range(CALLS_PER_ROUND):
        work()
    return (time.process_time_ns() - begun_ns) / CALLS_PER_ROUND / 1000


def median_cpu_us(*works: Callable[[], None]) -> list[float]:
    """CPU time of a call of each, in us; median of rounds in which they take turns."""
    rounds = [[cpu_us_per_call(work) for work in works] for _ in range(TIMED_ROUNDS)]
    return [statistics.median(column) for column in zip(*rounds, strict=True)]


# Pages and earlier records name the measurement of the kit's lateness by this module: the command stays.
if __name__ == "__main__":
    from benchmarks import kit_lateness

    sys.exit(kit_lateness.main(sys.argv[1:]))
