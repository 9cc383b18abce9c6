"""The folder in which a run's records are kept, and the report of a run that was kept.

It holds the scenario, the plan, and what the processes recorded; a report needs nothing else.
"""

from pathlib import Path
from typing import Any

import orjson

from rainhitch.errors import RainhitchError
from rainhitch.rehearsal import report

Json = dict[str, Any]
# The files of a run's records. Their names are the format, also that of `ledgers.json`: it has the records.
RECORDS = ("scenario.json", "plan.json", "ledgers.json")


class RecordsError(RainhitchError, ValueError):
    """A folder that holds no records; one line says why."""


def write_records(folder: Path, name: str, scenario: Json, plan: Json, records: Json) -> None:
    """Writes the records of a run of the scenario `name`."""
    folder.mkdir(parents=True, exist_ok=True)
    for file, rows in zip(RECORDS, ({"name": name, **scenario}, plan, records), strict=True):
        (folder / file).write_bytes(orjson.dumps(rows, option=orjson.OPT_SORT_KEYS))


def from_records(folder: Path) -> Json:
    """The report of a run whose records were kept.

    Raises:
        RecordsError: the folder holds no records, or what they hold can't be read.
    """
    try:
        scenario, plan, records = (orjson.loads((folder / file).read_bytes()) for file in RECORDS)
        return report.build(scenario.pop("name"), scenario, plan, records)
    except OSError as problem:
        raise RecordsError(f"{folder}: no records: {problem.strerror}: {problem.filename}") from None
    except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError) as problem:
        raise RecordsError(f"{folder}: records can't be read: {type(problem).__name__}: {problem}") from None
