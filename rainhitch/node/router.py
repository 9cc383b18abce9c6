"""The router: creates its components, starts them, and stops them in order."""

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
IDLE_PROGRAM_BYTES = 24 << 20  # memory use of an idle router
MIN_BUFFER_BYTES = 1 << 20
GOSSIP_INTERVAL_NS = 200_000_000
GOSSIP_JITTER = (0.75, 1.25)  # bounds of the factor on each interval
SPARE_DESCRIPTORS = 24  # descriptors for everything except client and server connections
# A router's generation is its start time in units of 250 ms since 2020, modulo 2**32.
GENERATION_EPOCH_UNIX_NS = 1_577_836_800 * NS_PER_S
GENERATION_UNIT_NS = 250_000_000
GENERATION_MASK = 0xFFFFFFFF
RECORD_INTERVAL_S = 1.0
RECORD_LABELS = {kind: label for label, kind in WORDS.items()}
log = logging.getLogger("rainhitch")


class AdminEndpointHandle(Protocol):
    """The admin endpoint, as the router starts and stops it."""

    async def open(self, host: str, port: int) -> tuple[str, int]:
        """Starts to listen and returns the bound address. Raises OSError."""

    def stop(self) -> None:
        """Reports the router as not ready, because it is stopping."""

    def close(self) -> None:
        """Closes the endpoint."""


class Router:
    """One router on the running event loop.

    `make_admin_endpoint` is called if an admin address is configured. The program supplies it, so that this
    package does not import the admin endpoint.
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
        buffer_bytes = buffer_limit_bytes(configuration.memory_bytes)
        self.overload = OverloadController(
            settings, configuration.seed, None if operator is None else operator.storms.options()
        )
        self.balancer = Balancer(settings, configuration.seed, self.overload)
        max_requests = configuration.socket_limits.max_requests
        self.driver = RequestDriver(
            self.balancer, self.pools, max_requests, buffer_bytes, class_names=list(names.classes), host=self
        )
        self.driver.accounting.tenant_names.update((number, name) for name, number in names.tenants.items())
        _, max_clients = connection_limits(configuration.sockets)
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
        """Applies the operator's file, including etcd as the endpoint source in place of discovery."""
        apply_operator_config(operator, self.clients, self.directory)
        if operator.membership.source == "etcd":
            self.etcd = make_etcd_source(operator.membership, self.directory, self.configuration)

    def watch_endpoints(self) -> None:
        """Starts the configured source of the endpoint list."""
        source = self.watch if self.etcd is None else self.etcd
        source.start()

    def publish_gossip(self, observations: list[LatencyObservation]) -> None:
        """Publishes observations to the other routers, if there are any."""
        if self.gossip is not None:
            self.gossip.publish(observations)

    def count_request(self, tenant: int) -> None:
        """Counts a tenant's request if the routers share their tenants' usage."""
        if self.tenant_usage is not None:
            self.tenant_usage.add(tenant)

    def _endpoints_updated(self, event: EndpointUpdate) -> None:
        """Passes an update on to gossip, whose messages refer to the listed servers, and to the driver."""
        if self.gossip is not None:
            self.gossip.set_servers(list(self.directory.targets))
        self.driver.endpoints_updated(event)

    def can_serve(self) -> bool:
        """Returns whether PING succeeds.

        PING still succeeds while this process stops and drains its clients: during an upgrade the other
        process serves at the same address.
        """
        return self.directory.can_serve and (self.stopping or not self.clients.draining)

    async def start(self) -> None:
        """Applies the configured endpoint list and listens; raises ConfigurationError if it can't listen."""
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
        """Starts gossip with the other routers; the modules for it are imported only if there are any."""
        from rainhitch.fleet.gossip_transport import GossipTransport, open_gossip_socket

        exchange = make_gossip_exchange(self.configuration, peering, self.pools.system, self.fleet_options)
        deliver = self.driver.decision_loop.handle
        gossip = GossipTransport(exchange, peering.peers, peering.broadcast, deliver)
        if await open_gossip_socket(peering.listen, gossip):
            self.gossip = gossip
            gossip.counts = self.pools.counts
            self.configuration.settings.gossip_interval_ns = GOSSIP_INTERVAL_NS
            self.tenant_usage = exchange.tenant_usage
            if exchange.quota_escrow is not None:
                self.balancer.attempt_admission.fleet_read_allowance = exchange.quota_escrow.take
            self._end_gossip_interval()

    def _end_gossip_interval(self) -> None:
        """Ends a gossip interval and schedules the next one, jittered so that routers are out of step."""
        if self.gossip is not None and not self.gossip.closed:
            self.driver.decision_loop.handle(GossipIntervalElapsed())
            interval_s = GOSSIP_INTERVAL_NS * self.random.uniform(*GOSSIP_JITTER) / NS_PER_S
            asyncio.get_running_loop().call_later(interval_s, self._end_gossip_interval)

    def _record(self) -> None:
        """Logs the records of the last second."""
        loop = asyncio.get_running_loop()
        system = self.pools.system
        throttle = self.balancer.origin_admission.monitor.throttle
        record = self.pools.counts.take_record(system.unix_ns() / NS_PER_S, system.cpu_s())
        if record is not None:
            record.open = self.pools.open_count()
            record.rate = 0.0 if throttle is None else round(throttle.rate_per_s, 1)
            if self.watch.last_response_at_s:
                record.list_age = round(loop.time() - self.watch.last_response_at_s, 2)
            write_record(record)
        for bad in self.pools.counts.take_bad_requests():
            write_record(bad)
        loop.call_later(RECORD_INTERVAL_S, self._record)

    def reload_configuration(self, path: str | None) -> None:
        """Reloads the configuration file, of which only the discovery address takes effect.

        If the file is invalid or partly written, the router keeps its current configuration.
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
        """Stops the router: answers the requests in flight and closes the clients' connections."""
        loop = asyncio.get_running_loop()
        log.info("router stopping")
        self.stopping = True
        begun_at_s = loop.time()
        schedule = shutdown_schedule(
            max(request_class.deadline_ns for request_class in self.configuration.settings.classes) / NS_PER_S
        )
        self.clients.client_drain.schedule = schedule
        self.driver.stop(schedule.all_answered_s)
        self.clients.drain()
        if self.admin is not None:
            self.admin.stop()
        if self.configuration.inherited_fd is None:
            await asyncio.sleep(schedule.stop_accepting_s)
            if self.clients.listener is not None:
                await self.clients.listener.accept_backlog()
        self.clients.close()
        await self.clients.wait_until_closed(begun_at_s + schedule.exit_s - loop.time())
        if self.admin is not None:
            self.admin.close()
        self.watch.stop()
        if self.gossip is not None:
            self.gossip.close()
        if self.etcd is not None:
            self.etcd.stop()


def write_record(record: Second | Bad) -> None:
    """Logs a record as a line that `rainhitch logs` can parse."""
    log.info("%s %s", RECORD_LABELS[type(record)], orjson.dumps(record).decode())


def apply_operator_config(
    operator: "OperatorConfig", clients: ClientConnections, directory: EndpointDirectory
) -> None:
    """Applies the settings of the operator's file to clients, servers and key migration."""
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
    """Returns the server connection pools, with their share of the descriptors."""
    max_open, _ = connection_limits(configuration.sockets)
    limits = configuration.socket_limits
    return ConnectionPools(max_open, limits.connect_timeout_ns / NS_PER_S, limits.keepalive_ns / NS_PER_S)


def buffer_limit_bytes(memory_bytes: int) -> int:
    """Returns the limit in bytes of requests in flight, which is also that of the clients' buffers.

    The clients' buffers hold unfinished commands and unread responses. Each of the two gets a quarter of the
    memory that the program itself leaves; the other half is for data from servers and allocator overhead.
    """
    return max(MIN_BUFFER_BYTES, (memory_bytes - IDLE_PROGRAM_BYTES) // 4)


def connection_limits(sockets: int) -> tuple[int, int]:
    """Returns the limits of server connections and of client connections for a number of descriptors."""
    return sockets * 3 // 8, sockets // 2


def split_descriptors(sockets: int, pools: ConnectionPools, clients: ClientConnections) -> None:
    """Splits the descriptors of this process between client and server connections."""
    pools.max_open, clients.max_open = connection_limits(sockets)
    pools.descriptors.shared = sockets - SPARE_DESCRIPTORS


def split_between_processes(
    sockets: int, pools: ConnectionPools, clients: ClientConnections, process_count: int
) -> None:
    """Divides the descriptors between the processes that this router has during an upgrade.

    The limits apply to all processes of the router together.
    """
    share = sockets // process_count
    log.info("descriptors split between processes processes=%d descriptors_each=%d", process_count, share)
    split_descriptors(share, pools, clients)


def make_gossip_exchange(
    configuration: Configuration, peering: Peering, system: System, options: "FleetOptions | None"
) -> "GossipExchange":
    """Returns the exchange that decides what this router publishes; imported only if there are others."""
    from rainhitch.fleet.gossip_exchange import GossipExchange
    from rainhitch.fleet.options import FleetOptions

    generation = max(1, (system.unix_ns() - GENERATION_EPOCH_UNIX_NS) // GENERATION_UNIT_NS & GENERATION_MASK)
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
    """Returns the etcd source that replaces discovery; its modules are imported only if it is enabled."""
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
    known_servers = [str(row.get("uid")) for row in rows or () if isinstance(row, dict)]
    return EtcdSource(options, builder.publish, configuration.seed, known_servers)
