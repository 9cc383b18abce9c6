"""A client's command, as it came, and the outcome of one attempt at it."""

import re
from collections.abc import Callable
from dataclasses import dataclass

from applehub.interface import Status
from applehub.node.resp import MOST_VALUE
from applehub.settings import Names

PLAIN = re.compile(rb"[!-~]+")  # fit for a list of names and values, and for an HTTP header
MOST_WAIT = 3_600_000  # ms


class CallError(ValueError):
    """A command that is whole but makes no sense."""


@dataclass(slots=True, eq=False)
class Call:
    """One command of a client; key, id, info and value go on as they came."""

    name: bytes
    key: bytes
    id: bytes
    info: bytes
    value: bytes | None
    cls: int
    tenant: int
    wait: int | None  # ms until the client gives up, from when it sent the command
    repeat: bool

    @property
    def size(self) -> int:
        return len(self.key) + len(self.id) + len(self.info) + len(self.value or b"")

    def info_for(self, wait: int) -> bytes:
        """The list with the milliseconds that the router will wait, in place of the client's."""
        told = b"d=%d" % wait
        if self.wait is None:
            return self.info + b"," + told
        return b",".join(told if one.startswith(b"d=") else one for one in self.info.split(b","))


@dataclass(slots=True)
class Ending:
    """How an attempt ended; a value only where it was served."""

    status: Status
    value: bytes = b""
    note: int = 0


@dataclass(slots=True, eq=False)
class Exchange:
    """One attempt as a connection sees it: what to ask, until when the router waits, whom to tell."""

    call: Call
    until: int  # monotonic ns
    done: Callable[[Ending], None]


def read_call(parts: list[bytes], names: Names) -> Call:
    """Reads C.GET key id info, or C.SET key id info value."""
    name = parts[0].upper()
    if len(parts) != (5 if name == b"C.SET" else 4):
        raise CallError("wrong number of arguments")
    key, identity, info = parts[1:4]
    if not key or len(key) > MOST_VALUE or not PLAIN.fullmatch(identity) or not PLAIN.fullmatch(info):
        raise CallError("invalid key, id or list")
    fields: dict[str, str] = {}
    for pair in info.decode().split(","):
        field, equals, value = pair.partition("=")
        if not equals or field in fields:
            raise CallError("invalid list of names and values")
        fields[field] = value
    cls = names.classes.get(fields.get("c", ""))
    if cls is None:
        raise CallError("unknown class")
    tenant = names.tenants.get(fields["t"]) if "t" in fields else 0
    if tenant is None:
        raise CallError("unknown tenant")
    wait = fields.get("d")
    if wait is not None and (not wait.isdigit() or len(wait) > 7 or int(wait) > MOST_WAIT):
        raise CallError("invalid d")
    value_sent = parts[4] if name == b"C.SET" else None
    number = None if wait is None else int(wait)
    return Call(name, key, identity, info, value_sent, cls, tenant, number, fields.get("r") == "1")
