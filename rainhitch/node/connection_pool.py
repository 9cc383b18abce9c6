"""Connection pools, one per server: they choose the connection of an attempt and close idle ones."""

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
MAX_IDLE_S = 10.0  # idle time after which a connection is surplus
MAX_IDLE_KEEPALIVE_FRACTION = 0.8  # the router closes first: after this part of the server's keepalive
REUSE_DELAY_S = 0.005  # time after a response for unexpected further data to arrive
SWEEP_INTERVAL_S = 1.0
# An idle server connection is closed to admit a client only while more than this fraction of the limit is
# open. Two integers make the fraction exact.
SURPLUS_NUMERATOR = 2
SURPLUS_DENOMINATOR = 3
# A connect that fails with one of these is not the server's fault: the router itself lacks resources.
LOCAL_SHORTAGE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class ConnectionPool:
    """The connections to one server; the newest idle one is used first, so that surplus ones expire."""

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
        self.known_protocol = 0  # RESP version that the server process is known to speak; 0 if unknown
        self.idle: list[UpstreamConnection] = []  # longest idle first
        self.connections: dict[UpstreamConnection, None] = {}  # ordered by opening time
        self.draining = False

    def start(self, exchange: Exchange) -> UpstreamConnection | None:
        """Starts an attempt and returns its connection; None if the router may open no more connections."""
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
        connection.connecting = asyncio.get_running_loop().create_task(self._connect(connection))
        return connection

    def _take_idle(self) -> UpstreamConnection | None:
        """Removes and returns the newest usable idle connection; None if there is none.

        A duplicate response could be taken for the response to the next request. So a connection is not
        reused within REUSE_DELAY_S, and after that only if it has no unread data. A connection that the
        server has closed, or is about to close, is closed here: with a short keepalive the periodic sweep
        comes too late.
        """
        now_s = asyncio.get_running_loop().time()
        for connection in [
            conn for conn in reversed(self.idle) if conn.idle_since_s <= now_s - REUSE_DELAY_S
        ]:
            is_young = connection.idle_since_s > now_s - self.host.max_idle_s
            idle_state = connection.idle_state() if is_young else UNUSABLE
            if idle_state is REUSABLE:
                self.idle.remove(connection)
                return connection
            if idle_state is UNUSABLE:
                connection.close()
        return None

    async def _connect(self, connection: UpstreamConnection) -> None:
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self.host.connect_timeout_s, self._connect_timed_out, connection)
        try:
            await loop.create_connection(lambda: connection, *self.address)
        except OSError as problem:
            if connection.transport is None and not connection.is_closed:
                # A shortage of the router's own resources must not count as a failure of the server.
                is_local = problem.errno in LOCAL_SHORTAGE_ERRNOS
                connection.lost(
                    AttemptStatus.NO_LOCAL_CONNECTION if is_local else AttemptStatus.CONNECT_FAILED
                )
        finally:
            timer.cancel()

    def _connect_timed_out(self, connection: UpstreamConnection) -> None:
        """Fails a connect that has timed out.

        The connect may complete in the same iteration of the event loop as the time-out: then the connection
        is established and carries its attempt, and the time-out has no effect.
        """
        if connection.transport is None and not connection.is_closed:
            connection.lost()
            if connection.connecting is not None:
                connection.connecting.cancel()

    def release(self, connection: UpstreamConnection) -> None:
        """Makes a connection available for another attempt; closes it if the pool is draining."""
        if self.draining or connection not in self.connections:
            connection.close()
            return
        connection.idle_since_s = asyncio.get_running_loop().time()
        self.idle.append(connection)
        self.host.schedule_sweep()

    def drop(self, connection: UpstreamConnection) -> None:
        """Removes a closed connection."""
        if connection in self.connections:
            del self.connections[connection]
            self.host.descriptors.upstream_open -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def drain(self) -> None:
        """Refuses new attempts and closes the connections.

        Idle connections are closed now; those whose attempt is not written yet, in the next iteration of the
        event loop, when the Balancer knows of the drain; the others after their response.
        """
        self.draining = True
        for connection in list(self.idle):
            connection.close()
        for connection in self.connections:
            if connection.write_progress is WriteProgress.NOT_WRITTEN:
                asyncio.get_running_loop().call_soon(connection.drain)

    def close_opened_before(self, time_s: float) -> None:
        """Closes the connections opened before a restart of the server; `time_s` is its loop time."""
        self.known_protocol = 0
        for connection in [conn for conn in self.connections if conn.opened_at_s < time_s]:
            exchange = connection.exchange
            was_written = connection.write_progress is WriteProgress.WRITTEN
            connection.exchange = None
            connection.close()
            if exchange is not None:
                status = AttemptStatus.RESET if was_written else AttemptStatus.CONNECT_FAILED
                exchange.on_finished(AttemptResult(status))


class ConnectionPools:
    """All connection pools, with the limit on open connections and the sweep that closes idle ones."""

    def __init__(self, max_open: int, connect_timeout_s: float, keepalive_s: float) -> None:
        self.max_open = max_open
        self.connect_timeout_s = connect_timeout_s
        self.keepalive_s = keepalive_s  # idle time after which a server closes a connection
        self.system = system.running()
        self.descriptors = DescriptorBudget()
        self.set_max_idle(MAX_IDLE_S)
        self.pools: dict[str, ConnectionPool] = {}  # by server
        self.draining_pools: list[ConnectionPool] = []  # removed or replaced, with attempts still active
        self.sweep_scheduled = False
        self.unknown_pushes = 0
        self.attempts_written = 0
        self.counts = Counts()
        loop = asyncio.get_running_loop()
        self.loop_lag = LoopLag(loop, self.system.now)
        self.key_invalidations = KeyInvalidations(loop)

    def set_max_idle(self, seconds: float) -> None:
        """Sets how long a connection may be idle, which the servers' keepalive limits."""
        # The router closes first, even if it is delayed between checking a connection and writing to it.
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
        """Returns the pool of a server; if the address has changed, a new pool replaces the old one."""
        pool = self.pools.get(name)
        if pool is None or pool.address != address:
            self.remove(name)
            pool = ConnectionPool(self, name, address, make_connection)
            self.pools[name] = pool
        pool.draining = False
        return pool

    def remove(self, name: str) -> None:
        """Removes and drains the pool of a server that is no longer on the list."""
        pool = self.pools.pop(name, None)
        if pool is not None:
            pool.drain()
            self.draining_pools = [old for old in self.draining_pools if old.connections] + [pool]

    def open_count(self) -> int:
        """Returns the number of connections that are open or being opened."""
        return self.descriptors.upstream_open

    def make_room(self) -> bool:
        """Returns whether a connection may be opened; at the limit, closes the longest idle one for it."""
        return self.open_count() < self.descriptors.max_upstream(self.max_open) or self.close_oldest()

    def close_surplus(self) -> bool:
        """Closes the longest idle connection to admit a client, if more connections than needed are open.

        Returns whether one was closed.
        """
        surplus_above = self.max_open * SURPLUS_NUMERATOR // SURPLUS_DENOMINATOR
        return self.open_count() > surplus_above and self.close_oldest()

    def close_oldest(self) -> bool:
        """Closes the longest idle connection; returns False if no connection is idle."""
        oldest = min(
            (pool.idle[0] for pool in self.pools.values() if pool.idle),
            key=lambda connection: connection.idle_since_s,
            default=None,
        )
        if oldest is None:
            return False
        oldest.close()
        return True

    def schedule_sweep(self) -> None:
        """Schedules the sweep of idle connections, unless it is already scheduled."""
        if not self.sweep_scheduled:
            self.sweep_scheduled = True
            asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        self.sweep_scheduled = False
        before_s = asyncio.get_running_loop().time() - self.max_idle_s
        for pool in self.pools.values():
            for connection in [conn for conn in pool.idle if conn.idle_since_s < before_s]:
                connection.close()
        if any(pool.idle for pool in self.pools.values()):
            self.schedule_sweep()
