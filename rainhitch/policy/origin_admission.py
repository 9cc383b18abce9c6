"""Admission to the origin: likely misses and origin reads need a token of the throttle while it is on."""

from rainhitch import interface as api
from rainhitch.policy.decision_context import DecisionContext, RequestStep
from rainhitch.policy.origin_monitor import OriginMonitor
from rainhitch.policy.pending_request import PendingRequest
from rainhitch.policy.throttle import Throttle, TokenOffer


class OriginAdmission:
    """Where likely misses spend their tokens, wait for them, or are rejected."""

    def __init__(self, context: DecisionContext, proceed: RequestStep, finish_unserved: RequestStep) -> None:
        """Takes what sends an admitted request on, and what ends one that is not admitted."""
        self.context = context
        self.proceed = proceed
        self.finish_unserved = finish_unserved
        self.monitor = OriginMonitor(context.shortest_objective_ns // 2)
        self.release_at_ns = 0  # when the next token is due for which a timer is set
        # Likely misses in flight, by request id and attempt: sent at, and slow from then on, ns.
        self.reads_in_flight: dict[tuple[str, int], tuple[int, int]] = {}

    def start(self) -> None:
        """Starts the monitor, with the router's first event."""
        self.monitor.started_at_ns = self.context.now_ns
        self.context.schedule(self.monitor.period_ns, self._step)

    def _step(self, _: PendingRequest | None) -> None:
        """Once a period: lets the monitor decide; a throttle turned off lets all that wait go on."""
        now_ns = self.context.now_ns
        # Guards against an origin that hangs: a slow read counts as unhealthy before it ends.
        for read, (sent_at_ns, slow_from_ns) in list(self.reads_in_flight.items()):
            if slow_from_ns > now_ns:
                break
            del self.reads_in_flight[read]
            self.monitor.record_end(False, sent_at_ns)
        self._release(None)  # so that the level counts the tokens due by now
        before = self.monitor.throttle
        line = self.monitor.step(now_ns, bool(self.reads_in_flight))
        if line:
            self.context.actions.append(api.LogLine(line))
        if before is not None and self.monitor.throttle is None:
            for pending in list(before.queue.values()):
                self.proceed(pending)
        self.context.schedule(self.monitor.period_ns, self._step)

    def admit(self, pending: PendingRequest) -> None:
        """Admits a likely miss or an origin read to the origin, lets it wait for a token, or rejects it.

        Work over its tenant's quota never takes a token, and none waits past its latency objective.
        """
        now_ns = self.context.now_ns
        throttle = self.monitor.throttle
        if throttle is None:
            self.monitor.admitted_rate.add(now_ns)
            self.proceed(pending)
            return
        self._release(None)
        token_at_ns = now_ns + throttle.wait_ns(1 - throttle.level)
        if pending.over_quota or token_at_ns > pending.objective_at_ns:
            offer = TokenOffer.REJECTED
        else:
            offer = throttle.offer(pending)
        if offer is TokenOffer.ADMITTED:
            self.monitor.admitted_rate.add(now_ns)
            self.proceed(pending)
        # By the queue and not by the offer: the late end of an attempt of an earlier request with the same id
        # may bring a request here that has its place already, and keeps it.
        elif pending.request.id in throttle.queue:
            pending.wait(api.RejectReason.WAIT_FOR_TOKEN)
            self._schedule_release(throttle)
            self.context.schedule(pending.objective_at_ns - now_ns, self.finish_unserved, pending)
        else:
            pending.reason = api.RejectReason.NO_TOKEN
            self.finish_unserved(pending)

    def _schedule_release(self, throttle: Throttle) -> None:
        """Sets a timer for the next token while requests wait, unless one is set."""
        now_ns = self.context.now_ns
        if throttle.queue and self.release_at_ns <= now_ns:
            self.release_at_ns = max(now_ns + 1, throttle.refilled_at_ns + throttle.wait_ns(1))
            self.context.schedule(self.release_at_ns - now_ns, self._release)

    def _release(self, _: PendingRequest | None) -> None:
        """Takes the tokens due by now, and sends on the waiting requests that got one."""
        throttle = self.monitor.throttle
        if throttle is None:
            return
        for pending in throttle.refill(self.context.now_ns):
            self.monitor.admitted_rate.add(self.context.now_ns)
            self.proceed(pending)
        self._schedule_release(throttle)

    def read_started(self, read: tuple[str, int], slow_after_ns: int) -> None:
        """An attempt at a likely miss, by request id and number, is in flight; slow after so long."""
        now_ns = self.context.now_ns
        self.reads_in_flight[read] = (now_ns, now_ns + slow_after_ns)

    def read_finished(self, read: tuple[str, int], is_answered: bool, elapsed_ns: int) -> None:
        """An attempt has ended. One at a likely miss counts, unless it counted as slow already.

        Its own time counts, not when this router came to see its end: the router may have been held up.
        """
        known = self.reads_in_flight.pop(read, None)
        if known is not None:
            sent_at_ns, slow_from_ns = known
            self.monitor.record_end(is_answered and sent_at_ns + elapsed_ns < slow_from_ns, sent_at_ns)

    def withdraw(self, pending: PendingRequest) -> None:
        """Takes a request out of the throttle's buffer, if it waits there."""
        if self.monitor.throttle is not None:
            self.monitor.throttle.leave(pending)

    def waiting_for(self, key: str) -> list[PendingRequest]:
        """The requests in the throttle's buffer that read this key."""
        throttle = self.monitor.throttle
        if throttle is None:
            return []
        return [pending for pending in throttle.queue.values() if pending.request.key == key]
