"""An id that comes again: what a server may have executed for it is not executed again."""

import asyncio
from typing import Any

import pytest
from peers import FETCHED, Bench, Caller, hit, router, wait_until

from rainhitch.node import executed_ids
from rainhitch.node.executed_ids import BUCKET_COUNT, BUCKET_ENTRIES, REMEMBERED_NS, ExecutedIds

USED = "ERR this id has been used"
SECOND = 1_000_000_000


def write(caller: Caller, class_name: bytes, request_id: bytes = b"i1") -> None:
    """Sends a write; one of a class with idempotency keys has a key of its own."""
    key = b",k=key-of-" + request_id if class_name == b"put" else b""
    caller.send(b"C.SET", b"k", request_id, b"c=" + class_name + b",t=acme,d=9000" + key, b"value")


@pytest.mark.parametrize("class_name", [b"put", b"once"])
async def test_a_write_whose_id_comes_again_after_its_answer_is_not_executed_again(class_name: bytes) -> None:
    """An id ran twice when it came again well after its first request had been answered."""
    async with router() as bench:
        first, other = await bench.caller(), await bench.caller()
        write(first, class_name)
        assert await first.answer() == b"from origin"
        for caller in (first, other):
            write(caller, class_name)
            assert str(await caller.answer()) == USED
        assert len(bench.origin.received) == 1
        write(other, class_name, b"i2")
        assert await other.answer() == b"from origin"


@pytest.mark.parametrize("class_name", [b"put", b"once"])
async def test_a_write_whose_id_comes_again_after_its_client_left_is_not_executed_again(
    class_name: bytes,
) -> None:
    """An id ran twice when it came again after its client had left."""
    held: list[asyncio.StreamWriter] = []

    def origin(asked: Any, line: asyncio.StreamWriter) -> bytes | None:
        held.append(line)
        return None

    async with router(origin=origin) as bench:
        first, other = await bench.caller(), await bench.caller()
        write(first, class_name)
        await wait_until(lambda: held)
        first.writer.transport.abort()
        await wait_until(lambda: len(bench.clients.connections) == 1)
        write(other, class_name)
        assert str(await other.answer()) == "ERR this id is in use"
        held[0].write(FETCHED)
        await wait_until(lambda: not bench.driver.requests)
        write(other, class_name)
        assert str(await other.answer()) == USED
        assert len(bench.origin.received) == 1


async def test_a_read_whose_id_comes_again_after_its_answer_is_served_again() -> None:
    async with router() as bench:
        caller = await bench.caller()
        for _ in range(2):
            caller.get()
            assert await caller.answer() == b"v"


async def rejected_write(bench: Bench) -> Caller:
    """Returns a client whose write was rejected before any attempt."""
    caller = await bench.caller()
    bench.driver.max_requests = 0
    write(caller, b"once")
    assert str(await caller.answer()) == "BUSY"
    bench.driver.max_requests = 100
    return caller


async def test_a_write_of_which_nothing_was_sent_to_a_server_may_come_again_with_its_id() -> None:
    async with router(lambda asked, line: hit()) as bench:
        caller = await rejected_write(bench)
        write(caller, b"once")
        assert await caller.answer() == b"from origin"


def test_ids_are_remembered_for_a_time_in_a_table_of_one_size() -> None:
    ids = ExecutedIds()
    size_bytes = ids.table.nbytes
    for number in range(3 * BUCKET_COUNT * BUCKET_ENTRIES):
        ids.add(SECOND + number, b"id-%d" % number)
    assert ids.table.nbytes == size_bytes == executed_ids.TABLE_BYTES
    last = 3 * BUCKET_COUNT * BUCKET_ENTRIES - 1
    recent = [b"id-%d" % (last - back) for back in range(BUCKET_COUNT)]
    assert all(ids.contains(2 * SECOND, one) for one in recent)
    assert not any(ids.contains(2 * SECOND + REMEMBERED_NS, one) for one in recent)
    assert not ids.contains(2 * SECOND, b"id-of-nobody")


def test_an_id_that_is_recorded_again_takes_one_entry() -> None:
    ids = ExecutedIds()
    for now in range(1, 100):
        ids.add(now, b"same")
    assert sum(1 for word in ids.table[1::2] if word) == 1


def test_ids_of_another_process_are_found_while_it_runs() -> None:
    old, new = ExecutedIds(), ExecutedIds()
    old.add(SECOND, b"before")
    shared = executed_ids.as_words(bytearray(executed_ids.TABLE_BYTES))
    old.move_to(shared)
    new.other_tables = [shared]
    old.add(SECOND, b"after")
    assert new.contains(SECOND, b"before") and new.is_in_other_process(SECOND, b"after")
    new.other_tables = []
    assert not new.contains(SECOND, b"before")
