"""Keys on their way from where they are held to the owners of their ranges, at a pace the origin bears.

A list that changes shifts most boundaries, and a key asked for at its new owner is a miss: one origin read.
So a key that was lately seen hit stays where it was seen, and is asked for at its owner only when a token is
there. One that this router has not seen is looked for first where it was before the transition. Tokens come
at a part of what this router lately sent the origin besides, so that the routers' moves add up to that part
of what all send; one that finds the key at its owner already gives its token back."""

from rainhitch import interface as api
from rainhitch.policy.decision_context import DecisionContext
from rainhitch.policy.key_ranges import KeyRanges
from rainhitch.policy.origin_admission import OriginAdmission
from rainhitch.policy.rates import SECOND, DecayingRate, TokenBucket

SPAN, SHORT = 8 * SECOND, 2 * SECOND  # ns over which what the origin is sent besides counts: the lesser rate
BURST = 1.0  # moves at once
LEAST = 0.5  # moves a second of all routers together, where next to nothing is sent besides
SETTLED = 1 / 100  # part of the reads below which keys have moved
LOOK = SECOND


class KeyMigration:
    """The transition that is under way, and its pace."""

    def __init__(self, turn: DecisionContext, gate: OriginAdmission) -> None:
        self.context, self.origin_admission = turn, gate
        self.origin_rates = DecayingRate(SPAN), DecayingRate(SHORT)  # origin requests that are no moves
        self.bucket = TokenBucket()
        self.began_at_ns = -1  # when the list changed; -1: no transition is under way
        self.moved_keys = self.reads_at_previous_owner = (
            0  # keys moved, and reads where they were, since then
        )
        self.reads = self.hits_at_previous_owner = (
            0  # since the last look: all reads, and hits not at the key's owner
        )
        self.previous_ranges = KeyRanges()  # the list before the transition

    def begin(self, before: list[str], after: list[str]) -> None:
        """The list of owners has changed."""
        joined, left = len(set(after) - set(before)), len(set(before) - set(after))
        self.context.actions.append(api.LogLine(f"keys move: {joined} owners came, {left} went"))
        if self.began_at_ns < 0:
            self.context.schedule(LOOK, self._look)
            self.moved_keys = self.reads_at_previous_owner = 0
            self.previous_ranges.set_servers(before)
        self.began_at_ns, self.reads, self.hits_at_previous_owner = self.context.now_ns, 0, 0

    def _look(self, _: object) -> None:
        over = (
            self.context.now_ns - self.began_at_ns >= LOOK
            and self.hits_at_previous_owner <= self.reads * SETTLED
        )
        self.reads = self.hits_at_previous_owner = 0
        if not over:
            self.context.schedule(LOOK, self._look)
            return
        took, self.began_at_ns = (self.context.now_ns - self.began_at_ns) / SECOND, -1
        self.context.actions.append(
            api.LogLine(
                f"keys have moved: {self.moved_keys} in {took:.0f} s, "
                f"{self.reads_at_previous_owner} reads where they were"
            )
        )

    def origin_request_sent(self, moving: bool) -> None:
        """The origin was sent a request."""
        for rate in () if moving else self.origin_rates:
            rate.add(self.context.now_ns)

    def hit_at_previous_owner(self) -> None:
        """A key was hit where it was, not at its owner."""
        self.hits_at_previous_owner += 1
        self.reads_at_previous_owner += 1

    def may_move(self) -> bool:
        """Whether one more key may move; counts it if it may. None while the throttle is short of tokens."""
        throttle, settings = self.origin_admission.monitor.throttle, self.context.settings
        if throttle is not None and throttle.level < throttle.bank:
            return False
        # Guards against a burst just before, which is no measure of what the origin takes.
        besides = min(rate.per_second(self.context.now_ns) for rate in self.origin_rates)
        rate = max(besides * settings.migration_fraction, LEAST / settings.router_count)
        return self.bucket.take(self.context.now_ns, rate, BURST)

    def return_token(self) -> None:
        """A token was not needed."""
        self.bucket.tokens = min(self.bucket.tokens + 1, BURST)

    def move_finished(self, hit: bool) -> None:
        """A move was answered by the owner: it has the key already, or is to be sent it."""
        self.moved_keys += 1
        if hit:
            self.return_token()
