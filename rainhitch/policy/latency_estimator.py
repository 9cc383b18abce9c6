"""Estimate of a server's latency from observed latencies.

The estimator keeps three values: the moving average of latencies, the unloaded latency (the lowest recent
average), and the average number of this router's attempts in flight at the server. The difference between the
average and the unloaded latency is attributed to a queue at the server, which drains while no new load is
known.
"""

import math
from dataclasses import dataclass

from rainhitch.policy.rates import SMOOTHING

MAX_SAMPLE_WEIGHT = 1 / 2  # highest weight of one sample in the moving average
# The unloaded latency grows by this factor with each sample, so that an outdated minimum is forgotten slowly.
UNLOADED_GROWTH_FACTOR = 1 + SMOOTHING / 16
# Multiple of the expected latency after which an answer counts as lost. Of exponentially distributed
# latencies with this mean, a fraction of e^-8 is longer.
LOST_ANSWER_FACTOR = 8


@dataclass(slots=True)
class LatencyEstimator:
    """Latency estimate of one server."""

    average_ns: float  # moving average
    unloaded_ns: float = 0.0  # unloaded latency: the lowest average, forgotten slowly; 0: not known yet
    updated_at_ns: int = 0
    mean_in_flight: float = 1.0  # moving average of this router's attempts in flight, at each answer

    def idle_adjusted_ns(self, now_ns: int, routers_to_account_for: int) -> float:
        """Returns the average less the part of the queue that has drained since the last sample.

        Without this, a server whose last answer was slow would get no more requests, so all routers would
        keep counting it as slow although its queue has drained. A queue drains within the latency that it
        caused, unless other routers add to it. `routers_to_account_for` is the number of routers whose load
        is unknown, plus one for this router; the queue is taken to drain slower by that factor.
        """
        queueing_ns = self.average_ns - self.unloaded_ns
        if not self.unloaded_ns or queueing_ns <= 0:
            return self.average_ns
        age_ns = min(0, self.updated_at_ns - now_ns)  # as a negative number
        return self.unloaded_ns + queueing_ns * math.exp(age_ns / (self.average_ns * routers_to_account_for))

    def expected_ns(self, now_ns: int, in_flight: int, routers_to_account_for: int) -> float:
        """Returns the expected latency of one more request.

        It grows in proportion to this router's attempts in flight at the server. For
        `routers_to_account_for` see `idle_adjusted_ns`.
        """
        return self.idle_adjusted_ns(now_ns, routers_to_account_for) * (in_flight + 1) / self.mean_in_flight

    def record_latency(
        self,
        now_ns: int,
        span_ns: int,
        elapsed_ns: int,
        routers_to_account_for: int,
        min_weight: float = SMOOTHING,
    ) -> None:
        """Adds a latency, observed by any router, to the moving average.

        `span_ns` is the averaging window. The weight of a sample is the fraction of the window since the last
        sample, from `min_weight` to `MAX_SAMPLE_WEIGHT`, so that the average also follows rare answers. The
        drained part of a queue is left out only after an interval longer than the average latency times
        `routers_to_account_for`; otherwise a lasting queue would be forgotten bit by bit between answers.
        """
        weight = min(max((now_ns - self.updated_at_ns) / span_ns, min_weight), MAX_SAMPLE_WEIGHT)
        if now_ns - self.updated_at_ns > self.average_ns * routers_to_account_for:
            self.average_ns = self.idle_adjusted_ns(now_ns, routers_to_account_for)
        self.updated_at_ns = now_ns
        self.average_ns += (elapsed_ns - self.average_ns) * weight
        unloaded_ns = self.unloaded_ns * UNLOADED_GROWTH_FACTOR
        if unloaded_ns == 0:
            unloaded_ns = self.average_ns
        self.unloaded_ns = min(unloaded_ns, self.average_ns)
