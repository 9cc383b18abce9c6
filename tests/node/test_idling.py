"""For how long connections to servers may be idle, by how many new ones find room."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st
from support import MILLI, SECOND, Router, fleet

from rainhitch import interface as api
from rainhitch.node.idling import LEAST, Idling

S = api.Status


def test_full_tables_shorten_it_and_room_brings_it_back() -> None:
    one = Idling(10.0)
    for _ in range(100):
        one.ended(S.FULL)
    assert one.span == LEAST
    for _ in range(1000):
        one.ended(S.MISS)
    assert one.span == 10.0


@given(st.floats(0.05, 60), st.lists(st.sampled_from(list(S)), max_size=200))
def test_it_stays_within_its_bounds(most: float, endings: list[S]) -> None:
    one = Idling(most)
    for status in endings:
        one.ended(status)
        assert min(LEAST, most) <= one.span <= most


def test_routers_that_share_a_table_too_small_for_all_come_to_rest_where_few_are_turned_away() -> None:
    """A hundred routers, a server with forty places, each router asks it every five seconds: with what an
    operator may set, ten seconds, the table is always full of idle connections."""
    routers = [Idling(10.0) for _ in range(100)]
    held: dict[int, float] = {}  # until when a router's connection idles
    refused = asked = 0
    random = Random(7)
    for step in range(100 * 60):
        now, router = step / 20, random.randrange(100)
        held = {one: until for one, until in held.items() if until > now}
        if router not in held:
            full = len(held) >= 40
            routers[router].ended(S.FULL if full else S.OK)
            if step > 100 * 30:
                refused += full
                asked += 1
            if full:
                continue
        held[router] = now + routers[router].span
    assert asked > 1000 and refused < 0.15 * asked


def test_full_tables_that_have_emptied_are_found_out_by_a_router_that_keeps_to_its_own_connections() -> None:
    """Guards keys against a latch: once most connects had been refused, each router went on with the
    connections that it had, opened none and so learned nothing more, and its keys were read at servers that
    don't own them."""
    router = Router(members=fleet(20))
    taken = {f"c{n}" for n in range(0, 20, 4)}

    def ask(name: str, room: bool) -> int:
        _, actions = router.ask(name)
        for attempt in range(4):
            (send,) = actions
            if not isinstance(send, api.Send):
                return attempt
            if room or send.server in taken:
                router.end(send, S.OK, attempt, 10 * MILLI)
                return attempt
            actions = router.end(send, S.FULL, attempt, MILLI, reused=False)
        return 4

    for n in range(60):
        ask(f"k{n}", room=False)
        router.wait(SECOND // 10)
    assert router.balancer.fleet.crowding() > 1 / 2
    elsewhere = 0
    for n in range(200):
        _, (send,) = router.ask(f"new{n}")
        assert isinstance(send, api.Send)
        owner = router.balancer.placement.ranges.locate(f"new{n}")[2][0]
        elsewhere += n >= 60 and send.server != owner
        router.end(send, S.OK, 0, 10 * MILLI)
        router.wait(SECOND // 10)
    assert elsewhere <= 14, "with room again, keys are read at their owners"
