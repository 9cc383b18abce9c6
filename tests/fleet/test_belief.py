"""What is believed of others' judgements: one wrong router costs at most a stated part, two that agree are
heard."""

from hypothesis import given
from hypothesis import strategies as st
from support import MILLI, SECOND, Router, settings

from rainhitch import interface as api
from rainhitch.fleet.peer_judgements import AUTHORS, BOUND, END, PeerJudgements

ME = 0


def told(belief: PeerJudgements, author: int, elapsed: int, now: int = 0, server: str = "c0") -> int:
    (one,) = belief.bound(now, author, [api.LatencyObservation(server, elapsed)])
    return one.elapsed_ns


def test_one_author_alone_is_bounded_by_what_another_has_said_or_this_router_has_seen() -> None:
    belief = PeerJudgements(ME)
    belief.record_own(0, [api.LatencyObservation("c0", 100 * MILLI)])
    for _ in range(20):  # however often it says so
        assert told(belief, 1, 9 * SECOND) == BOUND * 100 * MILLI
    assert belief.bounded == 20


def test_two_independent_authors_are_believed_and_one_that_says_it_twice_is_not() -> None:
    belief = PeerJudgements(ME)
    belief.record_own(
        0, [api.LatencyObservation("c0", 100 * MILLI), api.LatencyObservation("c1", 100 * MILLI)]
    )
    assert told(belief, 1, 3 * SECOND) < SECOND and told(belief, 1, 3 * SECOND) < SECOND
    assert told(belief, 2, 3 * SECOND) == 3 * SECOND


def test_where_nobody_else_has_said_anything_what_is_usual_bounds() -> None:
    belief = PeerJudgements(ME)
    for n in range(50):
        belief.record_own(0, [api.LatencyObservation(f"s{n}", 100 * MILLI)])
    assert told(belief, 1, 9 * SECOND, server="new") <= 2 * BOUND * 100 * MILLI


def test_a_word_ends_whoever_told_it() -> None:
    belief = PeerJudgements(ME)
    belief.record_own(0, [api.LatencyObservation("c0", 100 * MILLI)])
    told(belief, 1, 3 * SECOND)
    assert told(belief, 2, 3 * SECOND, now=END) == 3 * SECOND
    late = PeerJudgements(ME)
    late.record_own(0, [api.LatencyObservation("c0", 100 * MILLI)])
    told(late, 1, 3 * SECOND)
    assert told(late, 2, 3 * SECOND, now=END + 1) < SECOND, "the first word has ended"


def test_what_is_kept_is_bounded_by_the_list_and_the_authors() -> None:
    belief = PeerJudgements(ME)
    for author in range(1, 100):
        belief.bound(author, author, [api.LatencyObservation(f"s{n}", SECOND) for n in range(20)])
    assert all(len(words) <= AUTHORS for words in belief.said.values())
    belief.set_servers(["s1"])
    assert list(belief.said) == ["s1"]


def latency(believed: bool) -> float:
    """What a router expects of a server that answers it in 100 ms, while one other says 20 s in each
    period."""
    router = Router(settings(router_count=40, gossip_interval_ns=200 * MILLI))
    belief = PeerJudgements(ME)
    server = router.balancer.servers.servers["c0"]
    for step in range(200):
        router.wait(200 * MILLI)
        if step % 5 == 0:
            seen = [api.LatencyObservation("c0", 100 * MILLI)]
            belief.record_own(router.now, seen)
            server.latency.record_latency(router.now, 2 * SECOND, 100 * MILLI, 1)
        words = [api.LatencyObservation("c0", 20 * SECOND)]
        router.tell(api.GossipReceived(belief.bound(router.now, 1, words) if believed else words))
    return server.latency.average_ns


def test_a_router_that_lies_shuts_no_server_for_the_others() -> None:
    """Guards against one bad link, slow core or liar: taken as one's own, its word alone shut the server."""
    assert latency(believed=False) > 5 * SECOND
    assert latency(believed=True) <= BOUND * 110 * MILLI


@given(st.lists(st.tuples(st.integers(1, 3), st.integers(1, 10**11)), max_size=30))
def test_nobodys_word_counts_for_more_than_it_says_nor_twice_the_second_slowest(
    words: list[tuple[int, int]],
) -> None:
    belief = PeerJudgements(ME)
    belief.record_own(0, [api.LatencyObservation("c0", 100 * MILLI)])
    latest = {ME: 100 * MILLI}
    for author, elapsed in words:
        others = max(time for by, time in latest.items() if by != author)
        assert told(belief, author, elapsed) == min(elapsed, BOUND * others)
        latest[author] = elapsed
