"""The plan of a run: its types, its JSON form, its digest, and the random streams that it is drawn from.

Every matter has a random stream of its own, named after it, so that one more fault shifts no other draw.
Times are whole microseconds from the first scored instant; what comes before it has negative ones. Rounding
to them also keeps the digest the same on machines whose logarithms differ in the last place.
"""

import hashlib
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from typing import Any

import orjson

MICROSECONDS_PER_SECOND = 1_000_000
MICROSECONDS_PER_MILLISECOND = 1_000
NANOSECONDS_PER_MICROSECOND = 1_000
NANOSECONDS_PER_SECOND = 1_000_000_000
Json = dict[str, Any]


@dataclass(slots=True)
class PlannedTry:
    """One try of a request. The fields are the plan file's format."""

    id: str  # the request id of this try
    wait_ms: int  # how long the client waits for the answer
    backoff_us: int  # between the end of the try before and this one
    leaves_us: int  # after which the client disconnects; 0: it stays until it gives up


@dataclass(slots=True)
class PlannedRequest:
    """One request and all its tries. The fields are the plan file's format.

    The platform's words among them are explained in docs/glossary.md.
    """

    at: int  # us
    room: int  # index of the client's zone
    cls: int  # index of the class
    customer: int  # index of the customer
    key: str
    work_us: int  # on a core of speed 1
    over: bool  # beyond its customer's quota
    honours: bool  # the client waits as long as a rejection with a time (`-BUSY MS`) says
    order: str  # no sequence: the idempotency key of a keyed write; "" for none
    router: int  # -1: whichever the front end gives
    tries: list[PlannedTry]
    origin: int = 0  # 0 for the ordinary load, else the number from 1 of the fault that adds it; no database
    fresh: bool = False  # it comes on a new connection


@dataclass(slots=True)
class EndpointChange:
    """What the list says of a node from a time on, to one router. The fields are the plan file's format."""

    at: int  # us
    router: int
    node: str
    state: str
    boot: int  # us; when the node started; 0: long ago


class Component(StrEnum):
    """What an action acts on. The values are the plan file's."""

    NODE = "node"  # name: the node's uid
    LINK = "link"  # name: [router, node]
    DATABASE = "database"
    ENDPOINT_LIST = "list"  # name: the routers, none for all
    GOSSIP = "messages"  # name: the routers of one side, none for all
    ROUTER = "router"  # name: its number
    CLIENTS = "clients"
    ETCD = "etcd"


class Command(StrEnum):
    """What an action does. The values are the plan file's."""

    # processes: nodes and routers
    START = "start"
    KILL = "kill"
    DRAIN = "drain"
    RETIRE = "retire"
    UPGRADE = "upgrade"  # a node speaks RESP3 from its next start on; clients, on new connections
    RESTART = "restart"
    RELOAD = "reload"
    PAUSE = "pause"
    RESUME = "wake"
    # a node's answers
    CORRUPT = "spoil"
    CORRUPT_NO_MORE = "unspoil"
    # links, the endpoint list, gossip and etcd
    SILENCE = "silent"
    HEAL = "heal"
    SPEAK = "speak"
    RESET = "reset"
    DROP = "drop"
    COMPACT = "compact"
    HOLD = "hold"
    RELEASE = "release"
    LATE = "late"
    ON_TIME = "timely"
    DELAY = "delay"
    DELAY_NO_MORE = "undelay"
    PARTITION = "cut"
    LOSE = "lose"
    LOSE_NO_MORE = "keep"
    DUPLICATE = "double"
    DUPLICATE_NO_MORE = "single"
    REORDER = "shuffle"
    REORDER_NO_MORE = "order"
    UNAVAILABLE = "away"
    AVAILABLE = "back"
    # the database
    SLOW = "slow"
    SLOW_NO_MORE = "quick"
    STOP = "stop"
    STOP_NO_MORE = "go"


@dataclass(frozen=True, slots=True)
class FaultAction:
    """One command to one component at an instant."""

    at_us: int
    component: Component
    name: object  # which one: see Component
    command: Command
    fault_number: int  # index in the scenario's list of faults
    parameters: Json = field(default_factory=dict)  # further keys of the row

    def to_row(self) -> Json:
        """The action as a row of the plan's `cues`."""
        return {
            "at": self.at_us,
            "who": self.component.value,
            "name": self.name,
            "what": self.command.value,
            "fault": self.fault_number,
            **self.parameters,
        }

    @classmethod
    def from_row(cls, row: Json) -> "FaultAction":
        """The action of a row of the plan's `cues`."""
        parameters = {key: value for key, value in row.items() if key not in FAULT_ACTION_KEYS}
        return cls(
            at_us=row["at"],
            component=Component(row["who"]),
            name=row["name"],
            command=Command(row["what"]),
            fault_number=row["fault"],
            parameters=parameters,
        )


FAULT_ACTION_KEYS = ("at", "who", "name", "what", "fault")  # of a row, beside an action's parameters


@dataclass(slots=True)
class Plan:
    """All that will happen, but for what the routers do about it. The fields are the plan file's format."""

    seed: int
    scenario: str
    rooms: list[str]
    nodes: list[Json]
    routers: list[Json]
    warm: list[str]  # the keys that the prelude reads, least popular first
    asks: list[PlannedRequest] = field(default_factory=list)  # all requests, the prelude's first
    changes: list[EndpointChange] = field(default_factory=list)  # of the endpoint list
    cues: list[Json] = field(default_factory=list)  # rows of `FaultAction`

    def rows(self) -> Json:
        """The plan as a map that JSON takes."""
        plan_rows: Json = orjson.loads(orjson.dumps(self))
        return plan_rows

    def digest(self) -> str:
        """SHA-256 over the plan in one canonical form, in hexadecimal."""
        return hashlib.sha256(orjson.dumps(self, option=orjson.OPT_SORT_KEYS)).hexdigest()


def random_stream(seed: int, *names: object) -> Random:
    """The random stream of the matter that `names` name; the same names give the same stream."""
    return Random("/".join(map(str, (seed, *names))))


def to_microseconds(seconds: float) -> int:
    """Seconds as whole microseconds."""
    return round(seconds * MICROSECONDS_PER_SECOND)
