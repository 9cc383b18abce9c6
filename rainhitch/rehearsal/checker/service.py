"""The service of a run, as the operators count it: worth answered within the objective, over worth asked."""

from collections import defaultdict
from collections.abc import Callable, Hashable
from typing import TypeVar

from rainhitch.rehearsal.checker.evidence import Evidence
from rainhitch.rehearsal.checker.prices import measure_prices
from rainhitch.rehearsal.checker.records import AskedRequest, CheckedClass, ClientTry, Json, TryKind
from rainhitch.rehearsal.checker.request_outcome import RequestOutcome

K = TypeVar("K", bound=Hashable)
WORST_WINDOW_S = 10  # length of the windows of which the worst counts
STEP_S = 5  # of a row of the report
DIGITS = 6  # of the report's figures
# Given by the operators; not derived here.
SCORE_WEIGHTS = {"whole": 0.4, "worst_window": 0.1, "worst_class": 0.1, "worst_customer": 0.4}
POINTS_PER_SERVICE = 100  # prices are points of service in 100
MICROSECONDS_PER_SECOND = 1_000_000
# What the report calls a try's result where it is a reason why worth was not earned. "served too late" is
# served after the client left, or with a value that was not its own; "served late", below, is served after
# the objective, while the client waited.
CAUSES = {"served": "served too late", "ended": "connection ended"}


def request_outcomes(evidence: Evidence) -> list[RequestOutcome]:
    """The outcome of each scored request; the prelude is not scored."""
    tries_by_request: dict[int, list[ClientTry]] = defaultdict(list)
    for client_try in evidence.client_tries:
        tries_by_request[client_try.request_number].append(client_try)
    outcomes = []
    for number, request in enumerate(evidence.requests):
        if request.at_us < 0:
            continue
        request_class = evidence.classes[request.class_index]
        over_quota_factor = evidence.scenario["traffic"]["over_share_worth"] if request.is_over_quota else 1.0
        worth = request_class.worth * over_quota_factor
        tries = tries_by_request.get(number, [])
        outcomes.append(_request_outcome(request, number, request_class, worth, tries))
    return outcomes


def _request_outcome(
    request: AskedRequest, number: int, request_class: CheckedClass, worth: float, tries: list[ClientTry]
) -> RequestOutcome:
    """What became of a request: a retry is part of it, and its time counts from the first try."""
    begun_ns = next((one.sent_ns for one in tries if one.sent_ns), 0)
    for one in tries:
        in_time = one.answered_ns <= one.sent_ns + one.wait_ns
        if one.result == TryKind.SERVED and one.is_own and in_time:
            took_ns = one.answered_ns - begun_ns
            if took_ns <= request_class.latency_objective_ns:
                return RequestOutcome(request, number, worth, worth, "", took_ns)
            earned = worth * request_class.late_worth
            return RequestOutcome(request, number, worth, earned, "served late", took_ns)
    if not tries:
        return RequestOutcome(request, number, worth, 0.0, "not sent", 0)
    last = tries[-1]
    took_ns = max(0, _end_ns(last) - begun_ns) if begun_ns else 0
    return RequestOutcome(request, number, worth, 0.0, _failure_cause(last), took_ns)


def _failure_cause(last: ClientTry) -> str:
    """Why a request earned nothing, by its last try."""
    if last.left_ns:
        return "left early"
    if last.result == TryKind.NONE:
        return "no answer"
    return CAUSES.get(last.result, last.result)


def _end_ns(last: ClientTry) -> int:
    """When a try was over."""
    for at_ns in (last.answered_ns, last.ended_ns, last.left_ns):
        if at_ns:
            return at_ns
    return last.sent_ns + last.wait_ns


def _service(outcomes: list[RequestOutcome]) -> float:
    """Worth earned over worth asked; 1 where nothing was asked."""
    asked = sum(one.worth for one in outcomes)
    return round(sum(one.earned for one in outcomes) / asked, DIGITS) if asked else 1.0


def _group(
    outcomes: list[RequestOutcome], key: Callable[[RequestOutcome], K]
) -> dict[K, list[RequestOutcome]]:
    """The outcomes by a key, in the order in which the keys come."""
    grouped: dict[K, list[RequestOutcome]] = defaultdict(list)
    for one in outcomes:
        grouped[key(one)].append(one)
    return grouped


def _service_by(
    outcomes: list[RequestOutcome], names: list[str], index: Callable[[RequestOutcome], int]
) -> dict[str, float]:
    """The service of each class, customer or room that asked for something, by name."""
    grouped = _group(outcomes, index)
    return {names[number]: _service(part) for number, part in sorted(grouped.items())}


class OutcomesBySecond:
    """The outcomes of a run by the second in which their requests came."""

    def __init__(self, outcomes: list[RequestOutcome]) -> None:
        self.by_second = _group(outcomes, lambda one: one.request.at_us // MICROSECONDS_PER_SECOND)

    def between(self, begin_s: int, end_s: int) -> list[RequestOutcome]:
        """The outcomes of these seconds."""
        return [one for second in range(begin_s, end_s) for one in self.by_second.get(second, [])]


def measure_service(evidence: Evidence) -> Json:
    """All figures of service, and the score with the prices beside it, as rows of the report."""
    outcomes = request_outcomes(evidence)
    within_quota = [one for one in outcomes if not one.request.is_over_quota]
    classes = [one.name for one in evidence.classes]
    customers = [row["name"] for row in evidence.scenario["customers"]]
    by_class = _service_by(outcomes, classes, lambda one: one.request.class_index)
    by_customer = _service_by(within_quota, customers, lambda one: one.request.customer)
    by_room = _service_by(outcomes, evidence.plan["rooms"], lambda one: one.request.room)
    by_second = OutcomesBySecond(outcomes)
    length_s = int(evidence.scenario["day"]["length_s"])
    window_starts_s = range(max(1, length_s - WORST_WINDOW_S + 1))
    parts = {
        "whole": _service(outcomes),
        "worst_window": min(_service(by_second.between(at, at + WORST_WINDOW_S)) for at in window_starts_s),
        "worst_class": min(by_class.values(), default=1.0),
        "worst_customer": min(by_customer.values(), default=1.0),
    }
    prices = measure_prices(evidence, outcomes)
    score = round(sum(SCORE_WEIGHTS[name] * value for name, value in parts.items()), DIGITS)
    return {
        "service": parts["whole"],
        "score": score,
        "net_score": round(score - sum(prices.values()) / POINTS_PER_SERVICE, DIGITS),
        "parts": parts,
        "prices": prices,
        "by_class": by_class,
        "by_customer": by_customer,
        "by_room": by_room,
        "steps": [_step(by_second, from_s) for from_s in range(0, length_s, STEP_S)],
        "causes": _causes(outcomes),
        "requests": len(outcomes),
    }


def _step(by_second: OutcomesBySecond, from_s: int) -> Json:
    """The row of one step of the run."""
    outcomes = by_second.between(from_s, from_s + STEP_S)
    return {"from_s": from_s, "service": _service(outcomes), "requests": len(outcomes)}


def _causes(outcomes: list[RequestOutcome]) -> list[Json]:
    """Why worth was not earned, what cost most first."""
    asked = sum(one.worth for one in outcomes)
    if not asked:
        asked = 1.0
    lossy = [one for one in outcomes if one.cause]
    grouped = _group(lossy, lambda one: (one.cause, one.request.is_over_quota))
    rows = []
    for (cause, is_over_quota), part in grouped.items():
        rows.append(
            {
                "cause": f"{cause}, beyond a share" if is_over_quota else cause,
                "requests": len(part),
                "lost": round(sum(one.worth - one.earned for one in part) / asked, DIGITS),
            }
        )
    return sorted(rows, key=lambda row: (-row["lost"], row["cause"]))
