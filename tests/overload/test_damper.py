"""The damper as decisions and clients meet it."""

import pytest
from support import MILLI, SECOND, Router, settings

from rainhitch import interface as api
from rainhitch.overload.controller import OverloadController, OverloadOptions
from rainhitch.overload.storm_detector import PERIOD

S = api.AttemptStatus


def damped(**changes: object) -> tuple[Router, OverloadController]:
    options = settings(**changes)
    damper = OverloadController(options, 7)
    return Router(options, damper=damper), damper


def storm(router: Router, damper: OverloadController) -> None:
    """Connects by the hundred, until the damper has seen them for what they are."""
    for _ in range(4):
        for _ in range(200):
            damper.connection_accepted(router.now, 200)
        for n in range(10):
            request = api.Request(f"s{router.now}.{n}", 0, router.now + SECOND, f"s{n}", is_client_retry=True)
            for action in router.tell(request):
                if isinstance(action, api.StartAttempt):
                    router.end(action, S.OK)
        router.wait(PERIOD)
    assert damper.storm_active


def refusals(actions: list[api.Action]) -> list[api.Reject]:
    return [one for one in actions if isinstance(one, api.Reject)]


def test_a_storm_is_told_in_one_line_at_its_begin_and_one_at_its_end() -> None:
    router, damper = damped()
    storm(router, damper)
    for _ in range(40):
        router.wait(PERIOD)
    lines = [line for line in router.log if line.startswith("storm")]
    assert [line.split(":")[0].split(" after")[0] for line in lines] == ["storm seen", "storm over"]
    assert "limit" in lines[1] and not damper.storm_active


def test_in_a_storm_what_is_beyond_the_limit_is_refused_at_once_with_a_time() -> None:
    router, damper = damped(retry_after_allowed=True, max_retry_after_ns=2 * SECOND)
    storm(router, damper)
    damper.limit.limit = 3.0
    assert not refusals(router.ask("a")[1]) and not refusals(router.ask("b")[1])
    told = [refusals(router.ask(f"c{n}")[1])[0].retry_after_ns for n in range(5)]
    assert all(0 < one <= 2 * SECOND for one in told) and len(set(told)) == 5


def test_in_calm_nothing_is_refused_by_the_limit() -> None:
    router, damper = damped()
    damper.limit.limit = 0.0
    assert not any(refusals(router.ask(f"c{n}")[1]) for n in range(20))


def test_in_a_storm_what_comes_too_late_to_be_served_is_refused_first() -> None:
    router, damper = damped()
    storm(router, damper)
    damper.took, damper.limit.limit = 400.0 * MILLI, 100.0
    late = router.tell(api.Request("late", 0, router.now + 150 * MILLI, "k"))
    assert refusals(late) and damper.refused_by["too late"] == 1
    assert not refusals(router.tell(api.Request("timely", 0, router.now + 600 * MILLI, "k")))


def test_what_waits_for_the_origin_takes_no_place_from_hits() -> None:
    """Misses that waited for a slow database filled the limit, and hits were refused."""
    router, damper = damped()
    for n in range(3):
        _, (first,) = router.ask(f"m{n}")
        assert damper.limit.in_work == 1
        (second,) = router.end(first, S.MISS)
        assert isinstance(second, api.StartAttempt) and second.server == "origin"
    assert damper.limit.in_work == 0


def finish(router: Router, actions: list[api.Action], status: api.AttemptStatus) -> list[api.Action]:
    """Ends every attempt of a request so, until it has its answer."""
    number = 0
    while actions and isinstance(actions[0], api.StartAttempt):
        actions = router.end(actions[0], status, number)
        number += 1
    return actions


def test_the_routers_own_further_attempts_end_with_the_budget() -> None:
    router, damper = damped()
    damper.budget.tokens = damper.budget.least = 0.0
    answers = []
    for n in range(20):
        answers += finish(router, router.ask(f"k{n}")[1], S.ERROR)
    assert len(answers) == 20 and damper.refused_by["budget"] >= 15


@pytest.mark.parametrize("damping", [True, False])
def test_without_damping_storms_are_seen_and_nothing_is_done(damping: bool) -> None:
    options = settings()
    damper = OverloadController(options, 7, OverloadOptions(damping=damping))
    router = Router(options, damper=damper)
    storm(router, damper)
    damper.limit.limit = 0.0
    assert bool(refusals(router.ask("k")[1])) is damping


def test_nothing_is_kept_of_what_is_over() -> None:
    router, damper = damped()
    for n in range(50):
        name, actions = router.ask(f"k{n}", cls=n % 2, write=bool(n % 2))
        if n % 3:
            router.tell(api.ClientGone(name))
        finish(router, actions, S.ERROR)
    for action in router.wait(20 * SECOND):
        if isinstance(action, api.StartAttempt):
            router.end(action, S.OK, router.balancer.requests[action.id].attempts_started - 1)
    assert not damper.entered and not damper.out and damper.limit.in_work == 0
