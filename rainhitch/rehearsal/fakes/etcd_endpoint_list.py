"""The endpoint list in a fake etcd, and the record of what each router was sent of it."""

from typing import Any

import orjson

from rainhitch import system
from rainhitch.rehearsal.fakes import fault_parameters
from rainhitch.rehearsal.fakes.discovery import GONE, DiscoveryAgent
from rainhitch.rehearsal.fakes.endpoint_record import entry_row, whole_list_row
from rainhitch.rehearsal.fakes.etcd_cluster import EtcdCluster
from rainhitch.rehearsal.plan_model import Command, FaultAction

Json = dict[str, Any]
PREFIX = "/rainhitch/members/"


def entry_key(router: int, uid: str) -> bytes:
    """The key of an entry, under the router's own prefix."""
    return f"{PREFIX}{router}/{uid}".encode()


class EtcdEndpointList:
    """The endpoint list in etcd, in the form of discovery's API.

    Each router has a member of its own, so that it is known what was sent to whom, and a prefix of its own,
    since endpoints differ from router to router.

    Attributes:
        rows: the record: each entry that was written to a router, and when.
    """

    def __init__(self, routers: int) -> None:
        self.cluster = EtcdCluster(routers)
        self.cluster.entry_sent = self._entry_sent
        self.cluster.list_read = self._list_read
        self.rows: list[Json] = []

    async def start(self, agents: list[DiscoveryAgent]) -> list[str]:
        """Starts the cluster with the agents' lists; the members' addresses, in the routers' order."""
        await self.cluster.start()
        for agent in agents:
            for entry in agent.entries.values():
                self.push(agent.router, entry)
        return self.cluster.endpoints

    def push(self, router: int, entry: Json) -> None:
        """Writes a change of one router's list; an entry that is gone is deleted."""
        key = entry_key(router, entry["uid"])
        if entry["state"] == GONE:
            self.cluster.store.delete(key)
        else:
            self.cluster.store.put(key, orjson.dumps(entry))

    def _entry_sent(self, member: int, key: bytes, exists: bool) -> None:
        """Notes an entry that goes to the router whose member this is, where it is in that router's list."""
        router, _, uid = key.decode().removeprefix(PREFIX).partition("/")
        if not uid or int(router) != member:
            return
        version = self.cluster.store.at(key, self.cluster.store.revision)
        state = GONE
        if exists and version is not None and version.value:
            state = orjson.loads(version.value)["state"]
        self.rows.append(entry_row(member, system.now(), uid, state, in_whole_list=False))

    def _list_read(self, member: int, begin: bytes, keys: list[bytes]) -> None:
        if begin != entry_key(member, ""):
            return
        for key in keys:
            self._entry_sent(member, key, True)
        uids = [key.decode().rpartition("/")[2] for key in keys]
        self.rows.append(whole_list_row(member, system.now(), uids))

    def act(self, action: FaultAction) -> None:
        """A fault acts on the cluster."""
        cluster = self.cluster
        match action.command:
            case Command.DROP:
                cluster.drop()
            case Command.COMPACT:
                # Where nothing has changed since the last compaction there is nothing to compact.
                if cluster.store.compacted_revision < cluster.store.revision:
                    cluster.store.compact(cluster.store.revision)
                cluster.drop()
            case Command.SILENCE | Command.SPEAK:
                cluster.silent = action.command is Command.SILENCE
            case Command.UNAVAILABLE | Command.AVAILABLE:
                cluster.refuse = action.command is Command.UNAVAILABLE
                cluster.drop()
            case Command.DELAY:
                cluster.delay_s = fault_parameters.delay_s(action)
            case Command.ON_TIME:
                cluster.delay_s = 0.0
