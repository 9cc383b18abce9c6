"""The line protocol of the second address, without its sockets.

One call a connection: a line with a word and, for some, an id. The answer is a line that begins with OK or
ERR; `counters` answers the figures, a line each, and END.
"""

from typing import Protocol

MOST_LINE = 512  # bytes of a call
WITH_ID = ("cordon", "uncordon")
ALONE = ("health", "counters", "quiesce", "resume", "routers")


class CommandRejectedError(Exception):
    """What was asked for is not done; the text says why."""


class AdminCommands(Protocol):
    """What the calls act on. Each raises RefusedError where it can't be done."""

    def health(self) -> str:
        """Says in a word or two how the router is; RefusedError while it is not ready to serve."""

    def metrics(self) -> list[str]:
        """The figures as they stand, a line each."""

    def cordon(self, server: str) -> str:
        """Leaves a cache server out from now on."""

    def uncordon(self, server: str) -> str:
        """Uses a cache server again."""

    def quiesce(self) -> str:
        """Sends the clients away."""

    def resume(self) -> str:
        """Takes clients again."""

    def routers(self) -> str:
        """What this router believes of the others and shares with them: one JSON object."""


def answer(line: bytes, hands: AdminCommands) -> bytes:
    """The whole answer to a call, with its line ends; nothing in it can break the form."""
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        return b"ERR not plain text\n"
    name, rest = (words[0], words[1:]) if words else ("", [])
    if name not in WITH_ID and name not in ALONE:
        return b"ERR no such call; there are " + ", ".join(ALONE + WITH_ID).encode() + b"\n"
    if len(rest) != (name in WITH_ID):
        return f"ERR {name} takes {'one id' if name in WITH_ID else 'nothing'}\n".encode()
    try:
        if name == "counters":
            return "".join(f"{figure}\n" for figure in [*hands.metrics(), "END"]).encode()
        said: str = getattr(hands, name)(*rest)
    except CommandRejectedError as why:
        return f"ERR {why}\n".encode()
    return f"OK {said}".strip().encode() + b"\n"
