"""The place of one response in its client connection's queue; responses are written in command order."""

from typing import Protocol

from rainhitch.node.in_flight_request import InFlightRequest
from rainhitch.node.relay import Relay
from rainhitch.node.upstream_connection import READ_PIECE_BYTES
from rainhitch.protocol import resp


class SlotOwner(Protocol):
    """The connection that a slot belongs to."""

    def advance(self) -> None:
        """Writes the responses that are next in order, then handles further commands."""

    def has_disconnected(self) -> bool:
        """Returns whether the client has disconnected, even if the end of its stream is not read yet."""

    def has_unhandled_input(self) -> bool:
        """Returns whether data has been read from the client that is not handled as a command yet."""


class SlotQueue(Protocol):
    """The queue that a slot belongs to."""

    @property
    def owner(self) -> SlotOwner:
        """The connection of the queue."""

    def hold(self, slot: "ResponseSlot", response: bytes) -> bytes:
        """Returns the response to hold until it can be written; an error if there is no memory for it."""

    def reserve_bytes(self, slot: "ResponseSlot", size_bytes: int) -> bool:
        """Returns whether `size_bytes` may be held until the slot can be written."""

    def is_last(self, slot: "ResponseSlot") -> bool:
        """Returns whether no command has been handled after the slot's."""

    def may_store(self, slot: "ResponseSlot", size_bytes: int) -> bool:
        """Returns whether a value may be stored, now or later; if so, reserves memory for its first piece."""

    def reserve_value(self, slot: "ResponseSlot", size_bytes: int) -> bool:
        """Returns whether there is memory to store a value of `size_bytes`; if so, reserves it."""


class ResponseSlot:
    """The place of one response; the ResponseSink of its request."""

    __slots__ = ("queue", "relay", "request", "reserved_bytes", "response", "sent_bytes", "version")

    def __init__(self, queue: SlotQueue, version: int) -> None:
        self.queue = queue
        self.response: bytes | None = None
        self.request: InFlightRequest | None = None
        self.relay: Relay | None = None  # set if the response is a long value that is relayed as it arrives
        self.reserved_bytes = 0  # memory reserved for a value that is being stored
        self.sent_bytes = 0  # of `response`, which is sent in pieces if it is long
        self.version = version  # RESP version in force when the command was read

    def set_response(self, response: bytes) -> None:
        """Sets the response, encoded as the client receives it."""
        if self.response is None:
            self.response = self.queue.hold(self, response)
            # Slot and request refer to each other: a cycle would keep memory until garbage collection.
            self.request = None
            self.queue.owner.advance()

    def has_disconnected(self) -> bool:
        """Returns whether the client has disconnected, even if the end of its stream is not read yet."""
        return self.queue.owner.has_disconnected()

    def encode(self, value: object) -> bytes:
        """Encodes a RESP3 value in the client's protocol version."""
        from rainhitch.protocol.resp3_writer import encode  # imported only if a server speaks RESP3

        return encode(value, self.version)

    def is_followed(self) -> bool:
        """Returns whether the client has sent further data on the connection that has been read."""
        return not self.queue.is_last(self) or self.queue.owner.has_unhandled_input()

    def may_store(self, size_bytes: int) -> bool:
        """Returns whether a value of `size_bytes` may be stored, now or once other values are sent."""
        return self.queue.may_store(self, size_bytes)

    def reserve_value(self, size_bytes: int) -> bool:
        """Returns whether there is memory to store a value of `size_bytes`; if so, reserves it."""
        return self.queue.reserve_value(self, size_bytes)

    def start_relay(self, relay: Relay) -> None:
        """Sets a long value as the response; it is relayed as it arrives once it is next in order.

        Fails if further commands have been read: a value that breaks off would leave them unanswered.
        """
        if self.is_followed() or not self.queue.reserve_bytes(self, READ_PIECE_BYTES):
            self.set_response(resp.FAILED_REPLY)
            relay.client_disconnected()
            return
        self.relay = relay
        self.request = None
        relay.notify_client = self.queue.owner.advance
        self.queue.owner.advance()
