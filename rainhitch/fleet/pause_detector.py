"""Whether this router itself was away: stopped, swapped out, or on a core that others held. No clock of its
own.

Theory. A process that is stopped does not see it. What it held has aged by the whole stop, its timers
come all at once, before what waits in its sockets, and what waits there looks as if it had come just now.
So time is beaten every BEAT at the latest, and an event that comes later than that by more than LATE says
that the router was away since the last beat. Then nothing is acted on before the sockets have been read
once (SETTLE): who has left meanwhile is known to have left. And what is found in the first BEAT may be as
old as the stop. The clock has to be one that goes on while the process stands still (CLOCK_MONOTONIC).
"""

SECOND = 1_000_000_000
BEAT = SECOND // 10  # ns
LATE = SECOND // 2  # ns by which a beat is later than a busy core explains
SETTLE = SECOND // 200  # ns in which the sockets are read


class PauseDetector:
    """One router's own absence. Times are ns."""

    def __init__(self, now: int) -> None:
        self.last = now  # when it was last known to run
        self.gap, self.until = (
            0,
            now - 1,
        )  # for how long it was away last, and until when what it finds is old
        self.times = 0

    def heartbeat(self, now: int) -> int:
        """To be called with each beat, and before anything is acted on: for how long the router was away, if
        that is found only now, else 0."""
        gap, self.last = now - self.last, now
        if gap <= BEAT + LATE:
            return 0
        self.gap, self.until = gap, now + BEAT
        self.times += 1
        return gap

    def just_resumed(self, now: int) -> bool:
        """Whether it has just come back, so that what it finds may be as old as its absence."""
        return now <= self.until

    def running_time_ns(self, now: int, sent: int) -> int:
        """What of the time since `sent` was not this router's own absence, ns; 1 at least."""
        absent = self.gap if self.just_resumed(now) and sent <= self.until - BEAT - self.gap + LATE else 0
        return max(1, now - sent - absent)
