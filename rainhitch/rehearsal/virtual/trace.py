"""Every callback of a run in virtual time, a line each, and where two such traces differ first.

    rainhitch-trace 1 lunch 1 <digest of the plan>
    <ns since the start> <process> <what is called> <its arguments>

Bytes are shown by length and CRC-32. Two runs of the same scenario by the same code give the same file; of
two that differ, the first line that does is where to look.
"""

import asyncio
from pathlib import Path
from typing import Any, TextIO
from zlib import crc32

from rainhitch.errors import RainhitchError
from rainhitch.rehearsal.virtual.connection_socket import VirtualSocket
from rainhitch.rehearsal.virtual.listener import VirtualListeningSocket
from rainhitch.rehearsal.virtual.process import CURRENT_PROCESS, START_NS
from rainhitch.rehearsal.virtual.transport import VirtualTransport

VERSION = 1
MAGIC = "rainhitch-trace"
ENVIRONMENT = "world"  # in the place of a process: a callback of the kit's own


class TraceError(RainhitchError, ValueError):
    """A file that can't be compared; one line says why."""


def format_value(value: Any) -> str:
    """A value as one word that is the same in each run."""
    if isinstance(value, VirtualTransport):
        value = value.socket
    if isinstance(value, bytes | bytearray):
        return f"{len(value)}:{crc32(value):08x}"
    if isinstance(value, VirtualSocket):
        return f"{value.address[1]}-{value.peer_address[1]}"
    if isinstance(value, VirtualListeningSocket):
        return f"door-{value.address[1]}"
    if value is None or isinstance(value, str | int | float):
        return repr(value)
    return type(value).__name__


def format_callback(handle: asyncio.Handle) -> str:
    """What is called: a method by its qualified name and its object, a task by its coroutine's name."""
    callback: Any = handle._callback  # type: ignore[attr-defined]
    bound_to = getattr(callback, "__self__", None)
    if isinstance(bound_to, asyncio.Task):
        return f"task {getattr(bound_to.get_coro(), '__qualname__', '?')}"
    name = getattr(callback, "__qualname__", type(callback).__name__)
    return f"{name} {format_value(bound_to)}" if bound_to is not None else str(name)


class TraceWriter:
    """Writes a run's callbacks to a file; called by the loop before each (`VirtualLoop.observer`)."""

    def __init__(self, file: TextIO, name: str, seed: int, digest: str) -> None:
        self.file = file
        file.write(f"{MAGIC} {VERSION} {name} {seed} {digest}\n")

    def __call__(self, clock_ns: int, handle: asyncio.Handle) -> None:
        """Writes the line of one callback."""
        process = handle._context.get(CURRENT_PROCESS)  # type: ignore[attr-defined]
        arguments = " ".join(format_value(argument) for argument in handle._args)
        name = ENVIRONMENT if process is None else process.name
        self.file.write(f"{clock_ns - START_NS} {name} {format_callback(handle)} {arguments}\n")


def first_difference(one: Path, other: Path) -> tuple[int, str, str] | None:
    """The number of the first line in which two traces differ, and both lines; None for equal traces.

    A line is "" where its trace has ended. Raises TraceError.
    """
    with _open_trace(one) as left_file, _open_trace(other) as right_file:
        number = 0
        while True:
            number += 1
            left = left_file.readline()
            right = right_file.readline()
            if left != right:
                return number, left.rstrip("\n"), right.rstrip("\n")
            if not left:
                return None


def _open_trace(path: Path) -> TextIO:
    try:
        file = path.open(encoding="utf-8", errors="replace")
    except OSError as problem:
        raise TraceError(f"{path}: {problem.strerror}") from None
    head = file.readline().split()
    file.seek(0)
    if head[:1] != [MAGIC]:
        file.close()
        raise TraceError(f"{path}: not a trace")
    if head[1:2] != [str(VERSION)]:
        file.close()
        raise TraceError(f"{path}: a trace of version {' '.join(head[1:2])}; this is version {VERSION}")
    return file
