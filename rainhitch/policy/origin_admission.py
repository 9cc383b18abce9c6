"""The gate before the origin: likely misses and origin reads pass the throttle while it is on."""

from rainhitch import interface as api
from rainhitch.policy.decision_context import Call, DecisionContext
from rainhitch.policy.pending_request import PendingRequest
from rainhitch.policy.throttle import OriginMonitor, Throttle


class OriginAdmission:
    """Where likely misses spend their tokens, wait for them, or are refused."""

    def __init__(self, turn: DecisionContext, proceed: Call, give_up: Call) -> None:
        self.context, self.proceed, self.give_up = turn, proceed, give_up
        self.monitor = OriginMonitor(turn.shortest_objective_ns // 2)
        self.release_at = 0
        self.reads_in_flight: dict[
            tuple[str, int], tuple[int, int]
        ] = {}  # likely misses out: sent, slow from

    def start(self) -> None:
        """With the router's first event."""
        self.monitor.born = self.context.now_ns
        self.context.schedule(self.monitor.period, self._step)

    def _step(self, _: PendingRequest | None) -> None:
        # Guards against an origin that hangs: a slow read counts as bad before it ends.
        for read, (sent, slow) in list(self.reads_in_flight.items()):
            if slow > self.context.now_ns:
                break
            del self.reads_in_flight[read]
            self.monitor.note(False, sent)
        self._release(None)  # so that the level counts the tokens due by now
        before = self.monitor.throttle
        line = self.monitor.step(self.context.now_ns, bool(self.reads_in_flight))
        if line:
            self.context.actions.append(api.LogLine(line))
        if before is not None and self.monitor.throttle is None:
            for job in list(before.queue.values()):
                self.proceed(job)
        self.context.schedule(self.monitor.period, self._step)

    def admit(self, job: PendingRequest) -> None:
        """The throttle's gate: a likely miss, and each origin read, takes a token here."""
        throttle = self.monitor.throttle
        if throttle is None:
            self.monitor.spent.add(self.context.now_ns)
            self.proceed(job)
            return
        self._release(None)
        wait = throttle.wait_for(1 - throttle.level)
        verdict = (
            None
            if job.over_quota or self.context.now_ns + wait > job.objective_at_ns
            else throttle.offer(job)
        )
        if verdict:
            self.monitor.spent.add(self.context.now_ns)
            self.proceed(job)
        elif job.request.id in throttle.queue:
            job.reason = "buffer"
            self._plan_release(throttle)
            self.context.schedule(job.objective_at_ns - self.context.now_ns, self.give_up, job)
        else:
            job.reason = "throttle"
            self.give_up(job)

    def _plan_release(self, throttle: Throttle) -> None:
        if throttle.queue and self.release_at <= self.context.now_ns:
            self.release_at = max(self.context.now_ns + 1, throttle.last + throttle.wait_for(1))
            self.context.schedule(self.release_at - self.context.now_ns, self._release)

    def _release(self, _: PendingRequest | None) -> None:
        throttle = self.monitor.throttle
        if throttle is None:
            return
        for job in throttle.refill(self.context.now_ns):
            self.monitor.spent.add(self.context.now_ns)
            self.proceed(job)
        self._plan_release(throttle)

    def read_started(self, read: tuple[str, int], slow_after: int) -> None:
        """An attempt at a likely miss, by id and number, is out."""
        self.reads_in_flight[read] = (self.context.now_ns, self.context.now_ns + slow_after)

    def read_finished(self, read: tuple[str, int], answered: bool, elapsed: int) -> None:
        """An attempt has ended; counts, by its own time, if it was a likely miss that was still out."""
        known = self.reads_in_flight.pop(read, None)
        if known is not None:
            self.monitor.note(answered and known[0] + elapsed < known[1], known[0])

    def withdraw(self, job: PendingRequest) -> None:
        """Takes a job out of the buffer."""
        if self.monitor.throttle is not None:
            self.monitor.throttle.leave(job)

    def waiting_for(self, key: str) -> list[PendingRequest]:
        """The jobs in the buffer that want this key."""
        throttle = self.monitor.throttle
        return [] if throttle is None else [job for job in throttle.queue.values() if job.request.key == key]
