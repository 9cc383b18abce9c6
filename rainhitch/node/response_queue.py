"""The responses of one client connection, in command order, and the memory that they occupy."""

import asyncio
from collections import deque
from typing import Protocol

from rainhitch.node.relay import Relay
from rainhitch.node.response_slot import ResponseSlot, SlotOwner
from rainhitch.node.stored_value import MAX_FRAME_BYTES
from rainhitch.node.upstream_connection import READ_PIECE_BYTES
from rainhitch.protocol import resp

SMALL_RESPONSE_BYTES = 1024  # responses up to this size are kept even if buffer memory is exhausted
MAX_WRITE_BYTES = 64 << 10  # written at once; longer responses are sent in pieces, with a time limit on each
MAX_STORED_VALUES_DIVISOR = 2  # stored values take at most this part (1/n) of the buffer memory


class QueueOwner(SlotOwner, Protocol):
    """The connection that a queue belongs to."""

    def end_within_value(self) -> None:
        """Ends the connection within a long value that has broken off."""

    def update_buffered_bytes(self) -> None:
        """Updates the number of bytes counted as buffered for the connection."""


class ClosedOwner:
    """Replaces the owner of a queue whose connection is closed; late responses are discarded."""

    def advance(self) -> None:
        """Does nothing."""

    def has_disconnected(self) -> bool:
        """Returns True: the client has disconnected."""
        return True

    def has_unhandled_input(self) -> bool:
        """Returns False: nothing more is handled."""
        return False

    def end_within_value(self) -> None:
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
        size_bytes = len(response)
        reserved_bytes = slot.reserved_bytes
        slot.reserved_bytes = 0
        self.waiting_bytes -= reserved_bytes
        if size_bytes <= SMALL_RESPONSE_BYTES:
            return response
        if size_bytes <= reserved_bytes:
            self.waiting_bytes += size_bytes
            return response
        return response if self.reserve_bytes(slot, size_bytes) else resp.FAILED_REPLY

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

    def is_last(self, slot: ResponseSlot) -> bool:
        """Returns whether no command has been handled after the slot's."""
        return not self.slots or self.slots[-1] is slot

    def may_store(self, slot: ResponseSlot, size_bytes: int) -> bool:
        """Returns whether a value may be stored, now or later; if so, reserves memory for its first piece.

        False if it would never fit, or if there is no memory for what has arrived of it.
        """
        limits = self.limits
        if size_bytes + MAX_FRAME_BYTES > limits.max_buffered_bytes // MAX_STORED_VALUES_DIVISOR:
            return False
        if limits.buffered_bytes + READ_PIECE_BYTES > limits.max_buffered_bytes:
            return False
        self._reserve_for_value(slot, READ_PIECE_BYTES)
        return True

    def reserve_value(self, slot: ResponseSlot, size_bytes: int) -> bool:
        """Returns whether there is memory to store a value of `size_bytes`; if so, reserves it."""
        total_bytes = size_bytes + MAX_FRAME_BYTES
        more_bytes = total_bytes - slot.reserved_bytes
        max_bytes = self.limits.max_buffered_bytes // MAX_STORED_VALUES_DIVISOR
        if self.limits.buffered_bytes + more_bytes > max_bytes:
            return False
        self._reserve_for_value(slot, total_bytes)
        return True

    def _reserve_for_value(self, slot: ResponseSlot, total_bytes: int) -> None:
        """Raises the memory reserved for a slot's value to `total_bytes`."""
        more_bytes = max(0, total_bytes - slot.reserved_bytes)
        slot.reserved_bytes += more_bytes
        self.waiting_bytes += more_bytes
        self.owner.update_buffered_bytes()

    def ends_with_relay(self) -> bool:
        """Returns whether the last command is answered by a relay, so that no further one may be handled.

        A value that breaks off ends the connection; commands that are still unread may be sent again.
        """
        return bool(self.slots) and self.slots[-1].relay is not None

    def write_ready(self) -> bool:
        """Writes the responses that are next in order; returns whether any was written completely.

        Responses are written together up to MAX_WRITE_BYTES: the transport keeps all that is written at once
        in memory until the system has accepted the last byte of it.
        """
        wrote = False
        ready: list[bytes] = []
        ready_bytes = 0
        while self.slots and not self.write_buffer_full and self.transport is not None:
            slot = self.slots[0]
            response = self._short_response(slot)
            if response is not None and ready_bytes + len(response) <= MAX_WRITE_BYTES:
                ready.append(response)
                ready_bytes += len(response)
            elif ready:
                self._write(ready)
                ready_bytes = 0
                continue
            elif not self._write_long(slot):
                break
            self.slots.popleft()
            wrote = True
        self._write(ready)
        if wrote and self.waiting_bytes and self.transport is not None:
            self.waiting_bytes = sum(_held_bytes(slot) for slot in self.slots)
        return wrote

    def _short_response(self, slot: ResponseSlot) -> bytes | None:
        """Returns a slot's response; None if it is not ready, or is too long to be written at once."""
        if slot.relay is not None and slot.relay.is_broken() and not slot.relay.head_written:
            slot.response = resp.FAILED_REPLY
            slot.relay = None
        if slot.relay is not None or slot.response is None or len(slot.response) > MAX_WRITE_BYTES:
            return None
        return slot.response

    def _write(self, ready: list[bytes]) -> None:
        """Writes responses together, and empties the list."""
        if ready and self.transport is not None:
            self.transport.write(b"".join(ready))
        ready.clear()

    def _write_long(self, slot: ResponseSlot) -> bool:
        """Writes what can be written now of a slot's long response; returns whether that is complete."""
        if slot.relay is not None:
            return self._write_relay(slot.relay)
        if slot.response is None:
            return False
        assert self.transport is not None
        while slot.sent_bytes < len(slot.response) and not self.write_buffer_full:
            piece = slot.response[slot.sent_bytes : slot.sent_bytes + MAX_WRITE_BYTES]
            slot.sent_bytes += len(piece)
            self.transport.write(piece)
        return slot.sent_bytes == len(slot.response)

    def _write_relay(self, relay: Relay) -> bool:
        """Writes the available part of a long value; returns whether the value is complete."""
        assert self.transport is not None
        if relay.is_broken():
            # A truncated value must not look complete to the client: the connection is ended within it.
            self.owner.end_within_value()
            return False
        head = b"" if relay.head_written else b"$%d\r\n" % relay.size_bytes
        relay.head_written = True
        piece = relay.take()
        is_complete = relay.is_fully_taken()
        tail = b"\r\n" if is_complete else b""
        self.transport.write(b"".join((head, piece, tail)))
        if is_complete:
            relay.mark_forwarded()
        return is_complete


def _held_bytes(slot: ResponseSlot) -> int:
    if slot.relay is not None:
        return READ_PIECE_BYTES
    return slot.reserved_bytes if slot.response is None else len(slot.response)
