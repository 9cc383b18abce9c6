"""A router's counts of one second, without clocks or files: what is added up, and the records it becomes."""

from collections import Counter

from rainhitch.telemetry.records import Bad, Second

MOST_BAD = 8  # requests told of in a second; the others are in the sums


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

    def bad(self, at: float, name: str, how: str, tries: list[str]) -> None:
        """Notes a request by its id; guards the log against a flood of them."""
        if len(self.told) < MOST_BAD:
            self.told.append(Bad(at, name, how, tries))

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
