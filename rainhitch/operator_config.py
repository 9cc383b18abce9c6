"""Strict reading of the operator's file, `deploy/operator.toml`, in which every key is optional.

`RAINHITCH_OPERATOR` names the file; without it, `deploy/operator.toml` in the current directory is read if it
exists. Each subsystem has a table here, and the name of a field is its key in the file. A router without such
a file does not import this module.
"""

import dataclasses
import os
from dataclasses import dataclass
from pathlib import Path

from rainhitch import toml_schema
from rainhitch.fleet.options import FleetOptions as FleetOptions
from rainhitch.interface import DEFAULT_MIGRATION_FRACTION, Address
from rainhitch.overload.controller import OverloadOptions

DEFAULT_OPERATOR_FILE = Path("deploy/operator.toml")  # path relative to the current directory
PORT_LIMIT = 65_536  # exclusive upper bound of a port


@dataclass(slots=True)
class ClientLimits:
    """[clients]: limits of clients' connections."""

    idle_s: float = toml_schema.number(
        2.0, 0.5, 3600, "minimum time that an idle connection stays open, except where at_need_s applies"
    )
    at_need_s: float = toml_schema.number(
        0.025, 0.01, 3600, "replaces idle_s for a new client if over half the limit is open; at most idle_s"
    )
    unfinished_s: float = toml_schema.number(2.6, 0.1, 60, "time within which a command must be complete")
    user: str = toml_schema.text("default", "name that clients send with the password")
    password_file: str = toml_schema.text("", "file that holds the password; empty: no password is needed")
    unread_s: float = toml_schema.number(10.0, 0.5, 600, "time for which a client may leave answers unread")


@dataclass(slots=True)
class ServerLimits:
    """[servers]: limits of connections to servers."""

    idle_s: float = toml_schema.number(
        10.0,
        0.1,
        3600,
        "time limit of an idle connection; at most 0.8 of the server's keepalive, and 150 ms less than it",
    )
    resp3: bool = toml_schema.flag(False, "true: cache servers are asked with HELLO for RESP3")


@dataclass(slots=True)
class Storms:
    """[storms]: overload control; the defaults are in overload/controller.py."""

    damping: bool = toml_schema.flag(
        OverloadOptions.damping, "false: retry storms are detected and logged only"
    )
    retry_share: float = toml_schema.number(
        OverloadOptions.retry_share, 0, 5, "the router's own retries for each first attempt"
    )
    retries_least: float = toml_schema.number(
        OverloadOptions.retries_least, 0, 10000, "retries per second that are always allowed"
    )
    least_in_work: int = toml_schema.whole(
        OverloadOptions.least_in_work, 1, 20000, "lower bound of the concurrency limit, in requests"
    )
    floor: float = toml_schema.number(
        OverloadOptions.floor, 0, 0.5, "fraction of the limit that first attempts and retries each keep"
    )
    accepts_least: float = toml_schema.number(
        OverloadOptions.accepts_least, 1, 1e5, "minimum rate of accepted connections, per second"
    )
    accepts_most: float = toml_schema.number(
        OverloadOptions.accepts_most, 1, 1e6, "maximum rate of accepted connections, per second"
    )
    orders: int = toml_schema.whole(
        OverloadOptions.orders, 16, 1 << 20, "maximum number of idempotency keys remembered"
    )

    def options(self) -> OverloadOptions:
        """Returns the options of overload control."""
        return OverloadOptions(**dataclasses.asdict(self))


@dataclass(slots=True)
class Growth:
    """[growth]: migration of keys when the endpoint list changes."""

    paced: bool = toml_schema.flag(True, "false: keys move as soon as the endpoint list changes")
    share: float = toml_schema.number(
        DEFAULT_MIGRATION_FRACTION, 0, 100, "migration reads, as a fraction of the origin's other reads"
    )

    def migration_fraction(self) -> float:
        """Returns the migration reads allowed per other read of the origin; below 0: keys move at once."""
        return self.share if self.paced else -1.0


@dataclass(slots=True)
class Routers:
    """[routers]: exchange between routers; the defaults are in fleet/options.py."""

    counts: bool = toml_schema.flag(
        FleetOptions.counts, "true: tenants' usage is sent to the other routers and summed"
    )
    bounded: bool = toml_schema.flag(
        FleetOptions.bounded, "true: a server's latency counts only as far as a second router confirms it"
    )
    members: bool = toml_schema.flag(
        FleetOptions.members, "true: routers detect which other routers are alive"
    )
    database_rps: float = toml_schema.number(
        FleetOptions.database_rps, 0, 1e6, "limit on origin reads per second, all routers together; 0: none"
    )

    def options(self) -> FleetOptions:
        """Returns the options of the exchange between routers."""
        return FleetOptions(**dataclasses.asdict(self))


@dataclass(slots=True)
class Membership:
    """[membership]: source of the endpoint list."""

    source: str = toml_schema.text("discovery", "source of the endpoint list", ("discovery", "etcd"))
    endpoints: list[str] = toml_schema.texts(["127.0.0.1:2379"], "etcd addresses (host:port), tried in turn")
    prefix: str = toml_schema.text("/rainhitch/members/", "prefix of the keys in etcd; the uid follows it")
    ca: str = toml_schema.text("", "file of the CA that signs etcd's certificates; empty: no TLS")
    certificate: str = toml_schema.text("", "file of the router's client certificate")
    key: str = toml_schema.text("", "file of the certificate's private key")
    user: str = toml_schema.text("", "user name in etcd; empty: no authentication")
    password_file: str = toml_schema.text("", "file that holds the user's password")
    timeout_s: float = toml_schema.number(2.0, 0.1, 60, "time limit of a unary call to etcd")


@dataclass(slots=True)
class OperatorConfig:
    """The whole file; each field is a table."""

    clients: ClientLimits = toml_schema.table(ClientLimits, "limits of connections from clients")
    servers: ServerLimits = toml_schema.table(ServerLimits, "limits of connections to servers")
    storms: Storms = toml_schema.table(Storms, "overload control against retry and reconnect storms")
    growth: Growth = toml_schema.table(Growth, "migration of keys when the endpoint list changes")
    routers: Routers = toml_schema.table(Routers, "exchange between routers")
    membership: Membership = toml_schema.table(Membership, "source of the endpoint list")


def operator_file_path() -> Path:
    """Returns the file that `RAINHITCH_OPERATOR` names, or the default; it need not exist."""
    return Path(os.environ.get("RAINHITCH_OPERATOR") or DEFAULT_OPERATOR_FILE)


def parse_host_port(text: str) -> Address | None:
    """Returns the address in `HOST:PORT` or `[HOST]:PORT`; None where the text is neither."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal():
        return None
    if not 0 < int(port) < PORT_LIMIT:
        return None
    return host.strip("[]"), int(port)


def membership_problems(table: Membership) -> list[str]:
    """Returns one line for each conflict between the table's keys and for each invalid address or prefix."""
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
        problems.append(
            f"membership.prefix = {table.prefix!r}: "
            "allowed is a string of at least 2 characters that ends with /"
        )
    return problems


def read_operator_config(path: Path) -> OperatorConfig:
    """Returns the operator's settings; raises TableError with one line for each invalid key."""
    problems: list[str] = []
    config = toml_schema.read(OperatorConfig, toml_schema.load(path), str(path), problems)
    if config is not None:
        problems += [f"{path}: {line}" for line in membership_problems(config.membership)]
    if config is None or problems:
        raise toml_schema.TableError(problems)
    return config
