"""What the decision module is told and what it answers: settings, events and actions.

Times and durations are integer nanoseconds; a clock value is passed in with every event.
Servers, requests and keys are opaque texts; classes, tenants, zones and kinds are indexes.
"""

from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import Protocol

Endpoint = tuple[str, int]  # an address: host, port
MOVE_SHARE = 0.25  # of what the origin is sent besides, for keys that move to another server


class Effect(StrEnum):
    """What a second execution of a request would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Status(StrEnum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    MISS = "miss"
    NO_ROOM = "room"  # the router itself could open no more connections


class State(StrEnum):
    """What the list says of a server."""

    READY = "ready"
    RETIRING = "retiring"  # is to go: owns nothing, and is still read for what it holds
    DRAINING = "draining"
    GONE = "gone"


class ListKind(StrEnum):
    """What a Members event carries."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(slots=True)
class RequestClass:
    """One class of requests; late_worth is the part of its worth that an answer after the aim earns."""

    aim: int
    deadline: int
    effect: Effect = Effect.SAFE
    group: str = "all"
    window: int = 0
    worth: float = 1.0
    late_worth: float = 0.0
    stream: bool = False


@dataclass(slots=True)
class Tenant:
    """One customer and what it may send, over all routers, in requests a second."""

    quota: float = 0.0


@dataclass(slots=True)
class Settings:
    """What a router is told when it starts."""

    classes: list[RequestClass]
    balancers: int = 1
    tenants: list[Tenant] = field(default_factory=list)
    aside: bool = False  # the router itself fetches from the origin after a miss
    origin_kind: int = -1
    must_ask: bool = False  # the server list comes only on request
    retry_after: bool = False
    max_retry_after: int = 0
    max_attempts: int = 1
    connect_timeout: int = 250_000_000
    ask_within: int = 10_000_000_000
    cold_from: float = 1.0
    ramp_time: int = 0
    tip_multiple: float = 1.0
    fall_time: int = 1_000_000_000
    tell_every: int = 0  # how often the other routers are told; 0: there are none, or they may not be
    move_share: float = MOVE_SHARE  # below 0: keys move at once


@dataclass(slots=True)
class Member:
    """One entry of the server list."""

    server: str
    state: State = State.READY
    kind: int = 0
    zone: int = 0
    cell: int = 0
    since: int = 0  # clock time of its latest start; 0: long ago
    weight: float = 1.0


@dataclass(slots=True)
class Members:
    """News of the server list."""

    kind: ListKind
    entries: list[Member]


@dataclass(slots=True)
class Request:
    """A client's request, to be given exactly one final answer by its deadline."""

    id: str
    cls: int
    deadline: int
    key: str | None = None
    write: bool = False
    tenant: int = 0
    repeat: bool = False
    order: str = ""  # the order key of a keyed write


@dataclass(slots=True)
class Opened:
    """A streamed answer has begun."""

    id: str
    attempt: int
    server: str


@dataclass(slots=True)
class Load:
    """A server's own report, late and noisy; what it does not tell is negative."""

    inflight: float = -1.0  # requests it holds
    queue: float = -1.0  # requests waiting
    util: float = -1.0  # part of its cores in use
    latency_ms: float = -1.0  # service time lately, without waiting
    qps: float = -1.0  # requests served a second
    eps: float = -1.0  # errors a second


@dataclass(slots=True)
class Outcome:
    """An attempt has ended; closed: the request has its final answer."""

    id: str
    attempt: int
    server: str
    status: Status
    closed: bool
    elapsed: int
    note: int = 0
    load: Load | None = None
    reused: bool | None = None  # it went on a connection that had carried others before; None: not known


@dataclass(slots=True)
class Seen:
    """An answer of a server as one router saw it, and its time; or how long an attempt there has been out."""

    server: str
    elapsed: int
    out: bool = False  # no answer has come


@dataclass(slots=True)
class Heard:
    """Another router's word on servers: advice, late or lost at times."""

    seen: list[Seen]


@dataclass(slots=True)
class Part:
    """This router's part of what all routers take in of each customer, 0 to 1, as their counts tell it; one
    for all where there is one only. Known for so long."""

    parts: list[float]
    span: int


@dataclass(slots=True)
class Round:
    """A period between routers is over: what was seen in it is to be told."""


@dataclass(slots=True)
class Withdrawn:
    """The client has left; nothing more is owed."""

    id: str


@dataclass(slots=True)
class Alarm:
    """A wake-up asked for with Wake."""

    token: str


@dataclass(slots=True)
class Probed:
    """The result of a Probe."""

    server: str
    status: Status
    elapsed: int
    load: Load | None = None


@dataclass(slots=True)
class PeerMessage:
    """A message from another router."""

    sender: int
    data: str


@dataclass(slots=True)
class Voided:
    """A server holds these keys no more; None: none at all."""

    server: str
    keys: list[str] | None


Event = (
    Voided
    | Members
    | Request
    | Opened
    | Outcome
    | Withdrawn
    | Alarm
    | Probed
    | PeerMessage
    | Heard
    | Part
    | Round
)


@dataclass(slots=True)
class Send:
    """Start an attempt; timeout 0: until the client gives up. `within`: it is written whole within so long,
    or never, since a repeat later than that may do harm; 0: it is none."""

    id: str
    server: str
    timeout: int = 0
    within: int = 0


@dataclass(slots=True)
class Refuse:
    """Final answer: not done, a further try does no harm. `why`: the decision that gave it up, for the log;
    a "+" behind it: of work beyond its customer's share."""

    id: str
    retry_after: int = 0
    why: str = field(default="", compare=False)


@dataclass(slots=True)
class Fail:
    """Final answer: failed, perhaps done."""

    id: str
    why: str = field(default="", compare=False)


@dataclass(slots=True)
class Wake:
    """Ask for an Alarm with this token after a delay."""

    delay: int
    token: str


@dataclass(slots=True)
class Watch:
    """Subscribe to changes of the server list."""


@dataclass(slots=True)
class Log:
    """A line for the operators."""

    text: str


@dataclass(slots=True)
class Tell:
    """Tell the other routers what was seen since the last time; once a period, also where that is nothing."""

    seen: list[Seen]


@dataclass(slots=True)
class Stop:
    """End this attempt if it is out, as if its time were up."""

    id: str
    attempt: int


Action = Send | Stop | Refuse | Fail | Wake | Watch | Log | Tell


class Verdict(Enum):
    """What is to become of a request that has just come."""

    ADMIT = "admit"
    WAIT = "wait"  # an earlier request for the same order is not over
    REFUSE = "refuse"


class Damper(Protocol):
    """What the decisions ask and tell about storms, and about requests that share an order key. Times are
    ns."""

    period: int

    def arrived(self, now: int, request: Request, marked: bool) -> Verdict:
        """What to do with a request that has come; marked: beyond its customer's share."""

    def inherited(self, request: Request) -> list[tuple[int, Member]]:
        """When and where other requests' attempts at this request's order may have run."""

    def may_send(self, now: int, again: bool) -> bool:
        """Whether an attempt may go; again: an earlier one failed. Counts it if it may."""

    def sent(self, now: int, id: str, number: int, member: Member, window: int) -> None:
        """An attempt is out; window is for how long its repeats are dropped there."""

    def outcome(self, now: int, event: Outcome) -> str:
        """An attempt has ended; gives the request whose turn at its order it is now, "" for none."""

    def ended(self, now: int, id: str, served: bool, refused: bool) -> str:
        """A request is over here; gives the request whose turn at its order it is now, "" for none."""

    def come_back(self, now: int, request: Request) -> int:
        """After how long a refused request should come again; 0 where that may not be told."""

    def late(self, late: int) -> None:
        """An alarm came so much late."""

    def step(self, now: int) -> str:
        """Once a period; gives a line to log, or ""."""
