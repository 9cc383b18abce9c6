"""Reads TOML tables strictly into dataclasses: one line for each key that is unknown, of a wrong type or
out of range, with the key, its value and what is allowed; and gives a JSON Schema for editors.

A table is a dataclass whose fields are made by `number`, `whole`, `flag`, `text`, `texts`, `pair`, `table`
and `tables`; each states its default, its bounds and what it is for. pydantic does the checking, by a model
that is made from these once; what comes out is the dataclass, which needs none of it.
"""

import dataclasses
import string
import tomllib
from collections.abc import Callable, Mapping
from functools import cache
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationError,
    create_model,
)

T = TypeVar("T")
REQUIRED: Any = dataclasses.MISSING
BARE = frozenset(string.ascii_letters + string.digits + "_-")  # of a key that needs no quotes


class TableError(ValueError):
    """A file of tables that can't be taken; `lines` holds one problem each."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


def _field(form: Any, allowed: str, default: Any, doc: str) -> Any:
    """A field of a table; `form` is what pydantic takes it for."""
    told = {"form": form, "allowed": allowed, "doc": doc}
    if isinstance(default, list):
        return dataclasses.field(default_factory=lambda: list(default), metadata=told)
    if default is dataclasses.MISSING:
        return dataclasses.field(metadata=told)
    return dataclasses.field(default=default, metadata=told)


def _bounded(kind: type, low: float, high: float) -> Any:
    if kind is float:
        return Annotated[float, Field(strict=True, ge=low, le=high, allow_inf_nan=False)]
    return Annotated[int, Field(strict=True, ge=low, le=high)]


def number(default: Any, low: float, high: float, doc: str) -> Any:
    """A number in [low, high]."""
    return _field(_bounded(float, low, high), f"a number from {low:g} to {high:g}", default, doc)


def whole(default: Any, low: int, high: int, doc: str) -> Any:
    """A whole number in [low, high]."""
    return _field(_bounded(int, low, high), f"a whole number from {low} to {high}", default, doc)


def flag(default: bool, doc: str) -> Any:
    return _field(Annotated[bool, Field(strict=True)], "true or false", default, doc)


def text(default: Any, doc: str, choices: tuple[str, ...] = ()) -> Any:
    """A text, one of the choices where there are any."""
    form: Any = Literal[choices] if choices else Annotated[str, Field(strict=True)]
    return _field(form, "one of " + ", ".join(choices) if choices else "a text", default, doc)


def _different(value: list[str]) -> list[str]:
    if len(set(value)) < len(value):
        raise ValueError("not all different")
    return value


def texts(default: list[str], doc: str) -> Any:
    """A list of different texts, at least one."""
    one = Annotated[str, Field(strict=True, min_length=1)]
    form = Annotated[list[one], Field(strict=True, min_length=1), AfterValidator(_different)]
    return _field(form, "a list of different texts", default, doc)


def numbers(default: list[int], low: int, high: int, doc: str) -> Any:
    """A list of whole numbers; each may be named twice."""
    within = Annotated[int, Field(ge=low, le=high, strict=True)]
    return _field(list[within], f"a list of whole numbers from {low} to {high}", default, doc)


def _both_ends(value: object) -> object:
    return tuple(value) if isinstance(value, list) else (value, value)


def _in_order(value: tuple[float, float]) -> tuple[float, float]:
    if value[0] > value[1]:
        raise ValueError("the second is less than the first")
    return value


def pair(default: tuple[float, float], low: float, high: float, doc: str) -> Any:
    """A range [a, b] with low <= a <= b <= high; one number stands for both ends."""
    end = _bounded(float, low, high)
    form = Annotated[tuple[end, end], BeforeValidator(_both_ends), AfterValidator(_in_order)]  # type: ignore[valid-type]
    return _field(form, f"a number or a range [a, b] from {low:g} to {high:g}", default, doc)


def table(kind: type, doc: str) -> Any:
    """A table of its own."""
    return dataclasses.field(default_factory=kind, metadata={"table": kind, "doc": doc})


def tables(kind: type, doc: str, default: Callable[[], list[Any]] = list) -> Any:
    """An array of tables."""
    return dataclasses.field(default_factory=default, metadata={"tables": kind, "doc": doc})


@cache
def model(kind: Any) -> type[BaseModel]:
    """The pydantic model of a table."""
    fields: dict[str, Any] = {}
    for one in dataclasses.fields(kind):
        told = one.metadata
        form: Any = told.get("form")
        if "table" in told:
            form = model(told["table"])
        elif "tables" in told:
            form = Annotated[list[model(told["tables"])], Field(strict=True)]  # type: ignore[misc]
        if one.default is not dataclasses.MISSING:
            about = Field(one.default, description=told["doc"])
        elif one.default_factory is not dataclasses.MISSING:
            about = Field(default_factory=one.default_factory, description=told["doc"])
        else:
            about = Field(description=told["doc"])
        fields[one.name] = (form, about)
    made: type[BaseModel] = create_model(kind.__name__, __config__=ConfigDict(extra="forbid"), **fields)
    return made


def schema(kind: type) -> dict[str, Any]:
    """The JSON Schema of a file of this kind."""
    return model(kind).model_json_schema()


def read(kind: type[T], source: Mapping[str, object], where: str, problems: list[str]) -> T | None:
    """Reads a table; what is wrong with it is added to the problems, and then there is no value."""
    try:
        told = model(kind).model_validate(dict(source))  # type: ignore[arg-type]
    except ValidationError as problem:
        lines = [_line(kind, source, one["type"], one["loc"]) for one in problem.errors(include_url=False)]
        problems += [f"{where}: {line}" for line in dict.fromkeys(lines)]
        return None
    return _made(kind, told)


def _made(kind: type[T], told: Any) -> T:
    """The dataclass of what pydantic has read. Defaults are dataclasses already."""
    values: dict[str, Any] = {}
    for one in dataclasses.fields(kind):  # type: ignore[arg-type]
        value = getattr(told, one.name)
        if "table" in one.metadata and isinstance(value, BaseModel):
            value = _made(one.metadata["table"], value)
        elif "tables" in one.metadata:
            of = one.metadata["tables"]
            value = [_made(of, row) if isinstance(row, BaseModel) else row for row in value]
        values[one.name] = value
    return kind(**values)


def _line(kind: Any, source: Any, what: str, place: tuple[int | str, ...]) -> str:
    """One problem in a line: where it is, what stands there, what may."""
    path, value, allowed = "", source, "a table"
    for step in place:
        if isinstance(step, int):
            path, value, allowed = f"{path}[{step}]", value[step], "a table"
            continue
        known = {one.name: one for one in dataclasses.fields(kind)}
        path += ("." if path else "") + (_shown(step) if set(step) - BARE else step)
        field = known.get(step)
        if field is None:
            return f"{path} = {_shown(value[step])}: no such key; allowed: {', '.join(known)}"
        told = field.metadata
        if what == "missing" and step not in value:
            return f"{path} is missing: allowed is {told.get('allowed', 'a table')}"
        value, allowed = value[step], told.get("allowed", "a table" if "table" in told else "tables")
        kind = told.get("table") or told.get("tables")
        if kind is None:
            break  # what is wrong within a value is wrong with the value
    verb = "allowed are" if allowed == "tables" else "allowed is"
    return f"{path} = {_shown(value)}: {verb} {allowed}"


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
