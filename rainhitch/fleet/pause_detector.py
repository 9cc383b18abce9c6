"""Detects that this router was paused: stopped, swapped out, or without a CPU core. Reads no clock.

A process cannot notice that it is stopped. After a pause all its state is older by the length of the pause,
its timers fire at once and before its sockets are read, and data waiting in the sockets looks as if it had
just arrived. So a heartbeat is due at least every `HEARTBEAT_NS`; one that is late by more than
`MAX_DELAY_NS` indicates a pause since the one before. After a pause the router takes no action until the
sockets have been read once, within `SETTLE_NS`, by when it knows which clients have disconnected. Data that
is read in the first `HEARTBEAT_NS` after a pause may be as old as the pause. The clock must continue while
the process is stopped, as CLOCK_MONOTONIC does.
"""

NS_PER_S = 1_000_000_000
HEARTBEAT_NS = NS_PER_S // 10  # longest time between two heartbeats
MAX_DELAY_NS = NS_PER_S // 2  # largest delay of a heartbeat that a busy CPU core can cause
SETTLE_NS = NS_PER_S // 200  # time in which the sockets are read after a pause


class PauseDetector:
    """Detector of the pauses of one router. Times are in ns."""

    def __init__(self, now_ns: int) -> None:
        self.last_heartbeat_ns = now_ns
        self.pause_ns = 0  # length of the last pause
        self.resuming_until_ns = now_ns - 1  # time until which data read may be as old as the pause
        self.pauses = 0

    def record_heartbeat(self, now_ns: int) -> int:
        """Records a heartbeat; must also be called before any action.

        Returns the length of the pause that this call detects, or 0.
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
        """Returns whether a pause has just ended, so that data read now may be as old as the pause."""
        return now_ns <= self.resuming_until_ns

    def running_time_ns(self, now_ns: int, since_ns: int) -> int:
        """Returns the time since `since_ns` in which this router was running; at least 1.

        A pause is subtracted only if it has just ended, and if `since_ns` is before it or within
        `MAX_DELAY_NS` of its start.
        """
        paused_ns = 0
        if self.just_resumed(now_ns):
            pause_began_ns = self.resuming_until_ns - HEARTBEAT_NS - self.pause_ns
            if since_ns <= pause_began_ns + MAX_DELAY_NS:
                paused_ns = self.pause_ns
        return max(1, now_ns - since_ns - paused_ns)
