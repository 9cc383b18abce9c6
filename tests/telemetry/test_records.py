"""The lines `second {...}` and `bad {...}` stay as they are, to the byte: other programs read them.

The fixture was recorded from the version before the renaming of modules and types, with every field set.
"""

import logging
from dataclasses import asdict, fields
from pathlib import Path

import orjson
import pytest

from rainhitch.node.router import write_record
from rainhitch.telemetry import records
from rainhitch.telemetry.records import Bad, Second
from rainhitch.telemetry.sums import read_line

LINES = (Path(__file__).parent / "fixtures" / "records.txt").read_text().splitlines()


@pytest.mark.parametrize(("line", "kind"), list(zip(LINES, (Second, Bad), strict=True)))
def test_a_record_is_read_and_written_as_the_same_bytes(
    line: str, kind: type, caplog: pytest.LogCaptureFixture
) -> None:
    record = read_line(f"2026-12-01 10:00:00,000 INFO {line}")
    assert isinstance(record, Second | Bad) and type(record) is kind
    with caplog.at_level(logging.INFO, "rainhitch"):
        write_record(record)
    assert caplog.messages == [line]


def test_outcomes_keep_their_texts_and_can_be_keys_of_a_record() -> None:
    """Other programs read the texts; the JSON writer fails on a key that is an enum's member."""
    assert [one.value for one in records.Outcome] == [
        "served",
        "gone",
        "gone:unanswered",
        "refused:room",
        "failed:overdue",
        "failed:cut off",
    ]
    counted = (
        records.SERVED,
        records.CLIENT_LEFT,
        records.CLIENT_GAVE_UP,
        records.ROUTER_FULL,
        records.OVERDUE,
        records.CUT_OFF,
    )
    assert {type(outcome) for outcome in counted} == {str}
    assert orjson.loads(orjson.dumps(dict.fromkeys(counted, 1))) == {one.value: 1 for one in records.Outcome}


def test_every_field_of_a_second_is_set_in_the_fixture() -> None:
    record = read_line(LINES[0])
    assert isinstance(record, Second)
    idle = asdict(Second(0.0))
    assert [one.name for one in fields(Second) if getattr(record, one.name) == idle[one.name]] == []
