"""When to come back: times that are given out like appointments, and whether they were kept.

Theory. Clients refused together and told the same time come back together, and meet the same crowd. Each
refusal is given a place in a line of returns instead, the next one free at the pace at which work is done.
So the times spread by themselves, and grow with the storm: the more were refused, the later the next
place. A seeded part of a place's width, by request, keeps routers that refuse in step from
telling the same times. Beyond the longest time that may be told there are no more places: then a time is
drawn evenly from the later half of what may be told, which is the best spread that is left.

A client has no name here, and its retry a new id. It is known again by what it asks: customer, class, key
and order. A time that was kept is worth a better lane; who comes before it gets the worst.
"""

from collections import deque
from enum import Enum
from random import Random

from rainhitch.interface import Request

SECOND = 1_000_000_000
EARLY = 20_000_000  # ns before its time that still count as kept: clocks and the way
KEPT_FOR = 2 * SECOND  # ns after its time for which an appointment is remembered
MOST = 8192  # remembered at once
SAME = 4  # of them for one and the same question
LEAST = 10_000_000  # ns: no shorter time is told


class Return(Enum):
    """How a request stands to what it may have been told."""

    NEW = "new"  # nothing is known of it
    KEPT = "kept"  # it comes when it was told to
    EARLY = "early"  # it comes before that


Question = tuple[int, int, str | None, str]


def question(request: Request) -> Question:
    """What a retry has in common with its first try."""
    return request.tenant, request.class_index, request.key, request.idempotency_key


class RetryAfterScheduler:
    """Times to come back, in ns. `most_wait` is the longest that may be told; 0: none may."""

    def __init__(self, most_wait: int, seed: int, most: int = MOST) -> None:
        self.most_wait, self.most = most_wait, most
        self.random = Random(f"{seed}/appointments")
        self.next_free = 0
        self.given: dict[Question, deque[int]] = {}
        self.kept = self.early = 0

    def give(self, now: int, pace: float, asked: Question | None = None, left: int | None = None) -> int:
        """How long to stay away, ns; `pace` is the returns a second that can be served, `left` the client's
        time that a wait must not use up. Remembered where it is known what was asked."""
        if not self.most_wait:
            if asked is not None:
                self._note(now, asked, now)
            return 0
        most = self.most_wait if left is None else max(LEAST, min(self.most_wait, left))
        width = int(SECOND / max(pace, 1e-3))
        free = max(self.next_free, now + LEAST)
        place = free + int(self.random.random() * width)
        if place - now <= most:
            self.next_free = free + width
            wait = place - now
        else:
            wait = int(most * self.random.uniform(0.5, 1.0))
        if asked is not None:
            self._note(now, asked, now + wait)
        return wait

    def _note(self, now: int, asked: Question, at: int) -> None:
        times = self.given.pop(asked, None) or deque(maxlen=SAME)
        times.append(at)
        self.given[asked] = times  # the latest told goes last
        if len(self.given) > self.most:
            del self.given[next(iter(self.given))]

    def arrived(self, now: int, asked: Question, repeat: bool) -> Return:
        """Takes the appointment that this request keeps or breaks, if it has one. Unmarked requests count
        only if they keep one: another client may ask the same."""
        times = self.given.get(asked)
        while times and times[0] < now - KEPT_FOR:
            times.popleft()
        if not times:
            self.given.pop(asked, None)
            return Return.NEW
        if not self.most_wait:
            times.popleft()
            return Return.EARLY if repeat else Return.NEW
        if times[0] - EARLY <= now:
            times.popleft()
            self.kept += 1
            return Return.KEPT
        if not repeat:
            return Return.NEW
        times.pop()
        self.early += 1
        return Return.EARLY
