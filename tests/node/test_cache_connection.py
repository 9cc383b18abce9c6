"""Responses of cache servers, valid and malformed, over loopback sockets."""

import pytest
from peers import router, wait_until

NON_IDEMPOTENT_INFO = b"c=once,t=acme,d=9000"


@pytest.mark.parametrize(
    "reply",
    [
        b"-BUSYnoise\r\n",
        b"-BUSY \xff\xfe\r\n",
        b"-BUSY\n-ERR failed\r\n",
        b"-ERR failedly\r\n",
        b"-ERR other\r\n",
        b"*2\r\n$1\r\nv\r\n$3\r\nhit\r\n",
        b"*4\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n$-1\r\n",
        b"*3\r\n$1\r\nv\r\n$4\r\nhuh?\r\n$-1\r\n",
        b"*3\r\n$-1\r\n$3\r\nhit\r\n$-1\r\n",
        b"*3\r\n+v\r\n$3\r\nhit\r\n$-1\r\n",
        b"*3\r\n*1\r\n$1\r\nv\r\n$-1\r\n$-1\r\n",
        b"*3\r\n$3221225472\r\n",
        b"*3\r\n$0001\r\nv\r\n$3\r\nhit\r\n$-1\r\n",
        b"*3\r\n$1\r\nvv\r\n$3\r\nhit\r\n$-1\r\n",
        b"*3\r\n$-7\r\n",
        b"$1\r\nv\r\n",
        b"-" + b"x" * 2000,
    ],
)
async def test_a_malformed_answer_fails_and_counts_as_perhaps_executed(reply: bytes) -> None:
    """Guards against a corrupted response taken for a valid one.

    Once `-BUSY` followed by other bytes proved that nothing ran, and an array of any length was a value. Only
    the exact texts count; after anything else the request may have been executed.
    """
    async with router(lambda asked, line: reply) as bench:
        caller = await bench.caller()
        caller.get(info=NON_IDEMPOTENT_INFO)
        assert str(await caller.answer()) == "ERR failed"
        await wait_until(lambda: bench.cache.ended == 1)
        assert len(bench.cache.received) == 1


@pytest.mark.parametrize(
    ("reply", "answer"),
    [
        (b"*3\r\n$1\r\nv\r\n$-1\r\n$5\r\n\xff\r\nx,\r\n", "v"),
        (b"-BUSY inflight=?,queue\r\n", "BUSY"),
        (b"-ERR failed inflight=7\r\n", "ERR failed"),
    ],
)
async def test_an_answer_with_an_unreadable_load_report_is_used(reply: bytes, answer: str) -> None:
    async with router(lambda asked, line: reply) as bench:
        caller = await bench.caller()
        caller.get(info=NON_IDEMPOTENT_INFO)
        received = await caller.answer()
        assert (received.decode() if isinstance(received, bytes) else str(received)) == answer
        assert bench.cache.ended == 0
