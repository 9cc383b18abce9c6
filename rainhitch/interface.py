"""The contract of the decisions (`policy/`): settings, events in, actions out, and overload control.

Whoever hosts a router, on sockets or in a simulator, passes events in and carries out the actions.
Durations and times are integer nanoseconds; times are monotonic, on the clock that is passed in with events.
Servers, requests and keys are opaque texts; classes, tenants, zones, cells and kinds are indexes.

Four rules: (1) each request gets exactly one final answer in its client's time, with one attempt at a time;
(2) an attempt that may have been executed is repeated only where that does no harm; (3) nothing new goes to a
server that drains; (4) no server in slow start, and no origin, gets more than it can take.
"""

from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import Protocol

Address = tuple[str, int]  # host, port
DEFAULT_MIGRATION_FRACTION = 0.25  # of the origin's other requests, for keys that move to another server


class Idempotency(StrEnum):
    """What a second execution of a request would do."""

    IDEMPOTENT = "idempotent"  # nothing
    IDEMPOTENCY_KEY = "idempotency_key"  # nothing, where the server still knows the key of the first
    NOT_IDEMPOTENT = "not_idempotent"  # harm


class AttemptStatus(StrEnum):
    """How an attempt at a server ended. The values stand in records and datagrams."""

    OK = "ok"  # it was answered
    ERROR = "error"  # the server answered that it failed
    FULL = "full"  # the server rejected it: its queue or its connection table is full
    TIMEOUT = "timeout"  # no answer within the attempt's timeout, or cancelled since its answer is lost
    CONNECT_FAILED = "connect_failed"  # no connection came up
    RESET = "reset"  # the connection broke
    CANCELLED = "cancelled"  # given up, and perhaps executed; only the simulator reports it
    ABANDONED = "moot"  # given up before it was written
    MISS = "miss"  # the server lacks the key
    NO_LOCAL_CONNECTION = "room"  # the router itself could open no more connections


# After these ends an attempt has certainly not been executed.
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
    """Which decision ended a request unserved, by `Reject` or `Fail`; also why an attempt may not start.

    The values stand in records. A time limit ends a request that waits; its reason is what it waited for.
    """

    # When it arrived
    OVERLOAD_CONTROL = "storm"  # in a retry storm, too much or too late; always, too many idempotency keys
    IDEMPOTENCY_KEY = "order"  # an earlier request of its key was not over in time, or may have been executed
    # On its way to the origin
    NO_TOKEN = "throttle"  # the origin's throttle is on: no token within its objective, or over its quota
    WAIT_FOR_TOKEN = "buffer"  # it waited for a token until the end of its latency objective
    READ_OF_ANOTHER_REQUEST = "fetch"  # it waited for another request's read of its key until then
    # Before an attempt
    NO_SERVER_WITH_CAPACITY = "placement"  # no cache server that may hold its key has capacity
    ORIGIN_UNAVAILABLE = "origin"  # the origin is not listed, has no capacity, or has failed the request
    NO_MORE_ATTEMPTS = "attempts"  # max_attempts, too little time, or a repeat might do harm
    FLEET_READ_ALLOWANCE = "total"  # all routers together may send the origin no more reads now
    RETRY_BUDGET = "budget"  # the retry budget is used up
    # After an attempt that failed
    OBJECTIVE_PASSED = "late"  # its latency objective is over, and a later answer is worth nothing
    CACHE_FAILED = "error"  # a cache that reads the origin itself failed to
    SERVER_FULL = "full"  # a second server was full, or the first one for work over its quota
    NO_LOCAL_CONNECTION = "room"  # this router can open no more connections to servers


# How a cache server came by its answer, as far as it tells; the numbers are the wire's.
NOTE_NONE = 0
NOTE_HIT = 1
NOTE_MISS = 2  # it did not hold the key; where caches read the origin, it has read it there
NOTE_MISS_PENDING = 3  # it did not hold the key either, and another request's read of it is under way


class EndpointState(StrEnum):
    """What the endpoint list says of a server."""

    READY = "ready"
    RETIRING = "retiring"  # is to go: owns no keys, and is still read for what it holds
    DRAINING = "draining"  # gets no new requests
    GONE = "gone"


class EndpointUpdateKind(StrEnum):
    """What an EndpointUpdate carries."""

    DELTA = "delta"  # the entries that changed
    FULL = "full"  # all entries
    CACHED = "cached"  # all entries, as they were known before a restart
    FAILED = "failed"  # none: the list was not to be had


# Settings


@dataclass(slots=True)
class RequestClass:
    """One class of requests."""

    latency_objective_ns: int  # an answer within it has its full worth
    deadline_ns: int  # after its arrival; there is no answer later
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    dedup_scope: str = "all"  # who knows a repeat by its key: "all" servers, or those of its "zone" or "cell"
    dedup_window_ns: int = 0  # for how long after the first attempt
    priority_weight: float = 1.0  # the worth of an answer within the objective; no decision reads it
    late_weight: float = 0.0  # the fraction of that worth that a later answer has
    is_relayed: bool = False  # its answer is relayed as it comes


@dataclass(slots=True)
class Tenant:
    """One customer and what it may send to all routers together."""

    quota_per_s: float = 0.0  # requests; 0: no quota


@dataclass(slots=True)
class Settings:
    """What a router is given when it starts."""

    classes: list[RequestClass]
    router_count: int = 1  # routers in the fleet, with this one
    tenants: list[Tenant] = field(default_factory=list)
    cache_aside: bool = False  # true: the router itself reads the origin after a miss; false: the caches do
    origin_kind: int = -1  # the `Endpoint.kind` of the origin; -1: there is none
    endpoints_polled: bool = False  # the endpoint list comes only on request
    retry_after_allowed: bool = False  # rejected clients may be told when to come again
    max_retry_after_ns: int = 0
    max_attempts: int = 1  # of one request
    connect_timeout_ns: int = 250_000_000
    max_poll_retry_ns: int = 10_000_000_000  # longest wait before an unavailable list is asked for again
    slow_start_initial_fraction: float = 1.0  # of its capacity that a server has when it starts
    slow_start_ns: int = 0  # from a server's start to its full capacity
    slow_start_overload_factor: float = 1.0  # at which a starting server collapses; no decision reads it
    slow_start_window_ns: int = 1_000_000_000  # over which that load is averaged
    gossip_interval_ns: int = 0  # between reports to the other routers; 0: none are sent
    migration_fraction: float = DEFAULT_MIGRATION_FRACTION  # below 0: keys move at once


# Events


@dataclass(slots=True)
class Endpoint:
    """One entry of the endpoint list."""

    server: str
    state: EndpointState = EndpointState.READY
    kind: int = 0
    zone: int = 0
    cell: int = 0
    started_at_ns: int = 0  # its latest start, on the clock of the events; 0: long ago
    weight: float = 1.0  # its capacity, relative to the others


@dataclass(slots=True)
class EndpointUpdate:
    """The endpoint list has changed, or could not be read."""

    kind: EndpointUpdateKind
    entries: list[Endpoint]


@dataclass(slots=True)
class Request:
    """A client's request, to be given exactly one final answer by its deadline."""

    id: str
    class_index: int
    deadline_ns: int  # a time
    key: str | None = None  # None: any server will do
    is_write: bool = False
    tenant: int = 0
    is_client_retry: bool = False  # the client marks it as a retry of its own
    idempotency_key: str = ""  # "": none


@dataclass(slots=True)
class LoadReport:
    """A server's own report of its load, late and noisy; a field that it does not report is negative.

    Decisions read `in_flight`, `latency_ms` and `served_per_s`.
    """

    in_flight: float = -1.0  # requests it holds
    queued: float = -1.0  # requests that wait there
    utilization: float = -1.0  # fraction of its cores in use
    latency_ms: float = -1.0  # recent service time, without waiting
    served_per_s: float = -1.0  # requests
    errors_per_s: float = -1.0


@dataclass(slots=True)
class AttemptFinished:
    """An attempt has ended."""

    id: str  # of the request
    attempt: int  # its number in the request, from 0
    server: str
    status: AttemptStatus
    request_finished: (
        bool  # nothing more is owed to the client: its final answer is given or begun, or it left
    )
    elapsed_ns: int  # since the attempt started
    answer_note: int = NOTE_NONE  # how the server came by its answer: one of NOTE_...
    load: LoadReport | None = None
    connection_reused: bool | None = None  # the connection had carried others before; None: not known


@dataclass(slots=True)
class LatencyObservation:
    """What a router saw of a server: the time of an answer, or for how long an attempt is in flight."""

    server: str
    elapsed_ns: int
    is_in_flight: bool = False  # there is no answer yet


@dataclass(slots=True)
class GossipReceived:
    """Another router's observations of servers; they may come late, or never."""

    observations: list[LatencyObservation]


@dataclass(slots=True)
class TrafficFractions:
    """This router's fraction of the traffic that all routers receive, as their counts give it."""

    by_tenant: list[float]  # 0 to 1 each; a single value holds for all tenants
    valid_for_ns: int


@dataclass(slots=True)
class GossipIntervalElapsed:
    """The gossip interval is over: what was observed in it is to be published."""


@dataclass(slots=True)
class ClientGone:
    """The client has left; its request needs no answer any more."""

    id: str  # of the request


@dataclass(slots=True)
class TimerFired:
    """A timer that was asked for with SetTimer is due."""

    token: str


@dataclass(slots=True)
class KeysInvalidated:
    """A server no longer holds these keys."""

    server: str
    keys: list[str] | None  # None: it holds none at all


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
    """Send a request to a server."""

    id: str  # of the request
    server: str
    timeout_ns: int = 0  # 0: until the client gives up
    # It is written whole within so long or never, since a repeat after that may do harm; 0: no such limit.
    write_within_ns: int = 0


@dataclass(slots=True)
class CancelAttempt:
    """End this attempt if it is in flight, as if its timeout were over."""

    id: str  # of the request
    attempt: int


@dataclass(slots=True)
class Reject:
    """Final answer: not done, and trying again does no harm."""

    id: str  # of the request
    retry_after_ns: int = 0  # when the client should come again; 0: it is not told
    # A RejectReason's value, for records; a "+" behind it marks work over its tenant's quota.
    reason: str = field(default="", compare=False)


@dataclass(slots=True)
class Fail:
    """Final answer: failed, and perhaps executed."""

    id: str  # of the request
    reason: str = field(default="", compare=False)  # as in Reject


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerFired with this token after a delay."""

    delay_ns: int
    token: str


@dataclass(slots=True)
class WatchEndpoints:
    """Ask for the endpoint list, and for its changes."""


@dataclass(slots=True)
class LogLine:
    """A line for the operators."""

    text: str


@dataclass(slots=True)
class PublishGossip:
    """Send the other routers what was observed since the last time: once an interval, even if nothing."""

    observations: list[LatencyObservation]


Action = StartAttempt | CancelAttempt | Reject | Fail | SetTimer | WatchEndpoints | LogLine | PublishGossip


# Overload control


class AdmissionDecision(Enum):
    """What becomes of a request that has just arrived."""

    ADMIT = "admit"
    QUEUE = "wait"  # an earlier request with the same idempotency key is not over
    REJECT = "refuse"


class OverloadControl(Protocol):
    """What the decisions ask and report on retry storms and shared idempotency keys; `overload/` has it."""

    period_ns: int  # between two calls of `step`; 0: it is never called

    def admit(self, now_ns: int, request: Request, over_quota: bool) -> AdmissionDecision:
        """Whether a request that has arrived is admitted; `over_quota`: it is beyond its tenant's."""

    def earlier_attempts(self, request: Request) -> list[tuple[int, Endpoint]]:
        """When (ns) and where attempts of other requests with the same key may have been executed."""

    def take_retry_budget(self, now_ns: int, is_retry: bool) -> bool:
        """Whether the retry budget allows an attempt, and takes from it. `is_retry`: one failed before."""

    def attempt_started(
        self, now_ns: int, request_id: str, number: int, endpoint: Endpoint, dedup_window_ns: int
    ) -> None:
        """An attempt has started; its server recognizes a repeat for `dedup_window_ns`."""

    def attempt_finished(self, now_ns: int, event: AttemptFinished) -> str:
        """An attempt has ended; returns the id of the queued request that may begin now, "" for none."""

    def request_finished(self, now_ns: int, request_id: str, served: bool, rejected: bool) -> str:
        """A request has ended here; returns the id of the queued request that may begin now, "" for none."""

    def retry_after_ns(self, now_ns: int, request: Request) -> int:
        """After how long a rejected request should come again; 0 where clients may not be told."""

    def timer_delayed(self, delay_ns: int) -> None:
        """The router's timer fired so long after its time."""

    def step(self, now_ns: int) -> str:
        """Called once a period; returns a line to log, or ""."""
