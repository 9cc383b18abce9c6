"""The endpoint list as one router knows it from etcd: a revision, and the entries as of it. No clock.

Nothing at or below the view's revision changes it: what a lagging member or a second watch reports again is
known, and a drain that was seen is not undone by the state before it.
"""

from dataclasses import dataclass, field

from rainhitch.membership.change_publisher import ChangePublisher
from rainhitch.membership.watch_events import Changes, Snapshot, StoredValue

UNKNOWN_REVISION = 0  # below any revision of etcd
UNKNOWN_CLUSTER = 0  # the id of none
SUSPICIOUS_DROP_FRACTION = 0.5  # of the entries: a read that drops more is checked by a second one
SUSPICIOUS_MIN_ENTRIES = 4  # up to which any number may go at once


@dataclass(slots=True)
class ListView:
    """The view; each difference that a read or a watch makes is noted with the publisher."""

    known: dict[str, StoredValue] = field(default_factory=dict)  # the entries by uid
    revision: int = UNKNOWN_REVISION
    cluster_id: int = UNKNOWN_CLUSTER
    publisher: ChangePublisher = field(default_factory=ChangePublisher)

    @property
    def is_read(self) -> bool:
        """Whether the list was read once."""
        return self.revision != UNKNOWN_REVISION

    def is_other_cluster(self, cluster_id: int) -> bool:
        """Whether this is another cluster's id than the view's."""
        if self.cluster_id == UNKNOWN_CLUSTER:
            return False
        return cluster_id != self.cluster_id

    def dropped(self, snapshot: Snapshot) -> int:
        """How many of the view's entries a read lacks."""
        return sum(uid not in snapshot.entries for uid in self.known)

    def is_suspicious(self, dropped: int) -> bool:
        """Whether a read that drops so many entries is to be checked by a second one.

        Guards the fleet against a partial backup or a wrong prefix, which would take most endpoints out at
        once.
        """
        if len(self.known) <= SUSPICIOUS_MIN_ENTRIES:
            return False
        return dropped > SUSPICIOUS_DROP_FRACTION * len(self.known)

    def adopt(self, snapshot: Snapshot) -> None:
        """Makes a read the view."""
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
        """Applies what a watch reports; changes at or below the view's revision are known already."""
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
