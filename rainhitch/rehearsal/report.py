"""The report of a day, made from its records alone: the same records give the same bytes."""

from io import StringIO
from pathlib import Path
from typing import Any

import orjson

from rainhitch.rehearsal.checker.evidence import MILLI, SECOND, Evidence
from rainhitch.rehearsal.checker.rules import RULES, find_violations
from rainhitch.rehearsal.checker.service import measure_service

Json = dict[str, Any]
LATE_MOST = 50.0  # ms: beyond it the hundredth-latest arrival voids the day
STALLED_MOST = 0.05  # part of the day that a part of the rig may stand still
RECORDS = ("scenario.json", "plan.json", "ledgers.json")
HELD, BROKEN, BAD_INPUT, VOID = 0, 1, 2, 3
SHOWN = 12  # breaches that the table shows


class RecordsError(ValueError):
    """A folder that holds no records; one line says why."""


def keep(folder: Path, name: str, scenario: Json, plan: Json, ledgers: Json) -> None:
    """Writes the records of a day."""
    folder.mkdir(parents=True, exist_ok=True)
    for file, rows in zip(RECORDS, ({"name": name, **scenario}, plan, ledgers), strict=True):
        (folder / file).write_bytes(orjson.dumps(rows, option=orjson.OPT_SORT_KEYS))


def from_records(folder: Path) -> Json:
    """The report of a day that was kept; raises RecordsError."""
    try:
        scenario, plan, ledgers = (orjson.loads((folder / file).read_bytes()) for file in RECORDS)
        return build(scenario.pop("name"), scenario, plan, ledgers)
    except OSError as problem:
        raise RecordsError(f"{folder}: no records: {problem.strerror}: {problem.filename}") from None
    except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError) as problem:
        raise RecordsError(f"{folder}: records can't be read: {type(problem).__name__}: {problem}") from None


def build(name: str, scenario: Json, plan: Json, ledgers: Json) -> Json:
    """The whole report as JSON takes it. `exit` is the exit code it stands for."""
    evidence = Evidence(scenario, plan, ledgers)
    broken = find_violations(evidence)
    told = measure_service(evidence)
    late = rig_late(evidence)
    expect, stops = scenario["expect"], sum(pressed for _, pressed in ledgers["parts"]["centre"]["stops"])
    unmet = [
        f"{what} is {value:.4f}, expected is {expect[what]:g} at least"
        for what, value in (("service", told["service"]), ("score", told["score"]))
        if value < expect[what]
    ]
    if stops > expect["origin_stops"]:
        unmet.append(f"the database stopped {stops} times, expected is {expect['origin_stops']} at most")
    counts = {rule: sum(one["rule"] == rule for one in broken) for rule in (*RULES, "crashed")}
    code = VOID if late["void"] else BROKEN if broken or unmet else HELD
    return {
        "scenario": name,
        "about": scenario["about"],
        "must": scenario["must"],
        "seed": plan["seed"],
        "plan_digest": ledgers["plan_digest"],
        **told,
        "rules": counts,
        "breaches": broken,
        "unmet": unmet,
        "database_stops": stops,
        "timeline": timeline(scenario),
        "memory_mb": [round(one["peak"] / (1 << 20), 1) for one in ledgers["routers"]],
        "rig_late": late,
        "exit": code,
    }


def rig_late(evidence: Evidence) -> Json:
    """How late the rig itself ran: arrivals against the plan, and stalls of its parts. Void beyond a
    bound.
    """
    parts, day = evidence.ledgers["parts"], evidence.scenario["day"]["length_s"]
    lates = sorted(
        late for role, rows in parts.items() if role.startswith("clients") for late in rows["lates"]
    )
    p99 = lates[int(0.99 * (len(lates) - 1))] / MILLI if lates else 0.0
    stalled = max(sum(end - begin for begin, end in rows["stalls"]) for rows in parts.values()) / SECOND
    longest = max((end - begin for rows in parts.values() for begin, end in rows["stalls"]), default=0)
    return {
        "arrivals_p99_ms": round(p99, 3),
        "arrivals_max_ms": round(lates[-1] / MILLI, 3) if lates else 0.0,
        "stalled_share": round(stalled / day, 5),
        "longest_stall_ms": round(longest / MILLI, 3),
        "void": p99 > LATE_MOST or stalled > STALLED_MOST * day,
    }


def timeline(scenario: Json) -> list[Json]:
    """What went wrong when, in words."""
    rows = []
    for one in sorted(scenario["faults"], key=lambda fault: fault["at_s"]):
        place = [one["room"], one["node"], f"router {one['router']}" if one["router"] >= 0 else ""]
        what = " ".join([one["kind"], *filter(None, place)])
        rows.append({"from_s": one["at_s"], "to_s": round(one["at_s"] + one["for_s"], 3), "what": what})
    return rows


def as_json(report: Json) -> bytes:
    """The report as it is written to a file."""
    return orjson.dumps(report, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE)


def as_text(report: Json, width: int = 100, colour: bool = False) -> str:
    """The report for a person at a terminal."""
    from rich import box
    from rich.console import Console
    from rich.table import Table as Grid
    from rich.text import Text

    out = StringIO()
    console = Console(
        file=out, width=width, force_terminal=colour, color_system="standard" if colour else None
    )
    broken = sum(report["rules"].values())
    console.print(Text(f"{report['scenario']}, seed {report['seed']}: {report['about']}", style="bold"))
    console.print(Text(f"must hold: {report['must']}"))

    def grid(*headers: str) -> Grid:
        return Grid(*headers, box=box.SIMPLE_HEAD, pad_edge=False)

    table = grid("", "service", "price", "points")
    parts, prices = list(report["parts"].items()), list(report["prices"].items())
    for number in range(max(len(parts), len(prices))):
        left = parts[number] if number < len(parts) else ("", None)
        right = prices[number] if number < len(prices) else ("", None)
        figures = ["" if one is None else f"{one:.3f}" for one in (left[1], right[1])]
        table.add_row(left[0].replace("_", " "), figures[0], right[0].replace("_", " "), figures[1])
    console.print(table)
    for label, column in (
        ("class", "by_class"),
        ("customer, within its share", "by_customer"),
        ("room", "by_room"),
    ):
        rows = grid(label, "service")
        for name, value in report[column].items():
            rows.add_row(name, f"{value:.3f}")
        console.print(rows)
    steps = grid("from", "requests", "service", "", "what the timeline did")
    for one in report["steps"]:
        end = one["from_s"] + 5
        acting = [f["what"] for f in report["timeline"] if f["from_s"] < end and f["to_s"] >= one["from_s"]]
        bar = "#" * round(20 * one["service"])
        steps.add_row(
            f"{one['from_s']} s", str(one["requests"]), f"{one['service']:.3f}", bar, ", ".join(acting)
        )
    console.print(steps)
    if report["causes"]:
        causes = grid("lost worth by cause", "requests", "of all worth")
        for one in report["causes"][:6]:
            causes.add_row(one["cause"], str(one["requests"]), f"{one['lost']:.4f}")
        console.print(causes)
    counts = ", ".join(f"{rule} {count}" for rule, count in report["rules"].items())
    console.print(Text(f"rules: {counts}", style="red" if broken else "green"))
    for one in report["breaches"][:SHOWN]:
        console.print(
            Text(f"  {one['at_s']:.3f} s {one['rule']} {one['request']} {one['node']}: {one['what']}")
        )
        for line in one.get("log", []):
            console.print(Text(f"    | {line}"))
    if len(report["breaches"]) > SHOWN:
        console.print(Text(f"  and {len(report['breaches']) - SHOWN} more; --json FILE has them all"))
    for line in report["unmet"]:
        console.print(Text(f"not met: {line}", style="red"))
    late = report["rig_late"]
    console.print(
        Text(
            f"service {report['service']:.4f}  score {report['score']:.4f}  "
            f"with prices {report['net_score']:.4f}  "
            f"database stops {report['database_stops']}  rig late {late['arrivals_p99_ms']:.1f} ms (p99)"
        )
    )
    verdict = {HELD: "all held", BROKEN: "broken", VOID: "void: the rig itself ran late"}[report["exit"]]
    console.print(Text(f"verdict: {verdict}   plan {report['plan_digest'][:16]}", style="bold"))
    return out.getvalue()
