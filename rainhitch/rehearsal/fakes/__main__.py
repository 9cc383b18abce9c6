"""One part of a day's world in a process of its own: a room's nodes, the centre, or a room's clients.

    python -m rainhitch.rehearsal.fakes ROLE FOLDER

ROLE is `nodes:ROOM`, `centre` or `clients:ROOM` (numbers). FOLDER holds plan.json. The stage speaks to it in
lines of JSON on its standard input; it answers on its standard output, writes its ledger to FOLDER when told
to end, and ends at once when its input does.
"""

import asyncio
import sys
from pathlib import Path

import orjson
import uvloop

from rainhitch.rehearsal.fakes.cache_node_worker import CacheNodeWorker
from rainhitch.rehearsal.fakes.client_worker import ClientWorker
from rainhitch.rehearsal.fakes.shared_services_worker import SharedServicesWorker


async def main(role: str, folder: Path) -> None:
    told = orjson.loads((folder / "plan.json").read_bytes())
    name, _, number = role.partition(":")
    if name == "nodes":
        await CacheNodeWorker(folder, told, int(number)).run()
    elif name == "clients":
        told["addresses"] = orjson.loads((folder / "addresses.json").read_bytes())
        await ClientWorker(folder, told, int(number)).run()
    else:
        await SharedServicesWorker(folder, told).run()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main(sys.argv[1], Path(sys.argv[2])))
