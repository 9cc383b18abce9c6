"""A router's counts of one second, and the records that they become. No clocks, no files."""

from collections import Counter

from rainhitch.telemetry.records import Bad, Second

MAX_BAD_RECORDS = 8  # in a second; the other requests are in the sums only
MIN_COUNTED_UNREAD_MS = 5
UNREAD_BOUNDS_MS = (20, 50, 100, 150)  # upper bounds of the counters; above the last: "more"
NS_PER_MS = 1_000_000


class Counts:
    """What has happened since the last record."""

    def __init__(self) -> None:
        self.counters: dict[str, Counter[str]] = {}  # by field of Second
        self.taken = 0
        self.last_cpu_s = 0.0  # until the last record
        self.bad: list[Bad] = []

    def add(self, field: str, name: str, amount: int = 1) -> None:
        """Counts under a field of Second and a name within it."""
        counter = self.counters.get(field)
        if counter is None:
            counter = self.counters[field] = Counter()
        counter[name] += amount

    def add_bad(self, bad: Bad) -> None:
        """Notes a request by its id. Guards the log against a flood of them."""
        if len(self.bad) < MAX_BAD_RECORDS:
            self.bad.append(bad)

    def add_lag(self, delay_ns: int) -> None:
        """Counts a delay of the event loop."""
        self.add("lag", "times")
        self.add("lag", "ms", delay_ns // NS_PER_MS)

    def add_unread(self, age_ms: int) -> None:
        """Counts a request by how long its bytes may have lain unread."""
        if age_ms >= MIN_COUNTED_UNREAD_MS:
            bound_ms = next((bound_ms for bound_ms in UNREAD_BOUNDS_MS if age_ms < bound_ms), None)
            self.add("unread", "more" if bound_ms is None else f"under {bound_ms} ms")

    def take_record(self, at_unix_s: float, cpu_s: float) -> Second | None:
        """The record of what was counted since the last one; None where nothing was.

        `cpu_s` is what the process has used of its CPU in all.
        """
        if not self.taken and not self.counters:
            return None
        record = Second(at_unix_s, self.taken, cpu=round(cpu_s - self.last_cpu_s, 4))
        for field, counter in self.counters.items():
            setattr(record, field, dict(counter))
        self.counters = {}
        self.taken = 0
        self.last_cpu_s = cpu_s
        return record

    def take_bad_requests(self) -> list[Bad]:
        """The requests noted since the last time."""
        records = self.bad
        self.bad = []
        return records
