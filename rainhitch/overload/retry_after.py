"""Retry-After times: each rejected client is given a slot of its own, and a retry in its slot is recognized.

Clients that are rejected together and given the same time come back together, and are rejected again. So each
rejection takes the next free slot of a schedule whose slots are as long as one request takes to be served.
The times are thereby spread, and grow with the number of rejected clients. The place within a slot is random,
from a seed, so that routers that reject at the same moment give different times. When the schedule is full up
to the longest time that may be given, a time is drawn evenly from the later half of that span.

A client has no name here and its retry has a new id, so it is recognized by what it asks for: tenant, class,
key and idempotency key. A retry in its slot gets a better priority in the concurrency limit, an early one the
lowest.
"""

from collections import deque
from enum import Enum
from random import Random

from rainhitch.interface import Request

NS_PER_S = 1_000_000_000
EARLY_TOLERANCE_NS = 20_000_000  # so much before its time a retry is still on time: clocks and the network
REMEMBERED_NS = 2 * NS_PER_S  # after its time a slot is forgotten
MAX_FINGERPRINTS = 8192  # remembered at once
MAX_SLOTS_PER_FINGERPRINT = 4  # remembered at once: several clients may ask for the same
MIN_RETRY_AFTER_NS = 10_000_000  # no shorter time is given
MIN_RETURNS_PER_S = 1e-3  # bounds the length of a slot

# What a retry has in common with its first attempt: tenant, class, key, idempotency key.
Fingerprint = tuple[int, int, str | None, str]


class ReturnTiming(Enum):
    """How a request's arrival relates to the Retry-After time that its client may have been given."""

    NEW = "new"  # no time is remembered for it
    ON_TIME = "on_time"
    EARLY = "early"


def fingerprint_of(request: Request) -> Fingerprint:
    """Returns by what a retry of this request is recognized."""
    return request.tenant, request.class_index, request.key, request.idempotency_key


class RetryAfterScheduler:
    """Schedule of Retry-After times.

    `max_retry_after_ns` is the longest time that may be given; 0: the settings allow none. `max_fingerprints`
    bounds what is remembered.
    """

    def __init__(self, max_retry_after_ns: int, seed: int, max_fingerprints: int = MAX_FINGERPRINTS) -> None:
        self.max_retry_after_ns = max_retry_after_ns
        self.max_fingerprints = max_fingerprints
        # The seed's text is not renamed: it fixes the sequence that recorded runs are replayed with.
        self.random = Random(f"{seed}/appointments")
        self.next_free_ns = 0
        self.slots: dict[Fingerprint, deque[int]] = {}  # times given, ns; the latest given goes last
        self.returned_on_time = 0
        self.returned_early = 0

    def assign_ns(
        self,
        now_ns: int,
        returns_per_s: float,
        fingerprint: Fingerprint | None = None,
        time_left_ns: int | None = None,
    ) -> int:
        """Returns after how long a rejected client should come back, ns; 0 where no time may be given.

        `returns_per_s` is how many returning requests can be served. `time_left_ns` is what the client has
        left for its request, where known: the wait should not use it up. The slot is remembered under
        `fingerprint`.
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
        """Returns how an arriving request relates to its slot, and uses that slot up.

        An arrival that is not marked a client retry counts only if it is on time: it may be another client's
        first attempt that asks for the same.
        """
        times = self.slots.get(fingerprint)
        while times and times[0] < now_ns - REMEMBERED_NS:
            times.popleft()
        if not times:
            self.slots.pop(fingerprint, None)
            return ReturnTiming.NEW
        if not self.max_retry_after_ns:
            # No time was given, so no retry can be on time: a marked one comes back at once.
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
