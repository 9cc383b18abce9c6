"""Which call to discovery is due, and when: a state machine without sockets and without a clock.

What hosts it performs each call and reports how it ended.

Guarantee: a change is known to the router at most `MAX_STALENESS_S` after discovery had it and could be
reached, whatever failed before. Two cases are the worst, and both sums stay below the guarantee with time
left for a late event loop:

    a watch that fell silent as it was opened:     hold_s + hold_margin_s + first_pause_s + patience_s
    a call begun just before discovery came back:  patience_s + max_pause_s + patience_s

(The last `patience_s` of each is that of the call which brings the change.)

States and transitions of `PollSchedule`:

    WHOLE_LIST --succeeded--> WATCH        the next call is due at once
    WATCH      --succeeded--> WATCH        the next call is due at once
    WATCH      --failed-----> WHOLE_LIST   after a pause: the watch alone may have broken
    WHOLE_LIST --failed-----> WHOLE_LIST   after a pause that doubles, or when the decisions ask

Where discovery is one service for all routers (polled), calls have a price: watches are held longer, and
after a failed call for the whole list the decisions say when the next one is due, within `max_pause_s`.
Where an agent on the same host answers (pushed), calls are free, and all times are shorter.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

MAX_STALENESS_S = 6.0


@dataclass(frozen=True, slots=True)
class PollTimes:
    """The bounds of calls and of pauses between them, in seconds."""

    hold_s: float  # for which discovery is asked to hold a watch while nothing changes
    hold_margin_s: float  # past its hold without an answer, a watch has failed
    patience_s: float  # without an answer for so long, a call that need not wait has failed
    first_pause_s: float  # after a failed watch, and after the first failed call
    max_pause_s: float  # the pause doubles with each failure up to this

    def longest(self) -> float:
        """The longest, in seconds, that a change stays unknown while discovery can be reached."""
        silent_watch_s = self.hold_s + self.hold_margin_s + self.first_pause_s + self.patience_s
        late_call_s = 2 * self.patience_s + self.max_pause_s
        return max(silent_watch_s, late_call_s)


# An agent's list is known again within a drain's grace after the agent's return.
PUSHED_TIMES = PollTimes(hold_s=1.5, hold_margin_s=0.5, patience_s=0.6, first_pause_s=0.05, max_pause_s=0.3)
POLLED_TIMES = PollTimes(hold_s=2.9, hold_margin_s=0.6, patience_s=1.6, first_pause_s=0.2, max_pause_s=2.0)


class PollState(Enum):
    """What the next call asks for."""

    WHOLE_LIST = "whole_list"
    WATCH = "watch"


@dataclass(frozen=True, slots=True)
class PollCall:
    """A call that is due; without an answer after `patience_s` it has failed."""

    hold_s: float  # of a watch; 0: the whole list, answered at once
    patience_s: float

    @property
    def is_watch(self) -> bool:
        """Whether the call asks for changes, and not for the whole list."""
        return self.hold_s > 0


class PollSchedule:
    """The calls of one router.

    `polled`: after a failed call for the whole list the decisions say when the next one is due. `jitter`
    returns the fraction of a pause to wait, at most 1.
    """

    def __init__(self, times: PollTimes, polled: bool, jitter: Callable[[], float]) -> None:
        self.times = times
        self.polled = polled
        self.jitter = jitter
        self.state = PollState.WHOLE_LIST
        self.pause_s = times.first_pause_s

    def call(self) -> PollCall:
        """The call that is due now."""
        times = self.times
        if self.state is PollState.WHOLE_LIST:
            return PollCall(0.0, times.patience_s)
        return PollCall(times.hold_s, times.hold_s + times.hold_margin_s)

    def succeeded(self) -> None:
        """The call has brought a list; the next is due at once."""
        self.state = PollState.WATCH
        self.pause_s = self.times.first_pause_s

    def failed(self) -> float | None:
        """The call has failed; returns the seconds until the next, None where the decisions say when."""
        whole_list_failed = self.state is PollState.WHOLE_LIST
        self.state = PollState.WHOLE_LIST
        if self.polled and whole_list_failed:
            return None
        pause_s = self.pause_s
        self.pause_s = min(2 * pause_s, self.times.max_pause_s)
        return pause_s * self.jitter()
