"""What each router takes in, added up by all: within its error, whatever is lost, late, doubled or started
anew."""

import pytest
from hypothesis import given
from hypothesis import settings as budget
from hypothesis import strategies as st
from lossy import SECOND, World

from rainhitch.fleet.gossip_exchange import EVERYONE, GossipExchange
from rainhitch.fleet.options import FleetOptions
from rainhitch.fleet.tenant_usage import END, EVERY, MOST, WINDOW, TenantUsage, TenantUsageError


class Teller:
    """Counts that are told to all, as the exchange does it, with a rate of requests for each customer."""

    def __init__(self, me: int, routers: int, rates: list[float], life: int, now: int) -> None:
        self.counts = TenantUsage(me, routers, len(rates), life, now)
        self.me, self.routers, self.rates = me, routers, rates
        self.at = self.told = now
        self.owed = [0.0] * len(rates)

    def receive(self, now: int, sender: int, data: bytes) -> None:
        self.counts.receive(now, sender, data)

    def step(self, now: int) -> list[tuple[int, bytes]]:
        passed, self.at = now - self.at, now
        for customer, rate in enumerate(self.rates):
            self.owed[customer] += rate * passed / SECOND
            for _ in range(int(self.owed[customer])):
                self.counts.add(customer)
            self.owed[customer] %= 1
        self.counts.mark(now)
        if now - self.told < self.counts.interval_ns:
            return []
        self.told = now
        word = self.counts.encode()
        return [(other, word) for other in range(self.routers) if other != self.me]


def fleet(rates: list[list[float]], seed: int = 1, drift: float = 0.0) -> World:
    return World(len(rates), lambda me, life, now: Teller(me, len(rates), rates[me], life, now), seed, drift)


def parts(world: World, router: int) -> list[float]:
    made: list[float] = world.parts[router].counts.fractions(world.clock(router))
    return made


def test_parts_follow_each_customers_traffic_and_add_up_to_one() -> None:
    """Eighty percent of a customer's requests come to one router, and half of another's to each of two."""
    world = fleet([[80.0, 20.0], [10.0, 0.0], [10.0, 20.0]])
    world.go(3 * WINDOW)
    for customer, wanted in enumerate([[0.8, 0.1, 0.1], [0.5, 0.0, 0.5]]):
        found = [parts(world, router)[customer] for router in range(3)]
        assert found == pytest.approx(wanted, abs=0.03)
        assert sum(found) == pytest.approx(1, abs=0.03)


def test_traffic_that_moves_is_known_within_a_window_and_a_word() -> None:
    world = fleet([[90.0], [10.0], [0.0]])
    world.go(3 * WINDOW)
    for teller, rate in zip(world.parts, (0.0, 10.0, 90.0), strict=True):
        teller.rates = [rate]
    world.go(WINDOW + 2 * EVERY)
    assert [parts(world, router)[0] for router in range(3)] == pytest.approx([0.0, 0.1, 0.9], abs=0.03)


@pytest.mark.parametrize("fault", ["loss", "doubled", "late", "all"])
def test_lost_doubled_and_late_words_leave_the_sum_as_it_is(fault: str) -> None:
    rates = [[40.0], [20.0], [20.0], [20.0]]
    world = fleet(rates, 3, 1 / 16)
    world.loss = 0.3 if fault in ("loss", "all") else 0.0
    world.doubled = 0.5 if fault in ("doubled", "all") else 0.0
    world.late = 3 * SECOND if fault in ("late", "all") else SECOND // 100
    world.go(5 * WINDOW)
    for _ in range(20):
        world.go(SECOND)
        assert [parts(world, router)[0] for router in range(4)] == pytest.approx(
            [0.4, 0.2, 0.2, 0.2], abs=0.08
        )


@pytest.mark.parametrize("heard_half", [False, True])
def test_half_of_a_fleet_reckons_with_the_other_half_still_there(heard_half: bool) -> None:
    """Guards the sum against two halves that each take the whole: who is not heard is as busy as the mean."""
    world = fleet([[20.0]] * 8)
    world.go(3 * WINDOW)
    world.cut = lambda source, to: (source < 4) != (to < 4) or not heard_half
    world.go((END + 2) * EVERY)
    for router in range(8):
        found = parts(world, router)
        assert found == (pytest.approx([1 / 8], abs=0.02) if heard_half else []), "alone it says nothing"


def test_a_router_that_restarts_or_wakes_up_counts_once_and_its_earlier_life_no_more() -> None:
    world = fleet([[30.0], [30.0], [30.0]])
    world.go(2 * WINDOW)
    old = world.parts[1].counts.encode()
    world.kill(1)
    world.go(2 * SECOND)
    world.start(1)
    world.go(2 * WINDOW)
    listener = world.parts[0].counts
    assert not listener.receive(world.clock(0), 1, old), "a word from an earlier life"
    again = world.parts[1].counts.encode()
    assert listener.receive(world.clock(0), 1, again) and not listener.receive(world.clock(0), 1, again)
    world.stopped[2] = True
    world.go((END + 1) * EVERY)
    world.stopped[2] = False
    world.go(2 * WINDOW)
    assert [parts(world, router)[0] for router in range(3)] == pytest.approx([1 / 3] * 3, abs=0.04)


@budget(max_examples=300)
@given(st.lists(st.tuples(st.integers(1, 2), st.integers(1, 3), st.integers(0, 9)), max_size=8), st.randoms())
def test_words_merge_to_the_same_in_every_order_and_however_often(
    words: list[tuple[int, int, int]], random: object
) -> None:
    """Commutative, associative, idempotent: of one author's words the one of the highest life and number."""
    told = {}
    for life, number, taken in words:
        told[life, number] = taken  # an author tells one thing under one life and number

    def word(life: int, number: int) -> bytes:
        one = TenantUsage(1, 2, 1, life, 0)
        one.number = number - 1
        for _ in range(told[life, number]):
            one.add(0)
        return one.encode()

    made = [word(life, number) for life, number in told]
    shuffled = made * 2
    random.shuffle(shuffled)  # type: ignore[attr-defined]
    here, there = TenantUsage(0, 2, 1, 1, 0), TenantUsage(0, 2, 1, 1, 0)
    for data in made:
        here.receive(0, 1, data)
    for data in shuffled:
        there.receive(0, 1, data)
    assert here.others == there.others
    if told:
        assert here.others[1].taken == (told[max(told)],)


def test_many_customers_are_told_as_one_and_a_word_is_bounded() -> None:
    for customers in (1, MOST, MOST + 1, 500):
        one = TenantUsage(0, 200, customers, 1, 0)
        one.add(customers - 1)
        assert len(one.encode()) <= 8 + 2 * MOST
        assert len(one.taken()) == (customers if customers <= MOST else 1) and sum(one.taken()) == 1


@given(st.binary(max_size=40), st.integers(-1, 3))
def test_noise_is_turned_down_or_is_a_word(data: bytes, sender: int) -> None:
    one = TenantUsage(0, 3, 2, 1, 0)
    try:
        one.receive(0, sender, data)
    except TenantUsageError:
        assert not one.others
    else:
        assert set(one.others) <= {sender} and len(data) == 12


def test_words_heard_a_second_do_not_grow_with_the_fleet() -> None:
    """Three hundred routers: what one sends, and so what it hears, is bounded."""
    for routers in (3, 60, 300):
        exchange = GossipExchange(0, routers, 5, 1, 0, 7, FleetOptions(counts=True))
        sent = 0
        for step in range(1, 1201):
            sent += sum(to == EVERYONE for to, _ in exchange.step(step * SECOND // 10))
        assert (routers - 1) * sent / 120 <= 25
