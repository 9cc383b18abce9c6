"""Several router processes in a simulated environment, with faults between them.

The tests check the bounds of what routers share by the records of the fake database and the fake nodes, and
by each router's view of the fleet.
"""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import pytest
from lossy import SECOND

from rainhitch.cli.fleet import ask_all
from rainhitch.rehearsal.environment import Environment
from rainhitch.rehearsal.plan import PlannedRequest, draw_plan
from rainhitch.rehearsal.router_process import RouterProcess
from rainhitch.rehearsal.runner import rainhitch_command
from rainhitch.rehearsal.scenario import scenario_of

Json = dict[str, Any]
QUOTA_PER_S = 24.0  # quota of all routers together, reads of the database a second
MAX_CONCURRENT_DAYS = 4  # maximum number of days that are played concurrently


class ObservedEnvironment(Environment):
    """Environment of a day that keeps its routers' logs and regularly requests their views of the fleet."""

    def make_router(self, number: int, config: Json) -> RouterProcess:
        """Makes a router process with an admin endpoint."""
        if not hasattr(self, "admins"):
            self.admins: list[tuple[str, int]] = []
            self.views: list[tuple[float, list[Json]]] = []  # seconds since scoring began, views by router
        self.admins.append(("127.0.0.1", self.free_port()))
        config["admin_addr"] = "{}:{}".format(*self.admins[-1])
        return super().make_router(number, config)

    async def _run_timeline(self, clients: Any) -> None:
        polling = asyncio.get_running_loop().create_task(self._poll_views())
        try:
            await super()._run_timeline(clients)
        finally:
            polling.cancel()

    async def _poll_views(self) -> None:
        while True:
            views = await ask_all(self.admins)
            self.views.append(((asyncio.get_running_loop().time() * SECOND - self.zero_ns) / SECOND, views))
            await asyncio.sleep(0.25)

    async def _collect_records(self) -> Json:
        rows = await super()._collect_records()
        rows["logs"] = [router.log.read_text(errors="replace") for router in self.routers]
        rows["views"] = self.views
        return rows


def make_day(
    routers: int,
    faults: list[Json],
    operator: str = "",
    length_s: float = 8.0,
    change: Callable[[list[PlannedRequest]], None] = lambda asks: None,
    **traffic: Any,
) -> ObservedEnvironment:
    """Returns a day with `routers` router processes and these faults."""
    scenario = scenario_of(
        {
            "about": "what routers share",
            "must": "its bounds",
            "day": {"length_s": length_s, "prelude_s": 1.0},
            "fleet": {
                "rooms": ["neihu"],
                "routers": routers,
                "memory_keys": 30,
                "nodes": [{"name": "full-node", "count": 4, "cores": 8, "speed": 1.0}],
            },
            "database": {"workers": 40, "queue": 400, "time_ms": 20.0},
            "traffic": {"rate": 90.0, "quota_rps": 200.0, "keys": 20000, "zipf": 0.0, **traffic},
            "faults": faults,
        },
        "processes",
    )
    plan = draw_plan(scenario, "processes", 7)
    change(plan.asks)
    return ObservedEnvironment(scenario, plan, rainhitch_command(), operator_config=operator)


def database_reads(records: Json) -> list[tuple[float, int]]:
    """Returns the time, s since scoring began, and the router of each read that the database received."""
    rows = [read for read in records["parts"]["centre"]["fetches"] if not read["write"]]
    return sorted(((read["last"] - records["zero"]) / SECOND, read["router"]) for read in rows)


def max_within(times: list[float], span: float) -> int:
    """Returns the largest number of events within any `span` seconds."""
    most = first = 0
    for last, at in enumerate(times):
        while times[first] < at - span:
            first += 1
        most = max(most, last - first + 1)
    return most


def direct_to_router(router: int, fraction: float) -> Callable[[list[PlannedRequest]], None]:
    """Returns a change of the plan that sends `fraction` of the requests to one router."""

    def change(asks: list[PlannedRequest]) -> None:
        for number, ask in enumerate(asks):
            if ask.at >= 0 and number % 100 < 100 * fraction:
                ask.router = router

    return change


QUOTA_FAULTS: list[Json] = [
    {"kind": "messages-doubled", "at_s": 0.5, "for_s": 9.0, "share": 0.5},
    {"kind": "messages-shuffled", "at_s": 0.5, "for_s": 9.0, "delay_s": 2.0},
    {"kind": "routers-apart", "at_s": 5.0, "for_s": 2.0, "group": [0]},
    {"kind": "routers-apart", "at_s": 7.5, "for_s": 2.0, "group": [1, 2], "oneway": True},
    {"kind": "router-pause", "at_s": 5.5, "for_s": 3.0, "router": 1},
    {"kind": "router-kill", "at_s": 6.0, "for_s": 0.5, "router": 2},
]
DATAGRAM_FAULTS: list[Json] = [
    {"kind": "messages-lost", "at_s": 2.0, "for_s": 8.0, "share": 0.3},
    {"kind": "messages-doubled", "at_s": 2.0, "for_s": 8.0, "share": 0.5},
    {"kind": "messages-late", "at_s": 2.0, "for_s": 8.0, "delay_s": 0.5},
]
LONG_PAUSE: list[Json] = [{"kind": "router-pause", "at_s": 2.0, "for_s": 4.0, "router": 0}]
SERVER_FAULTS: list[Json] = [
    {"kind": "node-silent", "at_s": 1.0, "for_s": 5.0, "node": "neihu-0"},
    {"kind": "link-delay", "at_s": 1.0, "for_s": 5.0, "router": 1, "node": "neihu-1", "delay_s": 0.2},
    {"kind": "database-slow", "at_s": 2.0, "for_s": 3.0, "factor": 20.0},
    {"kind": "router-restart", "at_s": 3.0, "router": 2},
]
ROUTER_FAILURES: list[Json] = [
    {"kind": "router-kill", "at_s": 1.0, "for_s": 100.0, "router": 4},
    {"kind": "router-pause", "at_s": 1.0, "for_s": 12.0, "router": 3},
]
QUOTA_CONFIG = f"[routers]\ndatabase_rps = {QUOTA_PER_S}\nmembers = true\n"


def concentrate_small_tenant(asks: list[PlannedRequest]) -> None:
    """Sends all requests of a small tenant to router 0 and all others to the other routers."""
    for ask in asks:
        if ask.at >= 0:
            ask.customer = min(ask.customer, 1)
            ask.router = 0 if ask.customer == 1 else 1 + ask.at % 2


def reconnect_often(asks: list[PlannedRequest]) -> None:
    """Opens a new connection for a third of the requests, as clients reuse only connections that answer."""
    for ask in asks[::3]:
        ask.fresh = True


def disconnect_early(asks: list[PlannedRequest]) -> None:
    """Has half of the clients disconnect after 30 to 230 ms."""
    for number, ask in enumerate(asks[::2]):
        for planned_try in ask.tries:
            planned_try.leaves_us = 30_000 + number * 7919 % 200_000
    reconnect_often(asks)


def days() -> dict[str, ObservedEnvironment]:
    """Returns all days of this file by name."""
    most_to_first = direct_to_router(0, 0.9)
    return {
        "total": make_day(4, [], QUOTA_CONFIG, 9.0, most_to_first),
        "total, faults": make_day(4, QUOTA_FAULTS, QUOTA_CONFIG, 11.0, most_to_first),
        "no total": make_day(4, [], "", 5.0, most_to_first),
        "counted": make_day(
            3, DATAGRAM_FAULTS, "[routers]\ncounts = true\n", 10.0, concentrate_small_tenant, keys=60
        ),
        "not counted": make_day(
            3, DATAGRAM_FAULTS, "[routers]\ncounts = false\n", 10.0, concentrate_small_tenant, keys=60
        ),
        "stopped": make_day(3, LONG_PAUSE, "", 8.0, reconnect_often, rate=150.0),
        "left": make_day(3, SERVER_FAULTS, "", 8.0, disconnect_early, rate=150.0),
        "gone": make_day(5, ROUTER_FAILURES, "[routers]\nmembers = true\n", 20.0, rate=20.0),
    }


async def play_all() -> dict[str, Json]:
    free = asyncio.Semaphore(MAX_CONCURRENT_DAYS)

    async def play(day: ObservedEnvironment) -> Json:
        async with free:
            records = await day.play()
        assert all(router["crash"] is None for router in records["routers"]), records["logs"]
        return records | {"asks": sum(ask.at >= 0 for ask in day.plan.asks)}

    played = days()
    made = await asyncio.gather(*(play(day) for day in played.values()))
    return dict(zip(played, made, strict=True))


@pytest.fixture(scope="module")
def records() -> dict[str, Json]:
    """Records of all days by name; `MAX_CONCURRENT_DAYS` days are played at a time."""
    return asyncio.run(play_all())


@pytest.mark.parametrize("name", ["total", "total, faults"])
def test_processes_reads_of_the_database_stay_within_the_quota(records: dict[str, Json], name: str) -> None:
    """Four router processes share a quota, and nine tenths of the requests go to one of them.

    Leases move the quota to that router. Despite duplicated and delayed datagrams, cuts in both directions
    and in one, a process that is paused beyond the end of its leases and one that is killed and restarted,
    the database receives no more reads in any span of time than the quota and the contents of the buckets.
    """
    times = [at for at, _ in database_reads(records[name]) if at >= 0]
    for span in (0.5, 1.0, 2.0, 4.0, 8.0):
        assert max_within(times, span) <= QUOTA_PER_S * span + QUOTA_PER_S + 2 * 4, f"in {span} s"
    assert records[name]["asks"] > 2 * QUOTA_PER_S * 9, "the demand is far above the quota"
    for _, views in records[name]["views"]:
        held = [view["holds"]["now"] for view in views if "holds" in view]
        assert sum(held) <= QUOTA_PER_S * 4 / 3, "views are taken one by one, so a lease may end in between"


def test_processes_lend_their_quota_to_the_one_that_needs_it(records: dict[str, Json]) -> None:
    own = QUOTA_PER_S / 4
    late = [router for at, router in database_reads(records["total"]) if 5 <= at < 9]
    assert late.count(0) > 1.5 * (4 * own + own), "its own share and a full bucket give 4 s and 1 s of it"
    held = [view["holds"]["now"] for at, fleet in records["total"]["views"] if at >= 5 for view in fleet[:1]]
    assert max(held) > 2 * own and min(held) >= own, "the other routers lend to it"


def test_processes_without_a_quota_send_the_database_all_reads(records: dict[str, Json]) -> None:
    """Without the quota the same load exceeds the bound of the test above."""
    times = [at for at, _ in database_reads(records["no total"]) if at >= 0]
    assert max_within(times, 4.0) > QUOTA_PER_S * 4.0 + QUOTA_PER_S + 2 * 4


def over_quota_fraction(day: Json, tenant: str, after: float = 6.0) -> float:
    """Returns the fraction of a tenant's requests marked over quota, from `after` s after the first on."""
    marked = total = 0
    for log in day["logs"]:
        seconds = [
            json.loads(line.partition(" second ")[2]) for line in log.splitlines() if " second {" in line
        ]
        first = next(second["at"] for second in seconds if second["taken"])
        for second in seconds:
            for name, count in second.get("customers", {}).items() if second["at"] >= first + after else ():
                if name.startswith(tenant):
                    total += count
                    marked += count * name.startswith(tenant + "+")
    assert total > 60
    return marked / total


def test_processes_a_tenant_within_its_quota_is_not_over_quota_where_its_load_comes_to_one_router(
    records: dict[str, Json],
) -> None:
    """Three router processes, one of which receives all requests of a small tenant.

    Datagrams are lost, duplicated and delayed. With usage reports hardly any of the tenant's requests are
    counted as over its quota; without them many are.
    """
    assert over_quota_fraction(records["counted"], "xinzhu-textile") <= 0.05
    assert over_quota_fraction(records["not counted"], "xinzhu-textile") > 0.2


def attempts_for_departed_clients(day: Json, router: int) -> tuple[int, int]:
    """Counts the attempts of a router in the second after it resumed from a pause.

    Returns the number of those whose client had disconnected or timed out, and the number of all.
    """
    clients = [
        client for part, rows in day["parts"].items() if part[:7] == "clients" for client in rows["sent"]
    ]
    left_at = {
        client["id"]: client["left"] or client["sent"] + client["wait"]
        for client in clients
        if client["sent"]
    }
    (resumed_at,) = [at for what, at in day["routers"][router]["events"] if what == "wake"]
    nodes = [
        attempt for part, rows in day["parts"].items() if part[:5] == "nodes" for attempt in rows["attempts"]
    ]
    mine = [
        attempt
        for attempt in nodes + day["parts"]["centre"]["fetches"]
        if attempt["router"] == router and resumed_at <= attempt["first"] <= resumed_at + SECOND
    ]
    return sum(
        attempt["first"] > left_at.get(attempt["id"], 1 << 62) + SECOND // 20 for attempt in mine
    ), len(mine)


def test_processes_a_paused_router_starts_no_attempt_for_clients_that_left(
    records: dict[str, Json],
) -> None:
    """Three router processes, one of which is paused for four seconds under load.

    After the pause its timers fire before its sockets are read, and the requests waiting there look new.
    Without pause detection it would start attempts for clients that have left in the meantime; with it there
    are none.
    """
    departed, sent = attempts_for_departed_clients(records["stopped"], 0)
    assert departed == 0 and sent > 0
    assert any("router resumed after a pause" in line for line in records["stopped"]["logs"][0].splitlines())


def test_processes_start_no_attempt_for_clients_that_left(records: dict[str, Json]) -> None:
    """No attempt starts for a client that left long ago, while half of the clients leave early.

    During the test a server is silent, a link is slow, the database is slow and a router restarts. The margin
    of half a second allows for a slow machine; on an idle machine no attempt arrives after its client has
    left.
    """
    parts = records["left"]["parts"]
    clients = [client for name, rows in parts.items() if name[:7] == "clients" for client in rows["sent"]]
    left = {client["id"]: client["left"] for client in clients if client["left"]}
    nodes = [attempt for name, rows in parts.items() if name[:5] == "nodes" for attempt in rows["attempts"]]
    begun = [attempt for attempt in nodes + parts["centre"]["fetches"] if attempt["id"] in left]
    late = [attempt for attempt in begun if attempt["first"] > left[attempt["id"]] + SECOND // 2]
    assert len(left) > 100 and len(begun) > 100 and not late


def test_processes_detect_a_dead_router_and_one_resumed_late_declares_nobody_dead(
    records: dict[str, Json],
) -> None:
    """Five router processes: one is killed permanently, one is paused and resumes.

    The others detect both failures. The resumed router declares none of the others dead, and they soon count
    it as alive again.
    """
    views = records["gone"]["views"]
    away = [fleet for at, fleet in views if 11 <= at < 12.5]
    assert any(all(view.get("gone") == [3, 4] for view in fleet[:3]) for fleet in away), away
    assert [view.get("gone") for view in views[-1][1][:4]] == [[4]] * 4, views[-1]
    for at, fleet in views:
        if at > 13.2:
            assert fleet[3].get("gone", [4]) in ([], [4]), "the resumed router declared a live router dead"
