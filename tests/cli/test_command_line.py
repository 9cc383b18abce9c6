"""The command line: what is loaded for a subcommand, exit codes, and where errors go."""

import subprocess
import sys
from pathlib import Path

import pytest

from rainhitch.cli import SUBCOMMANDS, exit_codes, run

ROOT = Path(__file__).parents[2]


@pytest.mark.parametrize("called", sorted(SUBCOMMANDS))
def test_only_the_called_subcommand_is_loaded(called: str) -> None:
    """The kit takes megabytes and needs libraries that an installation of the router lacks."""
    code = (
        "import sys\n"
        "from rainhitch.cli import run\n"
        "try:\n"
        f"    run([{called!r}, '--help'])\n"
        "finally:\n"
        "    print(*sys.modules, file=sys.stderr)\n"
    )
    ended = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60, check=True
    )
    loaded = set(ended.stderr.split())
    modules = {name: subcommand.module for name, subcommand in SUBCOMMANDS.items()}
    assert modules.pop(called) in loaded
    assert not loaded & set(modules.values())
    assert not [name for name in loaded if name.startswith(("rainhitch.rehearsal", "rainhitch.node", "rich"))]


@pytest.mark.parametrize(
    "arguments",
    [
        ["rehearse"],
        ["rehearse", "lunch", "--repeat", "0"],
        ["rehearse", "lunch", "--trace", "x"],
        ["rehearse", "--virtual", "lunch", "--chop", "2"],
        ["explore"],
        ["explore", "--days", "1", "--jobs", "0"],
        ["fleet", "status", "nowhere"],
        ["logs", "sum", "no-such-folder"],
        ["plan", "--from", "no-such-file"],
        ["members", "--operator", "no-such-file", "list"],
    ],
)
def test_bad_input_is_one_line_on_standard_error(
    arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Scripts rely on the exit code, people on the line."""
    assert run(arguments) == exit_codes.BAD_INPUT
    output = capsys.readouterr()
    assert output.out == ""
    assert output.err.startswith("rainhitch: ") and output.err.count("\n") == 1
