"""Retry-After times: they are spread and bounded, and a client that returns is recognized."""

from hypothesis import given
from hypothesis import strategies as st
from support import MILLI, SECOND, START

from rainhitch import interface as api
from rainhitch.overload.retry_after import (
    MIN_RETRY_AFTER_NS,
    RetryAfterScheduler,
    ReturnTiming,
    fingerprint_of,
)


def make_request(number: int = 0, key: str = "k") -> api.Request:
    """Returns a request with an id of its own, which has no part in its fingerprint."""
    return api.Request(f"r{number}", 0, START + SECOND, key)


@given(st.integers(1, 400), st.sampled_from([5.0, 50.0, 500.0]), st.integers(0, 99))
def test_times_are_within_bounds_spread_and_grow_with_the_storm(
    clients: int, returns_per_s: float, seed: int
) -> None:
    """Guards against clients that are rejected together, given the same time, and return together."""
    scheduler = RetryAfterScheduler(2 * SECOND, seed)
    waits = [
        scheduler.assign_ns(START, returns_per_s, fingerprint_of(make_request(n, f"k{n}")))
        for n in range(clients)
    ]
    assert all(MIN_RETRY_AFTER_NS <= wait <= 2 * SECOND for wait in waits)
    slot_ns = SECOND / 4
    fits = [wait for wait in waits if wait < SECOND]
    for at in range(4):
        inside = sum(at * slot_ns <= wait < (at + 1) * slot_ns for wait in fits)
        assert inside <= returns_per_s / 4 + 2
    if clients > 2 * returns_per_s + 2:
        assert max(waits) >= SECOND  # a time in the later half once no slot is free


def test_two_routers_that_reject_at_once_give_different_times() -> None:
    first, second = RetryAfterScheduler(2 * SECOND, 1), RetryAfterScheduler(2 * SECOND, 2)
    times_ns = [[scheduler.assign_ns(START, 20.0) for _ in range(30)] for scheduler in (first, second)]
    assert sum(abs(a - b) > MILLI for a, b in zip(*times_ns, strict=True)) > 25


def test_on_time_and_early_returns_are_recognized() -> None:
    scheduler, fingerprint = RetryAfterScheduler(2 * SECOND, 1), fingerprint_of(make_request())
    assert scheduler.classify_return(START, fingerprint, True) is ReturnTiming.NEW
    wait = scheduler.assign_ns(START, 2.0, fingerprint)
    assert (
        scheduler.classify_return(START + wait // 2, fingerprint, False) is ReturnTiming.NEW
    )  # another client's first attempt
    # A return on time is recognized even if it is not marked as a client retry.
    assert scheduler.classify_return(START + wait, fingerprint, False) is ReturnTiming.ON_TIME
    scheduler.assign_ns(START, 0.6, fingerprint)
    assert scheduler.classify_return(START + 1, fingerprint, True) is ReturnTiming.EARLY
    # Each slot counts for one return.
    assert scheduler.classify_return(START + 2 * SECOND, fingerprint, True) is ReturnTiming.NEW


def test_no_time_is_given_where_the_settings_allow_none() -> None:
    scheduler, fingerprint = RetryAfterScheduler(0, 1), fingerprint_of(make_request())
    assert scheduler.assign_ns(START, 2.0, fingerprint) == 0
    assert scheduler.classify_return(START + 1, fingerprint, False) is ReturnTiming.NEW


def test_remembered_times_are_bounded_and_expire() -> None:
    scheduler = RetryAfterScheduler(2 * SECOND, 1, max_fingerprints=50)
    for n in range(500):
        for _ in range(9):
            scheduler.assign_ns(START, 1000.0, fingerprint_of(make_request(key=f"k{n}")))
    assert len(scheduler.slots) == 50 and all(len(times) <= 4 for times in scheduler.slots.values())
    assert (
        scheduler.classify_return(START + 10 * SECOND, fingerprint_of(make_request(key="k499")), True)
        is ReturnTiming.NEW
    )
