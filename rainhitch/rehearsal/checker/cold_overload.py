"""Rule 4, `overrun`: no cold node overloaded, and no database stopped by misses at cold nodes.

A node that has just started collapses when it is sent a multiple of what it can do by then. That is the
routers' fault where two thirds of the work came from routers that had been sent that it had started; the
others could not know.

The database stops when it is sent too much for too long. That is the routers' fault where over 0.3 of it
were reads that had missed at cold nodes, and these were over 1.25 times what the cold nodes would have had by
their capacity. A stop that the scenario itself makes is nobody's fault.
"""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from rainhitch.rehearsal.checker.evidence import Evidence
from rainhitch.rehearsal.checker.records import DATABASE, SECOND, NodeRecord, ObservedAttempt
from rainhitch.rehearsal.checker.violations import Rule, Violation, violation

INFORMED_FRACTION = 2 / 3  # of an overloaded node's work, from routers that knew of its start
COLD_MISS_FRACTION = 0.3  # of a stopped database's load, from misses at cold nodes
COLD_MISS_FACTOR = 1.25  # times the reads that the cold nodes would have had by their capacity
MICROSECONDS_PER_SECOND = 1e6


def find_cold_overload(evidence: Evidence) -> Iterator[Violation]:
    """All violations of the rule: nodes by name, then the database by time."""
    attempts_by_server: dict[str, list[ObservedAttempt]] = defaultdict(list)
    for attempt in evidence.all_attempts():
        attempts_by_server[attempt.server].append(attempt)
    for uid, node in sorted(evidence.nodes.items()):
        for overload_ns in node.overloads_ns:
            yield from _check_overloaded_node(evidence, node, attempts_by_server[uid], overload_ns)
    for stop in evidence.database_stops:
        if stop.is_overload:
            yield from _check_stopped_database(evidence, stop.at_ns)


def _check_overloaded_node(
    evidence: Evidence, node: NodeRecord, attempts: list[ObservedAttempt], overload_ns: int
) -> Iterator[Violation]:
    """A violation where routers that knew of the node's start sent most of what overloaded it."""
    window_ns = int(evidence.scenario["fleet"]["tip_s"] * SECOND)
    start_ns = max((at_ns for at_ns in node.starts_ns if at_ns <= overload_ns), default=evidence.zero_ns)
    recent = [one for one in attempts if overload_ns - window_ns <= one.last_byte_ns <= overload_ns]
    work_us = sum(one.work_us for one in recent)
    informed_us = sum(
        one.work_us
        for one in recent
        if evidence.knew_of_start(one.router, node.uid, start_ns, one.first_byte_ns)
    )
    if work_us and informed_us >= INFORMED_FRACTION * work_us:
        what = (
            f"pushed over {(overload_ns - start_ns) / SECOND:.2f} s after its start: "
            f"sent {work_us / MICROSECONDS_PER_SECOND:.2f} s in {window_ns / SECOND:g} s, "
            f"{informed_us / work_us:.0%} of it by routers that knew of its start"
        )
        yield violation(evidence, Rule.COLD_OVERLOAD, overload_ns, what, node=node.uid)


@dataclass(slots=True)
class LoadBeforeStop:
    """What the database and the nodes were sent before the database stopped."""

    database_requests: int = 0
    cold_misses: int = 0  # of these: reads that had missed at a cold node
    cold_nodes: set[str] = field(default_factory=set)  # at which they had missed
    node_reads: int = 0


def _check_stopped_database(evidence: Evidence, stop_ns: int) -> Iterator[Violation]:
    """A violation where misses at cold nodes made much of the load that stopped the database."""
    load = _load_before_stop(evidence, stop_ns)
    due_reads = load.node_reads * _capacity_fraction(evidence, load.cold_nodes, stop_ns)
    is_large_part = load.cold_misses > COLD_MISS_FRACTION * load.database_requests
    is_more_than_due = load.cold_misses > COLD_MISS_FACTOR * due_reads
    if load.database_requests and is_large_part and is_more_than_due:
        what = f"the database stopped: {load.cold_misses} of the {load.database_requests} it was sent were "
        what += f"misses at cold nodes, {due_reads:.0f} were due"
        yield violation(evidence, Rule.COLD_OVERLOAD, stop_ns, what, node=DATABASE)


def _load_before_stop(evidence: Evidence, stop_ns: int) -> LoadBeforeStop:
    """The load of the time after which the database stops when it is sent too much."""
    begin_ns = stop_ns - int(evidence.scenario["database"]["stop_after_s"] * SECOND)
    load = LoadBeforeStop()
    for attempts in evidence.attempts_by_id.values():
        for attempt in attempts:
            if not begin_ns <= attempt.last_byte_ns <= stop_ns:
                continue
            if not attempt.is_at_database:
                load.node_reads += 0 if attempt.is_write else 1
                continue
            load.database_requests += 1
            cold_misses = [
                miss
                for miss in attempts
                if miss.outcome == "miss" and miss.is_cold and miss.last_byte_ns <= attempt.last_byte_ns
            ]
            if cold_misses and not attempt.is_write:
                load.cold_misses += 1
                load.cold_nodes.add(cold_misses[-1].server)
    return load


def _capacity_fraction(evidence: Evidence, uids: set[str], at_ns: int) -> float:
    """The part of all nodes' capacity that these have at an instant; one that warms up has a part.

    Worked out here from the scenario, and not by the model of the fake nodes or the router's slow start: the
    checker shares no code with what it checks.
    """
    fleet = evidence.scenario["fleet"]
    whole = 0.0
    part = 0.0
    for row in evidence.plan["nodes"]:
        capacity = row["cores"] * row["speed"]
        starts_ns = [start_ns for start_ns in evidence.nodes[row["uid"]].starts_ns if start_ns <= at_ns]
        if "joins" in row and not starts_ns:
            continue
        if starts_ns:
            warm_fraction = min(1.0, (at_ns - max(starts_ns)) / SECOND / fleet["warm_s"])
            capacity *= fleet["cold_from"] + (1 - fleet["cold_from"]) * warm_fraction
        whole += capacity
        if row["uid"] in uids:
            part += capacity
    return part / whole if whole else 0.0
