"""The line protocol of the operators' endpoint, without sockets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rainhitch.admin.commands import PLAIN_COMMANDS, SERVER_COMMANDS, answer
from rainhitch.admin.errors import CommandRejectedError


class Scripted:
    """Commands that note what was asked, and reject the one that they are set to."""

    def __init__(self, refuses: str = "") -> None:
        self.asked: list[tuple[str, ...]] = []
        self.refuses = refuses

    def _do(self, *what: str) -> str:
        self.asked.append(what)
        if what[0] == self.refuses:
            raise CommandRejectedError("not now")
        return "done"

    def health(self) -> str:
        """As `AdminCommands.health`; notes the call."""
        return self._do("health")

    def metrics(self) -> list[str]:
        """Two metrics."""
        return ["app.active:1|g", "app.tries:2|c"]

    def cordon(self, server: str) -> str:
        """As `AdminCommands.cordon`; notes the call."""
        return self._do("cordon", server)

    def uncordon(self, server: str) -> str:
        """As `AdminCommands.uncordon`; notes the call."""
        return self._do("uncordon", server)

    def quiesce(self) -> str:
        """As `AdminCommands.quiesce`; notes the call."""
        return self._do("quiesce")

    def resume(self) -> str:
        """As `AdminCommands.resume`; notes the call."""
        return self._do("resume")

    def routers(self) -> str:
        """As `AdminCommands.routers`; notes the call."""
        return self._do("routers")


@pytest.mark.parametrize("line", ["health", "quiesce", "resume", "routers", "cordon s-1", "uncordon s-1"])
def test_each_command_is_carried_out_and_its_ok_or_error_is_the_reply(line: str) -> None:
    hands = Scripted()
    assert answer(f" {line}\r".encode(), hands) == b"OK done\n"
    assert hands.asked == [tuple(line.split())]
    assert answer(line.encode(), Scripted(line.split()[0])) == b"ERR not now\n"


def test_the_metrics_end_with_a_line_of_their_own() -> None:
    assert answer(b"counters", Scripted()) == b"app.active:1|g\napp.tries:2|c\nEND\n"


@pytest.mark.parametrize(
    "line", [b"", b"cordon", b"cordon a b", b"health now", b"reload", b"HEALTH", b"\xff\xfe", b"__init__"]
)
def test_what_is_no_command_is_rejected_and_does_nothing(line: bytes) -> None:
    hands = Scripted()
    reply = answer(line, hands)
    assert reply.startswith(b"ERR ") and reply.endswith(b"\n") and not hands.asked


@given(st.binary(max_size=64))
def test_any_line_gets_one_reply_of_the_protocols_form(line: bytes) -> None:
    reply = answer(line, Scripted())
    assert reply.startswith((b"OK", b"ERR ")) or line.split() == [b"counters"]
    assert reply.endswith(b"\n") and (reply.count(b"\n") == 1 or line.split() == [b"counters"])


def test_every_documented_command_exists() -> None:
    assert {*PLAIN_COMMANDS, *SERVER_COMMANDS} == {
        "health",
        "counters",
        "cordon",
        "uncordon",
        "quiesce",
        "resume",
        "routers",
    }
