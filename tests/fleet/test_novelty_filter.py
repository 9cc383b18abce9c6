"""Observations of a server that another router has published are not published again."""

from hypothesis import given
from hypothesis import strategies as st
from support import MILLI

from rainhitch import interface as api
from rainhitch.fleet.novelty_filter import NoveltyFilter

NAMES = [f"s-{n}" for n in range(4)]


@given(st.lists(st.tuples(st.sampled_from(["heard", "select"]), st.sampled_from(NAMES))))
def test_servers_published_by_others_since_the_last_interval_are_left_out(
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
