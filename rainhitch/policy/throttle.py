"""Arthur Berger's rate-control throttle, which limits what the origin is sent while it is slow.

Source: A. W. Berger, "Performance analysis of a rate-control throttle where tokens and jobs queue" (IEEE
Journal on Selected Areas in Communications, 1991). In the paper's terms tokens arrive at rate r into a token
bank of capacity C_T and jobs wait in a buffer of capacity C_J; a job takes one token. Only the sum C_J + C_T
decides which jobs are blocked (theorem 2): the split decides between a burst at the output and a wait.
"""

import math
from enum import Enum

from rainhitch.policy.pending_request import PendingRequest
from rainhitch.policy.rates import SECOND

LEAST_TOTAL = 10  # C_J + C_T at least: from here on the output hardly depends on arrival rates above r
FEW_TOKENS = 2  # tokens of a throttle that is turned on, so that it acts at once


class TokenOffer(Enum):
    """What became of a request that asked for a token."""

    ADMITTED = "admitted"  # it has spent one
    QUEUED = "queued"  # it waits in the buffer
    REJECTED = "rejected"  # the buffer is full


class Throttle:
    """The token bank and the buffer as one signed level: tokens above 0, waiting requests below."""

    __slots__ = ("bank", "buffer", "level", "queue", "rate_per_s", "refilled_at_ns")

    def __init__(self, now_ns: int, rate_per_s: float, total: int) -> None:
        """Starts with FEW_TOKENS in a bank of that capacity; the rest of `total` is buffer."""
        self.rate_per_s = rate_per_s  # r, tokens
        self.refilled_at_ns = now_ns  # when the last token that was counted arrived
        self.bank = FEW_TOKENS  # C_T, tokens
        self.buffer = max(total, LEAST_TOTAL) - FEW_TOKENS  # C_J, requests
        self.level = FEW_TOKENS
        self.queue: dict[str, PendingRequest] = {}  # the waiting requests by id, first come first

    def refill(self, now_ns: int) -> list[PendingRequest]:
        """Takes the tokens due by now; returns the waiting requests that got one, first come first."""
        tokens = int((now_ns - self.refilled_at_ns) * self.rate_per_s / SECOND)
        if tokens < 1:
            return []
        self.refilled_at_ns += math.ceil(tokens * SECOND / self.rate_per_s)
        admitted = list(self.queue)[:tokens] if self.level < 0 else []
        self.level = min(self.level + tokens, self.bank)  # a full bank loses the rest
        return [self.queue.pop(name) for name in admitted]

    def offer(self, pending: PendingRequest) -> TokenOffer:
        """Spends a token on a request, or a place in the buffer where there is none."""
        if self.level > 0:
            self.level -= 1
            return TokenOffer.ADMITTED
        if -self.level >= self.buffer:
            return TokenOffer.REJECTED
        self.level -= 1
        self.queue[pending.request.id] = pending
        return TokenOffer.QUEUED

    def leave(self, pending: PendingRequest) -> bool:
        """Takes a waiting request out of the buffer; returns whether it was there."""
        if self.queue.pop(pending.request.id, None) is None:
            return False
        self.level += 1
        return True

    def wait_ns(self, place: int) -> int:
        """How long until the request at this place in the buffer gets its token; place 0 has one now."""
        return max(0, math.ceil(place * SECOND / self.rate_per_s))

    def shift(self, places: int) -> None:
        """Turns so many places of the buffer into places of the bank; waiting requests keep theirs."""
        self.bank += min(places, self.buffer)
        self.buffer = max(0, self.buffer - places)
