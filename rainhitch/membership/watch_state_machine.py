"""Follows a list that is kept under revisions: what to read, what to watch, what to tell. No socket, no
clock.

Theory. The store counts each commit by a revision, and each entry carries the revision that wrote it last. A
read gives all entries as of one revision; a watch from the next one gives every change after it. So the
view is a revision and the entries as of it, and three rules keep it true:

- nothing at or below the view's revision changes it: what a lagging member or a second watch says again is
  known, and a drain that was seen is not undone by the state before it;
- a watch goes on from the revision after the view's, wherever it broke; where that has been compacted away
the
  list is read whole and compared, and each difference, a deletion too, is told as a change;
- another cluster id, or revisions that stay behind for RESTORED, mean another history: the list is read anew
  and compared by what it says.

    reading --Snapshot--> watching --Ended--> pausing --time--> watching, or reading if nothing was read yet
    watching --Compacted, other cluster--> reading          reading --Ended--> pausing
    reading --a Snapshot that drops too many--> doubting --second look, or time--> watching

A silent watch is asked for its progress every PROGRESS and given up after SILENT. Changes are told at once,
but not more often than every GATHER: a thousand a second would else be a thousand lists a second. Times are
ns.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from itertools import islice
from random import Random

SECOND = 1_000_000_000
PROGRESS = SECOND  # between two requests for progress
SILENT = 3 * SECOND  # after which a watch that says nothing has failed
GATHER = SECOND // 20
AT_ONCE, NEW_AT_ONCE = 1000, 100  # known and new entries told at once, but for a first list; the rest follows
BETWEEN = SECOND // 40  # after so long
FIRST_PAUSE, MOST_PAUSE = SECOND // 20, 2 * SECOND
RESTORED = 10 * SECOND  # for which revisions must stay behind to be another history
DROPPED = 0.5  # part of the entries that a read may drop without a second look
FEW = 4  # entries, up to which any number may go at once
LOOK_AGAIN = 3 * SECOND // 10
NO_LONGER = 8 * SECOND // 10  # a first look's drops are told by then: rule 3 counts from when they were seen


@dataclass(slots=True)
class Snapshot:
    """A whole read as of one revision: the entries by uid, each with its revision and value."""

    cluster: int
    revision: int
    entries: Mapping[str, tuple[int, bytes]]


@dataclass(slots=True)
class Changes:
    """What a watch tells: uid, revision, value or None for one that has gone; in the order of revisions."""

    cluster: int
    changes: list[tuple[str, int, bytes | None]]


@dataclass(slots=True)
class Progress:
    """The watch says that it has told everything up to this revision."""

    cluster: int
    revision: int


@dataclass(slots=True)
class Compacted:
    """The revision to watch from is gone."""


@dataclass(slots=True)
class Ended:
    """A read failed, or a watch has ended; why, for the log."""

    why: str


@dataclass(slots=True)
class Time:
    """Nothing but the time."""


Event = Snapshot | Changes | Progress | Compacted | Ended | Time


@dataclass(slots=True)
class Read:
    """Read the whole list, linearizably."""


@dataclass(slots=True)
class WatchFrom:
    """Watch all changes from this revision on."""

    revision: int


@dataclass(slots=True)
class AskProgress:
    """Have the watch tell how far it is."""


@dataclass(slots=True)
class Leave:
    """Give up the connection and go to the next endpoint."""


@dataclass(slots=True)
class Publish:
    """Tell these: values by uid, None for one that has gone. whole: all others have gone too."""

    entries: dict[str, bytes | None]
    whole: bool = False


@dataclass(slots=True)
class LogWarning:
    """A line for the operators."""

    text: str


Action = Read | WatchFrom | AskProgress | Leave | Publish | LogWarning


class Mode(Enum):
    READING = "reading"
    WATCHING = "watching"
    PAUSING = "pausing"
    DOUBTING = "doubting"


@dataclass(slots=True)
class SnapshotSuspicion:
    """A read that would drop too many, and when it counts all the same."""

    snapshot: Snapshot
    until: int
    look_at: int


@dataclass
class WatchStateMachine:
    """One router's view of the list; `wake_at` is when it wants to be told the time next."""

    random: Random
    mode: Mode = Mode.READING
    known: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    revision: int = 0  # of the view; 0: nothing was read yet
    cluster: int = 0
    heard: int = 0  # when the source last said something
    told: dict[str, bytes] = field(default_factory=dict)
    pending: dict[str, bytes | None] = field(default_factory=dict)  # to be told, unless told already
    told_at: int = -GATHER
    asked_at: int = 0
    resume_at: int = 0
    pauses: int = 0
    away: bool = False  # the source failed, and that was said
    behind_since: int = -1  # since when only older revisions were seen
    doubt: SnapshotSuspicion | None = None

    def start(self, now: int) -> list[Action]:
        self.heard = now
        return [Read()]

    def handle(self, now: int, event: Event) -> list[Action]:
        """Plays one event at its time."""
        actions: list[Action] = []
        match event:
            case Snapshot():
                self._snapshot(now, event, actions)
            case Changes():
                self._changes(now, event, actions)
            case Progress():
                self._progress(now, event, actions)
            case Compacted():
                actions += [
                    LogWarning("the revision to go on from was compacted: the list is read whole"),
                    Read(),
                ]
                self.mode, self.heard = Mode.READING, now
            case Ended():
                self._ended(now, event.why, actions)
        self._time(now, actions)
        return actions

    @property
    def wake_at(self) -> int:
        """When the time is wanted next, ns."""
        times = [self.told_at + GATHER] if self.pending else []
        if self.mode is Mode.PAUSING:
            times.append(self.resume_at)
        elif self.mode is Mode.DOUBTING and self.doubt is not None:
            times.append(min(self.doubt.look_at, self.doubt.until))
        else:
            times.append(self.heard + SILENT)
            if self.mode is Mode.WATCHING:
                times.append(max(self.heard, self.asked_at) + PROGRESS)
        if self.doubt is not None:
            times.append(self.doubt.until)
        return min(times)

    def _time(self, now: int, actions: list[Action]) -> None:
        if self.doubt is not None and now >= self.doubt.until:
            actions.append(LogWarning("no second look in time: what the first one dropped is told"))
            self._adopt(now, self.doubt.snapshot, actions)
        if self.mode is Mode.PAUSING and now >= self.resume_at:
            self.heard = self.asked_at = now
            if self.revision and self.behind_since < 0 and self.doubt is None:
                self.mode = Mode.WATCHING
                actions.append(WatchFrom(self.revision + 1))
            else:
                self.mode = Mode.READING
                actions.append(Read())
        elif self.mode is Mode.DOUBTING and self.doubt is not None and now >= self.doubt.look_at:
            self.mode, self.heard = Mode.READING, now
            actions.append(Read())
        elif self.mode in (Mode.READING, Mode.WATCHING) and now - self.heard >= SILENT:
            self._ended(now, f"silent for {SILENT / SECOND:g} s", actions)
        elif self.mode is Mode.WATCHING and now - max(self.heard, self.asked_at) >= PROGRESS:
            self.asked_at = now
            actions.append(AskProgress())
        if self.pending and now - self.told_at >= GATHER:
            self._publish(now, actions)

    def _publish(self, now: int, actions: list[Action], whole: bool = False) -> None:
        """Tells what differs from what was told last: what was undone meanwhile is no change."""
        news = {uid: value for uid, value in self.pending.items() if whole or self.told.get(uid) != value}
        self.pending = {}
        gap = 0
        if not whole and len(news) > NEW_AT_ONCE:
            # Guards requests in work: thousands of entries at once would hold them up for as long as they
            # take. What is known goes first, since drains have a limit and newcomers have none.
            first = dict(islice(((uid, news[uid]) for uid in news if uid in self.told), AT_ONCE))
            first = first or dict(islice(news.items(), NEW_AT_ONCE))
            self.pending = {uid: value for uid, value in news.items() if uid not in first}
            news, gap = first, GATHER - BETWEEN
        for uid, value in news.items():
            if value is None:
                self.told.pop(uid, None)
            else:
                self.told[uid] = value
        if news or whole:
            self.told_at = now - gap
            actions.append(Publish(news, whole))

    def _ended(self, now: int, why: str, actions: list[Action]) -> None:
        if self.mode is Mode.PAUSING:
            return
        if not self.away:
            kept = f"; the list of revision {self.revision} stays in use" if self.revision else ""
            actions.append(LogWarning(f"etcd did not answer: {why}{kept}"))
        self.away, self.mode = True, Mode.PAUSING
        pause = min(FIRST_PAUSE << min(self.pauses, 8), MOST_PAUSE)
        self.pauses += 1
        self.resume_at = now + int(pause * self.random.uniform(0.5, 1.0))
        actions.append(Leave())

    def _answers(self, now: int, actions: list[Action]) -> None:
        self.heard = now
        if self.away:
            actions.append(LogWarning("etcd answers again"))
        self.away, self.pauses, self.behind_since = False, 0, -1

    def _behind(self, now: int, revision: int, actions: list[Action]) -> None:
        """An older revision than the view's: a member that lags, unless it lasts."""
        if self.behind_since < 0:
            self.behind_since = now
            actions.append(
                LogWarning(f"a member is at revision {revision}, behind {self.revision}: not taken")
            )
        self.away = True  # its one line was said
        self._ended(now, "", actions)

    def _snapshot(self, now: int, told: Snapshot, actions: list[Action]) -> None:
        if self.mode is not Mode.READING:
            return
        if self.cluster and told.cluster != self.cluster:
            actions.append(
                LogWarning(f"another cluster id, {told.cluster:x} after {self.cluster:x}: read anew")
            )
        elif told.revision < self.revision:
            if self.behind_since < 0 or now - self.behind_since < RESTORED:
                self._behind(now, told.revision, actions)
                return
            actions.append(
                LogWarning(
                    f"revisions went back from {self.revision} to {told.revision}: taken as a restored backup"
                )
            )
        dropped = sum(uid not in told.entries for uid in self.known)
        if self.doubt is None and len(self.known) > FEW and dropped > DROPPED * len(self.known):
            actions.append(
                LogWarning(f"a read drops {dropped} of {len(self.known)} entries: a second look is taken")
            )
            self.doubt = SnapshotSuspicion(told, now + NO_LONGER, now + LOOK_AGAIN)
            self.mode, self.heard = Mode.DOUBTING, now
            return
        self._adopt(now, told, actions)

    def _adopt(self, now: int, told: Snapshot, actions: list[Action]) -> None:
        """Takes a read over as the view, and tells what differs."""
        first = not self.revision
        self._answers(now, actions)
        self.doubt = None
        for uid in [uid for uid in self.known if uid not in told.entries]:
            del self.known[uid]
            self.pending[uid] = None
        for uid, (revision, value) in told.entries.items():
            before = self.known.get(uid)
            self.known[uid] = (revision, value)
            if before is None or before[1] != value:
                self.pending[uid] = value
        self.cluster, self.revision = told.cluster, told.revision
        if first:
            self._publish(now, actions, whole=True)
        if self.mode is not Mode.PAUSING:
            self.mode, self.asked_at = Mode.WATCHING, now
            actions.append(WatchFrom(self.revision + 1))

    def _changes(self, now: int, told: Changes, actions: list[Action]) -> None:
        if self.mode is not Mode.WATCHING:
            return
        if told.cluster != self.cluster:
            self.mode, self.heard = Mode.READING, now
            actions.append(Read())
            return
        self._answers(now, actions)
        for uid, revision, value in told.changes:
            if revision <= self.revision:
                continue  # known already
            if value is None:
                if self.known.pop(uid, None) is not None:
                    self.pending[uid] = None
            elif self.known.get(uid, (0, b""))[1] != value:
                self.known[uid] = (revision, value)
                self.pending[uid] = value
            else:
                self.known[uid] = (revision, value)
        self.revision = max([self.revision, *(revision for _, revision, _ in told.changes)])

    def _progress(self, now: int, told: Progress, actions: list[Action]) -> None:
        if self.mode is not Mode.WATCHING:
            return
        if told.cluster != self.cluster:
            self.mode, self.heard = Mode.READING, now
            actions.append(Read())
        elif told.revision < self.revision:
            self._behind(now, told.revision, actions)
        else:
            # A sign of life and no more. Guards against a drain lost for good: released versions of etcd have
            # told a progress that was ahead of the events still on their way.
            self._answers(now, actions)
