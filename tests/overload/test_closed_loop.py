"""Closed loop of rejections, retries and returns with thousands of clients in virtual time."""

import pytest
from closed_loop_simulation import ClientLoad, ClosedLoopSimulation, SimulationResult
from support import SECOND

from rainhitch import interface as api
from rainhitch.overload.controller import OverloadController
from rainhitch.policy.balancer import Balancer

SETTINGS = api.Settings(
    [
        api.RequestClass(SECOND, 3 * SECOND, late_weight=0.3),
        api.RequestClass(SECOND, 3 * SECOND, api.Idempotency.IDEMPOTENCY_KEY, "all", 5 * SECOND),
    ],
    max_attempts=4,
    retry_after_allowed=True,
    max_retry_after_ns=2 * SECOND,
)


def simulate(seed: int = 1, **changes: object) -> SimulationResult:
    """Simulates a storm of 3000 clients from second 6 on against a router with overload control."""
    values: dict[str, object] = {
        "rate_per_s": 150.0,
        "storm_clients": 3000,
        "storm_at_s": 6.0,
        "length_s": 18.0,
    }
    load = ClientLoad(**{**values, **changes})  # type: ignore[arg-type]

    def make_router(settings: api.Settings) -> Balancer:
        """Returns the router under test."""
        return Balancer(settings, 7, OverloadController(settings, 7))

    return ClosedLoopSimulation(load, SETTINGS, make_router, seed).play()


@pytest.mark.parametrize(
    ("honour_fraction", "retries", "backoff_s"), [(1.0, 2, 0.05), (0.0, 2, 0.0), (0.5, 4, 0.02)], ids=str
)
def test_service_recovers_by_itself_after_a_storm(
    honour_fraction: float, retries: int, backoff_s: float
) -> None:
    """Guards against a metastable failure: a storm that is sustained by its own retries after its trigger."""
    result = simulate(honour_fraction=honour_fraction, retries=retries, backoff_s=backoff_s)
    before = result.service(2, 6)
    assert before > 0.97
    assert 0 <= result.recovery_s(7, before, 18, within=0.05) <= 5  # the storm's clients arrive for 3 s more
    assert result.late_answers == 0 and result.simultaneous_writes == 0
    assert set(result.answers.values()) == {1}


def test_clients_that_honour_retry_after_return_spread_out() -> None:
    """Clients rejected in the same second return over the range of Retry-After times, not all at once."""
    waits_ms = sorted(simulate(honour_fraction=1.0).retry_after_ms)
    assert len(waits_ms) > 500 and waits_ms[0] > 0 and waits_ms[-1] <= 2000
    tenth = len(waits_ms) // 10
    assert waits_ms[-tenth] - waits_ms[tenth] > 400


def test_the_fleets_load_is_not_multiplied_by_the_routers_own_attempts() -> None:
    """With clients that ignore Retry-After and retry at once, attempts stay near the number of requests."""
    result = simulate(honour_fraction=0.0, retries=4)
    ended = sum(result.tries_by_end.values())
    assert sum(result.attempts.values()) <= 1.2 * ended + 10 * 18
