"""Idempotency keys: one request per key has attempts in flight, and no key is forgotten too early."""

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from support import MILLI, SECOND, START, Router, settings

from rainhitch import interface as api
from rainhitch.interface import AttemptStatus
from rainhitch.overload.controller import OverloadController
from rainhitch.overload.idempotency_keys import IdempotencyKeyGuard, KeyAdmission

SERVER = api.Endpoint("o")
WINDOW = 3 * SECOND // 2


def router_with_overload_control(**changes: object) -> Router:
    """Returns a router with overload control; class 1 has keys and its repeats are dropped for WINDOW."""
    options = settings(**changes)
    return Router(options, overload_control=OverloadController(options, 7))


def write(
    router: Router, name: str, key: str = "o1", cls: int = 1, time_left_ns: int = 2 * SECOND
) -> list[api.Action]:
    """Handles the arrival of a write with this idempotency key and a deadline in `time_left_ns` ns."""
    return router.handle(api.Request(name, cls, router.now + time_left_ns, "k", True, 0, False, key))


def summaries(actions: list[api.Action]) -> list[str]:
    """Returns the type and the request's id of each action."""
    return [f"{type(action).__name__} {getattr(action, 'id', '')}" for action in actions]


def test_a_retry_starts_once_the_first_attempt_has_ended() -> None:
    """Guards against a write that is twice at the database because its client retried during an attempt."""
    router = router_with_overload_control()
    (first,) = write(router, "a")
    assert summaries([first]) == ["StartAttempt a"]
    router.handle(api.ClientGone("a"))
    assert write(router, "b") == []
    router.wait(300 * MILLI)
    assert summaries(router.end_attempt(first, AttemptStatus.OK)) == ["StartAttempt b"]


def test_several_retries_start_one_at_a_time_in_order_of_arrival() -> None:
    router = router_with_overload_control()
    (send,) = write(router, "a")
    for name in ("b", "c", "d"):
        assert write(router, name) == []
    for name in ("b", "c", "d"):
        (send,) = router.end_attempt(send, AttemptStatus.OK)
        assert summaries([send]) == [f"StartAttempt {name}"]


def test_a_retry_whose_deadline_passes_while_it_is_queued_gets_one_answer() -> None:
    router = router_with_overload_control()
    write(router, "a", time_left_ns=2 * SECOND)
    assert write(router, "b", time_left_ns=SECOND) == []
    assert summaries(router.wait(SECOND + MILLI)) == ["Reject b"]  # harmless, since repeats are still dropped


def test_a_retry_fails_once_repeats_of_the_earlier_attempt_are_not_dropped() -> None:
    """The first attempt times out; when the retry gets the key, a repeat would be executed a second time."""
    router = router_with_overload_control()
    (first,) = write(router, "a", time_left_ns=2 * SECOND)
    router.handle(api.ClientGone("a"))
    assert write(router, "b") == []
    router.wait(WINDOW + MILLI)
    assert summaries(router.end_attempt(first, AttemptStatus.TIMEOUT)) == ["Fail b"]


def test_a_later_retry_fails_within_the_retry_window_of_clients() -> None:
    router = router_with_overload_control()
    (first,) = write(router, "a")
    router.end_attempt(first, AttemptStatus.OK)
    router.wait(WINDOW + MILLI)
    assert summaries(write(router, "b")) == ["Fail b"]
    router.wait(2 * SECOND)
    assert summaries(write(router, "c")) == ["StartAttempt c"]


def test_an_attempt_that_never_executed_does_not_restrict_a_retry() -> None:
    router = router_with_overload_control()
    (first,) = write(router, "a")
    router.handle(api.ClientGone("a"))
    router.end_attempt(first, AttemptStatus.FULL)
    router.wait(WINDOW + MILLI)
    assert summaries(write(router, "b")) == ["StartAttempt b"]


def test_a_retry_stays_within_the_scope_that_drops_its_repeats() -> None:
    """Repeats of class 3 are dropped within a zone only; another zone would execute the write again."""
    router = router_with_overload_control(cache_aside=False, origin_kind=-1)
    (first,) = write(router, "a", cls=3)
    assert isinstance(first, api.StartAttempt)
    zone = router.balancer.servers.servers[first.server].endpoint.zone
    router.handle(api.ClientGone("a"))
    write(router, "b", cls=3)
    sent = router.end_attempt(first, AttemptStatus.RESET)
    while sent and isinstance(sent[0], api.StartAttempt):
        assert router.balancer.servers.servers[sent[0].server].endpoint.zone == zone
        sent = router.end_attempt(
            sent[0], AttemptStatus.FULL, router.balancer.requests["b"].attempts_started - 1
        )
    assert summaries(sent) == ["Fail b"]


def test_requests_with_other_keys_do_not_wait() -> None:
    router = router_with_overload_control()
    write(router, "a")
    assert summaries(write(router, "b", key="o2")) == ["StartAttempt b"]


def test_memory_is_bounded_and_keys_with_attempts_in_flight_are_never_forgotten() -> None:
    guard = IdempotencyKeyGuard(client_retry_window_ns=SECOND, max_keys=8, max_queued=2)
    for n in range(8):
        assert guard.admit(n, f"o{n}", f"r{n}") is KeyAdmission.HELD
        guard.attempt_started(n, f"r{n}", 0, SERVER, WINDOW)
    assert guard.admit(9, "o9", "r9") is KeyAdmission.REJECTED
    guard.attempt_finished("r3", 0, AttemptStatus.OK)
    guard.request_finished("r3")
    assert guard.admit(10, "o9", "r9") is KeyAdmission.HELD  # the idle key o3 was evicted for it
    assert len(guard) == 8 and not guard.is_known(11, "o3") and guard.is_known(11, "o0")
    assert [guard.admit(12, "o0", name) for name in "xyz"] == [
        KeyAdmission.QUEUED,
        KeyAdmission.QUEUED,
        KeyAdmission.REJECTED,
    ]


class IdempotencyKeyMachine(RuleBasedStateMachine):
    """Random requests of three keys: at most one holder and one attempt per key, no state left over."""

    def __init__(self) -> None:
        super().__init__()
        self.guard = IdempotencyKeyGuard(client_retry_window_ns=SECOND, max_keys=64, max_queued=4)
        self.now = START
        self.count = 0
        self.open: dict[str, str] = {}  # key by request id, of holders and queued requests without an answer
        self.holders: set[str] = set()
        self.in_flight: dict[tuple[str, int], str] = {}

    def _key_passed_to(self, name: str) -> None:
        if name:
            assert name in self.open
            self.holders.add(name)

    @rule(key=st.sampled_from("abc"))
    def arrive(self, key: str) -> None:
        """A request arrives."""
        self.count += 1
        name = f"r{self.count}"
        admission = self.guard.admit(self.now, key, name)
        if admission is not KeyAdmission.REJECTED:
            self.open[name] = key
            if admission is KeyAdmission.HELD:
                self.holders.add(name)

    @precondition(lambda self: self.holders)
    @rule(data=st.data())
    def send(self, data: st.DataObject) -> None:
        """An attempt starts for a request that may have one."""
        name = data.draw(st.sampled_from(sorted(self.holders)))
        if any(whose == name for whose, _ in self.in_flight):
            return
        assert self.open[name] not in self.in_flight.values()  # never two attempts of one key
        self.count += 1
        self.in_flight[name, self.count] = self.open[name]
        self.guard.attempt_started(self.now, name, self.count, SERVER, WINDOW)

    @precondition(lambda self: self.in_flight)
    @rule(
        data=st.data(),
        status=st.sampled_from(
            [AttemptStatus.OK, AttemptStatus.TIMEOUT, AttemptStatus.FULL, AttemptStatus.RESET]
        ),
    )
    def finish(self, data: st.DataObject, status: AttemptStatus) -> None:
        """An attempt ends."""
        name, number = data.draw(st.sampled_from(sorted(self.in_flight)))
        del self.in_flight[name, number]
        self._key_passed_to(self.guard.attempt_finished(name, number, status))

    @precondition(lambda self: self.open)
    @rule(data=st.data())
    def answer(self, data: st.DataObject) -> None:
        """A request gets its final answer, or its client disconnects."""
        name = data.draw(st.sampled_from(sorted(self.open)))
        del self.open[name]
        self.holders.discard(name)
        self._key_passed_to(self.guard.request_finished(name))

    @rule(seconds=st.sampled_from([0.01, 1.0, 4.0]))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self.now += int(seconds * SECOND)

    @invariant()
    def one_holder_per_key_and_no_stuck_request(self) -> None:
        """At most one request of a key may start attempts; others wait for it or for an attempt to end."""
        for key in "abc":
            holders = [name for name in self.holders if self.open[name] == key]
            waiting = [name for name, of in self.open.items() if of == key and name not in self.holders]
            assert len(holders) <= 1
            if waiting:
                assert holders or key in self.in_flight.values()

    def teardown(self) -> None:
        """Ends all attempts and requests; no state may be left over."""
        for name, number in list(self.in_flight):
            self.guard.attempt_finished(name, number, AttemptStatus.OK)
        for name in list(self.open):
            self.guard.request_finished(name)
        assert not self.guard.key_by_request


TestIdempotencyKeyMachine = IdempotencyKeyMachine.TestCase


@given(st.lists(st.integers(0, 3), max_size=30))
def test_requests_that_end_in_any_order_leave_nothing_behind(order_of: list[int]) -> None:
    guard = IdempotencyKeyGuard(SECOND, max_keys=16, max_queued=8)
    for n, which in enumerate(order_of):
        guard.admit(n, str(which), f"r{n}")
    for n in range(len(order_of)):
        guard.request_finished(f"r{n}")
    assert not guard.key_by_request and not guard.records
