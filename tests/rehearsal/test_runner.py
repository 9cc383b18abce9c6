"""Whole runs, started as a user does: two short ones, the proof of the checker, records, signals, crashes."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import orjson
import pytest
from program import ROOT

from rainhitch.rehearsal.fakes.worker import Worker

HELD = 0
VOID = 3
MAX_TRIES = 3  # of a run that is void since the machine was busy
SMALL = """
about = "a small fleet for a few seconds"
must = "no rule broken"
[day]
length_s = 4.0
prelude_s = 0.8
[fleet]
rooms = ["neihu", "banqiao"]
routers = 2
memory_keys = 60
nodes = [
    { name = "full-node", count = 2, cores = 4, speed = 1.0 },
    { name = "small-node", count = 2, cores = 4, speed = 0.6 },
]
[traffic]
rate = 40.0
quota_rps = 40.0
keys = 120
[discovery]
notice_s = 0.3
drain_s = 0.2
add_s = 0.2
"""
HARD = """
[[faults]]
kind = "node-kill"
at_s = 0.5
for_s = 1.0
node = "banqiao-0"
[[faults]]
kind = "node-drain"
at_s = 0.8
for_s = 2.0
node = "neihu-1"
[[faults]]
kind = "link-delay"
at_s = 0.5
for_s = 2.0
delay_s = 0.05
router = 0
node = "neihu-0"
[[faults]]
kind = "database-slow"
at_s = 1.0
for_s = 1.5
factor = 3.0
[[faults]]
kind = "router-kill"
at_s = 1.5
for_s = 0.5
router = 1
[[faults]]
kind = "router-restart"
at_s = 2.5
router = 0
"""


def command(*words: str) -> list[str]:
    """The command line of `rainhitch rehearse` with these words."""
    return [sys.executable, "-m", "rainhitch", "rehearse", *words]


def rehearse(*words: str, folder: Path | None = None) -> subprocess.CompletedProcess[str]:
    """Runs it to its end; again where the rig itself ran late, which says nothing of the router."""
    env = {**os.environ, **({"TMPDIR": str(folder)} if folder else {})}
    for _ in range(MAX_TRIES):
        ended = subprocess.run(
            command(*words), cwd=ROOT, env=env, capture_output=True, text=True, timeout=240
        )
        if ended.returncode != VOID:
            break
    return ended


def write_scenario(tmp_path: Path, text: str) -> str:
    """Writes a scenario file; gives its path."""
    path = tmp_path / "day.toml"
    path.write_text(text)
    return str(path)


def leftovers(folder: Path) -> list[str]:
    """What a run that works in this folder has running, by each process's environment, and its files."""
    found = [str(one) for one in folder.iterdir()]
    for one in Path("/proc").iterdir():
        if one.name.isdigit() and int(one.name) != os.getpid():
            try:
                if f"TMPDIR={folder}".encode() in (one / "environ").read_bytes():
                    found.append((one / "cmdline").read_bytes().decode())
            except OSError:
                continue  # it has just ended
    return found


def assert_all_held(ended: subprocess.CompletedProcess[str], report: dict[str, Any]) -> None:
    """No rule is broken, nothing expected is unmet, and the exit code says so.

    On a machine that stalls the kit itself, the exit code must say that the run is void, and nothing else.
    """
    told = ended.stdout + ended.stderr
    assert not any(report["rules"].values()) and not report["breaches"] and not report["unmet"], told
    expected = VOID if report["rig_late"]["void"] else HELD
    assert ended.returncode == report["exit"] == expected, told


def test_a_calm_run_holds_and_its_report_is_made_again_byte_for_byte(tmp_path: Path) -> None:
    scenario = write_scenario(tmp_path, SMALL)
    made = tmp_path / "made.json"
    again = tmp_path / "again.json"
    records = tmp_path / "records"
    ended = rehearse(scenario, "--seed", "5", "--json", str(made), "--records", str(records))
    report: dict[str, Any] = orjson.loads(made.read_bytes())
    assert_all_held(ended, report)
    assert report["service"] > 0.8 and not report["breaches"] and report["seed"] == 5
    parts = orjson.loads((records / "ledgers.json").read_bytes())["parts"]
    outcomes = [
        one["outcome"]
        for role, rows in parts.items()
        for one in rows.get("attempts", [])
        if one["cold"] is False
    ]
    assert outcomes.count("served") > 60  # what the database fetched was stored where it had been missed
    shown = rehearse("report", str(records), "--json", str(again))
    assert again.read_bytes() == made.read_bytes() and shown.stdout == ended.stdout


def test_a_run_full_of_faults_breaks_no_rule_and_leaves_nothing_behind(tmp_path: Path) -> None:
    made = tmp_path / "made.json"
    folder = tmp_path / "run"
    folder.mkdir()
    ended = rehearse(write_scenario(tmp_path, SMALL + HARD), "--json", str(made), folder=folder)
    report: dict[str, Any] = orjson.loads(made.read_bytes())
    assert_all_held(ended, report)
    assert not any(report["rules"].values()) and len(report["timeline"]) == 6
    assert not leftovers(folder)


def test_the_proof_finds_each_broken_router_by_its_own_rule_and_no_good_one() -> None:
    ended = rehearse("--prove")
    assert ended.returncode == 0, ended.stdout + ended.stderr
    lines = ended.stdout.splitlines()
    assert sum(line.startswith("ok ") for line in lines) == 12
    assert lines[-1] == "each is caught by its own rule, and no good one is accused"


def test_a_router_that_crashes_is_a_violation_with_its_last_lines_and_not_a_hang(tmp_path: Path) -> None:
    made = tmp_path / "made.json"
    bad = f"{sys.executable} -m rainhitch.rehearsal.plain_router crashes"
    ended = rehearse(write_scenario(tmp_path, SMALL), "--routers", "1", "--router", bad, "--json", str(made))
    report: dict[str, Any] = orjson.loads(made.read_bytes())
    assert ended.returncode == 1 and report["rules"]["crashed"] == 1
    crash = next(one for one in report["breaches"] if one["rule"] == "crashed")
    assert "ended with 3" in crash["what"] and crash["log"][-1] == "out of ideas"


def test_a_router_over_its_memory_limit_is_ended_and_reported(tmp_path: Path) -> None:
    made = tmp_path / "made.json"
    hog = tmp_path / "hog.py"
    hog.write_text("import runpy, sys\nkept = bytearray(120 << 20)\nsys.argv = ['x']\n")
    hog.write_text(
        hog.read_text() + "runpy.run_module('rainhitch.rehearsal.plain_router', run_name='__main__')\n"
    )
    day = write_scenario(tmp_path, SMALL.replace("prelude_s = 0.8", "prelude_s = 0.8\nmemory_mb = 96.0"))
    env = {**os.environ, "PYTHONPATH": str(ROOT)}
    words = command(day, "--router", f"{sys.executable} {hog}", "--json", str(made))
    ended = subprocess.run(words, cwd=ROOT, env=env, capture_output=True, text=True, timeout=120)
    # Ended either before the run, which is bad input, or in it, which is a violation: never a hang.
    assert "over its memory" in ended.stdout + ended.stderr and ended.returncode in (1, 2)


async def failing(folder: Path) -> None:
    """A worker of which a task fails at once."""

    async def end_badly() -> None:
        """Fails as no task should."""
        raise RuntimeError("a piece of it is gone")

    Worker(folder, {"plan": {"cues": []}, "scenario": {}}).spawn(end_badly())
    await asyncio.sleep(30)


def test_a_worker_of_the_fakes_that_fails_ends_its_process_with_the_reason() -> None:
    code = "import asyncio, pathlib, test_runner\n"
    code += "asyncio.run(test_runner.failing(pathlib.Path('x')))"
    env = {**os.environ, "PYTHONPATH": f"{ROOT}:{Path(__file__).parent}:{ROOT / 'tests'}"}
    ended = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, text=True, timeout=60)
    assert ended.returncode == 1 and "RuntimeError: a piece of it is gone" in ended.stderr


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_an_interrupt_ends_all_that_was_started(tmp_path: Path, number: signal.Signals) -> None:
    folder = tmp_path / "run"
    folder.mkdir()
    day = write_scenario(tmp_path, SMALL.replace("length_s = 4.0", "length_s = 60.0"))
    env = {**os.environ, "TMPDIR": str(folder)}
    running = subprocess.Popen(command(day), cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True)
    limit = time.monotonic() + 60
    while len(leftovers(folder)) < 8 and time.monotonic() < limit:
        time.sleep(0.05)
    # Its folder, itself, the shared services, two rooms, two routers, clients.
    assert len(leftovers(folder)) >= 8
    running.send_signal(number)
    _, stderr = running.communicate(timeout=30)
    if number is signal.SIGKILL:
        while len(leftovers(folder)) > 1 and time.monotonic() < limit:
            time.sleep(0.05)
        assert [Path(one).parent for one in leftovers(folder)] == [folder]  # all ends with it, its files stay
    else:
        assert running.returncode == 130 and "interrupted" in stderr
        assert not leftovers(folder)
