"""Reads TOML tables strictly into dataclasses: one line for each key that is unknown, of a wrong type or
out of range, with the key, its value and what is allowed.

A table is a dataclass whose fields are made by `number`, `whole`, `flag`, `text`, `texts`, `pair`, `table`
and `tables`; each states its default, its bounds and what it is for, so that pages can be made from it.
"""

import dataclasses
import string
import tomllib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, TypeVar

T = TypeVar("T")
Read = Callable[[object], Any]  # gives the value, or raises ValueError
REQUIRED: Any = dataclasses.MISSING
BARE = frozenset(string.ascii_letters + string.digits + "_-")  # of a key that needs no quotes


class TableError(ValueError):
    """A file of tables that can't be taken; `lines` holds one problem each."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


def _field(read: Read, allowed: str, default: Any, doc: str, **more: Any) -> Any:
    told = {"read": read, "allowed": allowed, "doc": doc, **more}
    if isinstance(default, list):
        return dataclasses.field(default_factory=lambda: list(default), metadata=told)
    if default is dataclasses.MISSING:
        return dataclasses.field(metadata=told)
    return dataclasses.field(default=default, metadata=told)


def _number(value: object, low: float, high: float) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool) or not low <= value <= high:
        raise ValueError
    return float(value)


def number(default: Any, low: float, high: float, doc: str) -> Any:
    """A number in [low, high]."""

    def read(value: object) -> float:
        return _number(value, low, high)

    return _field(read, f"a number from {low:g} to {high:g}", default, doc)


def whole(default: Any, low: int, high: int, doc: str) -> Any:
    """A whole number in [low, high]."""

    def read(value: object) -> int:
        if type(value) is not int or not low <= value <= high:
            raise ValueError
        return value

    return _field(read, f"a whole number from {low} to {high}", default, doc)


def flag(default: bool, doc: str) -> Any:
    def read(value: object) -> bool:
        if not isinstance(value, bool):
            raise ValueError
        return value

    return _field(read, "true or false", default, doc)


def text(default: Any, doc: str, choices: tuple[str, ...] = ()) -> Any:
    """A text, one of the choices where there are any."""

    def read(value: object) -> str:
        if not isinstance(value, str) or (choices and value not in choices):
            raise ValueError
        return value

    return _field(read, "one of " + ", ".join(choices) if choices else "a text", default, doc)


def texts(default: list[str], doc: str) -> Any:
    """A list of different texts, at least one."""

    def read(value: object) -> list[str]:
        good = isinstance(value, list) and value and all(isinstance(one, str) and one for one in value)
        if not isinstance(value, list) or not good or len(set(value)) < len(value):
            raise ValueError
        return value

    return _field(read, "a list of different texts", default, doc)


def pair(default: tuple[float, float], low: float, high: float, doc: str) -> Any:
    """A range [a, b] with low <= a <= b <= high; one number stands for both ends."""

    def read(value: object) -> tuple[float, float]:
        ends = value if isinstance(value, list) else [value, value]
        if len(ends) != 2:
            raise ValueError
        first, last = _number(ends[0], low, high), _number(ends[1], low, high)
        if first > last:
            raise ValueError
        return first, last

    return _field(read, f"a number or a range [a, b] from {low:g} to {high:g}", default, doc)


def table(kind: type, doc: str) -> Any:
    """A table of its own."""
    return dataclasses.field(default_factory=kind, metadata={"table": kind, "doc": doc})


def tables(kind: type, doc: str, default: Callable[[], list[Any]] = list) -> Any:
    """An array of tables."""
    return dataclasses.field(default_factory=default, metadata={"tables": kind, "doc": doc})


def read(
    kind: type[T], source: Mapping[str, object], where: str, problems: list[str], at: str = ""
) -> T | None:
    """Reads a table; what is wrong with it is added to the problems, and then there is no value."""
    values: dict[str, Any] = {}
    before = len(problems)
    known = {one.name: one for one in dataclasses.fields(kind)}  # type: ignore[arg-type]
    for key, value in source.items():
        name = key.replace("-", "_")
        field = known.get(name)
        path = f"{at}{_shown(key) if set(key) - BARE else key}"
        if field is None or name != key:
            problems.append(f"{where}: {path} = {_shown(value)}: no such key; allowed: {', '.join(known)}")
            continue
        told = field.metadata
        if "table" in told:
            if isinstance(value, dict):
                values[name] = read(told["table"], value, where, problems, f"{path}.")
            else:
                problems.append(f"{where}: {path} = {_shown(value)}: allowed is a table")
        elif "tables" in told:
            if isinstance(value, list) and all(isinstance(one, dict) for one in value):
                values[name] = [
                    read(told["tables"], one, where, problems, f"{path}[{n}].") for n, one in enumerate(value)
                ]
            else:
                problems.append(f"{where}: {path} = {_shown(value)}: allowed are tables")
        else:
            try:
                values[name] = told["read"](value)
            except ValueError:
                problems.append(f"{where}: {path} = {_shown(value)}: allowed is {told['allowed']}")
    for name, field in known.items():
        missing = field.default is dataclasses.MISSING and field.default_factory is dataclasses.MISSING
        if missing and name not in source:
            problems.append(f"{where}: {at}{name} is missing: allowed is {field.metadata['allowed']}")
    return kind(**values) if len(problems) == before else None


def _shown(value: object) -> str:
    """A value in one short line."""
    shown = " ".join(repr(value).split())
    return shown if len(shown) <= 60 else shown[:57] + "..."


def load(path: Path) -> dict[str, Any]:
    """The tables of a TOML file; a file that can't be read or is no TOML is a TableError of one line."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as problem:
        reason = problem.strerror if isinstance(problem, OSError) else "no UTF-8"
        raise TableError([f"{path}: {reason}"]) from None
    except tomllib.TOMLDecodeError as problem:
        raise TableError([f"{path}: no TOML: {' '.join(str(problem).split())}"]) from None
