"""Every outcome of a request, with clients and cache servers in RESP2 and RESP3.

In all four pairings of versions the answers are the same, and the decisions see the same events and return
the same actions.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import pytest
from peers import FETCHED, MISS, Bench, Caller, entry, hit, http, router, wait_until

from rainhitch import interface as api
from rainhitch.node import connection_pool
from rainhitch.node import relay as relay_module

PAIRINGS = [(2, 2), (2, 3), (3, 2), (3, 3)]
LONG = b"v" * 90_000
Course = Callable[[Bench, Caller], Awaitable[list[Any]]]


@dataclass
class Case:
    """Scripts of the peers, and what a client does."""

    course: Course
    cache: Callable[[Any], bytes | None] = lambda asked: hit()
    origin: Callable[[Any], bytes | None] = lambda asked: FETCHED
    ceilings: dict[str, Any] = field(default_factory=dict)
    cut: Callable[[Any], bool] = lambda asked: False  # the cache server ends the connection instead


def reads(*names: bytes, info: bytes = b"c=read,t=acme,d=9000", key: bytes = b"k") -> Course:
    """A client that reads a key once for each request id."""

    async def course(bench: Bench, caller: Caller) -> list[Any]:
        """What the client does; returns the answers."""
        answers = []
        for name in names:
            caller.get(key, name, info)
            answers.append(await caller.answer())
        return answers

    return course


def writes(info: bytes = b"c=put,t=acme,d=9000,k=77") -> Course:
    """A client that writes a key once."""

    async def course(bench: Bench, caller: Caller) -> list[Any]:
        """What the client does; returns the answers."""
        caller.send(b"C.SET", b"k", b"w1", info, b"value")
        return [await caller.answer()]

    return course


async def pipelined(bench: Bench, caller: Caller) -> list[Any]:
    """A client that sends five reads before it takes the first answer."""
    for n in range(5):
        caller.get(b"k%d" % n, b"p%d" % n)
    return [await caller.answer() for _ in range(5)]


async def drained(bench: Bench, caller: Caller) -> list[Any]:
    """A client that reads before and after the cache server begins to drain."""
    caller.get()
    answers = [await caller.answer()]
    gone = entry("c0", bench.cache.address, state="Terminating")
    bench.directory.apply({"rev": 6, "all": False, "targets": [gone]})
    caller.get(name=b"i2")
    return [*answers, await caller.answer()]


async def leaving(bench: Bench, caller: Caller) -> list[Any]:
    """A client that closes with its request at the cache server."""
    caller.get()
    await wait_until(lambda: bench.cache.received)
    caller.writer.transport.abort()
    await wait_until(lambda: not bench.clients.connections)
    return []


async def bad_commands(bench: Bench, caller: Caller) -> list[Any]:
    """A client whose commands are malformed or unknown."""
    answers = []
    for words in (
        (b"C.GET", b"k"),
        (b"C.GET", b"k", b"i", b"c=none,t=acme,d=1"),
        (b"FLUSHALL",),
        (b"C.GET", b"", b"", b""),
    ):
        caller.send(*words)
        answers.append(await caller.answer())
    return answers


READ = b"c=read,t=acme,d=9000"
ONCE = b"c=once,t=acme,d=9000"
SOON = b"c=once,t=acme,d=300"
CASES: dict[str, Case] = {
    "hit": Case(reads(b"i1", b"i2")),
    "an empty value": Case(reads(b"i1"), lambda asked: hit(b"")),
    "a value with line ends": Case(reads(b"i1"), lambda asked: hit(b"a\r\n\0b")),
    "miss, then the origin": Case(reads(b"i1", b"i2"), lambda asked: MISS),
    "miss, and the origin fails": Case(reads(b"i1"), lambda asked: MISS, lambda asked: http(500)),
    "miss, and the origin rejects": Case(
        reads(b"i1"), lambda asked: MISS, lambda asked: http(503, b"", b"X-Rejected: 1\r\n")
    ),
    "write": Case(writes()),
    "write that may have been executed": Case(writes(), origin=lambda asked: http(500)),
    "write that is not idempotent": Case(writes(ONCE), origin=lambda asked: http(500)),
    "rejected": Case(reads(b"i1"), lambda asked: b"-BUSY\r\n"),
    "rejected with a load report": Case(reads(b"i1"), lambda asked: b"-BUSY inflight=7\r\n"),
    "an error": Case(reads(b"i1"), lambda asked: b"-ERR failed\r\n"),
    "an error for what is not idempotent": Case(reads(b"i1", info=ONCE), lambda asked: b"-ERR failed\r\n"),
    "an unknown error": Case(reads(b"i1", info=ONCE), lambda asked: b"-OOPS\r\n"),
    "a closed connection": Case(reads(b"i1"), cut=lambda asked: True),
    "a closed connection for what is not idempotent": Case(reads(b"i1", info=ONCE), cut=lambda asked: True),
    "no answer until the deadline": Case(reads(b"i1", info=SOON), lambda asked: None),
    "a malformed answer": Case(reads(b"i1", info=SOON), lambda asked: b"*3\r\n$5\r\nabc\r\n"),
    "an answer of two parts": Case(reads(b"i1", info=ONCE), lambda asked: b"*2\r\n$1\r\nx\r\n$3\r\nhit\r\n"),
    "a number": Case(reads(b"i1", info=ONCE), lambda asked: b":1\r\n"),
    "a huge length": Case(reads(b"i1", info=ONCE), lambda asked: b"*3\r\n$3000000000\r\n"),
    "noise behind an answer": Case(reads(b"i1", b"i2"), lambda asked: hit() + b"noise"),
    "a second copy": Case(reads(b"i1", b"i2"), lambda asked: hit() + hit(b"again")),
    "a long value": Case(reads(b"i1", b"i2"), lambda asked: hit(LONG)),
    "a long value of the origin": Case(reads(b"i1"), lambda asked: MISS, lambda asked: http(200, LONG)),
    "pipelined": Case(pipelined, lambda asked: hit(asked[2])),
    "a drain": Case(drained),
    "a client that leaves": Case(leaving, lambda asked: None),
    "bad commands": Case(bad_commands),
    "too many in flight": Case(reads(b"i1"), ceilings={"mostHeld": 1}),
}


def seen(event: object) -> str:
    """An event or action without its times, and without the reason, which depends on the order of timers."""
    text = repr(event)
    for name in ("elapsed_ns", "deadline_ns", "timeout_ns", "delay_ns", "token", "retry_after_ns", "reason"):
        head, mark, rest = text.partition(f"{name}=")
        if mark:
            text = head + rest.partition(",")[2] if "," in rest else head
    return text


async def play(name: str, versions: tuple[int, int]) -> tuple[list[str], list[str]]:
    """The answers and the transcript of a case."""
    case = CASES[name]
    transcript: list[str] = []

    def cache(asked: Any, line: asyncio.StreamWriter) -> bytes | None:
        """Answers as the case says, or ends the connection."""
        if case.cut(asked):
            line.transport.abort()
            return None
        return case.cache(asked)

    async with router(
        cache, lambda asked, line: case.origin(asked), versions=versions, **case.ceilings
    ) as bench:
        handle = bench.driver.balancer.handle

        def record_actions(now: int, event: api.Event) -> list[api.Action]:
            """Handles the event, and writes it down with the actions it led to."""
            actions = handle(now, event)
            if not isinstance(event, api.TimerFired):
                visible = [one for one in actions if not isinstance(one, api.SetTimer)]
                transcript.append(f"{seen(event)} -> {', '.join(map(seen, visible))}")
            return actions

        bench.driver.balancer.handle = record_actions  # type: ignore[method-assign]
        caller = await bench.caller()
        answers = [repr(one) for one in await case.course(bench, caller)]
        await wait_until(lambda: not bench.driver.requests or name == "a client that leaves")
        return answers, list(transcript)


@pytest.mark.parametrize("name", CASES)
async def test_answers_and_decisions_do_not_depend_on_the_versions(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Of the client or of the cache server."""
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)
    monkeypatch.setattr(relay_module, "STALL_LIMIT_S", 5.0)
    answers, transcript = await play(name, (2, 2))
    assert transcript or name == "bad commands"
    for versions in PAIRINGS[1:]:
        assert await play(name, versions) == (answers, transcript), versions
