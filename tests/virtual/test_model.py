"""Model check of the decisions: no interleaving breaks an invariant; a rule broken on purpose is found."""

from collections.abc import Callable
from typing import Any

import pytest

from rainhitch import interface as api
from rainhitch.policy import retry_policy
from rainhitch.policy.balancer import Balancer
from rainhitch.policy.pending_request import PendingRequest, RequestState
from rainhitch.rehearsal.explore.model import MODELS, Model, fingerprint, search


@pytest.mark.parametrize("name", MODELS)
def test_no_interleaving_violates_an_invariant(name: str) -> None:
    found = search(MODELS[name], 4, 1500)
    assert found.violation == "" and found.states > 500, found.counterexample


def send_twice_at_once(patch: pytest.MonkeyPatch) -> None:
    """Starts a second attempt beside each first one."""
    proceed = Balancer._proceed

    def twice(self: Balancer, pending: PendingRequest | None) -> None:
        proceed(self, pending)
        if pending is not None and pending.state is RequestState.IN_FLIGHT:
            self._start_attempt(pending, self.servers.origin or next(iter(self.servers.servers.values())))

    patch.setattr(Balancer, "_proceed", twice)


def retry_everything(patch: pytest.MonkeyPatch) -> None:
    """Retries what may have run and must not run twice."""
    patch.setattr(retry_policy, "may_retry_at", lambda pending, endpoint, now_ns: True)


def reject_everything(patch: pytest.MonkeyPatch) -> None:
    """Rejects what may have run, as if it had not."""
    patch.setattr(retry_policy, "may_reject", lambda pending, now_ns: True)


def leave_unanswered(patch: pytest.MonkeyPatch) -> None:
    """Gives no final answer to what can't be served."""
    patch.setattr(Balancer, "_finish_unserved", lambda self, pending, reason=None: None)


@pytest.mark.parametrize(
    ("mutant", "model_name", "rule"),
    [
        (send_twice_at_once, "two reads of a key", "two attempts of"),
        (retry_everything, "what may run once only, a read", "may have run, and is sent again"),
        (reject_everything, "what may run once only, a read", "may have run, and is refused"),
        (leave_unanswered, "two reads of a key", "rule 1"),
    ],
)
def test_a_rule_broken_on_purpose_is_found_with_a_counterexample_that_repeats_it(
    mutant: Callable[[pytest.MonkeyPatch], None], model_name: str, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    mutant(monkeypatch)
    found = search(MODELS[model_name], 6, 6000)
    assert rule in found.violation
    again = Model(MODELS[model_name])
    for event in found.counterexample[:-1]:
        again.apply(event)
    with pytest.raises(Exception, match=rule):
        again.apply(found.counterexample[-1])


def test_equal_states_of_different_objects_have_the_same_fingerprint() -> None:
    def after(*events: Any) -> bytes:
        model = Model(MODELS["a read, an order"])
        for event in events:
            model.apply(event)
        return fingerprint(model)

    assert after() == after()
    assert after(("arrive", "r0")) == after(("arrive", "r0")) != after()
    drained = ("list", "s0", api.EndpointState.DRAINING)
    assert after(drained) != after()
