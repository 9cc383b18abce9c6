"""The work of a fake cache node: requests through its model and memory, answers when the work is done."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from zlib import crc32

from rainhitch import system
from rainhitch.rehearsal.fakes import cache_node_protocol as protocol
from rainhitch.rehearsal.fakes.cache_node_connection import (
    AttemptOutcome,
    CacheNodeConnection,
    PendingAnswer,
    ReceivedAttempt,
)
from rainhitch.rehearsal.fakes.cache_node_model import CacheNodeModel, ColdLoadLimit, KeyMemory

MISS_WORK_FRACTION = 0.1  # of a request's work, which finding nothing takes
WORK_NOISE_FRACTION = 0.15  # how far the same request's work differs from node to node
CHECKSUM_VALUES = 2**32
NANOSECONDS_PER_SECOND = 1e9


@dataclass(slots=True)
class CacheNodeSpec:
    """What a node is like. Speed 1 is a core that does a microsecond of work a microsecond."""

    cores: int = 7
    speed_factor: float = 1.0
    slots: int = 112  # requests in work at once
    queue_length: int = 18
    connection_limit: int = 91
    memory_keys: int = 300
    connection_work_us: float = 0.0  # what a new connection costs
    probe_work_us: float = 0.0  # what a health check costs
    keepalive_s: float = 60.0
    cold_capacity_fraction: float = 0.3  # of its capacity, right after a start
    warm_up_s: float = 8.7
    collapse_factor: float = 3.0  # a cold node collapses under this multiple of what it can do
    collapse_window_s: float = 1.0  # within this time
    error_fraction: float = 0.0
    value_bytes: int = 64


class BeginResult(Enum):
    """What became of a request that a node was sent."""

    TAKEN = "taken"  # it is in work or queued
    BUSY = "busy"
    COLLAPSE = "collapse"  # the node is cold, and was sent more than it bears


def checksum_fraction(text: str) -> float:
    """A number in [0, 1) that the text decides: chance that is the same in each run of a plan."""
    return crc32(text.encode()) / CHECKSUM_VALUES


class CacheNodeWork:
    """What a node has in work, its memory of keys, and what it answers.

    Attributes:
        work_of: the microseconds of work that a request id means.
        on_miss: called with a request's id where a read found nothing.
        corrupt_fraction: of the answers, which are none that the protocol allows.
        overhead_us: work that served nobody, since the beginning.
    """

    def __init__(
        self, uid: str, spec: CacheNodeSpec, work_of: Callable[[str], float], on_miss: Callable[[str], None]
    ) -> None:
        self.uid = uid
        self.spec = spec
        self.work_of = work_of
        self.on_miss = on_miss
        self.model = CacheNodeModel(spec.cores, spec.speed_factor, spec.slots, spec.queue_length)
        self.memory = KeyMemory(spec.memory_keys)
        self.corrupt_fraction = 0.0
        self.overhead_us = 0.0
        self._load_limit = self._new_load_limit()
        self._running = True
        self._in_work: dict[str, tuple[CacheNodeConnection, PendingAnswer]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def _new_load_limit(self) -> ColdLoadLimit:
        window_ns = int(self.spec.collapse_window_s * NANOSECONDS_PER_SECOND)
        return ColdLoadLimit(self.spec.collapse_factor, window_ns)

    def begin(
        self, connection: CacheNodeConnection, pending: PendingAnswer, attempt: ReceivedAttempt, accepts: bool
    ) -> BeginResult:
        """Takes a request into work or the queue, or answers BUSY, or finds that a cold node collapses.

        A request that is answered BUSY counts towards the collapse as well.

        Args:
            connection: where the answer goes.
            pending: the answer's place there.
            attempt: the request.
            accepts: whether the node takes requests over this connection at all.
        """
        now_ns = system.now()
        attempt.cold = self.model.capacity_fraction(now_ns) < 1
        noise = checksum_fraction(f"{attempt.id}{self.uid}")
        work_us = self.work_of(attempt.id) * (1 + WORK_NOISE_FRACTION * (2 * noise - 1))
        hit = attempt.name == protocol.READ and self.memory.hit(attempt.key)
        attempt.work = work_us if hit else work_us * MISS_WORK_FRACTION
        over_limit = self._load_limit.count_and_check(now_ns, attempt.work, self.model.capacity_cores(now_ns))
        if over_limit and attempt.cold:
            return BeginResult.COLLAPSE
        if not accepts or not self.model.offer(now_ns, attempt.work_id, attempt.work):
            attempt.outcome = AttemptOutcome.BUSY
            pending.answer = protocol.BUSY
            return BeginResult.BUSY
        attempt.outcome = AttemptOutcome.HIT if hit else AttemptOutcome.MISS
        self._in_work[attempt.work_id] = (connection, pending)
        self._set_timer()
        return BeginResult.TAKEN

    def withdraw(self, attempt: ReceivedAttempt) -> None:
        """Takes a request that nobody waits for out of the queue; one in work goes on."""
        if self.model.withdraw(attempt.work_id):
            self._in_work.pop(attempt.work_id, None)

    def add_overhead(self, work_us: float) -> None:
        """Work that serves nobody: a handshake, a health check."""
        self.model.add_overhead(system.now(), work_us)
        self.overhead_us += work_us
        self._set_timer()

    def stop(self) -> None:
        """The node's process dies: all that is in work or queued is lost."""
        now_ns = system.now()
        for _, pending in self._in_work.values():
            if pending.attempt is not None:
                pending.attempt.outcome = AttemptOutcome.RESET
                pending.attempt.ended = now_ns
        self._running = False
        self._in_work = {}
        # This empties the model; the node is cold from its next start, which does the same again.
        self._start_cold(now_ns)

    def start(self) -> None:
        """The node's process starts: empty, and cold."""
        self._running = True
        self.memory = KeyMemory(self.spec.memory_keys)
        self._load_limit = self._new_load_limit()
        self._start_cold(system.now())

    def _start_cold(self, now_ns: int) -> None:
        warm_up_ns = int(self.spec.warm_up_s * NANOSECONDS_PER_SECOND)
        self.model.start_cold(now_ns, self.spec.cold_capacity_fraction, warm_up_ns)

    def close(self) -> None:
        """Cancels the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay_ns = self.model.next_finish_in_ns(system.now())
        if delay_ns is not None and self._running:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay_ns / NANOSECONDS_PER_SECOND, self._finish)

    def _finish(self) -> None:
        """Answers the requests whose work is done."""
        for work_id in self.model.take_finished(system.now()):
            connection, pending = self._in_work.pop(work_id, (None, None))
            if connection is not None and pending is not None and pending.attempt is not None:
                answer = self._answer(pending.attempt)
                pending.answer = protocol.to_resp3(answer) if connection.resp_version == 3 else answer
                connection.flush()
        self._set_timer()

    def _answer(self, attempt: ReceivedAttempt) -> bytes:
        """The answer to a request whose work is done, in RESP2; sets the request's outcome."""
        chance = checksum_fraction(f"answer{attempt.id}{self.uid}")
        if chance < self.corrupt_fraction:
            attempt.outcome = AttemptOutcome.CORRUPT
            return protocol.corrupt_answer(attempt.id)
        if attempt.outcome is AttemptOutcome.MISS:
            self.on_miss(attempt.id)
            return protocol.MISS
        if 1 - chance < self.spec.error_fraction:
            attempt.outcome = AttemptOutcome.ERROR
            return protocol.FAILED
        attempt.outcome = AttemptOutcome.SERVED
        value = f"{attempt.id}:{attempt.key}:{self.uid}:".encode().ljust(self.spec.value_bytes, b".")
        return protocol.hit(value)
