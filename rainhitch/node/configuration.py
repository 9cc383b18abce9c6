"""The configuration that the router starts with: the platform's file, and the operator's own file.

Each fault of either file is a ConfigurationError of one line, with which the program ends.
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

# As in operator_config.py, which is imported only where there is a file: that import costs memory.
DEFAULT_OPERATOR_FILE = "deploy/operator.toml"  # in the current folder; RAINHITCH_OPERATOR names another
DEFAULT_SOCKETS = 1024
MIN_SOCKETS = 64
DEFAULT_MEMORY_MB = 192
MIN_MEMORY_MB = 16
MEMORY_LIMIT_MB = 1 << 20  # what is configured is below it
BYTES_PER_MB = 1 << 20
UNKNOWN_ROUTER = -1


class ConfigurationError(RainhitchError, ValueError):
    """The configuration is missing or makes no sense."""


@dataclass(slots=True)
class Peering:
    """The addresses for gossip: where this router listens, and where all routers do, itself included."""

    listen: Address
    peers: list[Address]  # of all routers, in the order of their numbers
    broadcast: Address
    own_index: int = UNKNOWN_ROUTER  # this router's number


@dataclass(slots=True)
class Configuration:
    """The settings of one router process."""

    listen: Address
    discovery: Address
    seed: int
    sockets: int  # descriptors that the process may hold
    memory_bytes: int
    known_list: Json  # an endpoint list to begin with, as discovery sends it
    settings: Settings
    names: Names
    socket_limits: SocketLimits
    admin: Address | None = None  # of the operators' endpoint
    peers: Peering | None = None  # where there are other routers, and gossip with them is allowed
    inherited_fd: int | None = None  # of the clients' listening socket, where the platform holds it


def read_configuration(path: str | None) -> Configuration:
    """Reads the configuration's file; raises ConfigurationError."""
    if not path:
        raise ConfigurationError("BALANCER_CONFIG names no file")
    try:
        with open(path, "rb") as file:
            document = orjson.loads(file.read())
    except (OSError, orjson.JSONDecodeError) as problem:
        raise ConfigurationError(f"{path}: {problem}") from None
    return parse_configuration(document, path)


def parse_configuration(document: Json, path: str) -> Configuration:
    """The configuration that decoded JSON holds; `path` is for the errors. Raises ConfigurationError."""
    try:
        return _configuration(document, path)
    except ConfigurationError:
        raise
    except (SettingError, EndpointListError, ValueError) as problem:
        raise ConfigurationError(f"{path}: {problem}") from None


def _configuration(document: Json, path: str) -> Configuration:
    if not isinstance(document, dict):
        raise ConfigurationError(f"{path}: not an object")
    settings_document = document.get("settings")
    if not isinstance(settings_document, dict):
        raise ConfigurationError(f"{path}: settings is missing or not an object")
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
        peers=read_peers(document, settings_document),
        inherited_fd=read_inherited_fd(),
    )


def _sockets(limits: Json, path: str) -> int:
    sockets = limits.get("sockets", DEFAULT_SOCKETS)
    if type(sockets) is not int or sockets < MIN_SOCKETS:
        raise ConfigurationError(f"{path}: limits.sockets makes no sense: {sockets!r}")
    return sockets


def _memory_bytes(limits: Json, path: str) -> int:
    memory_mb = limits.get("memory_mb", DEFAULT_MEMORY_MB)
    if type(memory_mb) not in (int, float) or not MIN_MEMORY_MB <= memory_mb < MEMORY_LIMIT_MB:
        raise ConfigurationError(f"{path}: limits.memory_mb makes no sense: {memory_mb!r}")
    return int(memory_mb * BYTES_PER_MB)


def read_admin_address(document: Json) -> Address | None:
    """The address of the operators' endpoint: the configuration's, else the environment's, else None."""
    named = document.get("admin_addr") or os.environ.get("BALANCER_ADMIN_ADDR")
    return None if named is None else read_address(named)


def read_peers(document: Json, settings_document: Json) -> Peering | None:
    """The addresses for gossip; None where there are no others, or the settings allow no gossip."""
    ceilings = settings_document.get("ceilings")
    is_allowed = isinstance(ceilings, dict) and ceilings.get("mayTell") is True
    if not is_allowed or not document.get("peer_listen") or not document.get("peers_all"):
        return None
    listed = document.get("peers")
    if not isinstance(listed, list):
        raise EndpointListError("peers is no list")
    peers = [read_address(one) for one in listed]
    if len(peers) < 2:
        return None
    own_index = settings_document.get("me")
    if type(own_index) is not int or not 0 <= own_index < len(peers):
        own_index = UNKNOWN_ROUTER
    return Peering(
        read_address(document["peer_listen"]), peers, read_address(document["peers_all"]), own_index
    )


def read_inherited_fd() -> int | None:
    """The descriptor of the listening socket that all processes of this router inherit, None without one."""
    named = os.environ.get("BALANCER_SOCKET_FD")
    if not named:
        return None
    try:
        # On a copy of the descriptor, since the copy is closed behind the check.
        with socket.socket(fileno=os.dup(int(named))) as inherited:
            if inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                return int(named)
    except (OSError, ValueError) as problem:
        raise ConfigurationError(f"BALANCER_SOCKET_FD: {named!r}: {problem}") from None
    raise ConfigurationError(f"BALANCER_SOCKET_FD: {named!r} is no listening socket")


def find_operator_config() -> "OperatorConfig | None":
    """What the operator's file says; None where there is no file, and then nothing is imported for it."""
    named = os.environ.get("RAINHITCH_OPERATOR")
    if not named and not os.path.exists(DEFAULT_OPERATOR_FILE):
        return None
    return load_operator_config(named or DEFAULT_OPERATOR_FILE)


def load_operator_config(path: str) -> "OperatorConfig":
    """What an operator's file says; raises ConfigurationError with a line for each bad key."""
    from pathlib import Path

    from rainhitch.operator_config import read_operator_config
    from rainhitch.toml_schema import TableError

    try:
        return read_operator_config(Path(path))
    except TableError as problem:
        raise ConfigurationError("\nrainhitch: ".join(problem.lines)) from None


def read_authenticator(user: str, password_path: str) -> Authenticator:
    """The check of clients' passwords; without a file, clients need none.

    Raises ConfigurationError where the file can't be read or is empty.
    """
    if not password_path:
        return NO_PASSWORD_NEEDED
    try:
        with open(password_path, "rb") as file:
            password = file.read().rstrip(b"\r\n")
    except OSError as problem:
        raise ConfigurationError(f"clients.password_file = {password_path!r}: {problem.strerror}") from None
    if not password:
        raise ConfigurationError(f"clients.password_file = {password_path!r}: it holds no password")
    return Authenticator(user.encode(), password)
