"""Failure detection: timely, consistent after the last fault, and robust against a paused router."""

import contextlib
from itertools import permutations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from lossy import SECOND, LossyNetwork

from rainhitch.fleet.failure_detector import (
    HEADER,
    MAX_GENERATION,
    MAX_UPDATES,
    UPDATE,
    FailureDetector,
    FailureDetectorError,
    MessageKind,
    RouterState,
)


def fleet(routers: int, seed: int) -> LossyNetwork:
    """Returns a network of routers with a failure detector each."""
    return LossyNetwork(
        routers,
        lambda router, generation, now: FailureDetector(
            router, routers, generation, now, seed * 100 + router
        ),
        seed,
    )


def views_are_correct(network: LossyNetwork) -> bool:
    """Returns whether all running routers have the correct view of which routers are alive."""
    alive = list(network.up)
    return all(
        [part.is_alive(n) for n in range(len(alive))] == alive
        for router, part in enumerate(network.parts)
        if network.runs(router)
    )


@pytest.mark.parametrize("routers", [3, 12, 60])
def test_all_routers_detect_a_failure_and_a_restart(routers: int) -> None:
    network = fleet(routers, 1)
    network.go(10 * SECOND)
    assert views_are_correct(network)
    network.kill(1)
    network.go((20 if routers < 60 else 60) * SECOND)
    assert views_are_correct(network)
    network.start(1)
    network.go((10 if routers < 60 else 40) * SECOND)
    assert views_are_correct(network)


def test_messages_of_a_router_do_not_grow_with_the_fleet() -> None:
    rates = []
    for routers in (3, 60, 200):
        network = fleet(routers, 2)
        network.go(20 * SECOND)
        rates.append(network.sent / routers / 20)
        assert network.bytes <= HEADER.size + MAX_UPDATES * UPDATE.size <= 256
    assert max(rates) < 4 and views_are_correct(network)


def test_with_a_third_of_messages_lost_few_routers_are_declared_dead() -> None:
    network = fleet(12, 3)
    network.loss = 0.3
    network.go(60 * SECOND)
    wrong = sum(not part.is_alive(n) for part in network.parts for n in range(12))
    assert wrong <= 0.1 * 144
    network.loss = 0.0
    network.go(30 * SECOND)
    assert views_are_correct(network)


def test_two_halves_each_declare_the_other_dead_and_recover() -> None:
    network = fleet(8, 4)
    network.go(5 * SECOND)
    network.cut = lambda source, to: (source < 4) != (to < 4)
    network.go(60 * SECOND)
    assert network.parts[0].live_routers() == [0, 1, 2, 3] and network.parts[7].live_routers() == [4, 5, 6, 7]
    network.cut = lambda source, to: False
    network.go(40 * SECOND)
    assert views_are_correct(network)


def test_a_paused_router_declares_no_other_router_dead() -> None:
    """Guards against a paused router that received nothing and then declares all others dead."""
    network = fleet(6, 5)
    network.go(5 * SECOND)
    network.stopped[0] = True
    network.go(30 * SECOND)
    assert not network.parts[1].is_alive(0)
    network.stopped[0] = False
    before = [part.changes for part in network.parts]
    network.go(SECOND)
    assert network.parts[0].live_routers() == [0, 1, 2, 3, 4, 5] and network.parts[0].local_health_score > 0
    network.go(20 * SECOND)
    assert views_are_correct(network)
    assert sum(part.changes for part in network.parts) - sum(before) <= 12, "only the paused router changes"


def test_a_router_that_restarts_with_a_clock_gone_back_takes_a_higher_generation() -> None:
    network = fleet(4, 6)
    network.generations[2] = 1000
    network.start(2)
    network.go(10 * SECOND)
    network.kill(2)
    network.go(30 * SECOND)
    network.generations[2] = 3
    network.start(2)
    network.go(30 * SECOND)
    assert views_are_correct(network) and network.parts[2].generation > 1001


@pytest.mark.parametrize("routers", [3, 5, 9])
def test_after_the_last_fault_all_agree(routers: int) -> None:
    """Random schedules of loss, one-way and two-way cuts, duplicates, delays, pauses, deaths and starts."""
    for seed in range(8):
        network = fleet(routers, seed)
        for _ in range(40):
            network.any_fault()
            network.go(network.random.randrange(1, 3 * SECOND))
        network.heal()
        network.go(60 * SECOND)
        assert views_are_correct(network), f"seed {seed}"
        assert all(
            len(part.pings) < 64 and len(part.update_queue.transmissions) <= routers for part in network.parts
        )


update_lists = st.lists(
    st.tuples(st.just(1), st.integers(1, 3), st.integers(0, 3), st.sampled_from(list(RouterState))),
    max_size=4,
)


@given(update_lists)
def test_update_merge_is_independent_of_order_and_repetition(
    updates: list[tuple[int, int, int, RouterState]],
) -> None:
    kept = set()
    for order in permutations(updates):
        detector = FailureDetector(0, 3, 1, 0, 1)
        for router, generation, incarnation, state in (*order, *order):
            detector._apply_update(0, router, generation, incarnation, state)
        kept.add(detector.records[1].precedence)
    assert len(kept) == 1


@given(st.binary(max_size=64), st.integers(-1, 4))
def test_malformed_messages_are_refused_or_change_no_router_to_unknown(data: bytes, sender: int) -> None:
    detector = FailureDetector(0, 4, 1, 0, 1)
    with contextlib.suppress(FailureDetectorError):
        detector.receive(SECOND, sender, data)
    assert detector.is_alive(0) and len(detector.records) == 4 and detector.generation <= MAX_GENERATION


def test_an_ack_of_no_ping_changes_nothing() -> None:
    detector = FailureDetector(0, 3, 1, 0, 1)
    assert detector.receive(0, 1, HEADER.pack(MessageKind.ACK, 7, 2)) == [] and not detector.pings
