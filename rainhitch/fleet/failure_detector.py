"""Which routers are there, as told from one to another. No sockets, no clock.

SWIM (Das, Gupta, Motivala 2002): each router asks one other a period, in an order drawn anew each round, so
that all are asked within a round; who does not answer is asked through HELPERS others; who stays silent is
suspected, and, if it does not refute that in time, dead. News rides on these words, MOST_NEWS a datagram, the
least told first, each RETOLD times the logarithm of the fleet. A router refutes what is said against it by a
higher incarnation. With Lifeguard (Dadgar, Phillips, Currey 2018): a router that is late itself, or is not
answered at all, doubts itself before others: its health, 0 to MOST_DOUBT, stretches what it waits for.

What a router sends is one question a period, its helpers' at most, and an answer to each question that it
got; it is asked once a period by one other in the mean. So words a second do not grow with the fleet.

A router that was stopped and wakes up has missed the answers of others, not they theirs: what it waited for
while it was away is given up without a verdict. One that restarts comes with a higher life, by which whoever
holds its earlier one as dead knows it for new; should its wall clock have gone back meanwhile, it hears of
its earlier life, and takes a higher one.

    kind (1) | sequence (2) | whom it is about (2) | news: router (2), life (4), state and incarnation (1),
    ...
"""

import math
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
from random import Random

SECOND = 1_000_000_000
PERIOD = SECOND
ANSWERS = SECOND // 5  # ns for a direct answer; a datagram's way is under a tenth of a second
HELPERS = 2
SUSPECTED = 3  # periods, times the logarithm of the fleet, for which a suspect may refute
RETOLD = 3
MOST_INCARNATION = 63
MOST_NEWS = 6  # in a datagram
MOST_DOUBT = 8
AWAY = SECOND // 2  # ns by which a step is late when its router itself was away
HEAD, NEWS = struct.Struct(">BHH"), struct.Struct(">HIB")
UNKNOWN = 0  # the life of a router that nobody has heard
MOST_LIFE = 0xFFFFFFFF
Datagrams = list[tuple[int, bytes]]


class MessageKind(IntEnum):
    """What a word is."""

    ASK = 0x61
    ANSWER = 0x62
    HELP = 0x63  # ask that one for me


class RouterState(IntEnum):
    """What is held of a router; of two words of one life and incarnation the larger wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class FailureDetectorError(ValueError):
    """A word that can't be read."""


@dataclass(slots=True)
class RouterRecord:
    """What is held of one router."""

    life: int = UNKNOWN
    incarnation: int = 0  # 0 to MOST_INCARNATION, within its life
    state: RouterState = RouterState.ALIVE
    since: int = 0

    @property
    def rank(self) -> tuple[int, int, int]:
        """Of two words on a router the one of the higher rank holds. That order is total, so that all who
        have heard the same words hold the same, however often and in whatever order they came."""
        return self.life, self.incarnation, self.state


@dataclass(slots=True)
class Ping:
    """One that is out; `helped`: others were asked to help. `by`: for whom it was asked, and its number."""

    whom: int
    until: int
    helped: bool = False
    by: tuple[int, int] | None = None


class FailureDetector:
    """One router's view. `routers`: the fixed list of names, `me` its number in it; `life`: 1 to MOST_LIFE,
    more with each start. Times are ns."""

    def __init__(self, me: int, routers: int, life: int, now: int, seed: int) -> None:
        self.me, self.routers = me, routers
        self.random = Random(f"{seed}/alive")
        self.known = [RouterRecord(since=now) for _ in range(routers)]
        self.known[me] = RouterRecord(life, since=now)
        self.news: dict[int, int] = {me: 0}  # about whom, how often told
        self.round: list[int] = []
        self.questions: dict[int, Ping] = {}
        self.number = 0
        self.local_suspicion = 0
        self.period_at = now
        self.stepped = now
        self.changes = 0

    def is_alive(self, router: int) -> bool:
        """Whether it is taken to be there; a suspect still is."""
        return self.known[router].state is not RouterState.DEAD

    def live_routers(self) -> list[int]:
        """All that are taken to be there, this one among them."""
        return [number for number in range(self.routers) if self.is_alive(number)]

    @property
    def generation(self) -> int:
        """This router's own."""
        return self.known[self.me].life

    @property
    def _spread(self) -> int:
        """How often news is told, and for how many periods a suspect may refute, per constant."""
        return max(1, math.ceil(math.log2(self.routers + 1)))

    def step(self, now: int) -> Datagrams:
        """To be called some times a second: what is to be sent now."""
        late, self.stepped = now - self.stepped, now
        if late > AWAY + ANSWERS:
            # Guards the others against the verdicts of one that was away: it has heard nobody.
            self.questions.clear()
            self.period_at = now + PERIOD
            self._doubts(1)
            for held in self.known:
                held.since += late
        words: Datagrams = []
        for number, one in list(self.questions.items()):
            if now >= one.until:
                words += self._unanswered(now, number, one)
        for router, held in enumerate(self.known):
            if held.state is RouterState.SUSPECT and now - held.since >= self._patience():
                self._hold(now, router, held.life, held.incarnation, RouterState.DEAD)
        if now >= self.period_at:
            self.period_at = now + PERIOD
            words += self._ask_next(now)
        return words

    def _patience(self) -> int:
        return SUSPECTED * self._spread * PERIOD * (1 + self.local_suspicion) // 2

    def _doubts(self, by: int) -> None:
        self.local_suspicion = min(MOST_DOUBT, max(0, self.local_suspicion + by))

    def _ask_next(self, now: int) -> Datagrams:
        if not self.round:
            # Who is held as dead is asked as well, once a round: after a cut nobody else would tell.
            self.round = [one for one in range(self.routers) if one != self.me]
            self.random.shuffle(self.round)
        if not self.round:
            return []
        return [self._ask(now, self.round.pop())]

    def _ask(self, now: int, whom: int, by: tuple[int, int] | None = None) -> tuple[int, bytes]:
        self.number = (self.number + 1) & 0xFFFF
        self.questions[self.number] = Ping(whom, now + ANSWERS * (1 + self.local_suspicion), by=by)
        return whom, self._word(MessageKind.ASK, self.number, whom, first=whom)

    def _unanswered(self, now: int, number: int, one: Ping) -> Datagrams:
        if one.helped or one.by is not None:
            del self.questions[number]
            held = self.known[one.whom]
            if one.by is None and held.state is RouterState.ALIVE:
                self._doubts(1)
                self._hold(now, one.whom, held.life, held.incarnation, RouterState.SUSPECT)
            return []
        one.helped, one.until = True, now + 2 * ANSWERS * (1 + self.local_suspicion)
        others = [other for other in self.live_routers() if other not in (self.me, one.whom)]
        helpers = self.random.sample(others, min(HELPERS, len(others)))
        return [(helper, self._word(MessageKind.HELP, number, one.whom)) for helper in helpers]

    def receive(self, now: int, sender: int, data: bytes) -> Datagrams:
        """Another router's word; gives what it calls for. Raises AliveError."""
        if len(data) < HEAD.size or (len(data) - HEAD.size) % NEWS.size or not 0 <= sender < self.routers:
            raise FailureDetectorError("its length or sender does not fit")
        kind, number, whom = HEAD.unpack_from(data)
        if (
            kind not in (MessageKind.ASK, MessageKind.ANSWER, MessageKind.HELP)
            or sender == self.me
            or whom >= self.routers
        ):
            raise FailureDetectorError("of no known kind")
        for router, life, told in NEWS.iter_unpack(data[HEAD.size :]):
            if router >= self.routers or told >> 6 > RouterState.DEAD:
                raise FailureDetectorError("news of no router")
            self._told(now, router, life, told & MOST_INCARNATION, RouterState(told >> 6))
        if kind == MessageKind.ASK:
            return [(sender, self._word(MessageKind.ANSWER, number, self.me, first=sender))]
        if kind == MessageKind.HELP:
            return [self._ask(now, whom, (sender, number))] if whom not in (self.me, sender) else []
        return self._answered(number, sender, whom)

    def _answered(self, number: int, sender: int, whom: int) -> Datagrams:
        one = self.questions.get(number)
        # Guards against an answer to nobody's question, or one that is late: a helper tells whom it heard.
        if one is None or whom != one.whom or (sender != whom and not one.helped):
            return []
        del self.questions[number]
        if one.by is not None:
            to, theirs = one.by
            return [(to, self._word(MessageKind.ANSWER, theirs, whom))]
        self._doubts(-1)
        return []

    def _told(self, now: int, router: int, life: int, incarnation: int, state: RouterState) -> None:
        if router == self.me:
            mine = self.known[self.me]
            # Guards a router that runs against the word that it is dead, and against its earlier life's.
            if (life, incarnation, state) <= mine.rank:
                # Who holds something older missed what was told then: it is told anew.
                if (life, incarnation, state) < mine.rank:
                    self.news[self.me] = 0
                return
            spent = incarnation == MOST_INCARNATION or life > mine.life
            mine.life = min(MOST_LIFE, life + spent)
            mine.incarnation = 0 if spent else incarnation + 1
            self.news[self.me] = 0
            self._doubts(1)
        elif (life, incarnation, state) > self.known[router].rank:
            self._hold(now, router, life, incarnation, state)

    def _hold(self, now: int, router: int, life: int, incarnation: int, state: RouterState) -> None:
        before = self.known[router]
        self.changes += (before.state is RouterState.DEAD) != (state is RouterState.DEAD)
        self.known[router] = RouterRecord(life, incarnation, state, now)
        self.news[router] = 0

    def _word(self, kind: MessageKind, number: int, whom: int, first: int | None = None) -> bytes:
        """A word with the least told news behind it; `first`: who hears what is held of itself before all."""
        rows = [
            NEWS.pack(one, held.life, held.state << 6 | held.incarnation) for one, held in self._tell(first)
        ]
        return HEAD.pack(kind, number, whom) + b"".join(rows)

    def _tell(self, first: int | None) -> Iterator[tuple[int, RouterRecord]]:
        chosen = sorted(self.news, key=lambda one: (self.news[one], one))[:MOST_NEWS]
        if first is not None and self.known[first].state is not RouterState.ALIVE:
            chosen = [first, *[one for one in chosen if one != first]][:MOST_NEWS]
        for one in chosen:
            if one in self.news:
                self.news[one] += 1
                if self.news[one] >= RETOLD * self._spread:
                    del self.news[one]
            yield one, self.known[one]
