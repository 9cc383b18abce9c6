"""The router put together: its parts, their start, and their end."""

import asyncio
import logging
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Protocol

import orjson

from rainhitch.interface import EndpointUpdate, GossipIntervalElapsed, LatencyObservation
from rainhitch.node.client_connections import ClientConnections
from rainhitch.node.configuration import (
    Configuration,
    ConfigurationError,
    Peering,
    read_authenticator,
    read_configuration,
)
from rainhitch.node.connection_pool import ConnectionPools
from rainhitch.node.discovery_watch import DiscoveryWatch
from rainhitch.node.endpoint_directory import EndpointDirectory
from rainhitch.node.endpoint_list import EndpointListError
from rainhitch.node.request_driver import RequestDriver
from rainhitch.node.shutdown import shutdown_schedule
from rainhitch.overload.controller import OverloadController
from rainhitch.policy.balancer import Balancer
from rainhitch.system import System
from rainhitch.telemetry.records import WORDS, Bad, Second

if TYPE_CHECKING:
    from rainhitch.fleet.gossip_exchange import GossipExchange
    from rainhitch.fleet.gossip_transport import GossipTransport
    from rainhitch.fleet.options import FleetOptions
    from rainhitch.fleet.tenant_usage import TenantUsage
    from rainhitch.membership.etcd_source import EtcdSource
    from rainhitch.operator_config import Membership, OperatorConfig

NS_PER_S = 1_000_000_000
IDLE_PROGRAM_BYTES = 24 << 20  # that the router takes with next to nothing to do
MIN_BUFFER_BYTES = 1 << 20
GOSSIP_INTERVAL_NS = 200_000_000
GOSSIP_JITTER = (0.75, 1.25)  # bounds of the factor on each interval
SPARE_DESCRIPTORS = 24  # for all that is neither a client's nor a server's
# A router's generation is its start in quarters of a second since 2020, 32 bits of it.
GENERATION_EPOCH_UNIX_NS = 1_577_836_800 * NS_PER_S
GENERATION_UNIT_NS = 250_000_000
GENERATION_MASK = 0xFFFFFFFF
RECORD_INTERVAL_S = 1.0
RECORD_WORDS = {kind: word for word, kind in WORDS.items()}
log = logging.getLogger("rainhitch")


class AdminEndpointHandle(Protocol):
    """The operators' endpoint, as the router starts and ends it."""

    async def open(self, host: str, port: int) -> tuple[str, int]:
        """Begins to listen; gives the address. Raises OSError."""

    def stop(self) -> None:
        """The router is stopping: it is not ready any more."""

    def close(self) -> None:
        """Ends it."""


class Router:
    """One router, on the loop that runs.

    `make_admin_endpoint` is called where an admin address is configured; the program gives it, so that this
    package does not know the endpoint.
    """

    def __init__(
        self,
        configuration: Configuration,
        operator: "OperatorConfig | None" = None,
        make_admin_endpoint: "Callable[[Router], AdminEndpointHandle] | None" = None,
    ) -> None:
        self.configuration = configuration
        self.make_admin_endpoint = make_admin_endpoint
        self.stopping = False
        settings = configuration.settings
        names = configuration.names
        self.admin: AdminEndpointHandle | None = None
        self.gossip: GossipTransport | None = None
        self.etcd: EtcdSource | None = None
        self.tenant_usage: TenantUsage | None = None
        self.pools = make_pools(configuration)
        buffer_bytes = buffer_share(configuration.memory_bytes)
        self.overload = OverloadController(
            settings, configuration.seed, None if operator is None else operator.storms.options()
        )
        self.balancer = Balancer(settings, configuration.seed, self.overload)
        max_requests = configuration.ceilings.max_requests
        self.driver = RequestDriver(
            self.balancer, self.pools, max_requests, buffer_bytes, class_names=list(names.classes), host=self
        )
        self.driver.accounting.tenant_names.update((number, name) for name, number in names.tenants.items())
        _, max_clients = socket_caps(configuration.sockets)
        self.clients = ClientConnections(
            self.driver, names, max_clients, buffer_bytes, can_serve=self.can_serve, overload=self.overload
        )
        split_descriptors(configuration.sockets, self.pools, self.clients)
        origin_kind = settings.origin_kind if settings.cache_aside else -1
        self.directory = EndpointDirectory(names, origin_kind, self.pools, self._endpoints_updated)
        self.watch = DiscoveryWatch(
            configuration.discovery, self.directory, configuration.seed, settings.endpoints_polled
        )
        if operator is not None:
            self._apply_operator_config(operator)
        self.fleet_options = None if operator is None else operator.routers.options()
        self.random = Random(configuration.seed)

    def _apply_operator_config(self, operator: "OperatorConfig") -> None:
        """Sets what the operator's file says, also whether etcd leads in place of discovery."""
        apply_operator_config(operator, self.clients, self.directory)
        if operator.membership.source == "etcd":
            self.etcd = make_etcd_source(operator.membership, self.directory, self.configuration)

    def watch_endpoints(self) -> None:
        """Asks the source of the endpoint list for it."""
        source = self.watch if self.etcd is None else self.etcd
        source.start()

    def publish_gossip(self, observations: list[LatencyObservation]) -> None:
        """Tells the other routers, where there are some."""
        if self.gossip is not None:
            self.gossip.publish(observations)

    def request_taken(self, tenant: int) -> None:
        """Counts a tenant's request, where routers add up what tenants use."""
        if self.tenant_usage is not None:
            self.tenant_usage.add(tenant)

    def _endpoints_updated(self, event: EndpointUpdate) -> None:
        """Other routers' words are read by the servers of the list."""
        if self.gossip is not None:
            self.gossip.set_servers(list(self.directory.targets))
        self.driver.endpoints_updated(event)

    def can_serve(self) -> bool:
        """Whether PING says yes.

        While this process stops it does so, though it drains its clients: during an upgrade the other process
        serves at the same address.
        """
        return self.directory.can_serve and (self.stopping or not self.clients.draining)

    async def start(self) -> None:
        """Takes in the known list and listens; raises ConfigurationError where it can't."""
        configuration = self.configuration
        asyncio.get_running_loop().call_later(RECORD_INTERVAL_S, self._record)
        if configuration.peers is not None:
            await self._join_fleet(configuration.peers)
        try:
            self.directory.apply(configuration.known_list, cached=True)
        except EndpointListError as problem:
            log.warning("known endpoint list rejected problem=%s", problem)
        try:
            host, port = await self.clients.listen(*configuration.listen, configuration.inherited_fd)
        except OSError as problem:
            listen_host, listen_port = configuration.listen
            raise ConfigurationError(f"can't listen on {listen_host}:{listen_port}: {problem}") from None
        log.info("listening on %s:%d", host, port)
        if configuration.admin is not None and self.make_admin_endpoint is not None:
            self.admin = self.make_admin_endpoint(self)
            admin_host, admin_port = await self.admin.open(*configuration.admin)
            log.info("admin endpoint opened address=%s:%d", admin_host, admin_port)
        if self.etcd is not None:
            self.etcd.start()
        elif not configuration.settings.endpoints_polled:
            self.watch.start()

    async def _join_fleet(self, peering: Peering) -> None:
        """Gossips with the other routers from now on; imported only where there are some."""
        from rainhitch.fleet.gossip_transport import GossipTransport, join

        exchange = make_gossip_exchange(self.configuration, peering, self.pools.system, self.fleet_options)
        deliver = self.driver.decisions.handle
        gossip = GossipTransport(exchange, peering.peers, peering.broadcast, deliver)
        if await join(peering.listen, gossip):
            self.gossip = gossip
            gossip.counts = self.pools.counts
            self.configuration.settings.gossip_interval_ns = GOSSIP_INTERVAL_NS
            self.tenant_usage = exchange.tenant_usage
            if exchange.quota_escrow is not None:
                self.balancer.attempt_admission.fleet_read_allowance = exchange.quota_escrow.take
            self._end_gossip_interval()

    def _end_gossip_interval(self) -> None:
        """Ends an interval of gossip; each router's are jittered."""
        if self.gossip is not None and not self.gossip.closed:
            self.driver.decisions.handle(GossipIntervalElapsed())
            interval_s = GOSSIP_INTERVAL_NS * self.random.uniform(*GOSSIP_JITTER) / NS_PER_S
            asyncio.get_running_loop().call_later(interval_s, self._end_gossip_interval)

    def _record(self) -> None:
        """Writes down what the last second brought."""
        loop = asyncio.get_running_loop()
        system = self.pools.system
        throttle = self.balancer.origin_admission.monitor.throttle
        record = self.pools.counts.take_record(system.unix() / NS_PER_S, system.cpu())
        if record is not None:
            record.open = self.pools.open_count()
            record.rate = 0.0 if throttle is None else round(throttle.rate_per_s, 1)
            if self.watch.answered_at:
                record.list_age = round(loop.time() - self.watch.answered_at, 2)
            write_record(record)
        for bad in self.pools.counts.take_bad_requests():
            write_record(bad)
        loop.call_later(RECORD_INTERVAL_S, self._record)

    def reload_configuration(self, path: str | None) -> None:
        """Takes in a new configuration: the watch moves to its discovery, all else runs on as it is.

        Guards against a file that is bad or half written: the router keeps to what it has.
        """
        metrics = self.driver.metrics
        try:
            discovery = read_configuration(path).discovery
        except ConfigurationError as problem:
            metrics.configurations_rejected += 1
            log.warning("configuration rejected problem=%s", problem)
            return
        metrics.configurations_applied += 1
        if self.etcd is not None:
            log.info("configuration reloaded source=etcd discovery=unused")
            return
        host, port = discovery
        log.info("configuration reloaded source=discovery discovery=%s:%d", host, port)
        self.watch.move(discovery)

    async def stop(self) -> None:
        """Ends: answers all that is held, closes the clients' connections, and holds nothing more."""
        loop = asyncio.get_running_loop()
        log.info("router stopping")
        self.stopping = True
        begun_at_s = loop.time()
        times = shutdown_schedule(
            max(one.deadline_ns for one in self.configuration.settings.classes) / NS_PER_S
        )
        self.clients.schedule = times
        self.driver.stop(times.all_answered_s)
        self.clients.drain()
        if self.admin is not None:
            self.admin.stop()
        if self.configuration.inherited_fd is None:
            await asyncio.sleep(times.stop_accepting_s)
            if self.clients.listener is not None:
                await self.clients.listener.accept_backlog()
        self.clients.close()
        await self.clients.wait_until_closed(begun_at_s + times.exit_s - loop.time())
        if self.admin is not None:
            self.admin.close()
        self.watch.stop()
        if self.gossip is not None:
            self.gossip.close()
        if self.etcd is not None:
            self.etcd.stop()


def write_record(record: Second | Bad) -> None:
    """Writes a line of the log that `rainhitch logs` reads."""
    log.info("%s %s", RECORD_WORDS[type(record)], orjson.dumps(record).decode())


def apply_operator_config(
    operator: "OperatorConfig", clients: ClientConnections, directory: EndpointDirectory
) -> None:
    """Sets what the operator's file says."""
    driver = clients.driver
    pools = directory.pools
    limits = operator.clients
    clients.idle_grace_s = limits.idle_s
    clients.idle_grace_near_cap_s = limits.at_need_s
    clients.unfinished_command_limit_s = limits.unfinished_s
    clients.unread_responses_limit_s = limits.unread_s
    pools.set_max_idle(operator.servers.idle_s)
    driver.balancer.settings.migration_fraction = operator.growth.migration_fraction()
    if operator.servers.resp3:
        from rainhitch.node.resp3_cache_connection import Resp3CacheConnection

        directory.cache_connection_class = Resp3CacheConnection
    clients.authenticator = read_authenticator(limits.user, limits.password_file)


def make_pools(configuration: Configuration) -> ConnectionPools:
    """The servers' side, with its part of the descriptors."""
    max_open, _ = socket_caps(configuration.sockets)
    ceilings = configuration.ceilings
    return ConnectionPools(max_open, ceilings.connect_timeout_ns / NS_PER_S, ceilings.keepalive_ns / NS_PER_S)


def buffer_share(memory_bytes: int) -> int:
    """How many bytes of clients' requests may be held, and as many of what they have not yet sent or read.

    Of what is left beside the program itself each of these gets a quarter; half is for what servers are
    sending and what the memory's bookkeeping wastes.
    """
    return max(MIN_BUFFER_BYTES, (memory_bytes - IDLE_PROGRAM_BYTES) // 4)


def socket_caps(sockets: int) -> tuple[int, int]:
    """The most connections to servers, and the most of clients, of so many descriptors."""
    return sockets * 3 // 8, sockets // 2


def split_descriptors(sockets: int, pools: ConnectionPools, clients: ClientConnections) -> None:
    """Splits the descriptors of this process between clients and servers."""
    pools.max_open, clients.max_open = socket_caps(sockets)
    pools.descriptors.shared = sockets - SPARE_DESCRIPTORS


def split_between_processes(
    sockets: int, pools: ConnectionPools, clients: ClientConnections, process_count: int
) -> None:
    """The limits hold for all processes of this router together, as during an upgrade."""
    each = sockets // process_count
    log.info("descriptors split between processes processes=%d descriptors_each=%d", process_count, each)
    split_descriptors(each, pools, clients)


def make_gossip_exchange(
    configuration: Configuration, peering: Peering, system: System, options: "FleetOptions | None"
) -> "GossipExchange":
    """What decides what this router publishes to the others; imported only here, where there are some."""
    from rainhitch.fleet.gossip_exchange import GossipExchange
    from rainhitch.fleet.options import FleetOptions

    generation = max(1, (system.unix() - GENERATION_EPOCH_UNIX_NS) // GENERATION_UNIT_NS & GENERATION_MASK)
    return GossipExchange(
        peering.own_index,
        len(peering.peers),
        max(1, len(configuration.settings.tenants)),
        generation,
        system.now(),
        seed=configuration.seed,
        options=options or FleetOptions(),
    )


def make_etcd_source(
    membership: "Membership", directory: EndpointDirectory, configuration: Configuration
) -> "EtcdSource":
    """The source of endpoints in place of discovery; imported only here, where it is on."""
    from rainhitch.membership.endpoint_list_builder import EndpointListBuilder
    from rainhitch.membership.errors import MembershipError
    from rainhitch.membership.etcd_settings import etcd_options

    try:
        options = etcd_options(membership)
    except MembershipError as problem:
        raise ConfigurationError(str(problem)) from None
    from rainhitch.membership.etcd_source import EtcdSource

    builder = EndpointListBuilder(directory.apply, lambda: directory.version)
    known = configuration.known_list
    rows = known.get("targets") if isinstance(known, dict) else None
    known_servers = [str(one.get("uid")) for one in rows or () if isinstance(one, dict)]
    return EtcdSource(options, builder.publish, configuration.seed, known_servers)
