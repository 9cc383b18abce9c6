"""Shares a quota among all routers, which together never exceed it. No sockets, no clock.

The method is escrow (O'Neil 1986): each router permanently owns an equal share of the quota, which it may use
without asking. It lends the rate that it does not need to other routers by leases. The lender holds the lent
rate back from the moment of the grant until the lease has expired at the borrower, whether or not the grant
arrived. Clocks are not compared: the borrower's request carries a nonce, and a lease ends `LEASE_NS` after
the *request was sent*, by the borrower's clock. The lender answers later than that, and holds the rate back
for `LEASE_NS` plus the clock drift from when it *answered*. So a lease whose grant is lost, late or
duplicated ends at the borrower before the lender uses that rate again, and a router that receives nothing is
back at its own share once its leases have expired.

At any instant the rates available to all routers add up to at most the quota: each part of it is available to
its owner or lent to one other router. In a window of w seconds all routers together take at most `quota * w`
units, plus the contents of their buckets at its beginning (the units of the quota in `burst_s`, and one unit
for each router).

A router that starts does not know what its earlier process lent. So at most `LENDABLE_FRACTION` of a share is
ever lent, and a router that starts holds that much back for the first `LENDER_HOLD_NS`. A router that resumes
from a pause finds its leases expired: the time is checked for each unit taken, by a clock that continues
during the pause, and its bucket holds no more than it gains in `burst_s`.

    request:  kind (1) | nonce (4) | requested rate (4)
    grant:    kind (1) | nonce (4) | lent rate (4)      sizes in bytes, rates in milli-units a second
"""

import math
import struct
from dataclasses import dataclass
from enum import IntEnum
from random import Random

from rainhitch.fleet.datagram import Datagram, FleetError

NS_PER_S = 1_000_000_000
LEASE_NS = 4 * NS_PER_S  # duration of a lease, from when the borrower sent its request
CLOCK_DRIFT_FRACTION = 1 / 16  # largest difference in speed of two routers' clocks
LENDER_HOLD_NS = int(LEASE_NS * (1 + CLOCK_DRIFT_FRACTION))  # time for which a lender holds a lent rate back
LENDABLE_FRACTION = 3 / 4  # fraction of its own share that a router may lend
ROUND_INTERVAL_NS = NS_PER_S // 2  # mean time between two rounds of requests
ROUND_JITTER = (0.75, 1.25)  # smallest and largest random factor of the interval
MAX_LENDERS = 16  # routers that are sent a request in one round
HEADROOM_FRACTION = 1 / 8  # part of its demand that a router keeps or requests in addition to the demand
MIN_SHORTFALL_FRACTION = 1 / 8  # a router that lacks at most this fraction of its share requests no lease
MIN_LEASE_FRACTION = 1 / 32  # a router lends at least this fraction of its share, or nothing
MAX_LEASES = 128  # maximum number of borrowed leases at a router, and of lent leases
MESSAGE = struct.Struct(">BII")  # kind, nonce, milli-units a second
MILLI_UNITS = 1000
MAX_AMOUNT = 0xFFFFFFFF  # largest rate in a message, milli-units a second
MAX_NONCE = 0xFFFFFFFF


class QuotaMessageKind(IntEnum):
    """First byte of a message."""

    REQUEST = 0x51
    GRANT = 0x41


class QuotaEscrowError(FleetError):
    """Error for a quota message that cannot be read."""


@dataclass(slots=True)
class Lease:
    """Rate that one router lends to another."""

    lender: int
    borrower: int
    rate_per_s: float
    expires_at_ns: int  # time by the clock of the router that holds this record


@dataclass(slots=True)
class LeaseRequest:
    """Request for a lease that has not been granted yet."""

    lender: int
    sent_at_ns: int
    requested_per_s: float


class QuotaEscrow:
    """One router's side of the shared quota.

    `quota_per_s` is the quota of all `routers`, in units a second; `own_index` is the number of this one. The
    bucket holds at most the units that it gains in `burst_s`. Times are ns of a monotonic clock.
    """

    def __init__(
        self,
        own_index: int,
        routers: int,
        quota_per_s: float,
        now_ns: int,
        seed: int,
        *,
        burst_s: float = 1.0,
    ) -> None:
        self.own_index = own_index
        self.routers = routers
        self.share_per_s = quota_per_s / routers
        self.burst_s = burst_s
        # The text of the seed must not change: recorded runs are replayed with the sequence that it gives.
        self.random = Random(f"{seed}/holdings")
        self.filled_at_ns = now_ns
        self.stepped_at_ns = now_ns
        self.next_round_at_ns = now_ns
        self.tokens = 0.0  # units that may be taken now
        self.demand_per_s = 0.0  # moving average of the demand, granted or denied
        self.demanded_units = 0  # units demanded since the last round
        self.lending_starts_at_ns = now_ns + LENDER_HOLD_NS  # when an earlier process's leases have expired
        self.lent: list[Lease] = []
        self.borrowed: list[Lease] = []
        self.requests: dict[int, LeaseRequest] = {}  # requests by nonce
        self.nonce = self.random.getrandbits(32)
        self.denied = 0  # units denied since the start

    def available_per_s(self, now_ns: int) -> float:
        """Returns the rate available to this router now, units a second."""
        return self._min_available_per_s(now_ns, now_ns)

    def _min_available_per_s(self, begin_ns: int, end_ns: int) -> float:
        """Returns the lowest rate that was available at any time from begin to end."""
        if begin_ns < self.lending_starts_at_ns:
            lent_per_s = self.share_per_s * LENDABLE_FRACTION
        else:
            lent_per_s = sum(lease.rate_per_s for lease in self.lent if lease.expires_at_ns > begin_ns)
        borrowed_per_s = sum(lease.rate_per_s for lease in self.borrowed if lease.expires_at_ns > end_ns)
        return max(0.0, self.share_per_s - lent_per_s) + borrowed_per_s

    def bucket_capacity(self, now_ns: int) -> float:
        """Returns the maximum number of units in the bucket.

        All routers' buckets together hold at most the units of the quota in `burst_s`, plus one per router.
        """
        return max(1.0, self.available_per_s(now_ns) * self.burst_s)

    def _fill(self, now_ns: int) -> None:
        """Adds to the bucket the units gained since the last call, and removes the leases that have expired.

        Leases may have expired since the last call, here or at a borrower. So that the sum stays within the
        quota, the whole time counts at the lowest rate available in it, up to the bucket's capacity.
        """
        elapsed_ns = max(0, now_ns - self.filled_at_ns)
        gained = self._min_available_per_s(self.filled_at_ns, now_ns) * elapsed_ns / NS_PER_S
        self.tokens = min(self.bucket_capacity(now_ns), self.tokens + gained)
        self.filled_at_ns = max(now_ns, self.filled_at_ns)
        self.lent = [lease for lease in self.lent if lease.expires_at_ns > now_ns]
        self.borrowed = [lease for lease in self.borrowed if lease.expires_at_ns > now_ns]

    def take(self, now_ns: int) -> bool:
        """Takes one unit if the quota allows it; returns whether it did."""
        self.demanded_units += 1
        self._fill(now_ns)
        if self.tokens < 1:
            self.denied += 1
            return False
        self.tokens -= 1
        return True

    def step(self, now_ns: int) -> list[Datagram]:
        """Returns the requests for leases to send now; must be called a few times a second."""
        if now_ns < self.next_round_at_ns:
            return []
        self.next_round_at_ns = now_ns + int(ROUND_INTERVAL_NS * self.random.uniform(*ROUND_JITTER))
        self._fill(now_ns)
        self._update_demand(now_ns)
        self.requests = {
            nonce: request
            for nonce, request in self.requests.items()
            if now_ns - request.sent_at_ns < LEASE_NS
        }
        shortfall_per_s = self.demand_per_s * (1 + HEADROOM_FRACTION) - self._non_expiring_per_s(now_ns)
        free_leases = MAX_LEASES - max(len(self.requests), len(self.borrowed))
        if (
            shortfall_per_s <= self.share_per_s * MIN_SHORTFALL_FRACTION
            or self.routers < 2
            or free_leases <= 0
        ):
            return []
        others = [router for router in range(self.routers) if router != self.own_index]
        # One lender more than would suffice, since some have nothing to lend.
        lender_count = math.ceil(shortfall_per_s / (self.share_per_s * LENDABLE_FRACTION)) + 1
        lenders = self.random.sample(others, min(lender_count, MAX_LENDERS, free_leases, len(others)))
        return [
            Datagram(lender, self._request(now_ns, lender, shortfall_per_s / len(lenders)))
            for lender in lenders
        ]

    def _update_demand(self, now_ns: int) -> None:
        elapsed_ns = max(1, now_ns - self.stepped_at_ns)
        self.demand_per_s += (self.demanded_units * NS_PER_S / elapsed_ns - self.demand_per_s) / 2
        self.demanded_units = 0
        self.stepped_at_ns = now_ns

    def _non_expiring_per_s(self, now_ns: int) -> float:
        """Returns the available rate without leases that expire within two rounds, which need renewal."""
        soon_ns = now_ns + 2 * ROUND_INTERVAL_NS
        ending_per_s = sum(
            lease.rate_per_s for lease in self.borrowed if now_ns < lease.expires_at_ns <= soon_ns
        )
        return self.available_per_s(now_ns) - ending_per_s

    def _request(self, now_ns: int, lender: int, requested_per_s: float) -> bytes:
        self.nonce = (self.nonce + 1) & MAX_NONCE
        self.requests[self.nonce] = LeaseRequest(lender, now_ns, requested_per_s)
        amount = min(MAX_AMOUNT, math.ceil(requested_per_s * MILLI_UNITS))
        return MESSAGE.pack(QuotaMessageKind.REQUEST, self.nonce, amount)

    def receive(self, now_ns: int, sender: int, data: bytes) -> list[Datagram]:
        """Handles another router's message; returns the grant to send in answer, if any.

        Raises QuotaEscrowError if the message cannot be read.
        """
        if len(data) != MESSAGE.size:
            raise QuotaEscrowError(f"expected a quota message of {MESSAGE.size} bytes, got {len(data)}")
        if not 0 <= sender < self.routers or sender == self.own_index:
            raise QuotaEscrowError(f"expected a message from another of {self.routers} routers, got {sender}")
        kind, nonce, amount = MESSAGE.unpack(data)
        if kind == QuotaMessageKind.REQUEST:
            lent = self._lend(now_ns, sender, amount / MILLI_UNITS)
            return [Datagram(sender, MESSAGE.pack(QuotaMessageKind.GRANT, nonce, lent))] if lent else []
        if kind != QuotaMessageKind.GRANT:
            raise QuotaEscrowError(f"expected a quota request (0x51) or grant (0x41), got kind {kind:#x}")
        self._borrow(now_ns, sender, nonce, amount)
        return []

    def _borrow(self, now_ns: int, lender: int, nonce: int, amount: int) -> None:
        """Accepts a grant of `amount` milli-units a second if it answers a request of this router in time."""
        request = self.requests.get(nonce)
        if request is None or request.lender != lender:
            return  # a grant to an earlier process, a duplicate, or a grant that was not requested
        del self.requests[nonce]
        # Rejects a grant that is larger than the request, which no lender sends.
        is_in_bounds = amount <= math.ceil(request.requested_per_s * MILLI_UNITS)
        expires_at_ns = request.sent_at_ns + LEASE_NS
        if now_ns < expires_at_ns and is_in_bounds:
            self._fill(now_ns)
            self.borrowed.append(Lease(lender, self.own_index, amount / MILLI_UNITS, expires_at_ns))

    def _lend(self, now_ns: int, borrower: int, requested_per_s: float) -> int:
        """Lends the spare rate and holds it back from now on; returns it in milli-units a second."""
        self._fill(now_ns)
        if now_ns < self.lending_starts_at_ns or len(self.lent) >= MAX_LEASES:
            return 0
        lendable_per_s = self.share_per_s * LENDABLE_FRACTION - sum(lease.rate_per_s for lease in self.lent)
        unneeded_per_s = self.available_per_s(now_ns) - self.demand_per_s * (1 + HEADROOM_FRACTION)
        spare_per_s = min(lendable_per_s, unneeded_per_s, requested_per_s)
        lent = math.floor(spare_per_s * MILLI_UNITS)
        if lent <= 0 or spare_per_s < self.share_per_s * MIN_LEASE_FRACTION:
            return 0
        self.lent.append(Lease(self.own_index, borrower, lent / MILLI_UNITS, now_ns + LENDER_HOLD_NS))
        return lent
