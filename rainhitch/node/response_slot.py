"""The place of one answer on its client's connection: answers go out in the order of their commands."""

from typing import Protocol

from rainhitch.node.in_flight_request import InFlightRequest
from rainhitch.node.relay import Relay
from rainhitch.node.upstream_connection import READ_PIECE_BYTES
from rainhitch.protocol import resp


class SlotOwner(Protocol):
    """The connection that a slot belongs to."""

    def advance(self) -> None:
        """Writes the answers whose turn has come, and goes on with the commands behind them."""

    def gone(self) -> bool:
        """Whether the client has left, also where its end has not been read yet."""


class SlotQueue(Protocol):
    """The queue of answers that a slot stands in."""

    @property
    def owner(self) -> SlotOwner:
        """The connection."""

    def keep(self, slot: "ResponseSlot", answer: bytes) -> bytes:
        """The answer to hold until its turn comes; an error where there is no memory for it."""

    def has_room(self, slot: "ResponseSlot", size_bytes: int) -> bool:
        """Whether so many bytes may be held until the slot's turn comes."""


class ResponseSlot:
    """The place of one answer; the ResponseSink of its request."""

    __slots__ = ("answer", "queue", "relay", "request", "version")

    def __init__(self, queue: SlotQueue, version: int) -> None:
        self.queue = queue
        self.answer: bytes | None = None
        self.request: InFlightRequest | None = None
        self.relay: Relay | None = None  # a long value, while it is passed on
        self.version = version  # RESP version in force when its command was read

    def fill(self, answer: bytes) -> None:
        """Takes the answer as it goes to the client."""
        if self.answer is None:
            self.answer = self.queue.keep(self, answer)
            # Each holds the other: guards memory against waiting for the garbage collector.
            self.request = None
            self.queue.owner.advance()

    def gone(self) -> bool:
        """Whether the client has left, also where its end has not been read yet."""
        return self.queue.owner.gone()

    def form(self, value: object) -> bytes:
        """Encodes a RESP3 value in the client's protocol version."""
        from rainhitch.protocol.resp3_writer import encode  # only where a server speaks RESP3

        return encode(value, self.version)

    def start_relay(self, relay: Relay) -> None:
        """Takes a long value, which is passed on as it arrives once its turn has come."""
        if not self.queue.has_room(self, READ_PIECE_BYTES):
            self.fill(resp.FAILED_REPLY)
            relay.client_left()
            return
        self.relay = relay
        self.request = None
        relay.wake = self.queue.owner.advance
        self.queue.owner.advance()
