"""The report of a run, made from its records alone: the same records give the same bytes.

The text for a terminal stands in `report_text`, the folder with a run's records in `run_records`.
"""

from typing import Any

import orjson

from rainhitch.rehearsal.checker.evidence import Evidence
from rainhitch.rehearsal.checker.records import MILLI, SECOND
from rainhitch.rehearsal.checker.rules import find_violations
from rainhitch.rehearsal.checker.service import measure_service
from rainhitch.rehearsal.checker.violations import Rule, Violation
from rainhitch.rehearsal.verdict import BROKEN, HELD, VOID

Json = dict[str, Any]
MAX_ARRIVALS_P99_MS = 50.0  # beyond it, arrivals were so late that the run says nothing
MAX_STALLED_FRACTION = 0.05  # of the run, that one process of the kit may stand still
PERCENTILE = 0.99
BYTES_PER_MB = 1 << 20


def build(name: str, scenario: Json, plan: Json, records: Json) -> Json:
    """The whole report as JSON takes it. `exit` is the exit code it stands for."""
    evidence = Evidence(scenario, plan, records)
    violations = find_violations(evidence)
    service = measure_service(evidence)
    overload_stops = sum(1 for stop in evidence.database_stops if stop.is_overload)
    unmet = _unmet_expectations(scenario["expect"], service, overload_stops)
    lateness = kit_lateness(evidence)
    return {
        "scenario": name,
        "about": scenario["about"],
        "must": scenario["must"],
        "seed": plan["seed"],
        "plan_digest": records["plan_digest"],
        **service,
        "rules": _count_by_rule(violations),
        "breaches": [violation.to_row() for violation in violations],
        "unmet": unmet,
        "database_stops": overload_stops,
        "timeline": timeline(scenario),
        "memory_mb": [round(row["peak"] / BYTES_PER_MB, 1) for row in records["routers"]],
        "rig_late": lateness,
        "exit": _exit_code(lateness["void"], bool(violations or unmet)),
    }


def _exit_code(is_void: bool, is_broken: bool) -> int:
    """What a report stands for: a kit that was late itself says nothing against the router."""
    if is_void:
        return VOID
    return BROKEN if is_broken else HELD


def _count_by_rule(violations: list[Violation]) -> dict[str, int]:
    """How often each rule was broken."""
    return {rule.value: sum(1 for one in violations if one.rule is rule) for rule in Rule}


def _unmet_expectations(expect: Json, service: Json, overload_stops: int) -> list[str]:
    """One line for each of the scenario's own expectations that was not met."""
    unmet = []
    for name in ("service", "score"):
        if service[name] < expect[name]:
            unmet.append(f"{name} is {service[name]:.4f}, expected is {expect[name]:g} at least")
    most_stops = expect["origin_stops"]
    if overload_stops > most_stops:
        unmet.append(f"the database stopped {overload_stops} times, expected is {most_stops} at most")
    return unmet


def kit_lateness(evidence: Evidence) -> Json:
    """How late the kit itself ran: arrivals against the plan, and stalls of its processes.

    Void beyond MAX_ARRIVALS_P99_MS or MAX_STALLED_FRACTION.
    """
    parts = evidence.records["parts"]
    length_s = evidence.scenario["day"]["length_s"]
    lates_ns = sorted(
        late for role, rows in parts.items() if role.startswith("clients") for late in rows["lates"]
    )
    p99_ms = 0.0
    max_ms = 0.0
    if lates_ns:
        p99_ms = lates_ns[int(PERCENTILE * (len(lates_ns) - 1))] / MILLI
        max_ms = lates_ns[-1] / MILLI
    stalls_ns = [[end - begin for begin, end in rows["stalls"]] for rows in parts.values()]
    stalled_s = max(sum(stalls) for stalls in stalls_ns) / SECOND
    longest_ns = max((stall for stalls in stalls_ns for stall in stalls), default=0)
    return {
        "arrivals_p99_ms": round(p99_ms, 3),
        "arrivals_max_ms": round(max_ms, 3),
        "stalled_share": round(stalled_s / length_s, 5),
        "longest_stall_ms": round(longest_ns / MILLI, 3),
        "void": p99_ms > MAX_ARRIVALS_P99_MS or stalled_s > MAX_STALLED_FRACTION * length_s,
    }


def timeline(scenario: Json) -> list[Json]:
    """The scenario's faults in the order of time: from when to when, and what."""
    rows = []
    for fault in sorted(scenario["faults"], key=lambda one: one["at_s"]):
        words = [fault["kind"], fault["room"], fault["node"]]
        if fault["router"] >= 0:
            words.append(f"router {fault['router']}")
        rows.append(
            {
                "from_s": fault["at_s"],
                "to_s": round(fault["at_s"] + fault["for_s"], 3),
                "what": " ".join(word for word in words if word),
            }
        )
    return rows


def as_json(report: Json) -> bytes:
    """The report as it is written to a file."""
    return orjson.dumps(report, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE)
