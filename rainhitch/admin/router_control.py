"""What the operators' commands do to this router."""

from collections.abc import Callable
from typing import Any

import orjson

from rainhitch.admin.cordons import Cordons
from rainhitch.admin.errors import CommandRejectedError
from rainhitch.interface import EndpointState
from rainhitch.node.client_connections import ClientConnections
from rainhitch.node.endpoint_directory import EndpointDirectory
from rainhitch.node.request_driver import RequestDriver

Json = dict[str, Any]


class RouterControl:
    """The commands of `AdminCommands` on a running router.

    `folder` is shared with the other process of an upgrade, which has the same `identity`. `describe_peers`
    gives what is known of the other routers; None: there is no gossip.
    """

    def __init__(
        self,
        driver: RequestDriver,
        clients: ClientConnections,
        directory: EndpointDirectory,
        folder: str | None,
        identity: str,
        *,
        describe_peers: Callable[[], Json] | None = None,
    ) -> None:
        self.driver = driver
        self.clients = clients
        self.directory = directory
        self.cordons = Cordons(folder, identity, directory.cordon)
        self.stopping = False
        self.describe_peers = describe_peers

    def routers(self) -> str:
        """What gossip tells of the other routers, as JSON; rejected where there is no gossip."""
        if self.describe_peers is None:
            raise CommandRejectedError("no word with other routers")
        return orjson.dumps(self.describe_peers()).decode()

    def health(self) -> str:
        """`ready`; rejected while the router stops, drains its clients, or has no cache server."""
        if self.stopping:
            raise CommandRejectedError("told to stop")
        if self.clients.draining:
            raise CommandRejectedError("clients are sent away")
        if not self.directory.can_serve:
            raise CommandRejectedError("no ready cache server on the list")
        return "ready"

    def metrics(self) -> list[str]:
        """The router's metrics in statsd's form."""
        listed = {name for name in self.directory.targets if self.directory.is_cache(name)}
        draining = {
            name for name in listed if self.directory.targets[name].listed_state is not EndpointState.READY
        }
        ejected = self.driver.balancer.servers.ejected_servers() - draining
        avoided = (ejected | self.cordons.servers) & listed
        return self.driver.metrics.lines(self.driver.pools.attempts_written, len(listed), len(avoided))

    def cordon(self, server: str) -> str:
        """Sends a cache server no more requests, whatever the list says."""
        self._check_known(server)
        try:
            self.cordons.cordon(server)
        except (OSError, ValueError) as problem:
            raise CommandRejectedError(f"not done: {problem}") from None
        return f"{len(self.cordons.servers)} out"

    def uncordon(self, server: str) -> str:
        """Uses a cache server again."""
        self._check_known(server)
        try:
            self.cordons.uncordon(server)
        except (OSError, ValueError) as problem:
            raise CommandRejectedError(f"not done: {problem}") from None
        return f"{len(self.cordons.servers)} out"

    def _check_known(self, server: str) -> None:
        """Rejects an id that is neither listed nor cordoned: a cordoned server may be off the list."""
        self.cordons.reload()
        if not self.directory.is_cache(server) and server not in self.cordons.servers:
            raise CommandRejectedError("no cache server of that id is on the list")

    def quiesce(self) -> str:
        """Drains the clients' connections."""
        self.clients.drain()
        return "clients are sent away"

    def resume(self) -> str:
        """Keeps clients' connections again; rejected while the router stops."""
        if self.stopping:
            raise CommandRejectedError("told to stop")
        self.clients.cancel_drain()
        return "clients are taken"
