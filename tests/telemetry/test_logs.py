"""What routers write down, read back and added up; on damaged files too."""

import logging
from pathlib import Path
from typing import Any

import orjson
import pytest

from rainhitch.cli import run
from rainhitch.node.router import write_record
from rainhitch.rehearsal.plan import draw_plan
from rainhitch.rehearsal.scenario import scenario_of
from rainhitch.rehearsal.virtual.environment import run_in_virtual_time
from rainhitch.telemetry import sums
from rainhitch.telemetry.counts import MAX_BAD_RECORDS, Counts
from rainhitch.telemetry.records import Bad, Second

DAY = {
    "about": "a small day",
    "must": "words between routers are played",
    "day": {"length_s": 3.0, "prelude_s": 1.0},
    "traffic": {"rate": 120.0, "keys": 400},
    "fleet": {"routers": 4},
}


def second(at: float, **counts: Any) -> str:
    """A log line with a record of one second."""
    return f"2026-12-01 INFO second {orjson.dumps(Second(at, **counts)).decode()}"


def test_what_is_counted_is_cut_once_a_second_and_an_idle_second_leaves_no_line() -> None:
    counts = Counts()
    assert counts.take_record(1.0, 0.5) is None
    counts.taken += 2
    counts.add("ended", "served")
    counts.add("words", "bytes", 40)
    assert counts.take_record(2.0, 0.75) == Second(2.0, 2, ended={"served": 1}, words={"bytes": 40}, cpu=0.75)
    assert counts.take_record(3.0, 0.75) is None


def test_a_flood_of_failed_requests_is_recorded_by_a_few_ids() -> None:
    counts = Counts()
    for number in range(1000):
        counts.add_bad(Bad(1.0, str(number), "failed:late", ["s timeout"]))
    assert len(counts.take_bad_requests()) == MAX_BAD_RECORDS and not counts.take_bad_requests()


@pytest.mark.parametrize(
    "record", [Second(3.5, 4, ended={"served": 4}, open=7), Bad(1.0, "r1", "failed:late", ["s"])]
)
def test_what_is_written_is_read_back(record: Second | Bad, caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.INFO, "rainhitch"):
        write_record(record)
    assert sums.read_line(f"2026-12-01 10:00:00,000 INFO {caplog.messages[0]}") == record


def test_torn_lines_cost_themselves_only(tmp_path: Path) -> None:
    whole = second(5.25, taken=3, ended={"served": 2, "refused:placement": 1}, cpu=0.5)
    later = second(6.0, taken=1, ended={"failed:late": 1}, tried={"timeout": 1})
    torn = [whole[:-20], whole.replace("3", '"x"'), "no record at all", "INFO second {}", "INFO other {}"]
    (tmp_path / "n0.log").write_bytes("\n".join([whole, *torn, later]).encode() + b"\nINFO bad {\xff\xfe")
    (tmp_path / "n1.log").write_text(whole)
    (tmp_path / "empty.log").touch()
    fleet = sums.sum_folder(tmp_path)
    assert fleet.torn == 4
    assert fleet.whole.taken == 7 and fleet.whole.lost() == 3
    assert fleet.whole.counts["ended"] == {"served": 4, "refused:placement": 2, "failed:late": 1}
    assert [(at, one.lost()) for at, one in fleet.worst()] == [(5, 2), (6, 1)]
    assert fleet.routers["n0"].taken == 4 and fleet.routers["n1"].taken == 3


def test_a_client_that_gave_up_waiting_counts_as_a_loss_and_one_that_just_left_does_not(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    ended = {"served": 4, "gone": 3, "gone:unanswered": 2, "refused:room": 1, "failed:cut off": 1}
    (tmp_path / "n0.log").write_text(second(5.0, taken=11, ended=ended) + "\n")
    assert sums.sum_folder(tmp_path).whole.lost() == 4
    assert run(["logs", "sum", str(tmp_path)]) == 0
    worst = capsys.readouterr().out.splitlines()[-1]
    assert worst.endswith("gone:unanswered 2, refused:room 1, failed:cut off 1")


def test_a_request_is_followed_through_all_logs_in_order(tmp_path: Path) -> None:
    for name, at, how in (("n2", 9.0, "failed:late"), ("n1", 8.0, "refused:full")):
        line = orjson.dumps(Bad(at, "abc1", how, ["s-1 timeout"])).decode()
        (tmp_path / f"{name}.log").write_text(f"INFO bad {line}\nINFO bad of another\n")
    found = sums.follow(tmp_path, "abc1")
    assert [line.split(":")[0] for line in found] == ["n1", "n2"]


@pytest.mark.parametrize(
    ("words", "code"), [(["sum", "{}"], 1), (["sum", "{}/none"], 2), (["follow", "{}", "x"], 1)]
)
def test_logs_that_cannot_be_summed_give_their_exit_code(words: list[str], code: int, tmp_path: Path) -> None:
    assert run(["logs", *(word.format(tmp_path) for word in words)]) == code


def test_each_sum_is_shown_as_text_and_json(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (tmp_path / "n0.log").write_text(
        second(5.0, taken=2, ended={"refused:placement+": 2}, sent={"s-1": 3}, poor={"s-1": 1}) + "\n"
    )
    for by in ("router", "server"):
        assert run(["logs", "sum", str(tmp_path), "--by", by]) == 0
    text = capsys.readouterr().out
    assert "refused:placement+" in text and "s-1" in text and "n0" in text
    assert run(["logs", "sum", str(tmp_path), "--json"]) == 0
    told = orjson.loads(capsys.readouterr().out)
    assert told["lost"] == 2 and told["servers"] == {"s-1": [3, 1]} and told["routers"]["n0"]["taken"] == 2


def played(**changes: object) -> tuple[sums.FleetSums, dict[str, Any]]:
    """The sums of a virtual day's logs, and all that the day has recorded."""
    day = scenario_of({**DAY, **changes}, "day")
    ledgers = run_in_virtual_time(day, draw_plan(day, "day", 1))
    fleet = sums.FleetSums()
    for name, lines in ledgers["logs"].items():
        fleet.add(name, lines)
    return fleet, ledgers


def test_the_sums_of_a_virtual_day_are_what_clients_saw_and_datagrams_arrive() -> None:
    """Guards against a kit whose routers are mute: words were carried and never arrived."""
    fleet, ledgers = played()
    rows = [one for name, part in ledgers["parts"].items() if name[0] == "c" for one in part.get("sent", ())]
    served = sum(one["kind"] == "served" for one in rows)
    assert fleet.whole.taken == len(rows) and fleet.whole.counts["ended"]["served"] == served
    words = fleet.whole.counts["words"]
    assert not words["unread"] and words["told"] * 2 < words["heard"] <= words["told"] * 3
    assert not ledgers["problems"]


def test_lost_datagrams_are_counted_as_sent_and_not_as_received() -> None:
    fleet, ledgers = played(messages={"loss": 1.0})
    assert fleet.whole.counts["words"]["told"] and not fleet.whole.counts["words"]["heard"]
    assert not ledgers["problems"]


def test_requests_are_counted_by_how_long_they_may_have_lain_unread() -> None:
    counts = Counts()
    for age in (0, 4, 5, 19, 20, 120, 150, 2000):
        counts.add_unread(age)
    counts.add_lag(120_400_000)
    made = counts.take_record(1.0, 0.0)
    assert made is not None and made.lag == {"times": 1, "ms": 120}
    assert made.unread == {"under 20 ms": 2, "under 50 ms": 1, "under 150 ms": 1, "more": 2}
