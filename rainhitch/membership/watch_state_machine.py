"""State machine that follows an endpoint list in etcd: what to read, watch and publish. No I/O, no clock.

etcd counts each commit by a revision, and each entry carries the revision that last wrote it. A read returns
all entries as of one revision, and a watch from the next revision returns every later change. The view is
therefore a revision and the entries as of it, and three rules keep it correct:

- A change at or below the view's revision does not change the view (`ListView`).
- A watch continues from the revision after the view's, wherever it broke. Where that revision was compacted,
  the whole list is read and compared, and each difference is published as a change, also a deletion.
- Another cluster id, or revisions that stay behind for `RESTORED_AFTER_NS`, mean that etcd's history was
  replaced: the whole list is read and its values are compared.

`Mode` defines the states and their transitions. A silent watch is asked for its progress every
`PROGRESS_INTERVAL_NS`, and counts as failed after `SILENCE_LIMIT_NS`. Times are nanoseconds of the host's
clock.
"""

from dataclasses import dataclass, field
from enum import Enum
from random import Random

from rainhitch.membership.list_view import ListView
from rainhitch.membership.watch_events import (
    Action,
    CallEnded,
    Changes,
    Compacted,
    Event,
    Progress,
    ReadAll,
    RequestProgress,
    Snapshot,
    SwitchEndpoint,
    WatchFrom,
    warning,
)

SECOND_NS = 1_000_000_000
PROGRESS_INTERVAL_NS = SECOND_NS  # time between two progress requests
SILENCE_LIMIT_NS = 3 * SECOND_NS  # time without a response after which a call has failed
FIRST_BACKOFF_NS = SECOND_NS // 20  # the first backoff; it doubles with each failure
MAX_BACKOFF_NS = 2 * SECOND_NS
MAX_BACKOFF_DOUBLINGS = 8
MIN_JITTER_FRACTION = 0.5  # fraction of a backoff; jitter keeps routers from reconnecting together
MAX_JITTER_FRACTION = 1.0
RESTORED_AFTER_NS = 10 * SECOND_NS  # time of older revisions after which etcd's history counts as replaced
READ_AGAIN_AFTER_NS = 3 * SECOND_NS // 10  # time between a suspicious read and the second read
# After this time a suspicious read is adopted: the time limit of a drain runs from when the drain was seen.
ADOPT_AFTER_NS = 8 * SECOND_NS // 10


class Mode(Enum):
    """State of the machine, with its transitions.

    READING     --Snapshot--> WATCHING
    READING     --a suspicious Snapshot--> VERIFYING
    READING     --CallEnded, silence, or a lagging member--> BACKING_OFF
    WATCHING    --Compacted, or another cluster id--> READING
    WATCHING    --CallEnded, silence, or a lagging member--> BACKING_OFF
    BACKING_OFF --time--> WATCHING
    BACKING_OFF --time--> READING, where nothing was read yet, a member lags, or a read is suspicious
    VERIFYING   --time for the second read--> READING
    any         --time to adopt the suspicious read--> WATCHING, but BACKING_OFF stays
    """

    READING = "reading"
    WATCHING = "watching"
    BACKING_OFF = "backing_off"
    VERIFYING = "verifying"


def backoff_ns(failures: int, random: Random) -> int:
    """Returns the wait after `failures` earlier failures: doubled with each up to a limit, with jitter."""
    doublings = min(failures, MAX_BACKOFF_DOUBLINGS)
    longest_ns = min(FIRST_BACKOFF_NS << doublings, MAX_BACKOFF_NS)
    return int(longest_ns * random.uniform(MIN_JITTER_FRACTION, MAX_JITTER_FRACTION))


@dataclass(slots=True)
class SnapshotSuspicion:
    """A read that `ListView.is_suspicious` doubts, and when it is adopted without a second read."""

    snapshot: Snapshot
    adopt_at_ns: int
    read_again_at_ns: int


@dataclass
class WatchStateMachine:
    """One router's state of the watch and view of the list; `random` adds jitter to backoffs."""

    random: Random
    mode: Mode = Mode.READING
    view: ListView = field(default_factory=ListView)
    last_response_at_ns: int = 0  # time of etcd's last response, or of the start of the call
    progress_requested_at_ns: int = 0
    backoff_ends_at_ns: int = 0
    failures: int = 0  # number of consecutive failures
    is_failing: bool = False  # whether a failure of etcd was logged
    behind_since_ns: int | None = None  # time since which all revisions seen were older than the view's
    suspicion: SnapshotSuspicion | None = None

    def start(self, now_ns: int) -> list[Action]:
        """Returns the first actions."""
        self.last_response_at_ns = now_ns
        return [ReadAll()]

    def handle(self, now_ns: int, event: Event) -> list[Action]:
        """Returns the actions that follow from an event and from the time that has passed."""
        actions: list[Action] = []
        match event:
            case Snapshot():
                self._handle_snapshot(now_ns, event, actions)
            case Changes():
                self._handle_changes(now_ns, event, actions)
            case Progress():
                self._handle_progress(now_ns, event, actions)
            case Compacted():
                actions.append(warning("etcd watch revision compacted", action="read_all"))
                self._read_all(now_ns, actions)
            case CallEnded():
                self._back_off(now_ns, event.reason, actions)
        self._handle_time(now_ns, actions)
        return actions

    @property
    def wake_at_ns(self) -> int:
        """Time at which the machine next needs a TimeElapsed event, in ns."""
        due_at_ns = self.view.publisher.due_at_ns()
        times = [] if due_at_ns is None else [due_at_ns]
        if self.mode is Mode.BACKING_OFF:
            times.append(self.backoff_ends_at_ns)
        elif self.mode is Mode.VERIFYING and self.suspicion is not None:
            times.append(min(self.suspicion.read_again_at_ns, self.suspicion.adopt_at_ns))
        else:
            times.append(self.last_response_at_ns + SILENCE_LIMIT_NS)
            if self.mode is Mode.WATCHING:
                times.append(self._last_activity_ns() + PROGRESS_INTERVAL_NS)
        if self.suspicion is not None:
            times.append(self.suspicion.adopt_at_ns)
        return min(times)

    def _last_activity_ns(self) -> int:
        return max(self.last_response_at_ns, self.progress_requested_at_ns)

    def _handle_time(self, now_ns: int, actions: list[Action]) -> None:
        suspicion = self.suspicion
        if suspicion is not None and now_ns >= suspicion.adopt_at_ns:
            actions.append(warning("etcd second read overdue", action="adopt_first_read"))
            self._adopt(now_ns, suspicion.snapshot, actions)
        match self.mode:
            case Mode.BACKING_OFF:
                if now_ns >= self.backoff_ends_at_ns:
                    self._resume(now_ns, actions)
            case Mode.VERIFYING:
                if self.suspicion is not None and now_ns >= self.suspicion.read_again_at_ns:
                    self._read_all(now_ns, actions)
            case Mode.READING | Mode.WATCHING:
                self._check_silence(now_ns, actions)
        if self.view.publisher.is_due(now_ns):
            batch = self.view.publisher.publish_changes(now_ns)
            if batch is not None:
                actions.append(batch)

    def _check_silence(self, now_ns: int, actions: list[Action]) -> None:
        if now_ns - self.last_response_at_ns >= SILENCE_LIMIT_NS:
            self._back_off(now_ns, f"silent for {SILENCE_LIMIT_NS / SECOND_NS:g} s", actions)
        elif self.mode is Mode.WATCHING and now_ns - self._last_activity_ns() >= PROGRESS_INTERVAL_NS:
            self.progress_requested_at_ns = now_ns
            actions.append(RequestProgress())

    # Transitions of `Mode`: one method for each state that is entered.

    def _read_all(self, now_ns: int, actions: list[Action]) -> None:
        self.mode = Mode.READING
        self.last_response_at_ns = now_ns
        actions.append(ReadAll())

    def _watch(self, now_ns: int, actions: list[Action]) -> None:
        self.mode = Mode.WATCHING
        self.last_response_at_ns = now_ns
        self.progress_requested_at_ns = now_ns
        actions.append(WatchFrom(self.view.revision + 1))

    def _back_off(self, now_ns: int, reason: str, actions: list[Action]) -> None:
        """Waits before the next call, which goes to the next endpoint; logs an outage once."""
        if self.mode is Mode.BACKING_OFF:
            return
        if not self.is_failing:
            fields = {"reason": repr(reason), "revision_in_use": self.view.revision}
            actions.append(warning("etcd unavailable", **fields))
        self.is_failing = True
        self.mode = Mode.BACKING_OFF
        self.backoff_ends_at_ns = now_ns + backoff_ns(self.failures, self.random)
        self.failures += 1
        actions.append(SwitchEndpoint())

    def _verify(self, now_ns: int, snapshot: Snapshot) -> None:
        """Has a suspicious read checked by a second read."""
        self.suspicion = SnapshotSuspicion(snapshot, now_ns + ADOPT_AFTER_NS, now_ns + READ_AGAIN_AFTER_NS)
        self.mode = Mode.VERIFYING
        self.last_response_at_ns = now_ns

    def _resume(self, now_ns: int, actions: list[Action]) -> None:
        """Ends a backoff: watches from the view's revision if it is valid, and else reads the list."""
        if self.view.is_read and self.behind_since_ns is None and self.suspicion is None:
            self._watch(now_ns, actions)
        else:
            self._read_all(now_ns, actions)

    # Events from etcd.

    def _record_response(self, now_ns: int, actions: list[Action]) -> None:
        """Records a response from etcd whose revision is not older than the view's."""
        self.last_response_at_ns = now_ns
        if self.is_failing:
            actions.append(warning("etcd available again"))
        self.is_failing = False
        self.failures = 0
        self.behind_since_ns = None

    def _handle_lagging_member(self, now_ns: int, revision: int, actions: list[Action]) -> None:
        """Handles a revision older than the view's: backs off and then asks another member."""
        if self.behind_since_ns is None:
            self.behind_since_ns = now_ns
            known = self.view.revision
            actions.append(
                warning("etcd member lags", revision=revision, known_revision=known, action="ignore")
            )
        self.is_failing = True  # keeps the backoff from logging an outage
        self._back_off(now_ns, "", actions)

    def _handle_snapshot(self, now_ns: int, snapshot: Snapshot, actions: list[Action]) -> None:
        if self.mode is not Mode.READING:
            return
        view = self.view
        if view.is_other_cluster(snapshot.cluster_id):
            ids = {"cluster_id": f"{snapshot.cluster_id:x}", "previous": f"{view.cluster_id:x}"}
            actions.append(warning("etcd cluster id changed", **ids, action="compare_all"))
        elif snapshot.revision < view.revision:
            if not self._is_restored(now_ns):
                self._handle_lagging_member(now_ns, snapshot.revision, actions)
                return
            revisions = {"from": view.revision, "to": snapshot.revision}
            actions.append(warning("etcd revisions went back", **revisions, action="adopt_restored_backup"))
        dropped_count = view.count_dropped(snapshot)
        if self.suspicion is None and view.is_suspicious(dropped_count):
            counts = {"dropped": dropped_count, "known": len(view.known)}
            actions.append(warning("etcd read drops too many", **counts, action="read_again"))
            self._verify(now_ns, snapshot)
            return
        self._adopt(now_ns, snapshot, actions)

    def _is_restored(self, now_ns: int) -> bool:
        """Returns whether revisions stayed behind for `RESTORED_AFTER_NS`: etcd's history was replaced."""
        return self.behind_since_ns is not None and now_ns - self.behind_since_ns >= RESTORED_AFTER_NS

    def _adopt(self, now_ns: int, snapshot: Snapshot, actions: list[Action]) -> None:
        """Makes a read the view, and adds the differences to the pending changes."""
        is_first = not self.view.is_read
        self._record_response(now_ns, actions)
        self.suspicion = None
        self.view.adopt(snapshot)
        if is_first:
            actions.append(self.view.publisher.publish_whole(now_ns))
        if self.mode is not Mode.BACKING_OFF:
            self._watch(now_ns, actions)

    def _handle_changes(self, now_ns: int, event: Changes, actions: list[Action]) -> None:
        if self.mode is not Mode.WATCHING:
            return
        if event.cluster_id != self.view.cluster_id:
            self._read_all(now_ns, actions)
            return
        self._record_response(now_ns, actions)
        self.view.apply(event)

    def _handle_progress(self, now_ns: int, event: Progress, actions: list[Action]) -> None:
        if self.mode is not Mode.WATCHING:
            return
        if event.cluster_id != self.view.cluster_id:
            self._read_all(now_ns, actions)
        elif event.revision < self.view.revision:
            self._handle_lagging_member(now_ns, event.revision, actions)
        else:
            # Progress shows that the watch works, and does not advance the view's revision. Guards against a
            # drain lost for good: released versions of etcd report progress ahead of events still in transit.
            self._record_response(now_ns, actions)
