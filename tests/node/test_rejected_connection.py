"""Clients that are not admitted get a response, over loopback sockets."""

import asyncio
import socket

import pytest
from peers import PATIENCE, router, wait_until

from rainhitch.node import rejected_connection
from rainhitch.node.client_events import ClientEvent
from rainhitch.protocol.resp import command

COMMANDS_AT_ONCE = 4
BRIEF_S = 0.1  # in which nothing may happen


def commands_at_once(name: bytes) -> bytes:
    """Encodes reads that are sent in one write."""
    fields = b"c=read,t=acme,d=9000"
    ids = [b"%b-%d" % (name, number) for number in range(COMMANDS_AT_ONCE)]
    return b"".join(command(b"C.GET", b"k", one, fields) for one in ids)


async def test_each_command_that_a_rejected_client_sends_at_once_gets_a_response() -> None:
    """At the cap on clients, commands sent at once were read, but only the first got a response.

    Closing a connection with unread commands sends a reset, which can overtake the responses.
    """
    async with router(sockets=1) as bench:
        # Prevents the close of idle connections to make room, however slow the machine is.
        bench.clients.idle_grace_s = bench.clients.idle_grace_near_cap_s = 3600.0
        await (await bench.caller()).answer_to_ping()
        for n in range(20):
            late = await bench.caller()
            late.writer.write(commands_at_once(b"late%d" % n))
            for _ in range(COMMANDS_AT_ONCE):
                assert str(await late.answer()) == "BUSY"
            assert await late.answer() is None
        await wait_until(lambda: bench.driver.metrics.rejected[0] == 20 * COMMANDS_AT_ONCE)
        await wait_until(
            lambda: len(bench.clients.rejected.connections) <= rejected_connection.MAX_REJECTED_CONNECTIONS
        )
        assert len(bench.clients.connections) == 1 and not bench.cache.received


async def test_a_rejected_client_gets_a_response_to_a_command_that_comes_in_two_pieces() -> None:
    """Closed behind the commands before it, such a command would get no response or reset the connection."""
    async with router(sockets=1) as bench:
        bench.clients.idle_grace_s = bench.clients.idle_grace_near_cap_s = 3600.0
        await (await bench.caller()).answer_to_ping()
        for n in range(20):
            late = await bench.caller()
            late.writer.write(commands_at_once(b"late%d" % n) + b"*4\r\n$5\r\nC.G")
            for _ in range(COMMANDS_AT_ONCE):
                assert str(await late.answer()) == "BUSY"
            late.writer.write(commands_at_once(b"more%d" % n)[len(b"*4\r\n$5\r\nC.G") :])
            for _ in range(COMMANDS_AT_ONCE):
                assert str(await late.answer()) == "BUSY"
            assert await late.answer() is None
        assert len(bench.clients.connections) == 1 and not bench.cache.received


@pytest.mark.parametrize("is_pushed_out", [False, True])
async def test_a_rejected_client_gets_its_responses_though_no_command_follows_them(
    is_pushed_out: bool,
) -> None:
    """Data that is no command ends the connection, behind the responses to the commands before it."""
    async with router(sockets=1) as bench:
        bench.clients.idle_grace_s = bench.clients.idle_grace_near_cap_s = 3600.0
        await (await bench.caller()).answer_to_ping()
        late = await bench.caller()
        late.writer.write(commands_at_once(b"late") + b"noise\r\n" * 1000)
        if is_pushed_out:
            for _ in range(2 * rejected_connection.MAX_REJECTED_CONNECTIONS):
                await bench.caller()
        for _ in range(COMMANDS_AT_ONCE):
            assert str(await late.answer()) == "BUSY"
        assert await late.answer() is None


async def test_rejected_connections_closed_for_newer_ones_have_their_commands_answered() -> None:
    """Too many rejected connections: the oldest is closed, and what its client has sent is read before."""
    async with router(sockets=1) as bench:
        bench.clients.idle_grace_s = bench.clients.idle_grace_near_cap_s = 3600.0
        await (await bench.caller()).answer_to_ping()
        clients = [socket.create_connection(("127.0.0.1", bench.port)) for _ in range(30)]
        for number, client in enumerate(clients):
            client.settimeout(PATIENCE)
            client.sendall(commands_at_once(b"client%d" % number))
        for client in clients:
            received = b""
            while piece := await asyncio.to_thread(client.recv, 4096):
                received += piece
            assert received == b"-BUSY\r\n" * COMMANDS_AT_ONCE
            client.close()


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


async def test_a_router_that_stops_waits_for_the_clients_that_it_has_rejected() -> None:
    """Guards against a lost response: the end of the process resets a connection that has unread bytes.

    A rejected connection is in no table of admitted ones; with none of those left the router ended at once.
    """
    async with router(sockets=1) as bench:
        bench.clients.idle_grace_s = bench.clients.idle_grace_near_cap_s = 3600.0
        first = await bench.caller()
        await first.answer_to_ping()
        late = await bench.caller()
        assert str(await late.answer()) == "BUSY"  # written before its command is read
        first.writer.close()
        await wait_until(lambda: not bench.clients.connections)
        bench.clients.close()
        ending = asyncio.ensure_future(bench.clients.wait_until_closed(PATIENCE))
        ended, _ = await asyncio.wait({ending}, timeout=BRIEF_S)
        assert not ended and bench.clients.rejected.connections
        late.writer.write(commands_at_once(b"late"))
        for _ in range(COMMANDS_AT_ONCE - 1):
            assert str(await late.answer()) == "BUSY"
        await ending
        assert not bench.clients.rejected.connections
