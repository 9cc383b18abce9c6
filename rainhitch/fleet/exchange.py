"""All that routers tell one another, by the kind of datagram: the one place where its parts meet. No
sockets, no clock.

    first byte   what                                 to whom                   part
    0xA2         answer times of cache servers        all, five times a second  advice, words, belief
    0xC1         requests taken, by customer          all, every Counts.every   counts
    0x51, 0x41   loans of a rate                      one                       holdings
    0x61 - 0x63  who is there                         one                       alive

A router of another version drops kinds that it does not know, and goes on without them.
"""

from dataclasses import dataclass, field
from random import Random
from typing import Any

from rainhitch.fleet.advice import VERSION as ANSWERS
from rainhitch.fleet.advice import AdviceError, decode, encode, hashes
from rainhitch.fleet.alive import Alive, AliveError, Kind
from rainhitch.fleet.belief import Belief
from rainhitch.fleet.counts import CountError, Counts
from rainhitch.fleet.holdings import ANSWER, QUESTION, HoldingError, Holdings
from rainhitch.fleet.options import Options
from rainhitch.fleet.words import Words
from rainhitch.interface import Part, Seen

COUNT = 0xC1
EVERYONE = -1
STEP = 100_000_000  # ns between two steps
PARTS = 5  # steps between two looks at the parts
MOST_A_SECOND = 100  # datagrams that are read of one router a second; a flood costs no more
Sent = list[tuple[int, bytes]]
Json = dict[str, Any]


class WordError(ValueError):
    """A datagram that can't be read."""


@dataclass(slots=True)
class Heard:
    """What a datagram brought: what is believed of servers, and what is to be sent."""

    seen: list[Seen] = field(default_factory=list)
    sent: Sent = field(default_factory=list)


class Exchange:
    """One router's end. `me`: its number among so many `routers`; below 0 where it does not know: then it
    tells and hears of answer times only. `life`: 1 to 2**32 - 1, more with each start."""

    def __init__(
        self, me: int, routers: int, customers: int, life: int, now: int, seed: int, options: Options
    ) -> None:
        self.me, self.routers = me, routers
        self.random = Random(f"{seed}/exchange")
        self.known: dict[int, str] = {}  # the listed servers, by the hash that stands for them
        self.words, self.belief = Words(), Belief(me) if options.bounded else None
        named = 0 <= me < routers
        self.counts = Counts(me, routers, customers, life, now) if named and options.counts else None
        self.alive = Alive(me, routers, life, now, seed) if named and options.members else None
        total = options.database_rps if named else 0.0
        self.holdings = Holdings(me, routers, total, now, seed) if total else None
        self.count_at = now + (0 if self.counts is None else self.random.randrange(self.counts.every))
        self.steps = 0
        self.read: dict[int, int] = {}  # datagrams of each router in the second that runs
        self.second = 0

    def listed(self, names: list[str]) -> None:
        """The list of servers has changed."""
        self.known = hashes(names)
        if self.belief is not None:
            self.belief.listed(names)

    def tell(self, now: int, seen: list[Seen]) -> bytes:
        """What is worth telling of what was seen in a period; begins the next one."""
        if self.belief is not None:
            self.belief.saw(now, seen)
        news = self.words.worth(seen)
        return encode(news) if news else b""

    def step(self, now: int) -> Sent:
        """To be called every STEP: what is to be sent now."""
        sent: Sent = []
        if self.counts is not None:
            self.counts.mark(now)
            if now >= self.count_at:
                self.count_at = now + int(self.counts.every * self.random.uniform(0.75, 1.25))
                sent.append((EVERYONE, bytes([COUNT]) + self.counts.word()))
        if self.alive is not None:
            sent += self.alive.step(now)
        if self.holdings is not None:
            sent += self.holdings.step(now)
        return sent

    def part(self, now: int) -> Part | None:
        """This router's part of each customer's requests, where the counts tell it."""
        self.steps += 1
        if self.counts is None or self.steps % PARTS:
            return None
        parts = self.counts.parts(now)
        return Part(parts, 2 * PARTS * STEP) if parts else None

    def heard(self, now: int, sender: int, data: bytes) -> Heard:
        """A datagram of another router. Raises WordError."""
        if now // 1_000_000_000 != self.second:
            self.second, self.read = now // 1_000_000_000, {}
        self.read[sender] = self.read.get(sender, 0) + 1
        if self.read[sender] > MOST_A_SECOND or not data or sender == self.me:
            raise WordError("too many, empty, or this router's own")
        kind = data[0]
        try:
            if kind == ANSWERS:
                seen = decode(data, self.known)
                self.words.heard(seen)
                return Heard(seen if self.belief is None else self.belief.vetted(now, sender, seen))
            if kind == COUNT and self.counts is not None:
                self.counts.heard(now, sender, data[1:])
                return Heard()
            if kind in (QUESTION, ANSWER) and self.holdings is not None:
                return Heard(sent=self.holdings.heard(now, sender, data))
            if kind in (Kind.ASK, Kind.ANSWER, Kind.HELP) and self.alive is not None:
                return Heard(sent=self.alive.heard(now, sender, data))
        except (AdviceError, CountError, HoldingError, AliveError) as problem:
            raise WordError(str(problem)) from None
        raise WordError("of a kind that is not known here, or off")

    def state(self, now: int) -> Json:
        """What this router believes, for `rainhitch fleet status`: one JSON object."""
        told: Json = {"me": self.me, "routers": self.routers}
        if self.belief is not None:
            told["bounded"] = self.belief.bounded
        if self.counts is not None:
            told["heard"] = len(self.counts.heard_of(now))
            told["parts"] = [round(one, 4) for one in self.counts.parts(now)]
            told["taken"] = self.counts.taken()
        if self.alive is not None:
            told |= {"life": self.alive.life, "doubt": self.alive.doubt, "changes": self.alive.changes}
            told["gone"] = [n for n in range(self.routers) if not self.alive.alive(n)]
        if self.holdings is not None:
            hold = self.holdings
            told["holds"] = {
                "of": round(hold.own * self.routers, 3),
                "own": round(hold.own, 3),
                "now": round(hold.held(now), 3),
                "needs": round(hold.needed, 3),
                "lent": round(sum(one.rate for one in hold.lent if one.until > now), 3),
                "borrowed": round(sum(one.rate for one in hold.borrowed if one.until > now), 3),
                "refused": hold.refused,
            }
        return told
