"""Protocol logic of all datagrams among routers, by kind of datagram. No sockets, no clock.

    first byte   content                            sent to                  module
    0xA2         latencies of cache servers         all, once per interval   gossip_codec, novelty_filter,
                                                                             peer_latency_bounds
    0xC1         requests received, by tenant       all, once per interval   tenant_usage
    0x51, 0x41   leases of a shared quota           one                      quota_escrow
    0x61 - 0x63  pings and membership updates       one                      failure_detector

A router of another version drops datagrams of kinds that it does not know.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from rainhitch.fleet.datagram import ALL_ROUTERS, Datagram, FleetError
from rainhitch.fleet.failure_detector import FailureDetector, MessageKind
from rainhitch.fleet.gossip_codec import LATENCY_KIND, decode, encode, names_by_hash
from rainhitch.fleet.novelty_filter import NoveltyFilter
from rainhitch.fleet.options import FleetOptions
from rainhitch.fleet.peer_latency_bounds import PeerLatencyBounds
from rainhitch.fleet.quota_escrow import Lease, QuotaEscrow, QuotaMessageKind
from rainhitch.fleet.tenant_usage import TenantUsage
from rainhitch.interface import LatencyObservation, TrafficFractions

USAGE_KIND = 0xC1
NS_PER_S = 1_000_000_000
STEP_NS = 100_000_000  # time between two calls of `GossipExchange.step`
STEPS_PER_FRACTIONS = 5  # number of steps between two results of `traffic_fractions`
USAGE_JITTER = (0.75, 1.25)  # smallest and largest random factor of the interval between usage reports
MAX_DATAGRAMS_PER_S = 100  # datagrams read from one router per second, which bounds the cost of a flood
Json = dict[str, Any]


class DatagramError(FleetError):
    """Error for a datagram that is over the rate limit, from this router itself, or of an unknown kind."""


@dataclass(slots=True)
class ReceiveResult:
    """Result of a received datagram: observations for the decisions, and datagrams to send in answer."""

    observations: list[LatencyObservation] = field(default_factory=list)
    replies: list[Datagram] = field(default_factory=list)


Handler = Callable[[int, int, bytes], ReceiveResult]  # time, sender, datagram


class GossipExchange:
    """One router's side of the communication among routers.

    `own_index` is the number of this router among `routers`, or below 0 if it is unknown; then only latencies
    are exchanged. `generation` is 1 to 2**32 - 1 and higher after each start. Times are in ns.
    """

    def __init__(
        self,
        own_index: int,
        routers: int,
        tenants: int,
        generation: int,
        now_ns: int,
        *,
        seed: int,
        options: FleetOptions,
    ) -> None:
        self.own_index = own_index
        self.routers = routers
        self.random = Random(f"{seed}/exchange")
        self.servers_by_hash: dict[int, str] = {}
        self.novelty_filter = NoveltyFilter()
        self.peer_latency_bounds: PeerLatencyBounds | None = None
        self.tenant_usage: TenantUsage | None = None
        self.failure_detector: FailureDetector | None = None
        self.quota_escrow: QuotaEscrow | None = None
        self.next_report_at_ns = now_ns
        self.handlers: dict[int, Handler] = {LATENCY_KIND: self._receive_latencies}
        if options.bounded:
            self.peer_latency_bounds = PeerLatencyBounds(own_index)
        if 0 <= own_index < routers:
            self._enable_numbered_protocols(tenants, generation, now_ns, seed, options)
        self.steps = 0
        self.datagrams_by_sender: dict[int, int] = {}  # number of datagrams read in the current second
        self.current_second = 0

    def _enable_numbered_protocols(
        self, tenants: int, generation: int, now_ns: int, seed: int, options: FleetOptions
    ) -> None:
        """Enables the protocols that need this router's number and that the operator has turned on."""
        if options.counts:
            self.tenant_usage = TenantUsage(self.own_index, self.routers, tenants, generation, now_ns)
            self.next_report_at_ns += self.random.randrange(self.tenant_usage.interval_ns)
            self.handlers[USAGE_KIND] = self._receive_usage
        if options.members:
            self.failure_detector = FailureDetector(self.own_index, self.routers, generation, now_ns, seed)
            self.handlers |= dict.fromkeys(MessageKind, self._receive_failure_detection)
        if options.database_rps:
            self.quota_escrow = QuotaEscrow(self.own_index, self.routers, options.database_rps, now_ns, seed)
            self.handlers |= dict.fromkeys(QuotaMessageKind, self._receive_quota)

    def set_servers(self, names: list[str]) -> None:
        """Replaces the list of servers."""
        self.servers_by_hash = names_by_hash(names)
        if self.peer_latency_bounds is not None:
            self.peer_latency_bounds.set_servers(names)

    def encode_observations(self, now_ns: int, observations: list[LatencyObservation]) -> bytes:
        """Returns the datagram of an interval's observations, empty if none of them is to be published."""
        if self.peer_latency_bounds is not None:
            self.peer_latency_bounds.record_own(now_ns, observations)
        new = self.novelty_filter.select_new(observations)
        return encode(new) if new else b""

    def step(self, now_ns: int) -> list[Datagram]:
        """Returns the datagrams to send now; must be called every `STEP_NS`."""
        sent: list[Datagram] = []
        if self.tenant_usage is not None:
            self.tenant_usage.advance_window(now_ns)
            if now_ns >= self.next_report_at_ns:
                jitter = self.random.uniform(*USAGE_JITTER)
                self.next_report_at_ns = now_ns + int(self.tenant_usage.interval_ns * jitter)
                sent.append(Datagram(ALL_ROUTERS, bytes([USAGE_KIND]) + self.tenant_usage.encode()))
        if self.failure_detector is not None:
            sent += self.failure_detector.step(now_ns)
        if self.quota_escrow is not None:
            sent += self.quota_escrow.step(now_ns)
        return sent

    def traffic_fractions(self, now_ns: int) -> TrafficFractions | None:
        """Returns this router's fraction of each tenant's requests, once in `STEPS_PER_FRACTIONS` calls.

        Returns None in between, and if there are too few usage reports. Must be called once per step.
        """
        self.steps += 1
        if self.tenant_usage is None or self.steps % STEPS_PER_FRACTIONS:
            return None
        fractions = self.tenant_usage.fractions(now_ns)
        if not fractions:
            return None
        return TrafficFractions(fractions, 2 * STEPS_PER_FRACTIONS * STEP_NS)

    def receive(self, now_ns: int, sender: int, data: bytes) -> ReceiveResult:
        """Handles a datagram from another router.

        Raises a FleetError if it cannot be read or its sender exceeds the rate limit.
        """
        self._check_rate(now_ns, sender)
        if sender == self.own_index or not data:
            raise DatagramError(f"expected data from another router, got {len(data)} bytes from {sender}")
        handler = self.handlers.get(data[0])
        if handler is None:
            raise DatagramError(f"expected an enabled kind of datagram, got {data[0]:#x} from {sender}")
        return handler(now_ns, sender, data)

    def _check_rate(self, now_ns: int, sender: int) -> None:
        """Counts a datagram; raises DatagramError over the limit, which guards the CPU against a flood."""
        second = now_ns // NS_PER_S
        if second != self.current_second:
            self.current_second = second
            self.datagrams_by_sender = {}
        count = self.datagrams_by_sender.get(sender, 0) + 1
        self.datagrams_by_sender[sender] = count
        if count > MAX_DATAGRAMS_PER_S:
            raise DatagramError(
                f"expected at most {MAX_DATAGRAMS_PER_S} datagrams a second from {sender}, got {count}"
            )

    def _receive_latencies(self, now_ns: int, sender: int, data: bytes) -> ReceiveResult:
        observations = decode(data, self.servers_by_hash)
        self.novelty_filter.record_published(observations)
        if self.peer_latency_bounds is not None:
            observations = self.peer_latency_bounds.bound(now_ns, sender, observations)
        return ReceiveResult(observations)

    def _receive_usage(self, now_ns: int, sender: int, data: bytes) -> ReceiveResult:
        assert self.tenant_usage is not None
        self.tenant_usage.receive(now_ns, sender, data[1:])
        return ReceiveResult()

    def _receive_quota(self, now_ns: int, sender: int, data: bytes) -> ReceiveResult:
        assert self.quota_escrow is not None
        return ReceiveResult(replies=self.quota_escrow.receive(now_ns, sender, data))

    def _receive_failure_detection(self, now_ns: int, sender: int, data: bytes) -> ReceiveResult:
        assert self.failure_detector is not None
        return ReceiveResult(replies=self.failure_detector.receive(now_ns, sender, data))

    def describe(self, now_ns: int) -> Json:
        """Returns this router's view of the fleet as the JSON object of `rainhitch fleet status`.

        Its keys must not change: operators' tools read them.
        """
        described: Json = {"me": self.own_index, "routers": self.routers}
        if self.peer_latency_bounds is not None:
            described["bounded"] = self.peer_latency_bounds.bounded_count
        if self.tenant_usage is not None:
            described["heard"] = len(self.tenant_usage.fresh_reports(now_ns))
            described["parts"] = [round(fraction, 4) for fraction in self.tenant_usage.fractions(now_ns)]
            described["taken"] = self.tenant_usage.requests_in_window()
        if self.failure_detector is not None:
            detector = self.failure_detector
            described["life"] = detector.generation
            described["doubt"] = detector.local_health_score
            described["changes"] = detector.changes
            described["gone"] = [router for router in range(self.routers) if not detector.is_alive(router)]
        if self.quota_escrow is not None:
            described["holds"] = _describe_quota(self.quota_escrow, now_ns)
        return described


def _describe_quota(escrow: QuotaEscrow, now_ns: int) -> Json:
    return {
        "of": round(escrow.share_per_s * escrow.routers, 3),
        "own": round(escrow.share_per_s, 3),
        "now": round(escrow.available_per_s(now_ns), 3),
        "needs": round(escrow.demand_per_s, 3),
        "lent": round(_leased_per_s(escrow.lent, now_ns), 3),
        "borrowed": round(_leased_per_s(escrow.borrowed, now_ns), 3),
        "refused": escrow.denied,
    }


def _leased_per_s(leases: list[Lease], now_ns: int) -> float:
    return sum(lease.rate_per_s for lease in leases if lease.expires_at_ns > now_ns)
