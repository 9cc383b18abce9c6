"""What a router's callbacks cost, by kind.

The proportions and the spread were measured by `python -m benchmarks.callbacks lunch` on asyncio's loop,
where a router is nearly idle; all are taken times 0.35, so that a served request costs the 266 us that a busy
router on uvloop takes (`python -m benchmarks.refusals`). `scale` makes a slower or quicker core of it. A cost
is drawn from a lognormal about the median, so that a day has the tail that a real router's loop has.
"""

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import Any

# kind: median microseconds, and sigma of the logarithm
TABLE: dict[str, tuple[float, float]] = {
    "data": (100.0, 0.45),
    "connect": (23.5, 0.62),
    "timer": (24.6, 0.89),
    "task": (28.4, 1.28),
    "word": (33.0, 0.4),  # a datagram from another router: `python -m benchmarks.advice`, with what reads it
    "other": (7.1, 0.68),
}


def kind_of(handle: asyncio.Handle) -> str:
    """What a callback does, by who is called."""
    callback: Any = handle._callback  # type: ignore[attr-defined]
    if isinstance(handle, asyncio.TimerHandle):
        return "timer"
    name = getattr(callback, "__qualname__", type(callback).__name__)
    if name.endswith(("._deliver", "data_received")):
        return "data"
    if name.endswith("._read_word"):
        return "word"
    if name.endswith((".connection_made", "._accept_turn")):
        return "connect"
    return "task" if "Task" in name or "task" in name else "other"


@dataclass(slots=True)
class Costs:
    """A core; `scale` 2.0 is half as fast as the table's."""

    scale: float = 1.0
    table: dict[str, tuple[float, float]] = field(default_factory=lambda: dict(TABLE))

    def of(self, handle: asyncio.Handle, random: Random) -> int:
        """Nanoseconds."""
        median, sigma = self.table[kind_of(handle)]
        return int(median * 1000 * self.scale * random.lognormvariate(0.0, sigma))
