"""The retry budget: in every span of time, retries are at most a fraction of the first attempts."""

from hypothesis import given
from hypothesis import strategies as st
from support import MILLI, SECOND, START

from rainhitch.overload.retry_budget import DEPOSIT_LIFETIME_NS, RetryBudget


@given(
    st.lists(st.tuples(st.booleans(), st.integers(0, SECOND // 2)), max_size=300),
    st.sampled_from([0.0, 0.1, 0.5]),
    st.sampled_from([0.0, 2.0, 20.0]),
)
def test_in_any_window_retries_are_a_fraction_of_first_attempts(
    events: list[tuple[bool, int]], retry_fraction: float, min_per_s: float
) -> None:
    """Guards against an overloaded fleet whose load is multiplied by the routers' own retries."""
    budget, now, first_attempts, retries = RetryBudget(retry_fraction, min_per_s), START, [], []
    for retry, step in events:
        now += step
        if not retry:
            budget.record_first_attempt(now)
            first_attempts.append(now)
        elif budget.try_spend(now):
            retries.append(now)
    for n, begin in enumerate(retries):
        for m, end in enumerate(retries[n:], 1):
            before = sum(begin - DEPOSIT_LIFETIME_NS - SECOND <= sent_ns <= end for sent_ns in first_attempts)
            allowed = retry_fraction * before + min_per_s * ((end - begin) + DEPOSIT_LIFETIME_NS) / SECOND
            assert m <= allowed + 1e-6


def test_retries_that_first_attempts_have_paid_for_are_allowed() -> None:
    budget, now = RetryBudget(0.2, 0.0), START
    for n in range(100):
        now += 10 * MILLI
        budget.record_first_attempt(now)
        assert budget.try_spend(now) is (n % 5 == 4)
    assert budget.denied == 80


def test_deposits_of_first_attempts_expire() -> None:
    budget = RetryBudget(0.5, 0.0)
    for n in range(100):
        budget.record_first_attempt(START + n)
    assert budget.try_spend(START + SECOND)
    assert not budget.try_spend(START + DEPOSIT_LIFETIME_NS + 2 * SECOND)
