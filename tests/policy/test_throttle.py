"""Throttle: token and queue sequences checked against expected values."""

from hypothesis import given, settings
from hypothesis import strategies as st

from rainhitch.interface import Request, RequestClass, Settings
from rainhitch.policy.decision_context import DecisionContext
from rainhitch.policy.origin_admission import OriginAdmission
from rainhitch.policy.pending_request import PendingRequest
from rainhitch.policy.throttle import INITIAL_TOKENS, MIN_TOTAL_CAPACITY, Throttle, TokenOffer

SECOND = 1_000_000_000
SPEC = RequestClass(latency_objective_ns=SECOND, deadline_ns=2 * SECOND)


def pending_request(name: str) -> PendingRequest:
    """Returns a request to offer to the throttle."""
    return PendingRequest(Request(name, 0, 2 * SECOND), SPEC, SECOND)


def test_requests_take_tokens_then_wait_and_then_are_rejected() -> None:
    throttle = Throttle(0, 10.0, MIN_TOTAL_CAPACITY)
    offers = [throttle.offer(pending_request(str(n))) for n in range(MIN_TOTAL_CAPACITY + 2)]
    admitted = [TokenOffer.ADMITTED] * INITIAL_TOKENS
    queued = [TokenOffer.QUEUED] * (MIN_TOTAL_CAPACITY - INITIAL_TOKENS)
    assert offers == admitted + queued + [TokenOffer.REJECTED] * 2
    assert throttle.level == -(MIN_TOTAL_CAPACITY - INITIAL_TOKENS)


def test_tokens_come_evenly_and_go_to_waiting_requests_in_order() -> None:
    throttle = Throttle(0, 10.0, MIN_TOTAL_CAPACITY)
    for n in range(4):
        throttle.offer(pending_request(str(n)))
    assert throttle.refill(SECOND // 10 - 1) == []
    assert [pending.request.id for pending in throttle.refill(SECOND // 10)] == ["2"]
    assert [pending.request.id for pending in throttle.refill(SECOND // 5)] == ["3"]
    assert throttle.level == 0


def test_a_full_token_bank_loses_tokens() -> None:
    throttle = Throttle(0, 10.0, MIN_TOTAL_CAPACITY)
    assert throttle.refill(5 * SECOND) == []
    assert throttle.level == throttle.bank == INITIAL_TOKENS


def test_lasting_overload_turns_buffer_into_bank_and_keeps_waiting_requests() -> None:
    throttle = Throttle(0, 10.0, MIN_TOTAL_CAPACITY)
    for n in range(6):
        throttle.offer(pending_request(str(n)))
    throttle.move_to_bank(MIN_TOTAL_CAPACITY)
    assert (throttle.bank, throttle.buffer) == (MIN_TOTAL_CAPACITY, 0)
    assert throttle.offer(pending_request("late")) is TokenOffer.REJECTED
    assert len(throttle.refill(SECOND)) == 4
    assert throttle.level == 6


def test_a_request_that_leaves_frees_its_place_in_the_buffer() -> None:
    throttle = Throttle(0, 10.0, MIN_TOTAL_CAPACITY)
    requests = [pending_request(str(n)) for n in range(4)]
    for pending in requests:
        throttle.offer(pending)
    assert throttle.remove(requests[2])
    assert not throttle.remove(requests[2])
    assert throttle.level == -1
    assert throttle.refill(SECOND // 10) == [requests[3]]


@settings(derandomize=True, max_examples=200)
@given(gaps=st.lists(st.integers(0, 3 * SECOND // 10), max_size=80), split=st.integers(0, MIN_TOTAL_CAPACITY))
def test_only_the_sum_of_capacities_sets_what_passes(gaps: list[int], split: int) -> None:
    """Checks Berger's theorem 2: from corresponding levels the same arrivals are blocked."""
    blocked = []
    for bank in (MIN_TOTAL_CAPACITY, split):
        throttle = Throttle(0, 10.0, MIN_TOTAL_CAPACITY)
        throttle.bank, throttle.buffer, throttle.level = bank, MIN_TOTAL_CAPACITY - bank, bank
        now, places = 0, []
        for place, gap in enumerate(gaps):
            now += gap
            throttle.refill(now)
            if throttle.offer(pending_request(str(place))) is TokenOffer.REJECTED:
                places.append(place)
        blocked.append(places)
    assert blocked[0] == blocked[1]


def test_a_read_answered_in_time_while_the_router_was_paused_counts_as_healthy() -> None:
    """Guards against a paused router that takes answers handled late for slow ones.

    One of three processes was stopped for 4 s, and two such reads turned on its throttle at its recent rate.
    """
    context = DecisionContext(Settings([SPEC]), 1)
    admission = OriginAdmission(context, lambda pending: None, lambda pending: None)
    for name in ("early", "late"):
        admission.read_started((name, 0), SECOND)
    context.now_ns += 4 * SECOND
    admission.read_finished(("early", 0), True, SECOND // 50)
    admission.read_finished(("late", 0), True, 4 * SECOND)
    assert (admission.monitor.healthy, admission.monitor.unhealthy) == (1, 1)
