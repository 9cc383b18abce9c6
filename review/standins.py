"""Stand-ins for the platform, discovery, cache servers, the origin and clients of the cases in this folder.

They are written from the operators' pages and share no code with the router. Only loopback is used.
"""

import asyncio
import contextlib
import json
import os
import resource
import selectors
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
MS = 1_000_000
SECOND = 1_000_000_000
READY_WITHIN_S = 30.0
PLAY_LIMIT_S = 105.0
ENDED = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)  # of a connection, or of the play
ROOMS = ["neihu", "banqiao", "taoyuan"]
TENANTS = ["nangang-chip", "xinzhu-textile", "taichung-tools"]


def trouble() -> bool:
    """Returns whether the disruption of the case is to happen: TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class CouldNotRunError(Exception):
    """The case could not be played, so that it shows nothing."""


class Record:
    """What was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self.began

    def line(self, text: str) -> None:
        """Writes one line."""
        self.file.write(f"{self.now():9.4f} {text}\n")

    def say(self, text: str) -> None:
        """Writes one line, and prints it."""
        self.line(text)
        print(text, flush=True)

    def close(self) -> None:
        """Ends the record."""
        self.file.close()


def request_class(name: str, aim_ms: int, deadline_ms: int, effect: str = "safe") -> dict[str, Any]:
    """Returns the settings of a class."""
    return {
        "name": name,
        "aim": aim_ms * MS,
        "deadline": deadline_ms * MS,
        "effect": effect,
        "group": "all",
        "repeatWindow": 5 * SECOND,
        "gain": 1.0,
        "lateWorth": 0.25,
        "stream": False,
    }


CLASSES = [
    request_class("menu-read", 1200, 5000),
    request_class("slot-read", 1000, 2000),
    request_class("order-list", 1500, 5000),
    request_class("order-place", 750, 2500, "keyed"),
]


def settings(routers: int = 1, me: int = 0, **changes: Any) -> dict[str, Any]:
    """Returns the settings of one router of a small deployment."""
    ceilings = {
        "attemptsCap": 5,
        "cancel": True,
        "dialTimeout": 250 * MS,
        "keepalive": 60 * SECOND,
        "maxRetryAfter": 2 * SECOND,
        "mayDuplicate": False,
        "mayTell": True,
        "mostHeld": 20_000,
        "probing": True,
        "retryAfter": False,
        "streamsPerConn": 1,
    }
    safety = {
        "answerSlack": 20 * MS,
        "askWithin": 10 * SECOND,
        "coldFrom": 0.3,
        "fall": SECOND,
        "rampTime": 8700 * MS,
        "stopSendingWithin": SECOND,
        "tipMultiple": 3.0,
    }
    return {
        "azs": ROOMS,
        "balancers": routers,
        "ceilings": ceilings,
        "classes": CLASSES,
        "clients": {"marksRetry": True},
        "domainType": "cache",
        "hostTypes": ["full-node", "small-node", "origin"],
        "me": me,
        "myZone": me % len(ROOMS),
        "overShareWorth": 0.05,
        "registryMode": "pushed",
        "report": {"names": [], "via": "off"},
        "safety": safety,
        "specifics": {"mode": "aside", "originKind": 2, "originFallMultiple": 2.5},
        "tenants": [{"name": name, "fraction": 0.33, "quotaRps": 2000.0} for name in TENANTS],
        "tick": 5 * MS,
        "weights": "nominal",
        **changes,
    }


def target(
    uid: str, port: int, model: str = "full-node", room: int = 0, state: str = "Ready"
) -> dict[str, Any]:
    """Returns an entry of discovery's list."""
    return {
        "uid": uid,
        "endpoint": f"{HOST}:{port}",
        "az": ROOMS[room % len(ROOMS)],
        "model": model,
        "pod_group": 0,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }


def allow_descriptors(wanted: int) -> None:
    """Lets this process hold so many descriptors, or as many as it may."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Returns a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


# Discovery: an agent on the router's machine.


class Discovery:
    """Answers calls for the whole list, and watches after their hold; the list does not change."""

    def __init__(self, targets: list[dict[str, Any]]) -> None:
        self.targets = targets
        self.rev = 41
        self.port = 0

    async def start(self) -> None:
        """Begins to listen."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*ENDED):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ", 2)[1].decode()
                document: dict[str, Any] = {"rev": self.rev, "all": True, "targets": self.targets}
                if "hold_ms=" in path:
                    await asyncio.sleep(int(path.rpartition("hold_ms=")[2]) / 1000)
                    document = {"rev": self.rev, "all": False, "targets": []}
                body = json.dumps(document).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        writer.close()


# What cache servers and clients speak.


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Reads one command, an array of bulk strings."""
    count = int((await reader.readuntil(b"\r\n"))[1:-2])
    parts = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:-2])
        parts.append((await reader.readexactly(size + 2))[:-2])
    return parts


def command(*parts: bytes) -> bytes:
    """Returns the bytes of a command."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


def info_fields(info: bytes) -> dict[str, str]:
    """Returns the list of names and values that a request carries."""
    return dict(pair.split("=", 1) for pair in info.decode().split(","))


def value_reply(value: bytes, how: bytes = b"hit") -> bytes:
    """Returns a cache server's answer with a value."""
    return b"*3\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$-1\r\n" % (len(value), value, len(how), how)


MISS_REPLY = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"


async def read_answer(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Reads a router's answer; gives `served`, `refused` or `failed`, and what came.

    Raises:
        asyncio.IncompleteReadError: The connection ended within the answer or before it.
    """
    line = await reader.readuntil(b"\r\n")
    if line[:1] == b"$" and line != b"$-1\r\n":
        body = await reader.readexactly(int(line[1:-2]) + 2)
        return "served", body[:-2]
    if line.startswith(b"-BUSY"):
        return "refused", line[:-2]
    return "failed", line[:-2]


# The origin.


class Origin:
    """Answers each call after `work_s`; `body` gives the body to a key, an id and whether it is a write."""

    def __init__(self, record: Record, work_s: float = 0.05) -> None:
        self.record = record
        self.work_s = work_s
        self.port = 0
        self.ran: list[tuple[float, str, str, str]] = []
        self.stored: Callable[[str, bytes], None] = lambda key, body: None

    async def start(self) -> None:
        """Begins to listen."""
        server = await asyncio.start_server(self._serve, HOST, 0, backlog=1024, limit=1 << 20)
        self.port = server.sockets[0].getsockname()[1]

    def body(self, method: str, key: str, call: str) -> bytes:
        """Returns the value or the receipt made for a call."""
        return f"{method} {key} {call}".encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*ENDED):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                method, path, _ = lines[0].split(" ")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (one.partition(":") for one in lines[1:])
                }
                if "content-length" in headers:
                    await reader.readexactly(int(headers["content-length"]))
                call = headers.get("x-call-id", "")
                self.ran.append((time.monotonic(), method, path[1:], call))
                self.record.line(f"origin runs {method} {path} {call}")
                await asyncio.sleep(self.work_s)
                body = self.body(method, path[1:], call)
                if method == "GET":
                    self.stored(path[1:], body)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        writer.close()


# The platform.


def deploy_line(name: str) -> str:
    """Returns a command of the deploy file."""
    line: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())[name]
    return line


class Router:
    """One router process, started by the command `run` of the deploy file."""

    def __init__(self, folder: Path, name: str, document: dict[str, Any]) -> None:
        self.folder = folder
        self.name = name
        self.document = document
        self.environment: dict[str, str] = {}
        self.inherited: socket.socket | None = None
        self.process: subprocess.Popen[bytes] | None = None
        self.log = folder / f"{name}.log"

    @property
    def port(self) -> int:
        """The port at which clients connect."""
        return int(self.document["listen"].rpartition(":")[2])

    def start(self) -> None:
        """Starts the process."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.document))
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            **os.environ,
            "BALANCER_NAME": self.document["name"],
            "BALANCER_LISTEN": self.document["listen"],
            "BALANCER_DISCOVERY": self.document["discovery"],
            "BALANCER_CONFIG": str(path),
            "TMPDIR": str(temporary),
            **self.environment,
        }
        passed: tuple[int, ...] = ()
        if self.inherited is not None:
            passed = (self.inherited.fileno(),)
            environment["BALANCER_SOCKET_FD"] = str(self.inherited.fileno())
        sockets = self.document["limits"]["sockets"]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy_line("run")],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=passed,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
            )

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def ready(self) -> None:
        """Waits until `PING` is answered `+PONG`."""
        until = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < until:
            if self.process is not None and self.process.poll() is not None:
                raise CouldNotRunError(f"{self.name} ended with {self.process.returncode}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(command(b"PING"))
                line = await reader.readline()
                writer.close()
                if line == b"+PONG\r\n":
                    return
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"{self.name} was not ready in time")

    def memory_mb(self) -> float:
        """Returns the largest resident size so far."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def end(self) -> None:
        """Ends the process, whatever it does."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def router_document(
    name: str, discovery: int, targets: list[dict[str, Any]], *, memory_mb: int, sockets: int, **changes: Any
) -> dict[str, Any]:
    """Returns a router's configuration."""
    return {
        "name": name,
        "listen": f"{HOST}:{free_port()}",
        "discovery": f"{HOST}:{discovery}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": {"rev": 41, "all": True, "targets": targets},
        "settings": settings(),
        **changes,
    }


def precise_loop() -> asyncio.AbstractEventLoop:
    """Returns a loop whose timers are exact to less than a millisecond, as epoll's are not."""
    return asyncio.SelectorEventLoop(selectors.SelectSelector())


Play = Callable[[Record, Path, list[Router]], Coroutine[Any, Any, int]]


async def _played(play: Play, record: Record, folder: Path, routers: list[Router]) -> int:
    try:
        return await asyncio.wait_for(play(record, folder, routers), PLAY_LIMIT_S)
    except CouldNotRunError as problem:
        record.say(f"could not run: {problem}")
        return 2
    except Exception:  # noqa: BLE001 - the outermost frame: a fault of the case shows nothing of the router
        record.say(f"could not run: {traceback.format_exc()}")
        return 2
    finally:
        for router in routers:
            router.end()


def main(play: Play, folder: Path, make_loop: Callable[[], asyncio.AbstractEventLoop] = precise_loop) -> int:
    """Plays a case and returns its exit code; `play` adds each router that it starts to its list."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(folder / "record.txt")
    routers: list[Router] = []
    record.say("with the disruption" if trouble() else "without the disruption")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            with asyncio.Runner(loop_factory=make_loop) as runner:
                runner.get_loop().set_exception_handler(lambda loop, context: None)
                code = runner.run(_played(play, record, Path(temporary), routers))
            for router in routers:
                for line in router.log.read_text().splitlines():
                    if " second {" not in line and " bad {" not in line:
                        record.line(f"log of {router.name}: {line}")
        record.say(f"exit code {code}")
        return code
    finally:
        record.close()
