"""Calculates how much of a client's wait the router may use. Reads no clock.

Theory of operation. A client's wait runs from when it sends a request until it receives the response. The
router reads its clock at some point in between, and may be delayed between any reading of the clock and the
write that follows:

    sent ---- read ------------------------------ deadline -------- end of the client's wait
         age       time available to the router            reserve

The age of the data read is known except for delays that the heartbeat cannot detect (node/loop_lag.py); these
are covered by the protocol's slack on each time limit. The reserve covers a delay between the deadline and
the final response. It costs each request that reaches its deadline time in which it might have been served,
so it is kept only while delays are detected, for DELAY_RETENTION_NS after the last one. It is sized for the
longest of them, and at least for HOST_DELAY_NS, less the protocol's slack. A short wait gives up only a part
of itself: a reserve that used all of it would leave no time to serve anything.
"""

NS_PER_MS = 1_000_000
HOST_DELAY_NS = 150 * NS_PER_MS  # longest delay of the process on a healthy host
PROTOCOL_SLACK_NS = 50 * NS_PER_MS  # added by the protocol to each of its time limits
RESPONSE_DELIVERY_NS = 8 * NS_PER_MS  # time for the final response to reach the client
MIN_RESERVE_NS = HOST_DELAY_NS - PROTOCOL_SLACK_NS + RESPONSE_DELIVERY_NS  # minimum while delays are detected
MAX_RESERVE_NS = 300 * NS_PER_MS
MAX_RESERVE_DIVISOR = 4  # the reserve is at most this part (1/n) of the remaining wait
MIN_RECORDED_DELAY_NS = 25 * NS_PER_MS  # shorter event loop delays are ignored
DELAY_RETENTION_NS = 30_000 * NS_PER_MS


def client_wait_ns(wait_ms: int, unread_ms: int, class_deadline_ns: int) -> int:
    """Returns for how long the client waits from now, in ns, limited by the deadline of the request's class.

    `wait_ms` is the requested wait less the time for which the command may have been unread.
    """
    left_of_class_ns = max(NS_PER_MS, class_deadline_ns - unread_ms * NS_PER_MS)
    return min(wait_ms * NS_PER_MS, left_of_class_ns)


class DelayReserve:
    """Sets the deadlines of one router, with a reserve for delays of its own process; times are in ns."""

    def __init__(self) -> None:
        self.respond_by_ns = 0  # time by which all requests must be answered at shutdown; 0 before that
        self.longest_delay_ns = 0  # longest of the recorded delays
        self.retained_until_ns = 0

    def record_delay(self, now: int, delay_ns: int) -> None:
        """Records that the event loop was delayed by `delay_ns`."""
        if delay_ns < MIN_RECORDED_DELAY_NS:
            return
        retained_ns = self.longest_delay_ns if now < self.retained_until_ns else 0
        self.longest_delay_ns = max(delay_ns, retained_ns)
        self.retained_until_ns = now + DELAY_RETENTION_NS

    def deadline_ns(self, now: int, wait_ns: int) -> int:
        """Returns the router's deadline: before the client stops waiting and before the shutdown ends."""
        deadline_ns = now + wait_ns - self.reserve_ns(now, wait_ns)
        if self.respond_by_ns:
            return min(deadline_ns, self.respond_by_ns - RESPONSE_DELIVERY_NS)
        return deadline_ns

    def reserve_ns(self, now: int, left_ns: int) -> int:
        """Returns the reserve for a client that still waits for `left_ns`, in ns."""
        if now >= self.retained_until_ns:
            return RESPONSE_DELIVERY_NS
        for_longest_ns = self.longest_delay_ns - PROTOCOL_SLACK_NS + RESPONSE_DELIVERY_NS
        wanted_ns = max(MIN_RESERVE_NS, min(MAX_RESERVE_NS, for_longest_ns))
        return max(RESPONSE_DELIVERY_NS, min(wanted_ns, left_ns // MAX_RESERVE_DIVISOR))
