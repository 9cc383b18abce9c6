"""The endpoint list as one router has read it from etcd: a revision and the entries as of it. No clock.

Changes at or below the view's revision are ignored: a lagging member or a second watch may report them again,
and must not undo a drain that was seen.
"""

from dataclasses import dataclass, field

from rainhitch.membership.change_publisher import ChangePublisher
from rainhitch.membership.watch_events import Changes, Snapshot, StoredValue

UNKNOWN_REVISION = 0  # a value below any revision of etcd
UNKNOWN_CLUSTER = 0  # a value that is not the id of any cluster
SUSPICIOUS_DROP_FRACTION = 0.5  # fraction of the entries; a read that drops more is suspicious
SUSPICIOUS_MIN_ENTRIES = 4  # a list of at most this many entries may lose any number of them


@dataclass(slots=True)
class ListView:
    """The view; each difference that a read or a watch makes is added to the publisher."""

    known: dict[str, StoredValue] = field(default_factory=dict)  # entries by uid
    revision: int = UNKNOWN_REVISION
    cluster_id: int = UNKNOWN_CLUSTER
    publisher: ChangePublisher = field(default_factory=ChangePublisher)

    @property
    def is_read(self) -> bool:
        """Whether the list was read at least once."""
        return self.revision != UNKNOWN_REVISION

    def is_other_cluster(self, cluster_id: int) -> bool:
        """Returns whether a cluster id differs from the view's; False while the view has none."""
        if self.cluster_id == UNKNOWN_CLUSTER:
            return False
        return cluster_id != self.cluster_id

    def count_dropped(self, snapshot: Snapshot) -> int:
        """Returns how many of the view's entries are missing in a read."""
        return sum(uid not in snapshot.entries for uid in self.known)

    def is_suspicious(self, dropped_count: int) -> bool:
        """Returns whether a read without `dropped_count` of the entries must be checked by a second read.

        Guards against a partial backup or a wrong prefix, which would remove most endpoints at once.
        """
        if len(self.known) <= SUSPICIOUS_MIN_ENTRIES:
            return False
        return dropped_count > SUSPICIOUS_DROP_FRACTION * len(self.known)

    def adopt(self, snapshot: Snapshot) -> None:
        """Replaces the view by the result of a read."""
        for uid in [uid for uid in self.known if uid not in snapshot.entries]:
            del self.known[uid]
            self.publisher.add(uid, None)
        for uid, entry in snapshot.entries.items():
            before = self.known.get(uid)
            self.known[uid] = entry
            if before is None or before.value != entry.value:
                self.publisher.add(uid, entry.value)
        self.cluster_id = snapshot.cluster_id
        self.revision = snapshot.revision

    def apply(self, event: Changes) -> None:
        """Applies the changes of a watch; those at or below the view's revision are ignored."""
        newest = self.revision
        for uid, revision, value in event.changes:
            newest = max(newest, revision)
            if revision <= self.revision:
                continue
            before = self.known.get(uid)
            if value is None:
                if before is not None:
                    del self.known[uid]
                    self.publisher.add(uid, None)
                continue
            self.known[uid] = StoredValue(revision, value)
            known_value = b"" if before is None else before.value
            if known_value != value:
                self.publisher.add(uid, value)
        self.revision = newest
