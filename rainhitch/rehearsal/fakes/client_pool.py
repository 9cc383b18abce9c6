"""The connections of one zone's clients, and the load balancer that spreads new ones over the routers."""

import asyncio
from typing import Any
from zlib import crc32

from rainhitch.rehearsal.fakes.client_connection import ClientConnection
from rainhitch.rehearsal.fakes.client_script import ANY_ROUTER

Json = dict[str, Any]
CONNECT_TIMEOUT_S = 1.0
IDLE_CHECK_INTERVAL_S = 0.5
CHECKSUM_VALUES = 2**32


class LoadBalancer:
    """Spreads a zone's connections over the routers that it takes to be up, the zone's own first.

    Attributes:
        up: for each router whether it is taken to be up.
    """

    def __init__(self, zone: int, router_zones: list[int]) -> None:
        self.up = [True] * len(router_zones)
        self._zone = zone
        self._router_zones = router_zones
        self._turn = 0

    def next_router(self) -> int | None:
        """The zone's next router, another zone's where none of its own is up; None where none is up."""
        up = [router for router, is_up in enumerate(self.up) if is_up]
        in_zone = [router for router in up if self._router_zones[router] == self._zone]
        candidates = in_zone if in_zone else up
        self._turn += 1
        return candidates[self._turn % len(candidates)] if candidates else None


class ClientConnectionPool:
    """Opens connections, and keeps idle ones for later requests.

    Attributes:
        addresses: of the routers, in their order.
        load_balancer: gives a router to connections that want none in particular.
        connections: those that are open, in the order in which they came up.
        opened_count: how many were opened.
        resp3_fraction: of the new connections, which speak RESP3.
        extra_answers: the record of answers that belong to no request that waits for one.
    """

    def __init__(self, zone: int, plan: Json, scenario: Json, addresses: list[tuple[str, int]]) -> None:
        self.addresses = addresses
        self.load_balancer = LoadBalancer(zone, [plan["rooms"].index(row["room"]) for row in plan["routers"]])
        self.connections: dict[ClientConnection, None] = {}
        self.opened_count = 0
        self.resp3_fraction: float = scenario["clients"]["resp3"]
        self.extra_answers: list[Json] = []
        self._zone = zone
        self._plan = plan
        self._loop = asyncio.get_running_loop()
        self._keeps_connections_open = scenario["clients"]["connections"] == "kept"
        self._idle_limit_s = scenario["clients"]["idle_s"]
        self._connection_limit = scenario["clients"]["most"]
        self._connection_count = 0
        self._idle: dict[int, list[ClientConnection]] = {}  # by the router that was wanted

    def speaks_resp3(self, number: int) -> bool:
        """Whether the connection of this number speaks RESP3: an even part, by a checksum of the number."""
        if not self.resp3_fraction:
            return False
        return crc32(f"{self._plan['seed']}/{number}".encode()) < self.resp3_fraction * CHECKSUM_VALUES

    def next_connection_number(self) -> int:
        """A number for a new connection, unlike those of the other zones."""
        self._connection_count += 1
        return self._connection_count * len(self._plan["rooms"]) + self._zone

    def note_extra_answer(
        self, connection: ClientConnection, request_id: str, kind: str, now_ns: int
    ) -> None:
        """Records an answer that belongs to no request that waits for one."""
        self.extra_answers.append(
            {
                "id": request_id,
                "router": connection.router,
                "connection": connection.number,
                "at": now_ns,
                "kind": kind,
            }
        )

    def release(self, wanted_router: int, connection: ClientConnection) -> None:
        """Keeps a connection for the next request that wants the same router."""
        if connection.usable:
            connection.idle_since_s = self._loop.time()
            self._idle.setdefault(wanted_router, []).append(connection)

    async def connect(self, wanted_router: int, is_new: bool) -> ClientConnection | None:
        """The newest idle connection unless a new one is wanted, or a new one; None where no router takes it.

        Args:
            wanted_router: the router, or ANY_ROUTER for whichever the load balancer gives.
            is_new: no idle connection is used.
        """
        idle = self._idle.setdefault(wanted_router, [])
        while idle and not is_new and not self._keeps_connections_open:
            connection = idle.pop()
            if connection.usable:
                return connection
        if len(self.connections) >= self._connection_limit:
            self._close_longest_idle()
        router = self.load_balancer.next_router() if wanted_router == ANY_ROUTER else wanted_router
        if router is None:
            return None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, opened = await self._loop.create_connection(
                    lambda: ClientConnection(self, router), *self.addresses[router]
                )
        except (OSError, TimeoutError):
            return None
        self.opened_count += 1
        return opened

    def _close_longest_idle(self) -> None:
        idle = [one for connections in self._idle.values() for one in connections if one.usable]
        if idle:
            min(idle, key=lambda connection: connection.idle_since_s).close()

    async def close_idle(self) -> None:
        """Closes connections that have been idle for too long, and forgets those that their router closed."""
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
            limit_s = self._loop.time() - self._idle_limit_s
            for router, connections in self._idle.items():
                for connection in connections:
                    if connection.idle_since_s < limit_s:
                        connection.close()
                self._idle[router] = [connection for connection in connections if connection.usable]

    def close(self) -> None:
        """Ends all connections."""
        for connection in list(self.connections):
            connection.close()
