"""`rainhitch members`: the list of servers in etcd, as a router would see it, and guarded changes to it."""

import argparse
import asyncio
import time
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import TYPE_CHECKING

from rainhitch.cli.errors import InputError
from rainhitch.cli.exit_codes import FAILURE, INTERRUPTED, SUCCESS, UNAVAILABLE
from rainhitch.cli.output import print_error

if TYPE_CHECKING:
    from rainhitch.membership.etcd_client import EtcdClient, EtcdOptions

UNBOUNDED_WATCH_S = 1e9
MS_PER_S = 1000

SHOWN_FIELDS = ("state", "az", "model", "endpoint")
"""Fields of an entry, in the order of the list's columns."""


class Action(Enum):
    """What is done to the list; the values are the words of the command line."""

    LIST = "list"
    WATCH = "watch"
    DRAIN = "drain"
    RESTORE = "restore"
    RETIRE = "retire"
    PUT = "put"


STATE_AFTER = {Action.DRAIN: "Terminating", Action.RESTORE: "Ready", Action.RETIRE: "Retiring"}
"""State of an entry after a change, as it stands in etcd."""


@dataclass(frozen=True, slots=True)
class MembersArguments:
    """The arguments of `rainhitch members`; those below `operator_file` belong to some actions only."""

    action: Action
    operator_file: Path
    server: str = ""
    entries_file: Path | None = None
    drain_after_s: float | None = None
    watch_for_s: float | None = None


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the subcommand's arguments."""
    parser.description = (
        "Shows and changes the list of servers in etcd, which the operator's file names in [membership]. "
        "Exit codes: 0 done, 1 rejected and nothing changed, 2 bad input, 3 etcd did not answer."
    )
    parser.add_argument("--operator", metavar="FILE", type=Path, help="the operator's file")
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    actions.add_parser(Action.LIST.value, help="the list as of now, with its revision")
    watch = actions.add_parser(Action.WATCH.value, help="each change as it comes")
    watch.add_argument("--for", dest="seconds", type=float, metavar="S", help="end after so many seconds")
    drain = actions.add_parser(Action.DRAIN.value, help="tell routers to send it nothing new")
    drain.add_argument("uid")
    restore = actions.add_parser(Action.RESTORE.value, help="undo a drain")
    restore.add_argument("uid")
    retire = actions.add_parser(
        Action.RETIRE.value, help="tell routers that it is to go: it is read while its keys move"
    )
    retire.add_argument("uid")
    retire.add_argument("--drain-after", type=float, metavar="S", help="wait so many seconds, then drain it")
    put = actions.add_parser(Action.PUT.value, help="put the entries of a JSON file")
    put.add_argument("file", type=Path)


def parse_arguments(namespace: argparse.Namespace) -> MembersArguments:
    """Reads the arguments."""
    operator_file = namespace.operator
    if operator_file is None:
        from rainhitch.operator_config import operator_file_path

        operator_file = operator_file_path()
    action = Action(namespace.action)
    match action:
        case Action.LIST:
            return MembersArguments(action, operator_file)
        case Action.WATCH:
            return MembersArguments(action, operator_file, watch_for_s=namespace.seconds)
        case Action.PUT:
            return MembersArguments(action, operator_file, entries_file=namespace.file)
        case Action.RETIRE:
            return MembersArguments(action, operator_file, namespace.uid, drain_after_s=namespace.drain_after)
        case Action.DRAIN | Action.RESTORE:
            return MembersArguments(action, operator_file, namespace.uid)


def run(namespace: argparse.Namespace) -> int:
    """Shows or changes the list; returns FAILURE for a rejected change, UNAVAILABLE without etcd."""
    arguments = parse_arguments(namespace)
    options = _read_options(arguments.operator_file)
    from rainhitch.membership.errors import ChangeRejectedError
    from rainhitch.membership.etcd_client import CALL_ERRORS, describe_error

    try:
        return asyncio.run(_act(arguments, options))
    except ChangeRejectedError as problem:
        print_error(f"refused: {problem}")
        return FAILURE
    except CALL_ERRORS as problem:
        print_error(f"etcd did not answer: {describe_error(problem)}")
        return UNAVAILABLE
    except KeyboardInterrupt:
        return INTERRUPTED


def _read_options(operator_file: Path) -> "EtcdOptions":
    """Reads how etcd is reached from the operator's file; raises InputError."""
    from rainhitch.membership.errors import MembershipError
    from rainhitch.membership.etcd_settings import etcd_options
    from rainhitch.operator_config import read_operator_config
    from rainhitch.toml_schema import TableError

    try:
        table = read_operator_config(operator_file).membership
        if table.source != "etcd":
            raise InputError(
                f"{operator_file}: membership.source = {table.source!r}: there is no list in etcd"
            )
        return etcd_options(table)
    except TableError as problem:
        raise InputError(*problem.lines) from None
    except MembershipError as problem:
        raise InputError(f"{operator_file}: {problem}") from None


async def _act(arguments: MembersArguments, options: "EtcdOptions") -> int:
    from rainhitch.membership import editing

    if arguments.action is Action.WATCH:
        return await _watch(options, arguments.watch_for_s)
    entries = []
    if arguments.entries_file is not None:
        try:
            entries = editing.parse_entries(arguments.entries_file.read_bytes())
        except OSError as problem:
            raise InputError(f"{arguments.entries_file}: {problem.strerror}") from None
    client = await connect_to_any(options)
    try:
        if arguments.action is Action.LIST:
            await _list(client)
        elif arguments.action is Action.PUT:
            print(f"{len(entries)} entries put, revision {await editing.put(client, entries)}")
        else:
            await _change_state(arguments, client)
    finally:
        client.close()
    return SUCCESS


async def _change_state(arguments: MembersArguments, client: "EtcdClient") -> None:
    from rainhitch.membership import editing

    state = STATE_AFTER[arguments.action]
    revision = await editing.set_state(client, arguments.server, state)
    print(f"{arguments.server} is {state}, revision {revision}", flush=True)
    if arguments.drain_after_s is None:
        return
    await asyncio.sleep(arguments.drain_after_s)
    drained = STATE_AFTER[Action.DRAIN]
    revision = await editing.set_state(client, arguments.server, drained, only_from=state)
    print(f"{arguments.server} is {drained}, revision {revision}")


async def connect_to_any(options: "EtcdOptions") -> "EtcdClient":
    """Returns a client at the first endpoint that answers; raises the last one's error if none does."""
    from rainhitch.membership.etcd_client import CALL_ERRORS, EtcdClient
    from rainhitch.protocol import etcd

    for number, endpoint in enumerate(options.endpoints, 1):
        client = EtcdClient(options, endpoint)
        try:
            await client.call("KV/Range", etcd.message("RangeRequest", key=b"\0", count_only=True))
        except CALL_ERRORS:
            client.close()
            if number == len(options.endpoints):
                raise
        else:
            return client
    raise AssertionError("no endpoints")


async def _list(client: "EtcdClient") -> None:
    from rainhitch.membership.endpoint_list_builder import EndpointListBuilder

    started_s = time.monotonic()
    snapshot = await client.read_all(client.options.prefix)
    builder = EndpointListBuilder(lambda rows: None, lambda: 0)
    builder.publish({uid: value for uid, (_, value) in snapshot.entries.items()}, True)
    host, port = client.address
    age_ms = (time.monotonic() - started_s) * MS_PER_S
    print(
        f"{len(builder.entries)} members of {len(snapshot.entries)} keys under {client.options.prefix}, "
        f"revision {snapshot.revision}, cluster {snapshot.cluster_id:x}, "
        f"from etcd at {host}:{port}, {age_ms:.0f} ms old"
    )
    for uid, row in sorted(builder.entries.items()):
        state, zone, model, endpoint = (str(row.get(name, "-")) for name in SHOWN_FIELDS)
        revision, _ = snapshot.entries[uid]
        print(f"{uid:24} {state:12} {zone:10} {model:12} {endpoint:22} {revision}")
    for uid in sorted(set(snapshot.entries) - set(builder.entries)):
        print(f"{uid:24} can't be read: routers skip it")


async def _watch(options: "EtcdOptions", watch_for_s: float | None) -> int:
    from rainhitch.membership.etcd_source import EtcdSource

    def print_change(changes: dict[str, bytes | None], is_whole_list: bool) -> None:
        """Prints entries that changed; one without a value is gone."""
        if is_whole_list:
            entry_count = sum(value is not None for value in changes.values())
            print(f"the list, {entry_count} entries", flush=True)
            return
        for uid, value in changes.items():
            print(f"{uid} {'Gone' if value is None else value.decode(errors='replace')}", flush=True)

    source = EtcdSource(options, print_change, 0)
    source.start()
    try:
        await asyncio.sleep(UNBOUNDED_WATCH_S if watch_for_s is None else watch_for_s)
    finally:
        source.stop()
    return SUCCESS
