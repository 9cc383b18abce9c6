"""What the clients are to do: requests and their tries as the plan has them, and the bytes of a command.

The command is written out here, and answers are read with hiredis alone: nothing of `rainhitch.protocol`, so
that the router's codec is tried against another one and not against itself.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

Json = dict[str, Any]
NANOSECONDS_PER_MILLISECOND = 1_000_000
NANOSECONDS_PER_SECOND = 1e9
MICROSECONDS_PER_SECOND = 1e6
ANY_ROUTER = -1  # whichever the load balancer gives


class Repeats(StrEnum):
    """Whether a request may be sent again after an end that leaves open whether it was carried out.

    The fakes' own, on purpose: see `ScriptedClass`.
    """

    SAFE = "safe"
    KEYED = "keyed"  # within the window of its idempotency key
    UNSAFE = "unsafe"


@dataclass(frozen=True, slots=True)
class ScriptedClass:
    """A class of requests as the scenario has it.

    The fakes' own, on purpose: `rainhitch.interface` and the checker have a `RequestClass` each, and a
    mistake that all share would be seen by none.
    """

    name: str
    is_write: bool
    deadline_ns: int
    repeats: Repeats
    window_ns: float  # of idempotency keys

    @classmethod
    def from_row(cls, row: Json) -> "ScriptedClass":
        """A class as the scenario's JSON has it."""
        return cls(
            name=row["name"],
            is_write=row["write"],
            deadline_ns=int(row["deadline_ms"] * NANOSECONDS_PER_MILLISECOND),
            repeats=Repeats(row["repeats"]),
            window_ns=row["window_s"] * NANOSECONDS_PER_SECOND,
        )


@dataclass(frozen=True, slots=True)
class ScriptedTry:
    """One try of a request: when its client sends it, and how long it waits."""

    id: str
    patience_ms: int
    backoff_s: float  # after the try before it
    leaves_after_s: float | None  # the client closes the connection then; None: it waits out its patience

    @classmethod
    def from_row(cls, row: Json) -> "ScriptedTry":
        """A try as the plan has it."""
        return cls(
            id=row["id"],
            patience_ms=row["wait_ms"],
            backoff_s=row["backoff_us"] / MICROSECONDS_PER_SECOND,
            leaves_after_s=row["leaves_us"] / MICROSECONDS_PER_SECOND if row["leaves_us"] else None,
        )


@dataclass(frozen=True, slots=True)
class ScriptedRequest:
    """One request with the tries that its client makes until one is served."""

    number: int  # in the plan
    at_us: int  # of the plan's time
    request_class: ScriptedClass
    customer: str
    key: str
    idempotency_key: str  # "" for none
    router: int  # or ANY_ROUTER
    honours_retry_after: bool
    on_new_connection: bool
    tries: list[ScriptedTry]

    @classmethod
    def from_row(
        cls, number: int, row: Json, request_class: ScriptedClass, customer: str
    ) -> "ScriptedRequest":
        """A request as the plan has it, under its number there; class and customer are numbers in the row."""
        return cls(
            number=number,
            at_us=row["at"],
            request_class=request_class,
            customer=customer,
            key=row["key"],
            idempotency_key=row["order"],
            router=row["router"],
            honours_retry_after=row["honours"],
            on_new_connection=row["fresh"],
            tries=[ScriptedTry.from_row(scripted_try) for scripted_try in row["tries"]],
        )


def scripted_requests(plan: Json, scenario: Json, zone: int) -> list[ScriptedRequest]:
    """The requests of one zone's clients, in the plan's order."""
    classes = [ScriptedClass.from_row(row) for row in scenario["classes"]]
    customers = [row["name"] for row in scenario["customers"]]
    return [
        ScriptedRequest.from_row(number, row, classes[row["cls"]], customers[row["customer"]])
        for number, row in enumerate(plan["asks"])
        if row["room"] == zone
    ]


def encode_command(
    request: ScriptedRequest, scripted_try: ScriptedTry, is_retry: bool, patience_ms: int, value: bytes
) -> bytes:
    """The bytes of a try; `patience_ms` is how long the client waits, `value` what a write carries."""
    request_class = request.request_class
    info = f"c={request_class.name},t={request.customer},d={patience_ms}"
    if request.idempotency_key:
        info += f",k={request.idempotency_key}"
    if is_retry:
        info += ",r=1"
    words = [
        b"C.SET" if request_class.is_write else b"C.GET",
        request.key.encode(),
        scripted_try.id.encode(),
        info.encode(),
    ]
    if request_class.is_write:
        words.append(value)
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)
