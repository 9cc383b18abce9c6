"""Recent estimates of the time to an answer and of the rates at which requests arrive and are served."""

NS_PER_S = 1_000_000_000
ANSWER_TIME_WEIGHT = 1 / 8  # weight of one answer in the moving average of answer times
FIRST_ATTEMPTS_WEIGHT = 1 / 8  # weight of one period in the moving average of first attempts a second
PEAK_RATE_DECAY_FACTOR = 0.99  # decay per period of the peak service rate, which halves it in 17 s
MIN_RETURNS_PER_S = 1.0  # lower bound of the rate of returning clients


class ServiceEstimate:
    """Moving averages, and the rate of returning clients that follows from them.

    `retry_fraction` is the fraction of the peak service rate that is reserved for returning clients.
    """

    def __init__(self, retry_fraction: float) -> None:
        self.retry_fraction = retry_fraction
        self.answer_time_ns = 0.0  # average time from a request's arrival to its answer
        self.peak_served_per_s = 0.0  # highest service rate of a period, which decays
        self.first_attempts_per_s = 0.0

    def record_answer(self, answer_time_ns: int) -> None:
        """Records the time from arrival to answer of a served request, ns."""
        self.answer_time_ns += (answer_time_ns - self.answer_time_ns) * ANSWER_TIME_WEIGHT

    def record_period(self, span_ns: int, served: int, first_attempts: int) -> None:
        """Records the numbers of served requests and of arriving first attempts in a period of `span_ns`."""
        served_per_s = served * NS_PER_S / span_ns
        first_attempts_per_s = first_attempts * NS_PER_S / span_ns
        self.peak_served_per_s = max(served_per_s, self.peak_served_per_s * PEAK_RATE_DECAY_FACTOR)
        self.first_attempts_per_s += (
            first_attempts_per_s - self.first_attempts_per_s
        ) * FIRST_ATTEMPTS_WEIGHT

    def returns_per_s(self) -> float:
        """Returns the rate at which returning clients can be served.

        It is the part of the peak service rate that first attempts leave over, but at least the fraction
        reserved for retries.
        """
        spare_per_s = self.peak_served_per_s - self.first_attempts_per_s
        return max(MIN_RETURNS_PER_S, spare_per_s, self.peak_served_per_s * self.retry_fraction)
