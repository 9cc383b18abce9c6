"""What each client's connection waits for, and since when: a command, nothing, or its end."""

import asyncio
from collections.abc import Iterator

from rainhitch.node.client_connection import CONNECTION_OPEN, HALF_CLOSED, ClientConnection
from rainhitch.node.read_flow import MAX_PIPELINED_COMMANDS


class ClientActivity:
    """Three groups of connections, in each the longest waiting first; values are loop times in seconds."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.awaited: dict[ClientConnection, float] = {}  # a command is incomplete, or the first has not come
        self.idle: dict[ClientConnection, float] = {}  # all is answered, and nothing has come since
        self.lingering: dict[ClientConnection, float] = {}  # half closed

    def connected(self, client: ClientConnection) -> None:
        """A connection is open, and its first command is awaited."""
        self.awaited[client] = self.loop.time()

    def command_received(self, client: ClientConnection) -> None:
        """A whole command has come: what the connection waits for next counts from then."""
        self.awaited.pop(client, None)
        self.idle.pop(client, None)

    def classify(self, client: ClientConnection) -> None:
        """Notes what a connection waits for."""
        responses = client.responses
        is_blocked = responses.write_buffer_full or client.flow.turn_over
        takes_commands = client.state is CONNECTION_OPEN and not is_blocked
        in_work = len(responses.slots)
        expects_command = bool(client.reader.buffer) or not client.command_count
        if takes_commands and expects_command and in_work < MAX_PIPELINED_COMMANDS:
            self.idle.pop(client, None)
            self.awaited.setdefault(client, self.loop.time())
        elif takes_commands and not in_work:
            self.awaited.pop(client, None)
            self.idle.setdefault(client, self.loop.time())
        else:
            self.awaited.pop(client, None)
            self.idle.pop(client, None)
            if client.state is HALF_CLOSED:
                self.lingering[client] = self.loop.time()

    def unused(self, group: dict[ClientConnection, float], for_s: float) -> Iterator[ClientConnection]:
        """Who is in a group for so many seconds and has nothing in work or unread; the longest first."""
        before_s = self.loop.time() - for_s
        for client, since_s in group.items():
            if since_s > before_s:
                break
            if not client.responses.slots and not client.reader.buffer and not client.has_unread_bytes():
                yield client

    def incomplete(self, for_s: float) -> list[ClientConnection]:
        """Whose command is awaited for longer than so many seconds."""
        now_s = self.loop.time()
        return [client for client, since_s in self.awaited.items() if since_s < now_s - for_s]

    def forget(self, client: ClientConnection) -> None:
        """The connection is closed."""
        for group in (self.awaited, self.idle, self.lingering):
            group.pop(client, None)
