"""A cache node on sockets: RESP2 towards routers, with a `Machine`, a `Memory`, and faults on cue.

node = Node("neihu-0", Spec(cores=7), routers=1, work_of=lambda id: 80_000.0)
node.endpoints[0]           # where router 0 dials it
node.store("KEY"); node.kill(); node.start(); node.drain(); node.links[0].set_silent(True)
node.rows                   # the ledger: one Attempt for each command whose last byte came
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

import hiredis

from rainhitch import system
from rainhitch.rehearsal.fakes.cache_node_model import Budget, CacheNodeModel, Memory
from rainhitch.rehearsal.fakes.link import LedgerRow, Link, LinkConnection

BUSY = b"-BUSY\r\n"
FAILED = b"-ERR failed\r\n"
MISS = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
HIT = b"$3\r\nhit\r\n$-1\r\n"  # what ends a plain answer that serves
MISS_WORK = 0.1  # part of a request's work that finding nothing takes
NOISE = 0.15  # how far the same request's work differs from node to node
SPOILT = (
    b"*2\r\n$1\r\nx\r\n$3\r\nhit\r\n",
    b":1\r\n",
    b"*3\r\n$9999999\r\n",
    b"HTTP/1.1 200 OK\r\n\r\n",
    b"$-1\r\n",
)


GREETING = b"%3\r\n$6\r\nserver\r\n$10\r\ncache-node\r\n$5\r\nproto\r\n:3\r\n$4\r\nrole\r\n+master\r\n"


def rich(answer: bytes) -> bytes:
    """A plain answer as RESP3 gives it: what goes with the value is in a map."""
    if answer == MISS:
        return b"*2\r\n_\r\n%2\r\n+note\r\n+miss\r\n+load\r\n_\r\n"
    if answer.startswith(b"*3\r\n$") and answer.endswith(HIT):
        return b"*2" + answer[2 : -len(HIT)] + b"%2\r\n+note\r\n+hit\r\n+load\r\n_\r\n"
    return answer


@dataclass(slots=True)
class CacheNodeSpec:
    """What a node is like; times are microseconds of work, or seconds where the name says so."""

    cores: int = 7
    speed: float = 1.0
    slots: int = 112
    queue: int = 18
    table: int = 91
    memory: int = 300
    connection_us: float = 0.0
    probe_us: float = 0.0
    keepalive_s: float = 60.0
    cold_from: float = 0.3
    warm_s: float = 8.7
    tip_multiple: float = 3.0
    tip_s: float = 1.0
    error_rate: float = 0.0
    value_bytes: int = 64


@dataclass(slots=True, eq=False)
class ReceivedAttempt(LedgerRow):
    """One command as the node saw it; times are monotonic ns, of when the router sent it."""

    node: str
    router: int
    connection: int
    id: str
    key: str
    name: str
    info: str
    first: int  # its first byte
    last: int  # its last byte
    work: float = 0.0
    outcome: str = ""  # served, miss, busy, error, spoilt; "" while none was given
    ended: int = 0  # when that was written
    closed: int = 0  # when the router closed its connection
    cold: bool = False  # the node was warming up
    wire: "CacheNodeConnection | None" = None


def _length(command: Any) -> int:
    """How many bytes a command took on the wire."""
    if not isinstance(command, list):
        return 0
    words = [one for one in command if isinstance(one, bytes)]
    return len(b"*%d\r\n" % len(command)) + sum(len(b"$%d\r\n" % len(one)) + len(one) + 2 for one in words)


@dataclass(slots=True, eq=False)
class Turn:
    """The place of an answer on its connection."""

    attempt: ReceivedAttempt | None
    answer: bytes | None = None


class CacheNodeConnection(LinkConnection):
    """A router's connection to a node. Commands are begun at once and answered in their order."""

    def __init__(self, link: Link, node: "CacheNode") -> None:
        super().__init__(link)
        self.node = node
        self.number = node.next_connection()
        self.reader = hiredis.Reader()
        self.turns: deque[Turn] = deque()
        self.first = 0  # when the first byte of a command that is not whole was sent
        self.partial = 0  # bytes of it
        self.full = False
        self.idle: asyncio.TimerHandle | None = None
        self.version = 2

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.full = self.node.connected(self)
        self._rest()

    def _rest(self) -> None:
        if self.idle is not None:
            self.idle.cancel()
        self.idle = self.link.loop.call_later(self.node.spec.keepalive_s, self._idled)

    def _idled(self) -> None:
        if not self.turns and not self.link.silent:
            self.close()

    def arrived(self, data: bytes, at: int) -> None:
        self.first = self.first or at
        self._rest()
        self.reader.feed(data)
        self.partial += len(data)
        try:
            while self.node.up and (command := self.reader.gets()) is not False:
                self.partial -= _length(command)
                turn = Turn(None)
                self.turns.append(turn)
                self.node.command(self, turn, command, self.first, at)
                self.first = at
            if not self.partial:
                self.first = 0
        except hiredis.ProtocolError:
            self.node.syntax += 1
            self.send(b"-SYNTAX\r\n")
            self.close()
        self.flush()

    def flush(self) -> None:
        while self.turns and self.turns[0].answer is not None:
            turn = self.turns.popleft()
            self.send(turn.answer or b"")
            if turn.attempt is not None:
                turn.attempt.ended = system.now()
        if self.full and not self.turns:
            self.close()

    def ended(self) -> None:
        if self.idle is not None:
            self.idle.cancel()
        self.node.left(self)


@dataclass(eq=False)
class CacheNode:
    """A cache node. All that decides is in its machine, memory and budget."""

    uid: str
    spec: CacheNodeSpec
    routers: int
    work_of: Callable[[str], float]  # microseconds of work that a request id means
    missed: Callable[[str, "CacheNode"], None] = lambda id, node: None
    fell: Callable[["CacheNode"], None] = lambda node: None
    rows: list[ReceivedAttempt] = field(default_factory=list)
    links: list[Link] = field(init=False)

    def __post_init__(self) -> None:
        spec = self.spec
        self.machine = CacheNodeModel(spec.cores, spec.speed, spec.slots, spec.queue)
        self.budget = Budget(spec.tip_multiple, int(spec.tip_s * 1e9))
        self.memory = Memory(spec.memory)
        self.links = [Link(n, lambda link: CacheNodeConnection(link, self)) for n in range(self.routers)]
        self.at_work: dict[str, tuple[CacheNodeConnection, Turn]] = {}
        self.open: dict[CacheNodeConnection, None] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.up, self.draining, self.spoils = True, False, 0.0
        self.resp3 = False  # where it is greeted so
        self.connections = self.probes = self.syntax = self.turned_away = 0
        self.falls: list[int] = []
        self.starts: list[int] = []
        self.tables: list[tuple[int, int]] = []  # when, how many connections
        self.burdens = 0.0  # microseconds of work that served nobody

    @property
    def endpoints(self) -> list[str]:
        return [link.endpoint for link in self.links]

    def next_connection(self) -> int:
        self.connections += 1
        return self.connections

    def connected(self, wire: CacheNodeConnection) -> bool:
        """Takes a connection; whether the table was full before."""
        full = len(self.open) >= self.spec.table
        if full:
            self.turned_away += 1
            return True
        self.open[wire] = None
        self._note_table()
        self.machine.burden(system.now(), self.spec.connection_us)
        self.burdens += self.spec.connection_us
        self._arm()
        return False

    def left(self, wire: CacheNodeConnection) -> None:
        self.open.pop(wire, None)
        self._note_table()
        for turn in wire.turns:
            if turn.attempt is not None:
                turn.attempt.closed = wire.closed_at
                if self.machine.withdraw(self._name(turn.attempt)):
                    self.at_work.pop(self._name(turn.attempt), None)

    def _note_table(self) -> None:
        self.tables.append((system.now(), len(self.open)))

    @staticmethod
    def _name(attempt: ReceivedAttempt) -> str:
        return f"{attempt.id}/{attempt.router}/{attempt.connection}/{attempt.last}"

    def command(self, wire: CacheNodeConnection, turn: Turn, parts: Any, first: int, last: int) -> None:
        """One command whose last byte has come."""
        words = parts if isinstance(parts, list) and all(isinstance(one, bytes) for one in parts) else []
        name = words[0].upper() if words else b""
        sizes = {b"C.GET": 4, b"C.SET": 5}
        if len(words) != sizes.get(name, -1):
            turn.answer = self._greeting(wire, words[1:]) if name == b"HELLO" else self._other(name)
            return
        told = [one.decode("latin-1") for one in words[1:4]]
        attempt = ReceivedAttempt(
            self.uid, wire.link.router, wire.number, told[1], told[0], name.decode(), told[2], first, last
        )
        attempt.wire, turn.attempt = wire, attempt
        self.rows.append(attempt)
        now = system.now()
        attempt.cold = self.machine.factor(now) < 1
        noise = crc32(f"{attempt.id}{self.uid}".encode()) / 2**32
        work = self.work_of(attempt.id) * (1 + NOISE * (2 * noise - 1))
        hit = name == b"C.GET" and self.memory.hit(attempt.key)
        attempt.work = work if hit else work * MISS_WORK
        if self.budget.over(now, attempt.work, self.machine.capacity(now)) and attempt.cold:
            self.fall()
            return
        if wire.full or self.draining or not self.machine.offer(now, self._name(attempt), attempt.work):
            attempt.outcome, turn.answer = "busy", BUSY
            return
        attempt.outcome = "hit" if hit else "miss"  # what it will be; told in the row once it is written
        self.at_work[self._name(attempt)] = (wire, turn)
        self._arm()

    def _greeting(self, wire: CacheNodeConnection, told: list[bytes]) -> bytes:
        if not self.resp3 or told[:1] != [b"3"]:
            return b"-ERR unknown command\r\n"
        wire.version = 3
        return GREETING

    def _other(self, name: bytes) -> bytes:
        if name == b"PING":
            self.probes += 1
            self.machine.burden(system.now(), self.spec.probe_us)
            self.burdens += self.spec.probe_us
            self._arm()
            return b"+PONG\r\n"
        if name in (b"CLIENT", b"SELECT"):
            return b"+OK\r\n"
        if name in (b"C.GET", b"C.SET", b""):
            self.syntax += 1
            return b"-SYNTAX\r\n"
        return b"-NOPERM\r\n" if name == b"INFO" else b"-ERR unknown command\r\n"

    def _arm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        due = self.machine.due(system.now())
        if due is not None and self.up:
            self.timer = asyncio.get_running_loop().call_later(due / 1e9, self._finish)

    def _finish(self) -> None:
        for name in self.machine.finish(system.now()):
            wire, turn = self.at_work.pop(name, (None, None))
            if wire is not None and turn is not None and turn.attempt is not None:
                answer = self._answer(turn.attempt)
                turn.answer = rich(answer) if wire.version == 3 else answer
                wire.flush()
        self._arm()

    def _answer(self, attempt: ReceivedAttempt) -> bytes:
        chance = crc32(f"answer{attempt.id}{self.uid}".encode()) / 2**32
        if chance < self.spoils:
            attempt.outcome = "spoilt"
            return SPOILT[crc32(attempt.id.encode()) % len(SPOILT)]
        if attempt.outcome == "miss":
            self.missed(attempt.id, self)
            return MISS
        if 1 - chance < self.spec.error_rate:
            attempt.outcome = "error"
            return FAILED
        attempt.outcome = "served"
        value = f"{attempt.id}:{attempt.key}:{self.uid}:".encode().ljust(self.spec.value_bytes, b".")
        return b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value)

    def store(self, key: str) -> None:
        if self.up:
            self.memory.store(key)

    def void(self, key: str) -> None:
        """Drops a copy, and tells who speaks RESP3 so."""
        if self.memory.void(key) and self.up:
            text = key.encode("latin-1")
            told = b">2\r\n$10\r\ninvalidate\r\n*1\r\n$%d\r\n%b\r\n" % (len(text), text)
            for wire in self.open:
                if wire.version == 3:
                    wire.send(told)

    def upgrade(self) -> None:
        """Its program is replaced: from its next start on it speaks RESP3."""
        self.resp3 = True

    def drain(self) -> None:
        """Finishes what it has and turns away what is new."""
        self.draining = True

    def retire(self) -> None:
        """Is to go: the list says so, and nothing else changes yet."""

    def kill(self) -> None:
        """Its process dies: connections are reset, new ones refused, work and memory are lost."""
        now = system.now()
        for _, turn in self.at_work.values():
            if turn.attempt is not None:
                turn.attempt.outcome, turn.attempt.ended = "reset", now
        self.up, self.at_work = False, {}
        self.machine.start_cold(now, self.spec.cold_from, int(self.spec.warm_s * 1e9))
        for link in self.links:
            link.set_up(False)

    def start(self) -> None:
        """Starts anew: empty, and cold."""
        now = system.now()
        self.up, self.draining = True, False
        self.memory = Memory(self.spec.memory)
        self.budget = Budget(self.spec.tip_multiple, int(self.spec.tip_s * 1e9))
        self.machine.start_cold(now, self.spec.cold_from, int(self.spec.warm_s * 1e9))
        self.starts.append(now)
        for link in self.links:
            link.set_up(True)

    def fall(self) -> None:
        """Pushed over while cold: it stays down."""
        self.falls.append(system.now())
        self.kill()
        self.fell(self)

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        for link in self.links:
            link.close()
