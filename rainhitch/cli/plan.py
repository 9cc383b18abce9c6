"""`rainhitch plan`: a forecast of what a change of the list of servers would move and cost."""

import argparse
import asyncio
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from rainhitch.cli.errors import InputError
from rainhitch.cli.exit_codes import SUCCESS, UNAVAILABLE
from rainhitch.cli.output import print_error, print_json

if TYPE_CHECKING:
    from rainhitch.growth.forecast import Forecast, ReadWorkload, Server

Json = dict[str, Any]

TABLE_ROWS_SHOWN = 12
FROM_ETCD = "etcd"
MAX_NUMBER = 1e9
MAX_MIGRATION_FRACTION = 100
NEGLIGIBLE_FRACTION = 1e-9
MAX_SHOWN_IN_S = 120
"""Longer times are shown in minutes."""


@dataclass(frozen=True, slots=True)
class PlanArguments:
    """The arguments of `rainhitch plan`."""

    before: str
    """A file, or FROM_ETCD."""

    after_file: Path | None
    joining: tuple[str, ...]
    leaving: tuple[str, ...]
    retiring: tuple[str, ...]
    origin_kinds: frozenset[str]
    operator_file: Path | None
    key_count: int
    cached_key_count: int
    zipf_exponent: float
    zipf_offset: float
    reads_per_s: float
    origin_reads_per_s: float
    migration_fraction: float | None
    as_json: bool


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """The lists before and after, and the fraction of the origin's reads that are for keys on the move."""

    before: "list[Server]"
    after: "list[Server]"
    migration_fraction: float


class EtcdUnavailableError(InputError):
    """etcd did not answer."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the subcommand's arguments."""
    parser.description = (
        "Forecasts what a change of the list of servers moves: which fraction of the keys, between which "
        "servers and rooms, how many reads of the database that takes, and for how long keys move. "
        "Sends no traffic. "
        "Exit codes: 0 done, 2 bad input, 3 etcd did not answer."
    )
    parser.add_argument("--from", dest="before", required=True, metavar="FILE|etcd", help="the list as it is")
    parser.add_argument("--to", dest="after", type=Path, metavar="FILE", help="as it will be")
    parser.add_argument(
        "--join", action="append", default=[], metavar="UID[:ROOM[:WEIGHT]]", help="a server that joins"
    )
    parser.add_argument("--leave", action="append", default=[], metavar="UID", help="one that leaves")
    parser.add_argument(
        "--retire",
        action="append",
        default=[],
        metavar="UID",
        help="one that leaves, and is read while its keys move",
    )
    parser.add_argument("--origin-kind", default="origin,database", metavar="NAMES", help="kinds left out")
    parser.add_argument(
        "--operator", metavar="FILE", type=Path, help="the operator's file, for etcd and share"
    )
    parser.add_argument("--keys", type=int, default=6000, help="different keys that are read (6000)")
    parser.add_argument("--held", type=int, default=2700, help="of them in the caches (2700)")
    parser.add_argument("--zipf", type=float, default=1.0, help="exponent of their popularity (1)")
    parser.add_argument("--offset", type=float, default=5.0, help="ranks by which the head is flattened (5)")
    parser.add_argument("--rate", type=float, default=150.0, help="reads a second (150)")
    parser.add_argument("--steady", type=float, default=20.0, help="reads of the database a second (20)")
    parser.add_argument(
        "--share", type=float, help="fraction of those for keys that move (the operator's, or 0.25)"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def parse_arguments(namespace: argparse.Namespace) -> PlanArguments:
    """Reads the arguments."""
    return PlanArguments(
        before=namespace.before,
        after_file=namespace.after,
        joining=tuple(namespace.join),
        leaving=tuple(namespace.leave),
        retiring=tuple(namespace.retire),
        origin_kinds=frozenset(namespace.origin_kind.split(",")),
        operator_file=namespace.operator,
        key_count=namespace.keys,
        cached_key_count=namespace.held,
        zipf_exponent=namespace.zipf,
        zipf_offset=namespace.offset,
        reads_per_s=namespace.rate,
        origin_reads_per_s=namespace.steady,
        migration_fraction=namespace.share,
        as_json=namespace.json,
    )


def run(namespace: argparse.Namespace) -> int:
    """Prints the forecast; returns UNAVAILABLE where the list is wanted from etcd, which does not answer."""
    from rainhitch.toml_schema import TableError

    arguments = parse_arguments(namespace)
    try:
        change = _read_change(arguments)
        workload = _workload(arguments)
    except EtcdUnavailableError as problem:
        print_error(f"etcd did not answer: {problem}")
        return UNAVAILABLE
    except TableError as problem:
        raise InputError(*problem.lines) from None
    from rainhitch.growth.forecast import forecast, lost_reads

    moves_per_s = change.migration_fraction * arguments.origin_reads_per_s
    outlook = forecast(change.before, change.after, workload, moves_per_s, retiring=arguments.retiring)
    reads_after_loss = lost_reads(outlook, workload, arguments.reads_per_s)
    if arguments.as_json:
        _print_json(outlook, moves_per_s, reads_after_loss)
    else:
        _print_tables(arguments, change, outlook, reads_after_loss)
    return SUCCESS


def _workload(arguments: PlanArguments) -> "ReadWorkload":
    """Returns what is read; raises InputError for a number that is not allowed."""
    from rainhitch.growth.forecast import ReadWorkload

    bounds = (
        ("keys", arguments.key_count, 1),
        ("held", arguments.cached_key_count, 0),
        ("zipf", arguments.zipf_exponent, 0),
        ("offset", arguments.zipf_offset, 0),
        ("rate", arguments.reads_per_s, 0),
        ("steady", arguments.origin_reads_per_s, 0),
    )
    for name, value, min_value in bounds:
        if not min_value <= value < MAX_NUMBER:
            raise InputError(f"--{name} {value}: allowed is a number from {min_value}")
    share = arguments.migration_fraction
    if share is not None and not 0 <= share <= MAX_MIGRATION_FRACTION:
        raise InputError(f"--share {share}: allowed is a number from 0 to {MAX_MIGRATION_FRACTION}")
    return ReadWorkload(
        arguments.key_count, arguments.zipf_exponent, arguments.zipf_offset, arguments.cached_key_count
    )


def _read_change(arguments: PlanArguments) -> PlannedChange:
    """Returns both lists; raises InputError, EtcdUnavailableError, or TableError of the operator's file."""
    from rainhitch.interface import DEFAULT_MIGRATION_FRACTION

    migration_fraction = DEFAULT_MIGRATION_FRACTION
    operator_file = arguments.operator_file
    if arguments.before == FROM_ETCD or operator_file is not None:
        from rainhitch.operator_config import DEFAULT_OPERATOR_FILE, read_operator_config

        # Unlike the router and `rainhitch members`, this does not look at RAINHITCH_OPERATOR.
        operator_file = operator_file or DEFAULT_OPERATOR_FILE
        operator = read_operator_config(operator_file)
        migration_fraction = operator.growth.share
    if arguments.migration_fraction is not None:
        migration_fraction = arguments.migration_fraction
    if arguments.before == FROM_ETCD:
        assert operator_file is not None
        rows = asyncio.run(_rows_in_etcd(operator_file))
    else:
        rows = _rows_in_file(Path(arguments.before))
    before = _cache_servers(rows, arguments.origin_kinds)
    if arguments.after_file is not None:
        after = _cache_servers(_rows_in_file(arguments.after_file), arguments.origin_kinds)
    else:
        after = _changed(before, arguments)
    for option, servers in (("--from", before), ("--to", after)):
        uids = [server.uid for server in servers]
        if not uids or len(set(uids)) < len(uids):
            raise InputError(f"{option}: wanted are ready cache servers, each with a uid of its own: {uids}")
    return PlannedChange(before, after, migration_fraction)


def _changed(before: "list[Server]", arguments: PlanArguments) -> "list[Server]":
    """Returns the list after the servers named by options have left and joined."""
    gone = {*arguments.leaving, *arguments.retiring}
    unknown = gone - {server.uid for server in before}
    if unknown:
        raise InputError(f"no such server in the list: {', '.join(sorted(unknown))}")
    staying = [server for server in before if server.uid not in gone]
    return staying + [_joining_server(text) for text in arguments.joining]


def _rows_in_file(path: Path) -> list[Json]:
    import orjson

    try:
        content = orjson.loads(path.read_bytes())
    except OSError as problem:
        raise InputError(f"{path}: {problem.strerror}") from None
    except orjson.JSONDecodeError as problem:
        raise InputError(f"{path}: no JSON: {problem}") from None
    rows = content.get("targets") if isinstance(content, dict) else content
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise InputError(f'{path}: wanted is a list of entries, or {{"targets": [...]}}')
    return rows


async def _rows_in_etcd(operator_file: Path) -> list[Json]:
    from rainhitch.cli.members import connect_to_any
    from rainhitch.membership.endpoint_list_builder import EndpointListBuilder
    from rainhitch.membership.errors import MembershipError
    from rainhitch.membership.etcd_client import CALL_ERRORS, describe_error
    from rainhitch.membership.etcd_settings import etcd_options
    from rainhitch.operator_config import read_operator_config

    try:
        options = etcd_options(read_operator_config(operator_file).membership)
    except MembershipError as problem:
        raise InputError(str(problem)) from None
    try:
        client = await connect_to_any(options)
        entries = (await client.read_all(client.options.prefix)).entries
        client.close()
    except CALL_ERRORS as problem:
        raise EtcdUnavailableError(describe_error(problem)) from None
    builder = EndpointListBuilder(lambda rows: None, lambda: 0)
    builder.publish({uid: value for uid, (_, value) in entries.items()}, True)
    return list(builder.entries.values())


def _cache_servers(rows: Iterable[Json], origin_kinds: frozenset[str]) -> "list[Server]":
    """Returns the ready cache servers of a list's entries, whose names are the platform's."""
    from rainhitch.growth.forecast import Server

    servers = []
    for row in rows:
        if row.get("state", "Ready") != "Ready" or row.get("model") in origin_kinds:
            continue
        weight = row.get("capacity_hint")
        weight = 1.0 if weight is None else float(weight)
        servers.append(Server(str(row.get("uid")), str(row.get("az", "")), weight))
    return servers


def _joining_server(text: str) -> "Server":
    from rainhitch.growth.forecast import Server

    uid, _, rest = text.partition(":")
    zone, _, weight = rest.partition(":")
    try:
        return Server(uid, zone, float(weight or 1.0))
    except ValueError:
        raise InputError(f"--join {text}: wanted is UID[:ROOM[:WEIGHT]]") from None


def _print_json(outlook: "Forecast", moves_per_s: float, reads_after_loss: list[float]) -> None:
    row = asdict(outlook) | {"pace": moves_per_s, "reads_after_a_loss": reads_after_loss}
    row["between"] = [[source, target, fraction] for (source, target), fraction in outlook.between.items()]
    row["rooms"] = [[source, target, fraction] for (source, target), fraction in outlook.rooms.items()]
    row["seconds"] = {str(goal): duration_s for goal, duration_s in outlook.seconds.items()}
    print_json(row)


def _print_tables(
    arguments: PlanArguments, change: PlannedChange, outlook: "Forecast", reads_after_loss: list[float]
) -> None:
    share = change.migration_fraction
    steady = arguments.origin_reads_per_s
    print(
        f"{len(change.before)} cache servers -> {len(change.after)}: {outlook.moved:.1%} of the keys move, ",
        end="",
    )
    print(f"{outlook.reads:.0f} reads of the database")
    if outlook.moved > outlook.lost:
        times = ", ".join(f"{goal:.0%} after {_duration(time_s)}" for goal, time_s in outlook.seconds.items())
        print(f"at {share * steady:.1f} moves a second ({share:g} of {steady:g}): of what they draw {times}")
    if outlook.lost > NEGLIGIBLE_FRACTION:
        print(f"{outlook.lost:.1%} of the keys are lost with who goes, and not paced but by the throttle:")
        print("  reads of the database in each second after it, at most:", end=" ")
        print(" ".join(f"{reads:.0f}" for reads in reads_after_loss))
    _print_moves("room", outlook.rooms)
    _print_moves("server", outlook.between)


def _print_moves(title: str, fraction_by_pair: dict[tuple[str, str], float]) -> None:
    ordered = sorted(fraction_by_pair.items(), key=lambda item: -item[1])
    print(f"\nfrom {title:<16} to {title:<16} part of the keys")
    for (source, target), fraction in ordered[:TABLE_ROWS_SHOWN]:
        print(f"{source or '-':<21} {target or '-':<19} {fraction:.2%}")
    rest = ordered[TABLE_ROWS_SHOWN:]
    if rest:
        print(f"and {len(rest)} more, {sum(fraction for _, fraction in rest):.2%}")


def _duration(duration_s: float) -> str:
    if duration_s == float("inf"):
        return "never"
    if duration_s < MAX_SHOWN_IN_S:
        return f"{duration_s:.0f} s"
    return f"{duration_s / 60:.0f} min"
