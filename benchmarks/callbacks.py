"""What a router's callbacks cost, by kind: the table of rehearsal/virtual/costs.py.

    python -m benchmarks.callbacks [SCENARIO]     plays it (lunch) with real routers that time their callbacks

Routers run on asyncio's own loop here, since uvloop's handles can't be timed from outside. Each callback is
timed by the thread's CPU clock, and put down to a kind as the virtual loop does. Printed for each kind: how
many, their median, and the sigma of the logarithm.
"""

import asyncio
import json
import math
import os
import statistics
import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from pathlib import Path

KINDS = {"_read_ready": "data", "_accept_connection": "connect", "connection_made": "connect"}
FOLDER = "CALLBACKS_FOLDER"


def kind_of(handle: asyncio.Handle) -> str:
    """As costs.kind_of does, by the names that asyncio's own loop has for the same things."""
    callback = handle._callback  # type: ignore[attr-defined]
    if isinstance(handle, asyncio.TimerHandle):
        return "timer"
    name = getattr(callback, "__qualname__", type(callback).__name__).rpartition(".")[2]
    if name.startswith("_read_ready"):
        return "data"
    return KINDS.get(name, "task" if "task" in name.lower() else "other")


def router() -> int:
    """Runs the router with its callbacks timed; writes what they took at its end."""
    import uvloop

    from rainhitch import program

    took: dict[str, list[int]] = defaultdict(list)
    run = asyncio.Handle._run

    def timed(handle: asyncio.Handle) -> None:
        begun = time.thread_time_ns()
        run(handle)
        took[kind_of(handle)].append(time.thread_time_ns() - begun)

    asyncio.Handle._run = timed  # type: ignore[method-assign,assignment]
    uvloop.new_event_loop = asyncio.new_event_loop  # type: ignore[assignment]
    try:
        return program.main()
    finally:
        (Path(os.environ[FOLDER]) / f"{os.getpid()}.json").write_text(json.dumps(took))


def main() -> int:
    if sys.argv[1:] == ["--router"]:
        return router()
    scenario = sys.argv[1] if len(sys.argv) > 1 else "lunch"
    with tempfile.TemporaryDirectory() as folder:
        words = [sys.executable, "-m", "rainhitch", "rehearse", scenario, "--json", f"{folder}/report"]
        words += ["--router", f"{sys.executable} -m benchmarks.callbacks --router"]
        subprocess.run(words, env={**os.environ, FOLDER: folder}, check=False, stdout=subprocess.DEVNULL)
        took: dict[str, list[int]] = defaultdict(list)
        for path in Path(folder).glob("*.json"):
            for kind, rows in json.loads(path.read_text()).items():
                took[kind] += rows
    for kind, rows in sorted(took.items()):
        median = statistics.median(rows)
        sigma = statistics.pstdev(math.log(max(1, one)) for one in rows)
        print(f"{kind:8} {len(rows):7} callbacks  median {median / 1000:7.1f} us  sigma {sigma:.2f}")
    print(f"all      {sum(map(sum, took.values())) / 1e9:.2f} s of CPU")
    return 0


if __name__ == "__main__":
    sys.exit(main())
