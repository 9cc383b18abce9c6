"""`rainhitch plan`: what a change of the list would move and cost, told ahead."""

import argparse
import asyncio
import sys
from collections.abc import Iterable
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from rainhitch.growth.forecast import Forecast, ReadWorkload, Server

Json = dict[str, Any]
SHOWN = 12  # lines of a table


def fill(parser: argparse.ArgumentParser) -> None:
    parser.description = (
        "Tells what a change of the list of servers moves: which part of the keys, between which servers and "
        "rooms, how many reads of the database that takes, and for how long keys move. Sends no traffic. "
        "Exit codes: 0 done, 2 bad input, 3 etcd did not answer."
    )
    parser.add_argument("--from", dest="before", required=True, metavar="FILE|etcd", help="the list as it is")
    parser.add_argument("--to", dest="after", type=Path, metavar="FILE", help="as it will be")
    parser.add_argument(
        "--join", action="append", default=[], metavar="UID[:ROOM[:WEIGHT]]", help="a server that comes"
    )
    parser.add_argument("--leave", action="append", default=[], metavar="UID", help="one that goes")
    parser.add_argument(
        "--retire", action="append", default=[], metavar="UID", help="one that is read meanwhile"
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
    parser.add_argument("--steady", type=float, default=20.0, help="what the database is sent a second (20)")
    parser.add_argument("--share", type=float, help="of that for keys that move (the operator's, or 0.5)")
    parser.add_argument("--json", action="store_true", help="print JSON")


class InputError(ValueError):
    """What was given makes no sense; the text says what."""


def run(told: argparse.Namespace) -> int:
    from rainhitch.toml_schema import TableError

    try:
        before, after, share = _lists(told)
        wants = _wants(told)
    except (InputError, TableError) as problem:
        lines = problem.lines if isinstance(problem, TableError) else [str(problem)]
        print("\n".join(f"rainhitch: {line}" for line in lines), file=sys.stderr)
        return 2
    except ConnectionError as problem:
        print(f"rainhitch: etcd did not answer: {problem}", file=sys.stderr)
        return 3
    from rainhitch.growth.forecast import forecast, lost_reads

    made = forecast(before, after, wants, share * told.steady, retiring=told.retire)
    burst = lost_reads(made, wants, told.rate)
    _show(told, made, burst, before, after, share)
    return 0


def _wants(told: argparse.Namespace) -> "ReadWorkload":
    from rainhitch.growth.forecast import ReadWorkload

    for name, least in (("keys", 1), ("held", 0), ("zipf", 0), ("offset", 0), ("rate", 0), ("steady", 0)):
        if not least <= getattr(told, name) < 1e9:
            raise InputError(f"--{name} {getattr(told, name)}: allowed is a number from {least}")
    if told.share is not None and not 0 <= told.share <= 100:
        raise InputError(f"--share {told.share}: allowed is a number from 0 to 100")
    return ReadWorkload(told.keys, told.zipf, told.offset, told.held)


def _lists(told: argparse.Namespace) -> "tuple[list[Server], list[Server], float]":
    from rainhitch.interface import DEFAULT_MIGRATION_FRACTION

    share = DEFAULT_MIGRATION_FRACTION
    if told.before == "etcd" or told.operator is not None:
        from rainhitch.operator_config import read_operator_config

        operator = read_operator_config(told.operator or Path("deploy/operator.toml"))
        share = operator.growth.share
    rows = asyncio.run(_in_etcd(told)) if told.before == "etcd" else _rows(Path(told.before))
    left_out = set(told.origin_kind.split(","))
    before = _servers(rows, left_out)
    if told.after is not None:
        after = _servers(_rows(told.after), left_out)
    else:
        gone = {*told.leave, *told.retire}
        unknown = gone - {one.uid for one in before}
        if unknown:
            raise InputError(f"no such server in the list: {', '.join(sorted(unknown))}")
        after = [one for one in before if one.uid not in gone] + [_joined(one) for one in told.join]
    for name, servers in (("--from", before), ("--to", after)):
        uids = [one.uid for one in servers]
        if not uids or len(set(uids)) < len(uids):
            raise InputError(f"{name}: wanted are ready cache servers, each with a uid of its own: {uids}")
    return before, after, share if told.share is None else told.share


def _rows(path: Path) -> list[Json]:
    import orjson

    try:
        told = orjson.loads(path.read_bytes())
    except OSError as problem:
        raise InputError(f"{path}: {problem.strerror}") from None
    except orjson.JSONDecodeError as problem:
        raise InputError(f"{path}: no JSON: {problem}") from None
    rows = told.get("targets") if isinstance(told, dict) else told
    if not isinstance(rows, list) or not all(isinstance(one, dict) for one in rows):
        raise InputError(f'{path}: wanted is a list of entries, or {{"targets": [...]}}')
    return rows


async def _in_etcd(told: argparse.Namespace) -> list[Json]:
    from rainhitch.cli.members import reachable
    from rainhitch.membership.endpoint_list_builder import EndpointListBuilder
    from rainhitch.membership.etcd_client import CALL_ERRORS, describe_error
    from rainhitch.membership.etcd_settings import MembershipError, etcd_options
    from rainhitch.operator_config import read_operator_config

    try:
        options = etcd_options(read_operator_config(told.operator or Path("deploy/operator.toml")).membership)
    except MembershipError as problem:
        raise InputError(str(problem)) from None
    try:
        client = await reachable(options)
        entries = (await client.read_all(client.options.prefix)).entries
        client.close()
    except CALL_ERRORS as problem:
        raise ConnectionError(describe_error(problem)) from None
    seen = EndpointListBuilder(lambda rows: None, lambda: 0)
    seen.publish({uid: value for uid, (_, value) in entries.items()}, True)
    return list(seen.entries.values())


def _servers(rows: Iterable[Json], left_out: set[str]) -> "list[Server]":
    from rainhitch.growth.forecast import Server

    found = []
    for row in rows:
        if row.get("state", "Ready") == "Ready" and row.get("model") not in left_out:
            weight = row.get("capacity_hint")
            found.append(
                Server(str(row.get("uid")), str(row.get("az", "")), float(1.0 if weight is None else weight))
            )
    return found


def _joined(text: str) -> "Server":
    from rainhitch.growth.forecast import Server

    uid, _, rest = text.partition(":")
    room, _, weight = rest.partition(":")
    try:
        return Server(uid, room, float(weight or 1.0))
    except ValueError:
        raise InputError(f"--join {text}: wanted is UID[:ROOM[:WEIGHT]]") from None


def _show(
    told: argparse.Namespace,
    made: "Forecast",
    burst: list[float],
    before: "list[Server]",
    after: "list[Server]",
    share: float,
) -> None:
    pace = share * told.steady
    if told.json:
        import orjson

        row = asdict(made) | {"pace": pace, "reads_after_a_loss": burst}
        row["between"] = [[one, two, part] for (one, two), part in made.between.items()]
        row["rooms"] = [[one, two, part] for (one, two), part in made.rooms.items()]
        row["seconds"] = {str(goal): at for goal, at in made.seconds.items()}
        print(orjson.dumps(row, option=orjson.OPT_INDENT_2).decode())
        return
    print(f"{len(before)} cache servers -> {len(after)}: {made.moved:.1%} of the keys move, ", end="")
    print(f"{made.reads:.0f} reads of the database")
    if made.moved > made.lost:
        times = ", ".join(f"{goal:.0%} after {_time(at)}" for goal, at in made.seconds.items())
        print(f"at {pace:.1f} moves a second ({share:g} of {told.steady:g}): of what they draw {times}")
    if made.lost > 1e-9:
        print(f"{made.lost:.1%} of the keys are lost with who goes, and not paced but by the throttle:")
        print("  reads of the database in each second after it, at most:", end=" ")
        print(" ".join(f"{one:.0f}" for one in burst))
    for title, parts in (("room", made.rooms), ("server", made.between)):
        ordered = sorted(parts.items(), key=lambda one: -one[1])
        print(f"\nfrom {title:<16} to {title:<16} part of the keys")
        for (one, two), part in ordered[:SHOWN]:
            print(f"{one or '-':<21} {two or '-':<19} {part:.2%}")
        if len(ordered) > SHOWN:
            print(f"and {len(ordered) - SHOWN} more, {sum(part for _, part in ordered[SHOWN:]):.2%}")


def _time(seconds: float) -> str:
    if seconds == float("inf"):
        return "never"
    return f"{seconds:.0f} s" if seconds < 120 else f"{seconds / 60:.0f} min"
