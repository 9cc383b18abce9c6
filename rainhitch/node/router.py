"""The router put together: its parts, their start, and their end."""

import asyncio
import logging
from functools import partial
from random import Random
from typing import TYPE_CHECKING

import orjson

from rainhitch.interface import EndpointUpdate, GossipIntervalElapsed
from rainhitch.node.client_connections import ClientConnections
from rainhitch.node.configuration import (
    Configuration,
    ConfigurationError,
    Peering,
    read_configuration,
    read_gate,
)
from rainhitch.node.connection_pool import ConnectionPools
from rainhitch.node.discovery import DiscoveryWatch, EndpointDirectory, ListError
from rainhitch.node.request_driver import RequestDriver
from rainhitch.node.shutdown import schedule
from rainhitch.overload.controller import OverloadController
from rainhitch.policy.balancer import Balancer
from rainhitch.telemetry.records import WORDS, Bad, Second
from rainhitch.telemetry.router_metrics import RouterMetrics

if TYPE_CHECKING:
    from rainhitch.admin.endpoint import AdminEndpoint
    from rainhitch.fleet.gossip_transport import GossipTransport
    from rainhitch.membership.etcd_source import EtcdSource
    from rainhitch.operator_config import Membership, OperatorConfig

PROGRAM = 24 << 20  # bytes that the router takes with next to nothing to do
TELL_EVERY = 200_000_000  # ns between words with the other routers; each answer is told once
SPARE = 24  # descriptors for all that is neither a client's nor a server's
SOON = 16  # connections to servers that may be wanted before clients have made room
LIVES, LIFE = 1_577_836_800 * 10**9, 250_000_000  # ns: a router's life is the quarters of a second since 2020
RECORD_EVERY = 1.0  # s
NAMES = {kind: word for word, kind in WORDS.items()}
log = logging.getLogger("rainhitch")


class Router:
    """One router, on the loop that runs."""

    def __init__(self, told: Configuration, operator: "OperatorConfig | None" = None) -> None:
        self.configuration, self.stopping = told, False
        self.pools = ConnectionPools(
            told.sockets * 3 // 8, told.ceilings.connect_timeout_ns / 1e9, told.ceilings.keepalive_ns / 1e9
        )
        # What is left beside the program itself: a quarter for what clients sent, one for what they have not
        # yet sent or read, and half for what servers are sending and what the memory's bookkeeping wastes.
        quarter = max(1 << 20, (told.memory - PROGRAM) // 4)
        self.overload = OverloadController(
            told.settings, told.seed, None if operator is None else operator.storms.options()
        )
        self.balancer = Balancer(told.settings, told.seed, self.overload)
        self.driver = RequestDriver(self.balancer, self.pools, told.ceilings.max_requests, quarter)
        self.driver.metrics = RouterMetrics(list(told.names.classes))
        self.driver.tenant_names.update((number, name) for name, number in told.names.tenants.items())
        self.clients = ClientConnections(self.driver, told.names, told.sockets // 2, quarter, self.overload)
        share_descriptors(told.sockets, self.pools, self.clients)
        origin_kind = told.settings.origin_kind if told.settings.cache_aside else -1
        self.directory = EndpointDirectory(told.names, origin_kind, self.pools, self.driver.endpoints_updated)
        if operator is not None:
            heed(operator, self.clients, self.directory)
        self.watch = DiscoveryWatch(told.discovery, self.directory, told.seed, told.settings.endpoints_polled)
        self.etcd: EtcdSource | None = None
        self.driver.watch_endpoints = self.watch.start
        if operator is not None and operator.membership.source == "etcd":
            self.etcd = etcd_source(operator.membership, self.directory, told)
            self.driver.watch_endpoints = self.etcd.start
        self.admin: AdminEndpoint | None = None
        self.gossip: GossipTransport | None = None
        self.routers = None if operator is None else operator.routers.options()
        self.random = Random(told.seed)
        self.clients.can_serve = self.can_serve
        self.counts = self.pools.counts = self.watch.counts = self.driver.counts

    def can_serve(self) -> bool:
        """Whether PING says yes; while the router ends, its other process may have taken over."""
        return self.directory.can_serve and (self.stopping or not self.clients.draining)

    async def start(self) -> None:
        """Takes up the known list and listens; raises ConfigurationError where it can't."""
        told = self.configuration
        asyncio.get_running_loop().call_later(RECORD_EVERY, self._record)
        if told.peers is not None:
            await self._join(told.peers)
        try:
            self.directory.apply(told.known, cached=True)
        except ListError as problem:
            log.warning("the known list is of no use: %s", problem)
        try:
            host, port = await self.clients.listen(*told.listen, told.inherited)
        except OSError as problem:
            raise ConfigurationError(
                f"can't listen on {told.listen[0]}:{told.listen[1]}: {problem}"
            ) from None
        log.info("listening on %s:%d", host, port)
        if told.admin is not None:
            from rainhitch.admin.endpoint import AdminEndpoint

            identity = f"{told.listen[0]}:{told.listen[1]}"
            share = partial(cut, told.sockets, self.pools, self.clients)
            self.admin = AdminEndpoint(
                self.driver, self.clients, self.directory, identity, share, self.overload.upgrade_peer_seen
            )
            if self.gossip is not None:
                self.admin.control.describe_peers = self.gossip.describe
            log.info("second address %s:%d", *await self.admin.open(*told.admin))
        if self.etcd is not None:
            self.etcd.start()
        elif not told.settings.endpoints_polled:
            self.watch.start()

    async def _join(self, told: Peering) -> None:
        """Exchanges advice with the other routers from now on; imported only where there are some."""
        from rainhitch.fleet.gossip_exchange import GossipExchange
        from rainhitch.fleet.gossip_transport import GossipTransport, join
        from rainhitch.fleet.options import FleetOptions

        def changed(event: EndpointUpdate) -> None:
            peers.set_servers(list(self.directory.targets))
            self.driver.endpoints_updated(event)

        settings, system = self.configuration.settings, self.pools.system
        life = max(1, (system.unix() - LIVES) // LIFE & 0xFFFFFFFF)
        customers = max(1, len(settings.tenants))
        exchange = GossipExchange(
            told.me,
            len(told.peers),
            customers,
            life,
            system.now(),
            self.configuration.seed,
            self.routers or FleetOptions(),
        )
        peers = GossipTransport(exchange, told.peers, told.everyone, self.driver.gossip_received)
        if await join(told.listen, peers):
            self.gossip, self.driver.publish_gossip = peers, peers.publish
            peers.counts = self.counts
            settings.gossip_interval_ns, self.directory.on_update = TELL_EVERY, changed
            if exchange.tenant_usage is not None:
                self.driver.on_request_taken = exchange.tenant_usage.add
            if exchange.quota_escrow is not None:
                self.balancer.attempt_admission.fleet_read_allowance = exchange.quota_escrow.take
            self._round()

    def _round(self) -> None:
        """Ends a period between routers; each at a time of its own."""
        if self.gossip is not None and not self.gossip.closed:
            self.driver.gossip_received(GossipIntervalElapsed())
            every = TELL_EVERY * self.random.uniform(0.75, 1.25) / 1e9
            asyncio.get_running_loop().call_later(every, self._round)

    def _record(self) -> None:
        """Writes down what the last second brought."""
        loop = asyncio.get_running_loop()
        system, throttle = self.pools.system, self.balancer.origin_admission.monitor.throttle
        record = self.counts.cut(system.unix() / 1e9, system.cpu())
        if record is not None:
            record.open = self.pools.open()
            record.rate = 0.0 if throttle is None else round(throttle.rate_per_s, 1)
            if self.watch.answered_at:
                record.list_age = round(loop.time() - self.watch.answered_at, 2)
            write(record)
        for bad in self.counts.cut_bad():
            write(bad)
        loop.call_later(RECORD_EVERY, self._record)

    def reread(self, path: str | None) -> None:
        """Takes up a new configuration: the watch moves to its discovery, all else runs on as it is. Guards
        against a file that is bad or half written: the router keeps to what it has."""
        metrics = self.driver.metrics
        try:
            endpoint = read_configuration(path).discovery
        except ConfigurationError as problem:
            metrics.configurations_rejected += 1
            log.warning("the new configuration is of no use: %s", problem)
            return
        metrics.configurations_applied += 1
        if self.etcd is not None:
            log.info("configuration read anew; etcd leads, so that its discovery is not asked")
            return
        log.info("configuration read anew, discovery at %s:%d", *endpoint)
        self.watch.move(endpoint)

    async def stop(self) -> None:
        """Ends: answers all that is held, sends the clients away, and holds nothing more."""
        loop = asyncio.get_running_loop()
        log.info("told to stop")
        self.stopping, begun = True, loop.time()
        times = self.clients.schedule = schedule(
            max(one.deadline_ns for one in self.configuration.settings.classes) / 1e9
        )
        self.driver.stop(times.answered)
        self.clients.drain()
        if self.admin is not None:
            self.admin.stop()
        if self.configuration.inherited is None:
            await asyncio.sleep(times.accepting)
            if self.clients.listener is not None:
                await self.clients.listener.drain()
        self.clients.close()
        await self.clients.emptied(begun + times.gone - loop.time())
        if self.admin is not None:
            self.admin.close()
        self.watch.stop()
        if self.gossip is not None:
            self.gossip.close()
        if self.etcd is not None:
            self.etcd.stop()


def write(record: Second | Bad) -> None:
    """A line of the log that `rainhitch logs` reads."""
    log.info("%s %s", NAMES[type(record)], orjson.dumps(record).decode())


def heed(operator: "OperatorConfig", clients: ClientConnections, directory: EndpointDirectory) -> None:
    """Sets what the operator's file says."""
    driver, pools = clients.driver, directory.pools
    limits = operator.clients
    clients.idle_s, clients.at_need_s = limits.idle_s, limits.at_need_s
    clients.unfinished_s, clients.unread_s = limits.unfinished_s, limits.unread_s
    pools.hold_idle(operator.servers.idle_s)
    driver.balancer.settings.migration_fraction = operator.growth.move_share()
    if operator.servers.resp3:
        from rainhitch.node.resp3_cache_connection import Resp3Connection

        directory.cache_connection_class, pools.keys_invalidated = Resp3Connection, driver.keys_invalidated
    clients.authenticator = read_gate(limits.user, limits.password_file)


def share_descriptors(sockets: int, pools: ConnectionPools, clients: ClientConnections) -> None:
    """Cuts the descriptors of this process between clients and servers."""
    # Guards newcomers against a crowd that says little: what the servers' side does not use is the clients',
    # but for what it may soon want, and both stay under what the process may hold.
    shared = sockets - SPARE
    pools.max_open, clients.max_open = sockets * 3 // 8, sockets // 2
    pools.left = lambda: shared - len(clients.open)
    clients.extra_capacity = lambda: shared - SOON - pools.open()
    clients.release_upstream = pools.spare


def cut(sockets: int, pools: ConnectionPools, clients: ClientConnections, processes: int) -> None:
    """The limits hold for all processes of this router together, as during an upgrade."""
    log.info("%d processes of this router: %d descriptors each", processes, sockets // processes)
    share_descriptors(sockets // processes, pools, clients)


def etcd_source(table: "Membership", directory: EndpointDirectory, told: Configuration) -> "EtcdSource":
    """The source that leads in place of discovery; imported only here, where it is on."""
    from rainhitch.membership.endpoint_list_builder import EndpointListBuilder
    from rainhitch.membership.etcd_settings import MembershipError, etcd_options

    try:
        options = etcd_options(table)
    except MembershipError as problem:
        raise ConfigurationError(str(problem)) from None
    from rainhitch.membership.etcd_source import EtcdSource

    roster = EndpointListBuilder(directory.apply, lambda: directory.version)
    rows = told.known.get("targets") if isinstance(told.known, dict) else None
    known = [str(one.get("uid")) for one in rows or () if isinstance(one, dict)]
    return EtcdSource(options, roster.publish, told.seed, known)
