"""Latency observations exchanged with other routers by gossip, and checks of attempts in flight.

In a large fleet each router sends a server few requests, so without gossip every router would notice the
server's overload late. Attempts that have been in flight for long are checked here too, because only the
observations of other routers distinguish a lost answer from an overloaded server.
"""

from dataclasses import dataclass

from rainhitch import interface as api
from rainhitch.policy.decision_context import DecisionContext
from rainhitch.policy.latency_estimator import LOST_ANSWER_FACTOR
from rainhitch.policy.server import Server, ServerList

# Multiple of the expected latency from which an attempt in flight is overdue.
OVERDUE_FACTOR = 2
# Attempts younger than the shortest latency objective divided by this number are not checked.
MIN_CHECKED_AGES_PER_OBJECTIVE = 8
SILENT_AFTER_INTERVALS = 8  # gossip intervals without any gossip until the other routers count as silent
# A latency above the shortest latency objective divided by this number reduces a server's range share.
RANGE_CUT_LATENCIES_PER_OBJECTIVE = 2
NEVER_RECEIVED_NS = -(1 << 62)  # a time long before any clock value


@dataclass(slots=True)
class ObservedAttempt:
    """An attempt of this router in flight, with the data to detect an overdue or a lost answer."""

    server: Server
    sent_at_ns: int
    is_idempotent: bool  # a repeat does no harm


class GossipObservations:
    """Latency observations to and from other routers, and this router's attempts in flight."""

    def __init__(self, context: DecisionContext, server_list: ServerList, span_ns: int) -> None:
        """Initializes without observations; `span_ns` is the averaging window of latencies."""
        self.context = context
        self.server_list = server_list
        self.span_ns = span_ns
        self.received_at_ns = NEVER_RECEIVED_NS  # time of the latest gossip from another router
        self.observations: list[api.LatencyObservation] = []  # observations not published yet
        # By request id and attempt number, in the order in which they were sent.
        self.in_flight: dict[tuple[str, int], ObservedAttempt] = {}

    def routers_to_account_for(self) -> int:
        """Returns the number of routers whose load on the servers is unknown, plus one for this router.

        That is 1 while gossip arrives, and the number of all routers after a long time without gossip.
        """
        settings = self.context.settings
        since_gossip_ns = self.context.now_ns - self.received_at_ns
        is_silent = since_gossip_ns > SILENT_AFTER_INTERVALS * settings.gossip_interval_ns
        return settings.router_count if is_silent else 1

    def observe(self, server: Server, elapsed_ns: int, is_in_flight: bool = False) -> None:
        """Queues a latency, or the age of an attempt in flight, for the other routers."""
        if self.context.settings.gossip_interval_ns and server is not self.server_list.origin:
            name = server.endpoint.server
            self.observations.append(api.LatencyObservation(name, elapsed_ns, is_in_flight))

    def publish(self, _: api.GossipIntervalElapsed) -> None:
        """Publishes the observations made since the last report, even if there are none."""
        if self.routers_to_account_for() == 1:
            self._check_overdue_attempts()
        self.context.actions.append(api.PublishGossip(self.observations))
        self.observations = []

    def apply(self, event: api.GossipReceived) -> None:
        """Applies another router's observations like this router's own."""
        now_ns = self.context.now_ns
        slow_above_ns = self.context.shortest_objective_ns // RANGE_CUT_LATENCIES_PER_OBJECTIVE
        self.received_at_ns = now_ns
        for observation in event.observations:
            server = self.server_list.servers.get(observation.server)
            if server is None or server is self.server_list.origin:
                continue
            elapsed_ns = observation.elapsed_ns
            if not observation.is_in_flight:
                server.record_answered_attempt(
                    now_ns, now_ns - elapsed_ns - self.context.settings.gossip_interval_ns
                )
            server.latency.record_latency(now_ns, self.span_ns, elapsed_ns, 1)
            server.adjust_range_share(now_ns, elapsed_ns, elapsed_ns > slow_above_ns)

    def _check_overdue_attempts(self) -> None:
        """Records the age of overdue attempts as a latency, and cancels attempts whose answers are lost."""
        now_ns = self.context.now_ns
        min_age_ns = self.context.shortest_objective_ns // MIN_CHECKED_AGES_PER_OBJECTIVE
        for (request_id, number), attempt in self.in_flight.items():
            server = attempt.server
            sent_at_ns = attempt.sent_at_ns
            age_ns = now_ns - sent_at_ns
            if age_ns < min_age_ns:
                break  # all remaining attempts were sent later
            expected_ns = server.latency.idle_adjusted_ns(now_ns, 1)
            if is_overdue(server, sent_at_ns, age_ns, expected_ns):
                server.latency.record_latency(now_ns, self.span_ns, age_ns, 1)
                self.observe(server, age_ns, is_in_flight=True)
            elif attempt.is_idempotent and is_answer_lost(server, sent_at_ns, expected_ns):
                self.context.actions.append(api.CancelAttempt(request_id, number))


def is_overdue(server: Server, sent_at_ns: int, age_ns: int, expected_ns: float) -> bool:
    """Returns whether the age of an attempt in flight shows that its server is overloaded.

    The answers of an overloaded server come seconds late, so its overload has to be detected before them, by
    the age of the attempts. The server must have answered since the attempt was sent, or it may be
    unreachable and not overloaded. It must not have answered an attempt sent later, or only this answer is
    lost.
    """
    answers_earlier_attempts = server.answered_at_ns > sent_at_ns > server.last_answered_sent_at_ns
    return answers_earlier_attempts and age_ns > OVERDUE_FACTOR * expected_ns


def is_answer_lost(server: Server, sent_at_ns: int, expected_ns: float) -> bool:
    """Returns whether an attempt's answer is lost: any router got an answer to an attempt sent much later.

    Such an attempt is cancelled if it may be repeated, so that the request can be sent to another server.
    Otherwise reads would wait for lost answers until their clients have disconnected.
    """
    return server.last_answered_sent_at_ns - sent_at_ns > LOST_ANSWER_FACTOR * expected_ns
