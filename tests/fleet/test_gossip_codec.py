"""Datagrams of latency observations."""

import pytest
from gossip import near
from hypothesis import given
from hypothesis import strategies as st
from support import MILLI, SECOND

from rainhitch import interface as api
from rainhitch.fleet.gossip_codec import (
    MAX_DATAGRAM_BYTES,
    MAX_ENTRIES,
    TIMES_NS,
    GossipCodecError,
    decode,
    encode,
    names_by_hash,
    server_hash,
)

NAMES = [f"s-{n}" for n in range(200)]


def test_a_datagram_is_decoded_to_the_encoded_observations() -> None:
    observations = [
        api.LatencyObservation("s-1", 400 * MILLI),
        api.LatencyObservation("s-2", 8 * MILLI),
        api.LatencyObservation("s-1", 90 * SECOND, True),
    ]
    data = encode(observations)
    assert near(decode(data, names_by_hash(NAMES)), observations) and len(data) == 1 + 3 * len(observations)
    assert near(decode(data, names_by_hash(["s-2"])), observations[1:2]), "an unlisted server is left out"


@given(st.integers(0, 10**15))
def test_a_time_is_encoded_to_a_twentieth_between_a_millisecond_and_three_minutes(elapsed: int) -> None:
    (decoded,) = decode(encode([api.LatencyObservation("s-1", elapsed)]), names_by_hash(NAMES))
    assert decoded.elapsed_ns == pytest.approx(min(max(elapsed, TIMES_NS[0]), TIMES_NS[-1]), rel=0.051)
    assert encode([decoded]) == encode([api.LatencyObservation("s-1", elapsed)]), (
        "a decoded time is encoded as it was received"
    )


def test_a_datagram_holds_256_bytes_and_leaves_out_the_rest() -> None:
    observations = [api.LatencyObservation(name, 4 * MILLI) for name in NAMES]
    data = encode(observations)
    assert len(data) <= MAX_DATAGRAM_BYTES
    assert near(decode(data, names_by_hash(NAMES)), observations[:MAX_ENTRIES])


def test_servers_that_share_a_hash_are_left_out() -> None:
    """Guards against one server's latencies being attributed to another."""
    first: dict[int, str] = {}
    for number in range(100_000):
        name = f"s-{number}"
        twin = first.setdefault(server_hash(name), name)
        if twin != name:
            break
    assert names_by_hash([twin, name]) == {} and names_by_hash([twin]) == {server_hash(name): twin}


@given(st.binary(max_size=300))
def test_malformed_datagrams_are_refused_or_name_listed_servers(data: bytes) -> None:
    try:
        decoded = decode(data, names_by_hash(NAMES))
    except GossipCodecError:
        return
    assert all(observation.server in NAMES and observation.elapsed_ns > 0 for observation in decoded)


@pytest.mark.parametrize("cut", [1, 2, 4, 7])
def test_a_truncated_datagram_is_refused(cut: int) -> None:
    with pytest.raises(GossipCodecError):
        decode(
            encode([api.LatencyObservation("s-1", SECOND), api.LatencyObservation("s-2", SECOND)])[:-cut],
            names_by_hash(NAMES),
        )
