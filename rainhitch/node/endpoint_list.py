"""Parses discovery's endpoint list, in the platform's field names, into typed entries. No I/O.

The list is one JSON object:

    {"rev": 7, "all": true, "targets": [{"uid": "s-1", "endpoint": "10.0.0.4:6379", "state": "Ready", ...}]}

Within `node/`, only this module reads the platform's field names `rev`, `all` and `targets`, and of an entry
`uid`, `boot_ms`, `pod_group`, `az`, `model`, `state`, `endpoint` and `capacity_hint`. `membership/` and
`cli/` pass entries through and use `uid`, `state` and `targets`; `node/configuration.py` reads the settings'
field names.
"""

from dataclasses import dataclass
from typing import Any

from rainhitch.errors import RainhitchError
from rainhitch.interface import Address, EndpointState
from rainhitch.settings import Json, Names

PORT_LIMIT = 65_536
STATES = {
    "Ready": EndpointState.READY,
    "Retiring": EndpointState.RETIRING,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.GONE,
}


class EndpointListError(RainhitchError, ValueError):
    """An invalid endpoint list, list entry or address."""


@dataclass(frozen=True, slots=True)
class ParsedEntry:
    """One entry of the list; `kind` and `zone` are indexes into the names in the settings."""

    server: str
    state: EndpointState
    kind: int
    zone: int
    cell: int
    weight: float
    started_at_unix_ms: int | None  # time of the server's latest start; None if not stated
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A list, or changes to one; if `is_whole`, endpoints that are not in it are gone."""

    version: int
    is_whole: bool
    rows: list[Any]  # decoded JSON entries, to be parsed by `read_entry`


def read_address(text: object) -> Address:
    """Returns the address given as `HOST:PORT` or `[HOST]:PORT`; raises EndpointListError."""
    if not isinstance(text, str):
        raise EndpointListError(f"expected HOST:PORT, got {text!r}")
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isdecimal():
        raise EndpointListError(f"expected HOST:PORT, got {text!r}")
    if int(port) >= PORT_LIMIT:
        raise EndpointListError(f"expected a port below {PORT_LIMIT}, got {text!r}")
    return host.strip("[]"), int(port)


def read_list(document: Any) -> EndpointList:
    """Returns the list in a decoded JSON response; its rows are not parsed yet.

    Raises EndpointListError if there is no list, or if its version is not an integer.
    """
    if not isinstance(document, dict) or not isinstance(document.get("targets"), list):
        raise EndpointListError(f"expected an object with a list of targets, got {type(document).__name__}")
    version = document.get("rev")
    if type(version) is not int:
        raise EndpointListError(f"expected an integer as rev, got {version!r}")
    return EndpointList(version, document.get("all") is True, document["targets"])


def read_entry(row: Any, names: Names) -> ParsedEntry:
    """Returns a parsed entry of the list; raises EndpointListError if a field is missing or invalid."""
    try:
        return _entry(row, names)
    except EndpointListError:
        raise
    except (KeyError, TypeError, ValueError, AttributeError) as problem:
        raise EndpointListError(f"{type(problem).__name__}: {problem}") from None


def _entry(row: Json, names: Names) -> ParsedEntry:
    server = row["uid"]
    if not isinstance(server, str) or not server:
        raise EndpointListError(f"expected a text as uid, got {server!r}")
    boot_ms = row.get("boot_ms") or 0
    weight = row.get("capacity_hint", 1.0)
    return ParsedEntry(
        server=server,
        started_at_unix_ms=None if boot_ms <= 0 else int(boot_ms),
        state=STATES[row["state"]],
        kind=names.kinds[row["model"]],
        zone=names.zones[row["az"]],
        cell=int(row.get("pod_group") or 0),
        weight=1.0 if weight is None else float(weight),
        address=read_address(row["endpoint"]),
    )
