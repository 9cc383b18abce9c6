"""The only translation of the operator's [membership] table to the options of the etcd source."""

import ssl
from pathlib import Path
from typing import TYPE_CHECKING

from rainhitch.interface import Address
from rainhitch.membership.errors import MembershipError
from rainhitch.operator_config import Membership, parse_host_port

if TYPE_CHECKING:
    from rainhitch.membership.etcd_client import EtcdOptions


def etcd_options(table: Membership) -> "EtcdOptions":
    """Returns the etcd source's options; raises MembershipError for an unusable file or missing library."""
    try:
        from rainhitch.membership.etcd_client import EtcdOptions
    except ModuleNotFoundError as problem:
        raise MembershipError(
            f"membership.source = 'etcd': {problem.name} is missing: install rainhitch[etcd]"
        ) from None
    tls = _tls(table)
    password = _password(table)
    return EtcdOptions(_addresses(table), table.prefix, table.user, password, tls, table.timeout_s)


def _tls(table: Membership) -> ssl.SSLContext | None:
    from rainhitch.membership.etcd_client import tls_context

    if not table.ca:
        return None
    try:
        return tls_context(table.ca, table.certificate, table.key)
    except (OSError, ssl.SSLError) as problem:
        files = " ".join(filter(None, (table.ca, table.certificate, table.key)))
        raise MembershipError(f"membership: {files}: {problem.strerror or problem}") from None


def _password(table: Membership) -> str:
    if not table.password_file:
        return ""
    try:
        return Path(table.password_file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as problem:
        raise MembershipError(f"membership.password_file = {table.password_file!r}: {problem}") from None


def _addresses(table: Membership) -> list[Address]:
    addresses = []
    for text in table.endpoints:
        address = parse_host_port(text)
        if address is None:
            raise MembershipError(f"membership.endpoints: {text!r}: allowed is host:port")
        addresses.append(address)
    return addresses
