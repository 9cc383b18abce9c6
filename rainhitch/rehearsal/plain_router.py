"""A plain router that the kit holds as a yardstick: random choice, one attempt. And, asked for, a bad one.

    python -m rainhitch.rehearsal.plain_router [FAULT]

It speaks what a router speaks and shares no code with one. FAULT is a way to break one rule, so that the
judge can be shown to see it; `MODES` tells which rule each breaks, "" for those that break none.
"""

import asyncio
import contextlib
import os
import random
import signal
import sys
import time
from collections import defaultdict
from typing import Any
from urllib.parse import quote

import hiredis
import orjson
import uvloop

Json = dict[str, Any]
MODES = {
    "good": "",
    "drains-at-0.9": "",  # keeps to a drain just in time
    "answers-twice": "lost",
    "answers-late": "lost",
    "answers-never": "lost",
    "answers-anothers": "lost",
    "writes-twice": "repeated",
    "two-at-once": "repeated",
    "busy-after-order": "repeated",
    "drains-at-1.2": "drained",
    "pushes-over": "overrun",
    "crashes": "crashed",
}
EVERY = 7  # a bad router is bad to one request in so many
AFTER_DEADLINE = 0.15  # s
CRASH_AFTER = 60  # requests
FAILED = b"-ERR failed\r\n"
BUSY = b"-BUSY\r\n"


class NeverRanError(Exception):
    """The attempt is known not to have run."""


class Line:
    """A connection to a node or the database; one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def close(self) -> None:
        self.writer.transport.abort()


async def read_http(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower().split("\r\n")
    length = next(int(one.split(":")[1]) for one in head if one.startswith("content-length:"))
    return int(head[0].split(" ")[1]), await reader.readexactly(length)


class Listed:
    """The list as this router holds it, by one watch after the other."""

    def __init__(self, config: Json, mode: str) -> None:
        self.discovery, self.mode = config["discovery"], mode
        self.entries: Json = {one["uid"]: one for one in config["known"]["targets"]}
        self.left: dict[str, float] = {}  # when a node was told to drain
        self.fresh = ""  # a node that has just come back
        self.rev = config["known"]["rev"]

    async def watch(self) -> None:
        """Follows the list, one call after the other."""
        host, _, port = self.discovery.rpartition(":")
        whole = True
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                while True:
                    query = "" if whole else f"?from={self.rev}&hold_ms=5000"
                    writer.write(f"GET /api/targets{query} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                    async with asyncio.timeout(8):
                        self.take(orjson.loads((await read_http(reader))[1]))
                    whole = False
            except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
                whole = True
                await asyncio.sleep(0.2)

    def take(self, told: Json) -> None:
        if told["rev"] < self.rev:
            return
        self.rev = told["rev"]
        if told["all"]:
            for uid in set(self.entries) - {one["uid"] for one in told["targets"]}:
                self._gone(uid)
        for one in told["targets"]:
            before = self.entries.get(one["uid"])
            if one["state"] == "Ready":
                self.entries[one["uid"]] = one
                self.left.pop(one["uid"], None)
                if one["boot_ms"] and (before is None or before["boot_ms"] != one["boot_ms"]):
                    self.fresh = one["uid"]
            else:
                self._gone(one["uid"])

    def _gone(self, uid: str) -> None:
        self.left.setdefault(uid, time.monotonic())
        if uid not in self.entries:
            return
        grace = {"drains-at-1.2": 1.2, "drains-at-0.9": 0.9}.get(self.mode, 0.0)
        if grace:
            asyncio.get_running_loop().call_later(grace, self._forget, uid)
        else:
            self._forget(uid)

    def _forget(self, uid: str) -> None:
        if uid in self.left:
            self.entries.pop(uid, None)


class PlainRouter:
    """The whole of it."""

    def __init__(self, config: Json, mode: str) -> None:
        self.config, self.mode = config, mode
        info = config["settings"]
        self.database_kind = info["hostTypes"][info["specifics"]["originKind"]]
        self.effects = {one["name"]: one["effect"] for one in info["classes"]}
        self.list = Listed(config, mode)
        self.idle: dict[str, list[Line]] = defaultdict(list)
        self.random = random.Random(config["seed"])
        self.taken = 0
        self.held: set[asyncio.Task[None]] = set()
        self.last = b""
        self.clients: dict[asyncio.StreamWriter, bool] = {}  # whether it waits for an answer
        self.stopping = False

    async def run(self) -> None:
        host, _, port = self.config["listen"].rpartition(":")
        server = await asyncio.start_server(self._client, host, int(port))
        watching = asyncio.create_task(self.list.watch())
        stop = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, lambda: None)
        await stop.wait()
        await asyncio.sleep(0.5)
        server.close()
        self.stopping = True
        for writer in [one for one, waits in self.clients.items() if not waits]:
            writer.close()
        if self.held:
            await asyncio.wait(self.held, timeout=1.7)
        watching.cancel()

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One client: a command, its answer, the next."""
        parser = hiredis.Reader()
        self.clients[writer] = False
        with contextlib.suppress(OSError, hiredis.ProtocolError):
            while data := await reader.read(65536):
                parser.feed(data)
                while (words := parser.gets()) is not False:
                    if words[0] == b"PING":
                        writer.write(b"+PONG\r\n")
                        continue
                    task = asyncio.create_task(self._serve(words, writer))
                    self.held.add(task)
                    task.add_done_callback(self.held.discard)
                    self.clients[writer] = True
                    await task
                    self.clients[writer] = False
                if self.stopping:
                    break
        del self.clients[writer]
        writer.close()

    async def _serve(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        self.taken += 1
        if self.mode == "crashes" and self.taken > CRASH_AFTER:
            print("out of ideas", file=sys.stderr, flush=True)
            os._exit(3)
        fields = dict(one.split(b"=") for one in words[3].split(b","))
        until = time.monotonic() + int(fields[b"d"]) / 1000 - 0.02
        bad = self.taken % EVERY == 0
        answer = await self._answer(words, fields, until)
        if answer.startswith(b"$"):
            last, self.last = self.last, answer
            if bad and self.mode == "answers-anothers" and last:
                answer = last
        if bad and self.mode == "answers-never":
            await asyncio.sleep(until - time.monotonic() + 2.0)
            return
        if bad and self.mode == "answers-late":
            await asyncio.sleep(until - time.monotonic() + 0.02 + AFTER_DEADLINE)
        writer.write(answer * (2 if bad and self.mode == "answers-twice" else 1))

    async def _answer(self, words: list[bytes], fields: dict[bytes, bytes], until: float) -> bytes:
        """One attempt, and for a miss the read from the database that it asks for."""
        effect = self.effects.get(fields[b"c"].decode(), "unsafe")
        ran = False
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + until - time.monotonic()):
                if len(words) == 4:
                    ran = True
                    value = await self._node(words, until)
                    if value is not None:
                        return b"$%d\r\n%b\r\n" % (len(value), value)
                    ran = False
                ran = True
                value = await self._database(words)
                if len(words) == 5 and self.mode == "writes-twice":
                    value = await self._database(words)
                if len(words) == 5 and self.mode == "busy-after-order":
                    return BUSY
                return b"$%d\r\n%b\r\n" % (len(value), value)
        except NeverRanError:
            return BUSY
        except (OSError, TimeoutError, ValueError, hiredis.HiredisError, asyncio.IncompleteReadError):
            return BUSY if not ran or effect == "safe" else FAILED

    def _choose(self) -> str:
        nodes = sorted(uid for uid, one in self.list.entries.items() if one["model"] != self.database_kind)
        if not nodes:
            raise NeverRanError
        if self.mode == "pushes-over" and self.list.fresh in nodes:
            return self.list.fresh
        if self.mode.startswith("drains-at") and (leaving := sorted(set(self.list.left) & set(nodes))):
            return leaving[0]
        return self.random.choice(nodes)

    async def _node(self, words: list[bytes], until: float) -> bytes | None:
        """One attempt at a cache node; None for a miss."""
        first = asyncio.create_task(self._ask_node(self._choose(), words, until))
        if self.mode != "two-at-once":
            return await first
        second = asyncio.create_task(self._ask_node(self._choose(), words, until))
        await asyncio.wait([first, second])
        second.exception()
        return first.result()

    async def _ask_node(self, uid: str, words: list[bytes], until: float) -> bytes | None:
        line = await self._line(uid)
        left = max(1, int((until - time.monotonic()) * 1000))
        info = b",".join(b"d=%d" % left if one.startswith(b"d=") else one for one in words[3].split(b","))
        sent = [*words[:3], info]
        line.writer.write(b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(one), one) for one in sent))
        parser = hiredis.Reader()
        try:
            while (told := parser.gets()) is False:
                data = await line.reader.read(65536)
                if not data:
                    raise ConnectionResetError
                parser.feed(data)
        except BaseException:
            line.close()
            raise
        if isinstance(told, hiredis.ReplyError):
            line.close()
            if str(told).startswith("BUSY"):
                raise NeverRanError
            raise ValueError(str(told))
        if not isinstance(told, list) or len(told) != 3 or not isinstance(told[0], bytes | None):
            line.close()
            raise ValueError("no answer of a node")
        self.idle[uid].append(line)
        value: bytes | None = told[0]
        return value

    async def _database(self, words: list[bytes]) -> bytes:
        uid = next((uid for uid, one in self.list.entries.items() if one["model"] == self.database_kind), "")
        if not uid:
            raise NeverRanError
        line = await self._line(uid)
        head = f"{'PUT' if len(words) == 5 else 'GET'} /{quote(words[1], safe='')} HTTP/1.1\r\nHost: x\r\n"
        head += f"X-Call-Id: {words[2].decode()}\r\nX-Call-Info: {words[3].decode()}\r\n"
        body = words[4] if len(words) == 5 else b""
        head += f"Content-Length: {len(body)}\r\n" if body else ""
        line.writer.write(head.encode() + b"\r\n" + body)
        try:
            status, answer = await read_http(line.reader)
        except BaseException:
            line.close()
            raise
        self.idle[uid].append(line)
        if status == 503:
            raise NeverRanError
        if status != 200:
            raise ValueError(status)
        return answer

    async def _line(self, uid: str) -> Line:
        while self.idle[uid]:
            line = self.idle[uid].pop()
            if not line.writer.is_closing() and not line.reader.at_eof():
                return line
        host, _, port = self.list.entries[uid]["endpoint"].rpartition(":")
        try:
            async with asyncio.timeout(0.25):
                return Line(*await asyncio.open_connection(host, int(port)))
        except (OSError, TimeoutError):
            raise NeverRanError from None


def main() -> None:
    with open(os.environ["BALANCER_CONFIG"], "rb") as file:
        config = orjson.loads(file.read())
    mode = sys.argv[1] if len(sys.argv) > 1 else "good"
    if mode not in MODES:
        sys.exit(f"no such fault: {mode}; allowed: {', '.join(MODES)}")

    async def play() -> None:
        await PlainRouter(config, mode).run()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(play())


if __name__ == "__main__":
    main()
