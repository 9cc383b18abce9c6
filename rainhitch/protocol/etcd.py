"""The messages of etcd's v3 gRPC API that a membership needs, as published (packages etcdserverpb, mvccpb).

Built at run time from this table with protobuf's own descriptors, so that nothing is generated. Field
numbers are those of rpc.proto and kv.proto; what is left out is skipped when read. Each class is an
ordinary protobuf message; `path` gives a method's, `/etcdserverpb.KV/Range` and the like.
"""

from typing import Any

from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

Field = descriptor_pb2.FieldDescriptorProto
KINDS = {
    "int64": Field.TYPE_INT64,
    "uint64": Field.TYPE_UINT64,
    "bool": Field.TYPE_BOOL,
    "bytes": Field.TYPE_BYTES,
    "string": Field.TYPE_STRING,
    "enum": Field.TYPE_INT32,  # same on the wire, and open to values that are not known here
}
# message: its fields as "kind name=number"; * repeated, ?group a member of the oneof of that name
TABLE: dict[str, str] = {
    "KeyValue": "bytes key=1, int64 create_revision=2, int64 mod_revision=3, int64 version=4, bytes value=5, "
    "int64 lease=6",
    "Event": "enum type=1, KeyValue kv=2, KeyValue prev_kv=3",
    "ResponseHeader": "uint64 cluster_id=1, uint64 member_id=2, int64 revision=3, uint64 raft_term=4",
    "RangeRequest": "bytes key=1, bytes range_end=2, int64 limit=3, int64 revision=4, enum sort_order=5, "
    "enum sort_target=6, bool serializable=7, bool keys_only=8, bool count_only=9",
    "RangeResponse": "ResponseHeader header=1, KeyValue* kvs=2, bool more=3, int64 count=4",
    "PutRequest": "bytes key=1, bytes value=2, int64 lease=3, bool prev_kv=4, bool ignore_value=5, "
    "bool ignore_lease=6",
    "PutResponse": "ResponseHeader header=1, KeyValue prev_kv=2",
    "DeleteRangeRequest": "bytes key=1, bytes range_end=2, bool prev_kv=3",
    "DeleteRangeResponse": "ResponseHeader header=1, int64 deleted=2, KeyValue* prev_kvs=3",
    "RequestOp": "RangeRequest?request request_range=1, PutRequest?request request_put=2, "
    "DeleteRangeRequest?request request_delete_range=3, TxnRequest?request request_txn=4",
    "ResponseOp": "RangeResponse?response response_range=1, PutResponse?response response_put=2, "
    "DeleteRangeResponse?response response_delete_range=3, TxnResponse?response response_txn=4",
    "Compare": "enum result=1, enum target=2, bytes key=3, int64?target_union version=4, "
    "int64?target_union create_revision=5, int64?target_union mod_revision=6, bytes?target_union value=7, "
    "int64?target_union lease=8, bytes range_end=64",
    "TxnRequest": "Compare* compare=1, RequestOp* success=2, RequestOp* failure=3",
    "TxnResponse": "ResponseHeader header=1, bool succeeded=2, ResponseOp* responses=3",
    "CompactionRequest": "int64 revision=1, bool physical=2",
    "CompactionResponse": "ResponseHeader header=1",
    "WatchRequest": "WatchCreateRequest?request_union create_request=1, "
    "WatchCancelRequest?request_union cancel_request=2, "
    "WatchProgressRequest?request_union progress_request=3",
    "WatchCreateRequest": "bytes key=1, bytes range_end=2, int64 start_revision=3, bool progress_notify=4, "
    "enum* filters=5, bool prev_kv=6, int64 watch_id=7, bool fragment=8",
    "WatchCancelRequest": "int64 watch_id=1",
    "WatchProgressRequest": "",
    "WatchResponse": "ResponseHeader header=1, int64 watch_id=2, bool created=3, bool canceled=4, "
    "int64 compact_revision=5, string cancel_reason=6, bool fragment=7, Event* events=11",
    "LeaseGrantRequest": "int64 TTL=1, int64 ID=2",
    "LeaseGrantResponse": "ResponseHeader header=1, int64 ID=2, int64 TTL=3, string error=4",
    "LeaseRevokeRequest": "int64 ID=1",
    "LeaseRevokeResponse": "ResponseHeader header=1",
    "LeaseKeepAliveRequest": "int64 ID=1",
    "LeaseKeepAliveResponse": "ResponseHeader header=1, int64 ID=2, int64 TTL=3",
    "AuthenticateRequest": "string name=1, string password=2",
    "AuthenticateResponse": "ResponseHeader header=1, string token=2",
}
# method: what is asked, what is answered, whether requests and answers stream
METHODS: dict[str, tuple[str, str, bool]] = {
    "KV/Range": ("RangeRequest", "RangeResponse", False),
    "KV/Put": ("PutRequest", "PutResponse", False),
    "KV/DeleteRange": ("DeleteRangeRequest", "DeleteRangeResponse", False),
    "KV/Txn": ("TxnRequest", "TxnResponse", False),
    "KV/Compact": ("CompactionRequest", "CompactionResponse", False),
    "Watch/Watch": ("WatchRequest", "WatchResponse", True),
    "Lease/LeaseGrant": ("LeaseGrantRequest", "LeaseGrantResponse", False),
    "Lease/LeaseRevoke": ("LeaseRevokeRequest", "LeaseRevokeResponse", False),
    "Lease/LeaseKeepAlive": ("LeaseKeepAliveRequest", "LeaseKeepAliveResponse", True),
    "Auth/Authenticate": ("AuthenticateRequest", "AuthenticateResponse", False),
}
PUT, DELETE = 0, 1  # kinds of Event
EQUAL, GREATER, LESS, NOT_EQUAL = range(4)  # results of Compare
VERSION, CREATE, MOD, VALUE, LEASE = range(5)  # targets of Compare
COMPACTED = "etcdserver: mvcc: required revision has been compacted"
FUTURE = "etcdserver: mvcc: required revision is a future revision"
NO_LEADER = "etcdserver: no leader"
BAD_TOKEN = "etcdserver: invalid auth token"
BAD_LOGIN = "etcdserver: authentication failed, invalid user ID or password"
NO_LEASE = "etcdserver: requested lease not found"
NO_PERMISSION = "etcdserver: permission denied"


def _build() -> dict[str, Any]:
    """The message classes by name."""
    file = descriptor_pb2.FileDescriptorProto(
        name="rainhitch/etcd.proto", package="rainhitch.etcd", syntax="proto3"
    )
    for name, fields in TABLE.items():
        message, groups = file.message_type.add(name=name), list[str]()
        for told in filter(None, (one.strip() for one in fields.split(","))):
            kind, _, rest = told.partition(" ")
            field_name, _, number = rest.partition("=")
            kind, _, group = kind.partition("?")
            field = message.field.add(name=field_name, number=int(number), label=Field.LABEL_OPTIONAL)
            if kind.endswith("*"):
                kind, field.label = kind[:-1], Field.LABEL_REPEATED
            if kind in KINDS:
                field.type = KINDS[kind]
            else:
                field.type, field.type_name = Field.TYPE_MESSAGE, f".rainhitch.etcd.{kind}"
            if group:
                if group not in groups:
                    groups.append(group)
                    message.oneof_decl.add(name=group)
                field.oneof_index = groups.index(group)
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    found = (pool.FindMessageTypeByName(f"rainhitch.etcd.{name}") for name in TABLE)
    return {one.name: message_factory.GetMessageClass(one) for one in found}


MESSAGES = _build()


def message(kind: str, **fields: Any) -> Any:
    """A message of this kind."""
    return MESSAGES[kind](**fields)


def path(method: str) -> str:
    """What stands in the request's path for a method."""
    return f"/etcdserverpb.{method}"


def prefix_end(prefix: bytes) -> bytes:
    """The end of the range that holds all keys with this prefix."""
    bare = prefix.rstrip(b"\xff")
    return bare[:-1] + bytes([bare[-1] + 1]) if bare else b"\0"
