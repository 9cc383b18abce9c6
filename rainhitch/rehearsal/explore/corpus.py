"""Days kept as scenario files, each with its seed in the first line, so that they can be played forever."""

import re
import tomllib
from pathlib import Path
from typing import Any

import tomli_w

from rainhitch.rehearsal.explore.findings import Case, Result, case
from rainhitch.rehearsal.scenario import scenario_of
from rainhitch.toml_schema import TableError

Json = dict[str, Any]


class CorpusError(ValueError):
    """A file that is no case; one line says why."""


def name_of(kind: str) -> str:
    """A file's name for a kind of finding."""
    words = re.findall(r"[a-z]+", kind.lower())
    return "-".join(words[:6]) or "finding"


def read(path: Path) -> Case:
    """A case that was kept; raises CorpusError."""
    try:
        text = path.read_text(encoding="utf-8")
        source = tomllib.loads(text)
        scenario_of(source, path.name)
    except (OSError, UnicodeDecodeError) as problem:
        raise CorpusError(f"{path}: {getattr(problem, 'strerror', None) or 'no UTF-8'}") from None
    except tomllib.TOMLDecodeError as problem:
        raise CorpusError(f"{path}: no TOML: {' '.join(str(problem).split())}") from None
    except TableError as problem:
        raise CorpusError(f"{path}: {problem.lines[0]}") from None
    told = re.match(r"# seed (\d+)\b", text)
    if told is None:
        raise CorpusError(f"{path}: the first line is not `# seed N`")
    return case(source, int(told[1]))


def read_all(folder: Path) -> list[Case]:
    """All cases of a folder, by name; raises CorpusError."""
    if not folder.is_dir():
        raise CorpusError(f"{folder}: no such folder")
    return [read(path) for path in sorted(folder.glob("*.toml"))]


def keep(folder: Path, result: Result) -> Path:
    """Writes a case, named by what it found first."""
    folder.mkdir(parents=True, exist_ok=True)
    kind = result.kinds[0] if result.kinds else "day"
    path = folder / f"{name_of(kind)}-{result.case.seed}.toml"
    lines = [f"# seed {result.case.seed}", *(f"# {' '.join(one.split())[:160]}" for one in result.detail[:4])]
    path.write_text("\n".join(lines) + "\n" + tomli_w.dumps(result.case.tables), encoding="utf-8")
    return path
