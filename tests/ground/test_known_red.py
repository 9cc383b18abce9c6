"""The list of known failures is read strictly: nothing on it may be vague, shared or out of date."""

from pathlib import Path

import pytest
from known_red import LIST_NAME, KnownFailureError, read_known_failures

TEST = "tests/test_pool.py::test_reuse"
ENTRY = f"{TEST} | `python -m pytest` with that name, seed 3 | one of ten runs failed | 44"


@pytest.fixture
def root(tmp_path: Path) -> Path:
    """A repository with a test and a script."""
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests/test_pool.py").write_text("async def test_reuse() -> None:\n    ...\n")
    (tmp_path / "run.sh").write_text("exit 1\n")
    return tmp_path


def test_the_entries_have_their_fields_and_no_limit_on_their_number(root: Path) -> None:
    script = "run.sh | `sh run.sh`, no seed | it ended with 1 | 7"
    (root / LIST_NAME).write_text(f"{ENTRY}\n{script}\n")
    first, second = read_known_failures(root)
    assert (first.test, first.issue) == (TEST, 44)
    assert second.reason() == "`sh run.sh`, no seed: it ended with 1 (issue 7)"


def test_no_list_is_an_empty_list(root: Path) -> None:
    assert read_known_failures(root) == []


@pytest.mark.parametrize(
    "line",
    [
        "",
        "run.sh | it ended with 1 | 7",  # the form before, without command and seed
        "run.sh | `sh run.sh`, no seed |  | 7",
        "run.sh | sh run.sh, no seed | it ended with 1 | 7",
        "run.sh | `sh run.sh` | it ended with 1 | 7",
        "run.sh | `sh run.sh`, no seed | it ended with 1 | none",
        "run.sh | `sh run.sh`, no seed | it ended with 1 | 7, 8",
        "run.sh, gone.sh | `sh run.sh`, no seed | it ended with 1 | 7",
        "gone.sh | `sh gone.sh`, no seed | it ended with 1 | 7",
        ENTRY.replace("test_reuse", "test_gone"),
        ENTRY.replace("::test_reuse", ""),
    ],
)
def test_a_vague_shared_or_outdated_entry_is_an_error_that_names_its_line(root: Path, line: str) -> None:
    (root / LIST_NAME).write_text(f"{ENTRY}\n{line}\n")
    with pytest.raises(KnownFailureError, match="line 2: "):
        read_known_failures(root)


def test_a_test_has_one_entry(root: Path) -> None:
    (root / LIST_NAME).write_text(f"{ENTRY}\n{ENTRY}\n")
    with pytest.raises(KnownFailureError, match="has an entry already"):
        read_known_failures(root)
