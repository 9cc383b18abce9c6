"""What a router's callbacks cost, by kind.

The proportions and the spread were measured by `python -m benchmarks callbacks lunch` on asyncio's loop,
where a router is nearly idle; all are taken times 0.35, so that a served request costs the 266 us that a busy
router on uvloop takes (`python -m benchmarks refusals`). `scale` makes a slower or quicker core of it. A cost
is drawn from a lognormal about the median, so that a virtual run has the tail that a real router's loop has.
"""

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple


class CallbackCost(NamedTuple):
    """The lognormal distribution of one kind of callback's cost."""

    median_us: float
    sigma: float  # standard deviation of the logarithm


COSTS_BY_KIND: dict[str, CallbackCost] = {
    "data": CallbackCost(100.0, 0.45),
    "connect": CallbackCost(23.5, 0.62),
    "timer": CallbackCost(24.6, 0.89),
    "task": CallbackCost(28.4, 1.28),
    # from another router, with what reads it: `python -m benchmarks gossip`
    "datagram": CallbackCost(33.0, 0.4),
    "other": CallbackCost(7.1, 0.68),
}


def callback_kind(handle: asyncio.Handle) -> str:
    """Which kind of `COSTS_BY_KIND` a callback is, by the qualified name of what is called."""
    callback: Any = handle._callback  # type: ignore[attr-defined]
    if isinstance(handle, asyncio.TimerHandle):
        return "timer"
    name = getattr(callback, "__qualname__", type(callback).__name__)
    if name.endswith(("._deliver", "data_received")):
        return "data"
    if name.endswith("._read_datagram"):
        return "datagram"
    if name.endswith((".connection_made", "._accept_turn")):
        return "connect"
    return "task" if "Task" in name or "task" in name else "other"


@dataclass(slots=True)
class CallbackCosts:
    """The speed of a core; with `scale` 2.0 it is half as fast as the table's."""

    scale: float = 1.0
    by_kind: dict[str, CallbackCost] = field(default_factory=lambda: dict(COSTS_BY_KIND))

    def draw_ns(self, handle: asyncio.Handle, random: Random) -> int:
        """CPU time of one callback, in ns."""
        cost = self.by_kind[callback_kind(handle)]
        return int(cost.median_us * 1000 * self.scale * random.lognormvariate(0.0, cost.sigma))
