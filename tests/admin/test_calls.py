"""The line protocol of the second address, the figures and the cordons, without sockets."""

import os
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rainhitch.admin.commands import ALONE, WITH_ID, CommandRejectedError, answer
from rainhitch.admin.cordons import Cordons, freeze, thaw
from rainhitch.admin.upgrade_peers import UpgradePeers
from rainhitch.telemetry.router_metrics import RouterMetrics


class Scripted:
    """Hands that note what was asked, and refuse what they are told to."""

    def __init__(self, refuses: str = "") -> None:
        self.asked: list[tuple[str, ...]] = []
        self.refuses = refuses

    def _do(self, *what: str) -> str:
        self.asked.append(what)
        if what[0] == self.refuses:
            raise CommandRejectedError("not now")
        return "done"

    def health(self) -> str:
        return self._do("health")

    def metrics(self) -> list[str]:
        return ["app.active:1|g", "app.tries:2|c"]

    def cordon(self, server: str) -> str:
        return self._do("cordon", server)

    def uncordon(self, server: str) -> str:
        return self._do("uncordon", server)

    def quiesce(self) -> str:
        return self._do("quiesce")

    def resume(self) -> str:
        return self._do("resume")

    def routers(self) -> str:
        return self._do("routers")


@pytest.mark.parametrize("line", ["health", "quiesce", "resume", "routers", "cordon s-1", "uncordon s-1"])
def test_each_call_reaches_the_hands_and_its_yes_or_no_comes_back(line: str) -> None:
    hands = Scripted()
    assert answer(f" {line}\r".encode(), hands) == b"OK done\n"
    assert hands.asked == [tuple(line.split())]
    assert answer(line.encode(), Scripted(line.split()[0])) == b"ERR not now\n"


def test_the_figures_end_with_a_line_of_their_own() -> None:
    assert answer(b"counters", Scripted()) == b"app.active:1|g\napp.tries:2|c\nEND\n"


@pytest.mark.parametrize(
    "line", [b"", b"cordon", b"cordon a b", b"health now", b"reload", b"HEALTH", b"\xff\xfe", b"__init__"]
)
def test_what_is_no_call_gets_a_no_and_does_nothing(line: bytes) -> None:
    hands = Scripted()
    told = answer(line, hands)
    assert told.startswith(b"ERR ") and told.endswith(b"\n") and not hands.asked


@given(st.binary(max_size=64))
def test_any_line_gets_one_answer_of_the_form(line: bytes) -> None:
    told = answer(line, Scripted())
    assert told.startswith((b"OK", b"ERR ")) or line.split() == [b"counters"]
    assert told.endswith(b"\n") and (told.count(b"\n") == 1 or line.split() == [b"counters"])


def test_every_call_of_the_page_is_there() -> None:
    assert {*ALONE, *WITH_ID} == {"health", "counters", "cordon", "uncordon", "quiesce", "resume", "routers"}


def test_figures_are_told_by_class_with_their_kind() -> None:
    tally = RouterMetrics(["menu-read", "order-place"])
    tally.served[0], tally.rejected[1], tally.failed[1], tally.in_flight = 812, 3, 2, 14
    told = tally.lines(900, 9, 1)
    assert "app.responses.menu-read.ok:812|c" in told and "app.responses.menu-read.shed:0|c" in told
    assert "app.responses.order-place.shed:3|c" in told and "app.responses.order-place.errors:2|c" in told
    assert {"app.active:14|g", "app.tries:900|c", "app.pool_size:9|g", "app.pool_ejected:1|g"} <= set(told)


def followed(folder: Path | None) -> tuple[Cordons, list[tuple[set[str], set[str]]]]:
    seen: list[tuple[set[str], set[str]]] = []
    return Cordons(str(folder) if folder else None, "r", lambda out, back: seen.append((out, back))), seen


def test_a_cordon_twice_is_undone_by_one_call() -> None:
    cordons, seen = followed(None)
    cordons.put("s", True)
    cordons.put("s", True)
    cordons.put("s", False)
    assert seen == [({"s"}, set()), (set(), {"s"})] and not cordons.out


def test_two_processes_keep_one_set(tmp_path: Path) -> None:
    (old, _), (new, seen) = followed(tmp_path), followed(tmp_path)
    old.put("s", True)
    new.look()
    assert new.out == {"s"} and seen == [({"s"}, set())]
    new.put("t", True)
    old.put("s", False)  # looks first, so that it forgets nothing of the other's
    new.look()
    assert old.out == new.out == {"t"}
    assert sorted(os.listdir(tmp_path)) == ["rainhitch-r.cordons"]


def test_what_can_not_be_written_is_not_said_to_be_done(tmp_path: Path) -> None:
    cordons, seen = followed(tmp_path / "gone")
    with pytest.raises(OSError, match="No such file"):
        cordons.put("s", True)
    assert not cordons.out and not seen


@pytest.mark.parametrize("text", [b"", b"{}", b"[1]", b'{"cordoned": [1]}', b'{"cordoned": "s"}', b"\xff"])
def test_a_file_that_makes_no_sense_changes_nothing(tmp_path: Path, text: bytes) -> None:
    cordons, _ = followed(tmp_path)
    cordons.put("s", True)
    (tmp_path / "rainhitch-r.cordons").write_bytes(text)
    cordons.look()
    assert cordons.out == {"s"}


@given(st.sets(st.text(min_size=1)))
def test_what_is_frozen_thaws(names: set[str]) -> None:
    assert thaw(freeze(names)) == names


def test_a_process_that_ended_without_a_word_counts_for_nothing(tmp_path: Path) -> None:
    siblings = UpgradePeers(str(tmp_path), "r")
    siblings.enter()
    assert siblings.count == 1
    (tmp_path / f"rainhitch-r.process.{os.getppid()}").touch()
    (tmp_path / "rainhitch-r.process.4194304").touch()  # above any process number
    (tmp_path / f"rainhitch-other.process.{os.getppid()}").touch()
    assert siblings.look() == 2
    siblings.leave()
    assert not (tmp_path / f"rainhitch-r.process.{os.getpid()}").exists()
