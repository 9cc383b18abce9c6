"""Days in virtual time on which routers are held up again and again, never for longer than they have to bear:
each request gets its final answer in its client's time, whatever the system tells of unread bytes.
"""

from random import Random
from typing import Any

import pytest

from rainhitch.rehearsal.scenario import Scenario, scenario_of
from rainhitch.rehearsal.virtual.runner import run_virtual_scenario
from rainhitch.rehearsal.virtual.system import VirtualSystem

HELD_S = 0.15  # for which a router may be held up
ROUTERS, LENGTH_S = 3, 12.0
ORDER = {"repeats": "keyed", "window_s": 2.0, "write": True}
CLASSES: list[dict[str, Any]] = [
    {"name": "read", "share": 60, "work_ms": 60, "aim_ms": 400, "deadline_ms": 600},
    {"name": "list", "share": 20, "work_ms": 100, "aim_ms": 700, "deadline_ms": 1600},
    {"name": "order", "share": 20, "work_ms": 60, "aim_ms": 400, "deadline_ms": 800, **ORDER},
]


def hold_ups(seed: int) -> list[dict[str, Any]]:
    """Each router is held up about once a second."""
    random, faults = Random(seed), []
    for router in range(ROUTERS):
        at = random.uniform(0.2, 1.0)
        while at < LENGTH_S - 1:
            held = random.uniform(0.05, HELD_S)
            pause = {"kind": "router-pause", "at_s": round(at, 3), "for_s": round(held, 3), "router": router}
            faults.append(pause)
            at += held + random.uniform(0.5, 1.2)
    return faults


def day(seed: int) -> Scenario:
    silent = {"kind": "node-silent", "at_s": 1.0, "for_s": LENGTH_S - 2}
    return scenario_of(
        {
            "about": "routers held up again and again, servers that say nothing",
            "must": "no rule broken",
            "day": {"length_s": LENGTH_S, "prelude_s": 1.0},
            "fleet": {"routers": ROUTERS},
            "traffic": {"rate": 150.0, "keys": 400},
            "classes": CLASSES,
            "clients": {"retries": 0},  # one that comes again has less time left than a hold-up takes
            "faults": [
                *hold_ups(seed),
                *({**silent, "node": name} for name in ("neihu-0", "banqiao-0", "taoyuan-0")),
            ],
        },
        "hold-ups",
    )


@pytest.mark.parametrize("blind", [False, True], ids=["told", "blind"])
@pytest.mark.parametrize("seed", [1, 2])
def test_requests_get_their_final_answers_while_routers_are_held_up(
    seed: int, blind: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if blind:
        monkeypatch.setattr(VirtualSystem, "unread_ms", lambda self, transport: 0)
    assert not run_virtual_scenario(day(seed), "hold-ups", seed)["breaches"]
