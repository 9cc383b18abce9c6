"""Scripted clients of one room: an open loop over real connections, and a ledger of every byte that came
back.

Arrivals are drawn ahead and wait for no answer. A try that has no answer when its client gives up is
over; its connection is listened to for a moment more, so that an answer after the end is seen.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast
from zlib import crc32

import hiredis

from rainhitch import system

Json = dict[str, Any]
AFTER = 0.25  # s for which the end of a try is watched for what comes after it
MILLI = 1_000_000


@dataclass(slots=True, eq=False)
class SentTry:
    """One try as its client saw it; times are monotonic ns, 0 for never."""

    ask: int  # its number in the plan
    number: int  # of the try
    id: str
    router: int = -1
    connection: int = -1
    reused: bool = False
    earlier: list[Json] = field(default_factory=list)  # sendings before this one, which ended with no answer
    due: int = 0  # when the plan wanted it sent
    sent: int = 0  # its last byte was written
    wait: int = 0  # ns until the client gives up
    answered: int = 0
    kind: str = ""  # served, refused, failed; unreachable: no router took it; ended: no whole answer
    detail: str = ""
    own: bool = False  # the value was made for this request
    left: int = 0  # the client went away before its time
    ended: int = 0  # the router closed the connection with no answer

    def row(self) -> Json:
        return {name: getattr(self, name) for name in self.__slots__}


class ClientConnection(asyncio.Protocol):
    """A client's connection: one command at a time."""

    def __init__(self, crowd: "ClientPopulation", router: int) -> None:
        self.crowd, self.router = crowd, router
        self.number = crowd.next_line()
        self.reader = hiredis.Reader()
        self.transport: asyncio.Transport | None = None
        self.sent: SentTry | None = None
        self.done: Callable[[], None] | None = None
        self.last = ""  # the id of the request answered last
        self.idle_since = 0.0
        self.uses = 0
        self.got = 0  # bytes since the last request
        self.early: list[object] = []  # said before anything was asked: it answers the first request
        self.three = self.greeting = crowd.speaks_three(self.number)  # its greeting is not heard yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.crowd.lines[self] = None
        if self.greeting:
            self.transport.write(b"*2\r\n$5\r\nHELLO\r\n$1\r\n3\r\n")

    @property
    def usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def ask(self, sent: SentTry, data: bytes, done: Callable[[], None]) -> None:
        self.sent, self.done = sent, done
        # One that was greeted is between requests too: its router may close it as our request crosses.
        used = self.uses > 0 or (self.three and not self.greeting)
        sent.router, sent.connection, sent.reused = self.router, self.number, used
        self.uses += 1
        self.got = 0
        if self.transport is None and not self.early:
            self.sent = self.done = None
            sent.kind, sent.ended = "unreachable", system.now()  # closed before anything was written
            done()
            return
        if self.usable and self.transport is not None:
            self.transport.write(data)
        sent.sent = system.now()
        if self.early:
            self._answer(self.early.pop(0), sent.sent)

    def data_received(self, data: bytes) -> None:
        now = system.now()
        self.got += len(data)
        self.reader.feed(data)
        try:
            while (answer := self.reader.gets()) is not False:
                self._answer(answer, now)
        except hiredis.ProtocolError:
            self._settle(now, "failed", "no RESP", False)
            self.close()

    def _answer(self, answer: object, now: int) -> None:
        if self.greeting and isinstance(answer, dict):
            self.greeting, self.got = False, 0
            return
        if isinstance(answer, list) and answer:
            answer = answer[0]
        value = answer.decode("latin-1") if isinstance(answer, bytes) else ""
        made_for = value.partition(":")[0]
        sent = self.sent
        if sent is None and not self.uses:
            self.early.append(answer)
            return
        if sent is None or (made_for and made_for == self.last and made_for != sent.id):
            kind = "served" if value else str(answer)[:60]
            self.crowd.extra(self, self.last, kind, now)
            return
        if isinstance(answer, bytes):
            self._settle(now, "served", value[:80], made_for == sent.id)
        elif isinstance(answer, hiredis.ReplyError):
            text = str(answer)
            self._settle(now, "refused" if text.split(" ")[0] == "BUSY" else "failed", text[:80], False)
        else:
            self._settle(now, "failed", repr(answer)[:80], False)

    def _settle(self, now: int, kind: str, detail: str, own: bool) -> None:
        sent, done, self.sent, self.done = self.sent, self.done, None, None
        if sent is None or done is None:
            return
        sent.answered, sent.kind, sent.detail, sent.own = now, kind, detail, own
        self.last = sent.id
        done()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.crowd.lines.pop(self, None)
        sent, done, self.sent, self.done = self.sent, self.done, None, None
        if sent is not None and done is not None:
            sent.kind, sent.ended = "ended", system.now()
            sent.detail = "partly answered" if self.got else ""
            done()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class ClientPopulation:
    """The clients of a room and the front that spreads them over its routers."""

    def __init__(self, room: int, plan: Json, scenario: Json, addresses: list[tuple[str, int]]) -> None:
        self.room, self.plan, self.scenario, self.addresses = room, plan, scenario, addresses
        self.loop = asyncio.get_running_loop()
        self.rooms = [plan["rooms"].index(one["room"]) for one in plan["routers"]]
        self.up = [True] * len(addresses)  # as the front believes
        self.turn = 0
        self.lines: dict[ClientConnection, None] = {}  # in the order in which they came up
        self.numbers = 0
        self.idle: dict[int, list[ClientConnection]] = {}  # by router of a surge, -1 for the front's
        self.sent: list[SentTry] = []
        self.extras: list[Json] = []
        self.opened = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.value = b"v" * scenario["traffic"]["value_bytes"]
        self.kept = scenario["clients"]["connections"] == "kept"
        self.lates: list[int] = []
        self.resp3 = scenario["clients"]["resp3"]  # part of the new connections

    def speaks_three(self, number: int) -> bool:
        """Whether a connection speaks RESP3: evenly, by its number."""
        return bool(self.resp3) and crc32(f"{self.plan['seed']}/{number}".encode()) < self.resp3 * 2**32

    def next_line(self) -> int:
        self.numbers += 1
        return self.numbers * len(self.plan["rooms"]) + self.room

    def extra(self, line: ClientConnection, id: str, kind: str, now: int) -> None:
        self.extras.append(
            {"id": id, "router": line.router, "connection": line.number, "at": now, "kind": kind}
        )

    async def play(self, zero: int) -> None:
        """Sends what the plan says, from this instant on (monotonic ns of the plan's 0)."""
        mine = [(n, ask) for n, ask in enumerate(self.plan["asks"]) if ask["room"] == self.room]
        sweeper = self.loop.create_task(self._sweep())
        for number, ask in mine:
            due = zero + ask["at"] * 1000
            while (left := due - system.now()) > 0:
                await asyncio.sleep(left / 1e9)
            self.lates.append(system.now() - due)
            task = self.loop.create_task(self._live(number, ask, due))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        if self.tasks:
            await asyncio.wait(self.tasks)
        sweeper.cancel()

    async def _live(self, number: int, ask: Json, due: int) -> None:
        """One request through its tries, as its client would."""
        spec = self.scenario["classes"][ask["cls"]]
        begun, deadline = 0, int(spec["deadline_ms"] * MILLI)
        for n, one in enumerate(ask["tries"]):
            left = deadline - (system.now() - begun) if begun else deadline
            wait = min(one["wait_ms"], left // MILLI)
            if wait < 1:
                return
            sent = SentTry(number, n, one["id"], due=due, wait=wait * MILLI)
            self.sent.append(sent)
            await self._try(ask, spec, one, sent)
            begun = begun or sent.sent or system.now()
            if sent.kind == "served" or sent.left or n + 1 == len(ask["tries"]):
                return
            keyed = spec["repeats"] == "keyed" and system.now() - begun < spec["window_s"] * 1e9
            harmless = sent.kind in ("refused", "unreachable") or spec["repeats"] == "safe" or keyed
            if not harmless:
                return
            back = ask["tries"][n + 1]["backoff_us"] / 1e6
            told = sent.detail.split(" ")[1:2] if sent.kind == "refused" else []
            if told and told[0].isdigit() and ask["honours"]:
                back = max(back, int(told[0]) / 1000)
            await asyncio.sleep(back)
            due = system.now()

    async def _try(self, ask: Json, spec: Json, one: Json, sent: SentTry) -> None:
        """Sends a try, once more where its connection was closed between requests, and waits for its end."""
        for again in range(2):
            line = await self._line(ask["router"], fresh=again > 0 or ask["fresh"])
            if line is None:
                sent.kind, sent.ended = "unreachable", system.now()
                return
            over = asyncio.Event()
            line.ask(sent, self._command(ask, spec, one, sent), over.set)
            leaves = one["leaves_us"] / 1e6
            try:
                async with asyncio.timeout(min(sent.wait / 1e9, leaves or sent.wait / 1e9)):
                    await over.wait()
            except TimeoutError:
                self._leave(line, sent, leaves > 0 and leaves < sent.wait / 1e9)
                return
            if sent.kind == "ended" and sent.reused and not sent.detail and not again:
                row = {name: getattr(sent, name) for name in ("router", "connection", "sent", "ended")}
                sent.earlier.append(row)
                sent.kind, sent.ended, sent.sent = "", 0, 0
                continue
            self._release(ask["router"], line)
            return

    def _command(self, ask: Json, spec: Json, one: Json, sent: SentTry) -> bytes:
        customer = self.scenario["customers"][ask["customer"]]["name"]
        info = f"c={spec['name']},t={customer},d={sent.wait // MILLI}"
        info += f",k={ask['order']}" if ask["order"] else ""
        info += ",r=1" if sent.number else ""
        words = [
            b"C.SET" if spec["write"] else b"C.GET",
            ask["key"].encode(),
            one["id"].encode(),
            info.encode(),
        ]
        words += [self.value] if spec["write"] else []
        return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)

    def _leave(self, line: ClientConnection, sent: SentTry, early: bool) -> None:
        """The client has gone; but for who leaves early, what comes in the next moment is still noted."""
        sent.left = system.now()
        if early:
            line.sent = line.done = None
            line.close()
            return
        sent.left = 0
        self.loop.call_later(AFTER, self._gone, line, sent)

    def _gone(self, line: ClientConnection, sent: SentTry) -> None:
        line.sent = line.done = None
        line.close()

    def _release(self, which: int, line: ClientConnection) -> None:
        if line.usable:
            line.idle_since = self.loop.time()
            self.idle.setdefault(which, []).append(line)

    async def _line(self, which: int, fresh: bool) -> ClientConnection | None:
        """The newest idle connection, or a new one where the front sends it; None where no router takes
        it.
        """
        idle = self.idle.setdefault(which, [])
        while idle and not fresh and not self.kept:
            line = idle.pop()
            if line.usable:
                return line
        if len(self.lines) >= self.scenario["clients"]["most"]:
            self._drop_one()
        router = which if which >= 0 else self._front()
        if router < 0:
            return None
        try:
            async with asyncio.timeout(1.0):
                _, line = await self.loop.create_connection(
                    lambda: ClientConnection(self, router), *self.addresses[router]
                )
        except (OSError, TimeoutError):
            return None
        self.opened += 1
        return line

    def _drop_one(self) -> None:
        waiting = [line for lines in self.idle.values() for line in lines if line.usable]
        if waiting:
            min(waiting, key=lambda one: one.idle_since).close()

    def _front(self) -> int:
        """The next router of the room that the front believes up; of another room where there is none."""
        ups = [n for n, up in enumerate(self.up) if up]
        near = [n for n in ups if self.rooms[n] == self.room] or ups
        self.turn += 1
        return near[self.turn % len(near)] if near else -1

    async def _sweep(self) -> None:
        """Clients close what has idled too long; a line that the router closed is forgotten."""
        while True:
            await asyncio.sleep(0.5)
            before = self.loop.time() - self.scenario["clients"]["idle_s"]
            for which, lines in self.idle.items():
                for line in lines:
                    if line.idle_since < before:
                        line.close()
                self.idle[which] = [line for line in lines if line.usable]

    def close(self) -> None:
        for line in list(self.lines):
            line.close()

    def rows(self) -> list[Json]:
        return [one.row() for one in self.sent]
