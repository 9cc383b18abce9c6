"""A run in virtual time: the same bytes each time, and a router that was killed does nothing more."""

import os
import subprocess
import sys
from pathlib import Path

import orjson
import pytest

from rainhitch.rehearsal import run_records, verdict
from rainhitch.rehearsal.plan import draw_plan
from rainhitch.rehearsal.scenario import Scenario, read_scenario
from rainhitch.rehearsal.virtual.environment import run_in_virtual_time
from rainhitch.rehearsal.virtual.loop import StuckError
from rainhitch.rehearsal.virtual.runner import run_virtual_scenario

DAY = """
about = "a small day with a router that dies and a node that is cut off"
must = "no rule broken"
[day]
length_s = 6.0
prelude_s = 1.0
[traffic]
rate = 60.0
[fleet]
memory_keys = 20
[[faults]]
kind = "router-kill"
at_s = 1.0
for_s = 1.5
router = 1
[[faults]]
kind = "node-silent"
at_s = 2.0
for_s = 2.0
node = "neihu-0"
"""


def read_text(folder: Path, text: str = DAY) -> Scenario:
    """Writes a scenario to `small.toml` in a folder, and reads it."""
    path = folder / "small.toml"
    path.write_text(text)
    return read_scenario(path)


def rehearse(*arguments: object, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    """Runs `rainhitch rehearse` in a process whose strings hash by this seed."""
    return subprocess.run(
        [sys.executable, "-m", "rainhitch", "rehearse", *map(str, arguments)],
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        capture_output=True,
        text=True,
        timeout=120,
    )


def test_the_same_seed_gives_the_same_trace_whatever_the_hash_seed(tmp_path: Path) -> None:
    read_text(tmp_path)
    for number in (1, 2):
        arguments = [tmp_path / "small.toml", "--virtual", "--chop", "0.2", "--trace", tmp_path / f"{number}"]
        done = rehearse(*arguments, hash_seed=str(number))
        assert done.returncode == 0, done.stdout + done.stderr
    one, two = (tmp_path / "1").read_bytes(), (tmp_path / "2").read_bytes()
    assert one == two and one.count(b"\n") > 3000
    assert rehearse("compare", tmp_path / "1", tmp_path / "2").returncode == 0


def test_compare_shows_the_first_line_in_which_two_traces_differ(tmp_path: Path) -> None:
    (tmp_path / "1").write_text("rainhitch-trace 1 small 1 x\na\nb\nc\n")
    (tmp_path / "2").write_text("rainhitch-trace 1 small 1 x\na\nB\n")
    done = rehearse("compare", tmp_path / "1", tmp_path / "2")
    assert done.returncode == 1 and done.stdout == "line 3 differs:\n  b\n  B\n"


@pytest.mark.parametrize(
    ("head", "said"),
    [("rainhitch-trace 99 small 1 x", "version 99"), ("something else", "not a trace"), (None, "No such")],
)
def test_a_file_that_is_no_trace_of_this_version_is_reported_in_one_line(
    tmp_path: Path, head: str | None, said: str
) -> None:
    (tmp_path / "1").write_text("rainhitch-trace 1 small 1 x\n")
    if head is not None:
        (tmp_path / "2").write_text(head + "\n")
    done = rehearse("compare", tmp_path / "1", tmp_path / "2")
    assert done.returncode == 2 and said in done.stderr and done.stderr.count("\n") == 1


@pytest.mark.parametrize(
    "arguments",
    [
        ["--trace", "x"],
        ["--virtual", "--core", "-1"],
        ["--virtual", "--chop", "2"],
        ["--virtual", "--router", "plain"],
        ["--virtual", "--trace", "/nowhere/at/all"],
    ],
)
def test_options_out_of_bounds_are_reported_in_one_line(arguments: list[str]) -> None:
    done = rehearse("lunch", *arguments)
    assert done.returncode == 2 and done.stderr.count("\n") == 1


def test_a_killed_router_sends_nothing_more_until_it_is_started_again(tmp_path: Path) -> None:
    day = read_text(tmp_path)
    plan = draw_plan(day, "small", 3)
    records = run_in_virtual_time(day, plan)
    zero = records["zero"]
    events = dict(records["routers"][1]["events"][::-1])
    assert [what for what, _ in records["routers"][1]["events"]] == [
        *("start", "ready", "kill", "ended", "start", "ready", "term", "ended")
    ]
    killed = zero + 1_000_000_000
    back = max(at for what, at in records["routers"][1]["events"] if what == "start")
    assert events["kill"] == killed
    rows = [row for n in range(3) for row in records["parts"][f"nodes:{n}"]["attempts"]]
    sent = [row["first"] for row in rows if row["router"] == 1]
    assert any(at < killed for at in sent) and any(at > back for at in sent)
    # What was on its way still arrives.
    assert not [at for at in sent if killed + 1_000_000 < at < back]


def test_an_exception_that_nobody_handles_breaks_the_run_and_is_in_its_report(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    from rainhitch.node.request_driver import RequestDriver

    def fails(self: RequestDriver, by: float) -> None:
        raise ZeroDivisionError("on purpose")

    monkeypatch.setattr(RequestDriver, "stop", fails)
    made = run_virtual_scenario(read_text(tmp_path), "small", 1)
    assert made["exit"] == verdict.BROKEN and "on purpose" in str(made["breaches"])


def test_callbacks_that_call_themselves_without_end_stop_the_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    from rainhitch.node.client_connections import ClientConnections

    def again(self: ClientConnections) -> None:
        self.loop.call_soon(again, self)

    monkeypatch.setattr(ClientConnections, "drain", again)
    with pytest.raises(StuckError):
        run_virtual_scenario(read_text(tmp_path, DAY + "[virtual]\ncore = 0.0\n"), "small", 1)


def test_routers_with_a_core_that_is_too_slow_answer_late(tmp_path: Path) -> None:
    days = (read_text(tmp_path, DAY + f"[virtual]\ncore = {scale}\n") for scale in (1.0, 150.0))
    quick, slow = (run_virtual_scenario(day, "small", 1) for day in days)
    assert quick["service"] > 0.7 and slow["service"] < quick["service"] - 0.2
    busy = slow["work"]["router-0"]["busy_ns"] / quick["work"]["router-0"]["busy_ns"]
    assert busy > 5


def test_the_records_of_a_virtual_run_give_its_report_again(tmp_path: Path) -> None:
    made = run_virtual_scenario(read_text(tmp_path), "small", 1, records_folder=tmp_path / "records")
    again = run_records.from_records(tmp_path / "records")
    assert orjson.dumps(again["service"]) == orjson.dumps(made["service"])
    assert again["rules"] == made["rules"]
