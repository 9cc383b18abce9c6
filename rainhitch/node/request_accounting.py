"""Counts each request and its outcome in the metrics, the `second` record and the `bad` record."""

from collections import defaultdict

from rainhitch.node.client_request import ClientRequest
from rainhitch.node.in_flight_request import InFlightRequest
from rainhitch.system import Clock
from rainhitch.telemetry.counts import Counts
from rainhitch.telemetry.records import CLIENT_GAVE_UP, CLIENT_LEFT, CUT_OFF, ROUTER_FULL, SERVED, Bad
from rainhitch.telemetry.router_metrics import RouterMetrics

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
# A client that disconnects with less than this left of its wait counts as having given up waiting.
GAVE_UP_WAITING_NS = 150 * NS_PER_MS


class RequestAccounting:
    """The request counts of one router; the outcomes are the texts in `telemetry/records.py`."""

    def __init__(self, clock: Clock, class_names: list[str], counts: Counts) -> None:
        self.clock = clock
        self.metrics = RouterMetrics(class_names)
        self.counts = counts
        self.tenant_names: dict[int, str] = defaultdict(str)  # by tenant index

    def accepted(self, client_request: ClientRequest) -> None:
        """Counts a request that was accepted."""
        self.metrics.in_flight += 1
        self.counts.taken += 1
        self.counts.add_unread(client_request.unread_ms)

    def failed_duplicate_id(self, client_request: ClientRequest) -> None:
        """Counts a request that failed at once because another with the same id is in flight."""
        self.metrics.failed[client_request.class_index] += 1

    def rejected_at_capacity(self, client_request: ClientRequest) -> None:
        """Counts a request that was rejected because the router is at its limit of requests or bytes."""
        self.metrics.rejected[client_request.class_index] += 1
        self.counts.taken += 1
        self.counts.add("ended", ROUTER_FULL)

    def answered(
        self, request: InFlightRequest, metric: list[int], outcome: str, is_over_quota: bool
    ) -> None:
        """Counts a request that got its final response, also in `metric`, a list by class."""
        metric[request.client_request.class_index] += 1
        self.counts.add("ended", outcome)
        tenant = self.tenant_names[request.client_request.tenant]
        mark = "+" if is_over_quota else ""
        self.counts.add("customers", f"{tenant}{mark} {outcome.partition(':')[0]}")
        if request.finished_attempts and outcome != SERVED:
            self._add_bad_record(request, outcome)

    def relay_ended(self, request: InFlightRequest, whole: bool) -> None:
        """Counts a long value that was forwarded completely or cut off."""
        self.metrics.in_flight -= 1
        metric = self.metrics.served if whole else self.metrics.failed
        metric[request.client_request.class_index] += 1
        self.counts.add("ended", SERVED if whole else CUT_OFF)

    def client_disconnected(self, request: InFlightRequest) -> None:
        """Counts a request whose client disconnected before the response."""
        client_gave_up = request.client_deadline_ns - self.clock.now() < GAVE_UP_WAITING_NS
        outcome = CLIENT_GAVE_UP if client_gave_up else CLIENT_LEFT
        self.counts.add("ended", outcome)
        if client_gave_up:
            self._add_bad_record(request, outcome)

    def _add_bad_record(self, request: InFlightRequest, outcome: str) -> None:
        now = self.clock.now()
        client_request = request.client_request
        attempts = [str(finished) for finished in request.finished_attempts]
        attempt = request.attempt
        if attempt is not None:
            attempts.append(f"{attempt.server} out for {(now - attempt.started_at_ns) // NS_PER_MS} ms")
        record = Bad(
            self.clock.unix_ns() / NS_PER_S,
            request.id,
            outcome,
            attempts,
            client_request.connection_id,
            client_request.unread_ms,
            (request.client_deadline_ns - now) // NS_PER_MS,
        )
        self.counts.add_bad(record)
