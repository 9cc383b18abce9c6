"""Arthur Berger's rate-control throttle, which limits the load on the origin while it is slow.

Source: A. W. Berger, "Performance analysis of a rate-control throttle where tokens and jobs queue" (IEEE
Journal on Selected Areas in Communications, 1991). In the paper's terms tokens arrive at rate r into a token
bank of capacity C_T and jobs wait in a buffer of capacity C_J; a job takes one token. Only the sum C_J + C_T
decides which jobs are blocked (theorem 2): the split decides between a burst at the output and a wait.
"""

import math
from enum import Enum

from rainhitch.policy.pending_request import PendingRequest
from rainhitch.policy.rates import SECOND

# Minimum of C_J + C_T. From this size on, the output rate hardly depends on arrival rates above r.
MIN_TOTAL_CAPACITY = 10
INITIAL_TOKENS = 2  # initial tokens, few so that the throttle takes effect at once


class TokenOffer(Enum):
    """Result of a request's attempt to get a token."""

    ADMITTED = "admitted"  # the request has spent a token
    QUEUED = "queued"  # the request waits in the buffer
    REJECTED = "rejected"  # the buffer is full


class Throttle:
    """Token bank and buffer with a common signed level: above 0 tokens, below 0 waiting requests."""

    __slots__ = ("bank", "buffer", "level", "queue", "rate_per_s", "refilled_at_ns")

    def __init__(self, now_ns: int, rate_per_s: float, total: int) -> None:
        """Starts with INITIAL_TOKENS in a bank of that capacity; the rest of `total` is the buffer."""
        self.rate_per_s = rate_per_s  # r, tokens per second
        self.refilled_at_ns = now_ns  # arrival time of the last counted token
        self.bank = INITIAL_TOKENS  # C_T, tokens
        self.buffer = max(total, MIN_TOTAL_CAPACITY) - INITIAL_TOKENS  # C_J, requests
        self.level = INITIAL_TOKENS
        self.queue: dict[str, PendingRequest] = {}  # waiting requests by id, in order of arrival

    def refill(self, now_ns: int) -> list[PendingRequest]:
        """Adds the tokens due by now; returns the waiting requests that got one, in order of arrival."""
        tokens = int((now_ns - self.refilled_at_ns) * self.rate_per_s / SECOND)
        if tokens < 1:
            return []
        self.refilled_at_ns += math.ceil(tokens * SECOND / self.rate_per_s)
        admitted = list(self.queue)[:tokens] if self.level < 0 else []
        self.level = min(self.level + tokens, self.bank)  # tokens beyond a full bank are lost
        return [self.queue.pop(name) for name in admitted]

    def offer(self, pending: PendingRequest) -> TokenOffer:
        """Spends a token on a request, or queues it in the buffer if there is no token."""
        if self.level > 0:
            self.level -= 1
            return TokenOffer.ADMITTED
        if -self.level >= self.buffer:
            return TokenOffer.REJECTED
        self.level -= 1
        self.queue[pending.request.id] = pending
        return TokenOffer.QUEUED

    def remove(self, pending: PendingRequest) -> bool:
        """Removes a waiting request from the buffer; returns whether it was there."""
        if self.queue.pop(pending.request.id, None) is None:
            return False
        self.level += 1
        return True

    def wait_ns(self, place: int) -> int:
        """Returns the time until the request at this place in the buffer gets a token; 0 for place 0."""
        return max(0, math.ceil(place * SECOND / self.rate_per_s))

    def move_to_bank(self, places: int) -> None:
        """Moves capacity for `places` requests from the buffer to the bank; waiting requests stay queued."""
        self.bank += min(places, self.buffer)
        self.buffer = max(0, self.buffer - places)
