"""The concurrency limit: cut by late answers, raised when used up, shared by priorities and attempt kinds."""

from hypothesis import given
from hypothesis import strategies as st
from support import MILLI, START

from rainhitch.overload.concurrency_limit import AdaptiveConcurrencyLimit, Priority


def run_loaded_period(
    limit: AdaptiveConcurrencyLimit, now: int, bad_fraction: float, outcomes: int = 20
) -> None:
    """Runs a period in which the limit is used up and `bad_fraction` of the outcomes are bad."""
    limit.peak_in_flight = int(limit.limit)
    limit.rejected = 1
    for n in range(outcomes):
        limit.record_outcome(n >= bad_fraction * outcomes, now)
    limit.step(now + limit.period_ns, True)


def test_the_limit_falls_while_answers_are_late_and_recovers() -> None:
    limit, now = AdaptiveConcurrencyLimit(100 * MILLI, 8, 0.2), START
    limit.normal_peaks.append(100)
    limit.step(now, False)
    assert limit.limit == 400
    for _ in range(30):
        now += limit.period_ns
        run_loaded_period(limit, now, 0.6)
    assert limit.limit == 8  # the limit's lower bound
    for _ in range(60):
        now += limit.period_ns
        run_loaded_period(limit, now, 0.0)
    assert limit.limit > 400


def test_one_overload_cuts_the_limit_once() -> None:
    limit = AdaptiveConcurrencyLimit(100 * MILLI, 8, 0.2)
    limit.limit = 100.0
    run_loaded_period(limit, START, 1.0)
    cut = limit.limit
    assert cut == 50
    for _ in range(50):
        limit.record_outcome(False, START)  # the attempt started before the cut
    limit.step(START + 2 * limit.period_ns, True)
    assert limit.limit == cut


def test_an_unused_limit_does_not_rise() -> None:
    limit = AdaptiveConcurrencyLimit(100 * MILLI, 8, 0.2)
    limit.limit = 100.0
    limit.peak_in_flight = 10
    for _ in range(20):
        limit.record_outcome(True, START)
    limit.step(START + limit.period_ns, True)
    assert limit.limit == 100


def admitted_counts(
    limit: AdaptiveConcurrencyLimit, offers: list[tuple[Priority, bool]], rounds: int
) -> dict[tuple[Priority, bool], int]:
    """Returns how many attempts of each offer are admitted when they arrive in turn and none ends."""
    admitted = dict.fromkeys(offers, 0)
    for _ in range(rounds):
        for priority, retry in offers:
            if limit.try_admit(START, priority, retry):
                limit.attempt_started(retry)
                admitted[priority, retry] += 1
    return admitted


def test_priorities_are_rejected_in_their_order() -> None:
    for priority, most in (
        (Priority.LOW, 50),
        (Priority.READ, 85),
        (Priority.ON_TIME_RETRY, 95),
        (Priority.WRITE, 100),
    ):
        limit = AdaptiveConcurrencyLimit(100 * MILLI, 8, 0.2)
        limit.limit = 100.0
        assert admitted_counts(limit, [(priority, False)], 200) == {(priority, False): most}


@given(st.sampled_from([0.1, 0.2, 0.4]), st.integers(10, 400), st.booleans())
def test_neither_first_attempts_nor_retries_starve_the_other(
    reserved_fraction: float, size: int, flood: bool
) -> None:
    """Guards against a kind of attempt that arrives first, in large numbers, and fills the whole limit."""
    limit = AdaptiveConcurrencyLimit(100 * MILLI, 8, reserved_fraction)
    limit.limit = float(size)
    limit.try_admit(START, Priority.READ, not flood)  # the other kind arrives too
    admitted_counts(limit, [(Priority.WRITE, flood)], 3 * size)
    assert (limit.retries if flood else limit.first_attempts).in_flight <= size * (1 - reserved_fraction)
    admitted = admitted_counts(limit, [(Priority.READ, not flood)], 3 * size)[Priority.READ, not flood]
    assert admitted >= int(size * reserved_fraction)
