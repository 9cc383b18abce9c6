"""A router with all its modules, and the gossip socket of another router."""

import socket
from collections.abc import Iterator
from functools import partial
from typing import Any

import pytest
from peers import entry, info, wait_until
from program import listing

from rainhitch import interface as api
from rainhitch.fleet.gossip_codec import decode, encode, names_by_hash
from rainhitch.node.configuration import ConfigurationError, parse_configuration
from rainhitch.node.router import Router
from rainhitch.policy.server import Server


def configuration(peer: socket.socket, **changes: Any) -> dict[str, Any]:
    """Returns a router's configuration with `peer` as its first peer and with `changes` to its fields."""
    host, port = peer.getsockname()
    address = f"{host}:{port}"
    return {
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "settings": info(mayTell=True),
        "known": listing(1, entry("c0", "127.0.0.1:1")),
        "peer_listen": "127.0.0.1:0",
        "peers": [address, "127.0.0.1:2"],
        "peers_all": address,
        **changes,
    }


@pytest.fixture
def peer() -> Iterator[socket.socket]:
    """Socket of another router."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer_socket:
        peer_socket.bind(("127.0.0.1", 0))
        peer_socket.settimeout(20)
        yield peer_socket


def is_slower(server: Server, before: float) -> bool:
    """Returns whether a server's average latency has risen above `before`."""
    return server.latency.average_ns > before


async def test_a_router_uses_gossip_on_listed_servers_and_publishes_its_own(
    peer: socket.socket,
) -> None:
    service = Router(parse_configuration(configuration(peer), "test"))
    await service.start()
    try:
        assert service.gossip is not None and service.gossip.transport is not None
        here = service.gossip.transport.get_extra_info("sockname")
        service.directory.apply(listing(2, entry("c1", "127.0.0.1:1"), whole=False))
        service.publish_gossip([api.LatencyObservation("c0", 900_000_000)])
        (observation,) = decode(peer.recv(512), names_by_hash(["c0"]))
        assert observation.server == "c0" and observation.elapsed_ns == pytest.approx(900_000_000, rel=0.06)
        for name in ("c0", "c1"):
            server = service.balancer.servers.servers[name]
            before = server.latency.average_ns
            peer.sendto(encode([api.LatencyObservation(name, 8_000_000_000)]), here)
            await wait_until(partial(is_slower, server, before))
        assert service.configuration.settings.gossip_interval_ns > 0
    finally:
        service.watch.stop()
        service.clients.close()
        if service.gossip is not None:
            service.gossip.close()


@pytest.mark.parametrize(
    "changes",
    [
        {"settings": info()},
        {"settings": info(mayTell=False)},
        {"peer_listen": None},
        {"peers_all": ""},
        {"peers": ["127.0.0.1:2"]},
    ],
)
def test_without_other_routers_or_permission_there_are_no_peers(peer: socket.socket, changes: Any) -> None:
    assert parse_configuration(configuration(peer), "test").peers is not None
    assert parse_configuration(configuration(peer, **changes), "test").peers is None


@pytest.mark.parametrize("peers", [None, "127.0.0.1:2", ["nowhere", "127.0.0.1:2"]])
def test_malformed_peers_are_a_configuration_error(peer: socket.socket, peers: Any) -> None:
    with pytest.raises(ConfigurationError, match="test: "):
        parse_configuration(configuration(peer, peers=peers), "test")
