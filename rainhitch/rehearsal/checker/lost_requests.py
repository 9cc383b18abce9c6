"""Rule 1, `lost`: each request that a router took gets exactly one final answer, in time and made for it.

Limit: an answer is due when the client leaves, and 20 ms more for its way. Tolerance: 50 ms, and the kit's
stalls near that instant.

Not lost is what a client left before its time, what no router took, and what a router held that was killed,
crashed or stood still (`Evidence.owes_no_answer`). Lost is an answer after the limit, no answer, a connection
that ended without a whole one, a second answer, and a value that was not made for this request.

Any answer counts as answered here, also an error or what is no RESP; what it is worth, `service` says.
"""

from collections.abc import Iterator

from rainhitch.rehearsal.checker.evidence import Evidence
from rainhitch.rehearsal.checker.records import MILLI, ClientTry, TryKind
from rainhitch.rehearsal.checker.violations import TOLERANCE_NS, Rule, Violation, violation

ANSWER_WAY_NS = 20 * MILLI  # after the client's wait, in which its answer may still come
MAX_DETAIL_CHARACTERS = 40  # of a foreign value that a violation shows


def find_lost_requests(evidence: Evidence) -> Iterator[Violation]:
    """All violations of the rule, by request, then further answers by time."""
    planned_ids = {id for request in evidence.requests for id in request.try_ids}
    for client_try in evidence.client_tries:
        if client_try.sent_ns and not client_try.left_ns and client_try.id in planned_ids:
            yield from _check_final_answer(evidence, client_try)
            yield from _check_earlier_sends(evidence, client_try)
    for answer in evidence.further_answers:
        if answer.id:
            what = f"router {answer.router}: a further answer after the final one: {answer.result}"
            yield violation(evidence, Rule.LOST_REQUEST, answer.at_ns, what, request_id=answer.id)


def _check_final_answer(evidence: Evidence, client_try: ClientTry) -> Iterator[Violation]:
    """A violation where the final answer is late, foreign or missing."""
    limit_ns = client_try.sent_ns + client_try.wait_ns + ANSWER_WAY_NS + TOLERANCE_NS
    limit_ns += evidence.kit_stall_ns(limit_ns)
    problem = _final_answer_problem(evidence, client_try, limit_ns)
    if problem:
        at_ns = client_try.answered_ns if client_try.answered_ns else limit_ns
        what = f"router {client_try.router}: {problem}"
        yield violation(evidence, Rule.LOST_REQUEST, at_ns, what, request_id=client_try.id)


def _final_answer_problem(evidence: Evidence, client_try: ClientTry, limit_ns: int) -> str:
    """What is wrong with the final answer of a try; "" for nothing."""
    if client_try.answered_ns > limit_ns:
        took_ms = (client_try.answered_ns - client_try.sent_ns) / MILLI
        wait_ms = client_try.wait_ns / MILLI
        return f"answered {took_ms:.0f} ms after it was sent, the client left at {wait_ms:.0f} ms"
    if client_try.answered_ns:
        if client_try.result == TryKind.SERVED:
            return _served_value_problem(evidence, client_try)
        return ""
    if evidence.owes_no_answer(client_try.router, client_try.sent_ns - TOLERANCE_NS, limit_ns):
        return ""
    if client_try.result == TryKind.NONE:
        return "no answer"
    return "the connection ended with no whole answer"


def _served_value_problem(evidence: Evidence, client_try: ClientTry) -> str:
    """What is wrong with the served value; "" where a node or the database made it for this request."""
    if not client_try.is_own:
        return f"served with what was made for another request: {client_try.detail[:MAX_DETAIL_CHARACTERS]}"
    for attempt in evidence.attempts_of(client_try.id):
        if attempt.outcome == "served" and attempt.router == client_try.router:
            return ""
    return "served with what no node and no database made for it"


def _check_earlier_sends(evidence: Evidence, client_try: ClientTry) -> Iterator[Violation]:
    """Sends whose connection ended with no answer though their router had begun them.

    A client that sent the request again has its answer; the send is lost all the same. Each send is judged by
    the router that took it: the client may have gone to another one next.
    """
    for router, ended_ns in client_try.earlier:
        begun = [
            attempt
            for attempt in evidence.attempts_of(client_try.id)
            if attempt.router == router and attempt.first_byte_ns < ended_ns
        ]
        if not begun:
            continue
        begun_ns = begun[0].first_byte_ns
        if not evidence.owes_no_answer(router, begun_ns - TOLERANCE_NS, ended_ns + TOLERANCE_NS):
            what = f"router {router}: the connection ended after the request had been taken"
            yield violation(evidence, Rule.LOST_REQUEST, ended_ns, what, request_id=client_try.id)
