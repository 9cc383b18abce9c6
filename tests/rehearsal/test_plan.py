"""The same scenario and seed give the same plan; every matter is drawn from a random stream of its own."""

import subprocess
import sys
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from program import ROOT

from rainhitch.rehearsal.faults import Fault, check_faults
from rainhitch.rehearsal.plan import MICROSECONDS_PER_SECOND as MICRO
from rainhitch.rehearsal.plan import Plan, draw_plan
from rainhitch.rehearsal.planned_requests import KeyPopularity
from rainhitch.rehearsal.scenario import Clients, Customer, Day, Discovery, Scenario, Traffic, WorkClass

SHORT = Scenario(
    "a",
    "b",
    day=Day(6.0, 1.0),
    traffic=Traffic(rate=40.0, keys=200, shape="bursty"),
    clients=Clients(retries=1),
)
PERFECT = Scenario("a", "b", day=Day(3.0, 0.5), traffic=Traffic(rate=30.0))


def test_the_same_seed_gives_the_same_digest_and_another_seed_another() -> None:
    assert draw_plan(SHORT, "x", 7).digest() == draw_plan(SHORT, "x", 7).digest()
    assert draw_plan(SHORT, "x", 7).digest() != draw_plan(SHORT, "x", 8).digest()


def test_the_digest_is_the_same_in_every_process_whatever_its_hash_seed() -> None:
    code = (
        "from rainhitch.rehearsal.plan import draw_plan\n"
        "from rainhitch.rehearsal.scenario import read_scenario, shipped\n"
        "print(draw_plan(read_scenario(shipped()['room-loss']), 'room-loss', 3).digest())"
    )
    found = {
        subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT,
            env={"PYTHONHASHSEED": hash_seed},
            capture_output=True,
            text=True,
            timeout=60,
        ).stdout
        for hash_seed in ("0", "1", "77")
    }
    assert len(found) == 1 and len(found.pop().strip()) == 64


FAULTS = st.sampled_from(
    [
        Fault("room-loss", 1.0, 2.0, room="banqiao"),
        Fault("partition", 1.5, 2.0, room="taoyuan"),
        Fault("database-slow", 2.0, 2.0, factor=3.0),
        Fault("node-kill", 0.5, 1.0, node="neihu-0"),
        Fault("list-late", 0.0, 5.0, delay_s=0.5),
        Fault("messages-lost", 1.0, 1.0, share=0.5),
        Fault("router-kill", 2.0, 1.0, router=1),
        Fault("surge", 1.0, 2.0, router=2, share=0.3),
        Fault("reconnect-storm", 2.0, 1.0, clients=60),
        Fault("hot-keys", 1.0, 2.0, share=0.3, keys=1),
        Fault("key-flood", 3.0, 2.0, share=0.3),
    ]
)


def ordinary_load(plan: Plan, keys: bool = True) -> list[object]:
    """What the ordinary load is: all but who is beyond a quota, and the keys only where asked."""
    rows = [replace(ask, over=False, key=ask.key if keys else "") for ask in plan.asks if not ask.origin]
    return [rows, plan.nodes, plan.warm]


@settings(max_examples=40)
@given(st.lists(FAULTS, max_size=4, unique_by=lambda one: one.kind), FAULTS, st.integers(0, 1 << 40))
def test_one_more_fault_shifts_nothing_else(faults: list[Fault], more: Fault, seed: int) -> None:
    if any(one.kind == more.kind for one in faults):
        return
    before = draw_plan(replace(SHORT, faults=faults), "x", seed)
    after = draw_plan(replace(SHORT, faults=[*faults, more]), "x", seed)
    changes_keys = more.kind in ("hot-keys", "key-flood")
    assert ordinary_load(before, not changes_keys) == ordinary_load(after, not changes_keys)
    actions = [{**row, "fault": 0} for row in after.cues if row["fault"] < len(faults)]
    assert actions == [{**row, "fault": 0} for row in before.cues]
    if more.kind not in ("partition", "list-late", "node-kill", "room-loss"):
        assert before.changes == after.changes


@settings(max_examples=25)
@given(st.integers(0, 1 << 40))
def test_arrivals_are_in_order_within_the_day_and_about_as_many_as_asked(seed: int) -> None:
    plan = draw_plan(PERFECT, "x", seed)
    times = [ask.at for ask in plan.asks if ask.at >= 0]
    assert times == sorted(times) and times[-1] < 3 * MICRO
    assert abs(len(times) - 90) < 6 * 90**0.5
    ids = [one.id for ask in plan.asks for one in ask.tries]
    assert len(set(ids)) == len(ids)
    assert all(ask.at < -0.4 * MICRO for ask in plan.asks if ask.at < 0)


def test_hot_keys_and_floods_change_their_share_of_the_keys_and_only_while_they_last() -> None:
    day = replace(SHORT, traffic=Traffic(rate=400.0, keys=200))
    plain = draw_plan(day, "x", 1)
    hot = draw_plan(replace(day, faults=[Fault("hot-keys", 2.0, 2.0, share=0.25, keys=1)]), "x", 1)
    flood = draw_plan(replace(day, faults=[Fault("key-flood", 2.0, 2.0, share=0.25)]), "x", 1)
    for plan in (hot, flood):
        pairs = zip(plain.asks, plan.asks, strict=True)
        changed = [after for before, after in pairs if before.key != after.key]
        assert [request.at for request in plain.asks] == [request.at for request in plan.asks]
        assert all(2 * MICRO <= request.at < 4 * MICRO for request in changed)
        assert 120 < len(changed) < 280
        keys = {request.key for request in changed}
        if plan is hot:
            assert len(keys) == 1
        else:
            assert len(keys) == len(changed)
            assert not any(day.classes[request.cls].write for request in changed)


def test_a_surge_adds_its_share_at_its_router() -> None:
    day = replace(SHORT, traffic=Traffic(rate=400.0), faults=[Fault("surge", 2.0, 2.0, router=2, share=0.5)])
    surged = [ask for ask in draw_plan(day, "x", 1).asks if ask.router == 2]
    assert 280 < len(surged) < 520 and all(2 * MICRO <= ask.at < 4 * MICRO for ask in surged)


def test_a_storm_of_reconnects_comes_on_new_connections_within_its_time() -> None:
    storm = Fault("reconnect-storm", 2.0, 0.5, clients=300)
    stormy = [ask for ask in draw_plan(replace(SHORT, faults=[storm]), "x", 1).asks if ask.origin]
    assert len(stormy) == 300 and all(ask.fresh and ask.router == -1 for ask in stormy)
    assert all(2 * MICRO <= ask.at <= 2.5 * MICRO for ask in stormy)
    rooms = [sum(ask.room == room for ask in stormy) for room in range(3)]
    assert min(rooms) > 50


def test_one_surge_shifts_no_other() -> None:
    first = Fault("surge", 1.0, 2.0, router=0, share=0.3)
    one = draw_plan(replace(SHORT, faults=[first]), "x", 1)
    two = draw_plan(replace(SHORT, faults=[first, Fault("surge", 1.5, 2.0, router=1, share=0.3)]), "x", 1)
    assert [request.tries for request in one.asks if request.origin == 1] == [
        request.tries for request in two.asks if request.origin == 1
    ]


def test_what_is_beyond_a_quota_is_decided_by_a_bucket_filled_at_the_quota() -> None:
    whole = Customer("a", 1, 1)
    day = replace(PERFECT, customers=[whole], day=Day(20.0, 0.5), traffic=Traffic(rate=100.0, quota_rps=40.0))
    asks = [ask for ask in draw_plan(day, "x", 1).asks if ask.at >= 0]
    within_quota = sum(1 for ask in asks if not ask.over)
    assert 40 * 20 <= within_quota <= 40 * 21 + 1


def test_the_list_has_a_death_within_its_lag_and_later_for_a_router_that_is_cut_off() -> None:
    lag = Discovery((1.0, 1.0), (0.5, 0.5), (0.2, 0.2), (0.0, 0.0))
    kill = Fault("node-kill", 1.0, 1.0, node="neihu-0")
    cut = Fault("partition", 0.5, 3.0, room="banqiao")
    plan = draw_plan(replace(SHORT, discovery=lag, faults=[kill, cut]), "x", 1)
    listed_at_s = {(one.router, one.state): one.at / MICRO for one in plan.changes}
    assert listed_at_s[0, "Gone"] == 2.0 and listed_at_s[0, "Ready"] == 2.2
    assert listed_at_s[1, "Gone"] == listed_at_s[1, "Ready"] == 3.6
    late = draw_plan(
        replace(SHORT, discovery=lag, faults=[kill, Fault("list-late", 1.0, 1.1, delay_s=2.0)]), "x", 1
    )
    listed_at_s = {(one.router, one.state): one.at / MICRO for one in late.changes}
    assert listed_at_s[0, "Gone"] == 4.0 and listed_at_s[0, "Ready"] == 2.2


def test_popularity_follows_zipfs_law_and_drifts_and_work_is_exponential_up_to_its_cut() -> None:
    day = replace(SHORT, traffic=Traffic(keys=1000, zipf=1.0, offset=0.0, drift=0.05))
    keys = KeyPopularity(day, 1)
    first = keys.key_at(0, 0.0)
    assert first == keys.key_at(MICRO // 2, 0.1) and keys.key_at(0, 0.999) != first
    before = list(keys.key_by_rank)
    keys.key_at(10 * MICRO, 0.5)
    moved = sum(1 for one, other in zip(before, keys.key_by_rank, strict=True) if one != other)
    assert 300 < moved < 1000
    work = WorkClass("w", 1, 100, 1000, 2000)
    work_us = [
        ask.work_us
        for ask in draw_plan(replace(PERFECT, classes=[work], day=Day(30.0, 0.5)), "x", 1).asks
        if ask.at > 0
    ]
    assert 85_000 < sum(work_us) / len(work_us) < 115_000 and max(work_us) <= 800_000


def test_a_node_that_joins_holds_nothing_before_and_is_listed_with_its_start() -> None:
    joined = replace(SHORT, faults=[Fault("node-join", 3.0, node="taoyuan-2")])
    plan = draw_plan(joined, "x", 7)
    before = draw_plan(SHORT, "x", 7)
    assert [one["uid"] for one in plan.nodes if "joins" in one] == ["taoyuan-2"]
    assert len(plan.warm) <= len(before.warm)
    assert [(row["what"], row["at"]) for row in plan.cues] == [("start", 3 * MICRO)]
    listed = [one for one in plan.changes if one.node == "taoyuan-2"]
    assert {one.state for one in listed} == {"Ready"} and all(one.boot == 3 * MICRO for one in listed)


def test_a_node_that_retires_is_read_then_drains_then_is_gone() -> None:
    plan = draw_plan(replace(SHORT, faults=[Fault("node-retire", 1.0, 2.0, node="neihu-0")]), "x", 7)
    assert [row["what"] for row in plan.cues] == ["retire", "drain", "kill"]
    for router in range(3):
        mine = [one.state for one in plan.changes if one.router == router]
        assert mine == ["Retiring", "Terminating", "Gone"]


def test_nothing_happens_to_a_node_before_it_has_joined() -> None:
    join = Fault("node-join", 3.0, node="neihu-0")
    for at, expected in ((2.0, 1), (4.0, 0)):
        lines = check_faults(
            [join, Fault("node-kill", at, 1.0, node="neihu-0")], ["neihu"], ["neihu-0"], 1, 9.0
        )
        assert len(lines) == expected
