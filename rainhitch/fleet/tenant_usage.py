"""How many requests each router takes of each tenant, and this router's fraction. No sockets, no clock.

Each router publishes, for its latest window, how many requests it took of each tenant, with its generation
and a sequence number that grows with each report: a counter by author and incarnation (Shapiro and others,
"Conflict-free replicated data types", 2011), in windows, so that what is over is forgotten. Of two reports of
a router the one of the higher generation, then sequence, holds, however often and in whatever order they
came. So a router that restarted, whose datagrams were doubled, or that comes back from a pause counts once,
and its earlier generation not at all.

    generation (4) | sequence (4) | requests of each tenant (2 each), or their sum beyond MAX_TENANTS

Error: a report is one interval old at most while reports arrive, and a router that is not heard for
`EXPIRY_INTERVALS` of them is left out: a fraction is off by what traffic moved between routers meanwhile.
Routers that are not heard count as busy as the mean of those that are, so that a sample is enough; from too
small a sample no fraction is known. The reports that a router receives are bounded by
`MAX_REPORTS_HEARD_PER_S`.
"""

import struct
from collections import deque
from dataclasses import dataclass

from rainhitch.fleet.datagram import FleetError

HEADER = struct.Struct(">II")  # generation, sequence
NS_PER_S = 1_000_000_000
WINDOW_NS = 4 * NS_PER_S
MIN_INTERVAL_NS = NS_PER_S  # between two reports of a router, where the fleet is small
MAX_REPORTS_HEARD_PER_S = 20  # of all other routers together
EXPIRY_INTERVALS = 4  # without a report, after which a router counts as not heard
MIN_HEARD_FRACTION = 1 / 4  # of the other routers, that must be heard; with fewer no fraction is known
ENOUGH_HEARD = 16  # routers heard that are enough in a fleet of any size
MAX_TENANTS = 16  # counted one by one
MAX_COUNT = 0xFFFF  # of one tenant in a report


class TenantUsageError(FleetError):
    """A usage report that can't be read."""


@dataclass(slots=True)
class UsageReport:
    """The latest report of one router."""

    generation: int
    sequence: int
    requests: tuple[int, ...]  # in its window, by tenant
    heard_at_ns: int


@dataclass(slots=True)
class UsageMark:
    """This router's totals at one time."""

    at_ns: int
    totals: tuple[int, ...]


class TenantUsage:
    """All routers' usage as one of them knows it.

    `me` is this router's number of `routers`, `tenants` how many there are, `generation` 32 bits, more with
    each start of this router. Times are ns.
    """

    def __init__(self, me: int, routers: int, tenants: int, generation: int, now_ns: int) -> None:
        self.me = me
        self.routers = routers
        self.generation = generation
        self.counted = tenants if tenants <= MAX_TENANTS else 1  # counts in a report
        self.sequence = 0
        self.totals = [0] * self.counted  # since the start
        self.marks = deque([UsageMark(now_ns, tuple(self.totals))])  # the first is where the window begins
        self.reports: dict[int, UsageReport] = {}  # by router
        self.interval_ns = max(MIN_INTERVAL_NS, routers * NS_PER_S // MAX_REPORTS_HEARD_PER_S)

    def add(self, tenant: int) -> None:
        """Counts a request that this router has taken."""
        self.totals[tenant if tenant < self.counted else 0] += 1

    def mark(self, now_ns: int) -> None:
        """Moves the window on; to be called a few times a second."""
        self.marks.append(UsageMark(now_ns, tuple(self.totals)))
        while len(self.marks) > 1 and now_ns - self.marks[1].at_ns >= WINDOW_NS:
            self.marks.popleft()

    def taken(self) -> list[int]:
        """Returns the requests that this router took in its window, by tenant."""
        return [total - before for total, before in zip(self.totals, self.marks[0].totals, strict=True)]

    def encode(self) -> bytes:
        """Returns the report that is to be published now."""
        self.sequence += 1
        requests = [min(MAX_COUNT, one) for one in self.taken()]
        return HEADER.pack(self.generation, self.sequence) + struct.pack(f">{self.counted}H", *requests)

    def receive(self, now_ns: int, sender: int, data: bytes) -> bool:
        """Reads another router's report; returns whether it is newer than what is known.

        Raises TenantUsageError where its length is wrong, or its sender is no other router.
        """
        expected_bytes = HEADER.size + 2 * self.counted
        if len(data) != expected_bytes:
            raise TenantUsageError(f"expected a report of {expected_bytes} bytes, got {len(data)}")
        if not 0 <= sender < self.routers or sender == self.me:
            raise TenantUsageError(f"a report of no other router: {sender}")
        generation, sequence = HEADER.unpack_from(data)
        known = self.reports.get(sender)
        if known is not None and (generation, sequence) <= (known.generation, known.sequence):
            return False
        requests = struct.unpack(f">{self.counted}H", data[HEADER.size :])
        self.reports[sender] = UsageReport(generation, sequence, requests, now_ns)
        return True

    def fresh_reports(self, now_ns: int) -> list[UsageReport]:
        """Returns the other routers' reports that have not expired."""
        expiry_ns = EXPIRY_INTERVALS * self.interval_ns
        return [one for one in self.reports.values() if now_ns - one.heard_at_ns <= expiry_ns]

    def fractions(self, now_ns: int) -> list[float]:
        """Returns this router's fraction of all routers' requests of each tenant, 0 to 1.

        The result is in the tenants' order, one for all beyond `MAX_TENANTS`; empty where too few routers are
        heard.
        """
        reports = self.fresh_reports(now_ns)
        if not reports or len(reports) < min(ENOUGH_HEARD, (self.routers - 1) * MIN_HEARD_FRACTION):
            return []
        # A router that is not heard counts as busy as the mean of those that are. Guards the sum against two
        # halves of a cut fleet that would each take the whole.
        factor = (self.routers - 1) / len(reports)
        by_tenant = zip(*(one.requests for one in reports), strict=True)
        others = [sum(requests) * factor for requests in by_tenant]
        return [
            mine / (mine + theirs) if mine else 0.0 for mine, theirs in zip(self.taken(), others, strict=True)
        ]
