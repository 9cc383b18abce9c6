"""Reads the settings that a router is given at its start, for the adapter and the real router alike."""

from dataclasses import dataclass
from typing import Any

from rainhitch import interface as io

FLEET_MODES = ("pushed", "on_request")
CACHE_MODES = ("through", "aside")
# The platform's word for what a second execution of a request would do.
IDEMPOTENCY = {
    "safe": io.Idempotency.IDEMPOTENT,
    "keyed": io.Idempotency.IDEMPOTENCY_KEY,
    "unsafe": io.Idempotency.NOT_IDEMPOTENT,
}
Json = dict[str, Any]


class SettingError(ValueError):
    """A start-up setting is missing or makes no sense."""


def _get(source: Json, path: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
    """Reads one setting; with no default it must be there."""
    value = source.get(path.rsplit(".", 1)[-1])
    if value is None:
        if default is None:
            raise SettingError(f"setting {path} is missing")
        return default
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise SettingError(f"setting {path} makes no sense: {value!r}")
    return value


def _number(source: Json, path: str, low: float, default: float | None = None) -> float:
    value = float(_get(source, path, (int, float), default))
    if not low <= value < 1e19:
        raise SettingError(f"setting {path} makes no sense: {value:g}")
    return value


def _count(source: Json, path: str, low: int, default: int | None = None) -> int:
    return int(_number(source, path, low, default))


def _choice(source: Json, path: str, choices: tuple[str, ...], default: str) -> str:
    value = _get(source, path, str, default)
    if value not in choices:
        raise SettingError(f"setting {path} makes no sense: {value!r}")
    return str(value)


def _objects(source: Json, path: str, default: list[Json] | None = None) -> list[Json]:
    value: list[Json] = _get(source, path, list, default)
    if not all(isinstance(one, dict) for one in value):
        raise SettingError(f"setting {path} makes no sense: no list of objects")
    return value


def _class(source: Json, number: int) -> io.RequestClass:
    at = f"classes[{number}]"
    return io.RequestClass(
        latency_objective_ns=_count(source, f"{at}.aim", 1),
        deadline_ns=_count(source, f"{at}.deadline", 1),
        idempotency=IDEMPOTENCY[_choice(source, f"{at}.effect", tuple(IDEMPOTENCY), "safe")],
        dedup_scope=_choice(source, f"{at}.group", ("all", "zone", "cell"), "all"),
        dedup_window_ns=_count(source, f"{at}.repeatWindow", 0, 0),
        priority_weight=_number(source, f"{at}.gain", 0, 1),
        late_weight=_number(source, f"{at}.lateWorth", 0, 0),
        is_streamed=_get(source, f"{at}.stream", bool, False),
    )


def read_settings(info: Json) -> io.Settings:
    """Turns the wire's start-up settings into the module's."""
    if not isinstance(info, dict):
        raise SettingError("setting info makes no sense: not an object")
    classes, tenants = _objects(info, "classes"), _objects(info, "tenants", [])
    if not classes:
        raise SettingError("setting classes makes no sense: it is empty")
    ceilings, safety = _get(info, "ceilings", dict), _get(info, "safety", dict)
    cache = _get(info, "specifics", dict, {})
    return io.Settings(
        classes=[_class(one, number) for number, one in enumerate(classes)],
        router_count=_count(info, "balancers", 1, 1),
        tenants=[io.Tenant(_number(one, f"tenants[{n}].quotaRps", 0, 0)) for n, one in enumerate(tenants)],
        cache_aside=_choice(cache, "specifics.mode", CACHE_MODES, "through") == "aside",
        origin_kind=_count(cache, "specifics.originKind", -1, -1),
        endpoints_polled=_choice(info, "registryMode", FLEET_MODES, "pushed") == "on_request",
        retry_after_allowed=_get(ceilings, "ceilings.retryAfter", bool, False),
        max_retry_after_ns=_count(ceilings, "ceilings.maxRetryAfter", 0, 0),
        max_attempts=_count(ceilings, "ceilings.attemptsCap", 1, 1),
        connect_timeout_ns=_count(ceilings, "ceilings.dialTimeout", 0, 250_000_000),
        poll_within_ns=_count(safety, "safety.askWithin", 0, 10_000_000_000),
        slow_start_initial_fraction=_number(safety, "safety.coldFrom", 0, 1),
        slow_start_ns=_count(safety, "safety.rampTime", 0, 0),
        slow_start_overload_factor=_number(safety, "safety.tipMultiple", 0, 1),
        slow_start_window_ns=_count(safety, "safety.fall", 0, 1_000_000_000),
    )


@dataclass(slots=True)
class Names:
    """What stands on the sockets for the module's indexes."""

    classes: dict[str, int]
    effects: list[io.Idempotency]  # of each class
    tenants: dict[str, int]
    zones: dict[str, int]
    kinds: dict[str, int]


@dataclass(slots=True)
class Ceilings:
    """What the router's sockets are held to; durations are nanoseconds."""

    most_held: int
    dial_timeout: int
    keepalive: int


def _indexes(source: Json, path: str, default: list[str]) -> dict[str, int]:
    values = _get(source, path, list, default)
    if not all(isinstance(one, str) for one in values) or len(set(values)) < len(values):
        raise SettingError(f"setting {path} makes no sense: {values!r}")
    return {name: number for number, name in enumerate(values)}


def read_names(info: Json) -> Names:
    """The names of classes, tenants, zones and kinds, each with its index."""
    classes, tenants = _objects(info, "classes"), _objects(info, "tenants", [])
    return Names(
        _indexes({"name": [one.get("name") for one in classes]}, "classes[].name", []),
        [_class(one, number).idempotency for number, one in enumerate(classes)],
        _indexes({"name": [one.get("name") for one in tenants]}, "tenants[].name", []),
        _indexes(info, "azs", []),
        _indexes(info, "hostTypes", []),
    )


def read_ceilings(info: Json) -> Ceilings:
    """The part of the settings that binds the router and not the module."""
    ceilings = _get(info, "ceilings", dict)
    return Ceilings(
        most_held=_count(ceilings, "ceilings.mostHeld", 1, 20_000),
        dial_timeout=_count(ceilings, "ceilings.dialTimeout", 1, 250_000_000),
        keepalive=_count(ceilings, "ceilings.keepalive", 1, 60_000_000_000),
    )
