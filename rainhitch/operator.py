"""The operator's own file, deploy/operator.toml: strict, each key documented once, all of it optional.

`RAINHITCH_OPERATOR` names the file; without it, deploy/operator.toml in the current folder is taken if it
exists. A subsystem adds its table here. Where there is no file this module is not even imported.
"""

from dataclasses import dataclass
from pathlib import Path

from rainhitch import tables


@dataclass(slots=True)
class ClientLimits:
    """[clients]"""

    idle_s: float = tables.number(
        2.0, 0.5, 3600, "a connection with no request open is left alone so long, however many there are"
    )
    unfinished_s: float = tables.number(2.6, 0.1, 60, "a command may be on its way for so long")
    unread_s: float = tables.number(10.0, 0.5, 600, "a client may leave answers unread for so long")


@dataclass(slots=True)
class ServerLimits:
    """[servers]"""

    idle_s: float = tables.number(
        10.0,
        0.1,
        3600,
        "an idle connection to a server is closed then, at 0.8 of its keepalive at most",
    )


@dataclass(slots=True)
class Operator:
    """All of the file."""

    clients: ClientLimits = tables.table(ClientLimits, "what clients' connections are held to")
    servers: ServerLimits = tables.table(ServerLimits, "what connections to servers are held to")


def read_operator(path: Path) -> Operator:
    """The operator's settings; raises TableError with one line for each bad key."""
    problems: list[str] = []
    told = tables.read(Operator, tables.load(path), str(path), problems)
    if told is None:
        raise tables.TableError(problems)
    return told
