"""The datagrams between routers: out to all of them, in from those that the configuration names."""

import asyncio
import logging
from collections.abc import Callable, Collection, Iterable
from typing import cast

from rainhitch import interface as api
from rainhitch.fleet.advice import AdviceError, decode, encode, hashes
from rainhitch.node.pool import Endpoint

log = logging.getLogger("rainhitch")


class Peers(asyncio.DatagramProtocol):
    """This router's end. `names` gives the listed servers and `tell` takes what was heard of them."""

    def __init__(
        self,
        peers: Iterable[Endpoint],
        everyone: Endpoint,
        names: Callable[[], Collection[str]],
        tell: Callable[[api.Heard], None],
    ) -> None:
        self.peers, self.everyone = frozenset(peers), everyone
        self.names, self.tell = names, tell
        self.transport: asyncio.DatagramTransport | None = None
        self.known: dict[int, str] = {}
        self.unread = 0  # datagrams that could not be read, or came from no peer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Guards the decisions against who is no peer and against what can't be read: counted, no more."""
        if (addr[0], addr[1]) not in self.peers:
            self.unread += 1
            return
        names = self.names()
        if len(names) != len(self.known) or any(name not in names for name in self.known.values()):
            self.known = hashes(names)
        try:
            seen = decode(data, self.known)
        except AdviceError:
            self.unread += 1
            return
        if seen:
            self.tell(api.Heard(seen))

    def error_received(self, exc: Exception) -> None:
        """A peer that is down refuses a datagram: that is nothing to this one."""

    def send(self, seen: list[api.Seen]) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(encode(seen), self.everyone)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


async def join(told: Endpoint, peers: Peers) -> bool:
    """Listens for the others; where that can't be, the router goes on alone."""
    try:
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: peers, local_addr=told)
    except (OSError, NotImplementedError) as problem:  # a simulated loop may carry no datagrams
        log.warning("no word with other routers: %s", problem)
        return False
    return True
