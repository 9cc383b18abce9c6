"""Tenants' usage over all routers is within its error, whatever is lost, late, duplicated or restarted."""

import pytest
from hypothesis import given
from hypothesis import settings as budget
from hypothesis import strategies as st
from lossy import SECOND, LossyNetwork

from rainhitch.fleet.datagram import ALL_ROUTERS
from rainhitch.fleet.gossip_exchange import GossipExchange
from rainhitch.fleet.options import FleetOptions
from rainhitch.fleet.tenant_usage import (
    EXPIRY_INTERVALS,
    MAX_TENANTS,
    MIN_INTERVAL_NS,
    WINDOW_NS,
    TenantUsage,
    TenantUsageError,
)


class Publisher:
    """Router with a rate of requests per tenant that publishes its usage as GossipExchange does."""

    def __init__(self, own_index: int, routers: int, rates: list[float], generation: int, now: int) -> None:
        self.usage = TenantUsage(own_index, routers, len(rates), generation, now)
        self.own_index, self.routers, self.rates = own_index, routers, rates
        self.at = self.reported_at = now
        self.pending = [0.0] * len(rates)

    def receive(self, now: int, sender: int, data: bytes) -> None:
        """Reads another router's report."""
        self.usage.receive(now, sender, data)

    def step(self, now: int) -> list[tuple[int, bytes]]:
        """Counts the requests since the last step; returns the reports that are due."""
        passed, self.at = now - self.at, now
        for tenant, rate in enumerate(self.rates):
            self.pending[tenant] += rate * passed / SECOND
            for _ in range(int(self.pending[tenant])):
                self.usage.add(tenant)
            self.pending[tenant] %= 1
        self.usage.advance_window(now)
        if now - self.reported_at < self.usage.interval_ns:
            return []
        self.reported_at = now
        report = self.usage.encode()
        return [(other, report) for other in range(self.routers) if other != self.own_index]


def fleet(rates: list[list[float]], seed: int = 1, drift: float = 0.0) -> LossyNetwork:
    """Returns a network of routers with these rates of requests, by router and tenant."""
    return LossyNetwork(
        len(rates),
        lambda router, generation, now: Publisher(router, len(rates), rates[router], generation, now),
        seed,
        drift,
    )


def fractions(network: LossyNetwork, router: int) -> list[float]:
    """Returns a router's fraction of each tenant's requests."""
    result: list[float] = network.parts[router].usage.fractions(network.clock(router))
    return result


def test_fractions_follow_each_tenants_traffic_and_add_up_to_one() -> None:
    """One router gets eighty percent of a tenant's requests; two share those of another tenant equally."""
    network = fleet([[80.0, 20.0], [10.0, 0.0], [10.0, 20.0]])
    network.go(3 * WINDOW_NS)
    for tenant, wanted in enumerate([[0.8, 0.1, 0.1], [0.5, 0.0, 0.5]]):
        found = [fractions(network, router)[tenant] for router in range(3)]
        assert found == pytest.approx(wanted, abs=0.03)
        assert sum(found) == pytest.approx(1, abs=0.03)


def test_traffic_that_moves_is_known_within_a_window_and_a_report() -> None:
    network = fleet([[90.0], [10.0], [0.0]])
    network.go(3 * WINDOW_NS)
    for publisher, rate in zip(network.parts, (0.0, 10.0, 90.0), strict=True):
        publisher.rates = [rate]
    network.go(WINDOW_NS + 2 * MIN_INTERVAL_NS)
    assert [fractions(network, router)[0] for router in range(3)] == pytest.approx([0.0, 0.1, 0.9], abs=0.03)


@pytest.mark.parametrize("fault", ["loss", "doubled", "late", "all"])
def test_lost_doubled_and_late_reports_do_not_change_the_fractions(fault: str) -> None:
    rates = [[40.0], [20.0], [20.0], [20.0]]
    network = fleet(rates, 3, 1 / 16)
    network.loss = 0.3 if fault in ("loss", "all") else 0.0
    network.doubled = 0.5 if fault in ("doubled", "all") else 0.0
    network.late = 3 * SECOND if fault in ("late", "all") else SECOND // 100
    network.go(5 * WINDOW_NS)
    for _ in range(20):
        network.go(SECOND)
        assert [fractions(network, router)[0] for router in range(4)] == pytest.approx(
            [0.4, 0.2, 0.2, 0.2], abs=0.08
        )


@pytest.mark.parametrize("hears_own_half", [False, True])
def test_half_of_a_partitioned_fleet_assumes_that_the_other_half_runs(hears_own_half: bool) -> None:
    """Guards against two halves of a partitioned fleet that each take their traffic for the whole."""
    network = fleet([[20.0]] * 8)
    network.go(3 * WINDOW_NS)
    network.cut = lambda source, to: (source < 4) != (to < 4) or not hears_own_half
    network.go((EXPIRY_INTERVALS + 2) * MIN_INTERVAL_NS)
    for router in range(8):
        found = fractions(network, router)
        assert found == (pytest.approx([1 / 8], abs=0.02) if hears_own_half else []), "too few reports"


def test_a_router_that_restarts_or_resumes_counts_once_and_its_earlier_generation_not_at_all() -> None:
    network = fleet([[30.0], [30.0], [30.0]])
    network.go(2 * WINDOW_NS)
    earlier = network.parts[1].usage.encode()
    network.kill(1)
    network.go(2 * SECOND)
    network.start(1)
    network.go(2 * WINDOW_NS)
    receiver = network.parts[0].usage
    assert not receiver.receive(network.clock(0), 1, earlier), "a report from an earlier generation"
    latest = network.parts[1].usage.encode()
    assert receiver.receive(network.clock(0), 1, latest) and not receiver.receive(network.clock(0), 1, latest)
    network.stopped[2] = True
    network.go((EXPIRY_INTERVALS + 1) * MIN_INTERVAL_NS)
    network.stopped[2] = False
    network.go(2 * WINDOW_NS)
    assert [fractions(network, router)[0] for router in range(3)] == pytest.approx([1 / 3] * 3, abs=0.04)


@budget(max_examples=300)
@given(st.lists(st.tuples(st.integers(1, 2), st.integers(1, 3), st.integers(0, 9)), max_size=8), st.randoms())
def test_report_merge_is_independent_of_order_and_repetition(
    versions: list[tuple[int, int, int]], random: object
) -> None:
    """Merging is commutative, associative and idempotent: the highest generation, then sequence, is kept."""
    requests_by_version = {}
    for generation, sequence, requests in versions:
        # A router sends one report per generation and sequence number.
        requests_by_version[generation, sequence] = requests

    def report(generation: int, sequence: int) -> bytes:
        usage = TenantUsage(1, 2, 1, generation, 0)
        usage.sequence = sequence - 1
        for _ in range(requests_by_version[generation, sequence]):
            usage.add(0)
        return usage.encode()

    reports = [report(generation, sequence) for generation, sequence in requests_by_version]
    shuffled = reports * 2
    random.shuffle(shuffled)  # type: ignore[attr-defined]
    once, repeated = TenantUsage(0, 2, 1, 1, 0), TenantUsage(0, 2, 1, 1, 0)
    for data in reports:
        once.receive(0, 1, data)
    for data in shuffled:
        repeated.receive(0, 1, data)
    assert once.reports == repeated.reports
    if requests_by_version:
        assert once.reports[1].requests == (requests_by_version[max(requests_by_version)],)


def test_many_tenants_are_reported_as_one_and_a_report_is_bounded() -> None:
    for tenants in (1, MAX_TENANTS, MAX_TENANTS + 1, 500):
        usage = TenantUsage(0, 200, tenants, 1, 0)
        usage.add(tenants - 1)
        assert len(usage.encode()) <= 8 + 2 * MAX_TENANTS
        assert (
            len(usage.requests_in_window()) == (tenants if tenants <= MAX_TENANTS else 1)
            and sum(usage.requests_in_window()) == 1
        )


@given(st.binary(max_size=40), st.integers(-1, 3))
def test_malformed_reports_are_refused(data: bytes, sender: int) -> None:
    usage = TenantUsage(0, 3, 2, 1, 0)
    try:
        usage.receive(0, sender, data)
    except TenantUsageError:
        assert not usage.reports
    else:
        assert set(usage.reports) <= {sender} and len(data) == 12


def test_reports_received_a_second_do_not_grow_with_the_fleet() -> None:
    """Up to three hundred routers: the reports that a router sends, and so those it receives, are bounded."""
    for routers in (3, 60, 300):
        exchange = GossipExchange(0, routers, 5, 1, 0, seed=7, options=FleetOptions(counts=True))
        sent = 0
        for step in range(1, 1201):
            sent += sum(to == ALL_ROUTERS for to, _ in exchange.step(step * SECOND // 10))
        assert (routers - 1) * sent / 120 <= 25
