"""The rows of a run's records that the checker reads, as types; `from_row` is where a row's keys are read.

Times are monotonic ns unless the name says otherwise; 0 means that it did not happen.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

Json = dict[str, Any]
MILLI = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
NEVER_NS = 1 << 62
DATABASE = "database"  # as the server of an attempt
NEVER_RAN_OUTCOMES = ("busy", "miss")  # of a node's answers: these say that nothing was executed


class Repeats(StrEnum):
    """What a second execution of a request does, as the scenario file says it."""

    SAFE = "safe"  # nothing
    KEYED = "keyed"  # nothing within a window, by its idempotency key
    UNSAFE = "unsafe"  # harm


class TryKind(StrEnum):
    """How a client's try ended, as clients record it: the row's `kind`."""

    NONE = ""  # not at all: no answer
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"  # answered with an error, or with no RESP
    ENDED = "ended"  # the connection closed
    UNREACHABLE = "unreachable"  # no router took it


class RouterEvent(NamedTuple):
    """One event of a router's process."""

    kind: str  # one of RouterEventKind
    at_ns: int


@dataclass(frozen=True, slots=True)
class CheckedClass:
    """A class of requests, as the scenario has it.

    The checker's own, on purpose: it shares no type with the router or the fakes, nor their mistakes.
    """

    name: str
    repeats: str  # one of Repeats
    dedup_window_ns: float
    latency_objective_ns: float
    worth: float
    late_worth: float

    @classmethod
    def from_row(cls, row: Json) -> "CheckedClass":
        """The class of a row of the scenario."""
        return cls(
            name=row["name"],
            repeats=row["repeats"],
            dedup_window_ns=row["window_s"] * SECOND,
            latency_objective_ns=row["aim_ms"] * MILLI,
            worth=row["worth"],
            late_worth=row["late_worth"],
        )


@dataclass(frozen=True, slots=True)
class AskedRequest:
    """A request, as the plan has it."""

    at_us: int  # from the first scored instant
    room: int
    class_index: int
    customer: int
    work_us: int
    is_over_quota: bool
    try_ids: list[str]

    @classmethod
    def from_row(cls, row: Json) -> "AskedRequest":
        """The request of a row of the plan."""
        return cls(
            at_us=row["at"],
            room=row["room"],
            class_index=row["cls"],
            customer=row["customer"],
            work_us=row["work_us"],
            is_over_quota=row["over"],
            try_ids=[one["id"] for one in row["tries"]],
        )


class EarlierSend(NamedTuple):
    """A send of a try whose connection closed with no answer, after which the client sent it again."""

    router: int
    ended_ns: int


@dataclass(frozen=True, slots=True)
class ClientTry:
    """One try of a request, as its client recorded it."""

    request_number: int  # index in the plan
    try_number: int
    id: str
    router: int
    sent_ns: int
    wait_ns: int  # how long the client waits for the answer
    answered_ns: int
    result: str  # one of TryKind
    detail: str
    is_own: bool  # the value that was served was made for this request
    left_ns: int  # when the client disconnected before its time
    ended_ns: int
    earlier: list[EarlierSend]

    @classmethod
    def from_row(cls, row: Json) -> "ClientTry":
        """The try of a row of a client's record."""
        return cls(
            request_number=row["ask"],
            try_number=row["number"],
            id=row["id"],
            router=row["router"],
            sent_ns=row["sent"],
            wait_ns=row["wait"],
            answered_ns=row["answered"],
            result=row["kind"],
            detail=row["detail"],
            is_own=row["own"],
            left_ns=row["left"],
            ended_ns=row["ended"],
            earlier=[EarlierSend(one["router"], one["ended"]) for one in row["earlier"]],
        )


@dataclass(frozen=True, slots=True)
class FurtherAnswer:
    """What came to a client after the final answer, or when it had asked nothing (then the id is "")."""

    id: str
    router: int
    at_ns: int
    result: str

    @classmethod
    def from_row(cls, row: Json) -> "FurtherAnswer":
        """The answer of a row of a client's record."""
        return cls(id=row["id"], router=row["router"], at_ns=row["at"], result=row["kind"])


@dataclass(frozen=True, slots=True)
class ObservedAttempt:
    """One attempt of a router, as the node or the database saw it."""

    server: str
    router: int
    id: str
    first_byte_ns: int
    last_byte_ns: int
    out_until_ns: int  # when it was answered, or its connection closed; NEVER_NS for neither
    outcome: str
    may_have_run: bool
    connection: int
    is_write: bool
    is_cold: bool = False  # the node had just started
    work_us: float = 0.0
    idempotency_key: str = ""
    was_executed: bool = False

    @property
    def is_at_database(self) -> bool:
        """Whether the database saw it, and not a node."""
        return self.server == DATABASE

    @classmethod
    def from_node_row(cls, row: Json) -> "ObservedAttempt":
        """The attempt of a row of a node's record."""
        is_answered = bool(row["ended"])
        return cls(
            server=row["node"],
            router=row["router"],
            id=row["id"],
            first_byte_ns=row["first"],
            last_byte_ns=row["last"],
            out_until_ns=_out_until_ns(row),
            outcome=row["outcome"] if is_answered else "unanswered",
            may_have_run=not (is_answered and row["outcome"] in NEVER_RAN_OUTCOMES),
            connection=row["connection"],
            is_write=row["name"] == "C.SET",
            is_cold=row["cold"],
            work_us=row["work"],
        )

    @classmethod
    def from_database_row(cls, row: Json) -> "ObservedAttempt":
        """The attempt of a row of the database's record."""
        return cls(
            server=DATABASE,
            router=row["router"],
            id=row["id"],
            first_byte_ns=row["first"],
            last_byte_ns=row["last"],
            out_until_ns=_out_until_ns(row),
            outcome=row["outcome"] if row["outcome"] else "unanswered",
            may_have_run=row["outcome"] != "busy",
            connection=row["connection"],
            is_write=row["write"],
            idempotency_key=row["order"],
            was_executed=row["executed"],
        )


def _out_until_ns(row: Json) -> int:
    """When an attempt was answered or its connection closed, whichever came first."""
    ends = [at for at in (row["ended"], row["closed"]) if at]
    return min(ends, default=NEVER_NS)


@dataclass(frozen=True, slots=True)
class NodeRecord:
    """What a cache node recorded of itself."""

    uid: str
    starts_ns: list[int]
    overloads_ns: list[int]  # when it collapsed
    overhead_us: float  # work for connections and probes
    probes: int
    open_connections: list[tuple[int, int]]  # how many from an instant on

    @classmethod
    def from_row(cls, row: Json) -> "NodeRecord":
        """The node of a row of the nodes' record."""
        return cls(
            uid=row["uid"],
            starts_ns=row["starts"],
            overloads_ns=row["falls"],
            overhead_us=row["burdens"],
            probes=row["probes"],
            open_connections=row["tables"],
        )


class DatabaseStop(NamedTuple):
    """The database stopped."""

    at_ns: int
    is_overload: bool  # by what it was sent; else a fault of the scenario stopped it


@dataclass(frozen=True, slots=True)
class RouterCrash:
    """A router ended that should not have, or took too much memory or time."""

    router: int
    at_ns: int
    reason: str
    log: list[str]  # its last lines


class ListEntry(NamedTuple):
    """What a router was sent of a node, and when."""

    at_ns: int
    state: str
