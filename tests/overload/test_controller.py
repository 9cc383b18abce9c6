"""The overload controller together with the decisions of a router."""

import pytest
from support import MILLI, SECOND, Router, settings

from rainhitch import interface as api
from rainhitch.interface import AttemptStatus
from rainhitch.overload.controller import OverloadController, OverloadOptions, RejectionCause
from rainhitch.overload.storm_detector import PERIOD_NS


def router_with_overload_control(**changes: object) -> tuple[Router, OverloadController]:
    """Returns a router and its overload controller."""
    options = settings(**changes)
    overload = OverloadController(options, 7)
    return Router(options, overload_control=overload), overload


def simulate_storm(router: Router, overload: OverloadController) -> None:
    """Simulates a storm of reconnects and retries until it is detected."""
    for _ in range(4):
        for _ in range(200):
            overload.connection_accepted(router.now, 200)
        for n in range(10):
            request = api.Request(f"s{router.now}.{n}", 0, router.now + SECOND, f"s{n}", is_client_retry=True)
            for action in router.handle(request):
                if isinstance(action, api.StartAttempt):
                    router.end_attempt(action, AttemptStatus.OK)
        router.wait(PERIOD_NS)
    assert overload.storm_active


def rejections(actions: list[api.Action]) -> list[api.Reject]:
    """Returns the rejections among the actions."""
    return [action for action in actions if isinstance(action, api.Reject)]


def test_a_storm_is_logged_in_one_line_at_its_start_and_one_at_its_end() -> None:
    router, overload = router_with_overload_control()
    simulate_storm(router, overload)
    for _ in range(40):
        router.wait(PERIOD_NS)
    lines = [line for line in router.log if line.startswith("storm")]
    assert [" ".join(line.split(" ")[:2]) for line in lines] == ["storm began", "storm ended"]
    assert " limit=" in lines[1] and not overload.storm_active


def test_in_a_storm_requests_over_the_limit_are_rejected_at_once_with_a_retry_after() -> None:
    router, overload = router_with_overload_control(retry_after_allowed=True, max_retry_after_ns=2 * SECOND)
    simulate_storm(router, overload)
    overload.concurrency_limit.limit = 3.0
    assert not rejections(router.request("a")[1]) and not rejections(router.request("b")[1])
    retry_after_ns = [rejections(router.request(f"c{n}")[1])[0].retry_after_ns for n in range(5)]
    assert all(0 < wait_ns <= 2 * SECOND for wait_ns in retry_after_ns) and len(set(retry_after_ns)) == 5


def test_outside_a_storm_the_limit_rejects_nothing() -> None:
    router, overload = router_with_overload_control()
    overload.concurrency_limit.limit = 0.0
    assert not any(rejections(router.request(f"c{n}")[1]) for n in range(20))


def test_in_a_storm_requests_too_late_to_be_answered_are_rejected_first() -> None:
    router, overload = router_with_overload_control()
    simulate_storm(router, overload)
    overload.service.answer_time_ns = 400.0 * MILLI
    overload.concurrency_limit.limit = 100.0
    late = router.handle(api.Request("late", 0, router.now + 150 * MILLI, "k"))
    assert rejections(late) and overload.rejections[RejectionCause.TOO_LATE] == 1
    assert not rejections(router.handle(api.Request("timely", 0, router.now + 600 * MILLI, "k")))


def test_attempts_at_the_origin_do_not_count_towards_the_limit() -> None:
    """Guards against rejected hits: misses waiting for a slow origin must not fill the limit."""
    router, overload = router_with_overload_control()
    for n in range(3):
        _, (first,) = router.request(f"m{n}")
        assert overload.concurrency_limit.in_flight == 1
        (second,) = router.end_attempt(first, AttemptStatus.MISS)
        assert isinstance(second, api.StartAttempt) and second.server == "origin"
    assert overload.concurrency_limit.in_flight == 0


def end_attempts(router: Router, actions: list[api.Action], status: AttemptStatus) -> list[api.Action]:
    """Ends each attempt of a request with `status`; returns the actions that answer the request."""
    number = 0
    while actions and isinstance(actions[0], api.StartAttempt):
        actions = router.end_attempt(actions[0], status, number)
        number += 1
    return actions


def test_the_routers_own_retries_stop_when_the_budget_is_spent() -> None:
    router, overload = router_with_overload_control()
    overload.retry_budget.tokens = 0.0
    overload.retry_budget.min_retries_per_s = 0.0
    answers = []
    for n in range(20):
        answers += end_attempts(router, router.request(f"k{n}")[1], AttemptStatus.ERROR)
    assert len(answers) == 20 and overload.rejections[RejectionCause.RETRY_BUDGET] >= 15


@pytest.mark.parametrize("damping", [True, False])
def test_without_damping_storms_are_detected_and_nothing_is_rejected(damping: bool) -> None:
    options = settings()
    overload = OverloadController(options, 7, OverloadOptions(damping=damping))
    router = Router(options, overload_control=overload)
    simulate_storm(router, overload)
    overload.concurrency_limit.limit = 0.0
    assert bool(rejections(router.request("k")[1])) is damping


def test_nothing_is_kept_of_finished_requests() -> None:
    router, overload = router_with_overload_control()
    for n in range(50):
        name, actions = router.request(f"k{n}", class_index=n % 2, write=bool(n % 2))
        if n % 3:
            router.handle(api.ClientGone(name))
        end_attempts(router, actions, AttemptStatus.ERROR)
    for action in router.wait(20 * SECOND):
        if isinstance(action, api.StartAttempt):
            router.end_attempt(
                action, AttemptStatus.OK, router.balancer.requests[action.id].attempts_started - 1
            )
    assert not overload.requests and not overload.cache_attempts and overload.concurrency_limit.in_flight == 0
