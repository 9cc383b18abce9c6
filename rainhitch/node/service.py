"""The router put together: its parts, their start, and their end."""

import asyncio
import logging
from functools import partial
from random import Random
from typing import TYPE_CHECKING

import orjson

from rainhitch.admin.figures import Tally
from rainhitch.interface import Members, Round
from rainhitch.node.clients import Clients
from rainhitch.node.configuration import (
    Configuration,
    ConfigurationError,
    Peering,
    read_configuration,
    read_gate,
)
from rainhitch.node.discovery import Directory, ListError, Watch
from rainhitch.node.driver import Driver
from rainhitch.node.pool import Pools
from rainhitch.node.shutdown import schedule
from rainhitch.policy.balancer import Balancer
from rainhitch.storms.damper import Damper
from rainhitch.telemetry.records import WORDS, Bad, Second

if TYPE_CHECKING:
    from rainhitch.admin.house import House
    from rainhitch.fleet.peers import Peers
    from rainhitch.membership.etcd import Source
    from rainhitch.operator import Membership, Operator

PROGRAM = 24 << 20  # bytes that the router takes with next to nothing to do
TELL_EVERY = 200_000_000  # ns between words with the other routers; each answer is told once
SPARE = 24  # descriptors for all that is neither a client's nor a server's
SOON = 16  # connections to servers that may be wanted before clients have made room
LIVES, LIFE = 1_577_836_800 * 10**9, 250_000_000  # ns: a router's life is the quarters of a second since 2020
RECORD_EVERY = 1.0  # s
NAMES = {kind: word for word, kind in WORDS.items()}
log = logging.getLogger("rainhitch")


class Service:
    """One router, on the loop that runs."""

    def __init__(self, told: Configuration, operator: "Operator | None" = None) -> None:
        self.told, self.stopping = told, False
        self.pools = Pools(
            told.sockets * 3 // 8, told.ceilings.dial_timeout / 1e9, told.ceilings.keepalive / 1e9
        )
        # What is left beside the program itself: a quarter for what clients sent, one for what they have not
        # yet sent or read, and half for what servers are sending and what the memory's bookkeeping wastes.
        quarter = max(1 << 20, (told.memory - PROGRAM) // 4)
        self.damper = Damper(
            told.settings, told.seed, None if operator is None else operator.storms.options()
        )
        self.balancer = Balancer(told.settings, told.seed, self.damper)
        self.driver = Driver(self.balancer, self.pools, told.ceilings.most_held, quarter)
        self.driver.tally = Tally(list(told.names.classes))
        self.driver.customers.update((number, name) for name, number in told.names.tenants.items())
        self.clients = Clients(self.driver, told.names, told.sockets // 2, quarter, self.damper)
        share_descriptors(told.sockets, self.pools, self.clients)
        origin_kind = told.settings.origin_kind if told.settings.aside else -1
        self.directory = Directory(told.names, origin_kind, self.pools, self.driver.members)
        if operator is not None:
            heed(operator, self.clients, self.directory)
        self.watch = Watch(told.discovery, self.directory, told.seed, told.settings.must_ask)
        self.etcd: Source | None = None
        self.driver.watch = self.watch.start
        if operator is not None and operator.membership.source == "etcd":
            self.etcd = etcd_source(operator.membership, self.directory, told)
            self.driver.watch = self.etcd.start
        self.house: House | None = None
        self.peers: Peers | None = None
        self.routers = None if operator is None else operator.routers.options()
        self.random = Random(told.seed)
        self.clients.can_serve = self.can_serve
        self.counts = self.pools.counts = self.watch.counts = self.driver.counts

    def can_serve(self) -> bool:
        """Whether PING says yes; while the router ends, its other process may have taken over."""
        return self.directory.can_serve and (self.stopping or not self.clients.leaving)

    async def start(self) -> None:
        """Takes up the known list and listens; raises ConfigurationError where it can't."""
        told = self.told
        asyncio.get_running_loop().call_later(RECORD_EVERY, self._record)
        if told.peers is not None:
            await self._join(told.peers)
        try:
            self.directory.take(told.known, cached=True)
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
            from rainhitch.admin.house import House

            identity = f"{told.listen[0]}:{told.listen[1]}"
            share = partial(cut, told.sockets, self.pools, self.clients)
            self.house = House(self.driver, self.clients, self.directory, identity, share, self.damper.beside)
            if self.peers is not None:
                self.house.steward.believes = self.peers.believes
            log.info("second address %s:%d", *await self.house.open(*told.admin))
        if self.etcd is not None:
            self.etcd.start()
        elif not told.settings.must_ask:
            self.watch.start()

    async def _join(self, told: Peering) -> None:
        """Exchanges advice with the other routers from now on; imported only where there are some."""
        from rainhitch.fleet.exchange import Exchange
        from rainhitch.fleet.options import Options
        from rainhitch.fleet.peers import Peers, join

        def changed(event: Members) -> None:
            peers.listed(list(self.directory.targets))
            self.driver.members(event)

        settings, system = self.told.settings, self.pools.system
        life = max(1, (system.unix() - LIVES) // LIFE & 0xFFFFFFFF)
        customers = max(1, len(settings.tenants))
        exchange = Exchange(
            told.me, len(told.peers), customers, life, system.now(), self.told.seed, self.routers or Options()
        )
        peers = Peers(exchange, told.peers, told.everyone, self.driver.heard)
        if await join(told.listen, peers):
            self.peers, self.driver.tell_peers = peers, peers.send
            peers.counts = self.counts
            settings.tell_every, self.directory.tell = TELL_EVERY, changed
            if exchange.counts is not None:
                self.driver.took = exchange.counts.add
            if exchange.holdings is not None:
                self.balancer.allowance = exchange.holdings.spend
            self._round()

    def _round(self) -> None:
        """Ends a period between routers; each at a time of its own."""
        if self.peers is not None and not self.peers.closed:
            self.driver.heard(Round())
            every = TELL_EVERY * self.random.uniform(0.75, 1.25) / 1e9
            asyncio.get_running_loop().call_later(every, self._round)

    def _record(self) -> None:
        """Writes down what the last second brought."""
        loop = asyncio.get_running_loop()
        system, throttle = self.pools.system, self.balancer.gate.monitor.throttle
        record = self.counts.cut(system.unix() / 1e9, system.cpu())
        if record is not None:
            record.open = self.pools.open()
            record.rate = 0.0 if throttle is None else round(throttle.rate, 1)
            if self.watch.answered_at:
                record.list_age = round(loop.time() - self.watch.answered_at, 2)
            write(record)
        for bad in self.counts.cut_bad():
            write(bad)
        loop.call_later(RECORD_EVERY, self._record)

    def reread(self, path: str | None) -> None:
        """Takes up a new configuration: the watch moves to its discovery, all else runs on as it is. Guards
        against a file that is bad or half written: the router keeps to what it has."""
        tally = self.driver.tally
        try:
            endpoint = read_configuration(path).discovery
        except ConfigurationError as problem:
            tally.rejected += 1
            log.warning("the new configuration is of no use: %s", problem)
            return
        tally.applied += 1
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
            max(one.deadline for one in self.told.settings.classes) / 1e9
        )
        self.driver.stop(times.answered)
        self.clients.send_away()
        if self.house is not None:
            self.house.stop()
        if self.told.inherited is None:
            await asyncio.sleep(times.accepting)
            if self.clients.listener is not None:
                await self.clients.listener.drain()
        self.clients.close()
        await self.clients.emptied(begun + times.gone - loop.time())
        if self.house is not None:
            self.house.close()
        self.watch.stop()
        if self.peers is not None:
            self.peers.close()
        if self.etcd is not None:
            self.etcd.stop()


def write(record: Second | Bad) -> None:
    """A line of the log that `rainhitch logs` reads."""
    log.info("%s %s", NAMES[type(record)], orjson.dumps(record).decode())


def heed(operator: "Operator", clients: Clients, directory: Directory) -> None:
    """Sets what the operator's file says."""
    driver, pools = clients.driver, directory.pools
    limits = operator.clients
    clients.idle_s, clients.at_need_s = limits.idle_s, limits.at_need_s
    clients.unfinished_s, clients.unread_s = limits.unfinished_s, limits.unread_s
    pools.hold_idle(operator.servers.idle_s)
    driver.balancer.settings.move_share = operator.growth.move_share()
    if operator.servers.resp3:
        from rainhitch.node.caches3 import Resp3Connection

        directory.connect, pools.voided = Resp3Connection, driver.voided
    clients.gate = read_gate(limits.user, limits.password_file)


def share_descriptors(sockets: int, pools: Pools, clients: Clients) -> None:
    """Cuts the descriptors of this process between clients and servers."""
    # Guards newcomers against a crowd that says little: what the servers' side does not use is the clients',
    # but for what it may soon want, and both stay under what the process may hold.
    shared = sockets - SPARE
    pools.most, clients.most = sockets * 3 // 8, sockets // 2
    pools.left = lambda: shared - len(clients.open)
    clients.more = lambda: shared - SOON - pools.open()
    clients.spare = pools.spare


def cut(sockets: int, pools: Pools, clients: Clients, processes: int) -> None:
    """The limits hold for all processes of this router together, as during an upgrade."""
    log.info("%d processes of this router: %d descriptors each", processes, sockets // processes)
    share_descriptors(sockets // processes, pools, clients)


def etcd_source(table: "Membership", directory: Directory, told: Configuration) -> "Source":
    """The source that leads in place of discovery; imported only here, where it is on."""
    from rainhitch.membership.choice import MembershipError, etcd_options
    from rainhitch.membership.roster import Roster

    try:
        options = etcd_options(table)
    except MembershipError as problem:
        raise ConfigurationError(str(problem)) from None
    from rainhitch.membership.etcd import Source

    roster = Roster(directory.take, lambda: directory.rev)
    rows = told.known.get("targets") if isinstance(told.known, dict) else None
    known = [str(one.get("uid")) for one in rows or () if isinstance(one, dict)]
    return Source(options, roster.publish, told.seed, known)
