"""What is wrong with a day: a broken rule, a crash, an exception that nobody handled, a day that does not
end, or service that does not come back when the faults are over.
"""

import copy
import re
from dataclasses import dataclass, field
from typing import Any

import orjson

from rainhitch.rehearsal import report
from rainhitch.rehearsal.explore.coverage import features
from rainhitch.rehearsal.plan import draw_plan
from rainhitch.rehearsal.router_process import RehearsalError
from rainhitch.rehearsal.scenario import scenario_of
from rainhitch.rehearsal.virtual.environment import run_day
from rainhitch.rehearsal.virtual.loop import StuckError

Json = dict[str, Any]
MOST_CALLBACKS = 3_000_000  # of a day, far beyond the largest that is drawn
SETTLED = 4.0  # s after the last fault in which service may take to come back
BACK = 0.6  # part of the service of the same day without faults that is to be back by then
ENOUGH = 40  # requests in what is compared
NUMBERS = re.compile(r"[0-9][0-9.]*")


class EndlessError(KeyboardInterrupt):
    """A day took longer than it may: raised by an alarm, through what catches exceptions."""


@dataclass(frozen=True)
class Case:
    """A day that can be played again."""

    source: str  # JSON of the scenario's tables
    seed: int

    @property
    def tables(self) -> Json:
        told: Json = orjson.loads(self.source)
        return told


def case(source: Json, seed: int) -> Case:
    return Case(orjson.dumps(source, option=orjson.OPT_SORT_KEYS).decode(), seed)


@dataclass
class Result:
    """What playing a case came to. `kinds`: each thing that is wrong, in a word that is the same for the same
    fault of the code; `detail`: a line each."""

    case: Case
    service: float = 0.0
    kinds: list[str] = field(default_factory=list)
    detail: list[str] = field(default_factory=list)
    words: frozenset[str] = frozenset()
    seconds: float = 0.0  # virtual

    def add(self, kind: str, detail: str) -> None:
        if kind not in self.kinds:
            self.kinds.append(kind)
            self.detail.append(detail)


def examine(one: Case, cover: bool = True) -> Result:
    """Plays a case and says what is wrong with it."""
    result = Result(one)
    try:
        ledgers, made = _play(one)
    except StuckError as problem:
        result.add("stuck", str(problem))
        return result
    except (RehearsalError, AssertionError, LookupError, TypeError, ValueError, AttributeError) as problem:
        result.add(f"stage {type(problem).__name__}", repr(problem))
        return result
    except MemoryError:
        result.add("memory", "no more memory")
        return result
    result.service = made["service"]
    result.seconds = one.tables["day"]["length_s"]
    for breach in made["breaches"]:
        what = NUMBERS.sub("#", breach["what"]).partition(":")[2][:60] or breach["what"][:60]
        detail = (
            f"{breach['at_s']:.3f} s {breach['rule']} {breach['request']} {breach['node']} {breach['what']}"
        )
        result.add(f"{breach['rule']}{what}", detail)
    for line in ledgers["problems"]:
        result.add("unhandled " + NUMBERS.sub("#", line.partition(":")[2])[:70], line)
    for name, lines in ledgers["logs"].items():
        for line in lines:
            if " ERROR " in line:
                result.add("error " + NUMBERS.sub("#", line.partition(" ")[2])[:60], f"{name} {line}")
    if cover:
        scenario = orjson.loads(orjson.dumps(scenario_of(one.tables, "case")))
        result.words = frozenset(features(scenario, made["plan"], ledgers))
    if not result.kinds:
        _settles(one, made, result)
    return result


def _play(one: Case) -> tuple[Json, Json]:
    scenario = scenario_of(one.tables, "case")
    plan = draw_plan(scenario, "case", one.seed)
    ledgers = run_day(scenario, plan, max_callbacks=MOST_CALLBACKS)
    ledgers["plan_digest"] = plan.digest()
    rows = plan.rows()
    made = report.build("case", orjson.loads(orjson.dumps(scenario)), rows, ledgers)
    made["plan"] = rows
    return ledgers, made


def _settles(one: Case, made: Json, result: Result) -> None:
    """Guards against what stays bad when its cause has gone: the end of the day beside that of the same day
    without faults."""
    source = one.tables
    faults = source.get("faults", [])
    over = max((f["at_s"] + f.get("for_s", 0) + f.get("away_s", 0) for f in faults), default=0.0) + SETTLED
    for_good = {"node-join", "node-retire", "node-upgrade", "clients-upgrade"}
    if not faults or over > source["day"]["length_s"] - 2 or for_good & {f["kind"] for f in faults}:
        return
    if any(f["kind"] == "node-drain" and not f["away_s"] for f in faults):
        return
    ends = [step for step in made["steps"] if step["from_s"] >= over]
    if sum(step["requests"] for step in ends) < ENOUGH:
        return
    calm = copy.deepcopy(source)
    calm["faults"] = []
    _, other = _play(case(calm, one.seed))
    for step in ends[-1:]:
        usual = next(row["service"] for row in other["steps"] if row["from_s"] == step["from_s"])
        if step["service"] < BACK * usual:
            line = f"service {step['service']:.3f} from {step['from_s']} s on, {usual:.3f} without any fault"
            result.add("not back", line)
