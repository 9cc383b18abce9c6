"""The accept rate follows the delay of timers and stays within its bounds."""

from hypothesis import given
from hypothesis import strategies as st
from support import MILLI, SECOND, START

from rainhitch.overload.accept_pacer import AcceptPacer


@given(st.lists(st.tuples(st.integers(0, 50 * MILLI), st.integers(0, 100 * MILLI)), max_size=200))
def test_new_connections_wait_while_timers_are_late_but_never_starve(steps: list[tuple[int, int]]) -> None:
    pacer, now = AcceptPacer(100, 4000), START
    for step, late in steps:
        now += step
        pacer.record_delay(late)
        wait = pacer.pause_after_accept_ns(now)
        assert 100 <= pacer.rate_per_s <= 4000
        assert 0 <= wait <= 2 * SECOND // 100 + SECOND // 100
        now += wait


def test_timer_delay_slows_accepts_and_they_recover() -> None:
    pacer, now = AcceptPacer(100, 4000), START
    for _ in range(20):
        now += 60 * MILLI
        pacer.record_delay(40 * MILLI)
        pacer.pause_after_accept_ns(now)
    assert pacer.rate_per_s == 100
    for _ in range(40):
        now += 60 * MILLI
        pacer.pause_after_accept_ns(now)
    assert pacer.rate_per_s == 4000


def test_without_timer_delay_no_connection_waits() -> None:
    pacer, now = AcceptPacer(100, 4000), START
    assert all(pacer.pause_after_accept_ns(now + n * MILLI) == 0 for n in range(1000))
