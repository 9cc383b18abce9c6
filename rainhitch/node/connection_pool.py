"""Connections to one server and which of them an attempt uses; what they speak is the subclass's."""

import asyncio
import errno
import logging
from abc import abstractmethod
from collections.abc import Callable
from typing import cast

from rainhitch import system
from rainhitch.interface import Address, AttemptStatus
from rainhitch.node.client_request import AttemptResult, ClientRequest, Exchange
from rainhitch.node.deadlines import HELD_UP
from rainhitch.node.relay import Relay
from rainhitch.telemetry.counts import Counts

IDLE_MOST = 10.0  # s after which an idle connection is surplus: it costs more than opening one anew
SECOND = 1_000_000_000
IDLE_PART = 0.8  # of the server's keepalive: closed well before the server does
SETTLE = 0.005  # s after an answer in which what comes behind it shows
SWEEP = 1.0
PIECE = 64 << 10  # bytes that the system may hold for us on a connection; it takes twice that for its own
OUR_OWN = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
log = logging.getLogger("rainhitch")


class UpstreamConnection(asyncio.Protocol):
    """A connection that carries one attempt at a time and tells how it ended."""

    def __init__(self, pool: "ConnectionPool") -> None:
        self.pool = pool
        self.exchange: Exchange | None = None
        self.transport: asyncio.Transport | None = None
        self.dialling: asyncio.Task[None] | None = None
        self.unsent = True  # the last byte of what is asked is not yet with the system
        self.begun = False  # something of it may be
        self.dead = False  # given up, whatever comes up late
        self.since = 0.0  # when it was opened
        self.reused = False  # it has carried more than what it was opened for
        self.idle_since = 0.0
        self.relay: Relay | None = None  # where a long value is passed on

    def info(self, exchange: Exchange) -> bytes:
        """What goes beside key and id. Guards against time that is over, with a dial or an earlier attempt,
        told as time to work in: what is left counts from here."""
        return exchange.call.info_for(exchange.until - self.pool.pools.system.now())

    @abstractmethod
    def encode(self, call: ClientRequest, info: bytes) -> bytes:
        """The bytes to write for an attempt, with the list of names and values that goes on."""

    @abstractmethod
    def read(self, data: bytes) -> None:
        """Takes in what came while an attempt is out; ends it by finish or spoil."""

    def start_exchange(self, exchange: Exchange) -> None:
        self.exchange, self.begun, self.unsent = exchange, False, True
        if self.transport is not None:
            self._write()

    def _write(self) -> None:
        assert self.exchange is not None and self.transport is not None
        info = self.info(self.exchange)
        # Guards against what changed while the connection came up or the process was held up: the server may
        # drain by now, the client may have left, and the time in which a repeat is harmless may be over.
        # Asked behind the last reading of the clock, right before the write.
        if self.pool.retired or not self.exchange.may_begin():
            self.finish(AttemptResult(AttemptStatus.ABANDONED))
            return
        try:
            asked = self.encode(self.exchange.call, info)
        except Exception:
            log.exception("an attempt could not be written")
            self.finish(AttemptResult(AttemptStatus.ABANDONED), reusable=False)
            return
        self.unsent, self.begun = False, True
        self.transport.write(asked)
        # A write that failed at once handed nothing over: what it asked for never ran.
        self.unsent = self.unsent or self.transport.is_closing()
        if not self.unsent:
            self._whole()

    def _whole(self) -> None:
        self.pool.pools.attempts_written += 1

    def abandon(self) -> bool:
        """Ends the attempt that is out; whether it may have run. Guards against second copies: the system
        is told to close before this returns, and so before anybody may send another attempt."""
        self.exchange, unsent = None, self.unsent
        self.close()
        return not unsent

    def has_unread_answer(self) -> bool:
        """Whether something has come for the attempt that is out and was not read yet."""
        transport = self.transport
        if self.exchange is None or transport is None or transport.is_closing():
            return False
        return self.pool.pools.system.readable(transport)

    def withdraw(self) -> bool:
        """Takes the attempt back if it is not written whole, so that it never began there. Where nothing of
        it was, the connection is the next one's."""
        if self.exchange is None or not self.unsent:
            return False
        self.exchange = None
        if self.begun:
            self.close()
        return True

    def retire(self) -> None:
        """The server drains: an attempt that waits for the connection is ended, to be sent elsewhere."""
        exchange = self.exchange
        if self.withdraw() and exchange is not None:
            self.close()
            exchange.done(AttemptResult(AttemptStatus.ABANDONED))

    def start_relay(self, size: int) -> None:
        """A long value has begun. Where nobody wants it, the connection is closed."""
        assert self.exchange is not None
        self.relay = self.exchange.begin(self, size)
        if self.relay is None:
            self.finish(AttemptResult(AttemptStatus.OK), reusable=False)

    def hold(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def go_on(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def close(self) -> None:
        self._break_relay()
        self.pool.drop(self)
        self.dead = True
        if self.transport is None:
            if self.dialling is not None:
                self.dialling.cancel()
            return
        self.pool.pools.system.shut(self.transport)
        self.transport.abort()

    def _break_relay(self) -> None:
        relay, self.relay = self.relay, None
        if relay is not None:
            relay.break_off()

    def finish(self, ending: AttemptResult, reusable: bool = True) -> None:
        """Ends the attempt; the connection is free before anybody hears of it."""
        if self.relay is not None and ending.status is AttemptStatus.OK:
            relay, self.relay = self.relay, None
            relay.finish()
        exchange, self.exchange = self.exchange, None
        # Guards the next request against the rest of one that was answered before its last byte was written.
        if reusable and not (self.begun and self.unsent):
            self.pool.release(self)
        else:
            self.close()
        if exchange is not None:
            exchange.done(ending)

    def fail_protocol(self) -> None:
        """What came can't be read: the attempt is reset and the connection of no further use."""
        self.finish(AttemptResult(AttemptStatus.RESET), reusable=False)

    def lost(self, never_up: AttemptStatus = AttemptStatus.CONNECT_FAILED) -> None:
        """The connection is gone or never came up."""
        self._break_relay()
        self.dead = True
        status = never_up if self.unsent else AttemptStatus.RESET
        if self.transport is None:
            self.pool.pools.counts.add(
                "links", "refused" if status is AttemptStatus.CONNECT_FAILED else "no room"
            )
        self.pool.drop(self)
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.done(AttemptResult(status))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.dead:
            # Guards against a dial that was given up in the very turn in which it came up.
            self.transport.abort()
            return
        self.transport.set_write_buffer_limits(0)  # so that every byte that waits here is told
        # Guards memory: what is read at once is held for each client that reads slowly.
        self.pool.pools.system.bound_reads(self.transport, PIECE)
        self.connected()

    def connected(self) -> None:
        """The connection can carry a request; where nobody waits for it any more, the next one's."""
        if self.exchange is None:
            self.pool.release(self)
        else:
            self._write()

    def is_reusable(self) -> bool | None:
        """Whether an idle connection can carry a request; None: not now, and it is to stay."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        return not self.pool.pools.system.readable(transport)

    def pause_writing(self) -> None:
        self.unsent = True

    def resume_writing(self) -> None:
        if self.unsent:
            self._whole()
        self.unsent = False

    def data_received(self, data: bytes) -> None:
        self.pool.pools.callback_begins()
        if self.exchange is None:
            self.close()  # nothing was asked
            return
        try:
            self.read(data)
        except Exception:
            log.exception("an answer could not be handled")
            self.fail_protocol()
        self.pool.pools.callback_ends()

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost()


class ConnectionPool:
    """The connections to one server. The newest idle one is used first, so that surplus ones age."""

    def __init__(
        self,
        pools: "ConnectionPools",
        name: str,
        endpoint: Address,
        make: "Callable[[ConnectionPool], UpstreamConnection]",
    ) -> None:
        self.pools, self.name, self.address, self.make = pools, name, endpoint, make
        self.speaks = 0  # the protocol that the server's process was found to speak; 0: not known
        self.idle: list[UpstreamConnection] = []
        self.all: dict[UpstreamConnection, None] = {}  # in the order in which they were opened
        self.retired = False

    def start(self, exchange: Exchange) -> UpstreamConnection | None:
        """Begins an attempt; none where the router may open no more connections."""
        connection = self._settled()
        if connection is not None:
            connection.reused = True
            connection.start_exchange(exchange)
            return connection
        if not self.pools.room():
            return None
        connection = self.make(self)
        self.all[connection] = None
        self.pools.count += 1
        self.pools.counts.add("links", "new")
        connection.exchange = exchange
        connection.since = asyncio.get_running_loop().time()
        connection.dialling = asyncio.get_running_loop().create_task(self._dial(connection))
        return connection

    def _settled(self) -> UpstreamConnection | None:
        """The newest idle connection that is fit for use. Guards against a second copy of an answer behind
        the first, which would pass for the next one's: a connection rests for a moment, then nothing may be
        there to be read. Nor may its end be known, since nothing would be sent on it, nor be due: the server
        closes what idles, and the sweep comes late for a short keepalive."""
        now = asyncio.get_running_loop().time()
        for connection in [one for one in reversed(self.idle) if one.idle_since <= now - SETTLE]:
            fit = connection.idle_since > now - self.pools.idle_most and connection.is_reusable()
            if fit:
                self.idle.remove(connection)
                return connection
            if fit is not None:
                connection.close()
        return None

    async def _dial(self, connection: UpstreamConnection) -> None:
        loop = asyncio.get_running_loop()
        patience = loop.call_later(self.pools.dial_timeout, self._never_up, connection)
        try:
            await loop.create_connection(lambda: connection, *self.address)
        except OSError as problem:
            if connection.transport is None and not connection.dead:
                # Guards a server's name: that the router itself has no more to open is not its fault.
                connection.lost(
                    AttemptStatus.NO_LOCAL_CONNECTION
                    if problem.errno in OUR_OWN
                    else AttemptStatus.CONNECT_FAILED
                )
        finally:
            patience.cancel()

    def _never_up(self, connection: UpstreamConnection) -> None:
        """Guards against a time-out in the turn in which a connection comes up: it has not come up, or it
        carries its attempt, and nothing between."""
        if connection.transport is None and not connection.dead:
            connection.lost()
            if connection.dialling is not None:
                connection.dialling.cancel()

    def release(self, connection: UpstreamConnection) -> None:
        if self.retired or connection not in self.all:
            connection.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        self.idle.append(connection)
        self.pools.plan_sweep()

    def drop(self, connection: UpstreamConnection) -> None:
        if connection in self.all:
            del self.all[connection]
            self.pools.count -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def retire(self) -> None:
        """No attempt is to come: idle connections go now, those that come up in the next turn, when the
        decisions know, and the others after their answer."""
        self.retired = True
        for connection in list(self.idle):
            connection.close()
        for connection in self.all:
            if not connection.begun:
                asyncio.get_running_loop().call_soon(connection.retire)

    def forget_before(self, time: float) -> None:
        """The server has started anew at that time: what was open before leads nowhere."""
        self.speaks = 0
        for connection in [one for one in self.all if one.since < time]:
            exchange = connection.exchange
            unsent = connection.unsent
            connection.exchange = None
            connection.close()
            if exchange is not None:
                exchange.done(AttemptResult(AttemptStatus.CONNECT_FAILED if unsent else AttemptStatus.RESET))


class ConnectionPools:
    """All pools: their number of sockets, and the sweep that closes what has idled too long."""

    def __init__(self, most: int, dial_timeout: float, keepalive: float) -> None:
        self.max_open, self.dial_timeout = most, dial_timeout
        self.system = system.running()
        self.left: Callable[[], int] = lambda: most  # descriptors that the clients leave to this side
        self.keepalive = keepalive
        self.hold_idle(IDLE_MOST)
        self.pools: dict[str, ConnectionPool] = {}
        self.count = 0  # connections that are open, or being opened
        self.leaving: list[ConnectionPool] = []  # replaced, with attempts still out
        self.sweeping = False
        # A server says that it holds these keys no more, or none at all.
        self.keys_invalidated: Callable[[ConnectionPool, list[bytes] | None], None] = lambda pool, keys: None
        self.unknown_pushes = 0
        self.attempts_written = 0  # attempts written whole, since the start
        self.counts = Counts()
        self.callback_begins: Callable[[], None] = lambda: None  # told of each read, for the loop's lag
        self.callback_ends: Callable[[], None] = lambda: None

    def hold_idle(self, seconds: float) -> None:
        """Sets for how long a connection may be idle; a server's keepalive bounds it."""
        # Closed before the server does, also where the process is held up between the look and the write.
        due = min(self.keepalive * IDLE_PART, self.keepalive - HELD_UP / SECOND)
        self.idle_most = min(seconds, max(0.0, due))

    def add(
        self, name: str, endpoint: Address, make: Callable[[ConnectionPool], UpstreamConnection]
    ) -> ConnectionPool:
        """The pool of a server; one at another endpoint takes the place of the old."""
        pool = self.pools.get(name)
        if pool is None or pool.address != endpoint:
            self.remove(name)
            pool = self.pools[name] = ConnectionPool(self, name, endpoint, make)
        pool.retired = False
        return pool

    def remove(self, name: str) -> None:
        pool = self.pools.pop(name, None)
        if pool is not None:
            pool.retire()
            self.leaving = [one for one in self.leaving if one.all] + [pool]

    def open(self) -> int:
        return self.count

    def room(self) -> bool:
        """Whether one more connection may be opened; the longest idle one makes room for it."""
        return self.open() < min(self.max_open, self.left()) or self.close_oldest()

    def spare(self) -> bool:
        """Gives up one connection for a client, if there are more than a part and one is not in use."""
        return self.open() > self.max_open * 2 // 3 and self.close_oldest()

    def close_oldest(self) -> bool:
        """Closes the one that has idled longest, if there is one."""
        oldest = min(
            (pool.idle[0] for pool in self.pools.values() if pool.idle),
            key=lambda one: one.idle_since,
            default=None,
        )
        if oldest is None:
            return False
        oldest.close()
        return True

    def plan_sweep(self) -> None:
        if not self.sweeping:
            self.sweeping = True
            asyncio.get_running_loop().call_later(SWEEP, self._sweep)

    def _sweep(self) -> None:
        self.sweeping = False
        before = asyncio.get_running_loop().time() - self.idle_most
        for pool in self.pools.values():
            for connection in [one for one in pool.idle if one.idle_since < before]:
                connection.close()
        if any(pool.idle for pool in self.pools.values()):
            self.plan_sweep()
