"""Overload control that admits everything, for a router without overload control."""

from rainhitch import interface as api


class NoOverloadControl:
    """Admits every request and every attempt; `api.OverloadControl` documents the methods."""

    period_ns = 0  # `step` is never called

    def __init__(self, settings: api.Settings) -> None:
        """Initializes the retry-after time of rejections from the settings."""
        self.fixed_retry_after_ns = 0
        if settings.retry_after_allowed:
            shortest_objective_ns = min(spec.latency_objective_ns for spec in settings.classes)
            self.fixed_retry_after_ns = min(shortest_objective_ns, settings.max_retry_after_ns)

    def admit(self, now_ns: int, request: api.Request, over_quota: bool) -> api.AdmissionDecision:
        """Admits every request."""
        return api.AdmissionDecision.ADMIT

    def earlier_attempts(self, request: api.Request) -> list[tuple[int, api.Endpoint]]:
        """Returns no attempts, since none are recorded."""
        return []

    def take_retry_budget(self, now_ns: int, is_retry: bool) -> bool:
        """Allows every attempt."""
        return True

    def attempt_started(
        self, now_ns: int, request_id: str, number: int, endpoint: api.Endpoint, dedup_window_ns: int
    ) -> None:
        """Does nothing."""

    def attempt_finished(self, now_ns: int, event: api.AttemptFinished) -> str:
        """Returns "", since no request is ever queued."""
        return ""

    def request_finished(self, now_ns: int, request_id: str, served: bool, rejected: bool) -> str:
        """Returns "", since no request is ever queued."""
        return ""

    def retry_after_ns(self, now_ns: int, request: api.Request) -> int:
        """Returns the shortest latency objective, limited by the settings."""
        return self.fixed_retry_after_ns

    def timer_delayed(self, delay_ns: int) -> None:
        """Does nothing."""

    def step(self, now_ns: int) -> str:
        """Returns "": there is nothing to log."""
        return ""
