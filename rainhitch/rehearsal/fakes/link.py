"""The network link from one router to one fake: a listener of its own, and the faults on what crosses it.

A cut link behaves as a cut network does: nothing is reset, what is on the way stays there, and new
connections never come up, since the listener's queue is kept full. What a router sends into a cut is timed
when it comes off its socket.
"""

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import cast

from rainhitch import system
from rainhitch.rehearsal.fakes.listener import listen

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # the value of SO_LINGER with which a close resets
NEVER_NS = 0  # as a time: it has not happened


class Link:
    """What connects one router with one fake: its connections, and the faults on them.

    Each fault is one value, and is not counted: where two that overlap cut the link, the first
    `set_silent(False)` heals it.

    Attributes:
        delay_s: how long data takes, each way, in seconds.
        silent: the link is cut; see `set_silent`.
        up: the process at its end runs; see `set_up`.
        connections: those that are open, in the order in which they came.
    """

    def __init__(self, router: int, make: "Callable[[Link], LinkConnection]") -> None:
        self.router = router
        self.loop = asyncio.get_running_loop()
        self.delay_s = 0.0
        self.silent = False
        self.up = True
        self.connections: dict[LinkConnection, None] = {}
        self.listener = listen(lambda: make(self))

    @property
    def endpoint(self) -> str:
        """The address that the router connects to, as HOST:PORT."""
        host, port = self.listener.address
        return f"{host}:{port}"

    def _set_listener(self) -> None:
        if self.silent:
            self.listener.hang()
        elif self.up:
            self.listener.open()
        else:
            self.listener.refuse()

    def set_silent(self, silent: bool) -> None:
        """Cuts the link, or heals it: then what was held on the way arrives, if its sender still waits."""
        self.silent = silent
        self._set_listener()
        if not silent:
            for connection in list(self.connections):
                connection.deliver_held()

    def set_up(self, up: bool) -> None:
        """The process at the end dies, which resets its connections, or is back."""
        self.up = up
        if not up:
            self.reset()
        self._set_listener()

    def set_delay(self, delay_s: float) -> None:
        """Makes data take this long each way; 0 for no delay."""
        self.delay_s = delay_s

    def reset(self) -> None:
        """Resets all connections."""
        for connection in list(self.connections):
            connection.reset()

    def close(self) -> None:
        """Resets all connections and gives the address back."""
        self.reset()
        self.listener.close()


class LinkConnection(asyncio.Protocol):
    """One connection of a router, at the fake's end. Subclasses read in `received` and write with `send`.

    Attributes:
        closed_at_ns: when the router closed (monotonic), whether or not that came through; 0: it has not.
    """

    def __init__(self, link: Link) -> None:
        self.link = link
        self.transport: asyncio.Transport | None = None
        self._held_in: list[tuple[bytes, int]] = []  # data and when the router sent it; delayed, or in a cut
        self._held_out: list[bytes] = []  # written into a cut
        self.closed_at_ns = NEVER_NS

    def received(self, data: bytes, sent_at_ns: int) -> None:
        """Data came through that the router sent at `sent_at_ns` (monotonic)."""
        raise NotImplementedError

    def ended(self) -> None:
        """The router's close came through, or the connection was reset."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up; it is reset at once where the process at the link's end does not run."""
        self.transport = cast(asyncio.Transport, transport)
        self.link.connections[self] = None
        if not self.link.up:
            self.reset()

    def data_received(self, data: bytes) -> None:
        """The router's data leaves its socket: it is passed on, delayed, or held by a cut."""
        now_ns = system.now()
        if self.link.silent:
            self._held_in.append((data, now_ns))
        elif self.link.delay_s or self._held_in:
            self._held_in.append((data, now_ns))
            self.link.loop.call_later(self.link.delay_s, self._deliver_next)
        else:
            self.received(data, now_ns)

    def _deliver_next(self) -> None:
        if self._held_in and not self.link.silent and not self.closed_at_ns:
            self.received(*self._held_in.pop(0))

    def deliver_held(self) -> None:
        """The cut is healed: what it held goes on, in its order."""
        while self._held_in and not self.closed_at_ns:
            self.received(*self._held_in.pop(0))
        for data in self._held_out:
            self._write(data)
        self._held_out = []

    def send(self, data: bytes) -> None:
        """Writes to the router through the link: at once, delayed, or once a cut is healed."""
        if self.link.silent:
            self._held_out.append(data)
        elif self.link.delay_s:
            self.link.loop.call_later(self.link.delay_s, self._write, data)
        else:
            self._write(data)

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        """Closes the connection in order."""
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Resets the connection."""
        if self.transport is not None:
            raw = self.transport.get_extra_info("socket")
            if raw is not None:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.transport.abort()

    def _note_close(self) -> None:
        if not self.closed_at_ns:
            self.closed_at_ns = system.now()

    def eof_received(self) -> bool:
        """The router has closed its side."""
        self._note_close()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone."""
        self._note_close()
        self.transport = None
        self.link.connections.pop(self, None)
        self.ended()
