"""Clients that are not admitted get a response, over loopback sockets."""

from peers import router, wait_until

from rainhitch.node import rejected_connection
from rainhitch.node.client_events import ClientEvent


async def test_a_rejected_client_gets_its_answer_though_its_commands_are_unread() -> None:
    """Closing a connection with unread commands sends a reset, which can overtake the response.

    The client would then get no response although its command was read.
    """
    async with router(sockets=1) as bench:
        # Prevents the close of idle connections to make room, however slow the machine is.
        bench.clients.idle_grace_s = bench.clients.idle_grace_near_cap_s = 3600.0
        await (await bench.caller()).answer_to_ping()
        for n in range(20):
            late = await bench.caller()
            for _ in range(4):
                late.get(name=b"late%d" % n)
            assert str(await late.answer()) == "BUSY"
            assert await late.answer() is None
        # One command of each client is rejected, after which its connection closes.
        await wait_until(lambda: bench.driver.metrics.rejected[0] == 20)
        await wait_until(
            lambda: len(bench.clients.rejected.connections) <= rejected_connection.MAX_REJECTED_CONNECTIONS
        )
        assert len(bench.clients.connections) == 1 and not bench.cache.received


async def test_the_number_of_rejected_connections_kept_open_is_bounded() -> None:
    async with router(sockets=1) as bench:
        # the first connection is not closed to make room
        bench.clients.idle_grace_s = bench.clients.idle_grace_near_cap_s = 3600
        await (await bench.caller()).answer_to_ping()
        many = [await bench.caller() for _ in range(3 * rejected_connection.MAX_REJECTED_CONNECTIONS)]
        await wait_until(lambda: bench.clients.events.counts[ClientEvent.REJECTED] == len(many))
        await wait_until(
            lambda: len(bench.clients.rejected.connections) <= rejected_connection.MAX_REJECTED_CONNECTIONS
        )
