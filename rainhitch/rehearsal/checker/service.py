"""Service as the operators count it: worth answered within the aim over worth asked, and what is taken
off.
"""

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

from rainhitch.rehearsal.checker.evidence import SECOND, Evidence

Json = dict[str, Any]
WINDOW = 10  # s, of which the worst counts
STEP = 5  # s of a row of the report
WEIGHTS = {"whole": 0.4, "worst_window": 0.1, "worst_class": 0.1, "worst_customer": 0.4}
# Points of service in 100, each for a rate of one: section 11 of the operators' brief.
PRICES = {
    "fetches": 5.0,  # from the database, a request
    "wasted_work": 4.0,  # as much as was asked for
    "late_failures": 3.0,  # all failing only after the wanted time
    "new_connections": 3.0,  # a request
    "open_connections": 3.0,  # 100 a node
    "probes": 1.0,  # a request
    "messages": 1.0,  # a full one, 256 bytes, a request
    "crossings": 1.0,  # each request crossing rooms once
}


@dataclass(slots=True)
class RequestOutcome:
    """What became of one request, over all its tries."""

    ask: Json
    number: int
    worth: float
    earned: float
    cause: str  # of what was not earned
    after: int  # ns from its first try to its end


def request_outcomes(evidence: Evidence) -> list[RequestOutcome]:
    """The fate of each scored request."""
    scenario = evidence.scenario
    by_ask: dict[int, list[Json]] = defaultdict(list)
    for one in evidence.tries:
        by_ask[one["ask"]].append(one)
    found = []
    for number, ask in enumerate(evidence.plan["asks"]):
        if ask["at"] < 0:
            continue
        spec = scenario["classes"][ask["cls"]]
        worth = spec["worth"] * (scenario["traffic"]["over_share_worth"] if ask["over"] else 1.0)
        found.append(_fate(ask, number, spec, worth, by_ask.get(number, [])))
    return found


def _fate(ask: Json, number: int, spec: Json, worth: float, tries: list[Json]) -> RequestOutcome:
    begun = next((one["sent"] for one in tries if one["sent"]), 0)
    for one in tries:
        took = one["answered"] - begun
        if one["kind"] == "served" and one["own"] and one["answered"] <= one["sent"] + one["wait"]:
            if took <= spec["aim_ms"] * 1e6:
                return RequestOutcome(ask, number, worth, worth, "", took)
            return RequestOutcome(ask, number, worth, worth * spec["late_worth"], "served late", took)
    if not tries:
        return RequestOutcome(ask, number, worth, 0.0, "not sent", 0)
    last = tries[-1]
    cause = "left early" if last["left"] else last["kind"] or "no answer"
    cause = {"served": "served too late", "ended": "connection ended"}.get(cause, cause)
    ended = last["answered"] or last["ended"] or last["left"] or last["sent"] + last["wait"]
    return RequestOutcome(ask, number, worth, 0.0, cause, max(0, ended - begun) if begun else 0)


def _ratio(rows: list[RequestOutcome]) -> float:
    asked = sum(one.worth for one in rows)
    return round(sum(one.earned for one in rows) / asked, 6) if asked else 1.0


def _by(rows: list[RequestOutcome], key: Any) -> dict[Any, list[RequestOutcome]]:
    grouped: dict[Any, list[RequestOutcome]] = defaultdict(list)
    for one in rows:
        grouped[key(one)].append(one)
    return grouped


def measure_service(evidence: Evidence) -> Json:
    """All figures of service, and the score with the prices beside it."""
    scenario, rows = evidence.scenario, request_outcomes(evidence)
    length = scenario["day"]["length_s"]
    classes = [one["name"] for one in scenario["classes"]]
    customers = [one["name"] for one in scenario["customers"]]
    rooms = evidence.plan["rooms"]
    inside = [one for one in rows if not one.ask["over"]]
    by_class = {classes[n]: _ratio(part) for n, part in sorted(_by(rows, lambda one: one.ask["cls"]).items())}
    by_customer = {
        customers[n]: _ratio(part) for n, part in sorted(_by(inside, lambda one: one.ask["customer"]).items())
    }
    by_room = {rooms[n]: _ratio(part) for n, part in sorted(_by(rows, lambda one: one.ask["room"]).items())}
    seconds = _by(rows, lambda one: one.ask["at"] // 1_000_000)
    starts = range(max(1, int(length) - WINDOW + 1))
    windows = [_ratio([one for s in range(at, at + WINDOW) for one in seconds.get(s, [])]) for at in starts]
    parts = {
        "whole": _ratio(rows),
        "worst_window": min(windows),
        "worst_class": min(by_class.values(), default=1.0),
        "worst_customer": min(by_customer.values(), default=1.0),
    }
    prices = _prices(evidence, rows)
    score = round(sum(WEIGHTS[name] * value for name, value in parts.items()), 6)
    steps = [
        {
            "from_s": at,
            "service": _ratio([one for s in range(at, at + STEP) for one in seconds.get(s, [])]),
            "requests": sum(len(seconds.get(s, [])) for s in range(at, at + STEP)),
        }
        for at in range(0, int(length), STEP)
    ]
    return {
        "service": parts["whole"],
        "score": score,
        "net_score": round(score - sum(prices.values()) / 100, 6),
        "parts": parts,
        "prices": prices,
        "by_class": by_class,
        "by_customer": by_customer,
        "by_room": by_room,
        "steps": steps,
        "causes": _causes(rows),
        "requests": len(rows),
    }


def _causes(rows: list[RequestOutcome]) -> list[Json]:
    """What cost the most worth."""
    asked = sum(one.worth for one in rows) or 1.0
    grouped = _by([one for one in rows if one.cause], lambda one: (one.cause, one.ask["over"]))
    found = [
        {
            "cause": cause + (", beyond a share" if over else ""),
            "requests": len(part),
            "lost": round(sum(one.worth - one.earned for one in part) / asked, 6),
        }
        for (cause, over), part in grouped.items()
    ]
    return sorted(found, key=lambda one: (-one["lost"], one["cause"]))


def _prices(evidence: Evidence, rows: list[RequestOutcome]) -> Json:
    """Points of service in 100 that the day cost."""
    zero, plan = evidence.zero, evidence.plan
    asked = max(1, len(rows))
    sends = [one for part in evidence.sends.values() for one in part if one.last >= zero]
    room_of = {one["uid"]: one["room"] for one in plan["nodes"]}
    routers = [one["room"] for one in plan["routers"]]
    work = sum(one.ask["work_us"] for one in rows) or 1
    day = max((one.last for one in sends), default=zero + SECOND) - zero
    wasted = sum(one.work for one in sends if one.to != "database" and one.outcome not in ("served", "busy"))
    wasted += sum(node["burdens"] for node in evidence.nodes.values())
    aims = [one["aim_ms"] * 1e6 for one in evidence.scenario["classes"]]
    late = sum(one.worth for one in rows if not one.earned and one.after > aims[one.ask["cls"]])
    opened = {(one.to, one.router, one.connection) for one in sends if one.to != "database"}
    before = {
        (one.to, one.router, one.connection)
        for part in evidence.sends.values()
        for one in part
        if one.last < zero
    }
    rates = {
        "fetches": sum(one.to == "database" and not one.write for one in sends) / asked,
        "wasted_work": wasted / work,
        "late_failures": late / (sum(one.worth for one in rows) or 1.0),
        "new_connections": len(opened - before) / asked,
        "open_connections": _mean_open(evidence, zero, day) / 100,
        "probes": sum(node["probes"] for node in evidence.nodes.values()) / asked,
        "messages": evidence.centre["messages"]["bytes"] / 256 / asked,
        "crossings": sum(room_of.get(one.to, routers[one.router]) != routers[one.router] for one in sends)
        / asked,
    }
    return {name: round(PRICES[name] * rate, 4) for name, rate in rates.items()}


def _mean_open(evidence: Evidence, zero: int, day: int) -> float:
    """Connections that a node has open, by time and over all nodes."""
    total = 0.0
    for node in evidence.nodes.values():
        at, count = zero, 0
        for when, open_now in node["tables"]:
            if when > zero:
                total += count * (min(when, zero + day) - at) / day
                at = min(when, zero + day)
            count = open_now
        total += count * (zero + day - at) / day
    return total / max(1, len(evidence.nodes))
