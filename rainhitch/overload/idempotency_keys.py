"""Idempotency keys: at most one request per key may have attempts in flight at this router.

A client's retry of a keyed write is a request of its own, with a new id and the same key. The rules on single
requests treat the two as unrelated, yet the second could repeat a write that the first has executed. So a key
has one holder, which is the only request that may start attempts, and a queue of requests that wait for the
key. The holder releases the key when it has its final answer and all its attempts have ended: an attempt
continues after its client has disconnected. Attempts that may have executed are remembered for longer. The
next holder inherits them as if they were its own: it may retry only within the scope that drops repeats, and
only while repeats are dropped there.

    unknown --admit--> HELD --admit of another request--> HELD, with a queue
    HELD --holder finished, no attempt in flight--> HELD by the first request in the queue; without a queue
        IDLE, or unknown if no attempt may have executed
    IDLE --admit--> HELD, with the inherited attempts
    IDLE --expiry--> unknown

The number of keys and the length of each queue are bounded. A request beyond these bounds is rejected before
any of its attempts has started.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from rainhitch import interface as api

MAX_KEYS = 4096  # keys remembered at once
MAX_QUEUED = 8  # requests waiting for one key

AttemptId = tuple[str, int]  # the request's id and the attempt's number
PossibleExecution = tuple[int, api.Endpoint]  # start time, ns, and server of an attempt


class KeyAdmission(Enum):
    """Result of a request's admission to its idempotency key."""

    HELD = "held"  # the request holds the key and may start attempts
    QUEUED = "queued"  # the request waits until it holds the key
    REJECTED = "rejected"  # too many keys or waiting requests; no attempt was started


class KeyState(Enum):
    """State of a key that is remembered."""

    HELD = "held"
    IDLE = "idle"  # no request holds the key; its attempts that may have executed are remembered


@dataclass(slots=True)
class KeyRecord:
    """Holder, queue and attempts of one idempotency key."""

    holder: str = ""  # id of the request that holds the key, or held it last
    holder_unfinished: bool = False  # the holder has no final answer yet
    in_flight: set[AttemptId] = field(default_factory=set)
    possible_executions: dict[AttemptId, PossibleExecution] = field(default_factory=dict)
    queue: deque[str] = field(default_factory=deque)  # ids of the waiting requests in order of arrival
    remembered_until_ns: int = 0  # time at which an idle key expires

    @property
    def state(self) -> KeyState:
        """State of the key: held while its holder is unfinished or an attempt is in flight."""
        return KeyState.HELD if self.holder_unfinished or self.in_flight else KeyState.IDLE

    def has_expired(self, now_ns: int) -> bool:
        """Returns whether the key is idle and no longer needs to be remembered."""
        return self.state is KeyState.IDLE and now_ns >= self.remembered_until_ns


class IdempotencyKeyGuard:
    """Guard against concurrent attempts with the same idempotency key at this router.

    `client_retry_window_ns` is the time within which a client may retry: the longest deadline of a class.
    `max_keys` bounds the number of keys remembered, `max_queued` the number of requests waiting for one key.
    """

    def __init__(
        self, client_retry_window_ns: int, max_keys: int = MAX_KEYS, max_queued: int = MAX_QUEUED
    ) -> None:
        self.client_retry_window_ns = client_retry_window_ns
        self.max_keys = max_keys
        self.max_queued = max_queued
        self.records: dict[str, KeyRecord] = {}  # records by key, in the order of their last hold
        # Key by request id, of requests that hold a key, wait for one, or have an attempt in flight.
        self.key_by_request: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self.records)

    def admit(self, now_ns: int, key: str, request_id: str) -> KeyAdmission:
        """Makes an arriving request its key's holder, or queues or rejects it; returns which was done."""
        record = self.records.get(key)
        if record is not None and record.has_expired(now_ns):
            del self.records[key]
            record = None
        if record is None:
            if len(self.records) >= self.max_keys and not self._evict(now_ns):
                return KeyAdmission.REJECTED
            record = self.records[key] = KeyRecord()
        if record.state is KeyState.HELD:
            if len(record.queue) >= self.max_queued:
                return KeyAdmission.REJECTED
            record.queue.append(request_id)
            self.key_by_request[request_id] = key
            return KeyAdmission.QUEUED
        self._set_holder(key, record, request_id)
        return KeyAdmission.HELD

    def is_known(self, now_ns: int, key: str) -> bool:
        """Returns whether an earlier request with this key is remembered."""
        record = self.records.get(key)
        return record is not None and not record.has_expired(now_ns)

    def earlier_executions(self, key: str, request_id: str) -> list[PossibleExecution]:
        """Returns start time and server of other requests' attempts with this key that may have executed."""
        record = self.records.get(key)
        if record is None:
            return []
        return [
            execution for (owner, _), execution in record.possible_executions.items() if owner != request_id
        ]

    def attempt_started(
        self, now_ns: int, request_id: str, number: int, endpoint: api.Endpoint, dedup_window_ns: int
    ) -> None:
        """Records the holder's attempt, whose repeats the endpoint drops for `dedup_window_ns`."""
        key = self.key_by_request.get(request_id)
        if key is None:
            return
        record = self.records[key]
        record.in_flight.add((request_id, number))
        record.possible_executions[request_id, number] = (now_ns, endpoint)
        record.remembered_until_ns = max(
            record.remembered_until_ns, now_ns + dedup_window_ns + self.client_retry_window_ns
        )

    def attempt_finished(self, request_id: str, number: int, status: api.AttemptStatus) -> str:
        """Records an attempt's end; returns the id of the request to which its key has passed, or ""."""
        key = self.key_by_request.get(request_id)
        if key is None:
            return ""
        record = self.records[key]
        record.in_flight.discard((request_id, number))
        if status in api.NEVER_EXECUTED:
            record.possible_executions.pop((request_id, number), None)
        return self._grant_to_next(key, record)

    def request_finished(self, request_id: str) -> str:
        """Records a request's final answer, or that its client has disconnected.

        Returns the id of the request to which the key has passed, or "".
        """
        key = self.key_by_request.get(request_id)
        if key is None:
            return ""
        record = self.records[key]
        if record.holder == request_id:
            record.holder_unfinished = False
            return self._grant_to_next(key, record)
        if request_id in record.queue:
            record.queue.remove(request_id)
            del self.key_by_request[request_id]
        return ""

    def _set_holder(self, key: str, record: KeyRecord, request_id: str) -> None:
        record.holder = request_id
        record.holder_unfinished = True
        self.key_by_request[request_id] = key
        self.records[key] = self.records.pop(key)  # moves the key to the end of the order of last use

    def _grant_to_next(self, key: str, record: KeyRecord) -> str:
        """Passes a released key to the first request in its queue; returns that request's id, or ""."""
        if record.state is KeyState.HELD:
            return ""
        self.key_by_request.pop(record.holder, None)
        if record.queue:
            self._set_holder(key, record, record.queue.popleft())
            return record.holder
        if not record.possible_executions:
            del self.records[key]  # no attempt may have executed, so nothing has to be remembered
        return ""

    def _evict(self, now_ns: int) -> bool:
        """Evicts the expired keys, or else the least recently held idle key; returns whether it could."""
        idle = [key for key, record in self.records.items() if record.state is KeyState.IDLE]
        if not idle:
            return False
        expired = [key for key in idle if self.records[key].has_expired(now_ns)]
        for key in expired or idle[:1]:
            del self.records[key]
        return True
