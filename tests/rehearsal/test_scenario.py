"""Scenario files are read strictly, and bad input ends with plain lines before anything is started."""

import os
import resource
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest
from program import ROOT

from rainhitch.rehearsal.faults import KINDS, Fault, check_faults
from rainhitch.rehearsal.scenario import read_scenario, scenario_of, shipped
from rainhitch.toml_schema import TableError

WANTED = [
    "lunch",
    "quiet",
    "peak",
    "room-loss",
    "partition",
    "hot-keys",
    "late-list",
    "lost-messages",
    "slow-database",
]
WANTED += [
    "cold-room-slow-database",
    "clients-that-never-retry",
    "drain-wave",
    "rolling-restart",
    "key-flood",
]
WANTED += ["connections-kept"]


def problems(tmp_path: Path, text: str) -> list[str]:
    """The lines of what is wrong with a scenario file of this text; none for a good one."""
    path = tmp_path / "day.toml"
    path.write_text('about = "a"\nmust = "b"\n' + text)
    try:
        read_scenario(path)
    except TableError as problem:
        return problem.lines
    return []


def test_every_shipped_scenario_reads_and_says_what_it_rehearses() -> None:
    known = shipped()
    assert set(WANTED) <= set(known)
    for path in known.values():
        one = read_scenario(path)
        assert len(one.about) > 20 and len(one.must) > 20


def test_the_shipped_scenarios_use_nearly_every_kind_of_fault() -> None:
    used = {fault.kind for path in shipped().values() for fault in read_scenario(path).faults}
    assert set(KINDS) - used <= {"database-stop", "link-delay", "link-silent"}  # tested at the stand-ins


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[fleet]\nroom = []", "fleet.room = []: no such key"),
        ("[fleet]\nrooms = []", "fleet.rooms = []: allowed is a list of different texts"),
        ("[traffic]\nrate = 'fast'", "traffic.rate = 'fast': allowed is a number from 0.1 to 100000"),
        ("[traffic]\nshape = 'odd'", "traffic.shape = 'odd': allowed is one of steady, bursty, wave"),
        ("[clients]\ngive_up = [0.9, 0.5]", "clients.give_up = [0.9, 0.5]: allowed is a number or a range"),
        ("[[faults]]\nat_s = 1", "faults[0].kind is missing"),
        ("[[faults]]\nkind = 'rain'\nat_s = 1", "faults[0].kind = 'rain': allowed is one of room-loss"),
        (
            "[[faults]]\nkind = 'node-kill'\nat_s = 1\nfor_s = 1\nnode = 'neihu-9'",
            "faults[0].node = 'neihu-9': allowed",
        ),
        (
            "[[faults]]\nkind = 'room-loss'\nat_s = 1\nfor_s = 1\nroom = 'x'",
            "faults[0].room = 'x': allowed is one of",
        ),
        (
            "[[faults]]\nkind = 'router-kill'\nat_s = 1\nfor_s = 1\nrouter = 3",
            "faults[0].router = 3: allowed",
        ),
        (
            "[[faults]]\nkind = 'database-slow'\nat_s = 1\nfor_s = 1\nnode = 'neihu-0'",
            "database-slow has no node",
        ),
        ("[[faults]]\nkind = 'database-slow'\nat_s = 1", "database-slow needs a time over 0"),
        (
            "[[faults]]\nkind = 'database-slow'\nat_s = 99\nfor_s = 1",
            "faults[0].at_s = 99: allowed is less than",
        ),
        ("[[customers]]\nname = 'a'\nshare = 0\nusage = 1", "no class or no customer sends anything"),
        (
            "[[fleet.nodes]]\nname = 'a'\n[[fleet.nodes]]\nname = 'a'",
            "fleet.nodes = ['a']: allowed are different",
        ),
    ],
)
def test_a_bad_key_is_one_line_with_key_value_and_what_is_allowed(
    tmp_path: Path, text: str, expected: str
) -> None:
    (line,) = problems(tmp_path, text)
    assert line.startswith("day.toml: ") and expected in line


def room_loss(room: str, at_s: float, for_s: float) -> str:
    """The table of a room's loss."""
    return f"[[faults]]\nkind = 'room-loss'\nat_s = {at_s}\nfor_s = {for_s}\nroom = '{room}'\n"


def test_a_room_can_not_be_lost_twice_at_once(tmp_path: Path) -> None:
    (line,) = problems(tmp_path, room_loss("neihu", 1, 5) + room_loss("neihu", 3, 5))
    assert "faults[1] (room-loss of neihu) overlaps faults[0]" in line


def test_other_rooms_may_go_at_the_same_time_and_the_same_room_later(tmp_path: Path) -> None:
    losses = room_loss("neihu", 1, 5) + room_loss("banqiao", 3, 5) + room_loss("neihu", 6, 2)
    assert not problems(tmp_path, losses)


def test_a_node_can_not_die_in_a_room_that_is_lost() -> None:
    both = [Fault("room-loss", 1, 5, room="a"), Fault("node-kill", 2, 1, node="a-0")]
    assert len(check_faults(both, ["a"], ["a-0"], 1, 10)) == 1
    apart = [Fault("room-loss", 1, 5, room="b"), Fault("node-kill", 2, 1, node="a-0")]
    assert not check_faults(apart, ["a", "b"], ["a-0"], 1, 10)


def rehearse(*words: str, before: Callable[[], None] | None = None) -> subprocess.CompletedProcess[str]:
    """Runs `rainhitch rehearse` with these words; `before` is called in the new process."""
    command = [sys.executable, "-m", "rainhitch", "rehearse", *words]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, preexec_fn=before)


def test_bad_input_is_one_line_and_exit_code_2_before_anything_starts(tmp_path: Path) -> None:
    bad = tmp_path / "bad.toml"
    bad.write_text("about = 'a'\nmust = 'b'\n[day]\nlong = 3")
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = tmp_path / "port.toml"
        port.write_text(f"about='a'\nmust='b'\n[fleet]\nfirst_port={taken.getsockname()[1]}\nrouters=1")
        for words, expected in (
            (["lunchtime"], "lunchtime: no such scenario"),
            ([str(bad)], "day.long = 3: no such key"),
            ([str(tmp_path / "none.toml")], "No such file"),
            (["quiet", "--router", "/no/such/program --fast"], "no such command"),
            (["quiet", "--router", "'"], "No closing quotation"),
            (["quiet", "--routers", "0"], "fleet.routers = 0: allowed is a whole number from 1 to 300"),
            (["quiet", "--routers", "65"], "more than 64 play with --virtual"),
            (["quiet", "--json", str(tmp_path / "no" / "where.json")], "its folder does not exist"),
            (["quiet", "--repeat", "0"], "--repeat 0: allowed is 1 or more"),
            (["report", str(tmp_path)], "no records"),
            ([str(port)], "can't be had for a router: Address already in use"),
            ([], "one scenario is wanted"),
        ):
            ended = rehearse(*words)
            assert ended.returncode == 2, (words, ended)
            assert ended.stderr.count("\n") == 1, (words, ended)
            assert expected in ended.stderr, (words, ended)
            assert not ended.stdout, (words, ended)


def test_too_few_descriptors_for_the_fleet_is_one_line() -> None:
    ended = rehearse("quiet", before=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (256, 256)))
    assert ended.returncode == 2 and ended.stderr.count("\n") == 1
    assert "too few descriptors: this fleet needs" in ended.stderr and "the limit is 256" in ended.stderr


def test_a_router_that_does_not_come_up_is_one_line_with_its_last_log_line() -> None:
    ended = rehearse("quiet", "--router", f"{sys.executable} -c 'import sys; sys.exit(\"no luck\")'")
    assert ended.returncode == 2 and ended.stderr.count("\n") == 1
    assert "the router's command failed: ended with 1: no luck" in ended.stderr


def test_the_list_names_each_scenario() -> None:
    shown = rehearse("--list").stdout
    assert all(any(line.startswith(name + " ") for line in shown.splitlines()) for name in WANTED)


def test_without_the_extra_the_kit_says_what_to_install(tmp_path: Path) -> None:
    (tmp_path / "rich.py").write_text("raise ModuleNotFoundError('no rich', name='rich')")
    env = {**os.environ, "PYTHONPATH": str(tmp_path)}
    code = "import sys, rainhitch.rehearsal.run_records as made\n"
    code += "from rainhitch.cli import run\n"
    code += "made.from_records = lambda folder: {'exit': 0}\n"
    code += "sys.exit(run(['rehearse', 'report', 'x']))"
    ended = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, env=env, capture_output=True, text=True, timeout=60
    )
    assert ended.returncode == 2 and "rich is missing: install rainhitch[rehearsal]" in ended.stderr


@pytest.mark.parametrize(("repeats", "write"), [("keyed", False), ("safe", True)])
def test_a_class_that_the_protocol_can_not_carry_is_one_line(
    tmp_path: Path, repeats: str, write: bool
) -> None:
    """Each of its requests was rejected, and the verdict was that all held."""
    path = tmp_path / "odd.toml"
    table = '[[classes]]\nname = "c"\nshare = 1\nwork_ms = 9\naim_ms = 500\ndeadline_ms = 900\n'
    table += f'repeats = "{repeats}"\nwrite = {str(write).lower()}\n'
    path.write_text(f'about = "a"\nmust = "b"\n{table}')
    with pytest.raises(TableError) as found:
        read_scenario(path)
    assert len(found.value.lines) == 1 and "classes.c.write" in found.value.lines[0]


def test_every_shipped_scenario_expects_some_service() -> None:
    assert all(read_scenario(path).expect.service > 0 for path in shipped().values())


@pytest.mark.parametrize(
    ("faults", "expected"),
    [
        (
            [{"kind": "router-restart", "router": 0, "at_s": at} for at in (1.0, 3.0)],
            "what is gone can't go again",
        ),
        (
            [{"kind": "node-join", "node": f"{room}-0", "at_s": 1.0} for room in ("neihu", "banqiao")],
            "all nodes join later",
        ),
    ],
)
def test_faults_that_leave_nothing_to_fail_are_one_line(
    faults: list[dict[str, object]], expected: str
) -> None:
    nodes = [{"name": "full-node", "count": 2}]
    source = {"about": "a", "must": "b", "fleet": {"nodes": nodes}, "faults": faults}
    with pytest.raises(TableError) as problem:
        scenario_of(source, "file")
    assert len(problem.value.lines) == 1 and expected in problem.value.lines[0]
