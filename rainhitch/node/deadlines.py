"""How much of a client's wait a router may use. No clock.

Theory of operation. A client's wait runs from when it sent its request until its answer is there. The router
reads its clock somewhere in between, and may be held up between any reading and the write that follows it,
for HELD_UP at the most:

    sent ---- read ------------------------------ deadline -------- client's end
         age       what the router works with             reserve

The age of what is read is what can be known of it (node/lag.py, TCP_INFO). The reserve is for what can't: a
hold-up that nobody saw before the request was taken, or one between the deadline and the final answer. The
protocol's slack on each time limit bears a part of it. A short wait keeps a part of itself only: a reserve
that uses all of it would serve nobody.
"""

MILLI = 1_000_000
HELD_UP = 150 * MILLI  # the longest that the process may be held up between reading its clock and writing
SLACK = 50 * MILLI  # by which each of the protocol's time limits is longer
WAY_BACK = 8 * MILLI  # that the final answer takes to its client
RESERVE = HELD_UP - SLACK + WAY_BACK
RESERVE_PART = 4  # of what is left, at most one in so many


def reserve(left: int) -> int:
    """What is kept of `left` ns of a client's wait."""
    return max(WAY_BACK, min(RESERVE, left // RESERVE_PART))
