"""Pauses and resumes reading of a client connection and counts the bytes buffered for it."""

import asyncio

from rainhitch.node.response_queue import BufferLimits, ResponseQueue
from rainhitch.node.unread_age import UnreadAge
from rainhitch.protocol.resp2_reader import Resp2Reader

MAX_PIPELINED_COMMANDS = 32  # maximum commands in progress on one connection; further ones stay unread


class ReadFlow:
    """Flow control of one connection: limits the memory used by clients that send much or read nothing."""

    __slots__ = ("buffered_bytes", "has_yielded", "limits", "paused", "reader", "responses", "unread_age")

    def __init__(
        self, limits: BufferLimits, reader: Resp2Reader, responses: ResponseQueue, unread_age: UnreadAge
    ) -> None:
        self.limits = limits
        self.reader = reader
        self.responses = responses
        self.unread_age = unread_age
        self.paused = False  # whether reading is paused
        self.has_yielded = False  # command handling has yielded to other callbacks until the next turn
        self.buffered_bytes = 0  # the connection's share of `limits.buffered_bytes`

    def pause_or_resume(
        self, transport: asyncio.Transport, no_more_commands: bool, is_lingering: bool
    ) -> None:
        """Pauses or resumes reading.

        A lingering connection is read, unless its write buffer is full or it ended within a long value, so
        that its close does not cause a reset. Commands behind a value that is being relayed stay unread.
        """
        is_full = self.has_yielded or len(self.responses.slots) >= MAX_PIPELINED_COMMANDS
        takes_no_more = (is_full or no_more_commands) and not is_lingering
        paused = self.responses.write_buffer_full or takes_no_more or self.responses.ends_with_relay()
        if paused:
            transport.pause_reading()
        else:
            transport.resume_reading()
            if self.paused:
                self.unread_age.reading_resumed()
        self.paused = paused

    def update_buffered_bytes(self, transport: asyncio.Transport | None) -> None:
        """Updates the number of bytes counted as buffered for the connection."""
        unsent_bytes = 0 if transport is None else transport.get_write_buffer_size()
        held_bytes = len(self.reader.buffer) + unsent_bytes + self.responses.waiting_bytes
        self.limits.buffered_bytes += held_bytes - self.buffered_bytes
        self.buffered_bytes = held_bytes
