"""The answers of one client's connection, in the order of their commands, and the memory they hold."""

import asyncio
from collections import deque
from typing import Protocol

from rainhitch.node.close_reason import CloseReason
from rainhitch.node.relay import Relay
from rainhitch.node.response_slot import ResponseSlot, SlotOwner
from rainhitch.node.upstream_connection import READ_PIECE_BYTES
from rainhitch.protocol import resp

SMALL_ANSWER_BYTES = 1024  # an answer that is kept however little memory is left


class QueueOwner(SlotOwner, Protocol):
    """The connection that a queue belongs to."""

    def abort(self, reason: CloseReason) -> None:
        """Closes at once."""

    def update_buffered_bytes(self) -> None:
        """Counts the bytes that the connection holds anew."""


class GoneOwner:
    """In place of a connection that is gone: answers that still come for it go nowhere."""

    def advance(self) -> None:
        """Does nothing."""

    def gone(self) -> bool:
        """The client has left."""
        return True

    def abort(self, reason: CloseReason) -> None:
        """Does nothing."""

    def update_buffered_bytes(self) -> None:
        """Does nothing."""


GONE_OWNER = GoneOwner()


class BufferLimits(Protocol):
    """The memory that all connections of clients share."""

    buffered_bytes: int  # that clients have not finished sending or reading
    max_buffered_bytes: int


class ResponseQueue:
    """The slots of the commands in work, first come first."""

    __slots__ = ("limits", "owner", "slots", "transport", "waiting_bytes", "write_buffer_full")

    def __init__(self, owner: QueueOwner, limits: BufferLimits) -> None:
        self.owner = owner
        self.limits = limits
        self.slots: deque[ResponseSlot] = deque()
        self.transport: asyncio.Transport | None = None
        self.write_buffer_full = False  # the client reads too slowly: nothing more is written for now
        self.waiting_bytes = 0  # in answers whose turn has not come

    def connection_lost(self) -> list[ResponseSlot]:
        """The connection is gone; gives the slots that were in work.

        The connection is let go of, so that the two are no cycle for the garbage collector.
        """
        slots = list(self.slots)
        self.transport = None
        self.owner = GONE_OWNER
        self.slots.clear()
        return slots

    def put(self, answer: bytes, version: int) -> None:
        """Appends an answer that is ready."""
        slot = ResponseSlot(self, version)
        slot.answer = answer
        self.slots.append(slot)

    def keep(self, slot: ResponseSlot, answer: bytes) -> bytes:
        """The answer to hold until its turn comes. Guards memory: where there is no room it is an error."""
        if len(answer) > SMALL_ANSWER_BYTES and not self.has_room(slot, len(answer)):
            return resp.FAILED_REPLY
        return answer

    def has_room(self, slot: ResponseSlot, size_bytes: int) -> bool:
        """Whether so many bytes may be held until the slot's turn comes; counts them if they may."""
        if self.transport is None:
            return True
        goes_out_at_once = not self.write_buffer_full and self.slots[0] is slot
        if goes_out_at_once:
            return True
        if self.limits.buffered_bytes + size_bytes > self.limits.max_buffered_bytes:
            return False
        self.waiting_bytes += size_bytes
        self.owner.update_buffered_bytes()
        return True

    def write_ready(self) -> bool:
        """Writes the answers whose turn has come; whether any was written whole."""
        wrote = False
        ready: list[bytes] = []
        while self.slots and not self.write_buffer_full and self.transport is not None:
            slot = self.slots[0]
            if slot.relay is not None and slot.relay.is_broken() and not slot.relay.head_written:
                slot.answer = resp.FAILED_REPLY
                slot.relay = None
            if slot.relay is not None:
                is_whole = self._pass_on(slot.relay, b"".join(ready))
                ready = []
                if not is_whole:
                    break
            elif slot.answer is None:
                break
            else:
                ready.append(slot.answer)
            self.slots.popleft()
            wrote = True
        if wrote and self.transport is not None:
            if self.waiting_bytes:
                self.waiting_bytes = sum(_held_bytes(one) for one in self.slots)
            if ready:
                self.transport.write(b"".join(ready))
        return wrote

    def _pass_on(self, relay: Relay, before: bytes) -> bool:
        """Writes what there is of a long value, behind what stands before it; whether that was the rest."""
        assert self.transport is not None
        if relay.is_broken():
            # Guards the client against half a value taken for the whole: the connection ends in its middle.
            self.transport.write(before)
            self.owner.abort(CloseReason.VALUE_CUT_OFF)
            return False
        head = b"" if relay.head_written else b"$%d\r\n" % relay.size_bytes
        relay.head_written = True
        piece = relay.take()
        is_whole = relay.is_taken_whole()
        tail = b"\r\n" if is_whole else b""
        self.transport.write(b"".join((before, head, piece, tail)))
        if is_whole:
            relay.passed()
        return is_whole


def _held_bytes(slot: ResponseSlot) -> int:
    if slot.relay is not None:
        return READ_PIECE_BYTES
    return len(slot.answer or b"")
