"""Reads the settings that a router is given at its start, for the adapter and the real router alike."""

from dataclasses import dataclass
from typing import Any

from rainhitch import interface as io

FLEET_MODES = ("pushed", "on_request")
CACHE_MODES = ("through", "aside")
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
        aim=_count(source, f"{at}.aim", 1),
        deadline=_count(source, f"{at}.deadline", 1),
        effect=io.Effect(_choice(source, f"{at}.effect", tuple(io.Effect), "safe")),
        group=_choice(source, f"{at}.group", ("all", "zone", "cell"), "all"),
        window=_count(source, f"{at}.repeatWindow", 0, 0),
        worth=_number(source, f"{at}.gain", 0, 1),
        late_worth=_number(source, f"{at}.lateWorth", 0, 0),
        stream=_get(source, f"{at}.stream", bool, False),
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
        balancers=_count(info, "balancers", 1, 1),
        tenants=[io.Tenant(_number(one, f"tenants[{n}].quotaRps", 0, 0)) for n, one in enumerate(tenants)],
        aside=_choice(cache, "specifics.mode", CACHE_MODES, "through") == "aside",
        origin_kind=_count(cache, "specifics.originKind", -1, -1),
        must_ask=_choice(info, "registryMode", FLEET_MODES, "pushed") == "on_request",
        retry_after=_get(ceilings, "ceilings.retryAfter", bool, False),
        max_retry_after=_count(ceilings, "ceilings.maxRetryAfter", 0, 0),
        max_attempts=_count(ceilings, "ceilings.attemptsCap", 1, 1),
        connect_timeout=_count(ceilings, "ceilings.dialTimeout", 0, 250_000_000),
        ask_within=_count(safety, "safety.askWithin", 0, 10_000_000_000),
        cold_from=_number(safety, "safety.coldFrom", 0, 1),
        ramp_time=_count(safety, "safety.rampTime", 0, 0),
        tip_multiple=_number(safety, "safety.tipMultiple", 0, 1),
        fall_time=_count(safety, "safety.fall", 0, 1_000_000_000),
    )


@dataclass(slots=True)
class Names:
    """What stands on the sockets for the module's indexes."""

    classes: dict[str, int]
    effects: list[io.Effect]  # of each class
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
        [_class(one, number).effect for number, one in enumerate(classes)],
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
