"""The schedule of a graceful shutdown, computed from the settings without a clock.

After SIGTERM the platform waits for the longest deadline, up to `MAX_DEADLINE_WAIT_S`, plus
`KILL_AFTER_DEADLINE_S` before it sends SIGKILL. It still routes new connections to the router for
`NEW_CONNECTIONS_S`, and clients go on using open connections. The phases, in seconds after SIGTERM, are:

    0                 a connection is closed after a response if it has no other request in flight
    stop_accepting_s  no new connections are accepted
    close_idle_s      idle connections are closed
    stop_reading_s    no further requests are read from any connection
    all_answered_s    every accepted request has its response
    exit_s            the program exits, even if slow clients have unread responses
    kill_s            SIGKILL

Each phase begins after a fraction of the time that the previous phase leaves, so that the phases keep their
order however short the deadline is.
"""

from dataclasses import dataclass

MAX_DEADLINE_WAIT_S = 3.0  # longest deadline that the platform waits for
KILL_AFTER_DEADLINE_S = 0.7  # time from that deadline to SIGKILL
NEW_CONNECTIONS_S = 0.4  # time for which the platform still routes new connections to a stopping router
MIN_RESERVE_S = 0.3  # time before SIGKILL for a late event loop; half of it is for the program's exit
MAX_CLOSE_IDLE_S = 1.0  # limit of close_idle_s, so that a long deadline keeps no idle client waiting
MAX_STOP_READING_S = 1.6  # limit of stop_reading_s, for the same reason


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The start of each phase in seconds after SIGTERM."""

    stop_accepting_s: float
    close_idle_s: float
    stop_reading_s: float
    all_answered_s: float
    exit_s: float
    kill_s: float


def shutdown_schedule(longest_deadline_s: float) -> ShutdownSchedule:
    """Returns the schedule for request classes whose longest deadline is `longest_deadline_s`."""
    kill_s = min(longest_deadline_s, MAX_DEADLINE_WAIT_S) + KILL_AFTER_DEADLINE_S
    reserve_s = max(MIN_RESERVE_S, kill_s / 8)
    all_answered_s = kill_s - reserve_s
    # Accepting goes on for a third of MIN_RESERVE_S after the last new connections, so that they are still
    # read and answered.
    late_connections_s = NEW_CONNECTIONS_S + MIN_RESERVE_S / 3
    stop_accepting_s = min(late_connections_s, max(NEW_CONNECTIONS_S, all_answered_s / 2))
    rest_s = all_answered_s - stop_accepting_s
    return ShutdownSchedule(
        stop_accepting_s=stop_accepting_s,
        close_idle_s=min(MAX_CLOSE_IDLE_S, stop_accepting_s + rest_s / 4),
        stop_reading_s=min(MAX_STOP_READING_S, stop_accepting_s + rest_s / 2),
        all_answered_s=all_answered_s,
        exit_s=kill_s - reserve_s / 2,
        kill_s=kill_s,
    )
