"""Forwards the progress of attempts to the modules that track keys and origin reads."""

from rainhitch import interface as api
from rainhitch.policy.key_memory import KeyMemory
from rainhitch.policy.key_migration import KeyMigration
from rainhitch.policy.origin_admission import OriginAdmission
from rainhitch.policy.pending_request import PendingRequest
from rainhitch.policy.placement import SLOW_ANSWER_FRACTION
from rainhitch.policy.request_coalescing import RequestCoalescing


class ReadTracking:
    """Reports attempts, answers and misses to migration, origin admission, coalescing and key memory."""

    def __init__(
        self,
        key_memory: KeyMemory,
        migration: KeyMigration,
        origin_admission: OriginAdmission,
        coalesced_reads: RequestCoalescing,
    ) -> None:
        """Initializes with the modules to notify."""
        self.context = origin_admission.context
        self.cache_aside = self.context.settings.cache_aside
        self.key_memory = key_memory
        self.migration = migration
        self.origin_admission = origin_admission
        self.coalesced_reads = coalesced_reads

    def attempt_started(self, pending: PendingRequest, server: str, number: int) -> None:
        """Reports that an attempt was sent to a cache server or to the origin."""
        key = pending.request.key
        is_origin_read = pending.at_origin and not pending.request.is_write
        cache_reads_origin = pending.likely_miss and not self.cache_aside
        if pending.at_origin or cache_reads_origin:
            self.migration.origin_request_sent(pending.is_migrating)
        elif key is not None and number == 0:
            self.migration.reads += 1
        if is_origin_read or cache_reads_origin:
            slow_after_ns = int(pending.request_class.latency_objective_ns * SLOW_ANSWER_FRACTION)
            self.origin_admission.read_started((pending.request.id, number), slow_after_ns)
        if key is None:
            return
        if not self.cache_aside:
            self.key_memory.remember(key, self.context.now_ns, server)
        elif is_origin_read:
            self.coalesced_reads.read_started(key)

    def request_finished(self, pending: PendingRequest, event: api.AttemptFinished) -> None:
        """Reports an attempt whose end also ended its request."""
        key = pending.request.key
        is_answered = event.status is api.AttemptStatus.OK
        if key is None or pending.request.is_write:
            return
        if pending.at_origin:
            if is_answered:  # the value is stored in the cache server that missed it
                self.key_memory.remember(
                    key, self.context.now_ns, self._holder_to_record(pending, pending.missed_server)
                )
            self.coalesced_reads.read_finished(key, is_answered)
        elif is_answered:
            self._hit(pending, key, event)

    def _hit(self, pending: PendingRequest, key: str, event: api.AttemptFinished) -> None:
        holder = self._holder_to_record(pending, event.server)
        self.key_memory.record_read(key, self.context.now_ns, holder, True)
        if pending.is_migrating:
            self.migration.key_migrated(event.answer_note != api.NOTE_MISS)
        elif pending.at_previous_holder:
            self.migration.hit_at_previous_holder()

    @staticmethod
    def _holder_to_record(pending: PendingRequest, server: str) -> str:
        """Returns the server to remember for a key, or "" to keep the recorded one.

        A hot key is recorded at its owner only, not at the other servers over which it is spread.
        """
        return "" if pending.skipped_owners else server

    def client_gone(self, pending: PendingRequest) -> None:
        """Reports a client's disconnection during an attempt: the value of its origin read is not stored."""
        if pending.at_origin and pending.request.key is not None and not pending.request.is_write:
            self.coalesced_reads.read_finished(pending.request.key, False)

    def missed(self, pending: PendingRequest, event: api.AttemptFinished) -> None:
        """Reports that the cache server of a read did not hold the key."""
        pending.missed_server = event.server
        if pending.request.key is not None:
            self.key_memory.record_read(pending.request.key, self.context.now_ns, "", False)
        if pending.is_migrating:
            self.migration.key_migrated(False)
