"""What a router's callbacks cost, by kind: the table of rehearsal/virtual/costs.py.

    python -m benchmarks callbacks [SCENARIO]     runs it (lunch) with real routers that time their callbacks

Routers run on asyncio's own loop here, since uvloop's handles can't be timed from outside. Each callback is
timed by the thread's CPU clock, and put down to a kind as the virtual loop does. Printed for each kind: how
many, their median, and the standard deviation (sigma) of the logarithm.
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

from benchmarks.rig import parser_for

KINDS_BY_NAME = {"_accept_connection": "connect", "connection_made": "connect"}
FOLDER_VARIABLE = "CALLBACKS_FOLDER"  # of the environment: where a router writes what its callbacks took
ROUTER_COMMAND = f"{sys.executable} -m benchmarks.callbacks --router"


def callback_kind(handle: asyncio.Handle) -> str:
    """As `costs.callback_kind`, by the names that asyncio's own loop has for the same callbacks."""
    callback = handle._callback  # type: ignore[attr-defined]
    if isinstance(handle, asyncio.TimerHandle):
        return "timer"
    name = getattr(callback, "__qualname__", type(callback).__name__).rpartition(".")[2]
    if name.startswith("_read_ready"):
        return "data"
    return KINDS_BY_NAME.get(name, "task" if "task" in name.lower() else "other")


def run_timed_router() -> int:
    """Runs the router with its callbacks timed; writes what they took (ns by kind) at its end."""
    import uvloop

    from rainhitch import program

    durations_ns: dict[str, list[int]] = defaultdict(list)
    run = asyncio.Handle._run

    def run_timed(handle: asyncio.Handle) -> None:
        """In the place of Handle._run."""
        begun_ns = time.thread_time_ns()
        run(handle)
        durations_ns[callback_kind(handle)].append(time.thread_time_ns() - begun_ns)

    asyncio.Handle._run = run_timed  # type: ignore[method-assign,assignment]
    uvloop.new_event_loop = asyncio.new_event_loop  # type: ignore[assignment]
    try:
        return program.main()
    finally:
        (Path(os.environ[FOLDER_VARIABLE]) / f"{os.getpid()}.json").write_text(json.dumps(durations_ns))


def run_scenario(scenario: str) -> dict[str, list[int]]:
    """Runs a scenario with timed routers; gives what their callbacks took, ns by kind."""
    durations_ns: dict[str, list[int]] = defaultdict(list)
    with tempfile.TemporaryDirectory() as folder:
        command = [sys.executable, "-m", "rainhitch", "rehearse", scenario]
        command += ["--json", f"{folder}/report", "--router", ROUTER_COMMAND]
        environment = {**os.environ, FOLDER_VARIABLE: folder}
        subprocess.run(command, env=environment, check=False, stdout=subprocess.DEVNULL)
        for path in Path(folder).glob("*.json"):
            for kind, rows in json.loads(path.read_text()).items():
                durations_ns[kind] += rows
    return durations_ns


def main(arguments: list[str]) -> int:
    """Runs the benchmark; gives the exit code."""
    if arguments == ["--router"]:
        return run_timed_router()
    parser = parser_for(__doc__)
    parser.add_argument("scenario", nargs="?", default="lunch")
    durations_ns = run_scenario(parser.parse_args(arguments).scenario)
    for kind, rows in sorted(durations_ns.items()):
        median_us = statistics.median(rows) / 1000
        sigma = statistics.pstdev(math.log(max(1, one)) for one in rows)
        print(f"{kind:8} {len(rows):7} callbacks  median {median_us:7.1f} us  sigma {sigma:.2f}")
    print(f"all      {sum(map(sum, durations_ns.values())) / 1e9:.2f} s of CPU")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
