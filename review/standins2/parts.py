"""Stand-ins of the second review: cache servers, the origin, discovery, clients, and routers as processes.

They are written from the operators' pages and share no code with the program. All of them run on the test's
own event loop and bind port 0 of a loopback address; the routers are processes, started by the deploy file's
line.
"""

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
SECOND = 1_000_000_000
START_LIMIT_S = 30.0
CASE_LIMIT_S = 115.0
KEY_COUNT = 200
INHERITED_FD = 5  # of the clients' listening socket, where the platform holds it
HELD, BROKEN, NOT_RUN = 0, 1, 2
SEEDS = itertools.count(0x8C1F30D27A5BE964)  # for the routers, a new one with each start
Json = dict[str, Any]


class Record:
    """What was sent, answered and run, with the time since the start; written at the end."""

    def __init__(self) -> None:
        self.began_s = time.monotonic()
        self.lines: list[str] = []

    def add(self, text: str) -> None:
        """Notes a line."""
        self.lines.append(f"{time.monotonic() - self.began_s:9.4f} {text}")


class GoneError(Exception):
    """The connection has ended without a whole answer."""


def command(*parts: bytes) -> bytes:
    """A command of RESP2."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


async def read_answer(reader: asyncio.StreamReader) -> Any:
    """The next answer in RESP2: bytes, None, a list, or for a simple or error line a text with its sign."""
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        raise GoneError(f"ended after {line!r}")
    kind, rest = line[:1], line[1:-2]
    if kind == b"$":
        if rest == b"-1":
            return None
        try:
            return (await reader.readexactly(int(rest) + 2))[:-2]
        except asyncio.IncompleteReadError as problem:
            raise GoneError(f"value cut after {len(problem.partial)} of {int(rest)} bytes") from None
    if kind == b"*":
        return [await read_answer(reader) for _ in range(int(rest))]
    return line[:-2].decode()


async def read_command(reader: asyncio.StreamReader) -> list[bytes] | None:
    """The next command of RESP2; None at the end of the connection."""
    try:
        head = await reader.readline()
        if not head:
            return None
        parts = []
        for _ in range(int(head[1:])):
            size = int((await reader.readline())[1:])
            parts.append((await reader.readexactly(size + 2))[:-2])
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return None
    return parts


class Listener:
    """A listener on a free port of a loopback address."""

    def __init__(self) -> None:
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self, host: str = HOST) -> None:
        """Begins to listen."""
        self.server = await asyncio.start_server(self._run, host, 0, limit=1 << 20)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    async def _run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        raise NotImplementedError

    def reset_all(self) -> None:
        """Breaks all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stops listening and breaks all connections."""
        if self.server is not None:
            self.server.close()
        self.reset_all()


class Cache(Listener):
    """A cache server: answers what it holds, and a miss for the rest, in the order of the commands."""

    def __init__(self, uid: str, record: Record, work_s: float = 0.01) -> None:
        super().__init__()
        self.uid = uid
        self.record = record
        self.work_s = work_s
        self.values: dict[bytes, bytes] = {}
        self.missed: dict[bytes, bytes] = {}  # key by the id of the request that missed
        self.received: list[tuple[float, list[bytes]]] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers commands one after the other."""
        while (parts := await read_command(reader)) is not None:
            self.received.append((time.monotonic(), parts))
            self.record.add(f"{self.uid} got {b' '.join(parts[:4]).decode()}")
            await self.answer(parts, writer)

    async def answer(self, parts: list[bytes], writer: asyncio.StreamWriter) -> None:
        """Answers one command after the time that its work takes."""
        if parts[0] == b"PING":
            writer.write(b"+PONG\r\n")
            return
        if parts[0] not in (b"C.GET", b"C.SET"):
            writer.write(b"-ERR unknown\r\n")
            return
        await asyncio.sleep(self.work_s)
        writer.write(self.reply(parts))

    def reply(self, parts: list[bytes]) -> bytes:
        """The answer's bytes."""
        value = self.values.get(parts[1])
        if value is None or parts[0] == b"C.SET":
            self.missed[parts[2]] = parts[1]
            return b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
        return b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value)

    def entry(self, **changes: Any) -> Json:
        """Its entry in discovery's list."""
        return {**entry(self.uid, self.address), **changes}


class Origin(Listener):
    """The origin over HTTP/1.1; stores what it has answered at the caches that missed for the request."""

    def __init__(self, record: Record, caches: list[Cache], work_s: float = 0.02) -> None:
        super().__init__()
        self.record = record
        self.caches = caches
        self.work_s = work_s
        self.received: list[tuple[float, str, str, bytes]] = []  # when, method, key, id
        self.uid = "db"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers requests one after the other."""
        while (line := await reader.readline()).endswith(b"\r\n"):
            method, target, _ = line.decode().split()
            headers = {}
            while (header := (await reader.readline()).strip()) != b"":
                name, _, text = header.partition(b":")
                headers[name.strip().lower()] = text.strip()
            body = await reader.readexactly(int(headers.get(b"content-length", b"0")))
            request_id = headers.get(b"x-call-id", b"")
            self.received.append((time.monotonic(), method, target[1:], request_id))
            self.record.add(f"origin got {method} {target} id={request_id.decode()} bytes={len(body)}")
            await asyncio.sleep(self.work_s)
            if not await self.answer(method, target[1:].encode(), request_id, writer):
                return

    async def answer(self, method: str, key: bytes, request_id: bytes, writer: asyncio.StreamWriter) -> bool:
        """Answers with the value or a receipt; returns whether the connection stays open."""
        value = self.value(method, key)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(value), value))
        if method == "GET":
            self.store(key, request_id, value)
        return True

    def value(self, method: str, key: bytes) -> bytes:
        """What it answers for a key."""
        return b"value-of-" + key if method == "GET" else b"receipt-of-" + key

    def store(self, key: bytes, request_id: bytes, value: bytes) -> None:
        """Stores a value where the request has missed."""
        for cache in self.caches:
            if cache.missed.pop(request_id, None) is not None:
                cache.values[key] = value

    def entry(self, **changes: Any) -> Json:
        """Its entry in discovery's list."""
        return {**entry(self.uid, self.address, model="origin"), **changes}


class Discovery(Listener):
    """An agent on the router's machine, or the one service: whole lists, and watches."""

    def __init__(self, record: Record, entries: list[Json]) -> None:
        super().__init__()
        self.record = record
        self.entries = {str(one["uid"]): one for one in entries}
        self.rev = 10
        self.changed_at: dict[str, int] = {}
        self.news = asyncio.Condition()
        self.indent: int | None = None

    def whole(self) -> Json:
        """The whole list."""
        return {"rev": self.rev, "all": True, "targets": list(self.entries.values())}

    async def change(self, uid: str, **fields: Any) -> None:
        """Changes an entry, and tells it to those that watch."""
        async with self.news:
            self.rev += 1
            self.entries[uid] = {**self.entries[uid], **fields}
            self.changed_at[uid] = self.rev
            self.record.add(f"discovery has {uid} {fields} as rev {self.rev}")
            self.news.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers calls one after the other."""
        while (line := await reader.readline()).endswith(b"\r\n"):
            target = line.decode().split()[1]
            while (await reader.readline()).strip() != b"":
                pass
            _, _, query = target.partition("?")
            asked = dict(pair.split("=") for pair in query.split("&")) if query else {}
            if "from" in asked:
                after = int(asked["from"])
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(int(asked["hold_ms"]) / 1000), self.news:
                        await self.news.wait_for(lambda after=after: self.rev > after)  # type: ignore[misc]
                changed = [self.entries[uid] for uid, rev in self.changed_at.items() if rev > after]
                document = {"rev": max(self.rev, after), "all": False, "targets": changed}
            else:
                document = self.whole()
            body = self.body(document)
            count = len(document["targets"])  # type: ignore[arg-type]
            self.record.add(f"discovery answers {target} rev={document['rev']} entries={count}")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    def body(self, document: Json) -> bytes:
        """The bytes of an answer."""
        return json.dumps(document, indent=self.indent).encode()


def entry(uid: str, address: str, **changes: Any) -> Json:
    """An entry of the list in the platform's words."""
    fields: Json = {
        "uid": uid,
        "endpoint": address,
        "az": "a",
        "model": "std",
        "pod_group": 0,
        "state": "Ready",
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }
    return {**fields, **changes}


def settings(**ceilings: Any) -> Json:
    """Settings of a small deployment in the platform's words, with the given ceilings changed."""
    return {
        "azs": ["a", "b"],
        "hostTypes": ["std", "origin"],
        "balancers": 1,
        "me": 0,
        "ceilings": {
            "attemptsCap": 4,
            "cancel": True,
            "dialTimeout": SECOND // 4,
            "keepalive": 60 * SECOND,
            "mayDuplicate": False,
            "mostHeld": 20_000,
            "streamsPerConn": 100,
            **ceilings,
        },
        "classes": [
            {"name": "read", "aim": SECOND, "deadline": 2 * SECOND, "lateWorth": 0.3, "effect": "safe"},
            {
                "name": "put",
                "aim": SECOND,
                "deadline": 2 * SECOND,
                "lateWorth": 0.3,
                "effect": "keyed",
                "group": "all",
                "repeatWindow": 5 * SECOND,
            },
            {"name": "once", "aim": SECOND, "deadline": 2 * SECOND, "lateWorth": 0.3, "effect": "unsafe"},
        ],
        "tenants": [{"name": "acme", "fraction": 1.0, "quotaRps": 5000.0}],
        "registryMode": "pushed",
        "safety": {
            "answerSlack": SECOND // 50,
            "askWithin": 10 * SECOND,
            "coldFrom": 0.3,
            "fall": SECOND,
            "rampTime": 8 * SECOND,
            "stopSendingWithin": SECOND,
            "tipMultiple": 3.0,
        },
        "specifics": {"mode": "aside", "originKind": 1},
        "weights": "nominal",
        "worthBy": "request",
    }


class Router:
    """A router process, started by the line `run` of the deploy file."""

    def __init__(self, name: str, folder: Path, record: Record) -> None:
        self.name = name
        self.folder = folder
        self.record = record
        self.process: asyncio.subprocess.Process | None = None
        self.port = 0
        self.log = folder / f"{name}.log"

    async def start(
        self, config: Json, python: str = "", inherited: int | None = None, **environment: str
    ) -> None:
        """Starts the process, and waits until it listens.

        `python` replaces the interpreter of the deploy file; `inherited` is the clients' listening socket
        where the platform holds it, which the process gets as descriptor 5.
        """
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps({"name": self.name, **config}))
        temporary = self.folder / f"{self.name}.tmp"
        temporary.mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        if python:
            run = run.replace(".venv/bin/python", python)
        variables = {
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": config["listen"],
            "BALANCER_DISCOVERY": config["discovery"],
            "BALANCER_CONFIG": str(path),
            "TMPDIR": str(temporary),
            **environment,
        }
        if inherited is not None:
            variables["BALANCER_SOCKET_FD"] = str(INHERITED_FD)
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env={**kept, **variables},
                stdout=log,
                stderr=log,
                pass_fds=() if inherited is None else (INHERITED_FD,),
                preexec_fn=None if inherited is None else lambda: os.dup2(inherited, INHERITED_FD),
            )
        async with asyncio.timeout(START_LIMIT_S):
            while self.port == 0:
                if self.process.returncode is not None:
                    raise RuntimeError(f"{self.name} ended: {self.log.read_text()[-2000:]}")
                for line in self.log.read_text().splitlines():
                    if "listening on " in line:
                        self.port = int(line.rsplit(":", 1)[1])
                await asyncio.sleep(0.01)
        self.record.add(f"{self.name} listens, pid {self.process.pid}")

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.record.add(f"{self.name} gets signal {signal.Signals(number).name}")
        if self.process.returncode is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Ends the process, however it is."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)

    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None


class Client:
    """A client's connection."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> "Client":
        """Connects."""
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port, limit=8 << 20)
        return self

    def send(self, *parts: bytes) -> None:
        """Sends a command."""
        assert self.writer is not None
        self.writer.write(command(*parts))

    async def answer(self) -> Any:
        """The next answer; raises GoneError, or OSError."""
        assert self.reader is not None
        return await read_answer(self.reader)

    async def call(self, *parts: bytes) -> Any:
        """Sends a command, and gives its answer."""
        if self.writer is None:
            await self.open()
        self.send(*parts)
        return await self.answer()

    def close(self) -> None:
        """Leaves."""
        if self.writer is not None:
            self.writer.transport.abort()


class Fleet:
    """What a router has around it."""

    def __init__(self, caches: list[Cache], origin: Origin, discovery: Discovery, keys: list[bytes]) -> None:
        self.caches = caches
        self.origin = origin
        self.discovery = discovery
        self.keys = keys

    def config(self, **changes: Any) -> Json:
        """A router's configuration, with fields changed; it knows the list as discovery has it now."""
        return {
            "listen": f"{HOST}:0",
            "discovery": self.discovery.address,
            "seed": f"{next(SEEDS):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.discovery.whole(),
            "settings": settings(),
            **changes,
        }


async def admin_call(address: str, line: str) -> str:
    """The answer to a command at the operators' endpoint."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(line.encode() + b"\n")
    answer = (await reader.read()).decode().strip()
    writer.close()
    return answer


def free_address(kind: socket.SocketKind = socket.SOCK_STREAM) -> str:
    """A loopback address that is free now, for a program that has to be told its port."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return f"{HOST}:{probe.getsockname()[1]}"


async def wait_ready(router: Router) -> None:
    """Waits until the router says PONG."""
    async with asyncio.timeout(START_LIMIT_S):
        while True:
            client = Client(router.port)
            try:
                if await client.call(b"PING") == "+PONG":
                    return
            except (OSError, GoneError):
                pass
            finally:
                client.close()
            await asyncio.sleep(0.02)


class Case:
    """One run of a case: its record, its temporary folder, and what it has started."""

    def __init__(self) -> None:
        self.record = Record()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.routers: list[Router] = []
        self.listeners: list[Listener] = []
        self.breaks: list[str] = []

    def router(self, name: str) -> Router:
        """A router that is ended with the case."""
        router = Router(name, self.folder, self.record)
        self.routers.append(router)
        return router

    async def opened(self, *listeners: Listener) -> None:
        """Opens stand-ins, which are closed with the case."""
        for listener in listeners:
            await listener.open()
            self.listeners.append(listener)

    def broken(self, text: str) -> None:
        """Notes that the rule was broken."""
        self.breaks.append(text)
        self.record.add(f"BROKEN {text}")

    async def fleet(self, discovery_class: type["Discovery"] = Discovery, cache_count: int = 4) -> "Fleet":
        """Cache servers that all hold the same keys, the origin, and discovery, all of them open."""
        caches = [Cache(f"c{number}", self.record) for number in range(cache_count)]
        origin = Origin(self.record, caches)
        await self.opened(*caches, origin)
        keys = [b"key%04d" % number for number in range(KEY_COUNT)]
        for cache in caches:
            cache.values = {key: b"value-of-" + key for key in keys}
        discovery = discovery_class(self.record, [*(cache.entry() for cache in caches), origin.entry()])
        await self.opened(discovery)
        return Fleet(caches, origin, discovery, keys)

    async def close(self) -> None:
        """Ends all that was started."""
        for router in self.routers:
            router.end()
            if router.process is not None:
                await router.process.wait()
        for listener in self.listeners:
            listener.close()


async def _play(case: Case, play: Callable[[Case], Awaitable[None]]) -> int:
    try:
        async with asyncio.timeout(CASE_LIMIT_S):
            await play(case)
    except Exception:  # noqa: BLE001 - the outermost frame: whatever it was, the case could not run
        case.record.add("could not run\n" + traceback.format_exc())
        return NOT_RUN
    finally:
        await case.close()
    return BROKEN if case.breaks else HELD


def main(play: Callable[[Case], Awaitable[None]], folder: Path) -> None:
    """Plays a case, writes its record, and ends with its exit code."""

    async def run() -> tuple[Case, int]:
        case = Case()
        return case, await _play(case, play)

    case, code = asyncio.run(run())
    logs = [f"--- {router.name}\n{router.log.read_text()}" for router in case.routers if router.log.exists()]
    words = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}
    told = [*case.record.lines, *logs, *(f"BROKEN {text}" for text in case.breaks), words[code]]
    (folder / "record.txt").write_text("\n".join(told) + "\n")
    shutil.rmtree(case.folder, ignore_errors=True)
    for text in case.breaks[:10]:
        print(f"BROKEN {text}")
    print(f"{words[code]} ({len(case.breaks)} times)" if case.breaks else words[code])
    sys.exit(code)
