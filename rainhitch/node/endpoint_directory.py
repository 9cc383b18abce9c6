"""The router's current endpoint list: its version, its endpoints, and those cordoned by an operator.

Changes are applied to the connection pools first and then passed to the Balancer as an `EndpointUpdate`.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from rainhitch.interface import Address, Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from rainhitch.node.cache_connection import CacheConnection
from rainhitch.node.connection_pool import ConnectionPools
from rainhitch.node.endpoint_list import EndpointList, EndpointListError, ParsedEntry, read_entry, read_list
from rainhitch.node.origin_connection import OriginConnection
from rainhitch.settings import Names

NO_VERSION = -1  # lower than the version of any list
STATES_IN_USE = (EndpointState.READY, EndpointState.RETIRING)
NS_PER_MS = 1_000_000
log = logging.getLogger("rainhitch")


@dataclass(slots=True)
class ListedEndpoint:
    """An entry of the list, with the address to connect to."""

    endpoint: Endpoint
    address: Address
    started_at_s: float  # loop time of the server's latest start; 0 if not stated
    listed_state: EndpointState = EndpointState.READY  # state in the list, regardless of a cordon


def replaced_servers(listed_endpoints: list[ListedEndpoint]) -> set[str]:
    """Returns the names of the servers at whose address another server has started later.

    An address belongs to one process. A list may still have the earlier server for a while; requests to it
    would reach the new process, which needs a slow start and has other keys.
    """
    newest: dict[Address, ListedEndpoint] = {}
    for listed in listed_endpoints:
        if listed.endpoint.state is EndpointState.GONE:
            continue
        other = newest.setdefault(listed.address, listed)
        if listed.started_at_s > other.started_at_s:
            newest[listed.address] = listed
    return {
        listed.endpoint.server
        for listed in listed_endpoints
        if listed.started_at_s < newest.get(listed.address, listed).started_at_s
    }


class EndpointDirectory:
    """The current endpoint list, keyed by the endpoints' names.

    `on_update` is called with each update after it is applied to the pools. `origin_kind` is the index of the
    origin's kind, or -1 if the router does not connect to the origin.
    """

    def __init__(
        self,
        names: Names,
        origin_kind: int,
        pools: ConnectionPools,
        on_update: Callable[[EndpointUpdate], None],
    ) -> None:
        self.names = names
        self.origin_kind = origin_kind
        self.pools = pools
        self.on_update = on_update
        self.version = NO_VERSION
        self.cache_connection_class: type[CacheConnection] = CacheConnection
        self.source_changed = False  # the next list is from another source, with versions of its own
        self.targets: dict[str, ListedEndpoint] = {}
        self.unreadable_count = 0  # entries that could not be read in the list that was applied last
        self.cordoned: set[str] = set()  # treated as draining, whatever state the list gives
        # Read once, so that a start time that is listed again maps to the same time on the router's clock.
        self.unix_offset_ns = pools.system.unix_ns() - pools.system.now()

    @property
    def can_serve(self) -> bool:
        """Whether any cache server is ready."""
        return any(
            listed.endpoint.state is EndpointState.READY and listed.endpoint.kind != self.origin_kind
            for listed in self.targets.values()
        )

    def is_cache(self, name: str) -> bool:
        """Returns whether the list has a cache server of that name."""
        return name in self.targets and self.targets[name].endpoint.kind != self.origin_kind

    def apply(self, document: Any, cached: bool = False) -> bool:
        """Applies a list or changes to it, unless its version is older than the current one.

        `cached` marks the list in the configuration, which is complete. Returns whether the list is at least
        as new as the current one. Raises EndpointListError if the list is invalid.
        """
        self.unreadable_count = 0
        endpoint_list = read_list(document)
        is_whole = endpoint_list.is_whole or cached
        if not self._must_apply(endpoint_list.version, is_whole):
            return endpoint_list.version == self.version
        self.version = endpoint_list.version
        self.source_changed = False
        endpoints = self._without_replaced(self._parse_entries(endpoint_list), is_whole)
        if is_whole:
            self._remove_all_except({listed.endpoint.server for listed in endpoints})
        elif not endpoints:
            return True
        for listed in endpoints:
            self._put(listed)
        kind = EndpointUpdateKind.FULL if is_whole else EndpointUpdateKind.DELTA
        if cached:
            kind = EndpointUpdateKind.CACHED
        self.on_update(EndpointUpdate(kind, [listed.endpoint for listed in endpoints]))
        return True

    def cordon(self, cordoned: set[str], uncordoned: set[str]) -> None:
        """Treats the endpoints `cordoned` as draining, and `uncordoned` as the list states again."""
        self.cordoned = (self.cordoned | cordoned) - uncordoned
        changed = []
        for name in sorted(cordoned | uncordoned):
            known = self.targets.get(name)
            if known is None:
                continue
            started_at_ns = known.endpoint.started_at_ns
            if name in uncordoned:
                # The server may have restarted while it was cordoned, which the list may not state for
                # seconds. It counts as started now and gets a slow start, so that it is not overloaded.
                started_at_ns = self.pools.system.now()
            state = self._effective_state(name, known.listed_state)
            endpoint = replace(known.endpoint, state=state, started_at_ns=started_at_ns)
            self._put(replace(known, endpoint=endpoint))
            changed.append(endpoint)
        if changed:
            self.on_update(EndpointUpdate(EndpointUpdateKind.DELTA, changed))

    def _must_apply(self, version: int, is_whole: bool) -> bool:
        """Returns whether a list of this version must be applied.

        A complete list of the current version is applied again, because the current list may have come from
        the configuration.
        """
        if self.source_changed and is_whole:
            return True
        if version == self.version:
            return is_whole
        return version > self.version

    def _parse_entries(self, endpoint_list: EndpointList) -> list[ListedEndpoint]:
        """Returns the valid entries; logs the others, of which what is known stays as it is."""
        endpoints = []
        for row in endpoint_list.rows:
            try:
                endpoints.append(self._listed_endpoint(read_entry(row, self.names)))
            except EndpointListError as problem:
                log.warning("endpoint list entry skipped reason=%s", problem)
                self.unreadable_count += 1
                name = row.get("uid") if isinstance(row, dict) else None
                if isinstance(name, str) and name in self.targets:
                    endpoints.append(self.targets[name])
        return endpoints

    def _without_replaced(self, endpoints: list[ListedEndpoint], is_whole: bool) -> list[ListedEndpoint]:
        """Returns the endpoints without those whose address a newer process has taken over.

        Known endpoints that are replaced by a change are returned as gone.
        """
        changed = {listed.endpoint.server for listed in endpoints}
        known = [] if is_whole else [one for name, one in self.targets.items() if name not in changed]
        replaced = replaced_servers([*known, *endpoints])
        for server in sorted(replaced & self.targets.keys()):
            log.info("endpoint replaced server=%s", server)
        gone = [
            replace(listed, endpoint=replace(listed.endpoint, state=EndpointState.GONE))
            for listed in known
            if listed.endpoint.server in replaced
        ]
        return [listed for listed in endpoints if listed.endpoint.server not in replaced] + gone

    def _listed_endpoint(self, entry: ParsedEntry) -> ListedEndpoint:
        started_at_ns = 0
        if entry.started_at_unix_ms is not None:
            started_at_ns = max(1, entry.started_at_unix_ms * NS_PER_MS - self.unix_offset_ns)
        endpoint = Endpoint(
            server=entry.server,
            state=self._effective_state(entry.server, entry.state),
            kind=entry.kind,
            zone=entry.zone,
            cell=entry.cell,
            started_at_ns=started_at_ns,
            weight=entry.weight,
        )
        return ListedEndpoint(endpoint, entry.address, started_at_ns / 1e9, entry.state)

    def _effective_state(self, name: str, listed_state: EndpointState) -> EndpointState:
        """Returns the effective state: a cordoned endpoint in use counts as draining."""
        is_cordoned = listed_state in STATES_IN_USE and name in self.cordoned
        return EndpointState.DRAINING if is_cordoned else listed_state

    def _put(self, listed: ListedEndpoint) -> None:
        """Adds or replaces an endpoint and its connection pool; removes an endpoint that is gone."""
        name = listed.endpoint.server
        if listed.endpoint.state is EndpointState.GONE:
            self._remove(name)
            return
        is_origin = listed.endpoint.kind == self.origin_kind
        connection_class = OriginConnection if is_origin else self.cache_connection_class
        pool = self.pools.add(name, listed.address, connection_class)
        known = self.targets.get(name)
        if known is not None and known.started_at_s != listed.started_at_s:
            pool.close_opened_before(listed.started_at_s)
        if listed.endpoint.state not in STATES_IN_USE:
            pool.drain()
        self.targets[name] = listed

    def _remove_all_except(self, kept: set[str]) -> None:
        for name in [name for name in self.targets if name not in kept]:
            self._remove(name)

    def _remove(self, name: str) -> None:
        self.targets.pop(name, None)
        self.pools.remove(name)
