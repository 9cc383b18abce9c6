"""Interface of the decision logic (`policy/`): settings, input events, output actions and overload control.

The host of a router, a socket server or a simulator, passes events in and carries out the returned actions.
Durations and times are integer nanoseconds. Times are monotonic, on the clock that is passed in with events.
Servers, requests and keys are opaque strings; classes, tenants, zones, cells and kinds are indexes.

Four rules: (1) each request gets exactly one final answer by its deadline, with one attempt at a time;
(2) a possibly executed attempt is repeated only where a second execution does no harm; (3) a draining server
gets no new requests; (4) neither a server in slow start nor the origin gets more load than it can handle.
"""

from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import Protocol

Address = tuple[str, int]  # host, port
DEFAULT_MIGRATION_FRACTION = 0.25  # reads that migrate keys, as a fraction of all other origin requests


class Idempotency(StrEnum):
    """The effect of executing a request twice."""

    IDEMPOTENT = "idempotent"  # a second execution has no effect
    IDEMPOTENCY_KEY = "idempotency_key"  # no effect while the server remembers the request's idempotency key
    NOT_IDEMPOTENT = "not_idempotent"  # a second execution does harm


class AttemptStatus(StrEnum):
    """The outcome of an attempt at a server. The values are written to records and datagrams."""

    OK = "ok"  # the server answered
    ERROR = "error"  # the server answered with an error
    FULL = "full"  # the server rejected the attempt: its queue or its connection table is full
    TIMEOUT = "timeout"  # no answer within the attempt's timeout, or cancelled because the answer is lost
    CONNECT_FAILED = "connect_failed"  # the connection could not be established
    RESET = "reset"  # the connection broke during the attempt
    CANCELLED = "cancelled"  # cancelled, and possibly executed; only the simulator reports it
    ABANDONED = "moot"  # cancelled before it was written to a connection
    MISS = "miss"  # the server does not hold the key
    NO_LOCAL_CONNECTION = "room"  # this router has reached its own limit of connections


# With these outcomes an attempt has certainly not been executed.
NEVER_EXECUTED = frozenset(
    (
        AttemptStatus.FULL,
        AttemptStatus.CONNECT_FAILED,
        AttemptStatus.ABANDONED,
        AttemptStatus.MISS,
        AttemptStatus.NO_LOCAL_CONNECTION,
    )
)


class RejectReason(StrEnum):
    """The decision that ended a request unserved, by `Reject` or `Fail`, or that prevented an attempt.

    The values are written to records. For a request that ran out of time the value names what it waited for.
    """

    # Decided on arrival:
    OVERLOAD_CONTROL = "storm"  # excess or late in a retry storm; at any time: too many idempotency keys
    IDEMPOTENCY_KEY = "order"  # the key's earlier request did not end in time, or may have been executed

    # Decided at admission to the origin:
    NO_TOKEN = "throttle"  # throttle on, and: no token within the latency objective, or tenant over quota
    WAIT_FOR_TOKEN = "buffer"  # waited for a token until the end of the latency objective
    READ_OF_ANOTHER_REQUEST = "fetch"  # waited that long for another request's read of the same key

    # Decided before an attempt:
    NO_SERVER_WITH_CAPACITY = "placement"  # no cache server that may hold the key has capacity
    ORIGIN_UNAVAILABLE = "origin"  # the origin is not listed, has no capacity, or failed the request
    NO_MORE_ATTEMPTS = "attempts"  # max_attempts reached, too little time left, or a repeat might do harm
    FLEET_READ_ALLOWANCE = "total"  # all routers together have used up their allowance of origin reads
    RETRY_BUDGET = "budget"  # the retry budget is used up

    # Decided after a failed attempt:
    OBJECTIVE_PASSED = "late"  # the latency objective has passed, and a later answer has no value
    CACHE_FAILED = "error"  # a cache that reads the origin itself failed to read it
    SERVER_FULL = "full"  # a second server was full, or the first one for a request over its tenant's quota
    NO_LOCAL_CONNECTION = "room"  # this router has reached its own limit of connections


# How a cache server obtained its answer, if it reports that. The numbers are those of the wire format.
NOTE_NONE = 0
NOTE_HIT = 1
NOTE_MISS = 2  # the server did not hold the key; where caches read the origin, it read the key there
NOTE_MISS_PENDING = 3  # the server did not hold the key, and another request's read of it is in progress


class EndpointState(StrEnum):
    """The state of a server on the endpoint list."""

    READY = "ready"
    RETIRING = "retiring"  # about to be removed: owns no keys, but is still read for the keys it holds
    DRAINING = "draining"  # gets no new requests
    GONE = "gone"


class EndpointUpdateKind(StrEnum):
    """The contents of an EndpointUpdate."""

    DELTA = "delta"  # the entries that changed
    FULL = "full"  # all entries
    CACHED = "cached"  # all entries, from the copy saved before a restart
    FAILED = "failed"  # no entries: the list could not be read


@dataclass(slots=True)
class RequestClass:
    """A class of requests."""

    latency_objective_ns: int  # time after the request's arrival; an answer within it has its full value
    deadline_ns: int  # time after the request's arrival; no answer is given later
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    # Servers that recognize a repeat by its idempotency key: "all", or those of the same "zone" or "cell".
    dedup_scope: str = "all"
    dedup_window_ns: int = 0  # how long after the first attempt servers recognize a repeat
    priority_weight: float = 1.0  # value of an answer within the objective; not used in decisions
    late_weight: float = 0.0  # value of a later answer, as a fraction of `priority_weight`
    is_relayed: bool = False  # the answer is relayed to the client while it is received


@dataclass(slots=True)
class Tenant:
    """A tenant and its quota over all routers together."""

    quota_per_s: float = 0.0  # requests per second; 0: no quota


@dataclass(slots=True)
class Settings:
    """Settings of a router, fixed at its start."""

    classes: list[RequestClass]
    router_count: int = 1  # routers in the fleet, including this one
    tenants: list[Tenant] = field(default_factory=list)
    cache_aside: bool = False  # true: the router reads the origin after a miss; false: the cache servers do
    origin_kind: int = -1  # `Endpoint.kind` of the origin; -1: there is no origin
    endpoints_polled: bool = False  # the endpoint list is sent only on request
    retry_after_allowed: bool = False  # rejections may tell clients when to retry
    max_retry_after_ns: int = 0
    max_attempts: int = 1  # per request
    connect_timeout_ns: int = 250_000_000
    max_poll_retry_ns: int = 10_000_000_000  # longest wait before an unavailable list is polled again
    slow_start_initial_fraction: float = 1.0  # fraction of a server's capacity that it has at its start
    slow_start_ns: int = 0  # time from a server's start to its full capacity
    # Load, relative to its capacity, at which a server in slow start collapses; not used in decisions.
    slow_start_overload_factor: float = 1.0
    slow_start_window_ns: int = 1_000_000_000  # window over which that load is averaged
    gossip_interval_ns: int = 0  # time between reports to the other routers; 0: no gossip
    migration_fraction: float = DEFAULT_MIGRATION_FRACTION  # below 0: keys migrate at once


# Events


@dataclass(slots=True)
class Endpoint:
    """An entry of the endpoint list."""

    server: str
    state: EndpointState = EndpointState.READY
    kind: int = 0
    zone: int = 0
    cell: int = 0
    started_at_ns: int = 0  # latest start, on the clock of the events; 0: long ago
    weight: float = 1.0  # capacity relative to the other endpoints


@dataclass(slots=True)
class EndpointUpdate:
    """A change of the endpoint list, or a failure to read it."""

    kind: EndpointUpdateKind
    entries: list[Endpoint]


@dataclass(slots=True)
class Request:
    """A client's request, which needs exactly one final answer by its deadline."""

    id: str
    class_index: int
    deadline_ns: int  # point in time, not a duration
    key: str | None = None  # None: any server can serve the request
    is_write: bool = False
    tenant: int = 0
    is_client_retry: bool = False  # the client marked the request as a retry
    idempotency_key: str = ""  # "": none


@dataclass(slots=True)
class LoadReport:
    """A server's report of its own load, delayed and noisy; a field that it does not report is negative."""

    in_flight: float = -1.0  # requests received and not answered yet
    queued: float = -1.0  # requests waiting in the server's queue; not used in decisions
    utilization: float = -1.0  # fraction of the cores in use; not used in decisions
    latency_ms: float = -1.0  # recent service time, without time in the queue
    served_per_s: float = -1.0  # requests per second
    errors_per_s: float = -1.0  # not used in decisions


@dataclass(slots=True)
class AttemptFinished:
    """The end of an attempt."""

    id: str  # id of the request
    attempt: int  # number of the attempt within its request, from 0
    server: str
    status: AttemptStatus
    # No further answer is due: the final answer has been sent or begun, or the client has disconnected.
    request_finished: bool
    elapsed_ns: int  # time since the attempt started
    answer_note: int = NOTE_NONE  # how the server obtained its answer: one of NOTE_...
    load: LoadReport | None = None
    connection_reused: bool | None = None  # the connection had carried earlier attempts; None: not known


@dataclass(slots=True)
class LatencyObservation:
    """A latency that a router observed at a server, or the age of an attempt that is still in flight."""

    server: str
    elapsed_ns: int
    is_in_flight: bool = False  # the attempt has not been answered yet


@dataclass(slots=True)
class GossipReceived:
    """Another router's observations of servers; delivery may be delayed or fail."""

    observations: list[LatencyObservation]


@dataclass(slots=True)
class TrafficFractions:
    """This router's fraction of the traffic of all routers, from the counts that the routers exchange."""

    by_tenant: list[float]  # 0 to 1 each; a single value applies to all tenants
    valid_for_ns: int


@dataclass(slots=True)
class GossipIntervalElapsed:
    """The end of a gossip interval, at which the observations made in it are published."""


@dataclass(slots=True)
class ClientGone:
    """The disconnection of a client, whose request needs no answer any more."""

    id: str  # id of the request


@dataclass(slots=True)
class TimerFired:
    """The expiry of a timer that was set with SetTimer."""

    token: str


@dataclass(slots=True)
class KeysInvalidated:
    """Keys that a server no longer holds."""

    server: str
    keys: list[str] | None  # None: the server holds no keys at all


Event = (
    KeysInvalidated
    | EndpointUpdate
    | Request
    | AttemptFinished
    | ClientGone
    | TimerFired
    | GossipReceived
    | TrafficFractions
    | GossipIntervalElapsed
)


# Actions


@dataclass(slots=True)
class StartAttempt:
    """Send a request to a server once."""

    id: str  # id of the request
    server: str
    timeout_ns: int = 0  # 0: no timeout; the attempt runs until the client gives up
    # The request is written within this time or not at all, as a later repeat may do harm; 0: no limit.
    write_within_ns: int = 0


@dataclass(slots=True)
class CancelAttempt:
    """End an attempt, if it is in flight, as if its timeout had expired."""

    id: str  # id of the request
    attempt: int


@dataclass(slots=True)
class Reject:
    """Final answer: not served, and sending the request again does no harm."""

    id: str  # id of the request
    retry_after_ns: int = 0  # time after which the client should retry; 0: the client is not told
    # Value of a RejectReason, for records; a "+" after it marks a request over its tenant's quota.
    reason: str = field(default="", compare=False)


@dataclass(slots=True)
class Fail:
    """Final answer: failed, and possibly executed."""

    id: str  # id of the request
    reason: str = field(default="", compare=False)  # as in Reject


@dataclass(slots=True)
class SetTimer:
    """Request a TimerFired event with this token after a delay."""

    delay_ns: int
    token: str


@dataclass(slots=True)
class WatchEndpoints:
    """Request the endpoint list and its changes."""


@dataclass(slots=True)
class LogLine:
    """Write a line to the log."""

    text: str


@dataclass(slots=True)
class PublishGossip:
    """Send the other routers the observations since the last report, once per interval, even if empty."""

    observations: list[LatencyObservation]


Action = StartAttempt | CancelAttempt | Reject | Fail | SetTimer | WatchEndpoints | LogLine | PublishGossip


class AdmissionDecision(Enum):
    """The decision on a request that has just arrived."""

    ADMIT = "admit"
    QUEUE = "wait"  # an earlier request with the same idempotency key has not ended
    REJECT = "refuse"


class OverloadControl(Protocol):
    """Protection against retry storms, and tracking of idempotency keys; implemented in `overload/`."""

    period_ns: int  # time between calls of `step`; 0: `step` is never called

    def admit(self, now_ns: int, request: Request, over_quota: bool) -> AdmissionDecision:
        """Decides on a request that has arrived; `over_quota`: it exceeds its tenant's quota."""

    def earlier_attempts(self, request: Request) -> list[tuple[int, Endpoint]]:
        """Returns the send times (ns) and endpoints of possibly executed attempts.

        They are those of other requests with the same idempotency key.
        """

    def take_retry_budget(self, now_ns: int, is_retry: bool) -> bool:
        """Returns whether the retry budget allows an attempt, and takes it; `is_retry`: one failed before."""

    def attempt_started(
        self, now_ns: int, request_id: str, number: int, endpoint: Endpoint, dedup_window_ns: int
    ) -> None:
        """Records the start of an attempt; its server recognizes a repeat for `dedup_window_ns`."""

    def attempt_finished(self, now_ns: int, event: AttemptFinished) -> str:
        """Records the end of an attempt; returns the id of the queued request that may begin now, or ""."""

    def request_finished(self, now_ns: int, request_id: str, served: bool, rejected: bool) -> str:
        """Records the end of a request; returns the id of the queued request that may begin now, or ""."""

    def retry_after_ns(self, now_ns: int, request: Request) -> int:
        """Returns after how long a rejected request should be retried; 0 if clients may not be told."""

    def timer_delayed(self, delay_ns: int) -> None:
        """Records by how much the router's timer fired late."""

    def step(self, now_ns: int) -> str:
        """Runs once per `period_ns`; returns a line to log, or ""."""
