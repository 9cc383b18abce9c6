"""Sixty routers in virtual time: failures that occur in a fleet only, and not with a single router."""

from benchmarks.fleet import Case, rejected_within_quota, run_case


def test_gossip_among_sixty_routers_does_not_leave_servers_idle() -> None:
    """Guards against a collapse with no fault at all.

    Each full connection table was published as a slow server. Slow servers got no requests, so nothing showed
    that they were idle, and they continued to count as slow. The service was 0.80.
    """
    service, broken, whole = run_case(Case("calm", 0.0, 60), seed=1, length_s=4.0)
    assert service > 0.92 and not broken
    assert rejected_within_quota(whole) < 0.02 * whole.taken
    assert whole.counts["words"]["heard"] > 40 * whole.counts["words"]["told"]
