"""What a cache node can do, without sockets or clocks: cores shared by what is in work, a queue, a cold
start.

Work is microseconds on a core of speed 1. With n requests in work on c cores each gets min(1, c / n) of a
core's speed, times the part of its capacity that a node which warms up has by then.
"""

import heapq
from collections import OrderedDict, deque

SLACK = 1.25  # chance may send a cold node so much more than its budget
DROPS_FOR = 5_000_000_000  # ns for which a repeat of an order key is dropped


class CacheNodeModel:
    """One node's cores, slots and waiting room. Times are nanoseconds."""

    def __init__(self, cores: int, speed: float, slots: int, queue: int) -> None:
        self.cores, self.speed, self.slots, self.queue = cores, speed, slots, queue
        self.cold_from, self.warm_ns, self.cold_at = 1.0, 1, -1
        self.done = 0.0  # work that each request in work has had since the start
        self.at = 0
        self.running: list[tuple[float, int, str]] = []  # finishes when `done` gets there
        self.waiting: deque[tuple[str, float]] = deque()
        self.count = 0

    def start_cold(self, now: int, cold_from: float, warm_ns: int) -> None:
        """Begins anew with part of the capacity, which grows evenly to the whole."""
        self.cold_from, self.warm_ns, self.cold_at = cold_from, max(1, warm_ns), now
        self.running, self.at = [], now
        self.waiting.clear()

    def factor(self, now: int) -> float:
        """The part of its capacity that it has."""
        if self.cold_at < 0 or now >= self.cold_at + self.warm_ns:
            return 1.0
        return self.cold_from + (1 - self.cold_from) * (now - self.cold_at) / self.warm_ns

    def capacity(self, now: int) -> float:
        """Work a microsecond, in microseconds: cores that it is worth now."""
        return self.cores * self.speed * self.factor(now)

    def _rate(self, now: int) -> float:
        return self.speed * self.factor(now) * min(1.0, self.cores / max(1, len(self.running)))

    def _advance(self, now: int) -> None:
        if now > self.at:
            self.done += (now - self.at) / 1000 * self._rate((self.at + now) // 2)
            self.at = now

    def _begin(self, name: str, work: float) -> None:
        self.count += 1
        heapq.heappush(self.running, (self.done + work, self.count, name))

    def offer(self, now: int, name: str, work: float) -> bool:
        """Takes a request into work or the queue; False: turned away."""
        self._advance(now)
        if len(self.running) < self.slots:
            self._begin(name, work)
        elif len(self.waiting) < self.queue:
            self.waiting.append((name, work))
        else:
            return False
        return True

    def burden(self, now: int, work: float) -> None:
        """Work that nobody waits for: a handshake, a probe."""
        self._advance(now)
        self._begin("", work)

    def due(self, now: int) -> int | None:
        """In how many nanoseconds the next request is finished, as things stand; None if there is none."""
        if not self.running:
            return None
        left = (self.running[0][0] - self.done) / self._rate(now)
        return max(0, int(left * 1000) - (now - self.at)) + 1000

    def finish(self, now: int) -> list[str]:
        """The requests that are finished by now; those that wait take their place."""
        self._advance(now)
        ended = []
        while self.running and self.running[0][0] <= self.done + 0.5:
            name = heapq.heappop(self.running)[2]
            if name:
                ended.append(name)
        while self.waiting and len(self.running) < self.slots:
            self._begin(*self.waiting.popleft())
        return ended

    def withdraw(self, name: str) -> bool:
        """Takes out a request that waits; one in work goes on."""
        for one in self.waiting:
            if one[0] == name:
                self.waiting.remove(one)
                return True
        return False


class Budget:
    """Rule 4 at one node: what a cold one is sent within a window, against what it can do."""

    def __init__(self, multiple: float, window_ns: int) -> None:
        self.multiple, self.window = multiple, window_ns
        self.sent: deque[tuple[int, float]] = deque()
        self.total = 0.0

    def over(self, now: int, work: float, capacity: float) -> bool:
        """Counts work that was sent; whether the window holds more than the node bears."""
        self.sent.append((now, work))
        self.total += work
        while self.sent[0][0] <= now - self.window:
            self.total -= self.sent.popleft()[1]
        return self.total > self.multiple * capacity * self.window / 1000 * SLACK


class Memory:
    """The keys that a node holds; the least lately used goes first."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.keys: OrderedDict[str, None] = OrderedDict()

    def hit(self, key: str) -> bool:
        if key in self.keys:
            self.keys.move_to_end(key)
            return True
        return False

    def store(self, key: str) -> None:
        self.keys[key] = None
        self.keys.move_to_end(key)
        if len(self.keys) > self.most:
            self.keys.popitem(last=False)

    def void(self, key: str) -> bool:
        """Drops a key; whether it was there."""
        if key not in self.keys:
            return False
        del self.keys[key]
        return True


class Repeats:
    """Order keys carried out lately: a repeat within the window is dropped."""

    def __init__(self, window_ns: int = DROPS_FOR) -> None:
        self.window = window_ns
        self.seen: OrderedDict[str, int] = OrderedDict()

    def first(self, now: int, order: str) -> bool:
        """Whether this order is new; notes it if so."""
        while self.seen and next(iter(self.seen.values())) <= now - self.window:
            self.seen.popitem(last=False)
        if order in self.seen:
            return False
        self.seen[order] = now
        return True


class Overload:
    """When the database stops: sent many times its capacity for a time. Looked at in tenths of that time."""

    PARTS = 10

    def __init__(self, multiple: float, after_ns: int) -> None:
        self.multiple, self.part = multiple, max(1, after_ns // self.PARTS)
        self.counts: deque[tuple[int, float, float]] = deque(maxlen=self.PARTS)  # part, sent, could do
        self.current = -1

    def stops(self, now: int, per_second: float) -> bool:
        """Counts a request; whether the time until now was beyond what it bears."""
        number = now // self.part
        while self.current < number:
            first = self.current < 0 or number - self.current > self.PARTS
            self.current = number if first else self.current + 1
            self.counts.append((self.current, 0.0, per_second * self.part / 1e9))
        part, sent, able = self.counts[-1]
        self.counts[-1] = (part, sent + 1, max(able, per_second * self.part / 1e9))
        if len(self.counts) < self.PARTS or self.counts[0][0] <= number - self.PARTS - 1:
            return False
        return sum(one[1] for one in self.counts) > self.multiple * sum(one[2] for one in self.counts)

    def reset(self) -> None:
        self.counts.clear()
        self.current = -1
