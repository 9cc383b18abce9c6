"""The mutants of benchmarks/mutants.py name lines of the package: each of them has to be there."""

from pathlib import Path

import pytest

import rainhitch
from benchmarks.mutants import MUTANTS


@pytest.mark.parametrize("name", MUTANTS)
def test_each_mutant_still_applies_and_is_still_python(name: str) -> None:
    """A renamed line once left a mutant that no longer applied, and the table said so in a cell only."""
    mutant = MUTANTS[name]
    text = (Path(rainhitch.__file__).parent / mutant.file).read_text()
    assert text.count(mutant.old) == 1, mutant.old
    compile(mutant.apply(text), mutant.file, "exec")
