"""Whether connections to one server work: ejection after a failure, backoff, and the attempt that ends it.

States, by `consecutive_failures`: 0, the server is used; above, it is ejected, and after the backoff it gets
one attempt at a time until it answers. `eject`, `end_backoff` and `readmit` are the transitions.
"""

from dataclasses import dataclass
from random import Random

from rainhitch import interface as api

CONNECTION_FAILURES = (api.AttemptStatus.CONNECT_FAILED, api.AttemptStatus.RESET)
# An attempt that ends so has proved that the server's process answers.
PROCESS_ANSWERED = (
    api.AttemptStatus.OK,
    api.AttemptStatus.MISS,
    api.AttemptStatus.FULL,
    api.AttemptStatus.ERROR,
)
MAX_BACKOFF_DOUBLINGS = 4  # of the connect timeout


@dataclass(slots=True)
class ConnectionHealth:
    """What this router knows of its connections to one server."""

    accepts_connections: bool = False  # it took this router's last connect
    last_attempt_broke: bool = False  # the latest attempt's connection failed or broke
    consecutive_failures: int = 0  # connections failed or broken in a row, but for one that was forgiven
    down_since_ns: int = 0
    retry_at_ns: int = 0  # when the backoff ends

    def may_be_tried(self, now_ns: int, in_flight: int) -> bool:
        """Whether an attempt may go there: one at a time after a failure and its backoff, until it answers.

        `in_flight` is what this router has in flight there.
        """
        return not self.consecutive_failures or (now_ns >= self.retry_at_ns and not in_flight)

    def is_forgiven(self, answered_lately: bool) -> bool:
        """Whether the failure that has just come ejects nobody: the first, of a server that answered lately.

        Guards against one broken connection taken for a dead server.
        """
        is_first = not self.last_attempt_broke and not self.consecutive_failures
        return is_first and answered_lately

    def eject(self, now_ns: int, connect_timeout_ns: int, random: Random) -> int:
        """Counts a failure and starts the backoff; gives that, in ns.

        It doubles with each failure in a row, and half of it is left to chance, so that routers don't try a
        server all at once.
        """
        if not self.consecutive_failures:
            self.down_since_ns = now_ns
        self.consecutive_failures += 1
        max_backoff_ns = connect_timeout_ns << min(self.consecutive_failures, MAX_BACKOFF_DOUBLINGS)
        backoff_ns = int(max_backoff_ns * random.uniform(0.5, 1))
        self.retry_at_ns = now_ns + backoff_ns
        return backoff_ns

    def end_backoff(self, now_ns: int, down_since_ns: int) -> None:
        """The server's zone answers again: it is tried at once, as one that was down since then.

        Guards a zone whose servers were started anew: a server of which no attempt failed is ejected too,
        unless it is down since just now, so that its first answer is taken for that of a restarted server.
        """
        self.retry_at_ns = now_ns
        self.down_since_ns = down_since_ns
        if down_since_ns < now_ns and not self.consecutive_failures:
            self.consecutive_failures = 1

    def readmit(self) -> None:
        """The server has answered, or was started anew: it is used without limit."""
        self.consecutive_failures = 0
