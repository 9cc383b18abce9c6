"""The datagrams between routers: out to all of them or to one, in from those that the configuration names. A
host: what is told and believed is decided in exchange.py.
"""

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import cast

from rainhitch import interface as api
from rainhitch import system
from rainhitch.fleet.gossip_exchange import EVERYONE, STEP, DatagramError, Datagrams, GossipExchange, Json
from rainhitch.interface import Address
from rainhitch.telemetry.counts import Counts

log = logging.getLogger("rainhitch")


class GossipTransport(asyncio.DatagramProtocol):
    """This router's end. `peers` in the order of the routers' numbers; `tell` takes what is believed."""

    def __init__(
        self,
        exchange: GossipExchange,
        peers: Sequence[Address],
        everyone: Address,
        tell: Callable[[api.GossipReceived | api.TrafficFractions], None],
    ) -> None:
        self.exchange, self.peers, self.broadcast_address, self.deliver = exchange, peers, everyone, tell
        self.numbers = {one: number for number, one in enumerate(peers)}
        self.transport: asyncio.DatagramTransport | None = None
        self.closed = False
        self.loop = asyncio.get_running_loop()
        self.now = system.of(self.loop).now
        self.counts = Counts()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)
        self._step()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Guards the decisions against who is no peer and against what can't be read: counted, no more."""
        sender = self.numbers.get((addr[0], addr[1]))
        try:
            if sender is None:
                raise DatagramError("from no peer")
            heard = self.exchange.receive(self.now(), sender, data)
        except DatagramError:
            self.counts.add("words", "unread")
            return
        self.counts.add("words", "heard")
        self._send(heard.replies)
        if heard.observations:
            self.deliver(api.GossipReceived(heard.observations))

    def set_servers(self, names: list[str]) -> None:
        """The list has changed."""
        self.exchange.set_servers(names)

    def error_received(self, exc: Exception) -> None:
        """A peer that is down refuses a datagram: that is nothing to this one."""

    def publish(self, seen: list[api.LatencyObservation]) -> None:
        """Tells what the others have not told; called once a period, whether or not anything was seen."""
        data = self.exchange.encode_observations(self.now(), seen)
        if data:
            self._send([(EVERYONE, data)])

    def _step(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        now = self.now()
        self._send(self.exchange.step(now))
        part = self.exchange.traffic_fractions(now)
        if part is not None:
            self.deliver(part)
        self.loop.call_later(STEP / 1e9, self._step)

    def _send(self, sent: Datagrams) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        for to, data in sent:
            self.counts.add("words", "told")
            self.counts.add("words", "bytes", len(data))
            self.transport.sendto(data, self.broadcast_address if to == EVERYONE else self.peers[to])

    def describe(self) -> Json:
        """What this router believes of the others now."""
        return self.exchange.describe(self.now())

    def close(self) -> None:
        self.closed = True
        if self.transport is not None:
            self.transport.abort()


async def join(told: Address, peers: GossipTransport) -> bool:
    """Listens for the others; where that can't be, the router goes on alone."""
    try:
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: peers, local_addr=told)
    except (OSError, NotImplementedError) as problem:  # a simulated loop may carry no datagrams
        log.warning("no word with other routers: %s", problem)
        return False
    return True
