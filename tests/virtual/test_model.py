"""Every interleaving of a small world, to a depth, and that the search sees what it is there for."""

from collections.abc import Callable
from typing import Any

import pytest

from rainhitch import interface as api
from rainhitch.policy import retry_policy
from rainhitch.policy.balancer import Balancer
from rainhitch.policy.pending_request import PendingRequest, RequestState
from rainhitch.rehearsal.explore.model import MODELS, Model, fingerprint, search


@pytest.mark.parametrize("name", MODELS)
def test_no_interleaving_of_a_small_world_breaks_a_rule(name: str) -> None:
    found = search(MODELS[name], 4, 1500)
    assert found.violation == "" and found.states > 500, found.counterexample


def sends_at_once(patch: pytest.MonkeyPatch) -> None:
    proceed = Balancer._proceed

    def twice(self: Balancer, pending: PendingRequest | None) -> None:
        proceed(self, pending)
        if pending is not None and pending.state is RequestState.IN_FLIGHT:
            self._start_attempt(pending, self.servers.origin or next(iter(self.servers.servers.values())))

    patch.setattr(Balancer, "_proceed", twice)


def repeats_all(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(retry_policy, "may_retry_at", lambda pending, endpoint, now_ns: True)


def refuses_all(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(retry_policy, "may_reject", lambda pending, now_ns: True)


def says_nothing(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Balancer, "_finish_unserved", lambda self, pending, reason=None: None)


@pytest.mark.parametrize(
    ("mutant", "world", "rule"),
    [
        (sends_at_once, "two reads of a key", "two attempts of"),
        (repeats_all, "what may run once only, a read", "may have run, and is sent again"),
        (refuses_all, "what may run once only, a read", "may have run, and is refused"),
        (says_nothing, "two reads of a key", "rule 1"),
    ],
)
def test_a_rule_broken_on_purpose_is_found_with_the_events_that_do_it(
    mutant: Callable[[pytest.MonkeyPatch], None], world: str, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    mutant(monkeypatch)
    found = search(MODELS[world], 6, 6000)
    assert rule in found.violation
    again = Model(MODELS[world])
    for event in found.counterexample[:-1]:
        again.apply(event)
    with pytest.raises(Exception, match=rule):
        again.apply(found.counterexample[-1])


def test_states_are_the_same_by_what_they_hold_and_not_by_who_holds_it() -> None:
    def after(*events: Any) -> bytes:
        world = Model(MODELS["a read, an order"])
        for event in events:
            world.apply(event)
        return fingerprint(world)

    assert after() == after()
    assert after(("arrive", "r0")) == after(("arrive", "r0")) != after()
    drained = ("list", "s0", api.EndpointState.DRAINING)
    assert after(drained) != after()
