"""Cordons and their file, which two processes of one router share."""

import os
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rainhitch.admin.cordons import Cordons, decode_cordons, encode_cordons


def followed(folder: Path | None) -> tuple[Cordons, list[tuple[set[str], set[str]]]]:
    """Cordons in a folder, and the changes that they have reported."""
    seen: list[tuple[set[str], set[str]]] = []
    return Cordons(str(folder) if folder else None, "r", lambda out, back: seen.append((out, back))), seen


def test_a_server_cordoned_twice_is_uncordoned_by_one_call() -> None:
    cordons, seen = followed(None)
    cordons.cordon("s")
    cordons.cordon("s")
    cordons.uncordon("s")
    assert seen == [({"s"}, set()), (set(), {"s"})] and not cordons.servers


def test_two_processes_keep_one_set(tmp_path: Path) -> None:
    (old, _), (new, seen) = followed(tmp_path), followed(tmp_path)
    old.cordon("s")
    new.reload()
    assert new.servers == {"s"} and seen == [({"s"}, set())]
    new.cordon("t")
    old.uncordon("s")  # looks first, so that it forgets nothing of the other's
    new.reload()
    assert old.servers == new.servers == {"t"}
    assert sorted(os.listdir(tmp_path)) == ["rainhitch-r.cordons"]


def test_a_cordon_that_cannot_be_written_is_not_confirmed(tmp_path: Path) -> None:
    """A cordon that is not on disk would be gone after a restart: the operator must not see an OK."""
    cordons, seen = followed(tmp_path / "gone")
    with pytest.raises(OSError, match="No such file"):
        cordons.cordon("s")
    assert not cordons.servers and not seen


@pytest.mark.parametrize("text", [b"", b"{}", b"[1]", b'{"cordoned": [1]}', b'{"cordoned": "s"}', b"\xff"])
def test_an_unreadable_file_changes_nothing(tmp_path: Path, text: bytes) -> None:
    """A damaged file must not put servers back in use that an operator has cordoned."""
    cordons, _ = followed(tmp_path)
    cordons.cordon("s")
    (tmp_path / "rainhitch-r.cordons").write_bytes(text)
    cordons.reload()
    assert cordons.servers == {"s"}


@given(st.sets(st.text(min_size=1)))
def test_encoded_cordons_decode_to_the_same_set(names: set[str]) -> None:
    assert decode_cordons(encode_cordons(names)) == names
