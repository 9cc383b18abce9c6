"""`rainhitch logs`: what a fleet's routers logged, added up, or what they logged of one request."""

import argparse
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from rainhitch.cli.errors import InputError
from rainhitch.cli.exit_codes import FAILURE, SUCCESS
from rainhitch.cli.output import print_error, print_json
from rainhitch.telemetry import sums
from rainhitch.telemetry.records import is_loss

US_PER_S = 1e6
CAUSES_SHOWN = 3
"""Most frequent causes of loss that are shown of a second."""


class GroupBy(Enum):
    """What has a row of its own in the table."""

    ROUTER = "router"
    SERVER = "server"


@dataclass(frozen=True, slots=True)
class LogsArguments:
    """The arguments of `rainhitch logs`."""

    folder: Path
    followed_request: str | None
    """Id of the request to follow; None: the logs are added up."""

    group_by: GroupBy | None = None
    as_json: bool = False


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the subcommand's arguments."""
    actions = parser.add_subparsers(dest="what", required=True, metavar="WHAT")
    total = actions.add_parser(
        "sum", help="add up the logs of a folder: losses by cause, and the worst seconds"
    )
    total.add_argument("folder", type=Path, metavar="DIR", help="with a log for each router")
    total.add_argument("--by", choices=[group.value for group in GroupBy], help="a row for each one as well")
    total.add_argument("--json", action="store_true", help="as JSON")
    follow = actions.add_parser("follow", help="the lines of all routers that name a request")
    follow.add_argument("folder", type=Path, metavar="DIR")
    follow.add_argument("id", metavar="ID")


def parse_arguments(namespace: argparse.Namespace) -> LogsArguments:
    """Reads the arguments."""
    if namespace.what == "follow":
        return LogsArguments(namespace.folder, namespace.id)
    group_by = None if namespace.by is None else GroupBy(namespace.by)
    return LogsArguments(namespace.folder, None, group_by, namespace.json)


def run(namespace: argparse.Namespace) -> int:
    """Prints the sums or the lines; returns FAILURE where there is nothing to print."""
    arguments = parse_arguments(namespace)
    if not arguments.folder.is_dir():
        raise InputError(f"{arguments.folder}: is no folder")
    try:
        if arguments.followed_request is not None:
            return _follow(arguments.folder, arguments.followed_request)
        fleet = sums.sum_folder(arguments.folder)
    except OSError as problem:
        raise InputError(f"{problem.filename}: {problem.strerror}") from None
    if not fleet.whole.seconds:
        print_error(f"{arguments.folder}: no record of any router")
        return FAILURE
    if arguments.as_json:
        _print_json(fleet)
    else:
        _print_tables(fleet, arguments.group_by)
    return SUCCESS


def _follow(folder: Path, request_id: str) -> int:
    lines = sums.follow(folder, request_id)
    print("\n".join(lines) if lines else f"no line names {request_id}")
    return SUCCESS if lines else FAILURE


def _print_json(fleet: sums.FleetSums) -> None:
    report = fleet.whole.as_json() | {"torn": fleet.torn}
    report["worst"] = [{"at": at} | second.as_json() for at, second in fleet.worst()]
    report["routers"] = {name: router.as_json() for name, router in fleet.routers.items() if router.seconds}
    report["servers"] = fleet.servers()
    print_json(report)


def _print_tables(fleet: sums.FleetSums, group_by: GroupBy | None) -> None:
    whole = fleet.whole
    router_count = sum(router.seconds > 0 for router in fleet.routers.values())
    print(f"{router_count} routers, {len(fleet.seconds)} s, {whole.taken} requests taken, ", end="")
    print(f"{fleet.torn} torn lines")
    print(f"CPU {whole.cpu:.1f} s, {US_PER_S * whole.cpu / max(1, whole.taken):.0f} us a request;", end=" ")
    print(f"{whole.open / max(1, whole.seconds):.1f} connections a router; oldest list {whole.oldest:.1f} s")
    _print_counters(whole)
    if group_by is GroupBy.ROUTER:
        print("\nrouter                       taken     lost  connections")
        for name, router in sorted(fleet.routers.items(), key=lambda item: -item[1].taken):
            if router.seconds:
                connections = router.open / router.seconds
                print(f"  {name:<24}{router.taken:>8} {router.lost():>8} {connections:12.1f}")
    elif group_by is GroupBy.SERVER:
        print("\nserver                    attempts     poor")
        for name, (attempts, poor) in fleet.servers().items():
            print(f"  {name:<24}{attempts:>8} {poor:>8}")
    print("\nworst seconds               lost    taken  most of it")
    for at, second in fleet.worst():
        losses = [item for item in second.counts["ended"].most_common() if is_loss(item[0])]
        causes = ", ".join(f"{cause} {count}" for cause, count in losses[:CAUSES_SHOWN])
        print(f"  {at:<22}{second.lost():>8} {second.taken:>8}  {causes}")


def _print_counters(whole: sums.RecordSum) -> None:
    for name in sums.COUNTERS:
        if name in sums.BY_SERVER or not whole.counts[name]:
            continue
        print(f"\n{name}")
        for label, count in whole.counts[name].most_common():
            if name == "took":
                each = f"{count / max(1, whole.counts['tried'][label]):8.0f} ms each"
            else:
                each = f"{count / max(1, whole.taken):8.4f} a request"
            print(f"  {label:<24}{count:>9}  {each}")
