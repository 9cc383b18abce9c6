"""Runs a test case in virtual time and says what fails.

A failure is a broken rule, a crash, an exception that nobody handled, a run that does not end, or service
that does not recover when the faults are over.
"""

import copy
import re
from dataclasses import dataclass, field
from typing import Any

import orjson

from rainhitch.rehearsal import report
from rainhitch.rehearsal.errors import RehearsalError
from rainhitch.rehearsal.explore.coverage import coverage_features
from rainhitch.rehearsal.plan import draw_plan
from rainhitch.rehearsal.scenario import scenario_of
from rainhitch.rehearsal.virtual.environment import run_in_virtual_time
from rainhitch.rehearsal.virtual.loop import StuckError

Json = dict[str, Any]
CASE_NAME = "case"  # of the scenario of every test case
MAX_CALLBACKS = 3_000_000  # of a run, far beyond the largest that is generated
MAX_RECOVERY_S = 4.0  # after the last fault, for service to recover
MIN_RECOVERED_FRACTION = 0.6  # of the service of the same run without faults
MIN_COMPARED_REQUESTS = 40  # after recovery, for a comparison to say anything
MIN_COMPARED_S = 2.0  # of the run after recovery
RULE_TEXT_LENGTH = 60
UNHANDLED_TEXT_LENGTH = 70
LOG_TEXT_LENGTH = 60
NUMBERS = re.compile(r"[0-9][0-9.]*")
# Faults that change the fleet for good: the run without them is another one, to its end.
PERMANENT_FAULTS = frozenset(("node-join", "node-retire", "node-upgrade", "clients-upgrade"))
# What the kit itself may raise for a scenario that it can't run.
KIT_ERRORS = (RehearsalError, AssertionError, LookupError, TypeError, ValueError, AttributeError)


class CaseTimeoutError(KeyboardInterrupt):
    """A run took longer than it may.

    Raised by an alarm. It is no `Exception`, so that it passes through whatever in the run catches those.
    """


@dataclass(frozen=True)
class FuzzCase:
    """A test case: a run that can be repeated."""

    source: str  # the scenario's tables as JSON with sorted keys, so that equal cases are equal
    seed: int

    @property
    def tables(self) -> Json:
        """The scenario's tables, a copy."""
        tables: Json = orjson.loads(self.source)
        return tables


def fuzz_case(tables: Json, seed: int) -> FuzzCase:
    """The test case of a scenario's tables and a seed."""
    return FuzzCase(orjson.dumps(tables, option=orjson.OPT_SORT_KEYS).decode(), seed)


@dataclass
class CaseResult:
    """What came of running a test case."""

    case: FuzzCase
    service: float = 0.0  # the report's figure for the whole run
    # What failed, each in words that are the same for the same fault of the code, and a line on each.
    failure_kinds: list[str] = field(default_factory=list)
    details: list[str] = field(default_factory=list)
    coverage: frozenset[str] = frozenset()
    virtual_s: float = 0.0

    def add_failure(self, kind: str, detail: str) -> None:
        """Adds a failure; only the first of a kind is kept."""
        if kind not in self.failure_kinds:
            self.failure_kinds.append(kind)
            self.details.append(detail)


def run_case(case: FuzzCase, with_coverage: bool = True) -> CaseResult:
    """Runs a test case and says what fails. Raises CaseTimeoutError where an alarm does so."""
    result = CaseResult(case)
    try:
        records, made = _run(case)
    except StuckError as problem:
        result.add_failure("stuck", str(problem))
        return result
    except KIT_ERRORS as problem:
        result.add_failure(f"stage {type(problem).__name__}", repr(problem))
        return result
    except MemoryError:
        result.add_failure("memory", "no more memory")
        return result
    result.service = made["service"]
    result.virtual_s = case.tables["day"]["length_s"]
    _add_broken_rules(made, result)
    _add_errors(records, result)
    if with_coverage:
        scenario = orjson.loads(orjson.dumps(scenario_of(case.tables, CASE_NAME)))
        result.coverage = frozenset(coverage_features(scenario, made["plan"], records))
    if not result.failure_kinds:
        _check_recovery(case, made, result)
    return result


def _run(case: FuzzCase) -> tuple[Json, Json]:
    """The records and the report of a run; the report holds the plan's rows, too."""
    scenario = scenario_of(case.tables, CASE_NAME)
    plan = draw_plan(scenario, CASE_NAME, case.seed)
    records = run_in_virtual_time(scenario, plan, max_callbacks=MAX_CALLBACKS)
    records["plan_digest"] = plan.digest()
    plan_rows = plan.rows()
    made = report.build(CASE_NAME, orjson.loads(orjson.dumps(scenario)), plan_rows, records)
    made["plan"] = plan_rows
    return records, made


def _add_broken_rules(made: Json, result: CaseResult) -> None:
    for row in made["breaches"]:
        text = NUMBERS.sub("#", row["what"]).partition(":")[2] or row["what"]
        detail = f"{row['at_s']:.3f} s {row['rule']} {row['request']} {row['node']} {row['what']}"
        result.add_failure(f"{row['rule']}{text[:RULE_TEXT_LENGTH]}", detail)


def _add_errors(records: Json, result: CaseResult) -> None:
    """Adds exceptions that nobody handled, and errors that routers logged."""
    for line in records["problems"]:
        text = NUMBERS.sub("#", line.partition(":")[2])
        result.add_failure("unhandled " + text[:UNHANDLED_TEXT_LENGTH], line)
    for router, lines in records["logs"].items():
        for line in lines:
            if " ERROR " in line:
                text = NUMBERS.sub("#", line.partition(" ")[2])
                result.add_failure("error " + text[:LOG_TEXT_LENGTH], f"{router} {line}")


def _check_recovery(case: FuzzCase, made: Json, result: CaseResult) -> None:
    """Adds a failure where service stays bad when its cause is gone.

    Guards against metastable failures, which break no rule: the end of the run is held against the same
    run without faults.
    """
    tables = case.tables
    recovered_s = _recovered_s(tables)
    if recovered_s is None:
        return
    steps = [step for step in made["steps"] if step["from_s"] >= recovered_s]
    if sum(step["requests"] for step in steps) < MIN_COMPARED_REQUESTS:
        return
    without_faults = copy.deepcopy(tables)
    without_faults["faults"] = []
    _, reference = _run(fuzz_case(without_faults, case.seed))
    last_step = steps[-1]  # there is one: it has the requests that were counted above
    from_s = last_step["from_s"]
    usual = next(row["service"] for row in reference["steps"] if row["from_s"] == from_s)
    if last_step["service"] < MIN_RECOVERED_FRACTION * usual:
        begin = f"service {last_step['service']:.3f} from {from_s} s on"
        result.add_failure("not back", f"{begin}, {usual:.3f} without any fault")


def _recovered_s(tables: Json) -> float | None:
    """The second of the run from which service is to have recovered; None where that can't be compared."""
    faults = tables.get("faults", [])
    ends_s = [fault["at_s"] + fault.get("for_s", 0) + fault.get("away_s", 0) for fault in faults]
    recovered_s = float(max(ends_s, default=0.0) + MAX_RECOVERY_S)
    if not faults or recovered_s > tables["day"]["length_s"] - MIN_COMPARED_S:
        return None
    if any(fault["kind"] in PERMANENT_FAULTS for fault in faults):
        return None
    if any(fault["kind"] == "node-drain" and not fault["away_s"] for fault in faults):
        return None
    return recovered_s
