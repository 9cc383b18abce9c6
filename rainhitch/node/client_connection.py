"""One connection of a client: commands in, answers out in their order.

Life cycle:

    OPEN --QUIT, an error, or the router ends--> LAST_COMMAND_READ --all is answered--> HALF_CLOSED --> CLOSED
     |                                                                                       ^
     |--idle, evicted, or drained behind an answer-------------------------------------------'
     '--not admitted--> REJECTED --> CLOSED

Any state ends in CLOSED when the client leaves or the connection is aborted. The reason of the end is noted
once (node/close_reason.py). Apart from that state, reading may be paused, and the write buffer may be full.
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
from rainhitch.node.response_queue import SMALL_ANSWER_BYTES, BufferLimits, ResponseQueue
from rainhitch.node.session import Authenticator, Session
from rainhitch.node.unread_age import UnreadAge
from rainhitch.protocol import resp
from rainhitch.protocol.resp2_reader import Resp2Reader

MAX_COMMANDS_PER_TURN = 16  # of one connection before others have their turn
NS_PER_MS = 1_000_000


class ConnectionState(Enum):
    """Where a connection stands; see the module's docstring."""

    OPEN = "open"
    LAST_COMMAND_READ = "last command read"  # nothing more is read; closed once all is answered
    HALF_CLOSED = "half closed"  # all is answered; what still comes is read and thrown away for a while
    REJECTED = "rejected"
    CLOSED = "closed"


# Python 3.11 reads an enum's member through its class slowly: what runs for each request uses these names.
CONNECTION_OPEN = ConnectionState.OPEN
LAST_COMMAND_READ = ConnectionState.LAST_COMMAND_READ
HALF_CLOSED = ConnectionState.HALF_CLOSED
ANSWERED_STATES = (HALF_CLOSED, ConnectionState.REJECTED)


class ActivityObserver(Protocol):
    """Who notes what each connection waits for."""

    def command_received(self, client: "ClientConnection") -> None:
        """A whole command has come."""

    def classify(self, client: "ClientConnection") -> None:
        """What the connection waits for may have changed."""


class ClientHost(SocketHost, CommandHost, BufferLimits, Protocol):
    """What a connection needs of the router."""

    authenticator: Authenticator
    can_serve: Callable[[], bool]
    draining: bool
    rejected: RejectedConnections

    @property
    def activity(self) -> ActivityObserver:
        """Who notes what each connection waits for."""

    def next_connection_id(self) -> int:
        """A number of its own for a new connection."""

    def accept_age(self, now: int) -> int:
        """For how long a connection that is accepted now may have waited for that, ns."""

    def admit(self, client: "ClientConnection") -> bool:
        """Takes in a new connection; False where there is no room."""

    def connection_lost(self, client: "ClientConnection") -> None:
        """The connection is closed, or is being aborted."""


class ClientConnection(ClientSocket):
    """One connection of a client: reads its commands and writes their answers."""

    def __init__(self, host: ClientHost) -> None:
        super().__init__(host)
        self.host = host
        self.activity = host.activity
        self.state = CONNECTION_OPEN
        self.reader = Resp2Reader()
        self.session = Session(host.next_connection_id(), host.authenticator, host.can_serve)
        self.responses = ResponseQueue(self, host)
        self.commands = ClientCommands(host, self.session, self.responses)
        self.command_count = 0  # whole commands
        self.unread_age = UnreadAge(self.system, host.driver.loop_lag)
        self.unread_ms = 0  # for which what has come last may have been unread
        self.nothing_received = True
        self.flow = ReadFlow(host, self.reader, self.responses, self.unread_age)
        self.is_advancing = False
        self.rejected: RejectedConnection | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection was accepted."""
        self.transport = cast(asyncio.Transport, transport)
        self.responses.transport = self.transport
        self.host.driver.loop_lag.callback_begins()
        now = self.host.system.now()
        self.unread_age.accepted(now, self.host.accept_age(now))
        if not self.host.admit(self):
            self.note_close_reason(CloseReason.NO_ROOM)
            self.state = ConnectionState.REJECTED
            self.rejected = RejectedConnection(self.host.rejected, self.transport)

    def data_received(self, data: bytes) -> None:
        """Something has come from the client."""
        assert self.transport is not None
        lag = self.host.driver.loop_lag
        lag.callback_begins()
        self.host.driver.decision_loop.detect_pause()  # before the read acts on anything
        self.unread_ms = self.unread_age.age_ns(self.transport, self.nothing_received) // NS_PER_MS
        self.nothing_received = False
        if self.state is CONNECTION_OPEN:
            self.reader.feed(data)
            self.advance()
        elif self.rejected is not None:
            self.rejected.data_received(data)
        elif self.state is HALF_CLOSED:
            self.throw_away(data)
        lag.callback_ends()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone: what is in flight for it is withdrawn."""
        self.transport = None
        self.state = ConnectionState.CLOSED
        self.note_close_reason(CloseReason.BY_CLIENT)
        self.host.connection_lost(self)
        if self.rejected is not None:
            self.rejected.connection_lost()
        self.close_timer.connection_lost()
        for slot in self.responses.connection_lost():
            if slot.relay is not None:
                slot.relay.client_left()
            if slot.request is not None:
                self.host.driver.withdraw(slot.request)

    def pause_writing(self) -> None:
        """The client reads too slowly: nothing more is written or read for now."""
        self.responses.write_buffer_full = True
        self.close_timer.start_for_unread_answers()
        self._pause_or_resume_reading()

    def resume_writing(self) -> None:
        """The client has read what was written."""
        self.responses.write_buffer_full = False
        self.close_timer.cancel()
        self.advance()

    def advance(self) -> None:
        """Handles commands and writes answers, in turn, as far as both go.

        Guards against recursion: an answer that is ready at once, or comes while this runs, is written by
        this loop.
        """
        if self.is_advancing or self.transport is None or self.state in ANSWERED_STATES:
            return
        self.is_advancing = True
        commands_left = 0 if self.flow.turn_over else MAX_COMMANDS_PER_TURN
        try:
            commands_left -= self._handle_commands(commands_left)
            while self.responses.write_ready() and commands_left > 0 and self.reader.buffer:
                commands_left -= self._handle_commands(commands_left)
        finally:
            self.is_advancing = False
        all_answered = not self.responses.slots
        if all_answered and self.state is not CONNECTION_OPEN:
            self.half_close(CloseReason.LAST_COMMAND)
        elif all_answered and self.host.draining and self._may_be_drained():
            self.half_close(CloseReason.SHUTDOWN)
        else:
            if commands_left == 0 and self.reader.buffer and not self.flow.turn_over:
                # Guards the others against a client that sends hundreds of commands at once.
                self.flow.turn_over = True
                self.host.loop.call_soon(self._next_turn)
            self._pause_or_resume_reading()

    def _next_turn(self) -> None:
        self.flow.turn_over = False
        self.advance()

    def _handle_commands(self, max_commands: int) -> int:
        """Handles the commands that have come, as many as may be in work at once; gives their number."""
        handled = 0
        responses = self.responses
        try:
            while handled < max_commands and self.state is CONNECTION_OPEN:
                if responses.write_buffer_full or len(responses.slots) >= MAX_PIPELINED_COMMANDS:
                    break
                parts = self.reader.next()
                if parts is resp.NEED_DATA:
                    break
                handled += 1
                self.command_count += 1
                self.activity.command_received(self)
                if self.commands.handle(cast(list[bytes], parts), self.unread_ms):
                    self._read_no_more()
        except resp.FramingError as problem:
            # Where the next command begins is lost: what came before is answered, then this one, last.
            self.end(f"Protocol error: {problem}", CloseReason.PROTOCOL_ERROR)
        return handled

    def end(self, problem: str, reason: CloseReason) -> None:
        """Reads no more: what has been read is answered, then the problem is, then all is closed."""
        self.note_close_reason(reason)
        self.host.events.count(ClientEvent.ENDED_ON_ERROR)
        self._read_no_more()
        self.commands.put(resp.error_reply(problem))

    def finish(self) -> None:
        """Reads no more: what has been read is answered, then all is closed."""
        self.note_close_reason(CloseReason.SHUTDOWN)
        self._read_no_more()
        self.advance()

    def end_unfinished(self) -> None:
        """Its command has been incomplete for too long."""
        self.end("no whole command in time", CloseReason.UNFINISHED)
        self.advance()

    def _may_be_drained(self) -> bool:
        """Whether a close behind the last answer would cross no command.

        Guards a client's first request, which comes right behind its HELLO: a client that has only greeted is
        not closed behind that answer, but when it has idled.
        """
        return not self.commands.only_set_up and not self.reader.buffer and not self.has_unread_bytes()

    def half_close(self, reason: CloseReason) -> None:
        """Ends the sending and reads on for a while, so that the close is no reset.

        What comes from now on crosses this end, and is never handled: the client sends it again elsewhere.
        """
        assert self.transport is not None
        if self.state is HALF_CLOSED or self.transport.is_closing():
            return
        self.note_close_reason(reason)
        self.state = HALF_CLOSED
        answers = self.commands.reject_rest(self.reader)
        if answers:
            self.transport.write(answers)
        self.activity.classify(self)
        if self.nothing_received:
            self.transport.close()
            return
        self._pause_or_resume_reading()
        self.start_lingering()

    def _pause_or_resume_reading(self) -> None:
        """Pauses or resumes reading; ends the connection where memory is short."""
        if self.transport is None or self.transport.is_closing():
            return
        self.flow.pause_or_resume(self.transport, self.state is LAST_COMMAND_READ, self.state is HALF_CLOSED)
        self.activity.classify(self)
        self.flow.update_buffered_bytes(self.transport)
        if self.host.buffered_bytes > self.host.max_buffered_bytes:
            self._drop_input()

    def _drop_input(self) -> None:
        """Memory is short: ends the connection where what its client has sent is a good part of that."""
        if len(self.reader.buffer) > SMALL_ANSWER_BYTES and self.state is CONNECTION_OPEN:
            self.reader.buffer.clear()
            self.end("out of memory", CloseReason.OUT_OF_MEMORY)
            self.advance()

    def _read_no_more(self) -> None:
        if self.state is CONNECTION_OPEN:
            self.state = LAST_COMMAND_READ

    def update_buffered_bytes(self) -> None:
        """Counts the bytes that the connection holds anew."""
        self.flow.update_buffered_bytes(self.transport)
