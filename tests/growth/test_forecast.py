"""The forecast against the placement itself, against a simulation of single moves, and as a command."""

import json
import subprocess
import sys
from pathlib import Path
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from program import ROOT
from support import ORIGIN_KIND, Router

from rainhitch import interface as api
from rainhitch.growth.forecast import (
    ReadWorkload,
    Server,
    forecast,
    lost_reads,
    moved_fractions,
    read_fractions,
    seconds_until_moved,
)

WEIGHTS = st.sampled_from([0.4, 1.0, 1.6])
LISTS = st.dictionaries(st.text("abcdef", min_size=1, max_size=3), WEIGHTS, min_size=2, max_size=9)


def chosen_servers(listed: dict[str, float], keys: list[str]) -> list[str]:
    """Returns the servers that the routing decisions choose for keys that they have not seen."""
    members = [api.Endpoint(uid, weight=weight) for uid, weight in listed.items()]
    router = Router(endpoints=[*members, api.Endpoint("origin", kind=ORIGIN_KIND)])
    servers = []
    for key in keys:
        name, (send,) = router.request(key)
        assert isinstance(send, api.StartAttempt)
        servers.append(send.server)
        router.end_attempt(send, api.AttemptStatus.OK)
        router.now += 50_000_000  # requests are spaced so that no server counts as overloaded
        del name
    return servers


@given(LISTS, LISTS)
def test_moved_fractions_match_the_placement(before: dict[str, float], after: dict[str, float]) -> None:
    keys = [f"key{n}" for n in range(300)]
    old_servers, new_servers = chosen_servers(before, keys), chosen_servers(after, keys)
    predicted = moved_fractions(
        *([Server(uid, "", weight) for uid, weight in listed.items()] for listed in (before, after))
    )
    moved = sum(a != b for a, b in zip(old_servers, new_servers, strict=True)) / len(keys)
    assert abs(moved - sum(predicted.values())) < 0.12  # 300 keys are a sample
    assert {(a, b) for a, b in zip(old_servers, new_servers, strict=True) if a != b} <= set(predicted)


def test_nothing_moves_where_nothing_changes() -> None:
    servers = [Server("a", "x", 0.5), Server("b", "y", 1.5)]
    result = forecast(servers, servers, ReadWorkload(), 10.0)
    assert result.moved == 0 and result.reads == 0 and set(result.seconds.values()) == {0.0}


def test_the_forecast_time_is_that_of_a_simulated_course_of_moves() -> None:
    """Each move goes to the next request for a key that has not moved; the moves are drawn one by one."""
    weights = read_fractions(ReadWorkload(600, 1.0, 5.0, 300))
    random, unmoved = Random(3), dict(enumerate(weights))
    total, moved = sum(weights), 0.0
    reached: dict[float, float] = {}
    for move in range(1, 301):
        key = random.choices(list(unmoved), list(unmoved.values()))[0]
        moved += unmoved.pop(key)
        for goal in (0.5, 0.9):
            if moved >= goal * total:
                reached.setdefault(goal, move / 10.0)
    predicted = seconds_until_moved(weights, 1.0, 10.0, (0.5, 0.9))
    assert all(abs(predicted[goal] - reached[goal]) < 0.2 * reached[goal] for goal in (0.5, 0.9))


def test_a_migration_without_a_pace_never_ends() -> None:
    assert seconds_until_moved([0.5, 0.5], 1.0, 0.0, (0.5,)) == {0.5: float("inf")}


def test_lost_keys_are_counted_apart_and_retiring_servers_lose_none() -> None:
    servers = [Server(uid) for uid in "abcdefghi"]
    after_loss = forecast(servers, servers[:4] + servers[5:], ReadWorkload(), 10.0)
    assert abs(after_loss.lost - 1 / 9) < 1e-9 and after_loss.moved > after_loss.lost
    reads = lost_reads(after_loss, ReadWorkload(), 150.0)
    assert reads == sorted(reads, reverse=True) and 0 < sum(reads) < after_loss.lost * 2700
    after_retiring = forecast(servers, servers[:4] + servers[5:], ReadWorkload(), 10.0, retiring=["e"])
    assert after_retiring.lost == 0 and after_retiring.moved == after_loss.moved


def run_plan(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Runs `rainhitch plan` with these arguments."""
    command = [sys.executable, "-m", "rainhitch", "plan", *arguments]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False)


@pytest.fixture
def listed(tmp_path: Path) -> str:
    """The path of a file with an endpoint list."""
    rows = [{"uid": f"n{n}", "az": "ab"[n % 2], "state": "Ready", "model": "full-node"} for n in range(6)]
    rows.append({"uid": "o", "az": "a", "state": "Ready", "model": "origin"})
    rows.append({"uid": "leaving", "az": "a", "state": "Terminating", "model": "full-node"})
    path = tmp_path / "list.json"
    path.write_text(json.dumps({"rev": 1, "all": True, "targets": rows}))
    return str(path)


def test_the_command_prints_what_a_join_moves(listed: str) -> None:
    result = run_plan("--from", listed, "--join", "n9:b:2", "--json")
    assert result.returncode == 0, result.stderr
    predicted = json.loads(result.stdout)
    assert 0 < predicted["moved"] < 1 and predicted["lost"] == 0 and predicted["pace"] == 5.0
    assert any(new_server == "n9" for _, new_server, _ in predicted["between"])
    shown = run_plan("--from", listed, "--leave", "n3")
    assert "6 cache servers -> 5" in shown.stdout and "are lost" in shown.stdout


@pytest.mark.parametrize(
    "words",
    [
        ["--leave", "n77"],
        ["--join", "n1"],
        ["--join", "n9:a:heavy"],
        ["--keys", "0"],
        ["--share", "-1"],
        ["--to", "no-such-file.json"],
        ["--operator", "no-such-file.toml"],
    ],
)
def test_bad_input_is_one_line(listed: str, words: list[str]) -> None:
    plan = run_plan("--from", listed, *words)
    assert plan.returncode == 2 and plan.stderr.count("\n") == 1 and plan.stderr.startswith("rainhitch: ")
