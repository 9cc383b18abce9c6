"""Key migration after changes of the server list, by several routers over a simulated fleet."""

import math
from collections import OrderedDict
from collections.abc import Iterable
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support import MILLI, ORIGIN_KIND, SECOND, START, Router
from support import settings as router_settings

from rainhitch import interface as api
from rainhitch.interface import AttemptStatus
from rainhitch.policy.decision_context import DecisionContext
from rainhitch.policy.key_memory import MAX_KEYS
from rainhitch.policy.key_migration import MAX_MIGRATION_BURST, KeyMigration
from rainhitch.policy.key_popularity import KeyPopularity
from rainhitch.policy.origin_admission import OriginAdmission
from rainhitch.policy.throttle import Throttle


@pytest.fixture(autouse=True)
def no_hot_keys(monkeypatch: pytest.MonkeyPatch) -> None:
    """Turns off hot keys: a key that a few requests repeat would count as hot.

    Hot keys are tested in test_regressions.py.
    """
    monkeypatch.setattr(KeyPopularity, "count_and_spread", lambda self, key, server_count: 0)


class SimulatedFleet:
    """Caches with LRU eviction, an origin that counts its requests, and routers that read from both."""

    def __init__(self, nodes: int = 9, routers: int = 3, share: float = 0.5, memory: int = 200) -> None:
        self.memory = memory
        self.listed = {f"c{n:02}": api.Endpoint(f"c{n:02}") for n in range(nodes)}
        self.caches: dict[str, OrderedDict[str, int]] = {name: OrderedDict() for name in self.listed}
        self.versions: dict[str, int] = {}
        self.origin: list[int] = []  # times of the origin's requests
        self.cache_reads: list[tuple[int, str, str]] = []  # time, server, and "hit" or "miss"
        options = router_settings(
            router_count=routers, migration_fraction=share, classes=[api.RequestClass(SECOND, 2 * SECOND)]
        )
        origin = api.Endpoint("origin", kind=ORIGIN_KIND)
        self.routers = [Router(options, [*self.listed.values(), origin]) for _ in range(routers)]

    @property
    def now(self) -> int:
        """The time of the routers, ns."""
        return self.routers[0].now

    def wait(self, delay: int) -> None:
        """Advances the time of all routers by `delay` ns."""
        for router in self.routers:
            router.wait(delay)

    def update_list(self, *members: api.Endpoint, to: Iterable[int] | None = None) -> None:
        """Changes the endpoint list, at all routers or at those in `to`."""
        for member in members:
            self.listed[member.server] = member
            if member.state is api.EndpointState.GONE:
                del self.listed[member.server]
                self.caches.pop(member.server, None)
            else:
                self.caches.setdefault(member.server, OrderedDict())
        for number in range(len(self.routers)) if to is None else to:
            self.routers[number].handle(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, list(members)))

    def join(self, name: str, to: Iterable[int] | None = None) -> None:
        """Adds a server to the list."""
        self.update_list(api.Endpoint(name), to=to)

    def leave(self, name: str) -> None:
        """Removes a server from the list."""
        self.update_list(api.Endpoint(name, api.EndpointState.GONE))

    def execute_write(self, key: str) -> None:
        """Executes a write: the origin invalidates all cached copies."""
        self.versions[key] = self.versions.get(key, 0) + 1
        for cache in self.caches.values():
            cache.pop(key, None)

    def read(self, number: int, key: str) -> list[str]:
        """Runs one read to its end; returns the servers of its attempts."""
        router = self.routers[number]
        name, actions = router.request(key)
        sent: list[str] = []
        missed: list[str] = []
        while actions and isinstance(actions[0], api.StartAttempt):
            server = actions[0].server
            attempt, status, elapsed = len(sent), AttemptStatus.OK, 10 * MILLI
            sent.append(server)
            if server == "origin":
                self.origin.append(router.now)
                elapsed = 30 * MILLI
                for missed_server in missed[:2]:
                    self._store(missed_server, key)
            else:
                assert server in self.listed, "attempt at a server that is not on the list"
                held = self.caches[server].get(key)
                status = AttemptStatus.OK if held is not None else AttemptStatus.MISS
                assert held is None or held == self.versions.get(key, 0), "stale value read"
                if held is None:
                    missed.append(server)
                else:
                    self.caches[server].move_to_end(key)
                self.cache_reads.append((router.now, server, "hit" if held is not None else "miss"))
            closed = status is AttemptStatus.OK
            actions = router.handle(api.AttemptFinished(name, attempt, server, status, closed, elapsed))
        return sent

    def _store(self, server: str, key: str) -> None:
        cache = self.caches[server]
        cache[key] = self.versions.get(key, 0)
        cache.move_to_end(key)
        if len(cache) > self.memory:
            cache.popitem(last=False)

    def owner(self, key: str) -> str:
        """Returns the owner of a key at the first router."""
        return self.routers[0].balancer.placement.ranges.owner(key)

    def run(self, seconds: float, rate: int, keys: "Zipf") -> None:
        """Reads random keys at a rate, with the routers in turn."""
        for n in range(int(seconds * rate)):
            self.wait(SECOND // rate)
            self.read(n % len(self.routers), keys.next_key())

    def load(self, begin: int, end: int) -> list[int]:
        """Returns the origin requests in each second between two times."""
        counts = [0] * max(1, (end - begin) // SECOND)
        for at in self.origin:
            if begin <= at < begin + len(counts) * SECOND:
                counts[(at - begin) // SECOND] += 1
        return counts


class Zipf:
    """Random keys with a Zipf distribution, and some that are read only once."""

    def __init__(self, keys: int, once: float = 0.05, seed: int = 1) -> None:
        self.random, self.keys, self.once, self.count = Random(seed), keys, once, 0
        self.weights = [1 / (rank + 5) for rank in range(keys)]
        self.drawn: list[int] = []

    def next_key(self) -> str:
        """Returns a random key."""
        if self.random.random() < self.once:
            self.count += 1
            return f"once{self.count}"
        if not self.drawn:
            self.drawn = self.random.choices(range(self.keys), self.weights, k=1000)
        return f"k{self.drawn.pop()}"


def remove_tokens(fleet: SimulatedFleet) -> None:
    """Removes the migration tokens of all routers."""
    for router in fleet.routers:
        bucket = router.balancer.migration.bucket
        bucket.tokens = 0.0
        bucket.refilled_at_ns = router.now


def grow_fleet(share: float) -> tuple[float, int, SimulatedFleet]:
    """Adds a third more nodes to a warm fleet.

    Returns the origin's steady load before, its highest load in a second after, and the fleet.
    """
    fleet, keys = SimulatedFleet(share=share), Zipf(800)
    fleet.run(30, 200, keys)
    steady = sum(fleet.load(fleet.now - 10 * SECOND, fleet.now)) / 10
    begin = fleet.now
    for name in ("a00", "c04x", "d00"):
        fleet.join(name)
    fleet.run(100, 200, keys)
    return steady, max(fleet.load(begin, fleet.now)), fleet


def test_a_third_more_nodes_keep_the_origin_below_twice_its_steady_load() -> None:
    steady, most, fleet = grow_fleet(0.5)
    assert most < 2 * steady
    assert grow_fleet(-1.0)[1] > 3 * steady  # without a limit, all keys migrate at once
    # After the migration, keys are read at their new owners.
    assert all(router.balancer.migration.began_at_ns < 0 for router in fleet.routers)
    assert any("key migration finished" in line for line in fleet.routers[0].log)
    for n in range(100):
        for number in range(3):
            assert fleet.read(number, f"k{n}")[-1] == fleet.owner(f"k{n}")
    new_server_reads = [
        cache_read for cache_read in fleet.cache_reads[-4000:] if cache_read[1] in ("a00", "c04x", "d00")
    ]
    assert len(new_server_reads) > 400  # three of twelve servers are new


def test_until_it_migrates_a_key_is_read_from_its_holder() -> None:
    fleet = SimulatedFleet(share=0.0, routers=1)
    for key in ("k1", "k2", "k3"):
        fleet.read(0, key)
    held = {key: fleet.owner(key) for key in ("k1", "k2", "k3")}
    for n in range(9):
        fleet.join(f"a{n:02}")
    away = [key for key in held if fleet.owner(key) != held[key]]
    assert away
    remove_tokens(fleet)
    for key in away:
        assert fleet.read(0, key) == [held[key]]
    assert len(fleet.origin) == 3


def test_a_key_migrates_by_one_origin_read_and_later_reads_hit_at_its_owner() -> None:
    fleet = SimulatedFleet(routers=3)
    for number in range(3):
        fleet.read(number, "k1")
    before = fleet.owner("k1")
    fleet.join(next(f"a{n:02}" for n in range(20)))
    for n in range(20):
        if fleet.owner("k1") != before:
            break
        fleet.join(f"b{n:02}")
    after = fleet.owner("k1")
    for router in fleet.routers:
        router.balancer.migration.bucket.tokens = 1.0
    assert fleet.read(0, "k1") == [after, "origin"]
    assert fleet.read(1, "k1") == [after] and fleet.read(2, "k1") == [after]
    assert len(fleet.origin) == 2
    assert fleet.routers[1].balancer.migration.bucket.tokens >= 1  # put back, as the origin was not read


def change_owner(fleet: SimulatedFleet, key: str) -> str:
    """Adds servers until the key has another owner; returns the previous owner, which holds the key."""
    before = fleet.owner(key)
    for n in range(40):
        fleet.join(f"a{n:02}")
        if fleet.owner(key) != before:
            break
    remove_tokens(fleet)
    assert fleet.owner(key) != before
    return before


def test_a_key_that_its_holder_lacks_is_read_at_its_owner_before_the_origin() -> None:
    fleet = SimulatedFleet(routers=2)
    for number in range(2):
        fleet.read(number, "k1")
    holder = change_owner(fleet, "k1")
    fleet.caches[holder].clear()
    fleet._store(fleet.owner("k1"), "k1")  # migrated by another router
    assert fleet.read(0, "k1") == [holder, fleet.owner("k1")]
    fleet.caches[fleet.owner("k1")].clear()
    assert fleet.read(1, "k1") == [holder, fleet.owner("k1"), "origin"]  # the value is stored at both
    assert "k1" in fleet.caches[fleet.owner("k1")]


def test_the_last_attempt_is_left_for_the_origin() -> None:
    for attempts, sent_count in ((2, 2), (3, 3)):
        fleet = SimulatedFleet(routers=1)
        fleet.routers[0].balancer.settings.max_attempts = attempts
        fleet.read(0, "k1")
        holder = change_owner(fleet, "k1")
        fleet.caches[holder].clear()
        sent = fleet.read(0, "k1")
        assert len(sent) == sent_count and sent[0] == holder and sent[-1] == "origin"


def test_a_key_is_not_read_from_a_holder_that_left_the_list() -> None:
    fleet = SimulatedFleet(routers=1)
    fleet.read(0, "k1")
    holder = change_owner(fleet, "k1")
    fleet.leave(holder)
    assert holder not in fleet.read(0, "k1")


def test_a_retiring_server_owns_nothing_and_is_read_until_it_drains() -> None:
    fleet = SimulatedFleet(routers=1)
    fleet.read(0, "k1")
    holder = fleet.owner("k1")
    remove_tokens(fleet)
    fleet.update_list(api.Endpoint(holder, api.EndpointState.RETIRING))
    assert fleet.owner("k1") != holder and fleet.read(0, "k1") == [holder]
    assert holder not in fleet.read(0, "never seen")
    fleet.update_list(api.Endpoint(holder, api.EndpointState.DRAINING))
    assert fleet.read(0, "k1") == [fleet.owner("k1"), "origin"]


def test_a_holder_that_was_restarted_holds_nothing() -> None:
    fleet = SimulatedFleet(routers=1)
    fleet.read(0, "k1")
    holder = change_owner(fleet, "k1")
    fleet.wait(MILLI)
    fleet.update_list(api.Endpoint(holder, started_at_ns=fleet.now))
    assert fleet.read(0, "k1")[0] == fleet.owner("k1")


def test_a_write_during_a_migration_leaves_no_stale_value() -> None:
    """The origin invalidates both copies; SimulatedFleet fails if a stale value is read."""
    fleet = SimulatedFleet(routers=2)
    for number in range(2):
        fleet.read(number, "k1")
    holder = change_owner(fleet, "k1")
    fleet._store(fleet.owner("k1"), "k1")
    fleet.execute_write("k1")
    for number in (0, 1, 0, 1):
        assert fleet.read(number, "k1")
    assert holder in fleet.caches


def test_no_key_migrates_while_the_throttle_is_short_of_tokens() -> None:
    context = DecisionContext(router_settings(), 1)
    admission = OriginAdmission(context, lambda pending: None, lambda pending: None)
    migration = KeyMigration(context, admission)
    context.now_ns = START
    migration.bucket.tokens, migration.bucket.refilled_at_ns = MAX_MIGRATION_BURST, START
    throttle = admission.monitor.throttle = Throttle(START, 10.0, 10)
    throttle.level = throttle.bank - 1
    assert not migration.take_token()
    throttle.level = throttle.bank
    assert migration.take_token()


@given(
    st.lists(st.tuples(st.integers(0, SECOND // 4), st.booleans()), max_size=200),
    st.sampled_from([0.0, 0.25, 0.5, 2.0]),
)
def test_in_any_window_moves_are_a_part_of_what_the_origin_is_sent_besides(
    steps: list[tuple[int, bool]], share: float
) -> None:
    context = DecisionContext(router_settings(migration_fraction=share), 1)
    migration = KeyMigration(context, OriginAdmission(context, lambda pending: None, lambda pending: None))
    context.now_ns = START
    other_requests, taken = [], []
    for step, asks in steps:
        context.now_ns += step
        if asks and migration.take_token():
            taken.append(context.now_ns)
        elif not asks:
            migration.origin_request_sent(False)
            other_requests.append(context.now_ns)
    for n, begin in enumerate(taken):
        for m, end in enumerate(taken[n:], 1):
            # Earlier requests still have a small weight: e^-4 after 32 s.
            near = sum(math.exp(min(0.0, (at - begin) / (8 * SECOND))) for at in other_requests if at <= end)
            span = (end - begin) / SECOND
            assert m <= MAX_MIGRATION_BURST + 1 + 0.2 * span + share * near * (1 + span / 8)


@settings(max_examples=25)
@given(st.lists(st.tuples(st.sampled_from(["join", "leave", "late"]), st.integers(0, 11)), max_size=8))
def test_after_any_history_the_keys_are_at_their_owners_and_none_moved_twice_for_nothing(
    history: list[tuple[str, int]],
) -> None:
    fleet, keys = SimulatedFleet(nodes=5, routers=2, memory=400), Zipf(60, 0.1)
    fleet.run(4, 100, keys)
    owners: dict[str, set[str]] = {}
    for what, number in history:
        name = f"{'abc'[number % 3]}{number:02}"
        if what == "leave" and name in fleet.listed and len(fleet.listed) > 2:
            fleet.leave(name)
        elif what == "late" and name not in fleet.listed:
            fleet.join(name, to=[0])
            fleet.run(0.5, 100, keys)
            fleet.routers[1].handle(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, [api.Endpoint(name)]))
        elif what == "join" and name not in fleet.listed:
            fleet.join(name)
        for n in range(60):
            owners.setdefault(f"k{n}", set()).add(fleet.owner(f"k{n}"))
        fleet.run(1, 100, keys)
    fleet.run(40, 100, keys)
    for n in range(60):
        for number in range(2):
            for _ in range(3):
                last = fleet.read(number, f"k{n}")
                fleet.wait(4 * SECOND)
            assert last == [fleet.owner(f"k{n}")]
    moved = sum(router.balancer.migration.moved_keys for router in fleet.routers)
    assert moved <= 2 * sum(len(key_owners) for key_owners in owners.values())


def test_the_state_kept_for_keys_is_bounded_under_churn() -> None:
    fleet = SimulatedFleet(nodes=4, routers=1)
    memory = fleet.routers[0].balancer.key_memory
    for n in range(MAX_KEYS + 100):
        memory.remember(f"k{n}", n, "c00")
    for n in range(50):
        fleet.join(f"d{n:02}")
        fleet.leave(f"d{n:02}")
    assert len(memory.seen) == MAX_KEYS
    assert len(fleet.routers[0].balancer.placement.ranges.preference_lists) <= 5
    assert len(fleet.routers[0].balancer.context.timers) < 10
