"""What a run has reached: features, each a state of requests, pools, lists or rules, or two of them together.

A run that has a feature for the first time is worth mutating. Features are strings, compared for equality
only.
"""

import itertools
import re
from bisect import bisect_right
from collections import defaultdict
from typing import Any, NamedTuple

from rainhitch.rehearsal.explore.grammar import ZONES

Json = dict[str, Any]
NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
MAX_ATTEMPTS_SHOWN = 5  # of a request, in its feature
ATTEMPTS_PREFIX_LENGTH = 24
LOG_LINE_LENGTH = 80
LOG_PREFIX_LENGTH = 30
NEARLY_LATE_MS = 30  # before its deadline, within which an answer is a feature
NEARLY_LATE_STEP_MS = 5
MAX_SYNTAX_ERRORS = 3  # beyond which a count of syntax errors is no new feature
NUMBERS = re.compile(r"[0-9][0-9.,:]*")
NAMES = re.compile(rf"\b({'|'.join(ZONES)})-#|'[^']*'")


class Attempt(NamedTuple):
    """One attempt of a request; attempts are ordered by when their last byte came."""

    last_byte_ns: int
    outcome: str


def coverage_features(scenario: Json, plan: Json, records: Json) -> set[str]:
    """The features of a run, from its scenario, its plan's rows and its records."""
    features: set[str] = set()
    parts = records["parts"]
    attempts: dict[str, list[Attempt]] = defaultdict(list)
    for role, rows in parts.items():
        if role.startswith("nodes"):
            for row in rows["attempts"]:
                outcome = ("cold " if row["cold"] else "") + (row["outcome"] or "-")
                attempts[row["id"]].append(Attempt(row["last"], outcome))
            features |= _node_features(rows["nodes"])
    for row in parts["centre"]["fetches"]:
        attempts[row["id"]].append(Attempt(row["last"], "db " + (row["outcome"] or "-")))
    features |= {f"stop {pressed}" for _, pressed in parts["centre"]["stops"]}
    active = ActiveFaults(scenario["faults"])
    for role, rows in parts.items():
        if role.startswith("clients"):
            for row in rows["sent"]:
                spec = scenario["classes"][plan["asks"][row["ask"]]["cls"]]
                kinds = active.at((row["sent"] - records["zero"]) / NS_PER_S)
                features |= _request_features(spec, row, attempts.get(row["id"], []), kinds)
    features |= _log_features(records["logs"])
    for router in records["routers"]:
        events = [name for name, _ in router["events"]]
        features |= {f"router {before}>{after}" for before, after in itertools.pairwise(events)}
    return features


class ActiveFaults:
    """Which kinds of faults act, or have just acted, at an instant of the run."""

    AFTERMATH_S = 1.0  # for which a fault that is over counts as active

    def __init__(self, faults: list[Json]) -> None:
        self.spans = [
            (fault["at_s"], fault["at_s"] + fault["for_s"] + self.AFTERMATH_S, fault["kind"])
            for fault in faults
        ]
        self.edges_s = sorted({edge_s for begin_s, end_s, _ in self.spans for edge_s in (begin_s, end_s)})
        self.kinds_by_edge: dict[int, list[str]] = {}  # between two edges the kinds are the same

    def at(self, second: float) -> list[str]:
        """The kinds of faults that act, sorted."""
        edge = bisect_right(self.edges_s, second)
        if edge not in self.kinds_by_edge:
            kinds = {kind for begin_s, end_s, kind in self.spans if begin_s <= second < end_s}
            self.kinds_by_edge[edge] = sorted(kinds)
        return self.kinds_by_edge[edge]


def _request_features(spec: Json, row: Json, attempts: list[Attempt], fault_kinds: list[str]) -> set[str]:
    """One sending of a request: how each attempt ended, its answer, and how close that was to the deadline.

    Args:
        spec: of the request's class.
        row: of the client's record.
        attempts: of the request.
        fault_kinds: that acted when it was sent.
    """
    outcomes = ",".join(attempt.outcome for attempt in sorted(attempts)[:MAX_ATTEMPTS_SHOWN])
    answer = row["kind"] or ("left" if row["left"] else "none")
    is_retry = row["number"] > 0
    features = {f"life {spec['repeats']} {is_retry} {outcomes} {answer}", f"sendings {len(row['earlier'])}"}
    features |= {f"{kind} {answer} {outcomes[:ATTEMPTS_PREFIX_LENGTH]}" for kind in fault_kinds}
    for first in fault_kinds:
        features |= {f"{first}+{second} {answer}" for second in fault_kinds if second > first}
    remaining_ns = row["sent"] + row["wait"] - row["answered"]
    if row["answered"] and remaining_ns < NEARLY_LATE_MS * NS_PER_MS:
        steps = remaining_ns // (NEARLY_LATE_STEP_MS * NS_PER_MS)
        features.add(f"close {steps} {answer} {spec['repeats']}")
    return features


def _node_features(nodes: list[Json]) -> set[str]:
    """Of cache servers: connections, falls, starts, syntax errors, connections turned away."""
    features = set()
    for node in nodes:
        connections = max((count for _, count in node["tables"]), default=0)
        features |= {f"table {connections.bit_length()}", f"falls {len(node['falls'])}"}
        features |= {f"starts {len(node['starts'])}", f"syntax {min(node['syntax'], MAX_SYNTAX_ERRORS)}"}
        features.add(f"away {node['turned_away'].bit_length()}")
    return features


def _log_features(lines_by_router: dict[str, list[str]]) -> set[str]:
    """What routers logged, without its numbers and names, and which line came next to which."""
    features = set()
    for lines in lines_by_router.values():
        before = ""
        for line in lines:
            text = NAMES.sub("~", NUMBERS.sub("#", line.partition(" ")[2]))[:LOG_LINE_LENGTH]
            features |= {f"log {text}", f"log {before[:LOG_PREFIX_LENGTH]} > {text[:LOG_PREFIX_LENGTH]}"}
            before = text
    return features
