"""Decisions of the balancer and its modules, one rule or failure per test."""

import re

import pytest
from support import MILLI, ORIGIN_KIND, SECOND, START, Router, fleet, settings

from rainhitch import interface as api
from rainhitch.interface import AttemptStatus
from rainhitch.policy.key_memory import MAX_KEYS, KeyMemory
from rainhitch.policy.key_popularity import KeyPopularity
from rainhitch.policy.latency_estimator import LatencyEstimator
from rainhitch.policy.origin_monitor import OriginMonitor
from rainhitch.policy.retry_policy import WINDOW_RESERVE_NS
from rainhitch.policy.server import Server


def sends(actions: list[api.Action]) -> list[str]:
    """Returns the servers at which attempts start."""
    return [action.server for action in actions if isinstance(action, api.StartAttempt)]


@pytest.fixture(autouse=True)
def no_key_is_hot(monkeypatch: pytest.MonkeyPatch) -> None:
    """Turns off hot keys: with so few requests each repeated key would count as hot.

    Hot keys are tested in test_regressions.py.
    """
    monkeypatch.setattr(KeyPopularity, "count_and_spread", lambda self, key, server_count: 0)


# Placement


def test_ranges_are_equal_and_independent_of_the_lists_order() -> None:
    router = Router(endpoints=[api.Endpoint(name) for name in "abcd"])
    other = Router(endpoints=[api.Endpoint(name) for name in "cadb"])
    owners = [router.candidates(f"key{n}")[0].endpoint.server for n in range(4000)]
    assert owners == [other.candidates(f"key{n}")[0].endpoint.server for n in range(4000)]
    assert all(900 < owners.count(name) < 1100 for name in "abcd")


def test_the_origin_and_draining_or_gone_servers_own_no_range() -> None:
    members = fleet(4)
    members[1].state = api.EndpointState.DRAINING
    router = Router(endpoints=members)
    router.handle(
        api.EndpointUpdate(api.EndpointUpdateKind.DELTA, [api.Endpoint("c2", api.EndpointState.GONE)])
    )
    assert router.balancer.placement.ranges.names == ["c0", "c3"]


def test_a_full_list_removes_the_servers_it_does_not_name() -> None:
    router = Router()
    router.handle(api.EndpointUpdate(api.EndpointUpdateKind.FULL, fleet(2)))
    assert router.balancer.placement.ranges.names == ["c0", "c1"]


# Key memory


def test_memory_is_bounded_and_forgets_the_oldest() -> None:
    memory = KeyMemory()
    for n in range(MAX_KEYS + 5):
        memory.remember(str(n), n, "s")
    assert len(memory.seen) == MAX_KEYS
    assert memory.likely_miss("0", MAX_KEYS) and not memory.likely_miss(str(MAX_KEYS), MAX_KEYS)


def test_the_age_at_which_reads_start_to_miss_is_learned() -> None:
    memory = KeyMemory()
    for n in range(10):
        memory.remember(str(n), 0, "s")
        memory.record_read(str(n), 8 * SECOND, "s", False)
    memory.remember("k", 0, "s")
    assert memory.likely_miss("k", 8 * SECOND) and not memory.likely_miss("k", SECOND // 8)


# Throttle and monitor on the request path


def test_unthrottled_misses_are_read_from_the_origin_and_remembered() -> None:
    router = Router()
    name = router.fetch_and_store("k")
    _, actions = router.request("k")
    assert sends(actions) == [name]
    assert not router.balancer.key_memory.likely_miss("k", router.now)


def test_likely_misses_beyond_the_tokens_wait_and_are_rejected_by_the_end_of_their_objective() -> None:
    router = Router()
    router.throttle_on()
    throttle = router.balancer.origin_admission.monitor.throttle
    assert throttle is not None
    request_ids, at_once = [], []
    for n in range(30):
        name, actions = router.request(f"new{n}")
        request_ids.append(name)
        at_once += actions
    waiting = set(throttle.queue)
    assert waiting and len(waiting) <= throttle.buffer
    later = router.wait(SECOND)
    assert sends(later), "expected queued requests to start when tokens arrive"
    refused = {action.id for action in at_once + later if isinstance(action, api.Reject)}
    sent = {action.id for action in at_once + later if isinstance(action, api.StartAttempt)}
    assert refused | sent == set(request_ids) and not refused & sent


def test_the_origin_read_of_an_unexpected_miss_takes_a_token_too() -> None:
    router = Router()
    router.throttle_on()
    router.wait(SECOND)
    throttle = router.balancer.origin_admission.monitor.throttle
    assert throttle is not None
    throttle.refill(router.now)
    throttle.level = 3
    _, (first,) = router.request("x")
    level = throttle.level
    (second,) = router.end_attempt(first, AttemptStatus.MISS)
    assert sends([second]) == ["origin"] and (level, throttle.level) == (2, 1)


def test_recently_hit_keys_pass_a_throttle_that_is_on() -> None:
    router = Router()
    name = router.fetch_and_store("k")
    router.throttle_on()
    _, actions = router.request("k")
    assert sends(actions) == [name]


def test_the_throttle_goes_off_when_reads_stay_healthy() -> None:
    router = Router()
    router.throttle_on()
    router.wait(60 * SECOND)
    assert router.balancer.origin_admission.monitor.throttle is None
    assert router.log[0].startswith("throttle on likely_misses_per_s=") and router.log[-1] == "throttle off"


def test_requests_over_quota_do_not_wait_for_tokens() -> None:
    router = Router(settings(tenants=[api.Tenant(3.0), api.Tenant(3.0)]))
    router.throttle_on()
    for n in range(40):
        _, actions = router.request(f"n{n}", tenant=1)
    assert [type(action) for action in actions] == [api.Reject]


def test_the_rate_is_corrected_for_a_short_history() -> None:
    monitor = OriginMonitor(SECOND)
    monitor.started_at_ns = START
    for n in range(100):  # fifty likely misses per second since the start
        monitor.admitted_rate.add(START + n * SECOND // 50)
    assert 45 < monitor.recent_rate_per_s(START + 2 * SECOND) < 55


@pytest.mark.parametrize(
    ("seen", "bad", "acts"), [(2, 2, True), (10, 2, False), (10, 3, True), (50, 6, False)]
)
def test_a_slow_tail_within_chance_does_not_turn_the_throttle_on(seen: int, bad: int, acts: bool) -> None:
    monitor = OriginMonitor(SECOND)
    for n in range(seen):
        monitor.record_outcome(n >= bad, START)
    monitor.step(START, False)
    assert (monitor.throttle is not None) is acts


def test_one_congestion_cuts_the_throttles_rate_once() -> None:
    """Guards against a second reduction of the rate by reads that were sent before the first one."""
    monitor = OriginMonitor(SECOND)
    for _ in range(8):
        monitor.admitted_rate.add(SECOND)
        monitor.record_outcome(False, 0)
    assert monitor.step(SECOND, False).startswith("throttle on ")
    throttle = monitor.throttle
    assert throttle is not None
    rate = throttle.rate_per_s
    for _ in range(8):
        monitor.record_outcome(False, SECOND // 2)
    monitor.step(2 * SECOND, False)
    assert throttle.rate_per_s >= rate
    for _ in range(8):
        monitor.record_outcome(False, 2 * SECOND)
    monitor.step(3 * SECOND, False)
    assert throttle.rate_per_s < rate
    assert throttle.bank > 2 and throttle.bank + throttle.buffer >= 10


def test_the_throttles_rate_does_not_rise_while_reads_hang() -> None:
    """Guards against a rising rate that adds to the congestion while reads hang."""
    monitor = OriginMonitor(SECOND)
    for _ in range(8):
        monitor.admitted_rate.add(SECOND)
        monitor.record_outcome(False, 0)
    monitor.step(SECOND, True)
    throttle = monitor.throttle
    assert throttle is not None
    rate, throttle.level = throttle.rate_per_s, 0
    monitor.step(2 * SECOND, True)
    assert throttle.rate_per_s == rate
    for _ in range(24):
        monitor.admitted_rate.add(2 * SECOND)
    monitor.record_outcome(True, 2 * SECOND)
    monitor.step(2 * SECOND, True)
    assert throttle.rate_per_s > rate
    for _ in range(9):
        monitor.step(2 * SECOND, False)
    assert throttle.rate_per_s < 2.5 * monitor.recent_rate_per_s(2 * SECOND), "rate far above the used rate"


def test_an_origin_that_hangs_turns_the_throttle_on_before_any_outcome() -> None:
    router = Router()
    for n in range(5):
        _, (first,) = router.request(f"h{n}")
        router.end_attempt(first, AttemptStatus.MISS)
    router.wait(3 * SECOND // 2)
    assert router.balancer.origin_admission.monitor.throttle is not None


def test_one_read_of_a_key_is_in_flight_and_waiting_reads_are_served_by_the_cache() -> None:
    """Guards against many simultaneous origin reads of one key."""
    router = Router()
    _, (first,) = router.request("hot")
    (read,) = router.end_attempt(first, AttemptStatus.MISS)
    name, actions = router.request("hot")
    assert actions == []
    (served,) = router.end_attempt(read, AttemptStatus.OK, 1)
    assert isinstance(served, api.StartAttempt) and isinstance(first, api.StartAttempt)
    assert (served.id, served.server) == (name, first.server)


def test_after_a_failed_read_one_waiting_read_goes_to_the_origin_and_none_waits_past_its_objective() -> None:
    router = Router()
    _, (first,) = router.request("hot")
    (read,) = router.end_attempt(first, AttemptStatus.MISS)
    second, _ = router.request("hot")
    third, _ = router.request("hot")
    actions = router.end_attempt(read, AttemptStatus.ERROR, 1)
    assert [type(action) for action in actions] == [api.Reject, api.StartAttempt, api.StartAttempt]
    (again,) = router.end_attempt(actions[1], AttemptStatus.MISS)
    assert isinstance(again, api.StartAttempt) and (again.id, again.server) == (second, "origin")
    assert router.end_attempt(actions[2], AttemptStatus.MISS) == []
    later = router.wait(2 * SECOND)
    assert [action.id for action in later if isinstance(action, api.Reject)] == [third]


# Server state


def test_full_answers_count_as_overload_and_not_as_quick_answers() -> None:
    """Guards against a storm of full answers: a request spills once, to an idle server, or is rejected."""
    router = Router()
    owner = router.balancer.servers.servers[router.fetch_and_store("k")]
    for _ in range(12):
        owner.record_answer(router.now, SECOND, int(router.balancer.context.shortest_objective_ns), 1, 1)
    owner.in_flight, owner.last_sent_at_ns = 1, router.now
    _, actions = router.request("k")
    assert sends(actions) and sends(actions) != [owner.endpoint.server]
    for server in router.balancer.servers.servers.values():
        server.latency.average_ns, server.in_flight, server.last_sent_at_ns = float(5 * SECOND), 1, router.now
    _, actions = router.request("k")
    assert [type(action) for action in actions] == [api.Reject]


def test_a_second_full_answer_ends_the_request() -> None:
    router = Router()
    _, (first,) = router.request("k")
    (second,) = router.end_attempt(first, AttemptStatus.FULL)
    assert sends([first]) != sends([second])
    assert [type(action) for action in router.end_attempt(second, AttemptStatus.FULL, 1)] == [api.Reject]


def test_an_overloaded_server_gets_one_probe_per_latency() -> None:
    server = Server(api.Endpoint("c"), LatencyEstimator(float(SECOND)))
    assert not server.admits_or_starts_probe(SECOND // 2, SECOND / 4, 4, 1, 1)
    assert server.admits_or_starts_probe(SECOND, SECOND / 4, 4, 1, 1)
    server.record_answer(SECOND, SECOND, SECOND // 10, 1, 1)
    assert server.latency.average_ns < 0.6 * SECOND, "a probe's latency must have half the weight"


def test_probes_of_an_overloaded_server_are_shared_by_all_routers() -> None:
    """Guards against probes from forty routers, one per latency each, that exceed a server's capacity."""
    server = Server(api.Endpoint("c"), LatencyEstimator(float(SECOND), unloaded_ns=SECOND / 10))
    assert not server.admits_or_starts_probe(2 * SECOND, SECOND / 4, 4, 40, 40)
    assert server.admits_or_starts_probe(4 * SECOND, SECOND / 4, 4, 40, 40)


def test_a_first_attempts_timeout_follows_the_fleets_usual_latency() -> None:
    """Guards against a timeout that is too short for normal latencies.

    After two fast answers of a server, a router timed out on the third and read the key elsewhere.
    """
    timeouts_ns = []
    for usual in (SECOND // 100, SECOND // 10):
        router = Router()
        for server in router.balancer.servers.servers.values():
            server.latency.average_ns = SECOND / 100
        router.balancer.servers.attempts.mean_cache_latency_ns = usual
        (first,) = router.request("k")[1]
        assert isinstance(first, api.StartAttempt)
        timeouts_ns.append(first.timeout_ns)
    assert timeouts_ns == [SECOND // 4, 8 * SECOND // 10]


def test_load_reports_include_the_load_of_other_routers() -> None:
    router = Router()
    router.fetch_and_store("k")
    _, (send,) = router.request("k")
    router.end_attempt(
        send, AttemptStatus.OK, load=api.LoadReport(in_flight=40, latency_ms=100, served_per_s=10)
    )
    server = router.balancer.servers.servers[sends([send])[0]]
    assert server.load.expected_ns(router.now) == pytest.approx(4.1e9)
    assert server.load.expected_ns(router.now + 2 * SECOND) == 0
    assert sends(router.request("k")[1]) != [server.endpoint.server]


def test_an_ejected_server_gets_one_attempt_after_its_backoff() -> None:
    router = Router()
    _, (first,) = router.request("k")
    (second,) = router.end_attempt(first, AttemptStatus.CONNECT_FAILED)
    assert sends([second]) != sends([first])
    name = sends([first])[0]
    assert name not in [sends(router.request("k")[1])[0] for _ in range(5)]
    router.wait(SECOND)
    tried = [sends(router.request("k")[1])[0] for _ in range(5)]
    assert tried.count(name) == 1
    assert any(
        re.fullmatch(rf"server ejected server={name} reason=connect_failed backoff_ms=\d+", line)
        for line in router.log
    )


@pytest.mark.parametrize("routers", [1, 40])
def test_a_starting_server_gets_its_load_evenly_from_any_number_of_routers(routers: int) -> None:
    """Guards against a first token at each router, which overloaded cold servers in a large fleet."""
    fresh = api.EndpointUpdate(api.EndpointUpdateKind.DELTA, [api.Endpoint("c1", started_at_ns=START)])
    several = [Router() for _ in range(routers)]
    for router in several:
        router.handle(fresh)
    sent, turn = [], 10 * SECOND
    for n in range(2000):
        router = several[n % routers]
        router.wait(START + n * turn // 2000 - router.now)
        _, actions = router.request(f"k{n}")
        sent.append(sends(actions) == ["c1"])
        router.end_attempt(actions[0], AttemptStatus.OK)
    quarters = [sum(sent[n : n + 500]) for n in range(0, 2000, 500)]
    taken_up = [125 * (2 * n + 1) / 8 for n in range(4)]
    assert all(count < even + 25 for count, even in zip(quarters, taken_up, strict=True))
    assert quarters[0] > 4 and min(quarters[1:]) > 12  # the slow-start budget may limit the rate further


@pytest.mark.parametrize(("instant", "after"), [(0.25, 0.1), (0.45, 2.5), (0.9, 9.0)])
def test_a_starting_server_is_used_by_its_initial_fraction(instant: float, after: float) -> None:
    """Guards against starting servers that are treated as if they had no initial capacity.

    Six of ten servers started within 7 s, and all load went to the other four.
    """
    for wait, taken in ((after, True), (after - 2, False)):
        router = Router(settings(slow_start_initial_fraction=0.3))
        router.handle(
            api.EndpointUpdate(api.EndpointUpdateKind.DELTA, [api.Endpoint("c1", started_at_ns=START)])
        )
        located = {f"k{n}": router.balancer.placement.ranges.locate(f"k{n}") for n in range(4000)}
        key = next(
            key for key, (_, at, names) in located.items() if names[0] == "c1" and abs(at - instant) < 0.02
        )
        if wait > 0:
            router.wait(int(wait * SECOND))
            assert (sends(router.request(key)[1]) == ["c1"]) is taken


def test_a_server_listed_with_a_newer_start_is_in_slow_start_again() -> None:
    router = Router()
    for _ in range(2):
        router.handle(
            api.EndpointUpdate(
                api.EndpointUpdateKind.DELTA, [api.Endpoint("c1", started_at_ns=router.now - SECOND)]
            )
        )
        assert router.balancer.servers.servers["c1"].slow_start.started_at_ns == router.now - SECOND
    router.wait(20 * SECOND)
    owned = [key for key in map(str, range(40)) if router.candidates(key)[0].endpoint.server == "c1"]
    assert owned
    for key in owned:
        _, actions = router.request(key)
        assert sends(actions) == ["c1"]
        router.end_attempt(actions[0], AttemptStatus.OK)


def test_a_server_that_was_down_for_long_is_in_slow_start() -> None:
    router = Router()
    _, (first,) = router.request("k")
    router.end_attempt(first, AttemptStatus.RESET)
    router.wait(2 * SECOND)
    _, actions = router.request("k")
    assert sends(actions) == sends([first])
    router.end_attempt(actions[0], AttemptStatus.OK)
    assert router.balancer.servers.servers[sends([first])[0]].slow_start.started_at_ns == router.now
    assert router.log[-1].startswith("server answers again ")


def test_a_server_that_joins_later_without_a_start_time_is_in_slow_start() -> None:
    router = Router()
    router.handle(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, [api.Endpoint("c9")]))
    assert router.balancer.servers.servers["c9"].slow_start.started_at_ns == router.now
    assert router.balancer.servers.servers["c0"].slow_start.started_at_ns == 0


# Request lifecycle


@pytest.mark.parametrize("members", [[], fleet(0), [api.Endpoint("c0", api.EndpointState.DRAINING)]])
def test_without_a_server_a_read_is_rejected_at_once(members: list[api.Endpoint]) -> None:
    _, actions = Router(endpoints=members).request()
    assert [type(action) for action in actions] == [api.Reject]


def test_without_an_origin_a_write_is_rejected_at_once() -> None:
    _, actions = Router(endpoints=fleet(3, origin=False)).request(class_index=2, write=True)
    assert [type(action) for action in actions] == [api.Reject]


def test_a_write_goes_to_the_origin_and_is_retried_within_its_latency_objective() -> None:
    router = Router()
    _, (first,) = router.request(class_index=2, write=True)
    assert sends([first]) == ["origin"]
    assert router.end_attempt(first, AttemptStatus.FULL) == []
    assert sends(router.wait(SECOND // 4)) == ["origin"]


def test_reads_do_not_keep_an_overloaded_origin_overloaded() -> None:
    """Guards against reads that are sent to the origin before the first slow read ends."""
    router = Router()
    origin = router.balancer.servers.origin
    assert origin is not None
    origin.latency.average_ns, origin.latency.unloaded_ns, origin.last_sent_at_ns = (
        SECOND / 4,
        SECOND / 4,
        router.now,
    )
    reads: list[api.Action] = []
    for n in range(8):
        _, (first,) = router.request(f"k{n}")
        reads += router.end_attempt(first, AttemptStatus.MISS)
    assert [type(action) for action in reads] == [api.StartAttempt] * 3 + [api.Reject] * 5


def test_writes_do_not_keep_an_overloaded_origin_overloaded() -> None:
    """Guards against writes that keep an origin overloaded; a probe still detects its recovery."""
    router = Router()
    origin = router.balancer.servers.origin
    assert origin is not None
    origin.latency.average_ns, origin.last_sent_at_ns = 3.0 * SECOND, router.now
    assert [type(action) for action in router.request(class_index=2, write=True)[1]] == [api.Reject]
    router.wait(3 * SECOND)
    assert sends(router.request(class_index=2, write=True)[1]) == ["origin"]


def test_a_non_idempotent_request_that_may_have_run_fails_and_is_not_retried() -> None:
    router = Router()
    _, (first,) = router.request(class_index=2, write=True)
    assert isinstance(first, api.StartAttempt) and first.timeout_ns == 0, "the router must not time out"
    assert [type(action) for action in router.end_attempt(first, AttemptStatus.ERROR)] == [api.Fail]


def test_a_request_with_an_idempotency_key_is_retried_only_within_its_dedup_window() -> None:
    router = Router()
    _, (first,) = router.request(class_index=1, write=True)
    router.wait(SECOND // 2)
    assert router.end_attempt(first, AttemptStatus.ERROR) == []
    assert sends(router.wait(SECOND // 4)) == ["origin"]
    router = Router(
        settings(
            classes=[
                api.RequestClass(SECOND, 4 * SECOND, api.Idempotency.IDEMPOTENCY_KEY, "all", SECOND // 4)
            ]
        )
    )
    _, (first,) = router.request(write=True)
    router.wait(SECOND // 2)
    assert [type(action) for action in router.end_attempt(first, AttemptStatus.ERROR)] == [api.Fail]


@pytest.mark.parametrize(("cls", "same"), [(3, "zone"), (4, "cell")])
def test_a_request_with_an_idempotency_key_stays_in_its_dedup_scope(cls: int, same: str) -> None:
    for n in range(20):
        router = Router(settings(cache_aside=False), fleet(6, origin=False))
        _, (first,) = router.request(f"k{n}", cls)
        for action in router.end_attempt(first, AttemptStatus.ERROR):
            if isinstance(action, api.StartAttempt):
                first_endpoint, second_endpoint = (
                    router.balancer.servers.servers[name].endpoint for name in sends([first, action])
                )
                assert getattr(first_endpoint, same) == getattr(second_endpoint, same)
            else:
                assert type(action) is api.Fail


def test_attempts_are_bounded() -> None:
    router = Router(settings(max_attempts=2))
    _, (send,) = router.request("k")
    (send,) = router.end_attempt(send, AttemptStatus.CONNECT_FAILED)
    assert [type(action) for action in router.end_attempt(send, AttemptStatus.CONNECT_FAILED, 1)] == [
        api.Reject
    ]


def test_an_origin_read_runs_until_the_client_gives_up() -> None:
    """Guards against an origin slower than the latency objective, whose timed-out reads fill no cache."""
    router = Router(settings(classes=[api.RequestClass(latency_objective_ns=SECOND, deadline_ns=2 * SECOND)]))
    _, (first,) = router.request("k")
    (read,) = router.end_attempt(first, AttemptStatus.MISS)
    assert isinstance(first, api.StartAttempt) and isinstance(read, api.StartAttempt)
    assert (first.timeout_ns, read.timeout_ns) == (SECOND, 2 * SECOND)


def test_neighbours_that_fail_together_are_skipped() -> None:
    router = Router(endpoints=fleet(6))
    owner, *rest = router.candidates("k")
    for server in [owner, *rest[:2]]:  # slow without load from this router, with a probe in flight at each
        server.latency.average_ns, server.latency.unloaded_ns, server.in_flight = 1.0 * SECOND, SECOND / 10, 1
    assert sends(router.request("k")[1]) == [rest[2].endpoint.server]


def test_no_second_probe_starts_while_one_is_in_flight() -> None:
    """Guards against a slow recovery: a probe's latency has half the weight in the average."""
    tested = Server(api.Endpoint("c"), LatencyEstimator(4.0 * SECOND))
    assert tested.admits_or_starts_probe(START, SECOND, 4, 1, 1) and tested.is_probing
    tested.in_flight, tested.last_sent_at_ns = 1, START
    assert not tested.admits_or_starts_probe(START, SECOND, 4, 1, 1)
    tested.record_answer(START, SECOND, 0, 1, 1)
    assert tested.latency.average_ns == 2 * SECOND


def test_an_answer_after_a_long_silence_counts_more() -> None:
    """Guards against a slow average in a large fleet, where a router rarely gets answers of a server."""
    often, seldom = (
        Server(api.Endpoint("c"), LatencyEstimator(1.0 * SECOND, updated_at_ns=START)) for _ in range(2)
    )
    often.record_answer(START + MILLI, 2 * SECOND, 0, 1, 1)
    seldom.record_answer(START + 5 * SECOND, 2 * SECOND, 0, 1, 1)
    assert (often.latency.average_ns, seldom.latency.average_ns) == (SECOND * 7 / 8, SECOND / 2)


def test_a_probe_that_misses_shows_recovery() -> None:
    """Guards against an overloaded server whose keys moved elsewhere and whose recovery goes unnoticed."""
    router = Router()
    owner = router.candidates("k")[0]
    owner.latency.average_ns, owner.latency.unloaded_ns = 4.0 * SECOND, SECOND / 10
    _, (probe,) = router.request("k")
    assert sends([probe]) == [owner.endpoint.server] and owner.is_probing
    router.end_attempt(probe, AttemptStatus.MISS)
    assert owner.latency.average_ns < 2.1 * SECOND


def test_the_average_of_attempts_in_flight_decays_slowly() -> None:
    """Guards against a busy server that looks slow as soon as it gets one request at a time."""
    server = Server(api.Endpoint("c"), LatencyEstimator(1.0 * SECOND, mean_in_flight=9.0), is_probing=True)
    server.record_answer(START, 2 * SECOND, SECOND, 1, 1)
    assert server.latency.mean_in_flight == 8 and server.expected_latency_ns(START, 1) < SECOND / 4


def test_two_attempts_of_a_request_are_never_in_flight() -> None:
    router = Router()
    name, (first,) = router.request("k")
    router.balancer._proceed(router.balancer.requests[name])
    assert router.handle(api.TimerFired("any")) == [] and router.balancer.requests[name].attempts_started == 1
    assert sends([first])


def test_a_timer_that_fires_early_does_not_stop_the_others() -> None:
    router = Router()
    _, (first,) = router.request("k")
    router.end_attempt(first, AttemptStatus.MISS)  # starts the origin read
    waiting_id, no_actions = router.request("k")  # waits for that read
    assert no_actions == []
    when, token = router.timers.pop()
    router.now = when - 300
    router.handle(api.TimerFired(token))
    answers = router.wait(SECOND)
    assert [answer.id for answer in answers if isinstance(answer, api.Reject)] == [waiting_id]


def test_a_timer_that_never_fired_is_set_again() -> None:
    router = Router()
    router.request("k")
    router.timers.clear()
    router.now += SECOND
    router.handle(api.ClientGone("nobody"))
    assert min(router.timers)[0] > router.now


def test_late_events_of_ended_requests_are_ignored() -> None:
    router = Router()
    name, (first,) = router.request("k")
    assert router.handle(api.ClientGone(name)) == []
    assert router.handle(api.ClientGone(name)) == []
    assert router.end_attempt(first, AttemptStatus.MISS) == []
    assert router.balancer.requests == {}


def test_a_streamed_request_that_has_begun_is_not_timed_out() -> None:
    spec = api.RequestClass(SECOND, 2 * SECOND, is_relayed=True)
    router = Router(settings(classes=[spec]))
    name, (first,) = router.request("k")
    assert isinstance(first, api.StartAttempt) and first.timeout_ns == 0
    assert router.advance() == []
    assert router.wait(10 * SECOND) == []
    assert (
        router.handle(api.AttemptFinished(name, 0, first.server, AttemptStatus.RESET, True, 9 * SECOND)) == []
    )
    assert router.balancer.requests == {}


def test_a_request_without_a_key_is_placed_and_never_throttled() -> None:
    router = Router()
    router.throttle_on()
    _, actions = router.request(None)
    assert sends(actions)


def test_where_caches_read_the_origin_a_key_without_recent_requests_is_a_likely_miss() -> None:
    router = Router(settings(cache_aside=False), fleet(4, origin=False))
    assert router.balancer.key_memory.likely_miss("k", router.now)
    _, (first,) = router.request("k")
    assert not router.balancer.key_memory.likely_miss("k", router.now)
    router.end_attempt(first, AttemptStatus.OK)
    for n in range(20):
        _, (send,) = router.request(f"t{n}")
        router.end_attempt(send, AttemptStatus.ERROR)
    router.wait(SECOND)
    assert router.balancer.origin_admission.monitor.throttle is not None


def test_rejections_have_a_retry_after_time_only_where_the_settings_allow_it() -> None:
    router = Router(settings(retry_after_allowed=True, max_retry_after_ns=SECOND // 2), [])
    assert router.request()[1] == [api.Reject("r1", SECOND // 2)]
    assert Router(endpoints=[]).request()[1] == [api.Reject("r1", 0)]


# Polled endpoint list


def test_a_polled_list_is_asked_for_again_after_a_failure() -> None:
    router = Router(settings(endpoints_polled=True))
    poll_count = 0
    for _ in range(4):
        router.handle(api.EndpointUpdate(api.EndpointUpdateKind.FAILED, []))
        actions = router.wait(10 * SECOND)
        poll_count += sum(isinstance(action, api.WatchEndpoints) for action in actions)
    assert poll_count == 4
    router.handle(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, []))
    assert router.wait(60 * SECOND) == []


def test_a_restarted_router_asks_for_the_list_at_once_and_uses_the_cached_one() -> None:
    router = Router(settings(endpoints_polled=True), [])
    actions = router.handle(api.EndpointUpdate(api.EndpointUpdateKind.CACHED, fleet()))
    assert actions == [api.WatchEndpoints()]
    assert sends(router.request()[1])


def test_advancing_time_without_due_timers_does_nothing() -> None:
    router = Router()
    assert router.advance() == []
    assert router.now == START and router.balancer.settings.origin_kind == ORIGIN_KIND


def test_one_broken_connection_does_not_eject_a_server_that_has_just_answered() -> None:
    """Guards against ejections by occasional broken connections, each for a third of a second."""
    router = Router()
    owner = router.fetch_and_store("k")
    server = router.balancer.servers.servers[owner]
    _, (send,) = router.request("k")
    router.end_attempt(send, AttemptStatus.RESET)
    assert server.connection.consecutive_failures < 1 and not router.log
    _, (send,) = router.request("k")
    assert isinstance(send, api.StartAttempt) and send.server == owner
    router.end_attempt(send, AttemptStatus.RESET)
    assert server.connection.consecutive_failures > 0  # the second in a row


def test_a_server_without_a_recent_answer_is_ejected_by_the_first_broken_connection() -> None:
    router = Router()
    owner = router.fetch_and_store("k")
    router.wait(SECOND)
    _, (send,) = router.request("k")
    router.end_attempt(send, AttemptStatus.CONNECT_FAILED)
    assert router.balancer.servers.servers[owner].connection.consecutive_failures == 1


def test_a_retry_may_begin_only_within_what_is_left_of_its_dedup_window() -> None:
    """Guards against a repeat that is written after its dedup window.

    A repeat was decided in time, but its connection was established late, and it was written after the
    window. A reserve at the end of the window covers such a delay between the decision and the write.
    """
    router = Router()
    _, (first,) = router.request(class_index=1)
    assert isinstance(first, api.StartAttempt) and first.write_within_ns == 0
    router.wait(SECOND // 2)
    (second,) = router.end_attempt(first, AttemptStatus.RESET)
    assert isinstance(second, api.StartAttempt)
    assert (
        second.write_within_ns
        == router.balancer.settings.classes[1].dedup_window_ns - SECOND // 2 - WINDOW_RESERVE_NS
    )
    _, (read,) = router.request("other")
    (again,) = router.end_attempt(read, AttemptStatus.RESET)
    assert isinstance(again, api.StartAttempt) and again.write_within_ns == 0
