"""A rate that is a total for all routers, split into holdings: the sum is never over it. No sockets, no
clock.

Theory. Escrow (O'Neil 1986): each router owns an equal part of the total for good, and may spend it without
asking anybody. What one does not need it lends to another, for a time: from the moment at which it lends, it
counts that part as spent, until the time is over at the borrower whatever became of the word. No clocks are
compared: the borrower's question carries a nonce, and the loan ends TERM after the *question was sent*, by
the borrower's clock; the lender, who got the question later than that, holds the part back for TERM and the
drift bound from when it *answered*. So a loan that is lost, late or doubled ends at the borrower before the
lender takes it up again, and who hears nothing falls back to its own part once its loans have ended.

The sum of what all may spend at any instant is at most the total: each unit is its owner's, or is lent to
one. Over a window of w seconds all together spend at most `total * w` and what their banks held at its begin
(what the total gives in `burst`, and a unit of each).

A router that starts knows nothing of what its earlier life lent. So only LENDABLE of a part is ever lent,
and that much is left alone for the first TERM and drift of a life. A router that was stopped finds its loans
ended: time is looked at with each unit spent, on a clock that goes on while the process stands still. What a
late waker's bank holds is cut to what it holds in `burst`.

    question:  kind Q | nonce (4) | wanted (4)     answer:  kind A | nonce (4) | lent (4)     in milli-units
    a second
"""

import math
import struct
from dataclasses import dataclass
from random import Random

SECOND = 1_000_000_000
TERM = 4 * SECOND  # ns that a loan lasts at the borrower, from its question
DRIFT = 1 / 16  # part by which two routers' clocks may differ in speed
LENDABLE = 3 / 4  # part of what a router owns that it may lend
EVERY = SECOND // 2  # ns between two rounds of questions
ASKED = 16  # routers asked in a round, at most
LEAST = 1 / 8  # part of its own below which a router asks for no loan
MOST_LOANS = 128  # at a router, given and taken: bounded whatever comes
QUESTION, ANSWER = 0x51, 0x41
WORD = struct.Struct(">BII")
Datagrams = list[tuple[int, bytes]]  # to which router, what


class QuotaEscrowError(ValueError):
    """A word that can't be read."""


@dataclass(slots=True)
class Lease:
    """A part of a rate, until when."""

    rate: float
    until: int


class QuotaEscrow:
    """One router's side of a total that all share: `total` units a second over `routers`, this one is `me`.
    `burst`: seconds of what it holds that its bank keeps at most. Times are ns of a monotonic clock."""

    def __init__(self, me: int, routers: int, total: float, now: int, seed: int, burst: float = 1.0) -> None:
        self.me, self.routers, self.own_per_s, self.burst = me, routers, total / routers, burst
        self.random = Random(f"{seed}/holdings")
        self.spent_at = self.stepped = self.round_at = now
        self.tokens = 0.0
        self.demand_per_s = 0.0  # units a second that were asked for, lately
        self.asked = 0  # units asked for since the last step
        self.quiet_until = now + int(TERM * (1 + DRIFT))  # what an earlier life lent has ended by then
        self.lent: list[Lease] = []
        self.borrowed: list[Lease] = []
        self.questions: dict[int, tuple[int, int, float]] = {}  # nonce: whom, when, how much
        self.nonce = self.random.getrandbits(32)
        self.refused = 0

    def available_per_s(self, now: int) -> float:
        """Units a second that may be spent now."""
        return self._between(now, now)

    def _between(self, begin: int, end: int) -> float:
        """The least that was held at any time from begin to end."""
        lent = sum(one.rate for one in self.lent if one.until > begin)
        away = self.own_per_s * LENDABLE if begin < self.quiet_until else lent
        return max(0.0, self.own_per_s - away) + sum(one.rate for one in self.borrowed if one.until > end)

    def bucket_capacity(self, now: int) -> float:
        """Units that the bank holds at most: of all banks together what the total gives in `burst`, and a
        unit of each router."""
        return max(1.0, self.available_per_s(now) * self.burst)

    def _fill(self, now: int) -> None:
        """Guards the sum against loans that ended since the bank was last filled, here or at a borrower: the
        time counts for the least that was held in it, and a long one for no more than the bank."""
        passed = max(0, now - self.spent_at)
        gained = self._between(self.spent_at, now) * passed / SECOND
        self.tokens = min(self.bucket_capacity(now), self.tokens + gained)
        self.spent_at = max(now, self.spent_at)
        self.lent = [one for one in self.lent if one.until > now]
        self.borrowed = [one for one in self.borrowed if one.until > now]

    def take(self, now: int) -> bool:
        """Whether one more unit may go now; it is counted if it may."""
        self.asked += 1
        self._fill(now)
        if self.tokens < 1:
            self.refused += 1
            return False
        self.tokens -= 1
        return True

    def step(self, now: int) -> Datagrams:
        """To be called a few times a second; once a round, whom to ask for how much."""
        if now < self.round_at:
            return []
        self.round_at = now + int(EVERY * self.random.uniform(0.75, 1.25))
        self._fill(now)
        passed = max(1, now - self.stepped)
        self.demand_per_s += (self.asked * SECOND / passed - self.demand_per_s) / 2
        self.asked, self.stepped = 0, now
        self.questions = {nonce: one for nonce, one in self.questions.items() if now - one[1] < TERM}
        short = self.demand_per_s * (1 + LEAST) - self._lasting(now)
        room = MOST_LOANS - max(len(self.questions), len(self.borrowed))
        if short <= self.own_per_s * LEAST or self.routers < 2 or room <= 0:
            return []
        others = [one for one in range(self.routers) if one != self.me]
        many = math.ceil(short / (self.own_per_s * LENDABLE)) + 1  # one more: some have nothing to spare
        whom = self.random.sample(others, min(many, ASKED, room, len(others)))
        return [(one, self._question(now, one, short / len(whom))) for one in whom]

    def _lasting(self, now: int) -> float:
        """What is held with the loans that end within two rounds left out: they are to be asked for anew."""
        soon = sum(one.rate for one in self.borrowed if now < one.until <= now + 2 * EVERY)
        return self.available_per_s(now) - soon

    def _question(self, now: int, whom: int, wanted: float) -> bytes:
        self.nonce = (self.nonce + 1) & 0xFFFFFFFF
        self.questions[self.nonce] = whom, now, wanted
        return WORD.pack(QUESTION, self.nonce, min(0xFFFFFFFF, math.ceil(wanted * 1000)))

    def receive(self, now: int, sender: int, data: bytes) -> Datagrams:
        """Another router's word; gives the answer to it, if one is due. Raises HoldingError."""
        if len(data) != WORD.size or not 0 <= sender < self.routers or sender == self.me:
            raise QuotaEscrowError("no word of a router")
        kind, nonce, amount = WORD.unpack(data)
        if kind == QUESTION:
            lent = self._lend(now, amount / 1000)
            return [(sender, WORD.pack(ANSWER, nonce, lent))] if lent else []
        if kind != ANSWER:
            raise QuotaEscrowError("of no known kind")
        whom, sent, wanted = self.questions.get(nonce, (-1, 0, 0.0))
        if whom != sender:
            return []  # of an earlier life, doubled, or never asked for
        del self.questions[nonce]
        # Guards against an answer that is larger than what was asked for: nobody lends that.
        if now < sent + TERM and amount <= math.ceil(wanted * 1000):
            self._fill(now)
            self.borrowed.append(Lease(amount / 1000, sent + TERM))
        return []

    def _lend(self, now: int, wanted: float) -> int:
        """Lends what can be spared, in milli-units a second; holds it back from now on."""
        self._fill(now)
        if now < self.quiet_until or len(self.lent) >= MOST_LOANS:
            return 0
        left = self.own_per_s * LENDABLE - sum(one.rate for one in self.lent)
        spare = min(left, self.available_per_s(now) - self.demand_per_s * (1 + LEAST), wanted)
        lent = math.floor(spare * 1000)
        if lent <= 0 or spare < self.own_per_s * LEAST / 4:
            return 0
        self.lent.append(Lease(lent / 1000, now + int(TERM * (1 + DRIFT))))
        return lent
