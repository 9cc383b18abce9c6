"""The line protocol of the operators' endpoint, without its sockets.

A connection carries one command: a line of its name and, for some, a server's id. The reply is one line that
begins with OK or ERR. That to `counters` is the metrics, one a line, and END.
"""

from collections.abc import Callable
from typing import Protocol

from rainhitch.admin.errors import CommandRejectedError

MAX_LINE_BYTES = 512  # of a command


class AdminCommands(Protocol):
    """What the commands act on: each returns its reply, or raises CommandRejectedError."""

    def health(self) -> str:
        """Says how the router is; CommandRejectedError while it is not ready to serve."""

    def metrics(self) -> list[str]:
        """The metrics as they stand, one a line."""

    def cordon(self, server: str) -> str:
        """Sends a cache server no more requests."""

    def uncordon(self, server: str) -> str:
        """Uses a cache server again."""

    def quiesce(self) -> str:
        """Drains the clients' connections."""

    def resume(self) -> str:
        """Keeps clients' connections again."""

    def routers(self) -> str:
        """What this router knows of the others, and shares with them: one JSON object."""


def _metrics_reply(commands: AdminCommands) -> bytes:
    return "".join(f"{line}\n" for line in [*commands.metrics(), "END"]).encode()


def _ok(text: str) -> bytes:
    return f"OK {text}".strip().encode() + b"\n"


def _error(text: str) -> bytes:
    return f"ERR {text}\n".encode()


# The commands by name; what each reply is made by. The order is that of the reply to an unknown command.
PLAIN_COMMANDS: dict[str, Callable[[AdminCommands], bytes]] = {
    "health": lambda commands: _ok(commands.health()),
    "counters": _metrics_reply,
    "quiesce": lambda commands: _ok(commands.quiesce()),
    "resume": lambda commands: _ok(commands.resume()),
    "routers": lambda commands: _ok(commands.routers()),
}
SERVER_COMMANDS: dict[str, Callable[[AdminCommands, str], bytes]] = {
    "cordon": lambda commands, server: _ok(commands.cordon(server)),
    "uncordon": lambda commands, server: _ok(commands.uncordon(server)),
}
READ_ONLY_COMMANDS = frozenset(("health", "counters", "routers"))  # that change nothing


def answer(line: bytes, commands: AdminCommands) -> bytes:
    """The whole reply to a command, with its line ends; nothing in the command can break the reply's form."""
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        return _error("not plain text")
    name = words[0] if words else ""
    arguments = words[1:]
    try:
        if name in PLAIN_COMMANDS:
            if arguments:
                return _error(f"{name} takes nothing")
            return PLAIN_COMMANDS[name](commands)
        if name in SERVER_COMMANDS:
            if len(arguments) != 1:
                return _error(f"{name} takes one id")
            return SERVER_COMMANDS[name](commands, arguments[0])
    except CommandRejectedError as reason:
        return _error(str(reason))
    return _error("no such call; there are " + ", ".join([*PLAIN_COMMANDS, *SERVER_COMMANDS]))


def changes_nothing(line: bytes) -> bool:
    """Whether a line is a command that only reads."""
    words = line.split()
    return bool(words) and words[0].decode("latin-1") in READ_ONLY_COMMANDS
