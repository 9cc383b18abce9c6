"""`rainhitch fleet`: what routers believe of one another, asked at their second addresses."""

import argparse
import asyncio
from typing import Any

import orjson

from rainhitch.cli import bad

Json = dict[str, Any]
PATIENCE = 2.0  # s for one router's answer
MOST = 1 << 16  # bytes of an answer
AT_ONCE = 32
INCOMPLETE = 1


def fill(parser: argparse.ArgumentParser) -> None:
    under = parser.add_subparsers(dest="what", required=True, metavar="WHAT")
    one = under.add_parser(
        "status",
        help="members, customers' parts and holdings as each router has them",
        description="Exit codes: 0 all answered, 1 some did not, 2 bad input.",
    )
    one.add_argument("addresses", nargs="+", metavar="ADDRESS", help="a router's second address: host:port")
    one.add_argument("--json", action="store_true", help="as JSON")


def run(told: argparse.Namespace) -> int:
    addresses = []
    for text in told.addresses:
        host, _, port = text.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 65536:
            return bad(f"{text!r}: allowed is host:port")
        addresses.append((host, int(port)))
    answers = asyncio.run(ask_all(addresses))
    rows = dict(zip(told.addresses, answers, strict=True))
    if told.json:
        print(orjson.dumps(rows, option=orjson.OPT_INDENT_2).decode())
    else:
        show(rows)
    return INCOMPLETE if any("error" in one for one in answers) else 0


async def ask_all(addresses: list[tuple[str, int]]) -> list[Json]:
    """Each router's word, in the order of the addresses; an object with `error` for one that gave none."""
    free = asyncio.Semaphore(AT_ONCE)

    async def one(address: tuple[str, int]) -> Json:
        async with free:
            return await ask(*address)

    return list(await asyncio.gather(*(one(address) for address in addresses)))


async def ask(host: str, port: int) -> Json:
    """One router's word."""
    try:
        async with asyncio.timeout(PATIENCE):
            reader, writer = await asyncio.open_connection(host, port, limit=MOST)
            try:
                writer.write(b"routers\n")
                line = await reader.readline()
            finally:
                writer.close()
    except TimeoutError:
        return {"error": "no answer"}
    except (OSError, ValueError) as problem:
        return {"error": str(problem) or type(problem).__name__}
    yes, _, rest = line.decode("utf-8", "replace").strip().partition(" ")
    try:
        made = orjson.loads(rest)
    except orjson.JSONDecodeError:
        return {"error": rest or "no answer"}
    return made if yes == "OK" and isinstance(made, dict) else {"error": rest}


def show(rows: dict[str, Json]) -> None:
    print(f"{'router':<24}{'heard':>6}{'gone':>14}{'holds':>9}{'needs':>9}{'lent':>9}    parts of customers")
    for address, told in rows.items():
        if "error" in told:
            print(f"{address:<24}{told['error']}")
            continue
        holds = told.get("holds", {})
        figures = [f"{holds[name]:.1f}" if name in holds else "-" for name in ("now", "needs", "lent")]
        gone = ",".join(map(str, told["gone"])) or "none" if "gone" in told else "-"
        parts = " ".join(f"{one:.3f}" for one in told.get("parts", [])) or "-"
        who = f"{told['me']} {address}"
        columns = f"{told.get('heard', '-'):>6}{gone:>14}" + "".join(f"{one:>9}" for one in figures)
        print(f"{who:<24}{columns}    {parts}")
    views = {tuple(one["gone"]) for one in rows.values() if "gone" in one}
    if len(views) > 1:
        print(f"routers differ on who is gone: {len(views)} views")
    holds = [one["holds"] for one in rows.values() if "holds" in one]
    if holds:
        print(
            f"held by these together {sum(one['now'] for one in holds):.1f} of {holds[0]['of']:.1f} a second"
        )
