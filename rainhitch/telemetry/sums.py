"""Logs of any number of routers, read and added up; lines that can't be read are counted and skipped."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

from pydantic import TypeAdapter, ValidationError

from rainhitch.telemetry.records import WORDS, Bad, Numbers, Second, is_loss

Json = dict[str, Any]
READERS: dict[str, TypeAdapter[Any]] = {word: TypeAdapter(kind) for word, kind in WORDS.items()}
COUNTERS = [one.name for one in fields(Second) if one.type == Numbers]  # in the records' order
BY_SERVER = ("sent", "poor")  # the counters whose names are servers
MAX_WORST_SECONDS = 20


def read_line(line: str) -> Second | Bad | None:
    """The record on a line of a log, None for a line of another kind; raises ValidationError where torn."""
    start = line.find(" {")
    word = line[:start].rsplit(" ", 1)[-1] if start > 0 else ""
    if word not in READERS:
        return None
    record: Second | Bad = READERS[word].validate_json(line[start + 1 :])
    return record


@dataclass(slots=True)
class RecordSum:
    """`second` records added up."""

    taken: int = 0
    seconds: int = 0  # records
    cpu: float = 0.0  # s
    open: int = 0  # connections to servers, summed over the records
    oldest: float = 0.0  # age of the oldest endpoint list in use, s
    counts: dict[str, Counter[str]] = field(default_factory=lambda: {name: Counter() for name in COUNTERS})

    def add(self, record: Second) -> None:
        """Adds a record."""
        self.taken += record.taken
        self.seconds += 1
        self.cpu += record.cpu
        self.open += record.open
        self.oldest = max(self.oldest, record.list_age)
        for name in COUNTERS:
            self.counts[name].update(getattr(record, name))

    def lost(self) -> int:
        """Requests that were rejected, failed, or left by a client that gave up waiting."""
        return sum(count for outcome, count in self.counts["ended"].items() if is_loss(outcome))

    def as_json(self) -> Json:
        """The sums, each counter with its largest count first."""
        json: Json = {"taken": self.taken, "lost": self.lost(), "router_seconds": self.seconds}
        json |= {"cpu_s": round(self.cpu, 3), "oldest_list_s": round(self.oldest, 2)}
        json["open_mean"] = round(self.open / max(1, self.seconds), 1)
        for name in COUNTERS:
            if name not in BY_SERVER:
                json[name] = dict(self.counts[name].most_common())
        return json


@dataclass(slots=True)
class FleetSums:
    """The records of all routers: in all, by second of Unix time, and by router."""

    whole: RecordSum = field(default_factory=RecordSum)
    seconds: dict[int, RecordSum] = field(default_factory=lambda: defaultdict(RecordSum))
    routers: dict[str, RecordSum] = field(default_factory=lambda: defaultdict(RecordSum))
    torn: int = 0  # lines that begin as a record and can't be read

    def add(self, router: str, lines: Iterable[str]) -> None:
        """Adds a router's log."""
        router_sum = self.routers[router]
        for line in lines:
            try:
                record = read_line(line)
            except ValidationError:
                self.torn += 1
                continue
            if isinstance(record, Second):
                for each in (self.whole, self.seconds[int(record.at)], router_sum):
                    each.add(record)

    def servers(self) -> dict[str, tuple[int, int]]:
        """Attempts at each server, and those of them that got neither a value nor a miss."""
        sent = self.whole.counts["sent"]
        poor = self.whole.counts["poor"]
        return {name: (count, poor[name]) for name, count in sent.most_common()}

    def worst(self) -> list[tuple[int, RecordSum]]:
        """The seconds in which most requests were lost, the worst first."""
        return sorted(self.seconds.items(), key=lambda one: -one[1].lost())[:MAX_WORST_SECONDS]


def files(folder: Path) -> list[Path]:
    """The logs in a folder, those below it among them."""
    return sorted(path for path in folder.rglob("*") if path.is_file())


def lines_of(path: Path) -> Iterator[str]:
    """A log's lines; bytes that are no text are replaced, so that a torn line spoils no other."""
    with path.open(encoding="utf-8", errors="replace") as file:
        yield from file


def router_of(folder: Path, path: Path) -> str:
    """A router's name: its file's path in the folder, without the suffix."""
    return str(path.relative_to(folder).with_suffix(""))


def sum_folder(folder: Path) -> FleetSums:
    """The logs of a folder added up. Raises OSError."""
    sums = FleetSums()
    for path in files(folder):
        sums.add(router_of(folder, path), lines_of(path))
    return sums


def follow(folder: Path, request_id: str) -> list[str]:
    """Each line that names a request, of all routers, in the order of their times where these are known."""
    found = []
    for path in files(folder):
        for line in lines_of(path):
            if request_id not in line:
                continue
            try:
                record = read_line(line)
            except ValidationError:
                record = None
            at = record.at if record is not None else 0.0
            found.append((at, f"{router_of(folder, path)}: {line.rstrip()}"))
    return [line for _, line in sorted(found, key=lambda one: one[0])]
