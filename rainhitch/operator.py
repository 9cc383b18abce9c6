"""The operator's own file, deploy/operator.toml: strict, each key documented once, all of it optional.

`RAINHITCH_OPERATOR` names the file; without it, deploy/operator.toml in the current folder is taken if it
exists. A subsystem adds its table here. Where there is no file this module is not even imported.
"""

import dataclasses
from dataclasses import dataclass
from pathlib import Path

from rainhitch import tables
from rainhitch.fleet.options import Options as FleetOptions
from rainhitch.interface import MOVE_SHARE
from rainhitch.membership.choice import check
from rainhitch.storms.damper import Options


@dataclass(slots=True)
class ClientLimits:
    """[clients]"""

    idle_s: float = tables.number(
        2.0, 0.5, 3600, "a connection with no request open is left alone so long, however many there are"
    )
    at_need_s: float = tables.number(
        0.025, 0.01, 3600, "the same when a newcomer finds little room; idle_s at most"
    )
    unfinished_s: float = tables.number(2.6, 0.1, 60, "a command may be on its way for so long")
    user: str = tables.text("default", "that clients name with the password")
    password_file: str = tables.text("", "file that holds the password; empty: anybody may come")
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
    resp3: bool = tables.flag(False, "cache servers are asked with HELLO whether they speak RESP3")


@dataclass(slots=True)
class Storms:
    """[storms]; the defaults stand in storms/damper.py."""

    damping: bool = tables.flag(Options.damping, "false: storms are seen and logged, nothing more")
    retry_share: float = tables.number(
        Options.retry_share, 0, 5, "further attempts of the router's own for each first try"
    )
    retries_least: float = tables.number(Options.retries_least, 0, 10000, "of them a second, always allowed")
    least_in_work: int = tables.whole(Options.least_in_work, 1, 20000, "requests that are always taken")
    floor: float = tables.number(
        Options.floor, 0, 0.5, "part of the limit that first tries and retries each keep"
    )
    accepts_least: float = tables.number(Options.accepts_least, 1, 1e5, "connections a second, at least")
    accepts_most: float = tables.number(Options.accepts_most, 1, 1e6, "connections a second, at most")
    orders: int = tables.whole(Options.orders, 16, 1 << 20, "order keys remembered at once")

    def options(self) -> Options:
        return Options(**dataclasses.asdict(self))


@dataclass(slots=True)
class Growth:
    """[growth]"""

    paced: bool = tables.flag(True, "false: keys move as soon as the list changes")
    share: float = tables.number(
        MOVE_SHARE, 0, 100, "of what the database is sent besides, for keys that move"
    )

    def move_share(self) -> float:
        return self.share if self.paced else -1.0


@dataclass(slots=True)
class Routers:
    """[routers]; the defaults stand in fleet/options.py."""

    counts: bool = tables.flag(
        FleetOptions.counts, "customers' use is told to the other routers and added up"
    )
    bounded: bool = tables.flag(
        FleetOptions.bounded, "one router's word on a cache server is bounded by a second one's"
    )
    members: bool = tables.flag(FleetOptions.members, "routers find out which of them are there")
    database_rps: float = tables.number(
        FleetOptions.database_rps, 0, 1e6, "reads a second that all together send the database; 0: no limit"
    )

    def options(self) -> FleetOptions:
        return FleetOptions(**dataclasses.asdict(self))


@dataclass(slots=True)
class Membership:
    """[membership]"""

    source: str = tables.text("discovery", "who leads: the other is not asked", ("discovery", "etcd"))
    endpoints: list[str] = tables.texts(["127.0.0.1:2379"], "etcd's, tried in turn: host:port")
    prefix: str = tables.text("/rainhitch/members/", "of the keys; the uid follows")
    ca: str = tables.text("", "file of the authority that etcd's certificates are checked by; empty: no TLS")
    certificate: str = tables.text("", "file of the router's own certificate")
    key: str = tables.text("", "file of its key")
    user: str = tables.text("", "etcd's user")
    password_file: str = tables.text("", "file that holds its password")
    timeout_s: float = tables.number(2.0, 0.1, 60, "for an answer that need not wait")


@dataclass(slots=True)
class Operator:
    """All of the file."""

    clients: ClientLimits = tables.table(ClientLimits, "what clients' connections are held to")
    servers: ServerLimits = tables.table(ServerLimits, "what connections to servers are held to")
    storms: Storms = tables.table(Storms, "storms of retries and reconnects")
    growth: Growth = tables.table(Growth, "keys that move when the list of servers changes")
    routers: Routers = tables.table(Routers, "what routers tell one another, and share")
    membership: Membership = tables.table(Membership, "where the list of servers comes from")


def read_operator(path: Path) -> Operator:
    """The operator's settings; raises TableError with one line for each bad key."""
    problems: list[str] = []
    told = tables.read(Operator, tables.load(path), str(path), problems)
    if told is not None:
        problems += [f"{path}: {line}" for line in check(told.membership)]
    if told is None or problems:
        raise tables.TableError(problems)
    return told
