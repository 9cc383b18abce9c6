"""Limits of the decisions: quotas and allowances shared by all routers, and this router's own connections.

A router without a free local connection has none for any other server either.
"""

import pytest
from support import MILLI, SECOND, Router, fleet, settings

from rainhitch import interface as api
from rainhitch.interface import AttemptStatus

QUOTA = 40.0


def two_tenant_router(**changes: object) -> Router:
    """Returns one of ten routers, with two tenants."""
    return Router(settings(router_count=10, tenants=[api.Tenant(QUOTA), api.Tenant(QUOTA)], **changes))


def over_quota_fraction(router: Router, rate: int, seconds: int, fractions: list[float] | None) -> float:
    """Returns the fraction of the second tenant's requests that count as over its quota."""
    over_quota_count = 0
    for n in range(rate * seconds):
        router.wait(SECOND // rate)
        if fractions is not None:
            router.handle(api.TrafficFractions(fractions, SECOND))
        over_quota_count += router.balancer.tenant_quotas.count_and_check_quota(
            api.Request(str(n), 0, 0, "k", tenant=1)
        )
    return over_quota_count / (rate * seconds)


def test_a_tenant_within_its_quota_is_never_over_quota_however_unevenly_its_traffic_comes() -> None:
    """Guards against requests within the quota that count as over it.

    Nearly all requests of a small tenant came to one router, which enforced a tenth of its quota, or the
    fraction of the median tenant.
    """
    assert over_quota_fraction(two_tenant_router(), 30, 20, [0.0, 0.9]) == 0
    assert over_quota_fraction(two_tenant_router(), 30, 20, None) > 0.5, "the estimate must be lower"


@pytest.mark.parametrize(("part", "wanted"), [(0.5, 0.5), (1.0, 0.0), (0.25, 0.75), (0.0, 0.9)])
def test_requests_beyond_the_routers_fraction_of_the_quota_are_over_quota(part: float, wanted: float) -> None:
    assert over_quota_fraction(two_tenant_router(), int(QUOTA), 30, [0.0, part]) == pytest.approx(
        wanted, abs=0.05
    )


def test_a_single_fraction_holds_for_all_tenants() -> None:
    assert over_quota_fraction(two_tenant_router(), int(QUOTA), 30, [0.5]) == pytest.approx(0.5, abs=0.05)


def test_a_surge_of_all_tenants_gives_no_router_more_than_the_whole_quota() -> None:
    """Guards against an estimated traffic fraction above 1 at a router without counts from the others.

    Ten times the load of all tenants was taken for ten times the router's fraction, and no request counted as
    over quota for seconds.
    """
    router = two_tenant_router()
    for n in range(4000):
        router.wait(SECOND // 800)
        router.balancer.tenant_quotas.count_and_check_quota(api.Request(f"a{n}", 0, 0, "k", tenant=0))
        router.balancer.tenant_quotas.count_and_check_quota(api.Request(f"b{n}", 0, 0, "k", tenant=1))
    assert router.balancer.tenant_quotas.traffic_fractions == [1]


def test_a_traffic_fraction_expires() -> None:
    router = two_tenant_router()
    router.handle(api.TrafficFractions([1.0, 1.0], SECOND))
    router.wait(2 * SECOND)
    assert over_quota_fraction(router, int(QUOTA), 10, None) > 0.5


def test_a_request_without_a_local_connection_is_rejected_at_once() -> None:
    """Guards against retries for lack of local connections, which use up the retry budget.

    A router at its own connection limit tried five servers per request, and nothing of the budget was left
    for requests whose server had failed.
    """
    router = Router(settings(), fleet(6))
    before = {name: server.latency.average_ns for name, server in router.balancer.servers.servers.items()}
    for n in range(20):
        _, (send,) = router.request(f"k{n}")
        (refused,) = router.end_attempt(send, AttemptStatus.NO_LOCAL_CONNECTION, 0, 1)
        assert refused == api.Reject(send.id, refused.retry_after_ns)  # type: ignore[union-attr]
        assert refused.reason == "room"
    assert {
        name: server.latency.average_ns for name, server in router.balancer.servers.servers.items()
    } == before
    assert not any(
        server.in_flight or server.connection.consecutive_failures
        for server in router.balancer.servers.servers.values()
    )


def test_a_write_waits_for_a_local_connection_within_its_latency_objective() -> None:
    router = Router(settings(), fleet(6))
    _, (send,) = router.request("k", 1, write=True)
    assert router.end_attempt(send, AttemptStatus.NO_LOCAL_CONNECTION, 0, 1) == []
    assert [type(action) for action in router.wait(200 * MILLI)] == [api.StartAttempt]


def test_reads_of_the_origin_stop_at_the_fleets_read_allowance() -> None:
    router = Router(settings(), fleet(6))
    left = [1]

    def allowance(now: int) -> bool:
        left[0] -= 1
        return left[0] >= 0

    router.balancer.attempt_admission.fleet_read_allowance = allowance
    outcomes = []
    for n in range(3):
        _, (send,) = router.request(f"k{n}")
        outcomes.append(router.end_attempt(send, AttemptStatus.MISS)[0])
    assert isinstance(outcomes[0], api.StartAttempt)
    assert [outcome.reason for outcome in outcomes[1:] if isinstance(outcome, api.Reject)] == [
        "total",
        "total",
    ]
    name, (send,) = router.request("w", 1, write=True)
    assert isinstance(send, api.StartAttempt) and send.id == name, "writes must not need the allowance"
