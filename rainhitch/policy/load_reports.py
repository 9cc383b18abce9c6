"""Load reports that servers send with their answers; they include other routers' load, with a delay."""

from dataclasses import dataclass

from rainhitch import interface as api
from rainhitch.policy.rates import SECOND

MAX_REPORT_AGE_NS = SECOND  # an older report is ignored, because the load may have changed since
NS_PER_MS = 1e6


@dataclass(slots=True)
class ReportedLoad:
    """The latest load report of one server."""

    report: api.LoadReport | None = None
    received_at_ns: int = 0

    def record_report(self, now_ns: int, report: api.LoadReport | None) -> None:
        """Stores a report that came with an answer, if it has the fields that the estimate needs."""
        if report is not None and report.in_flight >= 0 and report.latency_ms > 0:
            self.report = report
            self.received_at_ns = now_ns

    def expected_ns(self, now_ns: int) -> float:
        """Returns the expected latency of one more request by the latest report; 0 if it is too old."""
        report = self.report
        if report is None or now_ns - self.received_at_ns > MAX_REPORT_AGE_NS:
            return 0.0
        # Little's law gives the mean number of requests in service, of which each occupies a core.
        busy_cores = max(1.0, report.served_per_s * report.latency_ms / 1000)
        return report.latency_ms * NS_PER_MS * (report.in_flight + 1) / busy_cores
