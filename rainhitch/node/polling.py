"""Which call to discovery is owed by when. No sockets and no clock: what hosts it tells how each call ended.

A change counts as told TOLD after discovery had it and could be reached, whatever failed in between. A call
that must be answered at once fails after `patience`, a watch after `hold` and `late`. So the longest that a
change stays unknown is a sum:

    a watch that fell silent as it was opened:    hold + late + first_pause + patience
    a call begun just before discovery came back: patience + most_pause + patience

(the last `patience` is that of the call that brings it). Both stay under TOLD, with a reserve for a late
loop.

    begin --> whole list --answered--> watch --answered--> watch ...
                  ^  |                   |
                  |  '--failed, pause    '--failed, first pause: it may be the watch alone that broke
                  '-----'<------------------'

Where discovery is one service for all routers, calls have a price and wait their turn: watches are held for
longer, and a whole list that was not to be had is asked for again when the decisions say so, within
`most_pause`. Where an agent answers at once, at no cost, all of it is shorter.
"""

from collections.abc import Callable
from dataclasses import dataclass

TOLD = 6.0  # s


@dataclass(frozen=True, slots=True)
class PollTimes:
    """Seconds."""

    hold: float  # for which a watch asks to be held
    late: float  # after which one that was to be answered by then has failed
    patience: float  # for an answer that need not wait
    first_pause: float  # after a failed watch, and after the first failed call
    most_pause: float

    def longest(self) -> float:
        """The longest that a change stays unknown while discovery can be reached."""
        silent = self.hold + self.late + self.first_pause + self.patience
        return max(silent, 2 * self.patience + self.most_pause)


# What an agent gets when discovery returns counts at once: it is asked again well within a drain's grace.
PUSHED = PollTimes(hold=1.5, late=0.5, patience=0.6, first_pause=0.05, most_pause=0.3)
ASKED = PollTimes(hold=2.9, late=0.6, patience=1.6, first_pause=0.2, most_pause=2.0)


@dataclass(frozen=True, slots=True)
class PollCall:
    """A call that is owed: the whole list, or a watch held for so many seconds; it fails after `patience`."""

    hold: float
    patience: float


class PollSchedule:
    """One router's calls. `jitter` gives a part of a pause, at most the whole."""

    def __init__(self, times: PollTimes, asked: bool, jitter: Callable[[], float]) -> None:
        self.times, self.asked, self.jitter = times, asked, jitter
        self.pause = times.first_pause
        self.whole = True

    def call(self) -> PollCall:
        """The call that is owed now."""
        times = self.times
        return PollCall(0.0, times.patience) if self.whole else PollCall(times.hold, times.hold + times.late)

    def answered(self) -> None:
        """The call has brought a list; the next is owed at once."""
        self.whole, self.pause = False, self.times.first_pause

    def failed(self) -> float | None:
        """The call has failed; gives when the next is owed, None where the decisions say when."""
        watched, self.whole = not self.whole, True
        if self.asked and not watched:
            return None
        pause, self.pause = self.pause, min(2 * self.pause, self.times.most_pause)
        return pause * self.jitter()
