"""The codec of discovery's endpoint list: from the platform's words to typed entries, without I/O.

The list is one JSON object:

    {"rev": 7, "all": true, "targets": [{"uid": "s-1", "endpoint": "10.0.0.4:6379", "state": "Ready", ...}]}

`node/` reads the platform's words in this module only: `rev`, `all`, `targets`; and of an entry `uid`,
`boot_ms`, `pod_group`, `az`, `model`, `state`, `endpoint` and `capacity_hint`. `membership/` and `cli/` pass
rows through and know `uid`, `state`, `targets`; `node/configuration.py` reads the settings' words.
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
    """An endpoint list, an entry of it or an address that can't be read."""


@dataclass(frozen=True, slots=True)
class ParsedEntry:
    """One entry of the list, in the router's terms; `kind` and `zone` are indexes of the settings' names."""

    server: str
    state: EndpointState
    kind: int
    zone: int
    cell: int
    weight: float
    started_at_unix_ms: int | None  # of its latest start; None: not told
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A list or changes of it: `is_whole` says that endpoints which are not named are gone."""

    version: int
    is_whole: bool
    rows: list[Any]  # entries as they came, each to be read by `read_entry`


def read_address(text: object) -> Address:
    """The address that `HOST:PORT` or `[HOST]:PORT` names; raises EndpointListError."""
    if not isinstance(text, str):
        raise EndpointListError(f"no address: {text!r}")
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isdecimal():
        raise EndpointListError(f"no address: {text!r}")
    if int(port) >= PORT_LIMIT:
        raise EndpointListError(f"no address: {text!r}")
    return host.strip("[]"), int(port)


def read_list(answer: Any) -> EndpointList:
    """The list that a decoded JSON answer holds; its rows are not read yet.

    Raises EndpointListError where there is no list, or its version is no integer.
    """
    if not isinstance(answer, dict) or not isinstance(answer.get("targets"), list):
        raise EndpointListError(f"expected an object with targets, got {type(answer).__name__}")
    version = answer.get("rev")
    if type(version) is not int:
        raise EndpointListError(f"expected an integer as rev, got {version!r}")
    return EndpointList(version, answer.get("all") is True, answer["targets"])


def read_entry(row: Any, names: Names) -> ParsedEntry:
    """One entry of the list; raises EndpointListError where a field is missing or makes no sense."""
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
