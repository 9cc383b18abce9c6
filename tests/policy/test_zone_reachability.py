"""Detection of unreachable zones after a few failures, without false positives by chance."""

from hypothesis import given
from hypothesis import strategies as st
from support import MILLI, SECOND, START, Router, fleet, settings

from rainhitch import interface as api
from rainhitch.interface import AttemptStatus
from rainhitch.policy.zone_reachability import FAILED_SERVERS_TO_EJECT_ZONE, ZoneReachability


def test_failures_in_a_row_at_several_servers_make_a_zone_unreachable_until_an_answer() -> None:
    zones = ZoneReachability(SECOND)
    zones.set_zones({0, 1})
    became_unreachable = [
        zones.record_failure(1, f"c{n}", START + n) for n in range(FAILED_SERVERS_TO_EJECT_ZONE + 1)
    ]
    assert became_unreachable == [False] * (FAILED_SERVERS_TO_EJECT_ZONE - 1) + [True, False]
    assert zones.is_unreachable(1) and not zones.is_unreachable(0)
    assert (
        zones.record_answer(1) == START + FAILED_SERVERS_TO_EJECT_ZONE - 1
        and not zones.is_unreachable(1)
        and zones.record_answer(1) == 0
    )


def test_one_server_that_fails_again_and_again_makes_no_zone_unreachable() -> None:
    zones = ZoneReachability(SECOND)
    zones.set_zones({0, 1})
    assert not any(zones.record_failure(1, "c0", START) for _ in range(99)) and not zones.is_unreachable(1)


def test_answers_in_between_keep_a_zone_reachable() -> None:
    zones = ZoneReachability(SECOND)
    zones.set_zones({0, 1})
    for n in range(99):
        assert not zones.record_failure(1, f"c{n}", START) and zones.record_answer(1) == 0


def test_the_only_zone_is_never_unreachable() -> None:
    zones = ZoneReachability(SECOND)
    zones.set_zones({0})
    assert not any(zones.record_failure(0, f"c{n}", START) for n in range(99)) and zones.may_be_tried(
        0, START
    )


def test_a_zone_that_leaves_the_list_is_forgotten() -> None:
    zones = ZoneReachability(SECOND)
    zones.set_zones({0, 1})
    for n in range(FAILED_SERVERS_TO_EJECT_ZONE):
        zones.record_failure(1, f"c{n}", START)
    zones.set_zones({0, 2})
    zones.set_zones({0, 1})
    assert not zones.is_unreachable(1)


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 5), st.integers(0, 2)), max_size=200))
def test_a_zone_gets_an_attempt_within_sixteen_seconds_and_is_unreachable_on_enough_failures_only(
    events: list[tuple[bool, int, int]],
) -> None:
    zones, now, failed_servers = ZoneReachability(SECOND), START, {zone: set[int]() for zone in range(3)}
    zones.set_zones(set(failed_servers))
    for failed, server, zone in events:
        now += SECOND // 10
        if zones.may_be_tried(zone, now):
            zones.attempt_started(zone, now)
        if failed:
            zones.record_failure(zone, str(server), now)
            failed_servers[zone].add(server)
        else:
            zones.record_answer(zone)
            failed_servers[zone].clear()
        assert zones.is_unreachable(zone) == (len(failed_servers[zone]) >= FAILED_SERVERS_TO_EJECT_ZONE)
        assert all(zones.may_be_tried(other_zone, now + 16 * SECOND) for other_zone in failed_servers)


def cut_off(router: Router) -> int:
    """Fails all attempts in zone 1, like a broken network link; returns the number of failed attempts."""
    failed = 0
    for n in range(200):
        _, actions = router.request(f"key{n}")
        for attempt in range(4):
            sent = [action for action in actions if isinstance(action, api.StartAttempt)]
            if not sent:
                break
            if router.balancer.servers.servers[sent[0].server].endpoint.zone == 0:
                router.end_attempt(sent[0], AttemptStatus.OK, attempt)
                break
            failed += 1
            actions = router.end_attempt(sent[0], AttemptStatus.CONNECT_FAILED, attempt, 250 * MILLI)
    return failed


def test_an_unreachable_zone_costs_a_few_attempts_in_all() -> None:
    """Guards against requests that spend all their attempts in an unreachable zone.

    The network link to a zone was broken. After failures at a few of its servers the zone must be skipped.
    """
    router = Router(settings(connect_timeout_ns=250 * MILLI), fleet(40))
    assert cut_off(router) <= FAILED_SERVERS_TO_EJECT_ZONE + 1
    assert any(line == "zone unreachable zone=1" for line in router.log)
    assert len(router.balancer.servers.ejected_servers()) == 20


def zone_comes_back(router: Router, reused: bool) -> api.StartAttempt:
    """Makes zone 1 unreachable for two seconds; returns the attempt there that is then answered."""
    cut_off(router)
    router.wait(2 * SECOND)
    for n in range(99):
        _, (send, *_) = router.request(f"after{n}")
        assert isinstance(send, api.StartAttempt)
        zone = router.balancer.servers.servers[send.server].endpoint.zone
        router.end_attempt(send, AttemptStatus.OK, 0, 10 * MILLI, reused=reused)
        if zone == 1:
            return send
    raise AssertionError("the zone was never tried again")


def test_a_zone_that_comes_back_is_in_slow_start_until_a_server_proves_otherwise() -> None:
    """Guards against full load on cold servers when a lost zone returns.

    All its servers had cold caches, and the endpoint list reported their restart later. Each of them must
    count as restarted (rule 4).
    """
    router = Router(settings(connect_timeout_ns=250 * MILLI), fleet(40))
    first = zone_comes_back(router, reused=False)
    assert router.balancer.servers.servers[first.server].slow_start.started_at_ns == router.now
    rest = [server for server in router.balancer.servers.servers.values() if server.endpoint.zone == 1]
    assert all(
        server.connection.consecutive_failures or server.slow_start.started_at_ns == router.now
        for server in rest
        if server.endpoint.kind != 9
    )


def test_a_zone_whose_connections_survived_needs_no_slow_start() -> None:
    router = Router(settings(connect_timeout_ns=250 * MILLI), fleet(40))
    first = zone_comes_back(router, reused=True)
    assert router.balancer.servers.servers[first.server].slow_start.started_at_ns == 0
    assert len(router.balancer.servers.ejected_servers()) <= FAILED_SERVERS_TO_EJECT_ZONE
    assert isinstance(router.request("later")[1][0], api.StartAttempt)
