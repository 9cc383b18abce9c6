"""The service of a run: worth earned, the score and the prices."""

import pytest
from recorded_run import MILLI, RecordedRun

from rainhitch.rehearsal.checker.service import measure_service


@pytest.fixture
def run() -> RecordedRun:
    """An empty run."""
    return RecordedRun()


def test_service_is_worth_within_the_objective_over_worth_asked(run: RecordedRun) -> None:
    run.add_served_request(0, took_ms=400)  # in time
    run.add_served_request(100, took_ms=600)  # late: a quarter
    run.add_try(run.add_request(200), 200, answered=300, kind="refused", detail="BUSY")
    run.add_served_request(300, took_ms=400, over=True)  # beyond a share: 5%
    measured = measure_service(run.evidence())
    assert measured["service"] == round((1 + 0.25 + 0.05) / 3.05, 6)
    assert measured["by_customer"]["big"] == round(1.25 / 3, 6)  # within its share alone
    causes = {one["cause"]: one["requests"] for one in measured["causes"]}
    assert causes == {"refused": 1, "served late": 1}


def test_a_retry_is_part_of_the_first_try_and_of_its_time() -> None:
    for answered, worth in ((499, 1.0), (520, 0.25)):
        run = RecordedRun()
        id = run.add_request(0, tries=2)
        run.add_try(id, 0, answered=50, kind="refused", detail="BUSY")
        run.add_try("r0.1", 200, answered=answered, kind="served", own=True)
        assert measure_service(run.evidence())["service"] == worth


def test_what_is_answered_after_the_client_left_earns_nothing(run: RecordedRun) -> None:
    id = run.add_request(0, wait_ms=300)
    run.add_try(id, 0, wait=300 * MILLI, answered=320, kind="served", own=True)
    measured = measure_service(run.evidence())
    assert measured["service"] == 0.0 and measured["causes"][0]["cause"] == "served too late"


def test_the_score_weighs_the_whole_the_worst_window_class_and_customer(run: RecordedRun) -> None:
    run.add_served_request(0)
    run.add_served_request(500, class_index=1, customer=1)
    run.add_try(run.add_request(11_500, customer=1), 11_500, answered=11_600, kind="refused")
    measured = measure_service(run.evidence())
    assert measured["parts"] == {
        "whole": round(2 / 3, 6),
        "worst_window": 0.0,
        "worst_class": 0.5,
        "worst_customer": 0.5,
    }
    assert measured["score"] == round(0.4 * round(2 / 3, 6) + 0.1 * 0.5 + 0.4 * 0.5, 6)


def test_prices_are_points_for_each_rate(run: RecordedRun) -> None:
    for number in range(4):
        id = run.add_served_request(number * 100, node="b-0")
        run.add_database_attempt(id, number * 100 + 1, number * 100 + 50, write=False)
    prices = measure_service(run.evidence())["prices"]
    assert prices["fetches"] == 5.0 and prices["crossings"] == 1.0 and prices["new_connections"] == 0.75


def test_the_prelude_is_not_scored_but_held_to_the_rules(run: RecordedRun) -> None:
    id = run.add_request(-500)
    run.add_try(id, -500)
    assert run.violations() == [("lost", id)] and measure_service(run.evidence())["requests"] == 0
