"""Detects which of the other routers are alive by SWIM with Lifeguard's local health. No sockets, no clock.

SWIM (Das, Gupta, Motivala 2002): each router pings one other router per period, in an order that is shuffled
for each round, so that every router is pinged once per round. A router that does not acknowledge is pinged
through `INDIRECT_PINGS` other routers (ping-req). One that still does not acknowledge is suspected, and is
declared dead if it does not refute the suspicion in time. Membership updates are piggybacked on these
messages, at most `MAX_UPDATES` per message and the least sent first; each is sent `RETRANSMIT_FACTOR` times
the logarithm of the fleet's size. A router refutes an update that calls it suspect or dead by a higher
incarnation.

Lifeguard (Dadgar, Phillips, Currey 2018): a router that was paused, or whose pings are not acknowledged,
assumes a fault of its own first: its local health score, 0 (healthy) to `MAX_HEALTH_SCORE`, prolongs its
time-outs.

In a period a router sends one ping of its own, at most `INDIRECT_PINGS` ping-reqs, and an answer to each ping
it receives, of which there is one per period on average. So the messages per second of a router do not grow
with the fleet.

A router that was paused may have missed acknowledgements, so its pings in flight are dropped without a
suspicion. A router that restarts has a higher generation, by which routers that hold the earlier process dead
recognize the new one. If its wall clock was set back in between, it receives its earlier generation in an
update and takes a higher one.

    kind (1) | sequence (2) | subject (2) | for each update: router (2), generation (4),
                                            state and incarnation (1)      sizes in bytes
"""

import math
import struct
from dataclasses import dataclass
from enum import IntEnum
from random import Random

from rainhitch.fleet.datagram import Datagram, FleetError

NS_PER_S = 1_000_000_000
PERIOD_NS = NS_PER_S  # time between two pings
PING_TIMEOUT_NS = NS_PER_S // 5  # time-out of a direct ping; a datagram takes less than a tenth of a second
INDIRECT_TIMEOUT_FACTOR = 2  # time-out of an indirect ping as a multiple of the direct ping's
INDIRECT_PINGS = 2  # routers that are asked to ping a router that did not acknowledge
SUSPICION_PERIODS = 3  # time-out of a suspicion, in half periods times the logarithm of the fleet's size
RETRANSMIT_FACTOR = 3  # transmissions of an update, as a multiple of the logarithm of the fleet's size
MAX_UPDATES = 6  # maximum number of updates in a message
MAX_HEALTH_SCORE = 8
PAUSE_NS = NS_PER_S // 2  # a gap between steps that exceeds PING_TIMEOUT_NS by more than this is a pause

HEADER = struct.Struct(">BHH")  # kind, sequence, subject
UPDATE = struct.Struct(">HIB")  # router, generation, state (2 bits) and incarnation (6 bits)
INCARNATION_BITS = 6
MAX_INCARNATION = 63
MAX_SEQUENCE = 0xFFFF
MAX_GENERATION = 0xFFFFFFFF
UNKNOWN_GENERATION = 0  # generation of a router about which no update was received


class MessageKind(IntEnum):
    """First byte of a message."""

    PING = 0x61
    ACK = 0x62
    PING_REQ = 0x63  # asks the receiver to ping the subject


class RouterState(IntEnum):
    """State of a router; of two updates with equal generation and incarnation the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class FailureDetectorError(FleetError):
    """Error for a failure detection message that cannot be read."""


@dataclass(slots=True)
class RouterRecord:
    """Latest update on one router, and when it was applied here."""

    generation: int = UNKNOWN_GENERATION
    incarnation: int = 0  # 0 to MAX_INCARNATION, within its generation
    state: RouterState = RouterState.ALIVE
    state_since_ns: int = 0

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Precedence of an update: the update with the highest precedence is kept.

        The order is total, so all routers that have received the same updates keep the same one, whatever
        their order and however often they were received.
        """
        return self.generation, self.incarnation, self.state


@dataclass(slots=True)
class PingRequester:
    """Router for which an indirect ping is sent, and the sequence number of its ping-req."""

    router: int
    sequence: int


@dataclass(slots=True)
class PendingPing:
    """Ping that has not been acknowledged yet."""

    target: int
    deadline_ns: int
    indirect_requested: bool = False  # other routers were asked to ping the target
    requester: PingRequester | None = None  # None for this router's own ping


class UpdateQueue:
    """Queue of routers whose records are to be sent to others, `max_transmissions` times each."""

    def __init__(self, max_transmissions: int) -> None:
        self.max_transmissions = max_transmissions
        self.transmissions: dict[int, int] = {}  # number of times that a record was sent, by router

    def enqueue(self, router: int) -> None:
        """Queues a router's changed record for all its transmissions."""
        self.transmissions[router] = 0

    def take(self, first: int | None) -> list[int]:
        """Returns the routers whose records are sent with one message, and counts these transmissions.

        They are at most `MAX_UPDATES`, the least sent first. `first` precedes them, whether queued or not.
        """
        chosen = sorted(self.transmissions, key=lambda router: (self.transmissions[router], router))
        if first is not None:
            chosen = [first, *(router for router in chosen if router != first)]
        chosen = chosen[:MAX_UPDATES]
        for router in chosen:
            if router in self.transmissions:
                self.transmissions[router] += 1
                if self.transmissions[router] >= self.max_transmissions:
                    del self.transmissions[router]
        return chosen


class FailureDetector:
    """Failure detector of one router, with its view of the others.

    `own_index` is the number of this router among `routers`. `generation` is 1 to `MAX_GENERATION` and
    higher after each start. Times are in ns.
    """

    def __init__(self, own_index: int, routers: int, generation: int, now_ns: int, seed: int) -> None:
        self.own_index = own_index
        self.routers = routers
        # The text of the seed must not change: recorded runs are replayed with the sequence that it gives.
        self.random = Random(f"{seed}/alive")
        self.records = [RouterRecord(state_since_ns=now_ns) for _ in range(routers)]
        self.records[own_index] = RouterRecord(generation, state_since_ns=now_ns)
        self.ping_order: list[int] = []  # routers not yet pinged in this round, the next one last
        self.pings: dict[int, PendingPing] = {}  # pings by sequence number
        self.sequence = 0
        self.local_health_score = 0
        self.next_ping_at_ns = now_ns
        self.stepped_at_ns = now_ns
        self.changes = 0  # changes of any router between dead and not dead, since the start
        # SWIM's logarithm of the fleet's size: updates and suspicions last longer in a larger fleet.
        self.log_fleet_size = max(1, math.ceil(math.log2(routers + 1)))
        self.update_queue = UpdateQueue(RETRANSMIT_FACTOR * self.log_fleet_size)
        self.update_queue.enqueue(own_index)

    @property
    def generation(self) -> int:
        """This router's own generation."""
        return self.records[self.own_index].generation

    def is_alive(self, router: int) -> bool:
        """Returns whether a router counts as alive, as a suspected one does."""
        return self.records[router].state is not RouterState.DEAD

    def live_routers(self) -> list[int]:
        """Returns all routers that count as alive, including this one."""
        return [router for router in range(self.routers) if self.is_alive(router)]

    def step(self, now_ns: int) -> list[Datagram]:
        """Returns the messages to send now; must be called several times a second."""
        gap_ns = now_ns - self.stepped_at_ns
        self.stepped_at_ns = now_ns
        if gap_ns > PAUSE_NS + PING_TIMEOUT_NS:
            self._resume_after_pause(now_ns, gap_ns)
        sent: list[Datagram] = []
        for sequence, ping in list(self.pings.items()):
            if now_ns >= ping.deadline_ns:
                sent += self._ping_timed_out(now_ns, sequence, ping)
        self._expire_suspicions(now_ns)
        if now_ns >= self.next_ping_at_ns:
            self.next_ping_at_ns = now_ns + PERIOD_NS
            sent += self._ping_next(now_ns)
        return sent

    def _resume_after_pause(self, now_ns: int, gap_ns: int) -> None:
        """Drops pings and extends suspicions after a pause, in which this router received no messages."""
        self.pings.clear()
        self.next_ping_at_ns = now_ns + PERIOD_NS
        self._change_health_score(1)
        for record in self.records:
            record.state_since_ns += gap_ns

    def _expire_suspicions(self, now_ns: int) -> None:
        health_factor = 1 + self.local_health_score
        suspicion_ns = SUSPICION_PERIODS * self.log_fleet_size * PERIOD_NS * health_factor // 2
        for router, record in enumerate(self.records):
            if record.state is RouterState.SUSPECT and now_ns - record.state_since_ns >= suspicion_ns:
                self._store(now_ns, router, record.generation, record.incarnation, RouterState.DEAD)

    def _change_health_score(self, by: int) -> None:
        self.local_health_score = min(MAX_HEALTH_SCORE, max(0, self.local_health_score + by))

    def _ping_timeout_ns(self) -> int:
        return PING_TIMEOUT_NS * (1 + self.local_health_score)

    def _ping_next(self, now_ns: int) -> list[Datagram]:
        if not self.ping_order:
            # Dead routers are pinged too, once per round: after a network cut no other router reports them.
            self.ping_order = [router for router in range(self.routers) if router != self.own_index]
            self.random.shuffle(self.ping_order)
        if not self.ping_order:
            return []
        return [self._ping(now_ns, self.ping_order.pop())]

    def _ping(self, now_ns: int, target: int, requester: PingRequester | None = None) -> Datagram:
        self.sequence = (self.sequence + 1) & MAX_SEQUENCE
        deadline_ns = now_ns + self._ping_timeout_ns()
        self.pings[self.sequence] = PendingPing(target, deadline_ns, requester=requester)
        return Datagram(target, self._encode(MessageKind.PING, self.sequence, target, receiver=target))

    def _ping_timed_out(self, now_ns: int, sequence: int, ping: PendingPing) -> list[Datagram]:
        """Requests indirect pings; once those have timed out, drops the ping and suspects its target."""
        if ping.indirect_requested or ping.requester is not None:
            del self.pings[sequence]  # at its first time-out, if it was sent for another router
            record = self.records[ping.target]
            if ping.requester is None and record.state is RouterState.ALIVE:
                self._change_health_score(1)
                self._store(now_ns, ping.target, record.generation, record.incarnation, RouterState.SUSPECT)
            return []
        ping.indirect_requested = True
        ping.deadline_ns = now_ns + INDIRECT_TIMEOUT_FACTOR * self._ping_timeout_ns()
        others = [router for router in self.live_routers() if router not in (self.own_index, ping.target)]
        peers = self.random.sample(others, min(INDIRECT_PINGS, len(others)))
        return [Datagram(peer, self._encode(MessageKind.PING_REQ, sequence, ping.target)) for peer in peers]

    def receive(self, now_ns: int, sender: int, data: bytes) -> list[Datagram]:
        """Handles another router's message; returns the messages to send in answer.

        Raises FailureDetectorError if the message cannot be read; updates before the faulty one are applied.
        """
        if len(data) < HEADER.size or (len(data) - HEADER.size) % UPDATE.size:
            raise FailureDetectorError(f"expected {HEADER.size} + n * {UPDATE.size} bytes, got {len(data)}")
        if not 0 <= sender < self.routers or sender == self.own_index:
            raise FailureDetectorError(f"expected another of {self.routers} routers as sender, got {sender}")
        kind, sequence, subject = HEADER.unpack_from(data)
        if kind not in (MessageKind.PING, MessageKind.ACK, MessageKind.PING_REQ) or subject >= self.routers:
            raise FailureDetectorError(
                f"expected a ping, ack or ping-req with a subject below {self.routers}, "
                f"got kind {kind:#x} with subject {subject}"
            )
        for router, generation, state_and_incarnation in UPDATE.iter_unpack(data[HEADER.size :]):
            state = state_and_incarnation >> INCARNATION_BITS
            if router >= self.routers or state > RouterState.DEAD:
                raise FailureDetectorError(
                    f"expected an update with a state of 0 to {RouterState.DEAD:d} of a router below "
                    f"{self.routers}, got state {state} of router {router}"
                )
            incarnation = state_and_incarnation & MAX_INCARNATION
            self._apply_update(now_ns, router, generation, incarnation, RouterState(state))
        if kind == MessageKind.PING:
            return [
                Datagram(sender, self._encode(MessageKind.ACK, sequence, self.own_index, receiver=sender))
            ]
        if kind == MessageKind.PING_REQ:
            if subject in (self.own_index, sender):
                return []
            return [self._ping(now_ns, subject, PingRequester(sender, sequence))]
        return self._acknowledged(sequence, sender, subject)

    def _acknowledged(self, sequence: int, sender: int, subject: int) -> list[Datagram]:
        ping = self.pings.get(sequence)
        if ping is None or subject != ping.target:
            return []  # a late or duplicate acknowledgement, or one of no ping of this router
        if sender != subject and not ping.indirect_requested:
            return []  # another router may acknowledge for the target only if it was asked to ping it
        del self.pings[sequence]
        if ping.requester is not None:
            ack = self._encode(MessageKind.ACK, ping.requester.sequence, subject)
            return [Datagram(ping.requester.router, ack)]
        self._change_health_score(-1)
        return []

    def _apply_update(
        self, now_ns: int, router: int, generation: int, incarnation: int, state: RouterState
    ) -> None:
        precedence = (generation, incarnation, state)
        if router != self.own_index:
            if precedence > self.records[router].precedence:
                self._store(now_ns, router, generation, incarnation, state)
            return
        if precedence > self.records[self.own_index].precedence:
            self._refute(generation, incarnation)
            return
        if precedence < self.records[self.own_index].precedence:
            self.update_queue.enqueue(self.own_index)  # the sender lacks the last update on this router

    def _refute(self, generation: int, incarnation: int) -> None:
        """Refutes an update on this router (suspect, dead or earlier process) by a higher precedence."""
        record = self.records[self.own_index]
        incarnations_exhausted = incarnation == MAX_INCARNATION
        if incarnations_exhausted or generation > record.generation:
            record.generation = min(MAX_GENERATION, generation + 1)
            record.incarnation = 0
        else:
            record.generation = generation
            record.incarnation = incarnation + 1
        self.update_queue.enqueue(self.own_index)
        self._change_health_score(1)

    def _store(self, now_ns: int, router: int, generation: int, incarnation: int, state: RouterState) -> None:
        was_dead = self.records[router].state is RouterState.DEAD
        is_dead = state is RouterState.DEAD
        if was_dead != is_dead:
            self.changes += 1
        self.records[router] = RouterRecord(generation, incarnation, state, now_ns)
        self.update_queue.enqueue(router)

    def _encode(self, kind: MessageKind, sequence: int, subject: int, receiver: int | None = None) -> bytes:
        """Returns a message with updates, the first on the receiver if it is not alive, to be refuted."""
        first = None
        if receiver is not None and self.records[receiver].state is not RouterState.ALIVE:
            first = receiver
        message = HEADER.pack(kind, sequence, subject)
        for router in self.update_queue.take(first):
            record = self.records[router]
            state_and_incarnation = record.state << INCARNATION_BITS | record.incarnation
            message += UPDATE.pack(router, record.generation, state_and_incarnation)
        return message
