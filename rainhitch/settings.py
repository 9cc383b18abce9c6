"""Reads the start-up settings that the platform passes to a router.

This module and `wirehost.py` translate the platform's names to the terms of `interface.py`. A setting is
named by its path, such as `ceilings.attemptsCap`: error messages give the whole path, and its last part is
the key in the JSON object.
"""

from dataclasses import dataclass
from typing import Any

from rainhitch import interface as api
from rainhitch.errors import RainhitchError

Json = dict[str, Any]

# Names in the settings, mapped to the terms of `interface.py` where these differ.
ENDPOINT_LIST_MODES = ("pushed", "on_request")
CACHE_MODES = ("through", "aside")
DEDUP_SCOPES = ("all", "zone", "cell")
IDEMPOTENCY_BY_NAME = {
    "safe": api.Idempotency.IDEMPOTENT,
    "keyed": api.Idempotency.IDEMPOTENCY_KEY,
    "unsafe": api.Idempotency.NOT_IDEMPOTENT,
}

# Maps each type that `_read` checks for to its name in error messages.
JSON_TYPE_NAMES: dict[type | tuple[type, ...], str] = {
    bool: "a boolean",
    str: "a string",
    list: "a list",
    dict: "an object",
    (int, float): "a number",
}

NUMBER_LIMIT = 1e19  # exclusive upper bound of every number; larger than any time in ns
DEFAULT_CONNECT_TIMEOUT_NS = 250_000_000
DEFAULT_MAX_POLL_RETRY_NS = 10_000_000_000
DEFAULT_SLOW_START_WINDOW_NS = 1_000_000_000
DEFAULT_MAX_REQUESTS = 20_000
DEFAULT_KEEPALIVE_NS = 60_000_000_000


class SettingError(RainhitchError, ValueError):
    """A start-up setting that is missing or invalid."""


# Readers of a single setting


def _read(source: Json, path: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
    """Returns the setting with this path from the JSON object that holds it.

    A setting that is missing or null has the default. Raises SettingError where there is no default, and for
    a value of another type; JSON booleans do not count as numbers.
    """
    key = path.rsplit(".", 1)[-1]
    value = source.get(key)
    if value is None:
        if default is None:
            raise SettingError(f"setting {path} is missing")
        return default
    is_unwanted_bool = isinstance(value, bool) and kind is not bool
    if not isinstance(value, kind) or is_unwanted_bool:
        raise SettingError(f"setting {path} is invalid: expected {JSON_TYPE_NAMES[kind]}, got {value!r}")
    return value


def _read_number(source: Json, path: str, least: float, default: float | None = None) -> float:
    """Returns a number of at least `least` and below `NUMBER_LIMIT`."""
    value = float(_read(source, path, (int, float), default))
    if not least <= value < NUMBER_LIMIT:
        raise SettingError(
            f"setting {path} is invalid: expected {least:g} <= number < {NUMBER_LIMIT:g}, got {value:g}"
        )
    return value


def _read_int(source: Json, path: str, least: int, default: int | None = None) -> int:
    """Returns a number of at least `least`, truncated to an integer."""
    return int(_read_number(source, path, least, default))


def _read_choice(source: Json, path: str, choices: tuple[str, ...], default: str) -> str:
    """Returns a string, which must be one of `choices`."""
    value = _read(source, path, str, default)
    if value not in choices:
        raise SettingError(f"setting {path} is invalid: expected one of {', '.join(choices)}, got {value!r}")
    return str(value)


def _read_objects(source: Json, path: str, default: list[Json] | None = None) -> list[Json]:
    """Returns a list of objects."""
    value: list[Json] = _read(source, path, list, default)
    if not all(isinstance(item, dict) for item in value):
        raise SettingError(f"setting {path} is invalid: expected a list of objects, got {value!r}")
    return value


def _index_by_name(values: list[Any], path: str) -> dict[str, int]:
    """Returns the index of each name; raises SettingError where a name is not a string or is repeated."""
    if not all(isinstance(name, str) for name in values) or len(set(values)) < len(values):
        raise SettingError(f"setting {path} is invalid: expected unique strings, got {values!r}")
    return {name: index for index, name in enumerate(values)}


# Settings of the routing decisions


def _read_class(source: Json, index: int) -> api.RequestClass:
    path = f"classes[{index}]"
    return api.RequestClass(
        latency_objective_ns=_read_int(source, f"{path}.aim", 1),
        deadline_ns=_read_int(source, f"{path}.deadline", 1),
        idempotency=IDEMPOTENCY_BY_NAME[
            _read_choice(source, f"{path}.effect", tuple(IDEMPOTENCY_BY_NAME), "safe")
        ],
        dedup_scope=_read_choice(source, f"{path}.group", DEDUP_SCOPES, "all"),
        dedup_window_ns=_read_int(source, f"{path}.repeatWindow", 0, 0),
        priority_weight=_read_number(source, f"{path}.gain", 0, 1),
        late_weight=_read_number(source, f"{path}.lateWorth", 0, 0),
        is_relayed=_read(source, f"{path}.stream", bool, False),
    )


def _read_tenant(source: Json, index: int) -> api.Tenant:
    return api.Tenant(quota_per_s=_read_number(source, f"tenants[{index}].quotaRps", 0, 0))


def read_settings(document: Json) -> api.Settings:
    """Returns the settings of the routing decisions; raises SettingError."""
    if not isinstance(document, dict):
        raise SettingError(f"setting info is invalid: expected an object, got {document!r}")
    classes = _read_objects(document, "classes")
    tenants = _read_objects(document, "tenants", [])
    if not classes:
        raise SettingError("setting classes is invalid: expected at least one class, got an empty list")
    ceilings = _read(document, "ceilings", dict)
    safety = _read(document, "safety", dict)
    cache = _read(document, "specifics", dict, {})
    return api.Settings(
        classes=[_read_class(source, index) for index, source in enumerate(classes)],
        router_count=_read_int(document, "balancers", 1, 1),
        tenants=[_read_tenant(source, index) for index, source in enumerate(tenants)],
        cache_aside=_read_choice(cache, "specifics.mode", CACHE_MODES, "through") == "aside",
        origin_kind=_read_int(cache, "specifics.originKind", -1, -1),
        endpoints_polled=_read_choice(document, "registryMode", ENDPOINT_LIST_MODES, "pushed")
        == "on_request",
        retry_after_allowed=_read(ceilings, "ceilings.retryAfter", bool, False),
        max_retry_after_ns=_read_int(ceilings, "ceilings.maxRetryAfter", 0, 0),
        max_attempts=_read_int(ceilings, "ceilings.attemptsCap", 1, 1),
        connect_timeout_ns=_read_int(ceilings, "ceilings.dialTimeout", 0, DEFAULT_CONNECT_TIMEOUT_NS),
        max_poll_retry_ns=_read_int(safety, "safety.askWithin", 0, DEFAULT_MAX_POLL_RETRY_NS),
        slow_start_initial_fraction=_read_number(safety, "safety.coldFrom", 0, 1),
        slow_start_ns=_read_int(safety, "safety.rampTime", 0, 0),
        slow_start_overload_factor=_read_number(safety, "safety.tipMultiple", 0, 1),
        slow_start_window_ns=_read_int(safety, "safety.fall", 0, DEFAULT_SLOW_START_WINDOW_NS),
    )


# Settings of the sockets


@dataclass(slots=True)
class Names:
    """Maps the names that appear on the sockets to the indexes that the routing decisions use."""

    classes: dict[str, int]
    idempotency: list[api.Idempotency]  # one entry per class, by class index
    tenants: dict[str, int]
    zones: dict[str, int]
    kinds: dict[str, int]


@dataclass(slots=True)
class SocketLimits:
    """Limits of the router's sockets."""

    max_requests: int  # maximum number of open requests
    connect_timeout_ns: int
    keepalive_ns: int  # idle time after which servers close an upstream connection


def read_names(document: Json) -> Names:
    """Returns the names of classes, tenants, zones and kinds; raises SettingError."""
    classes = _read_objects(document, "classes")
    tenants = _read_objects(document, "tenants", [])
    return Names(
        classes=_index_by_name([source.get("name") for source in classes], "classes[].name"),
        idempotency=[_read_class(source, index).idempotency for index, source in enumerate(classes)],
        tenants=_index_by_name([source.get("name") for source in tenants], "tenants[].name"),
        zones=_index_by_name(_read(document, "azs", list, []), "azs"),
        kinds=_index_by_name(_read(document, "hostTypes", list, []), "hostTypes"),
    )


def read_socket_limits(document: Json) -> SocketLimits:
    """Returns the limits of the router's sockets; raises SettingError."""
    ceilings = _read(document, "ceilings", dict)
    return SocketLimits(
        max_requests=_read_int(ceilings, "ceilings.mostHeld", 1, DEFAULT_MAX_REQUESTS),
        connect_timeout_ns=_read_int(ceilings, "ceilings.dialTimeout", 1, DEFAULT_CONNECT_TIMEOUT_NS),
        keepalive_ns=_read_int(ceilings, "ceilings.keepalive", 1, DEFAULT_KEEPALIVE_NS),
    )
