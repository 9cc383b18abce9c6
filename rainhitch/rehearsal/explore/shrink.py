"""Shrinks a failing test case.

Parts of its scenario are left out, numbers made usual or smaller, as long as it still fails. Greedy, and
bounded in runs.
"""

import copy
from collections.abc import Callable, Iterator
from typing import Any

Json = dict[str, Any]
REQUIRED_KEYS = ("about", "must")
REQUIRED_TABLES = ("day", "traffic")
# Whose usual value is larger than those that are generated: without it a run only takes longer. Neither they
# nor the tables that have them are left out.
KEPT_SETTINGS = (("day", "length_s"), ("fleet", "memory_keys"))
MIN_LENGTH_S = 1
SHORTER_FRACTION = 0.9  # of the length; a run is shortened only to less than that
AFTER_LAST_FAULT_S = 1
MIN_RATE_PER_S = 2
MIN_FAULT_AT_S = 0.1


def shrink(tables: Json, still_fails: Callable[[Json], bool], max_runs: int) -> tuple[Json, int]:
    """The smallest scenario that was found for which `still_fails`, and how many runs that took."""
    runs = 0
    progressed = True
    while progressed:
        progressed = False
        for candidate in list(smaller_candidates(tables)):
            if runs >= max_runs:
                return tables, runs
            runs += 1
            if still_fails(candidate):
                tables = candidate
                progressed = True
                break
    return tables, runs


def smaller_candidates(tables: Json) -> Iterator[Json]:
    """Each scenario that is one step smaller, the large steps first."""
    yield from _with_fewer_faults(tables)
    yield from _with_fewer_settings(tables)
    yield from _with_fewer_classes(tables)
    yield from _with_shorter_run(tables)
    yield from _with_less_load(tables)
    yield from _with_smaller_fleet(tables)
    yield from _with_earlier_faults(tables)


def _with(tables: Json, key: str, value: Any) -> Json:
    """A copy with one table in place of its own."""
    copied = copy.deepcopy(tables)
    copied[key] = copy.deepcopy(value)
    return copied


def _without_key(table: Json, key: str) -> Json:
    return {name: value for name, value in table.items() if name != key}


def _with_fewer_faults(tables: Json) -> Iterator[Json]:
    faults = tables.get("faults", [])
    if len(faults) > 1:
        half = len(faults) // 2
        yield _with(tables, "faults", faults[:half])
        yield _with(tables, "faults", faults[half:])
    for number in range(len(faults)):
        yield _with(tables, "faults", faults[:number] + faults[number + 1 :])


def _with_fewer_settings(tables: Json) -> Iterator[Json]:
    """Without a table, or without one setting of it, which then has its usual value."""
    for name, table in tables.items():
        if name in ("classes", "faults", *REQUIRED_KEYS):
            continue
        has_kept_setting = any(name == kept and key in table for kept, key in KEPT_SETTINGS)
        if name not in REQUIRED_TABLES and not has_kept_setting:
            yield _without_key(tables, name)
        for key in table:
            if (name, key) not in KEPT_SETTINGS:
                yield _with(tables, name, _without_key(table, key))


def _with_fewer_classes(tables: Json) -> Iterator[Json]:
    if "classes" not in tables:
        return
    classes = tables["classes"]
    yield _without_key(tables, "classes")
    if len(classes) > 1:
        for number in range(len(classes)):
            yield _with(tables, "classes", classes[:number] + classes[number + 1 :])


def _with_shorter_run(tables: Json) -> Iterator[Json]:
    length_s = tables["day"]["length_s"]
    fault_ends_s = [fault["at_s"] + fault.get("for_s", 0) for fault in tables.get("faults", [])]
    last_end_s = max(fault_ends_s, default=0.0)
    for shorter_s in (length_s / 2, last_end_s + AFTER_LAST_FAULT_S):
        if MIN_LENGTH_S <= shorter_s < length_s * SHORTER_FRACTION:
            yield _with(tables, "day", {**tables["day"], "length_s": round(shorter_s, 1)})


def _with_less_load(tables: Json) -> Iterator[Json]:
    rate_per_s = tables.get("traffic", {}).get("rate")
    if rate_per_s is not None and rate_per_s > MIN_RATE_PER_S:
        yield _with(tables, "traffic", {**tables["traffic"], "rate": round(rate_per_s / 2, 1)})


def _with_smaller_fleet(tables: Json) -> Iterator[Json]:
    fleet = tables.get("fleet", {})
    if fleet.get("routers", 0) > 1:
        yield _with(tables, "fleet", {**fleet, "routers": fleet["routers"] - 1})
    for number, kind in enumerate(fleet.get("nodes", [])):
        if kind["count"] > 1:
            kinds = copy.deepcopy(fleet["nodes"])
            kinds[number]["count"] -= 1
            yield _with(tables, "fleet", {**fleet, "nodes": kinds})


def _with_earlier_faults(tables: Json) -> Iterator[Json]:
    for number, fault in enumerate(tables.get("faults", [])):
        if fault["at_s"] > MIN_FAULT_AT_S:
            faults = copy.deepcopy(tables["faults"])
            faults[number]["at_s"] = round(fault["at_s"] / 2, 3)
            yield _with(tables, "faults", faults)
