"""What the calls of the second address do to this router."""

from collections.abc import Callable
from typing import Any

import orjson

from rainhitch.admin.calls import RefusedError
from rainhitch.admin.cordons import Cordons
from rainhitch.interface import State
from rainhitch.node.clients import Clients
from rainhitch.node.discovery import Directory
from rainhitch.node.driver import Driver

Json = dict[str, Any]


class Steward:
    """The router as the second address sees it; the cordons' folder is shared with an upgrade's process."""

    def __init__(
        self, driver: Driver, clients: Clients, directory: Directory, folder: str | None, identity: str
    ) -> None:
        self.driver, self.clients, self.directory = driver, clients, directory
        self.cordons = Cordons(folder, identity, directory.cordon)
        self.stopping = False
        self.believes: Callable[[], Json] | None = None  # where other routers are told and heard

    def routers(self) -> str:
        if self.believes is None:
            raise RefusedError("no word with other routers")
        return orjson.dumps(self.believes()).decode()

    def health(self) -> str:
        if self.stopping:
            raise RefusedError("told to stop")
        if self.clients.leaving:
            raise RefusedError("clients are sent away")
        if not self.directory.can_serve:
            raise RefusedError("no ready cache server on the list")
        return "ready"

    def figures(self) -> list[str]:
        listed = {name for name in self.directory.targets if self.directory.is_cache(name)}
        draining = {name for name in listed if self.directory.targets[name].listed is not State.READY}
        avoided = (self.driver.balancer.fleet.avoided() - draining) | self.cordons.out
        return self.driver.tally.lines(self.driver.pools.written, len(listed), len(avoided & listed))

    def cordon(self, server: str) -> str:
        return self._set(server, True)

    def uncordon(self, server: str) -> str:
        return self._set(server, False)

    def _set(self, server: str, out: bool) -> str:
        self.cordons.look()
        # One that is out may be off the list while it is started anew: it is known all the same.
        if not self.directory.is_cache(server) and server not in self.cordons.out:
            raise RefusedError("no cache server of that id is on the list")
        try:
            self.cordons.put(server, out)
        except (OSError, ValueError) as problem:
            raise RefusedError(f"not done: {problem}") from None
        return f"{len(self.cordons.out)} out"

    def quiesce(self) -> str:
        self.clients.send_away()
        return "clients are sent away"

    def resume(self) -> str:
        if self.stopping:
            raise RefusedError("told to stop")
        self.clients.keep_again()
        return "clients are taken"
