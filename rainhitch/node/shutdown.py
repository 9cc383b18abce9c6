"""The schedule of a graceful shutdown, worked out from the settings. No clock.

The platform sends SIGKILL no sooner than the longest deadline, up to `MAX_DEADLINE_WAIT_S`, and
`KILL_AFTER_DEADLINE_S` more after SIGTERM. New connections still come for a moment, and clients go on using
connections that stay open. So the phases, in seconds after SIGTERM, are:

    0                 a connection is closed behind its answer, where no other request of it is in flight
    stop_accepting_s  no new connections are accepted
    close_idle_s      idle connections are closed
    stop_reading_s    no further request is read from any connection
    all_answered_s    every request that was taken has its answer
    exit_s            the program ends, whatever a slow reader has not read
    kill_s            SIGKILL

Each phase begins a fraction of the time left after the one before, so that their order holds however short a
deadline is.
"""

from dataclasses import dataclass

MAX_DEADLINE_WAIT_S = 3.0  # of a deadline, for which the platform waits
KILL_AFTER_DEADLINE_S = 0.7  # more until SIGKILL
NEW_CONNECTIONS_S = 0.4  # for which the platform still sends new connections to a router that ends
MIN_RESERVE_S = 0.3  # before SIGKILL, for a late event loop; half of it is for the end of the program itself
MAX_CLOSE_IDLE_S = 1.0  # bounds close_idle_s: a long deadline keeps no idle client waiting
MAX_STOP_READING_S = 1.6  # bounds stop_reading_s alike


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """When each phase begins, in seconds after SIGTERM."""

    stop_accepting_s: float
    close_idle_s: float
    stop_reading_s: float
    all_answered_s: float
    exit_s: float
    kill_s: float


def shutdown_schedule(longest_deadline_s: float) -> ShutdownSchedule:
    """The schedule for request classes of which the longest deadline is `longest_deadline_s`."""
    kill_s = min(longest_deadline_s, MAX_DEADLINE_WAIT_S) + KILL_AFTER_DEADLINE_S
    reserve_s = max(MIN_RESERVE_S, kill_s / 8)
    all_answered_s = kill_s - reserve_s
    # Guards connections that come at the last moment: they are read, and answered in the little time that is
    # left.
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
