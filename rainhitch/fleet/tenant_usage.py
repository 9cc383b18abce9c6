"""How much each router takes in of each customer, told to all, and this router's part of it. No sockets, no
clock.

Theory. Each author tells, of its latest window, how many requests it took of each customer, under its life
and a number that grows with each word (a counter by author and incarnation, Shapiro and others 2011, in
windows, so that what is long over goes). Of two words of an author the one of the higher life, then number,
holds, however often and in whatever order they came: a router that restarted, was doubled on the way or
comes back from a pause counts once, and a word from its earlier life not at all.

    life (4) | number (4) | of each customer (2 each)      beyond MOST customers: the sum alone

Error. A word is `every` old at most while it comes, and what is not heard for END of these is left out: a
part is off by what traffic moved between routers meanwhile. Routers that are not heard are taken for as busy
as the mean of those that are, so what is told needs no more than a sample; from fewer than ENOUGH of them,
and fewer than SAMPLE, nothing is told. Words a router hears a second are bounded by HEARD_A_SECOND.
"""

import struct
from collections import deque
from dataclasses import dataclass

HEAD = struct.Struct(">II")
SECOND = 1_000_000_000
WINDOW = 4 * SECOND
EVERY = SECOND  # ns between two words of a router, where the fleet is small
HEARD_A_SECOND = 20
END = 4  # words missed, after which a router is one of those that are not heard
ENOUGH, SAMPLE = 1 / 4, 16  # part of the others, or number of them, that has to be heard
MOST = 16  # customers that are told one by one
MOST_TOLD = 0xFFFF


class TenantUsageError(ValueError):
    """A word that can't be read."""


@dataclass(slots=True)
class UsageReport:
    """The latest word of one router."""

    life: int
    number: int
    taken: tuple[int, ...]  # in its window, by customer
    heard_at: int


class TenantUsage:
    """All routers' counts at one of them. `routers`: how many there are; `life`: 32 bits, more with each
    start of this one; `customers`: how many there are. Times are ns."""

    def __init__(self, me: int, routers: int, customers: int, life: int, now: int) -> None:
        self.me, self.routers, self.life = me, routers, life
        self.told = customers if customers <= MOST else 1  # counts in a word
        self.number = 0
        self.totals = [0] * self.told
        self.marks: deque[tuple[int, tuple[int, ...]]] = deque([(now, tuple(self.totals))])
        self.others: dict[int, UsageReport] = {}
        self.interval_ns = max(EVERY, routers * SECOND // HEARD_A_SECOND)

    def add(self, customer: int) -> None:
        """This router has taken a request."""
        self.totals[customer if customer < self.told else 0] += 1

    def mark(self, now: int) -> None:
        """To be called a few times a second: where the window begins."""
        self.marks.append((now, tuple(self.totals)))
        while len(self.marks) > 1 and now - self.marks[1][0] >= WINDOW:
            self.marks.popleft()

    def taken(self) -> list[int]:
        """What this router took in its window, by customer."""
        return [after - before for after, before in zip(self.totals, self.marks[0][1], strict=True)]

    def encode(self) -> bytes:
        """What to tell now."""
        self.number += 1
        taken = [min(MOST_TOLD, one) for one in self.taken()]
        return HEAD.pack(self.life, self.number) + struct.pack(f">{self.told}H", *taken)

    def receive(self, now: int, author: int, data: bytes) -> bool:
        """Another router's word; whether it told anything new. Raises CountError."""
        wrong = len(data) != HEAD.size + 2 * self.told
        if wrong or not 0 <= author < self.routers or author == self.me:
            raise TenantUsageError("no count of a router")
        life, number = HEAD.unpack_from(data)
        before = self.others.get(author)
        if before is not None and (life, number) <= (before.life, before.number):
            return False
        self.others[author] = UsageReport(
            life, number, struct.unpack(f">{self.told}H", data[HEAD.size :]), now
        )
        return True

    def fresh_reports(self, now: int) -> list[UsageReport]:
        """The others whose word still holds."""
        return [one for one in self.others.values() if now - one.heard_at <= END * self.interval_ns]

    def fractions(self, now: int) -> list[float]:
        """This router's part of all routers' requests of each customer, 0 to 1, in the customers' order (one
        for all beyond MOST); empty where too few routers are heard to say."""
        heard = self.fresh_reports(now)
        if not heard or len(heard) < min(SAMPLE, (self.routers - 1) * ENOUGH):
            return []
        more = (self.routers - 1) / len(heard)  # who is not heard is as busy as the mean
        sums = [sum(one) * more for one in zip(*(one.taken for one in heard), strict=True)]
        return [
            mine / (mine + others) if mine else 0.0 for mine, others in zip(self.taken(), sums, strict=True)
        ]
