"""The messages of etcd's v3 gRPC API that membership needs, as published (packages etcdserverpb, mvccpb).

They are built at run time from a table of fields, with protobuf's own descriptors, so that nothing is
generated. Field numbers are those of rpc.proto and kv.proto; fields that are left out are skipped when read.
Each class is an ordinary protobuf message.

The rehearsal kit's fake of etcd shares this module with the router, as both would share the published .proto
files: it holds names and numbers, no behaviour. A wrong number would not be noticed between the two;
`tests/membership/test_fake_etcd.py` therefore reads the fake with an independent client.
"""

from typing import Any, NamedTuple

from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

Field = descriptor_pb2.FieldDescriptorProto
FIELD_TYPES = {
    "int64": Field.TYPE_INT64,
    "uint64": Field.TYPE_UINT64,
    "bool": Field.TYPE_BOOL,
    "bytes": Field.TYPE_BYTES,
    "string": Field.TYPE_STRING,
    "enum": Field.TYPE_INT32,  # same on the wire, and open to values that are not known here
}
FIELDS: dict[str, str] = {
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
"""Fields of each message, as "type name=number". type* is repeated, type?group a member of that oneof."""


class Method(NamedTuple):
    """A method of the API: the names of its messages, and whether both directions are streams."""

    request: str
    response: str
    is_streaming: bool


METHODS: dict[str, Method] = {
    "KV/Range": Method("RangeRequest", "RangeResponse", False),
    "KV/Put": Method("PutRequest", "PutResponse", False),
    "KV/DeleteRange": Method("DeleteRangeRequest", "DeleteRangeResponse", False),
    "KV/Txn": Method("TxnRequest", "TxnResponse", False),
    "KV/Compact": Method("CompactionRequest", "CompactionResponse", False),
    "Watch/Watch": Method("WatchRequest", "WatchResponse", True),
    "Lease/LeaseGrant": Method("LeaseGrantRequest", "LeaseGrantResponse", False),
    "Lease/LeaseRevoke": Method("LeaseRevokeRequest", "LeaseRevokeResponse", False),
    "Lease/LeaseKeepAlive": Method("LeaseKeepAliveRequest", "LeaseKeepAliveResponse", True),
    "Auth/Authenticate": Method("AuthenticateRequest", "AuthenticateResponse", False),
}
# Types of Event.
PUT = 0
DELETE = 1

# Results of Compare.
EQUAL = 0
GREATER = 1
LESS = 2
NOT_EQUAL = 3

# Targets of Compare.
VERSION = 0
CREATE = 1
MOD = 2
VALUE = 3
LEASE = 4

# Texts of etcd's errors.
COMPACTED = "etcdserver: mvcc: required revision has been compacted"
FUTURE = "etcdserver: mvcc: required revision is a future revision"
NO_LEADER = "etcdserver: no leader"
BAD_TOKEN = "etcdserver: invalid auth token"
BAD_LOGIN = "etcdserver: authentication failed, invalid user ID or password"
NO_LEASE = "etcdserver: requested lease not found"
NO_PERMISSION = "etcdserver: permission denied"


def _build_messages() -> dict[str, Any]:
    """Returns the message classes by name."""
    file = descriptor_pb2.FileDescriptorProto(
        name="rainhitch/etcd.proto", package="rainhitch.etcd", syntax="proto3"
    )
    for name, fields in FIELDS.items():
        descriptor = file.message_type.add(name=name)
        for field_text in fields.split(","):
            if field_text.strip():
                _add_field(descriptor, field_text.strip())
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    descriptors = (pool.FindMessageTypeByName(f"rainhitch.etcd.{name}") for name in FIELDS)
    return {found.name: message_factory.GetMessageClass(found) for found in descriptors}


def _add_field(descriptor: descriptor_pb2.DescriptorProto, field_text: str) -> None:
    """Adds a field of FIELDS to its message."""
    type_text, _, rest = field_text.partition(" ")
    field_name, _, number = rest.partition("=")
    type_name, _, oneof = type_text.partition("?")
    field = descriptor.field.add(name=field_name, number=int(number), label=Field.LABEL_OPTIONAL)
    if type_name.endswith("*"):
        type_name = type_name[:-1]
        field.label = Field.LABEL_REPEATED
    if type_name in FIELD_TYPES:
        field.type = FIELD_TYPES[type_name]
    else:
        field.type = Field.TYPE_MESSAGE
        field.type_name = f".rainhitch.etcd.{type_name}"
    if not oneof:
        return
    known = [declared.name for declared in descriptor.oneof_decl]
    if oneof not in known:
        known.append(oneof)
        descriptor.oneof_decl.add(name=oneof)
    field.oneof_index = known.index(oneof)


MESSAGES = _build_messages()


def message(name: str, /, **fields: Any) -> Any:
    """Returns a new message of this name with these fields."""
    return MESSAGES[name](**fields)


def path(method: str) -> str:
    """Returns the path of a request for a method of METHODS."""
    return f"/etcdserverpb.{method}"


def prefix_end(prefix: bytes) -> bytes:
    """Returns the end of the range that holds all keys with this prefix."""
    last_kept = prefix.rstrip(b"\xff")
    if not last_kept:
        return b"\0"  # etcd's form of "to the end of all keys"
    return last_kept[:-1] + bytes([last_kept[-1] + 1])
