"""The endpoint list as this router holds it: its version, its endpoints, and the endpoints cordoned by hand.

What changes goes to the connection pools first, then to the decisions as an `EndpointUpdate`.
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

NO_VERSION = -1  # below any version of a list
STATES_IN_USE = (EndpointState.READY, EndpointState.RETIRING)
NS_PER_MS = 1_000_000
log = logging.getLogger("rainhitch")


@dataclass(slots=True)
class ListedEndpoint:
    """One entry of the list, and where this router connects to it."""

    endpoint: Endpoint
    address: Address
    started_at_s: float  # its latest start on the loop's clock; 0: long ago
    listed_state: EndpointState = EndpointState.READY  # what the list says, whether it is cordoned or not


class EndpointDirectory:
    """The list as this router holds it, by the endpoints' names.

    `on_update` is called with each update after the pools have it. `origin_kind` is the origin's index among
    the kinds, -1 where the router does not connect to the origin.
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
        self.source_changed = False  # the next list is another source's, whose versions need not compare
        self.targets: dict[str, ListedEndpoint] = {}
        self.cordoned: set[str] = set()  # taken as draining, whatever the list says
        # Read once, so that a start which is listed again keeps its time on the router's clock.
        self.unix_offset_ns = pools.system.unix_ns() - pools.system.now()

    @property
    def can_serve(self) -> bool:
        """Whether any cache server is ready."""
        return any(
            one.endpoint.state is EndpointState.READY and one.endpoint.kind != self.origin_kind
            for one in self.targets.values()
        )

    def is_cache(self, name: str) -> bool:
        """Whether a cache server of that name is on the list."""
        return name in self.targets and self.targets[name].endpoint.kind != self.origin_kind

    def apply(self, answer: Any, cached: bool = False) -> bool:
        """Applies a list or changes of it, unless its version is an older one.

        `cached`: it is the list that the configuration holds, and whole. Returns whether the list is as new
        as the one in use. Raises EndpointListError where it can't be read.
        """
        endpoint_list = read_list(answer)
        is_whole = endpoint_list.is_whole or cached
        if not self._is_news(endpoint_list.version, is_whole):
            return endpoint_list.version == self.version
        self.version = endpoint_list.version
        self.source_changed = False
        endpoints = self._readable(endpoint_list)
        if is_whole:
            self._drop_all_but({one.endpoint.server for one in endpoints})
        elif not endpoints:
            return True
        for one in endpoints:
            self._place(one)
        kind = EndpointUpdateKind.FULL if is_whole else EndpointUpdateKind.DELTA
        if cached:
            kind = EndpointUpdateKind.CACHED
        self.on_update(EndpointUpdate(kind, [one.endpoint for one in endpoints]))
        return True

    def cordon(self, out: set[str], back: set[str]) -> None:
        """Takes the endpoints `out` as draining, and those in `back` as the list says again."""
        self.cordoned = (self.cordoned | out) - back
        changed = []
        for name in sorted(out | back):
            known = self.targets.get(name)
            if known is None:
                continue
            started_at_ns = known.endpoint.started_at_ns
            if name in back:
                # Guards a server against overload: while it was cordoned it may have restarted, which the
                # list may not say for seconds. So it counts as started now, and gets the load of a slow
                # start.
                started_at_ns = self.pools.system.now()
            state = self._state(name, known.listed_state)
            endpoint = replace(known.endpoint, state=state, started_at_ns=started_at_ns)
            self._place(replace(known, endpoint=endpoint))
            changed.append(endpoint)
        if changed:
            self.on_update(EndpointUpdate(EndpointUpdateKind.DELTA, changed))

    def _is_news(self, version: int, is_whole: bool) -> bool:
        """Whether a list of this version is to be applied.

        A whole list of the version in use is applied again: what was known may have come from the
        configuration.
        """
        if self.source_changed and is_whole:
            return True
        if version == self.version:
            return is_whole
        return version > self.version

    def _readable(self, endpoint_list: EndpointList) -> list[ListedEndpoint]:
        """The entries that can be read; each other one is logged and skipped."""
        endpoints = []
        for row in endpoint_list.rows:
            try:
                endpoints.append(self._listed(read_entry(row, self.names)))
            except EndpointListError as problem:
                log.warning("endpoint list entry skipped reason=%s", problem)
        return endpoints

    def _listed(self, entry: ParsedEntry) -> ListedEndpoint:
        started_at_ns = 0
        if entry.started_at_unix_ms is not None:
            started_at_ns = max(1, entry.started_at_unix_ms * NS_PER_MS - self.unix_offset_ns)
        endpoint = Endpoint(
            server=entry.server,
            state=self._state(entry.server, entry.state),
            kind=entry.kind,
            zone=entry.zone,
            cell=entry.cell,
            started_at_ns=started_at_ns,
            weight=entry.weight,
        )
        return ListedEndpoint(endpoint, entry.address, started_at_ns / 1e9, entry.state)

    def _state(self, name: str, listed: EndpointState) -> EndpointState:
        """The state that holds: a cordoned endpoint in use counts as draining."""
        is_cordoned = listed in STATES_IN_USE and name in self.cordoned
        return EndpointState.DRAINING if is_cordoned else listed

    def _place(self, one: ListedEndpoint) -> None:
        """Takes an endpoint into the list, with a pool of connections to its address."""
        name = one.endpoint.server
        if one.endpoint.state is EndpointState.GONE:
            self._drop(name)
            return
        is_origin = one.endpoint.kind == self.origin_kind
        connection_class = OriginConnection if is_origin else self.cache_connection_class
        pool = self.pools.add(name, one.address, connection_class)
        known = self.targets.get(name)
        if known is not None and known.started_at_s != one.started_at_s:
            pool.close_opened_before(one.started_at_s)
        if one.endpoint.state not in STATES_IN_USE:
            pool.drain()
        self.targets[name] = one

    def _drop_all_but(self, kept: set[str]) -> None:
        for name in [name for name in self.targets if name not in kept]:
            self._drop(name)

    def _drop(self, name: str) -> None:
        self.targets.pop(name, None)
        self.pools.remove(name)
