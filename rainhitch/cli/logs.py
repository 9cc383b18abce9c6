"""`rainhitch logs`: what a fleet's routers wrote down, added up."""

import argparse
import sys
from pathlib import Path

import orjson

from rainhitch.cli import bad
from rainhitch.telemetry import sums


def fill(parser: argparse.ArgumentParser) -> None:
    under = parser.add_subparsers(dest="what", required=True, metavar="WHAT")
    one = under.add_parser("sum", help="add up the logs of a folder: losses by cause, and the worst seconds")
    one.add_argument("folder", type=Path, metavar="DIR", help="with a log for each router")
    one.add_argument("--by", choices=["router", "server"], help="a row for each one as well")
    one.add_argument("--json", action="store_true", help="as JSON")
    one = under.add_parser("follow", help="the lines of all routers that name a request")
    one.add_argument("folder", type=Path, metavar="DIR")
    one.add_argument("id", metavar="ID")


def run(told: argparse.Namespace) -> int:
    if not told.folder.is_dir():
        return bad(f"{told.folder}: is no folder")
    try:
        if told.what == "follow":
            lines = sums.follow(told.folder, told.id)
            print("\n".join(lines) if lines else f"no line names {told.id}")
            return 0 if lines else 1
        fleet = sums.sum_folder(told.folder)
    except OSError as problem:
        return bad(f"{problem.filename}: {problem.strerror}")
    if not fleet.whole.seconds:
        print(f"rainhitch: {told.folder}: no record of any router", file=sys.stderr)
        return 1
    if told.json:
        made = fleet.whole.as_json() | {"torn": fleet.torn}
        made["worst"] = [{"at": at} | one.as_json() for at, one in fleet.worst()]
        made["routers"] = {name: one.as_json() for name, one in fleet.routers.items() if one.seconds}
        made["servers"] = fleet.servers()
        print(orjson.dumps(made, option=orjson.OPT_INDENT_2).decode())
    else:
        show(fleet, told.by)
    return 0


def show(fleet: sums.FleetSums, by: str | None) -> None:
    whole = fleet.whole
    routers = sum(one.seconds > 0 for one in fleet.routers.values())
    print(f"{routers} routers, {len(fleet.seconds)} s, {whole.taken} requests taken, {fleet.torn} torn lines")
    print(f"CPU {whole.cpu:.1f} s, {1e6 * whole.cpu / max(1, whole.taken):.0f} us a request;", end=" ")
    print(f"{whole.open / max(1, whole.seconds):.1f} connections a router; oldest list {whole.oldest:.1f} s")
    for name in sums.COUNTERS:
        if name in sums.BY_SERVER or not whole.counts[name]:
            continue
        print(f"\n{name}")
        for how, many in whole.counts[name].most_common():
            each = f"{many / max(1, whole.taken):8.4f} a request"
            if name == "took":
                each = f"{many / max(1, whole.counts['tried'][how]):8.0f} ms each"
            print(f"  {how:<24}{many:>9}  {each}")
    if by == "router":
        print("\nrouter                       taken     lost  connections")
        for router, one in sorted(fleet.routers.items(), key=lambda pair: -pair[1].taken):
            if one.seconds:
                print(f"  {router:<24}{one.taken:>8} {one.lost():>8} {one.open / one.seconds:12.1f}")
    elif by == "server":
        print("\nserver                    attempts     poor")
        for server, (many, poor) in fleet.servers().items():
            print(f"  {server:<24}{many:>8} {poor:>8}")
    print("\nworst seconds               lost    taken  most of it")
    for at, one in fleet.worst():
        most = [pair for pair in one.counts["ended"].most_common() if ":" in pair[0]][:3]
        causes = ", ".join(f"{how} {many}" for how, many in most)
        print(f"  {at:<22}{one.lost():>8} {one.taken:>8}  {causes}")
