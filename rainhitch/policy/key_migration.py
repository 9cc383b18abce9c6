"""Keys that move from where they are held to the new owners of their ranges, at a pace that the origin bears.

A list that changes shifts most boundaries, and a key asked for at its new owner is a miss: one origin read.
So a key that was lately seen hit stays where it was seen, and is asked for at its owner only when there is a
token for it. A key that this router has not seen is looked for first where it was before the migration.
Tokens come at a part of what this router lately sent the origin besides, so that the moves of all routers add
up to that part of what they send; a move that finds the key at its owner already returns its token.
"""

from rainhitch import interface as api
from rainhitch.policy.decision_context import DecisionContext
from rainhitch.policy.key_ranges import KeyRanges
from rainhitch.policy.origin_admission import OriginAdmission
from rainhitch.policy.rates import SECOND, DecayingRate, TokenBucket

# Spans over which what the origin is sent besides is counted; the lesser of both rates holds.
LONG_RATE_SPAN_NS = 8 * SECOND
SHORT_RATE_SPAN_NS = 2 * SECOND
MAX_MOVE_BURST = 1.0  # moves at once
MIN_FLEET_MOVES_PER_S = 0.5  # of all routers together, where next to nothing is sent besides
SETTLED_READS_FRACTION = 1 / 100  # of all reads: with fewer hits at previous holders, the keys have moved
SETTLED_CHECK_INTERVAL_NS = SECOND
NOT_UNDER_WAY = -1  # in place of the time at which a migration began


class KeyMigration:
    """The migration that is under way, if one is, and its pace.

    It begins with a change of the list of owners, begins anew with each further one, and ends with an
    interval in which nearly all reads went to the keys' owners.
    """

    def __init__(self, context: DecisionContext, origin_admission: OriginAdmission) -> None:
        self.context = context
        self.origin_admission = origin_admission
        # Origin requests that are no moves, over the long and the short span.
        self.origin_rates = (DecayingRate(LONG_RATE_SPAN_NS), DecayingRate(SHORT_RATE_SPAN_NS))
        self.bucket = TokenBucket()
        self.began_at_ns = NOT_UNDER_WAY  # when the list last changed
        self.previous_ranges = KeyRanges()  # before the migration
        # Since the migration began.
        self.moved_keys = 0
        self.reads_at_previous_holder = 0
        # Since the last check of whether it is over.
        self.reads = 0
        self.hits_at_previous_holder = 0

    def begin(self, before: list[str], after: list[str]) -> None:
        """The list of owners, sorted ids, has changed."""
        joined = len(set(after) - set(before))
        left = len(set(before) - set(after))
        self.context.actions.append(api.LogLine(f"key migration started joined={joined} left={left}"))
        if self.began_at_ns < 0:
            self.context.schedule(SETTLED_CHECK_INTERVAL_NS, self._check_settled)
            self.moved_keys = 0
            self.reads_at_previous_holder = 0
            self.previous_ranges.set_servers(before)
        self.began_at_ns = self.context.now_ns
        self._reset_interval()

    def _reset_interval(self) -> None:
        self.reads = 0
        self.hits_at_previous_holder = 0

    def _check_settled(self, _: object) -> None:
        """Ends the migration after an interval in which nearly all reads went to the keys' owners."""
        age_ns = self.context.now_ns - self.began_at_ns
        is_settled = self.hits_at_previous_holder <= self.reads * SETTLED_READS_FRACTION
        self._reset_interval()
        if age_ns < SETTLED_CHECK_INTERVAL_NS or not is_settled:
            self.context.schedule(SETTLED_CHECK_INTERVAL_NS, self._check_settled)
            return
        self.began_at_ns = NOT_UNDER_WAY
        self.context.actions.append(
            api.LogLine(
                f"key migration finished moved_keys={self.moved_keys} duration_s={age_ns / SECOND:.0f} "
                f"reads_at_previous_owner={self.reads_at_previous_holder}"
            )
        )

    def origin_request_sent(self, is_migrating: bool) -> None:
        """The origin was sent a request, by a move or by anything else."""
        if is_migrating:
            return
        for rate in self.origin_rates:
            rate.add(self.context.now_ns)

    def hit_at_previous_holder(self) -> None:
        """A key was hit where it was held, not at its owner."""
        self.hits_at_previous_holder += 1
        self.reads_at_previous_holder += 1

    def take_move_token(self) -> bool:
        """Takes a token for the move of one more key; returns whether there was one.

        None moves while the throttle is short of tokens.
        """
        throttle = self.origin_admission.monitor.throttle
        settings = self.context.settings
        if throttle is not None and throttle.level < throttle.bank:
            return False
        # Guards against a burst just before, which is no measure of what the origin bears.
        origin_requests_per_s = min(rate.per_second(self.context.now_ns) for rate in self.origin_rates)
        moves_per_s = max(
            origin_requests_per_s * settings.migration_fraction,
            MIN_FLEET_MOVES_PER_S / settings.router_count,
        )
        return self.bucket.take(self.context.now_ns, moves_per_s, MAX_MOVE_BURST)

    def return_token(self) -> None:
        """A token was not needed."""
        self.bucket.tokens = min(self.bucket.tokens + 1, MAX_MOVE_BURST)

    def move_finished(self, hit: bool) -> None:
        """A move was answered by the owner: it has the key already, or has to fetch it from the origin."""
        self.moved_keys += 1
        if hit:
            self.return_token()
