"""When what is done after SIGTERM, worked out from the settings. No clock.

The platform kills a router no sooner than the longest deadline, 3 s at most, and KILL more after SIGTERM.
Newcomers come for a moment, and clients go on using what stays open. So, in seconds after SIGTERM:

    0             clients go right behind their answers, when nothing of theirs is under way
    accepting     no newcomers any more
    idle_from     who asks nothing goes too
    no_more       no further command is taken up from anybody
    answered      all that was taken has its answer
    gone          the program ends, whatever a slow reader has not read
    (kill)        SIGKILL

Each comes a part of the time left after the one before, so that the order holds however short a deadline is.
"""

from dataclasses import dataclass

LONGEST = 3.0  # s of a deadline that the platform waits for at the most
KILL = 0.7  # s more until SIGKILL
NEWCOMERS = 0.4  # s in which clients are still sent here, at the most
RESERVE = 0.3  # s kept for a late loop before SIGKILL, at the least; half of it is for the program's own end
IDLE_FROM, NO_MORE = 1.0, 1.6  # s at the most: who is sent away is not kept waiting by a long deadline


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Seconds after SIGTERM."""

    accepting: float
    idle_from: float
    no_more: float
    answered: float
    gone: float
    kill: float


def schedule(longest_deadline: float) -> ShutdownSchedule:
    """The schedule for classes of which the longest deadline is so many seconds."""
    kill = min(longest_deadline, LONGEST) + KILL
    reserve = max(RESERVE, kill / 8)
    answered, gone = kill - reserve, kill - reserve / 2
    # Guards late newcomers: who comes at the last moment is heard, and answered in the little that is left.
    accepting = min(NEWCOMERS + RESERVE / 3, max(NEWCOMERS, answered / 2))
    rest = answered - accepting
    return ShutdownSchedule(
        accepting,
        min(IDLE_FROM, accepting + rest / 4),
        min(NO_MORE, accepting + rest / 2),
        answered,
        gone,
        kill,
    )
