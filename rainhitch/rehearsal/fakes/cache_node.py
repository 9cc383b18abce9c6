"""A fake cache node on sockets: RESP2 (RESP3 where upgraded) towards routers, with faults on command.

node = CacheNode("neihu-0", CacheNodeSpec(cores=7), routers=1, work_of=lambda request_id: 80_000.0)
node.endpoints[0]           # where router 0 connects to
node.store("KEY"); node.kill(); node.start(); node.drain(); node.links[0].set_silent(True)
node.attempts               # the record: one ReceivedAttempt for each request whose last byte came
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from rainhitch import system
from rainhitch.rehearsal.fakes import cache_node_protocol as protocol
from rainhitch.rehearsal.fakes.cache_node_connection import (
    Admission,
    CacheNodeConnection,
    PendingAnswer,
    ReceivedAttempt,
    ReceivedCommand,
)
from rainhitch.rehearsal.fakes.cache_node_work import BeginResult, CacheNodeSpec, CacheNodeWork
from rainhitch.rehearsal.fakes.link import Link


class CacheNodeState(Enum):
    """Whether a node's process runs, and whether it takes new requests."""

    RUNNING = "running"
    DRAINING = "draining"
    DOWN = "down"


@dataclass(slots=True)
class CacheNodeStatistics:
    """What a node counted over a run; times are monotonic ns."""

    collapsed_at_ns: list[int] = field(default_factory=list)
    started_at_ns: list[int] = field(default_factory=list)
    connections: int = 0
    rejected_connections: int = 0
    probes: int = 0
    syntax_errors: int = 0
    open_connections: list[tuple[int, int]] = field(default_factory=list)  # when, how many

    def to_row(self, uid: str, overhead_us: float) -> dict[str, Any]:
        """The node's row in the record; `overhead_us` is the work that served nobody."""
        return {
            "uid": uid,
            "falls": self.collapsed_at_ns,
            "starts": self.started_at_ns,
            "connections": self.connections,
            "turned_away": self.rejected_connections,
            "probes": self.probes,
            "syntax": self.syntax_errors,
            "burdens": overhead_us,
            "tables": self.open_connections,
        }


class CacheNode:
    """A cache node's connections, commands and life cycle; its work is done by `CacheNodeWork`.

    Attributes:
        attempts: the record of the requests.
        on_collapse: called where the node went down because it was sent too much while cold.
        speaks_resp3: it accepts a greeting in RESP3.
        connections: those within the limit, in the order in which they came.
    """

    def __init__(
        self,
        uid: str,
        spec: CacheNodeSpec,
        routers: int,
        work_of: Callable[[str], float],
        *,
        on_miss: Callable[[str, "CacheNode"], None] = lambda request_id, node: None,
        on_collapse: Callable[["CacheNode"], None] = lambda node: None,
    ) -> None:
        """Listens at once, for each router at an address of its own.

        Args:
            uid: the node's name.
            spec: what the node is like.
            routers: how many routers there are.
            work_of: the microseconds of work that a request id means.
            on_miss: called with a request's id, and this node, where a read found nothing.
            on_collapse: see the class.
        """
        self.uid = uid
        self.spec = spec
        self.on_collapse = on_collapse
        self.work = CacheNodeWork(uid, spec, work_of, lambda request_id: on_miss(request_id, self))
        self.links = [Link(n, lambda link: CacheNodeConnection(link, self)) for n in range(routers)]
        self.state = CacheNodeState.RUNNING
        self.speaks_resp3 = False
        self.connections: dict[CacheNodeConnection, None] = {}
        self.attempts: list[ReceivedAttempt] = []
        self.statistics = CacheNodeStatistics()

    @property
    def endpoints(self) -> list[str]:
        """The addresses for the routers, as HOST:PORT."""
        return [link.endpoint for link in self.links]

    @property
    def up(self) -> bool:
        """Whether the node's process runs."""
        return self.state is not CacheNodeState.DOWN

    @property
    def keepalive_s(self) -> float:
        """After how many idle seconds the node closes a connection."""
        return self.spec.keepalive_s

    def statistics_row(self) -> dict[str, Any]:
        """The node's row in the record."""
        return self.statistics.to_row(self.uid, self.work.overhead_us)

    def next_connection_number(self) -> int:
        """Counts a connection; gives its number."""
        self.statistics.connections += 1
        return self.statistics.connections

    def admit(self, connection: CacheNodeConnection) -> Admission:
        """Takes a new connection, or says that it is over the node's limit."""
        if len(self.connections) >= self.spec.connection_limit:
            self.statistics.rejected_connections += 1
            return Admission.OVER_LIMIT
        self.connections[connection] = None
        self._note_connections()
        self.work.add_overhead(self.spec.connection_work_us)
        return Admission.ADMITTED

    def disconnected(self, connection: CacheNodeConnection) -> None:
        """A connection is gone: its requests in the queue are withdrawn, those in work go on."""
        self.connections.pop(connection, None)
        self._note_connections()
        for pending in connection.pending:
            if pending.attempt is not None:
                pending.attempt.closed = connection.closed_at_ns
                self.work.withdraw(pending.attempt)

    def _note_connections(self) -> None:
        self.statistics.open_connections.append((system.now(), len(self.connections)))

    def note_syntax_error(self) -> None:
        """Counts what is no command of the protocol."""
        self.statistics.syntax_errors += 1

    def command(
        self, connection: CacheNodeConnection, pending: PendingAnswer, command: ReceivedCommand
    ) -> None:
        """Takes a whole command."""
        words = command.words
        name = words[0].upper() if words else b""
        if len(words) == protocol.REQUEST_WORDS.get(name):
            self._take_request(connection, pending, name.decode(), command)
        elif name == protocol.GREETING:
            pending.answer = self._greet(connection, words[1:])
        else:
            pending.answer = self._answer_other(name)

    def _take_request(
        self, connection: CacheNodeConnection, pending: PendingAnswer, name: str, command: ReceivedCommand
    ) -> None:
        key, request_id, info = (word.decode("latin-1") for word in command.words[1:4])
        attempt = ReceivedAttempt(
            node=self.uid,
            router=connection.link.router,
            connection=connection.number,
            id=request_id,
            key=key,
            name=name,
            info=info,
            first=command.first_byte_ns,
            last=command.last_byte_ns,
            received_on=connection,
        )
        pending.attempt = attempt
        self.attempts.append(attempt)
        accepts = not connection.over_limit and self.state is not CacheNodeState.DRAINING
        if self.work.begin(connection, pending, attempt, accepts) is BeginResult.COLLAPSE:
            self._collapse()

    def _greet(self, connection: CacheNodeConnection, arguments: list[bytes]) -> bytes:
        if not self.speaks_resp3 or arguments[:1] != [b"3"]:
            return protocol.UNKNOWN_COMMAND
        connection.resp_version = 3
        return protocol.RESP3_GREETING

    def _answer_other(self, name: bytes) -> bytes:
        """The answer to a command that is neither a request nor a greeting."""
        if name == b"PING":
            self.statistics.probes += 1
            self.work.add_overhead(self.spec.probe_work_us)
            return protocol.PONG
        if name in (b"CLIENT", b"SELECT"):
            return protocol.OK
        if name in protocol.REQUEST_WORDS or not name:
            self.note_syntax_error()
            return protocol.SYNTAX_ERROR
        return protocol.NO_PERMISSION if name == b"INFO" else protocol.UNKNOWN_COMMAND

    def store(self, key: str) -> None:
        """Holds a key from now on, where the node is up."""
        if self.up:
            self.work.memory.store(key)

    def invalidate(self, key: str) -> None:
        """Drops a key; connections that speak RESP3 get a message of it."""
        if self.work.memory.invalidate(key) and self.up:
            message = protocol.invalidation(key)
            for connection in self.connections:
                if connection.resp_version == 3:
                    connection.send(message)

    def upgrade(self) -> None:
        """Its program is replaced: from its next start on it speaks RESP3."""
        self.speaks_resp3 = True

    def drain(self) -> None:
        """Finishes what it has and rejects new requests."""
        if self.up:
            self.state = CacheNodeState.DRAINING

    def kill(self) -> None:
        """Its process dies: connections are reset, new ones refused, work and memory are lost."""
        self.state = CacheNodeState.DOWN
        self.work.stop()
        for link in self.links:
            link.set_up(False)

    def start(self) -> None:
        """Its process starts: empty, and cold."""
        self.state = CacheNodeState.RUNNING
        self.work.start()
        self.statistics.started_at_ns.append(system.now())
        for link in self.links:
            link.set_up(True)

    def _collapse(self) -> None:
        """It was sent too much while cold, and stays down."""
        self.statistics.collapsed_at_ns.append(system.now())
        self.kill()
        self.on_collapse(self)

    def close(self) -> None:
        """Ends the node and gives its addresses back."""
        self.work.close()
        for link in self.links:
            link.close()
