"""What a router believes of a server's crowd, when it hears of it late, seldom, or no more."""

import pytest
from support import MILLI, SECOND, START, Router, fleet, settings

from rainhitch import interface as api
from rainhitch.policy.gossip_observations import SILENT_AFTER_INTERVALS
from rainhitch.policy.latency_estimator import LatencyEstimator
from rainhitch.policy.server_registry import Server

S = api.AttemptStatus


def crowded(out: int = 0) -> Server:
    """A server that took 700 ms when it last answered, and 100 ms when it was idle."""
    latency = LatencyEstimator(0.7 * SECOND, SECOND / 10, START, 1.0 + out)
    return Server(api.Endpoint("c"), latency, in_flight=out, last_sent_at_ns=START)


def test_a_crowd_is_forgotten_in_the_time_in_which_it_is_served() -> None:
    """Guards against the collapse of an idle fleet: each server's last answer was slow, nobody asks again,
    and so it stays slow in all routers' eyes."""
    assert not crowded().admits_or_starts_probe(START + SECOND // 10, SECOND, 4, 1, 1)
    assert crowded().admits_or_starts_probe(START + SECOND, SECOND, 4, 1, 1)
    assert not crowded().is_probing, "it is calm, not on trial"


def test_others_who_are_not_heard_may_keep_a_crowd_up() -> None:
    assert not crowded(out=1).admits_or_starts_probe(START + SECOND, SECOND, 4, 60, 60)
    assert crowded(out=1).admits_or_starts_probe(START + 60 * SECOND, SECOND, 4, 60, 60)


def test_a_server_that_was_never_seen_idle_keeps_its_answer_time() -> None:
    one = Server(api.Endpoint("c"), LatencyEstimator(0.7 * SECOND, updated_at_ns=START))
    assert one.expected_latency_ns(START + 60 * SECOND, 1) == 0.7 * SECOND


def test_a_new_answer_counts_against_what_is_left_of_the_crowd() -> None:
    """Guards against one quick answer after a long silence that changes little: the rest is long gone."""
    one = crowded()
    one.latency.record_latency(START + 10 * SECOND, 2 * SECOND, SECOND // 10, 1)
    assert one.latency.average_ns < 0.11 * SECOND


def test_a_crowd_that_stays_is_seen_whole_however_often_it_answers() -> None:
    """Guards against a bit forgotten between any two answers: ten a second left a third of a crowd unseen."""
    one = crowded()
    for step in range(1, 200):
        one.latency.record_latency(START + step * 100 * MILLI, 2 * SECOND, 700 * MILLI, 1)
    assert one.latency.average_ns > 0.69 * SECOND


@pytest.mark.parametrize(
    ("after", "unheard"), [(0, 1), (SILENT_AFTER_INTERVALS, 1), (SILENT_AFTER_INTERVALS + 1, 60)]
)
def test_the_others_count_as_heard_while_their_words_come(after: int, unheard: int) -> None:
    every = 200 * MILLI
    router = Router(settings(gossip_interval_ns=every, router_count=60))
    assert router.balancer.servers.silent_routers() == 60
    router.tell(api.GossipReceived([api.LatencyObservation("c0", 10 * MILLI)]))
    router.balancer.context.now_ns = router.now + after * every
    assert router.balancer.servers.silent_routers() == unheard


@pytest.mark.parametrize("routers", [1, 60])
def test_trials_of_a_swamped_server_are_shared_by_all_routers_also_while_their_words_come(
    routers: int,
) -> None:
    """Guards against a trial an answer time from each router: at sixty they were a third of all that swamped
    servers were sent, and kept them swamped."""
    router = Router(settings(gossip_interval_ns=200 * MILLI, router_count=routers), fleet(1))
    server = router.balancer.servers.servers["c0"]
    server.latency.uncrowded_ns, server.latency.average_ns, server.latency.updated_at_ns = (
        SECOND / 10,
        2 * SECOND,
        router.now,
    )
    tried = 0
    for _ in range(300):
        router.wait(200 * MILLI)
        router.tell(api.GossipReceived([api.LatencyObservation("c0", 2 * SECOND)]))
        _, actions = router.ask("k")
        for send in actions:
            if isinstance(send, api.StartAttempt):
                tried += 1
                router.now += 1
                server.is_probing = False
                router.tell(api.AttemptFinished(send.id, 0, send.server, S.ABANDONED, False, 1))
    assert (20 if routers == 1 else 1) <= tried <= (60 if routers == 1 else 10)


def late_fleet(goes_on: bool = True) -> tuple[Router, api.StartAttempt, Server]:
    """A router that tells others, with one attempt out at a server known to answer in 100 ms, which goes on
    answering what was sent earlier."""
    router = Router(settings(gossip_interval_ns=200 * MILLI, router_count=60), fleet(2))
    router.tell(api.GossipReceived([api.LatencyObservation(f"c{n}", SECOND // 10) for n in (0, 1)]))
    _, (send,) = router.ask("k")
    assert isinstance(send, api.StartAttempt)
    router.wait(50 * MILLI)
    if goes_on:
        router.tell(api.AttemptFinished("before", 0, send.server, S.OK, True, 110 * MILLI))
    return router, send, router.balancer.servers.servers[send.server]


def times_told(actions: list[api.Action], name: str) -> list[int]:
    """The ages told of attempts that are out there."""
    told = [seen for one in actions if isinstance(one, api.PublishGossip) for seen in one.observations]
    return [seen.elapsed_ns for seen in told if seen.server == name and seen.is_in_flight]


def test_an_attempt_that_is_out_for_long_tells_of_a_jam_before_its_answer_comes() -> None:
    """Guards against a jam of which all learn once its answers come, seconds late: on calm days of sixty
    routers, answers took four times what was expected when the requests were sent."""
    router, send, server = late_fleet()
    before = server.latency.average_ns
    assert times_told(router.wait(100 * MILLI), send.server) == [] and server.latency.average_ns == before
    told = times_told(router.wait(1500 * MILLI), send.server)
    assert told and max(told) > SECOND and server.latency.average_ns > 2 * before
    router.end(send, S.OK, 0, 1650 * MILLI)
    assert times_told(router.wait(3 * SECOND), send.server) == []
    assert not router.balancer.servers.gossip.in_flight


def test_a_server_that_answers_nobody_is_silent_and_tells_of_no_jam() -> None:
    """Guards against a room that is cut off: its servers were taken for swamped ones long after the cut."""
    router, send, server = late_fleet(goes_on=False)
    before = server.latency.average_ns
    assert times_told(router.wait(1500 * MILLI), send.server) == [] and server.latency.average_ns == before


def test_an_attempt_within_what_is_expected_tells_nothing() -> None:
    router, send, server = late_fleet()
    server.latency.average_ns = server.latency.uncrowded_ns = float(SECOND)
    assert times_told(router.wait(1500 * MILLI), send.server) == []


def test_a_silent_connection_to_a_server_that_answers_others_tells_nothing() -> None:
    """Guards against one lost answer taken for a jam: what was sent later has been answered."""
    router, send, server = late_fleet()
    router.wait(50 * MILLI)
    router.tell(api.AttemptFinished("x", 0, send.server, S.OK, True, 20 * MILLI))
    router.wait(400 * MILLI)
    assert times_told(router.wait(1500 * MILLI), send.server) == [] and server.latency.average_ns < SECOND / 8


def test_an_overdue_attempt_tells_nothing_where_nobody_is_heard() -> None:
    """Guards against lost answers in a fleet whose words are lost as well: there is no proof by others."""
    router, send, server = late_fleet()
    router.balancer.servers.gossip.received_at_ns = -SECOND * 1000
    before = server.latency.average_ns
    assert times_told(router.wait(1500 * MILLI), send.server) == [] and server.latency.average_ns == before


@pytest.mark.parametrize(("cls", "write", "ends"), [(0, False, True), (1, True, False), (2, True, False)])
def test_a_read_whose_answer_is_lost_is_ended_and_sent_elsewhere(cls: int, write: bool, ends: bool) -> None:
    """Guards against answers lost on the way: such reads waited seven seconds, until nobody wanted them. What
    may have an effect is waited for."""
    router = Router(
        settings(gossip_interval_ns=200 * MILLI, router_count=60, cache_aside=False), fleet(3, origin=False)
    )
    names = [f"c{n}" for n in range(3)]
    heard = api.GossipReceived([api.LatencyObservation(name, SECOND // 10) for name in names])
    router.tell(heard)
    name, (send,) = router.ask("k", cls, write)
    assert isinstance(send, api.StartAttempt)
    stops = []
    for _ in range(6):
        stops += [one for one in router.wait(200 * MILLI) if isinstance(one, api.CancelAttempt)]
        assert not stops, "no proof yet that its server has answered what was sent much later"
    router.tell(heard)
    stops += [one for one in router.wait(300 * MILLI) if isinstance(one, api.CancelAttempt)]
    assert bool(stops) is ends and all(one == api.CancelAttempt(name, 0) for one in stops)
    if ends:
        (again,) = router.end(send, S.TIMEOUT, 0, 1500 * MILLI)
        assert isinstance(again, api.StartAttempt) and again.server != send.server


@pytest.mark.parametrize("out", [False, True])
def test_one_lost_answer_is_no_jam_where_another_router_has_had_a_later_one(out: bool) -> None:
    """Guards against answers that are lost on the way: each was told of until its time was up, by a router
    that sees the server seldom, and three in four healthy servers were used no more."""
    router, send, server = late_fleet()
    router.wait(600 * MILLI)
    server.latency.average_ns, server.latency.uncrowded_ns = SECOND / 10, SECOND / 10
    for _ in range(6):
        router.tell(api.GossipReceived([api.LatencyObservation(send.server, SECOND // 10, out)]))
        router.wait(200 * MILLI)
    assert (server.latency.average_ns > SECOND / 5) is out
    jammed = server.latency.average_ns
    router.end(send, S.TIMEOUT, 0, 1800 * MILLI)
    assert (server.latency.average_ns > jammed) is out, "nor is its time-out one"


def test_a_full_connection_table_tells_nothing_of_load_and_is_passed_by() -> None:
    """Guards against tables smaller than the fleet: each newcomer that is turned away made the server look
    swamped to all routers, and after two of them a request was refused while servers idled."""
    router = Router(settings(gossip_interval_ns=SECOND), fleet(6))
    _, (send,) = router.ask("k")
    tried = set()
    for attempt in range(3):
        assert isinstance(send, api.StartAttempt)
        tried.add(send.server)
        before = router.balancer.servers.servers[send.server].latency.average_ns
        (send,) = router.end(send, S.FULL, attempt, 2 * MILLI, reused=False)
        assert all(router.balancer.servers.servers[name].latency.average_ns <= before for name in tried)
    assert len(tried) == 3
    router.end(send, S.OK, 3, 80 * MILLI)
    told = [one for one in router.wait(3 * SECOND) if isinstance(one, api.PublishGossip)]
    assert [seen.server for one in told for seen in one.observations] == [send.server]  # type: ignore[union-attr]


def test_a_full_queue_is_load_as_before() -> None:
    router = Router()
    _, (send,) = router.ask("k")
    assert isinstance(send, api.StartAttempt)
    before = router.balancer.servers.servers[send.server].latency.average_ns
    router.end(send, S.FULL)
    assert router.balancer.servers.servers[send.server].latency.average_ns > 3 / 2 * before
