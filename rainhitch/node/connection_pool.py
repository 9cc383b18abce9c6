"""The connections to each server, which of them an attempt uses, and when idle ones are closed."""

import asyncio
import errno
from collections.abc import Callable

from rainhitch import system
from rainhitch.interface import Address, AttemptStatus
from rainhitch.node.deadlines import HOST_DELAY_NS
from rainhitch.node.descriptors import DescriptorBudget
from rainhitch.node.exchange import AttemptResult, Exchange
from rainhitch.node.key_invalidations import KeyInvalidations
from rainhitch.node.loop_lag import LoopLag
from rainhitch.node.upstream_connection import UpstreamConnection, WriteProgress
from rainhitch.node.upstream_socket import REUSABLE, UNUSABLE
from rainhitch.telemetry.counts import Counts

NS_PER_S = 1_000_000_000
MAX_IDLE_S = 10.0  # an idle connection that is older than this is surplus
MAX_IDLE_KEEPALIVE_FRACTION = 0.8  # of the server's keepalive: closed well before the server does
REUSE_DELAY_S = 0.005  # after an answer, in which what comes behind it shows
SWEEP_INTERVAL_S = 1.0
# The fraction of the cap above which a client may take a connection's place: two integers, since it is exact.
SURPLUS_NUMERATOR = 2
SURPLUS_DENOMINATOR = 3
# A connect that fails with one of these says nothing of the server: the router itself can open no more.
LOCAL_SHORTAGE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class ConnectionPool:
    """The connections to one server. The newest idle one is used first, so that surplus ones age."""

    def __init__(
        self,
        host: "ConnectionPools",
        name: str,
        address: Address,
        make_connection: "Callable[[ConnectionPool], UpstreamConnection]",
    ) -> None:
        self.host = host
        self.name = name
        self.address = address
        self.make_connection = make_connection
        self.known_protocol = 0  # RESP version that the server's process was found to speak; 0: not known
        self.idle: list[UpstreamConnection] = []  # the longest idle first
        self.connections: dict[UpstreamConnection, None] = {}  # in the order in which they were opened
        self.draining = False

    def start(self, exchange: Exchange) -> UpstreamConnection | None:
        """Begins an attempt; None where the router may open no more connections."""
        connection = self._take_idle()
        if connection is not None:
            connection.reused = True
            connection.start_exchange(exchange)
            return connection
        if not self.host.make_room():
            return None
        connection = self.make_connection(self)
        self.connections[connection] = None
        self.host.descriptors.upstream_open += 1
        self.host.counts.add("links", "new")
        connection.exchange = exchange
        connection.opened_at_s = asyncio.get_running_loop().time()
        connection.connecting = asyncio.get_running_loop().create_task(self._dial(connection))
        return connection

    def _take_idle(self) -> UpstreamConnection | None:
        """The newest idle connection that can be used.

        Guards against a second copy of an answer behind the first, which would pass for the next one's: a
        connection rests for REUSE_DELAY_S, then nothing may be there to be read. One that the peer has
        closed, or is about to, is passed over: the server closes idle connections, and for a short keepalive
        the sweep comes too late.
        """
        now_s = asyncio.get_running_loop().time()
        for connection in [one for one in reversed(self.idle) if one.idle_since_s <= now_s - REUSE_DELAY_S]:
            is_young = connection.idle_since_s > now_s - self.host.max_idle_s
            idle_state = connection.idle_state() if is_young else UNUSABLE
            if idle_state is REUSABLE:
                self.idle.remove(connection)
                return connection
            if idle_state is UNUSABLE:
                connection.close()
        return None

    async def _dial(self, connection: UpstreamConnection) -> None:
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self.host.connect_timeout_s, self._connect_timed_out, connection)
        try:
            await loop.create_connection(lambda: connection, *self.address)
        except OSError as problem:
            if connection.transport is None and not connection.is_closed:
                # Guards a server's estimates: that the router itself can open no more is not its fault.
                is_local = problem.errno in LOCAL_SHORTAGE_ERRNOS
                connection.lost(
                    AttemptStatus.NO_LOCAL_CONNECTION if is_local else AttemptStatus.CONNECT_FAILED
                )
        finally:
            timer.cancel()

    def _connect_timed_out(self, connection: UpstreamConnection) -> None:
        """The time to connect is over.

        Guards against a time-out in the turn in which a connection comes up: it has not come up, or it
        carries its attempt, and nothing between.
        """
        if connection.transport is None and not connection.is_closed:
            connection.lost()
            if connection.connecting is not None:
                connection.connecting.cancel()

    def release(self, connection: UpstreamConnection) -> None:
        """Takes back a connection that can carry another attempt."""
        if self.draining or connection not in self.connections:
            connection.close()
            return
        connection.idle_since_s = asyncio.get_running_loop().time()
        self.idle.append(connection)
        self.host.plan_sweep()

    def drop(self, connection: UpstreamConnection) -> None:
        """Forgets a connection that is closed."""
        if connection in self.connections:
            del self.connections[connection]
            self.host.descriptors.upstream_open -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def drain(self) -> None:
        """No further attempt may begin here.

        Idle connections are closed now, those that wait to come up in the next turn of the loop, when the
        decisions know, and the others after their answer.
        """
        self.draining = True
        for connection in list(self.idle):
            connection.close()
        for connection in self.connections:
            if connection.write_progress is WriteProgress.NOT_WRITTEN:
                asyncio.get_running_loop().call_soon(connection.drain)

    def close_opened_before(self, time_s: float) -> None:
        """The server has restarted at that loop time: connections opened before it lead nowhere."""
        self.known_protocol = 0
        for connection in [one for one in self.connections if one.opened_at_s < time_s]:
            exchange = connection.exchange
            was_written = connection.write_progress is WriteProgress.WRITTEN
            connection.exchange = None
            connection.close()
            if exchange is not None:
                status = AttemptStatus.RESET if was_written else AttemptStatus.CONNECT_FAILED
                exchange.on_finished(AttemptResult(status))


class ConnectionPools:
    """All pools: their number of sockets, and the sweep that closes what has idled too long."""

    def __init__(self, max_open: int, connect_timeout_s: float, keepalive_s: float) -> None:
        self.max_open = max_open
        self.connect_timeout_s = connect_timeout_s
        self.keepalive_s = keepalive_s  # after which a server closes an idle connection
        self.system = system.running()
        self.descriptors = DescriptorBudget()
        self.set_max_idle(MAX_IDLE_S)
        self.pools: dict[str, ConnectionPool] = {}  # by server
        self.draining_pools: list[ConnectionPool] = []  # replaced, with attempts still active
        self.sweep_planned = False
        self.unknown_pushes = 0
        self.attempts_written = 0
        self.counts = Counts()
        loop = asyncio.get_running_loop()
        self.loop_lag = LoopLag(loop, self.system.now)
        self.key_invalidations = KeyInvalidations(loop)

    def set_max_idle(self, seconds: float) -> None:
        """Sets for how long a connection may be idle; a server's keepalive bounds it."""
        # Closed before the server does, also where the process is delayed between the look and the write.
        bound_s = min(
            self.keepalive_s * MAX_IDLE_KEEPALIVE_FRACTION, self.keepalive_s - HOST_DELAY_NS / NS_PER_S
        )
        self.max_idle_s = min(seconds, max(0.0, bound_s))

    def add(
        self,
        name: str,
        address: Address,
        make_connection: Callable[[ConnectionPool], UpstreamConnection],
    ) -> ConnectionPool:
        """The pool of a server; one at another address takes the place of the old."""
        pool = self.pools.get(name)
        if pool is None or pool.address != address:
            self.remove(name)
            pool = ConnectionPool(self, name, address, make_connection)
            self.pools[name] = pool
        pool.draining = False
        return pool

    def remove(self, name: str) -> None:
        """Retires the pool of a server that has left the list."""
        pool = self.pools.pop(name, None)
        if pool is not None:
            pool.drain()
            self.draining_pools = [one for one in self.draining_pools if one.connections] + [pool]

    def open_count(self) -> int:
        """The number of connections that are open, or being opened."""
        return self.descriptors.upstream_open

    def make_room(self) -> bool:
        """Whether one more connection may be opened; the longest idle one makes room for it."""
        return self.open_count() < self.descriptors.max_upstream(self.max_open) or self.close_oldest()

    def close_surplus(self) -> bool:
        """Gives up one idle connection for a client, where more than that fraction of the cap are open."""
        surplus_above = self.max_open * SURPLUS_NUMERATOR // SURPLUS_DENOMINATOR
        return self.open_count() > surplus_above and self.close_oldest()

    def close_oldest(self) -> bool:
        """Closes the connection that has idled longest; False where none is idle."""
        oldest = min(
            (pool.idle[0] for pool in self.pools.values() if pool.idle),
            key=lambda one: one.idle_since_s,
            default=None,
        )
        if oldest is None:
            return False
        oldest.close()
        return True

    def plan_sweep(self) -> None:
        """Plans to close what is idle for too long, unless that is planned already."""
        if not self.sweep_planned:
            self.sweep_planned = True
            asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        self.sweep_planned = False
        before_s = asyncio.get_running_loop().time() - self.max_idle_s
        for pool in self.pools.values():
            for connection in [one for one in pool.idle if one.idle_since_s < before_s]:
                connection.close()
        if any(pool.idle for pool in self.pools.values()):
            self.plan_sweep()
