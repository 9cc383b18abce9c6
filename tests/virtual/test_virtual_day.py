"""A day in virtual time: the same bytes each time, and what dies in it stays dead."""

import os
import subprocess
import sys
from pathlib import Path

import orjson
import pytest

from rainhitch.rehearsal import report
from rainhitch.rehearsal.plan import draw_plan
from rainhitch.rehearsal.scenario import Scenario, read_scenario
from rainhitch.rehearsal.virtual.environment import run_day
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


def scenario(folder: Path, text: str = DAY) -> Scenario:
    path = folder / "small.toml"
    path.write_text(text)
    return read_scenario(path)


def rehearse(*words: object, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "rainhitch", "rehearse", *map(str, words)],
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        capture_output=True,
        text=True,
        timeout=120,
    )


def test_the_same_seed_gives_the_same_trace_in_processes_that_hash_differently(tmp_path: Path) -> None:
    scenario(tmp_path)
    for number in (1, 2):
        words = [tmp_path / "small.toml", "--virtual", "--chop", "0.2", "--trace", tmp_path / f"{number}"]
        done = rehearse(*words, hash_seed=str(number))
        assert done.returncode == 0, done.stdout + done.stderr
    one, two = (tmp_path / "1").read_bytes(), (tmp_path / "2").read_bytes()
    assert one == two and one.count(b"\n") > 3000
    assert rehearse("compare", tmp_path / "1", tmp_path / "2").returncode == 0


def test_two_traces_that_differ_are_told_apart_by_the_first_line_that_does(tmp_path: Path) -> None:
    (tmp_path / "1").write_text("rainhitch-trace 1 small 1 x\na\nb\nc\n")
    (tmp_path / "2").write_text("rainhitch-trace 1 small 1 x\na\nB\n")
    done = rehearse("compare", tmp_path / "1", tmp_path / "2")
    assert done.returncode == 1 and done.stdout == "line 3 differs:\n  b\n  B\n"


@pytest.mark.parametrize(
    ("head", "said"),
    [("rainhitch-trace 99 small 1 x", "version 99"), ("something else", "not a trace"), (None, "No such")],
)
def test_what_is_no_trace_of_this_version_is_one_line(tmp_path: Path, head: str | None, said: str) -> None:
    (tmp_path / "1").write_text("rainhitch-trace 1 small 1 x\n")
    if head is not None:
        (tmp_path / "2").write_text(head + "\n")
    done = rehearse("compare", tmp_path / "1", tmp_path / "2")
    assert done.returncode == 2 and said in done.stderr and done.stderr.count("\n") == 1


@pytest.mark.parametrize(
    "words",
    [
        ["--trace", "x"],
        ["--virtual", "--core", "-1"],
        ["--virtual", "--chop", "2"],
        ["--virtual", "--router", "plain"],
        ["--virtual", "--trace", "/nowhere/at/all"],
    ],
)
def test_options_that_make_no_sense_are_one_line(words: list[str]) -> None:
    done = rehearse("lunch", *words)
    assert done.returncode == 2 and done.stderr.count("\n") == 1


def test_a_router_that_is_killed_does_nothing_more_and_comes_back(tmp_path: Path) -> None:
    day = scenario(tmp_path)
    plan = draw_plan(day, "small", 3)
    ledgers = run_day(day, plan)
    zero, events = ledgers["zero"], dict(ledgers["routers"][1]["events"][::-1])
    assert [what for what, _ in ledgers["routers"][1]["events"]] == [
        *("start", "ready", "kill", "ended", "start", "ready", "term", "ended")
    ]
    killed = zero + 1_000_000_000
    back = max(at for what, at in ledgers["routers"][1]["events"] if what == "start")
    assert events["kill"] == killed
    rows = [row for n in range(3) for row in ledgers["parts"][f"nodes:{n}"]["attempts"]]
    sent = [row["first"] for row in rows if row["router"] == 1]
    assert any(at < killed for at in sent) and any(at > back for at in sent)
    # What was on its way arrives; no more leaves.
    assert not [at for at in sent if killed + 1_000_000 < at < back]


def test_a_day_says_what_callbacks_ended_with_that_should_not_have(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    from rainhitch.node.request_driver import RequestDriver

    def fails(self: RequestDriver, by: float) -> None:
        raise ZeroDivisionError("on purpose")

    monkeypatch.setattr(RequestDriver, "stop", fails)
    made = run_virtual_scenario(scenario(tmp_path), "small", 1)
    assert made["exit"] == report.BROKEN and "on purpose" in str(made["breaches"])


def test_an_instant_that_does_not_end_stops_the_day(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    from rainhitch.node.client_connections import ClientConnections

    def again(self: ClientConnections) -> None:
        self.loop.call_soon(again, self)

    monkeypatch.setattr(ClientConnections, "drain", again)
    with pytest.raises(StuckError):
        run_virtual_scenario(scenario(tmp_path, DAY + "[virtual]\ncore = 0.0\n"), "small", 1)


def test_a_core_that_is_too_slow_makes_a_router_late(tmp_path: Path) -> None:
    days = (scenario(tmp_path, DAY + f"[virtual]\ncore = {scale}\n") for scale in (1.0, 150.0))
    quick, slow = (run_virtual_scenario(day, "small", 1) for day in days)
    assert quick["service"] > 0.7 and slow["service"] < quick["service"] - 0.2
    busy = slow["work"]["router-0"]["busy_ns"] / quick["work"]["router-0"]["busy_ns"]
    assert busy > 5


def test_the_records_of_a_virtual_day_give_its_report_again(tmp_path: Path) -> None:
    made = run_virtual_scenario(scenario(tmp_path), "small", 1, records=tmp_path / "records")
    again = report.from_records(tmp_path / "records")
    assert orjson.dumps(again["service"]) == orjson.dumps(made["service"])
    assert again["rules"] == made["rules"]
