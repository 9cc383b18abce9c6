"""Computes this router's fraction of all routers' requests of each tenant. No sockets, no clock.

Each router publishes the number of requests it received of each tenant in its latest window, with its
generation and a sequence number that grows with each report. This is a counter per replica and incarnation
(Shapiro et al., "Conflict-free replicated data types", 2011), over windows, so that old requests are dropped.
Of two reports of a router the one with the higher generation, then sequence, is kept, whatever their order
and however often they were received. So a router that restarted, whose datagrams were duplicated, or that
resumed from a pause counts once, and its earlier generation does not count.

    generation (4) | sequence (4) | requests of each tenant (2 each), or of all if there are over MAX_TENANTS

Error of a fraction: while reports arrive they are at most one interval old, and a router without a report
for `EXPIRY_INTERVALS` intervals is left out, so a fraction is off by the traffic that has moved between
routers in that time. Routers without a report are assumed to have the mean traffic of those with one, so a
sample of the routers suffices; from too small a sample no fraction is given. The reports that a
router receives are bounded by `MAX_REPORTS_RECEIVED_PER_S`.
"""

import struct
from collections import deque
from dataclasses import dataclass

from rainhitch.fleet.datagram import FleetError

HEADER = struct.Struct(">II")  # generation, sequence
NS_PER_S = 1_000_000_000
WINDOW_NS = 4 * NS_PER_S  # time over which requests are counted
MIN_INTERVAL_NS = NS_PER_S  # time between two reports of a router in a small fleet
MAX_REPORTS_RECEIVED_PER_S = 20  # reports received from all other routers together
EXPIRY_INTERVALS = 4  # intervals after which a report expires
MIN_REPORTING_FRACTION = 1 / 4  # fraction of the other routers whose reports are needed for a result
SUFFICIENT_REPORTS = 16  # number of routers whose reports suffice in a fleet of any size
MAX_TENANTS = 16  # maximum number of tenants that are counted separately
MAX_COUNT = 0xFFFF  # maximum count of one tenant in a report


class TenantUsageError(FleetError):
    """Error for a usage report that cannot be read."""


@dataclass(slots=True)
class UsageReport:
    """Latest report of one router."""

    generation: int
    sequence: int
    requests: tuple[int, ...]  # requests in the router's window, by tenant
    received_at_ns: int


@dataclass(slots=True)
class UsageSnapshot:
    """This router's totals at one time, by tenant."""

    at_ns: int
    totals: tuple[int, ...]


class TenantUsage:
    """One router's view of the usage of all routers.

    `own_index` is the number of this router among `routers`, `tenants` the number of tenants. `generation`
    has 32 bits and is higher after each start of this router. Times are in ns.
    """

    def __init__(self, own_index: int, routers: int, tenants: int, generation: int, now_ns: int) -> None:
        self.own_index = own_index
        self.routers = routers
        self.generation = generation
        self.count_fields = tenants if tenants <= MAX_TENANTS else 1  # number of counts in a report
        self.sequence = 0
        self.totals = [0] * self.count_fields  # requests received since the start, by tenant
        self.snapshots = deque([UsageSnapshot(now_ns, tuple(self.totals))])  # the first begins the window
        self.reports: dict[int, UsageReport] = {}  # latest reports by router
        self.interval_ns = max(MIN_INTERVAL_NS, routers * NS_PER_S // MAX_REPORTS_RECEIVED_PER_S)

    def add(self, tenant: int) -> None:
        """Counts a request that this router has received."""
        self.totals[tenant if tenant < self.count_fields else 0] += 1

    def advance_window(self, now_ns: int) -> None:
        """Moves the window to the current time; must be called a few times a second."""
        self.snapshots.append(UsageSnapshot(now_ns, tuple(self.totals)))
        while len(self.snapshots) > 1 and now_ns - self.snapshots[1].at_ns >= WINDOW_NS:
            self.snapshots.popleft()

    def requests_in_window(self) -> list[int]:
        """Returns the numbers of requests that this router received in its window, by tenant."""
        return [total - before for total, before in zip(self.totals, self.snapshots[0].totals, strict=True)]

    def encode(self) -> bytes:
        """Returns a new report to publish now."""
        self.sequence += 1
        requests = [min(MAX_COUNT, count) for count in self.requests_in_window()]
        return HEADER.pack(self.generation, self.sequence) + struct.pack(f">{self.count_fields}H", *requests)

    def receive(self, now_ns: int, sender: int, data: bytes) -> bool:
        """Reads another router's report; returns whether it is newer than the one kept.

        Raises TenantUsageError if its length is wrong or its sender is not one of the other routers.
        """
        expected_bytes = HEADER.size + 2 * self.count_fields
        if len(data) != expected_bytes:
            raise TenantUsageError(f"expected a report of {expected_bytes} bytes, got {len(data)}")
        if not 0 <= sender < self.routers or sender == self.own_index:
            raise TenantUsageError(f"expected a report from another of {self.routers} routers, got {sender}")
        generation, sequence = HEADER.unpack_from(data)
        known = self.reports.get(sender)
        if known is not None and (generation, sequence) <= (known.generation, known.sequence):
            return False
        requests = struct.unpack(f">{self.count_fields}H", data[HEADER.size :])
        self.reports[sender] = UsageReport(generation, sequence, requests, now_ns)
        return True

    def fresh_reports(self, now_ns: int) -> list[UsageReport]:
        """Returns the other routers' reports that have not expired."""
        expiry_ns = EXPIRY_INTERVALS * self.interval_ns
        return [report for report in self.reports.values() if now_ns - report.received_at_ns <= expiry_ns]

    def fractions(self, now_ns: int) -> list[float]:
        """Returns this router's fraction of all routers' requests of each tenant, 0 to 1.

        The result is in the order of the tenants, a single fraction if there are over `MAX_TENANTS`, or empty
        if there are too few reports.
        """
        reports = self.fresh_reports(now_ns)
        if not reports or len(reports) < min(SUFFICIENT_REPORTS, (self.routers - 1) * MIN_REPORTING_FRACTION):
            return []
        # Routers without a report are assumed to have the mean traffic of those with one. Otherwise each half
        # of a partitioned fleet would take its own traffic for the whole.
        factor = (self.routers - 1) / len(reports)
        by_tenant = zip(*(report.requests for report in reports), strict=True)
        others = [sum(requests) * factor for requests in by_tenant]
        return [
            own / (own + other) if own else 0.0
            for own, other in zip(self.requests_in_window(), others, strict=True)
        ]
