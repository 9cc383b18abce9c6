"""The routers of a run: real processes, started, killed, restarted, reloaded, paused and watched."""

import asyncio
import contextlib
import ctypes
import os
import resource
import shlex
import shutil
import signal
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import Any

import orjson

from rainhitch import system
from rainhitch.rehearsal.errors import RehearsalError
from rainhitch.rehearsal.router_events import RouterEventKind

Json = dict[str, Any]
READY_WITHIN_S = 30.0  # from the start until it answers PING
READY_POLL_S = 0.02
PING_WITHIN_S = 1.0
ENDS_WITHIN_S = 5.7  # after SIGTERM: the longest deadline, 5 s, and 0.7 s more
MEMORY_POLL_S = 0.2
BYTES_PER_MB_SHIFT = 20
LAST_LINES = 5
PR_SET_PDEATHSIG = 1  # of prctl(2)
LIBC = ctypes.CDLL(None)  # loaded before any process is started
PING = b"*1\r\n$4\r\nPING\r\n"
PONG = b"+PONG\r\n"


class LastCommand(StrEnum):
    """What the environment did to a router's process last."""

    NONE = ""
    START = "start"
    TERM = "term"
    KILL = "kill"


def parse_command(text: str) -> list[str]:
    """The words of a router's command.

    Raises:
        RehearsalError: it can't be parsed, or there is no such command.
    """
    try:
        words = shlex.split(text)
    except ValueError as problem:
        raise RehearsalError(f"--router {text!r}: {problem}") from None
    if words[:1] == ["exec"]:
        words = words[1:]
    if not words or shutil.which(words[0]) is None:
        raise RehearsalError(f"--router {text!r}: no such command")
    return words


def end_with_parent() -> None:
    """Run in a new process: it is killed when the one that started it ends, however that came about."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass(eq=False)
class RouterProcess:
    """One router's process, through its starts and ends; `events` has them with monotonic ns."""

    number: int
    command: list[str]
    folder: Path
    config: Json
    memory_limit_bytes: int
    max_sockets: int
    events: list[tuple[str, int]] = field(default_factory=list)
    process: asyncio.subprocess.Process | None = None
    last_command: LastCommand = LastCommand.NONE
    crash: Json | None = None  # a row of the records: router, at (monotonic ns), why, log
    peak_memory_bytes: int = 0  # resident
    operator_config: str = ""  # the text of the operator's file; "" for none
    start_count: int = 0

    def __post_init__(self) -> None:
        """Derives addresses and paths from the configuration."""
        host, _, port = self.config["listen"].rpartition(":")
        self.address = (host, int(port))
        self.log = self.folder / f"router-{self.number}.log"
        self.watching: asyncio.Task[None] | None = None
        self.ended = asyncio.Event()

    def _record_event(self, kind: str) -> None:
        """Records an event of the process, a RouterEventKind, at this instant."""
        self.events.append((str(kind), system.now()))

    def last_lines(self) -> list[str]:
        """The last lines of its log."""
        with contextlib.suppress(OSError):
            return self.log.read_text(errors="replace").splitlines()[-LAST_LINES:]
        return []

    def write_configuration(self) -> Path:
        """Writes its configuration; gives the file."""
        path = self.folder / f"router-{self.number}.json"
        path.write_bytes(orjson.dumps(self.config))
        return path

    def _environment_variables(self) -> dict[str, str]:
        """The process's environment variables; writes the files that they name."""
        scratch = self.folder / f"router-{self.number}"
        scratch.mkdir(exist_ok=True)
        variables = {
            **os.environ,
            "BALANCER_NAME": f"router-{self.number}",
            "BALANCER_LISTEN": self.config["listen"],
            "BALANCER_DISCOVERY": self.config["discovery"],
            "BALANCER_CONFIG": str(self.write_configuration()),
            "TMPDIR": str(scratch),
        }
        if self.operator_config:
            path = self.folder / f"router-{self.number}.toml"
            path.write_text(self.operator_config)
            variables["RAINHITCH_OPERATOR"] = str(path)
        return variables

    async def start(self) -> None:
        """Starts the process, with its limit of descriptors, and watches it."""
        variables = self._environment_variables()
        self.last_command = LastCommand.START
        self.start_count += 1
        self.ended.clear()
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command,
                env=variables,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                preexec_fn=end_with_parent,
            )
        self._record_event(RouterEventKind.START)
        with contextlib.suppress(ProcessLookupError):
            limits = (self.max_sockets, self.max_sockets)
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, limits)
        self.watching = asyncio.get_running_loop().create_task(self._watch(self.process))

    async def wait_until_ready(self) -> bool:
        """Waits until it answers PING; False: it ended, or took too long."""
        try:
            async with asyncio.timeout(READY_WITHIN_S):
                while not self.ended.is_set():
                    if await self._answers_ping():
                        self._record_event(RouterEventKind.READY)
                        return True
                    await asyncio.sleep(READY_POLL_S)
        except TimeoutError:
            pass
        return False

    async def _answers_ping(self) -> bool:
        """Whether it answers PING on a new connection."""
        try:
            async with asyncio.timeout(PING_WITHIN_S):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(PING)
                answer = await reader.readline()
                writer.close()
                return answer == PONG
        except (OSError, TimeoutError):
            return False

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        """Records its end, and ends it where it takes more memory than it may."""
        end = asyncio.ensure_future(process.wait())
        while not end.done():
            await asyncio.wait([end], timeout=MEMORY_POLL_S)
            resident_bytes = resident_memory(process.pid)
            self.peak_memory_bytes = max(self.peak_memory_bytes, resident_bytes)
            if resident_bytes > self.memory_limit_bytes and not end.done():
                resident_mb = resident_bytes >> BYTES_PER_MB_SHIFT
                limit_mb = self.memory_limit_bytes >> BYTES_PER_MB_SHIFT
                self._record_crash(f"killed over its memory: {resident_mb} MB of {limit_mb}")
                self._send_signal(signal.SIGKILL)
        self._record_event(RouterEventKind.ENDED)
        self.ended.set()
        code = process.returncode
        if self.last_command is LastCommand.START:
            self._record_crash(f"ended with {code}")
        elif self.last_command is LastCommand.TERM and code != 0:
            self._record_crash(f"ended with {code} after SIGTERM")

    def _record_crash(self, why: str) -> None:
        """Records that it ended as it should not have; the first such record stays."""
        if self.crash is None:
            self.crash = {
                "router": self.number,
                "at": system.now(),
                "why": why,
                "log": self.last_lines(),
            }

    def _send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, where it runs; SIGKILL to all that it has started too."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                # Not by the process object, which would take the exit code from who waits for it.
                if number is signal.SIGKILL:
                    os.killpg(self.process.pid, number)
                else:
                    os.kill(self.process.pid, number)

    async def kill(self) -> None:
        """Ends it as a machine that dies does: without warning."""
        if not self.ended.is_set():
            self.last_command = LastCommand.KILL
            self._record_event(RouterEventKind.KILL)
            self._send_signal(signal.SIGKILL)
            await self.ended.wait()

    async def stop(self) -> None:
        """SIGTERM, and SIGKILL for one that does not end in time, which is recorded as a crash."""
        if self.start_count == 0 or self.ended.is_set():
            return
        self.last_command = LastCommand.TERM
        self._record_event(RouterEventKind.TERM)
        self._send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(ENDS_WITHIN_S):
                await self.ended.wait()
        except TimeoutError:
            self._record_crash(f"did not end within {ENDS_WITHIN_S} s after SIGTERM")
            self.last_command = LastCommand.KILL
            self._record_event(RouterEventKind.LATE_KILL)
            self._send_signal(signal.SIGKILL)
            await self.ended.wait()

    def reload(self) -> None:
        """Has it read its configuration again."""
        self._record_event(RouterEventKind.RELOAD)
        self._send_signal(signal.SIGHUP)

    def pause(self) -> None:
        """Stops the process as it stands."""
        self._record_event(RouterEventKind.PAUSE)
        self._send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets a paused process go on."""
        self._record_event(RouterEventKind.RESUME)
        self._send_signal(signal.SIGCONT)

    def end_now(self) -> None:
        """Kills it where it runs; for the end of the environment itself."""
        self.last_command = LastCommand.KILL
        self._send_signal(signal.SIGKILL)


def resident_memory(pid: int) -> int:
    """Bytes that a process holds in memory; 0 for one that is gone."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, IndexError, ValueError):
        return 0
    return pages * resource.getpagesize()
