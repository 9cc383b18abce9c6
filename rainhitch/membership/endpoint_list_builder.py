"""Turns what the machine tells into lists as discovery gives them, and hands them to the directory."""

import logging
from collections.abc import Callable
from typing import Any

import orjson

Json = dict[str, Any]
log = logging.getLogger("rainhitch")


class EndpointListBuilder:
    """The entries as they were last readable, by uid; `take` is the directory's."""

    def __init__(self, take: Callable[[Json], object], revision: Callable[[], int]) -> None:
        self.take, self.revision = take, revision
        self.entries: dict[str, Json] = {}
        self.unreadable: set[str] = set()

    def publish(self, told: dict[str, bytes | None], whole: bool) -> None:
        """Takes up values by uid, None for one that has gone. An entry that can't be read changes nothing:
        what was known of it stands, and it is logged once until it can be read again."""
        rows: list[Json] = []
        if whole:
            self.entries.clear()
        for uid, value in told.items():
            if value is None:
                self.unreadable.discard(uid)
                before = self.entries.pop(uid, None)
                if before is not None:
                    rows.append({**before, "state": "Gone"})
                continue
            entry = self._read(uid, value)
            if entry is not None:
                self.entries[uid] = entry
                rows.append(entry)
        if whole or rows:
            # Versions of this list are the router's own: each is newer than the last, whatever the store's
            # are.
            self.take({"rev": self.revision() + 1, "all": whole, "targets": rows})

    def _read(self, uid: str, value: bytes) -> Json | None:
        try:
            entry = orjson.loads(value)
            if not isinstance(entry, dict):
                raise ValueError("no object")
            if entry.get("uid", uid) != uid:
                raise ValueError(f"its uid is {entry['uid']!r}")
        except ValueError as problem:
            if uid not in self.unreadable:
                log.warning("the entry of key %s can't be read and is skipped: %s", uid, problem)
                self.unreadable.add(uid)
            return None
        self.unreadable.discard(uid)
        return {**entry, "uid": uid}
