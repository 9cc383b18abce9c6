"""Events in, actions out: holds the requests, attempts and timers of the router, and chooses nothing."""

import asyncio
import logging
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from rainhitch import interface as api
from rainhitch import system
from rainhitch.fleet.pause_detector import SETTLE_NS, PauseDetector
from rainhitch.node.client_request import AttemptResult, ClientRequest, Exchange
from rainhitch.node.connection_pool import ConnectionPool, ConnectionPools, UpstreamConnection
from rainhitch.node.deadlines import WAY_BACK, Reserve
from rainhitch.node.loop_lag import HEARTBEAT, LoopLag
from rainhitch.node.relay import Relay, Source
from rainhitch.policy.balancer import Balancer
from rainhitch.protocol import resp
from rainhitch.telemetry.counts import Counts
from rainhitch.telemetry.records import Bad
from rainhitch.telemetry.router_metrics import RouterMetrics

MILLI = 1_000_000
SECOND = 1_000_000_000
A_TURN = 0.005  # s in which what waits in the sockets is read
GAVE_UP = 150 * MILLI  # left of its wait when a client leaves, by which it seems to have given up waiting
log = logging.getLogger("rainhitch")


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt that is out."""

    held: "InFlightRequest"
    number: int
    server: str
    sent: int
    connection: UpstreamConnection | None = None
    timer: asyncio.TimerHandle | None = None
    spared: bool = False  # its time was over with an answer unread, and it was given one more turn


class ResponseSink(Protocol):
    """Where a request's one answer goes: fill or stream is called once."""

    def fill(self, answer: bytes) -> None:
        """The answer as it goes to the client."""

    def stream(self, relay: Relay) -> None:
        """The answer is a long value, passed on as it comes."""

    def form(self, value: object) -> bytes:
        """A richer value as the client's protocol has it."""

    def gone(self) -> bool:
        """Whether the client has left, also where that was not read yet."""


@dataclass(frozen=True, slots=True)
class FinishedAttempt:
    """An attempt that has ended."""

    server: str
    status: api.AttemptStatus
    took: int  # ns

    def __str__(self) -> str:
        return f"{self.server} {self.status.value} after {self.took // MILLI} ms"


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request and what is known of it; open until its one answer has been given."""

    id: str
    call: ClientRequest
    place: ResponseSink
    deadline: int
    open: bool = True
    made: int = 0
    attempt: Attempt | None = None
    guard: asyncio.TimerHandle | None = None
    relay: Relay | None = None  # its long answer, while that is passed on
    tries: list[FinishedAttempt] = field(default_factory=list)
    until: int = 0  # when its client stops waiting, ns


class RequestDriver:
    """The host of one Balancer."""

    def __init__(self, balancer: Balancer, pools: ConnectionPools, most_held: int, most_bytes: int) -> None:
        self.balancer, self.pools = balancer, pools
        self.max_requests, self.max_request_bytes = most_held, most_bytes  # requests, and the bytes of these
        self.loop = asyncio.get_running_loop()
        self.now, self.unix = system.of(self.loop).now, system.of(self.loop).unix
        self.requests: dict[str, InFlightRequest] = {}
        self.request_bytes = 0
        self.metrics = RouterMetrics([str(n) for n in range(len(balancer.settings.classes))])
        self.counts = Counts()
        self.loop_lag = LoopLag(self.loop, self.now, self._delayed)
        self.reserve = Reserve()
        pools.callback_begins, pools.callback_ends = self.loop_lag.begins, self.loop_lag.ends
        self.tenant_names: dict[int, str] = defaultdict(str)  # their names, by number
        self.watch_endpoints: Callable[[], None] = lambda: None
        self.publish_gossip: Callable[[list[api.LatencyObservation]], None] = lambda seen: None
        self.on_request_taken: Callable[[int], None] = lambda customer: None  # a request was taken
        self.pause_detector = PauseDetector(self.now())
        self.loop.call_later(HEARTBEAT / SECOND, self._beat)
        self.answer_by_ns = 0  # when all must be answered, once the router is told to stop
        self._events: deque[api.Event] = deque()
        self._playing = False
        self._settling = False  # back from an absence: nothing is acted on before the sockets are read
        self._voided: dict[str, list[str] | None] = {}

    def accept(self, call: ClientRequest, place: ResponseSink) -> InFlightRequest | None:
        """Takes a client's call. None where it is answered already."""
        name = call.id.decode()
        if name in self.requests:
            self.metrics.failed[call.cls] += 1
            place.fill(resp.error("this id is in use"))
            return None
        if len(self.requests) >= self.max_requests or self.request_bytes + call.size > self.max_request_bytes:
            self.metrics.rejected[call.cls] += 1
            self.counts.taken += 1
            self.counts.add("ended", "refused:room")
            place.fill(resp.refused(0))  # not begun, so that repeating is harmless
            return None
        now = self.now()
        spec = self.balancer.settings.classes[call.cls]
        # A client waits for no longer than its class may.
        left = min(call.wait * MILLI, max(MILLI, spec.deadline_ns - call.unread * MILLI))
        deadline = now + left - self.reserve.of(now, left)
        deadline = min(deadline, self.answer_by_ns - WAY_BACK if self.answer_by_ns else deadline)
        held = self.requests[name] = InFlightRequest(name, call, place, deadline, until=now + left)
        self.request_bytes += call.size
        self.metrics.in_flight += 1
        self.counts.taken += 1
        self.counts.add_unread(call.unread)
        self.on_request_taken(call.tenant)
        guard_at = deadline + WAY_BACK // 2
        held.guard = self.loop.call_later(max(0, guard_at - now) / SECOND, self._overdue, held)
        key = call.key.decode("latin-1")
        write = call.value is not None
        self._tell(
            api.Request(name, call.cls, held.deadline, key, write, call.tenant, call.repeat, call.order)
        )
        return held

    def withdraw(self, held: InFlightRequest) -> None:
        """The client has left. An attempt that has begun runs on: the connection stays of use."""
        if held.open:
            self._close(held)
            gave_up = held.until - self.now() < GAVE_UP
            how = "gone:unanswered" if gave_up else "gone"
            self.counts.add("ended", how)
            if gave_up:
                self._note_bad(held, how)
            self._tell(api.ClientGone(held.id))
            if held.attempt is not None:
                self._take_back(held.attempt)
            self._forget(held)

    def _take_back(self, attempt: Attempt) -> None:
        """Ends an attempt that is not written whole: it begins at its server with its last byte."""
        if (
            attempt.held.attempt is attempt
            and attempt.connection is not None
            and attempt.connection.withdraw()
        ):
            self._ended(attempt, AttemptResult(api.AttemptStatus.ABANDONED))

    def _may_begin(self, attempt: Attempt, by: int) -> bool:
        """Guards rule 2 against a repeat that comes too late, and servers against work for clients that left
        while it waited, for its turn or for a connection."""
        held = attempt.held
        in_time = self.now() < by
        # Asked last: what is read of the clock may be old by a hold-up, the client's end is told as it is.
        if held.open and held.place.gone():
            self.withdraw(held)
        return in_time and held.open and held.attempt is attempt

    def keys_invalidated(self, pool: ConnectionPool, keys: list[bytes] | None) -> None:
        """A server says that it holds keys no more. Guards answers against a flood of such news: it is told
        once a turn."""
        if not self._voided:
            self.loop.call_soon(self._tell_voided)
        if keys is None:
            self._voided[pool.name] = None
        elif (known := self._voided.setdefault(pool.name, [])) is not None:
            known += [key.decode("latin-1") for key in keys]

    def _tell_voided(self) -> None:
        voided, self._voided = self._voided, {}
        for name, keys in voided.items():
            self._tell(api.KeysInvalidated(name, keys))

    def endpoints_updated(self, event: api.EndpointUpdate) -> None:
        self._tell(event)

    def gossip_received(
        self, event: api.GossipReceived | api.TrafficFractions | api.GossipIntervalElapsed
    ) -> None:
        self._tell(event)

    def stop(self, by: float) -> None:
        """Nothing is held for longer than these seconds from now."""
        self.answer_by_ns = self.now() + int(by * SECOND)
        self.loop.call_later(by - WAY_BACK / SECOND, self._end_all)

    def _end_all(self) -> None:
        for held in list(self.requests.values()):
            self._overdue(held)

    def _overdue(self, held: InFlightRequest) -> None:
        """Its time is over, and its attempt's timer has not ended it."""
        if not (held.open and held.attempt is not None and self._spare(held.attempt)):
            self._give_up(held)

    def _give_up(self, held: InFlightRequest) -> None:
        """Guards rule 1 against a request that the decisions have lost: it fails in time all the same."""
        if held.open:
            self._answer(held, resp.FAILED, self.metrics.failed, "failed:overdue")
            self._tell(api.ClientGone(held.id))
            self._forget(held)

    def _tell(self, event: api.Event) -> None:
        """Plays an event, and then those that its actions bring about, in order."""
        self._notice(self.now())
        self._events.append(event)
        if self._playing or self._settling:
            return
        self._play_all()

    def _play_all(self) -> None:
        self._playing = True
        try:
            while self._events:
                self._play(self._events.popleft())
        finally:
            self._playing = False

    def _delayed(self, delay: int) -> None:
        self.counts.add_lag(delay)
        self.reserve.found(self.now(), delay)

    def _beat(self) -> None:
        self.loop_lag.heartbeat()
        self._notice(self.now())
        self.loop.call_later(HEARTBEAT / SECOND, self._beat)

    def just_resumed(self) -> bool:
        """Whether this router has just come back from an absence. Asked of what is read: where it was stopped
        as it waited for its sockets, these come before any timer."""
        now = self.now()
        self._notice(now)
        return self.pause_detector.just_resumed(now)

    def _notice(self, now: int) -> None:
        """Guards servers against a router that was stopped and comes back: its timers come before its
        sockets are read, and would send for clients that have left."""
        gap = self.pause_detector.heartbeat(now)
        if gap:
            log.warning("away for %.1f s", gap / SECOND)
            self.counts.add("away", "times")
            self.counts.add("away", "ms", gap // MILLI)
            if not self._playing and not self._settling:
                self._settling = True
                self.loop.call_later(SETTLE_NS / SECOND, self._settle)

    def _settle(self) -> None:
        self._settling = False
        # Who has left and what has been answered first; of equals the first that came.
        first = (api.ClientGone, api.AttemptFinished, api.EndpointUpdate)
        self._events = deque(sorted(self._events, key=lambda one: not isinstance(one, first)))
        self._play_all()

    def _play(self, event: api.Event) -> None:
        try:
            actions = self.balancer.handle(self.now(), event)
        except Exception:
            log.exception("an event could not be decided on: %s", type(event).__name__)
            self._abandon(getattr(event, "id", ""))
            return
        for action in actions:
            try:
                self._act(action)
            except Exception:
                log.exception("an action could not be carried out: %s", type(action).__name__)
                self._abandon(getattr(action, "id", ""))

    def _abandon(self, name: str) -> None:
        held = self.requests.get(name)
        if held is not None:
            self._give_up(held)

    def _act(self, action: api.Action) -> None:
        match action:
            case api.StartAttempt():
                self._send(action)
            case api.CancelAttempt():
                held = self.requests.get(action.id)
                if held is not None and held.attempt is not None and held.attempt.number == action.attempt:
                    self._timeout(held.attempt)
            case api.Reject() | api.Fail():
                held = self.requests.get(action.id)
                if held is not None and held.open:
                    if isinstance(action, api.Reject):
                        come_back = resp.refused(-(-action.retry_after_ns // MILLI))
                        self._answer(held, come_back, self.metrics.rejected, f"refused:{action.reason}")
                    else:
                        self._answer(held, resp.FAILED, self.metrics.failed, f"failed:{action.reason}")
                    self._forget(held)
            case api.SetTimer():
                self.loop.call_later(action.delay_ns / SECOND, self._tell, api.TimerFired(action.token))
            case api.PublishGossip():
                self.publish_gossip(action.observations)
            case api.WatchEndpoints():
                self.watch_endpoints()
            case api.LogLine():
                log.info("%s", action.text)

    def _send(self, action: api.StartAttempt) -> None:
        held, now = self.requests.get(action.id), self.now()
        if held is None:
            log.error("a send for a request that is not held")
            return
        number, held.made = held.made, held.made + 1
        attempt = Attempt(held, number, action.server, now)
        left = held.deadline - now
        wait = min(action.timeout_ns, left) if action.timeout_ns else left
        pool = self.pools.pools.get(action.server)
        allowed = held.open and held.attempt is None and number < self.balancer.settings.max_attempts
        if pool is None or pool.retired or not allowed or wait <= 0:
            self._outcome(attempt, AttemptResult(api.AttemptStatus.ABANDONED))
            return
        held.attempt = attempt
        self.counts.add("sent", action.server)
        if held.tries:
            self.counts.add("again", held.tries[-1].status.value)
        attempt.timer = self.loop.call_later(wait / SECOND, self._timeout, attempt)
        if 0 < action.write_within_ns < wait:
            # Guards rule 2 against a repeat that is begun in its window, and whole when that is over.
            self.loop.call_later(action.write_within_ns / SECOND, self._take_back, attempt)
        by = now + (action.write_within_ns or wait)
        exchange = Exchange(
            held.call,
            now + wait,
            lambda ending: self._ended(attempt, ending),
            lambda source, size: self._began(attempt, source, size),
            lambda: self._may_begin(attempt, by),
        )
        attempt.connection = pool.start(exchange)
        if attempt.connection is None:
            self._ended(attempt, AttemptResult(api.AttemptStatus.NO_LOCAL_CONNECTION))

    def _spare(self, attempt: Attempt) -> bool:
        """Whether an attempt whose time is over has an answer unread, and gets one more turn for it. Guards
        answers that came in time against a late loop, whose timers run before its sockets are read."""
        if attempt.spared or attempt.connection is None or not attempt.connection.has_unread_answer():
            return False
        attempt.spared = True
        for timer in (attempt.timer, attempt.held.guard):
            if timer is not None:
                timer.cancel()
        attempt.timer = self.loop.call_later(A_TURN, self._timeout, attempt)
        attempt.held.guard = self.loop.call_later(2 * A_TURN, self._overdue, attempt.held)
        return True

    def _timeout(self, attempt: Attempt) -> None:
        """The connection is closed before the decisions hear of it, so that no second copy is ever out."""
        if attempt.held.attempt is not attempt or self._spare(attempt):
            return
        if attempt.connection is not None:
            may_have_run = attempt.connection.abandon()
            self._ended(
                attempt,
                AttemptResult(api.AttemptStatus.TIMEOUT if may_have_run else api.AttemptStatus.ABANDONED),
            )

    def _ended(self, attempt: Attempt, ending: AttemptResult) -> None:
        held = attempt.held
        if held.attempt is not attempt:
            return
        held.attempt = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        if ending.status is api.AttemptStatus.OK and held.open:
            value = ending.value
            answer = resp.bulk(value) if isinstance(value, bytes) else held.place.form(value)
            self._answer(held, answer, self.metrics.served, "served")
        self._outcome(attempt, ending)
        self._forget(held)

    def _began(self, attempt: Attempt, source: Source, size: int) -> Relay | None:
        """A long value has begun to come: from here on there is no other attempt, and no time but the
        relay's."""
        held = attempt.held
        if held.attempt is not attempt or not held.open:
            return None
        held.open, held.attempt = False, None
        for timer in (held.guard, attempt.timer):
            if timer is not None:
                timer.cancel()
        relay = held.relay = Relay(self.loop, source, size, lambda whole: self._passed(held, whole))
        held.place.stream(relay)
        self._outcome(attempt, AttemptResult(api.AttemptStatus.OK))
        return None if relay.over else relay

    def _passed(self, held: InFlightRequest, whole: bool) -> None:
        held.relay = None
        self.metrics.in_flight -= 1
        (self.metrics.served if whole else self.metrics.failed)[held.call.cls] += 1
        self.counts.add("ended", "served" if whole else "failed:cut off")
        self._forget(held)

    def _outcome(self, attempt: Attempt, ending: AttemptResult) -> None:
        # Guards servers against this router's own absence taken for theirs: it is looked for first.
        self._notice(self.now())
        held, elapsed = attempt.held, self.pause_detector.running_time_ns(self.now(), attempt.sent)
        held.tries.append(FinishedAttempt(attempt.server, ending.status, elapsed))
        origin = self.balancer.servers.origin
        at_origin = origin is not None and origin.endpoint.server == attempt.server
        how = f"origin {ending.status.value}" if at_origin else ending.status.value
        self.counts.add("tried", how)
        self.counts.add("took", how, elapsed // MILLI)
        if ending.status not in (api.AttemptStatus.OK, api.AttemptStatus.MISS):
            self.counts.add("poor", attempt.server)
        name, number, server = held.id, attempt.number, attempt.server
        reused = attempt.connection is not None and attempt.connection.reused
        status, note = ending.status, ending.note
        self._tell(
            api.AttemptFinished(
                name, number, server, status, not held.open, elapsed, note, connection_reused=reused
            )
        )

    def _answer(self, held: InFlightRequest, answer: bytes, counts: list[int], how: str) -> None:
        self._close(held)
        counts[held.call.cls] += 1
        self.counts.add("ended", how)
        job = self.balancer.requests.get(held.id)
        over = "+" if how.endswith("+") or (job is not None and job.over_quota) else ""
        self.counts.add("customers", f"{self.tenant_names[held.call.tenant]}{over} {how.partition(':')[0]}")
        if held.tries and how != "served":
            self._note_bad(held, how)
        held.place.fill(answer)

    def _note_bad(self, held: InFlightRequest, how: str) -> None:
        now, call = self.now(), held.call
        tries = [str(one) for one in held.tries]
        if held.attempt is not None:
            tries.append(f"{held.attempt.server} out for {(now - held.attempt.sent) // MILLI} ms")
        left = (held.until - now) // MILLI
        told = Bad(self.unix() / SECOND, held.id, how, tries, call.connection, call.unread, left)
        self.counts.add_bad(told)

    def _close(self, held: InFlightRequest) -> None:
        held.open = False
        self.metrics.in_flight -= 1
        if held.guard is not None:
            held.guard.cancel()

    def _forget(self, held: InFlightRequest) -> None:
        """Drops a request that is answered and has nothing out or on its way."""
        if held.open or held.attempt is not None or held.relay is not None:
            return
        if self.requests.pop(held.id, None) is not None:
            self.request_bytes -= held.call.size
