"""What a fake cache node's model and its memory decide: without sockets."""

from hypothesis import given
from hypothesis import strategies as st

from rainhitch.rehearsal.fakes.cache_node_model import (
    CacheNodeModel,
    ColdLoadLimit,
    KeyMemory,
)

MILLISECOND_NS = 1_000_000
SECOND_NS = 1_000_000_000


def drive(node: CacheNodeModel, until: int, now: int = 0) -> dict[str, int]:
    """Lets time pass; gives when each request was finished, in ns."""
    finished = {}
    while (due := node.next_finish_in_ns(now)) is not None and now + due <= until:
        now += due
        for name in node.take_finished(now):
            finished[name] = now
    return finished


def test_one_request_takes_its_work_at_the_speed_of_a_core() -> None:
    node = CacheNodeModel(2, 0.5, 4, 0)
    assert node.offer(0, "a", 100_000)
    assert abs(drive(node, SECOND_NS)["a"] - 200 * MILLISECOND_NS) < MILLISECOND_NS


def test_more_requests_than_cores_share_them() -> None:
    node = CacheNodeModel(1, 1.0, 4, 0)
    for name in "abcd":
        assert node.offer(0, name, 100_000)
    assert all(abs(at - 400 * MILLISECOND_NS) < MILLISECOND_NS for at in drive(node, SECOND_NS).values())


def test_requests_over_the_slots_are_queued_and_those_over_the_queue_rejected() -> None:
    node = CacheNodeModel(1, 1.0, 1, 1)
    assert [node.offer(0, name, 100_000) for name in "abc"] == [True, True, False]
    finished = drive(node, SECOND_NS)
    assert (
        abs(finished["a"] - 100 * MILLISECOND_NS) < MILLISECOND_NS
        and abs(finished["b"] - 200 * MILLISECOND_NS) < 2 * MILLISECOND_NS
    )


def test_a_queued_request_can_be_withdrawn_and_one_in_work_goes_on() -> None:
    node = CacheNodeModel(1, 1.0, 1, 1)
    node.offer(0, "a", 100_000)
    node.offer(0, "b", 100_000)
    assert node.withdraw("b") and not node.withdraw("a")
    assert set(drive(node, SECOND_NS)) == {"a"}


def test_a_cold_node_has_part_of_its_capacity_and_all_of_it_when_warm() -> None:
    node = CacheNodeModel(4, 1.0, 8, 0)
    node.start_cold(0, 0.25, 8 * SECOND_NS)
    assert [node.capacity_cores(at * SECOND_NS) for at in (0, 4, 8, 20)] == [1.0, 2.5, 4.0, 4.0]
    assert node.offer(0, "a", 100_000)
    assert 300 * MILLISECOND_NS < drive(node, SECOND_NS)["a"] <= 401 * MILLISECOND_NS


@given(
    st.integers(1, 8),
    st.lists(st.tuples(st.integers(0, 300), st.integers(1, 200)), min_size=1, max_size=30),
)
def test_every_request_is_finished_and_none_sooner_than_the_cores_could(
    cores: int, arrivals: list[tuple[int, int]]
) -> None:
    """No work is lost or done for nothing, whatever comes when."""
    node = CacheNodeModel(cores, 1.0, 4, 1000)
    now = 0
    finished: dict[str, int] = {}
    due: dict[str, int] = {}
    for number, (at, work) in enumerate(sorted(arrivals)):
        finished |= drive(node, at * MILLISECOND_NS, now)
        now = max(now, at * MILLISECOND_NS)
        for name in node.take_finished(now):
            finished[name] = now
        assert node.offer(now, str(number), work * 1000)
        due[str(number)] = now + work * MILLISECOND_NS
    finished |= drive(node, 1000 * SECOND_NS, now)
    assert set(finished) == set(due)
    assert all(finished[name] >= due[name] - MILLISECOND_NS for name in due)
    whole = sum(work for _, work in arrivals) * MILLISECOND_NS
    assert (
        max(finished.values())
        >= min(at for at, _ in arrivals) * MILLISECOND_NS + whole / cores - MILLISECOND_NS
    )
    assert (
        max(finished.values())
        <= max(at for at, _ in arrivals) * MILLISECOND_NS + whole + len(due) * MILLISECOND_NS
    )


@given(st.floats(1.0, 5.0), st.floats(0.5, 8.0))
def test_a_cold_nodes_load_limit_is_that_of_its_window_and_a_tolerance(
    multiple: float, capacity: float
) -> None:
    limit = ColdLoadLimit(multiple, SECOND_NS)
    whole = multiple * capacity * 1_000_000 * 1.25  # a quarter for chance
    assert not limit.count_and_check(0, whole * 0.5, capacity)
    assert not limit.count_and_check(SECOND_NS // 2, whole * 0.49, capacity)
    assert limit.count_and_check(SECOND_NS // 2, whole * 0.02, capacity)
    assert not limit.count_and_check(SECOND_NS * 2, whole * 0.9, capacity)  # the window has passed


@given(st.lists(st.integers(0, 20), max_size=200), st.integers(1, 8))
def test_the_least_recently_used_key_is_evicted_first(asked: list[int], most: int) -> None:
    memory = KeyMemory(most)
    model: list[str] = []
    for key in map(str, asked):
        assert memory.hit(key) == (key in model)
        model = [one for one in model if one != key] + [key]
        memory.store(key)
        model = model[-most:]
    memory.invalidate("3")
    assert not memory.hit("3")
