"""Detects that this router itself was paused: stopped, swapped out, or without a core. No clock of its own.

A process that is stopped does not notice it. Afterwards all it holds is older by the pause, its timers fire
all at once and before its sockets are read, and what waits in the sockets looks as if it had just come. So
there is a heartbeat every `HEARTBEAT_NS` at the latest, and one that is later than that by more than
`MAX_DELAY_NS` shows a pause since the one before. Then nothing is acted on before the sockets have been read
once, within `SETTLE_NS`: what clients have left meanwhile is known by then. And what is read in the first
`HEARTBEAT_NS` may be as old as the pause. The clock has to be one that goes on while the process is stopped
(CLOCK_MONOTONIC).
"""

NS_PER_S = 1_000_000_000
HEARTBEAT_NS = NS_PER_S // 10  # between two heartbeats
MAX_DELAY_NS = NS_PER_S // 2  # of a heartbeat; a busy core explains no longer one
SETTLE_NS = NS_PER_S // 200  # in which the sockets are read after a pause


class PauseDetector:
    """Pauses of one router. Times are ns."""

    def __init__(self, now_ns: int) -> None:
        self.last_heartbeat_ns = now_ns
        self.pause_ns = 0  # length of the last pause
        self.resuming_until_ns = now_ns - 1  # until then what is read may be as old as the pause
        self.pauses = 0

    def note_running(self, now_ns: int) -> int:
        """Records that the router runs; called at each heartbeat, and before anything is acted on.

        Returns for how long it was paused where that is detected by this call, else 0.
        """
        gap_ns = now_ns - self.last_heartbeat_ns
        self.last_heartbeat_ns = now_ns
        if gap_ns <= HEARTBEAT_NS + MAX_DELAY_NS:
            return 0
        self.pause_ns = gap_ns
        self.resuming_until_ns = now_ns + HEARTBEAT_NS
        self.pauses += 1
        return gap_ns

    def just_resumed(self, now_ns: int) -> bool:
        """Returns whether a pause has just ended, so that what is read now may be as old as the pause."""
        return now_ns <= self.resuming_until_ns

    def running_time_ns(self, now_ns: int, since_ns: int) -> int:
        """Returns how much of the time since `since_ns` this router was running; 1 at least.

        A pause is left out only where it has just ended, and where `since_ns` lies before it or within
        `MAX_DELAY_NS` of its start.
        """
        paused_ns = 0
        if self.just_resumed(now_ns):
            pause_began_ns = self.resuming_until_ns - HEARTBEAT_NS - self.pause_ns
            if since_ns <= pause_began_ns + MAX_DELAY_NS:
                paused_ns = self.pause_ns
        return max(1, now_ns - since_ns - paused_ns)
