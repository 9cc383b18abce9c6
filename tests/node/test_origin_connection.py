"""Responses of the origin, valid and malformed, over loopback sockets."""

import asyncio
from typing import Any

import pytest
from peers import FETCHED, MISS, http, router, wait_until

NON_IDEMPOTENT_INFO = b"c=once,t=acme,d=9000"


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nvvvv",
        b"HTTP/1.1 200 OK\r\n\r\nhalf a va",
        b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nv",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nvvvv",
        http(404, b"no"),
        http(302, b""),
    ],
)
async def test_a_malformed_answer_of_the_origin_is_a_failure(reply: bytes) -> None:
    """Guards against a truncated response without a length, which was taken for the whole value."""

    def answer(asked: Any, line: asyncio.StreamWriter) -> bytes:
        asyncio.get_running_loop().call_later(0.1, line.close)
        return reply

    async with router(origin=answer) as bench:
        caller = await bench.caller()
        caller.send(b"C.SET", b"k", b"w", NON_IDEMPOTENT_INFO, b"value")
        assert str(await caller.answer()) == "ERR failed"
        await wait_until(lambda: bench.origin.ended == 1)
        assert len(bench.origin.received) == 1


async def test_interim_1xx_answers_are_skipped() -> None:
    ahead = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + b"HTTP/1.1 102 P\r\n\r\n"
    async with router(lambda asked, line: MISS, origin=lambda asked, line: ahead + FETCHED) as bench:
        caller = await bench.caller()
        for n in range(2):
            caller.get(b"k%d" % n, name=b"i%d" % n)
            assert await caller.answer() == b"from origin"
