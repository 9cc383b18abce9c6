"""Test cases kept as scenario files, each with its seed in the first line, to be run for ever."""

import re
import tomllib
from pathlib import Path

import tomli_w

from rainhitch.errors import RainhitchError
from rainhitch.rehearsal.explore.case_runner import CaseResult, FuzzCase, fuzz_case
from rainhitch.rehearsal.scenario import scenario_of
from rainhitch.toml_schema import TableError

MAX_NAME_WORDS = 6
MAX_COMMENT_LINES = 4
MAX_COMMENT_LENGTH = 160
SEED_LINE = re.compile(r"# seed (\d+)\b")


class CorpusError(RainhitchError, ValueError):
    """A file that is no test case; one line says why."""


def file_stem(failure_kind: str) -> str:
    """The begin of a file's name for a kind of failure."""
    words = re.findall(r"[a-z]+", failure_kind.lower())
    return "-".join(words[:MAX_NAME_WORDS]) or "finding"


def read(path: Path) -> FuzzCase:
    """Reads a test case; raises CorpusError."""
    try:
        text = path.read_text(encoding="utf-8")
        tables = tomllib.loads(text)
        scenario_of(tables, path.name)
    except (OSError, UnicodeDecodeError) as problem:
        raise CorpusError(f"{path}: {getattr(problem, 'strerror', None) or 'no UTF-8'}") from None
    except tomllib.TOMLDecodeError as problem:
        raise CorpusError(f"{path}: no TOML: {' '.join(str(problem).split())}") from None
    except TableError as problem:
        raise CorpusError(f"{path}: {problem.lines[0]}") from None
    seed_line = SEED_LINE.match(text)
    if seed_line is None:
        raise CorpusError(f"{path}: the first line is not `# seed N`")
    return fuzz_case(tables, int(seed_line[1]))


def read_all(folder: Path) -> list[FuzzCase]:
    """Reads all test cases of a folder, by name; raises CorpusError."""
    if not folder.is_dir():
        raise CorpusError(f"{folder}: no such folder")
    return [read(path) for path in sorted(folder.glob("*.toml"))]


def keep(folder: Path, result: CaseResult) -> Path:
    """Writes a test case, named by its first failure; gives the file's path."""
    folder.mkdir(parents=True, exist_ok=True)
    kind = result.failure_kinds[0] if result.failure_kinds else "day"
    path = folder / f"{file_stem(kind)}-{result.case.seed}.toml"
    details = [" ".join(detail.split()) for detail in result.details[:MAX_COMMENT_LINES]]
    comments = [f"# {detail[:MAX_COMMENT_LENGTH]}" for detail in details]
    lines = [f"# seed {result.case.seed}", *comments]
    path.write_text("\n".join(lines) + "\n" + tomli_w.dumps(result.case.tables), encoding="utf-8")
    return path
