"""A run's fakes in a process of their own: a zone's cache nodes, the shared services, or a zone's clients.

    python -m rainhitch.rehearsal.fakes ROLE FOLDER

ROLE is `nodes:ZONE`, `centre` or `clients:ZONE` (numbers). FOLDER holds plan.json, and for clients
addresses.json. The environment sends lines of JSON to standard input and reads them from standard output. The
process writes its record to FOLDER at the end of the run, and ends at once when its input does.
"""

import asyncio
import sys
from pathlib import Path

import uvloop

from rainhitch.rehearsal.fakes.worker_roles import make_worker


async def main(role: str, folder: Path) -> None:
    """Runs the worker of a role until the run is over."""
    await make_worker(role, folder).run()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main(sys.argv[1], Path(sys.argv[2])))
