"""The one face of this package: what the decisions and the clients' side ask and tell, times in ns.

It sees arrivals, connects, retries marked and unmarked, outcomes, and the router's lateness; it says admit,
wait, refuse, when to come back, and whether one more attempt of the router's own may go. The decision module
(`policy/`) still chooses the server and gives each answer.
"""

from dataclasses import dataclass

from rainhitch import interface as api
from rainhitch.overload.accept_pacer import AcceptPacer
from rainhitch.overload.concurrency_limit import AdaptiveConcurrencyLimit, Lane
from rainhitch.overload.idempotency_keys import Entry, IdempotencyKeyGuard
from rainhitch.overload.retry_after import RetryAfterScheduler, Return, question
from rainhitch.overload.retry_budget import RetryBudget
from rainhitch.overload.storm_detector import PERIOD, RetryStormDetector

SECOND = 1_000_000_000
HURRIED = 0.4  # part of its aim below which a request's time left counts as hurried
SMOOTHING = 1 / 8
IN_TIME = 0.5  # part of its aim within which an answer counts as in time for the limit
HANDOVER = 2 * SECOND  # ns after the last sign of another process of this router
FADES = 0.99  # a period, of the most that was served a second: halved in 17 s


@dataclass
class OverloadOptions:
    """What an operator may set; see docs/operate/storms.md."""

    damping: bool = True  # false: storms are seen and told in the log, and nothing is done about them
    retry_share: float = 0.2  # retries of the router's own for each first try
    retries_least: float = 10.0  # a second
    least_in_work: int = 32  # requests that are always admitted at once
    floor: float = 0.2  # part of the limit that first tries and retries each keep
    accepts_least: float = 100.0  # connections a second
    accepts_most: float = 4000.0
    orders: int = 4096


@dataclass(slots=True)
class Entered:
    """A request that was taken into work."""

    at: int
    aim: int
    retry: bool
    marked: bool  # beyond its customer's share


class OverloadController:
    """The storms of one router."""

    period_ns = PERIOD  # ns at which `step` is wanted

    def __init__(self, settings: api.Settings, seed: int, options: OverloadOptions | None = None) -> None:
        self.settings, self.options = settings, options or OverloadOptions()
        told = self.options
        patience = max(spec.deadline_ns for spec in settings.classes)
        most_wait = settings.max_retry_after_ns if settings.retry_after_allowed else 0
        self.orders = IdempotencyKeyGuard(patience, told.orders)
        self.budget = RetryBudget(told.retry_share, told.retries_least)
        self.limit = AdaptiveConcurrencyLimit(
            min(spec.latency_objective_ns for spec in settings.classes) // 8, told.least_in_work, told.floor
        )
        self.appointments = RetryAfterScheduler(most_wait, seed)
        self.detector = RetryStormDetector()
        self.pace = AcceptPacer(told.accepts_least, told.accepts_most)
        self.origin_kind = settings.origin_kind if settings.cache_aside else -1
        self.entered: dict[str, Entered] = {}
        self.out: dict[tuple[str, int], Entered] = {}  # attempts at cache servers, by id and number
        self.best_rate = self.first_rate = 0.0  # answers a second at most, and first tries a second, lately
        self.took = 0.0  # ns that an answer takes, lately
        self.refused_by: dict[str, int] = {"limit": 0, "too late": 0, "order": 0, "budget": 0}

    @property
    def storm_active(self) -> bool:
        return self.detector.storm

    @property
    def binding(self) -> bool:
        """Whether what is admitted is limited now."""
        return self.options.damping and self.detector.storm

    def connection_accepted(self, now: int, open_now: int) -> int:
        """A connection was accepted; gives for how long no more should be, ns."""
        self.detector.now_counts.connects += 1
        self.detector.open = open_now
        return self.pace.accepted(now) if self.options.damping else 0

    def connection_rejected(self, now: int) -> int:
        """A newcomer found no room; gives after how long to come back, 0 where that may not be told."""
        self.detector.now_counts.turned_away += 1
        return self.appointments.give(now, self._returns()) if self.options.damping else 0

    def upgrade_peer_seen(self, now: int) -> None:
        """Another process of this router runs: its clients come over to this one, and the two share a core,
        so that neither connects nor lateness tell of a storm for HANDOVER."""
        self.detector.excused = now + HANDOVER

    def timer_delayed(self, late: int) -> None:
        """An alarm of the router came so much late, ns."""
        self.detector.now_counts.late = max(self.detector.now_counts.late, late)
        self.pace.noted(late)

    def admit(self, now: int, request: api.Request, marked: bool) -> api.AdmissionDecision:
        """What to do with a request that has come; `marked`: beyond its customer's share."""
        spec, seen = self.settings.classes[request.class_index], self.detector.now_counts
        known = bool(request.idempotency_key) and self.orders.known(now, request.idempotency_key)
        back = self.appointments.arrived(now, question(request), request.is_client_retry)
        retry = request.is_client_retry or known or back is not Return.NEW
        left = request.deadline_ns - now
        seen.arrivals += 1
        seen.retries += retry
        seen.hurried += left < spec.latency_objective_ns * HURRIED
        verdict = api.AdmissionDecision.ADMIT
        if self.binding:
            if left < self.took / 2:
                self.refused_by["too late"] += 1
                verdict = api.AdmissionDecision.REJECT
            elif not self.limit.admits(now, self._lane(request, marked, back), retry):
                self.refused_by["limit"] += 1
                verdict = api.AdmissionDecision.REJECT
        if verdict is api.AdmissionDecision.ADMIT and request.idempotency_key:
            entry = self.orders.enter(now, request.idempotency_key, request.id)
            if entry is Entry.FULL:
                self.refused_by["order"] += 1
                verdict = api.AdmissionDecision.REJECT
            elif entry is Entry.WAITS:
                verdict = api.AdmissionDecision.QUEUE
        self.entered[request.id] = Entered(now, spec.latency_objective_ns, retry, marked)
        return verdict

    @staticmethod
    def _lane(request: api.Request, marked: bool, back: Return) -> Lane:
        if request.is_write and not marked:
            return Lane.ORDER
        if marked or back is Return.EARLY:
            return Lane.SHED
        return Lane.KEPT if back is Return.KEPT else Lane.READ

    def earlier_attempts(self, request: api.Request) -> list[tuple[int, api.Endpoint]]:
        """When and where other requests' attempts at this request's order may have run."""
        return self.orders.inherited(request.idempotency_key, request.id)

    def may_start_attempt(self, now: int, again: bool) -> bool:
        """Whether an attempt may go; `again`: an earlier one failed. Counts it if it may."""
        if not again:
            self.budget.first(now)
            return True
        if not self.options.damping or self.budget.spend(now):
            return True
        self.refused_by["budget"] += 1
        return False

    def attempt_started(self, now: int, id: str, number: int, member: api.Endpoint, window: int) -> None:
        """An attempt is out; `window` is for how long its repeats are dropped there, ns."""
        self.orders.sent(now, id, number, member, window)
        entered = self.entered.get(id)
        if entered is not None and member.kind != self.origin_kind:
            # Guards hits against a slow origin: what waits there takes no place, and is the throttle's to
            # limit.
            self.out[id, number] = entered
            self.limit.began(entered.retry)

    def attempt_finished(self, now: int, event: api.AttemptFinished) -> str:
        """An attempt has ended; gives the request whose turn at its order it is now, "" for none."""
        entered = self.out.pop((event.id, event.attempt), None)
        if entered is not None:
            self.limit.ended(entered.retry)
            if event.status in (api.AttemptStatus.OK, api.AttemptStatus.MISS):
                self.limit.note(event.elapsed_ns <= entered.aim * IN_TIME, now - event.elapsed_ns)
            elif event.status in (api.AttemptStatus.TIMEOUT, api.AttemptStatus.FULL):
                self.limit.note(False, now - event.elapsed_ns)
        return self.orders.outcome(event.id, event.attempt, event.status)

    def request_finished(self, now: int, id: str, served: bool, refused: bool) -> str:
        """A request has its final answer, or its client has left; gives whose turn at its order it is now."""
        entered = self.entered.pop(id, None)
        if entered is not None:
            self.detector.now_counts.served += served
            self.detector.now_counts.refused += refused
            if served:
                self.took += (now - entered.at - self.took) * SMOOTHING
        return self.orders.ended(id)

    def retry_after_ns(self, now: int, request: api.Request) -> int:
        """After how long a request that is refused now should come again, ns; 0 where that may not be
        told."""
        # A time within its aim where it has one left: who comes back later earns little by it.
        entered, aim = (
            self.entered.get(request.id),
            self.settings.classes[request.class_index].latency_objective_ns,
        )
        worth = entered is not None and not entered.marked and not entered.retry
        left = (min(now + aim, request.deadline_ns) if worth else request.deadline_ns) - now - int(self.took)
        return self.appointments.give(now, self._returns(), question(request), left)

    def _returns(self) -> float:
        """Returns a second that can be served: what first tries leave, and the floor for retries at least."""
        spare = self.best_rate - self.first_rate
        return max(1.0, spare, self.best_rate * self.options.floor)

    def step(self, now: int) -> str:
        """Once a period; gives a line for the operators, or "" for none."""
        detector = self.detector
        span, seen = now - detector.stepped, detector.now_counts
        line = detector.step(now)
        if detector.now_counts is not seen:
            served, firsts = seen.served * SECOND / span, (seen.arrivals - seen.retries) * SECOND / span
            self.best_rate = max(served, self.best_rate * FADES)
            self.first_rate += (firsts - self.first_rate) * SMOOTHING
        self.limit.step(now, self.binding)
        if line and not detector.storm:
            why = ", ".join(f"{count} by {name}" for name, count in self.refused_by.items() if count)
            line += f"; limit {self.limit.limit:.0f}; not taken: {why or 'none'}"
            self.refused_by = dict.fromkeys(self.refused_by, 0)
        return line
