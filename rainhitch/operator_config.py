"""The operator's own file, deploy/operator.toml: read strictly, each key documented once, all of it optional.

`RAINHITCH_OPERATOR` names the file; without it, deploy/operator.toml in the current folder is read if it
exists. Each subsystem has its table here; a field's name is its key. Where there is no file this module is
not even imported.
"""

import dataclasses
import os
from dataclasses import dataclass
from pathlib import Path

from rainhitch import toml_schema
from rainhitch.fleet.options import FleetOptions as FleetOptions
from rainhitch.interface import DEFAULT_MIGRATION_FRACTION, Address
from rainhitch.overload.controller import OverloadOptions

DEFAULT_OPERATOR_FILE = Path("deploy/operator.toml")  # in the current folder
PORT_LIMIT = 65_536


@dataclass(slots=True)
class ClientLimits:
    """[clients]: limits of clients' connections."""

    idle_s: float = toml_schema.number(
        2.0, 0.5, 3600, "a connection with no request open is left alone so long, however many there are"
    )
    at_need_s: float = toml_schema.number(
        0.025, 0.01, 3600, "the same when a newcomer finds little room; idle_s at most"
    )
    unfinished_s: float = toml_schema.number(2.6, 0.1, 60, "a command may be on its way for so long")
    user: str = toml_schema.text("default", "that clients name with the password")
    password_file: str = toml_schema.text("", "file that holds the password; empty: anybody may come")
    unread_s: float = toml_schema.number(10.0, 0.5, 600, "a client may leave answers unread for so long")


@dataclass(slots=True)
class ServerLimits:
    """[servers]: limits of connections to servers."""

    idle_s: float = toml_schema.number(
        10.0,
        0.1,
        3600,
        "an idle connection to a server is closed then, at 0.8 of its keepalive at most",
    )
    resp3: bool = toml_schema.flag(False, "cache servers are asked with HELLO whether they speak RESP3")


@dataclass(slots=True)
class Storms:
    """[storms]: overload control; the defaults stand in overload/controller.py."""

    damping: bool = toml_schema.flag(
        OverloadOptions.damping, "false: storms are seen and logged, nothing more"
    )
    retry_share: float = toml_schema.number(
        OverloadOptions.retry_share, 0, 5, "further attempts of the router's own for each first try"
    )
    retries_least: float = toml_schema.number(
        OverloadOptions.retries_least, 0, 10000, "of them a second, always allowed"
    )
    least_in_work: int = toml_schema.whole(
        OverloadOptions.least_in_work, 1, 20000, "requests that are always taken"
    )
    floor: float = toml_schema.number(
        OverloadOptions.floor, 0, 0.5, "part of the limit that first tries and retries each keep"
    )
    accepts_least: float = toml_schema.number(
        OverloadOptions.accepts_least, 1, 1e5, "connections a second, at least"
    )
    accepts_most: float = toml_schema.number(
        OverloadOptions.accepts_most, 1, 1e6, "connections a second, at most"
    )
    orders: int = toml_schema.whole(OverloadOptions.orders, 16, 1 << 20, "order keys remembered at once")

    def options(self) -> OverloadOptions:
        """The same as the overload control takes it."""
        return OverloadOptions(**dataclasses.asdict(self))


@dataclass(slots=True)
class Growth:
    """[growth]: the migration of keys when the endpoint list changes."""

    paced: bool = toml_schema.flag(True, "false: keys move as soon as the list changes")
    share: float = toml_schema.number(
        DEFAULT_MIGRATION_FRACTION, 0, 100, "of what the database is sent besides, for keys that move"
    )

    def migration_fraction(self) -> float:
        """The fraction of the origin's other reads that migration may add; below 0: keys move at once."""
        return self.share if self.paced else -1.0


@dataclass(slots=True)
class Routers:
    """[routers]: what routers exchange; the defaults stand in fleet/options.py."""

    counts: bool = toml_schema.flag(
        FleetOptions.counts, "customers' use is told to the other routers and added up"
    )
    bounded: bool = toml_schema.flag(
        FleetOptions.bounded, "one router's word on a cache server is bounded by a second one's"
    )
    members: bool = toml_schema.flag(FleetOptions.members, "routers find out which of them are there")
    database_rps: float = toml_schema.number(
        FleetOptions.database_rps, 0, 1e6, "reads a second that all together send the database; 0: no limit"
    )

    def options(self) -> FleetOptions:
        """The same as the exchange between routers takes it."""
        return FleetOptions(**dataclasses.asdict(self))


@dataclass(slots=True)
class Membership:
    """[membership]: the source of the endpoint list."""

    source: str = toml_schema.text("discovery", "who leads: the other is not asked", ("discovery", "etcd"))
    endpoints: list[str] = toml_schema.texts(["127.0.0.1:2379"], "etcd's, tried in turn: host:port")
    prefix: str = toml_schema.text("/rainhitch/members/", "of the keys; the uid follows")
    ca: str = toml_schema.text(
        "", "file of the authority that etcd's certificates are checked by; empty: no TLS"
    )
    certificate: str = toml_schema.text("", "file of the router's own certificate")
    key: str = toml_schema.text("", "file of its key")
    user: str = toml_schema.text("", "etcd's user")
    password_file: str = toml_schema.text("", "file that holds its password")
    timeout_s: float = toml_schema.number(2.0, 0.1, 60, "for an answer that need not wait")


@dataclass(slots=True)
class OperatorConfig:
    """The whole file, one field a table."""

    clients: ClientLimits = toml_schema.table(ClientLimits, "what clients' connections are held to")
    servers: ServerLimits = toml_schema.table(ServerLimits, "what connections to servers are held to")
    storms: Storms = toml_schema.table(Storms, "storms of retries and reconnects")
    growth: Growth = toml_schema.table(Growth, "keys that move when the list of servers changes")
    routers: Routers = toml_schema.table(Routers, "what routers tell one another, and share")
    membership: Membership = toml_schema.table(Membership, "where the list of servers comes from")


def operator_file_path() -> Path:
    """The file that `RAINHITCH_OPERATOR` names, or the default; whether it exists is not asked."""
    return Path(os.environ.get("RAINHITCH_OPERATOR") or DEFAULT_OPERATOR_FILE)


def parse_host_port(text: str) -> Address | None:
    """The address that `HOST:PORT` or `[HOST]:PORT` names; None where it names none."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal():
        return None
    if not 0 < int(port) < PORT_LIMIT:
        return None
    return host.strip("[]"), int(port)


def membership_problems(table: Membership) -> list[str]:
    """What does not fit together in the table, one line each."""
    problems = [
        f"membership.endpoints: {endpoint!r}: allowed is host:port"
        for endpoint in table.endpoints
        if parse_host_port(endpoint) is None
    ]
    if bool(table.certificate) != bool(table.key):
        problems.append("membership.certificate and membership.key: allowed are both or neither")
    elif table.certificate and not table.ca:
        problems.append(f"membership.certificate = {table.certificate!r}: needs membership.ca")
    if bool(table.user) != bool(table.password_file):
        problems.append("membership.user and membership.password_file: allowed are both or neither")
    if not table.prefix.endswith("/") or len(table.prefix) < 2:
        problems.append(f"membership.prefix = {table.prefix!r}: allowed is a text that ends with /")
    return problems


def read_operator_config(path: Path) -> OperatorConfig:
    """The operator's settings; raises TableError with one line for each bad key."""
    problems: list[str] = []
    config = toml_schema.read(OperatorConfig, toml_schema.load(path), str(path), problems)
    if config is not None:
        problems += [f"{path}: {line}" for line in membership_problems(config.membership)]
    if config is None or problems:
        raise toml_schema.TableError(problems)
    return config
