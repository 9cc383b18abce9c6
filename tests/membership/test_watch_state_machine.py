"""The watch state machine: random histories against a simple model, and each hard case by itself."""

from itertools import pairwise
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from support import MILLI, SECOND

from rainhitch.membership import change_publisher, watch_events
from rainhitch.membership import watch_state_machine as m

START = 1000 * SECOND


class Follower:
    """A state machine with its clock, what it published and logged, and the calls that it requested."""

    def __init__(self) -> None:
        self.machine, self.now = m.WatchStateMachine(Random(7)), START
        self.view: dict[str, bytes] = {}
        self.published: list[tuple[str, bytes | None]] = []
        self.logged: list[str] = []
        self.wants: list[watch_events.Action] = []
        self.do(self.machine.start(self.now))

    def do(self, actions: list[watch_events.Action]) -> list[watch_events.Action]:
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
                self.wants.append(action)
        return actions

    def handle(self, event: watch_events.Event) -> list[watch_events.Action]:
        """Passes an event to the state machine."""
        return self.do(self.machine.handle(self.now, event))

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


def fleet(count: int, revision: int = 5) -> dict[str, tuple[int, bytes]]:
    """Returns so many entries by uid: revision and value."""
    return {f"n{n}": (revision, b"ready") for n in range(count)}


def changes(cluster: int, rows: list[tuple[str, int, bytes | None]]) -> watch_events.Changes:
    """Returns changes that a watch sends: uid, revision, value."""
    return watch_events.Changes(cluster, [watch_events.Change(*row) for row in rows])


def following(count: int = 6) -> Follower:
    """Returns a state machine that has read so many entries and watches."""
    follower = Follower()
    follower.read(10, fleet(count))
    assert follower.wants == [watch_events.ReadAll(), watch_events.WatchFrom(11)]
    assert len(follower.view) == count
    follower.published.clear()
    follower.wants.clear()
    return follower


def test_a_change_is_published_at_once_and_the_next_ones_together() -> None:
    follower = following()
    follower.wait(SECOND // 2)
    follower.handle(changes(1, [("n0", 11, b"drains")]))
    assert follower.published == [("n0", b"drains")]
    for n in range(1, 6):
        follower.handle(changes(1, [(f"n{n}", 11 + n, b"drains")]))
    assert len(follower.published) == 1
    follower.settle()
    assert len(follower.published) == 6


def test_a_drain_once_seen_is_not_undone_by_a_member_that_lags() -> None:
    """After a fail-over a lagging member reported Ready again, and requests went to a drained server."""
    follower = following()
    follower.wait(SECOND // 2)
    follower.handle(changes(1, [("n0", 12, b"drains")]))
    follower.handle(changes(1, [("n0", 11, b"ready")]))
    follower.handle(watch_events.CallEnded("reset"))
    follower.machine.mode = m.Mode.READING
    follower.read(11, fleet(6))
    follower.settle()
    assert follower.view["n0"] == b"drains" and follower.machine.view.revision == 12
    assert sum("member lags revision=11 known_revision=12" in line for line in follower.logged) == 1
    assert watch_events.SwitchEndpoint() in follower.wants


def test_after_a_compaction_each_difference_is_published_once_a_deletion_too() -> None:
    follower = following()
    assert watch_events.ReadAll() in follower.handle(watch_events.Compacted())
    now = fleet(6) | {"n1": (15, b"drains"), "n9": (16, b"ready")}
    del now["n2"]
    follower.read(20, now)
    follower.settle()
    assert sorted(follower.published, key=str) == [("n1", b"drains"), ("n2", None), ("n9", b"ready")]
    assert follower.wants[-1] == watch_events.WatchFrom(21)


def test_a_broken_watch_continues_from_its_revision() -> None:
    follower = following()
    follower.handle(changes(1, [("n0", 14, b"drains")]))
    follower.handle(watch_events.CallEnded("reset"))
    follower.wait(SECOND)
    assert watch_events.WatchFrom(15) in follower.wants and follower.view["n0"] == b"drains"


def test_thousands_of_new_entries_are_published_in_parts_and_drains_go_first() -> None:
    """Applying ten thousand entries at once delayed requests in flight by a fifth of a second."""
    follower = following()
    follower.wait(SECOND)
    news: list[tuple[str, int, bytes | None]] = [(f"m{n}", 11, b"ready") for n in range(10_000)]
    follower.handle(changes(1, news))
    assert len(follower.published) == change_publisher.MAX_NEW_IN_PART
    follower.handle(changes(1, [("n0", 12, b"drains"), ("n1", 12, None)]))
    follower.wait(2 * change_publisher.PART_INTERVAL_NS)
    assert follower.view["n0"] == b"drains" and "n1" not in follower.view
    follower.wait(4 * SECOND)
    assert len(follower.view) == 10_005


def test_progress_ahead_of_its_events_hides_none_of_them() -> None:
    follower = following()
    follower.handle(watch_events.Progress(1, 14))
    follower.handle(changes(1, [("n0", 12, b"drains"), ("n1", 14, None)]))
    follower.settle()
    assert follower.view["n0"] == b"drains" and "n1" not in follower.view


def test_a_silent_watch_is_asked_for_progress_and_then_given_up_in_time() -> None:
    """A half-open stream hid a drain from the router until TCP timed out, minutes later."""
    follower = following()
    follower.wait(m.PROGRESS_INTERVAL_NS + MILLI)
    assert follower.wants == [watch_events.RequestProgress()]
    follower.wait(m.SILENCE_LIMIT_NS - m.PROGRESS_INTERVAL_NS)
    assert watch_events.SwitchEndpoint() in follower.wants and "silent for 3 s" in follower.logged[0]
    answered = following()
    for _ in range(20):
        answered.wait(m.PROGRESS_INTERVAL_NS // 2)
        answered.handle(watch_events.Progress(1, 10))
    assert watch_events.SwitchEndpoint() not in answered.wants


def test_a_drain_undone_in_one_batch_is_not_published_and_a_reused_uid_has_its_last_address() -> None:
    follower = following()
    follower.wait(SECOND // 2)
    follower.handle(changes(1, [("n0", 11, b"drains"), ("n0", 12, b"ready")]))
    follower.handle(changes(1, [("n1", 13, None), ("n1", 14, b"elsewhere")]))
    follower.settle()
    assert follower.view["n0"] == b"ready" and follower.view["n1"] == b"elsewhere"
    follower.handle(changes(1, [("n1", 15, None)]))
    follower.settle()
    assert "n1" not in follower.view


def test_a_read_that_drops_most_of_the_fleet_waits_for_a_second_read() -> None:
    """A backup that lacked half of the keys removed most endpoints."""
    follower = following(10)
    follower.handle(watch_events.Compacted())
    follower.read(20, fleet(2))
    assert len(follower.view) == 10 and "drops too many dropped=8 known=10" in follower.logged[-1]
    follower.wait(m.READ_AGAIN_AFTER_NS + MILLI)
    assert follower.wants[-1] == watch_events.ReadAll()
    follower.read(21, fleet(10))
    follower.settle()
    assert len(follower.view) == 10 and follower.published == []


def test_a_suspicious_read_counts_before_the_limit_on_a_drain_is_over() -> None:
    follower = following(10)
    follower.handle(watch_events.Compacted())
    follower.read(20, fleet(2))
    begun = follower.now
    follower.wait(m.READ_AGAIN_AFTER_NS + MILLI)
    follower.handle(watch_events.CallEnded("refused"))
    while len(follower.view) > 2:
        follower.wait(10 * MILLI)
        assert follower.now - begun < SECOND
    agreed = following(10)
    agreed.handle(watch_events.Compacted())
    agreed.read(20, fleet(2))
    agreed.wait(m.READ_AGAIN_AFTER_NS + MILLI)
    agreed.read(20, fleet(2))
    agreed.settle()
    assert len(agreed.view) == 2


def test_a_restored_backup_with_another_cluster_id_is_read_again_and_logged() -> None:
    follower = following()
    assert watch_events.ReadAll() in follower.handle(changes(2, [("n0", 3, b"old")]))
    follower.read(4, fleet(6, 2) | {"n0": (3, b"old")}, cluster=2)
    follower.settle()
    assert follower.published == [("n0", b"old")] and follower.machine.view.revision == 4
    assert any("cluster id changed cluster_id=2 previous=1" in line for line in follower.logged)
    follower.handle(changes(2, [("n1", 5, b"drains")]))
    follower.settle()
    assert follower.view["n1"] == b"drains"


def test_revisions_that_stay_behind_under_the_same_cluster_id_are_adopted_after_a_while() -> None:
    follower = following()
    for _ in range(40):
        follower.handle(watch_events.CallEnded("reset"))
        follower.wait(2 * SECOND)
        if follower.machine.mode is m.Mode.WATCHING and follower.machine.view.revision == 10:
            follower.handle(watch_events.Progress(1, 4))
        elif follower.machine.mode is m.Mode.READING:
            follower.read(4, fleet(5, 3))
    follower.settle()
    assert follower.machine.view.revision == 4 and "n5" not in follower.view
    assert sum("revisions went back from=10 to=4" in line for line in follower.logged) == 1


def test_an_outage_and_its_end_are_logged_once_and_the_list_stays_in_use() -> None:
    follower = following()
    for _ in range(30):
        follower.handle(watch_events.CallEnded("refused"))
        follower.wait(SECOND)
    assert (
        len(follower.view) == 6 and len(follower.logged) == 1 and "revision_in_use=10" in follower.logged[0]
    )
    follower.machine.mode = m.Mode.WATCHING
    follower.handle(watch_events.Progress(1, 10))
    assert follower.logged[1:] == ["etcd available again"]


def test_backoffs_grow_to_a_bound_and_are_spread() -> None:
    follower, pauses = Follower(), []
    for _ in range(12):
        follower.handle(watch_events.CallEnded("refused"))
        pauses.append(follower.machine.backoff_ends_at_ns - follower.now)
        follower.wait(m.MAX_BACKOFF_NS)
    assert pauses[0] <= m.FIRST_BACKOFF_NS and max(pauses) <= m.MAX_BACKOFF_NS
    assert all(pause > m.MAX_BACKOFF_NS // 2 for pause in pauses[7:]) and len(set(pauses[7:])) > 1


class Play:
    """A store that is a dictionary with a revision, a watch on it, and the state machine that follows it."""

    def __init__(self) -> None:
        self.store: dict[str, tuple[int, bytes]] = {}
        self.history: list[tuple[str, int, bytes | None]] = []
        self.revision = self.compacted = 1
        self.sent = 0  # revision up to which the watch has sent changes
        self.follower = Follower()

    def put(self, which: int, value: int) -> None:
        """Stores an entry."""
        self.batch([which], b"%d" % value)

    def many(self, which: int, value: int) -> None:
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

    def broken(self, which: int, value: int) -> None:
        """The current call fails."""
        self.follower.handle(watch_events.CallEnded("reset"))

    def compact(self, which: int, value: int) -> None:
        """The history is compacted."""
        self.compacted = self.revision

    def repeat(self, which: int, value: int) -> None:
        """The watch sends changes a second time."""
        told = [one for one in self.history if one[1] <= self.sent]
        self.follower.handle(changes(1, told[-1 - which :]))

    def stale(self, which: int, value: int) -> None:
        """A lagging member reports its progress."""
        self.follower.handle(watch_events.Progress(1, max(1, self.sent - which)))

    def progress(self, which: int, value: int) -> None:
        """The watch reports its progress."""
        self.follower.handle(watch_events.Progress(1, self.sent))

    def serve(self) -> None:
        """Answers the requested calls, and sends the changes that the watch has not sent yet."""
        for _ in range(8):
            self._answer()
            watching = self.follower.machine.mode is m.Mode.WATCHING
            if watching and not self.follower.wants:
                unseen = [one for one in self.history if one[1] > self.sent]
                if unseen:
                    self.follower.handle(changes(1, unseen))
                self.sent = self.revision
                if not self.follower.wants:
                    return
            self.follower.wait(SECOND // 2)

    def _answer(self) -> None:
        wants, self.follower.wants = self.follower.wants, []
        for want in wants:
            if isinstance(want, watch_events.ReadAll) and self.follower.machine.mode is m.Mode.READING:
                self.follower.read(self.revision, dict(self.store))
            elif isinstance(want, watch_events.WatchFrom):
                self.sent = want.revision - 1
                if want.revision <= self.compacted < self.revision:
                    self.follower.handle(watch_events.Compacted())


KINDS = ("put", "delete", "many", "broken", "compact", "repeat", "stale", "progress")
STEPS = st.lists(st.tuples(st.sampled_from(KINDS), st.integers(0, 5), st.integers(0, 3)), max_size=80)


@settings(max_examples=300)
@given(STEPS)
def test_whatever_happens_the_view_becomes_the_stores_and_no_revision_goes_back(
    steps: list[tuple[str, int, int]],
) -> None:
    """The watch may fail, repeat, be compacted or lag at any step."""
    play, revisions = Play(), [0]
    follower = play.follower
    play.serve()
    for what, which, value in steps:
        getattr(play, what)(which, value)
        follower.wait(value * 20 * MILLI)
        if value:
            play.serve()
        revisions.append(follower.machine.view.revision)
    for _ in range(6):
        follower.wait(2 * SECOND)
        play.serve()
    follower.settle()
    assert follower.view == {uid: value for uid, (_, value) in play.store.items()}
    assert revisions == sorted(revisions)
    for uid in play.store:
        mine = [value for whose, value in follower.published if whose == uid]
        assert all(one != two for one, two in pairwise(mine))  # each change is published once
