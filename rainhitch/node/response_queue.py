"""The responses of one client connection, in command order, and the memory that they occupy."""

import asyncio
from collections import deque
from typing import Protocol

from rainhitch.node.close_reason import CloseReason
from rainhitch.node.relay import Relay
from rainhitch.node.response_slot import ResponseSlot, SlotOwner
from rainhitch.node.upstream_connection import READ_PIECE_BYTES
from rainhitch.protocol import resp

SMALL_RESPONSE_BYTES = 1024  # responses up to this size are kept even if buffer memory is exhausted


class QueueOwner(SlotOwner, Protocol):
    """The connection that a queue belongs to."""

    def abort(self, reason: CloseReason) -> None:
        """Closes the connection at once."""

    def update_buffered_bytes(self) -> None:
        """Updates the number of bytes counted as buffered for the connection."""


class ClosedOwner:
    """Replaces the owner of a queue whose connection is closed; late responses are discarded."""

    def advance(self) -> None:
        """Does nothing."""

    def has_disconnected(self) -> bool:
        """Returns True: the client has disconnected."""
        return True

    def abort(self, reason: CloseReason) -> None:
        """Does nothing."""

    def update_buffered_bytes(self) -> None:
        """Does nothing."""


CLOSED_OWNER = ClosedOwner()


class BufferLimits(Protocol):
    """The memory limit that all client connections share."""

    buffered_bytes: int  # total bytes that clients have not finished sending or reading
    max_buffered_bytes: int


class ResponseQueue:
    """The slots of the commands in progress, in the order of arrival."""

    __slots__ = ("limits", "owner", "slots", "transport", "waiting_bytes", "write_buffer_full")

    def __init__(self, owner: QueueOwner, limits: BufferLimits) -> None:
        self.owner = owner
        self.limits = limits
        self.slots: deque[ResponseSlot] = deque()
        self.transport: asyncio.Transport | None = None
        self.write_buffer_full = False  # the client reads too slowly: writing is paused
        self.waiting_bytes = 0  # size of the responses that are held until they can be written

    def connection_lost(self) -> list[ResponseSlot]:
        """Detaches the queue from its closed connection; returns the slots of commands in progress.

        Drops the references to the connection: a reference cycle would keep memory until garbage collection.
        """
        slots = list(self.slots)
        self.transport = None
        self.owner = CLOSED_OWNER
        self.slots.clear()
        return slots

    def append(self, response: bytes, version: int) -> None:
        """Appends a response that is ready."""
        slot = ResponseSlot(self, version)
        slot.response = response
        self.slots.append(slot)
        if len(response) > SMALL_RESPONSE_BYTES:
            self.waiting_bytes += len(response)

    def hold(self, slot: ResponseSlot, response: bytes) -> bytes:
        """Returns the response to hold until it can be written; an error if there is no memory for it."""
        if len(response) > SMALL_RESPONSE_BYTES and not self.reserve_bytes(slot, len(response)):
            return resp.FAILED_REPLY
        return response

    def reserve_bytes(self, slot: ResponseSlot, size_bytes: int) -> bool:
        """Returns whether `size_bytes` may be held until the slot can be written; if so, counts them."""
        if self.transport is None:
            return True
        is_written_at_once = not self.write_buffer_full and self.slots[0] is slot
        if is_written_at_once:
            return True
        if self.limits.buffered_bytes + size_bytes > self.limits.max_buffered_bytes:
            return False
        self.waiting_bytes += size_bytes
        self.owner.update_buffered_bytes()
        return True

    def write_ready(self) -> bool:
        """Writes all responses that are next in order; returns whether any was written completely."""
        wrote = False
        ready: list[bytes] = []
        while self.slots and not self.write_buffer_full and self.transport is not None:
            slot = self.slots[0]
            if slot.relay is not None and slot.relay.is_broken() and not slot.relay.head_written:
                slot.response = resp.FAILED_REPLY
                slot.relay = None
            if slot.relay is not None:
                is_complete = self._write_relay(slot.relay, b"".join(ready))
                ready = []
                if not is_complete:
                    break
            elif slot.response is None:
                break
            else:
                ready.append(slot.response)
            self.slots.popleft()
            wrote = True
        if wrote and self.transport is not None:
            if self.waiting_bytes:
                self.waiting_bytes = sum(_held_bytes(slot) for slot in self.slots)
            if ready:
                self.transport.write(b"".join(ready))
        return wrote

    def _write_relay(self, relay: Relay, before: bytes) -> bool:
        """Writes `before` and the available part of a long value; returns whether the value is complete."""
        assert self.transport is not None
        if relay.is_broken():
            # A truncated value must not look complete to the client: the connection is aborted within it.
            self.transport.write(before)
            self.owner.abort(CloseReason.VALUE_CUT_OFF)
            return False
        head = b"" if relay.head_written else b"$%d\r\n" % relay.size_bytes
        relay.head_written = True
        piece = relay.take()
        is_complete = relay.is_fully_taken()
        tail = b"\r\n" if is_complete else b""
        self.transport.write(b"".join((before, head, piece, tail)))
        if is_complete:
            relay.mark_forwarded()
        return is_complete


def _held_bytes(slot: ResponseSlot) -> int:
    if slot.relay is not None:
        return READ_PIECE_BYTES
    return len(slot.response or b"")
