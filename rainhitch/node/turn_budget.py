"""Limits the commands that all client connections together handle in one turn of the event loop.

Theory of operation. A request takes two turns at least: its command is read in one, the server's response in
a later one. A turn in which hundreds of connections handle a burst each takes as long as all these commands,
and every other client waits for it twice. So once a turn has handled its share, each further connection
handles one command in it and leaves the rest to the next turn: a client that sends one request at a time is
hardly delayed by those that send many.
"""

import asyncio

MAX_COMMANDS_PER_TURN = 16  # commands of one connection handled before other callbacks run
TURN_SHARE_COMMANDS = 128  # handled in one turn before each connection is limited to one


class TurnBudget:
    """The commands handled in the current turn of one event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.handled_count = 0  # commands handled in this turn

    def max_commands(self) -> int:
        """Returns how many commands a connection may handle now."""
        return MAX_COMMANDS_PER_TURN if self.handled_count < TURN_SHARE_COMMANDS else 1

    def add(self, count: int) -> None:
        """Records that a connection has handled `count` commands."""
        if count and not self.handled_count:
            self.loop.call_soon(self._next_turn)
        self.handled_count += count

    def _next_turn(self) -> None:
        self.handled_count = 0
