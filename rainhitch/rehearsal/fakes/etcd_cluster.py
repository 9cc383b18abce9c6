"""A fake etcd cluster: members that listen on sockets, over one store, with faults on command.

etcd = EtcdCluster(); await etcd.start(); etcd.endpoints      # one for each member
etcd.store.put(b"/rainhitch/members/n0", b"{...}")
etcd.drop(); etcd.silent = True; etcd.delay_s = 0.5; etcd.store.compact(7); etcd.lag(1)
etcd.set_leader(False); etcd.expire_tokens(); etcd.restore(revision=3); etcd.refuse = True

It speaks the published v3 gRPC API (`etcd_service`, `etcd_watch`) over a multi-version store (`etcd_store`).
"""

import asyncio
import ssl
from typing import Any

from grpclib.server import Server

from rainhitch.rehearsal.fakes.etcd_cluster_state import EtcdClusterState
from rainhitch.rehearsal.fakes.etcd_service import EtcdMember
from rainhitch.rehearsal.fakes.etcd_store import FIRST_REVISION

HOST = "127.0.0.1"
LEASE_CHECK_INTERVAL_S = 0.1
NO_MEMBER = -1


class EtcdCluster(EtcdClusterState):
    """The members of a cluster, each at an address of its own, and the faults of single members."""

    def __init__(self, members: int = 1, tls: ssl.SSLContext | None = None) -> None:
        super().__init__()
        self.tls = tls
        self.members = [EtcdMember(self, number) for number in range(members)]
        self._expiring: asyncio.Task[None] | None = None

    @property
    def endpoints(self) -> list[str]:
        """The members' addresses as HOST:PORT, in their order."""
        return [f"{HOST}:{member.port}" for member in self.members]

    async def start(self) -> None:
        """Starts all members and the expiry of leases."""
        for member in self.members:
            await self._listen(member)
        self._expiring = asyncio.ensure_future(self._expire_leases())

    async def _listen(self, member: EtcdMember) -> None:
        member.server = Server([member])
        await member.server.start(HOST, member.port, ssl=self.tls)
        listening: Any = member.server._server
        member.port = listening.sockets[0].getsockname()[1]

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            self.store.expire_leases()

    def lag(self, number: int, behind: int = 0) -> None:
        """Keeps one member at its present revision, or `behind` revisions before it; no other member lags.

        Args:
            number: the member; -1: none lags.
            behind: by how many revisions it lags from now on.
        """
        for member in self.members:
            member.frozen_revision = None
        if number != NO_MEMBER:
            self.members[number].frozen_revision = max(FIRST_REVISION, self.store.revision - behind)

    async def kill(self, number: int) -> None:
        """Ends a member; `revive` brings it back at its address."""
        member = self.members[number]
        server = member.server
        member.down = True  # connections that are open outlive the listener
        self.wake_watches()
        if server is not None:
            server.close()
            await server.wait_closed()
            member.server = None

    async def revive(self, number: int) -> None:
        """Starts a member again that `kill` has ended."""
        self.members[number].down = False
        await self._listen(self.members[number])

    async def close(self) -> None:
        """Ends all members and the expiry of leases."""
        if self._expiring is not None:
            self._expiring.cancel()
        for number in range(len(self.members)):
            await self.kill(number)
