"""Tracks what each client connection waits for and since when: a command, the next request, or its close."""

import asyncio
from collections.abc import Iterator

from rainhitch.node.client_connection import CONNECTION_OPEN, HALF_CLOSED, ClientConnection
from rainhitch.node.read_flow import MAX_PIPELINED_COMMANDS


class ClientActivity:
    """Groups of connections, longest waiting first; values are loop times in seconds."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.awaiting_command: dict[ClientConnection, float] = {}  # first command or rest of one is due
        self.idle: dict[ClientConnection, float] = {}  # all commands answered and nothing received since
        self.lingering: dict[ClientConnection, float] = {}  # half closed, waiting for the client to close
        # Not read because the last command is answered by a relay; independent of the other groups.
        self.relaying: dict[ClientConnection, float] = {}

    def connected(self, client: ClientConnection) -> None:
        """Records a new connection, which waits for its first command."""
        self.awaiting_command[client] = self.loop.time()

    def command_received(self, client: ClientConnection) -> None:
        """Records that a complete command was received: the next waiting period starts then."""
        self.awaiting_command.pop(client, None)
        self.idle.pop(client, None)

    def classify(self, client: ClientConnection) -> None:
        """Puts a connection into the group that matches its current state, or into none."""
        responses = client.responses
        if responses.ends_with_relay():
            self.relaying.setdefault(client, self.loop.time())
        else:
            self.relaying.pop(client, None)
        is_blocked = responses.write_buffer_full or client.flow.has_yielded
        takes_commands = client.state is CONNECTION_OPEN and not is_blocked
        in_progress = len(responses.slots)
        expects_command = bool(client.reader.buffer) or not client.command_count
        if takes_commands and expects_command and in_progress < MAX_PIPELINED_COMMANDS:
            self.idle.pop(client, None)
            self.awaiting_command.setdefault(client, self.loop.time())
        elif takes_commands and not in_progress:
            self.awaiting_command.pop(client, None)
            self.idle.setdefault(client, self.loop.time())
        else:
            self.awaiting_command.pop(client, None)
            self.idle.pop(client, None)
            if client.state is HALF_CLOSED:
                self.lingering[client] = self.loop.time()

    def iter_unused(self, group: dict[ClientConnection, float], for_s: float) -> Iterator[ClientConnection]:
        """Yields connections that have been in a group for `for_s` seconds and are unused, longest first.

        Unused means: no command in progress and no buffered or unread bytes.
        """
        before_s = self.loop.time() - for_s
        for client, since_s in group.items():
            if since_s > before_s:
                break
            if not client.responses.slots and not client.reader.buffer and not client.has_unread_bytes():
                yield client

    def longest_lingering(self) -> ClientConnection | None:
        """Returns the connection that has lingered longest of those whose responses are all sent, or None."""
        return next((client for client in self.lingering if not client.has_unsent_bytes()), None)

    def overdue(self, for_s: float) -> list[ClientConnection]:
        """Returns the connections that have waited for a complete command for more than `for_s` seconds."""
        now_s = self.loop.time()
        return [client for client, since_s in self.awaiting_command.items() if since_s < now_s - for_s]

    def remove(self, client: ClientConnection) -> None:
        """Removes a closed connection from all groups."""
        for group in (self.awaiting_command, self.idle, self.lingering, self.relaying):
            group.pop(client, None)
