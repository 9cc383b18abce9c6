"""The report of a run: its exit code, its keys, its text."""

from typing import Any

import orjson
import pytest
from recorded_run import Json, RecordedRun, scenario, to_ns

from rainhitch.rehearsal import report, verdict
from rainhitch.rehearsal.report_text import as_text


@pytest.fixture
def run() -> RecordedRun:
    """An empty run."""
    return RecordedRun()


def build_report(run: RecordedRun, **expect: Any) -> Json:
    """The report of a run whose scenario has these expectations."""
    scenario_rows = orjson.loads(orjson.dumps(scenario()))
    scenario_rows["expect"] |= expect
    evidence = run.evidence()
    return report.build("x", scenario_rows, evidence.plan, evidence.records)


def test_the_exit_code_tells_held_broken_unmet_and_void(run: RecordedRun) -> None:
    run.add_served_request(0)
    assert build_report(run)["exit"] == verdict.HELD
    assert build_report(run, service=1.0)["exit"] == verdict.HELD
    run.add_try(run.add_request(100), 100, answered=200, kind="refused")
    unmet = build_report(run, service=0.9)
    assert unmet["exit"] == verdict.BROKEN and unmet["unmet"] == [
        "service is 0.5000, expected is 0.9 at least"
    ]
    run.database_stops = [(to_ns(900), True)]
    assert (
        build_report(run, origin_stops=0)["exit"] == verdict.BROKEN
        and build_report(run)["exit"] == verdict.HELD
    )
    run.add_try(run.add_request(300), 300)
    assert build_report(run)["exit"] == verdict.BROKEN and build_report(run)["rules"]["lost"] == 1
    run.stalls = [(to_ns(0), to_ns(700))]
    assert build_report(run)["exit"] == verdict.VOID  # the kit itself was late: it says nothing of the router


def test_a_report_has_the_promised_keys_and_fits_a_terminal(run: RecordedRun) -> None:
    id = run.add_request(0)
    run.add_try(id, 0)
    report_rows = build_report(run)
    promised = {"scenario", "seed", "plan_digest", "service", "score", "rules", "breaches", "rig_late"}
    assert promised <= set(report_rows) and {"lost", "repeated", "drained", "overrun"} <= set(
        report_rows["rules"]
    )
    text = as_text(report_rows)
    assert f"lost {id}" in text and "verdict: broken" in text and "worst customer" in text
    assert max(map(len, text.splitlines())) <= 100
