"""Retry-After times: gives each rejected client a time slot of its own and recognizes its retry.

Clients that are rejected together and given the same time would retry together and be rejected again. So each
rejection takes the next free slot of a schedule, whose slots are the inverse of the rate at which returning
clients can be served. This spreads the times, and lengthens them with the number of rejected clients. The
position within a slot is random, from a seed, so that routers that reject at the same moment give different
times. When the schedule is full up to the longest time that may be given, a time is drawn uniformly from the
later half of that span.

Clients are not identified and a retry has a new request id, so a retry is recognized by its tenant, class,
key and idempotency key. A read that is retried on time gets a higher priority under the concurrency limit,
one that is retried early gets the lowest.
"""

from collections import deque
from enum import Enum
from random import Random

from rainhitch.interface import Request

NS_PER_S = 1_000_000_000
EARLY_TOLERANCE_NS = 20_000_000  # allows for clocks and the network: a retry this early is still on time
REMEMBERED_NS = 2 * NS_PER_S  # a slot is forgotten this long after its time
MAX_FINGERPRINTS = 8192  # fingerprints remembered at once
MAX_SLOTS_PER_FINGERPRINT = 4  # slots remembered per fingerprint, which several clients may share
MIN_RETRY_AFTER_NS = 10_000_000  # shortest time that is given
MIN_RETURNS_PER_S = 1e-3  # lower bound of the rate of returning clients, which bounds the length of a slot

# Fields that a retry shares with its first attempt: tenant, class, key, idempotency key.
Fingerprint = tuple[int, int, str | None, str]


class ReturnTiming(Enum):
    """Timing of a request's arrival relative to the Retry-After time that its client may have been given."""

    NEW = "new"  # no Retry-After time is remembered for the request
    ON_TIME = "on_time"
    EARLY = "early"


def fingerprint_of(request: Request) -> Fingerprint:
    """Returns the fields by which a retry of this request is recognized."""
    return request.tenant, request.class_index, request.key, request.idempotency_key


class RetryAfterScheduler:
    """Schedule of Retry-After times.

    `max_retry_after_ns` is the longest time that may be given, or 0 if the settings allow none.
    `max_fingerprints` bounds the number of fingerprints remembered.
    """

    def __init__(self, max_retry_after_ns: int, seed: int, max_fingerprints: int = MAX_FINGERPRINTS) -> None:
        self.max_retry_after_ns = max_retry_after_ns
        self.max_fingerprints = max_fingerprints
        # The text of the seed must not change: recorded runs are replayed with the sequence that it gives.
        self.random = Random(f"{seed}/appointments")
        self.next_free_ns = 0
        # Times given, ns, by fingerprint; the fingerprint that was last given a time is last.
        self.slots: dict[Fingerprint, deque[int]] = {}
        self.returned_on_time = 0
        self.returned_early = 0

    def assign_ns(
        self,
        now_ns: int,
        returns_per_s: float,
        fingerprint: Fingerprint | None = None,
        time_left_ns: int | None = None,
    ) -> int:
        """Returns the time after which a rejected client should retry, ns; 0 if none may be given.

        `returns_per_s` is the rate at which returning requests can be served. `time_left_ns` is the longest
        wait after which the request can still be answered in time, if known. The slot is remembered under
        `fingerprint`, if given.
        """
        if not self.max_retry_after_ns:
            if fingerprint is not None:
                self._remember(fingerprint, now_ns)
            return 0
        longest = self.max_retry_after_ns
        if time_left_ns is not None:
            longest = max(MIN_RETRY_AFTER_NS, min(self.max_retry_after_ns, time_left_ns))
        slot_ns = int(NS_PER_S / max(returns_per_s, MIN_RETURNS_PER_S))
        slot_begin_ns = max(self.next_free_ns, now_ns + MIN_RETRY_AFTER_NS)
        return_at_ns = slot_begin_ns + int(self.random.random() * slot_ns)
        if return_at_ns - now_ns <= longest:
            self.next_free_ns = slot_begin_ns + slot_ns
            wait_ns = return_at_ns - now_ns
        else:
            wait_ns = int(longest * self.random.uniform(0.5, 1.0))
        if fingerprint is not None:
            self._remember(fingerprint, now_ns + wait_ns)
        return wait_ns

    def classify_return(self, now_ns: int, fingerprint: Fingerprint, is_client_retry: bool) -> ReturnTiming:
        """Classifies an arriving request by the slot remembered for it, and uses that slot up.

        An arrival that is not marked as a client retry uses a slot only if it is on time, since it may be
        another client's first attempt with the same fingerprint.
        """
        times = self.slots.get(fingerprint)
        while times and times[0] < now_ns - REMEMBERED_NS:
            times.popleft()
        if not times:
            self.slots.pop(fingerprint, None)
            return ReturnTiming.NEW
        if not self.max_retry_after_ns:
            # No time was given, so no retry can be on time: a marked retry is one that returned at once.
            times.popleft()
            return ReturnTiming.EARLY if is_client_retry else ReturnTiming.NEW
        if times[0] - EARLY_TOLERANCE_NS <= now_ns:
            times.popleft()
            self.returned_on_time += 1
            return ReturnTiming.ON_TIME
        if not is_client_retry:
            return ReturnTiming.NEW
        times.pop()
        self.returned_early += 1
        return ReturnTiming.EARLY

    def _remember(self, fingerprint: Fingerprint, return_at_ns: int) -> None:
        times = self.slots.pop(fingerprint, None)
        if times is None:
            times = deque(maxlen=MAX_SLOTS_PER_FINGERPRINT)
        times.append(return_at_ns)
        self.slots[fingerprint] = times
        if len(self.slots) > self.max_fingerprints:
            del self.slots[next(iter(self.slots))]
