"""What routers tell one another: the datagram, what it may do to the decisions, and what it may not."""

import asyncio
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support import MILLI, SECOND, START, Router, settings

from rainhitch import interface as api
from rainhitch.fleet.advice import MOST_BYTES, MOST_ENTRIES, AdviceError, decode, encode, hashes
from rainhitch.fleet.peers import Peers, join

NAMES = [f"s-{n}" for n in range(200)]


def test_a_datagram_brings_what_was_seen() -> None:
    seen = [api.Seen("s-1", 3, 400 * MILLI), api.Seen("s-2", 1, 8 * MILLI)]
    assert decode(encode(seen), hashes(NAMES)) == seen
    assert decode(encode(seen), hashes(["s-2"])) == seen[1:], "who is not listed here is left out"


def test_a_datagram_holds_256_bytes_and_the_most_frequent() -> None:
    seen = [api.Seen(name, 1 + n, 4 * MILLI) for n, name in enumerate(NAMES)]
    data = encode(seen)
    assert len(data) <= MOST_BYTES
    told = decode(data, hashes(NAMES))
    assert len(told) == MOST_ENTRIES and min(one.answers for one in told) > 200 - MOST_ENTRIES
    assert decode(encode([api.Seen("s-1", 999, 10**15)]), hashes(NAMES))[0].answers == 255


@given(st.binary(max_size=300))
def test_noise_is_turned_down_or_names_listed_servers(data: bytes) -> None:
    try:
        told = decode(data, hashes(NAMES))
    except AdviceError:
        return
    assert all(one.server in NAMES and one.answers for one in told)


@pytest.mark.parametrize("cut", [1, 3, 4, 10])
def test_a_truncated_datagram_is_turned_down(cut: int) -> None:
    with pytest.raises(AdviceError):
        decode(encode([api.Seen("s-1", 3, SECOND)])[:-cut], hashes(NAMES))


def test_another_routers_word_cuts_a_slow_servers_range_and_a_quick_ones_restores_it() -> None:
    """Each router saw a hot server every few seconds and went on filling it for tens of seconds."""
    router = Router(settings(balancers=40))
    server = router.balancer.fleet.servers["c0"]
    for _ in range(4):
        router.wait(2 * SECOND)
        router.tell(api.Heard([api.Seen("c0", 1, SECOND)]))
    assert server.share < 0.4 and server.latency > SECOND / 4
    for _ in range(40):
        router.tell(api.Heard([api.Seen("c0", 1, 20 * MILLI)]))
    assert server.share == 1.0 and server.latency < SECOND / 8


def test_advice_names_no_new_server_and_leaves_the_origin_to_the_throttle() -> None:
    router = Router()
    origin = router.balancer.fleet.origin
    assert origin is not None
    before = origin.latency
    assert router.tell(api.Heard([api.Seen("origin", 9, 9 * SECOND), api.Seen("nobody", 9, SECOND)])) == []
    assert origin.latency == before and "nobody" not in router.balancer.fleet.servers


def test_what_was_seen_is_told_once_and_only_where_there_is_somebody_to_tell() -> None:
    for every in (0, SECOND):
        router = Router(settings(tell_every=every))
        _, (first,) = router.ask("k")
        assert isinstance(first, api.Send)
        server = first.server
        router.now += 100 * MILLI
        router.end(first, api.Status.MISS)
        router.balancer.fleet.observe(api.Outcome("x", 0, server, api.Status.OK, True, 80 * MILLI))
        told = [one for one in router.wait(5 * SECOND) if isinstance(one, api.Tell)]
        assert told == ([api.Tell([api.Seen(server, 1, 80 * MILLI)])] if every else [])
    assert router.now > START


async def test_peers_hear_one_another_and_nobody_else() -> None:
    heard: asyncio.Queue[api.Heard] = asyncio.Queue()
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as friend,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger,
    ):
        friend.bind(("127.0.0.1", 0))
        stranger.bind(("127.0.0.1", 0))
        friend.settimeout(20)
        names = ["s-1"]
        peers = Peers([friend.getsockname()], friend.getsockname(), heard.put_nowait)
        peers.listed(names)
        assert await join(("127.0.0.1", 0), peers)
        assert peers.transport is not None
        here = peers.transport.get_extra_info("sockname")
        word = encode([api.Seen("s-1", 2, 40 * MILLI), api.Seen("s-2", 1, 40 * MILLI)])
        stranger.sendto(word, here)
        friend.sendto(b"noise", here)
        friend.sendto(word, here)
        assert await asyncio.wait_for(heard.get(), 20) == api.Heard([api.Seen("s-1", 2, 40 * MILLI)])
        names.append("s-2")
        peers.listed(names)
        friend.sendto(word, here)
        assert len((await asyncio.wait_for(heard.get(), 20)).seen) == 2, "the list has changed"
        assert peers.counts.since["words"]["unread"] == 2 and heard.empty()
        peers.send([api.Seen("s-1", 1, SECOND)])
        assert decode(friend.recv(512), hashes(names)) == [api.Seen("s-1", 1, SECOND)]
        peers.close()


async def test_a_port_that_is_taken_leaves_the_router_alone_but_running() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind(("127.0.0.1", 0))
        peers = Peers([], ("127.0.0.1", 9), lambda _: None)
        assert not await join(taken.getsockname(), peers)
        peers.send([api.Seen("s-1", 1, SECOND)])
