"""Handles each command of a client: passes it to the router as a request, or answers it at once."""

import logging
from itertools import islice
from typing import Protocol

from rainhitch.node.client_events import ClientEvent, ClientEvents
from rainhitch.node.client_request import ClientRequestError, parse_client_request
from rainhitch.node.request_driver import RequestDriver
from rainhitch.node.response_queue import ResponseQueue
from rainhitch.node.response_slot import ResponseSlot
from rainhitch.node.session import HANDSHAKE_COMMANDS, Session
from rainhitch.protocol import resp
from rainhitch.protocol.resp2_reader import Resp2Reader
from rainhitch.settings import Names

REQUEST_COMMANDS = (b"C.GET", b"C.SET")
log = logging.getLogger("rainhitch")


class CommandHost(Protocol):
    """The parts of the router that command handling uses."""

    driver: RequestDriver
    names: Names
    events: ClientEvents

    def count_rejected_command(self, parts: list[bytes]) -> None:
        """Counts a command answered -BUSY without a routing decision: no room, or connection closing."""


class ClientCommands:
    """Handles the commands of one connection; each command appends a slot to the response queue."""

    __slots__ = ("host", "only_handshake", "responses", "session")

    def __init__(self, host: CommandHost, session: Session, responses: ResponseQueue) -> None:
        self.host = host
        self.session = session
        self.responses = responses
        self.only_handshake = True  # no command received yet except those in HANDSHAKE_COMMANDS

    def handle(self, parts: list[bytes], unread_ms: int) -> bool:
        """Handles a command that may have been unread for `unread_ms`; returns whether it is the last one."""
        name = parts[0].upper() if parts else b""
        self.only_handshake = self.only_handshake and name in HANDSHAKE_COMMANDS
        if name in REQUEST_COMMANDS and self.session.authenticated:
            self._request(parts, unread_ms)
            return False
        if name == b"QUIT":
            self.append_response(b"+OK\r\n")
            return True
        response = self.session.handle(parts)
        if response is not None:
            self.append_response(response)
        else:
            self.host.events.count(ClientEvent.BAD_COMMAND)
            self.append_response(resp.error_reply("unknown command"))
        return False

    def append_response(self, response: bytes) -> None:
        """Appends a response that is ready."""
        self.responses.append(response, self.session.version)

    def reject_buffered_commands(self, reader: Resp2Reader, max_commands: int | None = None) -> int:
        """Appends -BUSY responses to the complete commands that were received but not handled.

        The client expects a response to each of them. None has been started, so the client can safely retry.
        Input behind them stays in the reader: an incomplete command, or what is no command. Rejects at most
        `max_commands`, all if it is None; returns how many.
        """
        rejected = 0
        for parts in islice(reader.iter_commands(), max_commands):
            rejected += 1
            self.host.count_rejected_command(parts)
            self.host.events.count(ClientEvent.REJECTED_COMMAND)
        if rejected:
            self.append_response(resp.busy_reply(0) * rejected)
        return rejected

    def _request(self, parts: list[bytes], unread_ms: int) -> None:
        try:
            client_request = parse_client_request(parts, self.host.names)
        except ClientRequestError as problem:
            self.host.events.count(ClientEvent.BAD_COMMAND)
            self.append_response(resp.error_reply(str(problem)))
            return
        client_request.wait_ms = max(1, client_request.wait_ms - unread_ms)
        client_request.unread_ms = unread_ms
        client_request.connection_id = self.session.id
        slot = ResponseSlot(self.responses, self.session.version)
        self.responses.slots.append(slot)
        try:
            request = self.host.driver.accept(client_request, slot)
        except Exception:
            # Confines the failure to this command, so that the connection's other commands are still served.
            log.exception("request could not be accepted id=%s", client_request.id.decode())
            slot.set_response(resp.FAILED_REPLY)
            return
        is_answered = slot.response is not None or slot.relay is not None
        slot.request = None if is_answered else request
