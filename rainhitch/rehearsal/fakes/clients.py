"""Scripted clients of one zone: an open loop over real connections, and a record of every answer.

Arrivals are drawn ahead and wait for no answer. A try that has no answer when its client gives up is
over; its connection is read from for a moment more, so that an answer after the end is seen.
"""

import asyncio
from typing import Any

from rainhitch import system
from rainhitch.rehearsal.fakes.client_connection import ClientConnection, SentTry, TryKind
from rainhitch.rehearsal.fakes.client_pool import ClientConnectionPool
from rainhitch.rehearsal.fakes.client_script import (
    NANOSECONDS_PER_MILLISECOND,
    NANOSECONDS_PER_SECOND,
    Repeats,
    ScriptedClass,
    ScriptedRequest,
    ScriptedTry,
    encode_command,
    scripted_requests,
)

Json = dict[str, Any]
LATE_ANSWER_S = 0.25  # for which a connection is read from after its client gave up
SENDINGS = 2  # of a try: once more where its connection was closed between requests
NANOSECONDS_PER_MICROSECOND = 1000
MILLISECONDS_PER_SECOND = 1000


def retry_delay_s(request: ScriptedRequest, sent: SentTry, following: ScriptedTry) -> float:
    """How long the client waits before the try that follows: its backoff, or the router's if longer."""
    words = sent.detail.split(" ")
    if sent.kind is TryKind.REFUSED and request.honours_retry_after and len(words) > 1 and words[1].isdigit():
        return max(following.backoff_s, int(words[1]) / MILLISECONDS_PER_SECOND)
    return following.backoff_s


def may_retry(request_class: ScriptedClass, sent: SentTry, since_first_ns: int) -> bool:
    """Whether a try that was not served may be followed by another one, which must do no harm.

    `since_first_ns` is how long ago the first try was sent.
    """
    if sent.kind in (TryKind.REFUSED, TryKind.UNREACHABLE):
        return True
    if request_class.repeats is Repeats.KEYED:
        return since_first_ns < request_class.window_ns
    return request_class.repeats is Repeats.SAFE


class ClientPopulation:
    """The clients of a zone.

    Attributes:
        pool: their connections.
        tries: the record of the tries.
        lateness_ns: for each request, how late the clients were in sending it.
        tasks: one for each request that has not come to its end.
    """

    def __init__(self, zone: int, plan: Json, scenario: Json, addresses: list[tuple[str, int]]) -> None:
        """Clients that have sent nothing yet.

        Args:
            zone: the zone's number in the plan.
            plan: as plan.json has it.
            scenario: as plan.json has it.
            addresses: of the routers, in their order.
        """
        self.pool = ClientConnectionPool(zone, plan, scenario, addresses)
        self.tries: list[SentTry] = []
        self.lateness_ns: list[int] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        self._value = b"v" * scenario["traffic"]["value_bytes"]
        # Read here and not in `play`, where the time that it takes would make the first requests late.
        self._requests = scripted_requests(plan, scenario, zone)

    async def play(self, zero_ns: int) -> None:
        """Sends what the plan says, and returns once all of it has come to an end.

        Args:
            zero_ns: the monotonic time of the plan's time 0.
        """
        idle_check = self._loop.create_task(self.pool.close_idle())
        for request in self._requests:
            due_ns = zero_ns + request.at_us * NANOSECONDS_PER_MICROSECOND
            while (left_ns := due_ns - system.now()) > 0:
                await asyncio.sleep(left_ns / NANOSECONDS_PER_SECOND)
            self.lateness_ns.append(system.now() - due_ns)
            task = self._loop.create_task(self._run_request(request, due_ns))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        if self.tasks:
            await asyncio.wait(self.tasks)
        idle_check.cancel()

    async def _run_request(self, request: ScriptedRequest, due_ns: int) -> None:
        """One request through its tries, as its client makes them."""
        request_class = request.request_class
        first_sent_ns = 0  # 0: none has been
        left_ns = request_class.deadline_ns
        for number, scripted_try in enumerate(request.tries):
            if first_sent_ns:
                left_ns = request_class.deadline_ns - (system.now() - first_sent_ns)
            patience_ms = min(scripted_try.patience_ms, left_ns // NANOSECONDS_PER_MILLISECOND)
            if patience_ms < 1:
                return
            patience_ns = patience_ms * NANOSECONDS_PER_MILLISECOND
            sent = SentTry(request.number, number, scripted_try.id, due=due_ns, wait=patience_ns)
            self.tries.append(sent)
            await self.run_try(request, scripted_try, sent)
            if not first_sent_ns:
                first_sent_ns = sent.sent if sent.sent else system.now()
            is_last = number + 1 == len(request.tries)
            if is_last or sent.left or sent.kind is TryKind.SERVED:
                return
            if not may_retry(request_class, sent, system.now() - first_sent_ns):
                return
            await asyncio.sleep(retry_delay_s(request, sent, request.tries[number + 1]))
            due_ns = system.now()

    async def run_try(self, request: ScriptedRequest, scripted_try: ScriptedTry, sent: SentTry) -> None:
        """Sends a try, again where its connection was closed between requests, and waits for its end."""
        patience_ms = sent.wait // NANOSECONDS_PER_MILLISECOND
        data = encode_command(request, scripted_try, sent.number > 0, patience_ms, self._value)
        patience_s = sent.wait / NANOSECONDS_PER_SECOND
        leaves_early = scripted_try.leaves_after_s is not None and scripted_try.leaves_after_s < patience_s
        waits_s = patience_s
        if scripted_try.leaves_after_s is not None:
            waits_s = min(patience_s, scripted_try.leaves_after_s)
        for sending in range(SENDINGS):
            is_again = sending > 0
            connection = await self.pool.connect(request.router, is_again or request.on_new_connection)
            if connection is None:
                sent.note_unreachable()
                return
            over = asyncio.Event()
            connection.send(sent, data, over.set)
            try:
                async with asyncio.timeout(waits_s):
                    await over.wait()
            except TimeoutError:
                self._leave(connection, sent, leaves_early)
                return
            if sent.crossed_a_close and not is_again:
                sent.repeat_sending()
                continue
            self.pool.release(request.router, connection)
            return

    def _leave(self, connection: ClientConnection, sent: SentTry, is_early: bool) -> None:
        """The client has gone. Unless it left early, what comes in the next moment is still noted."""
        if is_early:
            sent.left = system.now()
            self._drop(connection)
        else:
            self._loop.call_later(LATE_ANSWER_S, self._drop, connection)

    def _drop(self, connection: ClientConnection) -> None:
        connection.forget()
        connection.close()

    def close(self) -> None:
        """Ends all connections."""
        self.pool.close()

    def rows(self) -> list[Json]:
        """The record of the tries."""
        return [sent.to_row() for sent in self.tries]
