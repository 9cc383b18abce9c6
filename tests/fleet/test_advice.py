"""What routers tell one another: the datagram, what it may do to the decisions, and what it may not."""

import asyncio
import socket
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support import MILLI, SECOND, START, Router, settings

from rainhitch import interface as api
from rainhitch.fleet.gossip_codec import (
    MOST_BYTES,
    MOST_ENTRIES,
    TIMES,
    GossipCodecError,
    decode,
    encode,
    hashes,
    short,
)
from rainhitch.fleet.gossip_exchange import GossipExchange
from rainhitch.fleet.gossip_transport import GossipTransport, join
from rainhitch.fleet.novelty_filter import NoveltyFilter
from rainhitch.fleet.options import FleetOptions

NAMES = [f"s-{n}" for n in range(200)]


def near(told: list[api.LatencyObservation], seen: list[api.LatencyObservation]) -> bool:
    """Whether the same servers are told of, with times within half a step of the code."""
    return [(one.server, one.is_in_flight) for one in told] == [
        (one.server, one.is_in_flight) for one in seen
    ] and all(
        abs(mine.elapsed_ns / other.elapsed_ns - 1) < 0.051 for mine, other in zip(told, seen, strict=True)
    )


def test_a_datagram_brings_what_was_seen() -> None:
    seen = [
        api.LatencyObservation("s-1", 400 * MILLI),
        api.LatencyObservation("s-2", 8 * MILLI),
        api.LatencyObservation("s-1", 90 * SECOND, True),
    ]
    data = encode(seen)
    assert near(decode(data, hashes(NAMES)), seen) and len(data) == 1 + 3 * len(seen)
    assert near(decode(data, hashes(["s-2"])), seen[1:2]), "who is not listed here is left out"


@given(st.integers(0, 10**15))
def test_a_time_is_told_to_a_twentieth_between_a_millisecond_and_four_minutes(elapsed: int) -> None:
    (told,) = decode(encode([api.LatencyObservation("s-1", elapsed)]), hashes(NAMES))
    assert told.elapsed_ns == pytest.approx(min(max(elapsed, TIMES[0]), TIMES[-1]), rel=0.051)
    assert encode([told]) == encode([api.LatencyObservation("s-1", elapsed)]), (
        "what was told is told on the same"
    )


def test_a_datagram_holds_256_bytes_and_leaves_out_the_rest() -> None:
    seen = [api.LatencyObservation(name, 4 * MILLI) for name in NAMES]
    data = encode(seen)
    assert len(data) <= MOST_BYTES
    assert near(decode(data, hashes(NAMES)), seen[:MOST_ENTRIES])


def test_servers_that_share_a_hash_are_not_told_apart_and_so_not_told_of() -> None:
    """Guards against one server's answer times taken for another's."""
    first: dict[int, str] = {}
    for number in range(100_000):
        name = f"s-{number}"
        twin = first.setdefault(short(name), name)
        if twin != name:
            break
    assert hashes([twin, name]) == {} and hashes([twin]) == {short(name): twin}


@given(st.binary(max_size=300))
def test_noise_is_turned_down_or_names_listed_servers(data: bytes) -> None:
    try:
        told = decode(data, hashes(NAMES))
    except GossipCodecError:
        return
    assert all(one.server in NAMES and one.elapsed_ns > 0 for one in told)


@pytest.mark.parametrize("cut", [1, 2, 4, 7])
def test_a_truncated_datagram_is_turned_down(cut: int) -> None:
    with pytest.raises(GossipCodecError):
        decode(
            encode([api.LatencyObservation("s-1", SECOND), api.LatencyObservation("s-2", SECOND)])[:-cut],
            hashes(NAMES),
        )


def test_another_routers_word_cuts_a_slow_servers_range_and_a_quick_ones_restores_it() -> None:
    """Each router saw a hot server every few seconds and went on filling it for tens of seconds."""
    router = Router(settings(router_count=40))
    server = router.balancer.servers.servers["c0"]
    for _ in range(4):
        router.wait(2 * SECOND)
        router.tell(api.GossipReceived([api.LatencyObservation("c0", SECOND)]))
    assert server.range_share < 0.4 and server.latency_ns > SECOND / 4
    for _ in range(40):
        router.tell(api.GossipReceived([api.LatencyObservation("c0", 20 * MILLI)]))
    assert server.range_share == 1.0 and server.latency_ns < SECOND / 8


def test_advice_names_no_new_server_and_leaves_the_origin_to_the_throttle() -> None:
    router = Router()
    origin = router.balancer.servers.origin
    assert origin is not None
    before = origin.latency_ns
    assert (
        router.tell(
            api.GossipReceived(
                [api.LatencyObservation("origin", 9 * SECOND), api.LatencyObservation("nobody", SECOND)]
            )
        )
        == []
    )
    assert origin.latency_ns == before and "nobody" not in router.balancer.servers.servers


def test_what_was_seen_is_told_once_and_only_where_there_is_somebody_to_tell() -> None:
    for every in (0, SECOND):
        router = Router(settings(gossip_interval_ns=every))
        _, (first,) = router.ask("k")
        assert isinstance(first, api.StartAttempt)
        server = first.server
        router.now += 100 * MILLI
        router.end(first, api.AttemptStatus.MISS)
        router.balancer.servers.attempt_finished(
            api.AttemptFinished("x", 0, server, api.AttemptStatus.OK, True, 80 * MILLI)
        )
        told = [one for one in router.wait(5 * SECOND) if isinstance(one, api.PublishGossip)]
        assert [one.observations for one in told if one.observations] == (
            [[api.LatencyObservation(server, 80 * MILLI)]] if every else []
        )
        assert bool(told) is (every > 0), "once a period, whether or not anything was seen"
    assert router.now > START


@given(st.lists(st.tuples(st.sampled_from(["heard", "worth"]), st.sampled_from(NAMES[:4]))))
def test_what_another_has_told_since_this_one_did_is_not_told_again(steps: list[tuple[str, str]]) -> None:
    """Guards against two hundred routers that tell the same: each word is paid for at all of them."""
    words, known = NoveltyFilter(), set()
    for step, name in steps:
        seen = [api.LatencyObservation(name, 80 * MILLI)]
        if step == "heard":
            words.record_published(seen)
            known.add(name)
        else:
            assert words.select_new(seen) == ([] if name in known else seen)
            known.clear()


async def test_peers_hear_one_another_and_nobody_else() -> None:
    heard: asyncio.Queue[Any] = asyncio.Queue()
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as friend,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger,
    ):
        friend.bind(("127.0.0.1", 0))
        stranger.bind(("127.0.0.1", 0))
        friend.settimeout(20)
        names = ["s-1"]
        exchange = GossipExchange(0, 2, 1, 1, 0, 7, FleetOptions(counts=False))
        peers = GossipTransport(
            exchange, [("127.0.0.1", 9), friend.getsockname()], friend.getsockname(), heard.put_nowait
        )
        peers.set_servers(names)
        assert await join(("127.0.0.1", 0), peers)
        assert peers.transport is not None
        here = peers.transport.get_extra_info("sockname")
        word = encode([api.LatencyObservation("s-1", 40 * MILLI), api.LatencyObservation("s-2", 40 * MILLI)])
        stranger.sendto(word, here)
        friend.sendto(b"noise", here)
        friend.sendto(word, here)
        assert near(
            (await asyncio.wait_for(heard.get(), 20)).observations,
            [api.LatencyObservation("s-1", 40 * MILLI)],
        )
        names.append("s-2")
        peers.set_servers(names)
        friend.sendto(word, here)
        assert len((await asyncio.wait_for(heard.get(), 20)).observations) == 2, "the list has changed"
        assert peers.counts.counters["words"]["unread"] == 2 and heard.empty()
        for elapsed in (8 * SECOND, SECOND):  # the first is left out: another has just told of this server
            peers.publish([api.LatencyObservation("s-1", elapsed)])
        assert near(decode(friend.recv(512), hashes(names)), [api.LatencyObservation("s-1", SECOND)])
        peers.close()


async def test_a_port_that_is_taken_leaves_the_router_alone_but_running() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind(("127.0.0.1", 0))
        peers = GossipTransport(
            GossipExchange(0, 1, 1, 1, 0, 7, FleetOptions()), [], ("127.0.0.1", 9), lambda _: None
        )
        assert not await join(taken.getsockname(), peers)
        peers.publish([api.LatencyObservation("s-1", SECOND)])
