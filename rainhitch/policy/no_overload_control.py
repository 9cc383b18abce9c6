"""Stands in for overload control in a router that has none."""

from rainhitch import interface as api


class NoOverloadControl:
    """Admits every request and every attempt; `api.OverloadControl` says what each method is for."""

    period_ns = 0  # `step` is never called

    def __init__(self, settings: api.Settings) -> None:
        """Takes the settings that say after how long rejected clients are told to come again."""
        self.retry_after = 0
        if settings.retry_after_allowed:
            shortest_objective_ns = min(spec.latency_objective_ns for spec in settings.classes)
            self.retry_after = min(shortest_objective_ns, settings.max_retry_after_ns)

    def admit(self, now: int, request: api.Request, marked: bool) -> api.AdmissionDecision:
        """Admits."""
        return api.AdmissionDecision.ADMIT

    def earlier_attempts(self, request: api.Request) -> list[tuple[int, api.Endpoint]]:
        """Remembers none."""
        return []

    def take_retry_budget(self, now: int, again: bool) -> bool:
        """Allows it."""
        return True

    def attempt_started(self, now: int, id: str, number: int, member: api.Endpoint, window: int) -> None:
        """Does nothing."""

    def attempt_finished(self, now: int, event: api.AttemptFinished) -> str:
        """Queues none, so none begins."""
        return ""

    def request_finished(self, now: int, id: str, served: bool, refused: bool) -> str:
        """Queues none, so none begins."""
        return ""

    def retry_after_ns(self, now: int, request: api.Request) -> int:
        """The shortest latency objective, as far as the settings allow it."""
        return self.retry_after

    def timer_delayed(self, late: int) -> None:
        """Does nothing."""

    def step(self, now: int) -> str:
        """Logs nothing."""
        return ""
