"""Connection health of one server: ejection after a failure, backoff and readmission.

With `consecutive_failures` at 0 the server is in use. Above 0 it is ejected, and after the backoff it gets
one attempt at a time until it answers. The transitions are `eject`, `end_backoff` and `readmit`.
"""

from dataclasses import dataclass
from random import Random

from rainhitch import interface as api

CONNECTION_FAILURES = (api.AttemptStatus.CONNECT_FAILED, api.AttemptStatus.RESET)
# Outcomes that prove that the server's process is alive.
PROCESS_ANSWERED = (
    api.AttemptStatus.OK,
    api.AttemptStatus.MISS,
    api.AttemptStatus.FULL,
    api.AttemptStatus.ERROR,
)
MAX_BACKOFF_DOUBLINGS = 4  # the longest backoff is the connect timeout times 2 to this power


@dataclass(slots=True)
class ConnectionHealth:
    """State of this router's connections to one server."""

    accepts_connections: bool = False  # the server accepted this router's latest connect
    last_attempt_broke: bool = False  # the connection of the latest attempt failed or broke
    consecutive_failures: int = 0  # connections that failed or broke in a row, without a tolerated one
    down_since_ns: int = 0
    retry_at_ns: int = 0  # end of the backoff

    def may_be_tried(self, now_ns: int, in_flight: int) -> bool:
        """Returns whether an attempt may be sent to the server.

        An ejected server gets one attempt at a time after its backoff, until it answers. `in_flight` is the
        number of this router's attempts in flight at the server.
        """
        return not self.consecutive_failures or (now_ns >= self.retry_at_ns and not in_flight)

    def is_tolerated(self, answered_recently: bool) -> bool:
        """Returns whether the present failure is tolerated, so that the server is not ejected.

        That is the first failure of a server that has answered recently: one broken connection does not mean
        that the server is down.
        """
        is_first = not self.last_attempt_broke and not self.consecutive_failures
        return is_first and answered_recently

    def eject(self, now_ns: int, connect_timeout_ns: int, random: Random) -> int:
        """Counts a failure and starts the backoff; returns the backoff in ns.

        The backoff doubles with each failure in a row. It is drawn from the upper half of the range, so that
        routers do not all try a server at the same time.
        """
        if not self.consecutive_failures:
            self.down_since_ns = now_ns
        self.consecutive_failures += 1
        max_backoff_ns = connect_timeout_ns << min(self.consecutive_failures, MAX_BACKOFF_DOUBLINGS)
        backoff_ns = int(max_backoff_ns * random.uniform(0.5, 1))
        self.retry_at_ns = now_ns + backoff_ns
        return backoff_ns

    def end_backoff(self, now_ns: int, down_since_ns: int) -> None:
        """Ends the backoff when the server's zone answers again, so that the server is tried at once.

        The server counts as down since `down_since_ns`. If that is in the past, a server without failed
        attempts is ejected as well: the zone's servers may have been restarted, and only the first answer of
        an ejected server can be treated as that of a restarted one.
        """
        self.retry_at_ns = now_ns
        self.down_since_ns = down_since_ns
        if down_since_ns < now_ns and not self.consecutive_failures:
            self.consecutive_failures = 1

    def readmit(self) -> None:
        """Puts the server back into use, after an answer or a restart."""
        self.consecutive_failures = 0
