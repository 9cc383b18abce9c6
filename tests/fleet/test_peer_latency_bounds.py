"""Bounds on other routers' latencies: one router's latency is bounded, two that agree count in full."""

from hypothesis import given
from hypothesis import strategies as st
from support import MILLI, SECOND, Router, settings

from rainhitch import interface as api
from rainhitch.fleet.peer_latency_bounds import EXPIRY_NS, MAX_AUTHORS, MAX_FACTOR, PeerLatencyBounds

OWN_INDEX = 0


def bounded_ns(bounds: PeerLatencyBounds, author: int, elapsed: int, now: int = 0, server: str = "c0") -> int:
    (bounded,) = bounds.bound(now, author, [api.LatencyObservation(server, elapsed)])
    return bounded.elapsed_ns


def test_one_author_alone_is_bounded_by_another_author_or_by_own_observations() -> None:
    bounds = PeerLatencyBounds(OWN_INDEX)
    bounds.record_own(0, [api.LatencyObservation("c0", 100 * MILLI)])
    for _ in range(20):  # repetition by one author does not lift the bound
        assert bounded_ns(bounds, 1, 9 * SECOND) == MAX_FACTOR * 100 * MILLI
    assert bounds.bounded_count == 20


def test_two_independent_authors_count_in_full_and_one_that_repeats_itself_does_not() -> None:
    bounds = PeerLatencyBounds(OWN_INDEX)
    bounds.record_own(
        0, [api.LatencyObservation("c0", 100 * MILLI), api.LatencyObservation("c1", 100 * MILLI)]
    )
    assert bounded_ns(bounds, 1, 3 * SECOND) < SECOND and bounded_ns(bounds, 1, 3 * SECOND) < SECOND
    assert bounded_ns(bounds, 2, 3 * SECOND) == 3 * SECOND


def test_without_another_author_the_mean_latency_bounds() -> None:
    bounds = PeerLatencyBounds(OWN_INDEX)
    for n in range(50):
        bounds.record_own(0, [api.LatencyObservation(f"s{n}", 100 * MILLI)])
    assert bounded_ns(bounds, 1, 9 * SECOND, server="new") <= 2 * MAX_FACTOR * 100 * MILLI


def test_a_latency_expires_whichever_author_published_it() -> None:
    bounds = PeerLatencyBounds(OWN_INDEX)
    bounds.record_own(0, [api.LatencyObservation("c0", 100 * MILLI)])
    bounded_ns(bounds, 1, 3 * SECOND)
    assert bounded_ns(bounds, 2, 3 * SECOND, now=EXPIRY_NS) == 3 * SECOND
    late = PeerLatencyBounds(OWN_INDEX)
    late.record_own(0, [api.LatencyObservation("c0", 100 * MILLI)])
    bounded_ns(late, 1, 3 * SECOND)
    assert bounded_ns(late, 2, 3 * SECOND, now=EXPIRY_NS + 1) < SECOND, "the first latency has expired"


def test_memory_is_bounded_by_the_endpoint_list_and_the_authors() -> None:
    bounds = PeerLatencyBounds(OWN_INDEX)
    for author in range(1, 100):
        bounds.bound(author, author, [api.LatencyObservation(f"s{n}", SECOND) for n in range(20)])
    assert all(len(authors) <= MAX_AUTHORS for authors in bounds.latencies.values())
    bounds.set_servers(["s1"])
    assert list(bounds.latencies) == ["s1"]


def average_latency_ns(bounded: bool) -> float:
    """Returns the average latency, ns, that a router has for a server that answers it in 100 ms.

    Another router publishes 20 s for that server in each interval.
    """
    router = Router(settings(router_count=40, gossip_interval_ns=200 * MILLI))
    bounds = PeerLatencyBounds(OWN_INDEX)
    server = router.balancer.servers.servers["c0"]
    for step in range(200):
        router.wait(200 * MILLI)
        if step % 5 == 0:
            seen = [api.LatencyObservation("c0", 100 * MILLI)]
            bounds.record_own(router.now, seen)
            server.latency.record_latency(router.now, 2 * SECOND, 100 * MILLI, 1)
        published = [api.LatencyObservation("c0", 20 * SECOND)]
        router.handle(api.GossipReceived(bounds.bound(router.now, 1, published) if bounded else published))
    return server.latency.average_ns


def test_one_faulty_router_makes_no_server_overloaded_for_the_others() -> None:
    """Guards against one router with a bad link or a slow core that keeps all others from using a server."""
    assert average_latency_ns(bounded=False) > 5 * SECOND
    assert average_latency_ns(bounded=True) <= MAX_FACTOR * 110 * MILLI


@given(st.lists(st.tuples(st.integers(1, 3), st.integers(1, 10**11)), max_size=30))
def test_no_latency_counts_for_more_than_observed_nor_than_twice_the_second_slowest(
    observed: list[tuple[int, int]],
) -> None:
    bounds = PeerLatencyBounds(OWN_INDEX)
    bounds.record_own(0, [api.LatencyObservation("c0", 100 * MILLI)])
    latest = {OWN_INDEX: 100 * MILLI}
    for author, elapsed in observed:
        others = max(time for by, time in latest.items() if by != author)
        assert bounded_ns(bounds, author, elapsed) == min(elapsed, MAX_FACTOR * others)
        latest[author] = elapsed
