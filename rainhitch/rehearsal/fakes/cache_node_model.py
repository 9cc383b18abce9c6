"""What a fake cache node can do: processor sharing on its cores, a queue, a cold start, a memory of keys.

Decisions without I/O: the caller passes the time. Work is microseconds on a core of speed 1. With n requests
in work on c cores each gets min(1, c / n) of a core's speed, times the fraction of its capacity that a node
which warms up has by then.
"""

import heapq
from collections import OrderedDict, deque
from typing import NamedTuple

COLD_LOAD_TOLERANCE_FACTOR = 1.25  # by chance a cold node may be sent so much more than its budget
NANOSECONDS_PER_MICROSECOND = 1000
TIMER_MARGIN_NS = 1000  # added to a timer, so that it does not fire before the work is done
DONE_TOLERANCE_US = 0.5  # of work that may be left for a request to be finished
NOT_COLD_NS = -1
OVERHEAD = ""  # the name of work that nobody waits for


class RunningWork(NamedTuple):
    """One request in work; ordered by when it is finished, then by when it was begun."""

    # All requests in work advance at one rate, so a finish is kept not as a time, which shifts whenever
    # another begins or ends, but as a sum: this one is done once `CacheNodeModel._done_us` has reached it.
    finishes_at_work_us: float
    number: int
    name: str


class QueuedWork(NamedTuple):
    """One request that waits for a slot."""

    name: str
    work_us: float


class CacheNodeModel:
    """One node's cores, slots and queue. Times are nanoseconds on any clock that does not go back."""

    def __init__(self, cores: int, speed_factor: float, slots: int, queue_length: int) -> None:
        self.cores = cores
        self.speed_factor = speed_factor
        self.slots = slots
        self.queue_length = queue_length
        self._cold_fraction = 1.0
        self._warm_up_ns = 1
        self._cold_since_ns = NOT_COLD_NS
        self._done_us = 0.0  # work that each request in work has had since the start
        self._now_ns = 0  # until when `_done_us` counts
        self._running: list[RunningWork] = []  # a heap
        self._queue: deque[QueuedWork] = deque()
        self._begun_count = 0

    def start_cold(self, now_ns: int, cold_fraction: float, warm_up_ns: int) -> None:
        """Begins anew with a fraction of the capacity, which grows evenly to the whole."""
        self._cold_fraction = cold_fraction
        self._warm_up_ns = max(1, warm_up_ns)
        self._cold_since_ns = now_ns
        self._now_ns = now_ns
        self._running = []
        self._queue.clear()

    def capacity_fraction(self, now_ns: int) -> float:
        """The fraction of its capacity that the node has: under 1 while it warms up."""
        if self._cold_since_ns < 0 or now_ns >= self._cold_since_ns + self._warm_up_ns:
            return 1.0
        return (
            self._cold_fraction
            + (1 - self._cold_fraction) * (now_ns - self._cold_since_ns) / self._warm_up_ns
        )

    def capacity_cores(self, now_ns: int) -> float:
        """How many cores of speed 1 the node is worth now: us of work that it does a microsecond."""
        return self.cores * self.speed_factor * self.capacity_fraction(now_ns)

    def _work_rate(self, now_ns: int) -> float:
        """Microseconds of work that each request in work gets a microsecond."""
        core_share = min(1.0, self.cores / max(1, len(self._running)))
        return self.speed_factor * self.capacity_fraction(now_ns) * core_share

    def _advance(self, now_ns: int) -> None:
        if now_ns > self._now_ns:
            middle_ns = (self._now_ns + now_ns) // 2
            elapsed_us = (now_ns - self._now_ns) / NANOSECONDS_PER_MICROSECOND
            self._done_us += elapsed_us * self._work_rate(middle_ns)
            self._now_ns = now_ns

    def _begin(self, name: str, work_us: float) -> None:
        self._begun_count += 1
        heapq.heappush(self._running, RunningWork(self._done_us + work_us, self._begun_count, name))

    def offer(self, now_ns: int, name: str, work_us: float) -> bool:
        """Takes a request into work or the queue; False where both are full."""
        self._advance(now_ns)
        if len(self._running) < self.slots:
            self._begin(name, work_us)
        elif len(self._queue) < self.queue_length:
            self._queue.append(QueuedWork(name, work_us))
        else:
            return False
        return True

    def add_overhead(self, now_ns: int, work_us: float) -> None:
        """Work that nobody waits for: a handshake, a health check."""
        self._advance(now_ns)
        self._begin(OVERHEAD, work_us)

    def next_finish_in_ns(self, now_ns: int) -> int | None:
        """In how many ns the next request is finished, as things stand; None where nothing is in work."""
        if not self._running:
            return None
        left_us = (self._running[0].finishes_at_work_us - self._done_us) / self._work_rate(now_ns)
        elapsed_ns = now_ns - self._now_ns
        return max(0, int(left_us * NANOSECONDS_PER_MICROSECOND) - elapsed_ns) + TIMER_MARGIN_NS

    def take_finished(self, now_ns: int) -> list[str]:
        """The requests that are finished by now, in that order; queued ones take their slots."""
        self._advance(now_ns)
        finished = []
        while self._running and self._running[0].finishes_at_work_us <= self._done_us + DONE_TOLERANCE_US:
            name = heapq.heappop(self._running).name
            if name != OVERHEAD:
                finished.append(name)
        while self._queue and len(self._running) < self.slots:
            self._begin(*self._queue.popleft())
        return finished

    def withdraw(self, name: str) -> bool:
        """Takes a request out of the queue; False for one that is not in it: what is in work goes on."""
        for queued in self._queue:
            if queued.name == name:
                self._queue.remove(queued)
                return True
        return False


class ColdLoadLimit:
    """How much work a cold node bears within a window of time; beyond that it collapses."""

    def __init__(self, capacity_factor: float, window_ns: int) -> None:
        # The work it bears, as a multiple of what it can do in the window.
        self.capacity_factor = capacity_factor
        self.window_ns = window_ns
        self._received: deque[tuple[int, float]] = deque()  # when, and microseconds of work
        self._total_us = 0.0

    def count_and_check(self, now_ns: int, work_us: float, capacity_cores: float) -> bool:
        """Counts work that was sent; gives whether the window holds more than the node bears."""
        self._received.append((now_ns, work_us))
        self._total_us += work_us
        while self._received[0][0] <= now_ns - self.window_ns:
            self._total_us -= self._received.popleft()[1]
        budget_us = self.capacity_factor * capacity_cores * self.window_ns / NANOSECONDS_PER_MICROSECOND
        return self._total_us > budget_us * COLD_LOAD_TOLERANCE_FACTOR


class KeyMemory:
    """The keys that a node holds; the least recently used one is evicted first."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._keys: OrderedDict[str, None] = OrderedDict()

    def hit(self, key: str) -> bool:
        """Whether the node holds the key, which is then the most recently used."""
        if key in self._keys:
            self._keys.move_to_end(key)
            return True
        return False

    def store(self, key: str) -> None:
        """Holds a key from now on, as the most recently used."""
        self._keys[key] = None
        self._keys.move_to_end(key)
        if len(self._keys) > self.capacity:
            self._keys.popitem(last=False)

    def invalidate(self, key: str) -> bool:
        """Drops a key; whether it was held."""
        if key not in self._keys:
            return False
        del self._keys[key]
        return True
