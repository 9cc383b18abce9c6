"""UDP socket for datagrams among routers: broadcast or to one router, received from configured peers only.

The content of the datagrams is decided in `gossip_exchange.py`.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable, Sequence
from typing import cast

from rainhitch import interface as api
from rainhitch import system
from rainhitch.fleet.datagram import ALL_ROUTERS, Datagram, FleetError
from rainhitch.fleet.gossip_exchange import STEP_NS, DatagramError, GossipExchange, Json
from rainhitch.interface import Address
from rainhitch.telemetry.counts import Counts

NS_PER_S = 1_000_000_000

log = logging.getLogger("rainhitch")


class GossipTransport(asyncio.DatagramProtocol):
    """Socket of this router for datagrams among routers.

    `peers` are the routers' addresses in the order of their numbers. `deliver` is called with observations of
    servers and with traffic fractions.
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
        """Starts sending when the socket is open."""
        self.transport = cast(asyncio.DatagramTransport, transport)
        self._step()

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handles a datagram and sends the answers to it.

        A datagram that is from no peer or that cannot be read is counted as unread and dropped, so that it
        does not affect the decisions.
        """
        sender = self.router_numbers.get((addr[0], addr[1]))
        try:
            if sender is None:
                raise DatagramError(f"expected a datagram from a peer, got one from {addr[0]}:{addr[1]}")
            received = self.exchange.receive(self.now(), sender, data)
        except FleetError:
            self.counts.add("words", "unread")
            return
        self.counts.add("words", "heard")
        self._send(received.replies)
        if received.observations:
            self.deliver(api.GossipReceived(received.observations))

    def set_servers(self, names: list[str]) -> None:
        """Replaces the list of servers."""
        self.exchange.set_servers(names)

    def error_received(self, exc: Exception) -> None:
        """Ignores errors, which are reported for datagrams to a peer that is down."""

    def publish(self, observations: list[api.LatencyObservation]) -> None:
        """Publishes the observations of servers that no other router has published.

        Must be called once per interval, even without observations.
        """
        data = self.exchange.encode_observations(self.now(), observations)
        if data:
            self._send([Datagram(ALL_ROUTERS, data)])

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
            address = self.broadcast_address if receiver == ALL_ROUTERS else self.peers[receiver]
            self.transport.sendto(payload, address)

    def describe(self) -> Json:
        """Returns this router's current view of the fleet; see `GossipExchange.describe`."""
        return self.exchange.describe(self.now())

    def close(self) -> None:
        """Closes the socket; nothing is sent or received after this."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()


async def open_gossip_socket(local_address: Address, transport: GossipTransport) -> bool:
    """Opens the socket and returns whether this succeeded; if it failed, the router runs without gossip."""
    try:
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: transport, local_addr=local_address)
    except (OSError, NotImplementedError) as error:  # the latter on a simulated loop without datagrams
        host, port = local_address
        log.warning("gossip socket not opened address=%s:%d error=%s", host, port, error)
        return False
    return True
