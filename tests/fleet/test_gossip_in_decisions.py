"""Effect of other routers' observations on the decisions, and the observations that are published."""

from support import MILLI, SECOND, START, Router, settings

from rainhitch import interface as api


def test_another_routers_slow_answers_cut_a_servers_range_and_quick_ones_restore_it() -> None:
    """Guards against a router that meets an overloaded server seldom and loads it for tens of seconds."""
    router = Router(settings(router_count=40))
    server = router.balancer.servers.servers["c0"]
    for _ in range(4):
        router.wait(2 * SECOND)
        router.handle(api.GossipReceived([api.LatencyObservation("c0", SECOND)]))
    assert server.range_share < 0.4 and server.latency.average_ns > SECOND / 4
    for _ in range(40):
        router.handle(api.GossipReceived([api.LatencyObservation("c0", 20 * MILLI)]))
    assert server.range_share == 1.0 and server.latency.average_ns < SECOND / 8


def test_gossip_adds_no_server_and_leaves_the_origin_to_the_throttle() -> None:
    router = Router()
    origin = router.balancer.servers.origin
    assert origin is not None
    before = origin.latency.average_ns
    assert (
        router.handle(
            api.GossipReceived(
                [api.LatencyObservation("origin", 9 * SECOND), api.LatencyObservation("nobody", SECOND)]
            )
        )
        == []
    )
    assert origin.latency.average_ns == before and "nobody" not in router.balancer.servers.servers


def test_observations_are_published_once_and_only_where_there_are_other_routers() -> None:
    for every in (0, SECOND):
        router = Router(settings(gossip_interval_ns=every))
        _, (first,) = router.request("k")
        assert isinstance(first, api.StartAttempt)
        server = first.server
        router.now += 100 * MILLI
        router.end_attempt(first, api.AttemptStatus.MISS)
        router.balancer.servers.attempt_finished(
            api.AttemptFinished("x", 0, server, api.AttemptStatus.OK, True, 80 * MILLI)
        )
        published = [action for action in router.wait(5 * SECOND) if isinstance(action, api.PublishGossip)]
        assert [report.observations for report in published if report.observations] == (
            [[api.LatencyObservation(server, 80 * MILLI)]] if every else []
        )
        assert bool(published) is (every > 0), "published once per interval, with or without observations"
    assert router.now > START
