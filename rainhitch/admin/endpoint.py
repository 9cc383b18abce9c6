"""Wires the second address to a router, and keeps in step with the other process of an upgrade."""

import asyncio
import os
from collections.abc import Callable

from rainhitch import system
from rainhitch.admin.router_control import RouterControl
from rainhitch.admin.server import AdminServer
from rainhitch.admin.upgrade_peers import UpgradePeers
from rainhitch.node.client_connections import ClientConnections
from rainhitch.node.endpoint_directory import EndpointDirectory
from rainhitch.node.request_driver import RequestDriver

LOOK = 0.1  # s between looks at what the other process has left in the folder


class AdminEndpoint:
    """The second address of a router. `share` is told how many processes the router's limits are cut between,
    `beside` is called now and then while there is another; `identity` is the same for both of them."""

    def __init__(
        self,
        driver: RequestDriver,
        clients: ClientConnections,
        directory: EndpointDirectory,
        identity: str,
        share: Callable[[int], None],
        beside: Callable[[int], None],
    ) -> None:
        folder = os.environ.get("TMPDIR") or None
        self.control = RouterControl(driver, clients, directory, folder, identity)
        self.upgrade_peers = UpgradePeers(folder, identity)
        self.server = AdminServer(self.control)
        self.divide_limits, self.upgrade_peer_seen = share, beside
        self.count = 1
        self.closed = False

    async def open(self, host: str, port: int) -> tuple[str, int]:
        """Begins to listen, with the cordons as they stand; gives the address. Raises OSError."""
        self.upgrade_peers.enter()
        self._look()
        return await self.server.open(host, port)

    def _look(self) -> None:
        if self.closed:
            return
        self.control.cordons.look()
        count = self.upgrade_peers.look()
        if count > 1:
            self.upgrade_peer_seen(system.now())
        if count != self.count:
            self.count = count
            self.divide_limits(count)
        asyncio.get_running_loop().call_later(LOOK, self._look)

    def stop(self) -> None:
        """The router was told to stop: it is not ready any more."""
        self.control.stopping = True

    def close(self) -> None:
        self.closed = True
        self.server.close()
        self.upgrade_peers.leave()
