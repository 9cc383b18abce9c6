"""One member of the fake etcd: the methods of the published v3 gRPC API over the cluster's store.

The field numbers are those of `rainhitch.protocol.etcd`, which the router's client uses too. A wrong
number there is not hidden by that: tests/membership/test_fake_etcd.py drives this fake with a client library
that has its own copy of the published numbers. Nothing else is shared with the router.
"""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from grpclib import GRPCError, Status
from grpclib.const import Cardinality, Handler
from grpclib.server import Server

from rainhitch.protocol import etcd
from rainhitch.rehearsal.fakes.etcd_cluster_state import EtcdClusterState
from rainhitch.rehearsal.fakes.etcd_store import ABSENT_KEY, EtcdStore, EtcdStoreError, KeyWrite
from rainhitch.rehearsal.fakes.etcd_watch import WatchStream, key_value_message

RAFT_TERM = 2
AUTHENTICATE = "Auth/Authenticate"
WATCH = "Watch/Watch"
STATUS_BY_STORE_ERROR = {
    etcd.COMPACTED: Status.OUT_OF_RANGE,
    etcd.FUTURE: Status.OUT_OF_RANGE,
    etcd.NO_LEASE: Status.NOT_FOUND,
}


def comparison_holds(store: EtcdStore, comparison: Any) -> bool:
    """Whether one comparison (the API's Compare) of a transaction holds now.

    A comparison of the value of a key that does not exist never holds.
    """
    found = store.at(comparison.key, store.revision)
    version = ABSENT_KEY if found is None else found
    operands: dict[int, tuple[Any, Any]] = {
        etcd.VERSION: (version.version, comparison.version),
        etcd.CREATE: (version.create_revision, comparison.create_revision),
        etcd.MOD: (version.revision, comparison.mod_revision),
        etcd.VALUE: (version.value, comparison.value),
        etcd.LEASE: (version.lease_id, comparison.lease),
    }
    stored, wanted = operands[comparison.target]
    if stored is None:
        return False
    results = {
        etcd.EQUAL: stored == wanted,
        etcd.GREATER: stored > wanted,
        etcd.LESS: stored < wanted,
        etcd.NOT_EQUAL: stored != wanted,
    }
    return bool(results[comparison.result])


class EtcdMember:
    """One endpoint of the cluster.

    Attributes:
        frozen_revision: the revision that the member stays at while it lags behind; None: it does not lag.
        down: the member does not run: calls over connections that are still open fail.
    """

    def __init__(self, cluster: EtcdClusterState, number: int) -> None:
        self.cluster = cluster
        self.number = number
        self.frozen_revision: int | None = None
        self.down = False
        self.server: Server | None = None
        self.port = 0  # 0 until it listens for the first time
        self._answers: dict[str, Callable[[Any], Any]] = {
            AUTHENTICATE: self._authenticate,
            "KV/Range": self._range,
            "KV/Put": self._put,
            "KV/DeleteRange": self._delete_range,
            "KV/Txn": self._transaction,
            "KV/Compact": self._compact,
            "Lease/LeaseGrant": self._grant_lease,
            "Lease/LeaseRevoke": self._revoke_lease,
        }
        self._streams: dict[str, Callable[[Any], Awaitable[None]]] = {
            WATCH: self._watch,
            "Lease/LeaseKeepAlive": self._keep_alive,
        }

    @property
    def seen_revision(self) -> int:
        """The last revision that the member knows of: less than the store's while it lags."""
        return self.cluster.store.revision if self.frozen_revision is None else self.frozen_revision

    def header(self) -> Any:
        """The header of a response: who answers, and as of which revision."""
        return etcd.message(
            "ResponseHeader",
            cluster_id=self.cluster.store.cluster_id,
            member_id=self.number + 1,
            revision=self.seen_revision,
            raft_term=RAFT_TERM,
        )

    def __mapping__(self) -> dict[str, Handler]:
        handlers = {}
        for method, (request, response, streams) in etcd.METHODS.items():
            cardinality = Cardinality.STREAM_STREAM if streams else Cardinality.UNARY_UNARY
            run = self._streams[method] if streams else self._unary(method)
            handlers[etcd.path(method)] = Handler(
                run, cardinality, etcd.MESSAGES[request], etcd.MESSAGES[response]
            )
        return handlers

    def _unary(self, method: str) -> Callable[[Any], Awaitable[None]]:
        """The handler of a method with one request and one response."""

        async def run(stream: Any) -> None:
            """Answers one request."""
            request = await stream.recv_message()
            await self.cluster.hold_answer()
            self._check_allowed(method, stream)
            try:
                response = self._answers[method](request)
            except EtcdStoreError as problem:
                status = STATUS_BY_STORE_ERROR.get(str(problem), Status.INVALID_ARGUMENT)
                raise GRPCError(status, str(problem)) from None
            await stream.send_message(response)

        return run

    def _check_allowed(self, method: str, stream: Any) -> None:
        """Raises GRPCError where a fault is on, or where a login is needed and missing or expired."""
        cluster = self.cluster
        if cluster.refuse or self.down:
            raise GRPCError(Status.UNAVAILABLE, "connection refused")
        if cluster.leaderless:
            raise GRPCError(Status.UNAVAILABLE, etcd.NO_LEADER)
        if not cluster.users or method == AUTHENTICATE:
            return
        token = stream.metadata.get("token", "") if stream.metadata else ""
        if not token:
            raise GRPCError(Status.INVALID_ARGUMENT, "etcdserver: user name is empty")
        if token not in cluster.tokens:
            raise GRPCError(Status.UNAUTHENTICATED, etcd.BAD_TOKEN)

    def _authenticate(self, request: Any) -> Any:
        if self.cluster.users.get(request.name) != request.password:
            raise EtcdStoreError(etcd.BAD_LOGIN)
        token = self.cluster.issue_token(request.name)
        return etcd.message("AuthenticateResponse", header=self.header(), token=token)

    def _range(self, request: Any) -> Any:
        revision = request.revision if request.revision else self.seen_revision
        pairs = self.cluster.store.range(request.key, request.range_end, revision)
        page = pairs[: request.limit] if request.limit else pairs
        is_whole = len(page) == len(pairs)
        key_values = [] if request.count_only else [key_value_message(*pair) for pair in page]
        if request.range_end and not request.count_only and is_whole:
            self.cluster.list_read(self.number, request.key, [key for key, _ in page])
        return etcd.message(
            "RangeResponse", header=self.header(), kvs=key_values, more=not is_whole, count=len(pairs)
        )

    def _put(self, request: Any) -> Any:
        store = self.cluster.store
        previous = store.at(request.key, store.revision)
        store.put(request.key, request.value, request.lease)
        response = etcd.message("PutResponse", header=self.header())
        if request.prev_kv and previous is not None:
            response.prev_kv.CopyFrom(key_value_message(request.key, previous))
        return response

    def _delete_range(self, request: Any) -> Any:
        deleted = self.cluster.store.range(request.key, request.range_end)
        self.cluster.store.delete(request.key, request.range_end)
        previous = [key_value_message(*pair) for pair in deleted] if request.prev_kv else []
        return etcd.message(
            "DeleteRangeResponse", header=self.header(), deleted=len(deleted), prev_kvs=previous
        )

    def _compact(self, request: Any) -> Any:
        self.cluster.store.compact(request.revision)
        return etcd.message("CompactionResponse", header=self.header())

    def _grant_lease(self, request: Any) -> Any:
        lease_id = self.cluster.store.grant_lease(request.TTL, request.ID)
        return etcd.message("LeaseGrantResponse", header=self.header(), ID=lease_id, TTL=request.TTL)

    def _revoke_lease(self, request: Any) -> Any:
        self.cluster.store.revoke_lease(request.ID)
        return etcd.message("LeaseRevokeResponse", header=self.header())

    def _transaction(self, request: Any) -> Any:
        store = self.cluster.store
        succeeded = all(comparison_holds(store, one) for one in request.compare)
        writes: list[KeyWrite] = []
        responses = self._operate(request.success if succeeded else request.failure, writes)
        store.commit(writes)
        return etcd.message("TxnResponse", header=self.header(), succeeded=succeeded, responses=responses)

    def _operate(self, operations: Sequence[Any], writes: list[KeyWrite]) -> list[Any]:
        """The responses to a transaction's operations; appends what they write to `writes`."""
        responses = []
        for operation in operations:
            kind = operation.WhichOneof("request")
            asked = getattr(operation, kind)
            if kind == "request_put":
                writes.append(KeyWrite(asked.key, asked.value, asked.lease))
                response = {"response_put": etcd.message("PutResponse", header=self.header())}
            elif kind == "request_delete_range":
                deleted = self.cluster.store.range(asked.key, asked.range_end)
                writes += [KeyWrite(key, None) for key, _ in deleted]
                done = etcd.message("DeleteRangeResponse", header=self.header(), deleted=len(deleted))
                response = {"response_delete_range": done}
            elif kind == "request_range":
                response = {"response_range": self._range(asked)}
            else:
                raise EtcdStoreError("etcdserver: nested transactions are not supported by this fake")
            responses.append(etcd.message("ResponseOp", **response))
        return responses

    async def _keep_alive(self, stream: Any) -> None:
        while (request := await stream.recv_message()) is not None:
            await self.cluster.hold_answer()
            time_to_live_s = self.cluster.store.renew_lease(request.ID)
            response = etcd.message(
                "LeaseKeepAliveResponse", header=self.header(), ID=request.ID, TTL=time_to_live_s
            )
            await stream.send_message(response)

    async def _watch(self, stream: Any) -> None:
        self._check_allowed(WATCH, stream)
        await WatchStream(self, stream).run()
