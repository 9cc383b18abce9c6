"""A connection to a server, which carries one attempt at a time; subclasses implement the protocol.

Life cycle of a connection:

    CONNECTING --connected--> IDLE <--attempt ended-- ACTIVE --a long value begins--> RECEIVING
        |                      |  '---next attempt------> |                               |
        '----------------------'-- lost, closed, or invalid response ---------------------'
                                        |
                                        v
                                      CLOSED

In CONNECTING there is no transport yet, in ACTIVE there is an exchange, in RECEIVING also a receiver of the
long value: its relay or its store. An attempt may wait for the connection to be established. `WriteProgress`
says how much of an attempt the operating system has accepted: a server runs a request once it has the last
byte, so an attempt that is not WRITTEN has never run.
"""

import asyncio
import logging
from abc import abstractmethod
from enum import Enum
from typing import Protocol, cast

from rainhitch.interface import Address, AttemptStatus
from rainhitch.node.client_request import ClientRequest
from rainhitch.node.exchange import AttemptResult, Exchange, LongValueReceiver
from rainhitch.node.key_invalidations import KeyInvalidations
from rainhitch.node.loop_lag import LoopLag
from rainhitch.node.upstream_socket import UpstreamSocket
from rainhitch.system import System
from rainhitch.telemetry.counts import Counts

# Receive buffer of a connection that is not being read; the kernel allocates twice the size for its own use.
READ_PIECE_BYTES = 64 << 10
log = logging.getLogger("rainhitch")


class WriteProgress(Enum):
    """How much of an attempt's request the operating system has accepted."""

    NOT_WRITTEN = "not written"
    PARTLY_WRITTEN = "partly written"
    WRITTEN = "written"


# Python 3.11 looks up enum members slowly through their class: code that runs per request uses these names.
NOT_WRITTEN = WriteProgress.NOT_WRITTEN
PARTLY_WRITTEN = WriteProgress.PARTLY_WRITTEN
WRITTEN = WriteProgress.WRITTEN


class UpstreamHost(Protocol):
    """The state that all server connections of a router share."""

    system: System
    counts: Counts
    connect_timeout_s: float
    attempts_written: int  # number of attempts written in full since the start
    unknown_pushes: int  # number of RESP3 pushes of a kind other than `invalidate`
    loop_lag: LoopLag
    key_invalidations: KeyInvalidations


class OwningPool(Protocol):
    """The pool that a connection belongs to."""

    name: str
    address: Address
    known_protocol: int  # RESP version that the server process is known to speak; 0 if unknown
    draining: bool  # whether new attempts are refused

    @property
    def host(self) -> UpstreamHost:
        """The state that all server connections of the router share."""

    def release(self, connection: "UpstreamConnection") -> None:
        """Makes a connection available for another attempt."""

    def drop(self, connection: "UpstreamConnection") -> None:
        """Removes a closed connection."""


class UpstreamConnection(UpstreamSocket):
    """A connection that carries one attempt at a time and reports its result."""

    def __init__(self, pool: OwningPool) -> None:
        super().__init__(pool.host.system)
        self.pool = pool
        self.host = pool.host
        self.exchange: Exchange | None = None
        self.write_progress = NOT_WRITTEN
        self.opened_at_s = 0.0  # loop time
        self.reused = False  # whether it has carried an attempt besides the one that it was opened for
        self.idle_since_s = 0.0  # loop time
        self.receiver: LongValueReceiver | None = None  # of the long value that is arriving

    @abstractmethod
    def encode(self, client_request: ClientRequest, info: bytes) -> bytes:
        """Returns the bytes to write for an attempt, with the info list for the server."""

    @abstractmethod
    def read(self, data: bytes) -> None:
        """Handles data received for the active attempt; ends the attempt by `finish` or `fail_protocol`."""

    def info(self, exchange: Exchange) -> bytes:
        """Returns the info list that is sent along with the key and the id.

        The server is given the time from now to the attempt's deadline, without the time already spent on
        connecting or on an earlier attempt.
        """
        return exchange.client_request.info_for(exchange.deadline_ns - self.system.now())

    def start_exchange(self, exchange: Exchange) -> None:
        """Starts an attempt, which waits if the connection is not established yet."""
        self.exchange = exchange
        self.write_progress = NOT_WRITTEN
        if self.transport is not None:
            self._write()

    def _write(self) -> None:
        assert self.exchange is not None and self.transport is not None
        info = self.info(self.exchange)
        # While the connection was established, or the process was delayed, the server may have begun to
        # drain, the client may have disconnected, and the window in which a retry is safe may have ended.
        # Checked after the last reading of the clock, right before the write.
        if self.pool.draining or not self.exchange.may_write():
            self.finish(AttemptResult(AttemptStatus.ABANDONED))
            return
        try:
            request = self.encode(self.exchange.client_request, info)
        except Exception:
            # A request that can't be encoded ends only its own attempt, which never ran.
            log.exception("attempt could not be encoded server=%s", self.pool.name)
            self.finish(AttemptResult(AttemptStatus.ABANDONED), reusable=False)
            return
        # Set before the write: the transport calls pause_writing from within it if bytes remain buffered.
        self.write_progress = WRITTEN
        self.transport.write(request)
        if self.transport.is_closing():
            # A write that failed at once delivered nothing: the request never ran.
            self.write_progress = PARTLY_WRITTEN
        if self.write_progress is WRITTEN:
            self.host.attempts_written += 1

    def close_attempt(self) -> bool:
        """Ends the attempt, closes the connection and returns whether the attempt may have run.

        The socket is closed before this returns, and therefore before another attempt of the request can
        start: two copies are never in flight.
        """
        may_have_run = self.write_progress is WRITTEN
        self.exchange = None
        self.close()
        return may_have_run

    def has_unread_response(self) -> bool:
        """Returns whether received data for the active attempt is still unread."""
        return self.exchange is not None and self.has_unread_bytes()

    def abandon_if_unwritten(self) -> bool:
        """Ends the attempt if it is not yet written in full, so that it never runs; returns whether it ended.

        If nothing of it was written, the connection is kept for the next attempt.
        """
        if self.exchange is None or self.write_progress is WRITTEN:
            return False
        self.exchange = None
        if self.write_progress is PARTLY_WRITTEN:
            self.close()
        return True

    def drain(self) -> None:
        """Ends an unwritten attempt because the server is draining, so that it can be sent elsewhere."""
        exchange = self.exchange
        if self.abandon_if_unwritten() and exchange is not None:
            self.close()
            exchange.on_finished(AttemptResult(AttemptStatus.ABANDONED))

    def begin_long_value(self, size_bytes: int) -> None:
        """Begins to receive a long value; closes the connection if the value is no longer needed."""
        assert self.exchange is not None
        self.receiver = self.exchange.on_long_value(self, size_bytes)
        if self.receiver is None:
            self.finish(AttemptResult(AttemptStatus.OK), reusable=False)

    def close(self) -> None:
        """Closes the connection at once, in both directions, without a result for the active attempt."""
        self._abort_long_value()
        self.pool.drop(self)
        self.shut()

    def _abort_long_value(self) -> None:
        receiver = self.receiver
        self.receiver = None
        if receiver is not None:
            receiver.fail()

    def finish(self, result: AttemptResult, reusable: bool = True) -> None:
        """Ends the attempt; the connection is released before the result is reported."""
        if self.receiver is not None and result.status is AttemptStatus.OK:
            receiver = self.receiver
            self.receiver = None
            stored = receiver.finish()
            if stored is not None:
                result.value = stored
        exchange = self.exchange
        self.exchange = None
        # A request may be answered before its last byte is written: the connection is then closed, so that
        # the rest of the request does not precede the next one.
        if reusable and self.write_progress is not PARTLY_WRITTEN:
            self.pool.release(self)
        else:
            self.close()
        if exchange is not None:
            exchange.on_finished(result)

    def fail_protocol(self) -> None:
        """Ends the attempt as RESET and closes the connection, since the received data is invalid."""
        self.finish(AttemptResult(AttemptStatus.RESET), reusable=False)

    def lost(self, status_if_unwritten: AttemptStatus = AttemptStatus.CONNECT_FAILED) -> None:
        """Handles a lost or failed connection; an unwritten attempt ends with `status_if_unwritten`."""
        self._abort_long_value()
        self.is_closed = True
        was_written = self.write_progress is WRITTEN
        status = AttemptStatus.RESET if was_written else status_if_unwritten
        if self.transport is None:
            # The records use this word for every connection that failed to open, including by time-out.
            is_refused = status is AttemptStatus.CONNECT_FAILED
            self.host.counts.add("links", "refused" if is_refused else "no room")
        self.pool.drop(self)
        exchange = self.exchange
        self.exchange = None
        if exchange is not None:
            exchange.on_finished(AttemptResult(status))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handles the established connection."""
        self.transport = cast(asyncio.Transport, transport)
        if self.is_closed:
            # The connect was cancelled in the same iteration of the event loop in which it completed.
            self.transport.abort()
            return
        self.transport.set_write_buffer_limits(0)  # so that any byte left unwritten calls pause_writing
        # Limits memory: the data of one read is held for each client that reads slowly.
        self.system.limit_receive_buffer(self.transport, READ_PIECE_BYTES)
        self.connected()

    def connected(self) -> None:
        """Writes the waiting attempt, or releases the connection as idle if none is waiting any more."""
        if self.exchange is None:
            self.pool.release(self)
        else:
            self._write()

    def pause_writing(self) -> None:
        """Notes that the operating system has not accepted all written bytes yet."""
        self.write_progress = PARTLY_WRITTEN

    def resume_writing(self) -> None:
        """Notes that the operating system has accepted all written bytes."""
        if self.write_progress is not WRITTEN:
            self.host.attempts_written += 1
        self.write_progress = WRITTEN

    def data_received(self, data: bytes) -> None:
        """Handles received data."""
        self.host.loop_lag.callback_begins()
        if self.exchange is None:
            self.close()  # data without a request
            return
        try:
            self.read(data)
        except Exception:
            # The outermost frame of a read: a response that the codec can't handle fails only this attempt.
            log.exception("answer could not be handled server=%s", self.pool.name)
            self.fail_protocol()
        self.host.loop_lag.callback_ends()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the end of the connection."""
        self.lost()
