"""Connections to cache servers that may speak RESP3; imported only if the operator's file enables it.

A connection begins with HELLO 3, and nothing else is sent before the reply: if the reply is neither a
handshake nor an error, the server has not received any request. A server that replies with an error speaks
RESP2, and gets no further HELLO until its process has restarted.

Pushes may come at any time and are never a response. Between requests only pushes may come.
"""

import asyncio

from rainhitch.interface import NOTE_HIT, NOTE_NONE, AttemptStatus
from rainhitch.node.cache_connection import NOTES, CacheConnection, result_of_error
from rainhitch.node.exchange import AttemptResult
from rainhitch.node.upstream_connection import OwningPool
from rainhitch.node.upstream_socket import BUSY, REUSABLE, UNUSABLE, IdleState
from rainhitch.protocol import resp
from rainhitch.protocol.resp3_reader import Resp3Reader
from rainhitch.protocol.resp3_types import ErrorReply, Map, Push, text_of
from rainhitch.protocol.resp3_writer import encode

HELLO = resp.command(b"HELLO", b"3")


def result_of_response(response: object) -> AttemptResult | None:
    """Returns the result that a response means: it holds the value, a hit or miss note, and a load report.

    Note and load report are strings or fields of a map. None if the response fits none of the router's
    commands, or if its value has no form that a RESP2 client accepts as a value.
    """
    if isinstance(response, ErrorReply):
        return result_of_error(response.text)
    if not isinstance(response, list) or len(response) not in (2, 3):
        return None
    value = response[0]
    note = response[1]
    if len(response) == 2 and not isinstance(note, Map):
        return None
    if isinstance(note, Map):
        note = note.get(b"note")
    note_code = NOTE_NONE if note is None else NOTES.get(text_of(note) or b"")
    if note_code is None or (value is None and note_code == NOTE_HIT):
        return None
    if value is None:
        return AttemptResult(AttemptStatus.MISS, answer_note=note_code)
    if isinstance(value, bytes) or _is_resp2_value(encode(value, 2)):
        return AttemptResult(AttemptStatus.OK, value, note_code)
    return None


def _is_resp2_value(text: bytes) -> bool:
    """Returns whether a RESP2 client accepts this as a value: a string, or an array that begins with one."""
    if text[:1] == b"*":
        text = text.partition(b"\r\n")[2]
    return text[:1] == b"$" and text[1:2] != b"-"


class Resp3CacheConnection(CacheConnection):
    """A connection to a cache server in RESP3, or in RESP2 if the server does not speak RESP3."""

    def __init__(self, pool: OwningPool) -> None:
        super().__init__(pool)
        self.version = 2
        # Reads the reply to HELLO, in either version; it becomes `reader` if the server speaks RESP3.
        self.resp3_reader = Resp3Reader(relays_long_values=True)
        self.handshake_timer: asyncio.TimerHandle | None = None  # set while the reply to HELLO is pending

    def connected(self) -> None:
        """Sends HELLO 3 on the established connection, unless the server is known to speak RESP2."""
        if self.pool.known_protocol == 2:
            super().connected()
            return
        assert self.transport is not None
        loop = asyncio.get_running_loop()
        self.handshake_timer = loop.call_later(
            self.host.connect_timeout_s, self._fail_handshake, AttemptStatus.CONNECT_FAILED
        )
        self.transport.write(HELLO)

    def pause_writing(self) -> None:
        """Notes that the operating system has not accepted all bytes of an attempt; ignored during HELLO."""
        if self.handshake_timer is None:
            super().pause_writing()

    def resume_writing(self) -> None:
        """Notes that the operating system has accepted all bytes of an attempt; ignored during HELLO."""
        if self.handshake_timer is None:
            super().resume_writing()

    def data_received(self, data: bytes) -> None:
        """Handles received data: the reply to HELLO, a push, or a response."""
        if self.handshake_timer is not None:
            self._read_handshake(data)
        elif self.version == 3 and self.exchange is None:
            self.resp3_reader.feed(data)
            if not self._handle_pushes():
                self.close()
        else:
            super().data_received(data)

    def _read_handshake(self, data: bytes) -> None:
        self.resp3_reader.feed(data)
        try:
            while isinstance(response := self.resp3_reader.next(), Push):
                pass
        except resp.FramingError:
            self._fail_handshake(AttemptStatus.CONNECT_FAILED)
            return
        if response is resp.NEED_DATA:
            return
        error = result_of_error(response.text) if isinstance(response, ErrorReply) else None
        if isinstance(response, Map) and response.get(b"proto") == 3:
            self.version = 3
            self.reader = self.resp3_reader
        elif error is not None and error.status is AttemptStatus.FULL:
            self._fail_handshake(AttemptStatus.FULL)
            return
        elif isinstance(response, ErrorReply) and self.resp3_reader.idle():
            self.pool.known_protocol = 2
        else:
            self._fail_handshake(AttemptStatus.CONNECT_FAILED)
            return
        if self.handshake_timer is not None:
            self.handshake_timer.cancel()
        self.handshake_timer = None
        if self.version == 3 and not self._handle_pushes():
            self._fail_handshake(AttemptStatus.CONNECT_FAILED)
        else:
            super().connected()

    def _fail_handshake(self, status: AttemptStatus) -> None:
        """Closes a connection whose handshake failed; its attempt, never sent, ends with this status."""
        exchange = self.exchange
        self.exchange = None
        self.close()
        if exchange is not None:
            exchange.on_finished(AttemptResult(status))

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the end of the connection."""
        if self.handshake_timer is not None:
            self.handshake_timer.cancel()
        super().connection_lost(exc)

    def close(self) -> None:
        """Closes the connection at once, in both directions."""
        if self.handshake_timer is not None:
            self.handshake_timer.cancel()
        super().close()

    def next_response(self) -> object:
        """Returns the active attempt's response once it is complete, or NEED_DATA; handles earlier pushes."""
        while isinstance(response := super().next_response(), Push):
            self._handle_push(response)
        return response

    def result_of(self, response: object) -> AttemptResult | None:
        """Returns the result that a response means; None if it fits none of the router's commands."""
        return result_of_response(response) if self.version == 3 else super().result_of(response)

    def is_reusable(self) -> bool:
        """Returns whether the connection can be reused: only pushes may follow the response."""
        return self._handle_pushes() if self.version == 3 else super().is_reusable()

    def _handle_pushes(self) -> bool:
        """Handles pushes received between responses; returns whether no other data has come.

        The data may end in an incomplete push. Anything else, such as a duplicate response, could be taken
        for the response to the next request.
        """
        if not self.resp3_reader.buffer:
            return self.resp3_reader.idle()
        try:
            while isinstance(message := self.resp3_reader.next(), Push):
                self._handle_push(message)
        except resp.FramingError:
            return False
        return message is resp.NEED_DATA and (self.resp3_reader.idle() or self.resp3_reader.in_push())

    def _handle_push(self, push: Push) -> None:
        keys = push.items[1] if len(push.items) == 2 else 0
        if text_of(push.items[0]) != b"invalidate" or not (keys is None or isinstance(keys, list)):
            self.host.unknown_pushes += 1
            return
        names = None if keys is None else [text for key in keys if (text := text_of(key)) is not None]
        self.host.key_invalidations.add(self.pool.name, names)

    def idle_state(self) -> IdleState:
        """Returns whether this idle connection can carry an attempt."""
        if self.version == 2:
            return super().idle_state()
        if self.transport is None or self.transport.is_closing():
            return UNUSABLE
        # Unread data may be a push: the event loop reads it soon, and closes the connection on anything else.
        is_busy = self.host.system.readable(self.transport) or not self.resp3_reader.idle()
        return BUSY if is_busy else REUSABLE
