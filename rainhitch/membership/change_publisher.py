"""Which changes of the list to publish now: each once, in batches that hold up no request. No clock.

A change is published at once, but batches come no closer than `BATCH_INTERVAL_NS`: a thousand changes a
second would otherwise be a thousand updates a second for the decisions.
"""

from itertools import islice

from rainhitch.membership.watch_events import Publish

SECOND_NS = 1_000_000_000
BATCH_INTERVAL_NS = SECOND_NS // 20  # between two batches
PART_INTERVAL_NS = SECOND_NS // 40  # between the parts of a batch that is too large
MAX_KNOWN_IN_PART = 1000  # changes of entries that were published before
MAX_NEW_IN_PART = 100  # entries that were not, and changes in a batch that is not split


class ChangePublisher:
    """The entries as they were last published, and the changes that are still to be."""

    def __init__(self) -> None:
        self.published: dict[str, bytes] = {}
        self.pending: dict[str, bytes | None] = {}  # None: deleted
        self.published_at_ns = -BATCH_INTERVAL_NS

    def add(self, uid: str, value: bytes | None) -> None:
        """Notes a change, None for a deletion; a later one of the same entry takes its place."""
        self.pending[uid] = value

    def due_at_ns(self) -> int | None:
        """When the next batch is due; None while there is nothing to publish."""
        return self.published_at_ns + BATCH_INTERVAL_NS if self.pending else None

    def is_due(self, now_ns: int) -> bool:
        """Whether a batch is due now."""
        return bool(self.pending) and now_ns - self.published_at_ns >= BATCH_INTERVAL_NS

    def publish_whole(self, now_ns: int) -> Publish:
        """Everything noted, as a whole list."""
        entries = self.pending
        self.pending = {}
        self._record(entries)
        self.published_at_ns = now_ns
        return Publish(entries, whole=True)

    def publish_changes(self, now_ns: int) -> Publish | None:
        """The next batch; None where nothing differs from what was published, as each change was undone."""
        news = {uid: value for uid, value in self.pending.items() if self.published.get(uid) != value}
        self.pending = {}
        early_ns = 0
        if len(news) > MAX_NEW_IN_PART:
            part = self._part(news)
            self.pending = {uid: value for uid, value in news.items() if uid not in part}
            news = part
            early_ns = BATCH_INTERVAL_NS - PART_INTERVAL_NS
        self._record(news)
        if not news:
            return None
        self.published_at_ns = now_ns - early_ns
        return Publish(news)

    def _part(self, news: dict[str, bytes | None]) -> dict[str, bytes | None]:
        """The part of a large batch that is published first.

        Guards requests in flight: thousands of entries at once would hold them up for as long as applying
        them takes. Entries that were published before go first: a drain must be known in time, a new
        endpoint need not be.
        """
        known = ((uid, news[uid]) for uid in news if uid in self.published)
        part = dict(islice(known, MAX_KNOWN_IN_PART))
        if part:
            return part
        return dict(islice(news.items(), MAX_NEW_IN_PART))

    def _record(self, entries: dict[str, bytes | None]) -> None:
        for uid, value in entries.items():
            if value is None:
                self.published.pop(uid, None)
            else:
                self.published[uid] = value
