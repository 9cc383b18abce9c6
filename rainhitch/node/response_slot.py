"""The place of one answer on its client's connection: answers go out in the order of their commands."""

from typing import TYPE_CHECKING

from rainhitch.node.connection_pool import PIECE
from rainhitch.node.relay import Relay
from rainhitch.node.request_driver import InFlightRequest
from rainhitch.protocol import resp

if TYPE_CHECKING:
    from rainhitch.node.client_connection import ClientConnection


class ResponseSlot:
    """The place of one answer on its connection."""

    __slots__ = ("answer", "client", "held", "relay", "version")

    def __init__(self, client: "ClientConnection") -> None:
        self.client = client
        self.answer: bytes | None = None
        self.held: InFlightRequest | None = None
        self.relay: Relay | None = None  # a long answer, while it is passed on
        self.version = client.session.version  # the protocol that was in force when its command was taken

    def fill(self, answer: bytes) -> None:
        if self.answer is None:
            self.answer = self.client.keep(self, answer)
            self.held = None  # each holds the other: guards memory against waiting for the collector
            self.client.advance()

    def gone(self) -> bool:
        return self.client.gone()

    def form(self, value: object) -> bytes:
        from rainhitch.protocol.resp3 import encode

        return encode(value, self.version)

    def stream(self, relay: Relay) -> None:
        """The answer is a long value, which is passed on as it comes once its turn is there."""
        if not self.client.has_room(self, PIECE):
            self.fill(resp.FAILED)
            relay.leave()
            return
        self.relay, self.held = relay, None
        relay.wake = self.client.advance
        self.client.advance()
