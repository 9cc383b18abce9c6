"""Stands in for overload control in a router that has none."""

from rainhitch import interface as api


class NoOverloadControl:
    """Admits every request and every attempt; `api.OverloadControl` says what each method is for."""

    period_ns = 0  # `step` is never called

    def __init__(self, settings: api.Settings) -> None:
        """Takes the settings that say after how long rejected clients are told to come again."""
        self.told_retry_after_ns = 0
        if settings.retry_after_allowed:
            shortest_objective_ns = min(spec.latency_objective_ns for spec in settings.classes)
            self.told_retry_after_ns = min(shortest_objective_ns, settings.max_retry_after_ns)

    def admit(self, now_ns: int, request: api.Request, over_quota: bool) -> api.AdmissionDecision:
        """Admits."""
        return api.AdmissionDecision.ADMIT

    def earlier_attempts(self, request: api.Request) -> list[tuple[int, api.Endpoint]]:
        """Remembers none."""
        return []

    def take_retry_budget(self, now_ns: int, is_retry: bool) -> bool:
        """Allows it."""
        return True

    def attempt_started(
        self, now_ns: int, request_id: str, number: int, endpoint: api.Endpoint, dedup_window_ns: int
    ) -> None:
        """Does nothing."""

    def attempt_finished(self, now_ns: int, event: api.AttemptFinished) -> str:
        """Queues none, so none begins."""
        return ""

    def request_finished(self, now_ns: int, request_id: str, served: bool, rejected: bool) -> str:
        """Queues none, so none begins."""
        return ""

    def retry_after_ns(self, now_ns: int, request: api.Request) -> int:
        """The shortest latency objective, as far as the settings allow it."""
        return self.told_retry_after_ns

    def timer_delayed(self, delay_ns: int) -> None:
        """Does nothing."""

    def step(self, now_ns: int) -> str:
        """Logs nothing."""
        return ""
