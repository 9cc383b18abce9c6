"""Client of one endpoint of etcd's v3 gRPC API. grpclib is imported only with this module."""

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

MAX_ENTRIES_PER_PAGE = 1000  # in one response to a read of the whole list
DEFAULT_TIMEOUT_S = 2.0  # time limit of a unary call
KEEPALIVE_INTERVAL_S = 10.0  # time between HTTP/2 pings
KEEPALIVE_TIMEOUT_S = 5.0  # time limit of the response to a ping
CALL_ERRORS = (
    OSError,
    TimeoutError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
)  # errors of a failed call


@dataclass(slots=True)
class EtcdOptions:
    """Endpoints, credentials and time limit of the connection to etcd."""

    endpoints: list[Address]  # addresses that are tried in turn
    prefix: str = "/rainhitch/members/"  # prefix of the keys; the uid follows it
    user: str = ""  # empty: no authentication is used
    password: str = ""
    tls: ssl.SSLContext | None = None
    timeout_s: float = DEFAULT_TIMEOUT_S


def tls_context(ca: str, certificate: str = "", key: str = "") -> ssl.SSLContext:
    """Returns the TLS context for these files; raises OSError (ssl.SSLError) where a file is unusable."""
    context = ssl.create_default_context(cafile=ca)
    if certificate:
        context.load_cert_chain(certificate, key or None)
    context.set_alpn_protocols(["h2"])
    return context


def describe_error(problem: BaseException) -> str:
    """Returns a short description of a failed call for the log."""
    if isinstance(problem, GRPCError):
        return f"{problem.status.name}: {problem.message}"
    return f"{type(problem).__name__}: {problem}" if str(problem) else type(problem).__name__


def uid_of(key: bytes, prefix: str) -> str:
    """Returns the uid in an entry's key."""
    return key[len(prefix.encode()) :].decode("utf-8", "replace")


@dataclass
class EtcdClient:
    """Client of one endpoint; where there is a user, a token is fetched once and kept."""

    options: EtcdOptions
    address: Address
    token: str = ""
    channel: Channel = field(init=False)

    def __post_init__(self) -> None:
        host, port = self.address
        config = Configuration(_keepalive_time=KEEPALIVE_INTERVAL_S, _keepalive_timeout=KEEPALIVE_TIMEOUT_S)
        self.channel = Channel(host, port, ssl=self.options.tls, config=config)

    async def metadata(self) -> dict[str, str]:
        """Returns the metadata of a call; fetches a token where there is a user and no token yet."""
        if self.options.user and not self.token:
            credentials = etcd.message(
                "AuthenticateRequest", name=self.options.user, password=self.options.password
            )
            response = await self._unary("Auth/Authenticate", credentials, {})
            self.token = response.token
        return {"token": self.token} if self.token else {}

    async def call(self, method: str, request: Any) -> Any:
        """Returns the response to a unary call; raises one of CALL_ERRORS. Renews an expired token once."""
        try:
            return await self._unary(method, request, await self.metadata())
        except GRPCError as problem:
            if problem.status is not Status.UNAUTHENTICATED or not self.token:
                raise
            self.token = ""
            return await self._unary(method, request, await self.metadata())

    async def _unary(self, method: str, request: Any, metadata: dict[str, str]) -> Any:
        request_type, response_type, _ = etcd.METHODS[method]
        call: Any = UnaryUnaryMethod(
            self.channel, etcd.path(method), etcd.MESSAGES[request_type], etcd.MESSAGES[response_type]
        )
        return await call(request, timeout=self.options.timeout_s, metadata=metadata)

    def stream(self, method: str, metadata: dict[str, str]) -> Any:
        """Returns a stream, to be used as an async context manager."""
        request_type, response_type, _ = etcd.METHODS[method]
        call: Any = StreamStreamMethod(
            self.channel, etcd.path(method), etcd.MESSAGES[request_type], etcd.MESSAGES[response_type]
        )
        return call.open(metadata=metadata)

    async def read_all(self, prefix: str) -> Snapshot:
        """Returns the entries under a prefix as of one revision, read in pages; raises one of CALL_ERRORS."""
        key = prefix.encode()
        end = etcd.prefix_end(key)
        revision = 0  # the first page is read at etcd's latest revision, the others at that of the first page
        entries: dict[str, StoredValue] = {}
        while True:
            request = etcd.message(
                "RangeRequest", key=key, range_end=end, limit=MAX_ENTRIES_PER_PAGE, revision=revision
            )
            page = await self.call("KV/Range", request)
            if not revision:
                revision = page.header.revision
            for entry in page.kvs:
                entries[uid_of(entry.key, prefix)] = StoredValue(entry.mod_revision, entry.value)
            if not page.more or not page.kvs:
                return Snapshot(page.header.cluster_id, revision, entries)
            key = page.kvs[-1].key + b"\0"

    def close(self) -> None:
        """Closes the connection; further calls fail."""
        self.channel.close()
