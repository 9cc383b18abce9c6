"""A storm of reconnects with and without damping, and as it was before, side by side on the same seeds.

    python -m benchmarks.storms [--seeds 5] [--before DIR] [--json FILE]

Plays `reconnect-storm` once for each seed, kind of client and router. DIR is a checkout of an earlier state,
whose router is played too. Days are played one after the other. Prints means over the seeds:

goodput    node work of answers that clients got in time, in the 3 s from the storm's begin, as a part of what
           the nodes can do in them (returned nodes as warm as they are)
back in    seconds from the storm's end until the ordinary load's service, from then to the day's end, is
           within 0.01 of what it was before anything went wrong; - for never
database   most requests that it was sent in a second, as a part of what it can do
twice      orders carried out more than once, by order key, over all routers and tries
"""

import argparse
import asyncio
import os
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

import orjson

from rainhitch.rehearsal import report, runner
from rainhitch.rehearsal.checker.evidence import Evidence
from rainhitch.rehearsal.checker.records import SECOND
from rainhitch.rehearsal.checker.service import request_outcomes
from rainhitch.rehearsal.environment import Environment
from rainhitch.rehearsal.plan import draw_plan
from rainhitch.rehearsal.scenario import Scenario, read_scenario, shipped

Json = dict[str, Any]
KINDS: dict[str, dict[str, object]] = {
    "once, at once": {"clients.honour": 0.0, "clients.retries": 1},
    "as told": {"clients.honour": 1.0, "clients.retries": 2, "clients.told": True},
    "a mix": {"clients.honour": 0.5, "clients.retries": 2, "clients.told": True},
}
WINDOW = 3  # s from the storm's begin


def capacity(evidence: Evidence, begin: int, end: int) -> float:
    """Core seconds that the nodes can do between two instants of the day, in ns from its zero."""
    fleet, whole, steps = evidence.scenario["fleet"], 0.0, 30
    for node in evidence.plan["nodes"]:
        starts = [one - evidence.zero_ns for one in evidence.nodes[node["uid"]].starts_ns]
        for step in range(steps):
            at = begin + (end - begin) * (step + 0.5) / steps
            last = max((one for one in starts if one <= at), default=0)
            warm = min(1.0, (at - last) / SECOND / fleet["warm_s"]) if last > SECOND else 1.0
            part = fleet["cold_from"] + (1 - fleet["cold_from"]) * warm
            whole += node["cores"] * node["speed"] * part * (end - begin) / SECOND / steps
    return whole


def figures(evidence: Evidence) -> Json:
    """What the table shows of one day."""
    fault = next(one for one in evidence.scenario["faults"] if one["kind"] == "reconnect-storm")
    begin, over = fault["at_s"], int(fault["at_s"] + fault["for_s"])
    first = evidence.zero_ns + int(begin * SECOND)
    last = first + WINDOW * SECOND
    useful = 0.0
    for one in evidence.client_tries:
        answered = one.result == "served" and first <= one.answered_ns < last
        if answered and one.answered_ns <= one.sent_ns + one.wait_ns:
            useful += evidence.plan["asks"][one.request_number]["work_us"] / 1e6
    rows = [one for one in request_outcomes(evidence) if not evidence.plan["asks"][one.number]["origin"]]
    length = int(evidence.scenario["day"]["length_s"])

    def service(start: int, end: int) -> float:
        part = [one for one in rows if start <= one.request.at_us / 1e6 < end]
        return sum(one.earned for one in part) / (sum(one.worth for one in part) or 1.0)

    before = service(0, 3)
    back = next((s - over for s in range(over, length - 2) if service(s, length) >= before - 0.01), None)
    sent: Counter[int] = Counter()
    done: Counter[str] = Counter()
    for sends in evidence.attempts_by_id.values():
        for send in sends:
            if send.is_at_database and send.last_byte_ns >= evidence.zero_ns:
                sent[(send.last_byte_ns - evidence.zero_ns) // SECOND] += 1
                done[send.idempotency_key] += bool(send.idempotency_key and send.was_executed)
    database = evidence.scenario["database"]
    storm = [one for one in request_outcomes(evidence) if evidence.plan["asks"][one.number]["origin"]]
    return {
        "goodput": useful / capacity(evidence, int(begin * SECOND), int((begin + WINDOW) * SECOND)),
        "back": back,
        "database": max(sent.values()) / (database["workers"] / database["time_ms"] * 1000),
        "twice": sum(count > 1 for count in done.values()),
        "storm": sum(one.earned for one in storm) / (sum(one.worth for one in storm) or 1.0),
        "ordinary": service(0, length),
    }


async def one_day(day: Scenario, seed: int, words: list[str]) -> Json:
    plan = draw_plan(day, "reconnect-storm", seed)
    ledgers = await Environment(day, plan, words, lambda at, row: None).play()
    ledgers["plan_digest"] = plan.digest()
    told, rows = orjson.loads(orjson.dumps(day)), plan.rows()
    made = report.build("reconnect-storm", told, rows, ledgers)
    return {
        **{key: made[key] for key in ("service", "rules", "exit", "database_stops", "rig_late")}
    } | figures(Evidence(told, rows, ledgers))


def mean(rows: list[Json], key: str) -> str:
    values = [row[key] for row in rows]
    if None in values:
        return f"- ({sum(one is None for one in values)} of {len(values)})"
    return f"{sum(values) / len(values):.3f}"


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--before", type=Path)
    parser.add_argument("--only", default="", help="routers, with commas between")
    parser.add_argument("--kinds", default="", help="of clients, with semicolons between")
    parser.add_argument("--json", type=Path)
    told = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        undamped = Path(folder) / "operator.toml"
        undamped.write_text("[storms]\ndamping = false\n")
        routers = {"damped": runner.rainhitch_command()}
        routers["not damped"] = ["env", f"RAINHITCH_OPERATOR={undamped}", *runner.rainhitch_command()]
        if told.before is not None:
            path = f"PYTHONPATH={told.before.resolve()}"
            routers["before"] = ["env", path, sys.executable, "-P", "-m", "rainhitch"]
        rows: list[Json] = []
        print(f"{os.cpu_count()} cores, one day at a time, {told.seeds} seeds\n")
        print(
            "| clients | router | goodput | back in, s | storm served | ordinary | service | database "
            "| twice | rules broken | void |"
        )
        print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
        for kind, changes in KINDS.items():
            if told.kinds and kind not in told.kinds.split(";"):
                continue
            day = read_scenario(shipped()["reconnect-storm"], changes)
            for name, words in routers.items():
                if told.only and name not in told.only.split(","):
                    continue
                made = [await one_day(day, seed, words) for seed in range(1, told.seeds + 1)]
                rows += [{"clients": kind, "router": name, **one} for one in made]
                broken = sum(sum(one["rules"].values()) for one in made)
                cells = [
                    mean(made, key)
                    for key in ("goodput", "back", "storm", "ordinary", "service", "database", "twice")
                ]
                void = sum(one["exit"] == report.VOID for one in made)
                print(f"| {kind} | {name} | {' | '.join(cells)} | {broken} | {void} |", flush=True)
        if told.json:
            told.json.write_bytes(orjson.dumps(rows, option=orjson.OPT_INDENT_2))


if __name__ == "__main__":
    asyncio.run(main())
