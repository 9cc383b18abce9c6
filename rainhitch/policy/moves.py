"""Keys on their way from where they are held to the owners of their ranges, at a pace the origin bears.

A list that changes shifts most boundaries, and a key asked for at its new owner is a miss: one origin read.
So a key that was lately seen hit stays where it was seen, and is asked for at its owner only when a token is
there. One that this router has not seen is looked for first where it was before the transition. Tokens come
at a part of what this router lately sent the origin besides, so that the routers' moves add up to that part
of what all send; one that finds the key at its owner already gives its token back."""

from rainhitch import interface as api
from rainhitch.policy.gate import Gate
from rainhitch.policy.ranges import KeyRanges
from rainhitch.policy.rates import SECOND, Bank, Rate
from rainhitch.policy.turn import Turn

SPAN, SHORT = 8 * SECOND, 2 * SECOND  # ns over which what the origin is sent besides counts: the lesser rate
BURST = 1.0  # moves at once
LEAST = 0.5  # moves a second of all routers together, where next to nothing is sent besides
SETTLED = 1 / 100  # part of the reads below which keys have moved
LOOK = SECOND


class Moves:
    """The transition that is under way, and its pace."""

    def __init__(self, turn: Turn, gate: Gate) -> None:
        self.turn, self.gate = turn, gate
        self.besides = Rate(SPAN), Rate(SHORT)  # origin requests that are no moves
        self.bank = Bank()
        self.since = -1  # when the list changed; -1: no transition is under way
        self.moved = self.stayed = 0  # keys moved, and reads where they were, since then
        self.reads = self.away = 0  # since the last look: all reads, and hits not at the key's owner
        self.base = KeyRanges()  # the list before the transition

    def begin(self, before: list[str], after: list[str]) -> None:
        """The list of owners has changed."""
        joined, left = len(set(after) - set(before)), len(set(before) - set(after))
        self.turn.actions.append(api.Log(f"keys move: {joined} owners came, {left} went"))
        if self.since < 0:
            self.turn.later(LOOK, self._look)
            self.moved = self.stayed = 0
            self.base.deal(before)
        self.since, self.reads, self.away = self.turn.now, 0, 0

    def _look(self, _: object) -> None:
        over = self.turn.now - self.since >= LOOK and self.away <= self.reads * SETTLED
        self.reads = self.away = 0
        if not over:
            self.turn.later(LOOK, self._look)
            return
        took, self.since = (self.turn.now - self.since) / SECOND, -1
        self.turn.actions.append(
            api.Log(f"keys have moved: {self.moved} in {took:.0f} s, {self.stayed} reads where they were")
        )

    def sent(self, moving: bool) -> None:
        """The origin was sent a request."""
        for rate in () if moving else self.besides:
            rate.add(self.turn.now)

    def hit(self) -> None:
        """A key was hit where it was, not at its owner."""
        self.away += 1
        self.stayed += 1

    def allowed(self) -> bool:
        """Whether one more key may move; counts it if it may. None while the throttle is short of tokens."""
        throttle, settings = self.gate.monitor.throttle, self.turn.settings
        if throttle is not None and throttle.level < throttle.bank:
            return False
        # Guards against a burst just before, which is no measure of what the origin takes.
        besides = min(rate.per_second(self.turn.now) for rate in self.besides)
        rate = max(besides * settings.move_share, LEAST / settings.balancers)
        return self.bank.take(self.turn.now, rate, BURST)

    def give_back(self) -> None:
        """A token was not needed."""
        self.bank.tokens = min(self.bank.tokens + 1, BURST)

    def ended(self, hit: bool) -> None:
        """A move was answered by the owner: it has the key already, or is to be sent it."""
        self.moved += 1
        if hit:
            self.give_back()
