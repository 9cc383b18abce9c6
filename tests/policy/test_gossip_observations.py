"""Observations from other routers, and detection of overdue attempts and lost answers."""

import pytest
from support import MILLI, SECOND, Router, fleet, settings

from rainhitch import interface as api
from rainhitch.interface import AttemptStatus
from rainhitch.policy.gossip_observations import SILENT_AFTER_INTERVALS
from rainhitch.policy.server import Server


@pytest.mark.parametrize(
    ("intervals", "routers_to_account_for"),
    [(0, 1), (SILENT_AFTER_INTERVALS, 1), (SILENT_AFTER_INTERVALS + 1, 60)],
)
def test_other_routers_are_silent_after_many_intervals_without_gossip(
    intervals: int, routers_to_account_for: int
) -> None:
    interval_ns = 200 * MILLI
    router = Router(settings(gossip_interval_ns=interval_ns, router_count=60))
    assert router.balancer.servers.routers_to_account_for() == 60
    router.handle(api.GossipReceived([api.LatencyObservation("c0", 10 * MILLI)]))
    router.balancer.context.now_ns = router.now + intervals * interval_ns
    assert router.balancer.servers.routers_to_account_for() == routers_to_account_for


def router_with_late_attempt(keeps_answering: bool = True) -> tuple[Router, api.StartAttempt, Server]:
    """Returns a router that gossips, its one attempt in flight, and the attempt's server.

    The server is known to answer in 100 ms. With `keeps_answering` it has answered an attempt that was sent
    earlier.
    """
    router = Router(settings(gossip_interval_ns=200 * MILLI, router_count=60), fleet(2))
    router.handle(api.GossipReceived([api.LatencyObservation(f"c{n}", SECOND // 10) for n in (0, 1)]))
    _, (send,) = router.request("k")
    assert isinstance(send, api.StartAttempt)
    router.wait(50 * MILLI)
    if keeps_answering:
        router.handle(api.AttemptFinished("before", 0, send.server, AttemptStatus.OK, True, 110 * MILLI))
    return router, send, router.balancer.servers.servers[send.server]


def published_ages(actions: list[api.Action], name: str) -> list[int]:
    """Returns the published ages of attempts in flight at this server."""
    observations = [
        seen for action in actions if isinstance(action, api.PublishGossip) for seen in action.observations
    ]
    return [seen.elapsed_ns for seen in observations if seen.server == name and seen.is_in_flight]


def test_an_overdue_attempt_is_published_before_its_answer_comes() -> None:
    """Guards against overload that is noticed only by its answers, seconds late.

    In runs without faults, sixty routers saw latencies of four times the latency expected when the requests
    were sent. An attempt in flight for much longer than expected must raise the latency at once, in this
    router and by gossip.
    """
    router, send, server = router_with_late_attempt()
    before = server.latency.average_ns
    assert published_ages(router.wait(100 * MILLI), send.server) == [] and server.latency.average_ns == before
    ages_ns = published_ages(router.wait(1500 * MILLI), send.server)
    assert ages_ns and max(ages_ns) > SECOND and server.latency.average_ns > 2 * before
    router.end_attempt(send, AttemptStatus.OK, 0, 1650 * MILLI)
    assert published_ages(router.wait(3 * SECOND), send.server) == []
    assert not router.balancer.servers.gossip.in_flight


def test_a_server_that_answers_nobody_is_unreachable_and_not_overloaded() -> None:
    """Guards against unreachable servers being treated as overloaded.

    A zone was cut off, and its servers counted as overloaded long after that. Attempts at a server that does
    not answer any router must not raise its latency.
    """
    router, send, server = router_with_late_attempt(keeps_answering=False)
    before = server.latency.average_ns
    assert (
        published_ages(router.wait(1500 * MILLI), send.server) == [] and server.latency.average_ns == before
    )


def test_an_attempt_that_is_not_overdue_is_not_published() -> None:
    router, send, server = router_with_late_attempt()
    server.latency.average_ns = server.latency.unloaded_ns = float(SECOND)
    assert published_ages(router.wait(1500 * MILLI), send.server) == []


def test_a_silent_connection_to_a_server_that_answers_later_attempts_is_not_published() -> None:
    """Guards against one lost answer being treated as overload.

    If the server has answered an attempt that was sent later, an overdue attempt must not affect its latency.
    """
    router, send, server = router_with_late_attempt()
    router.wait(50 * MILLI)
    router.handle(api.AttemptFinished("x", 0, send.server, AttemptStatus.OK, True, 20 * MILLI))
    router.wait(400 * MILLI)
    assert (
        published_ages(router.wait(1500 * MILLI), send.server) == []
        and server.latency.average_ns < SECOND / 8
    )


def test_an_overdue_attempt_is_not_published_while_other_routers_are_silent() -> None:
    """Guards against lost answers being treated as overload while gossip is lost too.

    Without gossip there is no evidence that the server answers other routers, so an overdue attempt must not
    affect its latency.
    """
    router, send, server = router_with_late_attempt()
    router.balancer.servers.gossip.received_at_ns = -SECOND * 1000
    before = server.latency.average_ns
    assert (
        published_ages(router.wait(1500 * MILLI), send.server) == [] and server.latency.average_ns == before
    )


@pytest.mark.parametrize(
    ("cls", "write", "is_cancelled"), [(0, False, True), (1, True, False), (2, True, False)]
)
def test_a_read_whose_answer_is_lost_is_cancelled_and_sent_elsewhere(
    cls: int, write: bool, is_cancelled: bool
) -> None:
    """Guards against reads that wait for a lost answer until their clients disconnect, seven seconds later.

    A read must be cancelled once its server has answered an attempt that was sent much later. A request that
    may have an effect is not cancelled.
    """
    router = Router(
        settings(gossip_interval_ns=200 * MILLI, router_count=60, cache_aside=False), fleet(3, origin=False)
    )
    names = [f"c{n}" for n in range(3)]
    gossip = api.GossipReceived([api.LatencyObservation(name, SECOND // 10) for name in names])
    router.handle(gossip)
    name, (send,) = router.request("k", cls, write)
    assert isinstance(send, api.StartAttempt)
    cancellations = []
    for _ in range(6):
        cancellations += [
            action for action in router.wait(200 * MILLI) if isinstance(action, api.CancelAttempt)
        ]
        assert not cancellations, "cancelled before its server answered an attempt that was sent much later"
    router.handle(gossip)
    cancellations += [action for action in router.wait(300 * MILLI) if isinstance(action, api.CancelAttempt)]
    assert bool(cancellations) is is_cancelled and all(
        cancellation == api.CancelAttempt(name, 0) for cancellation in cancellations
    )
    if is_cancelled:
        (again,) = router.end_attempt(send, AttemptStatus.TIMEOUT, 0, 1500 * MILLI)
        assert isinstance(again, api.StartAttempt) and again.server != send.server


@pytest.mark.parametrize("is_in_flight", [False, True])
def test_a_lost_answer_is_no_overload_where_another_router_got_a_later_one(is_in_flight: bool) -> None:
    """Guards against healthy servers that get no more requests because answers are lost.

    Three of four healthy servers were affected. Each lost answer was published as overdue until its timeout,
    by a router that sends the server few requests. Gossip of a later answer must stop that.
    """
    router, send, server = router_with_late_attempt()
    router.wait(600 * MILLI)
    server.latency.average_ns, server.latency.unloaded_ns = SECOND / 10, SECOND / 10
    for _ in range(6):
        router.handle(api.GossipReceived([api.LatencyObservation(send.server, SECOND // 10, is_in_flight)]))
        router.wait(200 * MILLI)
    assert (server.latency.average_ns > SECOND / 5) is is_in_flight
    overloaded = server.latency.average_ns
    router.end_attempt(send, AttemptStatus.TIMEOUT, 0, 1800 * MILLI)
    assert (server.latency.average_ns > overloaded) is is_in_flight, "its timeout counted as overload"
