"""`rainhitch fleet`: what routers believe of one another, asked at their admin endpoints."""

import argparse
import asyncio
from dataclasses import dataclass
from typing import Any

import orjson

from rainhitch.cli.errors import InputError
from rainhitch.cli.exit_codes import FAILURE, SUCCESS
from rainhitch.cli.output import print_json

Json = dict[str, Any]

REPLY_TIMEOUT_S = 2.0
MAX_REPLY_BYTES = 1 << 16
MAX_CONCURRENT_REQUESTS = 32
MAX_PORT = 65535

QUOTA_FIELDS = ("now", "needs", "lent")
"""Fields of `holds`, the router's part of the shared quota, in the order of the table's columns."""


@dataclass(frozen=True, slots=True)
class AdminAddress:
    """A router's admin endpoint: as it was given, and what it says."""

    text: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class FleetStatusArguments:
    """The arguments of `rainhitch fleet status`."""

    addresses: tuple[AdminAddress, ...]
    as_json: bool


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the subcommand's arguments."""
    actions = parser.add_subparsers(dest="what", required=True, metavar="WHAT")
    status = actions.add_parser(
        "status",
        help="dead routers, traffic fractions and quota of each router, as it has them",
        description="Exit codes: 0 all answered, 1 some did not, 2 bad input.",
    )
    status.add_argument(
        "addresses", nargs="+", metavar="ADDRESS", help="a router's admin endpoint: host:port"
    )
    status.add_argument("--json", action="store_true", help="as JSON")


def parse_arguments(namespace: argparse.Namespace) -> FleetStatusArguments:
    """Reads the arguments; raises InputError for an address that is none."""
    addresses = tuple(_parse_address(text) for text in namespace.addresses)
    return FleetStatusArguments(addresses, namespace.json)


def _parse_address(text: str) -> AdminAddress:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise InputError(f"{text!r}: allowed is host:port")
    return AdminAddress(text, host, int(port))


def run(namespace: argparse.Namespace) -> int:
    """Asks the routers and prints what they reply; returns FAILURE where some did not answer."""
    arguments = parse_arguments(namespace)
    replies = asyncio.run(ask_all([(address.host, address.port) for address in arguments.addresses]))
    given = [address.text for address in arguments.addresses]
    reply_by_address = dict(zip(given, replies, strict=True))
    if arguments.as_json:
        print_json(reply_by_address)
    else:
        _print_table(reply_by_address)
    return FAILURE if any("error" in reply for reply in replies) else SUCCESS


async def ask_all(addresses: list[tuple[str, int]]) -> list[Json]:
    """Returns each router's reply, in the order of the addresses; `ask` has what stands for none."""
    free = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def ask_one(address: tuple[str, int]) -> Json:
        """Asks one router once there is room."""
        async with free:
            return await ask(*address)

    return list(await asyncio.gather(*(ask_one(address) for address in addresses)))


async def ask(host: str, port: int) -> Json:
    """Returns one router's reply to `routers`; an object with `error` where it gave none."""
    try:
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port, limit=MAX_REPLY_BYTES)
            try:
                writer.write(b"routers\n")
                line = await reader.readline()
            finally:
                writer.close()
    except TimeoutError:
        return {"error": "no answer"}
    except (OSError, ValueError) as problem:
        return {"error": str(problem) or type(problem).__name__}
    status, _, rest = line.decode("utf-8", "replace").strip().partition(" ")
    try:
        reply = orjson.loads(rest)
    except orjson.JSONDecodeError:
        return {"error": rest or "no answer"}
    return reply if status == "OK" and isinstance(reply, dict) else {"error": rest}


def _print_table(reply_by_address: dict[str, Json]) -> None:
    print(f"{'router':<24}{'heard':>6}{'gone':>14}{'holds':>9}{'needs':>9}{'lent':>9}    parts of customers")
    for address, reply in reply_by_address.items():
        if "error" in reply:
            print(f"{address:<24}{reply['error']}")
        else:
            _print_router(address, reply)
    views = {tuple(reply["gone"]) for reply in reply_by_address.values() if "gone" in reply}
    if len(views) > 1:
        print(f"routers differ on who is gone: {len(views)} views")
    quotas = [reply["holds"] for reply in reply_by_address.values() if "holds" in reply]
    if quotas:
        held_per_s = sum(quota["now"] for quota in quotas)
        print(f"held by these together {held_per_s:.1f} of {quotas[0]['of']:.1f} a second")


def _print_router(address: str, reply: Json) -> None:
    quota = reply.get("holds", {})
    quota_texts = [f"{quota[name]:.1f}" if name in quota else "-" for name in QUOTA_FIELDS]
    gone = "-"
    if "gone" in reply:
        gone = ",".join(map(str, reply["gone"])) or "none"
    fractions = " ".join(f"{fraction:.3f}" for fraction in reply.get("parts", [])) or "-"
    router = f"{reply['me']} {address}"
    columns = f"{reply.get('heard', '-'):>6}{gone:>14}" + "".join(f"{text:>9}" for text in quota_texts)
    print(f"{router:<24}{columns}    {fractions}")
