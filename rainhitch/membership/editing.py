"""Changes that an operator makes to the endpoint list in etcd.

Each change is one transaction, which succeeds only if its entries have not changed since they were read.
"""

from dataclasses import dataclass
from typing import Any

import orjson

from rainhitch.membership.errors import ChangeRejectedError
from rainhitch.membership.etcd_client import EtcdClient
from rainhitch.protocol import etcd

MAX_ENTRIES_PER_TRANSACTION = 100  # etcd accepts 128 operations by default
STATES = ("Ready", "Retiring", "Terminating")  # states that an operator may set
NO_REVISION = 0  # revision of an entry that is not in etcd
Json = dict[str, Any]


@dataclass(slots=True)
class StoredEntry:
    """An entry as it was read; its revision is `NO_REVISION` where it is not in etcd."""

    key: bytes
    revision: int
    value: bytes


async def read_entry(client: EtcdClient, uid: str) -> StoredEntry:
    """Returns the entry of a uid as it is in etcd now."""
    key = (client.options.prefix + uid).encode()
    response = await client.call("KV/Range", etcd.message("RangeRequest", key=key))
    if not response.kvs:
        return StoredEntry(key, NO_REVISION, b"")
    return StoredEntry(key, response.kvs[0].mod_revision, response.kvs[0].value)


async def commit(client: EtcdClient, changes: list[tuple[StoredEntry, bytes]]) -> int:
    """Puts the values if every entry is unchanged since it was read; returns the revision.

    Raises ChangeRejectedError where an entry has changed; then no value is put.
    """
    request = etcd.message("TxnRequest")
    for entry, value in changes:
        request.compare.add(result=etcd.EQUAL, target=etcd.MOD, key=entry.key, mod_revision=entry.revision)
        request.success.add(request_put=etcd.message("PutRequest", key=entry.key, value=value))
    response = await client.call("KV/Txn", request)
    if not response.succeeded:
        raise ChangeRejectedError("somebody else changed an entry after it was read: read it again and retry")
    return int(response.header.revision)


async def set_state(client: EtcdClient, uid: str, state: str, only_from: str = "") -> int:
    """Sets the state of an endpoint; returns the revision.

    `only_from` is the state that the endpoint must be in, empty for any. Raises ChangeRejectedError where it
    is in another state or in `state` already, is not in etcd, or has an unreadable entry.
    """
    stored = await read_entry(client, uid)
    if stored.revision == NO_REVISION:
        raise ChangeRejectedError(f"{uid}: no such member under {client.options.prefix}")
    try:
        entry = orjson.loads(stored.value)
    except orjson.JSONDecodeError:
        entry = None
    if not isinstance(entry, dict):
        raise ChangeRejectedError(
            f"{uid}: expected a JSON object in etcd; not changed, as its other fields would be lost"
        )
    if entry.get("state") == state:
        raise ChangeRejectedError(f"{uid}: it is {state} already, since revision {stored.revision}")
    if only_from and entry.get("state") != only_from:
        raise ChangeRejectedError(f"{uid}: not {only_from}: somebody else has made it {entry.get('state')}")
    return await commit(client, [(stored, orjson.dumps({**entry, "state": state}))])


def parse_entries(text: bytes) -> list[Json]:
    """Returns the entries of a file: a list of them, or an object with `targets` as discovery sends it.

    Raises ChangeRejectedError where the file is neither, or an entry is invalid.
    """
    try:
        document = orjson.loads(text)
    except orjson.JSONDecodeError as problem:
        raise ChangeRejectedError(f"not JSON: {problem}") from None
    rows = document.get("targets") if isinstance(document, dict) else document
    if not isinstance(rows, list) or not rows or not all(isinstance(row, dict) for row in rows):
        raise ChangeRejectedError('expected a list of entries, or {"targets": [...]}')
    if len(rows) > MAX_ENTRIES_PER_TRANSACTION:
        raise ChangeRejectedError(
            f"{len(rows)} entries: at most {MAX_ENTRIES_PER_TRANSACTION} can be changed at once"
        )
    uids = [row.get("uid") for row in rows]
    for row in rows:
        _check_entry(row, uids)
    return rows


def _check_entry(row: Json, uids: list[Any]) -> None:
    uid = row.get("uid")
    if not isinstance(uid, str) or not uid or "/" in uid or uids.count(uid) > 1:
        raise ChangeRejectedError(f"uid = {uid!r}: expected a unique, non-empty string without /")
    if row.get("state") not in STATES:
        raise ChangeRejectedError(f"{uid}: state = {row.get('state')!r}: allowed are {', '.join(STATES)}")
    if not isinstance(row.get("endpoint"), str) or ":" not in row["endpoint"]:
        raise ChangeRejectedError(f"{uid}: endpoint = {row.get('endpoint')!r}: allowed is host:port")


async def put(client: EtcdClient, rows: list[Json]) -> int:
    """Puts entries in one transaction; returns the revision."""
    changes = [(await read_entry(client, row["uid"]), orjson.dumps(row)) for row in rows]
    return await commit(client, changes)
