"""Batches the key invalidations received from servers: decisions handle them once per event loop turn."""

import asyncio
from collections.abc import Callable

from rainhitch.interface import KeysInvalidated


class KeyInvalidations:
    """The key invalidations of one event loop turn, reported once for each server.

    Batching keeps a burst of invalidations from delaying responses.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self._report: Callable[[KeysInvalidated], None] = lambda event: None
        self._keys: dict[str, list[str] | None] = {}  # by server; None: all keys of the server

    def report_to(self, report: Callable[[KeysInvalidated], None]) -> None:
        """Sets the one function that is called with each server's invalidations."""
        self._report = report

    def add(self, server: str, keys: list[bytes] | None) -> None:
        """Adds the keys that a server has invalidated; None: all of its keys."""
        if not self._keys:
            self.loop.call_soon(self._report_all)
        if keys is None:
            self._keys[server] = None
            return
        known = self._keys.setdefault(server, [])
        if known is not None:
            known += [key.decode("latin-1") for key in keys]

    def _report_all(self) -> None:
        gathered = self._keys
        self._keys = {}
        for server, keys in gathered.items():
            self._report(KeysInvalidated(server, keys))
