"""Strict reading of TOML tables into dataclasses.

Each key that is unknown, missing, of a wrong type or out of range is reported in one line, with the key, its
value and what is allowed. A JSON Schema for editors is made from the same definitions.

A table is a dataclass whose fields are made by `number`, `whole`, `flag`, `text`, `texts`, `numbers`,
`pair`, `table` and `tables`; each states its default, its bounds and its description. pydantic checks the
values with a model that is made once from these definitions. The result is the dataclass, which does not
depend on pydantic.
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

from rainhitch.errors import RainhitchError

T = TypeVar("T")
REQUIRED: Any = dataclasses.MISSING  # default of a key that must be present
# Characters of a TOML key that needs no quotes.
BARE_KEY_CHARACTERS = frozenset(string.ascii_letters + string.digits + "_-")
MAX_SHOWN_LENGTH = 60  # maximum number of characters of a value in a reported line
SPEC = "spec"  # key of the FieldSpec in a dataclass field's metadata


class TableError(RainhitchError, ValueError):
    """A TOML file that cannot be read or has invalid keys; `lines` has one line for each problem."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


class DisallowedValueError(RainhitchError, ValueError):
    """A value of the right type that is not allowed. pydantic catches it and reports the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class FieldSpec:
    """The type, bounds and description of a table's field."""

    doc: str
    pydantic_type: Any = None  # type that pydantic checks; None for tables
    allowed: str = ""  # description of the allowed values, for reported lines
    table: type | None = None  # dataclass of the field's table, or of each table in its array
    is_array: bool = False  # whether the field is an array of tables

    def allowed_text(self) -> str:
        """Returns a description of the allowed values."""
        if self.table is None:
            return self.allowed
        return "tables" if self.is_array else "a table"


def _spec_of(field: "dataclasses.Field[Any]") -> FieldSpec:
    spec: FieldSpec = field.metadata[SPEC]
    return spec


def _field(pydantic_type: Any, allowed: str, default: Any, doc: str) -> Any:
    """Returns a dataclass field; `pydantic_type` is the type that pydantic checks."""
    metadata = {SPEC: FieldSpec(doc, pydantic_type, allowed)}
    if isinstance(default, list):
        return dataclasses.field(default_factory=lambda: list(default), metadata=metadata)
    if default is dataclasses.MISSING:
        return dataclasses.field(metadata=metadata)
    return dataclasses.field(default=default, metadata=metadata)


def _bounded(kind: type, low: float, high: float) -> Any:
    if kind is float:
        return Annotated[float, Field(strict=True, ge=low, le=high, allow_inf_nan=False)]
    return Annotated[int, Field(strict=True, ge=low, le=high)]


def number(default: Any, low: float, high: float, doc: str) -> Any:
    """Returns a field for a number in [low, high]."""
    return _field(_bounded(float, low, high), f"a number from {low:g} to {high:g}", default, doc)


def whole(default: Any, low: int, high: int, doc: str) -> Any:
    """Returns a field for an integer in [low, high]."""
    return _field(_bounded(int, low, high), f"a whole number from {low} to {high}", default, doc)


def flag(default: bool, doc: str) -> Any:
    """Returns a field for true or false."""
    return _field(Annotated[bool, Field(strict=True)], "true or false", default, doc)


def text(default: Any, doc: str, choices: tuple[str, ...] = ()) -> Any:
    """Returns a field for a string; where there are choices, for one of them."""
    if choices:
        return _field(Literal[choices], "one of " + ", ".join(choices), default, doc)
    return _field(Annotated[str, Field(strict=True)], "a text", default, doc)


def _check_unique(value: list[str]) -> list[str]:
    if len(set(value)) < len(value):
        raise DisallowedValueError("expected unique values")
    return value


def texts(default: list[str], doc: str) -> Any:
    """Returns a field for a non-empty list of unique, non-empty strings."""
    item = Annotated[str, Field(strict=True, min_length=1)]
    pydantic_type = Annotated[list[item], Field(strict=True, min_length=1), AfterValidator(_check_unique)]
    return _field(pydantic_type, "a list of different texts", default, doc)


def numbers(default: list[int], low: int, high: int, doc: str) -> Any:
    """Returns a field for a list of integers in [low, high], which may repeat."""
    within = Annotated[int, Field(ge=low, le=high, strict=True)]
    return _field(list[within], f"a list of whole numbers from {low} to {high}", default, doc)


def _range_of(value: object) -> object:
    """Returns a range for pydantic to check; a single number stands for both ends."""
    return tuple(value) if isinstance(value, list) else (value, value)


def _check_order(value: tuple[float, float]) -> tuple[float, float]:
    if value[0] > value[1]:
        raise DisallowedValueError("expected the second number to be no less than the first")
    return value


def pair(default: tuple[float, float], low: float, high: float, doc: str) -> Any:
    """Returns a field for a range [a, b] with low <= a <= b <= high; a single number is both ends."""
    end = _bounded(float, low, high)
    pydantic_type = Annotated[tuple[end, end], BeforeValidator(_range_of), AfterValidator(_check_order)]  # type: ignore[valid-type]
    return _field(pydantic_type, f"a number or a range [a, b] from {low:g} to {high:g}", default, doc)


def table(kind: type, doc: str) -> Any:
    """Returns a field for a table."""
    return dataclasses.field(default_factory=kind, metadata={SPEC: FieldSpec(doc, table=kind)})


def tables(kind: type, doc: str, default: Callable[[], list[Any]] = list) -> Any:
    """Returns a field for an array of tables."""
    spec = FieldSpec(doc, table=kind, is_array=True)
    return dataclasses.field(default_factory=default, metadata={SPEC: spec})


@cache
def model(kind: Any) -> type[BaseModel]:
    """Returns the pydantic model of a table."""
    fields = {
        field.name: (_pydantic_type(_spec_of(field)), _model_field(field))
        for field in dataclasses.fields(kind)
    }
    definitions: dict[str, Any] = fields
    config = ConfigDict(extra="forbid")
    table_model: type[BaseModel] = create_model(kind.__name__, __config__=config, **definitions)
    return table_model


def _pydantic_type(spec: FieldSpec) -> Any:
    """Returns the type that pydantic checks."""
    if spec.table is None:
        return spec.pydantic_type
    row = model(spec.table)
    return Annotated[list[row], Field(strict=True)] if spec.is_array else row  # type: ignore[valid-type]


def _model_field(field: "dataclasses.Field[Any]") -> Any:
    """Returns a pydantic field with the default and the description of a dataclass field."""
    doc = _spec_of(field).doc
    if field.default is not dataclasses.MISSING:
        return Field(field.default, description=doc)
    if field.default_factory is not dataclasses.MISSING:
        return Field(default_factory=field.default_factory, description=doc)
    return Field(description=doc)


def schema(kind: type) -> dict[str, Any]:
    """Returns the JSON Schema of a file whose tables are the fields of this dataclass."""
    return model(kind).model_json_schema()


def read(kind: type[T], source: Mapping[str, object], source_name: str, problems: list[str]) -> T | None:
    """Returns the dataclass of a table; None and lines in `problems` where it is invalid.

    Each line begins with `source_name`, such as the file's name.
    """
    try:
        checked = model(kind).model_validate(dict(source))  # type: ignore[arg-type]
    except ValidationError as problem:
        errors = problem.errors(include_url=False)
        lines = [_problem_line(kind, source, error["loc"], error["type"] == "missing") for error in errors]
        problems += [f"{source_name}: {line}" for line in dict.fromkeys(lines)]
        return None
    return _dataclass(kind, checked)


def _dataclass(kind: type[T], checked: Any) -> T:
    """Returns a dataclass with the values that pydantic has read; defaults are dataclasses already."""
    values: dict[str, Any] = {}
    for field in dataclasses.fields(kind):  # type: ignore[arg-type]
        value = getattr(checked, field.name)
        spec = _spec_of(field)
        if spec.table is not None:
            value = _tables(spec.table, value) if spec.is_array else _table(spec.table, value)
        values[field.name] = value
    return kind(**values)


def _table(kind: type, value: Any) -> Any:
    return _dataclass(kind, value) if isinstance(value, BaseModel) else value


def _tables(kind: type, rows: list[Any]) -> list[Any]:
    return [_table(kind, row) for row in rows]


def _problem_line(kind: Any, source: Any, location: tuple[int | str, ...], is_missing: bool) -> str:
    """Returns a line with a key's path, its value and what is allowed.

    `location` is pydantic's `loc`: keys and indexes from the outermost table inwards.
    """
    path = ""
    value = source
    allowed = "a table"
    for step in location:
        if isinstance(step, int):
            path += f"[{step}]"
            value = value[step]
            allowed = "a table"
            continue
        specs = {field.name: _spec_of(field) for field in dataclasses.fields(kind)}
        path = f"{path}.{_toml_key(step)}" if path else _toml_key(step)
        spec = specs.get(step)
        if spec is None:
            return f"{path} = {_short_repr(value[step])}: no such key; allowed: {', '.join(specs)}"
        if is_missing and step not in value:
            return f"{path} is missing: allowed is {spec.allowed or 'a table'}"
        value = value[step]
        allowed = spec.allowed_text()
        kind = spec.table
        if kind is None:
            break  # a problem inside a value is reported for the whole value
    verb = "allowed are" if allowed == "tables" else "allowed is"
    return f"{path} = {_short_repr(value)}: {verb} {allowed}"


def _toml_key(name: str) -> str:
    """Returns a key as TOML writes it, quoted where that is necessary."""
    return _short_repr(name) if set(name) - BARE_KEY_CHARACTERS else name


def _short_repr(value: object) -> str:
    """Returns a value as one line of at most `MAX_SHOWN_LENGTH` characters."""
    shown = " ".join(repr(value).split())
    return shown if len(shown) <= MAX_SHOWN_LENGTH else shown[: MAX_SHOWN_LENGTH - 3] + "..."


def load(path: Path) -> dict[str, Any]:
    """Returns the tables of a TOML file; raises TableError where it cannot be read or is not TOML."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as problem:
        reason = problem.strerror if isinstance(problem, OSError) else "not UTF-8"
        raise TableError([f"{path}: {reason}"]) from None
    except tomllib.TOMLDecodeError as problem:
        raise TableError([f"{path}: not TOML: {' '.join(str(problem).split())}"]) from None
