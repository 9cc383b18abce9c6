"""A router's counts of one second, without clocks or files: what is added up, and the records it becomes."""

from collections import Counter

from rainhitch.telemetry.records import Bad, Second

MOST_BAD = 8  # requests told of in a second; the others are in the sums
UNREAD_LEAST, UNREAD_BOUNDS = 5, (20, 50, 100, 150)  # ms
MILLI = 1_000_000


class Counts:
    """What has happened since the last record."""

    def __init__(self) -> None:
        self.since: dict[str, Counter[str]] = {}
        self.taken = 0
        self.cpu = 0.0  # s of CPU until the last record
        self.told: list[Bad] = []

    def add(self, field: str, name: str, many: int = 1) -> None:
        """Counts under a field of Second and a name within it."""
        counter = self.since.get(field)
        if counter is None:
            counter = self.since[field] = Counter()
        counter[name] += many

    def add_bad(self, bad: Bad) -> None:
        """Notes a request by its id; guards the log against a flood of them."""
        if len(self.told) < MOST_BAD:
            self.told.append(bad)

    def add_lag(self, delay: int) -> None:
        """Counts a delay of the event loop, ns."""
        self.add("lag", "times")
        self.add("lag", "ms", delay // MILLI)

    def add_unread(self, age_ms: int) -> None:
        """Counts a request by how long its bytes may have lain unread."""
        if age_ms >= UNREAD_LEAST:
            bound = next((bound for bound in UNREAD_BOUNDS if age_ms < bound), None)
            self.add("unread", "more" if bound is None else f"under {bound} ms")

    def cut(self, at: float, cpu: float) -> Second | None:
        """The record of what was counted since the last one; None where nothing was. `cpu`: s in all."""
        if not self.taken and not self.since:
            return None
        made = Second(at, self.taken, cpu=round(cpu - self.cpu, 4))
        for field, counter in self.since.items():
            setattr(made, field, dict(counter))
        self.since, self.taken, self.cpu = {}, 0, cpu
        return made

    def cut_bad(self) -> list[Bad]:
        """The requests noted since the last time."""
        made, self.told = self.told, []
        return made
