"""What a run cost beside its service: the prices, in points of service in 100."""

from dataclasses import dataclass

from rainhitch.rehearsal.checker.evidence import Evidence
from rainhitch.rehearsal.checker.records import SECOND, Json, NodeRecord, ObservedAttempt
from rainhitch.rehearsal.checker.request_outcome import RequestOutcome

# Points for each rate of one; given by the operators, not derived here.
PRICES = {
    "fetches": 5.0,  # from the database, a request
    "wasted_work": 4.0,  # as much as was asked for
    "late_failures": 3.0,  # all failing only after the objective
    "new_connections": 3.0,  # a request
    "open_connections": 3.0,  # 100 a node
    "probes": 1.0,  # a request
    "messages": 1.0,  # a full one, 256 bytes, a request
    "crossings": 1.0,  # each request crossing rooms once
}
PRICED_OPEN_CONNECTIONS = 100  # a node
FULL_MESSAGE_BYTES = 256
DIGITS = 4  # of a price
USEFUL_OUTCOMES = ("served", "busy")  # of attempts whose work was not wasted


@dataclass(frozen=True, slots=True)
class ScoredTime:
    """The time of a run that is scored."""

    begin_ns: int
    length_ns: int  # to the last attempt's last byte

    @property
    def end_ns(self) -> int:
        """Its end."""
        return self.begin_ns + self.length_ns


def measure_prices(evidence: Evidence, outcomes: list[RequestOutcome]) -> dict[str, float]:
    """The price of each rate, by name."""
    begin_ns = evidence.zero_ns
    attempts = [one for one in evidence.all_attempts() if one.last_byte_ns >= begin_ns]
    end_ns = max((one.last_byte_ns for one in attempts), default=begin_ns + SECOND)
    scored = ScoredTime(begin_ns, end_ns - begin_ns)
    requests = max(1, len(outcomes))
    nodes = evidence.nodes.values()
    fetches = sum(1 for one in attempts if one.is_at_database and not one.is_write)
    rates = {
        "fetches": fetches / requests,
        "wasted_work": _wasted_work(evidence, attempts, outcomes),
        "late_failures": _late_failures(evidence, outcomes),
        "new_connections": _new_connections(evidence, attempts) / requests,
        "open_connections": _mean_open_connections(evidence, scored) / PRICED_OPEN_CONNECTIONS,
        "probes": sum(node.probes for node in nodes) / requests,
        "messages": evidence.shared_services["messages"]["bytes"] / FULL_MESSAGE_BYTES / requests,
        "crossings": _room_crossings(evidence.plan, attempts) / requests,
    }
    return {name: round(PRICES[name] * rate, DIGITS) for name, rate in rates.items()}


def _wasted_work(
    evidence: Evidence, attempts: list[ObservedAttempt], outcomes: list[RequestOutcome]
) -> float:
    """Work of nodes that served nobody, over the work that was asked for."""
    asked_us = sum(one.request.work_us for one in outcomes)
    if asked_us == 0:
        asked_us = 1
    wasted_us = sum(
        one.work_us for one in attempts if not one.is_at_database and one.outcome not in USEFUL_OUTCOMES
    )
    wasted_us += sum(node.overhead_us for node in evidence.nodes.values())
    return wasted_us / asked_us


def _late_failures(evidence: Evidence, outcomes: list[RequestOutcome]) -> float:
    """Worth of requests that failed only after their objective, over all worth."""
    worth = sum(one.worth for one in outcomes)
    if not worth:
        worth = 1.0
    late_worth = 0.0
    for one in outcomes:
        objective_ns = evidence.classes[one.request.class_index].latency_objective_ns
        if not one.earned and one.took_ns > objective_ns:
            late_worth += one.worth
    return late_worth / worth


def _new_connections(evidence: Evidence, attempts: list[ObservedAttempt]) -> int:
    """Connections to nodes that were first used in the scored time."""
    used = {(one.server, one.router, one.connection) for one in attempts if not one.is_at_database}
    used_before = {
        (one.server, one.router, one.connection)
        for one in evidence.all_attempts()
        if one.last_byte_ns < evidence.zero_ns
    }
    return len(used - used_before)


def _room_crossings(plan: Json, attempts: list[ObservedAttempt]) -> int:
    """Attempts at a node of another room than the router's; the database is in every room."""
    room_of_node = {row["uid"]: row["room"] for row in plan["nodes"]}
    room_of_router = [row["room"] for row in plan["routers"]]
    crossings = 0
    for one in attempts:
        router_room = room_of_router[one.router]
        if room_of_node.get(one.server, router_room) != router_room:
            crossings += 1
    return crossings


def _mean_open_connections(evidence: Evidence, scored: ScoredTime) -> float:
    """Connections that a node has open, by time and over all nodes."""
    total = 0.0
    for node in evidence.nodes.values():
        total = _add_open_connections(total, node, scored)
    return total / max(1, len(evidence.nodes))


def _add_open_connections(total: float, node: NodeRecord, scored: ScoredTime) -> float:
    """Adds to a sum the connections that a node had open, each stretch by its part of the scored time.

    Each stretch is added to the sum by itself: other sums of the same stretches differ in their last digits.
    """
    from_ns = scored.begin_ns
    open_connections = 0
    for at_ns, open_from_then in node.open_connections:
        if at_ns > scored.begin_ns:
            until_ns = min(at_ns, scored.end_ns)
            total += open_connections * (until_ns - from_ns) / scored.length_ns
            from_ns = until_ns
        open_connections = open_from_then
    return total + open_connections * (scored.end_ns - from_ns) / scored.length_ns
