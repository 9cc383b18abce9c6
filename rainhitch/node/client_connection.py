"""A client connection: reads commands and writes their responses in command order.

Life cycle:

    OPEN --QUIT, an error, or shutdown--> LAST_COMMAND_READ --all commands answered--> HALF_CLOSED --> CLOSED
     |                                                                                      ^
     |--idle, evicted, or drained after a response------------------------------------------'
     '--not admitted--> REJECTED --> CLOSED

Every state changes to CLOSED when the client disconnects or the connection is aborted. The first reason for
the close is recorded (node/close_reason.py). Independently of the state, reading may be paused and the write
buffer may be full.
"""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Protocol, cast

from rainhitch.node.client_commands import ClientCommands, CommandHost
from rainhitch.node.client_events import ClientEvent
from rainhitch.node.client_socket import ClientSocket, SocketHost
from rainhitch.node.close_reason import CloseReason
from rainhitch.node.read_flow import MAX_PIPELINED_COMMANDS, ReadFlow
from rainhitch.node.rejected_connection import RejectedConnection, RejectedConnections
from rainhitch.node.response_queue import BufferLimits, ResponseQueue
from rainhitch.node.session import Authenticator, Session
from rainhitch.node.turn_budget import TurnBudget
from rainhitch.node.unread_age import UnreadAge
from rainhitch.protocol import resp
from rainhitch.protocol.resp2_reader import Resp2Reader

NS_PER_MS = 1_000_000


class ConnectionState(Enum):
    """The state of a connection; the module's docstring has the transitions."""

    OPEN = "open"
    LAST_COMMAND_READ = "last command read"  # no more commands are read; closed once all are answered
    HALF_CLOSED = "half closed"  # all commands are answered; incoming data is discarded until the close
    REJECTED = "rejected"
    CLOSED = "closed"


# Python 3.11 looks up enum members slowly through their class: code that runs per request uses these names.
CONNECTION_OPEN = ConnectionState.OPEN
LAST_COMMAND_READ = ConnectionState.LAST_COMMAND_READ
HALF_CLOSED = ConnectionState.HALF_CLOSED
ANSWERED_STATES = (HALF_CLOSED, ConnectionState.REJECTED)


class ActivityObserver(Protocol):
    """Tracks what each connection is waiting for."""

    def command_received(self, client: "ClientConnection") -> None:
        """Records that a complete command was received."""

    def classify(self, client: "ClientConnection") -> None:
        """Updates the group of a connection after a change."""


class InputMemoryLimiter(Protocol):
    """Frees memory of received data."""

    def free(self, last_read: "ClientConnection") -> None:
        """Frees memory, as the limit on buffered bytes is exceeded."""


class ClientHost(SocketHost, CommandHost, BufferLimits, Protocol):
    """The parts of the router that a client connection uses."""

    authenticator: Authenticator
    can_serve: Callable[[], bool]
    rejected: RejectedConnections
    turn_budget: TurnBudget

    @property
    def draining(self) -> bool:
        """Whether the connections are being drained."""

    @property
    def input_memory(self) -> InputMemoryLimiter:
        """What frees memory of received data."""

    @property
    def activity(self) -> ActivityObserver:
        """The tracker of what each connection is waiting for."""

    def next_connection_id(self) -> int:
        """Returns a unique id for a new connection."""

    def accept_wait_ns(self, now: int) -> int:
        """Returns for how long a connection accepted now may have waited to be accepted, in ns."""

    def admit(self, client: "ClientConnection") -> bool:
        """Admits a new connection; returns False if there is no room."""

    def connection_lost(self, client: "ClientConnection") -> None:
        """Removes a connection that is closed or being aborted."""


class ClientConnection(ClientSocket):
    """A client connection: reads commands and writes their responses."""

    def __init__(self, host: ClientHost) -> None:
        super().__init__(host)
        self.host = host
        self.activity = host.activity
        self.state = CONNECTION_OPEN
        self.reader = Resp2Reader()
        self.session = Session(host.next_connection_id(), host.authenticator, host.can_serve)
        self.responses = ResponseQueue(self, host)
        self.commands = ClientCommands(host, self.session, self.responses)
        self.command_count = 0  # complete commands received
        self.unread_age = UnreadAge(self.system, host.driver.loop_lag)
        self.unread_ms = 0  # longest time the last received data may have been unread
        self.nothing_received = True
        self.flow = ReadFlow(host, self.reader, self.responses, self.unread_age)
        self.is_advancing = False
        self.rejected: RejectedConnection | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Admits or rejects a connection that was just accepted."""
        self.transport = cast(asyncio.Transport, transport)
        self.responses.transport = self.transport
        self.host.driver.loop_lag.callback_begins()
        now = self.host.system.now()
        self.unread_age.accepted(now, self.host.accept_wait_ns(now))
        if not self.host.admit(self):
            self.record_close_reason(CloseReason.NO_ROOM)
            self.state = ConnectionState.REJECTED
            self.rejected = RejectedConnection(self.host.rejected, self.transport)

    def data_received(self, data: bytes) -> None:
        """Handles data received from the client."""
        assert self.transport is not None
        lag = self.host.driver.loop_lag
        lag.callback_begins()
        self.host.driver.decision_loop.detect_pause()  # before anything is decided on the data
        self.unread_ms = self.unread_age.age_ns(self.transport, self.nothing_received) // NS_PER_MS
        self.nothing_received = False
        if self.state is CONNECTION_OPEN:
            self.reader.feed(data)
            self.advance()
        elif self.rejected is not None:
            self.rejected.data_received(data)
        elif self.state is HALF_CLOSED:
            self.discard(data)
        lag.callback_ends()

    def connection_lost(self, exc: Exception | None) -> None:
        """Releases a closed connection and withdraws its requests in flight."""
        self.transport = None
        self.state = ConnectionState.CLOSED
        self.record_close_reason(CloseReason.BY_CLIENT)
        if self.rejected is not None:
            self.rejected.connection_lost()
        self.host.connection_lost(self)
        self.close_timer.connection_lost()
        for slot in self.responses.connection_lost():
            if slot.relay is not None:
                slot.relay.client_disconnected()
            if slot.request is not None:
                self.host.driver.withdraw(slot.request)

    def pause_writing(self) -> None:
        """Stops writing and reading: the client reads too slowly."""
        self.responses.write_buffer_full = True
        self.close_timer.start_for_unread_responses()
        self._pause_or_resume_reading()

    def resume_writing(self) -> None:
        """Continues once the client has read what was written."""
        self.responses.write_buffer_full = False
        self.close_timer.cancel()
        self.advance()

    def advance(self) -> None:
        """Alternates between handling commands and writing responses until neither can proceed.

        Prevents recursion: a response that is ready at once, or that arrives while this runs, is written by
        this loop.
        """
        if self.is_advancing or self.transport is None or self.state in ANSWERED_STATES:
            return
        self.is_advancing = True
        commands_left = 0 if self.flow.has_yielded else self.host.turn_budget.max_commands()
        try:
            commands_left -= self._handle_commands(commands_left)
            while self.responses.write_ready() and commands_left > 0 and self.reader.buffer:
                commands_left -= self._handle_commands(commands_left)
        finally:
            self.is_advancing = False
        all_answered = not self.responses.slots
        if all_answered and self.state is not CONNECTION_OPEN:
            self.half_close(CloseReason.LAST_COMMAND)
        elif all_answered and self.host.draining and self._can_close_after_response():
            self.half_close(CloseReason.SHUTDOWN)
        else:
            if commands_left == 0 and self.reader.buffer and not self.flow.has_yielded:
                # A client that sends hundreds of commands at once must not starve other clients.
                self.flow.has_yielded = True
                self.host.loop.call_soon(self._next_turn)
            self._pause_or_resume_reading()

    def _next_turn(self) -> None:
        self.flow.has_yielded = False
        self.advance()

    def _handle_commands(self, max_commands: int) -> int:
        """Handles up to `max_commands` received commands; returns how many were handled."""
        handled = 0
        responses = self.responses
        try:
            while handled < max_commands and self.state is CONNECTION_OPEN:
                if responses.write_buffer_full or len(responses.slots) >= MAX_PIPELINED_COMMANDS:
                    break
                if responses.ends_with_relay():
                    break
                parts = self.reader.next()
                if parts is resp.NEED_DATA:
                    break
                handled += 1
                self.command_count += 1
                self.activity.command_received(self)
                if self.commands.handle(cast(list[bytes], parts), self.unread_ms):
                    self._stop_reading_commands()
        except resp.FramingError as problem:
            # The start of the next command is unknown: the error is sent after all earlier responses.
            self.end_with_error(f"Protocol error: {problem}", CloseReason.PROTOCOL_ERROR)
        self.host.turn_budget.add(handled)
        return handled

    def has_unhandled_input(self) -> bool:
        """Returns whether data has been read from the client that is not handled as a command yet."""
        return bool(self.reader.buffer)

    def end_within_value(self) -> None:
        """Half closes the connection within a long value that has broken off.

        What was written before is still sent. Nothing more is read: commands that the client has sent behind
        the value stay unread, so that it may send them again on another connection.
        """
        if self.state is not HALF_CLOSED:
            self.half_close(CloseReason.VALUE_CUT_OFF)

    def end_with_error(self, problem: str, reason: CloseReason) -> None:
        """Stops reading; answers the commands received, then sends `problem`, then closes."""
        self.record_close_reason(reason)
        self.host.events.count(ClientEvent.ENDED_ON_ERROR)
        self._stop_reading_commands()
        self.commands.append_response(resp.error_reply(problem))

    def close_when_answered(self) -> None:
        """Stops reading and closes once the commands in progress are answered; buffered ones are rejected."""
        self.record_close_reason(CloseReason.SHUTDOWN)
        self._stop_reading_commands()
        self.advance()

    def end_unfinished_command(self) -> None:
        """Closes a connection whose command has been incomplete for too long."""
        self.end_with_error("no whole command in time", CloseReason.UNFINISHED)
        self.advance()

    def _can_close_after_response(self) -> bool:
        """Returns whether the connection can be closed after the last response without losing a command.

        A client's first request directly follows its handshake (such as HELLO). A connection with nothing but
        a handshake is therefore not closed after that response, but only once it has been idle.
        """
        return not self.commands.only_handshake and not self.reader.buffer and not self.has_unread_bytes()

    def half_close(self, reason: CloseReason) -> None:
        """Stops sending but reads until the linger time-out, so that the close does not cause a reset.

        Data that arrives from now on is never handled: the client sends it again on another connection.
        """
        assert self.transport is not None
        if self.state is HALF_CLOSED or self.transport.is_closing():
            return
        self.record_close_reason(reason)
        self.state = HALF_CLOSED
        self.activity.classify(self)
        if self.nothing_received:
            self.transport.close()
            return
        self._pause_or_resume_reading()
        self.start_lingering()

    def _pause_or_resume_reading(self) -> None:
        """Pauses or resumes reading; frees input memory if buffer memory is exhausted."""
        if self.transport is None or self.transport.is_closing():
            return
        self.flow.pause_or_resume(self.transport, self.state is LAST_COMMAND_READ, self.state is HALF_CLOSED)
        self.activity.classify(self)
        self.flow.update_buffered_bytes(self.transport)
        if self.host.buffered_bytes > self.host.max_buffered_bytes:
            self.host.input_memory.free(self)

    def _stop_reading_commands(self) -> None:
        """Stops handling commands; those that were received completely are rejected."""
        if self.state is CONNECTION_OPEN:
            self.state = LAST_COMMAND_READ
            self.commands.reject_buffered_commands(self.reader)
            self.reader.buffer.clear()

    def update_buffered_bytes(self) -> None:
        """Updates the number of bytes counted as buffered for this connection."""
        self.flow.update_buffered_bytes(self.transport)
