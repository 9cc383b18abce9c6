"""The data of the fake etcd: a multi-version key-value store with leases, compaction and restore. No I/O.

Written from the API's published description and not from the router's reader of it, so that the two do not
share a mistake: revisions begin at 1, each commit adds one, and all writes of a transaction share theirs.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from rainhitch import system
from rainhitch.errors import RainhitchError
from rainhitch.protocol import etcd

FIRST_CLUSTER_ID = 0x1F00D
FIRST_LEASE_ID = 0x1EA5E
FIRST_REVISION = 1
ALL_KEYS = b"\0"  # as the end of a range: no end; as its begin too: every key
NO_LEASE_ID = 0
NANOSECONDS_PER_SECOND = 1e9


class EtcdStoreError(RainhitchError):
    """A request that the store does not allow; the message is etcd's own, as its clients match it."""


@dataclass(slots=True)
class KeyVersion:
    """A key as one commit left it; `value` is None where that commit deleted it."""

    revision: int
    create_revision: int
    version: int  # how many times the key was written since it was created
    value: bytes | None
    lease_id: int = NO_LEASE_ID


ABSENT_KEY = KeyVersion(revision=0, create_revision=0, version=0, value=None)


class KeyWrite(NamedTuple):
    """One write of a commit: a put, or a deletion where `value` is None."""

    key: bytes
    value: bytes | None
    lease_id: int = NO_LEASE_ID


class Lease(NamedTuple):
    """A lease that has not ended; times in seconds, `ends_at_s` on the store's clock."""

    ends_at_s: float
    time_to_live_s: int


def monotonic_s() -> float:
    """The monotonic clock in seconds."""
    return system.now() / NANOSECONDS_PER_SECOND


def range_contains(key: bytes, begin: bytes, end: bytes) -> bool:
    """Whether a key lies in a range, as etcd writes ranges.

    Without an `end` the range is `begin` alone; an `end` of one zero byte means that there is no end.
    """
    if not end:
        return key == begin
    return key >= begin and (end == ALL_KEYS or key < end)


@dataclass
class EtcdStore:
    """Keys with all their versions since the last compaction. Deterministic but for `clock`, in seconds."""

    clock: Callable[[], float] = monotonic_s
    cluster_id: int = FIRST_CLUSTER_ID
    revision: int = FIRST_REVISION
    compacted_revision: int = 0
    versions: dict[bytes, list[KeyVersion]] = field(default_factory=dict)  # oldest first
    keys_by_revision: dict[int, list[bytes]] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    change_listeners: list[Callable[[], None]] = field(default_factory=list)  # called after each commit

    def at(self, key: bytes, revision: int) -> KeyVersion | None:
        """The key as of a revision; None where it did not exist then."""
        for version in reversed(self.versions.get(key, [])):
            if version.revision <= revision:
                return version if version.value is not None else None
        return None

    def range(self, key: bytes, end: bytes, revision: int = 0) -> list[tuple[bytes, KeyVersion]]:
        """The keys of a range as of a revision (0: the latest), in the order of the keys.

        Raises:
            EtcdStoreError: the revision is compacted, or has not been yet.
        """
        if revision > self.revision:
            raise EtcdStoreError(etcd.FUTURE)
        if revision and revision < self.compacted_revision:
            raise EtcdStoreError(etcd.COMPACTED)
        read_revision = revision if revision else self.revision
        in_range = sorted(name for name in self.versions if range_contains(name, key, end))
        pairs = ((name, self.at(name, read_revision)) for name in in_range)
        return [(name, version) for name, version in pairs if version is not None]

    def commit(self, writes: Sequence[tuple[bytes, bytes | None, int]]) -> int:
        """Carries out writes (see `KeyWrite`) as one commit and returns the store's revision after it.

        Deletions of keys that do not exist are left out; a commit of nothing keeps the revision.

        Raises:
            EtcdStoreError: a key is written twice, or a lease does not exist. Nothing is written then.
        """
        effective = [KeyWrite(*write) for write in writes]
        effective = [
            write for write in effective if write.value is not None or self.at(write.key, self.revision)
        ]
        if not effective:
            return self.revision
        if len({write.key for write in effective}) < len(effective):
            raise EtcdStoreError("etcdserver: duplicate key given in txn request")
        if any(write.lease_id and write.lease_id not in self.leases for write in effective):
            raise EtcdStoreError(etcd.NO_LEASE)
        revision = self.revision + 1
        for write in effective:
            self.versions.setdefault(write.key, []).append(self._next_version(write, revision))
        self.revision = revision
        self.keys_by_revision[revision] = [write.key for write in effective]
        for notify in list(self.change_listeners):
            notify()
        return revision

    def _next_version(self, write: KeyWrite, revision: int) -> KeyVersion:
        """What a write makes of its key."""
        if write.value is None:
            return KeyVersion(revision, 0, 0, None, write.lease_id)
        before = self.at(write.key, self.revision)
        if before is None:
            return KeyVersion(revision, revision, 1, write.value, write.lease_id)
        return KeyVersion(revision, before.create_revision, before.version + 1, write.value, write.lease_id)

    def put(self, key: bytes, value: bytes, lease_id: int = NO_LEASE_ID) -> int:
        """Writes one key; returns the commit's revision. Raises EtcdStoreError for an unknown lease."""
        return self.commit([KeyWrite(key, value, lease_id)])

    def delete(self, key: bytes, end: bytes = b"") -> int:
        """Deletes the keys of a range; returns the store's revision."""
        return self.commit([KeyWrite(name, None) for name, _ in self.range(key, end)])

    def compact(self, revision: int) -> None:
        """Discards the versions that a revision has replaced.

        Raises:
            EtcdStoreError: the revision is compacted already, or has not been yet.
        """
        if revision <= self.compacted_revision:
            raise EtcdStoreError(etcd.COMPACTED)
        if revision > self.revision:
            raise EtcdStoreError(etcd.FUTURE)
        self.compacted_revision = revision
        for key, versions in list(self.versions.items()):
            last = next((one for one in reversed(versions) if one.revision <= revision), None)
            kept = [last] if last is not None and last.value is not None else []
            kept += [one for one in versions if one.revision > revision]
            self.versions[key] = kept
            if not kept:
                del self.versions[key]
        for compacted in [one for one in self.keys_by_revision if one <= revision]:
            del self.keys_by_revision[compacted]

    def grant_lease(self, time_to_live_s: int, lease_id: int = NO_LEASE_ID) -> int:
        """Creates a lease, under a number of the store's choice unless one is given; returns the number."""
        number = lease_id if lease_id else len(self.leases) + FIRST_LEASE_ID
        self.leases[number] = Lease(self.clock() + time_to_live_s, time_to_live_s)
        return number

    def renew_lease(self, lease_id: int) -> int:
        """Renews a lease; returns its time to live in seconds, 0 for one that does not exist."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0
        self.leases[lease_id] = Lease(self.clock() + lease.time_to_live_s, lease.time_to_live_s)
        return lease.time_to_live_s

    def revoke_lease(self, lease_id: int) -> None:
        """Ends a lease and deletes its keys. Raises EtcdStoreError where it does not exist."""
        if self.leases.pop(lease_id, None) is None:
            raise EtcdStoreError(etcd.NO_LEASE)
        held = [key for key, version in self.range(ALL_KEYS, ALL_KEYS) if version.lease_id == lease_id]
        self.commit([KeyWrite(key, None) for key in held])

    def expire_leases(self) -> None:
        """Ends the leases whose time is over."""
        for lease_id in [number for number, one in self.leases.items() if one.ends_at_s <= self.clock()]:
            self.revoke_lease(lease_id)

    def restore(self, revision: int) -> None:
        """Goes back to an earlier revision under another cluster's id, as a restore from a backup does."""
        for key in list(self.versions):
            self.versions[key] = [one for one in self.versions[key] if one.revision <= revision]
        self.keys_by_revision = {one: keys for one, keys in self.keys_by_revision.items() if one <= revision}
        self.revision = revision
        self.cluster_id += 1
