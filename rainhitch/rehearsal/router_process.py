"""The routers of a day: real processes, started, killed, restarted and reloaded on cue, and watched."""

import asyncio
import contextlib
import ctypes
import os
import resource
import shlex
import shutil
import signal
import socket
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from rainhitch import system
from rainhitch.rehearsal.scenario import Scenario

Json = dict[str, Any]
READY_WITHIN = 30.0  # s from the start until it answers PING
ENDS_WITHIN = 5.7  # s after SIGTERM: the longest deadline, 5 s, and 0.7 s more
LAST_LINES = 5
PR_SET_PDEATHSIG = 1  # of prctl(2)
LIBC = ctypes.CDLL(None)  # loaded before any process is started
MILLI = 1_000_000


class RehearsalError(Exception):
    """The day can't be played as asked; one line says why."""


def parse_command(text: str) -> list[str]:
    """The words of a router's command; raises StageError for one that can't be started."""
    try:
        words = shlex.split(text)
    except ValueError as problem:
        raise RehearsalError(f"--router {text!r}: {problem}") from None
    words = words[1:] if words[:1] == ["exec"] else words
    if not words or shutil.which(words[0]) is None:
        raise RehearsalError(f"--router {text!r}: no such command")
    return words


def router_settings(scenario: Scenario, number: int) -> Json:
    """The settings that a router of this fleet is told, in the platform's form; durations in nanoseconds."""
    fleet, customers = scenario.fleet, scenario.customers
    kinds = [one.name for one in fleet.nodes]
    whole = sum(one.share for one in customers) or 1.0
    quota = scenario.traffic.quota_rps / whole
    return {
        "azs": fleet.rooms,
        "balancers": fleet.routers,
        "ceilings": {
            "attemptsCap": 5,
            "cancel": True,
            "dialTimeout": 250 * MILLI,
            "keepalive": int(fleet.keepalive_s * 1e9),
            "maxRetryAfter": int(scenario.clients.most_wait_ms * MILLI),
            "mayDuplicate": False,
            "mayTell": True,
            "mostHeld": 20000,
            "probing": True,
            "retryAfter": scenario.clients.told,
            "streamsPerConn": 100,
        },
        "classes": [
            {
                "name": one.name,
                "aim": int(one.aim_ms * MILLI),
                "deadline": int(one.deadline_ms * MILLI),
                "gain": one.worth,
                "lateWorth": one.late_worth,
                "effect": one.repeats,
                "group": "all",
                "repeatWindow": int(one.window_s * 1e9),
                "stream": False,
            }
            for one in scenario.classes
        ],
        "clients": {"marksRetry": True},
        "domainType": "cache",
        "hostTypes": [*kinds, "database"],
        "me": number,
        "myZone": fleet.rooms.index(scenario.router_room(number)),
        "overShareWorth": scenario.traffic.over_share_worth,
        "registryMode": "pushed",
        "report": {"names": [], "via": "off"},
        "safety": {
            "answerSlack": 20 * MILLI,
            "coldFrom": fleet.cold_from,
            "fall": int(fleet.tip_s * 1e9),
            "rampTime": int(fleet.warm_s * 1e9),
            "stopSendingWithin": 1000 * MILLI,
            "tipMultiple": fleet.tip_multiple,
        },
        "specifics": {"mode": "aside", "originKind": len(kinds), "originFallMultiple": 2.5},
        "tenants": [
            {"name": one.name, "fraction": one.share / whole, "quotaRps": one.share * quota}
            for one in customers
        ],
        "tick": 5 * MILLI,
        "weights": "nominal",
    }


def end_with_parent() -> None:
    """Run in a new process: it is killed when the one that started it ends, however that came about."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def hold_port() -> socket.socket:
    """A socket that holds a free port of the loopback address for whoever binds it by its number. Guards a
    process that is still to start: as long as this is open, the system gives that port to nobody else."""
    held = socket.socket()
    held.bind(("127.0.0.1", 0))
    # Set only now: two that had it set before could have been given the same port.
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return held


@dataclass(eq=False)
class RouterProcess:
    """One router's process, through its starts and ends; `events` tells them with monotonic ns."""

    number: int
    command: list[str]
    folder: Path
    config: Json
    memory_limit_bytes: int  # bytes
    max_sockets: int
    events: list[tuple[str, int]] = field(default_factory=list)
    process: asyncio.subprocess.Process | None = None
    last_command: str = ""  # what the stage did to it last: start, kill, term
    crash: Json | None = None
    peak_memory_bytes: int = 0  # bytes resident, at most
    operator_config: str = ""  # the operator's file, where the day needs one
    start_count: int = 0  # how often it was started

    def __post_init__(self) -> None:
        host, _, port = self.config["listen"].rpartition(":")
        self.address = host, int(port)
        self.log = self.folder / f"router-{self.number}.log"
        self.watching: asyncio.Task[None] | None = None
        self.ended = asyncio.Event()

    def _record_event(self, what: str) -> None:
        self.events.append((what, system.now()))

    def last_lines(self) -> list[str]:
        with contextlib.suppress(OSError):
            return self.log.read_text(errors="replace").splitlines()[-LAST_LINES:]
        return []

    def write_configuration(self) -> Path:
        """Writes its configuration."""
        path = self.folder / f"router-{self.number}.json"
        path.write_bytes(orjson.dumps(self.config))
        return path

    async def start(self) -> None:
        path = self.write_configuration()
        scratch = self.folder / f"router-{self.number}"
        scratch.mkdir(exist_ok=True)
        env = {
            **os.environ,
            "BALANCER_NAME": f"router-{self.number}",
            "BALANCER_LISTEN": self.config["listen"],
            "BALANCER_DISCOVERY": self.config["discovery"],
            "BALANCER_CONFIG": str(path),
            "TMPDIR": str(scratch),
        }
        if self.operator_config:
            path = self.folder / f"router-{self.number}.toml"
            path.write_text(self.operator_config)
            env["RAINHITCH_OPERATOR"] = str(path)
        self.last_command = "start"
        self.start_count += 1
        self.ended.clear()
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                preexec_fn=end_with_parent,
            )
        self._record_event("start")
        with contextlib.suppress(ProcessLookupError):
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (self.max_sockets, self.max_sockets))
        self.watching = asyncio.get_running_loop().create_task(self._watch(self.process))

    async def ready(self) -> bool:
        """Waits until it answers PING; False: it ended, or took too long."""
        try:
            async with asyncio.timeout(READY_WITHIN):
                while not self.ended.is_set():
                    if await self._pong():
                        self._record_event("ready")
                        return True
                    await asyncio.sleep(0.02)
        except TimeoutError:
            pass
        return False

    async def _pong(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                answer = await reader.readline()
                writer.close()
                return answer == b"+PONG\r\n"
        except (OSError, TimeoutError):
            return False

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        """Notes its end, and ends it where it takes more memory than it may."""
        waiting = asyncio.ensure_future(process.wait())
        while not waiting.done():
            await asyncio.wait([waiting], timeout=0.2)
            held = resident_memory(process.pid)
            self.peak_memory_bytes = max(self.peak_memory_bytes, held)
            if held > self.memory_limit_bytes and not waiting.done():
                self._record_crash(
                    f"killed over its memory: {held >> 20} MB of {self.memory_limit_bytes >> 20}"
                )
                self._send_signal(signal.SIGKILL)
        self._record_event("ended")
        self.ended.set()
        code = process.returncode
        if self.last_command == "start" or (self.last_command == "term" and code != 0):
            self._record_crash(
                f"ended with {code}" if self.last_command == "start" else f"ended with {code} after SIGTERM"
            )

    def _record_crash(self, why: str) -> None:
        if self.crash is None:
            self.crash = {
                "router": self.number,
                "at": system.now(),
                "why": why,
                "log": self.last_lines(),
            }

    def _send_signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                # Not by the process object, which would take the exit code from who waits for it.
                if number is signal.SIGKILL:
                    os.killpg(self.process.pid, number)
                else:
                    os.kill(self.process.pid, number)

    async def kill(self) -> None:
        """As a machine that dies: no warning."""
        if not self.ended.is_set():
            self.last_command = "kill"
            self._record_event("kill")
            self._send_signal(signal.SIGKILL)
            await self.ended.wait()

    async def stop(self) -> None:
        """SIGTERM, and SIGKILL for one that does not end in time: that is a finding."""
        if not self.start_count or self.ended.is_set():
            return
        self.last_command = "term"
        self._record_event("term")
        self._send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(ENDS_WITHIN):
                await self.ended.wait()
        except TimeoutError:
            self._record_crash(f"did not end within {ENDS_WITHIN} s after SIGTERM")
            self.last_command = "kill"
            self._record_event("late kill")
            self._send_signal(signal.SIGKILL)
            await self.ended.wait()

    def reload(self) -> None:
        self._record_event("reload")
        self._send_signal(signal.SIGHUP)

    def pause(self, stopped: bool) -> None:
        """Stops the process as it stands, or lets it go on."""
        self._record_event("pause" if stopped else "wake")
        self._send_signal(signal.SIGSTOP if stopped else signal.SIGCONT)

    def end_now(self) -> None:
        """When the stage itself ends: whatever runs is ended."""
        self.last_command = "kill"
        self._send_signal(signal.SIGKILL)


def resident_memory(pid: int) -> int:
    """Bytes that a process holds in memory; 0 for one that is gone."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * resource.getpagesize()
    except (OSError, IndexError, ValueError):
        return 0
