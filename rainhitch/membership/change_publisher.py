"""Decides when to publish changes of the endpoint list: each change once, in batches. No clock.

A change is published at once, but batches are at least `BATCH_INTERVAL_NS` apart: at a thousand changes per
second the routing decisions would otherwise apply a thousand updates per second.
"""

from itertools import islice

from rainhitch.membership.watch_events import Publish

SECOND_NS = 1_000_000_000
BATCH_INTERVAL_NS = SECOND_NS // 20  # minimum time between two batches
PART_INTERVAL_NS = SECOND_NS // 40  # minimum time between the parts of a split batch
MAX_KNOWN_IN_PART = 1000  # maximum number of changes of published entries in a part
MAX_NEW_IN_PART = 100  # maximum number of changes of new entries in a part; a larger batch is split


class ChangePublisher:
    """The entries as they were last published, and the changes that are not published yet."""

    def __init__(self) -> None:
        self.published: dict[str, bytes] = {}
        self.pending: dict[str, bytes | None] = {}  # changed values by uid; None: deleted
        self.published_at_ns = -BATCH_INTERVAL_NS

    def add(self, uid: str, value: bytes | None) -> None:
        """Adds a change, None for a deletion; it replaces an earlier change of the same entry."""
        self.pending[uid] = value

    def due_at_ns(self) -> int | None:
        """Returns when the next batch is due; None while no change is pending."""
        return self.published_at_ns + BATCH_INTERVAL_NS if self.pending else None

    def is_due(self, now_ns: int) -> bool:
        """Returns whether a batch is due now."""
        return bool(self.pending) and now_ns - self.published_at_ns >= BATCH_INTERVAL_NS

    def publish_whole(self, now_ns: int) -> Publish:
        """Returns all pending entries as a whole list."""
        entries = self.pending
        self.pending = {}
        self._record(entries)
        self.published_at_ns = now_ns
        return Publish(entries, whole=True)

    def publish_changes(self, now_ns: int) -> Publish | None:
        """Returns the next batch; None where every pending change was undone before it was published."""
        changes = {uid: value for uid, value in self.pending.items() if self.published.get(uid) != value}
        self.pending = {}
        advance_ns = 0
        if len(changes) > MAX_NEW_IN_PART:
            part = self._first_part(changes)
            self.pending = {uid: value for uid, value in changes.items() if uid not in part}
            changes = part
            advance_ns = BATCH_INTERVAL_NS - PART_INTERVAL_NS
        self._record(changes)
        if not changes:
            return None
        self.published_at_ns = now_ns - advance_ns
        return Publish(changes)

    def _first_part(self, changes: dict[str, bytes | None]) -> dict[str, bytes | None]:
        """Returns the part of a large batch that is published first.

        Guards requests in flight: applying thousands of entries at once would delay them for that time.
        Entries that were published before go first, since a drain must be applied in time and a new endpoint
        can wait.
        """
        known = ((uid, changes[uid]) for uid in changes if uid in self.published)
        part = dict(islice(known, MAX_KNOWN_IN_PART))
        if part:
            return part
        return dict(islice(changes.items(), MAX_NEW_IN_PART))

    def _record(self, entries: dict[str, bytes | None]) -> None:
        for uid, value in entries.items():
            if value is None:
                self.published.pop(uid, None)
            else:
                self.published[uid] = value
