"""The messages between the environment and the workers, and among workers: the one place where they are JSON.

A message is one line of JSON on a pipe (environment) or on a Unix socket (workers). Both the workers and
`rainhitch/rehearsal/environment.py` build and read it with this module.
"""

from dataclasses import dataclass
from typing import Any

import orjson

from rainhitch.errors import RainhitchError

Json = dict[str, Any]


# The keys of the messages to the environment, which waits for them by these.
READY = "ready"
SOURCES = "lists"
CLIENTS_DONE = "over"
ENDED = "ended"


class WorkerMessageError(RainhitchError):
    """A message that is none of those in this module."""


def to_line(row: Json) -> bytes:
    """A message as it is sent."""
    return orjson.dumps(row) + b"\n"


def from_line(line: bytes) -> Json:
    """A message that has come; any maps of JSON may be in it."""
    row: Json = orjson.loads(line)
    return row


# from the environment


@dataclass(frozen=True, slots=True)
class StartRun:
    """The run begins; `zero_ns` is the monotonic time of the plan's time 0."""

    zero_ns: int

    def to_row(self) -> Json:
        """The message as JSON takes it."""
        return {"zero": self.zero_ns}


@dataclass(frozen=True, slots=True)
class EndRun:
    """The run is over: the worker writes its record to a file of this name in its folder, and ends."""

    record_file: str

    def to_row(self) -> Json:
        """The message as JSON takes it."""
        return {"end": self.record_file}


@dataclass(frozen=True, slots=True)
class NodesListening:
    """To the shared services: the nodes' addresses by uid, for each router one, and the bus's path."""

    endpoints: dict[str, list[str]]
    bus_path: str

    def to_row(self) -> Json:
        """The message as JSON takes it."""
        return {"nodes": self.endpoints, "bus": self.bus_path}


@dataclass(frozen=True, slots=True)
class JoinBus:
    """To the cache nodes: the path of the bus's Unix socket, which is listened on."""

    bus_path: str

    def to_row(self) -> Json:
        """The message as JSON takes it."""
        return {"bus": self.bus_path}


@dataclass(frozen=True, slots=True)
class RoutersListening:
    """To the shared services: where each router listens for datagrams."""

    addresses: dict[int, tuple[str, int]]

    def to_row(self) -> Json:
        """The message as JSON takes it; numbers of routers and ports are text there."""
        return {"listens": {str(n): [host, str(port)] for n, (host, port) in self.addresses.items()}}


@dataclass(frozen=True, slots=True)
class RouterSeen:
    """To the clients: what the load balancer in front of the routers now takes a router to be."""

    router: int
    up: bool

    def to_row(self) -> Json:
        """The message as JSON takes it."""
        return {"router": self.router, "up": self.up}


EnvironmentMessage = StartRun | EndRun | NodesListening | JoinBus | RoutersListening | RouterSeen


def environment_message(row: Json) -> EnvironmentMessage:
    """A message of the environment.

    Raises:
        WorkerMessageError: it is none that the environment sends.
    """
    match row:
        case {"zero": zero_ns}:
            return StartRun(zero_ns)
        case {"end": record_file}:
            return EndRun(record_file)
        case {"nodes": endpoints, "bus": bus_path}:
            return NodesListening(endpoints, bus_path)
        case {"bus": bus_path}:
            return JoinBus(bus_path)
        case {"listens": addresses}:
            return RoutersListening({int(n): (host, int(port)) for n, (host, port) in addresses.items()})
        case {"router": router, "up": up}:
            return RouterSeen(router, up)
    raise WorkerMessageError(f"expected a message of the environment, got one with the keys {list(row)}")


# to the environment


def ready_row(details: Json) -> Json:
    """The worker is ready; a cache node worker gives its nodes' addresses."""
    return {READY: details}


def node_addresses(endpoints: dict[str, list[str]]) -> Json:
    """The details of a cache node worker that is ready: its nodes' addresses by uid, for each router one."""
    return {"nodes": endpoints}


def endpoints_of_ready(details: Json) -> dict[str, list[str]]:
    """The nodes' addresses of the details that `node_addresses` makes."""
    endpoints: dict[str, list[str]] = details["nodes"]
    return endpoints


@dataclass(frozen=True, slots=True)
class RouterSources:
    """What one router is configured with: its sources of the endpoint list and its peers' addresses."""

    discovery: str  # HOST:PORT
    known: Json  # the list that its configuration has, in the API's form
    etcd: str | None  # HOST:PORT; None where the list is not in etcd
    peers: list[str]  # HOST:PORT of each router as this one has it; the last is for all of them

    def to_agent_row(self) -> Json:
        """The sources of the list."""
        row: Json = {"agent": self.discovery, "known": self.known}
        if self.etcd is not None:
            row["etcd"] = self.etcd
        return row


def sources_row(sources: list[RouterSources]) -> Json:
    """The shared services serve: the sources of all routers, in their order."""
    agents = [source.to_agent_row() for source in sources]
    return {SOURCES: {"agents": agents, "peers": [source.peers for source in sources]}}


def clients_done_row() -> Json:
    """All of a client worker's requests have come to an end."""
    return {CLIENTS_DONE: True}


def ended_row() -> Json:
    """The worker's record is written."""
    return {ENDED: True}


# among workers, over the bus


@dataclass(frozen=True, slots=True)
class NodeCollapsed:
    """A cache node went down under load; to the shared services, whose discovery will notice."""

    uid: str

    def to_row(self) -> Json:
        """The message as JSON takes it."""
        return {"fell": self.uid}


@dataclass(frozen=True, slots=True)
class KeyStored:
    """The database has answered a read: the nodes that missed the key for it hold the key from now on."""

    key: str
    request_id: str

    def to_row(self) -> Json:
        """The message as JSON takes it."""
        return {"store": self.key, "id": self.request_id}


@dataclass(frozen=True, slots=True)
class KeyInvalidated:
    """The database has carried out a write: no node holds the key any more."""

    key: str

    def to_row(self) -> Json:
        """The message as JSON takes it."""
        return {"void": self.key, "id": ""}


def bus_message(row: Json) -> NodeCollapsed | KeyStored | KeyInvalidated:
    """A message of another worker.

    Raises:
        WorkerMessageError: it is none that a worker sends.
    """
    match row:
        case {"fell": uid}:
            return NodeCollapsed(uid)
        case {"store": key, "id": request_id}:
            return KeyStored(key, request_id)
        case {"void": key}:
            return KeyInvalidated(key)
    raise WorkerMessageError(f"expected a message of a worker, got one with the keys {list(row)}")
