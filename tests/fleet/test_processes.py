"""Several processes of the program, in a world of stand-ins, with faults between them.

What they share stays within its bounds. Counted where it counts: at the stand-in database, at the stand-in
nodes, and in what each router believes.
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
TOTAL = 24.0  # reads of the database a second that all routers may send
AT_ONCE = 4  # days side by side


class Watched(Environment):
    """A day that keeps what its routers wrote, and asks them now and then what they believe."""

    def make_router(self, number: int, config: Json) -> RouterProcess:
        """Makes a router's process, with an operators' endpoint that is asked later."""
        if not hasattr(self, "admins"):
            self.admins: list[tuple[str, int]] = []
            self.views: list[tuple[float, list[Json]]] = []  # seconds from the first scored one; by router
        self.admins.append(("127.0.0.1", self.free_port()))
        config["admin_addr"] = "{}:{}".format(*self.admins[-1])
        return super().make_router(number, config)

    async def _run_timeline(self, clients: Any) -> None:
        looking = asyncio.get_running_loop().create_task(self._look())
        try:
            await super()._run_timeline(clients)
        finally:
            looking.cancel()

    async def _look(self) -> None:
        while True:
            views = await ask_all(self.admins)
            self.views.append(((asyncio.get_running_loop().time() * SECOND - self.zero_ns) / SECOND, views))
            await asyncio.sleep(0.25)

    async def _collect_records(self) -> Json:
        rows = await super()._collect_records()
        rows["logs"] = [one.log.read_text(errors="replace") for one in self.routers]
        rows["views"] = self.views
        return rows


def stage(
    routers: int,
    faults: list[Json],
    operator: str = "",
    length_s: float = 8.0,
    change: Callable[[list[PlannedRequest]], None] = lambda asks: None,
    **traffic: Any,
) -> Watched:
    """A day of so many processes."""
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
    return Watched(scenario, plan, rainhitch_command(), operator_config=operator)


def reads(ledgers: Json) -> list[tuple[float, int]]:
    """When the database got each read, in seconds from the first scored one, and from which router."""
    rows = [one for one in ledgers["parts"]["centre"]["fetches"] if not one["write"]]
    return sorted(((one["last"] - ledgers["zero"]) / SECOND, one["router"]) for one in rows)


def most_within(times: list[float], span: float) -> int:
    """The most events in any stretch of that length."""
    most = first = 0
    for last, at in enumerate(times):
        while times[first] < at - span:
            first += 1
        most = max(most, last - first + 1)
    return most


def to_one(router: int, part: float) -> Callable[[list[PlannedRequest]], None]:
    """Sends so much of the load to one router."""

    def change(asks: list[PlannedRequest]) -> None:
        for number, ask in enumerate(asks):
            if ask.at >= 0 and number % 100 < 100 * part:
                ask.router = router

    return change


FAULTS: list[Json] = [
    {"kind": "messages-doubled", "at_s": 0.5, "for_s": 9.0, "share": 0.5},
    {"kind": "messages-shuffled", "at_s": 0.5, "for_s": 9.0, "delay_s": 2.0},
    {"kind": "routers-apart", "at_s": 5.0, "for_s": 2.0, "group": [0]},
    {"kind": "routers-apart", "at_s": 7.5, "for_s": 2.0, "group": [1, 2], "oneway": True},
    {"kind": "router-pause", "at_s": 5.5, "for_s": 3.0, "router": 1},
    {"kind": "router-kill", "at_s": 6.0, "for_s": 0.5, "router": 2},
]
WORDS: list[Json] = [
    {"kind": "messages-lost", "at_s": 2.0, "for_s": 8.0, "share": 0.3},
    {"kind": "messages-doubled", "at_s": 2.0, "for_s": 8.0, "share": 0.5},
    {"kind": "messages-late", "at_s": 2.0, "for_s": 8.0, "delay_s": 0.5},
]
PAUSE: list[Json] = [{"kind": "router-pause", "at_s": 2.0, "for_s": 4.0, "router": 0}]
LEFT: list[Json] = [
    {"kind": "node-silent", "at_s": 1.0, "for_s": 5.0, "node": "neihu-0"},
    {"kind": "link-delay", "at_s": 1.0, "for_s": 5.0, "router": 1, "node": "neihu-1", "delay_s": 0.2},
    {"kind": "database-slow", "at_s": 2.0, "for_s": 3.0, "factor": 20.0},
    {"kind": "router-restart", "at_s": 3.0, "router": 2},
]
GONE: list[Json] = [
    {"kind": "router-kill", "at_s": 1.0, "for_s": 100.0, "router": 4},
    {"kind": "router-pause", "at_s": 1.0, "for_s": 12.0, "router": 3},
]
HELD = f"[routers]\ndatabase_rps = {TOTAL}\nmembers = true\n"


def small_at_one(asks: list[PlannedRequest]) -> None:
    """All of a small customer's load comes to router 0."""
    for ask in asks:
        if ask.at >= 0:
            ask.customer = min(ask.customer, 1)
            ask.router = 0 if ask.customer == 1 else 1 + ask.at % 2


def often_anew(asks: list[PlannedRequest]) -> None:
    """Clients keep what answers: who was stopped gets new connections, or nothing for seconds."""
    for ask in asks[::3]:
        ask.fresh = True


def soon_gone(asks: list[PlannedRequest]) -> None:
    """Half of the clients leave after 30 to 230 ms."""
    for number, ask in enumerate(asks[::2]):
        for one in ask.tries:
            one.leaves_us = 30_000 + number * 7919 % 200_000
    often_anew(asks)


def days() -> dict[str, Watched]:
    """All days of this file."""
    mostly = to_one(0, 0.9)
    return {
        "total": stage(4, [], HELD, 9.0, mostly),
        "total, faults": stage(4, FAULTS, HELD, 11.0, mostly),
        "no total": stage(4, [], "", 5.0, mostly),
        "counted": stage(3, WORDS, "[routers]\ncounts = true\n", 10.0, small_at_one, keys=60),
        "not counted": stage(3, WORDS, "[routers]\ncounts = false\n", 10.0, small_at_one, keys=60),
        "stopped": stage(3, PAUSE, "", 8.0, often_anew, rate=150.0),
        "left": stage(3, LEFT, "", 8.0, soon_gone, rate=150.0),
        "gone": stage(5, GONE, "[routers]\nmembers = true\n", 20.0, rate=20.0),
    }


async def play_all() -> dict[str, Json]:
    free = asyncio.Semaphore(AT_ONCE)

    async def play(day: Watched) -> Json:
        async with free:
            ledgers = await day.play()
        assert all(one["crash"] is None for one in ledgers["routers"]), ledgers["logs"]
        return ledgers | {"asks": sum(ask.at >= 0 for ask in day.plan.asks)}

    played = days()
    made = await asyncio.gather(*(play(day) for day in played.values()))
    return dict(zip(played, made, strict=True))


@pytest.fixture(scope="module")
def ledgers() -> dict[str, Json]:
    """The days, played some at a time: their ledgers by name."""
    return asyncio.run(play_all())


@pytest.mark.parametrize("name", ["total", "total, faults"])
def test_processes_reads_of_the_database_stay_within_the_total(ledgers: dict[str, Json], name: str) -> None:
    """Four processes, nine tenths of the load at one of them.

    Loans move the total there, and through words that come twice and late, cuts both ways and one way, a
    process that is stopped past its loans' end and one that is killed and started anew, the database gets no
    more in any stretch than the total and what the banks hold.
    """
    times = [at for at, _ in reads(ledgers[name]) if at >= 0]
    for span in (0.5, 1.0, 2.0, 4.0, 8.0):
        assert most_within(times, span) <= TOTAL * span + TOTAL + 2 * 4, f"in {span} s"
    assert ledgers[name]["asks"] > 2 * TOTAL * 9, "far more was asked for"
    for _, views in ledgers[name]["views"]:
        held = [one["holds"]["now"] for one in views if "holds" in one]
        assert sum(held) <= TOTAL * 4 / 3, "asked one after the other: a loan may end in between"


def test_processes_lend_their_quota_to_the_one_that_needs_it(ledgers: dict[str, Json]) -> None:
    own = TOTAL / 4
    late = [router for at, router in reads(ledgers["total"]) if 5 <= at < 9]
    assert late.count(0) > 1.5 * (4 * own + own), "its own part and a full bank give 4 s and 1 s of it"
    held = [one["holds"]["now"] for at, told in ledgers["total"]["views"] if at >= 5 for one in told[:1]]
    assert max(held) > 2 * own and min(held) >= own, "the rest was lent to it"


def test_processes_without_a_total_send_the_database_all_reads(ledgers: dict[str, Json]) -> None:
    """The bound above is the mechanism's: without it the same load goes over it."""
    times = [at for at, _ in reads(ledgers["no total"]) if at >= 0]
    assert most_within(times, 4.0) > TOTAL * 4.0 + TOTAL + 2 * 4


def beyond(told: Json, customer: str, after: float = 6.0) -> float:
    """Which part of a customer's requests routers took to be beyond its share from then on."""
    marked = of = 0
    for log in told["logs"]:
        seconds = [
            json.loads(line.partition(" second ")[2]) for line in log.splitlines() if " second {" in line
        ]
        first = next(one["at"] for one in seconds if one["taken"])
        for one in seconds:
            for name, many in one.get("customers", {}).items() if one["at"] >= first + after else ():
                if name.startswith(customer):
                    of += many
                    marked += many * name.startswith(customer + "+")
    assert of > 60
    return marked / of


def test_processes_a_tenant_within_its_quota_is_not_over_quota_where_its_load_comes_to_one_router(
    ledgers: dict[str, Json],
) -> None:
    """Three processes; all of a small tenant's load comes to one of them.

    Datagrams are lost at times, doubled and late. With the counts next to nothing of it is taken to be beyond
    its share; without them much is.
    """
    assert beyond(ledgers["counted"], "xinzhu-textile") <= 0.05
    assert beyond(ledgers["not counted"], "xinzhu-textile") > 0.2


def sent_for_nobody(told: Json, router: int) -> tuple[int, int]:
    """Of a router's attempts in the second after it was let go on.

    Those for tries whose client had given up before, and all.
    """
    clients = [one for part, rows in told["parts"].items() if part[:7] == "clients" for one in rows["sent"]]
    over = {one["id"]: one["left"] or one["sent"] + one["wait"] for one in clients if one["sent"]}
    (woke,) = [at for what, at in told["routers"][router]["events"] if what == "wake"]
    nodes = [one for part, rows in told["parts"].items() if part[:5] == "nodes" for one in rows["attempts"]]
    mine = [
        one
        for one in nodes + told["parts"]["centre"]["fetches"]
        if one["router"] == router and woke <= one["first"] <= woke + SECOND
    ]
    return sum(one["first"] > over.get(one["id"], 1 << 62) + SECOND // 20 for one in mine), len(mine)


def test_processes_a_router_that_was_stopped_starts_no_attempt_for_clients_that_left(
    ledgers: dict[str, Json],
) -> None:
    """Three processes, one stopped for four seconds under load.

    Nothing goes out for clients that have given up meanwhile, though its timers come before its sockets are
    read, and what waits there looks new. The program without its sense of absence does send for them.
    """
    late, sent = sent_for_nobody(ledgers["stopped"], 0)
    assert late == 0 and sent > 0
    assert any("router resumed after a pause" in line for line in ledgers["stopped"]["logs"][0].splitlines())


def test_processes_start_no_attempt_for_clients_that_left(ledgers: dict[str, Json]) -> None:
    """Half of the clients leave early: no attempt starts for one that has been gone for long.

    Meanwhile a server is silent, a link slow, the database congested and a router is shut down. No attempt,
    first or later, comes to any server for a client that has been gone for so long that a slow machine can't
    explain it. On an idle machine none comes after its client has left.
    """
    parts = ledgers["left"]["parts"]
    clients = [one for name, rows in parts.items() if name[:7] == "clients" for one in rows["sent"]]
    left = {one["id"]: one["left"] for one in clients if one["left"]}
    nodes = [one for name, rows in parts.items() if name[:5] == "nodes" for one in rows["attempts"]]
    begun = [one for one in nodes + parts["centre"]["fetches"] if one["id"] in left]
    late = [one for one in begun if one["first"] > left[one["id"]] + SECOND // 2]
    assert len(left) > 100 and len(begun) > 100 and not late


def test_processes_detect_a_dead_router_and_one_resumed_late_declares_nobody_dead(
    ledgers: dict[str, Json],
) -> None:
    """Five processes: one is killed for good, one is stopped and comes back.

    All others find out; who was stopped doubts itself, not them; and it is held as there again soon after.
    """
    views = ledgers["gone"]["views"]
    away = [told for at, told in views if 11 <= at < 12.5]
    assert any(all(one.get("gone") == [3, 4] for one in told[:3]) for told in away), away
    assert [one.get("gone") for one in views[-1][1][:4]] == [[4]] * 4, views[-1]
    for at, told in views:
        if at > 13.2:
            assert told[3].get("gone", [4]) in ([], [4]), "it never told that those are gone who are not"
