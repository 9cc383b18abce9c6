"""The files by which the processes of one router share the ids that they have executed."""

import os
from pathlib import Path

from rainhitch.admin.shared_ids import SharedIds
from rainhitch.node.executed_ids import REMEMBERED_NS, ExecutedIds

OTHER = 4_194_304  # above any process number
SECOND = 1_000_000_000


def publish_as(folder: Path, process: int, request_id: bytes) -> None:
    """Leaves the file of another process, which has recorded an id."""
    ids = ExecutedIds()
    ids.add(SECOND, request_id)
    SharedIds(str(folder), "r", ids).publish()
    own = folder / f"rainhitch-r.ids.{os.getpid()}"
    own.rename(folder / f"rainhitch-r.ids.{process}")


def test_ids_of_a_process_that_has_ended_are_remembered_for_a_time(tmp_path: Path) -> None:
    publish_as(tmp_path, OTHER, b"i1")
    ids = ExecutedIds()
    shared = SharedIds(str(tmp_path), "r", ids)
    shared.read_from({OTHER}, SECOND)
    shared.read_from(set(), 2 * SECOND)
    assert ids.contains(2 * SECOND, b"i1")
    shared.read_from(set(), 2 * SECOND + REMEMBERED_NS)
    assert not ids.other_tables


def test_a_new_process_with_the_number_of_one_that_has_ended_is_not_taken_for_it(tmp_path: Path) -> None:
    """The table of the old process was read on in place of the new one's."""
    publish_as(tmp_path, OTHER, b"old")
    ids = ExecutedIds()
    shared = SharedIds(str(tmp_path), "r", ids)
    shared.read_from({OTHER}, SECOND)
    shared.read_from(set(), SECOND)
    publish_as(tmp_path, OTHER, b"new")
    shared.read_from({OTHER}, SECOND)
    assert ids.contains(SECOND, b"new")
    shared.read_from({OTHER}, SECOND + REMEMBERED_NS)
    assert len(ids.other_tables) == 1


def test_files_of_processes_that_were_killed_are_removed(tmp_path: Path) -> None:
    """A killed process leaves its file, which counts as memory."""
    for process in (OTHER, OTHER + 1):
        publish_as(tmp_path, process, b"i1")
    (tmp_path / "rainhitch-other.ids.1").touch()
    shared = SharedIds(str(tmp_path), "r", ExecutedIds())
    shared.publish()
    shared.remove_files_except({OTHER})
    kept = {f"rainhitch-r.ids.{process}" for process in (OTHER, os.getpid())} | {"rainhitch-other.ids.1"}
    assert {path.name for path in tmp_path.iterdir()} == kept
    shared.withdraw()
    assert not (tmp_path / f"rainhitch-r.ids.{os.getpid()}").exists()


def test_a_folder_that_cannot_be_written_leaves_the_ids_to_their_process(tmp_path: Path) -> None:
    ids = ExecutedIds()
    SharedIds(str(tmp_path / "none"), "r", ids).publish()
    assert not ids.is_shared
    ids.add(SECOND, b"i1")
    assert ids.contains(SECOND, b"i1")
