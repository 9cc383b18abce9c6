"""The socket between routers: it accepts datagrams from peers only, and a router without it keeps running."""

import asyncio
import socket
from typing import Any

from gossip import near
from support import MILLI, SECOND

from rainhitch import interface as api
from rainhitch.fleet.gossip_codec import decode, encode, names_by_hash
from rainhitch.fleet.gossip_exchange import GossipExchange
from rainhitch.fleet.gossip_transport import GossipTransport, join
from rainhitch.fleet.options import FleetOptions


async def test_datagrams_of_peers_are_read_and_no_others() -> None:
    heard: asyncio.Queue[Any] = asyncio.Queue()
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as friend,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger,
    ):
        friend.bind(("127.0.0.1", 0))
        stranger.bind(("127.0.0.1", 0))
        friend.settimeout(20)
        names = ["s-1"]
        exchange = GossipExchange(0, 2, 1, 1, 0, seed=7, options=FleetOptions(counts=False))
        peers = GossipTransport(
            exchange, [("127.0.0.1", 9), friend.getsockname()], friend.getsockname(), heard.put_nowait
        )
        peers.set_servers(names)
        assert await join(("127.0.0.1", 0), peers)
        assert peers.transport is not None
        here = peers.transport.get_extra_info("sockname")
        word = encode([api.LatencyObservation("s-1", 40 * MILLI), api.LatencyObservation("s-2", 40 * MILLI)])
        stranger.sendto(word, here)
        friend.sendto(b"noise", here)
        friend.sendto(word, here)
        assert near(
            (await asyncio.wait_for(heard.get(), 20)).observations,
            [api.LatencyObservation("s-1", 40 * MILLI)],
        )
        names.append("s-2")
        peers.set_servers(names)
        friend.sendto(word, here)
        assert len((await asyncio.wait_for(heard.get(), 20)).observations) == 2, "both servers are listed now"
        assert peers.counts.counters["words"]["unread"] == 2 and heard.empty()
        for elapsed in (8 * SECOND, SECOND):  # the first is left out: the peer has just published s-1
            peers.publish([api.LatencyObservation("s-1", elapsed)])
        assert near(decode(friend.recv(512), names_by_hash(names)), [api.LatencyObservation("s-1", SECOND)])
        peers.close()


async def test_a_router_whose_gossip_port_is_taken_runs_without_gossip() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind(("127.0.0.1", 0))
        peers = GossipTransport(
            GossipExchange(0, 1, 1, 1, 0, seed=7, options=FleetOptions()),
            [],
            ("127.0.0.1", 9),
            lambda _: None,
        )
        assert not await join(taken.getsockname(), peers)
        peers.publish([api.LatencyObservation("s-1", SECOND)])
