"""The operators' endpoint put together, in step with the other process of an upgrade."""

import asyncio
import os
from collections.abc import Callable

from rainhitch import system
from rainhitch.admin.router_control import Json, RouterControl
from rainhitch.admin.server import AdminServer
from rainhitch.admin.shared_ids import SharedIds
from rainhitch.admin.upgrade_peers import UpgradePeers
from rainhitch.interface import Address
from rainhitch.node.client_connections import ClientConnections
from rainhitch.node.endpoint_directory import EndpointDirectory
from rainhitch.node.request_driver import RequestDriver

FOLDER_CHECK_INTERVAL_S = 0.1  # between looks at what the other process has left in the folder


class AdminEndpoint:
    """The operators' endpoint of a router.

    `identity` is the same for both processes of an upgrade, which share the folder TMPDIR. `divide_limits`
    is called with the number of processes when that changes; `upgrade_peer_seen` with the time, in
    nanoseconds, at each check that finds another. `describe_peers` gives what is known of the other routers;
    None: there is no gossip.
    """

    def __init__(
        self,
        driver: RequestDriver,
        clients: ClientConnections,
        directory: EndpointDirectory,
        identity: str,
        *,
        divide_limits: Callable[[int], None],
        upgrade_peer_seen: Callable[[int], None],
        describe_peers: Callable[[], Json] | None = None,
    ) -> None:
        folder = os.environ.get("TMPDIR") or None
        self.control = RouterControl(
            driver, clients, directory, folder, identity, describe_peers=describe_peers
        )
        self.upgrade_peers = UpgradePeers(folder, identity)
        self.shared_ids = SharedIds(folder, identity, driver.executed_ids)
        self.server = AdminServer(self.control)
        self.divide_limits = divide_limits
        self.upgrade_peer_seen = upgrade_peer_seen
        self.process_count = 1
        self.closed = False

    async def open(self, host: str, port: int) -> Address:
        """Begins to listen, with the cordons as they stand; returns the address. Raises OSError."""
        self.shared_ids.publish()
        self.upgrade_peers.register()
        self._check_folder()
        self.shared_ids.remove_files_except(self.upgrade_peers.others)
        return await self.server.open(host, port)

    def _check_folder(self) -> None:
        if self.closed:
            return
        self.control.cordons.reload()
        process_count = self.upgrade_peers.recount()
        self.shared_ids.read_from(self.upgrade_peers.others, system.now())
        if process_count > 1:
            self.upgrade_peer_seen(system.now())
        if process_count != self.process_count:
            self.process_count = process_count
            self.divide_limits(process_count)
        asyncio.get_running_loop().call_later(FOLDER_CHECK_INTERVAL_S, self._check_folder)

    def stop(self) -> None:
        """The router has begun to stop: it is not ready any more."""
        self.control.stopping = True

    def close(self) -> None:
        """Ends the endpoint, and the traces of this process in the folder."""
        self.closed = True
        self.server.close()
        self.upgrade_peers.unregister()
        self.shared_ids.withdraw()
