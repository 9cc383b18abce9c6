"""The process of one part of the fakes: clients, nodes, or the shared services."""

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path
from typing import Any

from rainhitch.rehearsal.errors import RehearsalError
from rainhitch.rehearsal.fakes.worker_messages import from_line, to_line

Json = dict[str, Any]
READY_WITHIN_S = 60.0
MAX_LINE_BYTES = 1 << 24


class WorkerProcess:
    """One part of the fakes in its process. Messages go both ways, a line of JSON each, over its pipes."""

    def __init__(self, role: str, folder: Path) -> None:
        self.role = role  # with a number behind a colon, where there are several
        self.folder = folder
        self.process: asyncio.subprocess.Process | None = None

    @property
    def name(self) -> str:
        """Its role, as files are named after it."""
        return self.role.replace(":", "-")

    @property
    def log_path(self) -> Path:
        """The file that has what it writes to stderr."""
        return self.folder / f"{self.name}.log"

    async def start(self) -> None:
        """Starts the process, in a process group of its own."""
        command = [sys.executable, "-m", "rainhitch.rehearsal.fakes", self.role, str(self.folder)]
        with self.log_path.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                limit=MAX_LINE_BYTES,
                start_new_session=True,
            )

    def send(self, message: Json) -> None:
        """Sends it a message."""
        assert self.process is not None and self.process.stdin is not None
        self.process.stdin.write(to_line(message))

    async def receive(self, key: str, within: float = READY_WITHIN_S) -> Any:
        """Waits for the next message with this key, for so many seconds, and gives the value.

        Raises:
            RehearsalError: none came, or the process has ended.
        """
        assert self.process is not None and self.process.stdout is not None
        try:
            async with asyncio.timeout(within):
                while line := await self.process.stdout.readline():
                    message = from_line(line)
                    if key in message:
                        return message[key]
        except TimeoutError:
            pass
        log_lines = self.log_path.read_text(errors="replace").strip().splitlines()
        raise RehearsalError(f"the stand-in {self.role} failed: {log_lines[-1] if log_lines else 'no word'}")

    async def end(self) -> None:
        """Kills it, with what it has started, and waits for its end."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self.process.pid, signal.SIGKILL)
            await self.process.wait()
