"""The schedule of calls to discovery.

Every change is known before MAX_STALENESS_S have passed, whenever discovery is down or does not respond.
"""

import heapq
import itertools
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support import SECOND, Router, settings

from rainhitch import interface as api
from rainhitch.node.polling import MAX_STALENESS_S, POLLED_TIMES, PUSHED_TIMES, PollSchedule, PollTimes
from rainhitch.policy.server_registry import MAX_POLL_RETRY_NS

NO_JITTER = 1.0  # fraction that gives the longest pause


def staleness_s(
    times: PollTimes,
    polled: bool,
    change: float,
    outages: list[tuple[float, float]],
    silent_from: float,
    *,
    begin: float = 0.0,
    jitter: float = NO_JITTER,
) -> float:
    """Returns the seconds for which a change stays unknown after discovery has it and is reachable.

    The time counts from the change, from `begin` or from the end of the last outage, whichever is last. A
    watch that is held at `silent_from` gets no response. While discovery is up it responds at once; while it
    is down it does not respond, not even to calls that it holds.
    """

    def up_at(at: float) -> float:
        for start, end in outages:
            if start <= at < end:
                return end
        return at

    def broken(start: float, end: float) -> bool:
        return any(down < end and start < back for down, back in outages)

    polling, now, known = PollSchedule(times, polled, lambda: jitter), begin, False
    while True:
        call = polling.call()
        until = now + call.timeout_s
        answer = now
        if call.hold_s:  # the response comes with the change, at the end of the hold, or never
            answer = max(now, change) if not known and change <= now + call.hold_s else now + call.hold_s
            if now <= silent_from <= answer:
                answer = until + 1
        if answer > until or broken(now, answer) or up_at(now) > now:
            now = until
            pause = polling.failed()
            now += MAX_POLL_RETRY_NS / SECOND * jitter if pause is None else pause
        else:
            now = answer
            polling.succeeded()
            known = change <= now
            if known:
                return now - max([change, begin, *(back for _, back in outages if back <= now)])


@pytest.mark.parametrize(("times", "polled"), [(PUSHED_TIMES, False), (POLLED_TIMES, True)])
def test_the_longest_staleness_leaves_time_for_a_late_event_loop(times: PollTimes, polled: bool) -> None:
    assert times.max_staleness_s() <= MAX_STALENESS_S - 0.5
    assert times.max_pause_s >= MAX_POLL_RETRY_NS / SECOND or not polled


@pytest.mark.parametrize(("times", "polled"), [(PUSHED_TIMES, False), (POLLED_TIMES, True)])
def test_no_interleaving_of_outages_and_silences_hides_a_change_for_longer_than_stated(
    times: PollTimes, polled: bool
) -> None:
    grid = [n * 0.4 for n in range(18)]
    lengths = [0.2, 1.0, 2.6, 8.0]
    worst = 0.0
    for change, start, length, silent in itertools.product(grid, grid, lengths, grid):
        outages = [(start, start + length), (start + length + 0.3, start + length + 0.9)]
        worst = max(worst, staleness_s(times, polled, change, outages, silent))
    assert worst <= times.max_staleness_s() + 1e-9
    assert worst > times.max_staleness_s() / 2  # the computed limit is not far above the worst case


@given(
    st.sampled_from([(PUSHED_TIMES, False), (POLLED_TIMES, True)]),
    st.floats(0, 30),
    st.lists(st.tuples(st.floats(0, 30), st.floats(0.01, 9)), max_size=5),
    st.floats(0, 30),
    st.floats(0.5, 1),
)
def test_no_history_of_outages_hides_a_change_for_longer_than_stated(
    kind: tuple[PollTimes, bool],
    change: float,
    outages: list[tuple[float, float]],
    silent: float,
    jitter: float,
) -> None:
    downs, end = [], 0.0
    for start, length in sorted(outages):
        if start > end:
            downs.append((start, end := start + length))
    times, polled = kind
    assert staleness_s(times, polled, change, downs, silent, jitter=jitter) <= times.max_staleness_s() + 1e-9


class CrowdedDiscovery:
    """Discovery as one service for all routers: works through calls in turn, each taking `service_s`.

    Refuses a call at once that would wait for more than MAX_QUEUE_WAIT_S. A call that its router gives up
    still takes its turn. A watch that follows the last response at once takes none.
    """

    MAX_QUEUE_WAIT_S = 2.0

    def __init__(self, service_s: float) -> None:
        self.service_s = service_s
        self.free_at_s = 0.0

    def answer_at_s(self, now_s: float, goes_on: bool) -> float | None:
        """Returns when a call made now is answered, None if it is refused."""
        if goes_on:
            return now_s
        start_s = max(self.free_at_s, now_s)
        if start_s - now_s > self.MAX_QUEUE_WAIT_S:
            return None
        self.free_at_s = start_s + self.service_s
        return self.free_at_s


def stalest_s(router_count: int, service_s: float, seed: int, length_s: float = 30.0) -> tuple[float, int]:
    """Returns the longest time between two responses to a router, and how many responses came too late.

    All routers make their first call at once.
    """
    random = Random(seed)
    discovery = CrowdedDiscovery(service_s)
    polls = [PollSchedule(POLLED_TIMES, True, lambda: random.uniform(0.5, 1)) for _ in range(router_count)]
    last_response_s = [0.0] * router_count
    watches = [False] * router_count
    due = [(0.0, router) for router in range(router_count)]
    longest_s = 0.0
    late_count = 0
    while due[0][0] < length_s:
        now_s, router = heapq.heappop(due)
        poll = polls[router]
        call = poll.call()
        answer_s = discovery.answer_at_s(now_s, watches[router])
        if answer_s is not None and answer_s - now_s <= call.timeout_s:
            poll.succeeded()
            watches[router] = call.is_watch
            next_s = max(answer_s, now_s + call.hold_s)
            longest_s = max(longest_s, next_s - last_response_s[router])
            last_response_s[router] = next_s
        else:
            late_count += answer_s is not None
            watches[router] = False
            pause_s = poll.failed()
            if pause_s is None:
                pause_s = MAX_POLL_RETRY_NS / SECOND * random.uniform(0.5, 1)
            next_s = (now_s if answer_s is None else now_s + call.timeout_s) + pause_s
        heapq.heappush(due, (next_s, router))
    return max(longest_s, length_s - min(last_response_s)), late_count


ROUTER_COUNTS = (20, 32, 100)
SEEDS = range(5)
# Times in which discovery can take one call from every router.
FLEET_CALL_TIMES_S = (2.0, 3.0, 4.0)


@pytest.mark.parametrize("fleet_call_s", FLEET_CALL_TIMES_S)
def test_no_call_is_given_up_that_a_crowded_discovery_answers(fleet_call_s: float) -> None:
    """Routers gave up calls after 1.6 s in a queue of up to 2 s, and asked again: the queue never emptied.

    Some learned of a drain 11 s after discovery had it.
    """
    for router_count, seed in itertools.product(ROUTER_COUNTS, SEEDS):
        _, late_count = stalest_s(router_count, fleet_call_s / router_count, seed)
        assert late_count == 0


def test_a_change_is_known_in_time_while_routers_crowd_discovery() -> None:
    """Routers that all begin at once must know a change in time, however long discovery takes for a call."""
    for router_count, seed, fleet_call_s in itertools.product(ROUTER_COUNTS, SEEDS, FLEET_CALL_TIMES_S):
        longest_s, _ = stalest_s(router_count, fleet_call_s / router_count, seed)
        assert longest_s <= MAX_STALENESS_S


def test_an_agent_that_returns_is_asked_again_within_a_drains_grace() -> None:
    assert PUSHED_TIMES.timeout_s + PUSHED_TIMES.max_pause_s < 1.0


def test_a_failed_watch_is_followed_by_a_call_for_the_whole_list_even_where_polled() -> None:
    polling = PollSchedule(POLLED_TIMES, True, lambda: NO_JITTER)
    polling.succeeded()
    assert polling.call().hold_s == POLLED_TIMES.hold_s
    assert polling.failed() == POLLED_TIMES.first_pause_s  # perhaps only the watch has failed
    assert polling.call().hold_s == 0
    assert polling.failed() is None
    polling.succeeded()
    assert polling.call().hold_s


def test_the_decisions_ask_again_in_time_however_many_calls_failed() -> None:
    router = Router(settings(endpoints_polled=True))
    for _ in range(8):
        router.handle(api.EndpointUpdate(api.EndpointUpdateKind.FAILED, []))
        assert api.WatchEndpoints() in router.wait(MAX_POLL_RETRY_NS)
