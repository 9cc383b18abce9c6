"""One connection of a client: commands in, answers out in their order.

Life cycle:

    OPEN --QUIT, an error, or the router ends--> LAST_COMMAND_READ --all is answered--> HALF_CLOSED --> CLOSED
     |                                                                                   ^
     |--idle, evicted, or drained behind an answer--------------------------------------'
     '--not admitted--> REJECTED --> CLOSED

Any state ends in CLOSED when the client leaves or the connection is aborted. The reason of the end is noted
once (node/close_reason.py). Apart from that state, reading may be paused, and the write buffer may be full.
"""

import asyncio
import contextlib
from collections.abc import Callable
from enum import Enum
from typing import Protocol, cast

from rainhitch.node.client_commands import ClientCommands, CommandHost
from rainhitch.node.close_reason import CloseReason
from rainhitch.node.rejected_connection import LINGER_S, MAX_LINGER_BYTES, RejectedConnection, RejectingHost
from rainhitch.node.response_queue import SMALL_ANSWER_BYTES, BufferLimits, ResponseQueue
from rainhitch.node.session import Authenticator, Session
from rainhitch.node.unread_age import UnreadAge
from rainhitch.protocol import resp

MAX_PIPELINED_COMMANDS = 32  # of one connection in work; those behind wait unread
MAX_COMMANDS_PER_TURN = 16  # of one connection before others have their turn
NS_PER_MS = 1_000_000


class ConnectionState(Enum):
    """Where a connection stands; see the module's docstring."""

    OPEN = "open"
    LAST_COMMAND_READ = "last command read"  # nothing more is read; closed once all is answered
    HALF_CLOSED = "half closed"  # all is answered; what still comes is read and thrown away for a while
    REJECTED = "rejected"
    CLOSED = "closed"


ANSWERED_STATES = (ConnectionState.HALF_CLOSED, ConnectionState.REJECTED)


class ActivityObserver(Protocol):
    """Who notes what each connection waits for."""

    def command_received(self, client: "ClientConnection") -> None:
        """A whole command has come."""

    def classify(self, client: "ClientConnection") -> None:
        """What the connection waits for may have changed."""


class ClientHost(RejectingHost, CommandHost, BufferLimits, Protocol):
    """What a connection needs of the router."""

    authenticator: Authenticator
    can_serve: Callable[[], bool]
    draining: bool
    unread_s: float  # for which a client may leave answers unread

    @property
    def activity(self) -> ActivityObserver:
        """Who notes what each connection waits for."""

    def next_connection_id(self) -> int:
        """A number of its own for a new connection."""

    def accept_age(self, now: int) -> int:
        """For how long a connection that is accepted now may have waited for that, ns."""

    def admit(self, client: "ClientConnection") -> bool:
        """Takes in a new connection; False where there is no room."""

    def count_protocol_end(self) -> None:
        """Counts a connection that is ended on an error."""

    def connection_lost(self, client: "ClientConnection") -> None:
        """The connection is closed, or is being aborted."""


class ClientConnection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, host: ClientHost) -> None:
        self.host = host
        self.activity = host.activity
        self.state = ConnectionState.OPEN
        self.close_reason: CloseReason | None = None
        self.transport: asyncio.Transport | None = None
        self.frames = resp.Frames()
        self.session = Session(host.next_connection_id(), host.authenticator, host.can_serve)
        self.responses = ResponseQueue(self, host)
        self.commands = ClientCommands(host, self.session, self.responses)
        self.command_count = 0  # whole commands
        self.unread_age = UnreadAge(host.system, host.driver.loop_lag)
        self.unread_ms = 0  # for which what has come last may have been unread
        self.nothing_received = True
        self.reading_paused = False
        self.is_advancing = False
        self.turn_over = False  # others have their turn before more of its commands are handled
        self.buffered_bytes = 0  # as they are counted in the host's sum
        self.lingered_bytes = 0  # read since it was half closed
        self.close_timer: asyncio.TimerHandle | None = None
        self.rejected: RejectedConnection | None = None

    def note_close_reason(self, reason: CloseReason) -> None:
        """Notes why the connection ends; the first reason stands."""
        if self.close_reason is None:
            self.close_reason = reason

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
            self.rejected = RejectedConnection(self.host, self.transport)

    def data_received(self, data: bytes) -> None:
        """Something has come from the client."""
        assert self.transport is not None
        lag = self.host.driver.loop_lag
        lag.callback_begins()
        self.host.driver.just_resumed()
        self.unread_ms = self.unread_age.age_ns(self.transport, self.nothing_received) // NS_PER_MS
        self.nothing_received = False
        if self.state is ConnectionState.OPEN:
            self.frames.feed(data)
            self.advance()
        elif self.rejected is not None:
            self.rejected.data_received(data)
        elif self.state is ConnectionState.HALF_CLOSED:
            # Guards memory and CPU against a client that goes on at full speed: the rest stays unread.
            self.lingered_bytes += len(data)
            if self.lingered_bytes > MAX_LINGER_BYTES and self.transport is not None:
                self.transport.pause_reading()
        lag.callback_ends()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone: what is in flight for it is withdrawn."""
        self.transport = None
        self.responses.transport = None
        self.state = ConnectionState.CLOSED
        self.note_close_reason(CloseReason.BY_CLIENT)
        self.host.connection_lost(self)
        if self.rejected is not None:
            self.rejected.connection_lost()
        if self.close_timer is not None:
            self.close_timer.cancel()
        slots = list(self.responses.slots)
        self.responses.slots.clear()
        for slot in slots:
            if slot.relay is not None:
                slot.relay.leave()
            if slot.request is not None:
                self.host.driver.withdraw(slot.request)

    def pause_writing(self) -> None:
        """The client reads too slowly: nothing more is written or read for now."""
        self.responses.write_buffer_full = True
        self.close_timer = self.host.loop.call_later(
            self.host.unread_s, self.abort, CloseReason.UNREAD_ANSWERS
        )
        self._steer_reading()

    def resume_writing(self) -> None:
        """The client has read what was written."""
        self.responses.write_buffer_full = False
        if self.close_timer is not None:
            self.close_timer.cancel()
        self.advance()

    def abort(self, reason: CloseReason = CloseReason.LINGERED) -> None:
        """Closes at once; what was not sent yet is lost."""
        self.note_close_reason(reason)
        if self.transport is not None:
            self.transport.abort()

    def gone(self) -> bool:
        """Whether the client's end has come, also behind what was not read.

        While reading is paused the event loop does not report it. Then the connection is closed here too.
        """
        if self.transport is None or self.transport.is_closing():
            return True
        if self.host.system.hung_up(self.transport):
            self.transport.close()
            return True
        return False

    def has_unread_bytes(self) -> bool:
        """Whether something has come that was not read yet."""
        return self.transport is not None and self.host.system.readable(self.transport)

    def advance(self) -> None:
        """Handles commands and writes answers, in turn, as far as both go.

        Guards against recursion: an answer that is ready at once, or comes while this runs, is written by
        this loop.
        """
        if self.is_advancing or self.transport is None or self.state in ANSWERED_STATES:
            return
        self.is_advancing = True
        commands_left = 0 if self.turn_over else MAX_COMMANDS_PER_TURN
        try:
            commands_left -= self._handle_commands(commands_left)
            while self.responses.write_ready() and commands_left > 0 and self.frames.buffer:
                commands_left -= self._handle_commands(commands_left)
        finally:
            self.is_advancing = False
        all_answered = not self.responses.slots
        if all_answered and self.state is not ConnectionState.OPEN:
            self.half_close(CloseReason.LAST_COMMAND)
        elif all_answered and self.host.draining and self._may_be_drained():
            self.half_close(CloseReason.SHUTDOWN)
        else:
            if commands_left == 0 and self.frames.buffer and not self.turn_over:
                # Guards the others against a client that sends hundreds of commands at once.
                self.turn_over = True
                self.host.loop.call_soon(self._next_turn)
            self._steer_reading()

    def _next_turn(self) -> None:
        self.turn_over = False
        self.advance()

    def _handle_commands(self, max_commands: int) -> int:
        """Handles the commands that have come, as many as may be in work at once; gives their number."""
        handled = 0
        slots = self.responses.slots
        try:
            while handled < max_commands and self._may_handle_more(len(slots)):
                parts = self.frames.next()
                if parts is resp.WAITING:
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

    def _may_handle_more(self, in_work: int) -> bool:
        is_open = self.state is ConnectionState.OPEN
        return is_open and not self.responses.write_buffer_full and in_work < MAX_PIPELINED_COMMANDS

    def _read_no_more(self) -> None:
        if self.state is ConnectionState.OPEN:
            self.state = ConnectionState.LAST_COMMAND_READ

    def end(self, problem: str, reason: CloseReason) -> None:
        """Reads no more: what has been read is answered, then the problem told, then all is closed."""
        self.note_close_reason(reason)
        self.host.count_protocol_end()
        self._read_no_more()
        self.commands.put(resp.error(problem))

    def finish(self) -> None:
        """Reads no more: what has been read is answered, then all is closed."""
        self.note_close_reason(CloseReason.SHUTDOWN)
        self._read_no_more()
        self.advance()

    def overdue(self) -> None:
        """Its command has been incomplete for too long."""
        self.end("no whole command in time", CloseReason.UNFINISHED)
        self.advance()

    def _may_be_drained(self) -> bool:
        """Whether a close behind the last answer would cross no command.

        Guards a client's first request, which comes right behind its HELLO: a client that has only greeted is
        not closed behind that answer, but when it has idled.
        """
        return not self.commands.only_greeted and not self.frames.buffer and not self.has_unread_bytes()

    def half_close(self, reason: CloseReason) -> None:
        """Ends the sending and reads on for a while.

        Guards the last answer: a close with bytes unread is a reset, which can reach a client that is still
        sending before the answer does. What comes from now on crosses this end, and is never handled: the
        client sends it again elsewhere.
        """
        assert self.transport is not None
        if self.state is ConnectionState.HALF_CLOSED or self.transport.is_closing():
            return
        self.note_close_reason(reason)
        self.state = ConnectionState.HALF_CLOSED
        self._reject_rest()
        self.activity.classify(self)
        if self.nothing_received:
            self.transport.close()
            return
        self._steer_reading()
        if self.transport.can_write_eof() and not self.transport.is_closing():
            self.transport.write_eof()
        if self.close_timer is not None:
            self.close_timer.cancel()
        # The timer ends with the connection.
        self.close_timer = self.host.loop.call_later(LINGER_S, self._linger_over, self.host.loop.time())

    def _linger_over(self, since_s: float) -> None:
        """Guards a client that reads slowly: what is left to send has the time that answers have."""
        if self.transport is None:
            return
        left_s = since_s + self.host.unread_s - self.host.loop.time()
        if self.transport.get_write_buffer_size() and left_s > 0:
            self.close_timer = self.host.loop.call_later(min(LINGER_S, left_s), self._linger_over, since_s)
        else:
            self.abort()

    def _reject_rest(self) -> None:
        """Rejects commands that were read and not handled, behind those in work.

        They do not cross the end of the connection, and nothing of them has begun.
        """
        assert self.transport is not None
        answers = []
        with contextlib.suppress(resp.FramingError):
            while isinstance(parts := self.frames.next(), list):
                self.host.count_rejected_command(parts)
                answers.append(resp.refused(0))
        self.frames.buffer.clear()
        if answers:
            self.transport.write(b"".join(answers))

    def _steer_reading(self) -> None:
        """Pauses or resumes reading. Guards memory against clients that send much or read nothing."""
        if self.transport is None or self.transport.is_closing():
            return
        is_full = self.turn_over or len(self.responses.slots) >= MAX_PIPELINED_COMMANDS
        reads_no_more = is_full or self.state is ConnectionState.LAST_COMMAND_READ
        is_lingering = self.state is ConnectionState.HALF_CLOSED
        self._pause_reading(self.responses.write_buffer_full or (reads_no_more and not is_lingering))
        self.activity.classify(self)
        self.account()
        is_memory_short = self.host.buffered_bytes > self.host.max_buffered_bytes
        is_large = len(self.frames.buffer) > SMALL_ANSWER_BYTES
        if is_memory_short and is_large and self.state is ConnectionState.OPEN:
            self.frames.buffer.clear()
            self.end("out of memory", CloseReason.OUT_OF_MEMORY)
            self.advance()

    def _pause_reading(self, paused: bool) -> None:
        assert self.transport is not None
        if paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
            if self.reading_paused:
                self.unread_age.reading_resumed()
        self.reading_paused = paused

    def account(self) -> None:
        """Counts the bytes that the connection holds anew."""
        unsent_bytes = 0 if self.transport is None else self.transport.get_write_buffer_size()
        held_bytes = len(self.frames.buffer) + unsent_bytes + self.responses.waiting_bytes
        self.host.buffered_bytes += held_bytes - self.buffered_bytes
        self.buffered_bytes = held_bytes
