"""How much of a client's wait a router may use. No clock.

Theory of operation. A client's wait runs from when it sent its request until its answer is there. The router
reads its clock somewhere in between, and may be held up between any reading and the write that follows it:

    sent ---- read ------------------------------ deadline -------- client's end
         age       what the router works with             reserve

The age of what is read is known but for what a heartbeat can't tell (node/loop_lag.py), which the
protocol's slack on each time limit bears. The reserve is for a hold-up between the deadline and the final
answer. Each request that reaches its deadline pays for it with time in which it might have been served, so
that it is kept only while hold-ups are found: for REMEMBERED after the last one, as long as the longest of
them and HELD_UP at the least. A short wait keeps a part of itself only: a reserve that uses all of it would
serve nobody.
"""

MILLI = 1_000_000
HELD_UP = 150 * MILLI  # the longest that a healthy host holds the process up
SLACK = 50 * MILLI  # by which each of the protocol's time limits is longer
WAY_BACK = 8 * MILLI  # that the final answer takes to its client
RESERVE = HELD_UP - SLACK + WAY_BACK
MOST_RESERVE = 300 * MILLI
RESERVE_PART = 4  # of what is left of a wait, at most one in so many
NOTICED = 25 * MILLI  # delays of the event loop from which the reserve is kept
REMEMBERED = 30_000 * MILLI


class Reserve:
    """What one router keeps of its clients' waits; times are ns."""

    def __init__(self) -> None:
        self.longest = 0  # delay found lately
        self.until = 0  # when it is forgotten

    def found(self, now: int, delay: int) -> None:
        """The event loop came so much late."""
        if delay < NOTICED:
            return
        self.longest = max(delay, self.longest if now < self.until else 0)
        self.until = now + REMEMBERED

    def of(self, now: int, left: int) -> int:
        """What is kept of `left` ns of a client's wait."""
        if now >= self.until:
            return WAY_BACK
        wanted = max(RESERVE, min(MOST_RESERVE, self.longest - SLACK + WAY_BACK))
        return max(WAY_BACK, min(wanted, left // RESERVE_PART))
