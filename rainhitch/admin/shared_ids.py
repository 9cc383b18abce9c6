"""Shares the executed ids of a router's processes during an upgrade, by a file of each in their folder.

A process maps its own file to write, and the files of the others to read. Where the folder can't be written,
its ids stay its own. The file of a process that was killed is removed by the next one that finds it.
"""

import contextlib
import logging
import mmap
import os

from rainhitch.node.executed_ids import REMEMBERED_NS, TABLE_BYTES, ExecutedIds, as_words

log = logging.getLogger("rainhitch")


class SharedIds:
    """The files of one router, by its `identity`; without a `folder` there are none."""

    def __init__(self, folder: str | None, identity: str, executed_ids: ExecutedIds) -> None:
        self.folder = folder
        self.prefix = f"rainhitch-{identity}.ids."
        self.executed_ids = executed_ids
        self.tables: dict[int, memoryview] = {}  # of the other processes, by process id
        self.ended_at: dict[int, int] = {}  # time at which one of them was found to have ended, in ns

    def _path(self, process: int) -> str:
        assert self.folder is not None
        return os.path.join(self.folder, f"{self.prefix}{process}")

    def publish(self) -> None:
        """Makes this process's ids readable for the others."""
        if self.folder is None:
            return
        try:
            with open(self._path(os.getpid()), "w+b") as file:
                os.posix_fallocate(file.fileno(), 0, TABLE_BYTES)
                table = mmap.mmap(file.fileno(), TABLE_BYTES)
        except OSError as problem:
            log.warning("executed ids not shared problem=%s", problem)
            return
        self.executed_ids.move_to(as_words(memoryview(table)))

    def read_from(self, processes: set[int], now: int) -> None:
        """Reads the ids of these other processes, and still those of processes that have ended lately."""
        for process in processes & self.ended_at.keys():
            del self.ended_at[process]  # its number belongs to a new process
            del self.tables[process]
        for process in processes - self.tables.keys():
            self._map(process)
        for process in self.tables.keys() - processes:
            self.ended_at.setdefault(process, now)
        for process, ended_at in list(self.ended_at.items()):
            if now - ended_at >= REMEMBERED_NS:
                del self.tables[process]
                del self.ended_at[process]
        self.executed_ids.other_tables = list(self.tables.values())

    def _map(self, process: int) -> None:
        """Maps a process's file, if it has published one."""
        if self.folder is None:
            return
        with contextlib.suppress(OSError, ValueError), open(self._path(process), "rb") as file:
            mapped = mmap.mmap(file.fileno(), TABLE_BYTES, access=mmap.ACCESS_READ)
            self.tables[process] = as_words(memoryview(mapped))

    def remove_files_except(self, processes: set[int]) -> None:
        """Removes the files of processes that run no more; those of this one and of `processes` stay."""
        if self.folder is None:
            return
        kept = {f"{self.prefix}{process}" for process in (os.getpid(), *processes)}
        with contextlib.suppress(OSError):
            for name in os.listdir(self.folder):
                if name.startswith(self.prefix) and name not in kept:
                    os.unlink(os.path.join(self.folder, name))

    def withdraw(self) -> None:
        """Removes this process's file."""
        if self.folder is not None:
            with contextlib.suppress(OSError):
                os.unlink(self._path(os.getpid()))
