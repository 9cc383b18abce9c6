"""The schedule after SIGTERM, for any deadline."""

from hypothesis import given
from hypothesis import strategies as st

from rainhitch.node.shutdown import NEWCOMERS, schedule


@given(st.floats(0.001, 60))
def test_all_comes_in_order_and_before_sigkill(deadline: float) -> None:
    times = schedule(deadline)
    assert NEWCOMERS <= times.accepting <= times.idle_from <= times.no_more <= times.answered
    assert times.answered < times.gone < times.kill
    assert times.kill == min(deadline, 3.0) + 0.7
    assert times.kill - times.answered >= 0.3 - 1e-9


def test_a_long_deadline_is_used_and_a_short_one_kept() -> None:
    long, short = schedule(5.0), schedule(0.5)
    assert long.answered > 3.0  # it was 2.2 s for all: requests were cut a second before they had to be
    assert short.gone < 1.2  # where SIGKILL comes at 1.2 s
    assert short.no_more < 0.8
