"""One end of a TCP connection as a kernel keeps it: what is in flight, what waits unread, FIN and RST.

What is sent goes on its way as far as the other end's receive window is open, arrives there in order, and
waits in the receive buffer until it is read, which opens the window again. A closed end sends FIN behind
all that it has sent, or RST where it leaves something unread or lingers for 0 s, and answers whatever comes
later with RST. What came before an RST can still be read, as on Linux; who does not read learns of it with
the next write.

`transport.py` has the event loop's half of the same end.
"""

import errno
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from rainhitch.rehearsal.virtual.conditions import ONE_WAY_NS, Address, NetworkConditions
from rainhitch.rehearsal.virtual.loop import VirtualLoop

if TYPE_CHECKING:
    from rainhitch.rehearsal.virtual.transport import VirtualTransport


class VirtualSocket:
    """One end of a connection. `peer` is the other end; the socket itself until the connection is up."""

    family = socket.AF_INET
    type = socket.SOCK_STREAM
    proto = socket.IPPROTO_TCP

    def __init__(
        self, loop: VirtualLoop, conditions: NetworkConditions, address: Address, peer_address: Address
    ) -> None:
        self.loop = loop
        self.conditions = conditions
        self.address = address
        self.peer_address = peer_address
        self.peer: VirtualSocket = self
        self.transport: VirtualTransport | None = None  # none while it waits in an accept queue
        self.one_way_ns = ONE_WAY_NS
        self.closed = False
        self.reset_on_close = False
        # sending
        self.in_flight_bytes = 0  # sent, and not yet read at the other end
        self.fin_sent = False
        self.last_arrival_ns = 0  # of all that was sent: segments stay in order
        # receiving
        self.receive_window_bytes = conditions.receive_window_bytes
        self.receive_buffer = bytearray()
        self.fin_received = False
        self.eof_read = False  # the reader has been given the end of the stream
        self.reset_error: ConnectionResetError | None = None  # of an RST behind what waits unread
        self.last_received_ns = 0

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        """Heeds SO_LINGER, which everyone here sets to 0 s: a close resets. Ignores all else."""
        if (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER):
            self.reset_on_close = True

    # sending

    def send(self, data: bytearray) -> int:
        """Sends one segment from the front of `data`; gives its size, 0 while the peer's window is closed."""
        window_bytes = self.peer.receive_window_bytes - self.in_flight_bytes
        if window_bytes <= 0:
            return 0
        size_bytes = self.conditions.draw_segment_bytes(min(window_bytes, len(data)))
        self.in_flight_bytes += size_bytes
        self._transmit(self.peer._receive_data, bytes(data[:size_bytes]))
        return size_bytes

    def send_fin(self) -> None:
        """Sends the end of the stream, once."""
        if not self.fin_sent:
            self.fin_sent = True
            self._transmit(self.peer._receive_fin)

    def _transmit(self, receive: Callable[..., None], *payload: bytes) -> None:
        """Has the peer receive a segment, behind all that was sent before it."""
        size_bytes = sum(map(len, payload))
        earliest_ns = self.loop.clock_ns + self.one_way_ns
        arrival_ns = max(self.last_arrival_ns, earliest_ns) + self.conditions.transmission_ns(size_bytes)
        self.last_arrival_ns = arrival_ns
        self.loop.call_at_ns(arrival_ns, receive, *payload)

    # receiving

    def _receive_data(self, data: bytes) -> None:
        if self.closed:
            self._transmit(self.peer._receive_reset)
            return
        self.last_received_ns = self.loop.clock_ns
        self.receive_buffer += data
        if self.transport is not None:
            self.transport.schedule_read()

    def _receive_fin(self) -> None:
        if self.closed:
            return
        self.last_received_ns = self.loop.clock_ns
        self.fin_received = True
        if self.transport is not None:
            self.transport.schedule_read()

    def _receive_reset(self) -> None:
        if self.closed:
            return
        self.reset_error = ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")
        if self.transport is not None:
            self.transport.reset_received(self.reset_error)

    def read(self, max_bytes: int) -> bytes:
        """Takes data from the receive buffer; a peer that waits for the window learns that it is open."""
        data = self.take_unread(max_bytes)
        self.peer.in_flight_bytes -= len(data)
        sender = self.peer.transport
        if sender is not None and sender.write_buffer.data:
            self.loop.call_at_ns(self.loop.clock_ns + self.one_way_ns, sender.window_opened)
        return data

    def take_unread(self, max_bytes: int) -> bytes:
        """As `read`, for a connection that is closed next: the window stays as it is."""
        data = bytes(self.receive_buffer[:max_bytes])
        del self.receive_buffer[: len(data)]
        return data

    def has_unread(self) -> bool:
        """Whether data, the end of the stream or an error waits for the reader."""
        end_waits = (self.fin_received or self.reset_error is not None) and not self.eof_read
        return bool(self.receive_buffer) or end_waits

    def is_readable(self) -> bool:
        """What poll(2) says to POLLIN: data, the end of the stream or an error waits, or it is closed."""
        eof_waits = self.fin_received and not self.eof_read
        return bool(self.receive_buffer) or eof_waits or self.reset_error is not None or self.closed

    def is_hung_up(self) -> bool:
        """What poll(2) says to POLLRDHUP: the peer has ended or reset it, also behind what is unread."""
        return self.fin_received or self.reset_error is not None or self.closed

    # the end

    def close(self) -> None:
        """The reader's side is done: FIN, or RST where something is left unread."""
        self.closed = True
        if self.receive_buffer or self.reset_on_close:
            self.receive_buffer.clear()
            self._transmit(self.peer._receive_reset)
        else:
            self.send_fin()

    def discard(self) -> None:
        """The connection is lost to an RST: nothing is sent, and nothing more can be read."""
        self.closed = True
        self.receive_buffer.clear()

    def destroy(self) -> None:
        """The process that holds it is gone, or has given up its connect: the peer, if any, is reset."""
        if self.closed:
            return
        self.closed = True
        if self.peer is not self:
            self._transmit(self.peer._receive_reset)
        if self.transport is not None:
            self.transport.process_died()
