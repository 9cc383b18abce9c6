"""Clients that press on a router's memory or time: its peak memory, and what usual clients get beside them.

    python -m benchmarks client_pressure [--limits full,half] [--for-s 6] [--only NAME,NAME]

One router process with the pages' limits (192 MB and 1,024 descriptors) or half of them, two cache servers
and the pressing clients in processes of their own, eight usual clients here, each with one read at a time and
1.9 s to wait. Hundreds of clients fill the router's cap but for 20; a flood is one connection at full
speed. A row is one play: resident memory at most, usual answers, the slowest, those late by over 0.05 s,
connections that ended without an answer, and other answers.
"""

import argparse
import asyncio
import itertools
import socket
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.rig import (
    comma_list,
    listed_server,
    parser_for,
    print_row,
    print_table_header,
    start_router,
)
from rainhitch.protocol.resp import MAX_RELAYED_VALUE_BYTES, command
from rainhitch.protocol.resp2_reader import Resp2Reader

HOST = "127.0.0.1"
NS_PER_S = 1_000_000_000
CACHE_COUNT = 2
USUAL_CLIENTS = 8
USUAL_INTERVAL_S = 0.02
WAIT_MS = 1900
LATE_S = WAIT_MS / 1000 + 0.05
AFTER_PRESSURE_S = 2.0  # for which usual clients go on
SPARE_CLIENTS = 20  # of the router's cap on clients, for the usual ones
SMALL_RECEIVE_BUFFER_BYTES = 4096
READ_INTERVAL_S = 0.2  # of clients that read slowly
STAY_S = 4.0  # for which a pressing client keeps its connection
COMMANDS_PER_WRITE = 50  # of a flood
LONG_BYTES = MAX_RELAYED_VALUE_BYTES
LARGE_BYTES = 60_000
WRITE_BYTES = 65_000
READ_FIELDS = b"c=read,t=acme,d=%d" % WAIT_MS
NUMBERS = itertools.count()
BAD_INPUT = 2


@dataclass(frozen=True)
class Limits:
    """What the platform allows a router."""

    memory_mb: int
    sockets: int


LIMITS = {"full": Limits(192, 1024), "half": Limits(96, 512)}


# pressing clients, in a process of their own


def read(key: bytes, fields: bytes = READ_FIELDS) -> bytes:
    """A read with an id of its own."""
    return command(b"C.GET", key, b"p%d" % next(NUMBERS), fields)


def write(class_name: bytes, key: bytes = b"k", size_bytes: int = WRITE_BYTES, more: bytes = b"") -> bytes:
    """A write with an id of its own."""
    fields = b"c=%b,t=acme,d=%d%b" % (class_name, WAIT_MS, more)
    return command(b"C.SET", key, b"p%d" % next(NUMBERS), fields, bytes(size_bytes))


SHORT_FIELDS = READ_FIELDS + b"".join(b",%x=1" % number for number in range(180))
HALF_WRITE = write(b"put", more=b",k=a")[:-10]
LARGEST_HALF = b"*8\r\n" + (b"$65536\r\n" + bytes(65_536) + b"\r\n") * 4 + b"$65536\r\n" + bytes(60_000)


@dataclass(frozen=True)
class Hundreds:
    """Clients that send something at once, stay for a while, and begin anew."""

    message: Callable[[], bytes]
    piece_bytes: int = 0  # the message is sent in pieces of this size, ten a second; 0: at once
    reads: bool = False  # whether it reads a little now and then


HUNDREDS: dict[str, Hundreds] = {
    "write slowly": Hundreds(lambda: write(b"put", more=b",k=a"), piece_bytes=2000),
    "stop half way through a write": Hundreds(lambda: HALF_WRITE),
    "stop half way through the largest command": Hundreds(lambda: LARGEST_HALF),
    "very many short fields": Hundreds(lambda: b"".join(read(b"k", SHORT_FIELDS) for _ in range(60))),
    "read a long value slowly": Hundreds(lambda: read(b"long"), reads=True),
    "read 8 long values slowly": Hundreds(lambda: b"".join(read(b"long") for _ in range(8)), reads=True),
    "read 64 large values slowly": Hundreds(lambda: b"".join(read(b"large") for _ in range(64)), reads=True),
    "64 reads that no server answers": Hundreds(lambda: b"".join(read(b"silent") for _ in range(64))),
    "64 keyed writes with long keys": Hundreds(
        lambda: b"".join(
            write(b"put", size_bytes=10, more=b",k=%d%b" % (next(NUMBERS), b"x" * 900)) for _ in range(64)
        )
    ),
}
FLOODS: dict[str, Callable[[int], bytes]] = {
    "PING": lambda number: command(b"PING"),
    "unknown commands": lambda number: command(b"NOPE%d" % number),
    "reads without fields": lambda number: command(b"C.GET", b"k"),
    "new class names": lambda number: read(b"k", b"c=class%d,t=acme,d=1900" % number),
    "new tenants": lambda number: read(b"k", b"c=read,t=tenant%d,d=1900" % number),
    "new fields": lambda number: read(b"k", READ_FIELDS + b",n%d=x" % number),
    "new keys": lambda number: read(b"key%d" % number),
    "one key": lambda number: read(b"k"),
    "new keys that miss": lambda number: read(b"miss%d" % number),
    "one id": lambda number: command(b"C.GET", b"k", b"same", READ_FIELDS),
    "waits of 1 ms": lambda number: read(b"key%d" % number, b"c=read,t=acme,d=1"),
    "keyed writes with new keys": lambda number: write(b"put", b"k%d" % number, 1, b",k=%d" % number),
    "keyed writes with long new keys": lambda number: write(
        b"put", b"k", 1, b",k=%b%d" % (b"q" * 900, number)
    ),
    "keyed writes with one key": lambda number: write(b"put", b"k", 1, b",k=same"),
    "unsafe writes": lambda number: write(b"once", b"k%d" % number, 1),
    "large writes of no class": lambda number: write(b"nope"),
    "client names": lambda number: command(b"HELLO", b"3", b"SETNAME", b"name%d" % number),
    "empty commands": lambda number: b"*0\r\n",
}


async def press_by_one(port: int, pressure: Hundreds, until_s: float) -> None:
    """One of hundreds of clients, which begins anew until a time."""
    loop = asyncio.get_running_loop()
    while time.monotonic() < until_s:
        with socket.socket() as raw, suppress(OSError, TimeoutError):
            raw.setblocking(False)
            if pressure.reads:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
            end_s = min(until_s, time.monotonic() + STAY_S)
            async with asyncio.timeout(until_s - time.monotonic()):
                await loop.sock_connect(raw, (HOST, port))
                message = pressure.message()
                size = pressure.piece_bytes or len(message)
                for start in range(0, len(message), size):
                    await loop.sock_sendall(raw, message[start : start + size])
                    await asyncio.sleep(0.1 if pressure.piece_bytes else 0)
                while time.monotonic() < end_s:
                    await asyncio.sleep(READ_INTERVAL_S)
                    if pressure.reads:
                        with suppress(BlockingIOError):
                            raw.recv(SMALL_RECEIVE_BUFFER_BYTES)


async def press_by_hundreds(port: int, pressures: list[Hundreds], count: int, until_s: float) -> None:
    """Presses with so many clients, in turns of the pressures."""
    turns = itertools.islice(itertools.cycle(pressures), count)
    await asyncio.gather(*(press_by_one(port, pressure, until_s) for pressure in turns))


def press_by_flood(port: int, make: Callable[[int], bytes], until_s: float) -> None:
    """Sends at full speed on one connection, which a thread reads; connects anew where it has ended."""
    numbers = itertools.count()
    while time.monotonic() < until_s:
        with suppress(OSError), socket.create_connection((HOST, port)) as raw:
            threading.Thread(target=read_to_end, args=(raw,), daemon=True).start()
            while time.monotonic() < until_s:
                raw.sendall(b"".join(make(next(numbers)) for _ in range(COMMANDS_PER_WRITE)))


def read_to_end(raw: socket.socket) -> None:
    """Reads a connection to its end."""
    with suppress(OSError):
        while raw.recv(1 << 20):
            pass


def press(name: str, port: int, count: int, for_s: float) -> None:
    """Presses by name."""
    until_s = time.monotonic() + for_s
    if name in FLOODS:
        press_by_flood(port, FLOODS[name], until_s)
    else:
        pressures = list(HUNDREDS.values()) if name == MIXED else [HUNDREDS[name]]
        asyncio.run(press_by_hundreds(port, pressures, count, until_s))


MIXED = "all of these at once"
NAMES = [*HUNDREDS, MIXED, *FLOODS]


# cache servers, in processes of their own


def answer_to(parts: list[bytes]) -> bytes:
    """A cache server's answer to a command, by its key."""
    key = parts[1]
    if key.startswith(b"silent"):
        return b""
    if key.startswith(b"miss"):
        return b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
    size_bytes = {b"long": LONG_BYTES, b"large": LARGE_BYTES}.get(key, 1)
    return b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (size_bytes, bytes(size_bytes))


class CacheProtocol(asyncio.Protocol):
    """A connection of a cache server."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins to read commands."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.reader = Resp2Reader()

    def data_received(self, data: bytes) -> None:
        """Answers the whole commands that have come."""
        self.reader.feed(data)
        for parts in self.reader.iter_commands():
            self.transport.write(answer_to(parts))


async def serve_cache() -> None:
    """Serves until it is ended; prints the port."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(CacheProtocol, HOST, 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


# one play


@dataclass
class Answers:
    """What the usual clients got."""

    times_s: list[float] = field(default_factory=list)
    other: Counter[str] = field(default_factory=Counter)
    missing: int = 0


async def ask(port: int, number: int, until_s: float, answers: Answers) -> None:
    """One usual client, until a time."""
    reader, writer = await asyncio.open_connection(HOST, port)
    while time.monotonic() < until_s:
        begin_s = time.monotonic()
        writer.write(command(b"C.GET", b"usual", b"u%d-%d" % (number, next(NUMBERS)), READ_FIELDS))
        try:
            line = await reader.readline()
            if line[:1] == b"$":
                await reader.readexactly(int(line[1:]) + 2)
        except (OSError, asyncio.IncompleteReadError):
            line = b""
        answers.times_s.append(time.monotonic() - begin_s)
        if not line:
            answers.missing += 1
            reader, writer = await asyncio.open_connection(HOST, port)
        elif line[:1] != b"$":
            answers.other[line.strip().decode()] += 1
        await asyncio.sleep(USUAL_INTERVAL_S)
    writer.close()


def configuration(limits: Limits, ports: list[int]) -> dict[str, Any]:
    """The router's configuration; there is no discovery."""
    targets = [listed_server(f"c{number}", f"{HOST}:{port}", "a", "std") for number, port in enumerate(ports)]
    usual = {"aim": NS_PER_S, "deadline": 2 * NS_PER_S, "lateWorth": 0.5}
    keyed = {"effect": "keyed", "group": "all", "repeatWindow": 5 * NS_PER_S}
    return {
        "listen": f"{HOST}:0",
        "discovery": f"{HOST}:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
        "known": {"rev": 1, "all": True, "targets": targets},
        "settings": {
            "azs": ["a", "b"],
            "hostTypes": ["std", "origin"],
            "balancers": 1,
            "ceilings": {
                "attemptsCap": 4,
                "dialTimeout": NS_PER_S // 4,
                "keepalive": 60 * NS_PER_S,
                "mostHeld": 20_000,
            },
            "classes": [
                {"name": "read", **usual},
                {"name": "put", **usual, **keyed},
                {"name": "once", **usual, "effect": "unsafe"},
            ],
            "tenants": [{"name": "acme"}],
            "registryMode": "pushed",
            "safety": {"coldFrom": 0.3, "rampTime": 10 * NS_PER_S, "tipMultiple": 3.0},
            "specifics": {"mode": "aside", "originKind": 1},
        },
    }


def listening_port(pid: int) -> int:
    """The port at which a process listens, of its first listening socket."""
    sockets = set()
    for descriptor in Path(f"/proc/{pid}/fd").iterdir():
        with suppress(FileNotFoundError):  # closed meanwhile
            sockets.add(descriptor.readlink().name)
    for line in Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[3] == "0A" and f"socket:[{fields[9]}]" in sockets:
            return int(fields[1].partition(":")[2], 16)
    raise LookupError(f"process {pid} does not listen")


def peak_mb(pid: int) -> float:
    """The most memory that a process has had resident, in MB."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / 1024


async def start_child(*arguments: str) -> asyncio.subprocess.Process:
    """Starts this module again, for a part of a play."""
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "benchmarks.client_pressure", *arguments, stdout=asyncio.subprocess.PIPE
    )


async def play(name: str, limits: Limits, for_s: float) -> list[str]:
    """Plays one pressure; gives the row's cells."""
    caches = [await start_child("--serve-cache") for _ in range(CACHE_COUNT)]
    ports = [int(await cache.stdout.readline()) for cache in caches if cache.stdout is not None]
    answers = Answers()
    with tempfile.TemporaryDirectory() as folder:
        router = await start_router(Path(folder), configuration(limits, ports))
        port = listening_port(router.pid)
        end_s = time.monotonic() + for_s + AFTER_PRESSURE_S
        usual = [asyncio.ensure_future(ask(port, number, end_s, answers)) for number in range(USUAL_CLIENTS)]
        count = limits.sockets // 2 - SPARE_CLIENTS
        presser = await start_child("--press", name, str(port), str(count), str(for_s))
        await asyncio.gather(*usual)
        await presser.wait()
        peak = peak_mb(router.pid)
        await router.stop()
    for cache in caches:
        cache.kill()
        await cache.wait()
    late = sum(time_s > LATE_S for time_s in answers.times_s)
    other = ", ".join(f"{count} `{text}`" for text, count in sorted(answers.other.items()))
    figures = [f"{peak:.0f}", str(len(answers.times_s)), f"{max(answers.times_s):.2f}", str(late)]
    return [name, str(limits.memory_mb), *figures, str(answers.missing), other]


async def play_all(names: list[str], limits: list[str], for_s: float) -> None:
    """Plays pressures with limits, one after the other, and prints the table."""
    columns = ["pressure", "limit, MB", "peak, MB", "usual answers", "slowest, s", "late", "ended", "other"]
    print_table_header(columns)
    for limit, name in itertools.product(limits, names):
        print_row(await play(name, LIMITS[limit], for_s))


def parse(arguments: list[str]) -> argparse.Namespace:
    """Reads the options."""
    parser = parser_for(__doc__)
    parser.add_argument("--limits", type=comma_list, default=list(LIMITS), help="full, half, or both")
    parser.add_argument("--for-s", type=float, default=6.0, help="seconds for which clients press")
    parser.add_argument("--only", type=comma_list, default=NAMES, help="names of pressures")
    parser.add_argument("--serve-cache", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("--press", nargs=4, help=argparse.SUPPRESS)
    return parser.parse_args(arguments)


def main(arguments: list[str]) -> int:
    """Plays the pressures; gives the exit code."""
    options = parse(arguments)
    unknown = [name for name in options.only if name not in NAMES]
    unknown += [name for name in options.limits if name not in LIMITS]
    if unknown:
        print(f"client_pressure: unknown {unknown[0]!r}; there are {[*LIMITS, *NAMES]}", file=sys.stderr)
        return BAD_INPUT
    if options.serve_cache:
        asyncio.run(serve_cache())
    elif options.press:
        name, port, count, for_s = options.press
        press(name, int(port), int(count), float(for_s))
    else:
        asyncio.run(play_all(options.only, options.limits, options.for_s))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
