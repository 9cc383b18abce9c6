"""Rule 3, `drained`: no new request to a node that drains or is gone.

Limit: an attempt's first byte comes at most 1 s after this router was sent that the node is terminating or
gone. Tolerance: 50 ms, and the kit's stalls near that byte. A router that starts anew knows of no drain.
"""

from collections.abc import Iterator

from rainhitch.rehearsal.checker.evidence import NO_NEW_REQUESTS_STATES, Evidence
from rainhitch.rehearsal.checker.records import SECOND
from rainhitch.rehearsal.checker.violations import TOLERANCE_NS, Rule, Violation, violation

STOP_SENDING_WITHIN_NS = SECOND  # of the list that says that the node drains or is gone


def find_sends_after_drain(evidence: Evidence) -> Iterator[Violation]:
    """All violations of the rule, by request."""
    for attempt in evidence.all_attempts():
        if attempt.is_at_database:
            continue
        since_ns, state = evidence.listed_state(attempt.router, attempt.server, attempt.first_byte_ns)
        if state not in NO_NEW_REQUESTS_STATES:
            continue
        after_ns = attempt.first_byte_ns - since_ns
        limit_ns = STOP_SENDING_WITHIN_NS + TOLERANCE_NS + evidence.kit_stall_ns(attempt.first_byte_ns)
        if after_ns > limit_ns:
            what = f"router {attempt.router}: sent {after_ns / SECOND:.3f} s after it was told that "
            what += f"the node is {state}"
            yield violation(
                evidence,
                Rule.SEND_AFTER_DRAIN,
                attempt.first_byte_ns,
                what,
                request_id=attempt.id,
                node=attempt.server,
            )
