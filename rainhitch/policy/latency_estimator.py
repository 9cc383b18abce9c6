"""The answer time to expect of one server, by what was observed of it.

Three things are estimated: the moving average of answer times, the answer time when the server is uncrowded,
and how many attempts of this router were in flight there meanwhile. What the average has above the uncrowded
answer time is put down to a queue at the server, which drains while nobody is heard to send more.
"""

import math
from dataclasses import dataclass

from rainhitch.policy.rates import SMOOTHING

MAX_SAMPLE_WEIGHT = 1 / 2  # of one answer time in the moving average
# The uncrowded answer time grows by this factor with each sample, so that it is slowly forgotten.
UNCROWDED_GROWTH_FACTOR = 1 + SMOOTHING / 16
# Times the expected answer time after which an answer is taken as lost: with this mean, e^-8 of them take
# longer.
LOST_ANSWER_FACTOR = 8


@dataclass(slots=True)
class LatencyEstimator:
    """What is known of one server's answer times."""

    average_ns: float  # moving average
    uncrowded_ns: float = 0.0  # the least average seen, slowly forgotten; 0: none yet
    updated_at_ns: int = 0
    mean_in_flight: float = 1.0  # moving average of the attempts this router had in flight meanwhile

    def idle_adjusted_ns(self, now_ns: int, routers: int) -> float:
        """The average by now, without the part of the queue that has drained since the last sample.

        Guards against a queue that drained long ago and is still expected: the server's last answer was slow,
        so nobody asks it again, so it stays slow in all routers' eyes. A queue is served within the answer
        time that it caused, unless others send more: `routers` is how many send without being heard of,
        with this one.
        """
        queueing_ns = self.average_ns - self.uncrowded_ns
        if not self.uncrowded_ns or queueing_ns <= 0:
            return self.average_ns
        age_ns = min(0, self.updated_at_ns - now_ns)  # as a negative number
        return self.uncrowded_ns + queueing_ns * math.exp(age_ns / (self.average_ns * routers))

    def expected_ns(self, now_ns: int, in_flight: int, routers: int) -> float:
        """The answer time to expect of one more request.

        It is taken to grow with what this router has in flight there. `routers`: see `idle_adjusted_ns`.
        """
        return self.idle_adjusted_ns(now_ns, routers) * (in_flight + 1) / self.mean_in_flight

    def record_latency(
        self, now_ns: int, span_ns: int, elapsed_ns: int, routers: int, min_weight: float = SMOOTHING
    ) -> None:
        """Takes an answer time into the average, whichever router observed it.

        `span_ns` is the time that the average covers. A sample weighs the part of it that has passed since
        the last, from `min_weight` to `MAX_SAMPLE_WEIGHT`: guards against an average that hardly moves where
        answers come seldom. The drained part of a queue is forgotten only after a silence longer than an
        answer time: guards against a lasting queue forgotten bit by bit between any two answers.
        """
        weight = min(max((now_ns - self.updated_at_ns) / span_ns, min_weight), MAX_SAMPLE_WEIGHT)
        if now_ns - self.updated_at_ns > self.average_ns * routers:
            self.average_ns = self.idle_adjusted_ns(now_ns, routers)
        self.updated_at_ns = now_ns
        self.average_ns += (elapsed_ns - self.average_ns) * weight
        uncrowded_ns = self.uncrowded_ns * UNCROWDED_GROWTH_FACTOR
        if uncrowded_ns == 0:
            uncrowded_ns = self.average_ns
        self.uncrowded_ns = min(uncrowded_ns, self.average_ns)
