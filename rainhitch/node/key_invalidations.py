"""Gathers servers' notices of invalidated keys, so that the decisions get them once a turn of the loop."""

import asyncio
from collections.abc import Callable

from rainhitch.interface import KeysInvalidated


class KeyInvalidations:
    """The notices of one turn of the event loop, reported once for each server in them.

    Guards answers against a flood of such notices.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self._report: Callable[[KeysInvalidated], None] = lambda event: None
        self._keys: dict[str, list[str] | None] = {}  # by server; None: all of its keys

    def report_to(self, report: Callable[[KeysInvalidated], None]) -> None:
        """Has the notices reported from now on; to one place."""
        self._report = report

    def add(self, server: str, keys: list[bytes] | None) -> None:
        """A server holds these keys no more; None: it holds none at all."""
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
