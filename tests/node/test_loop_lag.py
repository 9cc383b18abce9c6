"""Detection of event loop delays, on a scripted loop with its own clock and turns."""

from collections.abc import Callable
from typing import Any, cast

from hypothesis import given
from hypothesis import strategies as st

from rainhitch.node.loop_lag import HEARTBEAT_NS, HEARTBEAT_TOLERANCE_NS, SLOW_CALLBACK_NS, LoopLag

NS_PER_MS = 1_000_000


class ScriptedLoop:
    """A loop whose turns and delays are set by the test; it runs its heartbeat as soon as it can."""

    def __init__(self) -> None:
        self.now = 10**12
        self.soon: list[Callable[[], Any]] = []
        self.delays: list[int] = []
        self.lag = LoopLag(cast(Any, self), lambda: self.now)
        self.lag.report_to(self.delays.append)

    def call_soon(self, callback: Callable[[], Any]) -> None:
        """Schedules a callback for the next turn."""
        self.soon.append(callback)

    def turn(self, wait_ns: int = 0, delay_ns: int = 0) -> None:
        """Ends a turn and polls for the next one; times are in ns.

        The poll waits for `wait_ns` and heartbeats run in time; then the process is delayed by `delay_ns`.
        Sockets are read before timers run.
        """
        ready, self.soon = self.soon, []
        for callback in ready:
            callback()
        while self.lag.heartbeat_due_at_ns <= self.now + wait_ns:
            wait_ns -= max(0, self.lag.heartbeat_due_at_ns - self.now)
            self.now = max(self.now, self.lag.heartbeat_due_at_ns)
            self.lag.heartbeat()
        self.now += wait_ns + delay_ns

    def read(self, duration_ns: int = 0) -> int:
        """Runs a callback that takes `duration_ns`; returns the age of the data it reads, in ns."""
        self.lag.callback_begins()
        age = self.lag.age_ns()
        self.now += duration_ns
        self.lag.callback_ends()
        return age


def test_data_read_by_a_loop_that_is_not_late_has_no_age() -> None:
    loop = ScriptedLoop()
    for wait_ns in (0, NS_PER_MS, 20 * NS_PER_MS, 90 * NS_PER_MS, 450 * NS_PER_MS):
        loop.turn(wait_ns)
        assert loop.read(duration_ns=SLOW_CALLBACK_NS) == 0
    assert not loop.delays


def test_a_callback_that_takes_long_counts_for_the_rest_of_its_turn_and_the_next_one() -> None:
    loop = ScriptedLoop()
    loop.turn(10 * NS_PER_MS)
    assert loop.read(duration_ns=120 * NS_PER_MS) == 0
    assert loop.read() == 120 * NS_PER_MS
    loop.turn()
    assert loop.read() == 120 * NS_PER_MS  # the data may have arrived when that callback began
    loop.turn()
    assert loop.read() == 0
    assert loop.delays == [120 * NS_PER_MS]


def test_a_delay_in_the_poll_is_detected_by_the_heartbeat() -> None:
    loop = ScriptedLoop()
    loop.read()
    delay_ns = HEARTBEAT_NS + HEARTBEAT_TOLERANCE_NS + 1
    loop.turn(HEARTBEAT_NS // 2, delay_ns)
    assert loop.read() >= delay_ns
    loop.turn()
    assert loop.read() >= delay_ns
    loop.turn()
    assert loop.read() == 0
    assert len(loop.delays) == 1


steps = st.tuples(
    st.integers(0, HEARTBEAT_NS),
    st.integers(0, 400 * NS_PER_MS),
    st.lists(st.integers(0, 300 * NS_PER_MS), max_size=4),
)


@given(st.lists(steps))
def test_an_age_is_never_less_than_the_detected_delay(
    turns: list[tuple[int, int, list[int]]],
) -> None:
    """Data that arrives as the poll or a callback begins must get at least the age of the delay after it.

    Delays that the heartbeat does not detect are excluded.
    """
    loop = ScriptedLoop()
    for wait_ns, delay_ns, callbacks in turns:
        loop.turn(wait_ns, delay_ns)
        age = loop.read()
        assert age >= (delay_ns if delay_ns > HEARTBEAT_NS + HEARTBEAT_TOLERANCE_NS else 0)
        for duration_ns in callbacks:
            begun = loop.now
            loop.read(duration_ns)
            assert loop.read() >= (loop.now - begun if duration_ns > SLOW_CALLBACK_NS else 0)
            loop.turn()
            assert loop.read() >= (loop.now - begun if duration_ns > SLOW_CALLBACK_NS else 0)
