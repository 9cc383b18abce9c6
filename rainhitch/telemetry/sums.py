"""Logs of any number of routers, read and added up; what can't be read is counted and passed by."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

from pydantic import TypeAdapter, ValidationError

from rainhitch.telemetry.records import WORDS, Bad, Numbers, Second

Json = dict[str, Any]
READERS: dict[str, TypeAdapter[Any]] = {word: TypeAdapter(kind) for word, kind in WORDS.items()}
COUNTERS = [one.name for one in fields(Second) if one.type == Numbers]
BY_SERVER = ("sent", "poor")  # the counters whose names are servers
MOST_SHOWN = 20


def read_line(line: str) -> Second | Bad | None:
    """The record on a line of a log, None for a line of another kind; raises ValidationError where torn."""
    place = line.find(" {")
    word = line[:place].rsplit(" ", 1)[-1] if place > 0 else ""
    if word not in READERS:
        return None
    made: Second | Bad = READERS[word].validate_json(line[place + 1 :])
    return made


@dataclass(slots=True)
class Sum:
    """Seconds added up."""

    taken: int = 0
    seconds: int = 0
    cpu: float = 0.0
    open: int = 0
    oldest: float = 0.0  # age of the oldest list in use, s
    counts: dict[str, Counter[str]] = field(default_factory=lambda: {name: Counter() for name in COUNTERS})

    def add(self, one: Second) -> None:
        self.taken += one.taken
        self.seconds += 1
        self.cpu += one.cpu
        self.open += one.open
        self.oldest = max(self.oldest, one.list_age)
        for name in COUNTERS:
            self.counts[name].update(getattr(one, name))

    def lost(self) -> int:
        """Requests that were refused or failed."""
        return sum(many for how, many in self.counts["ended"].items() if how.partition(":")[1])

    def told(self) -> Json:
        """As JSON: counts, the largest first."""
        made: Json = {"taken": self.taken, "lost": self.lost(), "router_seconds": self.seconds}
        made |= {"cpu_s": round(self.cpu, 3), "oldest_list_s": round(self.oldest, 2)}
        made["open_mean"] = round(self.open / max(1, self.seconds), 1)
        for name in COUNTERS:
            if name not in BY_SERVER:
                made[name] = dict(self.counts[name].most_common())
        return made


@dataclass(slots=True)
class Fleet:
    """All routers of a day."""

    whole: Sum = field(default_factory=Sum)
    seconds: dict[int, Sum] = field(default_factory=lambda: defaultdict(Sum))
    routers: dict[str, Sum] = field(default_factory=lambda: defaultdict(Sum))
    torn: int = 0  # lines that begin as a record and can't be read

    def add(self, router: str, lines: Iterable[str]) -> None:
        mine = self.routers[router]
        for line in lines:
            try:
                one = read_line(line)
            except ValidationError:
                self.torn += 1
                continue
            if isinstance(one, Second):
                for each in (self.whole, self.seconds[int(one.at)], mine):
                    each.add(one)

    def servers(self) -> dict[str, tuple[int, int]]:
        """Attempts at each server, and those of them that got neither a value nor a miss."""
        sent, poor = self.whole.counts["sent"], self.whole.counts["poor"]
        return {name: (many, poor[name]) for name, many in sent.most_common()}

    def worst(self) -> list[tuple[int, Sum]]:
        """The seconds that lost most."""
        return sorted(self.seconds.items(), key=lambda one: -one[1].lost())[:MOST_SHOWN]


def files(folder: Path) -> list[Path]:
    """The logs in a folder, those below it among them."""
    return sorted(path for path in folder.rglob("*") if path.is_file())


def lines_of(path: Path) -> Iterator[str]:
    """A log's lines; bytes that are no text stay as marks, so that a torn line spoils no other."""
    with path.open(encoding="utf-8", errors="replace") as file:
        yield from file


def router_of(folder: Path, path: Path) -> str:
    """A router goes by its file's name."""
    return str(path.relative_to(folder).with_suffix(""))


def sum_folder(folder: Path) -> Fleet:
    """The logs of a folder added up. Raises OSError."""
    fleet = Fleet()
    for path in files(folder):
        fleet.add(router_of(folder, path), lines_of(path))
    return fleet


def follow(folder: Path, name: str) -> list[str]:
    """Each line that names a request, of all routers, in the order of their times where these are known."""
    found = []
    for path in files(folder):
        for line in lines_of(path):
            if name not in line:
                continue
            try:
                one = read_line(line)
            except ValidationError:
                one = None
            at = one.at if one is not None else 0.0
            found.append((at, f"{router_of(folder, path)}: {line.rstrip()}"))
    return [line for _, line in sorted(found, key=lambda one: one[0])]
