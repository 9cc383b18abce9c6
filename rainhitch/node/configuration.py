"""What the router is told at its start: the platform's configuration, and the operator's own file."""

import os
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from rainhitch.interface import Address, Settings
from rainhitch.node.endpoint_list import EndpointListError, read_address
from rainhitch.node.session import OPEN, Authenticator
from rainhitch.settings import (
    Ceilings,
    Json,
    Names,
    SettingError,
    read_ceilings,
    read_names,
    read_settings,
)

if TYPE_CHECKING:
    from rainhitch.operator_config import OperatorConfig

OPERATOR_FILE = "deploy/operator.toml"  # in the current folder; RAINHITCH_OPERATOR names another


class ConfigurationError(ValueError):
    """The configuration is missing or makes no sense."""


@dataclass(slots=True)
class Peering:
    """Where this router hears the others, and where they are."""

    listen: Address
    peers: list[Address]  # of all routers, in the order of their numbers
    everyone: Address
    me: int = -1  # this router's number; -1: not told


@dataclass(slots=True)
class Configuration:
    """What the router is told at its start."""

    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory: int  # bytes
    known: Json
    settings: Settings
    names: Names
    ceilings: Ceilings
    admin: Address | None = None  # the second address
    peers: Peering | None = None  # the other routers, where they may be told
    inherited: int | None = None  # descriptor of the clients' listening socket, where the platform holds it


def read_configuration(path: str | None) -> Configuration:
    """Reads the configuration's file; raises ConfigurationError."""
    if not path:
        raise ConfigurationError("BALANCER_CONFIG names no file")
    try:
        with open(path, "rb") as file:
            told = orjson.loads(file.read())
    except (OSError, orjson.JSONDecodeError) as problem:
        raise ConfigurationError(f"{path}: {problem}") from None
    return configured(told, path)


def configured(told: Json, path: str) -> Configuration:
    """What a configuration says; raises ConfigurationError."""
    try:
        if not isinstance(told, dict):
            raise ConfigurationError(f"{path}: not an object")
        info = told.get("settings")
        if not isinstance(info, dict):
            raise ConfigurationError(f"{path}: settings is missing or not an object")
        limits = told.get("limits")
        sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else 1024
        if type(sockets) is not int or sockets < 64:
            raise ConfigurationError(f"{path}: limits.sockets makes no sense: {sockets!r}")
        memory = limits.get("memory_mb", 192) if isinstance(limits, dict) else 192
        if type(memory) not in (int, float) or not 16 <= memory < 1 << 20:
            raise ConfigurationError(f"{path}: limits.memory_mb makes no sense: {memory!r}")
        return Configuration(
            read_address(told.get("listen")),
            read_address(told.get("discovery")),
            int(str(told.get("seed") or "0"), 16),
            sockets,
            int(memory * (1 << 20)),
            told.get("known") or {"rev": 0, "targets": []},
            read_settings(info),
            read_names(info),
            read_ceilings(info),
            read_admin(told),
            read_peers(told, info),
            read_inherited(),
        )
    except (SettingError, EndpointListError, ValueError) as problem:
        if isinstance(problem, ConfigurationError):
            raise
        raise ConfigurationError(f"{path}: {problem}") from None


def read_admin(told: Json) -> Address | None:
    """The second address: the configuration's word, else the environment's."""
    named = told.get("admin_addr") or os.environ.get("BALANCER_ADMIN_ADDR")
    return None if named is None else read_address(named)


def read_peers(told: Json, info: Json) -> Peering | None:
    """The other routers; None where there are none, or the settings do not allow a word with them."""
    ceilings = info.get("ceilings")
    allowed = isinstance(ceilings, dict) and ceilings.get("mayTell") is True
    if not allowed or not told.get("peer_listen") or not told.get("peers_all"):
        return None
    listed = told.get("peers")
    if not isinstance(listed, list):
        raise EndpointListError("peers is no list")
    peers = [read_address(one) for one in listed]
    if len(peers) < 2:
        return None
    me = info.get("me")
    me = me if type(me) is int and 0 <= me < len(peers) else -1
    return Peering(read_address(told["peer_listen"]), peers, read_address(told["peers_all"]), me)


def read_inherited() -> int | None:
    """The descriptor of a listening socket that every process of this router inherits."""
    named = os.environ.get("BALANCER_SOCKET_FD")
    if not named:
        return None
    try:
        with socket.socket(fileno=os.dup(int(named))) as inherited:
            if inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                return int(named)
    except (OSError, ValueError) as problem:
        raise ConfigurationError(f"BALANCER_SOCKET_FD: {named!r}: {problem}") from None
    raise ConfigurationError(f"BALANCER_SOCKET_FD: {named!r} is no listening socket")


def operator_settings() -> "OperatorConfig | None":
    """What the operator's file says; None where there is none: then nothing is imported for it."""
    named = os.environ.get("RAINHITCH_OPERATOR")
    if not named and not os.path.exists(OPERATOR_FILE):
        return None
    return operator_from(named or OPERATOR_FILE)


def operator_from(path: str) -> "OperatorConfig":
    """What a file of the operator's says; raises ConfigurationError."""
    from pathlib import Path

    from rainhitch.operator_config import read_operator_config
    from rainhitch.toml_schema import TableError

    try:
        return read_operator_config(Path(path))
    except TableError as problem:
        raise ConfigurationError("\nrainhitch: ".join(problem.lines)) from None


def read_gate(user: str, path: str) -> Authenticator:
    """Who may come in; raises ConfigurationError where the file can't be read or is empty."""
    if not path:
        return OPEN
    try:
        with open(path, "rb") as file:
            password = file.read().rstrip(b"\r\n")
    except OSError as problem:
        raise ConfigurationError(f"clients.password_file = {path!r}: {problem.strerror}") from None
    if not password:
        raise ConfigurationError(f"clients.password_file = {path!r}: it holds no password")
    return Authenticator(user.encode(), password)
