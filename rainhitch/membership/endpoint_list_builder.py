"""Builds endpoint lists, in the form that discovery sends, from the values that a source publishes."""

import logging
from collections.abc import Callable
from typing import Any

import orjson

from rainhitch.membership.errors import EntryError

Json = dict[str, Any]
log = logging.getLogger("rainhitch")


class EndpointListBuilder:
    """The entries by uid, each as it was last readable.

    `apply` takes each new list, and `version` returns the version of the list in use; both belong to the
    endpoint directory.
    """

    def __init__(self, apply: Callable[[Json], object], version: Callable[[], int]) -> None:
        self.apply = apply
        self.version = version
        self.entries: dict[str, Json] = {}
        self.unreadable: set[str] = set()

    def publish(self, values: dict[str, bytes | None], whole: bool) -> None:
        """Applies values by uid, None for a deleted entry; with `whole`, all other entries are deleted.

        A change to an unreadable value is skipped, and the entry's last readable state stays in use; a whole
        list leaves the entry out. The failure is logged once until the entry is readable again.
        """
        rows: list[Json] = []
        if whole:
            self.entries.clear()
        for uid, value in values.items():
            row = self._delete(uid) if value is None else self._update(uid, value)
            if row is not None:
                rows.append(row)
        if whole or rows:
            # The router numbers the versions of this list itself, so that each is newer than the one before,
            # whatever the store's revisions are.
            self.apply({"rev": self.version() + 1, "all": whole, "targets": rows})

    def _delete(self, uid: str) -> Json | None:
        self.unreadable.discard(uid)
        previous = self.entries.pop(uid, None)
        return None if previous is None else {**previous, "state": "Gone"}

    def _update(self, uid: str, value: bytes) -> Json | None:
        try:
            entry = _parse_entry(uid, value)
        except EntryError as problem:
            if uid not in self.unreadable:
                log.warning("etcd entry unreadable uid=%s reason=%s", uid, problem)
                self.unreadable.add(uid)
            return None
        self.unreadable.discard(uid)
        self.entries[uid] = entry
        return entry


def _parse_entry(uid: str, value: bytes) -> Json:
    """Returns the entry in a value, with its uid; raises EntryError."""
    try:
        entry = orjson.loads(value)
    except orjson.JSONDecodeError as problem:
        raise EntryError(str(problem)) from None
    if not isinstance(entry, dict):
        raise EntryError(f"expected an object, got {type(entry).__name__}")
    if entry.get("uid", uid) != uid:
        raise EntryError(f"expected uid {uid!r}, got {entry['uid']!r}")
    return {**entry, "uid": uid}
