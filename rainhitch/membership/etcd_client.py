"""Calls to one endpoint of etcd's v3 gRPC API. The library is grpclib, imported only with this module."""

import ssl
from dataclasses import dataclass, field
from typing import Any

from grpclib import GRPCError, Status
from grpclib.client import Channel, StreamStreamMethod, UnaryUnaryMethod
from grpclib.config import Configuration
from grpclib.exceptions import ProtocolError, StreamTerminatedError

from rainhitch.interface import Address
from rainhitch.membership.watch_events import Snapshot, StoredValue
from rainhitch.protocol import etcd

PAGE_ENTRIES = 1000  # of one answer to a read
DEFAULT_TIMEOUT_S = 2.0  # for an answer that need not wait
KEEPALIVE_INTERVAL_S = 10.0  # between HTTP/2 pings
KEEPALIVE_TIMEOUT_S = 5.0  # for the answer to one
CALL_ERRORS = (
    OSError,
    TimeoutError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)  # of a call that failed


@dataclass(slots=True)
class EtcdOptions:
    """How etcd is reached."""

    endpoints: list[Address]  # tried in turn
    prefix: str = "/rainhitch/members/"  # of the keys; the uid follows
    user: str = ""  # empty: etcd asks for none
    password: str = ""
    tls: ssl.SSLContext | None = None
    timeout_s: float = DEFAULT_TIMEOUT_S


def tls_context(ca: str, certificate: str = "", key: str = "") -> ssl.SSLContext:
    """The TLS settings that these files make; raises OSError (ssl.SSLError) where one can't be used."""
    context = ssl.create_default_context(cafile=ca)
    if certificate:
        context.load_cert_chain(certificate, key or None)
    context.set_alpn_protocols(["h2"])
    return context


def describe_error(problem: BaseException) -> str:
    """A failed call in a few words, for the log."""
    if isinstance(problem, GRPCError):
        return f"{problem.status.name}: {problem.message}"
    return f"{type(problem).__name__}: {problem}" if str(problem) else type(problem).__name__


def uid_of(key: bytes, prefix: str) -> str:
    """The uid in an entry's key."""
    return key[len(prefix.encode()) :].decode("utf-8", "replace")


@dataclass
class EtcdClient:
    """Calls to one endpoint; where there is a user, a token is fetched once and kept."""

    options: EtcdOptions
    address: Address
    token: str = ""
    channel: Channel = field(init=False)

    def __post_init__(self) -> None:
        host, port = self.address
        config = Configuration(_keepalive_time=KEEPALIVE_INTERVAL_S, _keepalive_timeout=KEEPALIVE_TIMEOUT_S)
        self.channel = Channel(host, port, ssl=self.options.tls, config=config)

    async def metadata(self) -> dict[str, str]:
        """What goes with each call; fetches a token where there is a user and none yet."""
        if self.options.user and not self.token:
            login = etcd.message(
                "AuthenticateRequest", name=self.options.user, password=self.options.password
            )
            answer = await self._unary("Auth/Authenticate", login, {})
            self.token = answer.token
        return {"token": self.token} if self.token else {}

    async def call(self, method: str, request: Any) -> Any:
        """The answer to a unary call; raises one of CALL_ERRORS. An expired token is fetched again, once."""
        try:
            return await self._unary(method, request, await self.metadata())
        except GRPCError as problem:
            if problem.status is not Status.UNAUTHENTICATED or not self.token:
                raise
            self.token = ""
            return await self._unary(method, request, await self.metadata())

    async def _unary(self, method: str, request: Any, metadata: dict[str, str]) -> Any:
        asked, answered, _ = etcd.METHODS[method]
        call: Any = UnaryUnaryMethod(
            self.channel, etcd.path(method), etcd.MESSAGES[asked], etcd.MESSAGES[answered]
        )
        return await call(request, timeout=self.options.timeout_s, metadata=metadata)

    def stream(self, method: str, metadata: dict[str, str]) -> Any:
        """An open stream, to be used as a context."""
        asked, answered, _ = etcd.METHODS[method]
        call: Any = StreamStreamMethod(
            self.channel, etcd.path(method), etcd.MESSAGES[asked], etcd.MESSAGES[answered]
        )
        return call.open(metadata=metadata)

    async def read_all(self, prefix: str) -> Snapshot:
        """The entries under a prefix as of one revision, read page by page; raises one of CALL_ERRORS."""
        key = prefix.encode()
        end = etcd.prefix_end(key)
        revision = 0  # the first page is as of etcd's latest, the others as of the first page's
        entries: dict[str, StoredValue] = {}
        while True:
            request = etcd.message(
                "RangeRequest", key=key, range_end=end, limit=PAGE_ENTRIES, revision=revision
            )
            page = await self.call("KV/Range", request)
            if not revision:
                revision = page.header.revision
            for one in page.kvs:
                entries[uid_of(one.key, prefix)] = StoredValue(one.mod_revision, one.value)
            if not page.more or not page.kvs:
                return Snapshot(page.header.cluster_id, revision, entries)
            key = page.kvs[-1].key + b"\0"

    def close(self) -> None:
        """Closes the connection; calls on it fail."""
        self.channel.close()
