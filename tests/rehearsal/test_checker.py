"""The judge finds what was broken and invents nothing: small ledgers, each rule from both sides."""

from typing import Any

import orjson
import pytest

from rainhitch.rehearsal import report
from rainhitch.rehearsal.checker.evidence import Evidence
from rainhitch.rehearsal.checker.rules import find_violations
from rainhitch.rehearsal.checker.service import measure_service
from rainhitch.rehearsal.plan import Plan, PlannedRequest, PlannedTry
from rainhitch.rehearsal.scenario import Customer, Day, Fleet, NodeClass, Scenario, WorkClass

Json = dict[str, Any]
MILLI = 1_000_000
SECOND = 1_000_000_000
ZERO = 1000 * SECOND
CLASSES = [
    WorkClass("read", 1, 100, 500, 2000, 1.0, 0.25),
    WorkClass("keyed", 1, 100, 500, 2000, 1.0, 0.25, "keyed", 5.0, True),
    WorkClass("unsafe", 1, 100, 500, 2000, 1.0, 0.25, "unsafe", 5.0, True),
]


def scenario(**changes: Any) -> Scenario:
    fleet = Fleet(rooms=["a", "b"], routers=2, nodes=[NodeClass("full", 2, 2, (1.0, 1.0))])
    customers = [Customer("big", 50, 1), Customer("small", 50, 1)]
    return Scenario(
        "about", "must", day=Day(12.0, 1.0), fleet=fleet, classes=CLASSES, customers=customers, **changes
    )


class World:
    """Ledgers put together by hand; times in milliseconds from the plan's 0."""

    def __init__(self) -> None:
        self.asks: list[PlannedRequest] = []
        self.tries: list[Json] = []
        self.extras: list[Json] = []
        self.attempts: list[Json] = []
        self.fetches: list[Json] = []
        self.told: list[Json] = []
        self.stalls: list[tuple[int, int]] = []
        self.events: list[list[tuple[str, int]]] = [[("start", 0), ("ready", 1)] for _ in range(2)]
        self.crashes: list[Json | None] = [None, None]
        self.nodes: Json = {uid: {"falls": [], "starts": []} for uid in ("a-0", "b-0")}
        self.stops: list[tuple[int, bool]] = []

    def ask(
        self, at: float, cls: int = 0, wait: int = 1000, over: bool = False, tries: int = 1, customer: int = 0
    ) -> str:
        """A request; gives the id of its first try."""
        number = len(self.asks)
        ids = [f"r{number}.{n}" for n in range(tries)]
        order = f"o{number}" if cls == 1 else ""
        row = [PlannedTry(id, wait, 0, 0) for id in ids]
        self.asks.append(
            PlannedRequest(int(at * 1000), 0, cls, customer, "k", 100_000, over, True, order, -1, row)
        )
        return ids[0]

    def sent(self, id: str, at: float, **changes: Any) -> Json:
        """A try of it; `answered` in ms, 0 for never."""
        number, _, nth = id[1:].partition(".")
        row = {
            "ask": int(number),
            "number": int(nth),
            "id": id,
            "router": 0,
            "connection": 1,
            "reused": False,
            "earlier": [],
            "due": ns(at),
            "sent": ns(at),
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
                changes[name] = ns(changes[name])
        rows = changes.pop("earlier", [])
        changes["earlier"] = [
            {"router": router, "connection": 1, "sent": ns(at), "ended": ns(ended)} for router, ended in rows
        ]
        self.tries.append({**row, **changes})
        return self.tries[-1]

    def served(self, at: float, took: float = 100, node: str = "a-0", cls: int = 0, **changes: Any) -> str:
        """A request that went well."""
        id = self.ask(at, cls, **changes)
        self.sent(id, at, answered=at + took, kind="served", own=True, detail=f"{id}:k:{node}")
        self.attempt(id, at + 1, at + took - 1, node) if not cls else self.fetch(id, at + 1, at + took - 1)
        return id

    def attempt(
        self, id: str, at: float, end: float = 0, node: str = "a-0", outcome: str = "served", **more: Any
    ) -> None:
        row = {"node": node, "router": 0, "connection": 1, "id": id, "key": "k", "name": "C.GET", "info": ""}
        row |= {"first": ns(at), "last": ns(at), "work": 100_000.0, "outcome": outcome, "cold": False}
        row |= {"ended": ns(end) if end else 0, "closed": 0}
        for name in ("closed", "first"):
            if name in more:
                more[name] = ns(more[name])
        self.attempts.append({**row, **more})

    def fetch(self, id: str, at: float, end: float = 0, outcome: str = "served", **more: Any) -> None:
        row = {"router": 0, "connection": 1, "id": id, "key": "k", "write": True, "info": "", "order": ""}
        row |= {"first": ns(at), "last": ns(at), "outcome": outcome, "ended": ns(end) if end else 0}
        if "closed" in more:
            more["closed"] = ns(more["closed"])
        self.fetches.append({**row, "closed": 0, "executed": False, **more})

    def tell(self, at: float, node: str, state: str, router: int = 0) -> None:
        self.told.append({"router": router, "at": ns(at), "node": node, "state": state, "whole": False})

    def ledgers(self) -> Json:
        clients = {"sent": self.tries, "extras": self.extras, "opened": 1, "lates": [0] * len(self.tries)}
        blank = {"connections": 0, "turned_away": 0, "probes": 0, "syntax": 0, "burdens": 0.0, "tables": []}
        nodes = [{"uid": uid, **blank, **row} for uid, row in self.nodes.items()]
        centre = {
            "fetches": self.fetches,
            "told": self.told,
            "stops": self.stops,
            "factors": [],
            "stalls": [],
        }
        centre["messages"] = {"sent": 0, "delivered": 0, "bytes": 0}
        return {
            "zero": ZERO,
            "plan_digest": "d",
            "parts": {
                "clients:0": {**clients, "stalls": self.stalls},
                "nodes:0": {"attempts": self.attempts, "nodes": nodes, "stalls": []},
                "centre": centre,
            },
            "routers": [
                {"number": n, "events": self.events[n], "crash": self.crashes[n], "peak": 1} for n in range(2)
            ],
        }

    def evidence(self) -> Evidence:
        day = scenario()
        nodes = [{"uid": uid, "room": uid[0], "cores": 2, "speed": 1.0} for uid in ("a-0", "b-0")]
        plan = Plan(1, "x", ["a", "b"], nodes, [{"room": "a"}, {"room": "b"}], [], self.asks)
        return Evidence(
            orjson.loads(orjson.dumps(day)), plan.rows(), orjson.loads(orjson.dumps(self.ledgers()))
        )

    def found(self) -> list[tuple[str, str]]:
        """Each breach: its rule, and the request or the node that it names."""
        return [(one.rule, one.request_id or one.node) for one in find_violations(self.evidence())]


def ns(at: float) -> int:
    return ZERO + int(at * MILLI)


@pytest.fixture
def world() -> World:
    return World()


def test_a_day_on_which_all_went_well_accuses_nobody(world: World) -> None:
    for n in range(20):
        world.served(n * 100, cls=n % 3)
    assert not world.found()


# rule 1


@pytest.mark.parametrize(("late", "broken"), [(0, False), (69, False), (75, True), (200, True)])
def test_an_answer_may_come_70_ms_after_the_client_left_and_no_later(
    world: World, late: int, broken: bool
) -> None:
    id = world.ask(0)
    world.sent(id, 0, answered=1000 + late, kind="failed", detail="ERR failed")
    assert world.found() == [("lost", id)] * broken


def test_no_answer_at_all_is_lost(world: World) -> None:
    id = world.ask(0)
    world.sent(id, 0)
    assert world.found() == [("lost", id)]


def test_a_connection_that_ends_with_no_whole_answer_is_lost(world: World) -> None:
    id = world.ask(0)
    world.sent(id, 0, kind="ended", ended=300)
    assert world.found() == [("lost", id)]


def test_who_leaves_early_is_owed_nothing(world: World) -> None:
    world.sent(world.ask(0), 0, left=200)
    assert not world.found()


def test_what_no_router_took_is_not_lost(world: World) -> None:
    world.sent(world.ask(0), 0, kind="unreachable", ended=1) | {"sent": 0}
    world.tries[-1]["sent"] = 0
    assert not world.found()


@pytest.mark.parametrize(("killed", "broken"), [(300, False), (1040, False), (-200, True), (1400, True)])
def test_what_a_killed_router_held_is_the_clients_to_retry(world: World, killed: int, broken: bool) -> None:
    id = world.ask(0)
    world.sent(id, 0, kind="ended", ended=max(killed, 300))
    world.events[0] += [("kill", ns(killed)), ("ended", ns(killed) + 1)]
    assert world.found() == [("lost", id)] * broken


def test_what_a_router_told_to_stop_took_and_did_not_answer_is_lost(world: World) -> None:
    id = world.ask(0)
    world.sent(id, 0, kind="ended", ended=500)
    world.events[0] += [("term", ns(100)), ("ended", ns(500))]
    assert world.found() == [("lost", id)]


@pytest.mark.parametrize(
    ("events", "broken"),
    [
        (["reload", "ended"], False),  # it crashed: that is a finding of its own
        (["term", "ended"], True),
        (["term", "late kill", "ended"], True),
        (["term", "ended", "start", "ready", "kill", "ended"], False),
    ],
)
def test_what_was_held_at_the_end_is_excused_only_by_a_kill_or_a_crash(
    world: World, events: list[str], broken: bool
) -> None:
    id = world.ask(0)
    world.sent(id, 0, kind="ended", ended=500)
    world.events[0] += [(what, ns(100 + 10 * n)) for n, what in enumerate(events)]
    assert world.found() == [("lost", id)] * broken


def test_a_second_answer_is_found(world: World) -> None:
    id = world.served(0)
    world.extras.append({"id": id, "router": 0, "connection": 1, "at": ns(200), "kind": "served"})
    assert world.found() == [("lost", id)]


def test_a_line_to_a_connection_that_asked_nothing_is_no_answer(world: World) -> None:
    world.extras.append({"id": "", "router": 0, "connection": 1, "at": ns(200), "kind": "ERR"})
    assert not world.found()


def test_a_value_that_was_made_for_another_request_is_found(world: World) -> None:
    id, other = world.ask(0), world.served(10)
    world.sent(id, 0, answered=100, kind="served", own=False, detail=f"{other}:k:a-0")
    world.attempt(id, 1, 50)
    assert world.found() == [("lost", id)]


def test_a_value_that_nobody_made_is_found(world: World) -> None:
    id = world.ask(0)
    world.sent(id, 0, answered=100, kind="served", own=True, detail=f"{id}:k:a-0")
    world.attempt(id, 1, 50, outcome="miss")
    assert world.found() == [("lost", id)]


def test_a_request_that_crosses_a_close_is_sent_once_more_and_that_is_fine(world: World) -> None:
    id = world.ask(0)
    world.sent(id, 0, answered=100, kind="served", own=True, reused=True, earlier=[(0, 2)])
    world.attempt(id, 5, 90)
    assert not world.found()


def test_a_close_after_the_request_was_taken_is_lost_though_the_client_sent_it_again(world: World) -> None:
    id = world.ask(0)
    world.sent(id, 0, answered=900, kind="served", own=True, reused=True, earlier=[(0, 500)])
    world.attempt(id, 5, 90, outcome="error")
    world.attempt(id, 510, 890)
    assert world.found() == [("lost", id)]


def test_each_sending_is_judged_by_the_router_that_took_it(world: World) -> None:
    """A router that was killed was accused by the name of the one that its client went to next."""
    id = world.ask(0)
    world.sent(id, 0, answered=900, kind="served", own=True, reused=True, router=1, earlier=[(0, 500)])
    world.attempt(id, 5, 0, outcome="", closed=500)
    world.attempt(id, 510, 890, router=1)
    world.events[0].append(("kill", ns(490)))
    assert not world.found()
    world.events[0].pop()
    world.events[1].append(("kill", ns(490)))  # that another died excuses nothing
    assert world.found() == [("lost", id)]


def test_two_routers_attempts_for_one_request_are_no_second_copy_of_either(world: World) -> None:
    id = world.ask(0, cls=2)
    world.sent(id, 0, answered=900, kind="served", own=True, reused=True, router=1, earlier=[(0, 500)])
    for n in range(4):
        world.attempt(id, 5 + 2 * n, 6 + 2 * n, outcome="busy", node="b-0")
    world.attempt(id, 20)  # cut off: never closed, as the node sees it
    for n in range(3):
        world.attempt(id, 510 + 10 * n, 515 + 10 * n, outcome="busy", router=1)
    world.attempt(id, 600, 890, router=1)
    world.events[0].append(("kill", ns(490)))
    assert not world.found()


def test_a_value_that_another_router_got_is_not_this_ones_to_serve(world: World) -> None:
    id = world.ask(0)
    world.sent(id, 0, answered=100, kind="served", own=True, router=1, detail=f"{id}:k:a-0")
    world.attempt(id, 1, 50)
    assert world.found() == [("lost", id)]


# rule 2


@pytest.mark.parametrize(("over", "broken"), [(-20, False), (40, False), (70, True), (500, True)])
def test_two_attempts_at_once_are_found_beyond_50_ms(world: World, over: int, broken: bool) -> None:
    id = world.ask(0)
    world.sent(id, 0, answered=900, kind="served", own=True)
    world.attempt(id, 1, 0, outcome="", closed=200 + over)
    world.attempt(id, 200, 890, node="b-0")
    assert world.found() == [("repeated", id)] * broken


def test_an_attempt_that_never_ended_and_another_are_two_at_once(world: World) -> None:
    id = world.ask(0)
    world.sent(id, 0, answered=900, kind="served", own=True)
    world.attempt(id, 1)
    world.attempt(id, 800, 890, node="b-0")
    assert world.found() == [("repeated", id)]


def test_a_stall_of_the_rig_is_not_blamed_on_the_router(world: World) -> None:
    id = world.ask(0)
    world.sent(id, 0, answered=900, kind="served", own=True)
    world.attempt(id, 1, 0, outcome="", closed=300)
    world.attempt(id, 200, 890, node="b-0")
    assert world.found()
    world.stalls.append((ns(150), ns(290)))
    assert not world.found()


@pytest.mark.parametrize(("attempts", "broken"), [(5, False), (6, True)])
def test_five_attempts_are_allowed(world: World, attempts: int, broken: bool) -> None:
    id = world.ask(0)
    world.sent(id, 0, answered=900, kind="refused", detail="BUSY")
    for n in range(attempts):
        world.attempt(id, 1 + n * 10, 5 + n * 10, outcome="busy")
    assert world.found() == [("repeated", id)] * broken


@pytest.mark.parametrize(
    ("cls", "outcome", "age", "broken"),
    [
        (2, "busy", 100, False),
        (2, "reset", 100, True),
        (2, "served", 100, True),
        (1, "reset", 100, False),
        (1, "reset", 5040, False),
        (1, "reset", 5100, True),
        (1, "busy", 6000, False),
    ],
)
def test_what_may_have_run_is_sent_again_only_as_its_class_allows(
    world: World, cls: int, outcome: str, age: int, broken: bool
) -> None:
    id = world.ask(0, cls, wait=9000)
    world.sent(id, 0, answered=age + 100, kind="failed", wait=9000 * MILLI)
    world.fetch(id, 1, 50, outcome)
    world.fetch(id, 1 + age, age + 90)
    assert world.found() == [("repeated", id)] * broken


@pytest.mark.parametrize(
    ("cls", "outcome", "at", "broken"),
    [
        (2, "busy", 100, False),
        (2, "reset", 100, True),
        (2, "served", 100, True),
        (1, "served", 100, False),
        (1, "reset", 5100, True),
        (0, "reset", 100, False),
    ],
)
def test_a_refusal_says_that_repeating_is_harmless(
    world: World, cls: int, outcome: str, at: int, broken: bool
) -> None:
    id = world.ask(0, cls, wait=9000)
    world.sent(id, 0, answered=at, kind="refused", detail="BUSY", wait=9000 * MILLI)
    world.fetch(id, 1, 50, outcome)
    assert world.found() == [("repeated", id)] * broken


def test_a_clients_own_retry_of_an_order_is_not_the_routers_repeat(world: World) -> None:
    first = world.ask(0, 1, tries=2)
    world.sent(first, 0, answered=100, kind="failed")
    world.fetch(first, 1, 90, "reset", order="o0", executed=True)
    world.sent("r0.1", 200, answered=300, kind="served", own=True)
    world.fetch("r0.1", 201, 290, order="o0")
    assert not world.found()


def test_an_order_that_one_request_carried_out_twice_is_found(world: World) -> None:
    id = world.ask(0, 1)
    world.sent(id, 0, answered=300, kind="served", own=True)
    world.fetch(id, 1, 50, "reset", order="o0", executed=True)
    world.fetch(id, 100, 290, order="o0", executed=True)
    assert world.found() == [("repeated", id)]


def test_an_attempt_for_what_no_client_sent_is_found(world: World) -> None:
    world.attempt("ghost", 1, 50)
    assert world.found() == [("repeated", "ghost")]


# rule 3


@pytest.mark.parametrize("state", ["Terminating", "Gone"])
@pytest.mark.parametrize(("after", "broken"), [(900, False), (1040, False), (1060, True), (1200, True)])
def test_a_send_is_fine_0_9_s_after_a_drain_and_not_1_2_s(
    world: World, state: str, after: int, broken: bool
) -> None:
    world.tell(0, "a-0", state)
    id = world.served(after - 1)
    assert world.found() == [("drained", id)] * broken


def test_what_counts_is_when_this_router_was_told(world: World) -> None:
    world.tell(0, "a-0", "Terminating", router=1)
    world.served(3000)
    assert not world.found()


def test_a_node_that_is_ready_again_may_be_sent_to(world: World) -> None:
    world.tell(0, "a-0", "Gone")
    world.tell(2000, "a-0", "Ready")
    world.served(3000)
    assert not world.found()


def test_gone_after_terminating_does_not_begin_anew(world: World) -> None:
    world.tell(0, "a-0", "Terminating")
    world.tell(2000, "a-0", "Gone")
    assert [rule for rule, _ in (world.served(2500), world.found())[1]] == ["drained"]


def test_a_whole_list_that_names_it_no_more_tells_that_it_is_gone(world: World) -> None:
    row = {"router": 0, "at": ns(0), "node": "", "state": "whole", "whole": True, "named": ["b-0"]}
    world.told.append(row)
    id = world.served(2000)
    assert world.found() == [("drained", id)]


def test_a_router_that_starts_anew_knows_nothing_of_what_the_last_was_told(world: World) -> None:
    world.tell(0, "a-0", "Terminating")
    world.events[0] += [("kill", ns(100)), ("ended", ns(101)), ("start", ns(500)), ("ready", ns(600))]
    world.served(2000)
    assert not world.found()


# rule 4


@pytest.mark.parametrize(("informed", "broken"), [(10, True), (6, False)])
def test_a_node_pushed_over_by_routers_that_knew_is_found(world: World, informed: int, broken: bool) -> None:
    world.nodes["a-0"] = {"starts": [ns(1000)], "falls": [ns(2000)]}
    world.tell(1100, "a-0", "Ready")
    for n in range(10):
        id = world.ask(1500)
        router = 0 if n < informed else 1
        world.sent(id, 1500, answered=1900, kind="failed", router=router)
        world.attempt(id, 1501 + n, 1800, outcome="reset", cold=True, router=router)
    assert world.found() == [("overrun", "a-0")] * broken


@pytest.mark.parametrize(
    ("cold", "started", "pressed", "broken"),
    [
        (12, 500, True, True),
        (12, 500, False, False),  # it was stopped on cue
        (2, 500, True, False),
        (6, 3900, True, False),  # more than was due, but no large part
        (8, 3900, True, True),
        (8, 500, True, False),  # a large part, but what was due to it
    ],
)
def test_a_database_stopped_by_misses_at_cold_nodes_is_found(
    world: World, cold: int, started: int, pressed: bool, broken: bool
) -> None:
    world.nodes["a-0"]["starts"] = [ns(started)]
    world.stops = [(ns(4000), pressed)]
    for n in range(20):
        id = world.ask(3000)
        world.sent(id, 3000, answered=3900, kind="failed")
        world.attempt(id, 3001, 3010, outcome="miss", node="a-0" if n < cold else "b-0", cold=n < cold)
        world.fetch(id, 3020, 3800, "reset", write=False)
    assert world.found() == [("overrun", "database")] * broken


def test_a_crash_is_a_finding_with_its_last_lines(world: World) -> None:
    world.crashes[1] = {"router": 1, "at": ns(500), "why": "ended with 3", "log": ["out of ideas"]}
    (one,) = find_violations(world.evidence())
    assert (
        one.rule == "crashed" and one.log == ["out of ideas"] and "router 1 ended with 3" in one.description
    )


# service


def test_service_is_worth_within_the_aim_over_worth_asked(world: World) -> None:
    world.served(0, took=400)  # in time
    world.served(100, took=600)  # late: a quarter
    world.sent(world.ask(200), 200, answered=300, kind="refused", detail="BUSY")
    world.served(300, took=400, over=True)  # beyond a share: 5%
    told = measure_service(world.evidence())
    assert told["service"] == round((1 + 0.25 + 0.05) / 3.05, 6)
    assert told["by_customer"]["big"] == round(1.25 / 3, 6)  # within its share alone
    causes = {one["cause"]: one["requests"] for one in told["causes"]}
    assert causes == {"refused": 1, "served late": 1}


def test_a_retry_is_part_of_the_first_try_and_of_its_time(world: World) -> None:
    for answered, worth in ((499, 1.0), (520, 0.25)):
        one = World()
        id = one.ask(0, tries=2)
        one.sent(id, 0, answered=50, kind="refused", detail="BUSY")
        one.sent("r0.1", 200, answered=answered, kind="served", own=True)
        assert measure_service(one.evidence())["service"] == worth


def test_what_is_answered_after_the_client_left_earns_nothing(world: World) -> None:
    id = world.ask(0, wait=300)
    world.sent(id, 0, wait=300 * MILLI, answered=320, kind="served", own=True)
    told = measure_service(world.evidence())
    assert told["service"] == 0.0 and told["causes"][0]["cause"] == "served too late"


def test_the_score_weighs_the_whole_the_worst_window_class_and_customer(world: World) -> None:
    world.served(0)
    world.served(500, cls=1, customer=1)
    world.sent(world.ask(11_500, customer=1), 11_500, answered=11_600, kind="refused")
    told = measure_service(world.evidence())
    assert told["parts"] == {
        "whole": round(2 / 3, 6),
        "worst_window": 0.0,
        "worst_class": 0.5,
        "worst_customer": 0.5,
    }
    assert told["score"] == round(0.4 * round(2 / 3, 6) + 0.1 * 0.5 + 0.4 * 0.5, 6)


def test_prices_are_points_for_each_rate(world: World) -> None:
    for n in range(4):
        id = world.served(n * 100, node="b-0")
        world.fetch(id, n * 100 + 1, n * 100 + 50, write=False)
    prices = measure_service(world.evidence())["prices"]
    assert prices["fetches"] == 5.0 and prices["crossings"] == 1.0 and prices["new_connections"] == 0.75


def test_the_prelude_is_not_scored_but_its_rules_are_kept(world: World) -> None:
    id = world.ask(-500)
    world.sent(id, -500)
    assert world.found() == [("lost", id)] and measure_service(world.evidence())["requests"] == 0


# the report


def built(world: World, **expect: Any) -> Json:
    told = orjson.loads(orjson.dumps(scenario()))
    told["expect"] |= expect
    evidence = world.evidence()
    return report.build("x", told, evidence.plan, evidence.records)


def test_the_exit_code_tells_held_broken_unmet_and_void(world: World) -> None:
    world.served(0)
    assert built(world)["exit"] == report.HELD
    assert built(world, service=1.0)["exit"] == report.HELD
    world.sent(world.ask(100), 100, answered=200, kind="refused")
    unmet = built(world, service=0.9)
    assert unmet["exit"] == report.BROKEN and unmet["unmet"] == [
        "service is 0.5000, expected is 0.9 at least"
    ]
    world.stops = [(ns(900), True)]
    assert built(world, origin_stops=0)["exit"] == report.BROKEN and built(world)["exit"] == report.HELD
    world.sent(world.ask(300), 300)
    assert built(world)["exit"] == report.BROKEN and built(world)["rules"]["lost"] == 1
    world.stalls = [(ns(0), ns(700))]
    assert built(world)["exit"] == report.VOID  # the rig itself was late: no word against the router


def test_a_report_has_what_is_promised_and_shows_in_a_terminal(world: World) -> None:
    id = world.ask(0)
    world.sent(id, 0)
    made = built(world)
    promised = {"scenario", "seed", "plan_digest", "service", "score", "rules", "breaches", "rig_late"}
    assert promised <= set(made) and {"lost", "repeated", "drained", "overrun"} <= set(made["rules"])
    text = report.as_text(made)
    assert f"lost {id}" in text and "verdict: broken" in text and "worst customer" in text
    assert max(map(len, text.splitlines())) <= 100
