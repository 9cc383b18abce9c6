"""One connection of a client: commands in, answers out in their order."""

import asyncio
import contextlib
import logging
from collections import deque
from typing import TYPE_CHECKING, cast

from rainhitch.node.client_request import ClientRequestError, parse_client_request
from rainhitch.node.close_reason import CloseReason
from rainhitch.node.connection_pool import PIECE
from rainhitch.node.relay import Relay
from rainhitch.node.response_slot import ResponseSlot
from rainhitch.node.session import GREETINGS, Session
from rainhitch.protocol import resp

if TYPE_CHECKING:
    from rainhitch.node.client_connections import ClientConnections

MOST_PIPELINED = 32  # commands of one connection in work; those behind wait unread
MOST_IN_A_TURN = 16  # commands of one connection taken up before others have their turn
LINGER = 1.0  # s for which a client that has its last answer may go on sending,
LINGER_BYTES = 256 << 10  # and how much of that is read
MILLI = 1_000_000
AT_ONCE = 20_000_000  # ns after an accept within which what had come with it is read
SMALL = 1024  # bytes of an answer that is kept whatever else is
log = logging.getLogger("rainhitch")


class ClientConnection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, server: "ClientConnections") -> None:
        self.server = server
        self.frames = resp.Frames()
        self.session = Session(server.number(), server.authenticator, server.can_serve)
        self.slots: deque[ResponseSlot] = deque()
        self.transport: asyncio.Transport | None = None
        self.last = False  # nothing more is read; closed once all is answered
        self.advancing = self.blocked = self.lingering = self.yielding = False
        self.asked = 0  # whole commands
        self.greeted_only = True  # none of them but what a connection says of itself
        self.turned = False  # away: there was no room
        self.mute = True
        self.buffered = 0  # bytes as the server counts them
        self.waiting = 0  # of them, in answers whose turn has not come
        self.spilt = 0  # bytes read while lingering
        self.unread_ms = 0  # ms for which what has come last may have lain unread
        self.paused = False  # reading is
        self.resumed_at = 0  # when it last went on, ns
        self.accepted_at = self.accepted_age = 0  # ns: when, and for how long it may have waited for that
        self.stuck: asyncio.TimerHandle | None = None
        self.reason: CloseReason | None = None  # why it ends

    def closes_for(self, reason: CloseReason) -> None:
        """Notes why the connection ends; the first reason stands."""
        if self.reason is None:
            self.reason = reason

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.driver.loop_lag.begins()
        self.accepted_at = self.server.system.now()
        self.accepted_age = self.server.accept_age(self.accepted_at)
        if not self.server.admit(self):
            self._reject_connection()

    def _reject_connection(self) -> None:
        """Says that there is no room and hears the client out. Guards that one answer: a close with the
        client's first command unread is a reset, which overtakes what was written before it."""
        assert self.transport is not None
        self.closes_for(CloseReason.NO_ROOM)
        self.last = self.lingering = self.turned = True
        self.transport.write(self.server.rejection())
        self.transport.write_eof()
        self.stuck = self.server.loop.call_later(LINGER, self.abort, CloseReason.NO_ROOM)
        self.server.track_rejected(self)

    def _drain_rejected(self, data: bytes) -> None:
        """With its one command read, nothing is left that would make of the close a reset."""
        self.frames.feed(data)
        try:
            parts = self.frames.next()
        except resp.FramingError:
            parts = None
        if isinstance(parts, list) and not self.transport_closes():
            self.server.count_rejected_command(parts)
        if parts is not resp.WAITING and self.transport is not None:
            self.transport.close()

    def transport_closes(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def drain_now(self) -> None:
        """Others wait to be heard out: what has come is read past the loop, then all is closed. An abort
        would throw away what was not sent yet, and be a reset."""
        self.server.turned.pop(self, None)
        if self.transport is not None and not self.transport.is_closing():
            self._drain_rejected(self.server.system.take_unread(self.transport, LINGER_BYTES))
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        lag = self.server.driver.loop_lag
        lag.begins()
        self.server.driver.just_resumed()
        self.unread_ms = self._age() // MILLI
        self.mute = False
        if self.turned:
            self._drain_rejected(data)
        elif self.lingering:
            # Guards memory and CPU against a client that goes on at full speed: the rest stays unread.
            self.spilt += len(data)
            if self.spilt > LINGER_BYTES and self.transport is not None:
                self.transport.pause_reading()
        elif not self.last:
            self.frames.feed(data)
            self.advance()
        lag.ends()

    def _age(self) -> int:
        """For how long what has come may have been lying in the system, ns. Guards rule 1 against the time in
        which the process was held up or a newcomer waited in the backlog, which is its client's time too. The
        system does not tell it everywhere; the loop's own delays count there."""
        assert self.transport is not None
        system = self.server.system
        now = system.now()
        # What lay while reading was paused waited for those before it, which does not count.
        told = min(system.unread_ms(self.transport) * MILLI, now - self.resumed_at)
        age = max(told, self.server.driver.loop_lag.age())
        since = now - self.accepted_at
        if self.mute and since < AT_ONCE:
            age = max(age, since + self.accepted_age)  # it came with its connection
        return age

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.closes_for(CloseReason.BY_CLIENT)
        self.server.connection_lost(self)
        if self.stuck is not None:
            self.stuck.cancel()
        slots, self.slots = self.slots, deque()
        for slot in slots:
            if slot.relay is not None:
                slot.relay.leave()
            if slot.held is not None:
                self.server.driver.withdraw(slot.held)

    def pause_writing(self) -> None:
        self.blocked = True
        self.stuck = self.server.loop.call_later(self.server.unread_s, self.abort, CloseReason.UNREAD_ANSWERS)
        self._steer()

    def resume_writing(self) -> None:
        self.blocked = False
        if self.stuck is not None:
            self.stuck.cancel()
        self.advance()

    def abort(self, reason: CloseReason = CloseReason.LINGERED) -> None:
        self.closes_for(reason)
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def gone(self) -> bool:
        """Whether its end has come, also behind what was not read: while reading is paused the loop does not
        tell. Then the connection is closed here too."""
        if self.transport is None or self.transport.is_closing():
            return True
        if self.server.system.hung_up(self.transport):
            self.transport.close()
            return True
        return False

    def advance(self) -> None:
        """Takes up commands and writes answers, in turn, as far as both go. Guards against recursion: an
        answer that is ready at once, or comes while this runs, is written by this loop."""
        if self.advancing or self.lingering or self.transport is None:
            return
        self.advancing = True
        turn = 0 if self.yielding else MOST_IN_A_TURN
        try:
            turn -= self._take_up(turn)
            while self._write() and turn > 0 and self.frames.buffer:
                turn -= self._take_up(turn)
        finally:
            self.advancing = False
        if not self.slots and self.last:
            self.half_close(CloseReason.LAST_COMMAND)
        elif not self.slots and self.server.draining and self._at_rest():
            self.half_close(CloseReason.SHUTDOWN)
        else:
            if turn == 0 and self.frames.buffer and not self.yielding:
                # Guards the others against a client that sends hundreds of commands at once.
                self.yielding = True
                self.server.loop.call_soon(self._again)
            self._steer()

    def _again(self) -> None:
        self.yielding = False
        self.advance()

    def half_close(self, reason: CloseReason) -> None:
        """Ends the sending and reads on for a while. Guards the last answer: a close with bytes unread is a
        reset, which can reach a client that is still sending before the answer does. What comes from now on
        crosses this end, and is never taken up: the client sends it again elsewhere."""
        assert self.transport is not None
        if self.lingering or self.transport.is_closing():
            return
        self.closes_for(reason)
        self.last = self.lingering = True
        self._refuse_rest()
        self.server.classify(self)
        if self.mute:
            self.transport.close()
            return
        self._steer()
        if self.transport.can_write_eof() and not self.transport.is_closing():
            self.transport.write_eof()
        if self.stuck is not None:
            self.stuck.cancel()
        # Ends with the connection: nothing stays.
        self.stuck = self.server.loop.call_later(LINGER, self._lingered, self.server.loop.time())

    def _lingered(self, since: float) -> None:
        """Guards who reads slowly: what is not with the system yet gets the time that a reader has."""
        if self.transport is None:
            return
        left = since + self.server.unread_s - self.server.loop.time()
        if self.transport.get_write_buffer_size() and left > 0:
            self.stuck = self.server.loop.call_later(min(LINGER, left), self._lingered, since)
        else:
            self.abort()

    def _refuse_rest(self) -> None:
        """Guards commands that were read and never taken up, behind those in work: they don't cross the end,
        and nothing of them was begun."""
        assert self.transport is not None
        answers = []
        with contextlib.suppress(resp.FramingError):
            while isinstance(parts := self.frames.next(), list):
                self.server.count_rejected_command(parts)
                answers.append(resp.refused(0))
        self.frames.buffer.clear()
        if answers:
            self.transport.write(b"".join(answers))

    def _take_up(self, most: int) -> int:
        """Takes up the commands that have come, as many as may be in work at once; how many these were."""
        taken = 0
        try:
            while taken < most and not self.last and not self.blocked and len(self.slots) < MOST_PIPELINED:
                parts = self.frames.next()
                if parts is resp.WAITING:
                    break
                taken += 1
                self.asked += 1
                self.server.command_received(self)
                self._command(cast(list[bytes], parts))
        except resp.FramingError as problem:
            # Where the next command begins is lost: what came before is answered, then this one, last.
            self.end(f"Protocol error: {problem}", CloseReason.PROTOCOL_ERROR)
        return taken

    def end(self, problem: str, reason: CloseReason) -> None:
        """Reads no more: what has been taken is answered, then the problem told, then all is closed."""
        self.closes_for(reason)
        self.server.count("ended on an error")
        self.last = True
        self._put(resp.error(problem))

    def _at_rest(self) -> bool:
        """Guards a client's first request, which comes right behind its HELLO: who has only greeted is not
        sent away with that answer, but when it has idled."""
        return not self.greeted_only and not self.frames.buffer and not self.unread()

    def finish(self) -> None:
        """Reads no more; what has been taken is answered, then all is closed."""
        self.closes_for(CloseReason.SHUTDOWN)
        self.last = True
        self.advance()

    def overdue(self) -> None:
        """Its command has been on its way for too long."""
        self.end("no whole command in time", CloseReason.UNFINISHED)
        self.advance()

    def keep(self, slot: ResponseSlot, answer: bytes) -> bytes:
        """An answer to hold until its turn comes. Guards memory: where there is no room it fails."""
        if len(answer) > SMALL and not self.has_room(slot, len(answer)):
            return resp.FAILED
        return answer

    def has_room(self, slot: ResponseSlot, size: int) -> bool:
        """Whether so many bytes may be kept until the slot's turn comes; counts them if they may."""
        if self.transport is None or not (self.blocked or self.slots[0] is not slot):
            return True
        if self.server.buffered_bytes + size > self.server.max_buffered_bytes:
            return False
        self.waiting += size
        self._account()
        return True

    def _write(self) -> bool:
        """Writes the answers whose turn has come; whether any was written whole."""
        wrote = False
        ready: list[bytes] = []
        while self.slots and not self.blocked and self.transport is not None:
            slot = self.slots[0]
            if slot.relay is not None and slot.relay.broken and not slot.relay.begun:
                slot.answer, slot.relay = resp.FAILED, None
            if slot.relay is not None:
                whole = self._pass_on(slot.relay, b"".join(ready))
                ready = []
                if not whole:
                    break
            elif slot.answer is None:
                break
            else:
                ready.append(slot.answer)
            self.slots.popleft()
            wrote = True
        if wrote and self.transport is not None:
            if self.waiting:
                self.waiting = sum(PIECE if one.relay else len(one.answer or b"") for one in self.slots)
            if ready:
                self.transport.write(b"".join(ready))
        return wrote

    def _pass_on(self, relay: Relay, before: bytes) -> bool:
        """Writes what there is of a long value, behind what stands before it; whether that was the rest."""
        assert self.transport is not None
        if relay.broken:
            # Guards the client against half a value taken for the whole: it ends in the middle of it.
            self.transport.write(before)
            self.abort(CloseReason.VALUE_CUT_OFF)
            return False
        head = b"" if relay.begun else b"$%d\r\n" % relay.size
        relay.begun = True
        piece = relay.take()
        self.transport.write(b"".join((before, head, piece, b"\r\n" if relay.done else b"")))
        if relay.done:
            relay.passed()
        return relay.done

    def _command(self, parts: list[bytes]) -> None:
        name = parts[0].upper() if parts else b""
        self.greeted_only = self.greeted_only and name in GREETINGS
        if name in (b"C.GET", b"C.SET") and self.session.authenticated:
            self._call(parts)
        elif name == b"QUIT":
            self._put(b"+OK\r\n")
            self.last = True
        elif (answer := self.session.command(parts)) is not None:
            self._put(answer)
        else:
            self.server.count("bad commands")
            self._put(resp.error("unknown command"))

    def _call(self, parts: list[bytes]) -> None:
        try:
            call = parse_client_request(parts, self.server.names)
        except ClientRequestError as problem:
            self.server.count("bad commands")
            self._put(resp.error(str(problem)))
            return
        call.wait = max(1, call.wait - self.unread_ms)
        call.unread, call.connection = self.unread_ms, self.session.id
        slot = ResponseSlot(self)
        self.slots.append(slot)
        try:
            held = self.server.driver.accept(call, slot)
            slot.held = held if slot.answer is None and slot.relay is None else None
        except Exception:
            log.exception("a call could not be taken")
            slot.fill(resp.FAILED)

    def _put(self, answer: bytes) -> None:
        slot = ResponseSlot(self)
        slot.answer = answer
        self.slots.append(slot)

    def _steer(self) -> None:
        """Reads on or stops reading. Guards memory against clients that send much or read nothing."""
        if self.transport is None or self.transport.is_closing():
            return
        full = self.last or self.yielding or len(self.slots) >= MOST_PIPELINED
        self._pause(self.blocked or (full and not self.lingering))
        self.server.classify(self)
        self._account()
        over = self.server.buffered_bytes > self.server.max_buffered_bytes
        if over and len(self.frames.buffer) > SMALL and not self.last:
            self.frames.buffer.clear()
            self.end("out of memory", CloseReason.OUT_OF_MEMORY)
            self.advance()

    def _pause(self, paused: bool) -> None:
        assert self.transport is not None
        if paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()
            if self.paused:
                self.resumed_at = self.server.system.now()
        self.paused = paused

    def _account(self) -> None:
        unsent = 0 if self.transport is None else self.transport.get_write_buffer_size()
        held = len(self.frames.buffer) + unsent + self.waiting
        self.server.buffered_bytes += held - self.buffered
        self.buffered = held

    def unread(self) -> bool:
        """Whether something has come that was not read yet."""
        return self.transport is not None and self.server.system.readable(self.transport)
