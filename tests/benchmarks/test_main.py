"""`python -m benchmarks`: the list names every benchmark, and each can be started by both of its names."""

import importlib
import subprocess
import sys
from pathlib import Path

import pytest

import benchmarks
from benchmarks.__main__ import BENCHMARKS, OLD_NAMES, main

# Modules of the package that are no benchmarks.
SHARED = {"__init__", "__main__", "rig"}


def test_the_list_names_every_benchmark(capsys: pytest.CaptureFixture[str]) -> None:
    modules = {path.stem for path in Path(next(iter(benchmarks.__path__))).glob("*.py")}
    assert set(BENCHMARKS) == modules - SHARED - set(OLD_NAMES)
    assert main([]) == 0
    listing = capsys.readouterr().out
    assert all(name in listing and measures in listing for name, measures in BENCHMARKS.items())


@pytest.mark.parametrize("name", [*BENCHMARKS, *OLD_NAMES])
def test_each_benchmark_shows_its_options(name: str, capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        main([name, "--help"])
    assert ended.value.code == 0
    module = importlib.import_module(f"benchmarks.{OLD_NAMES.get(name, name)}")
    assert module.__doc__ is not None and module.__doc__.splitlines()[0] in capsys.readouterr().out


@pytest.mark.parametrize("name", [*BENCHMARKS, *OLD_NAMES])
def test_each_benchmark_is_a_program_of_its_own(name: str) -> None:
    done = subprocess.run(
        [sys.executable, "-m", f"benchmarks.{name}", "--help"], capture_output=True, text=True, timeout=60
    )
    assert done.returncode == 0 and "usage:" in done.stdout, done.stderr


def test_an_unknown_benchmark_is_bad_input(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["nothing"]) == 2
    assert "no benchmark 'nothing'" in capsys.readouterr().err
