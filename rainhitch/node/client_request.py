"""Parses and validates a client's request commands, C.GET and C.SET."""

import re
from dataclasses import dataclass

from rainhitch.interface import Idempotency
from rainhitch.node.errors import NodeError
from rainhitch.settings import Names

PRINTABLE = re.compile(rb"[!-~]+")  # characters safe in a list of names and values and in an HTTP header
MAX_NAME_BYTES = 256  # maximum length of a key, which the policy layer stores, and of an id
MAX_INFO_BYTES = 1024
MAX_WAIT_DIGITS = 7  # maximum length of the wait in ms, in digits
TEXT_FIELDS = frozenset("ctkdr")  # fields of the info list that are not numbers or are checked separately
NUMBER = re.compile(r"\d{1,15}(?:\.\d{1,9})?")
NS_PER_MS = 1_000_000


class ClientRequestError(NodeError, ValueError):
    """A command that is correctly framed but not valid; the client receives the text."""


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request command of a client; key, id, info and value are forwarded as received."""

    command: bytes  # C.GET or C.SET
    key: bytes
    id: bytes
    info: bytes
    value: bytes | None
    class_index: int
    tenant: int
    wait_ms: int  # from when the client sent the command; ClientCommands subtracts unread_ms
    is_client_retry: bool
    idempotency_key: str = ""
    unread_ms: int = 0  # longest time the command may have been in the socket before it was read
    connection_id: int = 0  # id of the client's connection

    def size_bytes(self) -> int:
        """Returns the memory that the command occupies, in bytes."""
        return len(self.key) + len(self.id) + len(self.info) + len(self.value or b"")

    def info_for(self, wait_ns: int) -> bytes:
        """Returns the info list with the client's wait replaced by `wait_ns`, the time the router waits."""
        wait_field = b"d=%d" % max(1, wait_ns // NS_PER_MS)
        fields = self.info.split(b",")
        return b",".join(wait_field if field.startswith(b"d=") else field for field in fields)


def parse_client_request(parts: list[bytes], names: Names) -> ClientRequest:
    """Parses `C.GET key id info` or `C.SET key id info value`; raises ClientRequestError.

    Protects the cache servers: a command that the protocol does not allow is not forwarded.
    """
    command = parts[0].upper()
    if len(parts) != (5 if command == b"C.SET" else 4):
        raise ClientRequestError("wrong number of arguments")
    key, identity, info = parts[1:4]
    is_id_valid = len(identity) <= MAX_NAME_BYTES and PRINTABLE.fullmatch(identity)
    if not 0 < len(key) <= MAX_NAME_BYTES or not is_id_valid:
        raise ClientRequestError("invalid key or id")
    fields = _parse_info(info)
    class_index = names.classes.get(fields.get("c", ""), -1)
    if class_index < 0:
        raise ClientRequestError("unknown class")
    idempotency = names.idempotency[class_index]
    value = parts[4] if command == b"C.SET" else None
    _check_idempotency(command, idempotency, fields)
    tenant = names.tenants.get(fields.get("t", ""), -1) if names.tenants else 0
    if tenant < 0:
        raise ClientRequestError("unknown tenant")
    wait = fields.get("d", "")
    if not wait.isdigit() or len(wait) > MAX_WAIT_DIGITS or int(wait) < 1:
        raise ClientRequestError("invalid d")
    if fields.get("r", "1") not in ("0", "1"):
        raise ClientRequestError("invalid r")
    idempotency_key = fields["k"] if idempotency is Idempotency.IDEMPOTENCY_KEY else ""
    return ClientRequest(
        command,
        key,
        identity,
        info,
        value,
        class_index,
        tenant,
        int(wait),
        fields.get("r") == "1",
        idempotency_key,
    )


def _check_idempotency(command: bytes, idempotency: Idempotency, fields: dict[str, str]) -> None:
    """Checks that the command may be used with its class; raises ClientRequestError.

    An idempotent class allows reads only, a class with an idempotency key allows writes only, and a class
    that is not idempotent allows both.
    """
    is_read = command != b"C.SET"
    is_idempotent = idempotency is Idempotency.IDEMPOTENT
    if idempotency is not Idempotency.NOT_IDEMPOTENT and is_read is not is_idempotent:
        raise ClientRequestError(f"not a class for {command.decode()}")
    if idempotency is Idempotency.IDEMPOTENCY_KEY and not fields.get("k"):
        raise ClientRequestError("k is missing")


def _parse_info(info: bytes) -> dict[str, str]:
    """Parses the list of names and values; all values except those of the text fields must be numbers."""
    if len(info) > MAX_INFO_BYTES or not PRINTABLE.fullmatch(info):
        raise ClientRequestError("invalid list of names and values")
    fields: dict[str, str] = {}
    for pair in info.decode().split(","):
        field, equals, value = pair.partition("=")
        if not equals or not field or field in fields:
            raise ClientRequestError("invalid list of names and values")
        if field not in TEXT_FIELDS and not NUMBER.fullmatch(value):
            raise ClientRequestError(f"invalid {field[:16]}")
        fields[field] = value
    return fields
