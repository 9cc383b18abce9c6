"""The socket of the datagrams between routers: out to all or to one, in from those that are configured.

It only carries them: what is published and believed is decided in `gossip_exchange.py`.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable, Sequence
from typing import cast

from rainhitch import interface as api
from rainhitch import system
from rainhitch.fleet.datagram import EVERYONE, Datagram, FleetError
from rainhitch.fleet.gossip_exchange import STEP_NS, DatagramError, GossipExchange, Json
from rainhitch.interface import Address
from rainhitch.telemetry.counts import Counts

NS_PER_S = 1_000_000_000

log = logging.getLogger("rainhitch")


class GossipTransport(asyncio.DatagramProtocol):
    """This router's socket.

    `peers` are the routers' addresses in the order of their numbers; `deliver` takes what is believed of
    servers and of traffic.
    """

    def __init__(
        self,
        exchange: GossipExchange,
        peers: Sequence[Address],
        broadcast_address: Address,
        deliver: Callable[[api.GossipReceived | api.TrafficFractions], None],
    ) -> None:
        self.exchange = exchange
        self.peers = peers
        self.broadcast_address = broadcast_address
        self.deliver = deliver
        self.router_numbers = {address: number for number, address in enumerate(peers)}
        self.transport: asyncio.DatagramTransport | None = None
        self.closed = False
        self.loop = asyncio.get_running_loop()
        self.now = system.of(self.loop).now
        self.counts = Counts()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins to send, once the socket is open."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        self._step()

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Reads a datagram and sends what is due for it.

        Guards the decisions against senders that are no peers and against what can't be read: these are
        counted as unread, no more.
        """
        sender = self.router_numbers.get((addr[0], addr[1]))
        try:
            if sender is None:
                raise DatagramError(f"from no peer: {addr[0]}:{addr[1]}")
            received = self.exchange.receive(self.now(), sender, data)
        except FleetError:
            self.counts.add("words", "unread")
            return
        self.counts.add("words", "heard")
        self._send(received.replies)
        if received.observations:
            self.deliver(api.GossipReceived(received.observations))

    def set_servers(self, names: list[str]) -> None:
        """Takes a changed list of servers."""
        self.exchange.set_servers(names)

    def error_received(self, exc: Exception) -> None:
        """Ignores that a peer which is down refuses a datagram."""

    def publish(self, observations: list[api.LatencyObservation]) -> None:
        """Publishes what the others have not published.

        To be called once an interval, also where nothing was observed.
        """
        data = self.exchange.encode_observations(self.now(), observations)
        if data:
            self._send([Datagram(EVERYONE, data)])

    def _step(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        now_ns = self.now()
        self._send(self.exchange.step(now_ns))
        fractions = self.exchange.traffic_fractions(now_ns)
        if fractions is not None:
            self.deliver(fractions)
        self.loop.call_later(STEP_NS / NS_PER_S, self._step)

    def _send(self, datagrams: Iterable[Datagram]) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        for receiver, payload in datagrams:
            self.counts.add("words", "told")
            self.counts.add("words", "bytes", len(payload))
            address = self.broadcast_address if receiver == EVERYONE else self.peers[receiver]
            self.transport.sendto(payload, address)

    def describe(self) -> Json:
        """Returns what this router believes of the others now; see `GossipExchange.describe`."""
        return self.exchange.describe(self.now())

    def close(self) -> None:
        """Closes the socket; nothing is sent or read from now on."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()


async def join(local_address: Address, transport: GossipTransport) -> bool:
    """Opens the socket; returns whether that was possible. Where it is not, the router goes on alone."""
    try:
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: transport, local_addr=local_address)
    except (OSError, NotImplementedError) as error:  # NotImplementedError: a simulated loop without datagrams
        host, port = local_address
        log.warning("gossip socket not opened address=%s:%d error=%s", host, port, error)
        return False
    return True
