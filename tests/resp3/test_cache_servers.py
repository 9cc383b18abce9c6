"""Cache servers that speak RESP3, or may: greetings, pushes, values of its types; over loopback sockets."""

import asyncio
from typing import Any

import pytest
from peers import PATIENCE, Cache, Resp3Cache, entry, hit, router, wait_until

from rainhitch.node import connection_pool
from rainhitch.node.upstream_socket import IdleState
from rainhitch.protocol.resp3_types import BigNumber, ErrorReply, Map, Push, SimpleString, VerbatimString
from rainhitch.protocol.resp3_writer import encode

ONCE = b"c=once,t=acme,d=9000"
INVALIDATE = encode(Push((b"invalidate", [b"k", b"other"])), 3)
UNKNOWN = encode(Push((b"weather", b"rain", [1.5, None])), 3)


@pytest.fixture(autouse=True)
def no_reuse_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    """A connection may be used again at once after an answer."""
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)


async def test_a_server_that_rejects_hello_speaks_resp2_and_is_greeted_once() -> None:
    """It is greeted again once its process has started anew."""
    greetings: list[Any] = []

    def script(asked: Any, line: asyncio.StreamWriter) -> bytes:
        """The answer to a command."""
        if asked[0] == b"HELLO":
            greetings.append(asked)
            return b"-ERR unknown command\r\n"
        return hit()

    async with router(script, versions=(2, 3)) as bench:
        bench.cache.answer = script
        bench.cache.greeting = b"-ERR unknown command\r\n"  # type: ignore[attr-defined]
        for n in range(3):
            caller = await bench.caller()
            caller.get(name=b"i%d" % n)
            assert await caller.answer() == b"v"
            for one in list(bench.pools.pools["c0"].idle):
                one.close()
        assert bench.cache.greeted == 1  # type: ignore[attr-defined]
        assert bench.pools.pools["c0"].known_protocol == 2
        # Its process starts anew, and may speak RESP3 by now.
        bench.cache.greeting = Resp3Cache.greeting  # type: ignore[attr-defined]
        change = entry("c0", bench.cache.address, boot_ms=2_000_000_000_000)
        bench.directory.apply({"rev": 6, "all": False, "targets": [change]})
        bench.driver.balancer.servers.servers["c0"].slow_start.started_at_ns = 0
        caller = await bench.caller()
        caller.get(name=b"again")
        assert await caller.answer() == b"v"
        assert bench.cache.greeted == 2 and bench.pools.pools["c0"].known_protocol == 0  # type: ignore[attr-defined]


@pytest.mark.parametrize(
    ("greeting", "answer"),
    [
        (b"", "BUSY"),  # says nothing until the connect time is over
        (b"HTTP/1.1 400 Bad Request\r\n\r\n", "BUSY"),
        (b"+OK\r\n", "BUSY"),
        (encode(Map(((b"proto", 2),)), 3), "BUSY"),
        (Resp3Cache.greeting + b"noise", "BUSY"),
        (b"-BUSY\r\n", "BUSY"),
        (b"%3000\r\n", "BUSY"),
    ],
)
async def test_a_server_without_a_valid_greeting_gets_no_request(greeting: bytes, answer: str) -> None:
    """So that its request was never executed, and may be rejected."""
    async with router(versions=(2, 3), dialTimeout=100_000_000) as bench:
        bench.cache.greeting = greeting  # type: ignore[attr-defined]
        caller = await bench.caller()
        caller.get(info=ONCE)  # it may be refused only if it never ran
        assert str(await caller.answer()) == answer
        assert not bench.cache.received
        await wait_until(lambda: not bench.pools.open_count())


@pytest.mark.parametrize("push", [INVALIDATE, UNKNOWN, INVALIDATE * 300, b"|1\r\n+a\r\n:1\r\n" + INVALIDATE])
@pytest.mark.parametrize("step", [1 << 20, 1])
async def test_pushes_before_and_behind_a_reply_are_no_reply(push: bytes, step: int) -> None:
    """Nor do they close the connection."""
    answer = encode([b"v", b"hit", None], 3)
    texts = [push + answer, answer + push, push + answer + push]
    if step == 1:
        texts = [one for one in texts if len(one) < 500]

    async with router(versions=(2, 3)) as bench:

        async def dribble(line: asyncio.StreamWriter, text: bytes) -> None:
            """Writes a text in steps."""
            for n in range(0, len(text), step):
                line.write(text[n : n + step])
                await asyncio.sleep(0.0005 if step == 1 else 0)

        tasks: list[asyncio.Task[None]] = []

        def script(asked: Any, line: asyncio.StreamWriter) -> None:
            """The answer to a command."""
            text = texts[len(tasks) % len(texts)] if texts else answer
            tasks.append(asyncio.create_task(dribble(line, text)))

        bench.cache.answer = script
        caller = await bench.caller()
        for n in range(2 * max(1, len(texts))):
            caller.get(name=b"i%d" % n)
            assert await caller.answer() == b"v"
            await tasks[-1]
        await wait_until(lambda: all(one.reader.idle() for one in bench.pools.pools["c0"].idle))  # type: ignore[attr-defined]
        assert bench.cache.ended == 0  # no connection was closed for them
        if push == UNKNOWN:
            assert bench.pools.unknown_pushes > 0


async def test_an_invalidated_key_is_forgotten_for_the_server_that_said_so() -> None:
    """The router does not look for it there any more."""
    async with router(versions=(2, 3)) as bench:
        caller = await bench.caller()
        caller.get()
        await caller.answer()
        memory = bench.driver.balancer.key_memory
        memory.remember("elsewhere", 1, "c9")
        assert "k" in memory.seen
        bench.cache.lines[0].write(INVALIDATE + encode(Push((b"invalidate", [b"elsewhere"])), 3))
        await wait_until(lambda: "k" not in memory.seen)
        assert "elsewhere" in memory.seen  # another server holds that
        memory.remember("k", 1, "c0")
        bench.cache.lines[0].write(encode(Push((b"invalidate", None)), 3))
        await wait_until(lambda: list(memory.seen) == ["elsewhere"])


@pytest.mark.parametrize(
    "noise", [b"+late\r\n", encode([b"v", b"hit", None], 3), b"\0", b">1\r\n:1\r\n", b"*0\r\n"]
)
async def test_anything_but_a_push_closes_an_idle_connection(noise: bytes) -> None:
    """It would be taken for the answer to the next request."""
    async with router(versions=(2, 3)) as bench:
        caller = await bench.caller()
        caller.get()
        await caller.answer()
        bench.cache.lines[0].write(noise)
        await wait_until(lambda: bench.cache.ended == 1)


async def test_a_connection_with_half_a_push_is_kept_open_but_not_used() -> None:
    """Until the rest of the push has come."""
    async with router(versions=(2, 3)) as bench:
        caller = await bench.caller()
        caller.get()
        await caller.answer()
        (first,) = bench.pools.pools["c0"].idle
        bench.cache.lines[0].write(INVALIDATE[:9])
        await wait_until(lambda: first.reader.buffer)  # type: ignore[attr-defined]
        caller.get(name=b"i2")
        assert await caller.answer() == b"v" and len(bench.cache.lines) == 2
        bench.cache.lines[0].write(INVALIDATE[9:])
        await wait_until(lambda: not first.reader.buffer)  # type: ignore[attr-defined]
        assert first.idle_state() is IdleState.REUSABLE and bench.cache.ended == 0


async def test_a_flood_of_pushes_does_not_starve_replies() -> None:
    """Requests are answered while a server sends pushes without end."""
    async with router(versions=(2, 3)) as bench:
        caller = await bench.caller()
        caller.get()
        await caller.answer()
        flooding = True

        async def flood() -> None:
            """Writes pushes until the flag is taken away."""
            while flooding:
                bench.cache.lines[0].write(INVALIDATE * 200)
                await bench.cache.lines[0].drain()
                await asyncio.sleep(0)

        task = asyncio.create_task(flood())
        for n in range(30):
            caller.get(name=b"f%d" % n)
            assert await caller.answer() == b"v"
        flooding = False
        await asyncio.wait_for(task, PATIENCE)


RICH: list[tuple[Any, Any, Any]] = [
    # what the server has, how a client of protocol 2 gets it, and of 3
    (VerbatimString(b"txt", b"soup"), b"soup", b"soup"),
    (1.5, b"1.5", 1.5),
    (BigNumber(10**30), b"1" + b"0" * 30, b"1" + b"0" * 30),
    (Map(((b"soup", 3),)), [b"soup", 3], {b"soup": 3}),
    ([b"a", None], [b"a", None], [b"a", None]),
]


@pytest.mark.parametrize(("value", "two", "three"), RICH)
async def test_values_have_the_form_of_the_clients_version(value: Any, two: Any, three: Any) -> None:
    """A RESP3 value is served to clients of both versions."""
    async with router(versions=(2, 3)) as bench:
        bench.cache.answer = lambda asked, line: encode([value, Map(((b"note", b"hit"),))], 3)
        for version, form in ((2, two), (3, three)):
            caller = await bench.caller(version)
            caller.get(name=b"v%d" % version)
            assert await caller.answer() == form


@pytest.mark.parametrize("value", [True, 7, SimpleString(b"v"), [1], [], [[b"v"]], ErrorReply(b"x")])
async def test_a_value_without_a_form_in_version_2_fails_in_both(value: Any) -> None:
    """So that what is served does not depend on the client."""
    for version in (2, 3):
        async with router(versions=(version, 3)) as bench:
            bench.cache.answer = lambda asked, line: encode([value, b"hit", None], 3)
            caller = await bench.caller()
            caller.get(info=ONCE)
            assert str(await caller.answer()) == "ERR failed"


@pytest.mark.parametrize(
    "text",
    [
        b"*3\r\n$5\r\nabc\r\n",
        b"$?\r\n;3\r\nabc\r\n" * 9,
        b"*1\r\n" * 10_000,
        b"%2\r\n+a\r\n+b\r\n+c\r\n.\r\n",
        b"*2\r\n$1\r\nv\r\n$3\r\nhit\r\n",
        b"*2\r\n$1\r\nv\r\n%1\r\n+note\r\n+hut\r\n",
        b"_\r\n",
    ],
)
async def test_a_malformed_reply_may_have_been_executed_and_closes_the_connection(text: bytes) -> None:
    """The request fails, and is not repeated elsewhere."""
    async with router(versions=(3, 3)) as bench:
        bench.cache.answer = lambda asked, line: text
        caller = await bench.caller()
        caller.get(info=b"c=once,t=acme,d=500")
        assert str(await caller.answer()) == "ERR failed"
        await wait_until(lambda: not bench.pools.open_count())


async def test_an_answer_has_the_version_that_held_when_its_command_was_read() -> None:
    """HELLO changes what follows it, not what is in flight."""
    held: list[asyncio.StreamWriter] = []
    async with router(versions=(2, 3)) as bench:
        bench.cache.answer = lambda asked, line: held.append(line)
        caller = await bench.caller()
        caller.get(b"a", b"two")
        caller.send(b"HELLO", b"3")
        caller.get(b"b", b"three")
        caller.send(b"HELLO", b"2")
        caller.get(b"c", b"two-again")
        await wait_until(lambda: len(held) == 3)
        for line in reversed(held):
            line.write(encode([1.5, b"hit", None], 3))
        answers = [await caller.answer() for _ in range(5)]
        assert answers[0] == b"1.5" and answers[2] == 1.5 and answers[4] == b"1.5"
        assert answers[1][b"proto"] == 3 and answers[3][answers[3].index(b"proto") + 1] == 2


@pytest.mark.parametrize("client", [2, 3])
@pytest.mark.parametrize("first", [2, 3])
async def test_a_server_lost_in_its_reply_is_replaced_by_one_of_the_other_version(
    client: int, first: int
) -> None:
    """One final answer, in the client's protocol."""
    asked: list[str] = []

    def dying(words: Any, line: asyncio.StreamWriter) -> None:
        """Breaks off in the middle of a reply."""
        asked.append("first")
        line.write(b"*3\r\n$5\r\nhal")
        line.transport.abort()

    def whole(words: Any, line: asyncio.StreamWriter) -> bytes:
        """Answers, in RESP2."""
        asked.append("second")
        return b"-ERR unknown command\r\n" if words[0] == b"HELLO" else hit(b"whole")

    second = (Resp3Cache if first == 2 else Cache)(whole)
    await second.start()
    async with router(versions=(client, 3)) as bench:
        bench.cache.answer = dying
        if first == 2:
            bench.cache.greeting = b"-ERR unknown command\r\n"  # type: ignore[attr-defined]
        rows = [entry("c0", bench.cache.address), entry("c1", second.address)]
        rows.append(entry("o", bench.origin.address, model="origin"))
        bench.directory.apply({"rev": 6, "all": True, "targets": rows}, cached=True)
        caller = await bench.caller()
        served = 0
        for n in range(12):
            caller.get(b"key%d" % n, b"d%d" % n)
            answer = await caller.answer()
            served += answer == b"whole"
            assert answer in (b"whole", b"from origin") or str(answer).startswith("BUSY")
        assert served and {"first", "second"} <= set(asked)
    await second.stop()
