"""How many processes of one router run."""

import os
from pathlib import Path

from rainhitch.admin.upgrade_peers import UpgradePeers


def test_the_file_of_a_process_that_was_killed_counts_for_nothing(tmp_path: Path) -> None:
    """A killed process leaves its file: the router would keep half of its limits for good."""
    processes = UpgradePeers(str(tmp_path), "r")
    processes.register()
    assert processes.count == 1
    (tmp_path / f"rainhitch-r.process.{os.getppid()}").touch()
    (tmp_path / "rainhitch-r.process.4194304").touch()  # above any process number
    (tmp_path / f"rainhitch-other.process.{os.getppid()}").touch()
    assert processes.recount() == 2
    processes.unregister()
    assert not (tmp_path / f"rainhitch-r.process.{os.getpid()}").exists()
