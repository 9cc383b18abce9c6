"""Wire compatibility with an earlier version, since a fleet is upgraded router by router.

`recorded_datagrams.json` has the datagrams that the earlier version sent in the runs below, and its resulting
state. Each run is deterministic: times, seeds and lost datagrams are fixed. Datagrams are hexadecimal.
"""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from rainhitch.fleet.datagram import ALL_ROUTERS
from rainhitch.fleet.failure_detector import FailureDetector
from rainhitch.fleet.gossip_codec import decode, encode, names_by_hash
from rainhitch.fleet.gossip_exchange import GossipExchange
from rainhitch.fleet.options import FleetOptions
from rainhitch.fleet.quota_escrow import QuotaEscrow
from rainhitch.fleet.tenant_usage import TenantUsage
from rainhitch.interface import LatencyObservation

RECORDING = Path(__file__).with_name("recorded_datagrams.json")
MILLI, SECOND = 1_000_000, 1_000_000_000
START = 1000 * SECOND
STEP = SECOND // 10
ROUTERS = 4
Run = list[Any]


def observations(number: int) -> list[LatencyObservation]:
    """Returns latencies of four servers, which depend on `number`."""
    return [
        LatencyObservation(
            f"cache-{(number * 7 + index) % 9}", (number + 1) * (index + 1) * 3 * MILLI, index == 2
        )
        for index in range(4)
    ]


def rows(latencies: list[LatencyObservation]) -> list[Any]:
    """Returns observations in the form of the recording."""
    return [
        [observation.server, observation.elapsed_ns, observation.is_in_flight] for observation in latencies
    ]


def latency_observations() -> Run:
    """Encodes and decodes latencies (0xA2), with one server that is not listed."""
    names = names_by_hash([f"cache-{number}" for number in range(8)])
    run: Run = []
    for number in range(12):
        data = encode(observations(number * number))
        run.append([data.hex(), rows(decode(data, names))])
    whole = encode([LatencyObservation(f"cache-{number}", number * MILLI) for number in range(200)])
    run.append([whole.hex(), rows(decode(whole, names))])
    return run


def tenant_usage() -> Run:
    """Exchanges usage reports (GossipExchange puts 0xC1 before them), with a router that restarts."""
    parts = [TenantUsage(router, ROUTERS, 3, 10 + router, START) for router in range(ROUTERS)]
    run: Run = []
    for step in range(1, 80):
        now = START + step * STEP
        if step == 50:
            parts[2] = TenantUsage(2, ROUTERS, 3, 99, now)
        for router, part in enumerate(parts):
            for tenant in range(3):
                for _ in range((step * (router + 1) + tenant) % 4):
                    part.add(tenant)
            part.advance_window(now)
            if step % 10 == router:
                data = part.encode()
                newer = [other.receive(now, router, data) for other in parts if other is not part]
                run.append([step, router, data.hex(), newer, part.requests_in_window(), part.fractions(now)])
    return run


def exchanged(
    parts: list[Any],
    steps: int,
    before_step: Callable[[int, int, list[Any]], None],
    state: Callable[[Any, int], Any],
) -> Run:
    """Steps all routers and delivers each datagram one step after it was sent; each eleventh is lost."""
    run: Run = []
    waiting: list[tuple[int, int, bytes]] = []
    sent = 0
    for step in range(1, steps):
        now = START + step * STEP
        before_step(step, now, parts)
        delivered, waiting = waiting, []
        replies = [
            (to, answered, payload)
            for source, to, data in delivered
            if parts[to] is not None
            for answered, payload in parts[to].receive(now, source, data)
        ]
        for router, part in enumerate(parts):
            if part is not None:
                replies += [(router, to, payload) for to, payload in part.step(now)]
        for source, to, payload in replies:
            sent += 1
            run.append([step, source, to, payload.hex()])
            if sent % 11:
                waiting.append((source, to, payload))
        if step % 20 == 0:
            run.append([step, [None if part is None else state(part, now) for part in parts]])
    return run


def quota_escrow() -> Run:
    """Exchanges requests and grants of leases (0x51, 0x41), with a demand that moves between routers."""

    def before_step(step: int, now: int, parts: list[Any]) -> None:
        if step == 160:
            parts[3] = QuotaEscrow(3, ROUTERS, 120.0, now, 77)
        for router, part in enumerate(parts):
            for _ in range(9 if router == step // 60 % 2 else 1):
                part.take(now)

    def state(part: QuotaEscrow, now: int) -> Any:
        return [part.available_per_s(now), part.demand_per_s, part.tokens, part.denied]

    parts = [QuotaEscrow(router, ROUTERS, 120.0, START, router) for router in range(ROUTERS)]
    return exchanged(parts, 260, before_step, state)


def failure_detector() -> Run:
    """Exchanges pings, acks and ping-reqs (0x61 to 0x63), with a router that fails and restarts."""

    def before_step(step: int, now: int, parts: list[Any]) -> None:
        if step == 40:
            parts[3] = None
        if step == 220:
            parts[3] = FailureDetector(3, ROUTERS, 9, now, 33)
        if step == 300:
            parts[0].step(now + 3 * SECOND)  # the router resumes from a pause

    def state(part: FailureDetector, now: int) -> Any:
        return [part.live_routers(), part.generation, part.local_health_score, part.changes]

    parts = [FailureDetector(router, ROUTERS, router + 1, START, router) for router in range(ROUTERS)]
    return exchanged(parts, 400, before_step, state)


def gossip_exchange() -> Run:
    """Exchanges all kinds of datagrams by GossipExchange; includes the object of `fleet status`."""
    options = FleetOptions(counts=True, bounded=True, members=True, database_rps=40.0)
    exchanges = [
        GossipExchange(router, ROUTERS, 2, 5 + router, START, seed=router, options=options)
        for router in range(ROUTERS)
    ]
    for exchange in exchanges:
        exchange.set_servers([f"cache-{number}" for number in range(8)])
    run: Run = []
    waiting: list[tuple[int, int, bytes]] = []
    for step in range(1, 62):
        now = START + step * STEP
        sent: list[tuple[int, int, bytes]] = []
        for source, to, data in waiting:
            received = exchanges[to].receive(now, source, data)
            sent += [(to, answered, payload) for answered, payload in received.replies]
            if received.observations:
                run.append([step, to, rows(received.observations)])
        for router, exchange in enumerate(exchanges):
            if step % 2 == 0:
                data = exchange.encode_observations(now, observations(step + router))
                sent += [(router, ALL_ROUTERS, data)] if data else []
            for number in range((step + router) % 5):
                exchange.tenant_usage.add(number % 2)  # type: ignore[union-attr]
                if router == 0 or step % 10 == 0:  # one router needs more than its share and the others lend
                    exchange.quota_escrow.take(now)  # type: ignore[union-attr]
            sent += [(router, to, payload) for to, payload in exchange.step(now)]
            fractions = exchange.traffic_fractions(now)
            if fractions is not None:
                run.append([step, router, fractions.by_tenant, fractions.valid_for_ns])
            if step % 20 == 0:
                run.append([step, router, exchange.describe(now), list(exchange.describe(now))])
        waiting = []
        for source, to, payload in sent:
            run.append([step, source, to, payload.hex()])
            targets = [target for target in range(ROUTERS) if target != source] if to == ALL_ROUTERS else [to]
            waiting += [(source, target, payload) for target in targets]
    return run


RUNS: dict[str, Callable[[], Run]] = {
    run.__name__: run
    for run in (latency_observations, tenant_usage, quota_escrow, failure_detector, gossip_exchange)
}


@pytest.mark.parametrize("name", RUNS)
def test_datagrams_and_results_match_the_recording(name: str) -> None:
    """Guards against a version that sends bytes an earlier one does not read, or does not read its bytes."""
    recorded = json.loads(RECORDING.read_text())[name]
    made = json.loads(json.dumps(RUNS[name]()))
    for number, (made_row, recorded_row) in enumerate(zip(made, recorded, strict=True)):
        assert made_row == recorded_row, f"row {number} of {name}"


def test_recording_holds_each_kind_of_datagram() -> None:
    recorded = json.loads(RECORDING.read_text())["gossip_exchange"]
    datagrams = [bytes.fromhex(row[3]) for row in recorded if len(row) == 4 and isinstance(row[3], str)]
    assert {data[0] for data in datagrams} >= {0xA2, 0xC1, 0x51, 0x41, 0x61, 0x62}
    detector = json.loads(RECORDING.read_text())["failure_detector"]
    assert {int(row[3][:2], 16) for row in detector if len(row) == 4} == {0x61, 0x62, 0x63}
