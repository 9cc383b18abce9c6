"""From the operator's table to what the source needs; the only place that knows both."""

import ssl
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rainhitch.membership.etcd_source import EtcdOptions
    from rainhitch.operator_config import Membership


class MembershipError(ValueError):
    """The table can't be followed; one line says why."""


def etcd_options(told: "Membership") -> "EtcdOptions":
    """What the etcd source is told; raises MembershipError for files or a library that can't be used."""
    try:
        from rainhitch.membership.etcd_source import EtcdOptions, tls_context
    except ModuleNotFoundError as problem:
        raise MembershipError(
            f"membership.source = 'etcd': {problem.name} is missing: install rainhitch[etcd]"
        ) from None
    tls, password = None, ""
    try:
        if told.ca:
            tls = tls_context(told.ca, told.certificate, told.key)
    except (OSError, ssl.SSLError) as problem:
        files = " ".join(filter(None, (told.ca, told.certificate, told.key)))
        raise MembershipError(f"membership: {files}: {problem.strerror or problem}") from None
    if told.password_file:
        try:
            password = Path(told.password_file).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as problem:
            raise MembershipError(f"membership.password_file = {told.password_file!r}: {problem}") from None
    endpoints = [read_endpoint(one) for one in told.endpoints]
    return EtcdOptions(endpoints, told.prefix, told.user, password, tls, told.timeout_s)


def read_endpoint(text: str) -> tuple[str, int]:
    """host:port; raises MembershipError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65_536:
        raise MembershipError(f"membership.endpoints: {text!r}: allowed is host:port")
    return host.strip("[]"), int(port)


def check(told: "Membership") -> list[str]:
    """What does not fit together in the table, a line each."""
    lines = []
    for endpoint in told.endpoints:
        try:
            read_endpoint(endpoint)
        except MembershipError as problem:
            lines.append(str(problem))
    if bool(told.certificate) != bool(told.key):
        lines.append("membership.certificate and membership.key: allowed are both or neither")
    elif told.certificate and not told.ca:
        lines.append(f"membership.certificate = {told.certificate!r}: needs membership.ca")
    if bool(told.user) != bool(told.password_file):
        lines.append("membership.user and membership.password_file: allowed are both or neither")
    if not told.prefix.endswith("/") or len(told.prefix) < 2:
        lines.append(f"membership.prefix = {told.prefix!r}: allowed is a text that ends with /")
    return lines
