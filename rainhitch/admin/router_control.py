"""What the calls of the second address do to this router."""

from collections.abc import Callable
from typing import Any

import orjson

from rainhitch.admin.commands import CommandRejectedError
from rainhitch.admin.cordons import Cordons
from rainhitch.interface import EndpointState
from rainhitch.node.client_connections import ClientConnections
from rainhitch.node.endpoint_directory import EndpointDirectory
from rainhitch.node.request_driver import RequestDriver

Json = dict[str, Any]


class RouterControl:
    """The router as the second address sees it; the cordons' folder is shared with an upgrade's process."""

    def __init__(
        self,
        driver: RequestDriver,
        clients: ClientConnections,
        directory: EndpointDirectory,
        folder: str | None,
        identity: str,
    ) -> None:
        self.driver, self.clients, self.directory = driver, clients, directory
        self.cordons = Cordons(folder, identity, directory.cordon)
        self.stopping = False
        self.describe_peers: Callable[[], Json] | None = None  # where other routers are told and heard

    def routers(self) -> str:
        if self.describe_peers is None:
            raise CommandRejectedError("no word with other routers")
        return orjson.dumps(self.describe_peers()).decode()

    def health(self) -> str:
        if self.stopping:
            raise CommandRejectedError("told to stop")
        if self.clients.draining:
            raise CommandRejectedError("clients are sent away")
        if not self.directory.can_serve:
            raise CommandRejectedError("no ready cache server on the list")
        return "ready"

    def metrics(self) -> list[str]:
        listed = {name for name in self.directory.targets if self.directory.is_cache(name)}
        draining = {name for name in listed if self.directory.targets[name].listed is not EndpointState.READY}
        avoided = (self.driver.balancer.servers.ejected_servers() - draining) | self.cordons.out
        return self.driver.metrics.lines(
            self.driver.pools.attempts_written, len(listed), len(avoided & listed)
        )

    def cordon(self, server: str) -> str:
        return self._set(server, True)

    def uncordon(self, server: str) -> str:
        return self._set(server, False)

    def _set(self, server: str, out: bool) -> str:
        self.cordons.look()
        # One that is out may be off the list while it is started anew: it is known all the same.
        if not self.directory.is_cache(server) and server not in self.cordons.out:
            raise CommandRejectedError("no cache server of that id is on the list")
        try:
            self.cordons.put(server, out)
        except (OSError, ValueError) as problem:
            raise CommandRejectedError(f"not done: {problem}") from None
        return f"{len(self.cordons.out)} out"

    def quiesce(self) -> str:
        self.clients.drain()
        return "clients are sent away"

    def resume(self) -> str:
        if self.stopping:
            raise CommandRejectedError("told to stop")
        self.clients.cancel_drain()
        return "clients are taken"
