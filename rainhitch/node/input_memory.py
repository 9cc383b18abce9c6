"""Frees memory of received data while clients exceed their limit of buffered bytes.

Each command that was received completely gets its response: it is handled or rejected. Only an incomplete
command may be dropped, and its connection is then ended with an error.
"""

from rainhitch.node.client_activity import ClientActivity
from rainhitch.node.client_connection import CONNECTION_OPEN, ClientConnection
from rainhitch.node.close_reason import CloseReason
from rainhitch.node.response_queue import BufferLimits

SMALL_INPUT_BYTES = 1024  # unhandled input up to this size is kept even if buffer memory is exhausted
MAX_REJECTED_PER_TURN = 8192  # more requests than one read holds, though not more of the smallest commands


class InputMemory:
    """Chooses whose received data is dropped; `limits` counts the bytes buffered for all clients."""

    def __init__(self, limits: BufferLimits, activity: ClientActivity) -> None:
        self.limits = limits
        self.activity = activity
        self.is_freeing = False

    def free(self, last_read: ClientConnection) -> None:
        """Frees memory until the limit is kept, as far as possible.

        First ends clients that have stopped within a large command, longest waiting first: nothing else frees
        their memory before their time limit. If that is not enough, sheds the input of `last_read`.
        """
        if self.is_freeing:
            return  # ending a client updates its buffered bytes, which leads here again
        self.is_freeing = True
        try:
            self._end_stopped_clients()
            if self._is_exceeded() and _has_large_input(last_read):
                _shed_input(last_read)
        finally:
            self.is_freeing = False

    def _end_stopped_clients(self) -> None:
        for client in list(self.activity.awaiting_command):
            if not self._is_exceeded():
                return
            # The rest of a command may be in the socket already, and further commands behind it.
            if _has_large_input(client) and not client.has_unread_bytes():
                _shed_input(client)

    def _is_exceeded(self) -> bool:
        return self.limits.buffered_bytes > self.limits.max_buffered_bytes


def _has_large_input(client: ClientConnection) -> bool:
    return client.state is CONNECTION_OPEN and len(client.reader.buffer) > SMALL_INPUT_BYTES


def _shed_input(client: ClientConnection) -> None:
    """Frees the memory of a client's unhandled input.

    Rejects the complete commands; what exceeds MAX_REJECTED_PER_TURN stays for the next turn. Ends the
    connection if an incomplete command remains that is large.
    """
    rejected = client.commands.reject_buffered_commands(client.reader, MAX_REJECTED_PER_TURN)
    if rejected < MAX_REJECTED_PER_TURN and _has_large_input(client):
        client.end_with_error("out of memory", CloseReason.OUT_OF_MEMORY)
    client.advance()
