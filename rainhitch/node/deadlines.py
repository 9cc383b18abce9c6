"""How much of a client's wait a router may use. No clock.

Theory of operation. A client's wait runs from when it sent its request until its answer is there. The router
reads its clock somewhere in between, and may be delayed between any reading and the write that follows it:

    sent ---- read ------------------------------ deadline -------- client's end
         age       what the router works with             reserve

The age of what is read is known but for what a heartbeat can't tell (node/loop_lag.py), which the protocol's
slack on each time limit bears. The reserve is for a delay between the deadline and the final answer. Each
request that reaches its deadline pays for it with time in which it might have been served, so that it is kept
only while delays are found: for DELAY_MEMORY_NS after the last one, as long as the longest of them and
HOST_DELAY_NS at the least. A short wait keeps a part of itself only: a reserve that uses all of it would
serve nobody.
"""

NS_PER_MS = 1_000_000
HOST_DELAY_NS = 150 * NS_PER_MS  # the longest for which a healthy host delays the process
PROTOCOL_SLACK_NS = 50 * NS_PER_MS  # by which each of the protocol's time limits is longer
ANSWER_DELIVERY_NS = 8 * NS_PER_MS  # that the final answer takes to its client
MIN_RESERVE_NS = HOST_DELAY_NS - PROTOCOL_SLACK_NS + ANSWER_DELIVERY_NS  # while delays are found
MAX_RESERVE_NS = 300 * NS_PER_MS
MAX_RESERVE_DIVISOR = 4  # of what is left of a wait, one part in so many is kept at the most
MIN_NOTICED_DELAY_NS = 25 * NS_PER_MS  # of the event loop, from which the reserve is kept
DELAY_MEMORY_NS = 30_000 * NS_PER_MS


def client_wait_ns(wait_ms: int, unread_ms: int, class_deadline_ns: int) -> int:
    """For how long a client goes on waiting from now, ns: no longer than its class may.

    `wait_ms` is what it asked for, without the time for which its command may have been unread.
    """
    left_of_class_ns = max(NS_PER_MS, class_deadline_ns - unread_ms * NS_PER_MS)
    return min(wait_ms * NS_PER_MS, left_of_class_ns)


class DelayReserve:
    """By when one router answers: what it keeps of its clients' waits for delays of its own; times are ns."""

    def __init__(self) -> None:
        self.answer_by_ns = 0  # when all must be answered, once the router stops; 0: it runs on
        self.longest_delay_ns = 0  # of those that are remembered
        self.remembered_until_ns = 0

    def delay_found(self, now: int, delay_ns: int) -> None:
        """The event loop was late by so much."""
        if delay_ns < MIN_NOTICED_DELAY_NS:
            return
        remembered_ns = self.longest_delay_ns if now < self.remembered_until_ns else 0
        self.longest_delay_ns = max(delay_ns, remembered_ns)
        self.remembered_until_ns = now + DELAY_MEMORY_NS

    def deadline_ns(self, now: int, wait_ns: int) -> int:
        """By when the router answers: with a reserve before the client's end, and before the router's own."""
        deadline_ns = now + wait_ns - self.reserve_ns(now, wait_ns)
        if self.answer_by_ns:
            return min(deadline_ns, self.answer_by_ns - ANSWER_DELIVERY_NS)
        return deadline_ns

    def reserve_ns(self, now: int, left_ns: int) -> int:
        """What is kept of `left_ns` of a client's wait, ns."""
        if now >= self.remembered_until_ns:
            return ANSWER_DELIVERY_NS
        for_longest_ns = self.longest_delay_ns - PROTOCOL_SLACK_NS + ANSWER_DELIVERY_NS
        wanted_ns = max(MIN_RESERVE_NS, min(MAX_RESERVE_NS, for_longest_ns))
        return max(ANSWER_DELIVERY_NS, min(wanted_ns, left_ns // MAX_RESERVE_DIVISOR))
