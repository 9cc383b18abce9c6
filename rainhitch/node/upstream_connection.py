"""One connection to a server: it carries one attempt at a time. What it speaks is the subclass's.

Life cycle of a connection:

    CONNECTING --up--> IDLE <--attempt ended-- ACTIVE --a long value begins--> RELAYING
        |               |  '---next attempt------> |                               |
        '---------------'-- lost, closed, or answered badly -----------------------'
                                        |
                                        v
                                      CLOSED

CONNECTING has no transport yet, ACTIVE has an exchange, RELAYING has a relay too. An attempt may wait for the
connection to come up. How much of an attempt the system has taken is `WriteProgress`: a server begins a
request with its last byte, so that an attempt which is not WRITTEN has never run.
"""

import asyncio
import logging
from abc import abstractmethod
from enum import Enum
from typing import Protocol, cast

from rainhitch.interface import Address, AttemptStatus
from rainhitch.node.client_request import ClientRequest
from rainhitch.node.exchange import AttemptResult, Exchange
from rainhitch.node.key_invalidations import KeyInvalidations
from rainhitch.node.loop_lag import LoopLag
from rainhitch.node.relay import Relay
from rainhitch.node.upstream_socket import UpstreamSocket
from rainhitch.system import System
from rainhitch.telemetry.counts import Counts

# What the system may hold for us on a connection that is not read; it takes twice that for its own use.
READ_PIECE_BYTES = 64 << 10
log = logging.getLogger("rainhitch")


class WriteProgress(Enum):
    """How much of an attempt's request is with the system."""

    NOT_WRITTEN = "not written"
    PARTLY_WRITTEN = "partly written"
    WRITTEN = "written"


# Python 3.11 reads an enum's member through its class slowly: what runs for each request uses these names.
NOT_WRITTEN = WriteProgress.NOT_WRITTEN
PARTLY_WRITTEN = WriteProgress.PARTLY_WRITTEN
WRITTEN = WriteProgress.WRITTEN


class UpstreamHost(Protocol):
    """What all connections of a router share."""

    system: System
    counts: Counts
    connect_timeout_s: float
    attempts_written: int  # attempts written whole, since the start
    unknown_pushes: int  # RESP3 pushes of another kind than `invalidate`
    loop_lag: LoopLag
    key_invalidations: KeyInvalidations


class OwningPool(Protocol):
    """The pool that a connection belongs to."""

    name: str
    address: Address
    known_protocol: int  # RESP version that the server's process was found to speak; 0: not known
    draining: bool  # no further attempt may begin there

    @property
    def host(self) -> UpstreamHost:
        """What all connections of the router share."""

    def release(self, connection: "UpstreamConnection") -> None:
        """Takes back a connection that can carry another attempt."""

    def drop(self, connection: "UpstreamConnection") -> None:
        """Forgets a connection that is closed."""


class UpstreamConnection(UpstreamSocket):
    """A connection that carries one attempt at a time and reports how it ended."""

    def __init__(self, pool: OwningPool) -> None:
        super().__init__(pool.host.system)
        self.pool = pool
        self.host = pool.host
        self.exchange: Exchange | None = None
        self.write_progress = NOT_WRITTEN
        self.opened_at_s = 0.0  # loop time
        self.reused = False  # it has carried more attempts than the one it was opened for
        self.idle_since_s = 0.0  # loop time
        self.relay: Relay | None = None  # where a long value is passed on

    @abstractmethod
    def encode(self, client_request: ClientRequest, info: bytes) -> bytes:
        """The bytes to write for an attempt, with the info list that goes on."""

    @abstractmethod
    def read(self, data: bytes) -> None:
        """Takes in what came while an attempt is active; ends it by `finish` or `fail_protocol`."""

    def info(self, exchange: Exchange) -> bytes:
        """The info list that goes beside key and id.

        Guards against time that has passed, in connecting or in an earlier attempt, passed on as time to work
        in: what is left counts from here.
        """
        return exchange.client_request.info_for(exchange.deadline_ns - self.system.now())

    def start_exchange(self, exchange: Exchange) -> None:
        """Begins an attempt, or has it wait for the connection to come up."""
        self.exchange = exchange
        self.write_progress = NOT_WRITTEN
        if self.transport is not None:
            self._write()

    def _write(self) -> None:
        assert self.exchange is not None and self.transport is not None
        info = self.info(self.exchange)
        # Guards against what changed while the connection came up or the process was delayed: the server may
        # drain by now, the client may have left, and the time in which a retry is harmless may be over.
        # Asked behind the last reading of the clock, right before the write.
        if self.pool.draining or not self.exchange.may_write():
            self.finish(AttemptResult(AttemptStatus.ABANDONED))
            return
        try:
            request = self.encode(self.exchange.client_request, info)
        except Exception:
            # Protects the connection's other users: the request alone ends, and never began.
            log.exception("attempt could not be encoded server=%s", self.pool.name)
            self.finish(AttemptResult(AttemptStatus.ABANDONED), reusable=False)
            return
        # Set before the write: the transport calls pause_writing within it where bytes stay behind.
        self.write_progress = WRITTEN
        self.transport.write(request)
        if self.transport.is_closing():
            # A write that failed at once handed nothing over: what it asked for never ran.
            self.write_progress = PARTLY_WRITTEN
        if self.write_progress is WRITTEN:
            self.host.attempts_written += 1

    def close_attempt(self) -> bool:
        """Ends the attempt and closes the connection; returns whether the attempt may have run.

        Guards against second copies: the system has closed the connection before this returns, and so before
        anybody may start another attempt.
        """
        may_have_run = self.write_progress is WRITTEN
        self.exchange = None
        self.close()
        return may_have_run

    def has_unread_answer(self) -> bool:
        """Whether something has come for the active attempt that was not read yet."""
        return self.exchange is not None and self.has_unread_bytes()

    def take_back_unwritten(self) -> bool:
        """Takes the attempt back if it is not written whole, so that it never began at the server.

        Where nothing of it was written, the connection is kept for the next attempt.
        """
        if self.exchange is None or self.write_progress is WRITTEN:
            return False
        self.exchange = None
        if self.write_progress is PARTLY_WRITTEN:
            self.close()
        return True

    def drain(self) -> None:
        """The server drains: an attempt that waits for the connection ends, to be sent elsewhere."""
        exchange = self.exchange
        if self.take_back_unwritten() and exchange is not None:
            self.close()
            exchange.on_finished(AttemptResult(AttemptStatus.ABANDONED))

    def start_relay(self, size_bytes: int) -> None:
        """A long value begins to arrive; where nobody wants it, the connection is closed."""
        assert self.exchange is not None
        self.relay = self.exchange.on_long_value(self, size_bytes)
        if self.relay is None:
            self.finish(AttemptResult(AttemptStatus.OK), reusable=False)

    def close(self) -> None:
        """Closes at once, in both directions; no result is reported for the active attempt."""
        self._break_relay()
        self.pool.drop(self)
        self.shut()

    def _break_relay(self) -> None:
        relay = self.relay
        self.relay = None
        if relay is not None:
            relay.fail()

    def finish(self, result: AttemptResult, reusable: bool = True) -> None:
        """Ends the attempt; the connection is free before its result is reported."""
        if self.relay is not None and result.status is AttemptStatus.OK:
            relay = self.relay
            self.relay = None
            relay.finish()
        exchange = self.exchange
        self.exchange = None
        # Guards the next request against the rest of one that was answered before its last byte was written.
        if reusable and self.write_progress is not PARTLY_WRITTEN:
            self.pool.release(self)
        else:
            self.close()
        if exchange is not None:
            exchange.on_finished(result)

    def fail_protocol(self) -> None:
        """What came can't be read: the attempt is reset, and the connection closed."""
        self.finish(AttemptResult(AttemptStatus.RESET), reusable=False)

    def lost(self, never_up: AttemptStatus = AttemptStatus.CONNECT_FAILED) -> None:
        """The connection is gone or never came up; `never_up` is the status of an attempt that never ran."""
        self._break_relay()
        self.is_closed = True
        was_written = self.write_progress is WRITTEN
        status = AttemptStatus.RESET if was_written else never_up
        if self.transport is None:
            # The record's word for every connection that did not come up, a connect time-out among them.
            is_refused = status is AttemptStatus.CONNECT_FAILED
            self.host.counts.add("links", "refused" if is_refused else "no room")
        self.pool.drop(self)
        exchange = self.exchange
        self.exchange = None
        if exchange is not None:
            exchange.on_finished(AttemptResult(status))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        self.transport = cast(asyncio.Transport, transport)
        if self.is_closed:
            # Guards against a connect that was given up in the very turn in which it came up.
            self.transport.abort()
            return
        self.transport.set_write_buffer_limits(0)  # so that pause_writing is called for every byte left over
        # Guards memory: what is read at once is held for each client that reads slowly.
        self.system.bound_reads(self.transport, READ_PIECE_BYTES)
        self.connected()

    def connected(self) -> None:
        """The connection can carry an attempt; where none waits for it any more, it is idle."""
        if self.exchange is None:
            self.pool.release(self)
        else:
            self._write()

    def pause_writing(self) -> None:
        """Some of what was written is not with the system yet."""
        self.write_progress = PARTLY_WRITTEN

    def resume_writing(self) -> None:
        """All of what was written is with the system."""
        if self.write_progress is not WRITTEN:
            self.host.attempts_written += 1
        self.write_progress = WRITTEN

    def data_received(self, data: bytes) -> None:
        """Something has come."""
        self.host.loop_lag.callback_begins()
        if self.exchange is None:
            self.close()  # nothing was asked
            return
        try:
            self.read(data)
        except Exception:
            # The outermost frame of a read: protects the router against an answer that no codec foresaw.
            log.exception("answer could not be handled server=%s", self.pool.name)
            self.fail_protocol()
        self.host.loop_lag.callback_ends()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone."""
        self.lost()
