"""The cache servers that operators have cordoned, and the file that holds them.

A cordon holds until an operator removes it: over each endpoint list that comes, over the server's restart,
and over an upgrade of the router, whose two processes share a folder. So the set is a file there, replaced
whole, and each process reads it again when it has changed.
"""

import contextlib
import logging
import os
from collections.abc import Callable
from dataclasses import dataclass

import orjson

from rainhitch.admin.errors import CordonError

MAX_CORDONED = 4096  # servers
Changed = Callable[[set[str], set[str]], None]
log = logging.getLogger("rainhitch")


@dataclass(frozen=True, slots=True)
class _FileVersion:
    """What changes whenever the file is replaced."""

    modified_ns: int
    inode: int


def encode_cordons(servers: set[str]) -> bytes:
    """The file's bytes for a set of servers."""
    return orjson.dumps({"cordoned": sorted(servers)})


def decode_cordons(text: bytes) -> set[str]:
    """The servers that the file's bytes name; raises CordonError, or JSONDecodeError for what is no JSON."""
    document = orjson.loads(text)
    names = document.get("cordoned") if isinstance(document, dict) else None
    if not isinstance(names, list) or not all(isinstance(one, str) for one in names):
        raise CordonError("not a list of cordoned servers")
    if len(names) > MAX_CORDONED:
        raise CordonError(f"more than {MAX_CORDONED} cordoned servers: {len(names)}")
    return set(names)


class Cordons:
    """The cordoned servers, and their file in `folder`, which is named by the router's `identity`.

    Without a folder they are kept in memory only. `changed(cordoned, uncordoned)` is called with what
    changed.
    """

    def __init__(self, folder: str | None, identity: str, changed: Changed) -> None:
        self.path = None if folder is None else os.path.join(folder, f"rainhitch-{identity}.cordons")
        self.changed = changed
        self.servers: set[str] = set()
        self._version: _FileVersion | None = None  # of the file when it was last read

    def reload(self) -> None:
        """Takes over what another process has written; a file that can't be read changes nothing."""
        if self.path is None:
            return
        try:
            state = os.stat(self.path)
        except OSError:
            return
        version = _FileVersion(state.st_mtime_ns, state.st_ino)
        if version == self._version:
            return
        self._version = version
        try:
            with open(self.path, "rb") as file:
                self._replace(decode_cordons(file.read()))
        except (OSError, ValueError) as problem:
            log.warning("cordon file ignored path=%s reason=%s", self.path, problem)

    def cordon(self, server: str) -> None:
        """Cordons a server; raises OSError for a file that can't be written, CordonError for one too many."""
        self.reload()
        self._store(self.servers | {server})

    def uncordon(self, server: str) -> None:
        """Removes a cordon; raises OSError where the file can't be written."""
        self.reload()
        self._store(self.servers - {server})

    def _store(self, servers: set[str]) -> None:
        """Writes the set before it takes effect, so that what an operator has seen confirmed is on disk."""
        if len(servers) > MAX_CORDONED:
            raise CordonError(f"{MAX_CORDONED} servers are cordoned already")
        if servers != self.servers and self.path is not None:
            self._write(self.path, servers)
        self._replace(servers)

    def _write(self, path: str, servers: set[str]) -> None:
        temporary = f"{path}.{os.getpid()}"
        try:
            with open(temporary, "wb") as file:
                file.write(encode_cordons(servers))
            os.replace(temporary, path)
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(temporary)
            raise

    def _replace(self, servers: set[str]) -> None:
        cordoned = servers - self.servers
        uncordoned = self.servers - servers
        self.servers = servers
        if cordoned or uncordoned:
            self.changed(cordoned, uncordoned)
