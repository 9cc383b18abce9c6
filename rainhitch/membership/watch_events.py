"""What the watch on etcd tells the state machine, and what the state machine has its host do.

A revision is etcd's count of commits; a uid is the key of an entry without the prefix.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple


class StoredValue(NamedTuple):
    """An entry's value, and the revision that wrote it last."""

    revision: int
    value: bytes


class Change(NamedTuple):
    """One change of an entry; `value` None: it was deleted."""

    uid: str
    revision: int
    value: bytes | None


@dataclass(slots=True)
class Snapshot:
    """A read of the whole list as of one revision: the entries by uid."""

    cluster_id: int
    revision: int
    entries: Mapping[str, StoredValue]


@dataclass(slots=True)
class Changes:
    """What a watch reports, in the order of revisions."""

    cluster_id: int
    changes: list[Change]


@dataclass(slots=True)
class Progress:
    """The watch says that it has reported everything up to this revision."""

    cluster_id: int
    revision: int


@dataclass(slots=True)
class Compacted:
    """The revision to watch from is no longer in etcd's history."""


@dataclass(slots=True)
class CallEnded:
    """A read failed, or a watch has ended; the reason is for the log."""

    reason: str


@dataclass(slots=True)
class TimeElapsed:
    """Nothing happened but that time passed."""


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
    """Ask the watch for its progress."""


@dataclass(slots=True)
class SwitchEndpoint:
    """Close the connection, and go to the next endpoint with the next call."""


@dataclass(slots=True)
class Publish:
    """Hand these values on, by uid, None for a deleted entry. `whole`: all other entries are gone too."""

    entries: dict[str, bytes | None]
    whole: bool = False


@dataclass(slots=True)
class LogWarning:
    """Write a line to the log."""

    text: str


def warning(message: str, **fields: object) -> LogWarning:
    """A line of a fixed message and fields, in their order."""
    return LogWarning(" ".join([message, *(f"{name}={value}" for name, value in fields.items())]))


Action = ReadAll | WatchFrom | RequestProgress | SwitchEndpoint | Publish | LogWarning
