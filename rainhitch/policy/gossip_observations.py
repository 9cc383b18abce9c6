"""What this router publishes of servers' answer times, and what it learns from other routers.

Guards against a fleet in which each router sees a server seldom, so that all of them learn late of its load.
Attempts that are in flight for long are looked at here too: what the other routers have observed tells a lost
answer from an overloaded server.
"""

from dataclasses import dataclass

from rainhitch import interface as api
from rainhitch.policy.decision_context import DecisionContext
from rainhitch.policy.latency_estimator import LOST_ANSWER_FACTOR
from rainhitch.policy.server import Server, ServerList

# Times the expected answer time after which an attempt in flight tells of its server's load.
OVERDUE_FACTOR = 2
# The shortest latency objective by it: a younger attempt is never looked at.
MIN_OVERDUE_OBJECTIVE_DIVISOR = 8
SILENT_AFTER_INTERVALS = 8  # gossip intervals without gossip after which the other routers count as silent
# The shortest latency objective by it: an answer that took longer cuts its server's range share.
RANGE_CUT_LATENCY_DIVISOR = 2
NEVER_RECEIVED_NS = -(1 << 62)  # a time long before any clock value


@dataclass(slots=True)
class ObservedAttempt:
    """One attempt of this router that has not ended, as it is looked at for an overdue or a lost answer."""

    server: Server
    sent_at_ns: int
    is_idempotent: bool  # it may be repeated without harm


class GossipObservations:
    """Answer times for the other routers and from them, and this router's attempts in flight."""

    def __init__(self, context: DecisionContext, server_list: ServerList, span_ns: int) -> None:
        """`span_ns` is the time that an average of answer times covers."""
        self.context = context
        self.server_list = server_list
        self.span_ns = span_ns
        self.received_at_ns = NEVER_RECEIVED_NS  # when gossip last came
        self.observations: list[api.LatencyObservation] = []  # since they were last published
        # By request id and attempt number, in the order in which they were sent.
        self.in_flight: dict[tuple[str, int], ObservedAttempt] = {}

    def routers_to_account_for(self) -> int:
        """How many routers send without being heard of, with this one.

        All of them where no gossip has come for long, else this one alone.
        """
        settings = self.context.settings
        since_gossip_ns = self.context.now_ns - self.received_at_ns
        is_silent = since_gossip_ns > SILENT_AFTER_INTERVALS * settings.gossip_interval_ns
        return settings.router_count if is_silent else 1

    def observe(self, server: Server, elapsed_ns: int, is_in_flight: bool = False) -> None:
        """Keeps an answer time for the other routers, or for how long an attempt has been in flight."""
        if self.context.settings.gossip_interval_ns and server is not self.server_list.origin:
            name = server.endpoint.server
            self.observations.append(api.LatencyObservation(name, elapsed_ns, is_in_flight))

    def publish(self, _: api.GossipIntervalElapsed) -> None:
        """Sends the other routers what was observed since the last time, also where that is nothing."""
        if self.routers_to_account_for() == 1:
            self._check_overdue_attempts()
        self.context.actions.append(api.PublishGossip(self.observations))
        self.observations = []

    def apply(self, event: api.GossipReceived) -> None:
        """Takes what another router has observed as if this one had."""
        now_ns = self.context.now_ns
        slow_above_ns = self.context.shortest_objective_ns // RANGE_CUT_LATENCY_DIVISOR
        self.received_at_ns = now_ns
        for observation in event.observations:
            server = self.server_list.servers.get(observation.server)
            if server is None or server is self.server_list.origin:
                continue
            elapsed_ns = observation.elapsed_ns
            if not observation.is_in_flight:
                server.record_proof(now_ns, now_ns - elapsed_ns - self.context.settings.gossip_interval_ns)
            server.latency.record_latency(now_ns, self.span_ns, elapsed_ns, 1)
            server.adjust_range_share(now_ns, elapsed_ns, elapsed_ns > slow_above_ns)

    def _check_overdue_attempts(self) -> None:
        """Learns from attempts whose answers are overdue, and ends those whose answers are lost."""
        now_ns = self.context.now_ns
        min_age_ns = self.context.shortest_objective_ns // MIN_OVERDUE_OBJECTIVE_DIVISOR
        for (request_id, number), attempt in self.in_flight.items():
            server = attempt.server
            sent_at_ns = attempt.sent_at_ns
            age_ns = now_ns - sent_at_ns
            if age_ns < min_age_ns:
                break  # the others were sent later
            expected_ns = server.latency.idle_adjusted_ns(now_ns, 1)
            if is_overdue(server, sent_at_ns, age_ns, expected_ns):
                server.latency.record_latency(now_ns, self.span_ns, age_ns, 1)
                self.observe(server, age_ns, is_in_flight=True)
            elif attempt.is_idempotent and is_answer_lost(server, sent_at_ns, expected_ns):
                self.context.actions.append(api.CancelAttempt(request_id, number))


def is_overdue(server: Server, sent_at_ns: int, age_ns: int, expected_ns: float) -> bool:
    """Whether an attempt in flight tells that its server is overloaded.

    Guards against an overload that all learn of with its answers, seconds late: an attempt whose age is far
    beyond the expected answer time tells that much at once. It does so only while the server answers (guards
    against an unreachable server taken for an overloaded one) what was sent earlier, not what was sent later
    (guards against one lost answer taken for an overload).
    """
    answers_earlier_ones = server.answered_at_ns > sent_at_ns > server.proven_sent_at_ns
    return answers_earlier_ones and age_ns > OVERDUE_FACTOR * expected_ns


def is_answer_lost(server: Server, sent_at_ns: int, expected_ns: float) -> bool:
    """Whether an attempt's answer is lost: its server has answered, to any router, what was sent much later.

    Such an attempt is ended, to be sent elsewhere, if it may be repeated. Guards against reads that wait for
    lost answers until their clients are gone.
    """
    return server.proven_sent_at_ns - sent_at_ns > LOST_ANSWER_FACTOR * expected_ns
