"""`rainhitch members`: the list in etcd, as a router would see it, and guarded changes to it."""

import argparse
import asyncio
import os
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rainhitch.membership.etcd_client import EtcdClient, EtcdOptions

REFUSED, BAD_INPUT, AWAY = 1, 2, 3


def fill(parser: argparse.ArgumentParser) -> None:
    parser.description = (
        "Shows and changes the list of servers in etcd, which the operator's file names in [membership]. "
        "Exit codes: 0 done, 1 refused and nothing changed, 2 bad input, 3 etcd did not answer."
    )
    parser.add_argument("--operator", metavar="FILE", type=Path, help="the operator's file")
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    actions.add_parser("list", help="the list as of now, with its revision")
    watch = actions.add_parser("watch", help="each change as it comes")
    watch.add_argument("--for", dest="seconds", type=float, metavar="S", help="end after so many seconds")
    for name, text in (("drain", "tell routers to send it nothing new"), ("restore", "undo a drain")):
        actions.add_parser(name, help=text).add_argument("uid")
    retire = actions.add_parser("retire", help="tell routers that it is to go: read while its keys move")
    retire.add_argument("uid")
    retire.add_argument("--drain-after", type=float, metavar="S", help="wait so many seconds, then drain it")
    actions.add_parser("put", help="put the entries of a JSON file").add_argument("file", type=Path)


def run(told: argparse.Namespace) -> int:
    from rainhitch.membership.etcd_settings import MembershipError, etcd_options
    from rainhitch.operator_config import read_operator_config
    from rainhitch.toml_schema import TableError

    path = told.operator or Path(os.environ.get("RAINHITCH_OPERATOR") or "deploy/operator.toml")
    try:
        table = read_operator_config(path).membership
        if table.source != "etcd":
            return _say(f"{path}: membership.source = {table.source!r}: there is no list in etcd", BAD_INPUT)
        options = etcd_options(table)
    except TableError as problem:
        return _say("\nrainhitch: ".join(problem.lines), BAD_INPUT)
    except MembershipError as problem:
        return _say(f"{path}: {problem}", BAD_INPUT)
    from rainhitch.membership.errors import ChangeRejectedError
    from rainhitch.membership.etcd_client import CALL_ERRORS, describe_error

    try:
        return asyncio.run(_act(told, options))
    except ChangeRejectedError as problem:
        return _say(f"refused: {problem}", REFUSED)
    except CALL_ERRORS as problem:
        return _say(f"etcd did not answer: {describe_error(problem)}", AWAY)
    except KeyboardInterrupt:
        return 130


def _say(line: str, code: int) -> int:
    print(f"rainhitch: {line}", file=sys.stderr)
    return code


async def _act(told: argparse.Namespace, options: "EtcdOptions") -> int:
    from rainhitch.membership import editing

    if told.action == "watch":
        return await _watch(options, told.seconds)
    rows = []
    if told.action == "put":
        try:
            rows = editing.parse_entries(told.file.read_bytes())
        except OSError as problem:
            return _say(f"{told.file}: {problem.strerror}", BAD_INPUT)
    client = await reachable(options)
    try:
        if told.action == "list":
            await _list(client)
        elif told.action == "put":
            print(f"{len(rows)} entries put, revision {await editing.put(client, rows)}")
        else:
            state = {"drain": "Terminating", "restore": "Ready", "retire": "Retiring"}[told.action]
            revision = await editing.set_state(client, told.uid, state)
            print(f"{told.uid} is {state}, revision {revision}", flush=True)
            if told.action == "retire" and told.drain_after is not None:
                await asyncio.sleep(told.drain_after)
                revision = await editing.set_state(client, told.uid, "Terminating", only_from=state)
                print(f"{told.uid} is Terminating, revision {revision}")
    finally:
        client.close()
    return 0


async def reachable(options: "EtcdOptions") -> "EtcdClient":
    """A client at the first endpoint that answers."""
    from rainhitch.membership.etcd_client import CALL_ERRORS, EtcdClient
    from rainhitch.protocol import etcd

    for number, endpoint in enumerate(options.endpoints, 1):
        client = EtcdClient(options, endpoint)
        try:
            await client.call("KV/Range", etcd.message("RangeRequest", key=b"\0", count_only=True))
            return client
        except CALL_ERRORS:
            client.close()
            if number == len(options.endpoints):
                raise
    raise AssertionError("no endpoints")


async def _list(client: "EtcdClient") -> None:
    from rainhitch.membership.endpoint_list_builder import EndpointListBuilder

    begun = time.monotonic()
    snapshot = await client.read_all(client.options.prefix)
    cluster, revision, entries = snapshot.cluster_id, snapshot.revision, snapshot.entries
    seen = EndpointListBuilder(lambda rows: None, lambda: 0)
    seen.publish({uid: value for uid, (_, value) in entries.items()}, True)
    host, port = client.endpoint
    age = (time.monotonic() - begun) * 1000
    print(f"{len(seen.entries)} members of {len(entries)} keys under {client.options.prefix}, ", end="")
    print(f"revision {revision}, cluster {cluster:x}, from etcd at {host}:{port}, {age:.0f} ms old")
    for uid, row in sorted(seen.entries.items()):
        told = [str(row.get(name, "-")) for name in ("state", "az", "model", "endpoint")]
        print(f"{uid:24} {told[0]:12} {told[1]:10} {told[2]:12} {told[3]:22} {entries[uid][0]}")
    for uid in sorted(set(entries) - set(seen.entries)):
        print(f"{uid:24} can't be read: routers skip it")


async def _watch(options: "EtcdOptions", seconds: float | None) -> int:
    from rainhitch.membership.etcd_source import EtcdSource

    def show(told: dict[str, bytes | None], whole: bool) -> None:
        if whole:
            print(f"the list, {sum(value is not None for value in told.values())} entries", flush=True)
            return
        for uid, value in told.items():
            print(f"{uid} {'Gone' if value is None else value.decode(errors='replace')}", flush=True)

    source = EtcdSource(options, show, 0)
    source.start()
    try:
        await asyncio.sleep(seconds if seconds is not None else 1e9)
    finally:
        source.stop()
    return 0
