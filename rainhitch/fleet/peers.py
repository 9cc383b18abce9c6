"""The datagrams between routers: out to all of them, in from those that the configuration names."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import cast

from rainhitch import interface as api
from rainhitch.fleet.advice import AdviceError, decode, encode, hashes
from rainhitch.fleet.words import Words
from rainhitch.node.pool import Endpoint
from rainhitch.telemetry.counts import Counts

log = logging.getLogger("rainhitch")


class Peers(asyncio.DatagramProtocol):
    """This router's end. `tell` takes what was heard of the listed servers."""

    def __init__(
        self,
        peers: Iterable[Endpoint],
        everyone: Endpoint,
        tell: Callable[[api.Heard], None],
    ) -> None:
        self.peers, self.everyone = frozenset(peers), everyone
        self.tell = tell
        self.transport: asyncio.DatagramTransport | None = None
        self.known: dict[int, str] = {}  # the listed servers, by the hash that stands for them
        self.words = Words()
        self.counts = Counts()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Guards the decisions against who is no peer and against what can't be read: counted, no more."""
        try:
            if (addr[0], addr[1]) not in self.peers:
                raise AdviceError("from no peer")
            seen = decode(data, self.known)
        except AdviceError:
            self.counts.add("words", "unread")
            return
        self.counts.add("words", "heard")
        if seen:
            self.words.heard(seen)
            self.tell(api.Heard(seen))

    def listed(self, names: Iterable[str]) -> None:
        """The list has changed."""
        self.known = hashes(names)

    def error_received(self, exc: Exception) -> None:
        """A peer that is down refuses a datagram: that is nothing to this one."""

    def send(self, seen: list[api.Seen]) -> None:
        """Tells what the others have not told; called once a period, whether or not anything was seen."""
        news = self.words.worth(seen)
        if news and self.transport is not None and not self.transport.is_closing():
            data = encode(news)
            self.counts.add("words", "told")
            self.counts.add("words", "bytes", len(data))
            self.transport.sendto(data, self.everyone)

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
