"""The router's configuration, read at start from the platform's file and the operator's file.

A fault in either file raises ConfigurationError, and the program ends with its text as a one-line error.
"""

import os
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from rainhitch.errors import RainhitchError
from rainhitch.interface import Address, Settings
from rainhitch.node.endpoint_list import EndpointListError, read_address
from rainhitch.node.session import NO_PASSWORD_NEEDED, Authenticator
from rainhitch.settings import (
    Json,
    Names,
    SettingError,
    SocketLimits,
    read_names,
    read_settings,
    read_socket_limits,
)

if TYPE_CHECKING:
    from rainhitch.operator_config import OperatorConfig

# The environment variable RAINHITCH_OPERATOR overrides this path. operator_config.py has the same value; it
# is imported only if the file exists, because it takes memory.
DEFAULT_OPERATOR_FILE = "deploy/operator.toml"  # relative to the current directory
DEFAULT_SOCKETS = 1024
MIN_SOCKETS = 64
DEFAULT_MEMORY_MB = 192
MIN_MEMORY_MB = 16
MEMORY_LIMIT_MB = 1 << 20  # exclusive upper limit
BYTES_PER_MB = 1 << 20
UNKNOWN_ROUTER = -1


class ConfigurationError(RainhitchError, ValueError):
    """A missing or invalid configuration."""


@dataclass(slots=True)
class Peering:
    """The gossip addresses of this router and of all routers."""

    listen: Address  # address on which this router listens
    peers: list[Address]  # addresses of all routers, this one included, in the order of their numbers
    broadcast: Address
    own_index: int = UNKNOWN_ROUTER  # number of this router


@dataclass(slots=True)
class Configuration:
    """The settings of one router process."""

    listen: Address
    discovery: Address
    seed: int
    sockets: int  # limit of open descriptors
    memory_bytes: int
    known_list: Json  # initial endpoint list, in the format of discovery
    settings: Settings
    names: Names
    socket_limits: SocketLimits
    admin: Address | None = None  # address of the admin endpoint
    peers: Peering | None = None  # set if there are other routers and gossip with them is allowed
    inherited_fd: int | None = None  # descriptor of the clients' listening socket, if inherited


def read_configuration(path: str | None) -> Configuration:
    """Reads the platform's configuration file; raises ConfigurationError."""
    if not path:
        raise ConfigurationError(f"BALANCER_CONFIG: expected the path of a configuration file, got {path!r}")
    try:
        with open(path, "rb") as file:
            document = orjson.loads(file.read())
    except (OSError, orjson.JSONDecodeError) as problem:
        raise ConfigurationError(f"{path}: {problem}") from None
    return parse_configuration(document, path)


def parse_configuration(document: Json, path: str) -> Configuration:
    """Returns the configuration in decoded JSON; `path` is used in errors. Raises ConfigurationError."""
    try:
        return _configuration(document, path)
    except ConfigurationError:
        raise
    except (SettingError, EndpointListError, ValueError) as problem:
        raise ConfigurationError(f"{path}: {problem}") from None


def _configuration(document: Json, path: str) -> Configuration:
    if not isinstance(document, dict):
        raise ConfigurationError(f"{path}: expected an object, got {type(document).__name__}")
    settings_document = document.get("settings")
    if not isinstance(settings_document, dict):
        raise ConfigurationError(
            f"{path}: settings: expected an object, got {type(settings_document).__name__}"
        )
    limits = document.get("limits")
    if not isinstance(limits, dict):
        limits = {}
    return Configuration(
        sockets=_sockets(limits, path),
        memory_bytes=_memory_bytes(limits, path),
        listen=read_address(document.get("listen")),
        discovery=read_address(document.get("discovery")),
        seed=int(str(document.get("seed") or "0"), 16),
        known_list=document.get("known") or {"rev": 0, "targets": []},
        settings=read_settings(settings_document),
        names=read_names(settings_document),
        socket_limits=read_socket_limits(settings_document),
        admin=read_admin_address(document),
        peers=read_peering(document, settings_document),
        inherited_fd=read_inherited_fd(),
    )


def _sockets(limits: Json, path: str) -> int:
    sockets = limits.get("sockets", DEFAULT_SOCKETS)
    if type(sockets) is not int or sockets < MIN_SOCKETS:
        raise ConfigurationError(
            f"{path}: limits.sockets: expected an integer of at least {MIN_SOCKETS}, got {sockets!r}"
        )
    return sockets


def _memory_bytes(limits: Json, path: str) -> int:
    memory_mb = limits.get("memory_mb", DEFAULT_MEMORY_MB)
    if type(memory_mb) not in (int, float) or not MIN_MEMORY_MB <= memory_mb < MEMORY_LIMIT_MB:
        raise ConfigurationError(
            f"{path}: limits.memory_mb: expected a number from {MIN_MEMORY_MB} to below {MEMORY_LIMIT_MB}, "
            f"got {memory_mb!r}"
        )
    return int(memory_mb * BYTES_PER_MB)


def read_admin_address(document: Json) -> Address | None:
    """Returns the admin endpoint's address from the configuration, else the environment, else None."""
    named = document.get("admin_addr") or os.environ.get("BALANCER_ADMIN_ADDR")
    return None if named is None else read_address(named)


def read_peering(document: Json, settings_document: Json) -> Peering | None:
    """Returns the gossip addresses; None if there are no other routers or the settings forbid gossip."""
    ceilings = settings_document.get("ceilings")
    is_allowed = isinstance(ceilings, dict) and ceilings.get("mayTell") is True
    if not is_allowed or not document.get("peer_listen") or not document.get("peers_all"):
        return None
    listed = document.get("peers")
    if not isinstance(listed, list):
        raise EndpointListError(f"peers: expected a list, got {type(listed).__name__}")
    peers = [read_address(peer) for peer in listed]
    if len(peers) < 2:
        return None
    own_index = settings_document.get("me")
    if type(own_index) is not int or not 0 <= own_index < len(peers):
        own_index = UNKNOWN_ROUTER
    return Peering(
        read_address(document["peer_listen"]), peers, read_address(document["peers_all"]), own_index
    )


def read_inherited_fd() -> int | None:
    """Returns the descriptor of the listening socket that all processes of this router inherit, or None."""
    named = os.environ.get("BALANCER_SOCKET_FD")
    if not named:
        return None
    try:
        # The check uses a duplicate of the descriptor, because leaving the context closes it.
        with socket.socket(fileno=os.dup(int(named))) as inherited:
            if inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                return int(named)
    except (OSError, ValueError) as problem:
        raise ConfigurationError(f"BALANCER_SOCKET_FD: {named!r}: {problem}") from None
    raise ConfigurationError(
        f"BALANCER_SOCKET_FD: expected the descriptor of a listening socket, got {named!r}"
    )


def find_operator_config() -> "OperatorConfig | None":
    """Returns the operator's configuration; None if there is no file, and then no module is imported."""
    named = os.environ.get("RAINHITCH_OPERATOR")
    if not named and not os.path.exists(DEFAULT_OPERATOR_FILE):
        return None
    return load_operator_config(named or DEFAULT_OPERATOR_FILE)


def load_operator_config(path: str) -> "OperatorConfig":
    """Returns the configuration in an operator's file; raises ConfigurationError, a line per invalid key."""
    from pathlib import Path

    from rainhitch.operator_config import read_operator_config
    from rainhitch.toml_schema import TableError

    try:
        return read_operator_config(Path(path))
    except TableError as problem:
        raise ConfigurationError("\nrainhitch: ".join(problem.lines)) from None


def read_authenticator(user: str, password_path: str) -> Authenticator:
    """Returns the check of the clients' password; without a password file, clients need no password.

    Raises ConfigurationError if the file can't be read or is empty.
    """
    if not password_path:
        return NO_PASSWORD_NEEDED
    try:
        with open(password_path, "rb") as file:
            password = file.read().rstrip(b"\r\n")
    except OSError as problem:
        raise ConfigurationError(f"clients.password_file = {password_path!r}: {problem.strerror}") from None
    if not password:
        raise ConfigurationError(
            f"clients.password_file = {password_path!r}: expected a password, got an empty file"
        )
    return Authenticator(user.encode(), password)
