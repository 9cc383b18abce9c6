"""The watch state machine: random histories against a simple model, and each hard case by itself."""

from itertools import pairwise
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from support import MILLI, SECOND

from rainhitch.membership import change_publisher, watch_events
from rainhitch.membership import watch_state_machine as m

START = 1000 * SECOND


class StateMachineDriver:
    """A state machine with its clock, its published changes, its log lines and its requested calls."""

    def __init__(self) -> None:
        self.machine, self.now = m.WatchStateMachine(Random(7)), START
        self.view: dict[str, bytes] = {}
        self.published: list[tuple[str, bytes | None]] = []
        self.logged: list[str] = []
        self.requested: list[watch_events.Action] = []
        self.record(self.machine.start(self.now))

    def record(self, actions: list[watch_events.Action]) -> list[watch_events.Action]:
        """Records what actions publish, log and request; returns the actions."""
        for action in actions:
            if isinstance(action, watch_events.Publish):
                if action.whole:
                    self.view = {}
                for uid, value in action.entries.items():
                    if not action.whole or value is not None:
                        self.published.append((uid, value))
                    self.view.pop(uid, None)
                    if value is not None:
                        self.view[uid] = value
            elif isinstance(action, watch_events.LogWarning):
                self.logged.append(action.text)
            else:
                self.requested.append(action)
        return actions

    def handle(self, event: watch_events.Event) -> list[watch_events.Action]:
        """Passes an event to the state machine."""
        return self.record(self.machine.handle(self.now, event))

    def wait(self, span: int) -> None:
        """Advances the clock, with a TimeElapsed event at every wake-up that the state machine requests."""
        end = self.now + span
        while self.machine.wake_at_ns <= end:
            self.now = max(self.now + 1, self.machine.wake_at_ns)
            self.handle(watch_events.TimeElapsed())
        self.now = end

    def read(self, revision: int, entries: dict[str, tuple[int, bytes]], cluster: int = 1) -> None:
        """Answers a read of the whole list."""
        stored = {uid: watch_events.StoredValue(*entry) for uid, entry in entries.items()}
        self.handle(watch_events.Snapshot(cluster, revision, stored))

    def settle(self) -> None:
        """Waits until pending changes are published."""
        self.wait(change_publisher.BATCH_INTERVAL_NS + MILLI)


def entries(count: int, revision: int = 5) -> dict[str, tuple[int, bytes]]:
    """Returns `count` entries by uid: revision and value."""
    return {f"n{n}": (revision, b"ready") for n in range(count)}


def changes(cluster: int, rows: list[tuple[str, int, bytes | None]]) -> watch_events.Changes:
    """Returns changes that a watch sends: uid, revision, value."""
    return watch_events.Changes(cluster, [watch_events.Change(*row) for row in rows])


def watching_driver(count: int = 6) -> StateMachineDriver:
    """Returns the driver of a state machine that has read `count` entries and watches."""
    driver = StateMachineDriver()
    driver.read(10, entries(count))
    assert driver.requested == [watch_events.ReadAll(), watch_events.WatchFrom(11)]
    assert len(driver.view) == count
    driver.published.clear()
    driver.requested.clear()
    return driver


def test_a_change_is_published_at_once_and_the_next_ones_together() -> None:
    driver = watching_driver()
    driver.wait(SECOND // 2)
    driver.handle(changes(1, [("n0", 11, b"drains")]))
    assert driver.published == [("n0", b"drains")]
    for n in range(1, 6):
        driver.handle(changes(1, [(f"n{n}", 11 + n, b"drains")]))
    assert len(driver.published) == 1
    driver.settle()
    assert len(driver.published) == 6


def test_a_drain_once_seen_is_not_undone_by_a_member_that_lags() -> None:
    """After a fail-over a lagging member reported Ready again, and requests went to a drained server."""
    driver = watching_driver()
    driver.wait(SECOND // 2)
    driver.handle(changes(1, [("n0", 12, b"drains")]))
    driver.handle(changes(1, [("n0", 11, b"ready")]))
    driver.handle(watch_events.CallEnded("reset"))
    driver.machine.mode = m.Mode.READING
    driver.read(11, entries(6))
    driver.settle()
    assert driver.view["n0"] == b"drains" and driver.machine.view.revision == 12
    assert sum("member lags revision=11 known_revision=12" in line for line in driver.logged) == 1
    assert watch_events.SwitchEndpoint() in driver.requested


def test_after_a_compaction_each_difference_is_published_once_a_deletion_too() -> None:
    driver = watching_driver()
    assert watch_events.ReadAll() in driver.handle(watch_events.Compacted())
    now = entries(6) | {"n1": (15, b"drains"), "n9": (16, b"ready")}
    del now["n2"]
    driver.read(20, now)
    driver.settle()
    assert sorted(driver.published, key=str) == [("n1", b"drains"), ("n2", None), ("n9", b"ready")]
    assert driver.requested[-1] == watch_events.WatchFrom(21)


def test_a_broken_watch_continues_from_its_revision() -> None:
    driver = watching_driver()
    driver.handle(changes(1, [("n0", 14, b"drains")]))
    driver.handle(watch_events.CallEnded("reset"))
    driver.wait(SECOND)
    assert watch_events.WatchFrom(15) in driver.requested and driver.view["n0"] == b"drains"


def test_thousands_of_new_entries_are_published_in_parts_and_drains_go_first() -> None:
    """Applying ten thousand entries at once delayed requests in flight by a fifth of a second."""
    driver = watching_driver()
    driver.wait(SECOND)
    new_entries: list[tuple[str, int, bytes | None]] = [(f"m{n}", 11, b"ready") for n in range(10_000)]
    driver.handle(changes(1, new_entries))
    assert len(driver.published) == change_publisher.MAX_NEW_IN_PART
    driver.handle(changes(1, [("n0", 12, b"drains"), ("n1", 12, None)]))
    driver.wait(2 * change_publisher.PART_INTERVAL_NS)
    assert driver.view["n0"] == b"drains" and "n1" not in driver.view
    driver.wait(4 * SECOND)
    assert len(driver.view) == 10_005


def test_progress_ahead_of_its_events_hides_none_of_them() -> None:
    driver = watching_driver()
    driver.handle(watch_events.Progress(1, 14))
    driver.handle(changes(1, [("n0", 12, b"drains"), ("n1", 14, None)]))
    driver.settle()
    assert driver.view["n0"] == b"drains" and "n1" not in driver.view


def test_a_silent_watch_is_asked_for_progress_and_then_given_up_in_time() -> None:
    """A half-open stream hid a drain from the router until TCP timed out, minutes later."""
    driver = watching_driver()
    driver.wait(m.PROGRESS_INTERVAL_NS + MILLI)
    assert driver.requested == [watch_events.RequestProgress()]
    driver.wait(m.SILENCE_LIMIT_NS - m.PROGRESS_INTERVAL_NS)
    assert watch_events.SwitchEndpoint() in driver.requested and "silent for 3 s" in driver.logged[0]
    responsive = watching_driver()
    for _ in range(20):
        responsive.wait(m.PROGRESS_INTERVAL_NS // 2)
        responsive.handle(watch_events.Progress(1, 10))
    assert watch_events.SwitchEndpoint() not in responsive.requested


def test_a_drain_undone_in_one_batch_is_not_published_and_a_reused_uid_has_its_last_address() -> None:
    driver = watching_driver()
    driver.wait(SECOND // 2)
    driver.handle(changes(1, [("n0", 11, b"drains"), ("n0", 12, b"ready")]))
    driver.handle(changes(1, [("n1", 13, None), ("n1", 14, b"elsewhere")]))
    driver.settle()
    assert driver.view["n0"] == b"ready" and driver.view["n1"] == b"elsewhere"
    driver.handle(changes(1, [("n1", 15, None)]))
    driver.settle()
    assert "n1" not in driver.view


def test_a_read_that_drops_most_of_the_fleet_waits_for_a_second_read() -> None:
    """A backup that lacked half of the keys removed most endpoints."""
    driver = watching_driver(10)
    driver.handle(watch_events.Compacted())
    driver.read(20, entries(2))
    assert len(driver.view) == 10 and "drops too many dropped=8 known=10" in driver.logged[-1]
    driver.wait(m.READ_AGAIN_AFTER_NS + MILLI)
    assert driver.requested[-1] == watch_events.ReadAll()
    driver.read(21, entries(10))
    driver.settle()
    assert len(driver.view) == 10 and driver.published == []


def test_a_suspicious_read_counts_before_the_limit_on_a_drain_is_over() -> None:
    driver = watching_driver(10)
    driver.handle(watch_events.Compacted())
    driver.read(20, entries(2))
    started_at = driver.now
    driver.wait(m.READ_AGAIN_AFTER_NS + MILLI)
    driver.handle(watch_events.CallEnded("refused"))
    while len(driver.view) > 2:
        driver.wait(10 * MILLI)
        assert driver.now - started_at < SECOND
    confirmed = watching_driver(10)
    confirmed.handle(watch_events.Compacted())
    confirmed.read(20, entries(2))
    confirmed.wait(m.READ_AGAIN_AFTER_NS + MILLI)
    confirmed.read(20, entries(2))
    confirmed.settle()
    assert len(confirmed.view) == 2


def test_a_restored_backup_with_another_cluster_id_is_read_again_and_logged() -> None:
    driver = watching_driver()
    assert watch_events.ReadAll() in driver.handle(changes(2, [("n0", 3, b"old")]))
    driver.read(4, entries(6, 2) | {"n0": (3, b"old")}, cluster=2)
    driver.settle()
    assert driver.published == [("n0", b"old")] and driver.machine.view.revision == 4
    assert any("cluster id changed cluster_id=2 previous=1" in line for line in driver.logged)
    driver.handle(changes(2, [("n1", 5, b"drains")]))
    driver.settle()
    assert driver.view["n1"] == b"drains"


def test_revisions_that_stay_behind_under_the_same_cluster_id_are_adopted_after_a_while() -> None:
    driver = watching_driver()
    for _ in range(40):
        driver.handle(watch_events.CallEnded("reset"))
        driver.wait(2 * SECOND)
        if driver.machine.mode is m.Mode.WATCHING and driver.machine.view.revision == 10:
            driver.handle(watch_events.Progress(1, 4))
        elif driver.machine.mode is m.Mode.READING:
            driver.read(4, entries(5, 3))
    driver.settle()
    assert driver.machine.view.revision == 4 and "n5" not in driver.view
    assert sum("revisions went back from=10 to=4" in line for line in driver.logged) == 1


def test_an_outage_and_its_end_are_logged_once_and_the_list_stays_in_use() -> None:
    driver = watching_driver()
    for _ in range(30):
        driver.handle(watch_events.CallEnded("refused"))
        driver.wait(SECOND)
    assert len(driver.view) == 6 and len(driver.logged) == 1 and "revision_in_use=10" in driver.logged[0]
    driver.machine.mode = m.Mode.WATCHING
    driver.handle(watch_events.Progress(1, 10))
    assert driver.logged[1:] == ["etcd available again"]


def test_backoffs_grow_to_a_bound_and_are_spread() -> None:
    driver, backoffs = StateMachineDriver(), []
    for _ in range(12):
        driver.handle(watch_events.CallEnded("refused"))
        backoffs.append(driver.machine.backoff_ends_at_ns - driver.now)
        driver.wait(m.MAX_BACKOFF_NS)
    assert backoffs[0] <= m.FIRST_BACKOFF_NS and max(backoffs) <= m.MAX_BACKOFF_NS
    assert all(backoff > m.MAX_BACKOFF_NS // 2 for backoff in backoffs[7:]) and len(set(backoffs[7:])) > 1


class StoreModel:
    """A store that is a dictionary with a revision, a watch on it, and the state machine that follows it."""

    def __init__(self) -> None:
        self.store: dict[str, tuple[int, bytes]] = {}
        self.history: list[tuple[str, int, bytes | None]] = []
        self.revision = self.compacted = 1
        self.sent = 0  # revision up to which the watch has sent changes
        self.driver = StateMachineDriver()

    def put(self, which: int, value: int) -> None:
        """Stores an entry."""
        self.batch([which], b"%d" % value)

    def put_many(self, which: int, value: int) -> None:
        """Stores several entries in one transaction."""
        self.batch(list(range(which)), b"b%d" % value)

    def batch(self, which: list[int], value: bytes) -> None:
        """Stores these entries in one transaction."""
        self.revision += 1
        for n in which:
            self.store[f"n{n}"] = (self.revision, value)
            self.history.append((f"n{n}", self.revision, value))

    def delete(self, which: int, value: int) -> None:
        """Deletes an entry."""
        if self.store.pop(f"n{which}", None) is not None:
            self.revision += 1
            self.history.append((f"n{which}", self.revision, None))

    def fail_call(self, which: int, value: int) -> None:
        """The current call fails."""
        self.driver.handle(watch_events.CallEnded("reset"))

    def compact(self, which: int, value: int) -> None:
        """The history is compacted."""
        self.compacted = self.revision

    def resend_changes(self, which: int, value: int) -> None:
        """The watch sends changes a second time."""
        resent = [change for change in self.history if change[1] <= self.sent]
        self.driver.handle(changes(1, resent[-1 - which :]))

    def report_old_progress(self, which: int, value: int) -> None:
        """A lagging member reports its progress."""
        self.driver.handle(watch_events.Progress(1, max(1, self.sent - which)))

    def report_progress(self, which: int, value: int) -> None:
        """The watch reports its progress."""
        self.driver.handle(watch_events.Progress(1, self.sent))

    def answer_calls(self) -> None:
        """Answers the requested calls, and sends the changes that the watch has not sent yet."""
        for _ in range(8):
            self._answer()
            watching = self.driver.machine.mode is m.Mode.WATCHING
            if watching and not self.driver.requested:
                unsent = [change for change in self.history if change[1] > self.sent]
                if unsent:
                    self.driver.handle(changes(1, unsent))
                self.sent = self.revision
                if not self.driver.requested:
                    return
            self.driver.wait(SECOND // 2)

    def _answer(self) -> None:
        requested, self.driver.requested = self.driver.requested, []
        for action in requested:
            if isinstance(action, watch_events.ReadAll) and self.driver.machine.mode is m.Mode.READING:
                self.driver.read(self.revision, dict(self.store))
            elif isinstance(action, watch_events.WatchFrom):
                self.sent = action.revision - 1
                if action.revision <= self.compacted < self.revision:
                    self.driver.handle(watch_events.Compacted())


OPERATIONS = (
    "put",
    "delete",
    "put_many",
    "fail_call",
    "compact",
    "resend_changes",
    "report_old_progress",
    "report_progress",
)
STEPS = st.lists(st.tuples(st.sampled_from(OPERATIONS), st.integers(0, 5), st.integers(0, 3)), max_size=80)


@settings(max_examples=300)
@given(STEPS)
def test_the_view_converges_to_the_store_and_no_revision_goes_back(
    steps: list[tuple[str, int, int]],
) -> None:
    """The watch may fail, repeat, be compacted or lag at any step."""
    model, revisions = StoreModel(), [0]
    driver = model.driver
    model.answer_calls()
    for operation, which, value in steps:
        getattr(model, operation)(which, value)
        driver.wait(value * 20 * MILLI)
        if value:
            model.answer_calls()
        revisions.append(driver.machine.view.revision)
    for _ in range(6):
        driver.wait(2 * SECOND)
        model.answer_calls()
    driver.settle()
    assert driver.view == {uid: value for uid, (_, value) in model.store.items()}
    assert revisions == sorted(revisions)
    for uid in model.store:
        values = [value for uid_of_change, value in driver.published if uid_of_change == uid]
        assert all(one != two for one, two in pairwise(values))  # each change is published once
