"""All that routers tell one another, by the kind of datagram: the one place where its parts meet. No
sockets, no clock.

    first byte   what                                 to whom                   part
    0xA2         answer times of cache servers        all, five times a second  advice, words, belief
    0xC1         requests taken, by customer          all, every Counts.every   counts
    0x51, 0x41   loans of a rate                      one                       holdings
    0x61 - 0x63  who is there                         one                       alive

A router of another version drops kinds that it does not know, and goes on without them.
"""

from dataclasses import dataclass, field
from random import Random
from typing import Any

from rainhitch.fleet.failure_detector import FailureDetector, FailureDetectorError, MessageKind
from rainhitch.fleet.gossip_codec import VERSION as ANSWERS
from rainhitch.fleet.gossip_codec import GossipCodecError, decode, encode, hashes
from rainhitch.fleet.novelty_filter import NoveltyFilter
from rainhitch.fleet.options import FleetOptions
from rainhitch.fleet.peer_judgements import PeerJudgements
from rainhitch.fleet.quota_escrow import ANSWER, QUESTION, QuotaEscrow, QuotaEscrowError
from rainhitch.fleet.tenant_usage import TenantUsage, TenantUsageError
from rainhitch.interface import LatencyObservation, TrafficFractions

COUNT = 0xC1
EVERYONE = -1
STEP = 100_000_000  # ns between two steps
PARTS = 5  # steps between two looks at the parts
MOST_A_SECOND = 100  # datagrams that are read of one router a second; a flood costs no more
Datagrams = list[tuple[int, bytes]]
Json = dict[str, Any]


class DatagramError(ValueError):
    """A datagram that can't be read."""


@dataclass(slots=True)
class ReceivedDatagram:
    """What a datagram brought: what is believed of servers, and what is to be sent."""

    observations: list[LatencyObservation] = field(default_factory=list)
    replies: Datagrams = field(default_factory=list)


class GossipExchange:
    """One router's end. `me`: its number among so many `routers`; below 0 where it does not know: then it
    tells and hears of answer times only. `life`: 1 to 2**32 - 1, more with each start."""

    def __init__(
        self, me: int, routers: int, customers: int, life: int, now: int, seed: int, options: FleetOptions
    ) -> None:
        self.me, self.routers = me, routers
        self.random = Random(f"{seed}/exchange")
        self.servers_by_hash: dict[int, str] = {}  # the listed servers, by the hash that stands for them
        self.novelty_filter, self.peer_judgements = (
            NoveltyFilter(),
            PeerJudgements(me) if options.bounded else None,
        )
        named = 0 <= me < routers
        self.tenant_usage = (
            TenantUsage(me, routers, customers, life, now) if named and options.counts else None
        )
        self.failure_detector = (
            FailureDetector(me, routers, life, now, seed) if named and options.members else None
        )
        total = options.database_rps if named else 0.0
        self.quota_escrow = QuotaEscrow(me, routers, total, now, seed) if total else None
        self.count_at = now + (
            0 if self.tenant_usage is None else self.random.randrange(self.tenant_usage.interval_ns)
        )
        self.steps = 0
        self.read: dict[int, int] = {}  # datagrams of each router in the second that runs
        self.second = 0

    def set_servers(self, names: list[str]) -> None:
        """The list of servers has changed."""
        self.servers_by_hash = hashes(names)
        if self.peer_judgements is not None:
            self.peer_judgements.set_servers(names)

    def encode_observations(self, now: int, seen: list[LatencyObservation]) -> bytes:
        """What is worth telling of what was seen in a period; begins the next one."""
        if self.peer_judgements is not None:
            self.peer_judgements.record_own(now, seen)
        news = self.novelty_filter.select_new(seen)
        return encode(news) if news else b""

    def step(self, now: int) -> Datagrams:
        """To be called every STEP: what is to be sent now."""
        sent: Datagrams = []
        if self.tenant_usage is not None:
            self.tenant_usage.mark(now)
            if now >= self.count_at:
                self.count_at = now + int(self.tenant_usage.interval_ns * self.random.uniform(0.75, 1.25))
                sent.append((EVERYONE, bytes([COUNT]) + self.tenant_usage.encode()))
        if self.failure_detector is not None:
            sent += self.failure_detector.step(now)
        if self.quota_escrow is not None:
            sent += self.quota_escrow.step(now)
        return sent

    def traffic_fractions(self, now: int) -> TrafficFractions | None:
        """This router's part of each customer's requests, where the counts tell it."""
        self.steps += 1
        if self.tenant_usage is None or self.steps % PARTS:
            return None
        parts = self.tenant_usage.fractions(now)
        return TrafficFractions(parts, 2 * PARTS * STEP) if parts else None

    def receive(self, now: int, sender: int, data: bytes) -> ReceivedDatagram:
        """A datagram of another router. Raises WordError."""
        if now // 1_000_000_000 != self.second:
            self.second, self.read = now // 1_000_000_000, {}
        self.read[sender] = self.read.get(sender, 0) + 1
        if self.read[sender] > MOST_A_SECOND or not data or sender == self.me:
            raise DatagramError("too many, empty, or this router's own")
        kind = data[0]
        try:
            if kind == ANSWERS:
                seen = decode(data, self.servers_by_hash)
                self.novelty_filter.record_published(seen)
                return ReceivedDatagram(
                    seen if self.peer_judgements is None else self.peer_judgements.bound(now, sender, seen)
                )
            if kind == COUNT and self.tenant_usage is not None:
                self.tenant_usage.receive(now, sender, data[1:])
                return ReceivedDatagram()
            if kind in (QUESTION, ANSWER) and self.quota_escrow is not None:
                return ReceivedDatagram(replies=self.quota_escrow.receive(now, sender, data))
            if (
                kind in (MessageKind.ASK, MessageKind.ANSWER, MessageKind.HELP)
                and self.failure_detector is not None
            ):
                return ReceivedDatagram(replies=self.failure_detector.receive(now, sender, data))
        except (GossipCodecError, TenantUsageError, QuotaEscrowError, FailureDetectorError) as problem:
            raise DatagramError(str(problem)) from None
        raise DatagramError("of a kind that is not known here, or off")

    def describe(self, now: int) -> Json:
        """What this router believes, for `rainhitch fleet status`: one JSON object."""
        told: Json = {"me": self.me, "routers": self.routers}
        if self.peer_judgements is not None:
            told["bounded"] = self.peer_judgements.bounded
        if self.tenant_usage is not None:
            told["heard"] = len(self.tenant_usage.fresh_reports(now))
            told["parts"] = [round(one, 4) for one in self.tenant_usage.fractions(now)]
            told["taken"] = self.tenant_usage.taken()
        if self.failure_detector is not None:
            told |= {
                "life": self.failure_detector.generation,
                "doubt": self.failure_detector.local_suspicion,
                "changes": self.failure_detector.changes,
            }
            told["gone"] = [n for n in range(self.routers) if not self.failure_detector.is_alive(n)]
        if self.quota_escrow is not None:
            hold = self.quota_escrow
            told["holds"] = {
                "of": round(hold.own_per_s * self.routers, 3),
                "own": round(hold.own_per_s, 3),
                "now": round(hold.available_per_s(now), 3),
                "needs": round(hold.demand_per_s, 3),
                "lent": round(sum(one.rate for one in hold.lent if one.until > now), 3),
                "borrowed": round(sum(one.rate for one in hold.borrowed if one.until > now), 3),
                "refused": hold.refused,
            }
        return told
