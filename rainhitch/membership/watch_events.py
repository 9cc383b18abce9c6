"""Events of the watch on etcd for the state machine, and actions that the state machine requests of its host.

A revision is etcd's count of commits. A uid is the key of an entry without the prefix.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple


class StoredValue(NamedTuple):
    """An entry's value, and the revision that last wrote it."""

    revision: int
    value: bytes


class Change(NamedTuple):
    """A change of an entry; `value` is None where the entry was deleted."""

    uid: str
    revision: int
    value: bytes | None


@dataclass(slots=True)
class Snapshot:
    """The result of reading the whole list: the entries by uid, as of one revision."""

    cluster_id: int
    revision: int
    entries: Mapping[str, StoredValue]


@dataclass(slots=True)
class Changes:
    """Changes that a watch reports, in the order of their revisions."""

    cluster_id: int
    changes: list[Change]


@dataclass(slots=True)
class Progress:
    """The watch claims that every change up to this revision was reported; etcd may send this too early."""

    cluster_id: int
    revision: int


@dataclass(slots=True)
class Compacted:
    """The requested start of the watch is no longer in etcd's history."""


@dataclass(slots=True)
class CallEnded:
    """A read failed or a watch ended; the reason is for the log."""

    reason: str


@dataclass(slots=True)
class TimeElapsed:
    """Time has passed without another event."""


Event = Snapshot | Changes | Progress | Compacted | CallEnded | TimeElapsed


@dataclass(slots=True)
class ReadAll:
    """Read the whole list, linearizably."""


@dataclass(slots=True)
class WatchFrom:
    """Watch all changes from this revision on."""

    revision: int


@dataclass(slots=True)
class RequestProgress:
    """Request the progress of the watch."""


@dataclass(slots=True)
class SwitchEndpoint:
    """Close the connection; the next call goes to the next endpoint."""


@dataclass(slots=True)
class Publish:
    """Publish these values by uid, None for a deleted entry; with `whole`, all other entries are deleted."""

    entries: dict[str, bytes | None]
    whole: bool = False


@dataclass(slots=True)
class LogWarning:
    """Write a warning to the log."""

    text: str


def warning(message: str, **fields: object) -> LogWarning:
    """Returns a warning with a fixed message and fields, in the order given."""
    return LogWarning(" ".join([message, *(f"{name}={value}" for name, value in fields.items())]))


Action = ReadAll | WatchFrom | RequestProgress | SwitchEndpoint | Publish | LogWarning
