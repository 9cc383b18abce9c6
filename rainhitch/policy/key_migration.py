"""Migration of keys to the new owners of their ranges, at a rate that the origin can handle.

A change of the server list shifts most range boundaries, and the first read of a key at its new owner is a
miss, which costs an origin read. So a key with a recent hit is read from the server that holds it, and from
its new owner only if a migration token is available. A key that this router has not seen is read first from
its owner before the migration. Tokens are issued at a fraction of the rate of this router's other origin
requests, so the migrations of all routers add up to that fraction of their origin requests. A migration that
finds the key at its owner already returns its token.
"""

from rainhitch import interface as api
from rainhitch.policy.decision_context import DecisionContext
from rainhitch.policy.key_ranges import KeyRanges
from rainhitch.policy.origin_admission import OriginAdmission
from rainhitch.policy.rates import SECOND, DecayingRate, TokenBucket

# Windows in which the other origin requests are counted; the lower of the two rates applies.
LONG_RATE_SPAN_NS = 8 * SECOND
SHORT_RATE_SPAN_NS = 2 * SECOND
MAX_MIGRATION_BURST = 1.0  # capacity of the token bucket, key migrations
MIN_FLEET_MIGRATIONS_PER_S = 0.5  # lower bound of all routers' rate, while other origin requests are few
MAX_PREVIOUS_HOLDER_HITS_FRACTION = 1 / 100  # a migration ends at or below this fraction of the reads
SETTLED_CHECK_INTERVAL_NS = SECOND
NO_MIGRATION = -1  # value of `began_at_ns` while there is no migration


class KeyMigration:
    """State and rate limit of the current key migration, if there is one.

    A migration begins with a change of the list of owners, restarts with each further change, and ends after
    an interval in which nearly all reads went to the owners of their keys.
    """

    def __init__(self, context: DecisionContext, origin_admission: OriginAdmission) -> None:
        self.context = context
        self.origin_admission = origin_admission
        # Rates of origin requests other than key migrations, over the long and the short window.
        self.origin_rates = (DecayingRate(LONG_RATE_SPAN_NS), DecayingRate(SHORT_RATE_SPAN_NS))
        self.bucket = TokenBucket()
        self.began_at_ns = NO_MIGRATION  # latest change of the list of owners
        self.previous_ranges = KeyRanges()  # key ranges before the migration
        # Counted since the migration began.
        self.moved_keys = 0
        self.total_hits_at_previous_holder = 0
        # Counted since the latest check of whether the migration is over.
        self.reads = 0
        self.hits_at_previous_holder = 0

    def begin(self, before: list[str], after: list[str]) -> None:
        """Begins or restarts a migration after a change of the list of owners, given as sorted ids."""
        joined = len(set(after) - set(before))
        left = len(set(before) - set(after))
        self.context.actions.append(api.LogLine(f"key migration started joined={joined} left={left}"))
        if self.began_at_ns < 0:
            self.context.schedule(SETTLED_CHECK_INTERVAL_NS, self._check_settled)
            self.moved_keys = 0
            self.total_hits_at_previous_holder = 0
            self.previous_ranges.set_servers(before)
        self.began_at_ns = self.context.now_ns
        self._reset_interval()

    def _reset_interval(self) -> None:
        self.reads = 0
        self.hits_at_previous_holder = 0

    def _check_settled(self, _: object) -> None:
        """Ends the migration if nearly all reads of the past interval went to the owners of their keys."""
        age_ns = self.context.now_ns - self.began_at_ns
        is_settled = self.hits_at_previous_holder <= self.reads * MAX_PREVIOUS_HOLDER_HITS_FRACTION
        self._reset_interval()
        if age_ns < SETTLED_CHECK_INTERVAL_NS or not is_settled:
            self.context.schedule(SETTLED_CHECK_INTERVAL_NS, self._check_settled)
            return
        self.began_at_ns = NO_MIGRATION
        self.context.actions.append(
            api.LogLine(
                f"key migration finished moved_keys={self.moved_keys} duration_s={age_ns / SECOND:.0f} "
                f"reads_at_previous_owner={self.total_hits_at_previous_holder}"
            )
        )

    def origin_request_sent(self, is_migrating: bool) -> None:
        """Counts a request to the origin, unless it migrates a key."""
        if is_migrating:
            return
        for rate in self.origin_rates:
            rate.add(self.context.now_ns)

    def hit_at_previous_holder(self) -> None:
        """Counts a hit at a key's previous holder."""
        self.hits_at_previous_holder += 1
        self.total_hits_at_previous_holder += 1

    def take_token(self) -> bool:
        """Takes a token for the migration of one key; returns whether there was one.

        No key is migrated while the origin's throttle is on and its token bank is not full.
        """
        throttle = self.origin_admission.monitor.throttle
        settings = self.context.settings
        if throttle is not None and throttle.level < throttle.bank:
            return False
        # The lower rate is used because a recent burst does not show what the origin can handle.
        origin_requests_per_s = min(rate.per_second(self.context.now_ns) for rate in self.origin_rates)
        migrations_per_s = max(
            origin_requests_per_s * settings.migration_fraction,
            MIN_FLEET_MIGRATIONS_PER_S / settings.router_count,
        )
        return self.bucket.take(self.context.now_ns, migrations_per_s, MAX_MIGRATION_BURST)

    def return_token(self) -> None:
        """Puts back a token that was not needed."""
        self.bucket.tokens = min(self.bucket.tokens + 1, MAX_MIGRATION_BURST)

    def key_migrated(self, hit: bool) -> None:
        """Counts a migration; if the owner held the key already (`hit`), the token is returned."""
        self.moved_keys += 1
        if hit:
            self.return_token()
