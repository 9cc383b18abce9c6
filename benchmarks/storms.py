"""A storm of reconnects with and without overload control, and with an earlier router, on the same seeds.

    python -m benchmarks storms [--seeds 5] [--before DIR] [--json FILE]

Runs `reconnect-storm` once for each seed, kind of client and router, one after the other. DIR is a checkout
of an earlier state, whose router is run too. Prints means over the seeds:

goodput    node work of answers that clients got in time, in the 3 s from the storm's begin, as a fraction of
           what the nodes can do in them (returned nodes as warm as they are)
back in    seconds from the storm's end until the ordinary load's service, from then to the run's end, is
           within 0.01 of what it was before anything went wrong; - for never
database   most requests that it was sent in a second, as a multiple of what it can do
twice      orders executed more than once, by idempotency key, over all routers and attempts
"""

import asyncio
import os
import sys
import tempfile
from collections import Counter
from pathlib import Path

import orjson

from benchmarks.rig import (
    Json,
    comma_list,
    parser_for,
    print_row,
    print_table_header,
    report_figures,
    router_commands,
    run_real,
)
from rainhitch.rehearsal import verdict
from rainhitch.rehearsal.checker.evidence import Evidence
from rainhitch.rehearsal.checker.records import SECOND
from rainhitch.rehearsal.checker.request_outcome import RequestOutcome
from rainhitch.rehearsal.checker.service import request_outcomes
from rainhitch.rehearsal.scenario import read_scenario, shipped

SCENARIO = "reconnect-storm"
# Kinds of clients, by the settings of the scenario that make them.
CLIENT_KINDS: dict[str, dict[str, object]] = {
    "once, at once": {"clients.honour": 0.0, "clients.retries": 1},
    "as told": {"clients.honour": 1.0, "clients.retries": 2, "clients.told": True},
    "a mix": {"clients.honour": 0.5, "clients.retries": 2, "clients.told": True},
}
GOODPUT_S = 3  # from the storm's begin
BEFORE_S = 3  # of the run, in which nothing has gone wrong yet
RECOVERED_WITHIN = 0.01  # of the service before
CAPACITY_STEPS = 30
UNCONTROLLED_OPERATOR = "[storms]\ndamping = false\n"
COLUMNS = (
    "clients",
    "router",
    "goodput",
    "back in, s",
    "storm served",
    "ordinary",
    "service",
    "database",
    "twice",
    "rules broken",
    "void",
)
FIGURES = ("goodput", "back", "storm", "ordinary", "service", "database", "twice")


def node_capacity_core_s(evidence: Evidence, begin_s: float, end_s: float) -> float:
    """Core seconds of work that the nodes can do between two seconds of the run."""
    fleet = evidence.scenario["fleet"]
    cold_fraction = fleet["cold_from"]
    step_s = (end_s - begin_s) / CAPACITY_STEPS
    capacity = 0.0
    for node in evidence.plan["nodes"]:
        starts_s = [(one - evidence.zero_ns) / SECOND for one in evidence.nodes[node["uid"]].starts_ns]
        for step in range(CAPACITY_STEPS):
            at_s = begin_s + step_s * (step + 0.5)
            started_s = max((one for one in starts_s if one <= at_s), default=0.0)
            # One that started with the run is warm from the begin.
            warm = min(1.0, (at_s - started_s) / fleet["warm_s"]) if started_s > 1 else 1.0
            speed = node["speed"] * (cold_fraction + (1 - cold_fraction) * warm)
            capacity += node["cores"] * speed * step_s
    return capacity


def useful_work_core_s(evidence: Evidence, begin_s: float, end_s: float) -> float:
    """Core seconds of work of answers that clients got in time between two seconds of the run."""
    begin_ns = evidence.zero_ns + int(begin_s * SECOND)
    end_ns = evidence.zero_ns + int(end_s * SECOND)
    work_us = 0
    for row in evidence.client_tries:
        in_time = row.answered_ns <= row.sent_ns + row.wait_ns
        if row.result == "served" and begin_ns <= row.answered_ns < end_ns and in_time:
            work_us += evidence.plan["asks"][row.request_number]["work_us"]
    return work_us / 1e6


def storm_figures(evidence: Evidence) -> Json:
    """The figures of the table from one run's records, but for those of the report."""
    fault = next(one for one in evidence.scenario["faults"] if one["kind"] == "reconnect-storm")
    begin_s = fault["at_s"]
    over_s = int(fault["at_s"] + fault["for_s"])
    length_s = int(evidence.scenario["day"]["length_s"])
    outcomes = list(request_outcomes(evidence))
    ordinary = [one for one in outcomes if not evidence.plan["asks"][one.number]["origin"]]
    storm = [one for one in outcomes if evidence.plan["asks"][one.number]["origin"]]

    def ordinary_service(from_s: int, to_s: int) -> float:
        """Of the ordinary load that arrives between two seconds of the run."""
        return service_of([one for one in ordinary if from_s <= one.request.at_us / 1e6 < to_s])

    recovered = ordinary_service(0, BEFORE_S) - RECOVERED_WITHIN
    back_s = None
    for second in range(over_s, length_s - 2):
        if ordinary_service(second, length_s) >= recovered:
            back_s = second - over_s
            break
    capacity = node_capacity_core_s(evidence, begin_s, begin_s + GOODPUT_S)
    return {
        "goodput": useful_work_core_s(evidence, begin_s, begin_s + GOODPUT_S) / capacity,
        "back": back_s,
        **database_figures(evidence),
        "storm": service_of(storm),
        "ordinary": ordinary_service(0, length_s),
    }


def service_of(outcomes: list[RequestOutcome]) -> float:
    """The worth earned by some requests, as a fraction of what they were worth."""
    return sum(one.earned for one in outcomes) / (sum(one.worth for one in outcomes) or 1.0)


def database_figures(evidence: Evidence) -> Json:
    """The busiest second at the database, and orders that were executed more than once."""
    requests: Counter[int] = Counter()  # by second
    executions: Counter[str] = Counter()  # by idempotency key
    for attempts in evidence.attempts_by_id.values():
        for attempt in attempts:
            if attempt.is_at_database and attempt.last_byte_ns >= evidence.zero_ns:
                requests[(attempt.last_byte_ns - evidence.zero_ns) // SECOND] += 1
                if attempt.idempotency_key and attempt.was_executed:
                    executions[attempt.idempotency_key] += 1
    database = evidence.scenario["database"]
    capacity_per_s = database["workers"] / database["time_ms"] * 1000
    return {
        "database": max(requests.values()) / capacity_per_s,
        "twice": sum(count > 1 for count in executions.values()),
    }


def format_mean(rows: list[Json], key: str) -> str:
    """The mean over the rows; where some have no figure, how many have none."""
    values = [row[key] for row in rows]
    if None in values:
        return f"- ({sum(one is None for one in values)} of {len(values)})"
    return f"{sum(values) / len(values):.3f}"


async def run_all(client_kinds: list[str], routers: dict[str, list[str]], seeds: int) -> list[Json]:
    """Runs all, one after the other, and prints the table; gives all rows."""
    all_rows: list[Json] = []
    for kind in client_kinds:
        scenario = read_scenario(shipped()[SCENARIO], CLIENT_KINDS[kind])
        for router, command in routers.items():
            rows = []
            for seed in range(1, seeds + 1):
                evidence = await run_real(scenario, SCENARIO, seed, command)
                rows.append({**report_figures(SCENARIO, evidence), **storm_figures(evidence)})
            all_rows += [{"clients": kind, "router": router, **row} for row in rows]
            broken_rules = sum(sum(row["rules"].values()) for row in rows)
            void = sum(row["exit"] == verdict.VOID for row in rows)
            figures = [format_mean(rows, key) for key in FIGURES]
            print_row([kind, router, *figures, str(broken_rules), str(void)])
    return all_rows


def main(arguments: list[str]) -> int:
    """Runs the benchmark; gives the exit code."""
    parser = parser_for(__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--before", type=Path)
    parser.add_argument("--only", default="", help="routers, with commas between")
    parser.add_argument("--kinds", default="", help="of clients, with semicolons between")
    parser.add_argument("--json", type=Path)
    options = parser.parse_args(arguments)
    kinds = options.kinds.split(";") if options.kinds else list(CLIENT_KINDS)
    with tempfile.TemporaryDirectory() as folder:
        routers = router_commands(Path(folder), "damped", "not damped", UNCONTROLLED_OPERATOR, options.before)
        wanted = comma_list(options.only) or list(routers)
        routers = {name: command for name, command in routers.items() if name in wanted}
        print(f"{os.cpu_count()} cores, one day at a time, {options.seeds} seeds\n")
        print_table_header(COLUMNS)
        rows = asyncio.run(run_all([one for one in CLIENT_KINDS if one in kinds], routers, options.seeds))
    if options.json:
        options.json.write_bytes(orjson.dumps(rows, option=orjson.OPT_INDENT_2))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
