"""Changes that an operator makes to the list: each a transaction that holds only if nobody changed it
meanwhile."""

from dataclasses import dataclass
from typing import Any

import orjson

from rainhitch.membership.etcd_source import EtcdClient
from rainhitch.protocol import etcd

MOST = 100  # entries of one transaction; etcd takes 128 operations by default
STATES = ("Ready", "Retiring", "Terminating")
Json = dict[str, Any]


class RefusedError(ValueError):
    """Nothing was changed; why."""


@dataclass(slots=True)
class Held:
    """An entry as it is in the store; revision 0: it is not there."""

    key: bytes
    revision: int
    value: bytes


async def held(client: EtcdClient, uid: str) -> Held:
    key = (client.options.prefix + uid).encode()
    answer = await client.call("KV/Range", etcd.message("RangeRequest", key=key))
    if not answer.kvs:
        return Held(key, 0, b"")
    return Held(key, answer.kvs[0].mod_revision, answer.kvs[0].value)


async def write(client: EtcdClient, changes: list[tuple[Held, bytes]]) -> int:
    """Puts the values if each entry is still as it was read; gives the revision."""
    request = etcd.message("TxnRequest")
    for one, value in changes:
        request.compare.add(result=etcd.EQUAL, target=etcd.MOD, key=one.key, mod_revision=one.revision)
        request.success.add(request_put=etcd.message("PutRequest", key=one.key, value=value))
    answer = await client.call("KV/Txn", request)
    if not answer.succeeded:
        raise RefusedError("somebody else changed it meanwhile: look again, and try again")
    return int(answer.header.revision)


async def set_state(client: EtcdClient, uid: str, state: str, only_from: str = "") -> int:
    """Drains, retires or restores a member; gives the revision. With `only_from` from that state alone."""
    one = await held(client, uid)
    if not one.revision:
        raise RefusedError(f"{uid}: no such member under {client.options.prefix}")
    try:
        entry = orjson.loads(one.value)
    except orjson.JSONDecodeError:
        entry = None
    if not isinstance(entry, dict):
        raise RefusedError(f"{uid}: its entry can't be read, so that its other fields would be lost")
    if entry.get("state") == state:
        raise RefusedError(f"{uid}: it is {state} already, since revision {one.revision}")
    if only_from and entry.get("state") != only_from:
        raise RefusedError(f"{uid}: somebody else has made it {entry.get('state')} meanwhile")
    return await write(client, [(one, orjson.dumps({**entry, "state": state}))])


def entries_of(text: bytes) -> list[Json]:
    """The entries of a file: a list of them, or discovery's form; raises RefusedError."""
    try:
        told = orjson.loads(text)
    except orjson.JSONDecodeError as problem:
        raise RefusedError(f"no JSON: {problem}") from None
    rows = told.get("targets") if isinstance(told, dict) else told
    if not isinstance(rows, list) or not rows or not all(isinstance(one, dict) for one in rows):
        raise RefusedError('wanted is a list of entries, or {"targets": [...]}')
    if len(rows) > MOST:
        raise RefusedError(f"{len(rows)} entries: at most {MOST} are changed at once")
    names = [one.get("uid") for one in rows]
    for one in rows:
        uid = one.get("uid")
        if not isinstance(uid, str) or not uid or "/" in uid or names.count(uid) > 1:
            raise RefusedError(f"uid = {uid!r}: wanted is a text of its own, without /")
        if one.get("state") not in STATES:
            raise RefusedError(f"{uid}: state = {one.get('state')!r}: allowed are {', '.join(STATES)}")
        if not isinstance(one.get("endpoint"), str) or ":" not in one["endpoint"]:
            raise RefusedError(f"{uid}: endpoint = {one.get('endpoint')!r}: allowed is host:port")
    return rows


async def put(client: EtcdClient, rows: list[Json]) -> int:
    """Puts entries in one transaction; gives the revision."""
    changes = [(await held(client, one["uid"]), orjson.dumps(one)) for one in rows]
    return await write(client, changes)
