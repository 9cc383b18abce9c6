"""The socket between routers: it accepts datagrams from peers only, and a router without it keeps running."""

import asyncio
import socket
from typing import Any

from gossip import near
from support import MILLI, SECOND

from rainhitch import interface as api
from rainhitch.fleet.gossip_codec import decode, encode, names_by_hash
from rainhitch.fleet.gossip_exchange import GossipExchange
from rainhitch.fleet.gossip_transport import GossipTransport, open_gossip_socket
from rainhitch.fleet.options import FleetOptions


async def test_datagrams_of_peers_are_read_and_no_others() -> None:
    received: asyncio.Queue[Any] = asyncio.Queue()
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as outsider,
    ):
        peer.bind(("127.0.0.1", 0))
        outsider.bind(("127.0.0.1", 0))
        peer.settimeout(20)
        names = ["s-1"]
        exchange = GossipExchange(0, 2, 1, 1, 0, seed=7, options=FleetOptions(counts=False))
        gossip = GossipTransport(
            exchange, [("127.0.0.1", 9), peer.getsockname()], peer.getsockname(), received.put_nowait
        )
        gossip.set_servers(names)
        assert await open_gossip_socket(("127.0.0.1", 0), gossip)
        assert gossip.transport is not None
        here = gossip.transport.get_extra_info("sockname")
        datagram = encode(
            [api.LatencyObservation("s-1", 40 * MILLI), api.LatencyObservation("s-2", 40 * MILLI)]
        )
        outsider.sendto(datagram, here)
        peer.sendto(b"noise", here)
        peer.sendto(datagram, here)
        assert near(
            (await asyncio.wait_for(received.get(), 20)).observations,
            [api.LatencyObservation("s-1", 40 * MILLI)],
        )
        names.append("s-2")
        gossip.set_servers(names)
        peer.sendto(datagram, here)
        assert len((await asyncio.wait_for(received.get(), 20)).observations) == 2, "both servers are listed"
        assert gossip.counts.counters["words"]["unread"] == 2 and received.empty()
        for elapsed in (8 * SECOND, SECOND):  # the first is left out: the peer has just published s-1
            gossip.publish([api.LatencyObservation("s-1", elapsed)])
        assert near(decode(peer.recv(512), names_by_hash(names)), [api.LatencyObservation("s-1", SECOND)])
        gossip.close()


async def test_a_router_whose_gossip_port_is_taken_runs_without_gossip() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind(("127.0.0.1", 0))
        gossip = GossipTransport(
            GossipExchange(0, 1, 1, 1, 0, seed=7, options=FleetOptions()),
            [],
            ("127.0.0.1", 9),
            lambda _: None,
        )
        assert not await open_gossip_socket(taken.getsockname(), gossip)
        gossip.publish([api.LatencyObservation("s-1", SECOND)])
