"""The endpoint lists of a run: each router's sources of its list, and the changes that reach them."""

from typing import Any

from rainhitch.rehearsal.fakes.discovery import GONE, DiscoveryAgent
from rainhitch.rehearsal.fakes.etcd_endpoint_list import EtcdEndpointList

Json = dict[str, Any]
READY = "Ready"
DATABASE_UID = "database"
POD_GROUP = 0
MICROSECONDS_PER_MILLISECOND = 1000
STARTED_LONG_AGO_US = 0


class EndpointLists:
    """For each router an agent of discovery, or in its place a member of etcd.

    Endpoints differ from router to router, and so do the times at which a change reaches each.

    Attributes:
        agents: of discovery, in the routers' order; their lists stay as at the begin where etcd has them.
        etcd: None where the lists are in discovery.
        unix_zero_ms: the wall clock at the plan's time 0.
    """

    def __init__(self, plan: Json, scenario: Json) -> None:
        self.agents: list[DiscoveryAgent] = []
        self.etcd: EtcdEndpointList | None = None
        if scenario["discovery"]["source"] == "etcd":
            self.etcd = EtcdEndpointList(len(plan["routers"]))
        self.unix_zero_ms = 0
        self._plan = plan
        self._scenario = scenario
        self._endpoints: dict[str, list[str]] = {}  # by uid, for each router one
        self._capacity_hints: dict[str, float] = {}  # by uid

    def open(self, node_endpoints: dict[str, list[str]], database_endpoints: list[str]) -> None:
        """Makes the lists and an agent for each router.

        Args:
            node_endpoints: the cache nodes' addresses by uid, for each router one.
            database_endpoints: the database's addresses, for each router one.
        """
        self._endpoints = node_endpoints
        self._set_capacity_hints()
        for router, database_endpoint in enumerate(database_endpoints):
            self.agents.append(DiscoveryAgent(router, self._first_list(router, database_endpoint)))

    async def start_etcd(self) -> list[str | None]:
        """Starts etcd with the lists; the members' addresses, or None for each where there is none."""
        if self.etcd is None:
            return [None] * len(self.agents)
        return [*await self.etcd.start(self.agents)]

    def _set_capacity_hints(self) -> None:
        """Each node's nominal capacity, as a multiple of the nodes' mean."""
        capacities = {
            row["uid"]: row["cores"] * self._nominal_speed(row["class"]) for row in self._plan["nodes"]
        }
        mean = sum(capacities.values()) / len(capacities)
        self._capacity_hints = {uid: round(capacity / mean, 3) for uid, capacity in capacities.items()}

    def _nominal_speed(self, node_class: str) -> float:
        """The speed of a core that the list's hints go by: the middle of the class's range."""
        classes = self._scenario["fleet"]["nodes"]
        low, high = next(row["speed"] for row in classes if row["name"] == node_class)
        return float(low + high) / 2

    def _entry(self, router: int, uid: str, state: str, started_at_us: int) -> Json:
        """A cache node's entry in the form of discovery's API, as one router is to see it."""
        node = next(row for row in self._plan["nodes"] if row["uid"] == uid)
        started_at_ms = 0
        if started_at_us != STARTED_LONG_AGO_US:
            started_at_ms = self.unix_zero_ms + started_at_us // MICROSECONDS_PER_MILLISECOND
        return {
            "uid": uid,
            "endpoint": self._endpoints[uid][router],
            "az": node["room"],
            "model": node["class"],
            "pod_group": POD_GROUP,
            "state": state,
            "capacity_hint": self._capacity_hints[uid],
            "boot_ms": started_at_ms,
        }

    def _first_list(self, router: int, database_endpoint: str) -> list[Json]:
        """The entries at the begin of the run: the nodes but for those that join later, and the database."""
        uids = [row["uid"] for row in self._plan["nodes"] if "joins" not in row]
        nodes = [self._entry(router, uid, READY, STARTED_LONG_AGO_US) for uid in uids]
        database = {
            "uid": DATABASE_UID,
            "endpoint": database_endpoint,
            "az": self._plan["rooms"][0],
            "model": DATABASE_UID,
            "pod_group": POD_GROUP,
            "state": READY,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        return [*nodes, database]

    def _push(self, router: int, entry: Json) -> None:
        """A change reaches a router's source."""
        if self.etcd is not None:
            self.etcd.push(router, entry)
        else:
            self.agents[router].push(entry)

    def push_planned(self, row: Json) -> None:
        """A change of the plan reaches a router's source."""
        self._push(row["router"], self._entry(row["router"], row["node"], row["state"], row["boot"]))

    def push_gone(self, uid: str) -> None:
        """All sources have noticed that a node is gone."""
        for agent in self.agents:
            self._push(agent.router, self._entry(agent.router, uid, GONE, STARTED_LONG_AGO_US))

    def set_discovery_silent(self, silent: bool) -> None:
        """Discovery is down, or up.

        The agents alone: where the list comes from etcd no router asks them, and this changes nothing.
        """
        for agent in self.agents:
            agent.set_silent(silent)

    def rows(self) -> list[Json]:
        """The record of what routers were sent."""
        rows = [row for agent in self.agents for row in agent.rows]
        return rows if self.etcd is None else rows + self.etcd.rows
