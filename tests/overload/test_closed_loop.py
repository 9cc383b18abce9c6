"""The closed loop of refusals, retries and returns, with thousands of clients in virtual time."""

import pytest
from support import SECOND

from rainhitch import interface as api
from rainhitch.overload.controller import OverloadController
from rainhitch.policy.balancer import Balancer
from rainhitch.rehearsal.closed_loop_simulation import ClientLoad, ClosedLoopSimulation, SimulationResult

SETTINGS = api.Settings(
    [
        api.RequestClass(SECOND, 3 * SECOND, late_weight=0.3),
        api.RequestClass(SECOND, 3 * SECOND, api.Idempotency.IDEMPOTENCY_KEY, "all", 5 * SECOND),
    ],
    max_attempts=4,
    retry_after_allowed=True,
    max_retry_after_ns=2 * SECOND,
)


def played(seed: int = 1, **changes: object) -> SimulationResult:
    values: dict[str, object] = {"rate": 150.0, "storm": 3000, "storm_at": 6.0, "length_s": 18.0}
    crowd = ClientLoad(**{**values, **changes})  # type: ignore[arg-type]
    return ClosedLoopSimulation(
        crowd, SETTINGS, lambda told: Balancer(told, 7, OverloadController(told, 7)), seed
    ).play()


@pytest.mark.parametrize(
    ("honour", "retries", "backoff"), [(1.0, 2, 0.05), (0.0, 2, 0.0), (0.5, 4, 0.02)], ids=str
)
def test_service_comes_back_by_itself_when_the_storm_is_over(
    honour: float, retries: int, backoff: float
) -> None:
    """A storm whose retries keep it going would outlast its trigger: a metastable failure."""
    course = played(honour=honour, retries=retries, backoff_s=backoff)
    before = course.service(2, 6)
    assert before > 0.97
    assert 0 <= course.recovered(7, before, 18, within=0.05) <= 5  # clients of the storm come for 3 s more
    assert course.late == 0 and course.twice == 0
    assert set(course.answers.values()) == {1}


def test_clients_that_honour_retry_after_come_back_spread_out() -> None:
    """All that are refused in a second come back over the time that may be told, not in one heap."""
    waits = sorted(played(honour=1.0).waits)
    assert len(waits) > 500 and waits[0] > 0 and waits[-1] <= 2000
    tenth = len(waits) // 10
    assert waits[-tenth] - waits[tenth] > 400


def test_the_fleets_load_is_not_multiplied_by_the_routers_own_attempts() -> None:
    course = played(honour=0.0, retries=4)
    asked = sum(course.ended.values())
    assert sum(course.sends.values()) <= 1.2 * asked + 10 * 18
