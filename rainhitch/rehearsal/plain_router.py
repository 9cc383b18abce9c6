"""A plain router as a yardstick for the kit: random choice, one attempt. Or a broken one.

    python -m rainhitch.rehearsal.plain_router [MODE]

It speaks what a router speaks and shares no code with one, but for the errors' base class. A mode other than
`good` breaks one rule, so that the checker can be shown to find it; `MODES` says which rule each mode breaks.
"""

import asyncio
import contextlib
import os
import random
import signal
import sys
from collections import defaultdict
from enum import StrEnum
from pathlib import Path
from typing import Any

import hiredis
import orjson
import uvloop

from rainhitch.errors import RainhitchError
from rainhitch.rehearsal.plain_router_protocol import (
    ANSWER_SLACK_S,
    ClientRequest,
    UpstreamConnection,
    encode_value,
    read_http,
)

Json = dict[str, Any]


class Mode(StrEnum):
    """What is wrong with the router. The values are the command line's."""

    GOOD = "good"
    DRAIN_IN_TIME = "drains-at-0.9"  # sends to a node until just before it has to stop
    ANSWER_TWICE = "answers-twice"
    ANSWER_LATE = "answers-late"
    ANSWER_NEVER = "answers-never"
    ANSWER_OF_ANOTHER = "answers-anothers"
    WRITE_TWICE = "writes-twice"
    TWO_ATTEMPTS_AT_ONCE = "two-at-once"
    REJECT_AFTER_WRITE = "busy-after-order"
    DRAIN_TOO_LATE = "drains-at-1.2"
    OVERLOAD_COLD_NODE = "pushes-over"
    CRASH = "crashes"


# The rule that each mode breaks, as the report names it; "" for those that break none.
MODES: dict[str, str] = {
    Mode.GOOD.value: "",
    Mode.DRAIN_IN_TIME.value: "",
    Mode.ANSWER_TWICE.value: "lost",
    Mode.ANSWER_LATE.value: "lost",
    Mode.ANSWER_NEVER.value: "lost",
    Mode.ANSWER_OF_ANOTHER.value: "lost",
    Mode.WRITE_TWICE.value: "repeated",
    Mode.TWO_ATTEMPTS_AT_ONCE.value: "repeated",
    Mode.REJECT_AFTER_WRITE.value: "repeated",
    Mode.DRAIN_TOO_LATE.value: "drained",
    Mode.OVERLOAD_COLD_NODE.value: "overrun",
    Mode.CRASH.value: "crashed",
}
SENDS_AFTER_DRAIN_S = {
    Mode.DRAIN_IN_TIME: 0.9,
    Mode.DRAIN_TOO_LATE: 1.2,
}  # how long, by mode; else not at all
BROKEN_INTERVAL = 7  # a broken router is broken for one request in so many
CRASH_AFTER_REQUESTS = 60
CRASH_EXIT_CODE = 3
LATE_AFTER_DEADLINE_S = 0.15
NEVER_AFTER_DEADLINE_S = 2.0  # a request without answer is held so long
CONNECT_TIMEOUT_S = 0.25
LIST_HOLD_MS = 5000  # for which discovery holds a call that has nothing new
LIST_TIMEOUT_S = 8
LIST_RETRY_S = 0.2
ACCEPT_AFTER_TERM_S = 0.5  # in which the front end notices that this router stops
DRAIN_AFTER_TERM_S = 1.7  # for what it holds after that
READ_BYTES = 65536
HTTP_OK = 200
HTTP_UNAVAILABLE = 503
FAILED = b"-ERR failed\r\n"
BUSY = b"-BUSY\r\n"


class NeverRanError(RainhitchError):
    """An attempt is known not to have run."""


class AttemptFailedError(RainhitchError):
    """An attempt was answered with an error, or with what is no answer; it may have run."""


class EndpointList:
    """The endpoint list as this router holds it, by one long poll after the other."""

    def __init__(self, config: Json, mode: Mode) -> None:
        self.discovery = config["discovery"]
        self.sends_after_drain_s = SENDS_AFTER_DRAIN_S.get(mode, 0.0)
        self.entries: Json = {row["uid"]: row for row in config["known"]["targets"]}
        self.leaving: set[str] = set()  # nodes that drain or are gone, though an entry may be left
        self.started_last = ""  # the node that came back last
        self.revision = config["known"]["rev"]

    async def watch(self) -> None:
        """Follows the list until cancelled; begins anew with the whole list where a call fails."""
        host, _, port = self.discovery.rpartition(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                query = ""
                while True:
                    writer.write(f"GET /api/targets{query} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                    async with asyncio.timeout(LIST_TIMEOUT_S):
                        _, body = await read_http(reader)
                    self.update(orjson.loads(body))
                    query = f"?from={self.revision}&hold_ms={LIST_HOLD_MS}"
            except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
                await asyncio.sleep(LIST_RETRY_S)

    def update(self, answer: Json) -> None:
        """Takes an answer of discovery; one that is older than what it holds changes nothing."""
        if answer["rev"] < self.revision:
            return
        self.revision = answer["rev"]
        if answer["all"]:
            for uid in set(self.entries) - {row["uid"] for row in answer["targets"]}:
                self._remove(uid)
        for row in answer["targets"]:
            if row["state"] == "Ready":
                self._set_ready(row)
            else:
                self._remove(row["uid"])

    def _set_ready(self, row: Json) -> None:
        """A node is ready, perhaps after a start."""
        uid = row["uid"]
        before = self.entries.get(uid)
        self.entries[uid] = row
        self.leaving.discard(uid)
        if row["boot_ms"] and (before is None or before["boot_ms"] != row["boot_ms"]):
            self.started_last = uid

    def _remove(self, uid: str) -> None:
        """A node drains or is gone: it leaves the list at once, or as late as the mode has it."""
        self.leaving.add(uid)
        if uid not in self.entries:
            return
        if self.sends_after_drain_s:
            asyncio.get_running_loop().call_later(self.sends_after_drain_s, self._forget, uid)
        else:
            self._forget(uid)

    def _forget(self, uid: str) -> None:
        """Drops the entry of a node that has not come back meanwhile."""
        if uid in self.leaving:
            self.entries.pop(uid, None)


class PlainRouter:
    """The router: its clients, its connections to nodes and the database, and what is broken about it."""

    def __init__(self, config: Json, mode: Mode) -> None:
        self.config = config
        self.mode = mode
        settings = config["settings"]
        self.database_kind = settings["hostTypes"][settings["specifics"]["originKind"]]
        self.effect_by_class = {row["name"]: row["effect"] for row in settings["classes"]}
        self.list = EndpointList(config, mode)
        self.idle: dict[str, list[UpstreamConnection]] = defaultdict(list)
        self.random = random.Random(config["seed"])
        self.requests = 0  # that were taken
        self.held: set[asyncio.Task[None]] = set()
        self.last_value_answer = b""
        self.waits_for_answer: dict[asyncio.StreamWriter, bool] = {}  # by client connection
        self.stopping = False

    async def run(self) -> None:
        """Serves until SIGTERM, and then answers what it holds."""
        host, _, port = self.config["listen"].rpartition(":")
        server = await asyncio.start_server(self._serve_client, host, int(port))
        watching = asyncio.create_task(self.list.watch())
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: None)
        await stop.wait()
        await asyncio.sleep(ACCEPT_AFTER_TERM_S)
        server.close()
        self.stopping = True
        for writer in [writer for writer, waits in self.waits_for_answer.items() if not waits]:
            writer.close()
        if self.held:
            await asyncio.wait(self.held, timeout=DRAIN_AFTER_TERM_S)
        watching.cancel()

    async def _serve_client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One client: a command, its answer, the next."""
        parser = hiredis.Reader()
        self.waits_for_answer[writer] = False
        with contextlib.suppress(OSError, hiredis.ProtocolError):
            while data := await reader.read(READ_BYTES):
                parser.feed(data)
                while (words := parser.gets()) is not False:
                    if words[0] == b"PING":
                        writer.write(b"+PONG\r\n")
                        continue
                    task = asyncio.create_task(self._serve_request(words, writer))
                    self.held.add(task)
                    task.add_done_callback(self.held.discard)
                    self.waits_for_answer[writer] = True
                    await task
                    self.waits_for_answer[writer] = False
                if self.stopping:
                    break
        del self.waits_for_answer[writer]
        writer.close()

    async def _serve_request(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        """Answers a request, or does what the mode has in place of it."""
        self.requests += 1
        if self.mode is Mode.CRASH and self.requests > CRASH_AFTER_REQUESTS:
            print("out of ideas", file=sys.stderr, flush=True)
            os._exit(CRASH_EXIT_CODE)
        request = ClientRequest.parse(words)
        is_broken = self.requests % BROKEN_INTERVAL == 0
        answer = await self._answer(request)
        if answer.startswith(b"$"):
            earlier_answer = self.last_value_answer
            self.last_value_answer = answer
            if is_broken and self.mode is Mode.ANSWER_OF_ANOTHER and earlier_answer:
                answer = earlier_answer
        if is_broken and self.mode is Mode.ANSWER_NEVER:
            await asyncio.sleep(request.left_s() + NEVER_AFTER_DEADLINE_S)
            return
        if is_broken and self.mode is Mode.ANSWER_LATE:
            await asyncio.sleep(request.left_s() + ANSWER_SLACK_S + LATE_AFTER_DEADLINE_S)
        writer.write(answer)
        if is_broken and self.mode is Mode.ANSWER_TWICE:
            writer.write(answer)

    async def _answer(self, request: ClientRequest) -> bytes:
        """The answer to a request: one attempt, and for a miss a read of the database."""
        effect = self.effect_by_class.get(request.class_name, "unsafe")
        may_have_run = False
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + request.left_s()):
                if not request.is_write:
                    may_have_run = True
                    cached = await self._attempt_at_node(request)
                    if cached is not None:
                        return encode_value(cached)
                    may_have_run = False  # a miss says that nothing ran
                may_have_run = True
                value = await self._attempt_at_database(request)
                if request.is_write and self.mode is Mode.WRITE_TWICE:
                    value = await self._attempt_at_database(request)
                if request.is_write and self.mode is Mode.REJECT_AFTER_WRITE:
                    return BUSY
                return encode_value(value)
        except NeverRanError:
            return BUSY
        except (
            AttemptFailedError,
            OSError,
            TimeoutError,
            ValueError,
            hiredis.HiredisError,
            asyncio.IncompleteReadError,
        ):
            return BUSY if not may_have_run or effect == "safe" else FAILED

    def _choose_node(self) -> str:
        """A node by chance, or the one that the mode prefers."""
        nodes = sorted(uid for uid, row in self.list.entries.items() if row["model"] != self.database_kind)
        if not nodes:
            raise NeverRanError("the list names no node")
        if self.mode is Mode.OVERLOAD_COLD_NODE and self.list.started_last in nodes:
            return self.list.started_last
        if self.mode in SENDS_AFTER_DRAIN_S:
            leaving = sorted(self.list.leaving & set(nodes))
            if leaving:
                return leaving[0]
        return self.random.choice(nodes)

    async def _attempt_at_node(self, request: ClientRequest) -> bytes | None:
        """One attempt at a cache node, or two at once where the mode has it; None for a miss."""
        first = asyncio.create_task(self._ask_node(self._choose_node(), request))
        if self.mode is not Mode.TWO_ATTEMPTS_AT_ONCE:
            return await first
        second = asyncio.create_task(self._ask_node(self._choose_node(), request))
        await asyncio.wait([first, second])
        second.exception()  # what it failed with is nobody's concern
        return first.result()

    async def _ask_node(self, uid: str, request: ClientRequest) -> bytes | None:
        """The value that a node has; None for a miss."""
        connection = await self._connection(uid)
        connection.writer.write(request.encode_for_node())
        parser = hiredis.Reader()
        try:
            while (reply := parser.gets()) is False:
                data = await connection.reader.read(READ_BYTES)
                if not data:
                    raise ConnectionResetError
                parser.feed(data)
        except BaseException:
            connection.close()
            raise
        if isinstance(reply, hiredis.ReplyError):
            connection.close()
            if str(reply).startswith("BUSY"):
                raise NeverRanError(f"{uid} rejected it")
            raise AttemptFailedError(f"{uid} answered {reply}")
        if not isinstance(reply, list) or len(reply) != 3 or not isinstance(reply[0], bytes | None):
            connection.close()
            raise AttemptFailedError(f"{uid} answered with what no node does")
        self.idle[uid].append(connection)
        value: bytes | None = reply[0]
        return value

    async def _attempt_at_database(self, request: ClientRequest) -> bytes:
        """The database's answer to a read or a write."""
        databases = (uid for uid, row in self.list.entries.items() if row["model"] == self.database_kind)
        uid = next(databases, None)
        if uid is None:
            raise NeverRanError("the list names no database")
        connection = await self._connection(uid)
        connection.writer.write(request.encode_for_database())
        try:
            status, body = await read_http(connection.reader)
        except BaseException:
            connection.close()
            raise
        self.idle[uid].append(connection)
        if status == HTTP_UNAVAILABLE:
            raise NeverRanError("the database rejected it")
        if status != HTTP_OK:
            raise AttemptFailedError(f"the database answered {status}")
        return body

    async def _connection(self, uid: str) -> UpstreamConnection:
        """A connection that is idle, or a new one."""
        while self.idle[uid]:
            connection = self.idle[uid].pop()
            if connection.is_open():
                return connection
        host, _, port = self.list.entries[uid]["endpoint"].rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return UpstreamConnection(*await asyncio.open_connection(host, int(port)))
        except (OSError, TimeoutError):
            raise NeverRanError(f"no connection to {uid}") from None


def main() -> None:
    """Runs the router with the configuration that the environment names, in the command line's mode."""
    config = orjson.loads(Path(os.environ["BALANCER_CONFIG"]).read_bytes())
    mode = sys.argv[1] if len(sys.argv) > 1 else Mode.GOOD
    if mode not in MODES:
        sys.exit(f"no such fault: {mode}; allowed: {', '.join(MODES)}")
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(PlainRouter(config, Mode(mode)).run())


if __name__ == "__main__":
    main()
