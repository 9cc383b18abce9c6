"""Records of a run put together by hand, for tests of the checker, the service and the report."""

from typing import Any

import orjson

from rainhitch.rehearsal.checker.evidence import Evidence
from rainhitch.rehearsal.checker.rules import find_violations
from rainhitch.rehearsal.plan import Plan, PlannedRequest, PlannedTry
from rainhitch.rehearsal.scenario import Customer, Day, Fleet, NodeClass, Scenario, WorkClass

Json = dict[str, Any]
MILLI = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
ZERO_NS = 1000 * SECOND  # the first scored instant
READ, KEYED, UNSAFE = range(3)  # indexes of the classes
CLASSES = [
    WorkClass("read", 1, 100, 500, 2000, 1.0, 0.25),
    WorkClass("keyed", 1, 100, 500, 2000, 1.0, 0.25, "keyed", 5.0, True),
    WorkClass("unsafe", 1, 100, 500, 2000, 1.0, 0.25, "unsafe", 5.0, True),
]


def to_ns(at_ms: float) -> int:
    """A time in ms from the first scored instant as monotonic ns."""
    return ZERO_NS + int(at_ms * MILLI)


def scenario(**changes: Any) -> Scenario:
    """Two rooms with a router and a node each, three classes, two customers."""
    fleet = Fleet(rooms=["a", "b"], routers=2, nodes=[NodeClass("full", 2, 2, (1.0, 1.0))])
    customers = [Customer("big", 50, 1), Customer("small", 50, 1)]
    return Scenario(
        "about", "must", day=Day(12.0, 1.0), fleet=fleet, classes=CLASSES, customers=customers, **changes
    )


class RecordedRun:
    """Records put together by hand; times are in ms from the first scored instant."""

    def __init__(self) -> None:
        self.requests: list[PlannedRequest] = []
        self.client_tries: list[Json] = []
        self.further_answers: list[Json] = []
        self.node_attempts: list[Json] = []
        self.database_attempts: list[Json] = []
        self.list_changes: list[Json] = []
        self.stalls: list[tuple[int, int]] = []
        self.events: list[list[tuple[str, int]]] = [[("start", 0), ("ready", 1)] for _ in range(2)]
        self.crashes: list[Json | None] = [None, None]
        self.nodes: Json = {uid: {"falls": [], "starts": []} for uid in ("a-0", "b-0")}
        self.database_stops: list[tuple[int, bool]] = []

    def add_request(
        self,
        at_ms: float,
        class_index: int = READ,
        wait_ms: int = 1000,
        *,
        over: bool = False,
        tries: int = 1,
        customer: int = 0,
    ) -> str:
        """A request; gives the id of its first try."""
        number = len(self.requests)
        ids = [f"r{number}.{try_number}" for try_number in range(tries)]
        self.requests.append(
            PlannedRequest(
                at=int(at_ms * 1000),
                room=0,
                cls=class_index,
                customer=customer,
                key="k",
                work_us=100_000,
                over=over,
                honours=True,
                order=f"o{number}" if class_index == KEYED else "",
                router=-1,
                tries=[PlannedTry(id, wait_ms, 0, 0) for id in ids],
            )
        )
        return ids[0]

    def add_try(self, id: str, at_ms: float, **changes: Any) -> Json:
        """A client's try of a request.

        Of `changes`, `answered`, `left` and `ended` are in ms, and `earlier` has a router and a time in ms
        for each send whose connection closed; the others are values of the row.
        """
        number, _, try_number = id[1:].partition(".")
        row = {
            "ask": int(number),
            "number": int(try_number),
            "id": id,
            "router": 0,
            "connection": 1,
            "reused": False,
            "earlier": [],
            "due": to_ns(at_ms),
            "sent": to_ns(at_ms),
            "wait": 1000 * MILLI,
            "answered": 0,
            "kind": "",
            "detail": "",
            "own": False,
            "left": 0,
            "ended": 0,
        }
        for name in ("answered", "left", "ended"):
            if name in changes:
                changes[name] = to_ns(changes[name])
        changes["earlier"] = [
            {"router": router, "connection": 1, "sent": to_ns(at_ms), "ended": to_ns(ended_ms)}
            for router, ended_ms in changes.pop("earlier", [])
        ]
        self.client_tries.append({**row, **changes})
        return self.client_tries[-1]

    def add_served_request(
        self, at_ms: float, took_ms: float = 100, node: str = "a-0", class_index: int = READ, **changes: Any
    ) -> str:
        """A request that went well, at a node or, for a write, at the database; gives its id."""
        id = self.add_request(at_ms, class_index, **changes)
        answered_ms = at_ms + took_ms
        self.add_try(id, at_ms, answered=answered_ms, kind="served", own=True, detail=f"{id}:k:{node}")
        if class_index == READ:
            self.add_node_attempt(id, at_ms + 1, answered_ms - 1, node)
        else:
            self.add_database_attempt(id, at_ms + 1, answered_ms - 1)
        return id

    def add_node_attempt(
        self,
        id: str,
        at_ms: float,
        end_ms: float = 0,
        node: str = "a-0",
        outcome: str = "served",
        **more: Any,
    ) -> None:
        """An attempt at a node; an `end_ms` of 0 is no answer. `closed` and `first` are in ms."""
        row = {"node": node, "router": 0, "connection": 1, "id": id, "key": "k", "name": "C.GET", "info": ""}
        row |= {"first": to_ns(at_ms), "last": to_ns(at_ms), "work": 100_000.0, "outcome": outcome}
        row |= {"cold": False, "ended": to_ns(end_ms) if end_ms else 0, "closed": 0}
        for name in ("closed", "first"):
            if name in more:
                more[name] = to_ns(more[name])
        self.node_attempts.append({**row, **more})

    def add_database_attempt(
        self, id: str, at_ms: float, end_ms: float = 0, outcome: str = "served", **more: Any
    ) -> None:
        """An attempt at the database, a write unless `more` says otherwise; `closed` is in ms."""
        row = {"router": 0, "connection": 1, "id": id, "key": "k", "write": True, "info": "", "order": ""}
        row |= {"first": to_ns(at_ms), "last": to_ns(at_ms), "outcome": outcome}
        row |= {"ended": to_ns(end_ms) if end_ms else 0, "closed": 0, "executed": False}
        if "closed" in more:
            more["closed"] = to_ns(more["closed"])
        self.database_attempts.append({**row, **more})

    def add_list_change(self, at_ms: float, node: str, state: str, router: int = 0) -> None:
        """A router is sent a state of a node."""
        row = {"router": router, "at": to_ns(at_ms), "node": node, "state": state, "whole": False}
        self.list_changes.append(row)

    def records(self) -> Json:
        """All of it as the environment collects it."""
        clients = {
            "sent": self.client_tries,
            "extras": self.further_answers,
            "opened": 1,
            "lates": [0] * len(self.client_tries),
            "stalls": self.stalls,
        }
        blank = {"connections": 0, "turned_away": 0, "probes": 0, "syntax": 0, "burdens": 0.0, "tables": []}
        nodes = [{"uid": uid, **blank, **row} for uid, row in self.nodes.items()]
        shared_services = {
            "fetches": self.database_attempts,
            "told": self.list_changes,
            "stops": self.database_stops,
            "factors": [],
            "stalls": [],
            "messages": {"sent": 0, "delivered": 0, "bytes": 0},
        }
        return {
            "zero": ZERO_NS,
            "plan_digest": "d",
            "parts": {
                "clients:0": clients,
                "nodes:0": {"attempts": self.node_attempts, "nodes": nodes, "stalls": []},
                "centre": shared_services,
            },
            "routers": [
                {"number": number, "events": self.events[number], "crash": self.crashes[number], "peak": 1}
                for number in range(2)
            ],
        }

    def evidence(self) -> Evidence:
        """What the checker reads, after a way through JSON."""
        nodes = [{"uid": uid, "room": uid[0], "cores": 2, "speed": 1.0} for uid in ("a-0", "b-0")]
        plan = Plan(1, "x", ["a", "b"], nodes, [{"room": "a"}, {"room": "b"}], [], self.requests)
        scenario_rows = orjson.loads(orjson.dumps(scenario()))
        return Evidence(scenario_rows, plan.rows(), orjson.loads(orjson.dumps(self.records())))

    def violations(self) -> list[tuple[str, str]]:
        """Each violation: its rule, and the request or the node that it names."""
        return [(one.rule.value, one.request_id or one.node) for one in find_violations(self.evidence())]
