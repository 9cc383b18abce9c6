"""The checker finds what was broken and invents nothing: small records, each rule from both sides."""

import pytest
from recorded_run import MILLI, RecordedRun, to_ns

from rainhitch.rehearsal.checker.rules import find_violations


@pytest.fixture
def run() -> RecordedRun:
    """An empty run."""
    return RecordedRun()


def test_a_run_on_which_all_went_well_has_no_violation(run: RecordedRun) -> None:
    for number in range(20):
        run.add_served_request(number * 100, class_index=number % 3)
    assert not run.violations()


# Rule 1: each request that a router took gets exactly one final answer


@pytest.mark.parametrize(("late", "broken"), [(0, False), (69, False), (75, True), (200, True)])
def test_an_answer_may_come_70_ms_after_the_client_left_and_no_later(
    run: RecordedRun, late: int, broken: bool
) -> None:
    id = run.add_request(0)
    run.add_try(id, 0, answered=1000 + late, kind="failed", detail="ERR failed")
    assert run.violations() == [("lost", id)] * broken


def test_no_answer_at_all_is_lost(run: RecordedRun) -> None:
    id = run.add_request(0)
    run.add_try(id, 0)
    assert run.violations() == [("lost", id)]


def test_a_connection_that_ends_with_no_whole_answer_is_lost(run: RecordedRun) -> None:
    id = run.add_request(0)
    run.add_try(id, 0, kind="ended", ended=300)
    assert run.violations() == [("lost", id)]


def test_a_client_that_leaves_early_is_owed_no_answer(run: RecordedRun) -> None:
    run.add_try(run.add_request(0), 0, left=200)
    assert not run.violations()


def test_what_no_router_took_is_not_lost(run: RecordedRun) -> None:
    run.add_try(run.add_request(0), 0, sent=0, kind="unreachable", ended=1)
    assert not run.violations()


@pytest.mark.parametrize(("killed", "broken"), [(300, False), (1040, False), (-200, True), (1400, True)])
def test_what_a_killed_router_held_is_not_lost(run: RecordedRun, killed: int, broken: bool) -> None:
    id = run.add_request(0)
    run.add_try(id, 0, kind="ended", ended=max(killed, 300))
    run.events[0] += [("kill", to_ns(killed)), ("ended", to_ns(killed) + 1)]
    assert run.violations() == [("lost", id)] * broken


def test_what_a_router_took_and_did_not_answer_after_sigterm_is_lost(run: RecordedRun) -> None:
    id = run.add_request(0)
    run.add_try(id, 0, kind="ended", ended=500)
    run.events[0] += [("term", to_ns(100)), ("ended", to_ns(500))]
    assert run.violations() == [("lost", id)]


@pytest.mark.parametrize(
    ("events", "broken"),
    [
        (["reload", "ended"], False),  # it crashed: that is a finding of its own
        (["term", "ended"], True),
        (["term", "late kill", "ended"], True),
        (["term", "ended", "start", "ready", "kill", "ended"], False),
    ],
)
def test_what_was_held_at_the_end_is_lost_unless_it_was_a_kill_or_a_crash(
    run: RecordedRun, events: list[str], broken: bool
) -> None:
    id = run.add_request(0)
    run.add_try(id, 0, kind="ended", ended=500)
    run.events[0] += [(what, to_ns(100 + 10 * number)) for number, what in enumerate(events)]
    assert run.violations() == [("lost", id)] * broken


def test_a_second_answer_is_found(run: RecordedRun) -> None:
    id = run.add_served_request(0)
    run.further_answers.append({"id": id, "router": 0, "connection": 1, "at": to_ns(200), "kind": "served"})
    assert run.violations() == [("lost", id)]


def test_what_comes_on_a_connection_without_a_request_is_no_answer(run: RecordedRun) -> None:
    run.further_answers.append({"id": "", "router": 0, "connection": 1, "at": to_ns(200), "kind": "ERR"})
    assert not run.violations()


def test_a_value_that_was_made_for_another_request_is_found(run: RecordedRun) -> None:
    id = run.add_request(0)
    other = run.add_served_request(10)
    run.add_try(id, 0, answered=100, kind="served", own=False, detail=f"{other}:k:a-0")
    run.add_node_attempt(id, 1, 50)
    assert run.violations() == [("lost", id)]


def test_a_value_that_nobody_made_is_found(run: RecordedRun) -> None:
    id = run.add_request(0)
    run.add_try(id, 0, answered=100, kind="served", own=True, detail=f"{id}:k:a-0")
    run.add_node_attempt(id, 1, 50, outcome="miss")
    assert run.violations() == [("lost", id)]


def test_a_request_that_crosses_a_close_may_be_sent_once_more(run: RecordedRun) -> None:
    id = run.add_request(0)
    run.add_try(id, 0, answered=100, kind="served", own=True, reused=True, earlier=[(0, 2)])
    run.add_node_attempt(id, 5, 90)
    assert not run.violations()


def test_a_close_after_the_request_was_taken_is_lost_though_the_client_sent_it_again(
    run: RecordedRun,
) -> None:
    id = run.add_request(0)
    run.add_try(id, 0, answered=900, kind="served", own=True, reused=True, earlier=[(0, 500)])
    run.add_node_attempt(id, 5, 90, outcome="error")
    run.add_node_attempt(id, 510, 890)
    assert run.violations() == [("lost", id)]


def test_each_send_is_checked_against_the_router_that_took_it(run: RecordedRun) -> None:
    """A router that was killed was blamed on the one that its client went to next."""
    id = run.add_request(0)
    run.add_try(id, 0, answered=900, kind="served", own=True, reused=True, router=1, earlier=[(0, 500)])
    run.add_node_attempt(id, 5, 0, outcome="", closed=500)
    run.add_node_attempt(id, 510, 890, router=1)
    run.events[0].append(("kill", to_ns(490)))
    assert not run.violations()
    run.events[0].pop()
    run.events[1].append(("kill", to_ns(490)))  # that another died excuses nothing
    assert run.violations() == [("lost", id)]


def test_attempts_of_two_routers_for_one_request_are_counted_apart(run: RecordedRun) -> None:
    id = run.add_request(0, class_index=2)
    run.add_try(id, 0, answered=900, kind="served", own=True, reused=True, router=1, earlier=[(0, 500)])
    for number in range(4):
        run.add_node_attempt(id, 5 + 2 * number, 6 + 2 * number, outcome="busy", node="b-0")
    run.add_node_attempt(id, 20)  # cut off: never closed, as the node sees it
    for number in range(3):
        run.add_node_attempt(id, 510 + 10 * number, 515 + 10 * number, outcome="busy", router=1)
    run.add_node_attempt(id, 600, 890, router=1)
    run.events[0].append(("kill", to_ns(490)))
    assert not run.violations()


def test_a_value_that_only_another_router_got_is_found(run: RecordedRun) -> None:
    id = run.add_request(0)
    run.add_try(id, 0, answered=100, kind="served", own=True, router=1, detail=f"{id}:k:a-0")
    run.add_node_attempt(id, 1, 50)
    assert run.violations() == [("lost", id)]


# Rule 2: no forbidden retry


@pytest.mark.parametrize(("over", "broken"), [(-20, False), (40, False), (70, True), (500, True)])
def test_two_attempts_at_once_are_found_beyond_50_ms(run: RecordedRun, over: int, broken: bool) -> None:
    id = run.add_request(0)
    run.add_try(id, 0, answered=900, kind="served", own=True)
    run.add_node_attempt(id, 1, 0, outcome="", closed=200 + over)
    run.add_node_attempt(id, 200, 890, node="b-0")
    assert run.violations() == [("repeated", id)] * broken


def test_an_attempt_that_never_ended_and_another_are_two_at_once(run: RecordedRun) -> None:
    id = run.add_request(0)
    run.add_try(id, 0, answered=900, kind="served", own=True)
    run.add_node_attempt(id, 1)
    run.add_node_attempt(id, 800, 890, node="b-0")
    assert run.violations() == [("repeated", id)]


def test_a_stall_of_the_rig_widens_the_tolerance(run: RecordedRun) -> None:
    id = run.add_request(0)
    run.add_try(id, 0, answered=900, kind="served", own=True)
    run.add_node_attempt(id, 1, 0, outcome="", closed=300)
    run.add_node_attempt(id, 200, 890, node="b-0")
    assert run.violations()
    run.stalls.append((to_ns(150), to_ns(290)))
    assert not run.violations()


@pytest.mark.parametrize(("attempts", "broken"), [(5, False), (6, True)])
def test_five_attempts_are_allowed(run: RecordedRun, attempts: int, broken: bool) -> None:
    id = run.add_request(0)
    run.add_try(id, 0, answered=900, kind="refused", detail="BUSY")
    for number in range(attempts):
        run.add_node_attempt(id, 1 + number * 10, 5 + number * 10, outcome="busy")
    assert run.violations() == [("repeated", id)] * broken


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
    run: RecordedRun, cls: int, outcome: str, age: int, broken: bool
) -> None:
    id = run.add_request(0, cls, wait_ms=9000)
    run.add_try(id, 0, answered=age + 100, kind="failed", wait=9000 * MILLI)
    run.add_database_attempt(id, 1, 50, outcome)
    run.add_database_attempt(id, 1 + age, age + 90)
    assert run.violations() == [("repeated", id)] * broken


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
def test_a_rejection_after_what_may_have_run_is_found_where_a_retry_does_harm(
    run: RecordedRun, cls: int, outcome: str, at: int, broken: bool
) -> None:
    id = run.add_request(0, cls, wait_ms=9000)
    run.add_try(id, 0, answered=at, kind="refused", detail="BUSY", wait=9000 * MILLI)
    run.add_database_attempt(id, 1, 50, outcome)
    assert run.violations() == [("repeated", id)] * broken


def test_a_clients_own_retry_of_a_write_is_not_a_repeat_of_the_router(run: RecordedRun) -> None:
    first = run.add_request(0, 1, tries=2)
    run.add_try(first, 0, answered=100, kind="failed")
    run.add_database_attempt(first, 1, 90, "reset", order="o0", executed=True)
    run.add_try("r0.1", 200, answered=300, kind="served", own=True)
    run.add_database_attempt("r0.1", 201, 290, order="o0")
    assert not run.violations()


def test_an_idempotency_key_that_one_request_executed_twice_is_found(run: RecordedRun) -> None:
    id = run.add_request(0, 1)
    run.add_try(id, 0, answered=300, kind="served", own=True)
    run.add_database_attempt(id, 1, 50, "reset", order="o0", executed=True)
    run.add_database_attempt(id, 100, 290, order="o0", executed=True)
    assert run.violations() == [("repeated", id)]


def test_an_attempt_for_what_no_client_sent_is_found(run: RecordedRun) -> None:
    run.add_node_attempt("ghost", 1, 50)
    assert run.violations() == [("repeated", "ghost")]


# Rule 3: no new request to a node that drains or is gone


@pytest.mark.parametrize("state", ["Terminating", "Gone"])
@pytest.mark.parametrize(("after", "broken"), [(900, False), (1040, False), (1060, True), (1200, True)])
def test_a_send_is_fine_0_9_s_after_a_drain_and_not_1_2_s(
    run: RecordedRun, state: str, after: int, broken: bool
) -> None:
    run.add_list_change(0, "a-0", state)
    id = run.add_served_request(after - 1)
    assert run.violations() == [("drained", id)] * broken


def test_a_drain_counts_from_when_this_router_was_sent_it(run: RecordedRun) -> None:
    run.add_list_change(0, "a-0", "Terminating", router=1)
    run.add_served_request(3000)
    assert not run.violations()


def test_a_node_that_is_ready_again_may_be_sent_to(run: RecordedRun) -> None:
    run.add_list_change(0, "a-0", "Gone")
    run.add_list_change(2000, "a-0", "Ready")
    run.add_served_request(3000)
    assert not run.violations()


def test_gone_after_terminating_does_not_restart_the_limit(run: RecordedRun) -> None:
    run.add_list_change(0, "a-0", "Terminating")
    run.add_list_change(2000, "a-0", "Gone")
    id = run.add_served_request(2500)
    assert run.violations() == [("drained", id)]


def test_a_node_that_a_whole_list_does_not_name_is_gone(run: RecordedRun) -> None:
    row = {"router": 0, "at": to_ns(0), "node": "", "state": "whole", "whole": True, "named": ["b-0"]}
    run.list_changes.append(row)
    id = run.add_served_request(2000)
    assert run.violations() == [("drained", id)]


def test_a_router_that_starts_again_knows_of_no_drain(run: RecordedRun) -> None:
    run.add_list_change(0, "a-0", "Terminating")
    run.events[0] += [
        ("kill", to_ns(100)),
        ("ended", to_ns(101)),
        ("start", to_ns(500)),
        ("ready", to_ns(600)),
    ]
    run.add_served_request(2000)
    assert not run.violations()


# Rule 4: no cold node overloaded, no database stopped by misses at cold nodes


@pytest.mark.parametrize(("informed", "broken"), [(10, True), (6, False)])
def test_a_cold_node_overloaded_by_routers_that_knew_of_its_start_is_found(
    run: RecordedRun, informed: int, broken: bool
) -> None:
    run.nodes["a-0"] = {"starts": [to_ns(1000)], "falls": [to_ns(2000)]}
    run.add_list_change(1100, "a-0", "Ready")
    for number in range(10):
        id = run.add_request(1500)
        router = 0 if number < informed else 1
        run.add_try(id, 1500, answered=1900, kind="failed", router=router)
        run.add_node_attempt(id, 1501 + number, 1800, outcome="reset", cold=True, router=router)
    assert run.violations() == [("overrun", "a-0")] * broken


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
    run: RecordedRun, cold: int, started: int, pressed: bool, broken: bool
) -> None:
    run.nodes["a-0"]["starts"] = [to_ns(started)]
    run.database_stops = [(to_ns(4000), pressed)]
    for number in range(20):
        id = run.add_request(3000)
        run.add_try(id, 3000, answered=3900, kind="failed")
        run.add_node_attempt(
            id, 3001, 3010, outcome="miss", node="a-0" if number < cold else "b-0", cold=number < cold
        )
        run.add_database_attempt(id, 3020, 3800, "reset", write=False)
    assert run.violations() == [("overrun", "database")] * broken


def test_a_crash_is_a_finding_with_its_last_lines(run: RecordedRun) -> None:
    run.crashes[1] = {"router": 1, "at": to_ns(500), "why": "ended with 3", "log": ["out of ideas"]}
    (violation,) = find_violations(run.evidence())
    assert violation.rule == "crashed" and violation.log == ["out of ideas"]
    assert "router 1 ended with 3" in violation.description
