"""The shared quota is never exceeded, whatever is lost, delayed, duplicated, paused or restarted."""

import contextlib
import copy

import pytest
from hypothesis import given
from hypothesis import settings as budget
from hypothesis import strategies as st
from lossy import SECOND, LossyNetwork

from rainhitch.fleet.datagram import Datagram
from rainhitch.fleet.quota_escrow import (
    CLOCK_DRIFT_FRACTION,
    LEASE_NS,
    MAX_LEASES,
    MESSAGE,
    ROUND_INTERVAL_NS,
    Lease,
    QuotaEscrow,
    QuotaEscrowError,
    QuotaMessageKind,
)

QUOTA_PER_S = 120.0


class QuotaMeter:
    """Leaky bucket that compares the units taken by all routers with the quota."""

    def __init__(self, network: LossyNetwork, quota_per_s: float, drift: float) -> None:
        self.network, self.quota_per_s, self.drift = network, quota_per_s * (1 + drift), drift
        self.level = self.worst = 0.0
        self.at = network.now
        self.taken = 0

    def take(self, router: int) -> bool:
        """Takes a unit at a router if its quota allows it; returns whether it did."""
        network = self.network
        self.level = max(0.0, self.level - self.quota_per_s * (network.now - self.at) / SECOND)
        self.at = network.now
        if not network.parts[router].take(network.clock(router)):
            return False
        self.level += 1
        self.taken += 1
        self.worst = max(self.worst, self.level)
        return True

    def bound(self) -> float:
        """Returns what the buckets hold: a second of the quota, and per router a unit and a partial one."""
        return self.quota_per_s + 2 * len(self.network.parts)


def fleet(routers: int, seed: int, drift: float = 0.0, every: int = ROUND_INTERVAL_NS // 4) -> LossyNetwork:
    """Returns a network of routers with an equal share of the quota each."""
    return LossyNetwork(
        routers,
        lambda router, generation, now: QuotaEscrow(
            router, routers, QUOTA_PER_S, now, seed * 1000 + router * 10 + generation
        ),
        seed,
        drift,
        every,
    )


def run_random_faults(seed: int, steps: int, routers: int) -> tuple[QuotaMeter, LossyNetwork]:
    """Runs random faults with a demand that moves at random between the routers."""
    network = fleet(routers, seed, CLOCK_DRIFT_FRACTION)
    meter = QuotaMeter(network, QUOTA_PER_S, CLOCK_DRIFT_FRACTION)
    demand_per_s = [0.0] * routers

    def demand() -> None:
        for router in range(routers):
            if not network.runs(router):
                continue
            units = demand_per_s[router] * network.every / SECOND
            for _ in range(int(units) + (network.random.random() < units % 1)):
                meter.take(router)

    for _ in range(steps):
        if network.random.random() < 0.3:
            network.any_fault()
        if network.random.random() < 0.3:
            demand_per_s = [
                network.random.choice([0.0, 5.0, QUOTA_PER_S, 3 * QUOTA_PER_S]) for _ in range(routers)
            ]
        network.go(network.random.randrange(1, 3 * SECOND), demand)
        assert all(
            max(len(escrow.lent), len(escrow.requests), len(escrow.borrowed)) <= MAX_LEASES
            for escrow in network.parts
        )
    return meter, network


@pytest.mark.parametrize(
    ("routers", "seeds", "least"), [(2, 10, 100_000), (3, 10, 150_000), (12, 3, 150_000)]
)
def test_the_sum_stays_within_the_quota_through_any_faults(routers: int, seeds: int, least: int) -> None:
    """Half a million units are demanded under random schedules of faults.

    The faults are loss, delay, duplication, cuts, pauses, deaths and starts.
    """
    demanded = 0
    for seed in range(seeds):
        meter, network = run_random_faults(seed, 120, routers)
        assert meter.worst <= meter.bound(), f"seed {seed}"
        assert meter.taken > 1000
        demanded += meter.taken + sum(escrow.denied for escrow in network.parts)
    assert demanded > least


@pytest.mark.parametrize("mutant", ["lends what it spends", "own clock ends it", "doubled answer"])
def test_each_guard_is_needed(mutant: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The same schedules exceed the bound without one of the guards, so the test above can fail."""
    if mutant == "lends what it spends":
        original = QuotaEscrow._min_available_per_s
        monkeypatch.setattr(
            QuotaEscrow,
            "_min_available_per_s",
            lambda escrow, begin, end: (
                original(escrow, begin, end) + sum(lease.rate_per_s for lease in escrow.lent)
            ),
        )
    elif mutant == "own clock ends it":

        def receive(self: QuotaEscrow, now: int, sender: int, data: bytes) -> list[Datagram]:
            kind, nonce, amount = MESSAGE.unpack(data)
            if kind == QuotaMessageKind.REQUEST:
                lent = self._lend(now, sender, amount / 1000)
                return [Datagram(sender, MESSAGE.pack(QuotaMessageKind.GRANT, nonce, lent))] if lent else []
            request = self.requests.pop(nonce, None)
            if request is not None and request.lender == sender:
                self.borrowed.append(Lease(sender, self.own_index, amount / 1000, now + 3 * LEASE_NS))
            return []

        monkeypatch.setattr(QuotaEscrow, "receive", receive)
    else:

        def receive_doubled(self: QuotaEscrow, now: int, sender: int, data: bytes) -> list[Datagram]:
            kind, nonce, amount = MESSAGE.unpack(data)
            if kind == QuotaMessageKind.REQUEST:
                lent = self._lend(now, sender, amount / 1000)
                return [Datagram(sender, MESSAGE.pack(QuotaMessageKind.GRANT, nonce, lent))] if lent else []
            self.borrowed.append(Lease(sender, self.own_index, amount / 1000, now + LEASE_NS))
            return []

        monkeypatch.setattr(QuotaEscrow, "receive", receive_doubled)
    over = []
    for seed in range(8):
        meter, _ = run_random_faults(seed, 120, 3)
        over.append(meter.worst > meter.bound())
        if over[-1]:
            break
    assert any(over)


@pytest.mark.parametrize("routers", [3, 12, 60])
def test_one_router_with_all_the_demand_soon_holds_most_of_the_quota_and_returns_it(routers: int) -> None:
    network = fleet(routers, 1, every=ROUND_INTERVAL_NS // 16)
    meter = QuotaMeter(network, QUOTA_PER_S, 0.0)
    network.go(6 * SECOND)

    def demand_at_first_router() -> None:
        for _ in range(int(2 * QUOTA_PER_S * network.every / SECOND)):
            meter.take(0)

    network.go(8 * SECOND, demand_at_first_router)
    before = meter.taken
    network.go(8 * SECOND, demand_at_first_router)
    reached = {3: 0.75, 12: 0.6, 60: 0.4}[routers]  # few routers get a request per round, and leases expire
    assert (meter.taken - before) / 8 > reached * QUOTA_PER_S
    network.go(2 * LEASE_NS + 4 * SECOND)  # the last requests are sent while the average demand decays
    assert all(
        not escrow.borrowed and not escrow.lent
        for escrow in network.parts
        if escrow._fill(network.now) is None
    )
    assert sum(escrow.available_per_s(network.now) for escrow in network.parts) == pytest.approx(QUOTA_PER_S)


def test_a_router_that_receives_nothing_falls_back_to_its_share_when_leases_end() -> None:
    network = fleet(3, 2)
    network.go(6 * SECOND)
    borrower = network.parts[0]
    for _ in range(8):
        for _ in range(100):
            borrower.take(network.clock(0))
        network.go(ROUND_INTERVAL_NS)
    assert borrower.available_per_s(network.clock(0)) > 1.5 * borrower.share_per_s
    network.loss = 1.0
    network.go(LEASE_NS)
    assert borrower.available_per_s(network.clock(0)) == borrower.share_per_s


def test_a_router_paused_past_its_leases_resumes_with_its_share_and_one_bucket() -> None:
    """Expiry is checked for each unit taken, so a resumed router does not use its expired leases."""
    escrow = QuotaEscrow(0, 3, QUOTA_PER_S, 0, 7)
    escrow.borrowed.append(Lease(1, 0, 80.0, 4 * SECOND))
    escrow._fill(3 * SECOND)
    later = 100 * SECOND
    assert sum(escrow.take(later) for _ in range(1000)) <= escrow.bucket_capacity(later)
    assert escrow.available_per_s(later) == escrow.share_per_s and not escrow.borrowed


def test_leases_of_an_earlier_process_are_held_back_until_they_expire() -> None:
    earlier = QuotaEscrow(0, 3, QUOTA_PER_S, 0, 1)
    now = 10 * SECOND
    ((to, message),) = earlier.receive(now, 1, MESSAGE.pack(QuotaMessageKind.REQUEST, 5, 1_000_000))
    kind, nonce, lent = MESSAGE.unpack(message)
    assert (
        to == 1 and kind == QuotaMessageKind.GRANT and nonce == 5 and lent == 30_000
    )  # three quarters of 40
    latest = QuotaEscrow(0, 3, QUOTA_PER_S, now, 2)
    assert latest.available_per_s(now) + lent / 1000 <= earlier.share_per_s
    assert latest.receive(now, 2, MESSAGE.pack(QuotaMessageKind.REQUEST, 6, 1_000_000)) == [], (
        "a router that has just started does not lend"
    )
    assert latest.available_per_s(now + int(LEASE_NS * (1 + CLOCK_DRIFT_FRACTION))) == latest.share_per_s


@given(st.binary(max_size=20), st.integers(-2, 4))
@budget(max_examples=500)
def test_malformed_messages_change_nothing_that_is_available(data: bytes, sender: int) -> None:
    escrow = QuotaEscrow(0, 3, QUOTA_PER_S, 0, 1)
    now = 10 * SECOND
    with contextlib.suppress(QuotaEscrowError):
        escrow.receive(now, sender, data)
    assert not escrow.borrowed and escrow.available_per_s(now) <= escrow.share_per_s


def test_every_order_of_messages_failures_and_time_keeps_the_sum() -> None:
    """Explores all interleavings up to a depth.

    Two of three routers may request the whole quota; messages arrive, are lost, or arrive again; routers
    restart; and half the duration of a lease passes.
    """
    depth, start = 5, 10 * SECOND
    first = tuple(QuotaEscrow(n, 3, 12.0, 0, n) for n in range(3))
    seen: set[object] = set()
    states = 0

    def key(parts: tuple[QuotaEscrow, ...], messages: tuple[tuple[int, int, bytes], ...], now: int) -> object:
        rows = [
            (
                sorted((round(lease.rate_per_s, 6), lease.expires_at_ns) for lease in escrow.lent),
                sorted((round(lease.rate_per_s, 6), lease.expires_at_ns) for lease in escrow.borrowed),
                sorted(
                    (request.lender, request.sent_at_ns, request.requested_per_s)
                    for request in escrow.requests.values()
                ),
                escrow.lending_starts_at_ns,
            )
            for escrow in parts
        ]
        return repr(rows), messages, now

    def copies(parts: tuple[QuotaEscrow, ...]) -> tuple[QuotaEscrow, ...]:
        made = tuple(copy.copy(escrow) for escrow in parts)
        for escrow in made:
            escrow.lent, escrow.borrowed, escrow.requests = (
                list(escrow.lent),
                list(escrow.borrowed),
                dict(escrow.requests),
            )
        return made

    def explore(
        parts: tuple[QuotaEscrow, ...], messages: tuple[tuple[int, int, bytes], ...], now: int, left: int
    ) -> None:
        nonlocal states
        here = (key(parts, messages, now), left)
        if here in seen:
            return
        seen.add(here)
        states += 1
        assert sum(escrow.available_per_s(now) for escrow in parts) <= 12.0 + 1e-6
        if not left:
            return
        for n in range(2):  # the third only lends
            changed = copies(parts)
            request = changed[n]._request(now, (n + 1) % 3, 12.0)
            explore(changed, (*messages, (n, (n + 1) % 3, request)), now, left - 1)
        for message in messages[-3:]:
            source, to, data = message
            changed = copies(parts)
            answers = changed[to].receive(now, source, data)
            more = tuple((to, whom, answer) for whom, answer in answers)
            rest = tuple(other for other in messages if other is not message)
            explore(changed, rest + more, now, left - 1)
            explore(changed, messages + more, now, left - 1)  # the message may arrive again later
        for n in range(3):
            changed = copies(parts)
            fresh = QuotaEscrow(n, 3, 12.0, now, n + 100)
            explore((*changed[:n], fresh, *changed[n + 1 :]), messages, now, left - 1)
        explore(copies(parts), messages, now + LEASE_NS // 2, left - 1)

    explore(first, (), start, depth)
    assert states > 1000
