"""What the fake database decides without I/O: which writes are repeats, and when it is overloaded.

The caller passes the time, in nanoseconds on any clock that does not go back.
"""

from collections import OrderedDict, deque
from typing import NamedTuple

IDEMPOTENCY_WINDOW_NS = 5_000_000_000  # for which a write with the same idempotency key is dropped
NANOSECONDS_PER_SECOND = 1e9
NO_PART = -1


class IdempotencyWindow:
    """The idempotency keys of writes carried out within a window of time: a repeat of one is dropped."""

    def __init__(self, window_ns: int = IDEMPOTENCY_WINDOW_NS) -> None:
        self.window_ns = window_ns
        self._carried_out_at_ns: OrderedDict[str, int] = OrderedDict()  # oldest first

    def register(self, now_ns: int, idempotency_key: str) -> bool:
        """Registers a write that is to be carried out; False for a repeat of one within the window."""
        carried_out = self._carried_out_at_ns
        while carried_out and next(iter(carried_out.values())) <= now_ns - self.window_ns:
            carried_out.popitem(last=False)
        if idempotency_key in carried_out:
            return False
        carried_out[idempotency_key] = now_ns
        return True


class LoadPart(NamedTuple):
    """One part of the detector's window: how many requests came, and how many could be served."""

    number: int
    received: float
    capacity: float


class OverloadDetector:
    """Whether the database was sent a multiple of its capacity for a whole window, seen in tenths of it."""

    PARTS = 10

    def __init__(self, capacity_factor: float, window_ns: int) -> None:
        self.capacity_factor = capacity_factor
        self._part_ns = max(1, window_ns // self.PARTS)
        self._parts: deque[LoadPart] = deque(maxlen=self.PARTS)
        self._current = NO_PART

    def count_request(self, now_ns: int, capacity_per_s: float) -> bool:
        """Counts a request; gives whether the window that ends now held more than the database bears."""
        number = now_ns // self._part_ns
        part_capacity = capacity_per_s * self._part_ns / NANOSECONDS_PER_SECOND
        while self._current < number:
            starts_anew = self._current < 0 or number - self._current > self.PARTS
            self._current = number if starts_anew else self._current + 1
            self._parts.append(LoadPart(self._current, 0.0, part_capacity))
        last = self._parts[-1]
        self._parts[-1] = LoadPart(last.number, last.received + 1, max(last.capacity, part_capacity))
        is_whole = len(self._parts) == self.PARTS and self._parts[0].number > number - self.PARTS - 1
        if not is_whole:
            return False
        received = sum(part.received for part in self._parts)
        capacity = sum(part.capacity for part in self._parts)
        return received > self.capacity_factor * capacity

    def reset(self) -> None:
        """Forgets what was counted."""
        self._parts.clear()
        self._current = NO_PART
