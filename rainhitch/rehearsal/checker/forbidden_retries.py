"""Rule 2, `repeated`: no forbidden retry.

- Never two attempts of a request at once. Tolerance: 50 ms, and the kit's stalls near the second one.
- At most five attempts of a request.
- What may have run is sent again only as its class allows: `safe` always, `keyed` within the window in which
  its idempotency key is known (50 ms tolerance), `unsafe` never.
- A rejection says that a retry does no harm: it may follow an attempt that may have run only where the class
  allows a retry.
- The database executes an idempotency key once for each request.
- No attempt without a client's request.

All of it is counted for each router alone: a client whose connection breaks sends again, perhaps to another
router, and neither can know what the other does.
"""

from collections import defaultdict
from collections.abc import Iterator

from rainhitch.rehearsal.checker.evidence import Evidence
from rainhitch.rehearsal.checker.records import (
    DATABASE,
    MILLI,
    NEVER_NS,
    CheckedClass,
    ObservedAttempt,
    Repeats,
    TryKind,
)
from rainhitch.rehearsal.checker.violations import TOLERANCE_NS, Rule, Violation, violation

MAX_ATTEMPTS = 5  # of a request; the rule's own limit, not read from the settings that routers get


def find_forbidden_retries(evidence: Evidence) -> Iterator[Violation]:
    """All violations of the rule."""
    class_by_id = {}
    for request in evidence.requests:
        for id in request.try_ids:
            class_by_id[id] = evidence.classes[request.class_index]
    for id, attempts in evidence.attempts_by_id.items():
        request_class = class_by_id.get(id)
        if request_class is None:
            first = attempts[0]
            what = "a request that no client sent"
            yield violation(
                evidence, Rule.FORBIDDEN_RETRY, first.first_byte_ns, what, request_id=id, node=first.server
            )
            continue
        for attempts_of_router in _by_router(attempts):
            yield from _check_attempt_count(evidence, attempts_of_router)
            yield from _check_simultaneous_attempts(evidence, attempts_of_router)
            yield from _check_repeated_execution(evidence, attempts_of_router, request_class)
    yield from _check_rejections(evidence, class_by_id)
    yield from _check_database_executions(evidence)


def _by_router(attempts: list[ObservedAttempt]) -> Iterator[list[ObservedAttempt]]:
    """The attempts of one request, router by router."""
    for router in dict.fromkeys(attempt.router for attempt in attempts):
        yield [attempt for attempt in attempts if attempt.router == router]


def _check_attempt_count(evidence: Evidence, attempts: list[ObservedAttempt]) -> Iterator[Violation]:
    """A violation where a router made more than MAX_ATTEMPTS for a request."""
    if len(attempts) > MAX_ATTEMPTS:
        what = f"router {attempts[0].router}: {len(attempts)} attempts, {MAX_ATTEMPTS} are allowed"
        at_ns = attempts[MAX_ATTEMPTS].last_byte_ns
        yield violation(
            evidence, Rule.FORBIDDEN_RETRY, at_ns, what, request_id=attempts[0].id, node=attempts[-1].server
        )


def _check_simultaneous_attempts(evidence: Evidence, attempts: list[ObservedAttempt]) -> Iterator[Violation]:
    """A violation for the first attempt of a router that was sent while another was out."""
    for number, later in enumerate(attempts):
        for earlier in attempts[:number]:
            overlap_ns = earlier.out_until_ns - later.last_byte_ns
            if overlap_ns > TOLERANCE_NS + evidence.kit_stall_ns(later.last_byte_ns):
                until = "to the end"
                if earlier.out_until_ns < NEVER_NS:
                    until = f"for {overlap_ns / MILLI:.0f} ms more"
                what = f"router {later.router}: two attempts at once: "
                what += f"the one at {earlier.server} was out {until}"
                yield violation(
                    evidence,
                    Rule.FORBIDDEN_RETRY,
                    later.last_byte_ns,
                    what,
                    request_id=later.id,
                    node=later.server,
                )
                return


def _may_repeat(request_class: CheckedClass, age_ns: int) -> bool:
    """Whether what may have run this long ago may be executed again."""
    if request_class.repeats == Repeats.SAFE:
        return True
    if request_class.repeats == Repeats.UNSAFE:
        return False
    return age_ns <= request_class.dedup_window_ns + TOLERANCE_NS


def _check_repeated_execution(
    evidence: Evidence, attempts: list[ObservedAttempt], request_class: CheckedClass
) -> Iterator[Violation]:
    """A violation for a router's first attempt after one that may have run, where the class forbids it."""
    for number, later in enumerate(attempts):
        may_have_run = [earlier for earlier in attempts[:number] if earlier.may_have_run]
        if not may_have_run:
            continue
        age_ns = later.last_byte_ns - min(earlier.last_byte_ns for earlier in may_have_run)
        if not _may_repeat(request_class, age_ns):
            first = may_have_run[0]
            what = (
                f"router {later.router}: sent again {age_ns / MILLI:.0f} ms after the attempt at "
                f"{first.server} ({first.outcome}), which may have run; its class is {request_class.repeats}"
            )
            yield violation(
                evidence,
                Rule.FORBIDDEN_RETRY,
                later.last_byte_ns,
                what,
                request_id=later.id,
                node=later.server,
            )
            return


def _check_rejections(evidence: Evidence, class_by_id: dict[str, CheckedClass]) -> Iterator[Violation]:
    """Violations for rejections of requests that may have run and may not be repeated."""
    for client_try in evidence.client_tries:
        request_class = class_by_id.get(client_try.id)
        if client_try.result != TryKind.REFUSED or request_class is None:
            continue
        may_have_run = [
            attempt
            for attempt in evidence.attempts_of(client_try.id)
            if attempt.may_have_run
            and attempt.first_byte_ns < client_try.answered_ns
            and attempt.router == client_try.router
        ]
        if not may_have_run:
            continue
        age_ns = client_try.answered_ns - min(attempt.last_byte_ns for attempt in may_have_run)
        if not _may_repeat(request_class, age_ns):
            first = may_have_run[0]
            what = (
                f"router {client_try.router}: refused, which says that repeating is harmless, after "
                f"the attempt at {first.server} ({first.outcome}) may have run"
            )
            yield violation(
                evidence,
                Rule.FORBIDDEN_RETRY,
                client_try.answered_ns,
                what,
                request_id=client_try.id,
                node=first.server,
            )


def _check_database_executions(evidence: Evidence) -> Iterator[Violation]:
    """Violations for idempotency keys that the database executed twice for one router's request."""
    executed: dict[tuple[str, str, int], list[ObservedAttempt]] = defaultdict(list)
    for attempt in evidence.all_attempts():
        if attempt.idempotency_key and attempt.was_executed:
            executed[attempt.idempotency_key, attempt.id, attempt.router].append(attempt)
    for (key, id, router), attempts in executed.items():
        if len(attempts) > 1:
            what = f"router {router}: order {key} was carried out {len(attempts)} times"
            yield violation(
                evidence, Rule.FORBIDDEN_RETRY, attempts[1].last_byte_ns, what, request_id=id, node=DATABASE
            )
