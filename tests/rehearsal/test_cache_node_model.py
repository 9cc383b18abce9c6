"""What a stand-in node, its memory and the database's stop decide: without sockets, by properties."""

from hypothesis import given
from hypothesis import strategies as st

from rainhitch.rehearsal.fakes.cache_node_model import (
    IDEMPOTENCY_WINDOW_NS,
    CacheNodeModel,
    ColdLoadLimit,
    IdempotencyWindow,
    KeyMemory,
    OverloadDetector,
)

MILLI = 1_000_000
SECOND = 1_000_000_000


def drive(machine: CacheNodeModel, until: int, now: int = 0) -> dict[str, int]:
    """Lets time pass; gives when each request was finished."""
    ended = {}
    while (due := machine.next_finish_in_ns(now)) is not None and now + due <= until:
        now += due
        for name in machine.take_finished(now):
            ended[name] = now
    return ended


def test_one_request_takes_its_work_at_the_cores_speed() -> None:
    machine = CacheNodeModel(2, 0.5, 4, 0)
    assert machine.offer(0, "a", 100_000)
    assert abs(drive(machine, SECOND)["a"] - 200 * MILLI) < MILLI


def test_more_requests_than_cores_share_them() -> None:
    machine = CacheNodeModel(1, 1.0, 4, 0)
    for name in "abcd":
        assert machine.offer(0, name, 100_000)
    assert all(abs(at - 400 * MILLI) < MILLI for at in drive(machine, SECOND).values())


def test_beyond_slots_requests_wait_and_beyond_the_queue_they_are_turned_away() -> None:
    machine = CacheNodeModel(1, 1.0, 1, 1)
    assert [machine.offer(0, name, 100_000) for name in "abc"] == [True, True, False]
    ended = drive(machine, SECOND)
    assert abs(ended["a"] - 100 * MILLI) < MILLI and abs(ended["b"] - 200 * MILLI) < 2 * MILLI


def test_one_that_waits_can_be_withdrawn_and_one_in_work_goes_on() -> None:
    machine = CacheNodeModel(1, 1.0, 1, 1)
    machine.offer(0, "a", 100_000)
    machine.offer(0, "b", 100_000)
    assert machine.withdraw("b") and not machine.withdraw("a")
    assert set(drive(machine, SECOND)) == {"a"}


def test_a_cold_node_has_part_of_its_capacity_and_all_of_it_when_warm() -> None:
    machine = CacheNodeModel(4, 1.0, 8, 0)
    machine.start_cold(0, 0.25, 8 * SECOND)
    assert [machine.capacity_cores(at * SECOND) for at in (0, 4, 8, 20)] == [1.0, 2.5, 4.0, 4.0]
    assert machine.offer(0, "a", 100_000)
    assert 300 * MILLI < drive(machine, SECOND)["a"] <= 401 * MILLI


@given(
    st.integers(1, 8),
    st.lists(st.tuples(st.integers(0, 300), st.integers(1, 200)), min_size=1, max_size=30),
)
def test_no_work_is_lost_or_done_for_nothing(cores: int, arrivals: list[tuple[int, int]]) -> None:
    """Every request ends, none sooner than its work takes, all no sooner than the cores could."""
    machine, now = CacheNodeModel(cores, 1.0, 4, 1000), 0
    ended: dict[str, int] = {}
    due: dict[str, int] = {}
    for number, (at, work) in enumerate(sorted(arrivals)):
        ended |= drive(machine, at * MILLI, now)
        now = max(now, at * MILLI)
        for name in machine.take_finished(now):
            ended[name] = now
        assert machine.offer(now, str(number), work * 1000)
        due[str(number)] = now + work * MILLI
    ended |= drive(machine, 1000 * SECOND, now)
    assert set(ended) == set(due)
    assert all(ended[name] >= due[name] - MILLI for name in due)
    whole = sum(work for _, work in arrivals) * MILLI
    assert max(ended.values()) >= min(at for at, _ in arrivals) * MILLI + whole / cores - MILLI
    assert max(ended.values()) <= max(at for at, _ in arrivals) * MILLI + whole + len(due) * MILLI


@given(st.floats(1.0, 5.0), st.floats(0.5, 8.0))
def test_a_budget_holds_a_window_and_a_little_more(multiple: float, capacity: float) -> None:
    budget = ColdLoadLimit(multiple, SECOND)
    whole = multiple * capacity * 1_000_000 * 1.25  # a quarter for chance
    assert not budget.exceeded(0, whole * 0.5, capacity)
    assert not budget.exceeded(SECOND // 2, whole * 0.49, capacity)
    assert budget.exceeded(SECOND // 2, whole * 0.02, capacity)
    assert not budget.exceeded(SECOND * 2, whole * 0.9, capacity)  # the window has passed


@given(st.lists(st.integers(0, 20), max_size=200), st.integers(1, 8))
def test_memory_is_the_least_lately_used(asked: list[int], most: int) -> None:
    memory, model = KeyMemory(most), list[str]()
    for key in map(str, asked):
        assert memory.hit(key) == (key in model)
        model = [one for one in model if one != key] + [key]
        memory.store(key)
        model = model[-most:]
    memory.invalidate("3")
    assert not memory.hit("3")


def test_a_repeat_is_dropped_for_its_window_from_the_first() -> None:
    repeats = IdempotencyWindow()
    assert repeats.is_first(0, "a") and not repeats.is_first(IDEMPOTENCY_WINDOW_NS - 1, "a")
    assert repeats.is_first(IDEMPOTENCY_WINDOW_NS, "a") and repeats.is_first(IDEMPOTENCY_WINDOW_NS, "b")


def pressed(rate: float, seconds: float, per_second: float = 20.0) -> bool:
    overload = OverloadDetector(2.5, 3 * SECOND)
    return any(
        overload.is_overloaded(int(n / rate * SECOND), per_second) for n in range(1, int(rate * seconds))
    )


def test_the_database_stops_when_sent_more_than_its_multiple_for_the_whole_time() -> None:
    assert pressed(56.0, 6.0) and not pressed(44.0, 30.0)
    assert not pressed(60.0, 2.5)  # not for long enough


def test_a_burst_long_past_does_not_count() -> None:
    overload = OverloadDetector(2.5, 3 * SECOND)
    assert not any(overload.is_overloaded(n * SECOND // 100, 20.0) for n in range(150))
    assert not any(overload.is_overloaded(60 * SECOND + n * SECOND // 10, 20.0) for n in range(60))
