"""Admission of clients and the closing of connections to make room, over loopback sockets."""

import asyncio
import socket

import pytest
from peers import PATIENCE, hit, router, wait_until

from rainhitch.node import client_connections, connection_pool
from rainhitch.node.client_connection import ClientConnection
from rainhitch.node.close_reason import CloseReason
from rainhitch.protocol import resp

INFO = b"c=read,t=acme,d=9000"
ONCE = b"c=once,t=acme,d=9000"


@pytest.mark.parametrize("sent", [b"", b"*2\r\n$5\r\nC.G", b"*"])
async def test_a_client_that_sends_no_whole_command_gets_an_error_in_time(
    monkeypatch: pytest.MonkeyPatch, sent: bytes
) -> None:
    """Connections that sent nothing or an incomplete command were kept open forever.

    Such a client gets an error within the time limit; other clients are served while it waits.
    """
    monkeypatch.setattr(client_connections, "UNFINISHED_COMMAND_LIMIT_S", 0.3)
    async with router() as bench:
        caller = await bench.caller()
        caller.writer.write(sent)
        usual = await bench.caller()
        usual.get()
        assert await usual.answer() == b"v"
        assert str(await caller.answer()) == "ERR no whole command in time"
        assert await caller.answer() is None
        usual.get(name=b"i2")
        assert await usual.answer() == b"v"


async def test_sending_byte_by_byte_does_not_extend_the_time_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_connections, "UNFINISHED_COMMAND_LIMIT_S", 0.3)
    async with router() as bench:
        caller = await bench.caller()
        caller.get()
        assert await caller.answer() == b"v"

        async def send_byte_by_byte() -> None:
            for byte in resp.command(b"C.GET", b"k" * 200, b"i2", INFO):
                caller.writer.write(bytes([byte]))
                await asyncio.sleep(0.02)

        task = asyncio.create_task(send_byte_by_byte())
        assert str(await caller.answer()) == "ERR no whole command in time"
        task.cancel()


async def test_at_the_cap_the_longest_idle_connection_makes_room(monkeypatch: pytest.MonkeyPatch) -> None:
    """A new client was rejected while other clients stayed connected after a single request.

    The connection that has been idle longest is closed for it; one with a request in flight is not closed.
    """
    monkeypatch.setattr(client_connections, "IDLE_GRACE_S", 0.0)
    async with router(lambda asked, line: None if asked[2] == b"open" else hit(), sockets=3) as bench:
        busy = await bench.caller()
        busy.get(name=b"open")
        await wait_until(lambda: bench.cache.received)
        first, second = await bench.caller(), await bench.caller()
        for n, client in enumerate((first, second)):
            client.get(name=b"i%d" % n)
            assert await client.answer() == b"v"
        late = await bench.caller()
        late.get(name=b"late")
        assert await late.answer() == b"v"
        assert await first.answer() is None
        second.get(name=b"i3")
        assert await second.answer() == b"v"
        bench.cache.lines[0].write(hit(b"open"))
        assert await busy.answer() == b"open"


async def test_idle_connections_are_closed_before_the_cap_is_reached(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients ran out of connections of their own while those they had open at the router were idle.

    Idle connections are closed once more than half of the cap is in use.
    """
    monkeypatch.setattr(client_connections, "IDLE_GRACE_S", 0.2)
    async with router(lambda asked, line: None if asked[2] == b"open" else hit(), sockets=6) as bench:
        busy = await bench.caller()
        busy.get(name=b"open")
        await wait_until(lambda: bench.cache.received)
        others = [await bench.caller() for _ in range(4)]
        for n, client in enumerate(others):
            client.get(name=b"i%d" % n)
            assert await client.answer() == b"v"
        assert [await client.answer() for client in others[:2]] == [None, None]
        bench.cache.lines[0].write(hit(b"open"))
        assert await busy.answer() == b"open"


async def test_clients_may_use_the_descriptors_that_the_servers_side_leaves() -> None:
    """Clients were rejected at half of the file descriptors while a third of them was free.

    Clients may use the descriptors that server connections leave, within the total of both sides.
    """
    async with router(sockets=2) as bench:
        # Prevents the close of idle connections to make room.
        bench.clients.idle_grace_s = bench.clients.idle_grace_near_cap_s = 3600
        bench.pools.descriptors.shared = 4
        bench.pools.descriptors.reserved_upstream = 0
        many = [await bench.caller() for _ in range(4)]
        for client in many:
            client.send(b"PING")
            assert await client.answer() == b"PONG"
        assert str(await (await bench.caller()).answer()) == "BUSY"
        many[0].get(info=ONCE)  # no descriptor is left for a server connection
        assert str(await many[0].answer()).startswith("BUSY") and not bench.cache.lines
        many[1].writer.close()
        await wait_until(lambda: len(bench.clients.connections) == 3)
        many[0].get(name=b"i2")
        assert await many[0].answer() == b"v"
        assert str(await (await bench.caller()).answer()) == "BUSY"


async def test_an_idle_connection_to_a_server_makes_room_for_a_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """New clients were rejected while half of the server connections were idle.

    An idle server connection is closed for a new client while more than two thirds of their cap are open.
    """
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 60.0)  # so that each request opens a new connection
    async with router(sockets=3) as bench:
        bench.pools.descriptors.shared = 6  # the sum of the caps of both sides
        for n in range(3):
            caller = await bench.caller()
            caller.get(name=b"i%d" % n)
            assert await caller.answer() == b"v"
        assert bench.pools.open_count() == 3
        await (await bench.caller()).answer_to_ping()
        assert bench.pools.open_count() == 2  # two thirds of the cap: no more are closed
        assert str(await (await bench.caller()).answer()) == "BUSY"


async def test_a_connection_with_unread_bytes_is_not_closed_to_make_room(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request that is unread in the socket would be lost if its connection were closed."""
    monkeypatch.setattr(client_connections, "IDLE_GRACE_S", 0.0)
    async with router(sockets=1) as bench:
        caller = await bench.caller()
        caller.get()
        assert await caller.answer() == b"v"
        (client,) = bench.clients.connections
        taken = bench.clients.activity.idle.copy()
        assert list(taken) == [client] and not client.has_unread_bytes()
        caller.get(name=b"i2")
        raw = caller.writer.get_extra_info("socket")
        assert raw is not None and client.has_unread_bytes()
        assert not bench.clients.admit(ClientConnection(bench.clients))
        assert await caller.answer() == b"v"


async def test_a_response_that_is_not_sent_yet_is_not_lost_to_make_room(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A slow reader lost the rest of its response: at the cap its half-closed connection was aborted."""
    value = b"x" * 60_000
    async with router(lambda asked, line: hit(value), sockets=1) as bench:
        monkeypatch.setattr(bench.clients, "idle_grace_s", 3600.0)
        monkeypatch.setattr(bench.clients, "idle_grace_near_cap_s", 3600.0)
        slow = socket.socket()
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        slow.connect(("127.0.0.1", bench.port))
        slow.settimeout(PATIENCE)
        [client] = await wait_until(lambda: list(bench.clients.connections))
        assert client.transport is not None
        client.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        slow.sendall(resp.command(b"C.GET", b"k", b"i1", b"c=read,t=acme,d=9000"))
        await wait_until(lambda: client.transport and client.transport.get_write_buffer_size())
        client.half_close(CloseReason.IDLE)
        late = await bench.caller()
        received = b""
        while piece := await asyncio.to_thread(slow.recv, 65536):
            received += piece
        assert received == b"$60000\r\n" + value + b"\r\n"
        assert str(await late.answer()) == "BUSY"
        slow.close()
