"""The network faults on a link between a router and a fake, seen from raw sockets at a cache node."""

import asyncio
import time

import pytest
from peers import wait_until
from raw_connection import BRIEF_S, cache_node, connect


async def test_a_cut_link_answers_nothing_resets_nothing_and_no_connection_comes_up() -> None:
    """The network between one router and a node is cut.

    The router sees silence: no answer, no reset, no new connection; another router's requests are served.
    Once the cut heals, what was on the way arrives.
    """
    async with cache_node() as node:
        node.store("k")
        connection = await connect(node.endpoints[0])
        other = await connect(node.endpoints[1])
        node.links[0].set_silent(True)
        connection.get(request_id="held")
        assert await connection.silent() and not node.attempts
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(BRIEF_S):
                await asyncio.open_connection(*node.links[0].listener.address)
        other.get(request_id="free")  # the other router's link is whole
        assert b"free:k" in await other.read()
        node.links[0].set_silent(False)
        assert b"held:k" in await connection.read()
        (await connect(node.endpoints[0])).get(request_id="after")
        await wait_until(lambda: {row.id for row in node.attempts} == {"held", "free", "after"})
        assert node.attempts[-1].last > node.attempts[1].first


async def test_an_answer_on_its_way_into_a_cut_comes_when_it_heals() -> None:
    """A link is cut while a node works: the node serves, and its answer arrives once the cut heals."""
    async with cache_node(work_us=50_000.0) as node:
        node.store("k")
        connection = await connect(node.endpoints[0])
        connection.get()
        await wait_until(lambda: node.attempts)
        node.links[0].set_silent(True)
        assert await connection.silent() and node.attempts[0].outcome == "served"
        node.links[0].set_silent(False)
        assert b"i1:k" in await connection.read()


async def test_what_was_given_up_in_a_cut_never_reaches_the_node() -> None:
    """A router gives up a request behind a cut and closes.

    The node must not see the request once the cut heals, or the report would blame the router for work that
    it had withdrawn.
    """
    async with cache_node() as node:
        connection = await connect(node.endpoints[0])
        node.links[0].set_silent(True)
        connection.get()
        assert await connection.silent()
        connection.writer.transport.abort()
        await wait_until(lambda: not node.links[0].connections)
        node.links[0].set_silent(False)
        (await connect(node.endpoints[0])).get(request_id="after")
        await wait_until(lambda: [row.id for row in node.attempts] == ["after"])


async def test_a_delayed_link_delays_both_ways_and_the_record_has_when_the_request_was_sent() -> None:
    async with cache_node() as node:
        connection = await connect(node.endpoints[0])
        node.links[0].set_delay(0.2)
        begun = time.monotonic_ns()
        connection.get()
        assert b"miss" in await connection.read()
        assert time.monotonic_ns() - begun >= 390_000_000  # a loop's timers may be a millisecond early
        assert node.attempts[0].last - begun < 150_000_000


async def test_a_link_reset_breaks_its_connections_and_no_others() -> None:
    """One router's connections to a node are reset; those of other routers stay."""
    async with cache_node() as node:
        connection = await connect(node.endpoints[0])
        other = await connect(node.endpoints[1])
        node.links[0].reset()
        assert await connection.read() == b"RESET"
        other.get()
        assert b"miss" in await other.read()
