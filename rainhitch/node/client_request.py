"""A client's command, as it came, and the outcome of one attempt at it."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rainhitch.interface import AttemptStatus, Idempotency
from rainhitch.settings import Names

if TYPE_CHECKING:
    from rainhitch.node.relay import Relay, Source

PLAIN = re.compile(rb"[!-~]+")  # fit for a list of names and values, and for an HTTP header
MOST_NAME = 256  # bytes of a key, which the decisions remember, or of an id
MOST_INFO = 1024
WORDS = frozenset("ctkdr")  # the fields that are no figures, or looked at on their own
NUMBER = re.compile(r"\d{1,15}(?:\.\d{1,9})?")


class ClientRequestError(ValueError):
    """A command that is whole but makes no sense."""


@dataclass(slots=True, eq=False)
class ClientRequest:
    """One command of a client; key, id, info and value go on as they came."""

    name: bytes
    key: bytes
    id: bytes
    info: bytes
    value: bytes | None
    cls: int
    tenant: int
    wait: int  # ms until the client gives up, from when it sent the command
    repeat: bool
    order: str = ""  # the order key of a keyed write
    unread: int = 0  # ms for which it may have lain unread before it was taken
    connection: int = 0  # the number of its client's connection

    @property
    def size(self) -> int:
        return len(self.key) + len(self.id) + len(self.info) + len(self.value or b"")

    def info_for(self, wait: int) -> bytes:
        """The list with so many nanoseconds that the router will wait, in place of the client's wait."""
        told = b"d=%d" % max(1, wait // 1_000_000)
        return b",".join(told if one.startswith(b"d=") else one for one in self.info.split(b","))


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended; a value only where it was served."""

    status: AttemptStatus
    value: object = b""  # bytes, or a richer value of RESP3
    note: int = 0


@dataclass(slots=True, eq=False)
class Exchange:
    """One attempt as a connection sees it: what to ask, until when the router waits, whom to tell. `begin` is
    asked where to pass on a long value of so many bytes; None: nobody wants it. `may_begin` is asked right
    before the first byte is written."""

    call: ClientRequest
    until: int  # monotonic ns
    done: Callable[[AttemptResult], None]
    begin: "Callable[[Source, int], Relay | None]"
    may_begin: Callable[[], bool] = lambda: True


def parse_client_request(parts: list[bytes], names: Names) -> ClientRequest:
    """Reads C.GET key id info, or C.SET key id info value. Guards the cache servers: what the protocol does
    not allow goes no further than this."""
    name = parts[0].upper()
    if len(parts) != (5 if name == b"C.SET" else 4):
        raise ClientRequestError("wrong number of arguments")
    key, identity, info = parts[1:4]
    if not 0 < len(key) <= MOST_NAME or len(identity) > MOST_NAME or not PLAIN.fullmatch(identity):
        raise ClientRequestError("invalid key or id")
    fields = _fields(info)
    cls = names.classes.get(fields.get("c", ""), -1)
    if cls < 0:
        raise ClientRequestError("unknown class")
    effect = names.idempotency[cls]
    value = parts[4] if name == b"C.SET" else None
    # A safe class reads and a keyed one writes; one that may not be repeated can do either.
    if effect is not Idempotency.NOT_IDEMPOTENT and (value is None) is not (effect is Idempotency.IDEMPOTENT):
        raise ClientRequestError(f"not a class for {name.decode()}")
    if effect is Idempotency.IDEMPOTENCY_KEY and not fields.get("k"):
        raise ClientRequestError("k is missing")
    tenant = names.tenants.get(fields.get("t", ""), -1) if names.tenants else 0
    if tenant < 0:
        raise ClientRequestError("unknown tenant")
    wait = fields.get("d", "")
    if not wait.isdigit() or len(wait) > 7 or int(wait) < 1:
        raise ClientRequestError("invalid d")
    if fields.get("r", "1") not in ("0", "1"):
        raise ClientRequestError("invalid r")
    order = fields["k"] if effect is Idempotency.IDEMPOTENCY_KEY else ""
    return ClientRequest(
        name, key, identity, info, value, cls, tenant, int(wait), fields.get("r") == "1", order
    )


def _fields(info: bytes) -> dict[str, str]:
    """The list of names and values; the figures among them are numbers."""
    if len(info) > MOST_INFO or not PLAIN.fullmatch(info):
        raise ClientRequestError("invalid list of names and values")
    fields: dict[str, str] = {}
    for pair in info.decode().split(","):
        field, equals, value = pair.partition("=")
        if not equals or not field or field in fields:
            raise ClientRequestError("invalid list of names and values")
        if field not in WORDS and not NUMBER.fullmatch(value):
            raise ClientRequestError(f"invalid {field[:16]}")
        fields[field] = value
    return fields
