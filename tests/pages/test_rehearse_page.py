"""The operators' page on rehearsals names each kind of fault, with the keys that it takes."""

import re
from pathlib import Path

from rainhitch.rehearsal.faults import KINDS

PAGE = Path(__file__).parents[2] / "docs" / "operate" / "rehearse.md"


def fault_rows() -> list[tuple[list[str], set[str]]]:
    """The kinds and the keys that each row of the page's table of faults names."""
    table = PAGE.read_text().partition("| fault | needs |")[2].partition("\n\n")[0]
    rows = [line.split("|")[1:3] for line in table.splitlines()[2:]]
    return [(re.findall("`(.+?)`", kinds), set(re.findall("`(.+?)`", keys))) for kinds, keys in rows]


def test_each_kind_of_fault_has_one_place_in_the_table_and_no_other_is_there() -> None:
    """Four kinds stood on no page, so that who writes a scenario found them in the source alone."""
    named = [kind for kinds, _ in fault_rows() for kind in kinds]
    assert sorted(named) == sorted(KINDS)


def test_the_table_names_the_keys_of_each_kind_of_fault() -> None:
    for kinds, keys in fault_rows():
        assert keys == {key for kind in kinds for key in KINDS[kind]}, kinds
