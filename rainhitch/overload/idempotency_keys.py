"""Idempotency keys: at this router, one attempt of a key is in flight at a time.

A client's retry of a keyed write is a request of its own: a new id, the same key. To the rules on requests
the two are unrelated, and yet what the first may have executed, the second would execute again. So a key has
one holder, the request that may start attempts, and a queue of requests that wait for it. The holder is done
when it has its final answer and all its attempts have ended: an attempt whose client has left runs on. What
may have been executed is remembered longer. The next holder inherits it, and goes on as if these were
attempts of its own: within the scope that drops repeats, and while repeats are dropped there.

    unknown --admit--> HELD --admit of another request--> HELD, with a queue
    HELD --holder finished, no attempt in flight--> HELD by the next of the queue, or IDLE
    IDLE --admit--> HELD, with what it inherits
    IDLE --remembered until--> unknown

The number of keys and the length of a queue are bounded; beyond them a request is rejected before anything
ran.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from rainhitch import interface as api

MAX_KEYS = 4096  # remembered at once
MAX_QUEUED = 8  # requests that wait for one key

AttemptId = tuple[str, int]  # the request's id and the attempt's number
PossibleExecution = tuple[int, api.Endpoint]  # when an attempt started, ns, and at which server


class KeyAdmission(Enum):
    """What a request may do about its idempotency key."""

    HELD = "held"  # it holds the key and may start attempts
    QUEUED = "queued"  # it waits until it holds the key
    REJECTED = "rejected"  # no room; nothing ran


class KeyState(Enum):
    """State of a key that is remembered."""

    HELD = "held"
    IDLE = "idle"  # no request holds it; what may have been executed is remembered


@dataclass(slots=True)
class KeyRecord:
    """What is known of one idempotency key."""

    holder: str = ""  # id of the request that holds it, or held it last
    holder_unfinished: bool = False  # the holder has no final answer yet
    in_flight: set[AttemptId] = field(default_factory=set)
    executed: dict[AttemptId, PossibleExecution] = field(default_factory=dict)  # what may have been executed
    queue: deque[str] = field(default_factory=deque)  # ids of the requests that wait, the first come first
    remembered_until_ns: int = 0  # an idle key is forgotten then

    @property
    def state(self) -> KeyState:
        """The key's state: held while its holder is unfinished or an attempt is in flight."""
        return KeyState.HELD if self.holder_unfinished or self.in_flight else KeyState.IDLE

    def has_expired(self, now_ns: int) -> bool:
        """Returns whether nothing of the key needs to be remembered any more."""
        return self.state is KeyState.IDLE and now_ns >= self.remembered_until_ns


class IdempotencyKeyGuard:
    """The idempotency keys that this router knows.

    `client_patience_ns` is how long a client may take to come again: the longest deadline of a class.
    `max_keys` and `max_queued` bound what is remembered and what waits for one key.
    """

    def __init__(
        self, client_patience_ns: int, max_keys: int = MAX_KEYS, max_queued: int = MAX_QUEUED
    ) -> None:
        self.client_patience_ns = client_patience_ns
        self.max_keys = max_keys
        self.max_queued = max_queued
        self.records: dict[str, KeyRecord] = {}  # by key; the longest untouched first
        self.key_of: dict[
            str, str
        ] = {}  # by id, of requests that hold a key, wait, or have an attempt in flight

    def __len__(self) -> int:
        return len(self.records)

    def admit(self, now_ns: int, key: str, request_id: str) -> KeyAdmission:
        """Returns what a request that has come may do about its key, and enters it there."""
        record = self.records.get(key)
        if record is not None and record.has_expired(now_ns):
            del self.records[key]
            record = None
        if record is None:
            if len(self.records) >= self.max_keys and not self._make_room(now_ns):
                return KeyAdmission.REJECTED
            record = self.records[key] = KeyRecord()
        if record.state is KeyState.HELD:
            if len(record.queue) >= self.max_queued:
                return KeyAdmission.REJECTED
            record.queue.append(request_id)
            self.key_of[request_id] = key
            return KeyAdmission.QUEUED
        self._hold(key, record, request_id)
        return KeyAdmission.HELD

    def is_known(self, now_ns: int, key: str) -> bool:
        """Returns whether a request with this key has come before and is remembered."""
        record = self.records.get(key)
        return record is not None and not record.has_expired(now_ns)

    def earlier_executions(self, key: str, request_id: str) -> list[PossibleExecution]:
        """Returns when and where other requests' attempts at this key may have been executed."""
        record = self.records.get(key)
        if record is None:
            return []
        return [execution for (owner, _), execution in record.executed.items() if owner != request_id]

    def attempt_started(
        self, now_ns: int, request_id: str, number: int, endpoint: api.Endpoint, dedup_window_ns: int
    ) -> None:
        """Records the holder's attempt; repeats of it are dropped for `dedup_window_ns` at the endpoint."""
        key = self.key_of.get(request_id)
        if key is None:
            return
        record = self.records[key]
        record.in_flight.add((request_id, number))
        record.executed[request_id, number] = (now_ns, endpoint)
        record.remembered_until_ns = max(
            record.remembered_until_ns, now_ns + dedup_window_ns + self.client_patience_ns
        )

    def attempt_finished(self, request_id: str, number: int, status: api.AttemptStatus) -> str:
        """Records an attempt's end; returns the request that holds the key from now on, "" for none new."""
        key = self.key_of.get(request_id)
        if key is None:
            return ""
        record = self.records[key]
        record.in_flight.discard((request_id, number))
        if status in api.NEVER_EXECUTED:
            record.executed.pop((request_id, number), None)
        return self._pass_on(key, record)

    def request_finished(self, request_id: str) -> str:
        """Records a request's final answer, or that its client has left.

        Returns the request that holds the key from now on, "" for none new.
        """
        key = self.key_of.get(request_id)
        if key is None:
            return ""
        record = self.records[key]
        if record.holder == request_id:
            record.holder_unfinished = False
            return self._pass_on(key, record)
        if request_id in record.queue:
            record.queue.remove(request_id)
            del self.key_of[request_id]
        return ""

    def _hold(self, key: str, record: KeyRecord, request_id: str) -> None:
        record.holder = request_id
        record.holder_unfinished = True
        self.key_of[request_id] = key
        self.records[key] = self.records.pop(key)  # the latest touched goes last

    def _pass_on(self, key: str, record: KeyRecord) -> str:
        """Gives a key that is no longer held to the next of its queue; returns that request, "" for none."""
        if record.state is KeyState.HELD:
            return ""
        self.key_of.pop(record.holder, None)
        if record.queue:
            self._hold(key, record, record.queue.popleft())
            return record.holder
        if not record.executed:
            del self.records[key]  # nothing to be remembered
        return ""

    def _make_room(self, now_ns: int) -> bool:
        """Forgets the expired keys, or else the idle one untouched for longest; returns whether any was."""
        idle = [key for key, record in self.records.items() if record.state is KeyState.IDLE]
        if not idle:
            return False
        expired = [key for key in idle if self.records[key].has_expired(now_ns)]
        for key in expired or idle[:1]:
            del self.records[key]
        return True
