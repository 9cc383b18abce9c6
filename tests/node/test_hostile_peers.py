"""Peers that send what they should not, over loopback sockets: clients, cache servers and the origin."""

import asyncio
import socket
from typing import Any

import pytest
from peers import FETCHED, MISS, Bench, Cache, Web, entry, hit, http, info, router, soon

from rainhitch.node import client_connection as client_module
from rainhitch.node import client_connections, client_socket, connection_pool, rejected_connection
from rainhitch.node.client_connection import ClientConnection
from rainhitch.node.client_events import ClientEvent
from rainhitch.node.client_request import ClientRequestError, parse_client_request
from rainhitch.protocol import resp
from rainhitch.settings import read_names
from rainhitch.system import REAL

INFO = b"c=read,t=acme,d=9000"
ONCE = b"c=once,t=acme,d=9000"


@pytest.mark.parametrize("sent", [b"", b"*2\r\n$5\r\nC.G", b"*"])
async def test_a_client_that_sends_no_whole_command_gets_an_error_in_time(
    monkeypatch: pytest.MonkeyPatch, sent: bytes
) -> None:
    """Connections that sent nothing, or half a command, were kept for good.

    Such a client gets an error within the limit; another one is served meanwhile.
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


async def test_sending_byte_by_byte_gains_a_client_no_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_connections, "UNFINISHED_COMMAND_LIMIT_S", 0.3)
    async with router() as bench:
        caller = await bench.caller()
        caller.get()
        assert await caller.answer() == b"v"

        async def dribble() -> None:
            for byte in resp.command(b"C.GET", b"k" * 200, b"i2", INFO):
                caller.writer.write(bytes([byte]))
                await asyncio.sleep(0.02)

        task = asyncio.create_task(dribble())
        assert str(await caller.answer()) == "ERR no whole command in time"
        task.cancel()


async def test_at_the_cap_the_longest_idle_connection_makes_room(monkeypatch: pytest.MonkeyPatch) -> None:
    """A new client was rejected while others had sent one request and stayed.

    The longest idle connection is closed for it; one with a request in flight is not.
    """
    monkeypatch.setattr(client_connections, "IDLE_GRACE_S", 0.0)
    async with router(lambda asked, line: None if asked[2] == b"open" else hit(), sockets=3) as bench:
        busy = await bench.caller()
        busy.get(name=b"open")
        await soon(lambda: bench.cache.got)
        first, second = await bench.caller(), await bench.caller()
        for n, one in enumerate((first, second)):
            one.get(name=b"i%d" % n)
            assert await one.answer() == b"v"
        late = await bench.caller()
        late.get(name=b"late")
        assert await late.answer() == b"v"
        assert await first.answer() is None
        second.get(name=b"i3")
        assert await second.answer() == b"v"
        bench.cache.lines[0].write(hit(b"open"))
        assert await busy.answer() == b"open"


async def test_idle_connections_go_before_the_cap_is_reached(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients ran out of connections of their own while those they had were idle here.

    Past half of the cap, idle connections are closed.
    """
    monkeypatch.setattr(client_connections, "IDLE_GRACE_S", 0.2)
    async with router(lambda asked, line: None if asked[2] == b"open" else hit(), sockets=6) as bench:
        busy = await bench.caller()
        busy.get(name=b"open")
        await soon(lambda: bench.cache.got)
        others = [await bench.caller() for _ in range(4)]
        for n, one in enumerate(others):
            one.get(name=b"i%d" % n)
            assert await one.answer() == b"v"
        assert [await one.answer() for one in others[:2]] == [None, None]
        bench.cache.lines[0].write(hit(b"open"))
        assert await busy.answer() == b"open"


async def test_clients_may_use_the_descriptors_that_the_servers_side_leaves() -> None:
    """Clients were rejected at half of the descriptors while a third of them was free.

    Clients may use what the servers' side leaves, and both sides together no more than there are.
    """
    async with router(sockets=2) as bench:
        bench.clients.idle_s = bench.clients.at_need_s = 3600  # who is idle makes room for nobody
        bench.pools.descriptors.shared = 4
        bench.pools.descriptors.reserved_upstream = 0
        many = [await bench.caller() for _ in range(4)]
        for one in many:
            one.send(b"PING")
            assert await one.answer() == b"PONG"
        assert str(await (await bench.caller()).answer()) == "BUSY"
        many[0].get(info=ONCE)  # nothing is left for a connection to a server
        assert str(await many[0].answer()).startswith("BUSY") and not bench.cache.lines
        many[1].writer.close()
        await soon(lambda: len(bench.clients.open) == 3)
        many[0].get(name=b"i2")
        assert await many[0].answer() == b"v"
        assert str(await (await bench.caller()).answer()) == "BUSY"


async def test_an_idle_connection_to_a_server_makes_room_for_a_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """New clients were rejected while half of the connections to servers were idle.

    One of those is closed for a new client, down to two thirds of their cap.
    """
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 60.0)  # so that each request opens another
    async with router(sockets=3) as bench:
        bench.pools.descriptors.shared = 6  # as many as both sides' caps, and no more for either
        for n in range(3):
            caller = await bench.caller()
            caller.get(name=b"i%d" % n)
            assert await caller.answer() == b"v"
        assert bench.pools.open() == 3
        await (await bench.caller()).answer_to_ping()
        assert bench.pools.open() == 2  # and no more than two thirds are given up
        assert str(await (await bench.caller()).answer()) == "BUSY"


async def test_a_connection_with_unread_bytes_is_not_closed_to_make_room(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request that lay unread in the socket would be lost with its connection."""
    monkeypatch.setattr(client_connections, "IDLE_GRACE_S", 0.0)
    async with router(sockets=1) as bench:
        caller = await bench.caller()
        caller.get()
        assert await caller.answer() == b"v"
        (one,) = bench.clients.open
        taken = bench.clients.activity.idle.copy()
        assert list(taken) == [one] and not one.has_unread_bytes()
        caller.get(name=b"i2")
        raw = caller.writer.get_extra_info("socket")
        assert raw is not None and one.has_unread_bytes()
        assert not bench.clients.admit(ClientConnection(bench.clients))
        assert await caller.answer() == b"v"


async def test_what_is_read_after_the_last_answer_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client that went on sending after its last answer was read at full speed for a second."""
    monkeypatch.setattr(client_socket, "MAX_LINGER_BYTES", 1 << 16)
    async with router() as bench:
        caller = await bench.caller()
        caller.writer.write(b"*5\r\n$5\r\nC.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$5\r\nc=put\r\n$62914560\r\n")
        (client,) = await soon(lambda: list(bench.clients.open))
        caller.writer.write(bytes(16 << 20))
        assert str(await caller.answer()) == "ERR Protocol error: invalid or oversized length"
        await soon(lambda: client not in bench.clients.open)
        assert client.lingered_bytes <= (1 << 16) + (256 << 10)
        assert not bench.clients.activity.lingering and bench.clients.buffered_bytes == 0


async def test_hundreds_of_commands_at_once_do_not_starve_other_clients() -> None:
    """A client sends a thousand commands at once: no more than a few of them are handled in one turn."""
    async with router() as bench:
        greedy, usual = await bench.caller(), await bench.caller()
        usual.send(b"PING")
        assert await usual.answer() == b"PONG"
        turns: list[int] = []
        handle_commands = ClientConnection._handle_commands

        def counted(self: ClientConnection, max_commands: int) -> int:
            turns.append(handle_commands(self, max_commands))
            return turns[-1]

        ClientConnection._handle_commands = counted  # type: ignore[method-assign]
        try:
            greedy.writer.write(resp.command(b"PING") * 1000)
            for _ in range(1000):
                assert await greedy.answer() == b"PONG"
        finally:
            ClientConnection._handle_commands = handle_commands  # type: ignore[method-assign]
        assert max(turns) <= client_module.MAX_COMMANDS_PER_TURN and sum(turns) == 1000


async def test_answers_whose_turn_has_not_come_are_counted_and_bounded() -> None:
    """Behind one slow answer, others piled up uncounted.

    They count against the limit, and those for which there is no memory fail.
    """
    value = bytes(60_000)

    async with router(
        lambda asked, line: None if asked[2] == b"slow" else hit(value), memory=200_000
    ) as bench:
        caller = await bench.caller()
        caller.get(name=b"slow")
        seen = ["slow"]
        for n in range(8):
            seen.append(f"i{n}")
            caller.get(name=b"i%d" % n)
            await soon(lambda: len(bench.cache.got) == len(seen) and len(bench.driver.requests) == 1)
        assert bench.clients.buffered_bytes <= 200_000
        bench.cache.lines[0].write(hit(b"at last"))
        answers = [await caller.answer() for _ in range(9)]
        assert answers[0] == b"at last" and answers.count(value) == 3
        assert [str(one) for one in answers[1:] if one != value] == ["ERR failed"] * 5
        await soon(lambda: bench.clients.buffered_bytes == 0)


@pytest.mark.parametrize(
    "parts",
    [
        (b"C.SET", b"k", b"i", INFO, b"v"),
        (b"C.GET", b"k", b"i", b"c=put,t=acme,d=9000,k=1"),
        (b"C.SET", b"k", b"i", b"c=put,t=acme,d=9000", b"v"),
        (b"C.SET", b"k", b"i", b"c=put,t=acme,d=9000,k=", b"v"),
        (b"C.GET", b"k", b"i", b"c=read,t=acme"),
        (b"C.GET", b"k", b"i", b"c=read,t=acme,d=0"),
        (b"C.GET", b"k", b"i", b"c=read,t=acme,d=-5"),
        (b"C.GET", b"k", b"i", b"c=read,d=9000"),
        (b"C.GET", b"k", b"i", INFO + b",h=much"),
        (b"C.GET", b"k", b"i", INFO + b",size=-1"),
        (b"C.GET", b"k", b"i", INFO + b",r=maybe"),
        (b"C.GET", b"k", b"i", INFO + b",d=9000"),
        (b"C.GET", b"k", b"", INFO),
        (b"C.GET", b"k" * 257, b"i", INFO),
    ],
)
def test_commands_that_the_protocol_does_not_allow_are_rejected(parts: Any) -> None:
    names = read_names(info())
    with pytest.raises(ClientRequestError):
        parse_client_request(list(parts), names)
    parse_client_request([b"C.GET", b"k", b"i", INFO + b",h=120,size=1800,r=1"], names)
    parse_client_request([b"C.SET", b"k", b"i", b"c=put,t=acme,d=9000,k=5c0f", b"v"], names)


async def test_a_command_without_parts_gets_an_error() -> None:
    async with router() as bench:
        caller = await bench.caller()
        caller.writer.write(b"*0\r\n")
        assert str(await caller.answer()).startswith("ERR ")


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
    """Noise behind -BUSY passed for proof that nothing ran, and an array of any length for a value.

    Only the exact words count; all else may have been executed.
    """
    async with router(lambda asked, line: reply) as bench:
        caller = await bench.caller()
        caller.get(info=ONCE)
        assert str(await caller.answer()) == "ERR failed"
        await soon(lambda: bench.cache.ended == 1)
        assert len(bench.cache.got) == 1


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
        caller.get(info=ONCE)
        told = await caller.answer()
        assert (told.decode() if isinstance(told, bytes) else str(told)) == answer
        assert bench.cache.ended == 0


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
    """Without a length, an answer cut short passed for the whole value."""

    def answer(asked: Any, line: asyncio.StreamWriter) -> bytes:
        asyncio.get_running_loop().call_later(0.1, line.close)
        return reply

    async with router(origin=answer) as bench:
        caller = await bench.caller()
        caller.send(b"C.SET", b"k", b"w", ONCE, b"value")
        assert str(await caller.answer()) == "ERR failed"
        await soon(lambda: bench.origin.ended == 1)
        assert len(bench.origin.got) == 1


async def test_interim_1xx_answers_are_skipped() -> None:
    ahead = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + b"HTTP/1.1 102 P\r\n\r\n"
    async with router(lambda asked, line: MISS, origin=lambda asked, line: ahead + FETCHED) as bench:
        caller = await bench.caller()
        for n in range(2):
            caller.get(b"k%d" % n, name=b"i%d" % n)
            assert await caller.answer() == b"from origin"


async def reused(bench: Bench, behind: bytes) -> Any:
    """Sends a request, leaves bytes unread behind its answer, and gives the answer to another request."""
    caller = await bench.caller()
    caller.get(name=b"i1")
    assert await caller.answer() == b"i1"
    (idle,) = bench.pools.pools["c0"].idle
    assert idle.transport is not None
    idle.transport.pause_reading()  # as when it comes between two looks at the sockets
    bench.cache.lines[0].write(behind)
    await soon(lambda: REAL.readable(idle.transport))  # type: ignore[arg-type]
    caller.get(name=b"i2")
    return await caller.answer()


@pytest.mark.parametrize("behind", [hit(b"i1"), b"\xff"])
async def test_a_second_copy_behind_an_answer_is_not_the_next_answer(
    monkeypatch: pytest.MonkeyPatch, behind: bytes
) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)
    async with router(lambda asked, line: hit(asked[2])) as bench:
        assert await reused(bench, behind) == b"i2"
        assert len(bench.cache.lines) == 2


async def test_a_connection_is_not_reused_right_after_an_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """A second copy may come a little after an answer: a connection rests before it is reused."""
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 1000.0)
    async with router(lambda asked, line: hit(asked[2])) as bench:
        caller = await bench.caller()
        for n in range(2):
            caller.get(name=b"i%d" % n)
            assert await caller.answer() == b"i%d" % n
        assert len(bench.cache.lines) == 2


async def test_a_shortage_of_own_descriptors_is_not_counted_against_the_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A connect that found no descriptor left counted as a server that is down."""
    async with router() as bench:

        async def none_left(*_: Any, **__: Any) -> None:
            raise OSError(24, "Too many open files")

        caller = await bench.caller()
        monkeypatch.setattr(asyncio.get_running_loop(), "create_connection", none_left)
        caller.get(info=ONCE)
        assert str(await caller.answer()).startswith("BUSY")
        assert bench.driver.balancer.servers.servers["c0"].connection.consecutive_failures == 0
        assert not bench.pools.pools["c0"].all


async def test_a_new_server_at_an_old_address_inherits_no_failures(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)
    async with router(lambda asked, line: None if asked[2] == b"i1" else hit()) as bench:
        caller = await bench.caller()
        caller.get(name=b"i1")
        await soon(lambda: bench.cache.got)
        new = entry("c9", bench.cache.address, boot_ms=1)
        origin = entry("o", bench.origin.address, model="origin")
        bench.directory.apply({"rev": 9, "all": True, "targets": [new, origin]})
        bench.cache.lines[0].transport.abort()
        other = await bench.caller()
        other.get(name=b"i2")
        assert await other.answer() == b"v"
        servers, pools = bench.driver.balancer.servers.servers, bench.pools
        await soon(lambda: not bench.driver.requests)
        assert set(servers) == {"c9", "o"} and set(pools.pools) == {"c9", "o"}
        assert servers["c9"].connection.consecutive_failures == 0 and servers["c9"].in_flight == 0
        assert not any(one.all for one in pools.draining_pools)


async def test_nothing_is_in_flight_once_all_is_answered() -> None:
    """Attempts end in every way: no connection, request or count stays taken."""
    replies = [hit(), MISS, b"-BUSY\r\n", b"-ERR failed\r\n", b"noise", None]

    def answer(asked: list[bytes], line: asyncio.StreamWriter) -> bytes | None:
        reply = replies[int(asked[2]) % len(replies)]
        if reply is None:
            line.transport.abort()
        return reply

    async with router(answer) as bench:
        caller = await bench.caller()
        for n in range(60):
            caller.get(b"k%d" % n, b"%d" % n)
            await caller.answer()
        await soon(lambda: not bench.driver.requests)
        balancer = bench.driver.balancer
        assert (
            not balancer.requests
            and not balancer.coalesced_reads
            and not balancer.origin_admission.reads_in_flight
        )
        await soon(lambda: all(len(one.all) == len(one.idle) for one in bench.pools.pools.values()))
        assert not any(one.in_flight for one in balancer.servers.servers.values())
        assert bench.driver.request_bytes == 0


def test_a_socket_that_is_closed_by_its_peer_is_readable() -> None:
    class Bare:
        def __init__(self, one: socket.socket) -> None:
            self.one = one

        def get_extra_info(self, _: str) -> socket.socket:
            return self.one

    one, other = socket.socketpair()
    with one, other:
        assert not REAL.readable(Bare(one))  # type: ignore[arg-type]
        other.shutdown(socket.SHUT_RDWR)
        assert REAL.readable(Bare(one))  # type: ignore[arg-type]


async def test_a_silent_connection_costs_one_attempt_and_not_the_request() -> None:
    """A request waited on a silent connection until its time was over; now another server is asked."""
    other = Cache(lambda asked, line: hit(b"other"))
    await other.start()

    def entries(cache: Cache, origin: Web) -> list[dict[str, Any]]:
        return [
            entry("c0", cache.address),
            entry("c1", other.address),
            entry("o", origin.address, model="origin"),
        ]

    async with router(lambda asked, line: None, entries=entries) as bench:
        for one in bench.driver.balancer.servers.servers.values():
            one.latency.average_ns = one.latency.uncrowded_ns = 1e7
        caller = await bench.caller()
        names = [b"k%d" % n for n in range(40)]
        crossed = next(
            key for key in names if bench.driver.balancer.placement.ranges.locate(key.decode())[2][0] == "c0"
        )
        caller.get(crossed)
        assert await caller.answer() == b"other"
        assert len(bench.cache.got) == len(other.got) == 1
        await soon(lambda: bench.cache.ended == 1)
    await other.stop()


async def test_a_rejected_client_gets_its_answer_though_its_commands_are_unread() -> None:
    """A close with commands unread is a reset, which can overtake the answer.

    The client then has none, though its command was read.
    """
    async with router(sockets=1) as bench:
        bench.clients.idle_s = bench.clients.at_need_s = 3600.0  # a slow machine makes no room for the late
        await (await bench.caller()).answer_to_ping()
        for n in range(20):
            late = await bench.caller()
            for _ in range(4):
                late.get(name=b"late%d" % n)
            assert str(await late.answer()) == "BUSY"
            assert await late.answer() is None
        await soon(lambda: bench.driver.metrics.rejected[0] == 20)  # each was refused, if at the door
        await soon(
            lambda: len(bench.clients.rejected.connections) <= rejected_connection.MAX_REJECTED_CONNECTIONS
        )
        assert len(bench.clients.open) == 1 and not bench.cache.got


async def test_the_number_of_rejected_connections_kept_open_is_bounded() -> None:
    async with router(sockets=1) as bench:
        bench.clients.idle_s = bench.clients.at_need_s = 3600  # the first one makes room for nobody
        await (await bench.caller()).answer_to_ping()
        many = [await bench.caller() for _ in range(3 * rejected_connection.MAX_REJECTED_CONNECTIONS)]
        await soon(lambda: bench.clients.events.counts[ClientEvent.REJECTED] == len(many))
        await soon(
            lambda: len(bench.clients.rejected.connections) <= rejected_connection.MAX_REJECTED_CONNECTIONS
        )
