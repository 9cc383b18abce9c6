"""Applies all rules to a run. Each rule's module says the rule, its limit and its tolerance."""

from collections.abc import Callable, Iterator

from rainhitch.rehearsal.checker.cold_overload import find_cold_overload
from rainhitch.rehearsal.checker.crashes import find_crashes
from rainhitch.rehearsal.checker.evidence import Evidence
from rainhitch.rehearsal.checker.forbidden_retries import find_forbidden_retries
from rainhitch.rehearsal.checker.lost_requests import find_lost_requests
from rainhitch.rehearsal.checker.sends_after_drain import find_sends_after_drain
from rainhitch.rehearsal.checker.violations import Rule, Violation

FINDERS: dict[Rule, Callable[[Evidence], Iterator[Violation]]] = {
    Rule.LOST_REQUEST: find_lost_requests,
    Rule.FORBIDDEN_RETRY: find_forbidden_retries,
    Rule.SEND_AFTER_DRAIN: find_sends_after_drain,
    Rule.COLD_OVERLOAD: find_cold_overload,
    Rule.CRASH: find_crashes,
}


def find_violations(evidence: Evidence) -> list[Violation]:
    """All violations of all rules, in the order of time."""
    found = [one for find in FINDERS.values() for one in find(evidence)]
    return sorted(found, key=lambda one: (one.at_s, one.rule, one.request_id, one.description))
