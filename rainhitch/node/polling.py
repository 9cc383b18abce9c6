"""The schedule of calls to discovery: a state machine without I/O and without a clock.

The caller performs each call and reports whether it succeeded.

Guarantee: the router knows a change at most `MAX_STALENESS_S` after discovery has it and is reachable,
whatever failed before. There are two worst cases, and both sums stay below the guarantee, with a margin for
a late event loop:

    a watch that gets no response from its start:         hold_s + hold_margin_s + first_pause_s + timeout_s
    a call started just before discovery is reachable:    timeout_s + max_pause_s + timeout_s

(The last `timeout_s` of each sum is for the call that returns the change.)

States and transitions of `PollSchedule`:

    WHOLE_LIST --succeeded--> WATCH        the next call is due at once
    WATCH      --succeeded--> WATCH        the next call is due at once
    WATCH      --failed-----> WHOLE_LIST   after a pause: perhaps only the watch has failed
    WHOLE_LIST --failed-----> WHOLE_LIST   after a pause that doubles, or when the Balancer requests it

If discovery is one service for all routers (polled), calls are expensive: watches are held longer, and after
a failed call for the whole list the Balancer schedules the next one, within `max_pause_s`. If an agent on the
router's host serves the list (pushed), calls are cheap, and all times are shorter.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

MAX_STALENESS_S = 6.0


@dataclass(frozen=True, slots=True)
class PollTimes:
    """The limits of calls and of the pauses between them, in seconds."""

    hold_s: float  # time for which discovery is to hold a watch while nothing changes
    hold_margin_s: float  # time after its hold at which a watch without a response has failed
    timeout_s: float  # time-out of a call for the whole list
    first_pause_s: float  # pause after a failed watch, and after the first failed call
    max_pause_s: float  # limit of the pause, which doubles with each failure

    def max_staleness_s(self) -> float:
        """Returns the longest time in seconds that a change stays unknown while discovery is reachable."""
        silent_watch_s = self.hold_s + self.hold_margin_s + self.first_pause_s + self.timeout_s
        late_call_s = 2 * self.timeout_s + self.max_pause_s
        return max(silent_watch_s, late_call_s)


# After an agent's restart its list is known again within the grace period of a drain.
PUSHED_TIMES = PollTimes(hold_s=1.5, hold_margin_s=0.5, timeout_s=0.6, first_pause_s=0.05, max_pause_s=0.3)
# A crowded service refuses a call that would wait for over 2 s. A call that is given up earlier still takes
# its turn there: the service then works for callers that have gone, and the next call waits as long.
POLLED_TIMES = PollTimes(hold_s=2.4, hold_margin_s=0.6, timeout_s=2.3, first_pause_s=0.2, max_pause_s=0.9)


class PollState(Enum):
    """The kind of the next call."""

    WHOLE_LIST = "whole_list"
    WATCH = "watch"


@dataclass(frozen=True, slots=True)
class PollCall:
    """A call that is due; it has failed if there is no response within `timeout_s`."""

    hold_s: float  # hold time of a watch; 0 for the whole list, which is returned at once
    timeout_s: float

    @property
    def is_watch(self) -> bool:
        """Whether the call requests changes, not the whole list."""
        return self.hold_s > 0


class PollSchedule:
    """The schedule of one router's calls.

    If `polled`, the Balancer schedules the next call after a failed call for the whole list. `jitter` returns
    the fraction of a pause to wait, at most 1.
    """

    def __init__(self, times: PollTimes, polled: bool, jitter: Callable[[], float]) -> None:
        self.times = times
        self.polled = polled
        self.jitter = jitter
        self.state = PollState.WHOLE_LIST
        self.pause_s = times.first_pause_s

    def call(self) -> PollCall:
        """Returns the call that is due now."""
        times = self.times
        if self.state is PollState.WHOLE_LIST:
            return PollCall(0.0, times.timeout_s)
        return PollCall(times.hold_s, times.hold_s + times.hold_margin_s)

    def succeeded(self) -> None:
        """Records a successful call; the next call is due at once."""
        self.state = PollState.WATCH
        self.pause_s = self.times.first_pause_s

    def failed(self) -> float | None:
        """Records a failed call; returns the seconds until the next, or None if the Balancer schedules it."""
        whole_list_failed = self.state is PollState.WHOLE_LIST
        self.state = PollState.WHOLE_LIST
        if self.polled and whole_list_failed:
            return None
        pause_s = self.pause_s
        self.pause_s = min(2 * pause_s, self.times.max_pause_s)
        return pause_s * self.jitter()
