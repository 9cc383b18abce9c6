"""The gate before the origin: likely misses and origin reads pass the throttle while it is on."""

from rainhitch import interface as api
from rainhitch.policy.jobs import Job
from rainhitch.policy.throttle import Monitor, Throttle
from rainhitch.policy.turn import Call, Turn


class Gate:
    """Where likely misses spend their tokens, wait for them, or are refused."""

    def __init__(self, turn: Turn, proceed: Call, give_up: Call) -> None:
        self.turn, self.proceed, self.give_up = turn, proceed, give_up
        self.monitor = Monitor(turn.shortest_aim // 2)
        self.release_at = 0
        self.reads: dict[tuple[str, int], tuple[int, int]] = {}  # likely misses out: sent, slow from

    def start(self) -> None:
        """With the router's first event."""
        self.monitor.born = self.turn.now
        self.turn.later(self.monitor.period, self._step)

    def _step(self, _: Job | None) -> None:
        # Guards against an origin that hangs: a slow read counts as bad before it ends.
        for read, (sent, slow) in list(self.reads.items()):
            if slow > self.turn.now:
                break
            del self.reads[read]
            self.monitor.note(False, sent)
        self._release(None)  # so that the level counts the tokens due by now
        before = self.monitor.throttle
        line = self.monitor.step(self.turn.now, bool(self.reads))
        if line:
            self.turn.actions.append(api.Log(line))
        if before is not None and self.monitor.throttle is None:
            for job in list(before.queue.values()):
                self.proceed(job)
        self.turn.later(self.monitor.period, self._step)

    def spend(self, job: Job) -> None:
        """The throttle's gate: a likely miss, and each origin read, takes a token here."""
        throttle = self.monitor.throttle
        if throttle is None:
            self.monitor.spent.add(self.turn.now)
            self.proceed(job)
            return
        self._release(None)
        wait = throttle.wait_for(1 - throttle.level)
        verdict = None if job.marked or self.turn.now + wait > job.due else throttle.offer(job)
        if verdict:
            self.monitor.spent.add(self.turn.now)
            self.proceed(job)
        elif job.request.id in throttle.queue:
            job.why = "buffer"
            self._plan_release(throttle)
            self.turn.later(job.due - self.turn.now, self.give_up, job)
        else:
            job.why = "throttle"
            self.give_up(job)

    def _plan_release(self, throttle: Throttle) -> None:
        if throttle.queue and self.release_at <= self.turn.now:
            self.release_at = max(self.turn.now + 1, throttle.last + throttle.wait_for(1))
            self.turn.later(self.release_at - self.turn.now, self._release)

    def _release(self, _: Job | None) -> None:
        throttle = self.monitor.throttle
        if throttle is None:
            return
        for job in throttle.refill(self.turn.now):
            self.monitor.spent.add(self.turn.now)
            self.proceed(job)
        self._plan_release(throttle)

    def sent(self, read: tuple[str, int], slow_after: int) -> None:
        """An attempt at a likely miss, by id and number, is out."""
        self.reads[read] = (self.turn.now, self.turn.now + slow_after)

    def ended(self, read: tuple[str, int], answered: bool, elapsed: int) -> None:
        """An attempt has ended; counts, by its own time, if it was a likely miss that was still out."""
        known = self.reads.pop(read, None)
        if known is not None:
            self.monitor.note(answered and known[0] + elapsed < known[1], known[0])

    def leave(self, job: Job) -> None:
        """Takes a job out of the buffer."""
        if self.monitor.throttle is not None:
            self.monitor.throttle.leave(job)

    def waiting_for(self, key: str) -> list[Job]:
        """The jobs in the buffer that want this key."""
        throttle = self.monitor.throttle
        return [] if throttle is None else [job for job in throttle.queue.values() if job.request.key == key]
