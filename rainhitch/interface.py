"""What the decision module is told and what it answers: settings, events and actions.

Times and durations are integer nanoseconds; a clock value is passed in with every event.
Servers, requests and keys are opaque texts; classes, tenants, zones and kinds are indexes.
"""

from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import Protocol

Address = tuple[str, int]  # an address: host, port
DEFAULT_MIGRATION_FRACTION = 0.25  # of what the origin is sent besides, for keys that move to another server


class Idempotency(StrEnum):
    """What a second execution of a request would do."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENCY_KEY = "idempotency_key"
    NOT_IDEMPOTENT = "not_idempotent"


class AttemptStatus(StrEnum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    ABANDONED = "moot"
    MISS = "miss"
    NO_LOCAL_CONNECTION = "room"  # the router itself could open no more connections


class EndpointState(StrEnum):
    """What the list says of a server."""

    READY = "ready"
    RETIRING = "retiring"  # is to go: owns nothing, and is still read for what it holds
    DRAINING = "draining"
    GONE = "gone"


class EndpointUpdateKind(StrEnum):
    """What a Members event carries."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(slots=True)
class RequestClass:
    """One class of requests; late_worth is the part of its worth that an answer after the aim earns."""

    latency_objective_ns: int
    deadline_ns: int
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    dedup_scope: str = "all"
    dedup_window_ns: int = 0
    priority_weight: float = 1.0
    late_weight: float = 0.0
    is_streamed: bool = False


@dataclass(slots=True)
class Tenant:
    """One customer and what it may send, over all routers, in requests a second."""

    quota_per_s: float = 0.0


@dataclass(slots=True)
class Settings:
    """What a router is told when it starts."""

    classes: list[RequestClass]
    router_count: int = 1
    tenants: list[Tenant] = field(default_factory=list)
    cache_aside: bool = False  # the router itself fetches from the origin after a miss
    origin_kind: int = -1
    endpoints_polled: bool = False  # the server list comes only on request
    retry_after_allowed: bool = False
    max_retry_after_ns: int = 0
    max_attempts: int = 1
    connect_timeout_ns: int = 250_000_000
    poll_within_ns: int = 10_000_000_000
    slow_start_initial_fraction: float = 1.0
    slow_start_ns: int = 0
    slow_start_overload_factor: float = 1.0
    slow_start_window_ns: int = 1_000_000_000
    gossip_interval_ns: int = 0  # how often the other routers are told; 0: there are none, or they may not be
    migration_fraction: float = DEFAULT_MIGRATION_FRACTION  # below 0: keys move at once


@dataclass(slots=True)
class Endpoint:
    """One entry of the server list."""

    server: str
    state: EndpointState = EndpointState.READY
    kind: int = 0
    zone: int = 0
    cell: int = 0
    started_at_ns: int = 0  # clock time of its latest start; 0: long ago
    weight: float = 1.0


@dataclass(slots=True)
class EndpointUpdate:
    """News of the server list."""

    kind: EndpointUpdateKind
    entries: list[Endpoint]


@dataclass(slots=True)
class Request:
    """A client's request, to be given exactly one final answer by its deadline."""

    id: str
    class_index: int
    deadline_ns: int
    key: str | None = None
    is_write: bool = False
    tenant: int = 0
    is_client_retry: bool = False
    idempotency_key: str = ""  # the order key of a keyed write


@dataclass(slots=True)
class LoadReport:
    """A server's own report, late and noisy; what it does not tell is negative."""

    in_flight: float = -1.0  # requests it holds
    queued: float = -1.0  # requests waiting
    utilization: float = -1.0  # part of its cores in use
    latency_ms: float = -1.0  # service time lately, without waiting
    served_per_s: float = -1.0  # requests served a second
    errors_per_s: float = -1.0  # errors a second


@dataclass(slots=True)
class AttemptFinished:
    """An attempt has ended; closed: the request has its final answer."""

    id: str
    attempt: int
    server: str
    status: AttemptStatus
    request_finished: bool
    elapsed_ns: int
    note: int = 0
    load: LoadReport | None = None
    connection_reused: bool | None = (
        None  # it went on a connection that had carried others before; None: not known
    )


@dataclass(slots=True)
class LatencyObservation:
    """An answer of a server as one router saw it, and its time; or how long an attempt there has been out."""

    server: str
    elapsed_ns: int
    is_in_flight: bool = False  # no answer has come


@dataclass(slots=True)
class GossipReceived:
    """Another router's word on servers: advice, late or lost at times."""

    observations: list[LatencyObservation]


@dataclass(slots=True)
class TrafficFractions:
    """This router's part of what all routers take in of each customer, 0 to 1, as their counts tell it; one
    for all where there is one only. Known for so long."""

    by_tenant: list[float]
    valid_for_ns: int


@dataclass(slots=True)
class GossipIntervalElapsed:
    """A period between routers is over: what was seen in it is to be told."""


@dataclass(slots=True)
class ClientGone:
    """The client has left; nothing more is owed."""

    id: str


@dataclass(slots=True)
class TimerFired:
    """A wake-up asked for with Wake."""

    token: str


@dataclass(slots=True)
class KeysInvalidated:
    """A server holds these keys no more; None: none at all."""

    server: str
    keys: list[str] | None


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


@dataclass(slots=True)
class StartAttempt:
    """Start an attempt; timeout 0: until the client gives up. `within`: it is written whole within so long,
    or never, since a repeat later than that may do harm; 0: it is none."""

    id: str
    server: str
    timeout_ns: int = 0
    write_within_ns: int = 0


@dataclass(slots=True)
class Reject:
    """Final answer: not done, a further try does no harm. `why`: the decision that gave it up, for the log;
    a "+" behind it: of work beyond its customer's share."""

    id: str
    retry_after_ns: int = 0
    reason: str = field(default="", compare=False)


@dataclass(slots=True)
class Fail:
    """Final answer: failed, perhaps done."""

    id: str
    reason: str = field(default="", compare=False)


@dataclass(slots=True)
class SetTimer:
    """Ask for an Alarm with this token after a delay."""

    delay_ns: int
    token: str


@dataclass(slots=True)
class WatchEndpoints:
    """Subscribe to changes of the server list."""


@dataclass(slots=True)
class LogLine:
    """A line for the operators."""

    text: str


@dataclass(slots=True)
class PublishGossip:
    """Tell the other routers what was seen since the last time; once a period, also where that is nothing."""

    observations: list[LatencyObservation]


@dataclass(slots=True)
class CancelAttempt:
    """End this attempt if it is out, as if its time were up."""

    id: str
    attempt: int


Action = StartAttempt | CancelAttempt | Reject | Fail | SetTimer | WatchEndpoints | LogLine | PublishGossip


class AdmissionDecision(Enum):
    """What is to become of a request that has just come."""

    ADMIT = "admit"
    QUEUE = "wait"  # an earlier request for the same order is not over
    REJECT = "refuse"


class OverloadControl(Protocol):
    """What the decisions ask and tell about storms, and about requests that share an order key. Times are
    ns."""

    period_ns: int

    def admit(self, now: int, request: Request, marked: bool) -> AdmissionDecision:
        """What to do with a request that has come; marked: beyond its customer's share."""

    def earlier_attempts(self, request: Request) -> list[tuple[int, Endpoint]]:
        """When and where other requests' attempts at this request's order may have run."""

    def may_start_attempt(self, now: int, again: bool) -> bool:
        """Whether an attempt may go; again: an earlier one failed. Counts it if it may."""

    def attempt_started(self, now: int, id: str, number: int, member: Endpoint, window: int) -> None:
        """An attempt is out; window is for how long its repeats are dropped there."""

    def attempt_finished(self, now: int, event: AttemptFinished) -> str:
        """An attempt has ended; gives the request whose turn at its order it is now, "" for none."""

    def request_finished(self, now: int, id: str, served: bool, refused: bool) -> str:
        """A request is over here; gives the request whose turn at its order it is now, "" for none."""

    def retry_after_ns(self, now: int, request: Request) -> int:
        """After how long a refused request should come again; 0 where that may not be told."""

    def timer_delayed(self, late: int) -> None:
        """An alarm came so much late."""

    def step(self, now: int) -> str:
        """Once a period; gives a line to log, or ""."""
