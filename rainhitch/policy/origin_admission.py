"""Admission to the origin: while the throttle is on, likely misses and origin reads need a token."""

from rainhitch import interface as api
from rainhitch.policy.decision_context import DecisionContext, RequestStep
from rainhitch.policy.origin_monitor import OriginMonitor
from rainhitch.policy.pending_request import PendingRequest
from rainhitch.policy.throttle import Throttle, TokenOffer


class OriginAdmission:
    """Admits likely misses and origin reads, queues them until a token is available, or rejects them."""

    def __init__(self, context: DecisionContext, proceed: RequestStep, finish_unserved: RequestStep) -> None:
        """Initializes admission; `proceed` continues an admitted request, `finish_unserved` ends others."""
        self.context = context
        self.proceed = proceed
        self.finish_unserved = finish_unserved
        self.monitor = OriginMonitor(context.shortest_objective_ns // 2)
        self.release_at_ns = 0  # due time of the next token for which a timer is set
        # Likely misses in flight, by request id and attempt number: the time at which the attempt was sent,
        # and the time from which it counts as slow, both in ns.
        self.reads_in_flight: dict[tuple[str, int], tuple[int, int]] = {}

    def start(self) -> None:
        """Starts the monitor at the router's first event."""
        self.monitor.started_at_ns = self.context.now_ns
        self.context.schedule(self.monitor.period_ns, self._step)

    def _step(self, _: PendingRequest | None) -> None:
        """Runs the monitor once per period; if it turns the throttle off, all queued requests proceed."""
        now_ns = self.context.now_ns
        # A slow read counts as unhealthy before it ends, so that an origin that hangs is noticed.
        for read, (sent_at_ns, slow_from_ns) in list(self.reads_in_flight.items()):
            if slow_from_ns > now_ns:
                break
            del self.reads_in_flight[read]
            self.monitor.record_outcome(False, sent_at_ns)
        self._release(None)  # updates the level with the tokens due by now
        before = self.monitor.throttle
        line = self.monitor.step(now_ns, bool(self.reads_in_flight))
        if line:
            self.context.actions.append(api.LogLine(line))
        if before is not None and self.monitor.throttle is None:
            for pending in list(before.queue.values()):
                self.proceed(pending)
        self.context.schedule(self.monitor.period_ns, self._step)

    def admit(self, pending: PendingRequest) -> None:
        """Admits a likely miss or an origin read to the origin, queues it for a token, or rejects it.

        A request over its tenant's quota never takes a token. No request waits past its latency objective.
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
        # The queue is checked and not the offer: the late end of an attempt of an earlier request with the
        # same id may bring a request here that is queued already and keeps its place.
        elif pending.request.id in throttle.queue:
            pending.wait(api.RejectReason.WAIT_FOR_TOKEN)
            self._schedule_release(throttle)
            self.context.schedule(pending.objective_at_ns - now_ns, self.finish_unserved, pending)
        else:
            pending.reason = api.RejectReason.NO_TOKEN
            self.finish_unserved(pending)

    def _schedule_release(self, throttle: Throttle) -> None:
        """Sets a timer for the next token if requests are queued and no timer is set."""
        now_ns = self.context.now_ns
        if throttle.queue and self.release_at_ns <= now_ns:
            self.release_at_ns = max(now_ns + 1, throttle.refilled_at_ns + throttle.wait_ns(1))
            self.context.schedule(self.release_at_ns - now_ns, self._release)

    def _release(self, _: PendingRequest | None) -> None:
        """Adds the tokens due by now; the queued requests that get one proceed."""
        throttle = self.monitor.throttle
        if throttle is None:
            return
        for pending in throttle.refill(self.context.now_ns):
            self.monitor.admitted_rate.add(self.context.now_ns)
            self.proceed(pending)
        self._schedule_release(throttle)

    def read_started(self, read: tuple[str, int], slow_after_ns: int) -> None:
        """Records the start of an attempt for a likely miss, which counts as slow after `slow_after_ns`.

        `read` is its request id and attempt number.
        """
        now_ns = self.context.now_ns
        self.reads_in_flight[read] = (now_ns, now_ns + slow_after_ns)

    def read_finished(self, read: tuple[str, int], is_answered: bool, elapsed_ns: int) -> None:
        """Records the end of an attempt, if it was for a likely miss that did not count as slow already.

        The attempt's own duration decides and not the current time, because the router may have been paused
        before it handled the end.
        """
        known = self.reads_in_flight.pop(read, None)
        if known is not None:
            sent_at_ns, slow_from_ns = known
            self.monitor.record_outcome(is_answered and sent_at_ns + elapsed_ns < slow_from_ns, sent_at_ns)

    def withdraw(self, pending: PendingRequest) -> None:
        """Removes a request from the throttle's buffer, if it is there."""
        if self.monitor.throttle is not None:
            self.monitor.throttle.remove(pending)

    def waiting_for(self, key: str) -> list[PendingRequest]:
        """Returns the requests in the throttle's buffer that read this key."""
        throttle = self.monitor.throttle
        if throttle is None:
            return []
        return [pending for pending in throttle.queue.values() if pending.request.key == key]
