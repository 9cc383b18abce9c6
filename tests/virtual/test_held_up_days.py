"""Runs in which routers are paused again and again, never for longer than they have to bear.

Each request must get its final answer before its client's deadline, whether or not the system knows for how
long bytes have been lying unread.
"""

from random import Random
from typing import Any

import pytest

from rainhitch.rehearsal.scenario import Scenario, scenario_of
from rainhitch.rehearsal.virtual.runner import run_virtual_scenario
from rainhitch.rehearsal.virtual.system import VirtualSystem

MAX_PAUSE_S = 0.15  # that a router has to bear
ROUTERS = 3
LENGTH_S = 12.0
ORDER = {"repeats": "keyed", "window_s": 2.0, "write": True}
CLASSES: list[dict[str, Any]] = [
    {"name": "read", "share": 60, "work_ms": 60, "aim_ms": 400, "deadline_ms": 600},
    {"name": "list", "share": 20, "work_ms": 100, "aim_ms": 700, "deadline_ms": 1600},
    {"name": "order", "share": 20, "work_ms": 60, "aim_ms": 400, "deadline_ms": 800, **ORDER},
]


def router_pauses(seed: int) -> list[dict[str, Any]]:
    """Faults that pause each router about once a second."""
    random = Random(seed)
    faults = []
    for router in range(ROUTERS):
        at = random.uniform(0.2, 1.0)
        while at < LENGTH_S - 1:
            pause_s = random.uniform(0.05, MAX_PAUSE_S)
            pause = {
                "kind": "router-pause",
                "at_s": round(at, 3),
                "for_s": round(pause_s, 3),
                "router": router,
            }
            faults.append(pause)
            at += pause_s + random.uniform(0.5, 1.2)
    return faults


def paused_routers_and_silent_servers(seed: int) -> Scenario:
    """A run with the pauses, and one silent server in each zone."""
    silent = {"kind": "node-silent", "at_s": 1.0, "for_s": LENGTH_S - 2}
    return scenario_of(
        {
            "about": "routers held up again and again, servers that say nothing",
            "must": "no rule broken",
            "day": {"length_s": LENGTH_S, "prelude_s": 1.0},
            "fleet": {"routers": ROUTERS},
            "traffic": {"rate": 150.0, "keys": 400},
            "classes": CLASSES,
            "clients": {"retries": 0},  # one that comes again has less time left than a pause takes
            "faults": [
                *router_pauses(seed),
                *({**silent, "node": name} for name in ("neihu-0", "banqiao-0", "taoyuan-0")),
            ],
        },
        "hold-ups",
    )


@pytest.mark.parametrize("unread_time_known", [True, False], ids=["known", "unknown"])
@pytest.mark.parametrize("seed", [1, 2])
def test_each_request_is_answered_in_time_while_routers_are_paused(
    seed: int, unread_time_known: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if not unread_time_known:
        monkeypatch.setattr(VirtualSystem, "unread_ms", lambda self, transport: 0)
    assert not run_virtual_scenario(paused_routers_and_silent_servers(seed), "hold-ups", seed)["breaches"]
