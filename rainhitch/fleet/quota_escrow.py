"""A quota that all routers share, split among them so that the sum is never over it. No sockets, no clock.

Escrow (O'Neil 1986): each router owns an equal part of the quota for good, and may spend it without asking.
What one does not need it lends to another by a lease: from the moment at which it lends it counts that part
as spent, until the lease is over at the borrower, whatever became of the datagram. No clocks are compared:
the borrower's request carries a nonce, and the lease ends `LEASE_NS` after the *request was sent*, by the
borrower's clock; the lender, which got the request later than that, holds the part back for `LEASE_NS` and
the clock drift from when it *answered*. So a lease that is lost, late or doubled ends at the borrower before
the lender spends that part again, and a router that hears nothing falls back to its own part once its leases
have ended.

The sum of what all may spend at any instant is at most the quota: each unit is its owner's, or is lent to one
other. Over a window of w seconds all together spend at most `quota * w` and what their buckets held at its
beginning (what the quota gives in `burst_s`, and a unit of each).

A router that starts knows nothing of what its earlier process lent. So only `LENDABLE_FRACTION` of a part is
ever lent, and that much is left alone for the first lease time and drift after a start. A router that was
paused finds its leases ended: time is looked at with each unit spent, on a clock that goes on during the
pause, and its bucket is cut to what it gains in `burst_s`.

    request:  kind | nonce (4) | wanted (4)    grant:  kind | nonce (4) | lent (4)    milli-units a second
"""

import math
import struct
from dataclasses import dataclass
from enum import IntEnum
from random import Random

from rainhitch.fleet.datagram import Datagram, FleetError

NS_PER_S = 1_000_000_000
LEASE_NS = 4 * NS_PER_S  # from the borrower's request
CLOCK_DRIFT_FRACTION = 1 / 16  # by which two routers' clocks may differ in speed
LENDER_HOLD_NS = int(LEASE_NS * (1 + CLOCK_DRIFT_FRACTION))  # for which a lender leaves alone what it lent
LENDABLE_FRACTION = 3 / 4  # of what a router owns
ROUND_INTERVAL_NS = NS_PER_S // 2  # between two rounds of requests
ROUND_JITTER = (0.75, 1.25)  # factors of the interval, least and most
MAX_ASKED = 16  # routers asked in a round
HEADROOM_FRACTION = 1 / 8  # of its demand, that a router keeps or asks for beyond it
MIN_REQUEST_FRACTION = 1 / 8  # of its own part; a router that lacks no more asks for no lease
MIN_LEASE_FRACTION = 1 / 32  # of its own part; a router lends no less
MAX_LEASES = 128  # at a router, given or taken: bounded whatever arrives
MESSAGE = struct.Struct(">BII")  # kind, nonce, milli-units a second
MILLI_UNITS = 1000
MAX_AMOUNT = 0xFFFFFFFF  # in a message
MAX_NONCE = 0xFFFFFFFF


class QuotaMessageKind(IntEnum):
    """First byte of a message."""

    REQUEST = 0x51
    GRANT = 0x41


class QuotaEscrowError(FleetError):
    """A message that can't be read."""


@dataclass(slots=True)
class Lease:
    """A part of the quota that one router lends to another."""

    lender: int
    borrower: int
    rate_per_s: float
    expires_at_ns: int  # by the clock of the router that holds this record


@dataclass(slots=True)
class LeaseRequest:
    """A request that has not been granted yet."""

    lender: int
    sent_at_ns: int
    wanted_per_s: float


class QuotaEscrow:
    """One router's side of the shared quota.

    `quota_per_s` is in units a second over all `routers`, of which this one is number `me`. `burst_s`: its
    bucket holds at most what it gains in this time. Times are ns of a monotonic clock.
    """

    def __init__(
        self, me: int, routers: int, quota_per_s: float, now_ns: int, seed: int, *, burst_s: float = 1.0
    ) -> None:
        self.me = me
        self.routers = routers
        self.own_per_s = quota_per_s / routers
        self.burst_s = burst_s
        # The seed's text is not renamed: it fixes the sequence that recorded runs are replayed with.
        self.random = Random(f"{seed}/holdings")
        self.filled_at_ns = now_ns
        self.stepped_at_ns = now_ns
        self.next_round_at_ns = now_ns
        self.tokens = 0.0  # units that may be spent now
        self.demand_per_s = 0.0  # moving average of the units asked for
        self.demanded = 0  # units asked for since the last step
        self.no_lending_until_ns = now_ns + LENDER_HOLD_NS  # what an earlier process lent has ended by then
        self.lent: list[Lease] = []
        self.borrowed: list[Lease] = []
        self.requests: dict[int, LeaseRequest] = {}  # by nonce
        self.nonce = self.random.getrandbits(32)
        self.denied = 0  # units that were asked for and not given, since the start

    def available_per_s(self, now_ns: int) -> float:
        """Returns how many units a second may be spent now."""
        return self._least_available_per_s(now_ns, now_ns)

    def _least_available_per_s(self, begin_ns: int, end_ns: int) -> float:
        """Returns the least that was available at any time from begin to end."""
        if begin_ns < self.no_lending_until_ns:
            lent_per_s = self.own_per_s * LENDABLE_FRACTION
        else:
            lent_per_s = sum(one.rate_per_s for one in self.lent if one.expires_at_ns > begin_ns)
        borrowed_per_s = sum(one.rate_per_s for one in self.borrowed if one.expires_at_ns > end_ns)
        return max(0.0, self.own_per_s - lent_per_s) + borrowed_per_s

    def bucket_capacity(self, now_ns: int) -> float:
        """Returns how many units the bucket holds at most.

        All routers' buckets together hold what the quota gives in `burst_s`, and a unit of each router.
        """
        return max(1.0, self.available_per_s(now_ns) * self.burst_s)

    def _fill(self, now_ns: int) -> None:
        """Adds to the bucket what was gained since the last time, and drops the leases that have ended.

        Guards the sum against leases that ended meanwhile, here or at a borrower: the time counts for the
        least that was available in it, and a long one for no more than the bucket holds.
        """
        passed_ns = max(0, now_ns - self.filled_at_ns)
        gained = self._least_available_per_s(self.filled_at_ns, now_ns) * passed_ns / NS_PER_S
        self.tokens = min(self.bucket_capacity(now_ns), self.tokens + gained)
        self.filled_at_ns = max(now_ns, self.filled_at_ns)
        self.lent = [one for one in self.lent if one.expires_at_ns > now_ns]
        self.borrowed = [one for one in self.borrowed if one.expires_at_ns > now_ns]

    def take(self, now_ns: int) -> bool:
        """Returns whether one more unit may be spent now; it is counted if so."""
        self.demanded += 1
        self._fill(now_ns)
        if self.tokens < 1:
            self.denied += 1
            return False
        self.tokens -= 1
        return True

    def step(self, now_ns: int) -> list[Datagram]:
        """Returns the requests for leases that are to be sent now; to be called a few times a second."""
        if now_ns < self.next_round_at_ns:
            return []
        self.next_round_at_ns = now_ns + int(ROUND_INTERVAL_NS * self.random.uniform(*ROUND_JITTER))
        self._fill(now_ns)
        self._update_demand(now_ns)
        self.requests = {
            nonce: one for nonce, one in self.requests.items() if now_ns - one.sent_at_ns < LEASE_NS
        }
        missing_per_s = self.demand_per_s * (1 + HEADROOM_FRACTION) - self._lasting_per_s(now_ns)
        room = MAX_LEASES - max(len(self.requests), len(self.borrowed))
        if missing_per_s <= self.own_per_s * MIN_REQUEST_FRACTION or self.routers < 2 or room <= 0:
            return []
        others = [router for router in range(self.routers) if router != self.me]
        # One more than would do, since some have nothing to lend.
        wanted_lenders = math.ceil(missing_per_s / (self.own_per_s * LENDABLE_FRACTION)) + 1
        lenders = self.random.sample(others, min(wanted_lenders, MAX_ASKED, room, len(others)))
        return [
            Datagram(lender, self._request(now_ns, lender, missing_per_s / len(lenders)))
            for lender in lenders
        ]

    def _update_demand(self, now_ns: int) -> None:
        passed_ns = max(1, now_ns - self.stepped_at_ns)
        self.demand_per_s += (self.demanded * NS_PER_S / passed_ns - self.demand_per_s) / 2
        self.demanded = 0
        self.stepped_at_ns = now_ns

    def _lasting_per_s(self, now_ns: int) -> float:
        """Returns what is available but for leases that end within two rounds: those are asked for anew."""
        soon_ns = now_ns + 2 * ROUND_INTERVAL_NS
        ending_per_s = sum(one.rate_per_s for one in self.borrowed if now_ns < one.expires_at_ns <= soon_ns)
        return self.available_per_s(now_ns) - ending_per_s

    def _request(self, now_ns: int, lender: int, wanted_per_s: float) -> bytes:
        self.nonce = (self.nonce + 1) & MAX_NONCE
        self.requests[self.nonce] = LeaseRequest(lender, now_ns, wanted_per_s)
        amount = min(MAX_AMOUNT, math.ceil(wanted_per_s * MILLI_UNITS))
        return MESSAGE.pack(QuotaMessageKind.REQUEST, self.nonce, amount)

    def receive(self, now_ns: int, sender: int, data: bytes) -> list[Datagram]:
        """Reads another router's message; returns the answer to it, if one is due.

        Raises QuotaEscrowError where it can't be read.
        """
        if len(data) != MESSAGE.size:
            raise QuotaEscrowError(f"expected {MESSAGE.size} bytes, got {len(data)}")
        if not 0 <= sender < self.routers or sender == self.me:
            raise QuotaEscrowError(f"a message of no other router: {sender}")
        kind, nonce, amount = MESSAGE.unpack(data)
        if kind == QuotaMessageKind.REQUEST:
            lent = self._lend(now_ns, sender, amount / MILLI_UNITS)
            return [Datagram(sender, MESSAGE.pack(QuotaMessageKind.GRANT, nonce, lent))] if lent else []
        if kind != QuotaMessageKind.GRANT:
            raise QuotaEscrowError(f"kind {kind:#x} is not known")
        self._borrow(now_ns, sender, nonce, amount)
        return []

    def _borrow(self, now_ns: int, lender: int, nonce: int, amount: int) -> None:
        """Takes a grant of `amount` milli-units a second, if it answers a request of this router in time."""
        request = self.requests.get(nonce)
        if request is None or request.lender != lender:
            return  # for an earlier process, doubled, or never asked for
        del self.requests[nonce]
        # Guards against a grant that is larger than the request: no router lends that.
        is_in_bounds = amount <= math.ceil(request.wanted_per_s * MILLI_UNITS)
        expires_at_ns = request.sent_at_ns + LEASE_NS
        if now_ns < expires_at_ns and is_in_bounds:
            self._fill(now_ns)
            self.borrowed.append(Lease(lender, self.me, amount / MILLI_UNITS, expires_at_ns))

    def _lend(self, now_ns: int, borrower: int, wanted_per_s: float) -> int:
        """Lends what can be spared and holds it back from now on; returns it in milli-units a second."""
        self._fill(now_ns)
        if now_ns < self.no_lending_until_ns or len(self.lent) >= MAX_LEASES:
            return 0
        lendable_per_s = self.own_per_s * LENDABLE_FRACTION - sum(one.rate_per_s for one in self.lent)
        unneeded_per_s = self.available_per_s(now_ns) - self.demand_per_s * (1 + HEADROOM_FRACTION)
        spare_per_s = min(lendable_per_s, unneeded_per_s, wanted_per_s)
        lent = math.floor(spare_per_s * MILLI_UNITS)
        if lent <= 0 or spare_per_s < self.own_per_s * MIN_LEASE_FRACTION:
            return 0
        self.lent.append(Lease(self.me, borrower, lent / MILLI_UNITS, now_ns + LENDER_HOLD_NS))
        return lent
