"""Observations of a server that another router has published are not published again."""

from hypothesis import given
from hypothesis import strategies as st
from support import MILLI

from rainhitch import interface as api
from rainhitch.fleet.novelty_filter import NoveltyFilter

NAMES = [f"s-{n}" for n in range(4)]


@given(st.lists(st.tuples(st.sampled_from(["heard", "select"]), st.sampled_from(NAMES))))
def test_what_another_has_published_since_this_one_did_is_not_published_again(
    steps: list[tuple[str, str]],
) -> None:
    """Guards against two hundred routers that publish the same; each datagram costs CPU at all of them."""
    novelty_filter, published = NoveltyFilter(), set()
    for step, name in steps:
        observations = [api.LatencyObservation(name, 80 * MILLI)]
        if step == "heard":
            novelty_filter.record_published(observations)
            published.add(name)
        else:
            assert novelty_filter.select_new(observations) == ([] if name in published else observations)
            published.clear()
