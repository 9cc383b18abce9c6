"""Builds endpoint lists as discovery sends them from the values that a source publishes."""

import logging
from collections.abc import Callable
from typing import Any

import orjson

from rainhitch.membership.errors import EntryError

Json = dict[str, Any]
log = logging.getLogger("rainhitch")


class EndpointListBuilder:
    """The entries as they were last readable, by uid.

    `apply` takes each list, `version` returns the one of the list in use: both are the endpoint directory's.
    """

    def __init__(self, apply: Callable[[Json], object], version: Callable[[], int]) -> None:
        self.apply = apply
        self.version = version
        self.entries: dict[str, Json] = {}
        self.unreadable: set[str] = set()

    def publish(self, values: dict[str, bytes | None], whole: bool) -> None:
        """Applies values by uid, None for a deleted one; `whole`: all other entries are gone.

        An entry that can't be read changes nothing: what was known of it stays in use, and it is logged once
        until it can be read again.
        """
        rows: list[Json] = []
        if whole:
            self.entries.clear()
        for uid, value in values.items():
            row = self._deleted(uid) if value is None else self._updated(uid, value)
            if row is not None:
                rows.append(row)
        if whole or rows:
            # Versions of this list are the router's own: each is newer than the one before, whatever the
            # store's are.
            self.apply({"rev": self.version() + 1, "all": whole, "targets": rows})

    def _deleted(self, uid: str) -> Json | None:
        self.unreadable.discard(uid)
        before = self.entries.pop(uid, None)
        return None if before is None else {**before, "state": "Gone"}

    def _updated(self, uid: str, value: bytes) -> Json | None:
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
    """The entry that a value holds, with its uid; raises EntryError."""
    try:
        entry = orjson.loads(value)
    except orjson.JSONDecodeError as problem:
        raise EntryError(str(problem)) from None
    if not isinstance(entry, dict):
        raise EntryError(f"expected an object, got {type(entry).__name__}")
    if entry.get("uid", uid) != uid:
        raise EntryError(f"its uid is {entry['uid']!r}")
    return {**entry, "uid": uid}
