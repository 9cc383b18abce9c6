"""Tells the parts that follow keys and origin reads what attempts do and show."""

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
        """Takes the parts that are notified."""
        self.context = origin_admission.context
        self.cache_aside = self.context.settings.cache_aside
        self.key_memory = key_memory
        self.migration = migration
        self.origin_admission = origin_admission
        self.coalesced_reads = coalesced_reads

    def attempt_started(self, pending: PendingRequest, server: str, number: int) -> None:
        """An attempt was sent to a server, or to the origin."""
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
        """The client has its answer, or the end of one that had begun."""
        key = pending.request.key
        is_answered = event.status is api.AttemptStatus.OK
        if key is None or pending.request.is_write:
            return
        if pending.at_origin:
            if is_answered:  # it is stored where it was missed
                self.key_memory.remember(key, self.context.now_ns, self._held_at(pending, pending.missed_at))
            self.coalesced_reads.read_finished(key, is_answered)
        elif is_answered:
            self._hit(pending, key, event)

    def _hit(self, pending: PendingRequest, key: str, event: api.AttemptFinished) -> None:
        held_at = self._held_at(pending, event.server)
        self.key_memory.record_read(key, self.context.now_ns, held_at, True)
        if pending.is_migrating:
            self.migration.move_finished(event.answer_note != api.NOTE_MISS)
        elif pending.at_previous_holder:
            self.migration.hit_at_previous_holder()

    @staticmethod
    def _held_at(pending: PendingRequest, server: str) -> str:
        """Where a key is remembered to be; "": where it was. The further owners of a hot key do not count."""
        return "" if pending.skipped_owners else server

    def client_gone(self, pending: PendingRequest) -> None:
        """The client left while an attempt was in flight: an origin read for nobody is not stored."""
        if pending.at_origin and pending.request.key is not None and not pending.request.is_write:
            self.coalesced_reads.read_finished(pending.request.key, False)

    def missed(self, pending: PendingRequest, event: api.AttemptFinished) -> None:
        """The cache server that a read was sent to lacks its key."""
        pending.missed_at = event.server
        if pending.request.key is not None:
            self.key_memory.record_read(pending.request.key, self.context.now_ns, "", False)
        if pending.is_migrating:
            self.migration.move_finished(False)
