"""Estimates of what this router's requests get lately: the time to an answer, and rates of service."""

NS_PER_S = 1_000_000_000
ANSWER_TIME_WEIGHT = 1 / 8  # of an answer in the moving average of answer times
FIRST_ATTEMPTS_WEIGHT = 1 / 8  # of a period in the moving average of first attempts a second
BEST_RATE_DECAY_FACTOR = 0.99  # a period, of the most that was served a second: halved in 17 s
MIN_RETURNS_PER_S = 1.0


class ServiceEstimate:
    """Moving averages; `retry_fraction` is what of the served requests is reserved for returning clients."""

    def __init__(self, retry_fraction: float) -> None:
        self.retry_fraction = retry_fraction
        self.answer_time_ns = 0.0  # from a request's arrival to its answer
        self.best_served_per_s = 0.0  # the most in a period, decaying
        self.first_attempts_per_s = 0.0

    def record_answer(self, answer_time_ns: int) -> None:
        """Records how long a request that was served took, ns."""
        self.answer_time_ns += (answer_time_ns - self.answer_time_ns) * ANSWER_TIME_WEIGHT

    def record_period(self, span_ns: int, served: int, first_attempts: int) -> None:
        """Records the requests that were served, and those that were no retries, in a period of `span_ns`."""
        served_per_s = served * NS_PER_S / span_ns
        first_attempts_per_s = first_attempts * NS_PER_S / span_ns
        self.best_served_per_s = max(served_per_s, self.best_served_per_s * BEST_RATE_DECAY_FACTOR)
        self.first_attempts_per_s += (
            first_attempts_per_s - self.first_attempts_per_s
        ) * FIRST_ATTEMPTS_WEIGHT

    def returns_per_s(self) -> float:
        """Returns how many returning clients a second can be served.

        It is what first attempts leave of the best rate, and the fraction reserved for retries at least.
        """
        spare_per_s = self.best_served_per_s - self.first_attempts_per_s
        return max(MIN_RETURNS_PER_S, spare_per_s, self.best_served_per_s * self.retry_fraction)
