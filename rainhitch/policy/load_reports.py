"""The load that a server reports of itself with its answers. It tells what other routers send, but late."""

from dataclasses import dataclass

from rainhitch import interface as api
from rainhitch.policy.rates import SECOND

MAX_REPORT_AGE_NS = SECOND  # a report that is older tells nothing of the load by now
NS_PER_MS = 1e6


@dataclass(slots=True)
class ReportedLoad:
    """One server's latest load report."""

    report: api.LoadReport | None = None
    received_at_ns: int = 0

    def record_report(self, now_ns: int, report: api.LoadReport | None) -> None:
        """Keeps a report that came with an answer, if it has the numbers that are needed."""
        if report is not None and report.in_flight >= 0 and report.latency_ms > 0:
            self.report = report
            self.received_at_ns = now_ns

    def expected_ns(self, now_ns: int) -> float:
        """The answer time to expect of one more request by the latest report; 0 if that is too old."""
        report = self.report
        if report is None or now_ns - self.received_at_ns > MAX_REPORT_AGE_NS:
            return 0.0
        busy_cores = max(1.0, report.served_per_s * report.latency_ms / 1000)  # by Little's law
        return report.latency_ms * NS_PER_MS * (report.in_flight + 1) / busy_cores
