"""Draws what clients send: arrivals (Poisson), keys (Zipf), work, quotas, tries, and what faults add."""

import hashlib
import math
from bisect import bisect
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import accumulate
from random import Random

from rainhitch.rehearsal.faults import Fault
from rainhitch.rehearsal.plan_model import (
    MICROSECONDS_PER_MILLISECOND,
    MICROSECONDS_PER_SECOND,
    PlannedRequest,
    PlannedTry,
    random_stream,
    to_microseconds,
)
from rainhitch.rehearsal.scenario import Scenario, WorkClass

MAX_WORK_FACTOR = 8  # of the mean; longer work is cut
KEY_CHARACTERS = 16  # of a key's name
PRELUDE_GAP_S = 0.5  # from the prelude's end to the first scored instant
PRELUDE_WORK_US = 100  # of each read of the prelude
ANY_ROUTER = -1  # the front end chooses
EARLIEST_LEAVE_FRACTION = 0.1  # of its wait, after which an impatient client may disconnect


class KeyPopularity:
    """Which keys are read, and how often: Zipf's law over ranks; over time keys exchange their ranks."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        traffic = scenario.traffic
        self.seed = seed
        self.drift_random = random_stream(seed, "drift")
        weights = ((rank + 1 + traffic.offset) ** -traffic.zipf for rank in range(traffic.keys))
        self.cumulative_weights = list(accumulate(weights))
        self.key_by_rank = list(range(traffic.keys))
        self.swaps_per_s = traffic.drift * traffic.keys
        self.drifted_s = 0  # seconds whose exchanges are done

    def key_name(self, number: int | str) -> str:
        """The name of a key, the same for a seed and number."""
        return hashlib.sha256(f"{self.seed}/key/{number}".encode()).hexdigest()[:KEY_CHARACTERS]

    def key_at(self, at_us: int, cumulative_fraction: float) -> str:
        """The key at this fraction of all reads, most popular first; `at_us` never falls between calls."""
        while at_us >= (self.drifted_s + 1) * MICROSECONDS_PER_SECOND:
            self._drift_one_second()
        weight = cumulative_fraction * self.cumulative_weights[-1]
        rank = min(bisect(self.cumulative_weights, weight), len(self.cumulative_weights) - 1)
        return self.key_name(self.key_by_rank[rank])

    def _drift_one_second(self) -> None:
        """Exchanges the ranks of as many pairs of keys as do so in a second."""
        ranks = self.key_by_rank
        self.drifted_s += 1
        for _ in range(int(self.swaps_per_s)):
            one = self.drift_random.randrange(len(ranks))
            other = self.drift_random.randrange(len(ranks))
            moved = ranks[one]
            ranks[one] = ranks[other]
            ranks[other] = moved


@dataclass(slots=True)
class QuotaBucket:
    """A customer's token bucket."""

    quota_per_s: float
    tokens: float
    filled_at_us: int = 0


class CustomerQuotas:
    """Which requests are beyond their customer's quota: a token bucket each, one second of its quota deep.

    Not the router's bucket: the plan says what is beyond a quota without the code that is under test.
    """

    def __init__(self, scenario: Scenario) -> None:
        whole_share = scenario.whole_customer_share()
        quotas = [
            scenario.traffic.quota_rps * customer.share / whole_share for customer in scenario.customers
        ]
        self.buckets = [QuotaBucket(quota, max(1.0, quota)) for quota in quotas]

    def is_exceeded(self, customer: int, at_us: int) -> bool:
        """Whether a request of this customer is beyond its quota; takes a token where it is not."""
        bucket = self.buckets[customer]
        since_us = at_us - bucket.filled_at_us
        filled = bucket.tokens + bucket.quota_per_s * since_us / MICROSECONDS_PER_SECOND
        bucket.tokens = min(filled, max(1.0, bucket.quota_per_s))
        bucket.filled_at_us = at_us
        if bucket.tokens < 1:
            return True
        bucket.tokens -= 1
        return False


def draw_prelude(scenario: Scenario, seed: int, warm_keys: list[str]) -> list[PlannedRequest]:
    """One read of each warm key, evenly spread, so that the run begins with caches that hold popular keys."""
    read_classes = [number for number, work_class in enumerate(scenario.classes) if not work_class.write]
    if not read_classes:
        return []
    random = random_stream(seed, "prelude")
    begin_us = -to_microseconds(scenario.day.prelude_s + PRELUDE_GAP_S)
    length_us = to_microseconds(scenario.day.prelude_s)
    class_index = read_classes[0]
    wait_ms = int(scenario.classes[class_index].deadline_ms)
    requests = []
    for number, key in enumerate(warm_keys):
        customer = random.randrange(len(scenario.customers))
        only_try = PlannedTry(_draw_id(random), wait_ms, backoff_us=0, leaves_us=0)
        requests.append(
            PlannedRequest(
                at=begin_us + length_us * number // len(warm_keys),
                room=number % len(scenario.fleet.rooms),
                cls=class_index,
                customer=customer,
                key=key,
                work_us=PRELUDE_WORK_US,
                over=False,
                honours=True,
                order="",
                router=ANY_ROUTER,
                tries=[only_try],
            )
        )
    return requests


def draw_requests(scenario: Scenario, seed: int, keys: KeyPopularity) -> list[PlannedRequest]:
    """What clients send in the scored time: the ordinary arrivals, and what faults add and change."""
    random = random_stream(seed, "asks")
    requests = [_draw_request(scenario, random, keys, at_us) for at_us in _arrival_times_us(scenario, seed)]
    for number, fault in enumerate(scenario.faults):
        requests += _draw_added_requests(scenario, seed, fault, number + 1)
    requests.sort(key=lambda request: (request.at, request.tries[0].id))
    for fault in scenario.faults:
        if fault.kind in ("hot-keys", "key-flood"):
            _change_keys(scenario, seed, keys, fault, requests)
    quotas = CustomerQuotas(scenario)
    for request in requests:
        request.over = quotas.is_exceeded(request.customer, request.at)
    return requests


def _arrival_times_us(scenario: Scenario, seed: int) -> Iterator[int]:
    """Arrivals: a Poisson process whose rate varies over the run, by thinning one of the highest rate."""
    random = random_stream(seed, "arrivals")
    shape_random = random_stream(seed, "shape")
    traffic = scenario.traffic
    length_s = scenario.day.length_s
    highest_level = 1 + traffic.swing
    levels_by_second = [1 + traffic.swing * shape_random.uniform(-1, 1) for _ in range(int(length_s) + 2)]
    wave_phase = shape_random.random()
    at_s = 0.0
    while True:
        at_s += _exponential_gap_s(random, traffic.rate * highest_level)
        if at_s >= length_s:
            return
        level = 1.0
        if traffic.shape == "bursty":
            level = levels_by_second[int(at_s)]
        elif traffic.shape == "wave":
            level = 1 + traffic.swing * math.sin(2 * math.pi * (at_s / length_s + wave_phase))
        if random.random() * highest_level < level:
            yield to_microseconds(at_s)


def _exponential_gap_s(random: Random, rate_per_s: float) -> float:
    """The time to the next arrival of a Poisson process."""
    return -math.log(1 - random.random()) / rate_per_s


def _draw_added_requests(
    scenario: Scenario, seed: int, fault: Fault, fault_number: int
) -> list[PlannedRequest]:
    """What a surge or a storm of reconnects adds; from a stream of its own, it shifts no other draw."""
    if fault.kind not in ("surge", "reconnect-storm"):
        return []
    random = random_stream(seed, fault.kind, fault.at_s, fault.router)
    keys = KeyPopularity(scenario, seed)
    if fault.kind == "surge":
        times_us = _surge_times_us(fault, random, fault.share * scenario.traffic.rate)
    else:
        times_us = sorted(
            to_microseconds(random.uniform(fault.at_s, fault.until_s)) for _ in range(fault.clients)
        )
    requests = [_draw_request(scenario, random, keys, at_us) for at_us in times_us]
    for request in requests:
        request.origin = fault_number
        request.router = fault.router
        request.fresh = fault.kind == "reconnect-storm"
    return requests


def _surge_times_us(fault: Fault, random: Random, rate_per_s: float) -> list[int]:
    """The arrivals that a surge adds: a Poisson process of this rate while it lasts."""
    times_us = []
    at_s = fault.at_s + _exponential_gap_s(random, rate_per_s)
    while at_s < fault.until_s:
        times_us.append(to_microseconds(at_s))
        at_s += _exponential_gap_s(random, rate_per_s)
    return times_us


def _draw_index(random: Random, weights: list[float]) -> int:
    """An index, each as likely as its weight says."""
    return random.choices(range(len(weights)), weights)[0]


def _draw_id(random: Random) -> str:
    """A request id or idempotency key: 64 random bits in hexadecimal."""
    return f"{random.getrandbits(64):016x}"


def _draw_request(scenario: Scenario, random: Random, keys: KeyPopularity, at_us: int) -> PlannedRequest:
    """One request that arrives at this time. The order of the draws is part of what a seed promises."""
    class_index = _draw_index(random, [work_class.share for work_class in scenario.classes])
    customer = _draw_index(random, [customer.share * customer.usage for customer in scenario.customers])
    first_room_weight = 1 + scenario.traffic.room_skew
    room = _draw_index(random, [first_room_weight] + [1.0] * (len(scenario.fleet.rooms) - 1))
    work_class = scenario.classes[class_index]
    work_factor = min(-math.log(1 - random.random()), MAX_WORK_FACTOR)
    work_us = round(work_factor * work_class.work_ms * MICROSECONDS_PER_MILLISECOND)
    key = keys.key_at(at_us, random.random())
    tries = [
        _draw_try(scenario, random, work_class, number) for number in range(1 + scenario.clients.retries)
    ]
    idempotency_key = _draw_id(random)
    honours_retry_after = random.random() < scenario.clients.honour
    return PlannedRequest(
        at=at_us,
        room=room,
        cls=class_index,
        customer=customer,
        key=key,
        work_us=max(1, work_us),
        over=False,
        honours=honours_retry_after,
        order=idempotency_key if work_class.repeats == "keyed" else "",
        router=ANY_ROUTER,
        tries=tries,
    )


def _draw_try(scenario: Scenario, random: Random, work_class: WorkClass, number: int) -> PlannedTry:
    """One try of a request, from 0; the backoff before a retry doubles from the second retry on."""
    clients = scenario.clients
    wait_ms = random.uniform(*clients.give_up) * work_class.deadline_ms
    backoff_ms = 0.0
    if number > 0:
        backoff_ms = random.uniform(*clients.backoff_ms) * 2 ** (number - 1)
    leaves_ms = 0.0
    if random.random() < clients.impatient:
        leaves_ms = random.uniform(EARLIEST_LEAVE_FRACTION, 1.0) * wait_ms
    return PlannedTry(
        id=_draw_id(random),
        wait_ms=max(1, round(wait_ms)),
        backoff_us=round(backoff_ms * MICROSECONDS_PER_MILLISECOND),
        leaves_us=round(leaves_ms * MICROSECONDS_PER_MILLISECOND),
    )


def _change_keys(
    scenario: Scenario, seed: int, keys: KeyPopularity, fault: Fault, requests: list[PlannedRequest]
) -> None:
    """Hot keys and key floods: a part of the requests that come during the fault are for other keys."""
    ordinary_random = random_stream(seed, fault.kind, fault.at_s, "")
    added_random = random_stream(seed, fault.kind, fault.at_s, "added")
    begin_us = to_microseconds(fault.at_s)
    end_us = to_microseconds(fault.until_s)
    hot_keys = [keys.key_name(f"{fault.kind}/{fault.at_s}/{number}") for number in range(fault.keys)]
    for request in requests:
        if not begin_us <= request.at < end_us:
            continue
        random = added_random if request.origin else ordinary_random
        is_chosen = random.random() < fault.share
        hot_key = hot_keys[random.randrange(fault.keys)]
        if is_chosen and fault.kind == "hot-keys":
            request.key = hot_key
        elif is_chosen and not scenario.classes[request.cls].write:
            request.key = keys.key_name(f"{fault.kind}/{fault.at_s}/once/{request.tries[0].id}")
